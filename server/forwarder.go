package server

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/endiveturn/endiveturn/executor"
	"github.com/endiveturn/endiveturn/timekeeper"
)

const (
	// maxPlacementWait bounds how long a batch that has not run waits for a holder,
	// within its own timeout.
	maxPlacementWait = 5 * time.Second
	// meanRetryDelay is the mean delay before a retry. The delay is random, so that
	// the retries do not all arrive at the new holder of a service at the same time.
	meanRetryDelay = 20 * time.Millisecond
)

// A target is the destination of the batches of a service.
type target struct {
	opener executor.Opener
	// host is the name of the target host, for log lines.
	host string
	// reason is why the target was chosen, for log lines.
	reason string
}

// A forwarder forwards batches to the holder of their service and retries those
// that are safe to retry, if necessary at a new holder.
type forwarder struct {
	// locate returns the target of a service, or false if no holder is known. hint
	// is the holder that the last refusal named, or empty.
	locate func(service, hint string) (target, bool)
	// allowRetry takes a retry out of the retry budget and reports whether there was
	// one left.
	allowRetry func() bool
	now        func() time.Time
	logger     *slog.Logger
	// countEvent increments the counter of an event.
	countEvent func(event string)
}

// Open implements executor.Opener. The target is chosen when the first batch
// runs.
func (f *forwarder) Open(_ context.Context, attributes executor.Attributes) (executor.Exchange, error) {
	return &forwardExchange{forwarder: f, attributes: attributes}, nil
}

// A forwardExchange is an exchange that is forwarded to a holder. The holder can
// change as long as no transaction is open.
type forwardExchange struct {
	forwarder  *forwarder
	attributes executor.Attributes
	// exchange is nil until a target has been chosen.
	exchange executor.Exchange
	host     string
	// inTransaction is set while a transaction is open at the holder.
	inTransaction bool
}

// Close implements executor.Exchange.
func (e *forwardExchange) Close() error {
	if e.exchange == nil {
		return nil
	}
	exchange := e.exchange
	e.exchange = nil
	return exchange.Close()
}

// Run implements executor.Exchange.
func (e *forwardExchange) Run(ctx context.Context, batch executor.Batch, w io.Writer) (executor.Result, error) {
	retryUntil := e.forwarder.now().Add(min(batch.Timeout, maxPlacementWait))
	batchDeadline := e.forwarder.now().Add(batch.Timeout)
	hint := ""
	mayHaveRun := false
	for {
		counter := &countingWriter{w: w}
		result, err := e.attempt(ctx, hint, batch, counter)
		if err == nil {
			e.inTransaction = result.TxStatus != 'I'
			e.attributes.FirstExchange = false
			return result, nil
		}
		refusal := executor.AsRefusal(err)
		retry := e.mayRetry(batch, refusal, counter.written)
		if !retry || !e.forwarder.now().Before(retryUntil) || ctx.Err() != nil {
			if mayHaveRun {
				refusal = refusal.AfterUnknownOutcome(batch.Class != executor.ClassRead)
			}
			return executor.Result{}, e.clientRefusal(&batch, refusal)
		}
		mayHaveRun = mayHaveRun || refusal.Outcome == executor.Unknown
		hint = refusal.Holder
		e.forwarder.logger.Debug("batch_retried", "service", e.attributes.Service, "customer", e.attributes.Customer,
			"host", e.host, "reason", refusal.Message)
		e.forwarder.countEvent("repeated")
		_ = e.Close()
		timekeeper.Sleep(ctx, meanRetryDelay/2+rand.N(meanRetryDelay))
		batch.Timeout = max(time.Millisecond, batchDeadline.Sub(e.forwarder.now()))
	}
}

// attempt runs the batch at the current target, or chooses one first.
func (e *forwardExchange) attempt(ctx context.Context, hint string, batch executor.Batch, w io.Writer) (executor.Result, error) {
	if e.exchange == nil {
		t, ok := e.forwarder.locate(e.attributes.Service, hint)
		if !ok {
			return executor.Result{}, executor.RefuseNotRun(executor.CodeCannotServe, "no holder of service "+e.attributes.Service+" is known")
		}
		exchange, err := t.opener.Open(ctx, e.attributes)
		if err != nil {
			return executor.Result{}, err
		}
		e.exchange, e.host = exchange, t.host
		e.logTarget(ctx, t)
	}
	return e.exchange.Run(ctx, batch, w)
}

// logTarget logs the choice of the target. It checks the level first, since
// evaluating the arguments of a disabled log line costs more than the choice.
func (e *forwardExchange) logTarget(ctx context.Context, t target) {
	if e.forwarder.logger.Enabled(ctx, slog.LevelDebug) {
		e.forwarder.logger.Debug("exchange_target_chosen", "service", e.attributes.Service, "customer", e.attributes.Customer,
			"host", t.host, "reason", t.reason)
	}
}

// mayRetry reports whether the batch may be retried. It returns false if a
// transaction is open or a part of the response has been written to the client. A
// batch that was refused because another host holds the service may be retried,
// and so may one that has not run because the host cannot serve. A batch that may
// have run is retried only if it is a read, idempotent or only begins a transaction,
// was not cancelled, and the retry budget allows it.
func (e *forwardExchange) mayRetry(batch executor.Batch, refusal *executor.Refusal, written int64) bool {
	if e.inTransaction || written > 0 {
		return false
	}
	switch refusal.Outcome {
	case executor.HeldElsewhere:
		return true
	case executor.NotRun:
		return refusal.Code == executor.CodeCannotServe
	case executor.Unknown:
		return isRetryable(batch) && refusal.Code != executor.CodeQueryCanceled && e.forwarder.allowRetry()
	default:
		return false
	}
}

// isRetryable reports whether a batch outside a transaction may run more than once.
// A transaction that the batch has begun is rolled back when its exchange ends.
func isRetryable(batch executor.Batch) bool {
	return batch.Idempotent || batch.Class == executor.ClassRead ||
		batch.Class == executor.ClassBegin || batch.Class == executor.ClassBeginRead
}

// clientRefusal returns the refusal to send to the client: the outcome
// HeldElsewhere is only used between hosts and is replaced. A connection to the holder
// that is lost does not show whether a transaction was open; if one was and the batch
// cannot have committed it, the code says that the transaction is rolled back.
func (e *forwardExchange) clientRefusal(batch *executor.Batch, refusal *executor.Refusal) *executor.Refusal {
	if e.inTransaction && refusal.Outcome == executor.Unknown && refusal.Code == executor.CodeOutcomeUnknown && !batch.MayCommit() {
		refusal = executor.RefuseUnknown(executor.CodeStatementUnknown, refusal.Message)
	}
	e.forwarder.countEvent("refused_" + refusal.Code)
	if refusal.Outcome != executor.HeldElsewhere {
		return refusal
	}
	if e.inTransaction {
		return &executor.Refusal{Code: executor.CodeRolledBack, Message: "service moved; transaction rolled back", Outcome: executor.RolledBack}
	}
	return executor.RefuseNotRun(executor.CodeCannotServe, "service is moving between hosts")
}

// A countingWriter counts the bytes written to the client.
type countingWriter struct {
	w       io.Writer
	written int64
}

func (c *countingWriter) Write(p []byte) (int, error) {
	n, err := c.w.Write(p)
	c.written += int64(n)
	return n, err
}
