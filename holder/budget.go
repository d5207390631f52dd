package holder

import (
	"sync"
	"time"
)

const (
	// budgetSpan is the time whose requests count for the retry budget.
	budgetSpan = 10 * time.Second
	// budgetShare and budgetBase bound the retries in budgetSpan, so that retries
	// do not multiply the load on databases that are failing.
	budgetShare = 0.1
	budgetBase  = 10
	// budgetBuckets divides budgetSpan.
	budgetBuckets = 10
)

// A budget bounds retries relative to requests. It is safe for concurrent use.
type budget struct {
	mu      sync.Mutex
	buckets [budgetBuckets]budgetBucket
}

type budgetBucket struct {
	period   int64
	requests int
	retries  int
}

func (b *budget) bucket(now time.Time) *budgetBucket {
	period := now.UnixNano() / int64(budgetSpan/budgetBuckets)
	bucket := &b.buckets[period%budgetBuckets]
	if bucket.period != period {
		*bucket = budgetBucket{period: period}
	}
	return bucket
}

// request counts a request.
func (b *budget) request(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bucket(now).requests++
}

// retry counts a retry and reports whether the budget allows it.
func (b *budget) retry(now time.Time) bool {
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
	if float64(retries+1) > budgetShare*float64(requests)+budgetBase {
		return false
	}
	current.retries++
	return true
}
