// Package explainer traces a request through the logs of several hosts: it finds
// the log lines of the request and the events that may have affected its outcome.
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

// maxLineLength bounds the length of a log line in bytes.
const maxLineLength = 1 << 20

// A Line is one event of a host's log.
type Line struct {
	Time time.Time
	// Host is the host that wrote the line: the last word that a log collector
	// put before the time, or else the host in the latest host_started event of
	// the log, or else the name of the log.
	Host  string
	Event string
	// Fields holds the other fields in the order in which they were written.
	Fields []Field
}

// A Field is a key=value pair of a log line.
type Field struct{ Key, Value string }

// Get returns the value of the field with the given key, or "" if there is none.
func (l Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// fieldPattern matches key=value with a quoted or unquoted value. It does not
// match a value whose closing quote is missing because the log was truncated.
var fieldPattern = regexp.MustCompile(`([a-z_]+)=("(?:[^"\\]|\\.)*"|[^\s"]+)`)

// Read returns the events of a log. The result skipped is the number of lines
// without an event, such as a truncated line.
func Read(log io.Reader, name string) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineLength)
	host := name
	for scanner.Scan() {
		line, ok := parseLine(scanner.Text())
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

// parseLine parses one line. Text before the time was added by a log collector;
// its last word is the name of the host. The second result is false if the line
// holds no event.
func parseLine(text string) (Line, bool) {
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
			timestamp, err := time.Parse(time.RFC3339Nano, value)
			if err != nil {
				return Line{}, false
			}
			line.Time = timestamp
		case "msg":
			line.Event = value
		default:
			line.Fields = append(line.Fields, Field{Key: match[1], Value: value})
		}
	}
	return line, !line.Time.IsZero() && line.Event != ""
}
