package director

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/connector"
	"github.com/endiveturn/endiveturn/executor"
)

// expire rolls back a transaction that exceeded the idle timeout.
func (t *transaction) expire() {
	if t.hasFailed() {
		return
	}
	databaseID := ""
	t.closeRemote()
	if t.attempt != nil {
		databaseID = t.attempt.database.id
		t.attempt.returnOrDiscardConn(executor.StateTransaction)
		t.attempt = nil
	}
	t.fail(executor.Response{Code: executor.CodeAborted, Text: "transaction was idle too long"}, databaseID, "idle")
	t.failureUnreported = true
}

// abort rolls back the transaction of a client that has disconnected.
func (t *transaction) abort() {
	t.closeRemote()
	if t.attempt != nil {
		t.attempt.returnOrDiscardConn(executor.StateTransaction)
		t.attempt = nil
	}
	t.operation.refundUnlessRun()
}

func (s *Session) commit(ctx context.Context, statement executor.Request) executor.Response {
	t := s.tx
	if t == nil {
		return s.errorResponse(executor.CodeMalformed, "no transaction is open")
	}
	s.tx = nil
	s.state = executor.StateIdle
	if t.hasFailed() {
		return s.errorResponse(executor.CodeAborted, "transaction had failed and is rolled back")
	}
	if t.keyRevoked() {
		databaseID := t.discardConn()
		response := s.errorResponse(executor.CodeAborted, "key was withdrawn, the transaction is rolled back")
		t.operation.finish(databaseID, "key withdrawn", response)
		return response
	}
	if t.keyUnconfirmed() {
		databaseID := t.discardConn()
		response := s.errorResponse(executor.CodeAborted, keyUnconfirmedText)
		t.operation.finish(databaseID, localOutdatedView, response)
		return response
	}
	deadline := s.director.Now().Add(t.operation.route.StatementTimeout)
	if t.remote != nil {
		return t.commitForwarded(statement, deadline)
	}
	if t.attempt == nil {
		a, err := t.beginOnDatabase(ctx, s.director.Now(), nil)
		if err != nil {
			response := s.errorResponse(executor.CodeBusy, refusalText(err))
			t.operation.finish("", err.Error(), response)
			return response
		}
		t.attempt = a
	}
	return t.commit(ctx, statement, deadline)
}

func (t *transaction) commit(ctx context.Context, statement executor.Request, deadline time.Time) executor.Response {
	a := t.attempt
	databaseID := a.database.id
	a.clientStatementSent = false
	t.operation.attempts++
	response, err := t.roundTripWithRetry(ctx, statement, deadline)
	if err != nil {
		response = t.commitFailed(err)
		t.operation.finish(databaseID, err.Error(), response)
		return response
	}
	a.returnOrDiscardConn(response.State)
	response.State = executor.StateIdle
	if response.Code == executor.CodeNone {
		t.operation.session.raiseFloor(t.operation.route.Service, response.Position)
	}
	t.operation.finish(databaseID, "answered", response)
	return response
}

// commitFailed rolls the transaction back, as far as it is known not to have
// committed, and returns the response to a COMMIT that the database did not
// answer.
func (t *transaction) commitFailed(err error) executor.Response {
	a := t.attempt
	if errors.Is(err, connector.ErrQueueTimeout) {
		a.returnOrDiscardConn(executor.StateTransaction)
		return executor.Response{Code: executor.CodeBusy, Text: busyTextOf(err), State: executor.StateIdle}
	}
	if !isFenced(err) && !errors.Is(err, errUnconfirmed) {
		t.operation.service.recordFailure(a.database, err)
	}
	a.discardConn()
	response := executor.Response{State: executor.StateIdle}
	switch {
	case errors.Is(err, errUnconfirmed) && t.wrote:
		response.Code, response.Text = executor.CodeInDoubt, unconfirmedText
	case a.clientStatementSent && t.wrote:
		response.Code, response.Text = executor.CodeInDoubt, "connection to the database was lost; outcome unknown"
	case a.clientStatementSent:
		response.Code, response.Text = executor.CodeRunFailed, "connection to the database was lost; nothing was written"
	case errors.Is(err, errFenced):
		response.Code, response.Text = executor.CodeAborted, "primary was replaced before the commit"
	case errors.Is(err, errViewTooOld):
		response.Code, response.Text = executor.CodeAborted, "primary could not be confirmed before the commit"
	default:
		response.Code, response.Text = executor.CodeAborted, "connection to the database was lost before the commit"
	}
	return response
}

func (s *Session) rollback() executor.Response {
	t := s.tx
	if t == nil {
		return s.errorResponse(executor.CodeMalformed, "no transaction is open")
	}
	s.tx = nil
	s.state = executor.StateIdle
	if t.remote != nil {
		t.rollbackRemote()
	}
	if t.attempt != nil {
		t.attempt.returnOrDiscardConn(executor.StateTransaction)
		t.attempt = nil
	}
	t.operation.refundUnlessRun()
	return s.successResponse()
}
