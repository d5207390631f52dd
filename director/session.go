package director

import (
	"context"
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/connector"
	"github.com/endiveturn/endiveturn/executor"
)

const (
	// startupTimeout bounds how long a client may take to introduce itself.
	startupTimeout = 5 * time.Second
	// maxValues and maxPrepared bound what a client may keep in its session.
	maxValues   = 256
	maxPrepared = 1024
)

// A prepared statement of a session.
type prepared struct {
	// name is the name that the proxy gives it on connections to databases. It
	// depends on the statement alone.
	name   string
	shape  string
	writes bool
}

// A Session is one connection of a client.
type Session struct {
	director *Director
	client   Client
	startup  Startup
	number   uint64
	values   connector.Values
	prepared map[string]prepared
	// floors hold the position of the session's last commit by service.
	floors map[string]executor.Position
	state  byte
	// tx is the open or failed transaction, nil in state idle.
	tx *transaction
}

// Serve runs a session on the client's connection until it ends.
func (d *Director) Serve(ctx context.Context, client Client) {
	defer client.Close()
	startup, err := client.Startup(d.Now().Add(startupTimeout))
	if err != nil {
		return
	}
	s := &Session{
		director: d, client: client, startup: startup, number: d.Metrics.nextSession(),
		prepared: make(map[string]prepared), floors: make(map[string]executor.Position), state: executor.StateIdle,
	}
	if code, text := d.admitSession(startup); code != executor.CodeNone {
		d.Logger.Info("session_refused", "database", startup.Database, "client", startup.Address, "code", code.String(),
			"reason", text, "version", d.version())
		d.Metrics.sessionRefused(code)
		_ = client.Refuse(code, text)
		return
	}
	if err := client.Ready(); err != nil {
		return
	}
	d.add(s)
	defer d.remove(s)
	s.run(ctx)
	if s.tx != nil {
		s.tx.abandon()
	}
}

// admitSession checks database and key of a new session.
func (d *Director) admitSession(startup Startup) (executor.Code, string) {
	catalog := d.Catalog()
	if catalog == nil || catalog.Configuration == nil {
		return executor.CodeBusy, "configuration not loaded yet"
	}
	route, ok := catalog.Configuration.Routes[startup.Database]
	if !ok {
		return executor.CodeNoSuchDatabase, "no such database"
	}
	if _, ok := catalog.Configuration.CustomerOfKey(startup.Key); !ok && !route.Public {
		return executor.CodeUnauthenticated, "unknown key"
	}
	return executor.CodeNone, ""
}

func (d *Director) version() uint64 {
	catalog := d.Catalog()
	if catalog == nil || catalog.Configuration == nil {
		return 0
	}
	return catalog.Configuration.Version
}

func (s *Session) run(ctx context.Context) {
	for {
		if s.director.stopping.Load() && s.tx == nil && !s.client.Pending() {
			return
		}
		statement, err := s.client.Receive(s.receiveDeadline())
		switch {
		case errors.Is(err, ErrInterrupted):
			continue
		case errors.Is(err, os.ErrDeadlineExceeded) && s.tx != nil:
			s.tx.expire()
			continue
		case err != nil:
			return
		}
		reply := s.execute(ctx, statement)
		if err := s.client.Send(reply); err != nil {
			return
		}
		if reply.Code == executor.CodeUnauthenticated || reply.Code == executor.CodeNoSuchDatabase {
			return
		}
	}
}

// receiveDeadline bounds the wait for the next statement of a transaction, or
// returns the zero time.
func (s *Session) receiveDeadline() time.Time {
	if s.tx == nil || s.tx.ended() {
		return time.Time{}
	}
	deadline := s.director.Now().Add(s.idleTransaction())
	if stop := s.director.stopAt.Load(); stop != nil && stop.Before(deadline) {
		deadline = *stop
	}
	return deadline
}

func (s *Session) idleTransaction() time.Duration {
	const fallback = 10 * time.Second
	if catalog := s.director.Catalog(); catalog != nil && catalog.Configuration != nil && catalog.Configuration.IdleTransaction > 0 {
		return catalog.Configuration.IdleTransaction
	}
	return fallback
}

// execute runs one statement and returns its reply.
func (s *Session) execute(ctx context.Context, statement executor.Request) executor.Reply {
	switch statement.Verb {
	case executor.VerbSet:
		return s.set(statement)
	case executor.VerbPrepare:
		return s.prepare(statement)
	case executor.VerbDeallocate:
		return s.deallocate(statement)
	case executor.VerbBegin, executor.VerbBeginRead:
		return s.begin(statement)
	case executor.VerbCommit:
		return s.commit(ctx, statement)
	case executor.VerbRollback:
		return s.rollback()
	case executor.VerbRead, executor.VerbWrite, executor.VerbExecute:
		return s.data(ctx, statement)
	default:
		return s.fail(executor.CodeMalformed, "unknown statement")
	}
}

// complete is the reply to a statement that the proxy answers itself.
func (s *Session) complete() executor.Reply { return executor.Reply{State: s.state} }

func (s *Session) fail(code executor.Code, text string) executor.Reply {
	return executor.Reply{Code: code, Text: text, State: s.state}
}

