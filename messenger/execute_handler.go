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

// batchTimeoutMargin is added to the timeout of a batch. If the batch takes
// longer, or the peer takes longer to read a chunk of the response, the connection
// is closed. The holder itself ends batches at their deadlines.
const batchTimeoutMargin = 10 * time.Second

// An executeHandler serves one Execute stream. One goroutine reads frames and
// another one runs batches, so that a cancel request or the end of the stream
// reaches a running batch.
type executeHandler struct {
	server *Server
	stream peerpb.DRPCPeer_ExecuteStream
	// ctx is cancelled when the stream ends.
	ctx    context.Context
	cancel context.CancelFunc
	frames chan *peerpb.ExecuteRequest

	// The fields below are only accessed by the goroutine that runs batches.

	exchange executor.Exchange
	// inTransaction is set while the exchange has an open transaction.
	inTransaction bool
	// lastNumber is the number of the last complete batch received.
	lastNumber uint64
	// parts holds the received parts of a split batch.
	parts []byte
	// attributes are those of the exchange to open, or nil if the peer has not
	// requested one.
	attributes *peerpb.Attributes
	writer     responseWriter

	mu sync.Mutex
	// runningNumber is the number of the running batch, or 0; cancelRunning cancels
	// it.
	runningNumber uint64
	cancelRunning context.CancelFunc
	// cancelledNumber is the highest number of a cancelled batch.
	cancelledNumber uint64
}

func newExecuteHandler(server *Server, stream peerpb.DRPCPeer_ExecuteStream) *executeHandler {
	h := &executeHandler{server: server, stream: stream, frames: make(chan *peerpb.ExecuteRequest, 1)}
	h.ctx, h.cancel = context.WithCancel(stream.Context())
	h.writer.stream = stream
	return h
}

// run serves the stream until it ends or the server stops.
func (h *executeHandler) run() error {
	h.server.adjustCounts(0, 1)
	defer h.server.adjustCounts(0, -1)
	var reader sync.WaitGroup
	reader.Go(h.readFrames)
	err := h.handleFrames()
	h.closeExchange()
	h.cancel()
	if err == nil {
		// The peer closes its end of the stream once it has read the end of this one.
		reader.Wait()
	}
	return err
}

// handleFrames handles frames until the stream ends or the server stops.
func (h *executeHandler) handleFrames() error {
	for {
		select {
		case request, ok := <-h.frames:
			if !ok {
				return nil
			}
			if err := h.handleFrame(request); err != nil {
				return err
			}
		case <-h.server.stopping:
			return h.endStream()
		}
	}
}

// endStream ends the stream without an error, which indicates to the peer that no batch
// has run without a reply. The peer then closes its end.
func (h *executeHandler) endStream() error {
	h.closeExchange()
	return errors.Wrap(h.stream.CloseSend(), "end stream")
}

// readFrames receives frames until the stream ends, and then cancels the running
// batch.
func (h *executeHandler) readFrames() {
	defer h.cancel()
	defer close(h.frames)
	for {
		request, err := h.stream.Recv()
		if err != nil {
			return
		}
		if request.GetCancel() {
			h.cancelBatch(request.GetNumber())
			continue
		}
		select {
		case h.frames <- request:
		case <-h.ctx.Done():
			return
		}
	}
}

// cancelBatch cancels a batch, even if it was received but is not running yet.
func (h *executeHandler) cancelBatch(number uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cancelledNumber = max(h.cancelledNumber, number)
	if h.runningNumber == number && h.cancelRunning != nil {
		h.cancelRunning()
	}
}

// handleFrame handles a frame. An error ends the stream.
func (h *executeHandler) handleFrame(request *peerpb.ExecuteRequest) error {
	if request.GetClose() {
		h.closeExchange()
		return nil
	}
	if err := checkVersion(request.GetVersion()); err != nil {
		return h.sendFinalRefusal(request.GetNumber(), executor.RefuseNotRun(executor.CodeNotSupported, err.Error()), err)
	}
	if request.GetHello() {
		return errors.Wrap(h.stream.Send(&peerpb.ExecuteAnswer{Hello: true}), "greet peer")
	}
	if request.GetNumber() <= h.lastNumber {
		return errors.Errorf("batch %d came after batch %d", request.GetNumber(), h.lastNumber)
	}
	if request.GetOpen() != nil {
		h.attributes = request.GetOpen()
	}
	wire := request.GetBatch()
	if wire == nil {
		if len(h.parts)+len(request.GetPart()) > h.server.maxBatch() {
			refusal := executor.RefuseNotRun(executor.CodeTooLarge, "batch too large")
			return h.sendFinalRefusal(request.GetNumber(), refusal, errors.Wrap(ErrTooLarge, "batch"))
		}
		h.parts = append(h.parts, request.GetPart()...)
		if request.GetMore() {
			return nil
		}
		wire = new(peerpb.Batch)
		err := proto.Unmarshal(h.parts, wire)
		h.parts = nil
		if err != nil {
			return errors.Wrap(err, "decode batch")
		}
	}
	h.lastNumber = request.GetNumber()
	return h.runBatch(wire)
}

