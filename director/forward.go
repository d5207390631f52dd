package director

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/connector"
	"github.com/endiveturn/endiveturn/executor"
	"github.com/endiveturn/endiveturn/forwarder"
)

const (
	// forwardedReplyMargin is how long after the deadline of a statement its response is
	// awaited: the pool host itself reports that the deadline has passed.
	forwardedReplyMargin = 100 * time.Millisecond
	// abandonMargin is the time that a read needs for another attempt.
	abandonMargin = 100 * time.Millisecond
)

// Reasons for which a host runs an operation of a service with a pool host itself, as
// names of metrics.
const (
	localAsPoolHost = "is_pool_host"
	localNoPoolHost = "no_pool_host_usable"
	localRefused    = "refused_by_pool_host"
	localTooLarge   = "too_large"
	// localOutdatedView is the reason of a host whose view is too old to check keys for
	// others.
	localOutdatedView = "view_is_outdated"
)

// forward tries to run the first statement of an operation on the pool hosts of its
// service, in order. It returns no stream if the statement certainly did not run there,
// so that this host may run it. The stream is open after a successful run.
func (op *operation) forward(ctx context.Context, request *forwarder.Request, deadline time.Time, abandonSilent bool) (*forwarder.Stream, forwarder.Reply, error) {
	d := op.session.director
	targets, localReason := op.service.forwardTargets(d.Forwarder.ProbeIfDue)
	if localReason == "" {
		return nil, forwarder.Reply{}, nil
	}
	for _, target := range targets {
		stream, err := d.Forwarder.Open(ctx, target)
		if err != nil {
			continue
		}
		op.setElapsed(request)
		from := op.service.snapshot()
		reply, err := stream.Run(request, deadline, abandonSilent)
		switch {
		case errors.Is(err, forwarder.ErrNotSent):
			stream.Close()
		case errors.Is(err, forwarder.ErrTooLarge):
			stream.Close()
			d.Metrics.increment("operations_run_locally." + localTooLarge)
			return nil, forwarder.Reply{}, nil
		case err != nil:
			stream.Close()
			op.poolHost = target.Name
			op.attempts++
			op.markMayHaveRun()
			d.Metrics.increment("operations_forwarded.lost")
			return nil, forwarder.Reply{}, err
		case reply.Refused:
			stream.Close()
			localReason = localRefused
		default:
			op.poolHost = target.Name
			op.recordForwarded(from, &reply)
			d.Metrics.increment("operations_forwarded.answered")
			return stream, reply, nil
		}
	}
	d.Metrics.increment("operations_run_locally." + localReason)
	return nil, forwarder.Reply{}, nil
}

// setElapsed dates the request to now.
func (op *operation) setElapsed(request *forwarder.Request) {
	if request.Operation != nil {
		request.Operation.Elapsed = op.session.director.Now().Sub(op.began)
	}
}

// recordForwarded records what the reply of a pool host says about the operation.
func (op *operation) recordForwarded(from primarySnapshot, reply *forwarder.Reply) {
	op.attempts += reply.Attempts
	op.remoteRevision = reply.AssignmentRevision
	if reply.MayHaveRun {
		op.markMayHaveRun()
	}
	if reply.FromPrimary {
		op.service.recordRemotePosition(from, reply.AssignmentRevision, reply.Response.Position)
	}
}

// newForwardRequest returns the request with which a pool host begins the operation.
func (op *operation) newForwardRequest(statement executor.Request, p *prepared, begin executor.Verb, tried map[string]bool) *forwarder.Request {
	request := op.newStatementRequest(statement, p)
	request.Operation = &forwarder.Operation{Customer: op.customer, Route: op.route, Begin: begin, Floor: op.session.floors[op.route.Service]}
	request.Operation.Route.Priority = op.priority
	for id := range tried {
		request.Operation.Tried = append(request.Operation.Tried, id)
	}
	return request
}

// newStatementRequest returns the request of a statement.
func (op *operation) newStatementRequest(statement executor.Request, p *prepared) *forwarder.Request {
	request := &forwarder.Request{Statement: statement, Variables: op.session.variables}
	if p != nil {
		request.Prepared = &forwarder.Prepared{Name: p.name, Text: p.text, Writes: p.writes}
	}
	return request
}

// mayForward reports whether the session's operations may run on other hosts: one that
// runs for another host is not forwarded again.
func (s *Session) mayForward() bool { return s.director.Forwarder != nil && s.forwarded == nil }

// tryForward makes one attempt on a pool host. handled is false if the statement
// certainly did not run there.
func (r *singleStatement) tryForward(ctx context.Context) (response executor.Response, retry, handled bool) {
	op := r.operation
	if !op.session.mayForward() {
		return executor.Response{}, false, false
	}
	request := op.newForwardRequest(r.statement, r.prepared, executor.VerbUnknown, r.tried)
	abandon := !r.writes && op.session.director.Now().Add(forwarder.SilenceTimeout+abandonMargin).Before(r.deadline)
	stream, reply, err := op.forward(ctx, request, r.deadline.Add(forwardedReplyMargin), abandon)
	if err != nil {
		response, retry = r.forwardLost(err)
		return response, retry, true
	}
	if stream == nil {
		return executor.Response{}, false, false
	}
	stream.Close()
	r.databaseID, r.reason = reply.Database, reply.Reason
	if reply.Database != "" {
		r.tried = withTried(r.tried, reply.Database)
	}
	failed := reply.Response.Code == executor.CodeRunFailed || reply.Response.Code == executor.CodeTimedOut
	return reply.Response, failed && !r.writes, true
}

