package hoster

import (
	"time"

	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/timekeeper"
)

// maxClockAge is the age of the last report of a process above which this host does not
// convert instants of its clock: the clocks of two machines may drift apart by 30 ms meanwhile.
const maxClockAge = time.Minute

// uptime returns how long this process has run.
func (h *Host) uptime() time.Duration { return timekeeper.Now().Sub(h.started) }

// localTime returns an instant on this host's clock that is not later than the given one of
// another process; ok is false if that process has not reported recently.
func (h *Host) localTime(t cataloger.ProcessTime) (local time.Time, ok bool) {
	if t.Host == h.Settings.Host && t.Incarnation == h.incarnation {
		return h.started.Add(t.Uptime), true
	}
	peer := h.exchanger.Peer(t.Host)
	if peer.HeardIncarnation != t.Incarnation || timekeeper.Now().Sub(peer.HeardAt) > maxClockAge {
		return time.Time{}, false
	}
	return peer.HeardAt.Add(t.Uptime - peer.HeardUptime), true
}
