package server

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

// timerBufferSize is the number of durations that are passed to a timer together.
const timerBufferSize = 64

// A bufferedTimer buffers durations for a timer. Updating the timer itself holds
// its locks for about a microsecond, which would serialize all connections of a
// busy host on every batch. It is safe for concurrent use.
type bufferedTimer struct {
	timer metrics.Timer

	mu      sync.Mutex
	pending []time.Duration
}

// Update records a duration.
func (t *bufferedTimer) Update(duration time.Duration) {
	t.mu.Lock()
	t.pending = append(t.pending, duration)
	if len(t.pending) < timerBufferSize {
		t.mu.Unlock()
		return
	}
	full := t.pending
	t.pending = make([]time.Duration, 0, timerBufferSize)
	t.mu.Unlock()
	t.updateTimer(full)
}

// flush passes the buffered durations to the timer.
func (t *bufferedTimer) flush() {
	t.mu.Lock()
	rest := t.pending
	t.pending = nil
	t.mu.Unlock()
	t.updateTimer(rest)
}

func (t *bufferedTimer) updateTimer(durations []time.Duration) {
	for _, duration := range durations {
		t.timer.Update(duration)
	}
}
