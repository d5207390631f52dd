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

// errNoDatabase says that the primary is not among the configured databases.
var errNoDatabase = errors.New("primary is not configured")

// A route is where a batch outside a transaction goes.
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
	view, err := h.awaitHeld(r.waiting)
	if err != nil {
		return route{}, refuseWaiting(r.waiting, err, executor.CodeCannotServe)
	}
	r.attach()
	decision := tracker.Decision{Reason: tracker.ReasonWrite}
	if !r.mayWrite() {
		if view, decision, err = r.chooseReplica(view); err != nil {
			return route{}, refuseWaiting(r.waiting, err, executor.CodeCannotServe)
		}
	}
	chosen := route{term: view.Term, reason: decision.Reason, replica: decision.Replica != ""}
	name := view.Primary
	if chosen.replica {
		name = decision.Replica
	}
	if chosen.database = h.find(name); chosen.database == nil {
		return route{}, refuseWaiting(r.waiting, errNoDatabase, executor.CodeCannotServe)
	}
	return chosen, nil
}

// attach gives a session without a name its floor with its first batch.
func (r *request) attach() {
	if e := r.exchange; e.attributes.Attaching && !e.attached {
		e.attached = true
		r.holder.tracker.Attach(e.session)
	}
}

// chooseReplica decides where a read goes. It waits for replicas to reach the
// floor, but no longer than the service allows.
func (r *request) chooseReplica(view promoter.View) (promoter.View, tracker.Decision, error) {
	h := r.holder
	read := tracker.Read{
		Session: r.exchange.session, Token: r.batch.Floor, MaxAge: r.batch.MaxAge, Excluded: r.excluded,
	}
	end := h.Now().Add(h.Service.ReplicaWait)
	for {
		decision := h.tracker.Choose(read, h.candidates(), h.Now())
		left := end.Sub(h.Now())
		if !decision.Wait || left <= 0 {
			return view, decision, nil
		}
		if err := waitView(r.waiting, view, left); err != nil {
			return view, decision, err
		}
		next, err := h.awaitHeld(r.waiting)
		if err != nil {
			return view, decision, err
		}
		view = next
	}
}

// acquire waits for a slot.
func (r *request) acquire(d *database, priority bool) (*scheduler.Slot, *executor.Refusal) {
	h := r.holder
	start := h.Now()
	slot, err := d.queue.Acquire(r.waiting, scheduler.Request{
		Customer: r.exchange.attributes.Customer, Deadline: r.deadline,
		Priority: priority, Pins: !priority && r.begins(),
	})
	if h.Counters.Queued != nil {
		h.Counters.Queued(r.exchange.attributes.Customer, h.Now().Sub(start))
	}
	if errors.Is(err, scheduler.ErrTooLate) && r.excluded != "" {
		return nil, executor.RefuseNotRun(executor.CodeCannotServe, "database "+r.excluded+" cannot be reached")
	}
	if err != nil {
		return nil, refuseWaiting(r.waiting, err, r.lateCode())
	}
	return slot, nil
}

// lateCode returns the SQLSTATE of a batch whose deadline passed before it was
// sent: its time was spent in the queue, or on a database that could not be
// reached.
func (r *request) lateCode() string {
	if r.excluded != "" {
		return executor.CodeCannotServe
	}
	return executor.CodeTooManyQueued
}

// logRoute writes the line of a routing decision. A read on the primary is worth
// notice, since replicas are there to serve it.
func (h *Holder) logRoute(r *request, d *database, replica bool, reason tracker.Reason) {
	if h.Counters.Routed != nil {
		h.Counters.Routed(d.pool.Name, replica, reason)
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

// pause waits before a batch is sent again, unless there is another primary
// before that.
func (r *request) pause(atMost time.Duration) {
	h := r.holder
	first := h.observe()
	for view, end := first, h.Now().Add(atMost); view.Term == first.Term && view.Primary == first.Primary; view = h.observe() {
		left := end.Sub(h.Now())
		if left <= 0 || waitView(r.waiting, view, left) != nil {
			return
		}
	}
}
