package forwarder

import (
	"context"
	"maps"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcpool"
)

const (
	// maxIdleConns is the number of idle connections kept to each host.
	maxIdleConns = 16
	// idleConnTimeout is how long an idle connection is kept.
	idleConnTimeout = time.Minute
)

// A Target is a process of another host.
type Target struct {
	Name        string
	Incarnation string
	Address     string
}

// generationRetention is how long the suspicion of an address is remembered: longer than an
// idle connection from before it is kept.
const generationRetention = 2 * idleConnTimeout

// A generation is the last suspicion of an address.
type generation struct {
	// number is that of the suspicion.
	number      uint64
	suspectedAt time.Time
}

// A Client runs operations on other hosts. Its exported fields are set before first use.
type Client struct {
	// Dial opens a connection that is reset when it is closed. If it is nil, TCP is used.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Detector decides which hosts are used.
	Detector *FailureDetector
	// Now returns the time with a monotonic reading.
	Now func() time.Time
	// SinceBoot returns the time on a clock that keeps running while the machine is
	// suspended. If it is nil, Now is used.
	SinceBoot func() time.Time
	// OnSuspect is called when a host becomes suspected, with the reason.
	OnSuspect func(target Target, reason error)
	// OnRegain is called when a suspected host has replied to a probe.
	OnRegain func(target Target)
	// OnStopping is called when a host has announced that it stops.
	OnStopping func(target Target)

	initOnce sync.Once
	pool     *drpcpool.Pool[string, *conn]

	mu sync.Mutex
	// generations holds the last suspicion of each address. Idle connections of a former
	// generation are not used, since they may hang.
	generations map[string]generation
	// suspicions counts the suspicions of all addresses.
	suspicions uint64
	// fullUntil is until when no new connection to an address is tried, since the host
	// takes no more.
	fullUntil map[string]time.Time
}

func (c *Client) init() {
	c.initOnce.Do(func() {
		c.pool = drpcpool.New[string, *conn](drpcpool.Options{Expiration: idleConnTimeout, KeyCapacity: maxIdleConns})
		c.generations = make(map[string]generation)
		if c.Dial == nil {
			c.Dial = dialTCP
		}
		if c.SinceBoot == nil {
			c.SinceBoot = c.Now
		}
	})
}

func (c *Client) generation(address string) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.generations[address].number
}

// Open returns a stream for one operation. It sends nothing if there is an idle
// connection. Errors wrap ErrNotSent; the host is suspected then, unless they wrap ErrFull.
func (c *Client) Open(ctx context.Context, target Target) (*Stream, error) {
	c.init()
	for {
		idle, ok := c.pool.Take(target.Address)
		if !ok {
			break
		}
		if !idle.isClosed() && idle.generation == c.generation(target.Address) {
			return &Stream{client: c, target: target, conn: idle}, nil
		}
		idle.discard()
	}
	if c.isFull(target.Address) {
		return nil, ErrFull
	}
	opened, err := c.open(ctx, target)
	if err != nil {
		c.recordFailedOpen(target, err)
		return nil, err
	}
	return &Stream{client: c, target: target, conn: opened}, nil
}

// open opens a connection and waits for the handshake.
func (c *Client) open(ctx context.Context, target Target) (*conn, error) {
	deadline := c.Now().Add(dialTimeout)
	generationBefore := c.generation(target.Address)
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	netConn, err := c.Dial(dialCtx, target.Address)
	if err != nil {
		return nil, errors.Wrapf(ErrNotSent, "connect to %s: %v", target.Name, err)
	}
	opened, err := newConn(netConn, c.Now, c.SinceBoot, func() { c.suspect(target, ErrSilent) })
	if err != nil {
		return nil, errors.Wrapf(ErrNotSent, "connect to %s: %v", target.Name, err)
	}
	opened.generation = generationBefore
	reply, err := opened.handshake(deadline)
	switch {
	case err != nil && opened.refused():
		c.recordFull(target.Address)
		return nil, errors.Wrap(ErrFull, target.Name)
	case err != nil:
		return nil, errors.Wrapf(ErrNotSent, "handshake with %s: %v", target.Name, err)
	}
	c.recordStopping(target, &reply)
	return opened, nil
}

