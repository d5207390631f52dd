// Package overseer keeps one primary in force for each service. One host at a
// time holds the duty; it notices primaries that fail or leave, makes sure that
// no host uses the former one, and has the platform promote another database.
package overseer

import (
	"time"

	"github.com/endiveturn/endiveturn/cataloger"
)

const (
	// failingFor is how long every host must have failed to use a primary
	// before it is probed.
	failingFor = 100 * time.Millisecond
	// silentFor is how long a failing primary must not have answered a host at
	// all: one that answers some of its statements is busy.
	silentFor = 400 * time.Millisecond
	// partlyFailingFor is how long a part of the hosts must have failed to use
	// a primary that others reach, which may be a short disturbance.
	partlyFailingFor = 1200 * time.Millisecond
	// partlyFailingShare is the part of the hosts whose clients are worth a
	// change of primary, which interrupts all.
	partlyFailingShare = 0.3
	// plannedGrace is how long open transactions go on while a working primary
	// is replaced.
	plannedGrace = 1200 * time.Millisecond
)

// Reason says why a primary is replaced.
type Reason string

// The reasons. An empty one leaves the primary in force.
const (
	ReasonNone      Reason = ""
	ReasonMissing   Reason = "primary_left_registry"
	ReasonDraining  Reason = "primary_draining"
	ReasonEvacuated Reason = "data_centre_evacuated"
	ReasonFailing   Reason = "primary_failing"
	ReasonCut       Reason = "primary_cut_from_hosts"
	ReasonResumed   Reason = "change_was_interrupted"
)

// Planned reports whether the former primary still works.
func (r Reason) Planned() bool { return r == ReasonDraining || r == ReasonEvacuated }

// An Opinion is what one host sees of a primary.
type Opinion struct {
	// SinceSuccess is negative if the host never had an answer.
	SinceSuccess time.Duration
	// SinceFailure is 0 if the host's last attempt did not fail.
	SinceFailure time.Duration
}

// A Situation is what is known of a service.
type Situation struct {
	Lead cataloger.Lead
	// Registered is set if the lead's incarnation is registered.
	Registered bool
	Primary    cataloger.Endpoint
	// Evacuated is set if operators took the primary's data centre out.
	Evacuated bool
	// Opinions are those of all hosts that use the primary.
	Opinions []Opinion
	// Hosts is the number of hosts.
	Hosts int
	// Candidates is the number of databases that could take over.
	Candidates int
}

// Judge returns why the primary should be replaced. ReasonFailing asks for a
// probe first.
func Judge(s Situation) Reason {
	switch {
	case s.Lead.Moving:
		return ReasonResumed
	case s.Candidates == 0:
		return ReasonNone
	case !s.Registered:
		return ReasonMissing
	case s.Primary.Draining:
		return ReasonDraining
	case s.Evacuated:
		return ReasonEvacuated
	}
	failing, longFailing, answered := 0, 0, 0
	for _, o := range s.Opinions {
		answers := o.SinceSuccess >= 0 && o.SinceSuccess < silentFor
		if o.SinceFailure > 0 && !answers {
			if o.SinceFailure >= failingFor {
				failing++
			}
			if o.SinceFailure >= partlyFailingFor {
				longFailing++
			}
			continue
		}
		if answers {
			answered++
		}
	}
	if failing > 0 && answered == 0 {
		return ReasonFailing
	}
	if float64(longFailing) >= partlyFailingShare*float64(s.Hosts) && longFailing > 0 {
		return ReasonCut
	}
	return ReasonNone
}

// A Contender is a database that could be promoted, with its own report.
type Contender struct {
	Endpoint cataloger.Endpoint
	// Term and Offset are the last position that it received.
	Term   uint64
	Offset uint64
	// Reachable is set if it answered this host.
	Reachable bool
	// Leads is set if it takes itself for the primary.
	Leads bool
}

// Elect returns the index of the database that has received most, or -1.
func Elect(contenders []Contender) int {
	best := -1
	for i, c := range contenders {
		if !c.Reachable {
			continue
		}
		if best < 0 || ahead(c, contenders[best]) {
			best = i
		}
	}
	return best
}

func ahead(a, b Contender) bool {
	if a.Term != b.Term {
		return a.Term > b.Term
	}
	return a.Offset > b.Offset
}
