package director

import (
	"context"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/connector"
	"github.com/endiveturn/endiveturn/executor"
)

// busyText is the text of the response to a statement that waited in vain for a
// connection or a permit.
const busyText = "databases are busy, retry in 200ms"

// unconfirmedText is the text of the response to a write that may be lost, since the database may
// not have been the primary any more.
const unconfirmedText = "primary was being replaced; outcome unknown"

// executeData runs a read, a write or a prepared statement.
func (s *Session) executeData(ctx context.Context, statement executor.Request) executor.Response {
	resolved, writes, p, ok := s.resolve(statement)
	if !ok {
		return s.errorResponse(executor.CodeNoSuchStatement, "no such prepared statement")
	}
	if s.tx != nil {
		return s.tx.execute(ctx, resolved, writes, p)
	}
	return s.executeSingle(ctx, resolved, writes, p)
}

// executeSingle runs a statement outside a transaction.
func (s *Session) executeSingle(ctx context.Context, statement executor.Request, writes bool, p *prepared) executor.Response {
	op, code, text := s.admitOperation(statement.ID)
	if code != executor.CodeNone {
		response := s.errorResponse(code, text)
		if op != nil {
			op.finish("", "refused", response)
		}
		return response
	}
	run := &singleStatement{operation: op, statement: statement, writes: writes, prepared: p}
	if s.forwarded != nil {
		for _, id := range s.forwarded.Tried {
			run.tried = withTried(run.tried, id)
		}
	}
	run.deadline = op.began.Add(op.route.StatementTimeout)
	response := run.run(ctx)
	response.State = executor.StateIdle
	if writes && response.Code == executor.CodeNone {
		s.raiseFloor(op.route.Service, response.Position)
	}
	op.finish(run.databaseID, run.reason, response)
	return response
}

// raiseFloor raises the session's read floor to the position of its commit.
func (s *Session) raiseFloor(service string, position executor.Position) {
	if s.floors[service].Before(position) {
		if s.floors == nil {
			s.floors = make(map[string]executor.Position)
		}
		s.floors[service] = position
	}
}

// A singleStatement is a statement outside a transaction, with the state of its
// attempts.
type singleStatement struct {
	operation *operation
	statement executor.Request
	writes    bool
	prepared  *prepared
	deadline  time.Time
	tried     map[string]bool
	// databaseID and reason are the database and the outcome of the last
	// attempt, for the log.
	databaseID string
	reason     string
}

func (r *singleStatement) run(ctx context.Context) executor.Response {
	for {
		response, retry, handled := r.tryForward(ctx)
		if !handled {
			response, retry = r.tryOnce(ctx)
		}
		if !retry || r.operation.attempts >= maxAttempts || !r.timeForRetry() || !r.operation.admitRetry() {
			return response
		}
	}
}

func (r *singleStatement) timeForRetry() bool {
	return r.operation.session.director.Now().Add(retryDelay).Before(r.deadline)
}

// tryOnce makes one attempt. It also reports whether another attempt is
// allowed: after a failure that is known not to have run the statement, or
// after any failure of a read.
func (r *singleStatement) tryOnce(ctx context.Context) (executor.Response, bool) {
	op := r.operation
	required := op.requirements(r.writes, r.tried)
	a, err := op.openAttempt(ctx, required, op.began)
	if a != nil {
		r.databaseID = a.database.id
		r.tried = withTried(r.tried, r.databaseID)
	}
	if err != nil {
		op.attempts++
		return r.unsentResponse(err)
	}
	if err := a.ensurePrepared(r.prepared); err != nil {
		op.attempts++
		a.discardConn()
		return r.unsentResponse(err)
	}
	if a.primaryRef == nil {
		r.statement.Floor = required.Floor
	} else {
		r.statement.Floor = executor.Position{}
	}
	op.attempts++
	response, err := a.roundTrip(r.statement, r.attemptDeadline(a))
	if err != nil {
		return r.connectionLostResponse(a, err)
	}
	if response.Code == executor.CodeNoSuchStatement {
		delete(a.conn.Prepared, r.statement.Name)
	}
	a.returnOrDiscardConn(response.State)
	r.reason = "answered"
	return response, r.mayRetryAfter(a, response)
}

