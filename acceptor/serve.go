package acceptor

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/executor"
)

// serveRequest reads a request and responds to it. An error ends the
// connection.
func (c *connection) serveRequest(ctx context.Context) error {
	r, err := c.receiveRequest()
	if err != nil {
		return err
	}
	defer c.endRequest()
	defer r.release()
	if c.skippingToSync {
		if r.lastType() != 'S' {
			return nil
		}
		c.skippingToSync = false
		return c.send(&pgproto3.ReadyForQuery{TxStatus: c.status})
	}
	granted, refusal := c.currentAccess(c.acceptor.Config())
	if refusal != nil {
		return refusal
	}
	c.service = granted.service
	p, err := c.plan(r)
	if err != nil {
		return err
	}
	c.keepPlanned(p)
	defer c.keepCurrent()
	return c.respond(ctx, p, granted)
}

// respond executes a plan and sends the response. An error ends the connection.
func (c *connection) respond(ctx context.Context, p *plan, granted access) error {
	response := newResponseWriter(c)
	var fatal error
	switch {
	case p.refusal != nil:
		fatal = c.refuseBatch(p, response, p.refusal)
	case p.hasEndpointStatement:
		fatal = c.runBatch(ctx, p, granted, response)
	default:
		fatal = c.executeLocally(p, response)
	}
	if fatal == nil {
		if p.request.lastType() != 'H' {
			response.send(&pgproto3.ReadyForQuery{TxStatus: c.status})
		} else {
			c.skippingToSync = response.scanner.errorSeen
		}
	}
	if err := response.finish(); err != nil {
		return errors.Wrap(err, "write response")
	}
	return fatal
}

// refuseBatch responds with a refusal of a batch of which nothing ran. Like an
// error in a database, it aborts an open transaction: a client that ignores
// errors must not commit the remaining statements. If the batch was to begin a
// transaction and the client has pipelined more data, that data was meant for
// the transaction and must not run outside it: the returned error ends the
// connection.
func (c *connection) refuseBatch(p *plan, response *responseWriter, refusal *executor.Refusal) error {
	switch {
	case c.status != statusIdle:
		c.closeExchange()
		c.status = statusFailed
	case p.inTransaction && c.hasPipelinedData():
		return refusal
	}
	response.sendError(refusal)
	return nil
}

// runBatch runs a batch on the exchange. An error ends the connection.
func (c *connection) runBatch(ctx context.Context, p *plan, granted access, response *responseWriter) error {
	if refusal := c.acceptor.Admit(ctx, c.key != ""); refusal != nil {
		if !isStopping(refusal) {
			return c.refuseBatch(p, response, refusal)
		}
		c.stopping = true
	}
	ctx = c.batchContext(ctx)
	if !c.beginRun(&batchRun{cancel: c.cancelBatchCtx}) {
		c.endRun()
		return errTerminated
	}
	started := c.acceptor.Now()
	c.batchCount++
	result, err := c.runExchange(ctx, p, granted, response)
	c.endRun()
	// Waiting for a disconnect of the client consumes interrupts during the run.
	c.stopping = c.stopping || isStopping(c.acceptor.Admit(ctx, false))
	c.applyStatementChanges(p, response)
	outcome, err := c.finishBatch(p, response, result, err)
	if c.acceptor.BatchDone != nil {
		c.acceptor.BatchDone(c.acceptor.Now().Sub(started), outcome)
	}
	return err
}

// runExchange opens an exchange if there is none and runs the batch on it.
func (c *connection) runExchange(ctx context.Context, p *plan, granted access, response *responseWriter) (executor.Result, error) {
	if c.exchange == nil {
		exchange, err := c.acceptor.Opener.Open(ctx, c.attributes(granted))
		if err != nil {
			return executor.Result{}, openRefusal(ctx, err)
		}
		c.exchange, c.exchangeService = exchange, granted.service
	}
	return c.exchange.Run(ctx, c.batch(p, granted.deadline), response)
}

