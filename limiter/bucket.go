package limiter

import (
	"slices"
	"time"
)

// A Share is the part of a customer's limit that is assigned to one service.
type Share struct {
	// Rate is the number of tokens added to the bucket per second.
	Rate float64
	// Burst is the capacity of the bucket, at least 1.
	Burst float64
	// TotalRate is the customer's rate summed over all services, at least Rate.
	TotalRate float64
}

// A reservation is capacity that a donor keeps free while tokens that it sent
// are in transit.
type reservation struct {
	amount    float64
	expiresAt time.Time
}

// A waiter is a batch that waits for a token until its deadline.
type waiter struct {
	deadline time.Time
	// done is closed when the waiter is granted a token or dropped from the queue.
	done chan struct{}
	// granted is true if the waiter got a token. It is set before done is closed.
	granted bool
}

// A bucket is the token bucket of one customer for one service. Its tokens, plus
// those in transit from it to other holders, never exceed its burst.
type bucket struct {
	share Share
	// level is the number of tokens at the time updated, at most the capacity
	// that is not reserved.
	level   float64
	updated time.Time
	// reservations are ordered by expiry.
	reservations []reservation
	// created is when this host became the holder of the service.
	created time.Time
	// demand is an estimate of the tokens taken per second.
	demand float64
	// waiters are the batches that wait for a token, in order of arrival. While
	// there are any, one goroutine serves them.
	waiters []*waiter
	// pullInProgress is set while tokens are being requested from other holders.
	pullInProgress bool
	// tokensReceived is closed and replaced when tokens arrive from a donor.
	tokensReceived chan struct{}
}

// newBucket returns an empty bucket, since the previous holder may have admitted
// the whole burst just before.
func newBucket(share Share, now time.Time) *bucket {
	return &bucket{share: share, updated: now, created: now, tokensReceived: make(chan struct{})}
}

// reserved returns the capacity reserved for tokens in transit, and removes
// expired reservations.
func (b *bucket) reserved(now time.Time) float64 {
	for len(b.reservations) > 0 && !now.Before(b.reservations[0].expiresAt) {
		b.reservations = b.reservations[1:]
	}
	total := 0.0
	for _, r := range b.reservations {
		total += r.amount
	}
	return total
}

// refill adds the tokens that accrued since the last call. The level never
// exceeds the capacity that is not reserved; a reservation that expired during
// the interval counts up to its expiry.
func (b *bucket) refill(now time.Time) {
	elapsed := now.Sub(b.updated).Seconds()
	if elapsed < 0 {
		return
	}
	reserved := 0.0
	for _, r := range b.reservations {
		reserved += r.amount
	}
	start := b.updated
	for len(b.reservations) > 0 && !now.Before(b.reservations[0].expiresAt) {
		expiresAt := b.reservations[0].expiresAt
		b.addTokens(expiresAt.Sub(start).Seconds(), b.share.Burst-reserved)
		reserved -= b.reservations[0].amount
		b.reservations = b.reservations[1:]
		start = expiresAt
	}
	b.addTokens(now.Sub(start).Seconds(), b.share.Burst-reserved)
	b.demand *= decay(elapsed)
	b.updated = now
}

func (b *bucket) addTokens(seconds, capacity float64) {
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

// grantTokens grants tokens to waiters in order of arrival and drops those whose
// deadline has passed.
func (b *bucket) grantTokens(now time.Time) {
	for len(b.waiters) > 0 {
		first := b.waiters[0]
		first.granted = now.Before(first.deadline) && b.take(now)
		if !first.granted && now.Before(first.deadline) {
			return
		}
		b.waiters = b.waiters[1:]
		close(first.done)
	}
}

// cancelWaiters drops all waiters.
func (b *bucket) cancelWaiters() {
	for _, w := range b.waiters {
		close(w.done)
	}
	b.waiters = nil
}

// nextCheckDelay returns how long it takes until the bucket's own rate yields a
// token for the first waiter, at most until the waiter's deadline. The bucket
// must have waiters.
func (b *bucket) nextCheckDelay(now time.Time) time.Duration {
	wait := b.waiters[0].deadline.Sub(now)
	if b.share.Rate > 0 {
		refillTime := time.Duration((1 - b.level) / b.share.Rate * float64(time.Second))
		wait = min(wait, refillTime)
	}
	return max(minCheckInterval, wait)
}

// removeWaiter removes a waiter whose context has ended and reports whether it
// was still in the queue.
func (b *bucket) removeWaiter(w *waiter) bool {
	i := slices.Index(b.waiters, w)
	if i < 0 {
		return false
	}
	b.waiters = slices.Delete(b.waiters, i, i+1)
	return true
}

// freeCapacity returns how many more tokens the bucket can hold.
func (b *bucket) freeCapacity(now time.Time) float64 {
	b.refill(now)
	return max(0, b.share.Burst-b.reserved(now)-b.level)
}

// donate removes up to wanted tokens for another holder and reserves their
// capacity until the receiver can no longer accept them.
func (b *bucket) donate(wanted float64, now time.Time) float64 {
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
	b.reservations = append(b.reservations, reservation{amount: amount, expiresAt: now.Add(TransferTimeout)})
	return amount
}

// accept adds tokens that another holder sent and returns how many fitted.
func (b *bucket) accept(amount float64, now time.Time) float64 {
	amount = min(amount, b.freeCapacity(now))
	b.level += amount
	close(b.tokensReceived)
	b.tokensReceived = make(chan struct{})
	return amount
}

// setShare replaces the share. Tokens above the new capacity are discarded.
func (b *bucket) setShare(share Share, now time.Time) {
	b.refill(now)
	b.share = share
	b.level = min(b.level, max(0, share.Burst-b.reserved(now)))
}
