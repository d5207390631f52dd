package configurer

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/storer"
)

const (
	// watchedPollInterval is the longest time between two reads of the head by
	// a host that watches the store. It limits the delay of a configuration to
	// one second if the watch fails unnoticed or loses an event. A host counts
	// as partitioned from the store after 2 s.
	watchedPollInterval = time.Second
	// readTimeout bounds a read of the head with its configuration.
	readTimeout = 2 * time.Second
	// shouldWatchCheckInterval is the longest time between two calls of ShouldWatch.
	shouldWatchCheckInterval = time.Second
	// initialRetryDelay and maxRetryDelay bound the delay, before jitter, of
	// the next read by a host that has no configuration from the store or
	// lacks the newest one.
	initialRetryDelay = 100 * time.Millisecond
	maxRetryDelay     = 5 * time.Second
)

// Run keeps the configuration up to date until ctx ends, and then returns nil.
func (s *Subscriber) Run(ctx context.Context) error {
	r := &subscriberRun{
		subscriber:  s,
		changes:     make(chan storer.Entry),
		established: make(chan struct{}, 1),
		retryBound:  initialRetryDelay,
	}
	defer r.stopWatch()
	for ctx.Err() == nil {
		now := s.now()
		r.adjustWatch(ctx, now)
		if !now.Before(r.nextPoll) {
			r.poll(ctx)
			continue
		}
		r.waitForEvent(ctx, min(r.nextPoll.Sub(now), shouldWatchCheckInterval))
	}
	return nil
}

// A subscriberRun is the state of Run. Only the goroutine of Run uses it.
type subscriberRun struct {
	subscriber *Subscriber
	// nextPoll is the time of the next read of the head.
	nextPoll time.Time
	// retryBound is the upper bound of the delay after the next failure.
	retryBound time.Duration
	// failing is set if the last read failed.
	failing  bool
	watching bool
	// cancelWatch stops the running watch; it is nil if there is none.
	cancelWatch context.CancelFunc
	// watchErr delivers the error of the running watch and is then closed.
	watchErr chan error
	// nextWatchAt is the earliest time at which the next watch may start.
	nextWatchAt time.Time
	changes     chan storer.Entry
	established chan struct{}
}

// waitForEvent handles the next event of the watch, or returns after d.
func (r *subscriberRun) waitForEvent(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-r.established:
		// The watch does not deliver changes made before it was established,
		// so read the head now.
		r.nextPoll = time.Time{}
	case entry := <-r.changes:
		r.handleChange(ctx, entry)
	case err := <-r.watchErr:
		s := r.subscriber
		r.stopWatch()
		r.nextWatchAt = s.now().Add(s.jitter(s.watchRestartSpread()))
		s.logger().Warn("store_watch_ended", "resume_at", r.nextWatchAt, "err", err.Error())
	}
}

// adjustWatch starts or stops the watch according to ShouldWatch. It starts a watch
// only while the store responds.
func (r *subscriberRun) adjustWatch(ctx context.Context, now time.Time) {
	s := r.subscriber
	watching := s.ShouldWatch != nil && s.ShouldWatch()
	if watching && !r.watching {
		r.nextPoll = minTime(r.nextPoll, now.Add(s.jitter(watchedPollInterval)))
	}
	r.watching = watching
	switch {
	case !watching:
		r.stopWatch()
	case r.cancelWatch == nil && !r.failing && s.hasSynced() && !now.Before(r.nextWatchAt):
		r.startWatch(ctx)
	}
}

func (r *subscriberRun) startWatch(ctx context.Context) {
	ctx, r.cancelWatch = context.WithCancel(ctx)
	watchErr := make(chan error, 1)
	r.watchErr = watchErr
	go func() {
		defer close(watchErr)
		watchErr <- r.subscriber.Store.Watch(ctx, HeadKey, func() {
			select {
			case r.established <- struct{}{}:
			default:
			}
		}, r.changes)
	}()
}

// stopWatch stops the watch and waits for its goroutine to end.
func (r *subscriberRun) stopWatch() {
	if r.cancelWatch == nil {
		return
	}
	r.cancelWatch()
	for open := true; open; {
		select {
		case _, open = <-r.watchErr:
		case <-r.changes:
		}
	}
	r.cancelWatch, r.watchErr = nil, nil
}

