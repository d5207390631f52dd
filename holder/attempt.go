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
	// connectionTimeout bounds the wait for a connection while a slot is held. All
	// connections may be pinned by transactions that wait for this slot.
	connectionTimeout = time.Second
	// retryDelay is the mean delay before a batch is retried.
	retryDelay = 10 * time.Millisecond
)

// errNoConnection is the cause of the context that ends after
// connectionTimeout.
var errNoConnection = errors.New("all connections are in use")

// attempt runs a batch outside a transaction on the chosen database. If retry
// is set, the batch is to be routed again: it has had no effect or is safe to
// run twice.
func (r *request) attempt(chosen route) (result executor.Result, retry bool, refusal *executor.Refusal) {
	h := r.holder
	slot, refusal := r.acquireSlot(chosen.database, false)
	if refusal != nil {
		return result, false, refusal
	}
	leaveGate := func() {}
	if r.mayWrite() {
		if resumed := h.writeGate.enter(); resumed != nil {
			slot.Release()
			return result, true, r.awaitResumed(resumed)
		}
		leaveGate = sync.OnceFunc(h.writeGate.leave)
	}
	// If the batch opens a transaction, the transaction takes over the call of
	// leaveGate.
	defer func() {
		if r.exchange.transaction == nil {
			leaveGate()
		}
	}()
	if refusal := r.recheckAdmission(); refusal != nil {
		slot.Release()
		return result, false, refusal
	}
	if !r.routeValid(chosen) {
		slot.Release()
		return result, true, nil
	}
	conn, err := r.connect(chosen)
	if err != nil {
		slot.Release()
		return r.retryElsewhere(chosen, err)
	}
	if !r.routeValid(chosen) {
		chosen.database.pool.Put(conn)
		slot.Release()
		return result, true, nil
	}
	h.logRoute(r, chosen.database, chosen.replica, chosen.reason)
	return r.handleOutcome(chosen, conn, slot, leaveGate, r.execute(conn, slot))
}

// awaitResumed waits until writes are resumed after a switchover.
func (r *request) awaitResumed(resumed <-chan struct{}) *executor.Refusal {
	select {
	case <-resumed:
		return nil
	case <-r.waitCtx.Done():
		return refuseWaiting(r.waitCtx, context.Cause(r.waitCtx), executor.CodeCannotServe)
	}
}

// routeValid reports whether the route is still valid: the lease is valid, the
// term is unchanged, and the database is still the primary or a replica in
// service.
func (r *request) routeValid(chosen route) bool {
	view := r.holder.syncView()
	if !view.HasLease(r.holder.Now()) || view.Term != chosen.term {
		return false
	}
	name := chosen.database.pool.Name
	if chosen.replica {
		return r.holder.servesReads(name)
	}
	return view.Primary == name
}

func (r *request) connect(chosen route) (*pooler.Conn, error) {
	customer := r.exchange.attributes.Customer
	if conn := chosen.database.pool.TryGet(chosen.term, customer); conn != nil {
		return conn, nil
	}
	ctx, cancel := context.WithTimeoutCause(r.waitCtx, connectionTimeout, errNoConnection)
	defer cancel()
	return chosen.database.pool.Get(ctx, chosen.term, customer)
}

// retryElsewhere prepares the retry of a batch that had no effect on the chosen
// database or is safe to run twice: it excludes that database, waits for the
// retry delay and requests another attempt. It refuses the batch if it is
// malformed or waitCtx has ended.
func (r *request) retryElsewhere(chosen route, err error) (executor.Result, bool, *executor.Refusal) {
	if r.waitCtx.Err() != nil || errors.Is(err, pooler.ErrMalformed) {
		return executor.Result{}, false, refuseWaiting(r.waitCtx, err, executor.CodeCannotServe)
	}
	r.excluded = chosen.database.pool.Name
	r.holder.Logger.Debug("batch_rerouted", "service", r.holder.Service.Name, "database", r.excluded, "error", err)
	r.waitBeforeRetry(jitteredRetryDelay())
	return executor.Result{}, true, nil
}

// handleOutcome processes the outcome of a batch that ran outside a
// transaction. It releases the slot once nothing runs at the database any more.
func (r *request) handleOutcome(chosen route, conn *pooler.Conn, slot *scheduler.Slot, leaveGate func(), run *execution) (executor.Result, bool, *executor.Refusal) {
	defer run.relay.release()
	pool := &chosen.database.pool
	inTransaction := run.status != 'I'
	switch {
	case run.err != nil:
		pool.Discard(conn, slot.Release)
		return r.handleLostResponse(chosen, run)
	case run.refusedWith(executor.CodeStaleTerm, executor.CodeReadOnlyTransaction) && !inTransaction && !run.cancelled:
		pool.Discard(conn, nil)
		slot.Release()
		r.primaryOnly = chosen.replica
		return r.retryElsewhere(chosen, errors.Errorf("database refused the batch with SQLSTATE %s", run.relay.firstErrorCode))
	case run.cancelled && (inTransaction || run.relay.lastErrorCode == executor.CodeQueryCanceled):
		pool.Discard(conn, slot.Release)
		return executor.Result{}, false, r.refuseCancelled(run)
	case inTransaction:
		r.exchange.pin(chosen, conn, r.batch.ChangesConnectionState, leaveGate)
	case run.cancelled || r.batch.ChangesConnectionState:
		pool.Discard(conn, nil)
	default:
		pool.Put(conn)
	}
	slot.Release()
	result, refusal := r.finish(run, chosen.term, chosen.replica)
	return result, false, refusal
}