func (s *Session) set(statement executor.Request) executor.Reply {
	if s.state == executor.StateFailed {
		return s.fail(executor.CodeMalformed, "transaction has failed")
	}
	next := s.values.With(statement.Name, statement.Arguments)
	if next.Len() > maxValues {
		return s.fail(executor.CodeMalformed, "too many session values")
	}
	s.values = next
	return s.complete()
}

func (s *Session) prepare(statement executor.Request) executor.Reply {
	if s.state == executor.StateFailed {
		return s.fail(executor.CodeMalformed, "transaction has failed")
	}
	if len(s.prepared) >= maxPrepared {
		return s.fail(executor.CodeMalformed, "too many prepared statements")
	}
	s.prepared[statement.Name] = newPrepared(statement.Arguments, statement.Writes)
	return s.complete()
}

func (s *Session) deallocate(statement executor.Request) executor.Reply {
	if s.state == executor.StateFailed {
		return s.fail(executor.CodeMalformed, "transaction has failed")
	}
	if _, ok := s.prepared[statement.Name]; !ok {
		return s.fail(executor.CodeNoSuchStatement, "no such prepared statement")
	}
	delete(s.prepared, statement.Name)
	return s.complete()
}

// newPrepared names a prepared statement after what it does, so that sessions
// which prepare the same statement share it on a connection.
func newPrepared(shape string, writes bool) prepared {
	const offset, prime = 14695981039346656037, 1099511628211
	hash := uint64(offset)
	for i := range len(shape) {
		hash = (hash ^ uint64(shape[i])) * prime
	}
	name := "r"
	if writes {
		name = "w"
	}
	return prepared{name: name + strconv.FormatUint(hash, 36), shape: shape, writes: writes}
}

// resolve returns the statement as databases know it, whether it writes, and
// the prepared statement that it refers to.
func (s *Session) resolve(statement executor.Request) (executor.Request, bool, *prepared, bool) {
	if statement.Verb != executor.VerbExecute {
		return statement, statement.Verb == executor.VerbWrite, nil, true
	}
	p, ok := s.prepared[statement.Name]
	if !ok {
		return statement, false, nil, false
	}
	statement.Name = p.name
	return statement, p.writes, &p, true
}

// An operation is a single statement or a transaction, with what was decided
// when it began.
type operation struct {
	session  *Session
	id       string
	route    cataloger.Route
	customer string
	priority int
	service  *service
	version  uint64
	began    time.Time
	// admitted is set once the operation counts against the customer's rate.
	admitted bool
	attempts int
	// floor is the position that the last attempt's database had to have.
	floor executor.Position
	// lead is the revision of the lead by which the last attempt chose.
	lead int64
	// ran is set once a database may have run a statement of the client.
	ran bool
}

// admit checks route, key and rate of an operation.
func (s *Session) admit(id string) (*operation, executor.Code, string) {
	d := s.director
	catalog := d.Catalog()
	route, ok := catalog.Configuration.Routes[s.startup.Database]
	if !ok {
		return nil, executor.CodeNoSuchDatabase, "no such database"
	}
	op := &operation{session: s, id: id, route: route, version: catalog.Configuration.Version, began: d.Now(), priority: route.Priority}
	customer, ok := catalog.Configuration.CustomerOfKey(s.startup.Key)
	if !ok && !route.Public {
		return op, executor.CodeUnauthenticated, "unknown key"
	}
	op.customer = customer
	if ok, wait := d.Limits.Admit(customer); !ok {
		return op, executor.CodeTooMany, "rate exceeded, retry in " + wait.Round(time.Millisecond).String()
	}
	op.admitted = true
	if op.service = d.service(route.Service); op.service == nil {
		return op, executor.CodeBusy, "service has no databases, retry in 1s"
	}
	return op, executor.CodeNone, ""
}

// admitAgain takes another token for an operation that is to be repeated after a
// database may have run it: databases count both runs.
func (op *operation) admitAgain() bool {
	if !op.ran {
		return true
	}
	ok, _ := op.session.director.Limits.Admit(op.customer)
	op.ran = op.ran && !ok
	return ok
}

// used notes that a database may have run a statement of the operation.
func (op *operation) used() {
	if !op.ran {
		op.ran = true
		op.session.director.Limits.Use(op.customer)
	}
}

// done logs the end of an operation or of a statement of one.
func (op *operation) done(where, reason string, reply executor.Reply) {
	d := op.session.director
	took := d.Now().Sub(op.began)
	if op.service != nil {
		op.lead = op.service.leadRevision()
	}
	if reply.Code.Promises() && op.admitted && !op.ran {
		d.Limits.Return(op.customer)
		op.admitted = false
	}
	d.Metrics.finished(op.route, reply, took)
	d.Logger.Info("statement", "request", op.id, "session", op.session.number, "route", op.route.Name,
		"customer", op.customer, "version", op.version, "lead", op.lead, "view_age", d.SinceBoot().Sub(d.Current()),
		"floor", op.floor.String(), "database", where, "reason", reason, "attempts", op.attempts,
		"code", reply.Code.String(), "detail", reply.Text, "state", string(reply.State), "took", took)
}
