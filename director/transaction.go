package director

import (
	"context"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/connector"
	"github.com/endiveturn/endiveturn/executor"
	"github.com/endiveturn/endiveturn/forwarder"
)

// A transaction is a client's transaction. It takes a connection for its first
// statement and keeps it until it ends.
type transaction struct {
	operation *operation
	// readOnly is set for read-only transactions, which may run on a replica.
	readOnly bool
	// attempt is nil before the first statement and after a failure, and while the
	// transaction runs on another host.
	attempt *attempt
	// remote is the stream to the pool host that runs the transaction, or nil.
	remote *forwarder.Stream
	// wrote is set once a statement that writes may have run. One whose response is an
	// error may have: its result may only have been dropped.
	wrote bool
	// failureCode is the reason for which the proxy or the database ended the
	// transaction, or CodeNone.
	failureCode executor.Code
	// failureUnreported is set after the transaction failed between statements,
	// until the response to the next statement reports the failure to the
	// client.
	failureUnreported bool
}

// hasFailed reports whether the transaction has failed, so that the client can
// only end it.
func (t *transaction) hasFailed() bool { return t.failureCode != executor.CodeNone }

func (s *Session) begin(statement executor.Request) executor.Response {
	if s.state != executor.StateIdle {
		return s.errorResponse(executor.CodeMalformed, "a transaction is open")
	}
	op, code, text := s.admitOperation(statement.ID)
	if code != executor.CodeNone {
		response := s.errorResponse(code, text)
		if op != nil {
			op.finish("", "refused", response)
		}
		return response
	}
	s.tx = &transaction{operation: op, readOnly: statement.Verb == executor.VerbBeginRead}
	s.state = executor.StateTransaction
	return s.successResponse()
}

// fail marks the transaction as failed. The client still has to end it with a
// commit or rollback.
func (t *transaction) fail(response executor.Response, databaseID, reason string) executor.Response {
	t.failureCode = response.Code
	t.operation.session.state = executor.StateFailed
	response.State = executor.StateFailed
	t.operation.finish(databaseID, reason, response)
	return response
}

// execute runs a statement in the transaction.
func (t *transaction) execute(ctx context.Context, statement executor.Request, writes bool, p *prepared) executor.Response {
	s := t.operation.session
	if t.failureUnreported {
		t.failureUnreported = false
		return s.errorResponse(t.failureCode, "transaction was idle too long and is rolled back")
	}
	if t.hasFailed() {
		return s.errorResponse(executor.CodeMalformed, "transaction has failed")
	}
	if t.keyRevoked() {
		databaseID := t.discardConn()
		return t.fail(executor.Response{Code: executor.CodeAborted, Text: "key was withdrawn"}, databaseID, "key withdrawn")
	}
	if t.keyUnconfirmed() {
		databaseID := t.discardConn()
		return t.fail(executor.Response{Code: executor.CodeAborted, Text: keyUnconfirmedText}, databaseID, localOutdatedView)
	}
	deadline := s.director.Now().Add(t.operation.route.StatementTimeout)
	if t.remote != nil {
		return t.executeForwarded(statement, writes, p, deadline)
	}
	if t.attempt == nil {
		if response, handled := t.forwardFirst(ctx, statement, writes, p, deadline); handled {
			return response
		}
		return t.executeFirst(ctx, statement, writes, p, deadline)
	}
	return t.executeOnConn(ctx, statement, writes, p, deadline)
}

func (t *transaction) keyRevoked() bool {
	op := t.operation
	if op.route.Public || op.session.forwarded != nil {
		// The entry host checks the key of a forwarded operation.
		return false
	}
	customer, ok := op.session.director.Catalog().Configuration.CustomerOfKey(op.session.startup.Key)
	return !ok || customer != op.customer
}

// keyUnconfirmedText is the text of the response to a statement of a transaction that is
// rolled back because this host can't confirm its key.
const keyUnconfirmedText = "key could not be confirmed, the transaction is rolled back"

// keyUnconfirmed reports whether this host's view is too old to know whether the key of
// the transaction was withdrawn. The pool host does not check the keys of others.
func (t *transaction) keyUnconfirmed() bool {
	s := t.operation.session
	if s.forwarded != nil || t.operation.route.Public && t.remote == nil {
		return false
	}
	return s.director.viewIsOutdated()
}

