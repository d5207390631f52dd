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
	// DefaultTimeout bounds a call if Client.Timeout is 0. The store normally
	// responds within milliseconds, and a host counts as partitioned from it
	// after 2 s.
	DefaultTimeout = time.Second
	// maxResponseBytes bounds the size of a response: a page of pageSize values
	// of up to 1 MB each, the store's limit, and their keys.
	maxResponseBytes = (pageSize + 1) << 20
	// maxReconnectDelay bounds the delay between two attempts to connect to an
	// address, so that clients reconnect soon after the store recovers.
	maxReconnectDelay = time.Second
	// keepaliveInterval is the shortest ping interval that gRPC allows a client.
	// The pings terminate watches whose server disappeared without closing the
	// connection.
	keepaliveInterval = 10 * time.Second
)

var _ Store = (*Client)(nil)

// A Client is a Store that uses a subset of the etcd v3 API. Its exported fields
// must be set before first use. It is safe for concurrent use.
type Client struct {
	// Addresses contains the IP addresses and ports of the store's servers, at
	// least one. A call is sent to the address that responded last.
	Addresses []string
	// Timeout bounds a call including its retries, and the time until the store
	// confirms a watch; 0 means DefaultTimeout.
	Timeout time.Duration
	// TLS configures encryption of the connections; nil means plaintext.
	TLS *tls.Config
	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Now returns the current time with a monotonic clock reading; nil means
	// time.Now.
	Now func() time.Time
	// Logger receives an event when calls fail over to another address; nil
	// means slog.Default.
	Logger *slog.Logger

	mu sync.Mutex
	// conns contains one connection per address, in the order of Addresses; it
	// is nil before first use.
	conns []*grpc.ClientConn
	// preferred is the index of the address that calls try first.
	preferred int
	// began is the number of calls that have begun.
	began uint64
	// preferredSince is the number of calls that had begun when the call that last
	// changed preferred did, or when an address failed. These calls do not change
	// preferred any more.
	preferredSince uint64
	closed         bool
	budget         retryBudget
	counts         callCounter
}

// Close closes the connections. Calls in progress fail with ErrUnavailable.
func (c *Client) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	var firstErr error
	for _, conn := range c.conns {
		if err := conn.Close(); err != nil && firstErr == nil {
			firstErr = errors.WithStack(err)
		}
	}
	return firstErr
}

// orderedConns returns the connections in the order in which to try them, and
// the index of the first one's address.
func (c *Client) orderedConns() (conns []*grpc.ClientConn, firstIndex int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, 0, errors.New("client closed")
	}
	if len(c.Addresses) == 0 {
		return nil, 0, errors.New("no store address configured")
	}
	for len(c.conns) < len(c.Addresses) {
		conn, err := grpc.NewClient("passthrough:///"+c.Addresses[len(c.conns)], c.options()...)
		if err != nil {
			return nil, 0, errors.Wrap(err, "create store client")
		}
		c.conns = append(c.conns, conn)
	}
	for i := range c.conns {
		conns = append(conns, c.conns[(c.preferred+i)%len(c.conns)])
	}
	return conns, c.preferred, nil
}

func (c *Client) options() []grpc.DialOption {
	transportCredentials := insecure.NewCredentials()
	if c.TLS != nil {
		transportCredentials = credentials.NewTLS(c.TLS)
	}
	options := []grpc.DialOption{
		grpc.WithTransportCredentials(transportCredentials),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxResponseBytes)),
		grpc.WithDisableServiceConfig(),
		grpc.WithNoProxy(),
		// Disable the idle mode, which would add the time for reconnecting to
		// the first call after an idle period.
		grpc.WithIdleTimeout(0),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{
				BaseDelay:  100 * time.Millisecond,
				Multiplier: 1.6,
				Jitter:     0.2,
				MaxDelay:   maxReconnectDelay,
			},
			MinConnectTimeout: c.timeout(),
		}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveInterval, Timeout: c.timeout()}),
	}
	if c.Dial != nil {
		options = append(options, grpc.WithContextDialer(c.Dial))
	}
	return options
}

// beginCall returns the number of a call in the order of beginning.
func (c *Client) beginCall() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.began++
	return c.began
}

// readyConn returns an established connection and the index of its address. It
// tries the addresses in turn, which is safe for changes too, because nothing has
// been sent to an address at which no connection could be established.
func (c *Client) readyConn(ctx context.Context) (*grpc.ClientConn, int, error) {
	conns, firstIndex, err := c.orderedConns()
	if err != nil {
		return nil, 0, err
	}
	for i, conn := range conns {
		if c.awaitReady(ctx, conn, len(conns)-i) {
			return conn, (firstIndex + i) % len(conns), nil
		}
	}
	if ctx.Err() != nil {
		return nil, 0, errors.WithStack(ctx.Err())
	}
	return nil, 0, errors.New("no store address accepts a connection")
}

// awaitReady waits until the connection is ready or has failed, and reports
// whether it is ready. It waits at most for half the timeout divided by
// addressesLeft, the number of addresses left to try including this one.
func (c *Client) awaitReady(ctx context.Context, conn *grpc.ClientConn, addressesLeft int) bool {
	ctx, cancel := context.WithTimeout(ctx, c.timeout()/time.Duration(2*addressesLeft))
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

// failOver makes later calls try the next address first, unless they already try
// another one than that at index first.
func (c *Client) failOver(index int, cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.preferred != index || len(c.Addresses) < 2 {
		return
	}
	c.preferred, c.preferredSince = (index+1)%len(c.Addresses), c.began
	c.logger().Warn("store_address_changed", "from", c.Addresses[index], "to", c.Addresses[c.preferred], "cause", cause.Error())
}

// setPreferred makes later calls try the address at index first, since it responded
// to a call. A call that began before the present choice was made does not change it.
func (c *Client) setPreferred(index int, call uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if index == c.preferred || call <= c.preferredSince {
		return
	}
	c.preferred, c.preferredSince = index, call
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
