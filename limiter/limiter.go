// Package limiter keeps customers within their rate and burst over all hosts.
// The tokens of a customer are split over its services; the holders of those
// services transfer tokens to each other, which conserves their number.
package limiter

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// TransferTimeout is how long tokens may be on their way. The donor gives
	// up their capacity for this time after it sent them, and the receiver
	// discards a reply that comes later than this after its request.
	TransferTimeout = 50 * time.Millisecond
	// minDelay bounds how often waiters are looked at.
	minDelay = time.Millisecond
	// demandWindow is the time over which the demand of a bucket is averaged.
	demandWindow = time.Second
	// busyReserve is the part of its burst that a busy donor keeps.
	busyReserve = 0.5
	// lowLevel is the part of its burst below which a bucket asks for more.
	lowLevel = 0.25
	// pullInterval is the least time between two pulls for one bucket that
	// brought nothing.
	pullInterval = 20 * time.Millisecond
	// settlePeriod is how long a bucket waits before it uses a larger share:
	// by then every host has the revision or refuses keyed routes.
	settlePeriod = 5 * time.Second
	// takeoverPeriod is the time after a change of holder in which batches
	// wait longer for tokens, since a backlog meets an empty bucket.
	takeoverPeriod = 10 * time.Second
	takeoverFactor = 4
)

// ErrRateExceeded says that the customer's rate and burst are used up.
var ErrRateExceeded = errors.New("rate exceeded")

// ErrNotHeld says that this host has no bucket of that name.
var ErrNotHeld = errors.New("no bucket held")

// A Name identifies a bucket.
type Name struct {
	Customer string
	Service  string
}

// A PullRequest asks the holder of another service of the customer for tokens.
type PullRequest struct {
	// From is the bucket that is asked.
	From Name
	// Amount is the number of tokens wanted, above 0.
	Amount float64
}

// A PullReply answers a PullRequest.
type PullReply struct {
	// Amount is the number of tokens given, between 0 and the one wanted.
	Amount float64
}

// A Limiter holds the buckets of the services that this host holds. Its
// exported fields are set before first use.
type Limiter struct {
	// Now returns the time with a monotonic reading.
	Now func() time.Time
	// Wait is how long a batch waits for a token before it is refused.
	Wait time.Duration
	// Donors returns the other buckets of a customer.
	Donors func(Name) []Name
	// Pull sends a request to the holder of request.From. It is nil where
	// there are no other holders.
	Pull func(ctx context.Context, request PullRequest) (PullReply, error)
	// Moved is called with the number of tokens received; it may be nil.
	Moved func(name Name, amount float64)

	mu      sync.Mutex
	buckets map[Name]*bucket
	// pending holds larger shares that are not in force yet.
	pending map[Name]pendingShare
}

type pendingShare struct {
	share Share
	at    time.Time
}

// Configure sets the share of a bucket, which starts empty if it is new. A
// smaller share is in force at once, a larger one after the other holders have
// had time to lower theirs.
func (l *Limiter) Configure(name Name, share Share) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	if l.buckets == nil {
		l.buckets = make(map[Name]*bucket)
		l.pending = make(map[Name]pendingShare)
	}
	b, ok := l.buckets[name]
	if !ok {
		l.buckets[name] = newBucket(share, now)
		return
	}
	if p, ok := l.pending[name]; ok && p.share == share {
		return
	}
	delete(l.pending, name)
	lower := share
	lower.Rate = min(share.Rate, b.share.Rate)
	lower.Burst = min(share.Burst, b.share.Burst)
	b.reshare(lower, now)
	if lower != share {
		l.pending[name] = pendingShare{share: share, at: now.Add(settlePeriod)}
	}
}

// Drop forgets the buckets of a service that this host no longer holds.
func (l *Limiter) Drop(service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name := range l.buckets {
		if name.Service == service {
			l.remove(name)
		}
	}
}

// Remove forgets one bucket, whose customer no longer reaches the service.
func (l *Limiter) Remove(name Name) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.remove(name)
}

// remove forgets a bucket and refuses what waits for it. The caller holds mu.
func (l *Limiter) remove(name Name) {
	if b := l.buckets[name]; b != nil {
		b.abandon()
	}
	delete(l.buckets, name)
	delete(l.pending, name)
}

// Names returns the buckets that this host has.
func (l *Limiter) Names() []Name {
	l.mu.Lock()
	defer l.mu.Unlock()
	names := make([]Name, 0, len(l.buckets))
	for name := range l.buckets {
		names = append(names, name)
	}
	return names
}

// Level returns the tokens in a bucket and its capacity.
func (l *Limiter) Level(name Name) (level, burst float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.find(name)
	if b == nil {
		return 0, 0
	}
	b.refill(l.Now())
	return b.level, b.share.Burst
}

