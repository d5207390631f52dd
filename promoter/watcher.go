package promoter

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/endiveturn/endiveturn/executor"
)

const (
	// pollWait is how long a database holds a status query back while nothing
	// changes. It is a small part of LeaseTime, since the lease counts from the
	// sending of the query.
	pollWait = 200 * time.Millisecond
	// replicaPollWait is the same for replicas, longer since quiet services are
	// most of the control traffic. An answer counts from its query until the
	// next answer, twice this time, which has to stay below LeaseTime.
	replicaPollWait = 400 * time.Millisecond
	// pollTimeout is how long an answer may take beyond pollWait.
	pollTimeout = 300 * time.Millisecond
	// callTimeout bounds raising a term, promoting and following.
	callTimeout = 300 * time.Millisecond
	// stepInterval is how often the watcher decides without news.
	stepInterval = 25 * time.Millisecond
	// confirmInterval is the least time between two queries of a replica
	// while writes wait for their confirmation.
	confirmInterval = time.Millisecond
	// replicaInterval is the least time between two queries of a replica
	// otherwise; it bounds how old the applied position is that reads rely on.
	replicaInterval = 4 * time.Millisecond
	// primaryInterval is the least time between two queries of the primary,
	// whose positions come with the commits anyway.
	primaryInterval = 25 * time.Millisecond
	// claimBackoff is the mean pause after a failed claim; it is random, so
	// that two hosts do not block each other for long.
	claimBackoff = 100 * time.Millisecond
)

// A Watcher holds one service for this host. Its exported fields are set
// before Run.
type Watcher struct {
	// Service is the name of the service.
	Service string
	// Host is the name of this host.
	Host string
	// Members are the configured databases at the start; SetMembers changes
	// them later.
	Members []Member
	// Dial opens administration connections.
	Dial func(ctx context.Context, member Member) (Admin, error)
	// PauseWrites stops the starting of writes before a planned change of
	// primary and returns once none is running. It may be nil.
	PauseWrites func(ctx context.Context) (resume func(), err error)
	// DrainTimeout bounds PauseWrites, above 0.
	DrainTimeout time.Duration
	// Promoted is called after each promotion; it may be nil.
	Promoted func(view View, reason string)
	Now      func() time.Time
	Logger   *slog.Logger

	mu   sync.Mutex
	core core
	// view is replaced as a whole under mu; its Changed channel is closed then.
	// Every batch reads it several times, without mu.
	view    atomic.Pointer[View]
	changed chan struct{}
	waiters confirmQueue
	// wake makes the decision loop run at once.
	wake chan struct{}
	// restart makes Run replace the pollers after a change of the members.
	restart chan struct{}
	once    sync.Once
}

func (w *Watcher) init() {
	w.once.Do(func() {
		w.wake = make(chan struct{}, 1)
		w.restart = make(chan struct{}, 1)
		w.changed = make(chan struct{})
		w.core.residue = residueOf(w.Host)
		w.core.setMembers(w.Members)
		w.view.Store(&View{Members: slices.Clone(w.core.members), Changed: w.changed})
	})
}

// View returns the present view of the group.
func (w *Watcher) View() View {
	w.init()
	return *w.view.Load()
}

// Able reports whether a majority of the databases answers.
func (w *Watcher) Able() bool {
	w.init()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.core.reachable() >= w.core.majority()
}

// SetMembers takes over a changed configuration.
func (w *Watcher) SetMembers(members []Member) {
	w.init()
	w.mu.Lock()
	if w.core.hasMembers(members) {
		w.mu.Unlock()
		return
	}
	w.core.setMembers(members)
	w.publish()
	w.mu.Unlock()
	notify(w.restart)
	notify(w.wake)
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Run claims the service and holds it until ctx ends or another host claims
// it; then it returns ErrFenced.
func (w *Watcher) Run(ctx context.Context) error {
	w.init()
	defer w.abandon()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return w.runPollers(ctx) })
	group.Go(func() error { return w.decide(ctx) })
	return group.Wait()
}

// abandon makes the view say that this host no longer holds the service.
func (w *Watcher) abandon() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.core.term = 0
	w.core.primary = ""
	w.waiters.fail(ErrFenced)
	w.publish()
}

