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

// An exchange runs the batches of one caller.
type exchange struct {
	holder     *Holder
	attributes executor.Attributes
	session    tracker.Session
	// attached is set once an attaching session has its floor.
	attached bool
	// transaction is nil while none is open.
	transaction *transaction
	// over is set when the exchange cannot be used any more.
	over bool
}

// A transaction is pinned to one connection.
type transaction struct {
	database *database
	conn     *pooler.Conn
	replica  bool
	// tainted is set when a batch changed settings of the connection.
	tainted bool
	// end gives back everything that the transaction holds but the connection.
	end func()
}

// Run executes one batch.
func (e *exchange) Run(ctx context.Context, batch executor.Batch, w io.Writer) (executor.Result, error) {
	h := e.holder
	if e.over {
		return executor.Result{}, executor.RefuseNotRun(executor.CodeInternal, "exchange is over")
	}
	if batch.Deadline <= 0 {
		batch.Deadline = h.Service.Deadline
	}
	running := &runContext{parent: ctx, deadline: time.Now().Add(batch.Deadline)}
	defer running.release()
	r := &request{
		holder: h, exchange: e, batch: &batch, writer: w,
		running: running, waiting: running, deadline: h.Now().Add(batch.Deadline),
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
	if refusal.Outcome != executor.NotRun && refusal.Outcome != executor.Moved {
		e.over = true
		e.abandon()
	}
	if h.Counters.Refused != nil {
		h.Counters.Refused(e.attributes.Customer, refusal.Code)
	}
	return executor.Result{}, refusal
}

// Close rolls an open transaction back.
func (e *exchange) Close() error {
	e.over = true
	e.abandon()
	return nil
}

// abandon closes the connection of an open transaction, whereupon the database
// rolls it back.
func (e *exchange) abandon() { e.discard(nil) }

// discard is abandon with a function that is called once nothing runs at the
// database any more.
func (e *exchange) discard(ended func()) {
	if t := e.transaction; t != nil {
		e.transaction = nil
		t.database.pool.Discard(t.conn, ended)
		t.end()
	}
}

// A request is one run of a batch.
type request struct {
	holder   *Holder
	exchange *exchange
	batch    *executor.Batch
	writer   io.Writer
	// running ends when the caller cancels the batch or its deadline passes;
	// waiting also ends when the holder is drained.
	running  *runContext
	waiting  context.Context
	deadline time.Time
	// primaryOnly is set when a replica refused the batch as a write.
	primaryOnly bool
	// excluded names a database that failed for this batch.
	excluded string
}

// runUnpinned runs a batch outside a transaction.
func (r *request) runUnpinned() (executor.Result, *executor.Refusal) {
	h := r.holder
	if !h.begin() {
		return executor.Result{}, moved()
	}
	defer h.running.add(-1)
	waiting := &waitContext{parent: r.running, moving: h.moving}
	defer waiting.release()
	r.waiting = waiting
	h.budget.request(h.Now())
	if refusal := r.admit(0); refusal != nil {
		return executor.Result{}, refusal
	}
	for {
		route, refusal := r.route()
		if refusal != nil {
			return executor.Result{}, refusal
		}
		result, again, refusal := r.attempt(route)
		if !again {
			return result, refusal
		}
	}
}

// runPinned runs a batch of the open transaction.
func (r *request) runPinned() (executor.Result, *executor.Refusal) {
	if refusal := r.admit(r.batch.Deadline); refusal != nil {
		return executor.Result{}, refusal
	}
	h := r.holder
	t := r.exchange.transaction
	for {
		view := h.observe()
		if view.Term != t.conn.Term() {
			return executor.Result{}, refuseRolledBack("transaction rolled back by a change of primary")
		}
		if !view.Held(h.Now()) {
			if err := waitView(r.waiting, view, leaseRecheck); err != nil {
				return executor.Result{}, refuseWaiting(r.waiting, err, executor.CodeCannotServe)
			}
			continue
		}
		slot, refusal := r.acquire(t.database, true)
		if refusal != nil {
			return executor.Result{}, refusal
		}
		if view = h.observe(); view.Term != t.conn.Term() || !view.Held(h.Now()) {
			slot.Release()
			continue
		}
		if refusal := r.recheck(); refusal != nil {
			slot.Release()
			return executor.Result{}, refusal
		}
		h.logRoute(r, t.database, t.replica, tracker.ReasonTransaction)
		t.tainted = t.tainted || r.batch.Tainting
		return r.runInTransaction(t, slot)
	}
}

// admit checks the key and takes a token of the customer's rate.
func (r *request) admit(patience time.Duration) *executor.Refusal {
	h := r.holder
	if refusal := r.checkKey(); refusal != nil {
		return refusal
	}
	name := limiter.Name{Customer: r.exchange.attributes.Customer, Service: h.Service.Name}
	if err := h.Limiter.Acquire(r.waiting, name, patience); err != nil {
		return refuseWaiting(r.waiting, err, executor.CodeRateExceeded)
	}
	return nil
}

// recheck refuses the batch after the wait for a slot, which may outlast its
// caller, or the time in which a revoked key has to stop working.
func (r *request) recheck() *executor.Refusal {
	if err := r.waiting.Err(); err != nil {
		return refuseWaiting(r.waiting, err, r.lateCode())
	}
	return r.checkKey()
}

// checkKey refuses the batch if its key does not admit any more.
func (r *request) checkKey() *executor.Refusal {
	if r.holder.CheckKey == nil {
		return nil
	}
	return r.holder.CheckKey(r.exchange.attributes)
}

// mayWrite reports whether the batch outside a transaction may write or opens a
// transaction that may.
func (r *request) mayWrite() bool {
	return r.batch.Class == executor.ClassWrite || r.batch.Class == executor.ClassBegin || r.primaryOnly
}

// begins reports whether the batch only opens a transaction.
func (r *request) begins() bool {
	return r.batch.Class == executor.ClassBegin || r.batch.Class == executor.ClassBeginRead
}

// repeatable reports whether the batch may be sent again after it was sent.
// Opening a transaction changes nothing by itself.
func (r *request) repeatable() bool {
	reads := r.batch.Class == executor.ClassRead && !r.primaryOnly
	return r.exchange.transaction == nil && (r.batch.Idempotent || reads || r.begins())
}

// pin makes the connection the one of an open transaction. The work counted in
// it keeps the holder from draining and planned changes of primary waiting.
func (e *exchange) pin(route route, conn *pooler.Conn, tainted bool, leave func()) {
	h := e.holder
	h.running.add(1)
	route.database.queue.Pin()
	e.transaction = &transaction{
		database: route.database, conn: conn, replica: route.replica, tainted: tainted,
		end: sync.OnceFunc(func() {
			route.database.queue.Unpin()
			leave()
			h.running.add(-1)
		}),
	}
}
