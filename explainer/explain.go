package explainer

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// ErrNotFound says that no line belongs to the request.
var ErrNotFound = errors.New("no line of the request")

// contextTime is how long before a request's first line, and after its last, other
// events may have to do with it: views of the primaries last a second, and a change
// of primary a few.
const contextTime = 3 * time.Second

// A Step is a line of the way of a request.
type Step struct {
	Line
	// Own is set for lines of the request itself; others tell what decided it.
	Own bool
}

// Explain returns the lines of a request on all hosts, and those of its hosts,
// its databases and their services that may have decided it, in order of time.
func Explain(lines []Line, request string) ([]Step, error) {
	w := way{hosts: make(map[string]bool), databases: make(map[string]bool), services: make(map[string]bool)}
	for _, line := range lines {
		if line.Get("request") == request {
			w.add(line)
		}
	}
	if len(w.steps) == 0 {
		return nil, errors.Wrap(ErrNotFound, request)
	}
	w.findServices(lines)
	versions := make(map[string]Line)
	for _, line := range lines {
		if line.Get("request") == request {
			continue
		}
		if line.Event == "configuration_in_force" && w.hosts[line.Host] && !line.Time.After(w.last) {
			if line.Time.After(versions[line.Host].Time) {
				versions[line.Host] = line
			}
			continue
		}
		if w.concerns(line) {
			w.steps = append(w.steps, Step{Line: line})
		}
	}
	for _, line := range versions {
		w.steps = append(w.steps, Step{Line: line})
	}
	slices.SortStableFunc(w.steps, func(a, b Step) int { return a.Time.Compare(b.Time) })
	return w.steps, nil
}

// A way is what is known of a request.
type way struct {
	steps                      []Step
	hosts, databases, services map[string]bool
	first, last                time.Time
}

func (w *way) add(line Line) {
	w.steps = append(w.steps, Step{Line: line, Own: true})
	w.hosts[line.Host] = true
	w.note(line)
	began := line.Time
	if took, err := time.ParseDuration(line.Get("took")); err == nil {
		began = began.Add(-took)
	}
	if w.first.IsZero() || began.Before(w.first) {
		w.first = began
	}
	if line.Time.After(w.last) {
		w.last = line.Time
	}
}

// note adds the database and the service that a line names.
func (w *way) note(line Line) {
	if database := line.Get("database"); database != "" && line.Event != "session_refused" {
		w.databases[database] = true
	}
	if service := line.Get("service"); service != "" {
		w.services[service] = true
	}
}

// findServices learns the services of the databases from any line that names both.
func (w *way) findServices(lines []Line) {
	for _, line := range lines {
		service := line.Get("service")
		if service == "" {
			continue
		}
		for _, key := range []string{"database", "from", "to"} {
			if w.databases[line.Get(key)] {
				w.services[service] = true
			}
		}
	}
}

// concerns reports whether an event at about the time of the request may have
// decided it.
func (w *way) concerns(line Line) bool {
	if line.Time.Before(w.first.Add(-contextTime)) || line.Time.After(w.last.Add(contextTime)) {
		return false
	}
	switch line.Event {
	case "statement":
		return false
	case "dependency_lost", "dependency_regained":
		if database := line.Get("database"); database != "" {
			return w.databases[database]
		}
		return w.hosts[line.Host]
	case "primary_changed", "replica_lagging":
		return w.hosts[line.Host] && w.services[line.Get("service")]
	case "duty_taken", "duty_lost", "duty_given_up":
		return true
	}
	if line.Get("service") != "" {
		return w.services[line.Get("service")]
	}
	return w.hosts[line.Host] && line.Event != "session_refused"
}

// Write prints the steps, one a line; the request's own begin with a star.
func Write(out io.Writer, steps []Step) error {
	for _, step := range steps {
		mark := " "
		if step.Own {
			mark = "*"
		}
		var fields strings.Builder
		for _, f := range step.Fields {
			if f.Key != "level" && f.Key != "request" {
				fmt.Fprintf(&fields, " %s=%s", f.Key, quoted(f.Value))
			}
		}
		_, err := fmt.Fprintf(out, "%s %s %s %s%s\n", mark, step.Time.Format("15:04:05.000"), step.Host, step.Event, fields.String())
		if err != nil {
			return errors.Wrap(err, "write steps")
		}
	}
	return nil
}

func quoted(value string) string {
	if value == "" || strings.ContainsAny(value, " \t\n\"") {
		return fmt.Sprintf("%q", value)
	}
	return value
}
