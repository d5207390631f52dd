package director

import (
	"cmp"
	"context"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/connector"
	"github.com/endiveturn/endiveturn/executor"
)

const (
	// startupTimeout is by default the time within which a client must send its startup
	// message.
	startupTimeout = 5 * time.Second
	// maxVariables and maxPrepared limit the session variables and prepared
	// statements of a session.
	maxVariables = 256
	maxPrepared  = 1024
	// maxLoggedName bounds what a log line has of a name in bytes: names of unknown
	// databases are up to 1 MiB long, and lines wait in memory until they are written.
	maxLoggedName = 128
)

// A Session is one client connection.
type Session struct {
	director  *Director
	client    Client
	startup   Startup
	number    uint64
	variables connector.Variables
	// prepared is nil before the first statement is prepared.
	prepared map[string]prepared
	// floors hold the position of the session's last commit by service. It is nil before
	// the first one.
	floors map[string]executor.Position
	state  byte
	// kept is the number of bytes of variables and prepared statements.
	kept int
	// tx is the open or failed transaction, nil in StateIdle.
	tx *transaction
	// forwarded is the operation of another host that the session runs, nil for the
	// session of a client.
	forwarded *forwardedOperation
}

// Serve runs a session on the client's connection until it ends.
func (d *Director) Serve(ctx context.Context, client Client) {
	defer client.Close()
	startup, err := client.Startup(d.Now().Add(cmp.Or(d.StartupTimeout, startupTimeout)))
	if err != nil {
		return
	}
	s := &Session{director: d, client: client, startup: startup, number: d.Metrics.nextSessionNumber(), state: executor.StateIdle}
	if code, text := d.admitSession(startup); code != executor.CodeNone {
		d.Logger.Info("session_refused", "database", shortenName(startup.Database), "client", startup.Address, "code", code.String(),
			"reason", text, "version", configurationVersion(d.Catalog()))
		d.Metrics.recordSessionRefusal(code)
		_ = client.Refuse(code, text)
		return
	}
	if response := s.keep(len(startup.Database) + len(startup.Key)); response.Code != executor.CodeNone {
		_ = client.Refuse(response.Code, response.Text)
		return
	}
	if err := client.SendReady(); err != nil {
		return
	}
	d.addSession(s)
	defer d.removeSession(s)
	s.run(ctx)
	if s.tx != nil {
		s.tx.abort()
	}
}

// shortenName returns what a log line has of a name that a client sent.
func shortenName(name string) string {
	if len(name) <= maxLoggedName {
		return name
	}
	return strings.ToValidUTF8(name[:maxLoggedName], "") + "..."
}

// admitSession checks the requested database and the key of a new session.
func (d *Director) admitSession(startup Startup) (executor.Code, string) {
	catalog := d.Catalog()
	if catalog == nil || catalog.Configuration == nil {
		return executor.CodeBusy, "configuration not loaded yet"
	}
	route, ok := catalog.Configuration.Routes[startup.Database]
	if !ok {
		return executor.CodeNoSuchDatabase, "no such database"
	}
	customer, ok := catalog.Configuration.CustomerOfKey(startup.Key)
	if !ok && !route.Public {
		return executor.CodeUnauthenticated, "unknown key"
	}
	if err := startup.Account.SetCustomer(customer); err != nil {
		return executor.CodeBusy, err.Error() + ", retry in 1s"
	}
	return executor.CodeNone, ""
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
		response := s.execute(ctx, statement)
		if err := s.client.Send(response); err != nil {
			return
		}
		if response.Code == executor.CodeUnauthenticated || response.Code == executor.CodeNoSuchDatabase {
			return
		}
	}
}

// receiveDeadline returns the deadline for the next statement of an open
// transaction, or the zero time if there is none.
func (s *Session) receiveDeadline() time.Time {
	if s.tx == nil || s.tx.hasFailed() {
		return time.Time{}
	}
	deadline := s.director.Now().Add(s.director.idleTransactionTimeout())
	if stop := s.director.stopAt.Load(); stop != nil && stop.Before(deadline) {
		deadline = *stop
	}
	return deadline
}

