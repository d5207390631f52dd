package limiter

import (
	"slices"
	"time"
)

// A Share is the part of a customer's limit that one service has.
type Share struct {
	// Rate is the number of tokens that the bucket gains per second.
	Rate float64
	// Burst is the capacity of the bucket, at least 1.
	Burst float64
	// TotalRate is the customer's rate over all services, at least Rate.
	TotalRate float64
}

// A loan is capacity that a donor gives up while tokens are on their way.
type loan struct {
	amount float64
	until  time.Time
}

// A waiter is a batch that waits for a token until a deadline.
type waiter struct {
	until time.Time
	// done is closed when the waiter has left the queue.
	done chan struct{}
	// taken says that it left with a token; it is set before done is closed.
	taken bool
}

// A bucket holds the tokens of one customer for one service. The tokens, plus
// those on their way from it to other holders, never exceed its burst.
type bucket struct {
	share Share
	// level is the number of tokens at the time updated, at most the capacity.
	level   float64
	updated time.Time
	// loans are in the order of their ends.
	loans []loan
	// created is when this host began to hold the service.
	created time.Time
	// demand estimates the tokens taken per second.
	demand float64
	// waiters are the batches that wait for a token, in the order of their
	// arrival. While there are any, one goroutine serves them.
	waiters []*waiter
	// pulling is set while a request to other holders is under way.
	pulling bool
	// changed is closed and replaced when tokens arrive.
	changed chan struct{}
}

// newBucket returns an empty bucket: an earlier holder may have admitted the
// whole burst just before.
func newBucket(share Share, now time.Time) *bucket {
	return &bucket{share: share, updated: now, created: now, changed: make(chan struct{})}
}

// lent returns the capacity that is given up for transfers under way.
func (b *bucket) lent(now time.Time) float64 {
	for len(b.loans) > 0 && !now.Before(b.loans[0].until) {
		b.loans = b.loans[1:]
	}
	total := 0.0
	for _, l := range b.loans {
		total += l.amount
	}
	return total
}

// refill adds the tokens gained since the last call. While capacity is lent,
// the level stays under what is left of it; a loan that ended in the middle of
// the interval is counted as if it had lasted to its end.
func (b *bucket) refill(now time.Time) {
	elapsed := now.Sub(b.updated).Seconds()
	if elapsed < 0 {
		return
	}
	lent := 0.0
	for _, l := range b.loans {
		lent += l.amount
	}
	start := b.updated
	for len(b.loans) > 0 && !now.Before(b.loans[0].until) {
		until := b.loans[0].until
		b.gain(until.Sub(start).Seconds(), b.share.Burst-lent)
		lent -= b.loans[0].amount
		b.loans = b.loans[1:]
		start = until
	}
	b.gain(now.Sub(start).Seconds(), b.share.Burst-lent)
	b.demand *= decay(elapsed)
	b.updated = now
}

func (b *bucket) gain(seconds, capacity float64) {
	if seconds > 0 {
		b.level = min(b.level+seconds*b.share.Rate, capacity)
	}
	b.level = max(0, min(b.level, capacity))
}

// take removes a token if there is one.
func (b *bucket) take(now time.Time) bool {
	b.refill(now)
	if b.level < 1 {
		return false
	}
	b.level--
	b.demand += 1 / demandWindow.Seconds()
	return true
}

// serve gives tokens to waiters in their order and drops those whose time is
// over.
func (b *bucket) serve(now time.Time) {
	for len(b.waiters) > 0 {
		first := b.waiters[0]
		first.taken = now.Before(first.until) && b.take(now)
		if !first.taken && now.Before(first.until) {
			return
		}
		b.waiters = b.waiters[1:]
		close(first.done)
	}
}

// abandon drops all waiters.
func (b *bucket) abandon() {
	for _, w := range b.waiters {
		close(w.done)
	}
	b.waiters = nil
}

// delay returns how long the first waiter has to wait for a token of the
// bucket's own rate, at most until its time is over. The bucket has waiters.
func (b *bucket) delay(now time.Time) time.Duration {
	wait := b.waiters[0].until.Sub(now)
	if b.share.Rate > 0 {
		due := time.Duration((1 - b.level) / b.share.Rate * float64(time.Second))
		wait = min(wait, due)
	}
	return max(minDelay, wait)
}

// withdraw removes a waiter that gives up and reports whether it still waited.
func (b *bucket) withdraw(w *waiter) bool {
	i := slices.Index(b.waiters, w)
	if i < 0 {
		return false
	}
	b.waiters = slices.Delete(b.waiters, i, i+1)
	return true
}

// missing returns how many tokens the bucket can still take in.
func (b *bucket) missing(now time.Time) float64 {
	b.refill(now)
	return max(0, b.share.Burst-b.lent(now)-b.level)
}

// give takes out up to wanted tokens for another holder and gives up their
// capacity until the receiver can no longer accept them.
func (b *bucket) give(wanted float64, now time.Time) float64 {
	b.refill(now)
	spare := b.level
	if b.demand > b.share.Rate/2 || len(b.waiters) > 0 {
		spare = b.level - b.share.Burst*busyReserve
	}
	amount := max(0, min(wanted, spare))
	if amount == 0 {
		return 0
	}
	b.level -= amount
	b.loans = append(b.loans, loan{amount: amount, until: now.Add(TransferTimeout)})
	return amount
}

// accept adds tokens that another holder gave.
func (b *bucket) accept(amount float64, now time.Time) float64 {
	amount = min(amount, b.missing(now))
	b.level += amount
	close(b.changed)
	b.changed = make(chan struct{})
	return amount
}

// reshare sets another share. Tokens above the new capacity are lost.
func (b *bucket) reshare(share Share, now time.Time) {
	b.refill(now)
	b.share = share
	b.level = min(b.level, max(0, share.Burst-b.lent(now)))
}
