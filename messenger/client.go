// Package messenger implements the protocol between the hosts over drpc. A host
// sends heartbeats and other unary requests, fetches the configuration, and
// forwards exchanges of its clients to the holder of a service.
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
	defaultMaxIdle     = 64
	defaultIdleTimeout = time.Minute
	defaultDialTimeout = 2 * time.Second
	// maxIdleUnary is the number of idle connections per peer for unary requests,
	// which are short and rarely overlap.
	maxIdleUnary = 2
)

// ErrClosed means that the client was closed.
var ErrClosed = errors.New("messenger client closed")

// A Client sends requests to other hosts. Its exported fields must be set before
// first use. It is safe for concurrent use.
type Client struct {
	// Dial opens a network connection; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// MaxIdle is the maximum number of idle connections for exchanges per peer;
	// 0 means 64.
	MaxIdle int
	// IdleTimeout is how long an idle connection is kept open; 0 means 1 min.
	IdleTimeout time.Duration
	// DialTimeout bounds opening a connection and, separately, the handshake; 0
	// means 2 s.
	DialTimeout time.Duration
	// MaxBatch is the maximum size of an encoded batch in bytes; 0 means 16 MiB.
	MaxBatch int
	// Logger may be nil.
	Logger *slog.Logger

	initOnce   sync.Once
	streamPool *drpcpool.Pool[string, *streamConn]
	unaryPool  *drpcpool.Pool[unaryKey, *unaryConn]

	mu     sync.Mutex
	closed bool
	// streamConns holds the open connections for exchanges, idle or in use, by
	// address.
	streamConns map[string]map[*streamConn]struct{}
	// unaryConns holds the open connections for unary requests, by address.
	unaryConns map[string]map[*unaryConn]struct{}
}

// A unaryKey identifies a pool of connections for unary requests. FetchSet has its
// own pool for each address, since only its connections accept large replies.
type unaryKey struct {
	address      string
	largeReplies bool
}

// A unaryConn is a connection for unary requests. It is closed after any error
// except those returned by the peer's handler.
type unaryConn struct {
	*drpcconn.Conn
	key    unaryKey
	client *Client
}

// Invoke implements drpc.Conn.
func (c *unaryConn) Invoke(ctx context.Context, rpc string, encoding drpc.Encoding, in, out drpc.Message) error {
	limited := limitedEncoding{Encoding: encoding, sendLimit: maxFrame, receiveLimit: maxFrame}
	if c.key.largeReplies {
		limited.receiveLimit = maxConfigFrame
	}
	err := c.Conn.Invoke(ctx, rpc, limited, in, out)
	if err != nil && !isHandlerError(err) {
		_ = c.Close()
	}
	return err
}

// Close implements drpc.Conn.
func (c *unaryConn) Close() error {
	c.client.mu.Lock()
	delete(c.client.unaryConns[c.key.address], c)
	if len(c.client.unaryConns[c.key.address]) == 0 {
		delete(c.client.unaryConns, c.key.address)
	}
	c.client.mu.Unlock()
	return c.Conn.Close()
}

