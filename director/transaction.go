package director

import (
	"context"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/connector"
	"github.com/endiveturn/endiveturn/executor"
)

// A transaction of a client. It takes a connection when its first statement
// arrives and keeps it to its end.
type transaction struct {
	operation *operation
	// readOnly transactions may run on a replica.
	readOnly bool
	// attempt is nil before the first statement and after a failure.
	attempt *attempt
	// wrote is set once a statement that writes has succeeded.
	wrote bool
	// failure is what ended the transaction before the client did.
	failure executor.Code
	// untold is set until the client is told of a failure that no statement of
	// its own has met.
	untold bool
}

// ended reports whether the transaction has failed, so that only its end is
// awaited.
func (t *transaction) ended() bool { return t.failure != executor.CodeNone }

func (s *Session) begin(statement executor.Request) executor.Reply {
	if s.state != executor.StateIdle {
		return s.fail(executor.CodeMalformed, "a transaction is open")
	}
	op, code, text := s.admit(statement.ID)
	if code != executor.CodeNone {
		reply := s.fail(code, text)
		if op != nil {
			op.done("", "refused", reply)
		}
		return reply
	}
	s.tx = &transaction{operation: op, readOnly: statement.Verb == executor.VerbBeginRead}
	s.state = executor.StateTransaction
	return s.complete()
}

// fail ends the transaction on the database and leaves it to the client to end
// it.
func (t *transaction) fail(reply executor.Reply, where, reason string) executor.Reply {
	t.failure = reply.Code
	t.operation.session.state = executor.StateFailed
	reply.State = executor.StateFailed
	t.operation.done(where, reason, reply)
	return reply
}

// data runs a statement in the transaction.
func (t *transaction) data(ctx context.Context, statement executor.Request, writes bool, p *prepared) executor.Reply {
	s := t.operation.session
	if t.untold {
		t.untold = false
		return s.fail(t.failure, "transaction was idle too long and is rolled back")
	}
	if t.ended() {
		return s.fail(executor.CodeMalformed, "transaction has failed")
	}
	if t.keyWithdrawn() {
		where := t.drop()
		return t.fail(executor.Reply{Code: executor.CodeAborted, Text: "key was withdrawn"}, where, "key withdrawn")
	}
	deadline := s.director.Now().Add(t.operation.route.StatementTimeout)
	if t.attempt == nil {
		return t.first(ctx, statement, writes, p, deadline)
	}
	return t.run(ctx, statement, writes, p, deadline)
}

func (t *transaction) keyWithdrawn() bool {
	op := t.operation
	if op.route.Public {
		return false
	}
	customer, ok := op.session.director.Catalog().Configuration.CustomerOfKey(op.session.startup.Key)
	return !ok || customer != op.customer
}

// first takes a connection, begins the transaction there and runs the first
// statement. Until that statement has run, another database may be tried.
func (t *transaction) first(ctx context.Context, statement executor.Request, writes bool, p *prepared, deadline time.Time) executor.Reply {
	op := t.operation
	var tried map[string]bool
	since := op.session.director.Now()
	until := since.Add(time.Duration(primaryWaitShare * float64(op.route.StatementTimeout)))
	reason := ""
	for {
		a, err := t.start(ctx, since, tried)
		if err == nil {
			t.attempt = a
			return t.run(ctx, statement, writes, p, deadline)
		}
		reason = err.Error()
		if a != nil {
			tried = with(tried, a.database.endpoint.ID)
		}
		op.attempts++
		stop := errors.Is(err, connector.ErrQueueTimeout) || errors.Is(err, errNoPrimary)
		if stop || op.attempts >= maxAttempts || !op.session.director.Now().Before(until) {
			break
		}
		time.Sleep(busyPauseBetween)
	}
	op.attempts = 0
	return t.fail(executor.Reply{Code: executor.CodeBusy, Text: reason + ", retry in 200ms"}, "", reason)
}

// start begins the transaction on a database.
func (t *transaction) start(ctx context.Context, since time.Time, tried map[string]bool) (*attempt, error) {
	op := t.operation
	need := op.need(!t.readOnly, tried)
	a, err := op.open(ctx, need, since)
	if err != nil {
		return a, err
	}
	begin := executor.Request{Verb: executor.VerbBegin}
	if t.readOnly {
		begin.Verb = executor.VerbBeginRead
	}
	if a.use == nil {
		begin.Floor = need.Floor
	}
	if err := a.own(begin); err != nil {
		var refused *replyError
		if errors.As(err, &refused) {
			a.end(refused.reply.State)
		} else {
			op.service.failed(a.database, err)
			a.discard()
		}
		return a, err
	}
	return a, nil
}

// run runs a statement on the transaction's connection.
func (t *transaction) run(ctx context.Context, statement executor.Request, writes bool, p *prepared, deadline time.Time) executor.Reply {
	a := t.attempt
	where := a.database.endpoint.ID
	a.passed = false
	err := a.install()
	if err == nil {
		err = a.installPrepared(p)
	}
	if err != nil {
		t.drop()
		return t.fail(executor.Reply{Code: executor.CodeAborted, Text: "connection to the database was lost"}, where, err.Error())
	}
	t.operation.attempts++
	reply, err := t.patiently(ctx, statement, deadline)
	if err != nil {
		return t.broken(where, err)
	}
	if reply.State != executor.StateTransaction {
		t.attempt = nil
		a.end(reply.State)
		return t.fail(reply, where, "answered")
	}
	if reply.Code == executor.CodeNone && writes {
		t.wrote = true
	}
	t.operation.done(where, "answered", reply)
	return reply
}

