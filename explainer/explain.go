package explainer

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// ErrNotFound means that the logs contain no line of the request.
var ErrNotFound = errors.New("no line of the request")

// contextWindow is the time before the start of a request and after its last line
// in which other events may be related to it: a view of the primaries is valid for
// a second, and a change of primary takes a few seconds.
const contextWindow = 3 * time.Second

// An Entry is a log line in the trace of a request.
type Entry struct {
	Line
	// OfRequest is set for lines of the request itself. The other lines are
	// events that may have affected its outcome.
	OfRequest bool
}

// Explain returns the lines of a request on all hosts and the events of its hosts,
// its databases and their services that may have affected its outcome, in order of
// time.
func Explain(lines []Line, request string) ([]Entry, error) {
	t := trace{hosts: make(map[string]bool), databases: make(map[string]bool), services: make(map[string]bool)}
	for _, line := range lines {
		if line.Get("request") == request {
			t.add(line)
		}
	}
	if len(t.entries) == 0 {
		return nil, errors.Wrap(ErrNotFound, request)
	}
	t.addServices(lines)
	configurations := make(map[string]Line)
	for _, line := range lines {
		if line.Get("request") == request {
			continue
		}
		if line.Event == "configuration_in_force" && t.hosts[line.Host] && !line.Time.After(t.end) {
			if line.Time.After(configurations[line.Host].Time) {
				configurations[line.Host] = line
			}
			continue
		}
		if t.isRelevant(line) {
			t.entries = append(t.entries, Entry{Line: line})
		}
	}
	for _, line := range configurations {
		t.entries = append(t.entries, Entry{Line: line})
	}
	slices.SortStableFunc(t.entries, func(a, b Entry) int { return a.Time.Compare(b.Time) })
	return t.entries, nil
}

// A trace collects the entries of a request and what selects related events: the
// hosts, databases and services of the request and the times of its start and its
// last line.
type trace struct {
	entries                    []Entry
	hosts, databases, services map[string]bool
	start, end                 time.Time
}

// add adds a line of the request. The request started before the time of the line,
// by the duration in the field took if there is one.
func (t *trace) add(line Line) {
	t.entries = append(t.entries, Entry{Line: line, OfRequest: true})
	t.hosts[line.Host] = true
	t.addNames(line)
	start := line.Time
	if took, err := time.ParseDuration(line.Get("took")); err == nil {
		start = start.Add(-took)
	}
	if t.start.IsZero() || start.Before(t.start) {
		t.start = start
	}
	if line.Time.After(t.end) {
		t.end = line.Time
	}
}

// addNames adds the database and the service that a line names.
func (t *trace) addNames(line Line) {
	if database := line.Get("database"); database != "" && line.Event != "session_refused" {
		t.databases[database] = true
	}
	if service := line.Get("service"); service != "" {
		t.services[service] = true
	}
}

// addServices adds the services of the databases of the request, taken from any
// line that names both.
func (t *trace) addServices(lines []Line) {
	for _, line := range lines {
		service := line.Get("service")
		if service == "" {
			continue
		}
		for _, key := range []string{"database", "from", "to"} {
			if t.databases[line.Get(key)] {
				t.services[service] = true
			}
		}
	}
}

// isRelevant reports whether an event lies within contextWindow of the request and
// may have affected its outcome.
func (t *trace) isRelevant(line Line) bool {
	if line.Time.Before(t.start.Add(-contextWindow)) || line.Time.After(t.end.Add(contextWindow)) {
		return false
	}
	switch line.Event {
	case "statement":
		return false
	case "dependency_lost", "dependency_regained":
		if database := line.Get("database"); database != "" {
			return t.databases[database]
		}
		return t.hosts[line.Host]
	case "primary_changed", "replica_lagging":
		return t.hosts[line.Host] && t.services[line.Get("service")]
	case "duty_taken", "duty_lost", "duty_given_up", "duty_offered", "duty_offer_expired", "duty_offer_not_recorded":
		return true
	}
	if line.Get("service") != "" {
		return t.services[line.Get("service")]
	}
	return t.hosts[line.Host] && line.Event != "session_refused"
}

// Write prints the entries, one per line. Lines of the request itself begin with an
// asterisk.
func Write(out io.Writer, entries []Entry) error {
	for _, entry := range entries {
		marker := " "
		if entry.OfRequest {
			marker = "*"
		}
		var fields strings.Builder
		for _, f := range entry.Fields {
			if f.Key != "level" && f.Key != "request" {
				fmt.Fprintf(&fields, " %s=%s", f.Key, quoteIfNeeded(f.Value))
			}
		}
		_, err := fmt.Fprintf(out, "%s %s %s %s%s\n", marker, entry.Time.Format("15:04:05.000"), entry.Host, entry.Event, fields.String())
		if err != nil {
			return errors.Wrap(err, "write trace")
		}
	}
	return nil
}

func quoteIfNeeded(value string) string {
	if value == "" || strings.ContainsAny(value, " \t\n\"") {
		return fmt.Sprintf("%q", value)
	}
	return value
}