// ProbeIfDue tries a suspected host in the background if its backoff has passed.
func (c *Client) ProbeIfDue(target Target) {
	if !c.Detector.BeginProbe(target.Name) {
		return
	}
	c.init()
	go func() {
		probe, err := c.open(context.Background(), target)
		regained := c.Detector.EndProbe(target.Name, err == nil || errors.Is(err, ErrFull))
		if err == nil {
			c.pool.Put(target.Address, probe)
		}
		if regained && c.OnRegain != nil {
			c.OnRegain(target)
		}
	}()
}

// VerifyIfDue checks in the background whether a host can be reached that other hosts seem
// not to reach.
func (c *Client) VerifyIfDue(target Target) {
	if !c.Detector.BeginVerify(target.Name, target.Incarnation) {
		return
	}
	c.init()
	go func() {
		verified, err := c.open(context.Background(), target)
		if err != nil {
			c.recordFailedOpen(target, err)
			return
		}
		c.pool.Put(target.Address, verified)
	}()
}

// recordFailedOpen suspects a host to which no connection could be opened, unless it has
// replied that it takes no more.
func (c *Client) recordFailedOpen(target Target, reason error) {
	if !errors.Is(reason, ErrFull) {
		c.suspect(target, reason)
	}
}

// suspect records that a host did not respond.
func (c *Client) suspect(target Target, reason error) {
	now := c.Now()
	c.mu.Lock()
	c.suspicions++
	maps.DeleteFunc(c.generations, func(_ string, g generation) bool { return now.Sub(g.suspectedAt) > generationRetention })
	c.generations[target.Address] = generation{number: c.suspicions, suspectedAt: now}
	c.mu.Unlock()
	if c.Detector.Suspect(target.Name, target.Incarnation) && c.OnSuspect != nil {
		c.OnSuspect(target, reason)
	}
}

func (c *Client) recordStopping(target Target, reply *Reply) {
	if reply.Stopping && c.Detector.MarkStopping(target.Name, target.Incarnation) && c.OnStopping != nil {
		c.OnStopping(target)
	}
}

// Close closes the idle connections.
func (c *Client) Close() error {
	c.init()
	return c.pool.Close()
}

// A Stream carries one operation: a single statement or a transaction. It is not safe for
// concurrent use.
type Stream struct {
	client *Client
	target Target
	conn   *conn
	// inOperation is set while the operation is open on the other host.
	inOperation bool
}

// Host returns the name of the host that runs the operation.
func (s *Stream) Host() string { return s.target.Name }

// Run runs a statement. It waits for the response until the deadline, or, if
// abandonSilent is set, until the host is silent for SilenceTimeout. Errors wrap the
// sentinel errors of this package, and the stream can't be used any more then; an open
// transaction is rolled back by the other host.
func (s *Stream) Run(request *Request, deadline time.Time, abandonSilent bool) (Reply, error) {
	if requestSize(request) > maxRequest {
		return Reply{}, ErrTooLarge
	}
	s.conn.number++
	request.number = s.conn.number
	reply, err := s.conn.roundTrip(request, deadline, abandonSilent)
	if err != nil {
		s.inOperation = true
		if errors.Is(err, ErrLost) {
			s.client.suspect(s.target, err)
		}
		return Reply{}, err
	}
	s.inOperation = !reply.EndsOperation()
	s.client.recordStopping(s.target, &reply)
	return reply, nil
}

// Close returns the connection to its pool, or resets it unless the operation has ended,
// so that the other host rolls it back.
func (s *Stream) Close() {
	if s.inOperation || s.conn.isClosed() || s.conn.generation != s.client.generation(s.target.Address) {
		s.conn.discard()
		return
	}
	s.client.pool.Put(s.target.Address, s.conn)
}
