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
	// pollWait is how long a database delays its response to a status query while
	// nothing changes. It is a small fraction of LeaseTTL, because the lease
	// counts from when the query is sent.
	pollWait = 200 * time.Millisecond
	// replicaPollWait is the same for replicas. It is longer because idle services
	// cause most of the control traffic. A status counts from when its query was
	// sent until the next response, which is twice this time and has to stay
	// below LeaseTTL.
	replicaPollWait = 400 * time.Millisecond
	// pollTimeout is how long a response may take in addition to pollWait or
	// replicaPollWait. It also limits how long connecting may take.
	pollTimeout = 300 * time.Millisecond
	// callTimeout limits each administration call other than the polling of the
	// status, and the wait until a majority has the start of a term.
	callTimeout = 300 * time.Millisecond
	// stepInterval is how often the watcher checks for the next step without
	// being woken.
	stepInterval = 25 * time.Millisecond
	// confirmPollInterval is the minimum time between two queries of a replica
	// while writes wait for confirmation.
	confirmPollInterval = time.Millisecond
	// replicaPollInterval is the minimum time between two queries of a replica
	// otherwise. It limits the age of the applied position that reads rely on.
	replicaPollInterval = 4 * time.Millisecond
	// primaryPollInterval is the minimum time between two queries of the primary,
	// whose positions are also known from the commits.
	primaryPollInterval = 25 * time.Millisecond
	// claimBackoff is the mean time before a failed claim is retried. The time is
	// randomised so that two hosts do not block each other for long.
	claimBackoff = 100 * time.Millisecond
)

// A Watcher holds one service on behalf of this host. Its exported fields must be
// set before Run.
type Watcher struct {
	// Service is the name of the service.
	Service string
	// Host is the name of this host.
	Host string
	// Members are the initially configured databases. SetMembers replaces them.
	Members []Member
	// Dial opens an administration connection.
	Dial func(ctx context.Context, member Member) (Admin, error)
	// PauseWrites prevents new writes before a switchover and returns when no
	// write is running. It may be nil.
	PauseWrites func(ctx context.Context) (resume func(), err error)
	// DrainTimeout limits PauseWrites and the wait for a replica that has the
	// whole log. It must be above 0.
	DrainTimeout time.Duration
	// OnPromoted is called after each promotion; it may be nil.
	OnPromoted func(view View, reason string)
	Now        func() time.Time
	Logger     *slog.Logger

	mu    sync.Mutex
	state groupState
	// view is replaced as a whole under mu, which closes the Changed channel of
	// the previous view. It is read without mu because every batch reads it
	// several times.
	view    atomic.Pointer[View]
	changed chan struct{}
	waiters confirmQueue
	// wake makes runSteps check for the next step at once.
	wake chan struct{}
	// membersChanged makes runPollers replace the pollers.
	membersChanged chan struct{}
	once           sync.Once
}

func (w *Watcher) init() {
	w.once.Do(func() {
		w.wake = make(chan struct{}, 1)
		w.membersChanged = make(chan struct{}, 1)
		w.changed = make(chan struct{})
		w.state.residue = residueOf(w.Host)
		w.state.setMembers(w.Members)
		w.view.Store(&View{Members: slices.Clone(w.state.members), Changed: w.changed})
	})
}

// View returns the current view of the group.
func (w *Watcher) View() View {
	w.init()
	return *w.view.Load()
}

// HasMajority reports whether a majority of the databases is reachable.
func (w *Watcher) HasMajority() bool {
	w.init()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state.reachableCount() >= w.state.majority()
}

// SetMembers replaces the configured databases.
func (w *Watcher) SetMembers(members []Member) {
	w.init()
	w.mu.Lock()
	if w.state.hasMembers(members) {
		w.mu.Unlock()
		return
	}
	w.state.setMembers(members)
	w.publish()
	w.mu.Unlock()
	notify(w.membersChanged)
	notify(w.wake)
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Run claims the service and holds it until ctx ends or another host claims it. In
// the latter case it returns ErrFenced.
func (w *Watcher) Run(ctx context.Context) error {
	w.init()
	defer w.releaseService()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return w.runPollers(ctx) })
	group.Go(func() error { return w.runSteps(ctx) })
	return group.Wait()
}

// releaseService publishes a view in which this host no longer holds the service,
// and fails all waiters.
func (w *Watcher) releaseService() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.state.term = 0
	w.state.primary = ""
	w.waiters.fail(ErrFenced)
	w.publish()
}

