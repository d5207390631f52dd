package holder

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// A runContext ends with its parent or, with the cause errDeadline, at the
// deadline of the batch. The derived standard context is created only when a
// goroutine waits for the end or the context has ended, since creating and
// cancelling one for each batch cost as much as sending the batch to the
// database.
type runContext struct {
	parent   context.Context
	deadline time.Time

	once    sync.Once
	derived atomic.Pointer[derivedContext]
}

type derivedContext struct {
	context.Context
	cancel context.CancelFunc
}

// derive returns the derived context, which it creates at the first call.
func (c *runContext) derive() context.Context {
	c.once.Do(func() {
		derived, cancel := context.WithDeadlineCause(c.parent, c.deadline, errDeadline)
		c.derived.Store(&derivedContext{Context: derived, cancel: cancel})
	})
	return c.derived.Load()
}

// release releases the derived context, if there is one.
func (c *runContext) release() {
	if derived := c.derived.Load(); derived != nil {
		derived.cancel()
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
func (c *runContext) Done() <-chan struct{} { return c.derive().Done() }

// Err returns the reason why the context has ended.
func (c *runContext) Err() error { return c.current().Err() }

// Value returns a value of the derived context, or of the parent if there is
// none; context.Cause finds the cause through it.
func (c *runContext) Value(key any) any { return c.current().Value(key) }

// current returns the derived context if it exists or the context has ended,
// and otherwise the parent.
func (c *runContext) current() context.Context {
	if derived := c.derived.Load(); derived != nil {
		return derived
	}
	if c.parent.Err() != nil || !time.Now().Before(c.deadline) {
		return c.derive()
	}
	return c.parent
}

// afterFunc calls f in its own goroutine when the context ends, like
// context.AfterFunc. The returned function reports whether it has prevented the
// call of f; if not, the context has ended and has its cause.
func (c *runContext) afterFunc(f func()) (stop func() bool) {
	var decided atomic.Bool
	ended := func() {
		// The derived context has its own timer, which may fire later.
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
