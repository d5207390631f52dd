package accountant

import (
	"time"

	"github.com/endiveturn/endiveturn/storer"
)

// claimsByTime reports whether the first window of a leadership follows from the time, because the
// record may lack windows that a former leader has reported.
func (s *Sender) claimsByTime(leadership Leadership) bool {
	return !s.baseKnown || s.unreadable || s.base.Era < storer.EraOf(leadership.Token)
}

// clockConfirmed reports whether the clocks of all hosts are known or, after two thirds of the gap,
// enough of them for a median. The clock of a host that has just started may be wrong.
func (s *Sender) clockConfirmed(leadership Leadership) bool {
	hosts, known := len(s.Incarnations()), s.Clock.clocks()
	waited := !s.Now().Before(leadership.Since.Add(s.Gap * 2 / 3))
	return known >= hosts || waited && known >= minClocks
}

// claim returns the record with which a leadership begins. Windows that a former leader may
// have reported without a record that this one knows of are left out.
func (s *Sender) claim(leadership Leadership) Record {
	next := s.base
	era := storer.EraOf(leadership.Token)
	switch {
	case !s.baseKnown || s.unreadable:
		next.Next = max(next.Next, s.firstEndingAfter(leadership.Since))
	case next.Era < era:
		next.Next = max(next.Next, s.firstEndingAfter(leadership.EraSince))
	}
	next.Token, next.Era = leadership.Token, era
	return next
}

// firstEndingAfter returns the first window that ended after a monotonic time on the clock of
// every leader.
func (s *Sender) firstEndingAfter(mono time.Time) int64 {
	return s.Schedule.Number(s.Clock.At(mono).Add(eraClockMargin))
}
