package measurer

import (
	"context"
	"sync"
	"time"
)

// revisionInterval is how often the revision of each host is read.
const revisionInterval = 2 * time.Millisecond

// servingStates are the states of hosts that serve callers or databases.
var servingStates = map[string]bool{"serving": true, "taken_out": true, "leaving": true}

// A revisionWatch notes by which revision each host serves.
type revisionWatch struct {
	mu sync.Mutex
	// highest is the highest revision that a host was seen to serve with, over
	// its restarts.
	highest map[string]uint64
	// lastWith holds when a host was last seen to serve with a revision.
	lastWith map[hostRevision]time.Time
	// reversions counts how often a host went back to a lower revision.
	reversions int
	// below says that a host was below its highest revision when last seen.
	below map[string]bool
	// samples counts the observations; longest is the longest time between
	// two of a host.
	samples int
	longest time.Duration
}

type hostRevision struct {
	host     string
	revision uint64
}

func newRevisionWatch() *revisionWatch {
	return &revisionWatch{highest: map[string]uint64{}, lastWith: map[hostRevision]time.Time{}, below: map[string]bool{}}
}

// watch reads the revisions until ctx ends.
func (w *revisionWatch) watch(ctx context.Context, f *Fleet) {
	previous := time.Now()
	for ctx.Err() == nil {
		for _, h := range f.Hosts {
			w.read(h)
		}
		now := time.Now()
		w.mu.Lock()
		w.longest = max(w.longest, now.Sub(previous))
		w.mu.Unlock()
		previous = now
		pauseFor(ctx, revisionInterval)
	}
}

func (w *revisionWatch) read(h *FleetHost) {
	s := h.Server()
	if s == nil {
		return
	}
	// The state is read first: a revision that is read later is one that the
	// host serves with.
	if !servingStates[s.State()] {
		return
	}
	w.observe(h.Name, s.Set().Revision, time.Now())
}

// observe notes the revision that a host serves with.
func (w *revisionWatch) observe(host string, revision uint64, at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.samples++
	below := revision < w.highest[host]
	if below && !w.below[host] {
		w.reversions++
	}
	w.below[host] = below
	w.highest[host] = max(w.highest[host], revision)
	w.lastWith[hostRevision{host: host, revision: revision}] = at
}

// lastBelow returns when a host was last seen to serve with a revision below
// the given one, and which.
func (w *revisionWatch) lastBelow(revision uint64) (host string, at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for seen, last := range w.lastWith {
		if seen.revision < revision && last.After(at) {
			host, at = seen.host, last
		}
	}
	return host, at
}

// reached counts the hosts that were seen to serve with the revision or a later
// one.
func (w *revisionWatch) reached(revision uint64) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, highest := range w.highest {
		if highest >= revision {
			n++
		}
	}
	return n
}
