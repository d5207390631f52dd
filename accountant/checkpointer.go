package accountant

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/endiveturn/endiveturn/storer"
)

const (
	// checkpointInterval is the time between two checkpoints of counts that change. A kill
	// of all hosts makes the window in which it happens wrong in any case, since the counts of
	// the last 180 ms are not reported, so that a shorter interval would save no window.
	checkpointInterval = time.Second
	// boundaryInterval is the same from just before the end of a window until its counts no
	// longer change. It is added to the interval of reports, 180 ms, as the time after the
	// end of a window in which a kill of all hosts may make that window and the next one wrong.
	boundaryInterval = 100 * time.Millisecond
	// readTimeout bounds reading the checkpoint.
	readTimeout = 1200 * time.Millisecond
)

// A Checkpointer keeps the counts that the leader has collected in the store, so that they
// survive a kill of all hosts. Its exported fields are set before use. Step does not run
// concurrently with itself.
//
// No rule of the reports depends on the checkpoint: a window is counted only if it is not
// recorded, whatever the checkpoint contains.
type Checkpointer struct {
	Schedule Schedule
	Clock    *Clock
	Book     *Book
	// Now returns a monotonic time that includes the time the machine is suspended.
	Now func() time.Time
	// Leadership returns the leadership of this host; ok is false while it is not certain
	// to be the leader.
	Leadership func() (leadership Leadership, ok bool)
	// Read returns the checkpoint and its revision, 0 if there is none.
	Read func(ctx context.Context) (value []byte, revision int64, err error)
	// Write writes the checkpoint on condition that its revision is the expected one. It
	// returns a *storer.ConflictError if it is not.
	Write    func(ctx context.Context, value []byte, expectedRevision int64) (revision int64, err error)
	Logger   *slog.Logger
	Registry gometrics.Registry

	// takenOver is the token of the leadership for which the checkpoint was read.
	takenOver atomic.Int64
	// token is that of the leadership to which the fields below belong.
	token int64
	// revision is that of the checkpoint, valid once read is set.
	revision int64
	read     bool
	// superseded is set if a later leader has written a checkpoint.
	superseded bool
	// version is that of the book in the last checkpoint, and writtenAt is when it was
	// written.
	version   uint64
	writtenAt time.Time
	// callAfter is the earliest time of the next call after a failed one.
	callAfter time.Time
}

// TakenOver reports whether the book has the counts in the checkpoint that was in the store
// when a leadership began.
func (c *Checkpointer) TakenOver(token int64) bool { return c.takenOver.Load() == token }

// Step reads the checkpoint of the former leader if this host has become the leader, and
// writes one when it is due.
func (c *Checkpointer) Step(ctx context.Context) {
	leadership, ok := c.Leadership()
	if !ok {
		return
	}
	if c.token != leadership.Token {
		c.token, c.read, c.superseded = leadership.Token, false, false
		c.version, c.writtenAt, c.callAfter = 0, time.Time{}, time.Time{}
	}
	switch {
	case c.superseded || c.Now().Before(c.callAfter):
	case !c.read:
		c.readStored(ctx)
	case c.due():
		c.write(ctx)
	}
}

// readStored reads the checkpoint in the store and takes over its counts, unless it is one of
// this leadership whose write got no response.
func (c *Checkpointer) readStored(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	value, revision, err := c.Read(ctx)
	if err != nil {
		c.callAfter = c.Now().Add(retryPause)
		c.Logger.Warn("usage_checkpoint_not_read", "token", c.token, "error", err.Error())
		return
	}
	c.read, c.revision = true, revision
	defer c.takenOver.Store(c.token)
	if revision == 0 {
		return
	}
	checkpoint, err := DecodeCheckpoint(value)
	switch {
	case err != nil:
		c.Logger.Warn("usage_record_rejected", "key", CheckpointKey, "error", err.Error())
	case checkpoint.Token > c.token:
		c.superseded = true
	case checkpoint.Token < c.token:
		c.Book.TakeOver(checkpoint)
		c.Logger.Info("usage_taken_over", "token", c.token, "former_token", checkpoint.Token, "window", checkpoint.Present,
			"windows", len(checkpoint.Windows), "total", checkpoint.total(), "processes", len(checkpoint.Processes))
	}
}

// due reports whether counts have changed that have to be written now.
func (c *Checkpointer) due() bool {
	changed, ended := c.Book.changed()
	elapsed := c.Now().Sub(c.writtenAt)
	if changed == c.version || elapsed < boundaryInterval {
		return false
	}
	now := c.Clock.Time()
	ending := c.Schedule.End(c.Schedule.Number(now)).Sub(now) <= boundaryInterval
	return ending || ended > c.version || elapsed >= checkpointInterval
}

func (c *Checkpointer) write(ctx context.Context) {
	checkpoint, version := c.Book.Checkpoint(c.token)
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	at := c.Now()
	revision, err := c.Write(ctx, EncodeCheckpoint(checkpoint), c.revision)
	var conflict *storer.ConflictError
	switch {
	case errors.As(err, &conflict):
		c.read = false
	case err != nil:
		c.read = false
		c.callAfter = c.Now().Add(retryPause)
		c.Logger.Warn("usage_checkpoint_not_written", "token", c.token, "error", err.Error())
	default:
		c.revision, c.version, c.writtenAt = revision, version, at
		if c.Registry != nil {
			gometrics.GetOrRegisterCounter("usage_checkpoints", c.Registry).Inc(1)
		}
	}
}
