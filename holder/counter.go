package holder

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// A counter counts work that is under way and lets others wait for its end.
// Every batch adds to it, so that it takes the lock only while somebody waits.
type counter struct {
	n atomic.Int64
	// waited is set while somebody waits for zero.
	waited atomic.Bool

	mu sync.Mutex
	// zero is closed when n becomes 0; it is nil while nobody waits.
	zero chan struct{}
}

func (c *counter) add(delta int) {
	if c.n.Add(int64(delta)) == 0 && c.waited.Load() {
		c.wake()
	}
}

// wake lets those who wait look again.
func (c *counter) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waited.Store(false)
	if c.zero != nil {
		close(c.zero)
		c.zero = nil
	}
}

// wait returns when n is 0, or with the cause of ctx.
func (c *counter) wait(ctx context.Context) error {
	for {
		c.mu.Lock()
		if c.zero == nil {
			c.zero = make(chan struct{})
		}
		zero := c.zero
		// add changes n before it looks at waited, and this looks at n after it
		// has set waited, so that one of both sees the other.
		c.waited.Store(true)
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

func (c *counter) value() int { return int(c.n.Load()) }

// A gate holds back what may write while the primary is changed as planned.
type gate struct {
	mu      sync.Mutex
	pauses  int
	resumed chan struct{}
	running counter
}

// enter counts a batch or transaction that may write. While the gate is paused
// it returns a channel that is closed on resumption instead; nothing is counted
// then. Each success is followed by one leave.
func (g *gate) enter() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.pauses > 0 {
		return g.resumed
	}
	g.running.add(1)
	return nil
}

func (g *gate) leave() { g.running.add(-1) }

// pause closes the gate and waits until everything inside has left. When ctx
// ends before that, the gate opens again.
func (g *gate) pause(ctx context.Context) (resume func(), err error) {
	g.mu.Lock()
	if g.pauses == 0 {
		g.resumed = make(chan struct{})
	}
	g.pauses++
	g.mu.Unlock()
	resume = sync.OnceFunc(g.open)
	if err := g.running.wait(ctx); err != nil {
		resume()
		return func() {}, err
	}
	return resume, nil
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pauses--
	if g.pauses == 0 {
		close(g.resumed)
	}
}
