// Package limiter enforces the rate and burst of each customer across all hosts.
// A Limiter splits the tokens of a customer over its services; the holders of
// those services transfer tokens to each other, which conserves their number. In
// a FleetLimiter, each host deducts its own usage and the usage that other hosts
// report from its copy of the customer's bucket.
package limiter

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// TransferTimeout is how long tokens may be in transit. The donor reserves
	// their capacity for this time after it sent them, and the receiver
	// discards a reply that arrives later than this after its request.
	TransferTimeout = 50 * time.Millisecond
	// minCheckInterval is the minimum delay before the waiters are checked again.
	minCheckInterval = time.Millisecond
	// demandWindow is the time constant of the average of a bucket's demand.
	demandWindow = time.Second
	// busyReserve is the fraction of its burst that a busy donor keeps.
	busyReserve = 0.5
	// pullThreshold is the fraction of its burst below which a bucket requests
	// tokens from donors.
	pullThreshold = 0.25
	// pullBackoff is the minimum pause after a pull that brought less than one
	// token.
	pullBackoff = 20 * time.Millisecond
	// shareIncreaseDelay is how long a bucket waits before it uses a larger
	// share. By then every host has the revision of the configuration or
	// refuses requests on routes that require a key.
	shareIncreaseDelay = 5 * time.Second
	// takeoverPeriod is the time after a change of holder during which batches
	// wait takeoverWaitFactor times as long for tokens, because the new holder
	// faces a backlog with an empty bucket.
	takeoverPeriod     = 10 * time.Second
	takeoverWaitFactor = 4
)

// ErrRateExceeded indicates that the customer's rate and burst are exhausted.
var ErrRateExceeded = errors.New("rate exceeded")

// ErrNotHeld indicates that this host has no bucket of that name.
var ErrNotHeld = errors.New("no bucket held")

// A BucketName identifies a bucket.
type BucketName struct {
	Customer string
	Service  string
}

// A PullRequest requests tokens from the holder of another service of the customer.
type PullRequest struct {
	// From is the bucket from which tokens are requested.
	From BucketName
	// Amount is the number of tokens requested, above 0.
	Amount float64
}

// A PullReply is the reply to a PullRequest.
type PullReply struct {
	// Amount is the number of tokens sent, from 0 to the amount requested.
	Amount float64
}

// A Limiter contains the buckets of the services that this host holds. Its
// exported fields must be set before first use.
type Limiter struct {
	// Now returns the current time with a monotonic clock reading.
	Now func() time.Time
	// MaxWait is how long a batch waits for a token before it is refused. After a
	// change of holder, the limit is takeoverWaitFactor times MaxWait.
	MaxWait time.Duration
	// Donors returns the other buckets of a customer.
	Donors func(BucketName) []BucketName
	// Pull sends a request to the holder of request.From. It is nil if there
	// are no other holders.
	Pull func(ctx context.Context, request PullRequest) (PullReply, error)
	// OnTokensReceived is called with the number of tokens received by a pull. It
	// may be nil.
	OnTokensReceived func(name BucketName, amount float64)

	mu      sync.Mutex
	buckets map[BucketName]*bucket
	// pending contains larger shares that are not in effect yet.
	pending map[BucketName]pendingShare
}

type pendingShare struct {
	share       Share
	effectiveAt time.Time
}

// Configure sets the share of a bucket; a new bucket starts empty. A smaller
// share takes effect at once, a larger one only after the other holders have had
// time to lower theirs.
func (l *Limiter) Configure(name BucketName, share Share) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	if l.buckets == nil {
		l.buckets = make(map[BucketName]*bucket)
		l.pending = make(map[BucketName]pendingShare)
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
	b.setShare(lower, now)
	if lower != share {
		l.pending[name] = pendingShare{share: share, effectiveAt: now.Add(shareIncreaseDelay)}
	}
}

// RemoveService removes the buckets of a service that this host no longer holds.
func (l *Limiter) RemoveService(service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name := range l.buckets {
		if name.Service == service {
			l.remove(name)
		}
	}
}

// Remove removes one bucket, whose customer no longer has access to the service.
func (l *Limiter) Remove(name BucketName) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.remove(name)
}

// remove deletes a bucket and refuses the batches that wait for it. The caller
// holds mu.
func (l *Limiter) remove(name BucketName) {
	if b := l.buckets[name]; b != nil {
		b.cancelWaiters()
	}
	delete(l.buckets, name)
	delete(l.pending, name)
}

// Names returns the names of the buckets on this host.
func (l *Limiter) Names() []BucketName {
	l.mu.Lock()
	defer l.mu.Unlock()
	names := make([]BucketName, 0, len(l.buckets))
	for name := range l.buckets {
		names = append(names, name)
	}
	return names
}

// Level returns the number of tokens in a bucket and its burst.
func (l *Limiter) Level(name BucketName) (level, burst float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.currentBucket(name)
	if b == nil {
		return 0, 0
	}
	b.refill(l.Now())
	return b.level, b.share.Burst
}

// currentBucket returns the bucket after applying a pending share that is due, or
// nil if there is none of that name. The caller holds mu.
func (l *Limiter) currentBucket(name BucketName) *bucket {
	b := l.buckets[name]
	if b == nil {
		return nil
	}
	now := l.Now()
	if p, ok := l.pending[name]; ok && !now.Before(p.effectiveAt) {
		b.setShare(p.share, now)
		delete(l.pending, name)
	}
	return b
}