// patiently waits for a turn at the database, and repeats a statement that the
// database turned away without failing the transaction.
func (t *transaction) patiently(ctx context.Context, statement executor.Request, deadline time.Time) (executor.Reply, error) {
	if err := t.attempt.enter(ctx, t.operation.rank(true), deadline); err != nil {
		return executor.Reply{}, err
	}
	defer t.attempt.leave()
	for {
		reply, err := t.attempt.exchange(statement, deadline)
		if err != nil || reply.Code != executor.CodeBusy || reply.State != executor.StateTransaction {
			return reply, err
		}
		if t.operation.session.director.Now().Add(busyPauseBetween).After(deadline) {
			return reply, nil
		}
		time.Sleep(busyPauseBetween)
	}
}

// broken ends a transaction whose connection failed in a statement that does
// not commit: closing the connection rolls it back.
func (t *transaction) broken(where string, err error) executor.Reply {
	if !errors.Is(err, errFenced) {
		t.operation.service.failed(t.attempt.database, err)
	}
	t.drop()
	text := "connection to the database was lost"
	if errors.Is(err, os.ErrDeadlineExceeded) {
		text = "database did not answer in time"
	}
	return t.fail(executor.Reply{Code: executor.CodeAborted, Text: text}, where, err.Error())
}

// drop closes the connection of the transaction and returns its database.
func (t *transaction) drop() string {
	if t.attempt == nil {
		return ""
	}
	where := t.attempt.database.endpoint.ID
	t.attempt.discard()
	t.attempt = nil
	return where
}

// expire rolls back a transaction that was left idle.
func (t *transaction) expire() {
	if t.ended() {
		return
	}
	where := ""
	if t.attempt != nil {
		where = t.attempt.database.endpoint.ID
		t.attempt.end(executor.StateTransaction)
		t.attempt = nil
	}
	t.fail(executor.Reply{Code: executor.CodeAborted, Text: "transaction was idle too long"}, where, "idle")
	t.untold = true
}

// abandon rolls back the transaction of a client that has gone.
func (t *transaction) abandon() {
	if t.attempt != nil {
		t.attempt.end(executor.StateTransaction)
		t.attempt = nil
	}
}

func (s *Session) commit(ctx context.Context, statement executor.Request) executor.Reply {
	t := s.tx
	if t == nil {
		return s.fail(executor.CodeMalformed, "no transaction is open")
	}
	s.tx = nil
	s.state = executor.StateIdle
	if t.ended() {
		return s.fail(executor.CodeAborted, "transaction had failed and is rolled back")
	}
	deadline := s.director.Now().Add(t.operation.route.StatementTimeout)
	if t.attempt == nil {
		a, err := t.start(ctx, s.director.Now(), nil)
		if err != nil {
			reply := s.fail(executor.CodeBusy, err.Error())
			t.operation.done("", err.Error(), reply)
			return reply
		}
		t.attempt = a
	}
	return t.commit(ctx, statement, deadline)
}

func (t *transaction) commit(ctx context.Context, statement executor.Request, deadline time.Time) executor.Reply {
	a := t.attempt
	where := a.database.endpoint.ID
	a.passed = false
	t.operation.attempts++
	reply, err := t.patiently(ctx, statement, deadline)
	if err != nil {
		reply = t.commitBroken(err)
		t.operation.done(where, err.Error(), reply)
		return reply
	}
	a.end(reply.State)
	reply.State = executor.StateIdle
	if reply.Code == executor.CodeNone {
		t.operation.session.committed(t.operation.route.Service, reply.Position)
	}
	t.operation.done(where, "answered", reply)
	return reply
}

// commitBroken answers a commit whose connection failed.
func (t *transaction) commitBroken(err error) executor.Reply {
	a := t.attempt
	if !errors.Is(err, errFenced) {
		t.operation.service.failed(a.database, err)
	}
	a.discard()
	reply := executor.Reply{State: executor.StateIdle}
	switch {
	case !a.passed:
		reply.Code, reply.Text = executor.CodeAborted, "primary was replaced before the commit"
	case !t.wrote:
		reply.Code, reply.Text = executor.CodeRunFailed, "connection to the database was lost; nothing was written"
	default:
		reply.Code, reply.Text = executor.CodeInDoubt, "connection to the database was lost; outcome unknown"
	}
	return reply
}

func (s *Session) rollback() executor.Reply {
	t := s.tx
	if t == nil {
		return s.fail(executor.CodeMalformed, "no transaction is open")
	}
	s.tx = nil
	s.state = executor.StateIdle
	if t.attempt != nil {
		t.attempt.end(executor.StateTransaction)
		t.attempt = nil
	}
	return s.complete()
}
