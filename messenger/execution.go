package messenger

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcctx"

	"github.com/endiveturn/endiveturn/executor"
	"github.com/endiveturn/endiveturn/messenger/peerpb"
)

// executionMargin is how long after its deadline a batch may still run, or a peer
// leave a part of the answer untaken, before the stream is given up. The holder
// itself ends batches at their deadline.
const executionMargin = 10 * time.Second

// An execution serves one Execute stream: one goroutine reads frames, another
// one runs batches, so that cancels and a broken stream reach a running batch.
type execution struct {
	server *Server
	stream peerpb.DRPCPeer_ExecuteStream
	// ctx ends with the stream.
	ctx    context.Context
	cancel context.CancelFunc
	frames chan *peerpb.ExecuteRequest

	// The fields below belong to the goroutine that runs batches.

	exchange executor.Exchange
	// inTransaction says that the exchange has a transaction open.
	inTransaction bool
	// number is that of the last batch that was begun.
	number uint64
	// parts collects a batch that was split.
	parts []byte
	// attributes are those of an exchange to open; nil if none was asked for.
	attributes *peerpb.Attributes
	writer     answerWriter

	mu sync.Mutex
	// running is the number of the batch that runs, 0 if none, and stop ends it.
	running uint64
	stop    context.CancelFunc
	// canceled is the highest number of a batch that was canceled.
	canceled uint64
}

func newExecution(server *Server, stream peerpb.DRPCPeer_ExecuteStream) *execution {
	x := &execution{server: server, stream: stream, frames: make(chan *peerpb.ExecuteRequest, 1)}
	x.ctx, x.cancel = context.WithCancel(stream.Context())
	x.writer.stream = stream
	return x
}

// run serves until the stream ends or the server stops.
func (x *execution) run() error {
	x.server.count(0, 1)
	defer x.server.count(0, -1)
	var reader sync.WaitGroup
	reader.Go(x.read)
	err := x.serve()
	x.closeExchange()
	x.cancel()
	if err == nil {
		// The peer closes its end after it has read that this host has.
		reader.Wait()
	}
	return err
}

// serve runs batches until the stream ends.
func (x *execution) serve() error {
	for {
		select {
		case request, ok := <-x.frames:
			if !ok {
				return nil
			}
			if err := x.handle(request); err != nil {
				return err
			}
		case <-x.server.stopping:
			return x.leave()
		}
	}
}

// leave ends the stream cleanly: the peer learns that nothing has run that was
// not answered, and closes its end.
func (x *execution) leave() error {
	x.closeExchange()
	return errors.Wrap(x.stream.CloseSend(), "end stream")
}

// read receives frames, and cancels what runs when the stream breaks.
func (x *execution) read() {
	defer x.cancel()
	defer close(x.frames)
	for {
		request, err := x.stream.Recv()
		if err != nil {
			return
		}
		if request.GetCancel() {
			x.cancelBatch(request.GetNumber())
			continue
		}
		select {
		case x.frames <- request:
		case <-x.ctx.Done():
			return
		}
	}
}

// cancelBatch cancels the batch, also if it was read but is not running yet.
func (x *execution) cancelBatch(number uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.canceled = max(x.canceled, number)
	if x.running == number && x.stop != nil {
		x.stop()
	}
}

// handle acts on a frame. An error ends the stream.
func (x *execution) handle(request *peerpb.ExecuteRequest) error {
	if request.GetClose() {
		x.closeExchange()
		return nil
	}
	if err := check(request.GetVersion()); err != nil {
		return x.refuseLast(request.GetNumber(), executor.RefuseNotRun(executor.CodeNotSupported, err.Error()), err)
	}
	if request.GetHello() {
		return errors.Wrap(x.stream.Send(&peerpb.ExecuteAnswer{Hello: true}), "greet peer")
	}
	if request.GetNumber() <= x.number {
		return errors.Errorf("batch %d came after batch %d", request.GetNumber(), x.number)
	}
	if request.GetOpen() != nil {
		x.attributes = request.GetOpen()
	}
	wire := request.GetBatch()
	if wire == nil {
		if len(x.parts)+len(request.GetPart()) > x.server.maxBatch() {
			refusal := executor.RefuseNotRun(executor.CodeTooLarge, "batch too large")
			return x.refuseLast(request.GetNumber(), refusal, errors.Wrap(ErrTooLarge, "batch"))
		}
		x.parts = append(x.parts, request.GetPart()...)
		if request.GetMore() {
			return nil
		}
		wire = new(peerpb.Batch)
		err := proto.Unmarshal(x.parts, wire)
		x.parts = nil
		if err != nil {
			return errors.Wrap(err, "decode batch")
		}
	}
	x.number = request.GetNumber()
	return x.runBatch(wire)
}

