package configurer

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/storer"
)

const (
	// watchingInterval is the time between two reads of the head by a host
	// that watches. A watch that died unnoticed, or an event that was lost,
	// thus delays a set by a second at most; hosts count as cut off from the
	// store after 2 s.
	watchingInterval = time.Second
	// readTimeout bounds a read of the head with its set.
	readTimeout = 2 * time.Second
	// checkInterval is the time after which Watching is asked again.
	checkInterval = time.Second
	// firstRetry and maxRetry bound the time until the store is asked again
	// by a host that has no set or misses a newer one, before jitter.
	firstRetry = 100 * time.Millisecond
	maxRetry   = 5 * time.Second
)

// Run follows the store until ctx ends, and returns nil then.
func (f *Follower) Run(ctx context.Context) error {
	r := &followerRun{
		follower:    f,
		changes:     make(chan storer.Entry),
		established: make(chan struct{}, 1),
		retry:       firstRetry,
	}
	defer r.stopWatch()
	for ctx.Err() == nil {
		now := f.now()
		r.adjustWatch(ctx, now)
		if !now.Before(r.nextRead) {
			r.read(ctx)
			continue
		}
		r.await(ctx, min(r.nextRead.Sub(now), checkInterval))
	}
	return nil
}

// A followerRun is the state of Run; only its goroutine uses it.
type followerRun struct {
	follower *Follower
	// nextRead is when the head is read next.
	nextRead time.Time
	// retry is the longest pause after the next failure.
	retry time.Duration
	// failing says that the last read failed.
	failing  bool
	watching bool
	// cancel ends the watch under way; it is nil if there is none.
	cancel context.CancelFunc
	// ended gives the error of the watch under way and is then closed.
	ended chan error
	// resumeAt is the earliest time of the next watch.
	resumeAt    time.Time
	changes     chan storer.Entry
	established chan struct{}
}

// await waits for an event of the watch or the end of d.
func (r *followerRun) await(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-r.established:
		// Changes from before the watch are not sent on it.
		r.nextRead = time.Time{}
	case entry := <-r.changes:
		r.change(ctx, entry)
	case err := <-r.ended:
		f := r.follower
		r.stopWatch()
		r.resumeAt = f.now().Add(f.spread(f.resumeSpread()))
		f.logger().Warn("watch ended", "resume_at", r.resumeAt, "err", err.Error())
	}
}

// adjustWatch starts or ends the watch as Watching demands. A watch starts only
// while the store answers.
func (r *followerRun) adjustWatch(ctx context.Context, now time.Time) {
	f := r.follower
	watching := f.Watching != nil && f.Watching()
	if watching && !r.watching {
		r.nextRead = minTime(r.nextRead, now.Add(f.spread(watchingInterval)))
	}
	r.watching = watching
	switch {
	case !watching:
		r.stopWatch()
	case r.cancel == nil && !r.failing && f.hasRead() && !now.Before(r.resumeAt):
		r.startWatch(ctx)
	}
}

func (r *followerRun) startWatch(ctx context.Context) {
	ctx, r.cancel = context.WithCancel(ctx)
	ended := make(chan error, 1)
	r.ended = ended
	go func() {
		defer close(ended)
		ended <- r.follower.Store.Watch(ctx, HeadKey, func() {
			select {
			case r.established <- struct{}{}:
			default:
			}
		}, r.changes)
	}()
}

// stopWatch ends the watch and waits for its goroutine.
func (r *followerRun) stopWatch() {
	if r.cancel == nil {
		return
	}
	r.cancel()
	for open := true; open; {
		select {
		case _, open = <-r.ended:
		case <-r.changes:
		}
	}
	r.cancel, r.ended = nil, nil
}

// change handles an event of the watch. It does not count as contact with the
// store, since it may have been under way for long.
func (r *followerRun) change(ctx context.Context, entry storer.Entry) {
	if entry.Key != HeadKey {
		return
	}
	head, err := decodeHead(entry.Value)
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		err = r.follower.follow(ctx, head)
	}
	if err != nil {
		// The read of the head that follows finds out what is wrong.
		r.follower.logger().Warn("change of the head not followed", "err", err.Error())
		r.nextRead = time.Time{}
	}
}

// read reads the head, follows it, and plans the next read.
func (r *followerRun) read(ctx context.Context) {
	f := r.follower
	sent := f.now()
	err := f.readOnce(ctx)
	now := f.now()
	if err == nil {
		if r.failing {
			f.logger().Info("store answers again")
			r.resumeAt = now.Add(f.spread(f.resumeSpread()))
		}
		r.failing, r.retry = false, firstRetry
		r.nextRead = now.Add(r.interval())
		f.setReady()
		if f.OnContact != nil {
			f.OnContact(sent)
		}
		return
	}
	if ctx.Err() != nil {
		return
	}
	if !r.failing {
		f.logger().Warn("store does not answer", "err", err.Error())
	}
	r.failing = true
	r.nextRead = now.Add(r.pauseAfter(err))
}

// readOnce brings the set that the store names into force. A set that is
// deleted while it is read has been replaced by later ones, so the head is read
// again.
func (f *Follower) readOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	for attempt := 1; ; attempt++ {
		head, _, err := ReadHead(ctx, f.Store)
		if err != nil {
			return err
		}
		err = f.follow(ctx, head)
		if !errors.Is(err, storer.ErrNotFound) || attempt == maxReads {
			return err
		}
	}
}

// interval returns the time until the next read after one that was answered.
// The jitter of half the interval keeps the reads of a fleet apart.
func (r *followerRun) interval() time.Duration {
	f := r.follower
	if r.watching {
		return watchingInterval*9/10 + f.spread(watchingInterval/10)
	}
	return f.pollInterval()/2 + f.spread(f.pollInterval())
}

// pauseAfter returns the time until the next read after a failure. A host that
// misses no set keeps to its interval: its peers inform it of later ones.
func (r *followerRun) pauseAfter(err error) time.Duration {
	f := r.follower
	if !errors.Is(err, storer.ErrUnavailable) || !f.hasRead() || f.behind() {
		d := f.spread(r.retry)
		r.retry = min(2*r.retry, maxRetry)
		return max(d, firstRetry/2)
	}
	return r.interval()
}

func (f *Follower) hasRead() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isReady
}

// behind reports whether the store named a set that this host does not have.
func (f *Follower) behind() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.head.Revision > f.set.Revision
}

func (f *Follower) pollInterval() time.Duration {
	if f.PollInterval > 0 {
		return f.PollInterval
	}
	return DefaultPollInterval
}

func (f *Follower) resumeSpread() time.Duration {
	if f.ResumeSpread > 0 {
		return f.ResumeSpread
	}
	return DefaultResumeSpread
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