// handleChange applies a change that the watch delivered. It does not call
// OnStoreContact, since the event may have been delayed.
func (r *subscriberRun) handleChange(ctx context.Context, entry storer.Entry) {
	if entry.Key != HeadKey {
		return
	}
	head, err := decodeHead(entry.Value)
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		err = r.subscriber.applyHead(ctx, head)
	}
	if err != nil {
		// Read the head at once: that read reports the cause if it persists.
		r.subscriber.logger().Warn("head_change_not_applied", "err", err.Error())
		r.nextPoll = time.Time{}
	}
}

// poll reads and applies the head, and schedules the next poll.
func (r *subscriberRun) poll(ctx context.Context) {
	s := r.subscriber
	sent := s.now()
	previous, _ := s.Digest()
	head, err := s.syncWithStore(ctx)
	now := s.now()
	if err == nil {
		if r.failing {
			s.logger().Info("store_read_recovered")
			r.nextWatchAt = now.Add(s.jitter(s.watchRestartSpread()))
		}
		r.failing = false
		r.handleHead(head, previous, sent)
		return
	}
	if ctx.Err() != nil {
		return
	}
	if !r.failing {
		s.logger().Warn("store_read_failed", "err", err.Error())
	}
	r.failing = true
	r.nextPoll = now.Add(r.retryDelay(err))
}

// handleHead reports contact with the store unless this host rejects the head that it
// read, and schedules the next poll. previous is the revision that the host had when
// it sent the read: a head below it belongs to a store that was restored from a
// backup, whose later configurations this host may reject as well.
func (r *subscriberRun) handleHead(head Head, previous uint64, sent time.Time) {
	s := r.subscriber
	if s.follows(head) {
		s.markSynced()
		if head.Revision >= previous && s.OnStoreContact != nil {
			s.OnStoreContact(sent)
		}
	}
	delay := r.pollDelay()
	if s.hasSynced() {
		r.retryBound = initialRetryDelay
	} else {
		delay = min(delay, r.backoffDelay())
	}
	r.nextPoll = s.now().Add(delay)
}

// syncWithStore reads the head, applies the configuration that it names and returns
// the head. A configuration that is deleted while it is read has been superseded by
// later ones, so syncWithStore reads the head again.
func (s *Subscriber) syncWithStore(ctx context.Context) (Head, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	for attempt := 1; ; attempt++ {
		head, _, err := ReadHead(ctx, s.Store)
		if err != nil {
			return Head{}, err
		}
		err = s.applyHead(ctx, head)
		if !errors.Is(err, storer.ErrNotFound) || attempt == maxReadAttempts {
			return head, err
		}
	}
}

// pollDelay returns the delay of the next read after a successful one. Without a
// watch it varies by half the poll interval in both directions, so that the reads
// of the fleet are spread out.
func (r *subscriberRun) pollDelay() time.Duration {
	s := r.subscriber
	if r.watching {
		return watchedPollInterval*9/10 + s.jitter(watchedPollInterval/10)
	}
	return s.pollInterval()/2 + s.jitter(s.pollInterval())
}

// retryDelay returns the delay of the next read after a failed one. A host that
// has applied the newest configuration named by a head that it read keeps its
// normal poll delay while the store is unavailable, since its peers inform it of
// later ones.
func (r *subscriberRun) retryDelay(err error) time.Duration {
	s := r.subscriber
	if !errors.Is(err, storer.ErrUnavailable) || !s.hasSynced() || s.isBehind() {
		return r.backoffDelay()
	}
	return r.pollDelay()
}

// backoffDelay returns a random delay whose bound doubles with each call.
func (r *subscriberRun) backoffDelay() time.Duration {
	d := r.subscriber.jitter(r.retryBound)
	r.retryBound = min(2*r.retryBound, maxRetryDelay)
	return max(d, initialRetryDelay/2)
}

func (s *Subscriber) hasSynced() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.synced
}

// isBehind reports whether the store named a configuration that this host has not
// applied yet.
func (s *Subscriber) isBehind() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.head.Revision > s.config.Revision
}

func (s *Subscriber) pollInterval() time.Duration {
	if s.PollInterval > 0 {
		return s.PollInterval
	}
	return DefaultPollInterval
}

func (s *Subscriber) watchRestartSpread() time.Duration {
	if s.WatchRestartSpread > 0 {
		return s.WatchRestartSpread
	}
	return DefaultWatchRestartSpread
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
