package soaker

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// linkBuffer is the size in bytes of the largest piece that a link forwards at once.
const linkBuffer = 32 << 10

// A Mode is what a Link does with the bytes of its connections.
type Mode uint8

// The modes of a link.
const (
	// Pass forwards all bytes.
	Pass Mode = iota
	// Delay forwards each piece after a delay.
	Delay
	// Reset resets open and new connections.
	Reset
	// CutRequests drops the bytes that clients send. A connection that has lost bytes
	// is reset when the mode ends.
	CutRequests
	// CutResponses drops the bytes that clients would receive, in the same way.
	CutResponses
	// Silence accepts connections and forwards nothing until the mode ends. Bytes
	// are kept, as TCP keeps them during a partition.
	Silence
)

// String returns the name of the mode.
func (m Mode) String() string {
	return [...]string{"pass", "delay", "reset", "cut_requests", "cut_responses", "silence"}[m]
}

// A linkFault is an active fault of a link.
type linkFault struct {
	mode  Mode
	delay time.Duration
	// source limits the fault to connections of one source; empty means all.
	source string
}

// A Link is a TCP proxy between two programs. Its exported fields must be set before
// Run.
type Link struct {
	Listener net.Listener
	// Target is the address to which connections are forwarded.
	Target string
	// Identify returns the name of the program that opened a connection. It is called
	// at most once for each connection, while a fault is limited to a source; nil
	// means that no fault is.
	Identify func(net.Addr) string
	// Requests and Responses replace addresses in both directions.
	Requests, Responses replacements

	mu     sync.Mutex
	faults []*linkFault
	// changed is closed and replaced when faults change.
	changed chan struct{}
	conns   map[*linkConn]bool
	closed  bool
	pumps   sync.WaitGroup
}

// Run forwards connections until ctx ends. It returns after all connections are
// closed.
func (l *Link) Run(ctx context.Context) error {
	defer l.pumps.Wait()
	stop := context.AfterFunc(ctx, l.close)
	defer stop()
	for {
		client, err := l.Listener.Accept()
		if err != nil {
			l.close()
			if ctx.Err() != nil {
				return nil
			}
			return errors.Wrap(err, "accept on link")
		}
		c := &linkConn{link: l, client: client.(*net.TCPConn), done: make(chan struct{})}
		l.pumps.Go(func() { c.run(ctx) })
	}
}

func (l *Link) close() {
	l.Listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for c := range l.conns {
		c.reset()
	}
}

// Inject adds a fault, which overrides the earlier ones, and returns a function that
// removes it. An empty source means the connections of all sources.
func (l *Link) Inject(mode Mode, delay time.Duration, source string) (heal func()) {
	fault := &linkFault{mode: mode, delay: delay, source: source}
	l.change(func() { l.faults = append(l.faults, fault) })
	return func() {
		l.change(func() {
			for i, f := range l.faults {
				if f == fault {
					l.faults = append(l.faults[:i:i], l.faults[i+1:]...)
					return
				}
			}
		})
	}
}

// change applies a change of the faults to the open connections.
func (l *Link) change(edit func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	edit()
	if l.changed != nil {
		close(l.changed)
	}
	l.changed = make(chan struct{})
	for c := range l.conns {
		mode, _ := l.modeOf(c)
		if mode == Reset || c.lossy && mode != CutRequests && mode != CutResponses {
			c.reset()
		}
	}
}

// modeOf returns the mode for a connection. The caller holds mu.
func (l *Link) modeOf(c *linkConn) (Mode, time.Duration) {
	for i := len(l.faults) - 1; i >= 0; i-- {
		f := l.faults[i]
		if f.source != "" && !c.identified {
			c.identified, c.source = true, l.Identify(c.client.RemoteAddr())
		}
		if f.source == "" || f.source == c.source {
			return f.mode, f.delay
		}
	}
	return Pass, 0
}

// register adds a connection. It returns false if the connection must be reset.
func (l *Link) register(c *linkConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.changed == nil {
		l.changed = make(chan struct{})
	}
	if l.conns == nil {
		l.conns = make(map[*linkConn]bool)
	}
	l.conns[c] = true
	mode, _ := l.modeOf(c)
	return !l.closed && mode != Reset
}

