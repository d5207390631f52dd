// Package explainer finds in the logs of several hosts what became of a request
// and what decided it.
package explainer

import (
	"bufio"
	"io"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// longestLine bounds one line of a log in bytes.
const longestLine = 1 << 20

// A Line is one event of a host's log.
type Line struct {
	Time time.Time
	// Host is the host that wrote the line, by the word before the time that a
	// collector put there, by the log's first line that names it, or else the
	// name of the log.
	Host  string
	Event string
	// Fields are in the order in which they were written.
	Fields []Field
}

// A Field is one key and value of a line.
type Field struct{ Key, Value string }

// Get returns the value of a field, or "".
func (l Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// fieldPattern matches key=value, the value quoted or not. A quote that is not
// closed, in a log that was cut off, makes no field.
var fieldPattern = regexp.MustCompile(`([a-z_]+)=("(?:[^"\\]|\\.)*"|[^\s"]+)`)

// Read returns the events of a log. Skipped is the number of lines that hold
// none, such as one that was cut off.
func Read(log io.Reader, name string) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, longestLine)
	host := name
	for scanner.Scan() {
		line, ok := parse(scanner.Text())
		if !ok {
			skipped++
			continue
		}
		if line.Event == "host_started" && line.Get("host") != "" {
			host = line.Get("host")
		}
		if line.Host == "" {
			line.Host = host
		}
		lines = append(lines, line)
	}
	return lines, skipped, errors.Wrap(scanner.Err(), name)
}

// parse reads one line. What stands before its time is the collector's, whose
// last word names the host.
func parse(text string) (Line, bool) {
	start := strings.Index(text, "time=")
	if start < 0 {
		return Line{}, false
	}
	var line Line
	if before := strings.Fields(text[:start]); len(before) > 0 {
		line.Host = before[len(before)-1]
	}
	for _, match := range fieldPattern.FindAllStringSubmatch(text[start:], -1) {
		value := match[2]
		if unquoted, err := strconv.Unquote(value); err == nil {
			value = unquoted
		}
		switch match[1] {
		case "time":
			at, err := time.Parse(time.RFC3339Nano, value)
			if err != nil {
				return Line{}, false
			}
			line.Time = at
		case "msg":
			line.Event = value
		default:
			line.Fields = append(line.Fields, Field{Key: match[1], Value: value})
		}
	}
	return line, !line.Time.IsZero() && line.Event != ""
}
