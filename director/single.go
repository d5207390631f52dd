package director

import (
	"context"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/connector"
	"github.com/endiveturn/endiveturn/executor"
)

// data runs a read, a write or a prepared statement.
func (s *Session) data(ctx context.Context, statement executor.Request) executor.Reply {
	resolved, writes, p, ok := s.resolve(statement)
	if !ok {
		return s.fail(executor.CodeNoSuchStatement, "no such prepared statement")
	}
	if s.tx != nil {
		return s.tx.data(ctx, resolved, writes, p)
	}
	return s.single(ctx, resolved, writes, p)
}

// single runs a statement outside a transaction.
func (s *Session) single(ctx context.Context, statement executor.Request, writes bool, p *prepared) executor.Reply {
	op, code, text := s.admit(statement.ID)
	if code != executor.CodeNone {
		reply := s.fail(code, text)
		if op != nil {
			op.done("", "refused", reply)
		}
		return reply
	}
	run := &singleRun{operation: op, statement: statement, writes: writes, prepared: p}
	run.deadline = op.began.Add(op.route.StatementTimeout)
	reply := run.run(ctx)
	reply.State = executor.StateIdle
	if writes && reply.Code == executor.CodeNone {
		s.committed(op.route.Service, reply.Position)
	}
	op.done(run.where, run.reason, reply)
	return reply
}

// committed raises the floor of the session's reads.
func (s *Session) committed(service string, position executor.Position) {
	if s.floors[service].Before(position) {
		s.floors[service] = position
	}
}

// A singleRun is a single statement with its attempts.
type singleRun struct {
	operation *operation
	statement executor.Request
	writes    bool
	prepared  *prepared
	deadline  time.Time
	tried     map[string]bool
	// where and reason say what the last attempt did, for the log.
	where  string
	reason string
}

func (r *singleRun) run(ctx context.Context) executor.Reply {
	for {
		reply, again := r.try(ctx)
		if !again || r.operation.attempts >= maxAttempts || !r.timeLeft() || !r.operation.admitAgain() {
			return reply
		}
	}
}

func (r *singleRun) timeLeft() bool {
	return r.operation.session.director.Now().Add(busyPauseBetween).Before(r.deadline)
}

// try makes one attempt. It reports whether another one is allowed: after a
// failure that is known not to have run the statement, or of a read.
func (r *singleRun) try(ctx context.Context) (executor.Reply, bool) {
	op := r.operation
	need := op.need(r.writes, r.tried)
	a, err := op.open(ctx, need, op.began)
	if a != nil {
		r.where = a.database.endpoint.ID
		r.tried = with(r.tried, r.where)
	}
	if err != nil {
		op.attempts++
		return r.notRun(err)
	}
	if err := a.installPrepared(r.prepared); err != nil {
		op.attempts++
		a.discard()
		return r.notRun(err)
	}
	if a.use == nil {
		r.statement.Floor = need.Floor
	} else {
		r.statement.Floor = executor.Position{}
	}
	op.attempts++
	reply, err := a.exchange(r.statement, r.attemptDeadline())
	if err != nil {
		return r.broken(a, err)
	}
	a.end(reply.State)
	r.reason = "answered"
	return reply, r.answered(a, reply)
}

// attemptDeadline leaves reads time for an attempt on another database.
func (r *singleRun) attemptDeadline() time.Time {
	if r.writes || r.operation.attempts > 1 {
		return r.deadline
	}
	share := time.Duration(firstAttemptShare * float64(r.operation.route.StatementTimeout))
	return r.operation.session.director.Now().Add(min(share, time.Until(r.deadline)))
}

// notRun handles a failure before the statement was sent.
func (r *singleRun) notRun(err error) (executor.Reply, bool) {
	r.reason = err.Error()
	switch {
	case errors.Is(err, connector.ErrQueueTimeout):
		return executor.Reply{Code: executor.CodeBusy, Text: "databases are busy, retry in 200ms"}, false
	case errors.Is(err, errNoPrimary):
		return executor.Reply{Code: executor.CodeBusy, Text: err.Error()}, false
	default:
		return executor.Reply{Code: executor.CodeBusy, Text: "database unreachable, retry in 200ms"}, true
	}
}

// broken handles a failure after the statement may have been sent.
func (r *singleRun) broken(a *attempt, err error) (executor.Reply, bool) {
	r.reason = err.Error()
	a.discard()
	if errors.Is(err, errFenced) {
		return executor.Reply{Code: executor.CodeBusy, Text: "primary is being replaced, retry in " + primaryRetryAfter}, true
	}
	r.operation.service.failed(a.database, err)
	timedOut := errors.Is(err, os.ErrDeadlineExceeded)
	switch {
	case !a.passed:
		return executor.Reply{Code: executor.CodeBusy, Text: "database unreachable, retry in 200ms"}, true
	case !r.writes && timedOut:
		return executor.Reply{Code: executor.CodeTimedOut, Text: "database did not answer in time"}, true
	case !r.writes:
		return executor.Reply{Code: executor.CodeRunFailed, Text: "connection to the database was lost"}, true
	case timedOut:
		return executor.Reply{Code: executor.CodeTimedOut, Text: "database did not answer in time; outcome unknown"}, false
	default:
		return executor.Reply{Code: executor.CodeInDoubt, Text: "connection to the database was lost; outcome unknown"}, false
	}
}

// answered reports whether a statement that a database answered may be tried
// again.
func (r *singleRun) answered(a *attempt, reply executor.Reply) bool {
	switch {
	case reply.Code == executor.CodeNone:
		return false
	case reply.Code == executor.CodeBusy:
		r.operation.service.busy(a.database)
		r.pause()
		return true
	case reply.Code == executor.CodeNoSuchStatement:
		delete(a.conn.Prepared, r.statement.Name)
		return true
	case reply.Code == executor.CodeLagging:
		return true
	case reply.Code.NotRun():
		r.pause()
		return true
	default:
		return !r.writes && reply.Code == executor.CodeRunFailed
	}
}

func (r *singleRun) pause() { time.Sleep(busyPauseBetween) }