func (l *Link) unregister(c *linkConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// A linkConn is a pair of connections between which a link forwards bytes.
type linkConn struct {
	link   *Link
	client *net.TCPConn
	// source is the name of the program that opened the connection, once identified
	// is set. Both are guarded by link.mu.
	source     string
	identified bool
	// server is nil until the target has been reached. It is guarded by link.mu.
	server *net.TCPConn
	// lossy is set once bytes have been dropped. It is guarded by link.mu.
	lossy bool
	once  sync.Once
	done  chan struct{}
}

// reset closes both connections with RST. The caller holds link.mu.
func (c *linkConn) reset() {
	c.once.Do(func() { close(c.done) })
	for _, conn := range []*net.TCPConn{c.client, c.server} {
		if conn != nil {
			_ = conn.SetLinger(0)
			conn.Close()
		}
	}
}

func (c *linkConn) run(ctx context.Context) {
	defer c.link.unregister(c)
	defer func() {
		c.link.mu.Lock()
		defer c.link.mu.Unlock()
		c.once.Do(func() { close(c.done) })
		c.client.Close()
		if c.server != nil {
			c.server.Close()
		}
	}()
	if !c.link.register(c) || !c.dial(ctx) {
		c.link.mu.Lock()
		c.reset()
		c.link.mu.Unlock()
		return
	}
	var pumps sync.WaitGroup
	pumps.Go(func() { c.pump(c.server, c.client, CutRequests, &rewriter{replacements: c.link.Requests}) })
	c.pump(c.client, c.server, CutResponses, &rewriter{replacements: c.link.Responses})
	pumps.Wait()
}

// dial connects to the target as soon as the link is not silent.
func (c *linkConn) dial(ctx context.Context) bool {
	if !c.awaitPassage() {
		return false
	}
	var dialer net.Dialer
	server, err := dialer.DialContext(ctx, "tcp", c.link.Target)
	if err != nil {
		return false
	}
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	c.server = server.(*net.TCPConn)
	select {
	case <-c.done:
		return false
	default:
		return true
	}
}

// awaitPassage waits while the link is silent or for the delay of the link. It
// returns false if the connection was closed meanwhile.
func (c *linkConn) awaitPassage() bool {
	for {
		c.link.mu.Lock()
		mode, delay := c.link.modeOf(c)
		changed := c.link.changed
		c.link.mu.Unlock()
		var expired <-chan time.Time
		switch mode {
		case Silence:
		case Delay:
			expired = time.After(delay)
		default:
			return true
		}
		select {
		case <-c.done:
			return false
		case <-changed:
		case <-expired:
			return true
		}
	}
}

// pump forwards bytes in one direction, which the mode cut drops, until one side
// closes. Then it closes both.
func (c *linkConn) pump(to, from *net.TCPConn, cut Mode, addresses *rewriter) {
	buffer := make([]byte, linkBuffer)
	for {
		n, err := from.Read(buffer)
		if !c.awaitPassage() {
			return
		}
		piece := addresses.rewrite(buffer[:n])
		if err != nil {
			piece = append(piece, addresses.flush()...)
		}
		if len(piece) > 0 && !c.dropped(cut) {
			if _, err := to.Write(piece); err != nil {
				c.end(err)
				return
			}
		}
		if err != nil {
			c.end(err)
			return
		}
	}
}

// dropped reports whether bytes of a direction are dropped, and remembers that the
// connection has lost some.
func (c *linkConn) dropped(cut Mode) bool {
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	mode, _ := c.link.modeOf(c)
	if mode != cut {
		return false
	}
	c.lossy = true
	return true
}

// end closes both connections, with RST unless one side closed its own in order.
func (c *linkConn) end(err error) {
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	if !errors.Is(err, io.EOF) {
		c.reset()
		return
	}
	c.once.Do(func() { close(c.done) })
	c.client.Close()
	c.server.Close()
}
