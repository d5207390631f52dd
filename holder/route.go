package holder

import (
	"context"
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/executor"
	"github.com/endiveturn/endiveturn/promoter"
	"github.com/endiveturn/endiveturn/scheduler"
	"github.com/endiveturn/endiveturn/tracker"
)

// errNoDatabase means that the primary is not among the configured databases.
var errNoDatabase = errors.New("primary is not configured")

// A route is the database chosen for a batch outside a transaction.
type route struct {
	database *database
	term     uint64
	replica  bool
	reason   tracker.Reason
}

// route waits for a view under which batches may be started and chooses the
// database.
func (r *request) route() (route, *executor.Refusal) {
	h := r.holder
	view, err := h.awaitLease(r.waitCtx)
	if err != nil {
		return route{}, refuseWaiting(r.waitCtx, err, executor.CodeCannotServe)
	}
	r.raiseInitialFloor()
	decision := tracker.Decision{Reason: tracker.ReasonWrite}
	if !r.mayWrite() {
		if view, decision, err = r.chooseReplica(view); err != nil {
			return route{}, refuseWaiting(r.waitCtx, err, executor.CodeCannotServe)
		}
	}
	chosen := route{term: view.Term, reason: decision.Reason, replica: decision.Replica != ""}
	name := view.Primary
	if chosen.replica {
		name = decision.Replica
	}
	if chosen.database = h.findDatabase(name); chosen.database == nil {
		return route{}, refuseWaiting(r.waitCtx, errNoDatabase, executor.CodeCannotServe)
	}
	return chosen, nil
}

// raiseInitialFloor raises the floor of an unnamed session at its first batch.
func (r *request) raiseInitialFloor() {
	if e := r.exchange; e.attributes.FirstExchange && !e.floorRaised {
		e.floorRaised = true
		r.holder.tracker.RaiseToAcknowledged(e.session)
	}
}

// chooseReplica chooses the database for a read. It waits for replicas to reach
// the floor, at most for the ReplicaWait of the service.
func (r *request) chooseReplica(view promoter.View) (promoter.View, tracker.Decision, error) {
	h := r.holder
	read := tracker.Read{
		Session: r.exchange.session, Token: r.batch.Floor, MaxAge: r.batch.MaxAge, Excluded: r.excluded,
	}
	end := h.Now().Add(h.Service.ReplicaWait)
	for {
		decision := h.tracker.Choose(read, h.readCandidates(), h.Now())
		remaining := end.Sub(h.Now())
		if !decision.Wait || remaining <= 0 {
			return view, decision, nil
		}
		if err := waitViewChange(r.waitCtx, view, remaining); err != nil {
			return view, decision, err
		}
		next, err := h.awaitLease(r.waitCtx)
		if err != nil {
			return view, decision, err
		}
		view = next
	}
}

// acquireSlot waits for a slot.
func (r *request) acquireSlot(d *database, priority bool) (*scheduler.Slot, *executor.Refusal) {
	h := r.holder
	start := h.Now()
	slot, err := d.queue.Acquire(r.waitCtx, scheduler.Request{
		Customer: r.exchange.attributes.Customer, Deadline: r.deadline,
		Priority: priority, Pins: !priority && r.opensTransaction(),
	})
	if h.Callbacks.Queued != nil {
		h.Callbacks.Queued(r.exchange.attributes.Customer, h.Now().Sub(start))
	}
	if errors.Is(err, scheduler.ErrTooLate) && r.excluded != "" {
		return nil, executor.RefuseNotRun(executor.CodeCannotServe, "database "+r.excluded+" cannot be reached")
	}
	if err != nil {
		return nil, refuseWaiting(r.waitCtx, err, r.timeoutCode())
	}
	return slot, nil
}

// timeoutCode returns the SQLSTATE of a batch whose deadline passed before it
// was sent: its time was spent in the queue, or on a database that could not be
// reached.
func (r *request) timeoutCode() string {
	if r.excluded != "" {
		return executor.CodeCannotServe
	}
	return executor.CodeTooManyQueued
}

// logRoute counts and logs a routing decision. A read on the primary is logged
// at info level, since replicas are there to serve it.
func (h *Holder) logRoute(r *request, d *database, replica bool, reason tracker.Reason) {
	if h.Callbacks.Routed != nil {
		h.Callbacks.Routed(d.pool.Name, replica, reason)
	}
	level := slog.LevelDebug
	if !replica && r.batch.Class == executor.ClassRead && reason != tracker.ReasonTransaction {
		level = slog.LevelInfo
	}
	ctx := context.Background()
	if !h.Logger.Enabled(ctx, level) {
		return
	}
	h.Logger.Log(ctx, level, "route", "service", h.Service.Name, "customer", r.exchange.attributes.Customer,
		"database", d.pool.Name, "replica", replica, "reason", string(reason))
}

// waitBeforeRetry waits for the timeout before a batch is retried, or until
// the term or the primary changes.
func (r *request) waitBeforeRetry(timeout time.Duration) {
	h := r.holder
	first := h.syncView()
	for view, end := first, h.Now().Add(timeout); view.Term == first.Term && view.Primary == first.Primary; view = h.syncView() {
		remaining := end.Sub(h.Now())
		if remaining <= 0 || waitViewChange(r.waitCtx, view, remaining) != nil {
			return
		}
	}
}
