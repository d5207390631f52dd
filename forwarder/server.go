package forwarder

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcctx"

	"github.com/endiveturn/endiveturn/budgeter"
	"github.com/endiveturn/endiveturn/executor"
)

const (
	// replyWriteTimeout is how long another host may take to read a reply.
	replyWriteTimeout = 5 * time.Second
	// idleServerTimeout is how long a connection without an operation is kept. It is longer
	// than the other side keeps one, so that only connections that hang reach it.
	idleServerTimeout = idleConnTimeout + 30*time.Second
	// uncountedRequest is the size of a request in bytes up to which it costs no account,
	// and requestCopies how often a larger one is in memory while it runs: decoded, and as
	// it is sent to a database.
	uncountedRequest = 16 << 10
	requestCopies    = 2
)

// An Execution is an operation of another host that runs on this one.
type Execution struct {
	// Run runs a statement. It is called again only while a transaction is open. The
	// context ends when the connection does.
	Run func(ctx context.Context, request *Request) Reply
	// Close ends the operation and rolls back an open transaction.
	Close func()
}

// A Server runs the operations of other hosts. Its exported fields are set before first
// use.
type Server struct {
	// Begin returns the execution of an operation.
	Begin func(operation *Operation) Execution
	// IdleTransactionTimeout returns how long an open transaction may wait for its next
	// statement.
	IdleTransactionTimeout func() time.Duration
	// MaxOperations and MaxBytes bound the operations that run at once and the bytes of
	// their statements and responses. Operations beyond them are refused as not run.
	MaxOperations int
	MaxBytes      int64
	// SinceBoot returns the time on a clock that keeps running while the machine is
	// suspended. If it is nil, time.Now is used.
	SinceBoot func() time.Time

	stopping atomic.Bool
	// stopAt is when open operations take no further statements, nil for never.
	stopAt atomic.Pointer[time.Time]
	active atomic.Int64
	bytes  atomic.Int64
}

// Register registers the server's method.
func (s *Server) Register(mux drpc.Mux) error {
	return errors.Wrap(mux.Register(s, serviceDescription{}), "register forwarder")
}

// Stop makes the server refuse new operations and announce that it stops. Open operations
// continue.
func (s *Server) Stop() { s.stopping.Store(true) }

// StopAt sets when open transactions take no further statements: these are answered with
// aborted, so that the process does not exit while it runs them.
func (s *Server) StopAt(deadline time.Time) { s.stopAt.Store(&deadline) }

// Active returns the number of open operations.
func (s *Server) Active() int { return int(s.active.Load()) }

// serviceDescription describes the drpc service, whose messages need no generated code.
type serviceDescription struct{}

// NumMethods implements drpc.Description.
func (serviceDescription) NumMethods() int { return 1 }

// Method implements drpc.Description.
func (serviceDescription) Method(n int) (string, drpc.Encoding, drpc.Receiver, interface{}, bool) {
	if n != 0 {
		return "", nil, nil, nil, false
	}
	receive := func(server interface{}, _ context.Context, in1, _ interface{}) (drpc.Message, error) {
		return nil, server.(*Server).serve(in1.(drpc.Stream))
	}
	return runRPC, encoding{}, receive, (*Server).serve, true
}

// serve runs the operations of one stream, one after the other, until it ends.
func (s *Server) serve(stream drpc.Stream) error {
	h := &handler{server: s, stream: stream, account: accountOf(stream)}
	h.heartbeat = time.AfterFunc(time.Hour, h.sendHeartbeat)
	h.heartbeat.Stop()
	h.guard = time.AfterFunc(time.Hour, h.closeTransport)
	defer h.end()
	h.guard.Reset(idleServerTimeout)
	for {
		request := new(Request)
		if err := stream.MsgRecv(request, encoding{}); err != nil {
			// The other host has closed the connection.
			return nil
		}
		h.guard.Stop()
		delay := h.delays.delay(request.sentAt, s.sinceBoot())
		if err := h.handle(request, delay); err != nil {
			return err
		}
		h.guard.Reset(h.idleTimeout())
	}
}

func (s *Server) sinceBoot() time.Time {
	if s.SinceBoot == nil {
		return time.Now()
	}
	return s.SinceBoot()
}

// accountOf returns the account of the stream's connection, or nil.
func accountOf(stream drpc.Stream) *budgeter.Account {
	transport, ok := drpcctx.Transport(stream.Context())
	if !ok {
		return nil
	}
	counted, ok := transport.(interface{ Account() *budgeter.Account })
	if !ok {
		return nil
	}
	return counted.Account()
}

// A handler serves one stream.
type handler struct {
	server *Server
	stream drpc.Stream
	// account is charged for the responses; nil sets no limit.
	account *budgeter.Account
	// charged is set while the account is charged for a request.
	charged bool
	// execution is the open operation, nil if there is none.
	execution *Execution
	// delays measures how long requests were under way.
	delays delayMeter
	// guard closes the transport of a peer that does not read its reply, or leaves a
	// transaction open for too long.
	guard *time.Timer

	// mu guards the fields below, and the sending of frames in their order.
	mu sync.Mutex
	// running is the number of the running request, 0 if there is none.
	running   uint64
	heartbeat *time.Timer
}

