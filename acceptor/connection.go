package acceptor

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/budgeter"
	"github.com/endiveturn/endiveturn/executor"
)

// Transaction states in ReadyForQuery.
const (
	statusIdle   = 'I'
	statusOpen   = 'T'
	statusFailed = 'E'
)

// errTerminated is the reason for closing a connection without waiting for its
// request.
var errTerminated = errors.New("connection terminated by the host")

// A connection is a client connection. All fields except those guarded by mu
// belong to the goroutine that serves it; those of the first block do not
// change after registration.
type connection struct {
	acceptor  *Acceptor
	key       string
	verifier  string
	customer  string
	route     string
	service   string
	secret    uint32
	processID uint32
	startedAt time.Time

	registered bool
	// defaultSession identifies the session unless the client names one.
	defaultSession string
	// hasRunBatch is set once a batch of the connection has run.
	hasRunBatch bool
	settings    settings
	statements  preparedStatements
	// exchange is non-nil only during a transaction.
	exchange executor.Exchange
	// exchangeService is the service of the last exchange. The service of the
	// route may change before the transaction ends.
	exchangeService string
	// status is the transaction state. It is statusFailed without an exchange
	// if the proxy has rolled the transaction back.
	status byte
	// skippingToSync is set when a response before Sync contained an error: all
	// messages up to Sync are skipped.
	skippingToSync bool
	// stopping is set once Admit has reported that the host is stopping.
	stopping bool
	// awaitingRequest is set while no part of a request has arrived.
	awaitingRequest bool
	batchCount      int
	reader          reader
	// account is charged for what the client causes the process to keep; nil sets no limit.
	// paid is the size of the request that it is charged for, and kept that of its
	// prepared statements.
	account *budgeter.Account
	paid    int
	kept    int64
	// extra is what the account is charged for the batch besides its size.
	extra int64
	// messageBegan is when the process first had to wait for the rest of a request, zero
	// while it has not; messageBytes is what has arrived since.
	messageBegan time.Time
	messageBytes int
	// idleSince is the time since which the client has left an open transaction
	// idle, in ns of Unix time; 0 if it has not.
	idleSince atomic.Int64
	// batchCtx is the context for running batches, nil before the first one;
	// cancelBatchCtx cancels it.
	batchCtx       context.Context
	cancelBatchCtx context.CancelFunc

	// mu may be locked while Acceptor.mu is held, but not the other way round.
	mu sync.Mutex
	// conn is replaced by a TLS connection during startup.
	conn net.Conn
	// running is the batch in progress, nil if there is none.
	running    *batchRun
	terminated bool
}

// read reads from the client. After interruptRead it returns
// os.ErrDeadlineExceeded while the connection waits for a request; in the
// middle of a request the interrupt is ignored.
func (c *connection) read(p []byte) (int, error) {
	for {
		limited := c.registered && !c.awaitingRequest
		if limited {
			if err := c.limitMessage(); err != nil {
				return 0, err
			}
		}
		n, err := c.conn.Read(p)
		if limited {
			c.messageBytes += n
		}
		if n > 0 || !c.registered || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if c.clearInterrupt() {
			return 0, errTerminated
		}
		if c.awaitingRequest {
			return 0, err
		}
	}
}

// Write writes to the client with the write timeout of the acceptor.
func (c *connection) Write(p []byte) (int, error) {
	c.mu.Lock()
	timeout := c.acceptor.WriteTimeout
	if c.terminated {
		timeout = terminateWriteTimeout
	}
	c.conn.SetWriteDeadline(time.Now().Add(timeout))
	c.mu.Unlock()
	return c.conn.Write(p)
}

// terminateWriteTimeout limits writes to a client whose connection is being
// terminated.
const terminateWriteTimeout = time.Second

// interruptRead makes a read between two requests return, so that the
// connection is checked. The state to be checked must be set before the call.
func (c *connection) interruptRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn.SetReadDeadline(time.Unix(1, 0))
}

// clearInterrupt resets the read deadline and reports whether the connection is
// terminated.
func (c *connection) clearInterrupt() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.terminated {
		c.conn.SetReadDeadline(time.Time{})
	}
	return c.terminated
}

// pipelinedDataWait is how long hasPipelinedData waits for data that the
// operating system has already received.
const pipelinedDataWait = time.Millisecond

// hasPipelinedData reports whether a part of another request has arrived.
func (c *connection) hasPipelinedData() bool {
	if c.reader.buffered() == 0 && !c.isTerminated() {
		c.conn.SetReadDeadline(time.Now().Add(pipelinedDataWait))
		c.awaitingRequest = true
		// If there is no data, the next read of the connection returns the
		// error.
		_ = c.reader.wait()
		c.awaitingRequest = false
	}
	return c.reader.buffered() > 0
}

// terminate ends the connection at once and cancels the batch in progress.
func (c *connection) terminate() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.terminated = true
	if c.running != nil {
		c.running.cancel()
	}
	c.conn.SetReadDeadline(time.Unix(1, 0))
	c.conn.SetWriteDeadline(time.Now().Add(terminateWriteTimeout))
}

