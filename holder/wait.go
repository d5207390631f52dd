package holder

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// A waitContext ends with its parent or when the holder is drained. It is joined
// from both only when somebody waits on it, since most batches never do; the
// join costs as much as the rest of the admission.
type waitContext struct {
	parent context.Context
	moving context.Context

	once   sync.Once
	joined atomic.Pointer[joinedContext]
}

type joinedContext struct {
	context.Context
	stop func()
}

// join makes the context that others can wait on.
func (c *waitContext) join() context.Context {
	c.once.Do(func() {
		joined, cancel := context.WithCancelCause(c.parent)
		stop := context.AfterFunc(c.moving, func() { cancel(errMoved) })
		c.joined.Store(&joinedContext{Context: joined, stop: func() {
			stop()
			cancel(nil)
		}})
	})
	return c.joined.Load()
}

// release gives back what a join has taken.
func (c *waitContext) release() {
	if joined := c.joined.Load(); joined != nil {
		joined.stop()
	}
}

// Deadline returns the deadline of the parent.
func (c *waitContext) Deadline() (time.Time, bool) { return c.parent.Deadline() }

// Done returns a channel that is closed when either context ends.
func (c *waitContext) Done() <-chan struct{} { return c.join().Done() }

// Err returns the reason for which the context has ended.
func (c *waitContext) Err() error {
	if c.joined.Load() == nil && c.parent.Err() == nil && c.moving.Err() != nil {
		// The joined context ends as soon as its function has run.
		<-c.join().Done()
	}
	return c.present().Err()
}

// Value returns a value of the parent; context.Cause finds the cause through it.
func (c *waitContext) Value(key any) any { return c.present().Value(key) }

func (c *waitContext) present() context.Context {
	if joined := c.joined.Load(); joined != nil {
		return joined
	}
	return c.parent
}