func (d *Director) idleTransactionTimeout() time.Duration {
	const fallback = 10 * time.Second
	if catalog := d.Catalog(); catalog != nil && catalog.Configuration != nil && catalog.Configuration.IdleTransactionTimeout > 0 {
		return catalog.Configuration.IdleTransactionTimeout
	}
	return fallback
}

// execute runs one statement and returns its response.
func (s *Session) execute(ctx context.Context, statement executor.Request) executor.Response {
	switch statement.Verb {
	case executor.VerbSet:
		return s.setVariable(statement)
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
		return s.executeData(ctx, statement)
	default:
		return s.errorResponse(executor.CodeMalformed, "unknown statement")
	}
}

// successResponse returns the response to a statement that the proxy handled
// itself.
func (s *Session) successResponse() executor.Response { return executor.Response{State: s.state} }

func (s *Session) errorResponse(code executor.Code, text string) executor.Response {
	return executor.Response{Code: code, Text: text, State: s.state}
}

func (s *Session) setVariable(statement executor.Request) executor.Response {
	if s.state == executor.StateFailed {
		return s.errorResponse(executor.CodeMalformed, "transaction has failed")
	}
	next := s.variables.With(statement.Name, statement.Arguments)
	if next.Len() > maxVariables {
		return s.errorResponse(executor.CodeMalformed, "too many session values")
	}
	response := s.keep(next.Size() - s.variables.Size())
	if response.Code == executor.CodeNone {
		s.variables = next
	}
	return response
}

func (s *Session) prepare(statement executor.Request) executor.Response {
	if s.state == executor.StateFailed {
		return s.errorResponse(executor.CodeMalformed, "transaction has failed")
	}
	if len(s.prepared) >= maxPrepared {
		return s.errorResponse(executor.CodeMalformed, "too many prepared statements")
	}
	next := newPrepared(statement.Arguments, statement.Writes)
	change := next.size(statement.Name)
	if former, ok := s.prepared[statement.Name]; ok {
		change -= former.size(statement.Name)
	}
	response := s.keep(change)
	if response.Code == executor.CodeNone {
		if s.prepared == nil {
			s.prepared = make(map[string]prepared)
		}
		s.prepared[statement.Name] = next
	}
	return response
}

func (s *Session) deallocate(statement executor.Request) executor.Response {
	if s.state == executor.StateFailed {
		return s.errorResponse(executor.CodeMalformed, "transaction has failed")
	}
	p, ok := s.prepared[statement.Name]
	if !ok {
		return s.errorResponse(executor.CodeNoSuchStatement, "no such prepared statement")
	}
	delete(s.prepared, statement.Name)
	return s.keep(-p.size(statement.Name))
}

// resolve returns the statement with the name under which it is prepared on
// connections to databases, whether it writes, and the prepared statement that
// it refers to, if any. It returns false if that prepared statement does not
// exist.
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

// An operation is a single statement or a transaction, with the route, customer
// and configuration that applied when it began.
type operation struct {
	session  *Session
	id       string
	route    cataloger.Route
	customer string
	priority int
	service  *service
	version  uint64
	began    time.Time
	// admitted is set once the operation counts against the customer's rate
	// limit.
	admitted bool
	attempts int
	// writes is set if the last attempt needed the primary because it writes.
	writes bool
	// floor is the position that the database of the last attempt had to have
	// reached.
	floor executor.Position
	// assignmentRevision is the revision of the service's primary assignment
	// when the operation was logged.
	assignmentRevision int64
	// mayHaveRun is set once a database may have run a statement of the client.
	mayHaveRun bool
	// fromPrimary is set if the last statement ran on the primary, which was still in force
	// when it responded, by the assignment with primaryRevision.
	fromPrimary     bool
	primaryRevision int64
	// poolHost is the host to which the operation was last forwarded, empty if there is
	// none, and remoteRevision the revision of the primary assignment in force there.
	poolHost       string
	remoteRevision int64
}

