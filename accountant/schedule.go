// Package accountant counts the requests that each customer runs in each window of
// wall-clock time, collects the counts of all hosts on the leader, and reports each
// window exactly once in content: a window that is recorded in the store is never counted
// again.
package accountant

import "time"

// keptWindows is how many windows each host keeps, the present one included.
const keptWindows = 12

// A Schedule divides time into windows.
type Schedule struct {
	// Window is the length of a window. Window number k begins k lengths after 1970.
	Window time.Duration
	// Due is the time after the end of a window by which its report is due.
	Due time.Duration
}

// Number returns the number of the window that contains an instant.
func (s Schedule) Number(at time.Time) int64 { return at.UnixNano() / int64(s.Window) }

// End returns the end of a window.
func (s Schedule) End(window int64) time.Time { return time.Unix(0, (window+1)*int64(s.Window)) }

// closeBy returns when a window is closed at the latest, which leaves a third of the time
// for the record and the call.
func (s Schedule) closeBy(window int64) time.Time { return s.End(window).Add(s.Due * 2 / 3) }

// giveUpAt returns when a report that was recorded at an instant is not sent any more: a
// window's length after it was due.
func (s Schedule) giveUpAt(window int64, recordedAt time.Time) time.Time {
	due := s.End(window).Add(s.Due)
	if recordedAt.After(due) {
		due = recordedAt
	}
	return due.Add(s.Window)
}
