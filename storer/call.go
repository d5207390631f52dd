package storer

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
	"google.golang.org/grpc"
)

// maxAttempts bounds how often a call that changes nothing is sent.
const maxAttempts = 3

// repetition says whether a call may be sent again after a failure.
type repetition bool

const (
	once       repetition = false
	repeatable repetition = true
)

// call runs f on an established connection within the timeout. A repeatable
// call is sent again, after a pause and to another address, while the time and
// the retry budget last.
func (c *Client) call(ctx context.Context, operation Operation, repeat repetition, f func(context.Context, grpc.ClientConnInterface) error) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout())
	defer cancel()
	pause := newBackOff()
	for attempt := 1; ; attempt++ {
		err := c.attempt(ctx, operation, repeat, f)
		if err == nil || answered(err) || repeat == once || attempt == maxAttempts {
			return err
		}
		if !c.spendRetry() || !sleep(ctx, pause.NextBackOff()) {
			return err
		}
	}
}

func (c *Client) attempt(ctx context.Context, operation Operation, repeat repetition, f func(context.Context, grpc.ClientConnInterface) error) error {
	conn, index, err := c.ready(ctx)
	if err != nil {
		return unavailable(operation, err)
	}
	if repeat == repeatable && len(c.Addresses) > 1 {
		// An address that accepts connections and never answers must leave
		// time for another one.
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.timeout()/maxAttempts)
		defer cancel()
	}
	c.counts.add(operation)
	err = translate(operation, f(ctx, conn))
	if err != nil && !answered(err) {
		// A caller that gave up says nothing about the address.
		if !errors.Is(context.Cause(ctx), context.Canceled) {
			c.avoid(index, err)
		}
		return err
	}
	c.prefer(index)
	return err
}

func newBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = 25 * time.Millisecond
	// Factor 1 draws from the whole range between 0 and twice the interval,
	// so that the callers of a store that returns do not come in waves.
	b.RandomizationFactor = 1
	b.Multiplier = 2
	b.MaxInterval = time.Second
	b.Reset()
	return b
}

// sleep waits, and reports whether ctx lasted that long.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

const (
	// retryBurst and retryRate bound the attempts that a client adds to its
	// calls, so that retries do not keep an overloaded store down.
	retryBurst = 10
	retryRate  = 0.5 // per second
)

// A retryBudget is a token bucket for repeated attempts; its zero value is
// full.
type retryBudget struct {
	spent   float64
	updated time.Time
}

func (b *retryBudget) spend(now time.Time) bool {
	if !b.updated.IsZero() {
		b.spent = max(0, b.spent-retryRate*now.Sub(b.updated).Seconds())
	}
	b.updated = now
	if b.spent+1 > retryBurst {
		return false
	}
	b.spent++
	return true
}

func (c *Client) spendRetry() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.budget.spend(c.now())
}