// executeFirst takes a connection, begins the transaction on it and runs the
// first statement. Until the transaction has begun, other databases may be
// tried.
func (t *transaction) executeFirst(ctx context.Context, statement executor.Request, writes bool, p *prepared, deadline time.Time) executor.Response {
	op := t.operation
	var tried map[string]bool
	since := op.session.director.Now()
	until := since.Add(time.Duration(primaryWaitShare * float64(op.route.StatementTimeout)))
	reason, text := "", ""
	for {
		a, err := t.beginOnDatabase(ctx, since, tried)
		if err == nil {
			t.attempt = a
			return t.executeOnConn(ctx, statement, writes, p, deadline)
		}
		reason, text = err.Error(), refusalText(err)
		if a != nil {
			tried = withTried(tried, a.database.id)
		}
		op.attempts++
		stop := errors.Is(err, connector.ErrQueueTimeout) || errors.Is(err, errNoPrimary)
		if stop || op.attempts >= maxAttempts || !op.session.director.Now().Before(until) {
			break
		}
		time.Sleep(retryDelay)
	}
	op.attempts = 0
	return t.fail(executor.Response{Code: executor.CodeBusy, Text: text}, "", reason)
}

// withRetryHint returns the text of a refusal with a retry delay, which is added
// unless the text names one.
func withRetryHint(text string) string {
	if strings.Contains(text, "retry in ") {
		return text
	}
	return text + ", retry in 200ms"
}

// beginOnDatabase begins the transaction on a database.
func (t *transaction) beginOnDatabase(ctx context.Context, since time.Time, tried map[string]bool) (*attempt, error) {
	op := t.operation
	required := op.requirements(!t.readOnly, tried)
	a, err := op.openAttempt(ctx, required, since)
	if err != nil {
		return a, err
	}
	begin := executor.Request{Verb: executor.VerbBegin}
	if t.readOnly {
		begin.Verb = executor.VerbBeginRead
	}
	if a.primaryRef == nil {
		begin.Floor = required.Floor
	}
	if err := a.execInternal(begin); err != nil {
		var refused *responseError
		if errors.As(err, &refused) {
			a.returnOrDiscardConn(refused.response.State)
		} else {
			op.recordSetupError(a.database, err)
			a.discardConn()
		}
		return a, err
	}
	return a, nil
}

// executeOnConn runs a statement on the transaction's connection. A statement
// for which no permit becomes free in time is refused, and the transaction stays
// open, as it does when the database itself rejects a statement as busy.
func (t *transaction) executeOnConn(ctx context.Context, statement executor.Request, writes bool, p *prepared, deadline time.Time) executor.Response {
	a := t.attempt
	defer a.endWait()
	databaseID := a.database.id
	a.clientStatementSent = false
	err := a.applyVariables()
	if err == nil {
		err = a.ensurePrepared(p)
	}
	if err != nil {
		t.discardConn()
		return t.fail(executor.Response{Code: executor.CodeAborted, Text: "connection to the database was lost"}, databaseID, err.Error())
	}
	t.operation.attempts++
	response, err := t.roundTripWithRetry(ctx, statement, deadline)
	switch {
	case errors.Is(err, connector.ErrQueueTimeout):
		response = t.operation.session.errorResponse(executor.CodeBusy, busyTextOf(err))
		t.operation.finish(databaseID, err.Error(), response)
		return response
	case err != nil:
		return t.connectionLost(databaseID, err)
	}
	if response.State != executor.StateTransaction {
		t.attempt = nil
		a.returnOrDiscardConn(response.State)
		return t.fail(response, databaseID, "answered")
	}
	if writes && !response.Code.NotRun() {
		t.wrote = true
	}
	t.operation.finish(databaseID, "answered", response)
	return response
}

// roundTripWithRetry waits for a permit of the database's semaphore and runs a
// statement. It returns connector.ErrQueueTimeout if it got no permit, so that
// nothing was sent. It retries a statement that the database rejected as busy
// without failing the transaction.
func (t *transaction) roundTripWithRetry(ctx context.Context, statement executor.Request, deadline time.Time) (executor.Response, error) {
	if err := t.attempt.acquirePermit(ctx, t.operation.rank(true), deadline); err != nil {
		return executor.Response{}, err
	}
	defer t.attempt.releasePermit()
	for {
		response, err := t.attempt.roundTrip(statement, deadline)
		if err != nil || response.Code != executor.CodeBusy || response.State != executor.StateTransaction {
			return response, err
		}
		if t.operation.session.director.Now().Add(retryDelay).After(deadline) {
			return response, nil
		}
		time.Sleep(retryDelay)
	}
}

// connectionLost fails a transaction whose connection failed during a statement
// other than a commit. Closing the connection rolls the transaction back.
func (t *transaction) connectionLost(databaseID string, err error) executor.Response {
	if !isFenced(err) {
		t.operation.service.recordFailure(t.attempt.database, err)
	}
	t.discardConn()
	text := "connection to the database was lost"
	if errors.Is(err, os.ErrDeadlineExceeded) {
		text = "database did not answer in time"
	}
	return t.fail(executor.Response{Code: executor.CodeAborted, Text: text}, databaseID, err.Error())
}

// discardConn closes the transaction's connection and returns the ID of its
// database.
func (t *transaction) discardConn() string {
	t.closeRemote()
	if t.attempt == nil {
		return ""
	}
	databaseID := t.attempt.database.id
	t.attempt.discardConn()
	t.attempt = nil
	return databaseID
}
