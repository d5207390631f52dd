package holder

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// A runContext ends with its parent or at the deadline of the batch, with the
// cause errDeadline then. A context of the library is made only when somebody
// waits on it or it has ended, since making and ending one for each batch cost as
// much as sending it to the database.
type runContext struct {
	parent   context.Context
	deadline time.Time

	once   sync.Once
	joined atomic.Pointer[cancellable]
}

type cancellable struct {
	context.Context
	cancel context.CancelFunc
}

// join makes the context that others can wait on.
func (c *runContext) join() context.Context {
	c.once.Do(func() {
		joined, cancel := context.WithDeadlineCause(c.parent, c.deadline, errDeadline)
		c.joined.Store(&cancellable{Context: joined, cancel: cancel})
	})
	return c.joined.Load()
}

// release gives back what a join has taken.
func (c *runContext) release() {
	if joined := c.joined.Load(); joined != nil {
		joined.cancel()
	}
}

// Deadline returns the earlier of the deadlines of the batch and the parent.
func (c *runContext) Deadline() (time.Time, bool) {
	if deadline, ok := c.parent.Deadline(); ok && deadline.Before(c.deadline) {
		return deadline, true
	}
	return c.deadline, true
}

// Done returns a channel that is closed when the context ends.
func (c *runContext) Done() <-chan struct{} { return c.join().Done() }

// Err returns the reason for which the context has ended.
func (c *runContext) Err() error { return c.present().Err() }

// Value returns a value of the parent; context.Cause finds the cause through it.
func (c *runContext) Value(key any) any { return c.present().Value(key) }

// present returns the parent while it speaks for this context.
func (c *runContext) present() context.Context {
	if joined := c.joined.Load(); joined != nil {
		return joined
	}
	if c.parent.Err() != nil || !time.Now().Before(c.deadline) {
		return c.join()
	}
	return c.parent
}

// afterFunc calls f in its own goroutine when the context ends, as
// context.AfterFunc does. The returned function reports whether it has kept f
// from being called; if not, the context has ended and has its cause.
func (c *runContext) afterFunc(f func()) (stop func() bool) {
	var decided atomic.Bool
	ended := func() {
		// A context that was joined has its own timer, which may be later.
		<-c.Done()
		if decided.CompareAndSwap(false, true) {
			f()
		}
	}
	stopParent := context.AfterFunc(c.parent, ended)
	timer := time.AfterFunc(time.Until(c.deadline), ended)
	return func() bool {
		stopParent()
		timer.Stop()
		return decided.CompareAndSwap(false, true)
	}
}
