package server

import (
	"sync"
	"time"
)

const (
	// retryBudgetWindow is the length of a window in which requests and retries are
	// counted.
	retryBudgetWindow = 10 * time.Second
	// retryRatio is the maximum ratio of retries to requests, of which those of the
	// current or of the previous window count, whichever are more.
	retryRatio = 0.1
	// minRetries is the number of retries that each window allows in addition, so
	// that a host with little traffic can retry at all.
	minRetries = 10
)

// A retryBudget bounds the number of retries, so that they do not amplify an
// overload.
type retryBudget struct {
	now func() time.Time

	mu sync.Mutex
	// requests and retries are counted in the window that began at windowStart;
	// previousRequests is the number of requests in the window before it.
	windowStart      time.Time
	requests         int
	retries          int
	previousRequests int
}

func (b *retryBudget) advanceWindow(now time.Time) {
	elapsed := now.Sub(b.windowStart)
	if elapsed < retryBudgetWindow {
		return
	}
	b.previousRequests = b.requests
	if elapsed >= 2*retryBudgetWindow {
		b.previousRequests = 0
	}
	b.windowStart, b.requests, b.retries = now, 0, 0
}

// recordRequest counts a request.
func (b *retryBudget) recordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advanceWindow(b.now())
	b.requests++
}

// allow takes a retry out of the budget and reports whether there was one left.
func (b *retryBudget) allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advanceWindow(b.now())
	maxRetries := minRetries + retryRatio*float64(max(b.requests, b.previousRequests))
	if float64(b.retries) >= maxRetries {
		return false
	}
	b.retries++
	return true
}
