package acceptor

import (
	"context"
	"os"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// watchDelay is how long a batch runs before its caller is watched. Most
// batches end sooner and are spared the cost.
const watchDelay = 100 * time.Millisecond

// watch cancels the running batch when its caller leaves, so that it does not
// hold a slot for nobody. What the caller sends meanwhile is read ahead, up to
// one buffer, which ends the watch. The function that is returned ends it too;
// until then the reader is not used otherwise.
func (c *connection) watch(cancel context.CancelFunc) (end func()) {
	if c.reader.buffered() > 0 {
		return func() {}
	}
	var ended atomic.Bool
	done := make(chan struct{})
	timer := time.AfterFunc(watchDelay, func() {
		defer close(done)
		c.waiting = true
		defer func() { c.waiting = false }()
		err := c.reader.wait()
		for errors.Is(err, os.ErrDeadlineExceeded) && !ended.Load() {
			// The connection was woken for a check, which has to wait.
			err = c.reader.wait()
		}
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			cancel()
		}
	})
	return func() {
		if timer.Stop() {
			return
		}
		ended.Store(true)
		c.wake()
		<-done
	}
}
