package messenger

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/endiveturn/endiveturn/executor"
	"github.com/endiveturn/endiveturn/messenger/peerpb"
)

const (
	// replyTimeoutMargin is how long after the timeout of a batch the sending host
	// waits for the holder to report the expiry; after that, the holder counts as
	// failed.
	replyTimeoutMargin = 2 * time.Second
	// cancelReplyTimeout bounds the wait for the next frame after a cancel.
	cancelReplyTimeout = 3 * time.Second
)

// A remoteExchange is an exchange with a service that another host holds. It has a
// connection from Open until the end of a batch that leaves no transaction open,
// and acquires another one for the next batch.
type remoteExchange struct {
	opener     *RemoteOpener
	address    string
	attributes executor.Attributes
	conn       *streamConn
	// openAtHolder is set while the holder has the exchange open.
	openAtHolder bool
	// unusable is set once no more batches can be run.
	unusable bool
}

// Run implements executor.Exchange. It writes nothing but the response to w, so
// that a read with an unknown outcome may be retried if no byte was written to w.
func (e *remoteExchange) Run(ctx context.Context, batch executor.Batch, w io.Writer) (executor.Result, error) {
	if e.unusable {
		return executor.Result{}, executor.RefuseUnknown(executor.CodeOutcomeUnknown, "exchange ended before")
	}
	timeout, refusal := remainingTime(ctx, batch.Timeout)
	if refusal != nil {
		return executor.Result{}, refusal
	}
	if e.conn == nil {
		if refusal := e.acquireConn(ctx); refusal != nil {
			return executor.Result{}, refusal
		}
	}
	number := e.conn.beginBatch(timeout + replyTimeoutMargin)
	if err := e.send(number, &batch, timeout); err != nil {
		return executor.Result{}, err
	}
	conn := e.conn
	stop := context.AfterFunc(ctx, func() { conn.cancelBatch(number) })
	result, err := e.receiveResponse(number, timeout, w)
	stop()
	return result, err
}

// remainingTime returns the remaining time of a batch, or a refusal if there is
// none or ctx is cancelled.
func remainingTime(ctx context.Context, timeout time.Duration) (time.Duration, *executor.Refusal) {
	if ctx.Err() != nil {
		return 0, executor.RefuseNotRun(executor.CodeQueryCanceled, "canceled before it was sent")
	}
	if until, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(until))
	}
	if timeout <= 0 {
		return 0, executor.RefuseNotRun(executor.CodeTooManyQueued, "deadline passed before it was sent")
	}
	return timeout, nil
}

func (e *remoteExchange) acquireConn(ctx context.Context) *executor.Refusal {
	conn, err := e.opener.Client.acquireStreamConn(ctx, e.address)
	if err != nil {
		return executor.RefuseNotRun(executor.CodeCannotServe, "no connection to the holder: "+err.Error())
	}
	e.conn = conn
	e.openAtHolder = false
	return nil
}

// discardConn discards the connection after an error, which rolls back an open
// transaction, and makes the exchange unusable.
func (e *remoteExchange) discardConn() {
	if e.conn != nil {
		e.conn.endBatch()
		e.conn.discard()
		e.conn = nil
	}
	e.unusable = true
}

// releaseConn ends the batch, and returns the connection to the pool unless the
// exchange is still open.
func (e *remoteExchange) releaseConn() {
	e.conn.endBatch()
	if !e.openAtHolder {
		e.opener.Client.releaseStreamConn(e.conn)
		e.conn = nil
	}
}

// send sends the frames of a batch. Errors are refusals.
func (e *remoteExchange) send(number uint64, batch *executor.Batch, timeout time.Duration) error {
	conn := e.conn
	wire := &conn.batch
	batchToWire(batch, timeout, wire)
	// The messages belong to the caller of Run; an idle connection must not
	// retain them.
	defer wire.Reset()
	writesBefore := conn.transport.writes.Load()
	var err error
	if estimateSize(batch) <= maxInlineBatch {
		err = e.sendFrame(&peerpb.ExecuteRequest{Batch: wire}, number, true)
	} else {
		err = e.sendParts(number, wire)
	}
	switch {
	case err == nil:
		return nil
	case errors.Is(err, ErrTooLarge):
		e.releaseConn()
		return executor.RefuseNotRun(executor.CodeTooLarge, "batch too large")
	case conn.transport.writes.Load() == writesBefore:
		return e.refuseUnsent("connection to the holder lost before the batch was sent", executor.NotRun)
	case e.streamEnded():
		return e.refuseUnsent("host stopping", executor.HeldElsewhere)
	default:
		e.discardConn()
		return connectionLost(err)
	}
}

// streamEnded reports whether the peer had ended the stream without an error
// before a send failed. It closes the connection first, so that the read does not
// block.
func (e *remoteExchange) streamEnded() bool {
	_ = e.conn.transport.Close()
	_, err := e.conn.receive()
	return errors.Is(err, io.EOF)
}