func (c *Client) init() {
	c.initOnce.Do(func() {
		idleTimeout := c.IdleTimeout
		if idleTimeout == 0 {
			idleTimeout = defaultIdleTimeout
		}
		maxIdle := c.MaxIdle
		if maxIdle == 0 {
			maxIdle = defaultMaxIdle
		}
		c.streamPool = drpcpool.New[string, *streamConn](drpcpool.Options{Expiration: idleTimeout, KeyCapacity: maxIdle})
		c.unaryPool = drpcpool.New[unaryKey, *unaryConn](drpcpool.Options{Expiration: idleTimeout, KeyCapacity: maxIdleUnary})
		c.streamConns = make(map[string]map[*streamConn]struct{})
		c.unaryConns = make(map[string]map[*unaryConn]struct{})
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

// dial opens a network connection within the dial timeout.
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

// acquireStreamConn returns an idle connection to the address or opens one.
func (c *Client) acquireStreamConn(ctx context.Context, address string) (*streamConn, error) {
	c.init()
	for {
		conn, ok := c.streamPool.Take(address)
		if !ok {
			return c.openStreamConn(ctx, address)
		}
		select {
		case <-conn.Closed():
			conn.discard()
		default:
			return conn, nil
		}
	}
}

func (c *Client) openStreamConn(ctx context.Context, address string) (*streamConn, error) {
	t, err := c.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	conn, err := newStreamConn(t, address, c.removeStreamConn)
	if err != nil {
		return nil, err
	}
	if err := conn.handshake(ctx, c.dialTimeout()); err != nil {
		conn.discard()
		return nil, err
	}
	c.mu.Lock()
	closed := c.closed
	if !closed {
		if c.streamConns[address] == nil {
			c.streamConns[address] = make(map[*streamConn]struct{})
		}
		c.streamConns[address][conn] = struct{}{}
	}
	c.mu.Unlock()
	if closed {
		conn.discard()
		return nil, errors.WithStack(ErrClosed)
	}
	go func() {
		// The pool drops broken connections without closing them.
		<-conn.Closed()
		conn.discard()
	}()
	return conn, nil
}

// releaseStreamConn returns a connection to the pool after its exchange has ended
// without an error.
func (c *Client) releaseStreamConn(conn *streamConn) {
	c.mu.Lock()
	closed := c.closed
	c.mu.Unlock()
	if closed {
		conn.discard()
		return
	}
	select {
	case <-conn.Closed():
		conn.discard()
	default:
		c.streamPool.Put(conn.address, conn)
	}
}

func (c *Client) removeStreamConn(conn *streamConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.streamConns[conn.address], conn)
	if len(c.streamConns[conn.address]) == 0 {
		delete(c.streamConns, conn.address)
	}
}

// peer returns the generated client for the unary requests to an address.
func (c *Client) peer(address string, largeReplies bool) peerpb.DRPCPeerClient {
	c.init()
	key := unaryKey{address: address, largeReplies: largeReplies}
	return peerpb.NewDRPCPeerClient(c.unaryPool.Get(context.Background(), key, c.openUnaryConn))
}

func (c *Client) openUnaryConn(ctx context.Context, key unaryKey) (*unaryConn, error) {
	t, err := c.dial(ctx, key.address)
	if err != nil {
		return nil, err
	}
	buffer := maxReadBuffer
	if key.largeReplies {
		buffer = maxConfigReadBuffer
	}
	conn := &unaryConn{
		Conn: drpcconn.NewWithOptions(t, drpcconn.Options{Manager: managerOptions(buffer)}), key: key, client: c,
	}
	c.mu.Lock()
	closed := c.closed
	if !closed {
		if c.unaryConns[key.address] == nil {
			c.unaryConns[key.address] = make(map[*unaryConn]struct{})
		}
		c.unaryConns[key.address][conn] = struct{}{}
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

// CloseConnections closes all connections to the address of a host that has
// failed. Batches that await a reply from it end at once with an unknown outcome.
func (c *Client) CloseConnections(address string) {
	c.init()
	c.mu.Lock()
	var streamConns []*streamConn
	for sc := range c.streamConns[address] {
		streamConns = append(streamConns, sc)
	}
	var unaryConns []*unaryConn
	for conn := range c.unaryConns[address] {
		unaryConns = append(unaryConns, conn)
	}
	c.mu.Unlock()
	for _, sc := range streamConns {
		sc.discard()
	}
	for _, conn := range unaryConns {
		_ = conn.Close()
	}
	if c.Logger != nil && len(streamConns) > 0 {
		c.Logger.Info("peer_connections_closed", "address", address, "connections", len(streamConns)+len(unaryConns))
	}
}

// Close closes all connections.
func (c *Client) Close() error {
	c.init()
	c.mu.Lock()
	c.closed = true
	addresses := make(map[string]struct{})
	for address := range c.streamConns {
		addresses[address] = struct{}{}
	}
	for address := range c.unaryConns {
		addresses[address] = struct{}{}
	}
	c.mu.Unlock()
	for address := range addresses {
		c.CloseConnections(address)
	}
	_ = c.streamPool.Close()
	_ = c.unaryPool.Close()
	return nil
}
