package storer

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
)

const (
	// DefaultTimeout bounds a call where Client.Timeout is 0. The store
	// answers in milliseconds, and hosts count as cut off from it after 2 s.
	DefaultTimeout = time.Second
	// maxAnswerBytes bounds an answer: a page of pageEntries values of the
	// store's limit of 1 MB, and their keys.
	maxAnswerBytes = (pageEntries + 1) << 20
	// reconnectMax bounds the pause between two attempts to connect to an
	// address, so that a store that returns is found soon.
	reconnectMax = time.Second
	// keepaliveTime is the shortest interval of pings that gRPC allows a
	// client; it ends watches whose server vanished without closing.
	keepaliveTime = 10 * time.Second
)

var _ Store = (*Client)(nil)

// A Client is a Store that speaks a subset of the etcd v3 API. Its exported
// fields are set before first use. It is safe for concurrent use.
type Client struct {
	// Addresses are the IP addresses and ports of the store's endpoints, at
	// least one. A call goes to the one that worked last.
	Addresses []string
	// Timeout bounds a call with all its attempts, and the time until a watch
	// is confirmed; 0 means DefaultTimeout.
	Timeout time.Duration
	// TLS secures the connections; they are in the clear if it is nil.
	TLS *tls.Config
	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Now returns the time with a monotonic reading; nil means time.Now.
	Now func() time.Time
	// Logger gets a line when another address is used; nil means
	// slog.Default.
	Logger *slog.Logger

	mu sync.Mutex
	// conns holds a connection per address, in the order of Addresses; nil
	// before first use.
	conns []*grpc.ClientConn
	// current is the index of the address that is tried first.
	current int
	closed  bool
	budget  retryBudget
	counts  counter
}

// Close closes the connections. Calls under way fail with ErrUnavailable.
func (c *Client) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	var first error
	for _, conn := range c.conns {
		if err := conn.Close(); err != nil && first == nil {
			first = errors.WithStack(err)
		}
	}
	return first
}

// connections returns the connections in the order in which they are to be
// tried, with the index of the first one.
func (c *Client) connections() (conns []*grpc.ClientConn, first int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, 0, errors.New("client closed")
	}
	if len(c.Addresses) == 0 {
		return nil, 0, errors.New("no address of the store")
	}
	for len(c.conns) < len(c.Addresses) {
		conn, err := grpc.NewClient("passthrough:///"+c.Addresses[len(c.conns)], c.options()...)
		if err != nil {
			return nil, 0, errors.Wrap(err, "store client")
		}
		c.conns = append(c.conns, conn)
	}
	for i := range c.conns {
		conns = append(conns, c.conns[(c.current+i)%len(c.conns)])
	}
	return conns, c.current, nil
}

func (c *Client) options() []grpc.DialOption {
	transport := insecure.NewCredentials()
	if c.TLS != nil {
		transport = credentials.NewTLS(c.TLS)
	}
	options := []grpc.DialOption{
		grpc.WithTransportCredentials(transport),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxAnswerBytes)),
		grpc.WithDisableServiceConfig(),
		grpc.WithNoProxy(),
		// An idle connection would make the first call after a pause pay for
		// connecting.
		grpc.WithIdleTimeout(0),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{
				BaseDelay:  100 * time.Millisecond,
				Multiplier: 1.6,
				Jitter:     0.2,
				MaxDelay:   reconnectMax,
			},
			MinConnectTimeout: c.timeout(),
		}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: c.timeout()}),
	}
	if c.Dial != nil {
		options = append(options, grpc.WithContextDialer(c.Dial))
	}
	return options
}

// ready returns a connection that is established, trying the addresses in
// turn. Nothing has been sent when it fails, so even changes can go to another
// address then.
func (c *Client) ready(ctx context.Context) (*grpc.ClientConn, int, error) {
	conns, first, err := c.connections()
	if err != nil {
		return nil, 0, err
	}
	for i, conn := range conns {
		if c.establish(ctx, conn, len(conns)-i) {
			return conn, (first + i) % len(conns), nil
		}
	}
	if ctx.Err() != nil {
		return nil, 0, errors.WithStack(ctx.Err())
	}
	return nil, 0, errors.New("no address of the store accepts a connection")
}

// establish waits until the connection is ready, has failed, or has used up
// its part of the time, which it shares with the addresses after it.
func (c *Client) establish(ctx context.Context, conn *grpc.ClientConn, sharers int) bool {
	ctx, cancel := context.WithTimeout(ctx, c.timeout()/time.Duration(2*sharers))
	defer cancel()
	for {
		state := conn.GetState()
		switch state {
		case connectivity.Ready:
			return true
		case connectivity.TransientFailure, connectivity.Shutdown:
			return false
		case connectivity.Idle:
			conn.Connect()
		case connectivity.Connecting:
		}
		if !conn.WaitForStateChange(ctx, state) {
			return false
		}
	}
}

// avoid makes later calls start at another address than the one at index,
// unless they already do.
func (c *Client) avoid(index int, cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != index || len(c.Addresses) < 2 {
		return
	}
	c.current = (index + 1) % len(c.Addresses)
	c.logger().Warn("store address changed", "from", c.Addresses[index], "to", c.Addresses[c.current], "cause", cause.Error())
}

// prefer makes later calls start at the address that worked.
func (c *Client) prefer(index int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = index
}

func (c *Client) timeout() time.Duration {
	if c.Timeout > 0 {
		return c.Timeout
	}
	return DefaultTimeout
}

func (c *Client) now() time.Time {
	if c.Now != nil {
		return c.Now()
	}
	return time.Now()
}

func (c *Client) logger() *slog.Logger {
	if c.Logger != nil {
		return c.Logger
	}
	return slog.Default()
}
