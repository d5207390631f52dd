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
	// answerPatience is how long after the deadline of a batch the holder may
	// take to say that it passed; then the holder counts as gone.
	answerPatience = 2 * time.Second
	// cancelPatience is the same after a cancel.
	cancelPatience = 3 * time.Second
)

// A remoteExchange is an exchange with a service held by another host. It has a
// line only between the first batch and the end of the transaction.
type remoteExchange struct {
	opener     *RemoteOpener
	address    string
	attributes executor.Attributes
	line       *line
	// open says that the holder has the exchange open.
	open bool
	// broken says that the exchange cannot be used any more.
	broken bool
}

// Run implements executor.Exchange. Nothing is written to w unless it is part of
// the answer, so that a read whose outcome is unknown may be repeated if w got
// no byte.
func (e *remoteExchange) Run(ctx context.Context, batch executor.Batch, w io.Writer) (executor.Result, error) {
	if e.broken {
		return executor.Result{}, executor.RefuseUnknown(executor.CodeOutcomeUnknown, "exchange ended before")
	}
	deadline, refusal := remaining(ctx, batch.Deadline)
	if refusal != nil {
		return executor.Result{}, refusal
	}
	if e.line == nil {
		if refusal := e.acquire(ctx); refusal != nil {
			return executor.Result{}, refusal
		}
	}
	number := e.line.begin(deadline + answerPatience)
	if err := e.send(number, &batch, deadline); err != nil {
		return executor.Result{}, err
	}
	l := e.line
	stop := context.AfterFunc(ctx, func() { l.cancelBatch(number) })
	result, err := e.collect(number, deadline, w)
	stop()
	return result, err
}

// remaining returns the time left for a batch.
func remaining(ctx context.Context, deadline time.Duration) (time.Duration, *executor.Refusal) {
	if ctx.Err() != nil {
		return 0, executor.RefuseNotRun(executor.CodeQueryCanceled, "canceled before it was sent")
	}
	if until, ok := ctx.Deadline(); ok {
		deadline = min(deadline, time.Until(until))
	}
	if deadline <= 0 {
		return 0, executor.RefuseNotRun(executor.CodeTooManyQueued, "deadline passed before it was sent")
	}
	return deadline, nil
}

func (e *remoteExchange) acquire(ctx context.Context) *executor.Refusal {
	l, err := e.opener.Client.takeLine(ctx, e.address)
	if err != nil {
		return executor.RefuseNotRun(executor.CodeCannotServe, "no connection to the holder: "+err.Error())
	}
	e.line = l
	e.open = false
	return nil
}

// fail gives up the line after a fault. An open transaction dies with it.
func (e *remoteExchange) fail() {
	if e.line != nil {
		e.line.end()
		e.line.discard()
		e.line = nil
	}
	e.broken = true
}

// release returns the line after a batch that left no exchange open.
func (e *remoteExchange) release() {
	e.line.end()
	if !e.open {
		e.opener.Client.putLine(e.line)
		e.line = nil
	}
}

// send writes the frames of a batch.
func (e *remoteExchange) send(number uint64, batch *executor.Batch, deadline time.Duration) error {
	l := e.line
	wire := &l.batch
	batchToWire(batch, deadline, wire)
	// The caller owns the messages; an idle line must not keep them alive.
	defer wire.Reset()
	written := l.transport.writes.Load()
	var err error
	if inlineSize(batch) <= maxInline {
		err = e.sendFrame(&peerpb.ExecuteRequest{Batch: wire}, number, true)
	} else {
		err = e.sendParts(number, wire)
	}
	switch {
	case err == nil:
		return nil
	case errors.Is(err, ErrTooLarge):
		e.release()
		return executor.RefuseNotRun(executor.CodeTooLarge, "batch too large")
	case l.transport.writes.Load() == written:
		return e.unsent("connection to the holder lost before the batch was sent", executor.NotRun)
	case e.ended():
		return e.unsent("host stopping", executor.Moved)
	default:
		e.fail()
		return lost(err)
	}
}

