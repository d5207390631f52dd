package holder

import (
	"context"
	"time"

	"github.com/endiveturn/endiveturn/executor"
	"github.com/endiveturn/endiveturn/pooler"
	"github.com/endiveturn/endiveturn/scheduler"
)

// cancelGrace is how long a cancelled statement may take to end before its
// connection is closed.
const cancelGrace = time.Second

// An execution is what became of a batch on a connection.
type execution struct {
	relay relay
	// sent is false if no byte has left.
	sent bool
	// status is the transaction status of a complete answer.
	status byte
	// err is nil if the answer is complete.
	err error
	// cancelled is set when a cancel was sent; the connection must be closed.
	cancelled bool
}

// execute runs the batch on a connection and reads its answer to the end. The
// rest of the answer stays in the relay.
func (r *request) execute(conn *pooler.Conn, slot *scheduler.Slot) *execution {
	customer := r.exchange.attributes.Customer
	run := &execution{}
	stop := r.watch(conn, slot)
	answer, sent, err := conn.Start(r.batch, customer)
	run.sent, run.err = sent, err
	if err == nil {
		run.relay = relay{answer: answer, writer: r.writer, mayCommit: r.batch.Class == executor.ClassWrite || r.primaryOnly}
		run.err = run.relay.run()
	}
	if run.err == nil {
		run.status, run.err = answer.Finish(customer)
	}
	run.cancelled = stop()
	return run
}

// watch cancels the statement at the database when the batch ends early. After
// the grace it closes the connection and frees the slot, even while the caller
// does not take the answer. The returned function ends the watch and reports
// whether the batch ended early.
func (r *request) watch(conn *pooler.Conn, slot *scheduler.Slot) func() bool {
	finished := make(chan struct{})
	stop := r.running.afterFunc(func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelGrace)
		defer cancel()
		if err := conn.Cancel(ctx); err != nil {
			r.holder.Logger.Warn("cancel statement", "service", r.holder.Service.Name, "error", err)
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

// refusedFirst reports whether the database refused the first statement of the
// batch for one of its reasons, so that nothing ran there.
func (x *execution) refusedFirst(codes ...string) bool {
	for _, code := range codes {
		if x.relay.firstError == code && !x.relay.passed {
			return true
		}
	}
	return false
}