// forwardLost returns the response for a statement to which the pool host did not
// respond, and whether the statement may be retried.
func (r *singleStatement) forwardLost(err error) (executor.Response, bool) {
	r.databaseID, r.reason = "", err.Error()
	timedOut := errors.Is(err, forwarder.ErrTimeout)
	switch {
	case !r.writes && timedOut:
		return executor.Response{Code: executor.CodeTimedOut, Text: "pool host did not answer in time"}, true
	case !r.writes:
		return executor.Response{Code: executor.CodeRunFailed, Text: "connection to the pool host was lost"}, true
	case timedOut:
		return executor.Response{Code: executor.CodeTimedOut, Text: "pool host did not answer in time; outcome unknown"}, false
	default:
		return executor.Response{Code: executor.CodeInDoubt, Text: "connection to the pool host was lost; outcome unknown"}, false
	}
}

// beginVerb returns the verb with which the transaction begins.
func (t *transaction) beginVerb() executor.Verb {
	if t.readOnly {
		return executor.VerbBeginRead
	}
	return executor.VerbBegin
}

// forwardFirst runs the first statement of the transaction on a pool host. It returns
// false if the statement certainly did not run there.
func (t *transaction) forwardFirst(ctx context.Context, statement executor.Request, writes bool, p *prepared, deadline time.Time) (executor.Response, bool) {
	op := t.operation
	if !op.session.mayForward() {
		return executor.Response{}, false
	}
	request := op.newForwardRequest(statement, p, t.beginVerb(), nil)
	stream, reply, err := op.forward(ctx, request, deadline.Add(forwardedReplyMargin), false)
	if err != nil {
		return t.fail(executor.Response{Code: executor.CodeAborted, Text: "connection to the pool host was lost"}, "", err.Error()), true
	}
	if stream == nil {
		return executor.Response{}, false
	}
	t.remote = stream
	return t.afterForwarded(reply, writes), true
}

// executeForwarded runs a further statement of the transaction on its pool host.
func (t *transaction) executeForwarded(statement executor.Request, writes bool, p *prepared, deadline time.Time) executor.Response {
	op := t.operation
	from := op.service.snapshot()
	reply, err := t.remote.Run(op.newStatementRequest(statement, p), deadline.Add(forwardedReplyMargin), false)
	if errors.Is(err, forwarder.ErrTooLarge) {
		response := op.session.errorResponse(executor.CodeMalformed, "statement is too large for this transaction")
		op.finish("", err.Error(), response)
		return response
	}
	if err != nil {
		if !errors.Is(err, forwarder.ErrNotSent) {
			op.markMayHaveRun()
		}
		t.closeRemote()
		return t.fail(executor.Response{Code: executor.CodeAborted, Text: "connection to the pool host was lost"}, "", err.Error())
	}
	op.recordForwarded(from, &reply)
	return t.afterForwarded(reply, writes)
}

// afterForwarded puts the reply to a statement of the transaction into effect.
func (t *transaction) afterForwarded(reply forwarder.Reply, writes bool) executor.Response {
	if reply.EndsOperation() {
		t.closeRemote()
		return t.fail(reply.Response, reply.Database, reply.Reason)
	}
	if writes && !reply.Response.Code.NotRun() {
		t.wrote = true
	}
	t.operation.finish(reply.Database, reply.Reason, reply.Response)
	return reply.Response
}

// commitForwarded commits the transaction on its pool host.
func (t *transaction) commitForwarded(statement executor.Request, deadline time.Time) executor.Response {
	op := t.operation
	from := op.service.snapshot()
	// A COMMIT uses no session variables, which might be too large to be forwarded.
	request := &forwarder.Request{Statement: statement}
	reply, err := t.remote.Run(request, deadline.Add(forwardedReplyMargin), false)
	t.closeRemote()
	if err != nil {
		response := t.forwardedCommitLost(err)
		op.finish("", err.Error(), response)
		return response
	}
	op.recordForwarded(from, &reply)
	response := reply.Response
	response.State = executor.StateIdle
	if response.Code == executor.CodeNone {
		op.session.raiseFloor(op.route.Service, response.Position)
	}
	op.finish(reply.Database, reply.Reason, response)
	return response
}

// forwardedCommitLost returns the response to a COMMIT to which the pool host did not
// respond. The pool host rolls back a transaction whose COMMIT it has not received.
func (t *transaction) forwardedCommitLost(err error) executor.Response {
	response := executor.Response{State: executor.StateIdle}
	if errors.Is(err, forwarder.ErrNotSent) {
		response.Code, response.Text = executor.CodeAborted, "connection to the pool host was lost before the commit"
		return response
	}
	t.operation.markMayHaveRun()
	switch {
	case !t.wrote:
		response.Code, response.Text = executor.CodeRunFailed, "connection to the pool host was lost; nothing was written"
	case errors.Is(err, forwarder.ErrTimeout):
		response.Code, response.Text = executor.CodeTimedOut, "pool host did not answer in time; outcome unknown"
	default:
		response.Code, response.Text = executor.CodeInDoubt, "connection to the pool host was lost; outcome unknown"
	}
	return response
}

// rollbackRemote rolls the transaction back on its pool host. A connection on which that
// fails is reset, which has the same effect.
func (t *transaction) rollbackRemote() {
	rollback := executor.Request{Verb: executor.VerbRollback}
	request := &forwarder.Request{Statement: rollback, Variables: connector.Variables{}}
	_, _ = t.remote.Run(request, t.operation.session.director.Now().Add(setupTimeout), true)
	t.closeRemote()
}

// closeRemote ends the stream to the pool host, which rolls back an open transaction.
func (t *transaction) closeRemote() {
	if t.remote != nil {
		t.remote.Close()
		t.remote = nil
	}
}
