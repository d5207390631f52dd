package messenger

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"

	"github.com/endiveturn/endiveturn/messenger/peerpb"
)

const executeRPC = "/endiveturn.peer.Peer/Execute"

// writeTimeout bounds a single write. Peers read requests at all times, so that a
// peer that blocks a write for longer counts as failed.
const writeTimeout = 5 * time.Second

// A streamConn is a connection with one Execute stream, which carries one
// exchange at a time. It is pooled between exchanges and discarded after any
// error.
type streamConn struct {
	*drpcconn.Conn
	address   string
	transport *transport
	stream    drpc.Stream
	encoding  drpc.Encoding
	// lastNumber is the number of the last batch sent.
	lastNumber uint64
	// batch and reply are reused to avoid allocations.
	batch peerpb.Batch
	reply peerpb.ExecuteAnswer
	// onDiscard is called once when the connection is discarded; it may be nil.
	onDiscard func(*streamConn)

	mu sync.Mutex
	// replyTimer calls discardIfOverdue at replyDeadline.
	replyTimer *time.Timer
	// replyDeadline is the time until which the peer must send the next frame; zero
	// while no frame is expected.
	replyDeadline time.Time
	// awaitedNumber is the number of the batch whose reply is awaited, or 0.
	awaitedNumber uint64
	// cancelled is set if the awaited batch was cancelled, which shortens the reply
	// timeout.
	cancelled bool
	discarded bool
}

// closedChannel is the result of Unblocked.
var closedChannel = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// newStreamConn opens the stream on a connection. Nothing is sent before the
// handshake.
func newStreamConn(t *transport, address string, onDiscard func(*streamConn)) (*streamConn, error) {
	c := &streamConn{
		Conn:      drpcconn.NewWithOptions(t, drpcconn.Options{Manager: managerOptions(maxReadBuffer)}),
		address:   address,
		transport: t,
		encoding:  limitedEncoding{Encoding: protoEncoding{}, sendLimit: maxFrame, receiveLimit: maxFrame},
		onDiscard: onDiscard,
	}
	stream, err := c.NewStream(context.Background(), executeRPC, c.encoding)
	if err != nil {
		_ = c.Conn.Close()
		return nil, errors.Wrapf(err, "open stream to %s", address)
	}
	c.stream = stream
	c.replyTimer = time.AfterFunc(time.Hour, c.discardIfOverdue)
	c.replyTimer.Stop()
	return c, nil
}

func managerOptions(buffer int) drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: buffer}}
}

// handshake waits until the peer serves the stream. Without it, a batch would end
// with an unknown outcome if only the kernel of the peer accepts connections, as
// it does while the process hangs or has just stopped.
func (c *streamConn) handshake(ctx context.Context, timeout time.Duration) error {
	c.restartReplyTimer(timeout)
	defer c.stopReplyTimer()
	stop := context.AfterFunc(ctx, c.discard)
	defer stop()
	request := peerpb.ExecuteRequest{Version: ProtocolVersion, Hello: true}
	if err := c.stream.MsgSend(&request, c.encoding); err != nil {
		return errors.Wrapf(err, "greet %s", c.address)
	}
	reply, err := c.receive()
	if err != nil {
		return errors.Wrapf(err, "greet %s", c.address)
	}
	if reply.GetRefusal() != nil {
		return errors.Wrapf(refusalFromWire(reply.GetRefusal()), "greet %s", c.address)
	}
	if !reply.GetHello() {
		return errors.Errorf("%s sent another frame before its greeting", c.address)
	}
	return nil
}

// Unblocked implements drpcpool.Conn. The connection counts as unblocked although
// its stream is always open, since the stream of a pooled connection is idle.
func (c *streamConn) Unblocked() <-chan struct{} { return closedChannel }

// Close discards the connection. The pool calls it for idle connections that it
// removes.
func (c *streamConn) Close() error {
	c.discard()
	return nil
}

// discard closes the connection, which interrupts a read or write in progress.
func (c *streamConn) discard() {
	c.mu.Lock()
	if c.discarded {
		c.mu.Unlock()
		return
	}
	c.discarded = true
	c.replyTimer.Stop()
	c.mu.Unlock()
	_ = c.transport.Close()
	// Close waits for drpc's goroutines, one of which may be blocked on a frame that
	// is no longer read.
	go func() { _ = c.Conn.Close() }()
	if c.onDiscard != nil {
		c.onDiscard(c)
	}
}

// beginBatch returns the number of the next batch and starts the timer for its
// reply.
func (c *streamConn) beginBatch(timeout time.Duration) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastNumber++
	c.awaitedNumber = c.lastNumber
	c.cancelled = false
	c.startReplyTimer(timeout)
	return c.lastNumber
}

// restartReplyTimer allows the peer the timeout from now on to send the next
// frame.
func (c *streamConn) restartReplyTimer(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startReplyTimer(timeout)
}

// stopReplyTimer stops the timer while no frame is expected, as during a write to
// the client.
func (c *streamConn) stopReplyTimer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replyDeadline = time.Time{}
	c.replyTimer.Stop()
}

// endBatch stops the timer after the end of the batch.
func (c *streamConn) endBatch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaitedNumber = 0
	c.replyDeadline = time.Time{}
	c.replyTimer.Stop()
}

func (c *streamConn) startReplyTimer(timeout time.Duration) {
	if c.discarded {
		return
	}
	if c.cancelled {
		timeout = min(timeout, cancelReplyTimeout)
	}
	c.replyDeadline = time.Now().Add(timeout)
	c.replyTimer.Reset(timeout)
}

// discardIfOverdue discards the connection if the reply deadline has passed. The
// timer may have fired just as the reply arrived.
func (c *streamConn) discardIfOverdue() {
	c.mu.Lock()
	overdue := !c.replyDeadline.IsZero() && !time.Now().Before(c.replyDeadline)
	c.mu.Unlock()
	if overdue {
		c.discard()
	}
}

// cancelBatch requests that the peer cancel the batch if its reply is still
// awaited. The connection is discarded unless the reply arrives within
// cancelReplyTimeout. The peer ignores a late cancel, since it carries the
// number of an earlier batch.
func (c *streamConn) cancelBatch(number uint64) {
	c.mu.Lock()
	awaited := c.awaitedNumber == number && !c.discarded
	if awaited {
		c.cancelled = true
		c.startReplyTimer(cancelReplyTimeout)
	}
	c.mu.Unlock()
	if !awaited {
		return
	}
	request := peerpb.ExecuteRequest{Version: ProtocolVersion, Number: number, Cancel: true}
	if err := c.stream.MsgSend(&request, c.encoding); err != nil {
		c.discard()
	}
}

// receive reads the next frame into reply.
func (c *streamConn) receive() (*peerpb.ExecuteAnswer, error) {
	c.reply.Reset()
	err := c.stream.MsgRecv(&c.reply, c.encoding)
	return &c.reply, err
}
