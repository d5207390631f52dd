package holder

import (
	"context"
	"sync"

	"github.com/pkg/errors"
)

// A counter counts work that is under way and lets others wait for its end.
type counter struct {
	mu sync.Mutex
	n  int
	// zero is closed when n becomes 0; it is nil while nobody waits.
	zero chan struct{}
}

func (c *counter) add(delta int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n += delta
	if c.n == 0 && c.zero != nil {
		close(c.zero)
		c.zero = nil
	}
}

// wait returns when n is 0, or with the cause of ctx.
func (c *counter) wait(ctx context.Context) error {
	for {
		c.mu.Lock()
		if c.n == 0 {
			c.mu.Unlock()
			return nil
		}
		if c.zero == nil {
			c.zero = make(chan struct{})
		}
		zero := c.zero
		c.mu.Unlock()
		select {
		case <-zero:
		case <-ctx.Done():
			return errors.WithStack(context.Cause(ctx))
		}
	}
}

func (c *counter) value() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n
}

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