// ended reports whether the host had ended the stream before a send failed. Its
// stream is terminated then, so that the read does not wait.
func (e *remoteExchange) ended() bool {
	_ = e.line.transport.Close()
	_, err := e.line.receive()
	return errors.Is(err, io.EOF)
}

// unsent is the refusal of a batch of which the holder got nothing, on a line
// that is of no more use. A transaction that was open has ended with the line.
func (e *remoteExchange) unsent(message string, outcome executor.Outcome) error {
	inTransaction := e.open
	e.fail()
	if inTransaction {
		return &executor.Refusal{
			Code: executor.CodeRolledBack, Message: message + "; transaction rolled back", Outcome: executor.RolledBack,
		}
	}
	e.broken = false
	refusal := executor.RefuseNotRun(executor.CodeCannotServe, message)
	refusal.Outcome = outcome
	return refusal
}

// inlineSize estimates the encoded size of a batch from its parts.
func inlineSize(batch *executor.Batch) int {
	size := len(batch.Messages)
	for _, s := range batch.Statements {
		size += len(s.Name) + len(s.Query) + 6*len(s.ParameterOIDs) + 16
	}
	return size
}

func (e *remoteExchange) sendFrame(frame *peerpb.ExecuteRequest, number uint64, first bool) error {
	frame.Version = ProtocolVersion
	frame.Number = number
	if first && !e.open {
		frame.Open = attributesToWire(e.attributes)
	}
	return e.line.stream.MsgSend(frame, e.line.encoding)
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

// collect reads the answer to a batch that was sent.
func (e *remoteExchange) collect(number uint64, deadline time.Duration, w io.Writer) (executor.Result, error) {
	for {
		answer, err := e.line.receive()
		if errors.Is(err, io.EOF) {
			// The host ended the stream, so that it has not run this batch.
			return executor.Result{}, e.unsent("host stopping", executor.Moved)
		}
		if err != nil {
			e.fail()
			return executor.Result{}, lost(err)
		}
		if answer.Number != number {
			e.fail()
			return executor.Result{}, lost(errors.Errorf("got answer %d for batch %d", answer.Number, number))
		}
		if len(answer.Data) > 0 {
			if err := e.deliver(answer, deadline, w); err != nil {
				return executor.Result{}, err
			}
		}
		if answer.Result == nil && answer.Refusal == nil {
			continue
		}
		return e.finish(answer)
	}
}

// deliver hands data to the caller. A slow caller leaves later frames unread,
// which stops the holder.
func (e *remoteExchange) deliver(answer *peerpb.ExecuteAnswer, deadline time.Duration, w io.Writer) error {
	e.line.pause()
	if _, err := w.Write(answer.Data); err != nil {
		e.fail()
		return executor.RefuseUnknown(executor.CodeOutcomeUnknown, "caller does not take the answer: "+err.Error())
	}
	e.line.await(deadline + answerPatience)
	return nil
}

// finish ends a batch whose answer is complete.
func (e *remoteExchange) finish(answer *peerpb.ExecuteAnswer) (executor.Result, error) {
	e.open = answer.Open
	result := resultFromWire(answer.Result)
	refusal := answer.Refusal
	if answer.Last {
		e.line.end()
		e.line.discard()
		e.line = nil
	} else {
		e.release()
	}
	if refusal == nil {
		return result, nil
	}
	r := refusalFromWire(refusal)
	e.broken = r.Outcome != executor.NotRun && r.Outcome != executor.Moved
	return executor.Result{}, r
}

// Close implements executor.Exchange.
func (e *remoteExchange) Close() error {
	l := e.line
	e.line = nil
	e.broken = true
	if l == nil {
		return nil
	}
	request := peerpb.ExecuteRequest{Version: ProtocolVersion, Number: l.number, Close: true}
	if err := l.stream.MsgSend(&request, l.encoding); err != nil {
		l.discard()
		return errors.Wrap(err, "close exchange")
	}
	e.opener.Client.putLine(l)
	return nil
}

// lost is the refusal of a batch that was sent, or partly sent, when the
// connection broke.
func lost(err error) *executor.Refusal {
	return executor.RefuseUnknown(executor.CodeOutcomeUnknown, fmt.Sprintf("connection to the holder lost: %v", err))
}
