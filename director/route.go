// Package director runs the statements of client sessions: it checks keys and
// rates, chooses a database that may serve each statement, keeps transactions
// on one connection, and tells clients the truth about what was run.
package director

import (
	"time"

	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/executor"
)

// A Candidate is a database as this host sees it at one moment.
type Candidate struct {
	Endpoint cataloger.Endpoint
	// Primary is set for the primary that is in force.
	Primary bool
	// Load is the number of statements of this host that run or wait there.
	Load int
	// Idle is set if a connection of the customer rests there.
	Idle bool
	// Failing is set while the database does not answer this host.
	Failing bool
	// Busy is set shortly after the database turned a statement away for lack
	// of slots.
	Busy bool
	// Lagging is set shortly after the database lacked what a read had to see.
	Lagging bool
	// Cold is set while the database is slow after its start and has used up
	// what it may be sent.
	Cold bool
	// Local is set if the database stands in this host's data centre.
	Local bool
	// Latency is how long the database takes to answer this host lately; 0 if it
	// is not known.
	Latency time.Duration
	// Home is set for the replica that this host reads from.
	Home bool
}

// A Need says what an operation asks of a database.
type Need struct {
	// Writes asks for the primary.
	Writes bool
	// Consistency is that of the route.
	Consistency cataloger.Consistency
	// Floor is the position that a replica must have reached.
	Floor executor.Position
	// OwnFloor is set if Floor is a commit of the session itself, which may be
	// too recent for any replica.
	OwnFloor bool
	// FloorKnown is set if Floor is recent enough for the route; otherwise only
	// the primary may serve a read.
	FloorKnown bool
	// Tried holds the databases that have failed the operation before.
	Tried map[string]bool
}

// The costs by which candidates are compared, in statements waiting there.
const (
	costRemote  = 0.3
	costConnect = 0.5
	costPrimary = 4.0
	costVisitor = 3.0
	costBusy    = 3.0
	costLagging = 40.0
	costFailing = 50.0
	costTried   = 25.0
)

// latencyOfOne is the latency that counts like one more statement waiting, and
// mostLatencyCost bounds what a slow database costs.
const (
	latencyOfOne    = 25 * time.Millisecond
	mostLatencyCost = 10.0
)

// Choose returns the index of the best candidate, or -1 if none may serve.
func Choose(need Need, candidates []Candidate) int {
	best := -1
	bestCost := 0.0
	for i, c := range candidates {
		if !need.allows(c) {
			continue
		}
		cost := need.cost(c)
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

func (n Need) allows(c Candidate) bool {
	if c.Primary {
		return true
	}
	return !n.Writes && n.Consistency != cataloger.Primary && n.FloorKnown && !c.Endpoint.Draining && !c.Cold
}

func (n Need) cost(c Candidate) float64 {
	cost := float64(c.Load) + min(mostLatencyCost, float64(c.Latency)/float64(latencyOfOne))
	if !c.Local {
		cost += costRemote
	}
	if !c.Idle {
		cost += costConnect
	}
	switch {
	case c.Primary:
		cost += costPrimary
	case !c.Home:
		cost += costVisitor
	}
	if c.Busy {
		cost += costBusy
	}
	if c.Lagging {
		cost += costLagging
	}
	if c.Failing {
		cost += costFailing
	}
	if n.Tried[c.Endpoint.ID] {
		cost += costTried
	}
	return cost
}

// An Observation says that the primary's log had not passed the position at
// the instant: the statement that brought it was sent then or later.
type Observation struct {
	At       time.Time
	Position executor.Position
}

const (
	// observationSpan is the least time between two observations that are kept.
	observationSpan = 40 * time.Millisecond
	// maxObservations reaches back further than any age that reads accept.
	maxObservations = 128
)

// A History keeps where the primary's log ended over time. It is not safe for
// concurrent use.
type History struct {
	// observations are in the order of their instants.
	observations []Observation
}

// Observe takes in a position from a statement that was sent at the instant.
func (h *History) Observe(at time.Time, position executor.Position) {
	if n := len(h.observations); n > 0 {
		last := h.observations[n-1]
		if at.Sub(last.At) < observationSpan || position.Before(last.Position) {
			return
		}
	}
	if len(h.observations) >= maxObservations {
		h.observations = append(h.observations[:0], h.observations[maxObservations/2:]...)
	}
	h.observations = append(h.observations, Observation{At: at, Position: position})
}

// Floor returns a position that contains every commit acknowledged before the
// instant, the lowest one that is known, or false if none is known.
func (h *History) Floor(at time.Time) (executor.Position, bool) {
	for _, o := range h.observations {
		if !o.At.Before(at) {
			return o.Position, true
		}
	}
	return executor.Position{}, false
}

// Reset forgets all observations.
func (h *History) Reset() { h.observations = h.observations[:0] }
