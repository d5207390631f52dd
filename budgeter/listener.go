package budgeter

import (
	"net"
	"sync"
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
// something.
type Listener struct {
	net.Listener
	Budget *Budget
	Class  Class
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
			_ = conn.Close()
			continue
		}
		c := &countedConn{Conn: conn, account: account}
		if conn.SetReadDeadline(time.Now().Add(orDefault(l.Budget.Limits.FirstRequestTimeout, firstRequestTimeout))) != nil {
			_ = c.Close()
			continue
		}
		return c, nil
	}
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
	if c.counted > 0 {
		c.counted = 0
		_ = c.account.Resize(Message, 0) // less is never refused
	}
	c.account.Complete()
	return n, err
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.account.End()
	return c.Conn.Close()
}
