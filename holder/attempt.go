package holder

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/executor"
	"github.com/endiveturn/endiveturn/pooler"
	"github.com/endiveturn/endiveturn/scheduler"
)

const (
	// connectionWait bounds the wait for a connection while a slot is held. All
	// connections may be pinned by transactions that wait for this slot.
	connectionWait = time.Second
	// retryPause is the mean pause before a batch is sent again.
	retryPause = 10 * time.Millisecond
)

// errNoConnection is the cause when connectionWait is over.
var errNoConnection = errors.New("all connections are in use")

// attempt runs a batch outside a transaction on the chosen database. If again is
// set, nothing of it has taken effect and it may be routed again.
func (r *request) attempt(chosen route) (result executor.Result, again bool, refusal *executor.Refusal) {
	h := r.holder
	slot, refusal := r.acquire(chosen.database, false)
	if refusal != nil {
		return result, false, refusal
	}
	leave := func() {}
	if r.mayWrite() {
		if resumed := h.writes.enter(); resumed != nil {
			slot.Release()
			return result, true, r.awaitResumed(resumed)
		}
		leave = sync.OnceFunc(h.writes.leave)
	}
	// A transaction that the batch opens takes over what leave gives back.
	defer func() {
		if r.exchange.transaction == nil {
			leave()
		}
	}()
	if refusal := r.recheck(); refusal != nil {
		slot.Release()
		return result, false, refusal
	}
	if !r.current(chosen) {
		slot.Release()
		return result, true, nil
	}
	conn, err := r.connect(chosen)
	if err != nil {
		slot.Release()
		return r.unsent(chosen, err)
	}
	if !r.current(chosen) {
		chosen.database.pool.Put(conn)
		slot.Release()
		return result, true, nil
	}
	h.logRoute(r, chosen.database, chosen.replica, chosen.reason)
	return r.settle(chosen, conn, slot, leave, r.execute(conn, slot))
}

// awaitResumed waits for the end of a planned change of primary.
func (r *request) awaitResumed(resumed <-chan struct{}) *executor.Refusal {
	select {
	case <-resumed:
		return nil
	case <-r.waiting.Done():
		return refuseWaiting(r.waiting, context.Cause(r.waiting), executor.CodeCannotServe)
	}
}

// current reports whether the route still holds: the lease, the term, and that
// the database is the primary or a replica in service.
func (r *request) current(chosen route) bool {
	view := r.holder.observe()
	if !view.Held(r.holder.Now()) || view.Term != chosen.term {
		return false
	}
	name := chosen.database.pool.Name
	if chosen.replica {
		return r.holder.serves(name)
	}
	return view.Primary == name
}

func (r *request) connect(chosen route) (*pooler.Conn, error) {
	customer := r.exchange.attributes.Customer
	if conn := chosen.database.pool.TryGet(chosen.term, customer); conn != nil {
		return conn, nil
	}
	ctx, cancel := context.WithTimeoutCause(r.waiting, connectionWait, errNoConnection)
	defer cancel()
	return chosen.database.pool.Get(ctx, chosen.term, customer)
}

// unsent deals with a batch of which nothing was sent: it is routed again while
// there is time.
func (r *request) unsent(chosen route, err error) (executor.Result, bool, *executor.Refusal) {
	if r.waiting.Err() != nil || errors.Is(err, pooler.ErrMalformed) {
		return executor.Result{}, false, refuseWaiting(r.waiting, err, executor.CodeCannotServe)
	}
	r.excluded = chosen.database.pool.Name
	r.holder.Logger.Debug("route again", "service", r.holder.Service.Name, "database", r.excluded, "error", err)
	r.pause(jitter())
	return executor.Result{}, true, nil
}

// settle deals with what became of a batch outside a transaction. It releases
// the slot once nothing runs at the database any more.
func (r *request) settle(chosen route, conn *pooler.Conn, slot *scheduler.Slot, leave func(), run *execution) (executor.Result, bool, *executor.Refusal) {
	defer run.relay.release()
	pool := &chosen.database.pool
	open := run.status != 'I'
	switch {
	case run.err != nil:
		pool.Discard(conn, slot.Release)
		return r.lost(chosen, run)
	case run.refusedFirst(executor.CodeStaleTerm, executor.CodeReadOnlyTransaction) && !open && !run.cancelled:
		pool.Discard(conn, nil)
		slot.Release()
		r.primaryOnly = chosen.replica
		return r.unsent(chosen, errors.Errorf("refused with %s", run.relay.firstError))
	case run.cancelled && (open || run.relay.lastError == executor.CodeQueryCanceled):
		pool.Discard(conn, slot.Release)
		return executor.Result{}, false, r.refuseCancelled(run)
	case open:
		r.exchange.pin(chosen, conn, r.batch.Tainting, leave)
	case run.cancelled || r.batch.Tainting:
		pool.Discard(conn, nil)
	default:
		pool.Put(conn)
	}
	slot.Release()
	result, refusal := r.finish(run, chosen.term, chosen.replica)
	return result, false, refusal
}

