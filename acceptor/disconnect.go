package acceptor

import (
	"context"
	"os"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// watchInterval is the interval between checks for batches to watch. Batches
// that end within it avoid the cost of watching. One ticker serves all
// connections, since a timer for each batch raised the time of a batch from 19
// us to 35 us.
const watchInterval = 100 * time.Millisecond

// A batchRun is a batch in progress.
type batchRun struct {
	cancel func()
	// seenOnce is set when checkConnections first sees the run; at the next
	// check the client is watched.
	seenOnce bool
	// ended is set when the run has ended.
	ended atomic.Bool
	// watchDone is closed when watchClient has returned; nil if the client is
	// not watched.
	watchDone chan struct{}
}

// checkConnections starts watching the clients of batches that run for longer
// than watchInterval, and interrupts connections that leave a transaction idle
// for too long. It returns when no connection is left.
func (a *Acceptor) checkConnections() {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-a.drained:
			return
		case <-ticker.C:
			a.mu.Lock()
			for _, c := range a.byConnID {
				c.watchIfLong()
				if c.idleTransactionExpired() {
					c.interruptRead()
				}
			}
			a.mu.Unlock()
		}
	}
}

// watchIfLong starts watching the client if its batch has already been seen by
// an earlier check.
func (c *connection) watchIfLong() {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch r := c.running; {
	case r == nil || r.watchDone != nil:
	case !r.seenOnce:
		r.seenOnce = true
	default:
		r.watchDone = make(chan struct{})
		go c.watchClient(r)
	}
}

// watchClient cancels a run when its client disconnects, so that the run does
// not keep occupying a slot. Data that the client sends in the meantime is read
// ahead, up to one buffer, which ends the watch. Until watchDone is closed,
// nothing else may use the reader.
func (c *connection) watchClient(r *batchRun) {
	defer close(r.watchDone)
	c.awaitingRequest = true
	defer func() { c.awaitingRequest = false }()
	err := c.reader.wait()
	for errors.Is(err, os.ErrDeadlineExceeded) && !r.ended.Load() {
		// The read was interrupted for a check between requests, which is made
		// after the run.
		err = c.reader.wait()
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		r.cancel()
	}
}

// batchContext returns the context for the next run. It is reused until a run
// is canceled, since creating one for each batch costs several allocations;
// after endRun has returned, nothing cancels that run any more.
func (c *connection) batchContext(ctx context.Context) context.Context {
	if c.batchCtx == nil || c.batchCtx.Err() != nil {
		c.batchCtx, c.cancelBatchCtx = context.WithCancel(ctx)
	}
	return c.batchCtx
}

// beginRun makes r the run that is canceled and watched. It returns false if
// the connection is terminated.
func (c *connection) beginRun(r *batchRun) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running = r
	return !c.terminated
}

// endRun ends the run and stops watching its client.
func (c *connection) endRun() {
	c.mu.Lock()
	r := c.running
	c.running = nil
	c.mu.Unlock()
	r.ended.Store(true)
	if r.watchDone != nil {
		c.interruptRead()
		<-r.watchDone
	}
}
