package server

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

// recordedAtOnce is the number of durations that are handed to a timer together.
const recordedAtOnce = 64

// A recorder collects durations for a timer. An update of a timer holds its
// locks for about a microsecond, for which all callers of a busy host would wait
// with every batch. It is safe for concurrent use.
type recorder struct {
	timer metrics.Timer

	mu      sync.Mutex
	pending []time.Duration
}

// Update adds a duration.
func (r *recorder) Update(duration time.Duration) {
	r.mu.Lock()
	r.pending = append(r.pending, duration)
	if len(r.pending) < recordedAtOnce {
		r.mu.Unlock()
		return
	}
	full := r.pending
	r.pending = make([]time.Duration, 0, recordedAtOnce)
	r.mu.Unlock()
	r.hand(full)
}

// flush hands over what was collected.
func (r *recorder) flush() {
	r.mu.Lock()
	rest := r.pending
	r.pending = nil
	r.mu.Unlock()
	r.hand(rest)
}

func (r *recorder) hand(durations []time.Duration) {
	for _, duration := range durations {
		r.timer.Update(duration)
	}
}
