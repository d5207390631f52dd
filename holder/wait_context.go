package holder

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// A waitContext ends with its parent or when the holder is drained. The merged
// context is created only when a goroutine waits for the end, since most batches
// never do and creating it costs as much as the rest of the admission.
type waitContext struct {
	parent   context.Context
	drainCtx context.Context

	once   sync.Once
	merged atomic.Pointer[mergedContext]
}

type mergedContext struct {
	context.Context
	stop func()
}

// merge returns the merged context, which it creates at the first call.
func (c *waitContext) merge() context.Context {
	c.once.Do(func() {
		merged, cancel := context.WithCancelCause(c.parent)
		stop := context.AfterFunc(c.drainCtx, func() { cancel(errHeldElsewhere) })
		c.merged.Store(&mergedContext{Context: merged, stop: func() {
			stop()
			cancel(nil)
		}})
	})
	return c.merged.Load()
}

// release releases the merged context, if there is one.
func (c *waitContext) release() {
	if merged := c.merged.Load(); merged != nil {
		merged.stop()
	}
}

// Deadline returns the deadline of the parent.
func (c *waitContext) Deadline() (time.Time, bool) { return c.parent.Deadline() }

// Done returns a channel that is closed when either context ends.
func (c *waitContext) Done() <-chan struct{} { return c.merge().Done() }

// Err returns the reason why the context has ended.
func (c *waitContext) Err() error {
	if c.merged.Load() == nil && c.parent.Err() == nil && c.drainCtx.Err() != nil {
		// The merged context ends only after its AfterFunc has run.
		<-c.merge().Done()
	}
	return c.current().Err()
}

// Value returns a value of the merged context, or of the parent if there is
// none; context.Cause finds the cause through it.
func (c *waitContext) Value(key any) any { return c.current().Value(key) }

func (c *waitContext) current() context.Context {
	if merged := c.merged.Load(); merged != nil {
		return merged
	}
	return c.parent
}
