package holder

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// An inFlightCounter counts running operations and allows callers to wait until
// there are none. Each batch updates it, so add takes the lock only while a
// goroutine waits.
type inFlightCounter struct {
	n atomic.Int64
	// hasWaiters is set while a goroutine waits for zero.
	hasWaiters atomic.Bool

	mu sync.Mutex
	// zero is closed when n becomes 0; it is nil while no goroutine waits.
	zero chan struct{}
}

func (c *inFlightCounter) add(delta int) {
	if c.n.Add(int64(delta)) == 0 && c.hasWaiters.Load() {
		c.wakeWaiters()
	}
}

// wakeWaiters makes all waiters check n again.
func (c *inFlightCounter) wakeWaiters() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hasWaiters.Store(false)
	if c.zero != nil {
		close(c.zero)
		c.zero = nil
	}
}

// wait returns when n is 0, or with the cause of ctx.
func (c *inFlightCounter) wait(ctx context.Context) error {
	for {
		c.mu.Lock()
		if c.zero == nil {
			c.zero = make(chan struct{})
		}
		zero := c.zero
		// add changes n before it reads hasWaiters, and this code reads n after it
		// has set hasWaiters, so at least one side observes the change of the other.
		c.hasWaiters.Store(true)
		c.mu.Unlock()
		if c.n.Load() == 0 {
			return nil
		}
		select {
		case <-zero:
		case <-ctx.Done():
			return errors.WithStack(context.Cause(ctx))
		}
	}
}

func (c *inFlightCounter) value() int { return int(c.n.Load()) }

// A writeGate blocks batches that may write during a switchover.
type writeGate struct {
	mu         sync.Mutex
	pauseCount int
	resumed    chan struct{}
	writers    inFlightCounter
}

// enter counts a batch or transaction that may write. While the gate is paused,
// it counts nothing and returns a channel that is closed when the gate is
// resumed. Each successful call must be followed by one call of leave.
func (g *writeGate) enter() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.pauseCount > 0 {
		return g.resumed
	}
	g.writers.add(1)
	return nil
}

func (g *writeGate) leave() { g.writers.add(-1) }

// pause blocks new writers and waits until the current ones have left. If ctx
// ends first, the gate is resumed.
func (g *writeGate) pause(ctx context.Context) (resume func(), err error) {
	g.mu.Lock()
	if g.pauseCount == 0 {
		g.resumed = make(chan struct{})
	}
	g.pauseCount++
	g.mu.Unlock()
	resume = sync.OnceFunc(g.resume)
	if err := g.writers.wait(ctx); err != nil {
		resume()
		return func() {}, err
	}
	return resume, nil
}

func (g *writeGate) resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pauseCount--
	if g.pauseCount == 0 {
		close(g.resumed)
	}
}
