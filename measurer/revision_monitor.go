package measurer

import (
	"context"
	"sync"
	"time"
)

// revisionPollInterval is the interval at which the revision of each host is read.
const revisionPollInterval = 2 * time.Millisecond

// servingStates are the states in which hosts serve clients or hold services.
var servingStates = map[string]bool{"serving": true, "taken_out": true, "leaving": true}

// A revisionMonitor records the revisions with which hosts serve.
type revisionMonitor struct {
	mu sync.Mutex
	// highest holds the highest revision with which each host was observed to
	// serve, including before a restart.
	highest map[string]uint64
	// lastObserved holds when a host was last observed to serve with a revision.
	lastObserved map[hostRevision]time.Time
	// reversions is the number of times that a host went back to a lower revision.
	reversions int
	// below is set for hosts that were below their highest revision when last
	// observed.
	below map[string]bool
	// samples is the number of observations, and longestSampleGap the longest
	// time between two observations of a host.
	samples          int
	longestSampleGap time.Duration
}

type hostRevision struct {
	host     string
	revision uint64
}

func newRevisionMonitor() *revisionMonitor {
	return &revisionMonitor{highest: map[string]uint64{}, lastObserved: map[hostRevision]time.Time{}, below: map[string]bool{}}
}

// run samples the revisions of the hosts until ctx ends.
func (w *revisionMonitor) run(ctx context.Context, f *Fleet) {
	previous := time.Now()
	for ctx.Err() == nil {
		for _, h := range f.Hosts {
			w.sample(h)
		}
		now := time.Now()
		w.mu.Lock()
		w.longestSampleGap = max(w.longestSampleGap, now.Sub(previous))
		w.mu.Unlock()
		previous = now
		pauseFor(ctx, revisionPollInterval)
	}
}

func (w *revisionMonitor) sample(h *FleetHost) {
	s := h.Server()
	if s == nil {
		return
	}
	// The state is read before the revision, so that the host has served with
	// the revision that is recorded.
	if !servingStates[s.State()] {
		return
	}
	w.observe(h.Name, s.Config().Revision, time.Now())
}

// observe records the revision with which a host serves.
func (w *revisionMonitor) observe(host string, revision uint64, at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.samples++
	below := revision < w.highest[host]
	if below && !w.below[host] {
		w.reversions++
	}
	w.below[host] = below
	w.highest[host] = max(w.highest[host], revision)
	w.lastObserved[hostRevision{host: host, revision: revision}] = at
}

// lastBelow returns the host that was last observed to serve with a revision below
// the given one, and when. It returns zero values if there is none.
func (w *revisionMonitor) lastBelow(revision uint64) (host string, at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for observed, last := range w.lastObserved {
		if observed.revision < revision && last.After(at) {
			host, at = observed.host, last
		}
	}
	return host, at
}

// countReached returns the number of hosts that were observed to serve with the
// revision or a later one.
func (w *revisionMonitor) countReached(revision uint64) int {
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
