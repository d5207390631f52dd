package executor

import (
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// ErrBadPosition is wrapped by every error of ParsePosition.
var ErrBadPosition = errors.New("position is not of the form term/offset")

// A Position identifies a state of a group of databases by an offset in its log
// and the term in which that entry was written.
type Position struct {
	// Term is the term of the group, at least 1 in an assigned position.
	Term uint64
	// Offset is the number of log entries up to and including the state.
	Offset uint64
}

// IsZero reports whether p is the zero Position, which was never assigned.
func (p Position) IsZero() bool { return p == Position{} }

// String returns p as term/offset, the format of the group_position parameter.
func (p Position) String() string {
	return strconv.FormatUint(p.Term, 10) + "/" + strconv.FormatUint(p.Offset, 10)
}

// Max returns the position that is further in the log. Acknowledged entries are
// part of the log of every later term, so the offset alone orders them.
func (p Position) Max(q Position) Position {
	if q.Offset > p.Offset || (q.Offset == p.Offset && q.Term > p.Term) {
		return q
	}
	return p
}

// ParsePosition parses the format of String. Errors wrap ErrBadPosition.
func ParsePosition(s string) (Position, error) {
	termText, offsetText, ok := strings.Cut(s, "/")
	if !ok {
		return Position{}, errors.Wrapf(ErrBadPosition, "%q", s)
	}
	term, err := strconv.ParseUint(termText, 10, 64)
	if err != nil {
		return Position{}, errors.Wrapf(ErrBadPosition, "term %q", termText)
	}
	offset, err := strconv.ParseUint(offsetText, 10, 64)
	if err != nil {
		return Position{}, errors.Wrapf(ErrBadPosition, "offset %q", offsetText)
	}
	return Position{Term: term, Offset: offset}, nil
}
