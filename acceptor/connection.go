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

	"github.com/endiveturn/endiveturn/executor"
)

// Transaction states of ReadyForQuery.
const (
	statusIdle   = 'I'
	statusOpen   = 'T'
	statusFailed = 'E'
)

// errKilled ends a connection that is closed without regard for its requests.
var errKilled = errors.New("host stopped")

// A connection is one caller's. All fields but those behind mu belong to the
// goroutine that serves it, and those of the first block are fixed before the
// connection is registered.
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
	// ownSession identifies the session of a connection without a name.
	ownSession string
	// attached is set once a batch of the connection has run.
	attached   bool
	settings   settings
	statements statements
	// exchange is open during a transaction only.
	exchange executor.Exchange
	// exchangeService is the service of the last exchange. The route may lead
	// to another before the transaction ends.
	exchangeService string
	// status is the state of the transaction. It is statusFailed without an
	// exchange when the proxy rolled the transaction back.
	status byte
	// skipping is set when an answer before Sync was an error: everything up
	// to Sync is skipped.
	skipping bool
	// stopping is set once Admit said that the host stops.
	stopping bool
	// waiting is set while no part of a request has arrived.
	waiting bool
	batches int
	reader  reader
	// idleSince is when the caller began to leave an open transaction idle, in
	// ns of the Unix time; 0 while it does not.
	idleSince atomic.Int64
	// runs is the context of the runs, nil before the first; cancelRuns ends it.
	runs       context.Context
	cancelRuns context.CancelFunc

	// mu may be locked while the acceptor's is held, not the other way round.
	mu sync.Mutex
	// conn is replaced by a TLS connection at startup.
	conn net.Conn
	// running is the batch that runs now, nil if there is none.
	running *run
	killed  bool
}

// read reads from the caller. A wake-up is an os.ErrDeadlineExceeded while the
// connection waits for a request; within a request it is ignored.
func (c *connection) read(p []byte) (int, error) {
	for {
		n, err := c.conn.Read(p)
		if n > 0 || !c.registered || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if c.clearWake() {
			return 0, errKilled
		}
		if c.waiting {
			return 0, err
		}
	}
}

// Write writes to the caller within the time that an answer may stay unread.
func (c *connection) Write(p []byte) (int, error) {
	c.mu.Lock()
	timeout := c.acceptor.WriteTimeout
	if c.killed {
		timeout = killTimeout
	}
	c.conn.SetWriteDeadline(time.Now().Add(timeout))
	c.mu.Unlock()
	return c.conn.Write(p)
}

// killTimeout bounds writes to a caller whose connection is being closed.
const killTimeout = time.Second

// wake makes a read between two batches return, so that the connection is
// checked. The reason has to be in place before.
func (c *connection) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn.SetReadDeadline(time.Unix(1, 0))
}

// clearWake takes back a wake-up and reports whether the connection is killed.
func (c *connection) clearWake() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.killed {
		c.conn.SetReadDeadline(time.Time{})
	}
	return c.killed
}

// sentAheadWait is how long sentAhead waits for what the system has received.
const sentAheadWait = time.Millisecond

// sentAhead reports whether a part of another request has arrived.
func (c *connection) sentAhead() bool {
	if c.reader.buffered() == 0 && !c.isKilled() {
		c.conn.SetReadDeadline(time.Now().Add(sentAheadWait))
		c.waiting = true
		// Without data, the next read of the connection reports the reason.
		_ = c.reader.wait()
		c.waiting = false
	}
	return c.reader.buffered() > 0
}

// kill ends the connection at once, with the request that it may have.
func (c *connection) kill() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.killed = true
	if c.running != nil {
		c.running.cancel()
	}
	c.conn.SetReadDeadline(time.Unix(1, 0))
	c.conn.SetWriteDeadline(time.Now().Add(killTimeout))
}

func (c *connection) isKilled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.killed
}

// cancel cancels the batch that runs now.
func (c *connection) cancel() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running != nil {
		c.running.cancel()
	}
}

