package holder

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/endiveturn/endiveturn/executor"
	"github.com/endiveturn/endiveturn/limiter"
	"github.com/endiveturn/endiveturn/pooler"
	"github.com/endiveturn/endiveturn/tracker"
)

// An exchange runs the batches of one client. It implements executor.Exchange.
type exchange struct {
	holder     *Holder
	attributes executor.Attributes
	session    tracker.Session
	// floorRaised is set once the floor of the session of a first exchange has been
	// raised.
	floorRaised bool
	// transaction is the open transaction, or nil.
	transaction *transaction
	// closed is set when the exchange cannot be used any more.
	closed bool
}

// A transaction is an open transaction, which is pinned to one connection.
type transaction struct {
	database *database
	conn     *pooler.Conn
	replica  bool
	// connectionStateChanged is set when a batch may have left state on the
	// connection, which must then be closed after the transaction instead of
	// reused.
	connectionStateChanged bool
	// release releases everything that the transaction holds except the
	// connection.
	release func()
}

// Run executes one batch.
func (e *exchange) Run(ctx context.Context, batch executor.Batch, w io.Writer) (executor.Result, error) {
	h := e.holder
	if e.closed {
		return executor.Result{}, executor.RefuseNotRun(executor.CodeInternal, "exchange is over")
	}
	if batch.Timeout <= 0 {
		batch.Timeout = h.Service.Deadline
	}
	runCtx := &runContext{parent: ctx, deadline: time.Now().Add(batch.Timeout)}
	defer runCtx.release()
	r := &request{
		holder: h, exchange: e, batch: &batch, writer: w,
		runCtx: runCtx, waitCtx: runCtx, deadline: h.Now().Add(batch.Timeout),
	}
	var result executor.Result
	var refusal *executor.Refusal
	if e.transaction != nil {
		result, refusal = r.runPinned()
	} else {
		result, refusal = r.runUnpinned()
	}
	if refusal == nil {
		return result, nil
	}
	if r.mayHaveRun {
		refusal = refusal.AfterUnknownOutcome(r.mayWrite())
	}
	if refusal.Outcome != executor.NotRun && refusal.Outcome != executor.HeldElsewhere {
		e.closed = true
		e.rollBack()
	}
	if h.Callbacks.Refused != nil {
		h.Callbacks.Refused(e.attributes.Customer, refusal.Code)
	}
	return executor.Result{}, refusal
}

// Close rolls back an open transaction.
func (e *exchange) Close() error {
	e.closed = true
	e.rollBack()
	return nil
}

// rollBack closes the connection of an open transaction, upon which the
// database rolls the transaction back.
func (e *exchange) rollBack() { e.discardTransaction(nil) }

// discardTransaction does the same as rollBack and calls ended once nothing
// runs at the database any more.
func (e *exchange) discardTransaction(ended func()) {
	if t := e.transaction; t != nil {
		e.transaction = nil
		t.database.pool.Discard(t.conn, ended)
		t.release()
	}
}

// A request is the execution of one batch.
type request struct {
	holder   *Holder
	exchange *exchange
	batch    *executor.Batch
	writer   io.Writer
	// runCtx ends when the client cancels the batch or its deadline passes;
	// waitCtx also ends when the holder is drained.
	runCtx   *runContext
	waitCtx  context.Context
	deadline time.Time
	// primaryOnly is set when a replica refused the batch because it writes.
	primaryOnly bool
	// excluded is the name of a database that failed for this batch.
	excluded string
	// mayHaveRun is set once the response to an attempt was lost and the batch is
	// attempted again.
	mayHaveRun bool
}

// runUnpinned runs a batch outside a transaction.
func (r *request) runUnpinned() (executor.Result, *executor.Refusal) {
	h := r.holder
	if !h.beginWork() {
		return executor.Result{}, refuseHeldElsewhere()
	}
	defer h.inFlight.add(-1)
	waitCtx := &waitContext{parent: r.runCtx, drainCtx: h.drainCtx}
	defer waitCtx.release()
	r.waitCtx = waitCtx
	h.retryBudget.countRequest(h.Now())
	if refusal := r.admit(0); refusal != nil {
		return executor.Result{}, refusal
	}
	for {
		route, refusal := r.route()
		if refusal != nil {
			return executor.Result{}, refusal
		}
		result, retry, refusal := r.attempt(route)
		if !retry {
			return result, refusal
		}
	}
}

