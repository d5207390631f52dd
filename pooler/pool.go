// Package pooler pools the connections of one database: it opens them under the
// term of the holder, keeps some of them idle, hands each out for one batch or
// transaction at a time, and closes those that must not be reused.
package pooler

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// idleTimeout is how long a connection beyond minIdle stays open while idle.
	idleTimeout = time.Minute
	// connectTimeout bounds opening a connection, which usually takes about 10 ms.
	connectTimeout = 2 * time.Second
	// connLimitRetryDelay is the delay before another attempt after a database has
	// refused a connection beyond its limit, since it may still count connections
	// that have just been closed.
	connLimitRetryDelay = 20 * time.Millisecond
	// connLimitAttempts bounds these attempts.
	connLimitAttempts = 10
)

// ErrClosed means that the pool was closed or has another term.
var ErrClosed = errors.New("pool closed or term changed")

// A Pool holds the connections of one database. It is safe for concurrent use.
// Its exported fields are set before first use.
type Pool struct {
	// Name is the name of the database, used in the log and in errors.
	Name string
	// Address is the IP address and port of the database.
	Address string
	Login   Login
	// Dial opens a network connection.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Now returns the time with a monotonic reading.
	Now    func() time.Time
	Logger *slog.Logger

	mu sync.Mutex
	// term is the term under which connections are opened; with 0 none are opened.
	term uint64
	// maxConns bounds open; minIdle is the number of connections to keep idle as
	// far as maxConns allows.
	maxConns int
	minIdle  int
	// open counts connections that are open, being opened or not confirmed closed.
	open int
	// openingIdle counts connections that are being opened to be kept idle.
	openingIdle int
	// idle is in the order of last use, with the latest at the back.
	idle []*Conn
	// idleByCustomer counts the connections in idle by the customer that they
	// served last.
	idleByCustomer map[string]int
	inUse          map[*Conn]struct{}
	// needsExtraIdle is set when a batch found no idle connection of its customer.
	needsExtraIdle bool
	switches       uint64
	// changed is closed and reset when a connection may have become available; it
	// is nil while no call waits.
	changed chan struct{}
	// lastOpenFailure is the time of the last failure to open an idle connection.
	lastOpenFailure time.Time
}

// Stats describes the connections of a pool.
type Stats struct {
	Open int
	Idle int
	Used int
	// Switches counts connections that were handed out to a customer other than
	// the one that they served before.
	Switches uint64
}

// Configure sets the maximum number of open connections and the number of
// connections to keep idle.
func (p *Pool) Configure(maxConns, minIdle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxConns, p.minIdle = maxConns, minIdle
	if p.idleByCustomer == nil {
		p.idleByCustomer = make(map[string]int)
	}
	for p.open > p.maxConns && len(p.idle) > 0 {
		p.closeLongestIdle()
	}
	p.wakeWaiters()
}

// SetTerm sets the term and closes all connections of another term; those in
// use are closed within expireGracePeriod.
func (p *Pool) SetTerm(term uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if term == p.term {
		return
	}
	p.term = term
	p.needsExtraIdle = false
	p.lastOpenFailure = time.Time{}
	p.reset()
}

// Reset closes all connections of a database that does not respond any more;
// those in use are closed within expireGracePeriod.
func (p *Pool) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reset()
}

func (p *Pool) reset() {
	for len(p.idle) > 0 {
		p.closeLongestIdle()
	}
	for conn := range p.inUse {
		conn.expire()
	}
	p.wakeWaiters()
}

// Close closes all connections.
func (p *Pool) Close() { p.SetTerm(0) }

// Stats returns the current statistics.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Stats{Open: p.open, Idle: len(p.idle), Used: len(p.inUse), Switches: p.switches}
}

// Get hands out a connection of the term, preferably one that served the
// customer last, and waits for one while all are in use. Errors wrap ErrClosed,
// ErrConnect or ErrStaleTerm, or are the cause of ctx.
func (p *Pool) Get(ctx context.Context, term uint64, customer string) (*Conn, error) {
	for {
		conn, changed, err := p.acquire(term, customer)
		if err != nil || conn != nil {
			return conn, err
		}
		if changed == nil {
			return p.openCounted(ctx, term)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, errors.WithStack(context.Cause(ctx))
		}
	}
}

