package hoster

import (
	"slices"
	"time"

	"github.com/endiveturn/endiveturn/director"
	"github.com/endiveturn/endiveturn/exchanger"
	"github.com/endiveturn/endiveturn/timekeeper"
)

// In a large fleet a host that hears more than half of the hosts may vouch for
// views without the store: whoever replaces a primary does so only once so many
// hosts know of the change that no other half can be heard without hearing of it.
// If too few hosts answer, the change waits until no host's knowledge of the fleet
// is recent enough to count by.
const (
	// countingAge is the age of a view by the store up to which its list of hosts
	// serves to count the hosts that are heard. It bounds how long primaries are
	// used without the store.
	countingAge = 8 * time.Second
	// settleTime adds the time for which a watch may pass over changes.
	settleTime = countingAge + 2*time.Second
	// shortAbsence is how long a host may be missing from the store and still
	// counts: leases end early while the store is away. A host counts others only
	// after it has known the fleet for as long.
	shortAbsence = 5 * time.Second
	// lastingTime is from when on every host that may count knows a host.
	lastingTime = settleTime + shortAbsence
	// doubling bounds the growth of a fleet within settleTime.
	doubling = 2
	// freshEnough is the age up to which a view by the store needs nobody else's
	// word.
	freshEnough = director.MaxViewAge / 4
)

// A voter is another host as its report shows it.
type voter struct {
	// listed is set if the process has read the store itself since its start, so
	// that it knows what its name has confirmed before.
	listed bool
	heard  time.Time
}

// mostHeardAt returns the latest instant from which on more than half of the
// hosts were heard, or the zero time.
func mostHeardAt(voters []voter) time.Time {
	instants := make([]time.Time, 0, len(voters))
	for _, v := range voters {
		if v.listed && !v.heard.IsZero() {
			instants = append(instants, v.heard)
		}
	}
	needed := len(voters)/2 + 1
	if len(instants) < needed {
		return time.Time{}
	}
	slices.SortFunc(instants, func(a, b time.Time) int { return b.Compare(a) })
	return instants[needed-1]
}

// A fleet is what a host that replaces a primary knows of the others.
type fleet struct {
	// since is how long the host has known the fleet by the store.
	since time.Duration
	// known is the number of hosts, and lasted that of those which every host
	// that may count knows.
	known, lasted int
	// unconfirmed hosts may not know of the change.
	unconfirmed int
}

// outvoted reports whether the unconfirmed hosts are too few to be more than half
// of any fleet that a host may count by. Each such fleet holds the hosts that have
// lasted, and at least a share of those that are known, since a fleet at most
// doubles within settleTime.
func (f fleet) outvoted() bool {
	return 2*f.unconfirmed < f.lasted || f.since > shortAbsence && 2*doubling*f.unconfirmed < f.known
}

// mostHeard returns the latest instant from which on this host has heard more
// than half of a large fleet, or the zero time.
func (h *Host) mostHeard() time.Time {
	now := timekeeper.Now()
	current := h.mirror.Current()
	if age := now.Sub(current); age < freshEnough || age > countingAge {
		return time.Time{}
	}
	reports := h.exchanger.Reports()
	h.mu.Lock()
	defer h.mu.Unlock()
	if current.Sub(h.fleetSince) < shortAbsence {
		return time.Time{}
	}
	voters := make([]voter, 0, len(h.sharers))
	for name := range h.sharers {
		v := voter{listed: reports[name].Report.Listed, heard: reports[name].Heard}
		if name == h.Settings.Host {
			v = voter{listed: h.mirror.Listed(), heard: now}
		}
		voters = append(voters, v)
	}
	return mostHeardAt(voters)
}

// enough reports whether the hosts for which confirmed is true are so many that
// no host vouches any more for a view without what they confirmed.
func (h *Host) enough(confirmed func(name string) bool) bool {
	if !h.large() {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := timekeeper.Now()
	f := fleet{known: len(h.sharers)}
	if !h.fleetSince.IsZero() {
		f.since = now.Sub(h.fleetSince)
	}
	for name, known := range h.sharers {
		if now.Sub(known.since) >= lastingTime {
			f.lasted++
		}
		if !confirmed(name) {
			f.unconfirmed++
		}
	}
	return f.outvoted()
}

// hearVoucher takes in the word of a host that has heard most others, as an
// answer to a question that was sent at the instant.
func (h *Host) hearVoucher(report exchanger.Report, sent time.Time) {
	if sent.IsZero() || report.MostHeard < 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if at := sent.Add(-report.MostHeard); at.After(h.vouchedFor) {
		h.vouchedFor = at
	}
}

// vouchedByHosts returns the instant as of which a host that has heard most
// others, maybe this one, vouches for the view without the store.
func (h *Host) vouchedByHosts() time.Time {
	own := h.mostHeard()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.vouchedFor.After(own) {
		return h.vouchedFor
	}
	return own
}
