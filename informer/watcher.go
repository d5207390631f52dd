package informer

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/storer"
)

const (
	// listTimeout bounds reading one page, which may hold a megabyte.
	listTimeout = 3 * time.Second
	// responseSlack is how long after its wait a watch may still respond, to allow
	// for a slow store.
	responseSlack = 2 * time.Second
	// suspendedPollInterval is how often a suspended watcher checks whether it is
	// still suspended.
	suspendedPollInterval = 200 * time.Millisecond
	// maxExcludedHistory is the number of changes up to which a watcher with excluded keys
	// reads them after it was suspended. They may all be of excluded keys, of which a list has only
	// the last value.
	maxExcludedHistory = 100
	// initialBackoff is the pause after the first failed call. The pause doubles up
	// to MaxBackoff and is randomized, so that hosts do not retry at the same time.
	initialBackoff = 50 * time.Millisecond
)

// errRelist ends a watch because all keys have to be listed again.
var errRelist = errors.New("list of all keys requested")

// A Watcher keeps a Mirror up to date from the store. Its exported fields are set
// before Run.
type Watcher struct {
	Store  storer.KeyValueStore
	Mirror *Mirror
	// Prefix is the prefix of all keys to watch.
	Prefix string
	// Excluded reports whether a key stays out of the mirror, and so out of the reports to
	// other hosts. It may be nil.
	Excluded func(key string) bool
	// Suspended reports whether another host delivers all changes, so that the store
	// is not watched. It may be nil.
	Suspended func() bool
	// CoalesceDelay returns the pause after a response with changes, so that changes
	// in quick succession are read together. It may be nil.
	CoalesceDelay func() time.Duration
	// Wait returns how long a watch waits for changes.
	Wait func() time.Duration
	// MaxBackoff returns the longest pause after a failed call.
	MaxBackoff func() time.Duration
	// Now returns a monotonic time that includes the time the machine is suspended.
	Now    func() time.Time
	Logger *slog.Logger

	// interrupted signals that the current wait should end.
	interrupted chan struct{}
	// relist requests a list of all keys instead of the changes since the last
	// response.
	relist atomic.Bool
	// backoff is the upper bound of the last pause, 0 after a successful call.
	backoff time.Duration
	// unavailable is set between a failed call and the next successful one.
	unavailable bool
	// era is the era of the store at the last successful call.
	era int64
}

// NewWatcher returns a Watcher whose exported fields still have to be set.
func NewWatcher() *Watcher { return &Watcher{interrupted: make(chan struct{}, 1)} }

// Interrupt ends the wait of the current watch, so that the next one starts with a
// wait that suits the present state of the fleet.
func (w *Watcher) Interrupt() {
	select {
	case w.interrupted <- struct{}{}:
	default:
	}
}

// Relist makes the watcher list all keys again: a watch may miss changes that are
// made while the store compacts its history.
func (w *Watcher) Relist() {
	w.relist.Store(true)
	w.Interrupt()
}

// Run watches the store until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		revision, err := w.list(ctx)
		if err == nil {
			err = w.watchChanges(ctx, revision)
		}
		if errors.Is(err, errRelist) {
			continue
		}
		w.backOff(ctx, err)
	}
	return ctx.Err()
}

// list reads all keys. The pages are not a snapshot, so the mirror is complete only
// up to the revision of the first page; the watch delivers later changes.
func (w *Watcher) list(ctx context.Context) (int64, error) {
	w.relist.Store(false)
	requestedAt := w.Now()
	var entries []storer.Entry
	var revision int64
	after := ""
	for {
		page, err := w.listPage(ctx, after)
		if err != nil {
			return 0, err
		}
		if after == "" {
			revision = page.Revision
		}
		if storer.EraOf(page.Revision) != storer.EraOf(revision) {
			return 0, errRelist
		}
		entries = append(entries, page.Entries...)
		if !page.More || len(page.Entries) == 0 {
			break
		}
		after = page.Entries[len(page.Entries)-1].Key
	}
	w.recordSuccess()
	if w.Excluded != nil {
		entries = slices.DeleteFunc(entries, func(entry storer.Entry) bool { return w.Excluded(entry.Key) })
	}
	if !w.Mirror.Replace(entries, revision, requestedAt) {
		w.Logger.Warn("store_list_ignored", "revision", revision, "mirror_revision", w.Mirror.Revision())
	}
	w.Logger.Debug("store_listed", "keys", len(entries), "revision", revision)
	return revision, nil
}