// lost deals with a batch outside a transaction whose answer is incomplete.
func (r *request) lost(chosen route, run *execution) (executor.Result, bool, *executor.Refusal) {
	h := r.holder
	if !run.sent || errors.Is(run.err, pooler.ErrStaleTerm) || run.refusedFirst(executor.CodeStaleTerm) {
		return r.unsent(chosen, run.err)
	}
	if refusal := r.refuseAborted(run); refusal != nil {
		return executor.Result{}, false, refusal
	}
	if r.repeatable() && !run.relay.passed && r.waiting.Err() == nil && h.budget.retry(h.Now()) {
		if h.Counters.Retried != nil {
			h.Counters.Retried()
		}
		return r.unsent(chosen, run.err)
	}
	return executor.Result{}, false, executor.RefuseUnknown(executor.CodeOutcomeUnknown, "answer of the database lost")
}

// refuseAborted returns the refusal of a batch that was not lost by the fault of
// the database, or nil.
func (r *request) refuseAborted(run *execution) *executor.Refusal {
	switch {
	case errors.Is(run.err, errHoldFull):
		return executor.RefuseUnknown(executor.CodeTooLarge, errHoldFull.Error())
	case run.cancelled && r.batch.Class == executor.ClassRead:
		return executor.RefuseUnknown(executor.CodeQueryCanceled, "canceled without an answer of the database")
	case run.cancelled:
		return executor.RefuseUnknown(r.unknownCode(), "canceled without an answer of the database")
	case errors.Is(run.err, errWriter):
		return executor.RefuseUnknown(r.unknownCode(), errWriter.Error())
	default:
		return nil
	}
}

// refuseCancelled returns the refusal of a batch whose cancel the database has
// confirmed. Its connection is closed, which rolls back a transaction that is
// still open.
func (r *request) refuseCancelled(run *execution) *executor.Refusal {
	if !run.relay.position.IsZero() {
		return executor.RefuseUnknown(executor.CodeOutcomeUnknown, "canceled after a commit")
	}
	return &executor.Refusal{
		Code: executor.CodeQueryCanceled, Message: "canceling statement: " + context.Cause(r.running).Error(),
		Outcome: executor.RolledBack,
	}
}

// finish acknowledges what the batch committed and passes on the rest of its
// answer.
func (r *request) finish(run *execution, term uint64, replica bool) (executor.Result, *executor.Refusal) {
	if refusal := r.acknowledge(term, run.relay.position); refusal != nil {
		return executor.Result{}, refusal
	}
	if err := run.relay.flush(); err != nil {
		return executor.Result{}, executor.RefuseUnknown(r.unknownCode(), errWriter.Error())
	}
	return executor.Result{TxStatus: run.status, Position: run.relay.position, Replica: replica}, nil
}

// acknowledge waits until a commit may be acknowledged and raises the floor of
// its session before the caller can learn of it. The floor of a commit without
// acknowledgement is raised too, so that the caller can look for it.
func (r *request) acknowledge(term uint64, position executor.Position) *executor.Refusal {
	if position.IsZero() {
		return nil
	}
	h := r.holder
	start := h.Now()
	ctx, cancel := context.WithTimeoutCause(context.WithoutCancel(r.running), r.deadline.Sub(start), errDeadline)
	defer cancel()
	err := h.acknowledge(ctx, term, position)
	if err == nil || h.observe().Term == term {
		h.tracker.Raise(r.exchange.session, position)
	}
	if err != nil {
		h.Logger.Warn("commit not confirmed", "service", h.Service.Name, "customer", r.exchange.attributes.Customer,
			"position", position.String(), "error", err)
		return executor.RefuseUnknown(executor.CodeOutcomeUnknown, "commit was not confirmed by a majority")
	}
	if h.Counters.Confirmed != nil {
		h.Counters.Confirmed(h.Now().Sub(start))
	}
	return nil
}

func jitter() time.Duration {
	return retryPause/2 + rand.N(retryPause)
}
