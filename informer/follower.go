package informer

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/storer"
)

const (
	// listTimeout bounds the reading of one page, which may hold a megabyte.
	listTimeout = 3 * time.Second
	// answerSlack is how long a watch may answer after its wait, for a slow
	// store.
	answerSlack = 2 * time.Second
	// idleInterval is how often a host that is told of changes looks whether it
	// still is.
	idleInterval = 200 * time.Millisecond
	// firstPause is the pause after a failed call. It doubles up to LastPause and
	// is drawn at random, so that hosts do not come together.
	firstPause = 50 * time.Millisecond
)

// errRelist ends a watch because all keys are to be read again.
var errRelist = errors.New("all keys are read again")

// A Follower keeps a Mirror up to date from the store. Its exported fields are
// set before Run.
type Follower struct {
	Space  storer.Space
	Mirror *Mirror
	// Prefix is that of all keys to follow.
	Prefix string
	// Idle reports whether another host brings all changes, so that the store is
	// not asked. It may be nil.
	Idle func() bool
	// Settle returns the pause after an answer with changes, so that changes that
	// come together are read together. It may be nil.
	Settle func() time.Duration
	// Wait returns how long a watch waits for changes.
	Wait func() time.Duration
	// LastPause returns the longest pause after a failed call.
	LastPause func() time.Duration
	// Now returns an instant that counts suspensions of the machine.
	Now    func() time.Time
	Logger *slog.Logger

	// hurried asks for an end of the present wait.
	hurried chan struct{}
	// relist asks for all keys instead of the changes since the last answer.
	relist atomic.Bool
	// pause is the pause after the next failure.
	pause time.Duration
	// lost is set between a failed call and the next answer.
	lost bool
}

// NewFollower returns a follower whose exported fields have to be set.
func NewFollower() *Follower { return &Follower{hurried: make(chan struct{}, 1)} }

// Hurry ends the wait of the present watch, so that the next one begins with a
// wait that suits the present situation.
func (f *Follower) Hurry() {
	select {
	case f.hurried <- struct{}{}:
	default:
	}
}

// Relist has all keys read again: a watch may pass over changes that are made
// while the store discards its history.
func (f *Follower) Relist() {
	f.relist.Store(true)
	f.Hurry()
}

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		revision, err := f.list(ctx)
		if err == nil {
			err = f.follow(ctx, revision)
		}
		if errors.Is(err, errRelist) {
			continue
		}
		f.failed(ctx, err)
	}
	return ctx.Err()
}

// list reads all keys. The pages are no snapshot, so the copy is complete only
// up to the first page's revision; the watch brings what changed since.
func (f *Follower) list(ctx context.Context) (int64, error) {
	f.relist.Store(false)
	asked := f.Now()
	var entries []storer.Entry
	var revision int64
	after := ""
	for {
		page, err := f.page(ctx, after)
		if err != nil {
			return 0, err
		}
		if after == "" {
			revision = page.Revision
		}
		entries = append(entries, page.Entries...)
		if !page.More || len(page.Entries) == 0 {
			break
		}
		after = page.Entries[len(page.Entries)-1].Key
	}
	f.answered()
	f.Mirror.Replace(entries, revision, asked)
	f.Logger.Debug("store_listed", "keys", len(entries), "revision", revision)
	return revision, nil
}

func (f *Follower) page(ctx context.Context, after string) (storer.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	return f.Space.List(ctx, f.Prefix, after)
}

// follow watches from revision until the history is gone.
func (f *Follower) follow(ctx context.Context, revision int64) error {
	for ctx.Err() == nil {
		if f.relist.Load() {
			return errRelist
		}
		if f.Idle != nil && f.Idle() {
			f.sleep(ctx, idleInterval)
			continue
		}
		wait := f.Wait()
		asked := f.Now()
		changes, next, err := f.watch(ctx, revision, wait)
		if errors.Is(err, storer.ErrCompacted) {
			return err
		}
		if err != nil && f.Now().Sub(asked) < wait && errors.Is(err, context.Canceled) {
			continue
		}
		if err != nil {
			f.failed(ctx, err)
			continue
		}
		f.answered()
		f.Mirror.Apply(changes, next, completeAt(asked, f.Now(), wait, len(changes)))
		revision = max(revision, next)
		if len(changes) > 0 && f.Settle != nil {
			f.sleep(ctx, f.Settle())
		}
	}
	return ctx.Err()
}

// completeAt returns the latest instant at which the answer to a watch is known
// to have been complete. An answer without changes was given at the end of the
// wait, though it may have been on its way for long; one with changes may have
// been given at once.
func completeAt(asked, answered time.Time, wait time.Duration, changes int) time.Time {
	if changes == 0 && answered.Sub(asked) >= wait {
		return asked.Add(wait)
	}
	return asked
}

func (f *Follower) watch(ctx context.Context, revision int64, wait time.Duration) ([]storer.Change, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+answerSlack)
	defer cancel()
	watching := make(chan struct{})
	defer close(watching)
	go func() {
		select {
		case <-f.hurried:
			cancel()
		case <-watching:
		}
	}()
	return f.Space.Changes(ctx, f.Prefix, revision, wait)
}

// failed logs the loss of the store once and pauses.
func (f *Follower) failed(ctx context.Context, err error) {
	if ctx.Err() != nil || errors.Is(err, storer.ErrCompacted) {
		return
	}
	if !f.lost {
		f.lost = true
		f.Logger.Warn("dependency_lost", "dependency", "store", "error", err.Error())
	}
	f.pause = min(max(2*f.pause, firstPause), f.LastPause())
	timer := time.NewTimer(f.pause/2 + rand.N(f.pause/2))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// sleep waits, unless it is hurried.
func (f *Follower) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.hurried:
	case <-ctx.Done():
	}
}

func (f *Follower) answered() {
	f.pause = 0
	if f.lost {
		f.lost = false
		f.Logger.Info("dependency_regained", "dependency", "store")
	}
}
