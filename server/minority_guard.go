package server

import (
	"slices"
	"time"

	"github.com/endiveturn/endiveturn/gossiper"
)

const (
	// minorityClaimDelay is how long a host that does not reach a majority waits
	// before it claims a service. A host that is isolated from the others and from
	// the store is no longer fresh by then; a host that remains after most others
	// have failed serves after this time.
	minorityClaimDelay = 3 * time.Second
	// minorityReclaimDelay is how long a host that does not reach a majority waits
	// before it claims a service again that it has lost to a higher term: a host that
	// it does not reach is alive and holds the service.
	minorityReclaimDelay = 30 * time.Second
	// majorityClaimDelay is how long a host that reaches a majority again waits for
	// the claims of the others, which arrive with the heartbeats of two rounds.
	majorityClaimDelay = 600 * time.Millisecond
)

// A minorityGuard prevents hosts that are partitioned from the other hosts, but
// not from the databases, from claiming services that the others hold. Without
// it, both sides would take a service from each other for as long as the partition
// lasts. Safety does not depend on it, since the databases reject old terms; the
// guard keeps the service available.
type minorityGuard struct {
	// majorityLostAt is the time since which this host does not reach a majority, or
	// zero.
	majorityLostAt time.Time
	// majorityRegainedAt is the time at which this host reached a majority again, or
	// zero.
	majorityRegainedAt time.Time
	// servicesLostAt holds the times at which services were lost to a higher term
	// since majorityLostAt.
	servicesLostAt map[string]time.Time
}

// observe records whether this host reaches a majority.
func (g *minorityGuard) observe(majority bool, now time.Time) {
	switch {
	case majority && !g.majorityLostAt.IsZero():
		g.majorityLostAt, g.servicesLostAt, g.majorityRegainedAt = time.Time{}, nil, now
	case majority:
	case g.majorityLostAt.IsZero():
		g.majorityLostAt, g.servicesLostAt = now, make(map[string]time.Time)
	}
}

// recordServiceLost records that a service was lost to a higher term while this
// host does not reach a majority.
func (g *minorityGuard) recordServiceLost(service string, now time.Time) {
	if !g.majorityLostAt.IsZero() {
		g.servicesLostAt[service] = now
	}
}

// mayClaim reports whether this host may claim a service that is not held by any
// host that it reaches. fresh is the first result of gossiper.Gossiper.Fresh.
func (g *minorityGuard) mayClaim(service string, fresh bool, now time.Time) bool {
	if g.majorityLostAt.IsZero() {
		return g.majorityRegainedAt.IsZero() || now.Sub(g.majorityRegainedAt) >= majorityClaimDelay
	}
	lostAt, ok := g.servicesLostAt[service]
	if ok && now.Sub(lostAt) < minorityReclaimDelay {
		return false
	}
	// A host that is not fresh would refuse all batches of routes that need a key.
	return fresh && now.Sub(g.majorityLostAt) >= minorityClaimDelay
}

// reachesMajority reports whether more than half of the hosts are alive in this
// host's view, including seeds that it has not contacted. Suspects do not count as
// alive, since a host that was just isolated suspects all others before the first
// of them counts as failed. Of two halves, the one with the first host by name
// counts as the majority.
func reachesMajority(view *gossiper.View, seeds []string) bool {
	known, alive, firstAlive := 0, 0, false
	knownAddresses := make([]string, 0, len(view.Hosts))
	for _, h := range view.Hosts {
		knownAddresses = append(knownAddresses, h.PeerAddress)
		if h.State == gossiper.Left {
			continue
		}
		if h.State == gossiper.Alive || h.State == gossiper.Leaving {
			alive++
			firstAlive = firstAlive || known == 0
		}
		known++
	}
	for _, address := range seeds {
		if !slices.Contains(knownAddresses, address) {
			known++
		}
	}
	return 2*alive > known || 2*alive == known && firstAlive
}