// HandlePull replies to a request from another holder for tokens.
func (l *Limiter) HandlePull(request PullRequest) PullReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.currentBucket(request.From)
	if b == nil || math.IsNaN(request.Amount) || request.Amount <= 0 {
		return PullReply{}
	}
	return PullReply{Amount: b.donate(request.Amount, l.Now())}
}

// Acquire takes one token and waits for it up to maxWait. If maxWait is 0, the
// limit is MaxWait, or takeoverWaitFactor times MaxWait after a change of holder.
// Errors are ErrRateExceeded, ErrNotHeld and those of ctx.
func (l *Limiter) Acquire(ctx context.Context, name BucketName, maxWait time.Duration) error {
	w, err := l.enqueue(name, maxWait)
	if err != nil || w == nil {
		return err
	}
	select {
	case <-w.done:
	case <-ctx.Done():
		if l.removeWaiter(name, w) {
			return errors.WithStack(ctx.Err())
		}
	}
	if !w.granted {
		return errors.Wrapf(ErrRateExceeded, "customer %s", name.Customer)
	}
	return nil
}

// enqueue takes a token if one is available and otherwise queues and returns a
// waiter.
func (l *Limiter) enqueue(name BucketName, maxWait time.Duration) (*waiter, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.currentBucket(name)
	if b == nil {
		return nil, errors.Wrapf(ErrNotHeld, "customer %s service %s", name.Customer, name.Service)
	}
	now := l.Now()
	if len(b.waiters) == 0 && b.take(now) {
		if b.level < b.share.Burst*pullThreshold {
			l.startPull(b, name, now)
		}
		return nil, nil
	}
	if maxWait == 0 {
		maxWait = l.defaultWait(b, now)
	}
	if float64(len(b.waiters)) >= b.share.TotalRate*maxWait.Seconds()+1 {
		return nil, errors.Wrapf(ErrRateExceeded, "customer %s", name.Customer)
	}
	w := &waiter{deadline: now.Add(maxWait), done: make(chan struct{})}
	b.waiters = append(b.waiters, w)
	if len(b.waiters) == 1 {
		go l.serveWaiters(name, b)
	}
	return w, nil
}

// serveWaiters grants tokens until the bucket has no waiters.
func (l *Limiter) serveWaiters(name BucketName, b *bucket) {
	for {
		l.mu.Lock()
		now := l.Now()
		if l.currentBucket(name) != b {
			b.cancelWaiters()
		}
		b.grantTokens(now)
		if len(b.waiters) == 0 {
			l.mu.Unlock()
			return
		}
		l.startPull(b, name, now)
		tokensReceived := b.tokensReceived
		timer := time.NewTimer(b.nextCheckDelay(now))
		l.mu.Unlock()
		select {
		case <-tokensReceived:
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (l *Limiter) removeWaiter(name BucketName, w *waiter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[name]
	return b != nil && b.removeWaiter(w)
}

// defaultWait returns how long a batch waits for a token, which is longer after
// a takeover.
func (l *Limiter) defaultWait(b *bucket, now time.Time) time.Duration {
	if now.Sub(b.created) < takeoverPeriod {
		return l.MaxWait * takeoverWaitFactor
	}
	return l.MaxWait
}

// startPull starts requesting tokens from other holders unless a pull is already
// in progress. The caller holds mu.
func (l *Limiter) startPull(b *bucket, name BucketName, now time.Time) {
	if b.pullInProgress || l.Pull == nil || l.Donors == nil {
		return
	}
	amount := b.freeCapacity(now)
	if amount <= 0 || len(l.Donors(name)) == 0 {
		return
	}
	b.pullInProgress = true
	go l.pull(name, b, amount)
}

// pull requests tokens from the donors one after another until the amount has
// been received. After a round that brought less than one token it pauses, so
// that an exhausted customer causes few messages.
func (l *Limiter) pull(name BucketName, b *bucket, amount float64) {
	received := 0.0
	for _, donor := range l.Donors(name) {
		if amount-received < 1 && received > 0 {
			break
		}
		received += l.pullFrom(name, donor, amount-received)
	}
	if received < 1 {
		time.Sleep(pullBackoff)
	}
	l.mu.Lock()
	b.pullInProgress = false
	l.mu.Unlock()
	if l.OnTokensReceived != nil && received > 0 {
		l.OnTokensReceived(name, received)
	}
}

func (l *Limiter) pullFrom(name, donor BucketName, amount float64) float64 {
	ctx, cancel := context.WithTimeout(context.Background(), TransferTimeout)
	defer cancel()
	sentAt := l.Now()
	reply, err := l.Pull(ctx, PullRequest{From: donor, Amount: amount})
	if err != nil || reply.Amount <= 0 || reply.Amount > amount {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	b := l.currentBucket(name)
	// The check is made under the lock, right before the tokens are added:
	// during a pause of this process in between, the donor could refill the
	// reserved capacity and the tokens would be counted twice.
	if b == nil || now.Sub(sentAt) >= TransferTimeout {
		return 0
	}
	return b.accept(reply.Amount, now)
}

func decay(seconds float64) float64 {
	return math.Exp(-seconds / demandWindow.Seconds())
}
