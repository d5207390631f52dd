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

// errKilled is the error of connections of a killed node.
var errKilled = errors.New("connection of a killed node")

// A Network is the loopback network between the nodes of a fleet: hosts,
// databases and the store. Each connection belongs to a pair of nodes. While the
// pair is partitioned, bytes in both directions wait and connections stay open,
// as in a network that drops packets.
type Network struct {
	mu sync.Mutex
	// nodes maps addresses to the names of the nodes that listen there.
	nodes      map[string]string
	partitions map[nodePair]bool
	// killed holds the nodes that were killed. They can open no connections.
	killed map[string]bool
	conns  map[*conn]struct{}
	// traffic counts the bytes in both directions of each link, as seen by the
	// side that dialled.
	traffic map[nodePair]*atomic.Int64
	// changed is closed and replaced whenever a partition begins or ends.
	changed chan struct{}
	// partitionCount is the number of partitioned pairs. Each read and write
	// reads it without mu, so that contention for mu does not distort the
	// measurements.
	partitionCount atomic.Int64
}

// A nodePair is an unordered pair of node names, kept sorted.
type nodePair struct{ a, b string }

func newNodePair(a, b string) nodePair {
	if a > b {
		a, b = b, a
	}
	return nodePair{a: a, b: b}
}

// NewNetwork returns a network without partitions.
func NewNetwork() *Network {
	return &Network{
		nodes: make(map[string]string), partitions: make(map[nodePair]bool), killed: make(map[string]bool),
		conns: make(map[*conn]struct{}), traffic: make(map[nodePair]*atomic.Int64), changed: make(chan struct{}),
	}
}

// Register sets the name of the node that listens at an address.
func (n *Network) Register(address, name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[address] = name
}

// SetPartitioned partitions or heals the link between two nodes.
func (n *Network) SetPartitioned(a, b string, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if partitioned {
		n.partitions[newNodePair(a, b)] = true
	} else {
		delete(n.partitions, newNodePair(a, b))
	}
	n.partitionCount.Store(int64(len(n.partitions)))
	close(n.changed)
	n.changed = make(chan struct{})
}

// Restore allows a killed node to open connections again.
func (n *Network) Restore(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.killed, name)
}

// Traffic returns the number of bytes, in both directions, of the links between
// pairs of nodes that match. Accepted connections are assigned to only one node
// and are left out; the side that dialled counts their bytes.
func (n *Network) Traffic(match func(a, b string) bool) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	total := int64(0)
	for link, bytes := range n.traffic {
		if link.b != "" && match(link.a, link.b) {
			total += bytes.Load()
		}
	}
	return total
}

// Kill closes all connections of a node and prevents it from opening new ones until
// Restore, so that goroutines of the node that still run in this process cannot
// send anything.
func (n *Network) Kill(name string) {
	n.mu.Lock()
	n.killed[name] = true
	var affected []*conn
	for c := range n.conns {
		if c.link.a == name || c.link.b == name {
			affected = append(affected, c)
		}
	}
	n.mu.Unlock()
	// All connections are blocked before the first is closed. Otherwise the node
	// would report the closed one through the others.
	for _, c := range affected {
		c.markKilled()
	}
	for _, c := range affected {
		c.reset()
	}
}

// Dialer returns the dial function of a node.
func (n *Network) Dialer(from string) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		n.mu.Lock()
		to, killed := n.nodes[address], n.killed[from]
		n.mu.Unlock()
		if killed {
			return nil, errKilled
		}
		link := newNodePair(from, to)
		if err := n.awaitHealed(ctx, link, nil, time.Time{}); err != nil {
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

// track wraps a connection and adds it to those of the network. It resets the
// connection at once if one of its nodes was killed.
func (n *Network) track(raw net.Conn, link nodePair) net.Conn {
	c := &conn{Conn: raw, network: n, link: link, closed: make(chan struct{})}
	n.mu.Lock()
	if n.traffic[link] == nil {
		n.traffic[link] = &atomic.Int64{}
	}
	c.traffic = n.traffic[link]
	n.conns[c] = struct{}{}
	killed := n.killed[link.a] || n.killed[link.b]
	n.mu.Unlock()
	if killed {
		c.reset()
	}
	return c
}

// awaitHealed waits until the link is not partitioned. It returns an error when
// ctx ends, the connection is closed, or the deadline passes.
func (n *Network) awaitHealed(ctx context.Context, link nodePair, closed <-chan struct{}, deadline time.Time) error {
	for {
		n.mu.Lock()
		partitioned, changed := n.partitions[link], n.changed
		n.mu.Unlock()
		if !partitioned {
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

// A conn is a connection whose bytes wait while its link is partitioned.
type conn struct {
	net.Conn
	network *Network
	link    nodePair
	traffic *atomic.Int64
	closed  chan struct{}
	once    sync.Once

	killed atomic.Bool

	mu            sync.Mutex
	readDeadline  time.Time
	writeDeadline time.Time
}

// Read returns received bytes once the link is not partitioned.
func (c *conn) Read(p []byte) (int, error) {
	read, readErr := c.Conn.Read(p)
	c.traffic.Add(int64(read))
	if err := c.awaitLink(&c.readDeadline); err != nil {
		return 0, err
	}
	return read, readErr
}

// Write sends bytes once the link is not partitioned.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.awaitLink(&c.writeDeadline); err != nil {
		return 0, err
	}
	written, err := c.Conn.Write(p)
	c.traffic.Add(int64(written))
	return written, err
}

// awaitLink waits until the link is not partitioned, but no longer than until the
// deadline. It takes no lock while the network has no partitions.
func (c *conn) awaitLink(deadline *time.Time) error {
	if c.killed.Load() {
		return errKilled
	}
	if c.network.partitionCount.Load() == 0 {
		return nil
	}
	c.mu.Lock()
	until := *deadline
	c.mu.Unlock()
	return c.network.awaitHealed(context.Background(), c.link, c.closed, until)
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

// markKilled makes all further reads and writes fail.
func (c *conn) markKilled() { c.killed.Store(true) }

// reset closes the connection with a TCP reset, as happens when a process is
// killed.
func (c *conn) reset() {
	c.markKilled()
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

// A listener tracks the connections that a node accepts.
type listener struct {
	net.Listener
	network *Network
	name    string
}

// Listen opens a listener of a node on the address, or on a free loopback port if
// the address is empty, and registers it.
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
	// Partitions are applied at the side that dialled. The accepting side is only
	// tracked so that Kill closes it.
	return l.network.track(raw, nodePair{a: l.name}), nil
}