// TryGet hands out an idle connection, or returns nil if there is none of the
// term.
func (p *Pool) TryGet(term uint64, customer string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if term == 0 || term != p.term {
		return nil
	}
	return p.takeIdle(customer)
}

// takeIdle returns an idle connection that is usable. The caller holds mu.
func (p *Pool) takeIdle(customer string) *Conn {
	for {
		conn := p.pickIdle(customer)
		if conn == nil {
			return nil
		}
		if conn.isUsable() {
			p.markInUse(conn)
			return conn
		}
		p.closeAsync(conn, nil)
	}
}

// acquire returns an idle connection, or a channel to wait on, or neither if
// the caller must open a connection, which is already counted in open.
func (p *Pool) acquire(term uint64, customer string) (*Conn, <-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if term == 0 || term != p.term {
		return nil, nil, errors.WithStack(ErrClosed)
	}
	if conn := p.takeIdle(customer); conn != nil {
		return conn, nil, nil
	}
	if p.open < p.maxConns {
		p.open++
		return nil, nil, nil
	}
	if p.changed == nil {
		p.changed = make(chan struct{})
	}
	return nil, p.changed, nil
}

func (p *Pool) markInUse(conn *Conn) {
	if p.inUse == nil {
		p.inUse = make(map[*Conn]struct{})
	}
	p.inUse[conn] = struct{}{}
}

// openCounted opens a connection that is already counted in open.
func (p *Pool) openCounted(ctx context.Context, term uint64) (*Conn, error) {
	conn, err := p.connect(ctx, term)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.open--
		p.wakeWaiters()
		return nil, err
	}
	if term != p.term {
		p.closeAsync(conn, nil)
		return nil, errors.WithStack(ErrClosed)
	}
	p.markInUse(conn)
	return conn, nil
}

// connect opens a connection and logs in.
func (p *Pool) connect(ctx context.Context, term uint64) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	for attempt := 1; ; attempt++ {
		conn, err := p.connectOnce(ctx, term)
		var refused *ServerError
		if err == nil {
			return conn, nil
		}
		if !errors.As(err, &refused) {
			return nil, errors.Wrapf(ErrConnect, "%s: %s", p.Name, err)
		}
		if refused.Code != codeTooManyConnections || attempt == connLimitAttempts {
			if errors.Is(err, ErrStaleTerm) {
				return nil, errors.Wrap(err, p.Name)
			}
			return nil, errors.Wrapf(ErrConnect, "%s: %s", p.Name, err)
		}
		timer := time.NewTimer(connLimitRetryDelay)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil, errors.Wrapf(ErrConnect, "%s: %s", p.Name, err)
		}
	}
}

func (p *Pool) connectOnce(ctx context.Context, term uint64) (*Conn, error) {
	network, err := p.Dial(ctx, p.Address)
	if err != nil {
		return nil, err
	}
	conn, err := startup(ctx, network, p.Login, term)
	if err != nil {
		_ = network.Close()
		return nil, err
	}
	conn.pool = p
	return conn, nil
}

// Put returns a connection to the pool. The connection is closed unless its
// last response was read to the end and its state is known.
func (p *Pool) Put(conn *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn.unusable || conn.expired || conn.term != p.term || p.open > p.maxConns {
		p.discard(conn, nil)
		return
	}
	delete(p.inUse, conn)
	conn.idleSince = p.Now()
	p.idle = append(p.idle, conn)
	p.idleByCustomer[conn.customer]++
	p.wakeWaiters()
}

// Discard closes a connection that was handed out. If ended is not nil, it is
// called once the database has closed its side, so that nothing runs there any
// more, or has not done so within closeTimeout.
func (p *Pool) Discard(conn *Conn, ended func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.discard(conn, ended)
}

func (p *Pool) discard(conn *Conn, ended func()) {
	delete(p.inUse, conn)
	p.closeAsync(conn, ended)
}

// closeAsync closes a connection in the background and counts it in open until
// the database has closed its side.
func (p *Pool) closeAsync(conn *Conn, ended func()) {
	go func() {
		conn.closeGracefully()
		if ended != nil {
			ended()
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		p.open--
		p.wakeWaiters()
	}()
}

func (p *Pool) closeLongestIdle() {
	p.closeAsync(p.removeIdle(0), nil)
}

// wakeWaiters makes waiting calls of Get try again. The caller holds mu.
func (p *Pool) wakeWaiters() {
	if p.changed != nil {
		close(p.changed)
		p.changed = nil
	}
}
