package holder

import (
	"context"
	"time"

	"github.com/endiveturn/endiveturn/executor"
	"github.com/endiveturn/endiveturn/pooler"
	"github.com/endiveturn/endiveturn/scheduler"
)

// cancelGracePeriod is how long a cancelled statement may take to end before
// its connection is closed.
const cancelGracePeriod = time.Second

// An execution is the result of running a batch on a connection.
type execution struct {
	relay relay
	// sent is false if no byte of the batch was sent.
	sent bool
	// status is the transaction status at the end of a complete response.
	status byte
	// err is nil if the response is complete.
	err error
	// cancelled is set when a cancel request was sent; the connection must be
	// closed then, since the request may take effect late.
	cancelled bool
}

// execute runs the batch on a connection and reads its response to the end. The
// part of the response that was not forwarded yet stays in the relay.
func (r *request) execute(conn *pooler.Conn, slot *scheduler.Slot) *execution {
	customer := r.exchange.attributes.Customer
	run := &execution{}
	stop := r.cancelWhenEnded(conn, slot)
	response, sent, err := conn.Start(r.batch, customer)
	run.sent, run.err = sent, err
	if err == nil {
		run.relay = relay{response: response, writer: r.writer, mayCommit: r.batch.Class == executor.ClassWrite || r.primaryOnly}
		run.err = run.relay.readResponse()
	}
	if run.err == nil {
		run.status, run.err = response.Finish(customer)
	}
	run.cancelled = stop()
	return run
}

// cancelWhenEnded cancels the statement at the database when the batch ends
// early. After cancelGracePeriod it closes the connection and releases the
// slot, even if the client does not read the response. The returned function
// stops this and reports whether the batch ended early.
func (r *request) cancelWhenEnded(conn *pooler.Conn, slot *scheduler.Slot) func() bool {
	finished := make(chan struct{})
	stop := r.runCtx.afterFunc(func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelGracePeriod)
		defer cancel()
		if err := conn.Cancel(ctx); err != nil {
			r.holder.Logger.Warn("statement_cancel_failed", "service", r.holder.Service.Name, "error", err)
		}
		select {
		case <-finished:
		case <-ctx.Done():
			conn.Abort()
			slot.Release()
		}
	})
	return func() bool {
		close(finished)
		return !stop()
	}
}

// refusedWith reports whether the database refused the first statement of the
// batch with one of the codes, so that nothing ran there.
func (x *execution) refusedWith(codes ...string) bool {
	for _, code := range codes {
		if x.relay.firstErrorCode == code && !x.relay.forwarded {
			return true
		}
	}
	return false
}
