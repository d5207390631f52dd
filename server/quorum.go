package server

import (
	"slices"
	"time"

	"github.com/endiveturn/endiveturn/gossiper"
)

const (
	// minorityWait is how long a host that does not hear a majority waits before
	// it claims a service. A host that is cut off from the others and the store
	// is no longer fresh by then; one that is left after most others have failed
	// serves after this time.
	minorityWait = 3 * time.Second
	// minorityPause is how long a host that does not hear a majority leaves a
	// service alone that was taken from it: a host that it does not hear is
	// alive and holds it.
	minorityPause = 30 * time.Second
	// rejoinWait is how long a host that hears a majority again waits for the
	// claims of the others, which come with the heartbeats of two rounds.
	rejoinWait = 600 * time.Millisecond
)

// A quorum keeps hosts that are cut off from the others, but not from the
// databases, from claiming services that the others hold. Without it both sides
// would take a service from each other for as long as the cut lasts. The
// databases keep this safe; the quorum keeps the service available.
type quorum struct {
	// lostAt is when this host ceased to hear a majority, or zero.
	lostAt time.Time
	// rejoinedAt is when it heard a majority again, or zero.
	rejoinedAt time.Time
	// taken holds when services were lost to a higher term since then.
	taken map[string]time.Time
}

// observe notes whether this host hears a majority.
func (q *quorum) observe(majority bool, now time.Time) {
	switch {
	case majority && !q.lostAt.IsZero():
		q.lostAt, q.taken, q.rejoinedAt = time.Time{}, nil, now
	case majority:
	case q.lostAt.IsZero():
		q.lostAt, q.taken = now, make(map[string]time.Time)
	}
}

// lost notes that a service was lost to a higher term.
func (q *quorum) lost(service string, now time.Time) {
	if !q.lostAt.IsZero() {
		q.taken[service] = now
	}
}

// mayClaim reports whether this host may claim a service that no host which it
// hears holds.
func (q *quorum) mayClaim(service string, fresh bool, now time.Time) bool {
	if q.lostAt.IsZero() {
		return q.rejoinedAt.IsZero() || now.Sub(q.rejoinedAt) >= rejoinWait
	}
	taken, ok := q.taken[service]
	if ok && now.Sub(taken) < minorityPause {
		return false
	}
	// A host that is not fresh would refuse the batches of keyed routes.
	return fresh && now.Sub(q.lostAt) >= minorityWait
}

// hearsMajority reports whether this host hears more than half of the hosts that
// it knows or was told of. Suspects do not count as heard, since a host that was
// just cut off suspects all others before the first of them counts as failed. Of
// two halves the one with the first host by name counts as the majority.
func hearsMajority(view *gossiper.View, seeds []string) bool {
	known, heard, first := 0, 0, false
	seen := make([]string, 0, len(view.Hosts))
	for _, h := range view.Hosts {
		seen = append(seen, h.PeerAddress)
		if h.State == gossiper.Left {
			continue
		}
		if h.State == gossiper.Alive || h.State == gossiper.Leaving {
			heard++
			first = first || known == 0
		}
		known++
	}
	for _, address := range seeds {
		if !slices.Contains(seen, address) {
			known++
		}
	}
	return 2*heard > known || 2*heard == known && first
}