// runBatch runs a batch and sends the end of its answer.
func (x *execution) runBatch(wire *peerpb.Batch) error {
	if refusal := x.openExchange(); refusal != nil {
		return x.refuse(x.number, refusal)
	}
	batch := batchFromWire(wire)
	ctx, ok := x.begin()
	if !ok {
		x.closeIdle()
		return x.refuse(x.number, executor.RefuseNotRun(executor.CodeQueryCanceled, "canceled before it ran"))
	}
	patience := batch.Deadline + executionMargin
	guard := time.AfterFunc(patience, x.breakStream)
	x.writer.reset(x.number, func() { guard.Reset(patience) })
	result, err := x.exchange.Run(ctx, batch, &x.writer)
	x.end()
	defer guard.Stop()
	if x.writer.err != nil {
		return x.writer.err
	}
	answer := x.writer.take()
	if err == nil {
		answer.Result = resultToWire(result)
		x.inTransaction = result.TxStatus != 'I'
		answer.Open = x.inTransaction
		sendErr := x.stream.Send(answer)
		x.closeIdle()
		return errors.Wrap(sendErr, "send result")
	}
	refusal := executor.AsRefusal(err)
	if refusal.Outcome != executor.NotRun && refusal.Outcome != executor.Moved {
		x.inTransaction = false
	}
	x.closeIdle()
	answer.Refusal = refusalToWire(refusal)
	answer.Open = x.inTransaction
	return errors.Wrap(x.stream.Send(answer), "send refusal")
}

// openExchange opens the exchange that the peer asked for, unless it is open.
func (x *execution) openExchange() *executor.Refusal {
	if x.exchange != nil {
		return nil
	}
	attributes := attributesFromWire(x.attributes)
	if x.attributes == nil {
		// The peer counts on a transaction that this host does not have.
		return &executor.Refusal{
			Code: executor.CodeRolledBack, Message: "transaction rolled back", Outcome: executor.RolledBack,
		}
	}
	x.attributes = nil
	if x.server.Opener == nil {
		return executor.RefuseNotRun(executor.CodeCannotServe, "host serves no exchanges")
	}
	if !x.server.admit() {
		refusal := executor.RefuseNotRun(executor.CodeStopping, "host stopping")
		refusal.Outcome = executor.Moved
		return refusal
	}
	exchange, err := x.server.Opener.Open(x.ctx, attributes)
	if err != nil {
		x.server.count(-1, 0)
		return executor.AsRefusal(err)
	}
	x.exchange = exchange
	x.inTransaction = false
	return nil
}

// closeIdle closes the exchange unless a transaction is open.
func (x *execution) closeIdle() {
	if !x.inTransaction {
		x.closeExchange()
	}
}

// closeExchange ends the exchange, which rolls back an open transaction.
func (x *execution) closeExchange() {
	if x.exchange == nil {
		return
	}
	if err := x.exchange.Close(); err != nil && x.server.Logger != nil {
		x.server.Logger.Warn("close exchange of peer", "reason", err)
	}
	x.exchange = nil
	x.inTransaction = false
	x.server.count(-1, 0)
}

// refuse answers a batch that did not run.
func (x *execution) refuse(number uint64, refusal *executor.Refusal) error {
	err := x.stream.Send(&peerpb.ExecuteAnswer{
		Number: number, Refusal: refusalToWire(refusal), Open: x.exchange != nil,
	})
	return errors.Wrap(err, "send refusal")
}

// refuseLast answers a batch and ends the stream for the reason.
func (x *execution) refuseLast(number uint64, refusal *executor.Refusal, reason error) error {
	x.closeExchange()
	err := x.stream.Send(&peerpb.ExecuteAnswer{Number: number, Refusal: refusalToWire(refusal), Last: true})
	if err != nil {
		return errors.Wrap(err, "send refusal")
	}
	return reason
}

// begin marks the batch as running and returns its context, unless it was
// canceled before.
func (x *execution) begin() (context.Context, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.canceled >= x.number || x.ctx.Err() != nil {
		return nil, false
	}
	ctx, stop := context.WithCancel(x.ctx)
	x.running, x.stop = x.number, stop
	return ctx, true
}

// end marks that no batch runs.
func (x *execution) end() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.stop()
	x.running, x.stop = 0, nil
}

// breakStream cuts the connection, which unblocks a write that the peer does
// not take.
func (x *execution) breakStream() {
	x.cancel()
	if t, ok := drpcctx.Transport(x.stream.Context()); ok {
		_ = t.Close()
	}
}