// attemptDeadline returns the deadline of the current attempt. The first
// attempt of a read gets only a part of the timeout, which leaves time for a
// retry on another database.
func (r *singleStatement) attemptDeadline(a *attempt) time.Time {
	if r.writes || r.operation.attempts > 1 {
		return r.deadline
	}
	if early, ok := a.earlyDeadline(); ok && early.Before(r.deadline) {
		return early
	}
	share := time.Duration(firstAttemptShare * float64(r.operation.route.StatementTimeout))
	now := r.operation.session.director.Now()
	return now.Add(min(share, r.deadline.Sub(now)))
}

// unsentResponse returns the response for a failure before the statement was
// sent, and whether the statement may be retried.
func (r *singleStatement) unsentResponse(err error) (executor.Response, bool) {
	r.reason = err.Error()
	var rejected *responseError
	switch {
	case errors.Is(err, connector.ErrQueueTimeout):
		return executor.Response{Code: executor.CodeBusy, Text: busyTextOf(err)}, r.mayTryOther(err)
	case errors.Is(err, errNoPrimary):
		return executor.Response{Code: executor.CodeBusy, Text: err.Error()}, false
	case isFenced(err):
		return fencedResponse(err), true
	case errors.As(err, &rejected) && rejected.response.Code == executor.CodeBusy:
		return executor.Response{Code: executor.CodeBusy, Text: busyText}, true
	default:
		return executor.Response{Code: executor.CodeBusy, Text: "database unreachable, retry in 200ms"}, true
	}
}

// mayTryOther reports whether a read that a database's queue refused at once may try
// another database.
func (r *singleStatement) mayTryOther(err error) bool {
	return !r.writes && len(r.tried) < 2 && refusedOnArrival(err)
}

// fencedResponse returns the response to a statement that was not sent because
// its primary must not be used.
func fencedResponse(err error) executor.Response {
	if errors.Is(err, errViewTooOld) {
		return executor.Response{Code: executor.CodeBusy, Text: errNoPrimary.Error()}
	}
	return executor.Response{Code: executor.CodeBusy, Text: "primary is being replaced, retry in " + primaryRetryAfter}
}

// connectionLostResponse returns the response for a failure after the statement
// may have been sent, and whether the statement may be retried.
func (r *singleStatement) connectionLostResponse(a *attempt, err error) (executor.Response, bool) {
	r.reason = err.Error()
	a.discardConn()
	if isFenced(err) {
		return fencedResponse(err), true
	}
	if errors.Is(err, errUnconfirmed) {
		return executor.Response{Code: executor.CodeInDoubt, Text: unconfirmedText}, false
	}
	r.operation.service.recordFailure(a.database, err)
	timedOut := errors.Is(err, os.ErrDeadlineExceeded)
	if timedOut && !r.writes && r.operation.session.director.Now().Before(r.deadline) {
		r.operation.service.recordEarlyRetry()
	}
	switch {
	case !a.clientStatementSent:
		return executor.Response{Code: executor.CodeBusy, Text: "database unreachable, retry in 200ms"}, true
	case !r.writes && timedOut:
		return executor.Response{Code: executor.CodeTimedOut, Text: "database did not answer in time"}, true
	case !r.writes:
		return executor.Response{Code: executor.CodeRunFailed, Text: "connection to the database was lost"}, true
	case timedOut:
		return executor.Response{Code: executor.CodeTimedOut, Text: "database did not answer in time; outcome unknown"}, false
	default:
		return executor.Response{Code: executor.CodeInDoubt, Text: "connection to the database was lost; outcome unknown"}, false
	}
}

// mayRetryAfter reports whether the statement may be retried after the given
// response of a database.
func (r *singleStatement) mayRetryAfter(a *attempt, response executor.Response) bool {
	switch {
	case response.Code == executor.CodeNone:
		return false
	case response.Code == executor.CodeBusy:
		r.operation.service.recordBusy(a.database)
		r.waitBeforeRetry()
		return true
	case response.Code == executor.CodeNoSuchStatement, response.Code == executor.CodeLagging:
		return true
	case response.Code.NotRun():
		r.waitBeforeRetry()
		return true
	default:
		return !r.writes && response.Code == executor.CodeRunFailed
	}
}

func (r *singleStatement) waitBeforeRetry() { time.Sleep(retryDelay) }
