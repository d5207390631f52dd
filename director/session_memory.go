package director

import (
	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/budgeter"
	"github.com/endiveturn/endiveturn/executor"
)

const (
	// keptOverhead is the memory in bytes that a variable or a prepared statement takes
	// besides its texts.
	keptOverhead = 128
	// uncountedKept is the number of bytes that a session may keep without a count.
	uncountedKept = 1 << 10
)

// size returns the memory in bytes that a session takes to keep the statement.
func (p prepared) size(name string) int { return len(name) + len(p.name) + len(p.text) + keptOverhead }

// keep makes room for a change of the bytes that the session keeps. A response other
// than with CodeNone says why it can't.
func (s *Session) keep(change int) executor.Response {
	kept := s.kept + change
	counted := int64(kept)
	if kept <= uncountedKept {
		counted = 0
	}
	if counted > 0 || s.kept > uncountedKept {
		err := s.startup.Account.Resize(budgeter.Session, counted)
		switch {
		case errors.Is(err, budgeter.ErrConnectionMemory):
			return s.errorResponse(executor.CodeMalformed, "session values and prepared statements are too large")
		case err != nil:
			return s.errorResponse(executor.CodeBusy, "no memory for the session, retry in 1s")
		}
	}
	s.kept = kept
	return s.successResponse()
}