// handle runs a request that was under way for the given time, and sends its reply. An error
// ends the stream.
func (h *handler) handle(request *Request, delay time.Duration) error {
	if request.number == 0 {
		return h.send(&Reply{Stopping: h.server.stopping.Load()})
	}
	size := int64(requestSize(request))
	h.server.bytes.Add(size)
	defer h.server.bytes.Add(-size)
	if stopAt := h.server.stopAt.Load(); h.execution != nil && stopAt != nil && time.Now().After(*stopAt) {
		h.closeExecution()
		return h.send(&Reply{number: request.number, Stopping: true, Response: executor.Response{
			Code: executor.CodeAborted, Text: "pool host is stopping, transaction is rolled back", State: executor.StateFailed,
		}, Reason: "pool host is stopping"})
	}
	if request.validFor > 0 && delay > request.validFor {
		return h.send(h.expire(request))
	}
	if reply := h.pay(size); reply != nil {
		reply.number = request.number
		return h.send(reply)
	}
	if h.execution == nil {
		if request.Operation != nil {
			request.Operation.Elapsed += delay
		}
		if reply := h.begin(request); reply != nil {
			h.release()
			reply.number = request.number
			return h.send(reply)
		}
	}
	request.Statement.Account = h.account
	defer h.release()
	reply := h.run(request)
	reply.number, reply.Stopping = request.number, h.server.stopping.Load()
	if reply.EndsOperation() {
		h.closeExecution()
	}
	size = int64(len(reply.Response.Rows))
	h.server.bytes.Add(size)
	defer h.server.bytes.Add(-size)
	if err := h.send(&reply); err != nil {
		return err
	}
	return nil
}

// pay charges the connection for a request of the given size until release, since
// heartbeats end the charge for what was received. It returns the refusal of a request
// for which there is no memory; nothing of it has run.
func (h *handler) pay(size int64) *Reply {
	if size <= uncountedRequest {
		return nil
	}
	err := h.account.Resize(budgeter.Session, requestCopies*size)
	switch {
	case err == nil:
		h.charged = true
		return nil
	case h.execution != nil:
		h.closeExecution()
		return &Reply{Response: executor.Response{
			Code: executor.CodeAborted, Text: "no memory for the statement, transaction is rolled back", State: executor.StateFailed,
		}, Reason: "pool host has no memory for the statement"}
	}
	return &Reply{Refused: true, Reason: "pool host has no memory for the statement"}
}

// release returns the memory of a request and its response.
func (h *handler) release() {
	_ = h.account.Resize(budgeter.Response, 0) // less is never refused
	if h.charged {
		h.charged = false
		_ = h.account.Resize(budgeter.Session, 0)
	}
}

// idleTimeout returns how long the next request may take to arrive.
func (h *handler) idleTimeout() time.Duration {
	if h.execution != nil {
		return h.server.IdleTransactionTimeout()
	}
	return idleServerTimeout
}

// expire returns the reply to a request that its sender has given up. This host hung, and the
// kernel delivers what it received before the connection was reset.
func (h *handler) expire(request *Request) *Reply {
	const reason = "request arrived too late"
	if h.execution == nil {
		return &Reply{number: request.number, Refused: true, Reason: reason}
	}
	h.closeExecution()
	return &Reply{number: request.number, Response: executor.Response{
		Code: executor.CodeAborted, Text: reason + ", transaction is rolled back", State: executor.StateFailed,
	}, Reason: reason}
}

// begin begins an operation, or returns the refusal of one that does not run here.
func (h *handler) begin(request *Request) *Reply {
	s := h.server
	switch {
	case request.Operation == nil:
		return &Reply{Response: executor.Response{
			Code: executor.CodeAborted, Text: "transaction is rolled back", State: executor.StateFailed,
		}, Reason: "no operation is open"}
	case s.stopping.Load():
		return &Reply{Refused: true, Stopping: true, Reason: "pool host is stopping"}
	case s.active.Load() >= int64(s.MaxOperations) || s.bytes.Load() > s.MaxBytes:
		return &Reply{Refused: true, Reason: "pool host has no room for operations"}
	}
	s.active.Add(1)
	execution := s.Begin(request.Operation)
	h.execution = &execution
	return nil
}

// run runs a statement and sends heartbeats meanwhile.
func (h *handler) run(request *Request) Reply {
	h.mu.Lock()
	h.running = request.number
	h.heartbeat.Reset(heartbeatInterval)
	h.mu.Unlock()
	defer func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.running = 0
		h.heartbeat.Stop()
	}()
	return h.execution.Run(h.stream.Context(), request)
}

func (h *handler) sendHeartbeat() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.running == 0 {
		return
	}
	// If this fails the connection has ended, which the end of the request notices.
	_ = h.stream.MsgSend(&Reply{number: h.running, heartbeat: true, Reason: answeredReason}, encoding{})
	h.heartbeat.Reset(heartbeatInterval)
}

// send sends a reply, in several frames if it has many rows.
func (h *handler) send(reply *Reply) error {
	h.guard.Reset(replyWriteTimeout)
	defer h.guard.Stop()
	rows := reply.Response.Rows
	for len(rows) > maxRowsPerFrame {
		part := &Reply{number: reply.number, more: true, Reason: answeredReason}
		part.Response.Rows = rows[:maxRowsPerFrame]
		rows = rows[maxRowsPerFrame:]
		if err := h.stream.MsgSend(part, encoding{}); err != nil {
			return errors.Wrap(err, "send rows")
		}
		h.guard.Reset(replyWriteTimeout)
	}
	reply.Response.Rows = rows
	return errors.Wrap(h.stream.MsgSend(reply, encoding{}), "send reply")
}

// closeExecution ends the open operation, which rolls back its transaction.
func (h *handler) closeExecution() {
	if h.execution == nil {
		return
	}
	h.execution.Close()
	h.execution = nil
	h.server.active.Add(-1)
}

func (h *handler) end() {
	h.guard.Stop()
	h.closeExecution()
}

// closeTransport closes the connection.
func (h *handler) closeTransport() {
	if t, ok := drpcctx.Transport(h.stream.Context()); ok {
		_ = t.Close()
	}
}