// handleLostResponse processes a batch outside a transaction whose response is
// incomplete.
func (r *request) handleLostResponse(chosen route, run *execution) (executor.Result, bool, *executor.Refusal) {
	h := r.holder
	if !run.sent || errors.Is(run.err, pooler.ErrStaleTerm) || run.refusedWith(executor.CodeStaleTerm) {
		return r.retryElsewhere(chosen, run.err)
	}
	if refusal := r.refuseAborted(run); refusal != nil {
		return executor.Result{}, false, refusal
	}
	if r.retryable() && !run.relay.forwarded && r.waitCtx.Err() == nil && h.retryBudget.allowRetry(h.Now()) {
		if h.Callbacks.Retried != nil {
			h.Callbacks.Retried()
		}
		r.mayHaveRun = true
		return r.retryElsewhere(chosen, run.err)
	}
	return executor.Result{}, false, executor.RefuseUnknown(executor.CodeOutcomeUnknown, "answer of the database lost")
}

// refuseAborted returns the refusal of a batch that ended for a reason other
// than a failure of the database, or nil.
func (r *request) refuseAborted(run *execution) *executor.Refusal {
	switch {
	case errors.Is(run.err, errHeldResponseTooLarge):
		return executor.RefuseUnknown(r.unknownCode(), errHeldResponseTooLarge.Error())
	case run.cancelled && r.batch.Class == executor.ClassRead:
		return executor.RefuseUnknown(executor.CodeQueryCanceled, "canceled without an answer of the database")
	case run.cancelled:
		return executor.RefuseUnknown(r.unknownCode(), "canceled without an answer of the database")
	case errors.Is(run.err, errClientWrite):
		return executor.RefuseUnknown(r.unknownCode(), errClientWrite.Error())
	default:
		return nil
	}
}

// refuseCancelled returns the refusal of a batch whose cancellation the
// database has confirmed. Its connection is closed, which rolls back a
// transaction that is still open.
func (r *request) refuseCancelled(run *execution) *executor.Refusal {
	if !run.relay.position.IsZero() {
		return executor.RefuseUnknown(executor.CodeOutcomeUnknown, "canceled after a commit")
	}
	return &executor.Refusal{
		Code: executor.CodeQueryCanceled, Message: "canceling statement: " + context.Cause(r.runCtx).Error(),
		Outcome: executor.RolledBack,
	}
}

// finish acknowledges the commit of the batch, if any, and forwards the rest of
// its response.
func (r *request) finish(run *execution, term uint64, replica bool) (executor.Result, *executor.Refusal) {
	if refusal := r.acknowledge(term, run.relay.position); refusal != nil {
		return executor.Result{}, refusal
	}
	if err := run.relay.flush(); err != nil {
		return executor.Result{}, executor.RefuseUnknown(r.unknownCode(), errClientWrite.Error())
	}
	return executor.Result{TxStatus: run.status, Position: run.relay.position, Replica: replica}, nil
}

// acknowledge waits until a commit may be acknowledged and raises the floor of
// its session before the client can receive its acknowledgement. Unless the term
// has changed, the floor is also raised if the commit cannot be acknowledged, so
// that a later read of the session shows whether it took effect.
func (r *request) acknowledge(term uint64, position executor.Position) *executor.Refusal {
	if position.IsZero() {
		return nil
	}
	h := r.holder
	start := h.Now()
	ctx, cancel := context.WithTimeoutCause(context.WithoutCancel(r.runCtx), r.deadline.Sub(start), errDeadline)
	defer cancel()
	err := h.awaitAcknowledgeable(ctx, term, position)
	if err == nil || h.syncView().Term == term {
		h.tracker.Raise(r.exchange.session, position)
	}
	if err != nil {
		h.Logger.Warn("commit_not_confirmed", "service", h.Service.Name, "customer", r.exchange.attributes.Customer,
			"position", position.String(), "error", err)
		return executor.RefuseUnknown(executor.CodeOutcomeUnknown, "commit was not confirmed by a majority")
	}
	if h.Callbacks.Confirmed != nil {
		h.Callbacks.Confirmed(h.Now().Sub(start))
	}
	return nil
}

func jitteredRetryDelay() time.Duration {
	return retryDelay/2 + rand.N(retryDelay)
}
