package holder

import (
	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/executor"
	"github.com/endiveturn/endiveturn/pooler"
	"github.com/endiveturn/endiveturn/scheduler"
)

// runInTransaction runs a batch on the connection of the open transaction. If
// it returns a refusal after which the transaction cannot be open, exchange.Run
// closes the connection.
func (r *request) runInTransaction(t *transaction, slot *scheduler.Slot) (executor.Result, *executor.Refusal) {
	term := t.conn.Term()
	run := r.execute(t.conn, slot)
	defer run.relay.release()
	if run.err != nil {
		refusal := r.refuseLostResponse(run)
		r.exchange.discardTransaction(slot.Release)
		return executor.Result{}, refusal
	}
	inTransaction := run.status != 'I'
	if run.cancelled && (inTransaction || run.relay.lastErrorCode == executor.CodeQueryCanceled) {
		r.exchange.discardTransaction(slot.Release)
		return executor.Result{}, r.refuseCancelled(run)
	}
	if inTransaction {
		slot.Release()
		return r.finish(run, term, t.replica)
	}
	r.exchange.transaction = nil
	// The transaction counts as open until its commit is acknowledged.
	defer t.release()
	if t.connectionStateChanged || run.cancelled {
		t.database.pool.Discard(t.conn, nil)
	} else {
		t.database.pool.Put(t.conn)
	}
	slot.Release()
	return r.finish(run, term, t.replica)
}

// refuseLostResponse returns the refusal of a batch in a transaction whose
// response is incomplete. The database rolls the transaction back when the
// connection ends, unless the batch has reached it and commits.
func (r *request) refuseLostResponse(run *execution) *executor.Refusal {
	switch {
	case errors.Is(run.err, pooler.ErrMalformed):
		refusal := refuseRolledBack("transaction rolled back: " + run.err.Error())
		refusal.Code = executor.CodeProtocolViolation
		return refusal
	case !run.sent:
		return refuseRolledBack("transaction rolled back: connection to the database lost")
	case errors.Is(run.err, pooler.ErrStaleTerm), run.refusedWith(executor.CodeStaleTerm):
		return refuseRolledBack("transaction rolled back by a change of primary")
	}
	if refusal := r.refuseAborted(run); refusal != nil {
		return refusal
	}
	return executor.RefuseUnknown(r.unknownCode(), "answer of the database lost")
}

// unknownCode returns the SQLSTATE of an unknown outcome. Within a transaction
// the outcome of a statement is unknown; at its end, or outside a transaction,
// that of the whole transaction.
func (r *request) unknownCode() string {
	if r.exchange.transaction != nil && !r.batch.MayCommit() {
		return executor.CodeStatementUnknown
	}
	return executor.CodeOutcomeUnknown
}