// openRefusal returns the refusal for a failed Open, which never contacts an
// endpoint.
func openRefusal(ctx context.Context, err error) *executor.Refusal {
	var refusal *executor.Refusal
	switch {
	case errors.As(err, &refusal):
		return refusal
	case ctx.Err() != nil:
		return executor.RefuseNotRun(executor.CodeQueryCanceled, "canceling statement due to user request")
	}
	return executor.RefuseNotRun(executor.CodeInternal, err.Error())
}

// attributes returns the attributes of a new exchange.
func (c *connection) attributes(granted access) executor.Attributes {
	attributes := executor.Attributes{
		Service: granted.service, Customer: granted.customer, Key: granted.key, Route: granted.route,
		Revision: granted.revision, Session: c.defaultSession,
	}
	if c.settings.session != "" {
		// The prefix separates names given by clients from generated ones.
		attributes.Session = "session/" + c.settings.session
	} else {
		attributes.FirstExchange = !c.hasRunBatch
	}
	return attributes
}

// batch returns the batch of a plan; timeout is the deadline of the service
// and applies unless the client has set another.
func (c *connection) batch(p *plan, timeout time.Duration) executor.Batch {
	if c.settings.deadline > 0 {
		timeout = c.settings.deadline
	}
	return executor.Batch{
		Messages: p.messages, Statements: p.references, Class: p.class, ChangesConnectionState: p.changesConnectionState,
		Idempotent: c.settings.idempotent, Floor: c.settings.floorForService(c.exchangeService),
		MaxAge: c.settings.maxAge, Timeout: timeout,
	}
}

// applyStatementChanges applies those changes of prepared statements that the
// response confirms.
func (c *connection) applyStatementChanges(p *plan, response *responseWriter) {
	parsed, closed := response.scanner.parseCompletes, response.scanner.closeCompletes
	for _, change := range p.statementChanges {
		if change.statement != nil {
			if parsed--; parsed < 0 {
				return
			}
			c.statements.define(change.name, change.statement)
			continue
		}
		if closed--; closed < 0 {
			return
		}
		if !change.isPortal {
			c.statements.close(change.name)
		}
	}
}

// finishBatch updates the transaction state after a batch and sends the
// refusal, if any, to the client. It returns the outcome for BatchDone. An
// error ends the connection.
func (c *connection) finishBatch(p *plan, response *responseWriter, result executor.Result, err error) (string, error) {
	if response.err != nil {
		c.closeExchange()
		return OutcomeUnknown, errors.Wrap(response.err, "write response")
	}
	if err != nil {
		return c.finishRefusedBatch(p, response, executor.AsRefusal(err))
	}
	if !response.scanner.atMessageBoundary() {
		c.closeExchange()
		return OutcomeUnknown, errors.WithStack(errMalformedStream)
	}
	c.hasRunBatch = true
	c.status = result.TxStatus
	if c.status == statusIdle {
		c.closeExchange()
	}
	if !result.Position.IsZero() {
		c.settings.raiseFloor(c.exchangeService, result.Position)
		response.send(&pgproto3.ParameterStatus{Name: settingToken, Value: c.settings.token()})
	}
	return OutcomeDone, nil
}

// finishRefusedBatch finishes a batch for which the exchange returned an error.
func (c *connection) finishRefusedBatch(p *plan, response *responseWriter, refusal *executor.Refusal) (string, error) {
	c.closeExchange()
	if !response.scanner.atMessageBoundary() {
		// An ErrorResponse would be taken for a part of the incomplete message.
		return OutcomeUnknown, errors.New("response ended in the middle of a message")
	}
	switch refusal.Outcome {
	case executor.NotRun, executor.HeldElsewhere:
		return OutcomeNotRun, c.refuseBatch(p, response, refusal)
	case executor.RolledBack:
		return OutcomeRolledBack, c.refuseBatch(p, response, refusal)
	}
	// With CodeOutcomeUnknown the batch may have ended the transaction. With any
	// other code the outcome was lost in the middle of it. The transaction is gone,
	// but the client has not ended it: until it does, its statements must not run
	// outside a transaction.
	if refusal.Code == executor.CodeOutcomeUnknown {
		c.status = statusIdle
	}
	return OutcomeUnknown, c.refuseBatch(p, response, refusal)
}