// publish replaces the view by the current state and completes the waiters that it
// confirms. The caller holds mu.
func (w *Watcher) publish() {
	members := slices.Clone(w.state.members)
	previous := w.changed
	w.changed = make(chan struct{})
	w.view.Store(&View{
		Term:            w.state.term,
		Primary:         w.state.primary,
		Start:           w.state.termStart,
		AcknowledgeFrom: w.state.acknowledgeFrom,
		LeaseUntil:      w.state.leaseUntil(),
		Members:         members,
		Changed:         w.changed,
	})
	close(previous)
	if w.state.primary != "" {
		w.waiters.confirm(w.state.confirmedOffset())
	}
}

// runSteps takes the steps that the state of the group requires until ctx ends or
// the watcher is fenced.
func (w *Watcher) runSteps(ctx context.Context) error {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		if err := w.runNextStep(ctx); err != nil {
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

func (w *Watcher) runNextStep(ctx context.Context) error {
	w.mu.Lock()
	now := w.Now()
	next := w.state.nextStep(now)
	failed := w.state.primary
	detached := w.state.detachedReplicas()
	w.mu.Unlock()
	switch next {
	case stepFenced:
		w.Logger.Warn("service_lost", "service", w.Service, "reason", "higher term")
		return errors.WithStack(ErrFenced)
	case stepClaim:
		reason := "takeover"
		if failed != "" {
			reason = "primary failed"
		}
		return w.claim(ctx, reason)
	case stepSwitchover:
		return w.switchover(ctx)
	default:
		w.attachReplicas(ctx, detached)
		return nil
	}
}

// switchover moves the primary role to another database without refusing writes.
func (w *Watcher) switchover(ctx context.Context) error {
	w.mu.Lock()
	w.state.nextSwitchover = w.Now().Add(switchoverInterval)
	w.mu.Unlock()
	drainCtx, cancel := context.WithTimeout(ctx, w.DrainTimeout)
	defer cancel()
	if w.PauseWrites != nil {
		resume, err := w.PauseWrites(drainCtx)
		if err != nil {
			w.Logger.Warn("planned change of primary put off", "service", w.Service, "error", err)
			return nil
		}
		defer resume()
	}
	if err := w.awaitSwitchoverTarget(drainCtx); err != nil {
		w.Logger.Warn("planned change of primary put off", "service", w.Service, "error", err)
		return nil
	}
	return w.claim(ctx, "primary leaves")
}

// awaitSwitchoverTarget waits until a replica that is not draining has the whole log.
func (w *Watcher) awaitSwitchoverTarget(ctx context.Context) error {
	primary, err := w.primaryStatus(ctx)
	if err != nil {
		return err
	}
	for {
		w.mu.Lock()
		name := w.state.switchoverTarget()
		m := w.state.find(name)
		ready := m != nil && m.Status.Received >= primary.Received
		changed := w.changed
		w.mu.Unlock()
		if ready {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "no replica that stays in service has offset %d", primary.Received)
		case <-changed:
		}
	}
}

// primaryStatus queries the status of the primary. It is called while no write
// runs, so that the position is final.
func (w *Watcher) primaryStatus(ctx context.Context) (Status, error) {
	w.mu.Lock()
	m := w.state.find(w.state.primary)
	if m == nil {
		w.mu.Unlock()
		return Status{}, errors.New("the group has no primary")
	}
	member := m.Member
	w.mu.Unlock()
	return w.call(ctx, member, func(ctx context.Context, a Admin) (Status, error) {
		return a.Status(ctx, 0, 0, 0)
	})
}

// call runs one administration query on a connection of its own, so that it does
// not queue behind a delayed status query.
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

// Confirm waits until a majority of the databases has the log up to the position,
// so that no promotion can lose it. Errors are ErrFenced, if the term has changed
// in the meantime and the outcome is unknown, and those of ctx.
func (w *Watcher) Confirm(ctx context.Context, position executor.Position) error {
	w.init()
	w.mu.Lock()
	if position.Term != w.state.term || w.state.primary == "" {
		w.mu.Unlock()
		return errors.Wrapf(ErrFenced, "position %s", position)
	}
	if position.Offset <= w.state.confirmedOffset() {
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

// jitter returns a random duration between half and one and a half times the mean.
func jitter(mean time.Duration) time.Duration {
	return mean/2 + rand.N(mean)
}
