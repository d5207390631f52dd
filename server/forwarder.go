package server

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/endiveturn/endiveturn/executor"
)

const (
	// placementWait bounds how long a batch that has not been sent waits for a
	// holder, within its own deadline.
	placementWait = 5 * time.Second
	// retryPause is the mean pause before a batch that did not run is sent
	// again; it is random, so that a moved service is not met by all at once.
	retryPause = 20 * time.Millisecond
)

// A target is where batches of a service go.
type target struct {
	opener executor.Opener
	// host is the name of the holder, for the log.
	host string
	// reason says why it was chosen.
	reason string
}

// A forwarder takes batches to the holder of their service, and again to the
// new holder when nothing of them has run.
type forwarder struct {
	// locate returns the target of a service, given a hint from the last
	// refusal; false means that no holder is known.
	locate func(service, hint string) (target, bool)
	// allowRetry takes one repetition out of the retry budget.
	allowRetry func() bool
	now        func() time.Time
	logger     *slog.Logger
	// counted is called with the name of each event worth counting.
	counted func(event string)
}

// Open implements executor.Opener. The holder is chosen with the first batch.
func (f *forwarder) Open(_ context.Context, attributes executor.Attributes) (executor.Exchange, error) {
	return &forwardExchange{forwarder: f, attributes: attributes}, nil
}

// A forwardExchange is an exchange at a holder that may change as long as no
// transaction is open.
type forwardExchange struct {
	forwarder  *forwarder
	attributes executor.Attributes
	// exchange is nil until a holder was chosen.
	exchange executor.Exchange
	host     string
	// open is set while a transaction is open at the holder.
	open bool
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
	deadline := e.forwarder.now().Add(min(batch.Deadline, placementWait))
	end := e.forwarder.now().Add(batch.Deadline)
	hint := ""
	for {
		counter := &countingWriter{w: w}
		result, err := e.attempt(ctx, hint, batch, counter)
		if err == nil {
			e.open = result.TxStatus != 'I'
			e.attributes.Attaching = false
			return result, nil
		}
		refusal := executor.AsRefusal(err)
		again := e.mayRepeat(batch, refusal, counter.n)
		if !again || !e.forwarder.now().Before(deadline) || ctx.Err() != nil {
			return executor.Result{}, e.finalRefusal(refusal)
		}
		hint = refusal.Holder
		e.forwarder.logger.Debug("batch sent again", "service", e.attributes.Service, "customer", e.attributes.Customer,
			"host", e.host, "reason", refusal.Message)
		e.forwarder.counted("repeated")
		_ = e.Close()
		pause(ctx, retryPause/2+rand.N(retryPause))
		batch.Deadline = max(time.Millisecond, end.Sub(e.forwarder.now()))
	}
}

// attempt runs the batch at the present target.
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
		e.logPlaced(ctx, t)
	}
	return e.exchange.Run(ctx, batch, w)
}

// logPlaced writes the placement decision. The level is checked first, since
// the arguments of a line that nobody wants cost more than the decision.
func (e *forwardExchange) logPlaced(ctx context.Context, t target) {
	if e.forwarder.logger.Enabled(ctx, slog.LevelDebug) {
		e.forwarder.logger.Debug("exchange placed", "service", e.attributes.Service, "customer", e.attributes.Customer,
			"host", t.host, "reason", t.reason)
	}
}

// mayRepeat reports whether the batch may be sent again. Only the first batch
// of an exchange can move; a batch that may have run is sent again only if it
// changes nothing and the caller has seen nothing of the answer.
func (e *forwardExchange) mayRepeat(batch executor.Batch, refusal *executor.Refusal, written int64) bool {
	if e.open || written > 0 {
		return false
	}
	switch refusal.Outcome {
	case executor.Moved:
		return true
	case executor.NotRun:
		return refusal.Code == executor.CodeCannotServe
	case executor.Unknown:
		repeatable := batch.Class == executor.ClassRead || batch.Idempotent
		return repeatable && refusal.Code != executor.CodeQueryCanceled && e.forwarder.allowRetry()
	default:
		return false
	}
}

// finalRefusal turns a refusal that only hosts understand into one for callers.
func (e *forwardExchange) finalRefusal(refusal *executor.Refusal) *executor.Refusal {
	e.forwarder.counted("refused_" + refusal.Code)
	if refusal.Outcome != executor.Moved {
		return refusal
	}
	if e.open {
		return &executor.Refusal{Code: executor.CodeRolledBack, Message: "service moved; transaction rolled back", Outcome: executor.RolledBack}
	}
	return executor.RefuseNotRun(executor.CodeCannotServe, "service is moving between hosts")
}

// A countingWriter counts what reached the caller.
type countingWriter struct {
	w io.Writer
	n int64
}

func (c *countingWriter) Write(p []byte) (int, error) {
	n, err := c.w.Write(p)
	c.n += int64(n)
	return n, err
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
