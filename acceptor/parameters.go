package acceptor

import (
	"strconv"
	"strings"

	"github.com/endiveturn/endiveturn/executor"
)

// A parameter is a server parameter that is reported to the client at startup.
type parameter struct{ name, value string }

// reportedParameters are the parameters that drivers expect at startup.
// Endpoint connections use the same values.
var reportedParameters = []parameter{
	{"server_version", "16.0"},
	{"server_encoding", "UTF8"},
	{"client_encoding", "UTF8"},
	{"DateStyle", "ISO, MDY"},
	{"TimeZone", "UTC"},
	{"integer_datetimes", "on"},
	{"standard_conforming_strings", "on"},
}

// noEffectValues lists the parameter values that a client may set because
// endpoint connections have them anyway, in lower case and without spaces. A
// nil list allows every value, since the parameter does not affect results.
var noEffectValues = map[string][]string{
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

// ignoredAtStartup are parameters that drivers send at startup with values of
// the client machine. They are accepted but have no effect; the values in force
// are reported to the client.
var ignoredAtStartup = map[string]bool{
	"timezone": true, "datestyle": true, "extra_float_digits": true, "intervalstyle": true,
	"client_min_messages": true,
}

// hasNoEffect reports whether setting the parameter to value would change
// nothing.
func hasNoEffect(name, value string) bool {
	values, known := noEffectValues[name]
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

// applyParameter applies one parameter of the startup message.
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
	case strings.HasPrefix(lower, settingPrefix):
		return c.settings.set(lower, value, c.service)
	case hasNoEffect(lower, value), ignoredAtStartup[lower]:
		return nil
	}
	if _, known := noEffectValues[lower]; known {
		return executor.RefuseNotRun(executor.CodeInvalidParameter, "unsupported value for parameter "+strconv.Quote(name))
	}
	return executor.RefuseNotRun(executor.CodeUndefinedParameter, "unrecognized parameter "+strconv.Quote(name))
}

// applyOptions applies the options parameter, which contains command-line
// arguments: -c name=value, -cname=value or --name=value. A backslash escapes
// the next character, such as a space.
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
	inArgument := false
	for i := 0; i < len(options); i++ {
		switch ch := options[i]; {
		case ch == '\\' && i+1 < len(options):
			i++
			b.WriteByte(options[i])
			inArgument = true
		case ch == ' ' || (ch >= '\t' && ch <= '\r'):
			if inArgument {
				arguments = append(arguments, b.String())
				b.Reset()
				inArgument = false
			}
		default:
			b.WriteByte(ch)
			inArgument = true
		}
	}
	if inArgument {
		arguments = append(arguments, b.String())
	}
	return arguments
}
