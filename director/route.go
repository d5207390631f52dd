// Package director runs the statements of client sessions: it checks keys and
// rate limits, chooses a database that may serve each statement, keeps each
// transaction on one connection, and reports to clients whether a statement
// ran, did not run or has an unknown outcome.
package director

import (
	"time"

	"github.com/endiveturn/endiveturn/balancer"
	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/executor"
)

// A Candidate is a snapshot of a database's state as observed by this host.
type Candidate struct {
	Endpoint cataloger.Endpoint
	// Primary is set for the primary that is in force.
	Primary bool
	// Load is the number of attempts of this host that run or wait at the
	// database.
	Load int
	// Idle is set if the pool holds an idle connection of the customer.
	Idle bool
	// Failing is set while the database is avoided because it did not respond to
	// this host.
	Failing bool
	// Busy is set shortly after the database rejected a statement for lack of
	// slots.
	Busy bool
	// Lagging is set shortly after the database was behind the floor of a read.
	Lagging bool
	// WarmingUp is set while the database is warming up after its start and
	// this host has used up its request rate for it.
	WarmingUp bool
	// Local is set if the database is in this host's data centre.
	Local bool
	// Latency is the recent response time of the database to this host; 0 if it
	// is not known.
	Latency time.Duration
	// Preferred is set for the replica that this host normally reads from.
	Preferred bool
	// Permits is the number of statements that this host may run there at once.
	Permits int
	// ScarceConnections is set if this host may keep hardly any connection there.
	ScarceConnections bool
	// RecentLatency is the mean response time as of LatencyAge ago.
	RecentLatency, LatencyAge time.Duration
	// Detected is the state of the database by its outcomes for requests of the
	// kind.
	Detected balancer.State

	// unusable is set if the candidate must not be chosen.
	unusable bool
}

// Requirements are what an operation requires of a database.
type Requirements struct {
	// Writes is set if the operation needs the primary because it writes.
	Writes bool
	// Consistency is the consistency of the route.
	Consistency cataloger.Consistency
	// Floor is the position that a replica must have reached.
	Floor executor.Position
	// FloorIsOwnCommit is set if Floor is a commit of the session itself, which
	// may be too recent for any replica.
	FloorIsOwnCommit bool
	// FloorKnown is set if Floor is recent enough for the route; otherwise only
	// the primary may serve a read.
	FloorKnown bool
	// Tried holds the IDs of the databases on which the operation has failed
	// before.
	Tried map[string]bool
}

// The costs by which candidates are compared. The unit is one statement that
// waits at the database.
const (
	costRemote       = 0.3
	costConnect      = 0.5
	costPrimary      = 4.0
	costNotPreferred = 3.0
	costBusy         = 3.0
	costLagging      = 40.0
	costFailing      = 50.0
	costTried        = 25.0
)

// latencyPerCostUnit is the latency that costs as much as one more waiting
// statement, and maxLatencyCost limits the cost of a slow database.
const (
	latencyPerCostUnit = 25 * time.Millisecond
	maxLatencyCost     = 10.0
)

// ChooseCandidate returns the index of the best candidate, or -1 if none may
// serve.
func ChooseCandidate(required Requirements, candidates []Candidate) int {
	best := -1
	bestCost := 0.0
	for i, c := range candidates {
		if !required.satisfiedBy(c) {
			continue
		}
		cost := required.cost(c)
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

func (r Requirements) satisfiedBy(c Candidate) bool { return r.unmetBy(c) == "" }

// unmetBy returns why the candidate may not serve, or "".
func (r Requirements) unmetBy(c Candidate) string {
	switch {
	case c.Primary:
		return ""
	case r.Writes || r.Consistency == cataloger.Primary:
		return "role: not the primary in force"
	case !r.FloorKnown:
		return "data lag: no position is known that is recent enough"
	case c.Endpoint.Draining:
		return "draining"
	case c.WarmingUp:
		return "warming up"
	}
	return ""
}

func (r Requirements) cost(c Candidate) float64 {
	sum := 0.0
	r.eachCost(c, func(_ string, cost float64) { sum += cost })
	return sum
}

// eachCost calls add with each cost of the candidate and its reason.
func (r Requirements) eachCost(c Candidate, add func(reason string, cost float64)) {
	if c.Load > 0 {
		add("load", float64(c.Load))
	}
	if c.Latency > 0 {
		add("slow responses", min(maxLatencyCost, float64(c.Latency)/float64(latencyPerCostUnit)))
	}
	if !c.Local {
		add("other data centre", costRemote)
	}
	if !c.Idle {
		add("no idle connection", costConnect)
	}
	switch {
	case c.Primary:
		add("role: the primary is spared", costPrimary)
	case !c.Preferred:
		add("not the preferred replica", costNotPreferred)
	}
	if c.Busy {
		add("busy", costBusy)
	}
	if c.Lagging {
		add("data lag", costLagging)
	}
	if c.Failing {
		add("unreachable", costFailing)
	}
	if r.Tried[c.Endpoint.ID] {
		add("tried before", costTried)
	}
}

// An Observation records that the primary's log had not passed Position at time
// At: the statement whose response reported the position was sent at that time
// or later.
type Observation struct {
	At       time.Time
	Position executor.Position
}

const (
	// minObservationInterval is the minimum time between two observations that
	// are kept.
	minObservationInterval = 40 * time.Millisecond
	// maxObservations is large enough to reach further back than any staleness
	// that reads accept.
	maxObservations = 128
)

// A PositionHistory records the end of the primary's log over time. It is not
// safe for concurrent use.
type PositionHistory struct {
	// observations are ordered by time.
	observations []Observation
}

// Record records the position from the response to a statement that was sent at
// the given time.
func (h *PositionHistory) Record(at time.Time, position executor.Position) {
	if n := len(h.observations); n > 0 {
		last := h.observations[n-1]
		if at.Sub(last.At) < minObservationInterval || position.Before(last.Position) {
			return
		}
	}
	if len(h.observations) >= maxObservations {
		h.observations = append(h.observations[:0], h.observations[maxObservations/2:]...)
	}
	h.observations = append(h.observations, Observation{At: at, Position: position})
}

// Floor returns the lowest known position that contains every commit
// acknowledged before the given time, or false if none is known.
func (h *PositionHistory) Floor(at time.Time) (executor.Position, bool) {
	for _, o := range h.observations {
		if !o.At.Before(at) {
			return o.Position, true
		}
	}
	return executor.Position{}, false
}

// Reset discards all observations.
func (h *PositionHistory) Reset() { h.observations = h.observations[:0] }