// admitOperation checks the route, key and rate limit of an operation.
func (s *Session) admitOperation(id string) (*operation, executor.Code, string) {
	if s.forwarded != nil {
		return s.admitForwarded(id)
	}
	op, code, text := s.newOperation(id)
	if code != executor.CodeNone {
		return op, code, text
	}
	if ok, wait := s.director.Limits.Admit(op.customer); !ok {
		return op, executor.CodeRateLimited, rateText(wait)
	}
	op.admitted = true
	code, text = op.findService()
	return op, code, text
}

// rateText returns the text of the response to an operation above the customer's rate.
func rateText(wait time.Duration) string {
	return "rate exceeded, retry in " + wait.Round(time.Millisecond).String()
}

// findService sets the service of the operation.
func (op *operation) findService() (executor.Code, string) {
	if op.service = op.session.director.service(op.route.Service); op.service == nil {
		return executor.CodeBusy, "service has no databases, retry in 1s"
	}
	return executor.CodeNone, ""
}

// newOperation returns an operation after it has checked its route and key.
func (s *Session) newOperation(id string) (*operation, executor.Code, string) {
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
	if !route.Public && d.viewIsOutdated() {
		return op, executor.CodeBusy, "key could not be confirmed, retry in " + primaryRetryAfter
	}
	return op, executor.CodeNone, ""
}

// admitRetry takes another token of the rate limit for an operation that is
// retried after a database may have run it, since databases count both runs.
func (op *operation) admitRetry() bool {
	if !op.mayHaveRun {
		return true
	}
	if op.session.forwarded != nil {
		// The entry host takes the token and decides.
		return false
	}
	ok, _ := op.session.director.Limits.Admit(op.customer)
	op.mayHaveRun = op.mayHaveRun && !ok
	return ok
}

// markMayHaveRun records that a database may have run a statement of the
// operation.
func (op *operation) markMayHaveRun() {
	if !op.mayHaveRun {
		op.mayHaveRun = true
		if op.session.forwarded == nil {
			op.session.director.Limits.RecordUse(op.customer)
		}
	}
}

// refundUnlessRun refunds the rate-limit token of an operation that has ended if
// certainly no database ran it.
func (op *operation) refundUnlessRun() {
	if op.admitted && !op.mayHaveRun {
		op.session.director.Limits.Refund(op.customer)
		op.admitted = false
	}
}

// finish records the end of an operation or of one of its statements in the
// metrics and the log. It refunds the rate-limit token of an operation that has
// ended and certainly did not run; an open transaction keeps its token, since its
// next statement may run.
func (op *operation) finish(databaseID, reason string, response executor.Response) {
	d := op.session.director
	took := d.Now().Sub(op.began)
	if op.service != nil {
		op.assignmentRevision = op.service.assignmentRevision()
	}
	if op.session.forwarded != nil {
		op.finishForwarded(databaseID, reason, response)
		return
	}
	if op.poolHost != "" && op.remoteRevision != 0 {
		op.assignmentRevision = op.remoteRevision
	}
	if response.Code.GuaranteesNoEffect() && response.State != executor.StateTransaction {
		op.refundUnlessRun()
	}
	d.Metrics.recordStatement(op.route, response, took)
	d.Logger.Info("statement", "request", op.id, "session", op.session.number, "route", op.route.Name,
		"customer", op.customer, "version", op.version, "lead", op.assignmentRevision, "view_age", d.SinceBoot().Sub(d.ViewCompleteAsOf()),
		"floor", op.floor.String(), "database", databaseID, "pool_host", op.poolHost, "reason", reason, "attempts", op.attempts,
		"code", response.Code.String(), "detail", response.Text, "state", string(response.State), "took", took)
}
