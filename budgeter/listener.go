package budgeter

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// firstRequestTimeout is by default the time within which a connection of another host or of
	// HTTP has to complete its first request.
	firstRequestTimeout = 10 * time.Second
	// maxFirstRequest by default bounds the size of that request in bytes. Another host's has no
	// records, and about 40 KB for the usage of 2,000 customers.
	maxFirstRequest = 128 << 10
	// accountingStep is the number of bytes received beyond which they are counted,
	// so that ordinary requests cost nothing.
	accountingStep = 16 << 10
	// requestCopies is how often a request that is being received is in memory: drpc
	// collects frames in a buffer that it doubles and packets in another one.
	requestCopies = 3
)

// A Listener counts the connections of another listener in a budget and closes those
// that it refuses. A connection's memory is what it has received since it last sent
// something; for another host, what has arrived of an incomplete message stays counted, since
// heartbeats and responses to earlier requests are sent meanwhile.
type Listener struct {
	net.Listener
	Budget *Budget
	Class  Class
	// Refusal is sent on connections that are refused, so that the other side can tell a
	// refusal from a failure; if it is empty, they are only closed.
	Refusal []byte

	// refusing is the number of connections on which the refusal is being sent.
	refusing atomic.Int32
}

const (
	// maxRefusing bounds the connections on which a refusal is being sent, which take
	// descriptors beyond the limits; more are closed at once.
	maxRefusing = 16
	// refusalTimeout bounds the sending of a refusal and the wait until the other side
	// has read it: closing a connection with unread data resets it, which may drop the
	// refusal. maxRefusedBytes bounds what is read meanwhile.
	refusalTimeout  = 200 * time.Millisecond
	maxRefusedBytes = 64 << 10
)

// refuse sends the refusal and closes the connection.
func (l *Listener) refuse(conn net.Conn) {
	defer conn.Close()
	if conn.SetDeadline(time.Now().Add(refusalTimeout)) != nil {
		return
	}
	if _, err := conn.Write(l.Refusal); err != nil {
		return
	}
	if closer, ok := conn.(interface{ CloseWrite() error }); ok && closer.CloseWrite() != nil {
		return
	}
	// An error is of no consequence, as the connection is closed next.
	_, _ = io.CopyN(io.Discard, conn, maxRefusedBytes)
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		account, err := l.Budget.Open(l.Class, Address(conn), func() { _ = conn.Close() })
		if err != nil {
			l.startRefusing(conn)
			continue
		}
		c := &countedConn{Conn: conn, account: account}
		if l.Class == Peers {
			c.frames = new(frameTracker)
		}
		if conn.SetReadDeadline(time.Now().Add(orDefault(l.Budget.Limits.FirstRequestTimeout, firstRequestTimeout))) != nil {
			_ = c.Close()
			continue
		}
		return c, nil
	}
}

// startRefusing refuses a connection in the background, without a wait if too many are
// being refused.
func (l *Listener) startRefusing(conn net.Conn) {
	if len(l.Refusal) == 0 {
		_ = conn.Close()
		return
	}
	if l.refusing.Add(1) > maxRefusing {
		l.refusing.Add(-1)
		_ = conn.Close()
		return
	}
	go func() {
		defer l.refusing.Add(-1)
		l.refuse(conn)
	}()
}

// Address returns the IP address of the other side of a connection.
func Address(conn net.Conn) string {
	address := conn.RemoteAddr().String()
	if host, _, err := net.SplitHostPort(address); err == nil {
		return host
	}
	return address
}

// A countedConn is a connection with an account.
type countedConn struct {
	net.Conn
	account *Account

	mu sync.Mutex
	// frames follows the messages of another host; nil if the connection is none of one.
	frames *frameTracker
	// received is the number of bytes received since the last write, and counted is
	// the part of it that the account has.
	received, counted int64
	// proven is set by the first write.
	proven bool
}

// Account returns the account of the connection.
func (c *countedConn) Account() *Account { return c.account }

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.received == 0 {
		c.account.Begin()
	}
	c.received += int64(n)
	if c.frames != nil {
		c.frames.track(p[:n])
	}
	if c.received < c.counted+accountingStep {
		return n, err
	}
	refusal := c.account.Resize(Message, requestCopies*c.received)
	if !c.proven && c.received > orDefault(c.account.budget.Limits.MaxFirstRequest, maxFirstRequest) {
		refusal = ErrFirstRequest
	}
	if refusal != nil {
		c.account.Refuse(refusal)
		return 0, refusal
	}
	c.counted = c.received
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.proven {
		c.proven = true
		if err == nil {
			err = c.SetReadDeadline(time.Time{})
		}
	}
	c.received = 0
	if c.frames != nil {
		c.received = c.frames.incomplete
	}
	if c.counted > c.received {
		c.counted = c.received
		_ = c.account.Resize(Message, requestCopies*c.received) // less is never refused
	}
	c.account.Complete()
	return n, err
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.account.End()
	return c.Conn.Close()
}