// runPinned runs a batch of the open transaction.
func (r *request) runPinned() (executor.Result, *executor.Refusal) {
	if refusal := r.admit(r.batch.Timeout); refusal != nil {
		return executor.Result{}, refusal
	}
	h := r.holder
	t := r.exchange.transaction
	for {
		view := h.syncView()
		if view.Term != t.conn.Term() {
			return executor.Result{}, refuseRolledBack("transaction rolled back by a change of primary")
		}
		if !view.HasLease(h.Now()) {
			if err := waitViewChange(r.waitCtx, view, leaseRecheckInterval); err != nil {
				return executor.Result{}, refuseWaiting(r.waitCtx, err, executor.CodeCannotServe)
			}
			continue
		}
		slot, refusal := r.acquireSlot(t.database, true)
		if refusal != nil {
			return executor.Result{}, refusal
		}
		if view = h.syncView(); view.Term != t.conn.Term() || !view.HasLease(h.Now()) {
			slot.Release()
			continue
		}
		if refusal := r.recheckAdmission(); refusal != nil {
			slot.Release()
			return executor.Result{}, refusal
		}
		h.logRoute(r, t.database, t.replica, tracker.ReasonTransaction)
		t.connectionStateChanged = t.connectionStateChanged || r.batch.ChangesConnectionState
		return r.runInTransaction(t, slot)
	}
}

// admit checks the key and takes a token from the rate limiter of the customer.
func (r *request) admit(maxWait time.Duration) *executor.Refusal {
	h := r.holder
	if refusal := r.checkKey(); refusal != nil {
		return refusal
	}
	name := limiter.BucketName{Customer: r.exchange.attributes.Customer, Service: h.Service.Name}
	if err := h.Limiter.Acquire(r.waitCtx, name, maxWait); err != nil {
		return refuseWaiting(r.waitCtx, err, executor.CodeRateExceeded)
	}
	return nil
}

// recheckAdmission refuses the batch if the client has disconnected or the key
// was revoked while the batch waited for a slot. The wait may be longer than the
// time within which a revoked key must stop working.
func (r *request) recheckAdmission() *executor.Refusal {
	if err := r.waitCtx.Err(); err != nil {
		return refuseWaiting(r.waitCtx, err, r.timeoutCode())
	}
	return r.checkKey()
}

// checkKey refuses the batch if its key is no longer valid.
func (r *request) checkKey() *executor.Refusal {
	if r.holder.CheckKey == nil {
		return nil
	}
	return r.holder.CheckKey(r.exchange.attributes)
}

// mayWrite reports whether a batch outside a transaction may write or opens a
// transaction that may write.
func (r *request) mayWrite() bool {
	return r.batch.Class == executor.ClassWrite || r.batch.Class == executor.ClassBegin || r.primaryOnly
}

// opensTransaction reports whether the batch only opens a transaction.
func (r *request) opensTransaction() bool {
	return r.batch.Class == executor.ClassBegin || r.batch.Class == executor.ClassBeginRead
}

// retryable reports whether the batch may be retried after it was sent.
// Opening a transaction has no effect by itself.
func (r *request) retryable() bool {
	reads := r.batch.Class == executor.ClassRead && !r.primaryOnly
	return r.exchange.transaction == nil && (r.batch.Idempotent || reads || r.opensTransaction())
}

// pin records the transaction that the batch has opened on the connection. The
// transaction counts as work in flight, so that a drain waits for its end, and
// calls leaveGate at its end, so that a switchover waits for it too.
func (e *exchange) pin(route route, conn *pooler.Conn, connectionStateChanged bool, leaveGate func()) {
	h := e.holder
	h.inFlight.add(1)
	route.database.queue.Pin()
	e.transaction = &transaction{
		database: route.database, conn: conn, replica: route.replica, connectionStateChanged: connectionStateChanged,
		release: sync.OnceFunc(func() {
			route.database.queue.Unpin()
			leaveGate()
			h.inFlight.add(-1)
		}),
	}
}
