package forwarder

import (
	"context"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/endiveturn/endiveturn/executor"
)

// A hangingConn is a connection that can hang in both directions without a reset: what is
// written is lost, and nothing is received.
type hangingConn struct {
	net.Conn
	closeOnce sync.Once
	closed    chan struct{}
	mu        sync.Mutex
	hung      bool
}

func (c *hangingConn) hang(hung bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hung = hung
}

func (c *hangingConn) hangs() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hung
}

// Read implements net.Conn. Data that arrives while the connection hangs is delivered
// when it continues.
func (c *hangingConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	for c.hangs() {
		select {
		case <-c.closed:
			return 0, net.ErrClosed
		case <-time.After(time.Millisecond):
		}
	}
	return n, err
}

func (c *hangingConn) Write(data []byte) (int, error) {
	if c.hangs() {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

func (c *hangingConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// A fixture is a client and a server that are connected in memory.
type fixture struct {
	client *Client
	server *Server
	cancel context.CancelFunc
	// run is what the server does with a statement.
	run func(ctx context.Context, request *Request) Reply

	mu    sync.Mutex
	conns []*hangingConn
	// unreachable is set if no connection can be opened, hangs if opened ones hang.
	unreachable, hangs bool
	// wrapServer, if not nil, wraps the server's side of new connections.
	wrapServer func(net.Conn) net.Conn
	// closed counts operations that were closed.
	closed    int
	suspected []error
	regained  int
	stopping  int
}

var testTarget = Target{Name: "pool", Incarnation: "1", Address: "pool:1"}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{run: func(_ context.Context, request *Request) Reply {
		return Reply{Response: executor.Response{Text: request.Statement.Arguments, State: executor.StateIdle}, Database: "d", Reason: "answered"}
	}}
	f.server = &Server{
		Begin: func(*Operation) Execution {
			return Execution{Run: func(ctx context.Context, r *Request) Reply { return f.run(ctx, r) }, Close: func() {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.closed++
			}}
		},
		IdleTransactionTimeout: func() time.Duration { return 3 * time.Second }, MaxOperations: 4, MaxBytes: 1 << 20,
	}
	mux := drpcmux.New()
	if err := f.server.Register(mux); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	f.client = &Client{
		Detector: &FailureDetector{Now: time.Now}, Now: time.Now,
		OnSuspect:  func(_ Target, reason error) { f.record(func() { f.suspected = append(f.suspected, reason) }) },
		OnRegain:   func(Target) { f.record(func() { f.regained++ }) },
		OnStopping: func(Target) { f.record(func() { f.stopping++ }) },
	}
	f.client.Dial = func(dialCtx context.Context, _ string) (net.Conn, error) {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.unreachable {
			return nil, errors.New("connection refused")
		}
		here, there := net.Pipe()
		if f.wrapServer != nil {
			there = f.wrapServer(there)
		}
		conn := &hangingConn{Conn: here, closed: make(chan struct{}), hung: f.hangs}
		f.conns = append(f.conns, conn)
		go func() { _ = drpcserver.New(mux).ServeOne(ctx, there) }()
		return conn, nil
	}
	return f
}

func (f *fixture) record(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// end closes all connections, so that no goroutine is left.
func (f *fixture) end() {
	f.cancel()
	_ = f.client.Close()
	for _, conn := range f.conns {
		_ = conn.Close()
	}
	time.Sleep(time.Second)
}

func (f *fixture) counts() (closed, suspected, regained, stopping int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.closed, len(f.suspected), f.regained, f.stopping
}

// first returns the first request of an operation.
func first(verb executor.Verb, text string) *Request {
	return &Request{Operation: &Operation{Customer: "c"}, Statement: executor.Request{ID: "id", Verb: verb, Arguments: text}}
}

// runSingle runs a single statement.
func (f *fixture) runSingle(request *Request, timeout time.Duration, abandonSilent bool) (Reply, error) {
	stream, err := f.client.Open(context.Background(), testTarget)
	if err != nil {
		return Reply{}, err
	}
	defer stream.Close()
	return stream.Run(request, time.Now().Add(timeout), abandonSilent)
}

// inBubble runs a test in virtual time.
func inBubble(t *testing.T, test func(t *testing.T, f *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		test(t, f)
		f.end()
	})
}