// refuseUnsent discards the connection and returns the refusal of a batch that the
// holder has not run. If a transaction was open, it is rolled back and the
// exchange becomes unusable.
func (e *remoteExchange) refuseUnsent(message string, outcome executor.Outcome) error {
	inTransaction := e.openAtHolder
	e.discardConn()
	if inTransaction {
		return &executor.Refusal{
			Code: executor.CodeRolledBack, Message: message + "; transaction rolled back", Outcome: executor.RolledBack,
		}
	}
	e.unusable = false
	refusal := executor.RefuseNotRun(executor.CodeCannotServe, message)
	refusal.Outcome = outcome
	return refusal
}

// estimateSize estimates the encoded size of a batch in bytes.
func estimateSize(batch *executor.Batch) int {
	size := len(batch.Messages)
	for _, s := range batch.Statements {
		size += len(s.Name) + len(s.Query) + 6*len(s.ParameterOIDs) + 16
	}
	return size
}

func (e *remoteExchange) sendFrame(frame *peerpb.ExecuteRequest, number uint64, first bool) error {
	frame.Version = ProtocolVersion
	frame.Number = number
	if first && !e.openAtHolder {
		frame.Open = attributesToWire(e.attributes)
	}
	return e.conn.stream.MsgSend(frame, e.conn.encoding)
}

func (e *remoteExchange) sendParts(number uint64, wire *peerpb.Batch) error {
	encoded, err := proto.Marshal(wire)
	if err != nil {
		return errors.Wrap(err, "encode batch")
	}
	if len(encoded) > e.opener.Client.maxBatch() {
		return errors.Wrapf(ErrTooLarge, "batch of %d bytes", len(encoded))
	}
	for first := true; len(encoded) > 0; first = false {
		part := encoded[:min(chunkSize, len(encoded))]
		encoded = encoded[len(part):]
		if err := e.sendFrame(&peerpb.ExecuteRequest{Part: part, More: len(encoded) > 0}, number, first); err != nil {
			return err
		}
	}
	return nil
}

// receiveResponse reads the reply to a batch that was sent and writes the response
// in it to w.
func (e *remoteExchange) receiveResponse(number uint64, timeout time.Duration, w io.Writer) (executor.Result, error) {
	for {
		reply, err := e.conn.receive()
		if errors.Is(err, io.EOF) {
			// A stream that ended without an error means that the batch has not run.
			return executor.Result{}, e.refuseUnsent("host stopping", executor.HeldElsewhere)
		}
		if err != nil {
			e.discardConn()
			return executor.Result{}, connectionLost(err)
		}
		if reply.Number != number {
			e.discardConn()
			return executor.Result{}, connectionLost(errors.Errorf("got answer %d for batch %d", reply.Number, number))
		}
		if len(reply.Data) > 0 {
			if err := e.writeResponse(reply, timeout, w); err != nil {
				return executor.Result{}, err
			}
		}
		if reply.Result == nil && reply.Refusal == nil {
			continue
		}
		return e.finishBatch(reply)
	}
}

// writeResponse writes data to the client. While a slow client blocks it, no
// frames are read, which applies back pressure to the holder.
func (e *remoteExchange) writeResponse(reply *peerpb.ExecuteAnswer, timeout time.Duration, w io.Writer) error {
	e.conn.stopReplyTimer()
	if _, err := w.Write(reply.Data); err != nil {
		e.discardConn()
		return executor.RefuseUnknown(executor.CodeOutcomeUnknown, "caller does not take the answer: "+err.Error())
	}
	e.conn.restartReplyTimer(timeout + replyTimeoutMargin)
	return nil
}

// finishBatch ends a batch after the last frame of its reply.
func (e *remoteExchange) finishBatch(reply *peerpb.ExecuteAnswer) (executor.Result, error) {
	e.openAtHolder = reply.Open
	result := resultFromWire(reply.Result)
	refusal := reply.Refusal
	if reply.Last {
		e.conn.endBatch()
		e.conn.discard()
		e.conn = nil
	} else {
		e.releaseConn()
	}
	if refusal == nil {
		return result, nil
	}
	r := refusalFromWire(refusal)
	e.unusable = r.Outcome != executor.NotRun && r.Outcome != executor.HeldElsewhere
	return executor.Result{}, r
}

// Close implements executor.Exchange.
func (e *remoteExchange) Close() error {
	conn := e.conn
	e.conn = nil
	e.unusable = true
	if conn == nil {
		return nil
	}
	request := peerpb.ExecuteRequest{Version: ProtocolVersion, Number: conn.lastNumber, Close: true}
	if err := conn.stream.MsgSend(&request, conn.encoding); err != nil {
		conn.discard()
		return errors.Wrap(err, "close exchange")
	}
	e.opener.Client.releaseStreamConn(conn)
	return nil
}

// connectionLost returns the refusal of a batch that was at least partly sent
// before the connection was lost.
func connectionLost(err error) *executor.Refusal {
	return executor.RefuseUnknown(executor.CodeOutcomeUnknown, fmt.Sprintf("connection to the holder lost: %v", err))
}
