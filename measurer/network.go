package measurer

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// errKilled is what connections of a killed host return.
var errKilled = errors.New("connection of a killed host")

// A Network is the loopback network between the parts of a fleet, with cuts.
// Each connection belongs to a pair of names; while the pair is cut, bytes in
// both directions wait, as in a network partition.
type Network struct {
	mu sync.Mutex
	// names holds the part that listens at an address.
	names map[string]string
	cuts  map[pair]bool
	// dead holds the parts that were killed: they reach nobody.
	dead  map[string]bool
	conns map[*conn]struct{}
	// traffic counts the bytes in both directions of each link, as seen by the
	// side that dialled.
	traffic map[pair]*atomic.Int64
	// changed is closed and replaced whenever a cut changes.
	changed chan struct{}
	// cutCount is the number of cuts. It is read without mu by each read and
	// write, so that the measures do not measure the lock of the test network.
	cutCount atomic.Int64
}

// A pair is a pair of names in any order.
type pair struct{ a, b string }

func pairOf(a, b string) pair {
	if a > b {
		a, b = b, a
	}
	return pair{a: a, b: b}
}

// NewNetwork returns a network without cuts.
func NewNetwork() *Network {
	return &Network{
		names: make(map[string]string), cuts: make(map[pair]bool), dead: make(map[string]bool),
		conns: make(map[*conn]struct{}), traffic: make(map[pair]*atomic.Int64), changed: make(chan struct{}),
	}
}

// Register gives the part at an address a name.
func (n *Network) Register(address, name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.names[address] = name
}

// SetCut cuts or heals the link between two names.
func (n *Network) SetCut(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if cut {
		n.cuts[pairOf(a, b)] = true
	} else {
		delete(n.cuts, pairOf(a, b))
	}
	n.cutCount.Store(int64(len(n.cuts)))
	close(n.changed)
	n.changed = make(chan struct{})
}

// Revive lets a part that was killed open connections again.
func (n *Network) Revive(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.dead, name)
}

// Traffic returns the bytes that went over the links between two parts that
// pass, in both directions. Links that were accepted only have one name and
// are not asked about.
func (n *Network) Traffic(pass func(a, b string) bool) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	total := int64(0)
	for link, bytes := range n.traffic {
		if link.b != "" && pass(link.a, link.b) {
			total += bytes.Load()
		}
	}
	return total
}

// Kill closes every connection of a name at once and lets it open none until
// Revive, so that what is left of it in this process can tell nobody.
func (n *Network) Kill(name string) {
	n.mu.Lock()
	n.dead[name] = true
	var victims []*conn
	for c := range n.conns {
		if c.link.a == name || c.link.b == name {
			victims = append(victims, c)
		}
	}
	n.mu.Unlock()
	// All connections fall silent before the first is closed, whose end would
	// be told through the others.
	for _, c := range victims {
		c.silence()
	}
	for _, c := range victims {
		c.reset()
	}
}

// Dialer returns the dial function of a part.
func (n *Network) Dialer(from string) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		n.mu.Lock()
		to, dead := n.names[address], n.dead[from]
		n.mu.Unlock()
		if dead {
			return nil, errKilled
		}
		link := pairOf(from, to)
		if err := n.await(ctx, link, nil, time.Time{}); err != nil {
			return nil, err
		}
		var dialer net.Dialer
		raw, err := dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		return n.track(raw, link), nil
	}
}

func (n *Network) track(raw net.Conn, link pair) net.Conn {
	c := &conn{Conn: raw, network: n, link: link, closed: make(chan struct{})}
	n.mu.Lock()
	if n.traffic[link] == nil {
		n.traffic[link] = &atomic.Int64{}
	}
	c.traffic = n.traffic[link]
	n.conns[c] = struct{}{}
	dead := n.dead[link.a] || n.dead[link.b]
	n.mu.Unlock()
	if dead {
		c.reset()
	}
	return c
}

// await returns when the link is not cut. It fails when ctx ends, the
// connection is closed, or the deadline passes.
func (n *Network) await(ctx context.Context, link pair, closed <-chan struct{}, deadline time.Time) error {
	for {
		n.mu.Lock()
		cut, changed := n.cuts[link], n.changed
		n.mu.Unlock()
		if !cut {
			return nil
		}
		var expired <-chan time.Time
		if !deadline.IsZero() {
			timer := time.NewTimer(time.Until(deadline))
			defer timer.Stop()
			expired = timer.C
		}
		select {
		case <-ctx.Done():
			return errors.WithStack(ctx.Err())
		case <-closed:
			return net.ErrClosed
		case <-expired:
			return os.ErrDeadlineExceeded
		case <-changed:
		}
	}
}

// A conn is a connection whose bytes wait while its link is cut.
type conn struct {
	net.Conn
	network *Network
	link    pair
	traffic *atomic.Int64
	closed  chan struct{}
	once    sync.Once

	killed atomic.Bool

	mu            sync.Mutex
	readDeadline  time.Time
	writeDeadline time.Time
}

// Read returns bytes that arrived, once the link is not cut.
func (c *conn) Read(p []byte) (int, error) {
	read, readErr := c.Conn.Read(p)
	c.traffic.Add(int64(read))
	if err := c.pass(&c.readDeadline); err != nil {
		return 0, err
	}
	return read, readErr
}

// Write sends bytes once the link is not cut.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.pass(&c.writeDeadline); err != nil {
		return 0, err
	}
	written, err := c.Conn.Write(p)
	c.traffic.Add(int64(written))
	return written, err
}

// pass returns when bytes may pass: at once while nothing is cut, and otherwise
// no later than the deadline.
func (c *conn) pass(deadline *time.Time) error {
	if c.killed.Load() {
		return errKilled
	}
	if c.network.cutCount.Load() == 0 {
		return nil
	}
	c.mu.Lock()
	until := *deadline
	c.mu.Unlock()
	return c.network.await(context.Background(), c.link, c.closed, until)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	c.setDeadlines(&t, &t)
	return c.Conn.SetDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.setDeadlines(&t, nil)
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.setDeadlines(nil, &t)
	return c.Conn.SetWriteDeadline(t)
}

func (c *conn) setDeadlines(read, write *time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if read != nil {
		c.readDeadline = *read
	}
	if write != nil {
		c.writeDeadline = *write
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.network.mu.Lock()
		delete(c.network.conns, c)
		c.network.mu.Unlock()
	})
	return c.Conn.Close()
}

// silence lets nothing pass any more.
func (c *conn) silence() { c.killed.Store(true) }

// reset closes the connection as the end of a process does.
func (c *conn) reset() {
	c.silence()
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

// A listener tracks the connections that a part accepts.
type listener struct {
	net.Listener
	network *Network
	name    string
}

// Listen opens a listener of a part on a free loopback port, or on the address
// if it is not empty, and registers it.
func (n *Network) Listen(ctx context.Context, name, address string) (net.Listener, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	var config net.ListenConfig
	raw, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	n.Register(raw.Addr().String(), name)
	return &listener{Listener: raw, network: n, name: name}, nil
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	// The cut of a link stands at the side that dialled; this side is only
	// tracked, so that Kill ends it.
	return l.network.track(raw, pair{a: l.name}), nil
}
