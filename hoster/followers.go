package hoster

import (
	"slices"
	"time"

	"github.com/endiveturn/endiveturn/director"
	"github.com/endiveturn/endiveturn/exchanger"
	"github.com/endiveturn/endiveturn/overseer"
	"github.com/endiveturn/endiveturn/timekeeper"
)

// In a large fleet the holder of the duty may vouch for views without the store
// while more than half of the hosts follow it. A host follows the holder that the
// newest record of the duty names, and never an earlier one again, so that a new
// holder which most hosts follow knows that no former one vouches any more.
// Otherwise a new holder waits until the former one's knowledge of the fleet is
// too old to count its followers by.
const (
	// countingAge is the age of a view by the store up to which its list of hosts
	// serves to count followers. It bounds how long primaries are used without the
	// store, and how long a holder without most hosts waits.
	countingAge = 8 * time.Second
	// settleTime adds the time for which a watch may pass over changes.
	settleTime = countingAge + 2*time.Second
	// shortAbsence is how long a host may be missing from the store and still
	// counts: leases end early while the store is away. A holder counts only after
	// it has known the fleet for as long.
	shortAbsence = 5 * time.Second
	// lastingTime is from when on every holder that may count knows a host.
	lastingTime = settleTime + shortAbsence
	// freshEnough is the age up to which a view by the store needs nobody else's
	// word.
	freshEnough = director.MaxViewAge / 4
)

// A voter is a host as its report shows it to the holder of the duty.
type voter struct {
	// listed is set if the process has read the store itself since its start, so
	// that it does not follow a holder that it knew to be replaced before.
	listed bool
	duty   int64
	heard  time.Time
}

// followedAt returns the latest instant at which more than half of the registered
// hosts followed the holder of the duty with the given revision, or the zero time.
func followedAt(voters []voter, duty int64) time.Time {
	instants := make([]time.Time, 0, len(voters))
	for _, v := range voters {
		if v.listed && v.duty == duty {
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

// outvoted reports whether the hosts that do not follow yet are too few to be
// more than half of any fleet that a former holder may know: each such fleet
// holds the hosts that have lasted.
func outvoted(unconfirmed, lasted int) bool { return 2*unconfirmed < lasted }

// followed returns the latest instant at which this host, which holds the duty
// of a large fleet, was followed by more than half of it; else the zero time.
func (h *Host) followed() time.Time {
	now := timekeeper.Now()
	name, ok := h.hub()
	age := now.Sub(h.mirror.Current())
	if !ok || name != h.Settings.Host || age < freshEnough || age > countingAge {
		return time.Time{}
	}
	reports := h.exchanger.Reports()
	duty := h.mirror.KeyRevision(overseer.DutyKey)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.mirror.Current().Sub(h.fleetSince) < shortAbsence {
		return time.Time{}
	}
	voters := make([]voter, 0, len(h.sharers))
	for name := range h.sharers {
		report := reports[name].Report
		v := voter{listed: report.Listed, duty: report.Duty, heard: reports[name].Heard}
		if name == h.Settings.Host {
			v = voter{listed: h.mirror.Listed(), duty: duty, heard: now}
		}
		voters = append(voters, v)
	}
	return followedAt(voters, duty)
}

// settled reports whether no former holder of the duty can vouch for views any
// more, given for how long this host has held it.
func (h *Host) settled(held time.Duration) bool {
	if !h.large() || held >= settleTime {
		return true
	}
	duty := h.mirror.KeyRevision(overseer.DutyKey)
	reports := h.exchanger.Reports()
	h.mu.Lock()
	defer h.mu.Unlock()
	now := timekeeper.Now()
	unconfirmed, lasted := 0, 0
	for name, known := range h.sharers {
		if now.Sub(known.since) >= lastingTime {
			lasted++
		}
		if name != h.Settings.Host && reports[name].Report.Duty < duty {
			unconfirmed++
		}
	}
	return outvoted(unconfirmed, lasted)
}

// A voucher is the word of the holder of the duty that most hosts followed it.
type voucher struct {
	duty int64
	at   time.Time
}

// hearVoucher takes in the word of the holder of the duty, as an answer to a
// question that was sent at the instant.
func (h *Host) hearVoucher(report exchanger.Report, sent time.Time) {
	if name, ok := h.hub(); !ok || name != report.Host || sent.IsZero() || report.Followed < 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.voucher = voucher{duty: report.Duty, at: sent.Add(-report.Followed)}
}

// vouchedByFollowers returns the instant as of which the holder of the duty, which
// this host follows, vouches for the view without the store.
func (h *Host) vouchedByFollowers() time.Time {
	if name, ok := h.hub(); ok && name == h.Settings.Host {
		return h.followed()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.voucher.duty != h.mirror.KeyRevision(overseer.DutyKey) {
		return time.Time{}
	}
	return h.voucher.at
}