func (c *connection) isTerminated() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.terminated
}

// cancelBatch cancels the batch in progress, if any.
func (c *connection) cancelBatch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running != nil {
		c.running.cancel()
	}
}

// send writes messages to the client immediately.
func (c *connection) send(messages ...pgproto3.BackendMessage) error {
	response := newResponseWriter(c)
	response.send(messages...)
	return response.finish()
}

// serveConnection serves requests until the connection ends.
func (c *connection) serveConnection(ctx context.Context) {
	defer c.acceptor.unregister(c)
	// Batch contexts are derived from a context of the connection: when they
	// were derived from that of the acceptor, all connections contended for its
	// lock on every batch.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	err := c.serveRequests(ctx)
	c.closeExchange()
	reason := c.closeWithReason(err)
	c.acceptor.Logger.Info("connection closed", "process_id", c.processID, "customer", c.customer,
		"route", c.route, "key", c.key, "batches", c.batchCount, "reason", reason)
	if c.acceptor.ConnectionClosed != nil {
		c.acceptor.ConnectionClosed()
	}
}

// serveRequests serves requests and returns the reason why the connection ends:
// a *executor.Refusal is sent to the client.
func (c *connection) serveRequests(ctx context.Context) error {
	if err := c.sendStartupResponse(); err != nil {
		return err
	}
	for {
		c.account.Complete()
		if err := c.waitForRequest(ctx); err != nil {
			return err
		}
		c.account.Begin()
		if err := c.serveRequest(ctx); err != nil {
			return err
		}
	}
}

// waitForRequest waits for the first byte of a request. Between requests it
// returns an error that ends the connection if the host is stopping or access
// is revoked.
func (c *connection) waitForRequest(ctx context.Context) error {
	if c.exchange != nil {
		c.idleSince.Store(c.acceptor.Now().UnixNano())
		defer c.idleSince.Store(0)
	}
	for {
		if err := c.checkBetweenRequests(); err != nil {
			return err
		}
		c.awaitingRequest = true
		err := c.reader.wait()
		c.awaitingRequest = false
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		c.stopping = c.stopping || isStopping(c.acceptor.Admit(ctx, c.key != ""))
	}
}

// checkBetweenRequests returns the reason to end the connection between two
// requests, if any. Requests that are already buffered are served before a stop
// takes effect.
func (c *connection) checkBetweenRequests() error {
	if c.isTerminated() {
		return errTerminated
	}
	if refusal := c.checkAccess(c.acceptor.Config()); refusal != nil {
		return refusal
	}
	if c.idleTransactionExpired() {
		return &executor.Refusal{
			Code:    executor.CodeIdleTransaction,
			Message: "transaction was idle for too long and is rolled back", Outcome: executor.RolledBack,
		}
	}
	idle := c.status == statusIdle && c.reader.buffered() == 0
	if idle && (c.stopping || c.acceptor.isDraining()) {
		return executor.RefuseNotRun(executor.CodeStopping, "host is stopping")
	}
	return nil
}

// idleTransactionExpired reports whether the client has left an open
// transaction idle for longer than IdleTransactionTimeout. Such a transaction
// occupies one of the few connections of the service, which other customers
// then cannot use.
func (c *connection) idleTransactionExpired() bool {
	since := c.idleSince.Load()
	return since != 0 && c.acceptor.Now().UnixNano()-since >= int64(c.acceptor.IdleTransactionTimeout)
}

// closeExchange closes the exchange, which rolls back an open transaction.
func (c *connection) closeExchange() {
	if c.exchange == nil {
		return
	}
	if err := c.exchange.Close(); err != nil {
		c.acceptor.Logger.Warn("exchange_close_failed", "process_id", c.processID, "error", err)
	}
	c.exchange = nil
}

// closeWithReason sends the client the reason why the connection ends and
// closes the connection. It returns the reason for the log.
func (c *connection) closeWithReason(err error) string {
	defer c.conn.Close()
	var refusal *executor.Refusal
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, net.ErrClosed):
		return "caller left"
	case errors.Is(err, errTerminated):
		refusal = &executor.Refusal{Code: executor.CodeStopping, Message: "host is stopping", Outcome: executor.RolledBack}
	case !errors.As(err, &refusal):
		return err.Error()
	}
	if c.send(errorResponse("FATAL", refusal)) == nil {
		c.lingeringClose()
	}
	return refusal.Error()
}

const (
	// lingerTimeout and lingerMaxBytes limit how long and how much
	// lingeringClose reads after a fatal error.
	lingerTimeout  = 200 * time.Millisecond
	lingerMaxBytes = 256 << 10
)

// lingeringClose closes the sending side and reads what the client has already
// sent. Closing a socket with unread data makes TCP reset the connection, and
// the client may lose the last message.
func (c *connection) lingeringClose() {
	closer, ok := c.conn.(interface{ CloseWrite() error })
	if !ok || closer.CloseWrite() != nil {
		return
	}
	c.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	// An error is of no consequence, as the connection is closed next.
	_, _ = io.CopyN(io.Discard, c.conn, lingerMaxBytes)
}
