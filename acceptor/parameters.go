package acceptor

import (
	"strconv"
	"strings"

	"github.com/endiveturn/endiveturn/executor"
)

// A parameter is told to the caller at startup.
type parameter struct{ name, value string }

// reported are the parameters that drivers expect at startup. Endpoints run
// with these values.
var reported = []parameter{
	{"server_version", "16.0"},
	{"server_encoding", "UTF8"},
	{"client_encoding", "UTF8"},
	{"DateStyle", "ISO, MDY"},
	{"TimeZone", "UTC"},
	{"integer_datetimes", "on"},
	{"standard_conforming_strings", "on"},
}

// harmless lists the values that a caller may give to parameters of drivers:
// those that endpoints have anyway, in lower case and without spaces. A nil
// list accepts all values, since the parameter changes no result.
var harmless = map[string][]string{
	"application_name":            nil,
	"client_encoding":             {"utf8", "utf-8", "unicode"},
	"datestyle":                   {"iso", "iso,mdy"},
	"timezone":                    {"utc", "etc/utc", "gmt", "0"},
	"standard_conforming_strings": {"on", "true", "1"},
	"integer_datetimes":           {"on"},
	"extra_float_digits":          {"1", "2", "3"},
	"bytea_output":                {"hex"},
	"intervalstyle":               {"postgres"},
	"client_min_messages":         {"notice", "warning", "error"},
	"statement_timeout":           {"0"},
	"lock_timeout":                {"0"},
	"fallback_application_name":   nil,
}

// acceptedAtStartup are parameters that drivers send at startup with values of
// the caller's machine. They are accepted without effect; the caller is told
// the values in force.
var acceptedAtStartup = map[string]bool{
	"timezone": true, "datestyle": true, "extra_float_digits": true, "intervalstyle": true,
	"client_min_messages": true,
}

// isHarmless reports whether the value, once set, would change nothing.
func isHarmless(name, value string) bool {
	values, known := harmless[name]
	if !known {
		return false
	}
	if values == nil || value == "" {
		return true
	}
	value = strings.ToLower(strings.ReplaceAll(value, " ", ""))
	for _, v := range values {
		if v == value {
			return true
		}
	}
	return false
}

// applyParameter applies one parameter of the startup packet.
func (c *connection) applyParameter(name, value string) *executor.Refusal {
	lower := strings.ToLower(name)
	switch {
	case lower == "user", lower == "database", strings.HasPrefix(lower, "_pq_."):
		return nil
	case lower == "options":
		return c.applyOptions(value)
	case lower == "replication":
		var on bool
		if setBool(&on, value) && !on {
			return nil
		}
		return executor.RefuseNotRun(executor.CodeNotSupported, "replication is not supported")
	case strings.HasPrefix(lower, ownPrefix):
		return c.settings.set(lower, value, c.service)
	case isHarmless(lower, value), acceptedAtStartup[lower]:
		return nil
	}
	if _, known := harmless[lower]; known {
		return executor.RefuseNotRun(executor.CodeInvalidParameter, "unsupported value for parameter "+strconv.Quote(name))
	}
	return executor.RefuseNotRun(executor.CodeUndefinedParameter, "unrecognized parameter "+strconv.Quote(name))
}

// applyOptions applies the parameter options, which holds parameters as
// arguments: -c name=value, -cname=value or --name=value. A backslash keeps
// the next character, such as a space, from its meaning.
func (c *connection) applyOptions(options string) *executor.Refusal {
	arguments := splitOptions(options)
	for len(arguments) > 0 {
		argument := arguments[0]
		arguments = arguments[1:]
		switch {
		case argument == "-c" && len(arguments) > 0:
			argument, arguments = arguments[0], arguments[1:]
		case strings.HasPrefix(argument, "-c"):
			argument = argument[2:]
		case strings.HasPrefix(argument, "--"):
			argument = argument[2:]
		default:
			return executor.RefuseNotRun(executor.CodeInvalidParameter, "invalid value for parameter \"options\"")
		}
		name, value, ok := strings.Cut(argument, "=")
		name = strings.ReplaceAll(name, "-", "_")
		if !ok || strings.EqualFold(name, "options") {
			return executor.RefuseNotRun(executor.CodeInvalidParameter, "invalid value for parameter \"options\"")
		}
		if refusal := c.applyParameter(name, value); refusal != nil {
			return refusal
		}
	}
	return nil
}

func splitOptions(options string) []string {
	var arguments []string
	var b strings.Builder
	started := false
	for i := 0; i < len(options); i++ {
		switch ch := options[i]; {
		case ch == '\\' && i+1 < len(options):
			i++
			b.WriteByte(options[i])
			started = true
		case ch == ' ' || (ch >= '\t' && ch <= '\r'):
			if started {
				arguments = append(arguments, b.String())
				b.Reset()
				started = false
			}
		default:
			b.WriteByte(ch)
			started = true
		}
	}
	if started {
		arguments = append(arguments, b.String())
	}
	return arguments
}
