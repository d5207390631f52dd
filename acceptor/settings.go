package acceptor

import (
	"strconv"
	"strings"
	"time"

	"github.com/endiveturn/endiveturn/executor"
)

// ownPrefix begins the names of the proxy's own settings.
const ownPrefix = "endiveturn."

// Names of the proxy's own settings.
const (
	settingSession    = ownPrefix + "session"
	settingToken      = ownPrefix + "token"
	settingMaxAge     = ownPrefix + "max_age"
	settingIdempotent = ownPrefix + "idempotent"
	settingDeadline   = ownPrefix + "deadline"
)

const (
	// maxSessionName bounds the name of a session, in bytes.
	maxSessionName = 128
	// maxDuration bounds durations that a caller sets.
	maxDuration = 24 * time.Hour
)

// settings are the own settings of a connection.
type settings struct {
	// session is the name of the session, empty for that of the connection.
	session string
	// floorService is the service that floor belongs to.
	floorService string
	// floor is the highest position of a token given or received.
	floor      executor.Position
	maxAge     time.Duration
	idempotent bool
	// deadline is 0 for that of the service.
	deadline time.Duration
	// initial are those given at startup, to which a reset returns; nil until
	// the startup is over.
	initial *settings
}

// keep makes the present settings those to which a reset returns.
func (s *settings) keep() {
	initial := *s
	s.initial = &initial
}

// set changes the own setting of the lower-case name. service is that of the
// caller's route. An empty value resets the setting, except that a token only
// ever raises the floor.
func (s *settings) set(name, value, service string) *executor.Refusal {
	var ok bool
	switch name {
	case settingSession:
		if ok = len(value) <= maxSessionName; ok {
			s.session = value
		}
	case settingToken:
		ok = s.setToken(value, service)
	case settingMaxAge:
		ok = setDuration(&s.maxAge, value)
	case settingDeadline:
		ok = setDuration(&s.deadline, value)
	case settingIdempotent:
		ok = setBool(&s.idempotent, value)
	default:
		return executor.RefuseNotRun(executor.CodeUndefinedParameter, "unrecognized parameter "+strconv.Quote(name))
	}
	if !ok {
		return executor.RefuseNotRun(executor.CodeInvalidParameter, "invalid value for parameter "+strconv.Quote(name))
	}
	return nil
}

// setToken raises the floor to that of a token service/term/offset.
func (s *settings) setToken(value, service string) bool {
	if value == "" {
		return true
	}
	tail, ok := strings.CutPrefix(value, service+"/")
	if !ok {
		return false
	}
	position, err := executor.ParsePosition(tail)
	if err != nil {
		return false
	}
	s.raise(service, position)
	return true
}

// raise raises the floor. A floor of another service is of no use any more,
// since a route leads to one service.
func (s *settings) raise(service string, position executor.Position) {
	if s.floorService != service {
		s.floorService, s.floor = service, executor.Position{}
	}
	s.floor = s.floor.Max(position)
}

// floorOf returns the floor of reads of a service.
func (s *settings) floorOf(service string) executor.Position {
	if s.floorService != service {
		return executor.Position{}
	}
	return s.floor
}

// token returns the token of the floor, or an empty text.
func (s *settings) token() string {
	if s.floor.IsZero() {
		return ""
	}
	return s.floorService + "/" + s.floor.String()
}

// show returns the value of an own setting; ok is false for an unknown name.
func (s *settings) show(name string) (value string, ok bool) {
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

// reset returns all settings but the floor to those given at startup. Drivers
// reset a connection that they take from their pool, which must not end its
// session.
func (s *settings) reset() {
	next := settings{initial: s.initial}
	if s.initial != nil {
		next = *s.initial
		next.initial = s.initial
	}
	next.floorService, next.floor = s.floorService, s.floor
	*s = next
}

// initialValue returns the value to which the setting of the lower-case name
// returns, or an empty text for its default.
func (s *settings) initialValue(name string) string {
	if s.initial == nil {
		return ""
	}
	value, _ := s.initial.show(name)
	return value
}

// setDuration reads a duration with a unit, or a number of milliseconds.
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
