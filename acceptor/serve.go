package acceptor

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/executor"
)

// serveRequest reads and answers one request. An error ends the connection.
func (c *connection) serveRequest(ctx context.Context) error {
	r, err := c.receiveRequest()
	if err != nil {
		return err
	}
	defer r.release()
	if c.skipping {
		if r.last() != 'S' {
			return nil
		}
		c.skipping = false
		return c.send(&pgproto3.ReadyForQuery{TxStatus: c.status})
	}
	granted, refusal := c.present(c.acceptor.Set())
	if refusal != nil {
		return refusal
	}
	c.service = granted.service
	p, err := c.plan(r)
	if err != nil {
		return err
	}
	return c.answer(ctx, p, granted)
}

// answer runs a plan and sends its answer.
func (c *connection) answer(ctx context.Context, p *plan, granted access) error {
	answer := newAnswer(c)
	var fatal error
	switch {
	case p.refusal != nil:
		fatal = c.fail(p, answer, p.refusal)
	case p.endpoint:
		fatal = c.runBatch(ctx, p, granted, answer)
	default:
		fatal = c.runOwn(p, answer)
	}
	if fatal == nil {
		if p.request.last() != 'H' {
			answer.send(&pgproto3.ReadyForQuery{TxStatus: c.status})
		} else {
			c.skipping = answer.scanner.failed
		}
	}
	if err := answer.finish(); err != nil {
		return errors.Wrap(err, "answer")
	}
	return fatal
}

// fail answers with a refusal of a batch of which nothing ran. As an error does
// at a database, it aborts an open transaction: a caller that does not look at
// errors must not commit the rest. If the batch was to begin a transaction and
// the caller has sent more, that was meant for the transaction and must not run
// outside it: the connection ends with the error that is returned.
func (c *connection) fail(p *plan, answer *answer, refusal *executor.Refusal) error {
	switch {
	case c.status != statusIdle:
		c.closeExchange()
		c.status = statusFailed
	case p.inTransaction && c.sentAhead():
		return refusal
	}
	answer.fail(refusal)
	return nil
}

// runBatch hands a batch to the exchange. An error ends the connection.
func (c *connection) runBatch(ctx context.Context, p *plan, granted access, answer *answer) error {
	if refusal := c.acceptor.Admit(ctx, c.key != ""); refusal != nil {
		if !isStopping(refusal) {
			return c.fail(p, answer, refusal)
		}
		c.stopping = true
	}
	ctx = c.runContext(ctx)
	if !c.beginRun(&run{cancel: c.cancelRuns}) {
		c.endRun()
		return errKilled
	}
	started := c.acceptor.Now()
	c.batches++
	result, err := c.runExchange(ctx, p, granted, answer)
	c.endRun()
	c.define(p, answer)
	outcome, err := c.conclude(p, answer, result, err)
	if c.acceptor.BatchDone != nil {
		c.acceptor.BatchDone(c.acceptor.Now().Sub(started), outcome)
	}
	return err
}

// runExchange opens an exchange if there is none and runs the batch.
func (c *connection) runExchange(ctx context.Context, p *plan, granted access, answer *answer) (executor.Result, error) {
	if c.exchange == nil {
		exchange, err := c.acceptor.Opener.Open(ctx, c.attributes(granted))
		if err != nil {
			return executor.Result{}, refuseOpen(ctx, err)
		}
		c.exchange, c.exchangeService = exchange, granted.service
	}
	return c.exchange.Run(ctx, c.batch(p, granted.deadline), answer)
}

// refuseOpen returns the refusal of a failed Open, which contacts no endpoint.
func refuseOpen(ctx context.Context, err error) *executor.Refusal {
	var refusal *executor.Refusal
	switch {
	case errors.As(err, &refusal):
		return refusal
	case ctx.Err() != nil:
		return executor.RefuseNotRun(executor.CodeQueryCanceled, "canceling statement due to user request")
	}
	return executor.RefuseNotRun(executor.CodeInternal, err.Error())
}

// attributes returns on whose behalf an exchange runs.
func (c *connection) attributes(granted access) executor.Attributes {
	attributes := executor.Attributes{
		Service: granted.service, Customer: granted.customer, Key: granted.key, Route: granted.route,
		Revision: granted.revision, Session: c.ownSession,
	}
	if c.settings.session != "" {
		// The prefix keeps names of callers apart from those made up here.
		attributes.Session = "session/" + c.settings.session
	} else {
		attributes.Attaching = !c.attached
	}
	return attributes
}

// batch returns the batch of a plan; deadline is that of the service.
func (c *connection) batch(p *plan, deadline time.Duration) executor.Batch {
	if c.settings.deadline > 0 {
		deadline = c.settings.deadline
	}
	return executor.Batch{
		Messages: p.messages, Statements: p.referred, Class: p.class, Tainting: p.tainting,
		Idempotent: c.settings.idempotent, Floor: c.settings.floorOf(c.exchangeService),
		MaxAge: c.settings.maxAge, Deadline: deadline,
	}
}

// define applies the changes of prepared statements that were confirmed.
func (c *connection) define(p *plan, answer *answer) {
	parsed, closed := answer.scanner.parsed, answer.scanner.closed
	for _, d := range p.definitions {
		if d.prepared != nil {
			if parsed--; parsed < 0 {
				return
			}
			c.statements.define(d.name, d.prepared)
			continue
		}
		if closed--; closed < 0 {
			return
		}
		if !d.portal {
			c.statements.close(d.name)
		}
	}
}

// conclude takes over the state of the transaction after a batch and tells the
// caller what went wrong. An error ends the connection.
func (c *connection) conclude(p *plan, answer *answer, result executor.Result, err error) (string, error) {
	if answer.err != nil {
		c.closeExchange()
		return OutcomeUnknown, errors.Wrap(answer.err, "answer")
	}
	if err != nil {
		return c.concludeRefused(p, answer, executor.AsRefusal(err))
	}
	if !answer.scanner.between() {
		c.closeExchange()
		return OutcomeUnknown, errors.WithStack(errNotMessages)
	}
	c.attached = true
	c.status = result.TxStatus
	if c.status == statusIdle {
		c.closeExchange()
	}
	if !result.Position.IsZero() {
		c.settings.raise(c.exchangeService, result.Position)
		answer.send(&pgproto3.ParameterStatus{Name: settingToken, Value: c.settings.token()})
	}
	return OutcomeDone, nil
}

// concludeRefused concludes a batch for which the exchange returned an error.
func (c *connection) concludeRefused(p *plan, answer *answer, refusal *executor.Refusal) (string, error) {
	c.closeExchange()
	if !answer.scanner.between() {
		// The error would become part of a message that was cut off.
		return OutcomeUnknown, errors.New("answer was cut off")
	}
	switch refusal.Outcome {
	case executor.NotRun, executor.Moved:
		return OutcomeNotRun, c.fail(p, answer, refusal)
	case executor.RolledBack:
		return OutcomeRolledBack, c.fail(p, answer, refusal)
	}
	// In the middle of a transaction the transaction is gone, but the caller
	// has not ended it: until it does, its statements must not run outside one.
	if refusal.Code != executor.CodeStatementUnknown {
		c.status = statusIdle
	}
	return OutcomeUnknown, c.fail(p, answer, refusal)
}