// send sends messages at once.
func (c *connection) send(messages ...pgproto3.BackendMessage) error {
	answer := newAnswer(c)
	answer.send(messages...)
	return answer.finish()
}

// serve serves batches until the connection ends.
func (c *connection) serve(ctx context.Context) {
	defer c.acceptor.remove(c)
	// Batches derive their contexts from one of the connection. Deriving them from
	// the acceptor's made all connections wait for its lock with every batch.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	err := c.serveBatches(ctx)
	c.closeExchange()
	reason := c.end(err)
	c.acceptor.Logger.Info("connection closed", "process_id", c.processID, "customer", c.customer,
		"route", c.route, "key", c.key, "batches", c.batches, "reason", reason)
	if c.acceptor.ConnectionClosed != nil {
		c.acceptor.ConnectionClosed()
	}
}

// serveBatches returns why the connection ends: a *executor.Refusal is told to
// the caller.
func (c *connection) serveBatches(ctx context.Context) error {
	if err := c.welcome(); err != nil {
		return err
	}
	for {
		if err := c.waitIdle(ctx); err != nil {
			return err
		}
		if err := c.serveRequest(ctx); err != nil {
			return err
		}
	}
}

// waitIdle waits for the first byte of a request. Between requests it ends the
// connection if the host stops or the key is revoked.
func (c *connection) waitIdle(ctx context.Context) error {
	if c.exchange != nil {
		c.idleSince.Store(c.acceptor.Now().UnixNano())
		defer c.idleSince.Store(0)
	}
	for {
		if err := c.checkIdle(); err != nil {
			return err
		}
		c.waiting = true
		err := c.reader.wait()
		c.waiting = false
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		c.stopping = c.stopping || isStopping(c.acceptor.Admit(ctx, c.key != ""))
	}
}

// checkIdle returns the reason to end the connection between two requests. A
// request that was read ahead is answered before a stop takes effect.
func (c *connection) checkIdle() error {
	if c.isKilled() {
		return errKilled
	}
	if refusal := c.checkAccess(c.acceptor.Set()); refusal != nil {
		return refusal
	}
	if c.idleTooLong() {
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

// idleTooLong reports whether the caller has left an open transaction idle for
// longer than IdleTransactionTimeout. Such a transaction keeps one of the few
// connections of the service from all other customers.
func (c *connection) idleTooLong() bool {
	since := c.idleSince.Load()
	return since != 0 && c.acceptor.Now().UnixNano()-since >= int64(c.acceptor.IdleTransactionTimeout)
}

// closeExchange ends the exchange, which rolls an open transaction back.
func (c *connection) closeExchange() {
	if c.exchange == nil {
		return
	}
	if err := c.exchange.Close(); err != nil {
		c.acceptor.Logger.Warn("exchange not closed cleanly", "process_id", c.processID, "error", err)
	}
	c.exchange = nil
}

// end tells the caller why the connection ends and closes it. It returns the
// reason for the log.
func (c *connection) end(err error) string {
	defer c.conn.Close()
	var refusal *executor.Refusal
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, net.ErrClosed):
		return "caller left"
	case errors.Is(err, errKilled):
		refusal = &executor.Refusal{Code: executor.CodeStopping, Message: "host is stopping", Outcome: executor.RolledBack}
	case !errors.As(err, &refusal):
		return err.Error()
	}
	if c.send(errorResponse("FATAL", refusal)) == nil {
		c.linger()
	}
	return refusal.Error()
}

const (
	// lingerTimeout and lingerBytes bound what is read after a fatal error.
	lingerTimeout = 200 * time.Millisecond
	lingerBytes   = 256 << 10
)

// linger reads what the caller has sent meanwhile. Closing with unread data
// makes TCP reset the connection, and the caller may lose the last message.
func (c *connection) linger() {
	half, ok := c.conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	c.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	// An error here changes nothing, as the connection is closed next.
	_, _ = io.CopyN(io.Discard, c.conn, lingerBytes)
}
