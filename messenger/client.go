// Package messenger is the protocol between the hosts: heartbeats, the fetch of
// configurations, small requests, and the exchanges that an entry host runs at
// the holder of a service.
package messenger

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"

	"github.com/endiveturn/endiveturn/messenger/peerpb"
)

const (
	defaultIdle        = 64
	defaultIdleTimeout = time.Minute
	defaultDialTimeout = 2 * time.Second
	// unaryIdle is the number of idle connections per peer for small requests,
	// which are short and seldom overlap.
	unaryIdle = 2
)

// ErrClosed says that the client was closed.
var ErrClosed = errors.New("messenger client closed")

// A Client calls other hosts. Its exported fields are set before first use.
type Client struct {
	// Dial opens a connection; nil dials TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// MaxIdle is the number of idle connections for exchanges kept per peer;
	// 0 stands for 64.
	MaxIdle int
	// IdleTimeout is how long an idle connection is kept; 0 stands for 1 min.
	IdleTimeout time.Duration
	// DialTimeout bounds the opening of a connection and then the wait for the
	// peer's greeting; 0 stands for 2 s.
	DialTimeout time.Duration
	// MaxBatch is the largest encoded batch in bytes; 0 stands for 16 MB.
	MaxBatch int
	// Logger may be nil.
	Logger *slog.Logger

	setUp sync.Once
	lines *drpcpool.Pool[string, *line]
	unary *drpcpool.Pool[unaryKey, *unaryConn]

	mu     sync.Mutex
	closed bool
	// used holds the lines in use and idle, by address.
	used map[string]map[*line]struct{}
	// small holds the connections for small requests, by address.
	small map[string]map[*unaryConn]struct{}
}

// A unaryKey names a pool of connections for small requests. Sets have their
// own, since only these connections accept large frames.
type unaryKey struct {
	address string
	sets    bool
}

// A unaryConn is a connection for small requests, closed after any fault but an
// error that the peer's handler returned.
type unaryConn struct {
	*drpcconn.Conn
	key    unaryKey
	client *Client
}

// Invoke implements drpc.Conn.
func (c *unaryConn) Invoke(ctx context.Context, rpc string, encoding drpc.Encoding, in, out drpc.Message) error {
	limited := limitedEncoding{Encoding: encoding, sendLimit: maxFrame, receiveLimit: maxFrame}
	if c.key.sets {
		limited.receiveLimit = maxSetFrame
	}
	err := c.Conn.Invoke(ctx, rpc, limited, in, out)
	if err != nil && !fromHandler(err) {
		_ = c.Close()
	}
	return err
}

// Close implements drpc.Conn.
func (c *unaryConn) Close() error {
	c.client.mu.Lock()
	delete(c.client.small[c.key.address], c)
	if len(c.client.small[c.key.address]) == 0 {
		delete(c.client.small, c.key.address)
	}
	c.client.mu.Unlock()
	return c.Conn.Close()
}

func (c *Client) init() {
	c.setUp.Do(func() {
		timeout := c.IdleTimeout
		if timeout == 0 {
			timeout = defaultIdleTimeout
		}
		idle := c.MaxIdle
		if idle == 0 {
			idle = defaultIdle
		}
		c.lines = drpcpool.New[string, *line](drpcpool.Options{Expiration: timeout, KeyCapacity: idle})
		c.unary = drpcpool.New[unaryKey, *unaryConn](drpcpool.Options{Expiration: timeout, KeyCapacity: unaryIdle})
		c.used = make(map[string]map[*line]struct{})
		c.small = make(map[string]map[*unaryConn]struct{})
	})
}

func (c *Client) maxBatch() int {
	if c.MaxBatch == 0 {
		return defaultMaxBatch
	}
	return c.MaxBatch
}

func (c *Client) dialTimeout() time.Duration {
	if c.DialTimeout == 0 {
		return defaultDialTimeout
	}
	return c.DialTimeout
}

// dial opens a connection within the dial timeout.
func (c *Client) dial(ctx context.Context, address string) (*transport, error) {
	ctx, cancel := context.WithTimeout(ctx, c.dialTimeout())
	defer cancel()
	dial := c.Dial
	if dial == nil {
		dial = func(ctx context.Context, address string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", address)
		}
	}
	conn, err := dial(ctx, address)
	if err != nil {
		return nil, errors.Wrapf(err, "dial %s", address)
	}
	return &transport{Conn: conn, writeTimeout: writeTimeout}, nil
}