// find returns the bucket after a pending share whose time has come is set.
// The caller holds mu.
func (l *Limiter) find(name Name) *bucket {
	b := l.buckets[name]
	if b == nil {
		return nil
	}
	now := l.Now()
	if p, ok := l.pending[name]; ok && !now.Before(p.at) {
		b.reshare(p.share, now)
		delete(l.pending, name)
	}
	return b
}

// Give answers a request of another holder.
func (l *Limiter) Give(request PullRequest) PullReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.find(request.From)
	if b == nil || math.IsNaN(request.Amount) || request.Amount <= 0 {
		return PullReply{}
	}
	return PullReply{Amount: b.give(request.Amount, l.Now())}
}

// Acquire takes one token, and waits for it up to patience, or up to Wait if
// patience is 0. Errors are ErrRateExceeded, ErrNotHeld and those of ctx.
func (l *Limiter) Acquire(ctx context.Context, name Name, patience time.Duration) error {
	w, err := l.enqueue(name, patience)
	if err != nil || w == nil {
		return err
	}
	select {
	case <-w.done:
	case <-ctx.Done():
		if l.withdraw(name, w) {
			return errors.WithStack(ctx.Err())
		}
	}
	if !w.taken {
		return errors.Wrapf(ErrRateExceeded, "customer %s", name.Customer)
	}
	return nil
}

// enqueue takes a token if it can, and returns a waiter otherwise.
func (l *Limiter) enqueue(name Name, patience time.Duration) (*waiter, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.find(name)
	if b == nil {
		return nil, errors.Wrapf(ErrNotHeld, "customer %s service %s", name.Customer, name.Service)
	}
	now := l.Now()
	if len(b.waiters) == 0 && b.take(now) {
		if b.level < b.share.Burst*lowLevel {
			l.startPull(b, name, now)
		}
		return nil, nil
	}
	if patience == 0 {
		patience = l.wait(b, now)
	}
	if float64(len(b.waiters)) >= b.share.TotalRate*patience.Seconds()+1 {
		return nil, errors.Wrapf(ErrRateExceeded, "customer %s", name.Customer)
	}
	w := &waiter{until: now.Add(patience), done: make(chan struct{})}
	b.waiters = append(b.waiters, w)
	if len(b.waiters) == 1 {
		go l.serve(name, b)
	}
	return w, nil
}

// serve runs while the bucket has waiters.
func (l *Limiter) serve(name Name, b *bucket) {
	for {
		l.mu.Lock()
		now := l.Now()
		if l.find(name) != b {
			b.abandon()
		}
		b.serve(now)
		if len(b.waiters) == 0 {
			l.mu.Unlock()
			return
		}
		l.startPull(b, name, now)
		changed := b.changed
		timer := time.NewTimer(b.delay(now))
		l.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (l *Limiter) withdraw(name Name, w *waiter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[name]
	return b != nil && b.withdraw(w)
}

// wait returns how long a batch waits, which is longer after a takeover.
func (l *Limiter) wait(b *bucket, now time.Time) time.Duration {
	if now.Sub(b.created) < takeoverPeriod {
		return l.Wait * takeoverFactor
	}
	return l.Wait
}

// startPull asks other holders for tokens unless that is under way. The caller
// holds mu.
func (l *Limiter) startPull(b *bucket, name Name, now time.Time) {
	if b.pulling || l.Pull == nil || l.Donors == nil {
		return
	}
	amount := b.missing(now)
	if amount <= 0 || len(l.Donors(name)) == 0 {
		return
	}
	b.pulling = true
	go l.pull(name, b, amount)
}

// pull asks the donors in turn until the amount has come. After a round that
// brought nothing it pauses, so that an exhausted customer causes few messages.
func (l *Limiter) pull(name Name, b *bucket, amount float64) {
	got := 0.0
	for _, donor := range l.Donors(name) {
		if amount-got < 1 && got > 0 {
			break
		}
		got += l.pullFrom(name, donor, amount-got)
	}
	if got < 1 {
		time.Sleep(pullInterval)
	}
	l.mu.Lock()
	b.pulling = false
	l.mu.Unlock()
	if l.Moved != nil && got > 0 {
		l.Moved(name, got)
	}
}

func (l *Limiter) pullFrom(name, donor Name, amount float64) float64 {
	ctx, cancel := context.WithTimeout(context.Background(), TransferTimeout)
	defer cancel()
	sent := l.Now()
	reply, err := l.Pull(ctx, PullRequest{From: donor, Amount: amount})
	if err != nil || reply.Amount <= 0 || reply.Amount > amount {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	b := l.find(name)
	// The check stands under the lock, right before the tokens count: a pause
	// of this process in between would let the donor refill first.
	if b == nil || now.Sub(sent) >= TransferTimeout {
		return 0
	}
	return b.accept(reply.Amount, now)
}

func decay(seconds float64) float64 {
	return math.Exp(-seconds / demandWindow.Seconds())
}
