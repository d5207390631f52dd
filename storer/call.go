package storer

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
	"google.golang.org/grpc"

	"github.com/endiveturn/endiveturn/timekeeper"
)

// maxAttempts bounds the attempts of an idempotent call.
const maxAttempts = 3

// A retryPolicy determines whether a call may be retried after a failure.
type retryPolicy bool

const (
	noRetry         retryPolicy = false
	retryIdempotent retryPolicy = true
)

// call runs f on an established connection within the timeout. After a failure
// without a response an idempotent call is retried with backoff and, if there is
// one, at another address, until the timeout, maxAttempts or the retry budget is
// exhausted.
func (c *Client) call(ctx context.Context, operation Operation, policy retryPolicy, f func(context.Context, grpc.ClientConnInterface) error) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout())
	defer cancel()
	backOff := newBackOff()
	for attempt := 1; ; attempt++ {
		err := c.attempt(ctx, operation, policy, f)
		if err == nil || outcomeKnown(err) || policy == noRetry || attempt == maxAttempts {
			return err
		}
		if !c.takeRetry() || !timekeeper.Sleep(ctx, backOff.NextBackOff()) {
			return err
		}
	}
}

func (c *Client) attempt(ctx context.Context, operation Operation, policy retryPolicy, f func(context.Context, grpc.ClientConnInterface) error) error {
	number := c.beginCall()
	conn, index, err := c.readyConn(ctx)
	if err != nil {
		return unavailable(operation, err)
	}
	if policy == retryIdempotent && len(c.Addresses) > 1 {
		// Limit each attempt, so that an address that accepts connections but
		// never responds leaves time for another one.
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.timeout()/maxAttempts)
		defer cancel()
	}
	c.counts.add(operation)
	err = mapGRPCError(operation, f(ctx, conn))
	if err != nil && !outcomeKnown(err) {
		// If the caller cancelled the call, the failure does not indicate a
		// problem of the address.
		if !errors.Is(context.Cause(ctx), context.Canceled) {
			c.failOver(index, err)
		}
		return err
	}
	c.setPreferred(index, number)
	return err
}

func newBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = 25 * time.Millisecond
	// Factor 1 draws the delay from the whole range between 0 and twice the
	// interval, so that clients do not retry in synchronized waves when the
	// store recovers.
	b.RandomizationFactor = 1
	b.Multiplier = 2
	b.MaxInterval = time.Second
	b.Reset()
	return b
}

const (
	// retryBurst and retryRate limit the retries of a client, so that retries
	// do not prevent an overloaded store from recovering.
	retryBurst = 10
	retryRate  = 0.5 // per second
)

// A retryBudget is a token bucket for retries. Its zero value is full.
type retryBudget struct {
	used    float64
	updated time.Time
}

func (b *retryBudget) take(now time.Time) bool {
	if !b.updated.IsZero() {
		b.used = max(0, b.used-retryRate*now.Sub(b.updated).Seconds())
	}
	b.updated = now
	if b.used+1 > retryBurst {
		return false
	}
	b.used++
	return true
}

func (c *Client) takeRetry() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.budget.take(c.now())
}