// publish replaces the view. The caller holds mu.
func (w *Watcher) publish() {
	members := slices.Clone(w.core.members)
	previous := w.changed
	w.changed = make(chan struct{})
	w.view.Store(&View{
		Term:            w.core.term,
		Primary:         w.core.primary,
		Start:           w.core.start,
		AcknowledgeFrom: w.core.ackFrom,
		LeaseUntil:      w.core.leaseUntil(),
		Members:         members,
		Changed:         w.changed,
	})
	close(previous)
	if w.core.primary != "" {
		w.waiters.confirm(w.core.confirmed())
	}
}

// decide runs the steps that the core asks for.
func (w *Watcher) decide(ctx context.Context) error {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		if err := w.takeStep(ctx); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return errors.WithStack(ctx.Err())
		case <-ticker.C:
		case <-w.wake:
		}
	}
}

func (w *Watcher) takeStep(ctx context.Context) error {
	w.mu.Lock()
	now := w.Now()
	next := w.core.next(now)
	failed := w.core.primary
	stragglers := w.core.stragglers()
	w.mu.Unlock()
	switch next {
	case stepFenced:
		w.Logger.Warn("service lost", "service", w.Service, "reason", "higher term")
		return errors.WithStack(ErrFenced)
	case stepClaim:
		reason := "takeover"
		if failed != "" {
			reason = "primary failed"
		}
		return w.claim(ctx, reason)
	case stepSwitch:
		return w.switchOver(ctx)
	default:
		w.adopt(ctx, stragglers)
		return nil
	}
}

// switchOver moves the primary to another database without refusing a write.
func (w *Watcher) switchOver(ctx context.Context) error {
	w.mu.Lock()
	w.core.nextSwitch = w.Now().Add(switchoverRetry)
	w.mu.Unlock()
	drain, cancel := context.WithTimeout(ctx, w.DrainTimeout)
	defer cancel()
	if w.PauseWrites != nil {
		resume, err := w.PauseWrites(drain)
		if err != nil {
			w.Logger.Warn("planned change of primary put off", "service", w.Service, "error", err)
			return nil
		}
		defer resume()
	}
	if err := w.awaitSuccessor(drain); err != nil {
		w.Logger.Warn("planned change of primary put off", "service", w.Service, "error", err)
		return nil
	}
	return w.claim(ctx, "primary leaves")
}

// awaitSuccessor waits until a database that stays holds the whole log.
func (w *Watcher) awaitSuccessor(ctx context.Context) error {
	target, err := w.primaryStatus(ctx)
	if err != nil {
		return err
	}
	for {
		w.mu.Lock()
		name := w.core.successor()
		m := w.core.find(name)
		ready := m != nil && m.Status.Received >= target.Received
		changed := w.changed
		w.mu.Unlock()
		if ready {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "no replica holds offset %d", target.Received)
		case <-changed:
		}
	}
}

// primaryStatus asks the primary for its position, now that no write runs.
func (w *Watcher) primaryStatus(ctx context.Context) (Status, error) {
	w.mu.Lock()
	m := w.core.find(w.core.primary)
	if m == nil {
		w.mu.Unlock()
		return Status{}, errors.New("no primary")
	}
	member := m.Member
	w.mu.Unlock()
	return w.call(ctx, member, func(ctx context.Context, a Admin) (Status, error) {
		return a.Status(ctx, 0, 0, 0)
	})
}

// call runs one administration query on a connection of its own, so that it
// does not wait behind a status query.
func (w *Watcher) call(ctx context.Context, member Member, query func(context.Context, Admin) (Status, error)) (Status, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	admin, err := w.Dial(ctx, member)
	if err != nil {
		return Status{}, err
	}
	defer admin.Close()
	return query(ctx, admin)
}

// Confirm waits until a majority of the databases holds the position, so that
// no promotion can lose it. Errors are ErrFenced, when the term has changed
// meanwhile and the outcome is unknown, and those of ctx.
func (w *Watcher) Confirm(ctx context.Context, position executor.Position) error {
	w.init()
	w.mu.Lock()
	if position.Term != w.core.term || w.core.primary == "" {
		w.mu.Unlock()
		return errors.Wrapf(ErrFenced, "position %s", position)
	}
	if position.Offset <= w.core.confirmed() {
		w.mu.Unlock()
		return nil
	}
	waiter := w.waiters.add(position.Offset)
	w.mu.Unlock()
	select {
	case err := <-waiter.done:
		return err
	case <-ctx.Done():
		w.mu.Lock()
		w.waiters.remove(waiter)
		w.mu.Unlock()
		return errors.WithStack(ctx.Err())
	}
}

func jitter(mean time.Duration) time.Duration {
	return mean/2 + rand.N(mean)
}