// takeLine returns an idle line to the address or opens one.
func (c *Client) takeLine(ctx context.Context, address string) (*line, error) {
	c.init()
	for {
		l, ok := c.lines.Take(address)
		if !ok {
			return c.openLine(ctx, address)
		}
		select {
		case <-l.Closed():
			l.discard()
		default:
			return l, nil
		}
	}
}

func (c *Client) openLine(ctx context.Context, address string) (*line, error) {
	t, err := c.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	l, err := newLine(t, address, c.forget)
	if err != nil {
		return nil, err
	}
	if err := l.hello(ctx, c.dialTimeout()); err != nil {
		l.discard()
		return nil, err
	}
	c.mu.Lock()
	closed := c.closed
	if !closed {
		if c.used[address] == nil {
			c.used[address] = make(map[*line]struct{})
		}
		c.used[address][l] = struct{}{}
	}
	c.mu.Unlock()
	if closed {
		l.discard()
		return nil, errors.WithStack(ErrClosed)
	}
	go func() {
		// The pool drops lines that have broken without closing them.
		<-l.Closed()
		l.discard()
	}()
	return l, nil
}

// putLine returns a line whose exchange has ended cleanly.
func (c *Client) putLine(l *line) {
	c.mu.Lock()
	closed := c.closed
	c.mu.Unlock()
	if closed {
		l.discard()
		return
	}
	select {
	case <-l.Closed():
		l.discard()
	default:
		c.lines.Put(l.address, l)
	}
}

func (c *Client) forget(l *line) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.used[l.address], l)
	if len(c.used[l.address]) == 0 {
		delete(c.used, l.address)
	}
}

// peer returns the generated client for an address.
func (c *Client) peer(address string, sets bool) peerpb.DRPCPeerClient {
	c.init()
	key := unaryKey{address: address, sets: sets}
	return peerpb.NewDRPCPeerClient(c.unary.Get(context.Background(), key, c.openUnary))
}

func (c *Client) openUnary(ctx context.Context, key unaryKey) (*unaryConn, error) {
	t, err := c.dial(ctx, key.address)
	if err != nil {
		return nil, err
	}
	buffer := readBuffer
	if key.sets {
		buffer = readSetBuffer
	}
	conn := &unaryConn{
		Conn: drpcconn.NewWithOptions(t, drpcconn.Options{Manager: managerOptions(buffer)}), key: key, client: c,
	}
	c.mu.Lock()
	closed := c.closed
	if !closed {
		if c.small[key.address] == nil {
			c.small[key.address] = make(map[*unaryConn]struct{})
		}
		c.small[key.address][conn] = struct{}{}
	}
	c.mu.Unlock()
	if closed {
		_ = conn.Conn.Close()
		return nil, errors.WithStack(ErrClosed)
	}
	go func() {
		<-conn.Closed()
		_ = conn.Close()
	}()
	return conn, nil
}

// Drop closes all connections to an address, for a host that has failed: batches
// that wait for its answer end with an unknown outcome at once.
func (c *Client) Drop(address string) {
	c.init()
	c.mu.Lock()
	var lines []*line
	for l := range c.used[address] {
		lines = append(lines, l)
	}
	var conns []*unaryConn
	for conn := range c.small[address] {
		conns = append(conns, conn)
	}
	c.mu.Unlock()
	for _, l := range lines {
		l.discard()
	}
	for _, conn := range conns {
		_ = conn.Close()
	}
	if c.Logger != nil && len(lines) > 0 {
		c.Logger.Info("connections to peer closed", "address", address, "connections", len(lines)+len(conns))
	}
}

// Close closes all connections.
func (c *Client) Close() error {
	c.init()
	c.mu.Lock()
	c.closed = true
	addresses := make(map[string]struct{})
	for address := range c.used {
		addresses[address] = struct{}{}
	}
	for address := range c.small {
		addresses[address] = struct{}{}
	}
	c.mu.Unlock()
	for address := range addresses {
		c.Drop(address)
	}
	_ = c.lines.Close()
	_ = c.unary.Close()
	return nil
}
