package acceptor

import (
	"strconv"
	"strings"
	"time"

	"github.com/endiveturn/endiveturn/executor"
)

// settingPrefix is the prefix of the names of proxy settings.
const settingPrefix = "endiveturn."

// Names of proxy settings.
const (
	settingSession    = settingPrefix + "session"
	settingToken      = settingPrefix + "token"
	settingMaxAge     = settingPrefix + "max_age"
	settingIdempotent = settingPrefix + "idempotent"
	settingDeadline   = settingPrefix + "deadline"
)

const (
	// maxSessionName is the maximum length of a session name, in bytes.
	maxSessionName = 128
	// maxDuration is the maximum duration that a client may set.
	maxDuration = 24 * time.Hour
)

// settings are the proxy settings of a connection.
type settings struct {
	// session is the name of the session, empty for the default session.
	session string
	// floorService is the service to which floor belongs.
	floorService string
	// floor is the highest position of the tokens sent or received.
	floor      executor.Position
	maxAge     time.Duration
	idempotent bool
	// deadline is 0 for the deadline of the service.
	deadline time.Duration
	// initial holds the settings after startup, to which a reset returns; nil
	// during startup.
	initial *settings
}

// saveInitial saves the current settings as those to which a reset returns.
func (s *settings) saveInitial() {
	initial := *s
	s.initial = &initial
}

// set changes a proxy setting, whose name is in lower case. service is that of
// the route. An empty value resets the setting, except that a token never
// lowers the floor.
func (s *settings) set(name, value, service string) *executor.Refusal {
	var valid bool
	switch name {
	case settingSession:
		if valid = len(value) <= maxSessionName; valid {
			s.session = value
		}
	case settingToken:
		valid = s.applyToken(value, service)
	case settingMaxAge:
		valid = setDuration(&s.maxAge, value)
	case settingDeadline:
		valid = setDuration(&s.deadline, value)
	case settingIdempotent:
		valid = setBool(&s.idempotent, value)
	default:
		return executor.RefuseNotRun(executor.CodeUndefinedParameter, "unrecognized parameter "+strconv.Quote(name))
	}
	if !valid {
		return executor.RefuseNotRun(executor.CodeInvalidParameter, "invalid value for parameter "+strconv.Quote(name))
	}
	return nil
}

// applyToken raises the floor to the position in a token of the form
// service/term/offset.
func (s *settings) applyToken(value, service string) bool {
	if value == "" {
		return true
	}
	positionText, ok := strings.CutPrefix(value, service+"/")
	if !ok {
		return false
	}
	position, err := executor.ParsePosition(positionText)
	if err != nil {
		return false
	}
	s.raiseFloor(service, position)
	return true
}

// raiseFloor raises the floor. The floor of another service is discarded, since
// a route leads to one service only.
func (s *settings) raiseFloor(service string, position executor.Position) {
	if s.floorService != service {
		s.floorService, s.floor = service, executor.Position{}
	}
	s.floor = s.floor.Max(position)
}

// floorForService returns the floor for reads of a service.
func (s *settings) floorForService(service string) executor.Position {
	if s.floorService != service {
		return executor.Position{}
	}
	return s.floor
}

// token returns the token for the floor, or an empty string if there is none.
func (s *settings) token() string {
	if s.floor.IsZero() {
		return ""
	}
	return s.floorService + "/" + s.floor.String()
}

// show returns the value of a proxy setting; known is false for an unknown
// name.
func (s *settings) show(name string) (value string, known bool) {
	switch name {
	case settingSession:
		return s.session, true
	case settingToken:
		return s.token(), true
	case settingMaxAge:
		return s.maxAge.String(), true
	case settingDeadline:
		return s.deadline.String(), true
	case settingIdempotent:
		if s.idempotent {
			return "on", true
		}
		return "off", true
	}
	return "", false
}

// reset returns all settings except the floor to their values after startup.
// Drivers reset a connection that they take from their pool, and that must not
// end its session.
func (s *settings) reset() {
	next := settings{initial: s.initial}
	if s.initial != nil {
		next = *s.initial
		next.initial = s.initial
	}
	next.floorService, next.floor = s.floorService, s.floor
	*s = next
}

// initialValue returns the value of a setting after startup, or an empty string
// for its default. The name is in lower case.
func (s *settings) initialValue(name string) string {
	if s.initial == nil {
		return ""
	}
	value, _ := s.initial.show(name)
	return value
}

// setDuration parses a duration with a unit, or a number of milliseconds.
func setDuration(field *time.Duration, value string) bool {
	if value == "" {
		*field = 0
		return true
	}
	d, err := time.ParseDuration(value)
	if err != nil {
		milliseconds, err := strconv.ParseUint(value, 10, 32)
		if err != nil {
			return false
		}
		d = time.Duration(milliseconds) * time.Millisecond
	}
	if d < 0 || d > maxDuration {
		return false
	}
	*field = d
	return true
}

func setBool(field *bool, value string) bool {
	switch strings.ToLower(value) {
	case "on", "true", "yes", "1":
		*field = true
	case "off", "false", "no", "0", "":
		*field = false
	default:
		return false
	}
	return true
}
