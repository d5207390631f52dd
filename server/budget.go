package server

import (
	"sync"
	"time"
)

const (
	// budgetWindow is the time over which requests earn repetitions.
	budgetWindow = 10 * time.Second
	// budgetShare is the part of the requests that may be repeated.
	budgetShare = 0.1
	// budgetBase is the number of repetitions that are always allowed in a
	// window, so that a host with little traffic can repeat at all.
	budgetBase = 10
)

// A retryBudget bounds how many batches are sent again, so that repetitions do
// not multiply an overload.
type retryBudget struct {
	now func() time.Time

	mu sync.Mutex
	// requests and repetitions are those of the window that began at since, and
	// previous those of the window before.
	since       time.Time
	requests    int
	repetitions int
	previous    int
}

func (b *retryBudget) roll(now time.Time) {
	elapsed := now.Sub(b.since)
	if elapsed < budgetWindow {
		return
	}
	b.previous = b.requests
	if elapsed >= 2*budgetWindow {
		b.previous = 0
	}
	b.since, b.requests, b.repetitions = now, 0, 0
}

// request counts a batch.
func (b *retryBudget) request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.roll(b.now())
	b.requests++
}

// allow takes a repetition out of the budget if there is one.
func (b *retryBudget) allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.roll(b.now())
	allowed := budgetBase + budgetShare*float64(max(b.requests, b.previous))
	if float64(b.repetitions) >= allowed {
		return false
	}
	b.repetitions++
	return true
}
