package director

import (
	"context"
	"time"

	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/executor"
	"github.com/endiveturn/endiveturn/forwarder"
)

// A forwardedOperation is the operation of another host that a session without a client
// runs on this one.
type forwardedOperation struct {
	forwarder.Operation
	// operation is nil until it was admitted.
	operation *operation
	// databaseID and reason are those of the last statement.
	databaseID string
	reason     string
}

// BeginForwarded returns the execution of an operation of another host, which has checked
// its key and its rate limit.
func (d *Director) BeginForwarded(o *forwarder.Operation) forwarder.Execution {
	s := &Session{
		director: d, prepared: make(map[string]prepared), state: executor.StateIdle,
		floors:    map[string]executor.Position{o.Route.Service: o.Floor},
		forwarded: &forwardedOperation{Operation: *o},
	}
	return forwarder.Execution{Run: s.runForwarded, Close: func() {
		if s.tx != nil {
			s.tx.abort()
		}
	}}
}

// runForwarded runs a statement of the operation.
func (s *Session) runForwarded(ctx context.Context, request *forwarder.Request) forwarder.Reply {
	s.variables = request.Variables
	if request.Operation != nil {
		if reason := s.refusesForwarded(request); reason != "" {
			s.director.Metrics.increment("operations_refused_for_others")
			return forwarder.Reply{Refused: true, Reason: reason}
		}
		s.director.Metrics.increment("operations_run_for_others")
	}
	attemptsBefore := s.forwarded.attempts()
	response := s.executeForwarded(ctx, request)
	reply := forwarder.Reply{Response: response, Database: s.forwarded.databaseID, Reason: s.forwarded.reason}
	if op := s.forwarded.operation; op != nil {
		reply.MayHaveRun, reply.FromPrimary, reply.Attempts = op.mayHaveRun, op.fromPrimary, op.attempts-attemptsBefore
		reply.AssignmentRevision = op.assignmentRevision
		if op.fromPrimary {
			reply.AssignmentRevision = op.primaryRevision
		}
	}
	return reply
}

func (f *forwardedOperation) attempts() int {
	if f.operation == nil {
		return 0
	}
	return f.operation.attempts
}

// refusesForwarded returns why another host should run the operation, or "". It is asked
// before anything runs.
func (s *Session) refusesForwarded(request *forwarder.Request) string {
	o := s.forwarded
	service := s.director.service(o.Route.Service)
	if service == nil {
		return "service is unknown here"
	}
	if !service.isConfigured() {
		return "configuration is not loaded yet"
	}
	if s.director.viewIsOutdated() {
		// It may lack that a database is leaving or that a data centre was evacuated.
		return "view of the pool host is outdated"
	}
	service.verifyPoolHosts()
	needsPrimary := o.Begin == executor.VerbBegin || o.Begin == executor.VerbUnknown && forwardedWrites(request) ||
		o.Route.Consistency == cataloger.Primary
	if needsPrimary && service.primaryOutOfReach() {
		return "primary is out of reach of the pool host"
	}
	return ""
}

func forwardedWrites(request *forwarder.Request) bool {
	if request.Prepared != nil {
		return request.Prepared.Writes
	}
	return request.Statement.Verb == executor.VerbWrite
}

func (s *Session) executeForwarded(ctx context.Context, request *forwarder.Request) executor.Response {
	statement := request.Statement
	if request.Operation != nil && request.Operation.Begin != executor.VerbUnknown {
		begin := executor.Request{ID: statement.ID, Verb: request.Operation.Begin}
		if response := s.begin(begin); response.Code != executor.CodeNone {
			return response
		}
	}
	switch statement.Verb {
	case executor.VerbCommit:
		return s.commit(ctx, statement)
	case executor.VerbRollback:
		return s.rollback()
	case executor.VerbRead, executor.VerbWrite, executor.VerbExecute:
	default:
		return s.errorResponse(executor.CodeMalformed, "unknown statement")
	}
	var p *prepared
	if request.Prepared != nil {
		// Hosts of a former version give two statements the same name.
		resolved := newPrepared(request.Prepared.Text, request.Prepared.Writes)
		p, statement.Name = &resolved, resolved.name
	}
	writes := forwardedWrites(request)
	if s.tx != nil {
		return s.tx.execute(ctx, statement, writes, p)
	}
	return s.executeSingle(ctx, statement, writes, p)
}

// admitForwarded returns the operation of another host, which has checked its key and
// taken its token of the rate limit.
func (s *Session) admitForwarded(id string) (*operation, executor.Code, string) {
	d, o := s.director, s.forwarded
	op := &operation{
		session: s, id: id, route: o.Route, customer: o.Customer, priority: o.Route.Priority,
		version: configurationVersion(d.Catalog()), began: d.Now().Add(-o.Elapsed),
	}
	o.operation = op
	if op.service = d.service(o.Route.Service); op.service == nil {
		return op, executor.CodeBusy, "service has no databases, retry in 1s"
	}
	return op, executor.CodeNone, ""
}

// finishForwarded keeps what the reply says about the statement. The entry host logs and
// counts it.
func (op *operation) finishForwarded(databaseID, reason string, response executor.Response) {
	f := op.session.forwarded
	f.databaseID, f.reason = databaseID, reason
	op.session.director.Logger.Debug("forwarded_statement", "request", op.id, "route", op.route.Name, "customer", op.customer,
		"lead", op.assignmentRevision, "database", databaseID, "reason", reason, "attempts", op.attempts, "code", response.Code.String())
}

// forwardedIdleMargin is how much longer an open transaction of another host may be idle
// here than there, so that the entry host ends it first and reports why.
const forwardedIdleMargin = 500 * time.Millisecond

// ForwardedIdleTimeout returns the idle timeout of a transaction of another host.
func (d *Director) ForwardedIdleTimeout() time.Duration {
	return d.idleTransactionTimeout() + forwardedIdleMargin
}