// runBatch runs a batch and sends the last frame of its reply.
func (h *executeHandler) runBatch(wire *peerpb.Batch) error {
	if refusal := h.openExchange(); refusal != nil {
		return h.sendRefusal(h.lastNumber, refusal)
	}
	batch := batchFromWire(wire)
	ctx, started := h.beginBatch()
	if !started {
		h.closeUnlessInTransaction()
		return h.sendRefusal(h.lastNumber, executor.RefuseNotRun(executor.CodeQueryCanceled, "canceled before it ran"))
	}
	timeout := batch.Timeout + batchTimeoutMargin
	timer := time.AfterFunc(timeout, h.closeTransport)
	h.writer.reset(h.lastNumber, func() { timer.Reset(timeout) })
	result, err := h.exchange.Run(ctx, batch, &h.writer)
	h.endBatch()
	defer timer.Stop()
	if h.writer.err != nil {
		return h.writer.err
	}
	reply := h.writer.finalReply()
	if err == nil {
		reply.Result = resultToWire(result)
		h.inTransaction = result.TxStatus != 'I'
		reply.Open = h.inTransaction
		sendErr := h.stream.Send(reply)
		h.closeUnlessInTransaction()
		return errors.Wrap(sendErr, "send result")
	}
	refusal := executor.AsRefusal(err)
	if refusal.Outcome != executor.NotRun && refusal.Outcome != executor.HeldElsewhere {
		h.inTransaction = false
	}
	h.closeUnlessInTransaction()
	reply.Refusal = refusalToWire(refusal)
	reply.Open = h.inTransaction
	return errors.Wrap(h.stream.Send(reply), "send refusal")
}

// openExchange opens the exchange that the peer requested, unless one is open.
func (h *executeHandler) openExchange() *executor.Refusal {
	if h.exchange != nil {
		return nil
	}
	attributes := attributesFromWire(h.attributes)
	if h.attributes == nil {
		// The peer assumes an open transaction that does not exist on this host.
		return &executor.Refusal{
			Code: executor.CodeRolledBack, Message: "transaction rolled back", Outcome: executor.RolledBack,
		}
	}
	h.attributes = nil
	if h.server.Opener == nil {
		return executor.RefuseNotRun(executor.CodeCannotServe, "host serves no exchanges")
	}
	if !h.server.admit() {
		refusal := executor.RefuseNotRun(executor.CodeStopping, "host stopping")
		refusal.Outcome = executor.HeldElsewhere
		return refusal
	}
	exchange, err := h.server.Opener.Open(h.ctx, attributes)
	if err != nil {
		h.server.adjustCounts(-1, 0)
		return executor.AsRefusal(err)
	}
	h.exchange = exchange
	h.inTransaction = false
	return nil
}

// closeUnlessInTransaction closes the exchange unless a transaction is open.
func (h *executeHandler) closeUnlessInTransaction() {
	if !h.inTransaction {
		h.closeExchange()
	}
}

// closeExchange closes the exchange, which rolls back an open transaction.
func (h *executeHandler) closeExchange() {
	if h.exchange == nil {
		return
	}
	if err := h.exchange.Close(); err != nil && h.server.Logger != nil {
		h.server.Logger.Warn("exchange_close_failed", "reason", err)
	}
	h.exchange = nil
	h.inTransaction = false
	h.server.adjustCounts(-1, 0)
}

// sendRefusal refuses a batch that has not run.
func (h *executeHandler) sendRefusal(number uint64, refusal *executor.Refusal) error {
	err := h.stream.Send(&peerpb.ExecuteAnswer{
		Number: number, Refusal: refusalToWire(refusal), Open: h.exchange != nil,
	})
	return errors.Wrap(err, "send refusal")
}

// sendFinalRefusal refuses a batch and returns reason, which ends the stream.
func (h *executeHandler) sendFinalRefusal(number uint64, refusal *executor.Refusal, reason error) error {
	h.closeExchange()
	err := h.stream.Send(&peerpb.ExecuteAnswer{Number: number, Refusal: refusalToWire(refusal), Last: true})
	if err != nil {
		return errors.Wrap(err, "send refusal")
	}
	return reason
}

// beginBatch marks the batch as running and returns its context. It returns false
// if the batch was already cancelled or the stream has ended.
func (h *executeHandler) beginBatch() (context.Context, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cancelledNumber >= h.lastNumber || h.ctx.Err() != nil {
		return nil, false
	}
	ctx, cancel := context.WithCancel(h.ctx)
	h.runningNumber, h.cancelRunning = h.lastNumber, cancel
	return ctx, true
}

// endBatch marks the running batch as ended.
func (h *executeHandler) endBatch() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cancelRunning()
	h.runningNumber, h.cancelRunning = 0, nil
}

// closeTransport closes the connection, which unblocks a write to a peer that
// does not read.
func (h *executeHandler) closeTransport() {
	h.cancel()
	if t, ok := drpcctx.Transport(h.stream.Context()); ok {
		_ = t.Close()
	}
}