func (w *Watcher) listPage(ctx context.Context, after string) (storer.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	return w.Store.List(ctx, w.Prefix, after)
}

// watchChanges watches from revision on until the store has compacted the history
// that it needs, or a list is requested.
func (w *Watcher) watchChanges(ctx context.Context, revision int64) error {
	for ctx.Err() == nil {
		if w.relist.Load() {
			return errRelist
		}
		if w.Suspended != nil && w.Suspended() {
			w.sleep(ctx, suspendedPollInterval)
			continue
		}
		if w.Excluded != nil && w.Mirror.Revision()-revision > maxExcludedHistory {
			return errRelist
		}
		wait := w.Wait()
		requestedAt := w.Now()
		changes, next, err := w.watch(ctx, revision, wait)
		if errors.Is(err, storer.ErrCompacted) {
			return err
		}
		if err != nil && w.Now().Sub(requestedAt) < wait && errors.Is(err, context.Canceled) {
			continue
		}
		if err != nil {
			w.backOff(ctx, err)
			continue
		}
		w.recordSuccess()
		knownAsOf := completeAsOf(requestedAt, w.Now(), wait, len(changes))
		if w.Excluded != nil {
			changes = slices.DeleteFunc(changes, func(change storer.Change) bool { return w.Excluded(change.Key) })
		}
		w.Mirror.Apply(changes, next, knownAsOf)
		revision = max(revision, next)
		if len(changes) > 0 && w.CoalesceDelay != nil {
			w.sleep(ctx, w.CoalesceDelay())
		}
	}
	return ctx.Err()
}

// completeAsOf returns the latest instant as of which the response to a watch is
// known to have been complete. A response without changes was sent at the end of the
// wait, even if it arrived much later. One with changes may have been sent at once.
func completeAsOf(requestedAt, respondedAt time.Time, wait time.Duration, changes int) time.Time {
	if changes == 0 && respondedAt.Sub(requestedAt) >= wait {
		return requestedAt.Add(wait)
	}
	return requestedAt
}

func (w *Watcher) watch(ctx context.Context, revision int64, wait time.Duration) ([]storer.Change, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+responseSlack)
	defer cancel()
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-w.interrupted:
			cancel()
		case <-done:
		}
	}()
	return w.Store.Changes(ctx, w.Prefix, revision, wait)
}

// backOff logs the first of consecutive failures and pauses.
func (w *Watcher) backOff(ctx context.Context, err error) {
	if ctx.Err() != nil || errors.Is(err, storer.ErrCompacted) {
		return
	}
	if !w.unavailable {
		w.unavailable = true
		w.Logger.Warn("dependency_lost", "dependency", "store", "error", err.Error())
	}
	w.backoff = min(max(2*w.backoff, initialBackoff), w.MaxBackoff())
	timer := time.NewTimer(w.backoff/2 + rand.N(w.backoff/2))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// sleep waits for d unless it is interrupted.
func (w *Watcher) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-w.interrupted:
	case <-ctx.Done():
	}
}

// recordSuccess ends the backoff, and logs the end of an outage and a restore of the
// store.
func (w *Watcher) recordSuccess() {
	w.backoff = 0
	if era := w.Store.Era(); era != w.era {
		if w.era != 0 {
			w.Logger.Warn("store_restored", "era", era, "former_era", w.era, "mirror_revision", w.Mirror.Revision())
		}
		w.era = era
	}
	if w.unavailable {
		w.unavailable = false
		w.Logger.Info("dependency_regained", "dependency", "store")
	}
}
