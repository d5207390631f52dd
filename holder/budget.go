package holder

import (
	"sync"
	"time"
)

const (
	// budgetWindow is the sliding window in which requests and retries are
	// counted.
	budgetWindow = 10 * time.Second
	// budgetRatio and budgetAllowance bound the retries in budgetWindow to a share
	// of the requests plus a fixed number, so that retries do not multiply the
	// load on failing databases.
	budgetRatio     = 0.1
	budgetAllowance = 10
	// budgetBuckets is the number of buckets in budgetWindow.
	budgetBuckets = 10
)

// A retryBudget bounds retries relative to requests. It is safe for concurrent
// use.
type retryBudget struct {
	mu      sync.Mutex
	buckets [budgetBuckets]budgetBucket
}

type budgetBucket struct {
	period   int64
	requests int
	retries  int
}

func (b *retryBudget) bucket(now time.Time) *budgetBucket {
	period := now.UnixNano() / int64(budgetWindow/budgetBuckets)
	bucket := &b.buckets[period%budgetBuckets]
	if bucket.period != period {
		*bucket = budgetBucket{period: period}
	}
	return bucket
}

// countRequest counts a request.
func (b *retryBudget) countRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bucket(now).requests++
}

// allowRetry reports whether the budget allows a retry, and counts it if so.
func (b *retryBudget) allowRetry(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.bucket(now)
	requests, retries := 0, 0
	for _, bucket := range b.buckets {
		if current.period-bucket.period < budgetBuckets {
			requests += bucket.requests
			retries += bucket.retries
		}
	}
	if float64(retries+1) > budgetRatio*float64(requests)+budgetAllowance {
		return false
	}
	current.retries++
	return true
}
