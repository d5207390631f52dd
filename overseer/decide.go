// Package overseer keeps one primary in force for each service. One host of the
// fleet is elected leader. The leader detects primaries that fail or leave, fences
// the former primary so that no host uses it, and has the platform promote another
// database.
package overseer

import (
	"time"

	"github.com/endiveturn/endiveturn/cataloger"
)

const (
	// failingThreshold is how long a primary must have been failing for a host,
	// with no other host receiving responses, before it is probed.
	failingThreshold = 100 * time.Millisecond
	// noResponseThreshold is how long a failing primary must not have responded to
	// a host at all: one that responds to some of its statements is overloaded, not
	// down.
	noResponseThreshold = 400 * time.Millisecond
	// partialFailureThreshold is how long a primary that other hosts reach must have
	// been failing for some hosts. Shorter failures may be transient.
	partialFailureThreshold = 1200 * time.Millisecond
	// partialFailureShare is the fraction of hosts that must be affected to justify a
	// change of primary, which interrupts the clients of all hosts.
	partialFailureShare = 0.3
	// switchoverGrace is how long open transactions may continue once the replacement of a
	// working primary is recorded. It is the age at which views expire, so that the leader
	// waits no longer for transactions than for hosts that do not reply.
	switchoverGrace = time.Second
)

// Reason is why a primary is replaced.
type Reason string

// Reasons for a change of primary. ReasonNone keeps the current primary.
const (
	ReasonNone         Reason = ""
	ReasonUnregistered Reason = "primary_left_registry"
	ReasonDraining     Reason = "primary_draining"
	ReasonEvacuated    Reason = "data_centre_evacuated"
	ReasonFailing      Reason = "primary_failing"
	ReasonPartitioned  Reason = "primary_cut_from_hosts"
	ReasonInterrupted  Reason = "change_was_interrupted"
	ReasonRestored     Reason = "store_was_restored"
	ReasonReadOnly     Reason = "primary_refuses_writes"
)

// Planned reports whether the former primary still works.
func (r Reason) Planned() bool { return r == ReasonDraining || r == ReasonEvacuated }

// primaryUnknown reports whether any database may be the primary: after a restore of the store,
// or if the assigned one is a replica.
func (r Reason) primaryUnknown() bool { return r == ReasonRestored || r == ReasonReadOnly }

// An Observation is one host's measurement of a primary's health.
type Observation struct {
	// SinceSuccess is the time since the primary's last response, negative if the
	// host never received one.
	SinceSuccess time.Duration
	// SinceFailure is how long the primary has been failing, 0 if the host's last
	// attempt did not fail.
	SinceFailure time.Duration
	// RefusesWrites is set if the primary recently refused a statement as a replica.
	RefusesWrites bool
}

// responds reports whether the primary has responded to the host recently.
func (o Observation) responds() bool {
	return o.SinceSuccess >= 0 && o.SinceSuccess < noResponseThreshold
}

// After returns the part of the observation that was made after the primary was assigned,
// sinceAssigned ago.
func (o Observation) After(sinceAssigned time.Duration) Observation {
	o.SinceFailure = max(0, min(o.SinceFailure, sinceAssigned))
	return o
}

// Failing reports whether the primary fails for the host.
func (o Observation) Failing() bool { return o.SinceFailure > 0 && !o.responds() }

// IsRelevant reports whether Evaluate takes the observation into account. One of a
// healthy primary that the host has not used recently shows nothing.
func (o Observation) IsRelevant() bool {
	return o.SinceFailure > 0 || o.RefusesWrites || o.responds()
}

// A ServiceState is the input to the decision whether to replace a service's
// primary.
type ServiceState struct {
	Assignment cataloger.PrimaryAssignment
	// Registered is set if the assigned incarnation of the primary is registered.
	Registered bool
	Primary    cataloger.Endpoint
	// Evacuated is set if operators evacuated the primary's data centre.
	Evacuated bool
	// Observations are those of all hosts that use the primary.
	Observations []Observation
	// UnreachableFrom is, by the ID of a database, for how many of the hosts whose primary
	// fails that database fails too.
	UnreachableFrom map[string]int
	// Hosts is the number of hosts in the fleet.
	Hosts int
	// Candidates is the number of databases eligible for promotion.
	Candidates int
}

// Evaluate returns why the primary should be replaced, or ReasonNone if it should be
// kept. On ReasonFailing and ReasonReadOnly the caller probes the primary first.
func Evaluate(s ServiceState) Reason {
	switch {
	case s.Assignment.Changing:
		return ReasonInterrupted
	case s.Candidates == 0:
		return ReasonNone
	case !s.Registered:
		return ReasonUnregistered
	case s.Primary.Draining:
		return ReasonDraining
	case s.Evacuated:
		return ReasonEvacuated
	}
	failing, longFailing, responding := 0, 0, 0
	for _, o := range s.Observations {
		if o.RefusesWrites {
			return ReasonReadOnly
		}
		if o.Failing() {
			if o.SinceFailure >= failingThreshold {
				failing++
			}
			if o.SinceFailure >= partialFailureThreshold {
				longFailing++
			}
			continue
		}
		if o.responds() {
			responding++
		}
	}
	if failing > 0 && responding == 0 {
		return ReasonFailing
	}
	if float64(longFailing) >= partialFailureShare*float64(s.Hosts) && longFailing > 0 {
		return ReasonPartitioned
	}
	return ReasonNone
}

// Improves reports whether the hosts reach the database with the given ID better than the
// primary that fails for them. What they do not report about it counts as reachable.
func (s ServiceState) Improves(id string) bool {
	failing := 0
	for _, o := range s.Observations {
		if o.Failing() {
			failing++
		}
	}
	return s.UnreachableFrom[id] == 0 || s.UnreachableFrom[id] < failing
}

// A Candidate is a database eligible for promotion, with the replication state that
// it reports.
type Candidate struct {
	Endpoint cataloger.Endpoint
	// Term and Offset are the last log position that it received.
	Term   uint64
	Offset uint64
	// DatabaseTerm is the highest term known to the database: its own if it is a primary.
	DatabaseTerm uint64
	// Reachable is set if it responded to this host, Busy if it runs and refused to say more.
	Reachable, Busy bool
	// IsPrimary is set if it reports itself as the primary.
	IsPrimary bool
}

// MostAdvanced returns the index of the reachable candidate with the highest log
// position, the primary if it is among several, or -1 if none is reachable.
func MostAdvanced(candidates []Candidate) int {
	best := -1
	for i, c := range candidates {
		if !c.Reachable {
			continue
		}
		switch {
		case best < 0 || ahead(c, candidates[best]):
			best = i
		case c.IsPrimary && !ahead(candidates[best], c):
			best = i
		}
	}
	return best
}

func ahead(a, b Candidate) bool {
	if a.Term != b.Term {
		return a.Term > b.Term
	}
	return a.Offset > b.Offset
}
