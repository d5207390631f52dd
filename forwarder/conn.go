package forwarder

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"
)

const runRPC = "/endiveturn.Forwarder/Run"

const (
	// lateTimer is the delay of a timer from which on this process counts as one that was
	// suspended or starved meanwhile, so that frames may have arrived unread.
	lateTimer = 50 * time.Millisecond
	// lateTimerGrace is how long such a process waits for these frames.
	lateTimerGrace = 100 * time.Millisecond
)

// closedChannel is the result of Unblocked.
var closedChannel = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// A conn is a connection with one drpc stream, which carries one operation at a time. A
// stream for each operation would cost two frames and two goroutines more per operation.
type conn struct {
	*drpcconn.Conn
	transport *transport
	stream    drpc.Stream
	// generation is that of its host when the connection was opened.
	generation uint64
	// number is the number of the last request.
	number uint64
	// reply is reused to avoid allocations.
	reply Reply
	// onSilent is called when the other host is silent for SilenceTimeout.
	onSilent func()

	mu    sync.Mutex
	timer *time.Timer
	now   func() time.Time
	// sinceBoot is the clock by which the other host notices late requests.
	sinceBoot func() time.Time
	openedAt  time.Time
	// awaiting is set while a response is awaited.
	awaiting bool
	// heardAt is when the last frame was received, or the request was sent.
	heardAt time.Time
	// timerDue is when the timer fires.
	timerDue time.Time
	// graceGiven is set once the timer was late.
	graceGiven bool
	deadline   time.Time
	// abandonSilent is set if the request is abandoned when the other host is silent.
	abandonSilent bool
	// cause is the error for which the connection was closed, or nil.
	cause     error
	discarded bool
}

// newConn opens the stream on a connection. Nothing is sent before the handshake.
func newConn(netConn net.Conn, now, sinceBoot func() time.Time, onSilent func()) (*conn, error) {
	t := &transport{Conn: netConn}
	options := drpcconn.Options{Manager: drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxReadBuffer}}}
	c := &conn{Conn: drpcconn.NewWithOptions(t, options), transport: t, now: now, sinceBoot: sinceBoot, openedAt: sinceBoot(), onSilent: onSilent}
	c.timer = time.AfterFunc(time.Hour, c.checkSilence)
	c.timer.Stop()
	stream, err := c.NewStream(context.Background(), runRPC, encoding{})
	if err != nil {
		c.discard()
		return nil, errors.Wrap(err, "open stream")
	}
	c.stream = stream
	return c, nil
}

// handshake waits until the other host has replied to a request without a number. A host
// whose kernel accepts connections while its process hangs is found before a statement is
// sent to it.
func (c *conn) handshake(deadline time.Time) (Reply, error) {
	return c.roundTrip(&Request{}, deadline, false)
}

// Unblocked implements drpcpool.Conn. The connection counts as unblocked although its
// stream is always open, since the stream of a pooled connection is idle.
func (c *conn) Unblocked() <-chan struct{} { return closedChannel }

// Close implements drpcpool.Conn.
func (c *conn) Close() error {
	c.discard()
	return nil
}

// isClosed reports whether the connection can't be used any more.
func (c *conn) isClosed() bool {
	select {
	case <-c.Closed():
		return true
	default:
		return false
	}
}

// discard resets the connection, which interrupts a read or write in progress.
func (c *conn) discard() {
	c.mu.Lock()
	if c.discarded {
		c.mu.Unlock()
		return
	}
	c.discarded = true
	c.timer.Stop()
	c.mu.Unlock()
	_ = c.transport.Close()
	// Close waits for drpc's goroutines, which end after the transport.
	go func() { _ = c.Conn.Close() }()
}

// roundTrip sends a request and returns the complete reply to it. Errors wrap the
// sentinel errors of this package; the connection is discarded then.
func (c *conn) roundTrip(request *Request, deadline time.Time, abandonSilent bool) (Reply, error) {
	c.startWait(deadline, abandonSilent)
	defer c.endWait()
	request.sentAt, request.validFor = c.sinceBoot().Sub(c.openedAt), deadline.Sub(c.now())
	writtenBefore := c.transport.written.Load()
	if err := c.stream.MsgSend(request, encoding{}); err != nil {
		c.discard()
		if c.transport.written.Load() == writtenBefore {
			return Reply{}, errors.Wrap(ErrNotSent, err.Error())
		}
		return Reply{}, c.lost(err)
	}
	rows := rowCollector{account: request.Statement.Account}
	for {
		if err := c.stream.MsgRecv(&c.reply, encoding{}); err != nil {
			rows.release()
			c.discard()
			return Reply{}, c.lost(err)
		}
		c.recordHeard()
		switch {
		case c.reply.heartbeat:
			continue
		case c.reply.number != request.number:
			rows.release()
			c.discard()
			return Reply{}, errors.Wrapf(ErrLost, "reply %d to request %d", c.reply.number, request.number)
		}
		rows.add(c.reply.Response.Rows)
		if !c.reply.more {
			reply := c.reply
			rows.finish(&reply.Response)
			c.reply = Reply{}
			return reply, nil
		}
	}
}

// lost returns the error of a request that may have been received.
func (c *conn) lost(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cause != nil {
		return c.cause
	}
	return errors.Wrap(ErrLost, err.Error())
}

func (c *conn) startWait(deadline time.Time, abandonSilent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaiting, c.heardAt, c.graceGiven = true, c.now(), false
	c.deadline, c.abandonSilent = deadline, abandonSilent
	c.setTimer(min(SilenceTimeout, deadline.Sub(c.heardAt)))
}

func (c *conn) setTimer(wait time.Duration) {
	if c.discarded {
		return
	}
	c.timerDue = c.now().Add(wait)
	c.timer.Reset(max(wait, time.Millisecond))
}

func (c *conn) endWait() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaiting = false
	c.timer.Stop()
}

func (c *conn) recordHeard() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heardAt = c.now()
}

// checkSilence is called by the timer. A request that must not be abandoned is awaited
// until its deadline, since its response is delivered even if it is late.
func (c *conn) checkSilence() {
	c.mu.Lock()
	silent, abandon := c.isSilent()
	c.mu.Unlock()
	if silent {
		c.onSilent()
	}
	if abandon {
		c.discard()
	}
}

// isSilent reports whether the other host has become silent, and whether the request
// is abandoned. Otherwise it sets the timer again.
func (c *conn) isSilent() (silent, abandon bool) {
	if !c.awaiting || c.discarded {
		return false, false
	}
	now := c.now()
	late := now.Sub(c.timerDue) > lateTimer
	overdue := !now.Before(c.deadline)
	silent = now.Sub(c.heardAt) >= SilenceTimeout
	switch {
	case (overdue || silent) && late && !c.graceGiven:
		c.graceGiven = true
		c.setTimer(lateTimerGrace)
		return false, false
	case overdue:
		c.cause = ErrTimeout
		return true, true
	case silent && c.abandonSilent:
		c.cause = ErrSilent
		return true, true
	case silent:
		c.setTimer(c.deadline.Sub(now))
		return true, false
	default:
		c.setTimer(min(c.heardAt.Add(SilenceTimeout).Sub(now), c.deadline.Sub(now)))
		return false, false
	}
}
