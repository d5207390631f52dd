// Package connector pools connections to databases. A connection is
// authenticated as one customer. A pool limits the connections to one database
// and assigns each connection to one session at a time.
package connector

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/executor"
	"github.com/endiveturn/endiveturn/timekeeper"
)

// Sentinel errors of a pool.
var (
	// ErrClosed reports that the pool is closed.
	ErrClosed = errors.New("pool closed")
	// ErrQueueTimeout reports that no connection became free before the
	// deadline.
	ErrQueueTimeout = errors.New("no free connection in time")
	// ErrTooManyConnections reports that the database accepts no further
	// connection.
	ErrTooManyConnections = errors.New("database has no room for connections")
	// ErrUnreachable reports that no connection could be opened.
	ErrUnreachable = errors.New("database unreachable")
	// ErrWrongDatabase reports that a different database responded at the
	// address.
	ErrWrongDatabase = errors.New("another database at the address")
)

const (
	// livenessCheckAge is how long a connection must have been idle to be
	// checked, before it is reused, for a close by the database.
	livenessCheckAge = 20 * time.Millisecond
	// maxConcurrentDials is the maximum number of connections that a pool opens
	// at once. Each handshake takes a slot of the database, whose queue for new
	// connections is short.
	maxConcurrentDials = 2
	// fullRetryDelay is the delay before a session retries after the database
	// refused a connection because it was full.
	fullRetryDelay = 15 * time.Millisecond
	// fullBackoff is how long a pool does not grow after the database refused a
	// connection because it was full.
	fullBackoff = 300 * time.Millisecond
)

// A Transport sends statements to a database and receives the responses. It is
// used by one session at a time.
type Transport interface {
	// Send buffers a statement.
	Send(statement executor.Request) error
	// Flush writes the buffered statements.
	Flush(deadline time.Time) error
	// Receive reads the response to the next statement.
	Receive(deadline time.Time) (executor.Response, error)
	// Alive reports whether the connection has not been closed by the database.
	Alive() bool
	Close() error
}

// A Conn is a connection with the session state that is set on it.
type Conn struct {
	Transport
	Customer string
	// Variables are the session variables that are set on the connection.
	Variables Variables
	// Prepared holds the names of the statements that are prepared on the
	// connection.
	Prepared map[string]bool
	// Opened is when the connection was established.
	Opened time.Time

	returnedAt time.Time
}

// Limits are the limits of a pool's connections.
type Limits struct {
	// Guaranteed is the number of connections that the pool may always have.
	Guaranteed int
	// Burst, if larger than Guaranteed, is the number of connections that
	// sessions may use as long as the database refuses none.
	Burst int
	// IdleTimeout is how long a connection may be idle before it is closed; 0
	// leaves that to CloseIdle.
	IdleTimeout time.Duration
}

// A Pool limits and reuses the connections to one database. Its exported fields
// are set before first use.
type Pool struct {
	// Dial opens a connection for a customer. Errors wrap the sentinel errors
	// of this package.
	Dial func(ctx context.Context, customer string) (Transport, error)
	// Now returns the time with a monotonic reading.
	Now func() time.Time

	mu sync.Mutex
	// idle holds the connections without a session, ordered by the time of
	// their return, the latest last.
	idle []*Conn
	// openCount is the number of connections that are idle, in use or being
	// opened.
	openCount int
	// dialing is the number of connections that are being opened.
	dialing int
	limits  Limits
	// idleTimerRunning is set while a timer to close idle connections is
	// scheduled.
	idleTimerRunning bool
	// fullUntil is when the pool may grow again after the database refused a
	// connection because it was full.
	fullUntil time.Time
	waiters   []*waiter
	closed    bool
}

// A waiter waits for a connection or for permission to open one.
type waiter struct {
	customer string
	priority int
	// granted receives a connection, or nil as permission to open one. It is
	// closed when the pool is closed.
	granted chan *Conn
}

// SetLimits sets the limits of the pool's connections and closes idle
// connections above the guaranteed number.
func (p *Pool) SetLimits(limits Limits) {
	p.mu.Lock()
	defer p.mu.Unlock()
	limits.Guaranteed = max(1, limits.Guaranteed)
	p.limits = limits
	for p.openCount > limits.Guaranteed && len(p.idle) > 0 {
		p.closeOldestIdle()
	}
	p.grantDials()
}

// InUse returns the number of connections that are in use or being opened, and
// the number of waiting sessions.
func (p *Pool) InUse() (used, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openCount - len(p.idle), len(p.waiters)
}

// HasIdle reports whether the pool holds an idle connection of the customer.
func (p *Pool) HasIdle(customer string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.idle {
		if conn.Customer == customer {
			return true
		}
	}
	return false
}

// Get returns a connection of the customer. It prefers an idle one on which the
// variables are set already. If there is no idle one, it opens a new one as far
// as the limits allow it, closing an idle connection of another customer if
// necessary. Otherwise it waits until the deadline.
func (p *Pool) Get(ctx context.Context, customer string, variables Variables, priority int, deadline time.Time) (*Conn, error) {
	for {
		conn, w, err := p.takeOrEnqueue(customer, variables, priority)
		if err != nil {
			return nil, err
		}
		if w != nil {
			if conn, err = p.awaitGrant(ctx, w, deadline); err != nil {
				return nil, err
			}
		}
		if conn == nil {
			conn, err := p.dial(ctx, customer, deadline)
			mayRetry := errors.Is(err, ErrTooManyConnections) && p.Now().Add(fullRetryDelay).Before(deadline)
			if mayRetry && timekeeper.Sleep(ctx, fullRetryDelay) {
				continue
			}
			return conn, err
		}
		if p.usable(conn) {
			return conn, nil
		}
		p.discard(conn)
	}
}

func (p *Pool) usable(conn *Conn) bool {
	return p.Now().Sub(conn.returnedAt) < livenessCheckAge || conn.Alive()
}

// takeOrEnqueue returns an idle connection, or a waiter if there is none and
// none may be opened. It returns neither if the caller has to open a
// connection.
func (p *Pool) takeOrEnqueue(customer string, variables Variables, priority int) (*Conn, *waiter, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, nil, ErrClosed
	}
	if i := p.findIdle(customer, variables); i >= 0 {
		conn := p.idle[i]
		p.idle = append(p.idle[:i], p.idle[i+1:]...)
		return conn, nil, nil
	}
	if p.makeRoom() {
		p.reserveDial()
		return nil, nil, nil
	}
	w := &waiter{customer: customer, priority: priority, granted: make(chan *Conn, 1)}
	p.enqueue(w)
	return nil, w, nil
}

// reserveDial counts a connection that is about to be opened.
func (p *Pool) reserveDial() {
	p.openCount++
	p.dialing++
}

// enqueue inserts w behind the waiters of the same or better priority.
func (p *Pool) enqueue(w *waiter) {
	i := len(p.waiters)
	for i > 0 && p.waiters[i-1].priority > w.priority {
		i--
	}
	p.waiters = append(p.waiters, nil)
	copy(p.waiters[i+1:], p.waiters[i:])
	p.waiters[i] = w
}

// findIdle returns the index of the best idle connection of the customer, the
// most recently used one among equals, or -1.
func (p *Pool) findIdle(customer string, variables Variables) int {
	found := -1
	for i := len(p.idle) - 1; i >= 0; i-- {
		conn := p.idle[i]
		if conn.Customer != customer {
			continue
		}
		if conn.Variables.Equal(variables) {
			return i
		}
		if found < 0 {
			found = i
		}
	}
	return found
}

func (p *Pool) awaitGrant(ctx context.Context, w *waiter, deadline time.Time) (*Conn, error) {
	timer := time.NewTimer(deadline.Sub(p.Now()))
	defer timer.Stop()
	select {
	case conn, ok := <-w.granted:
		if !ok {
			return nil, ErrClosed
		}
		return conn, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	if p.removeWaiter(w) {
		return nil, ErrQueueTimeout
	}
	conn, ok := <-w.granted
	if !ok {
		return nil, ErrClosed
	}
	return conn, nil
}

func (p *Pool) removeWaiter(w *waiter) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, other := range p.waiters {
		if other == w {
			p.waiters = append(p.waiters[:i], p.waiters[i+1:]...)
			return true
		}
	}
	return false
}

func (p *Pool) dial(ctx context.Context, customer string, deadline time.Time) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, deadline.Sub(p.Now()))
	defer cancel()
	transport, err := p.Dial(ctx, customer)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialing--
	if err != nil {
		if errors.Is(err, ErrTooManyConnections) {
			p.fullUntil = p.Now().Add(fullBackoff)
		}
		p.openCount--
		p.grantDials()
		return nil, err
	}
	if p.closed {
		p.openCount--
		_ = transport.Close()
		return nil, ErrClosed
	}
	p.grantDials()
	return &Conn{Transport: transport, Customer: customer, Prepared: make(map[string]bool), Opened: p.Now()}, nil
}

// Put returns a connection to the pool. No transaction may be open on it.
func (p *Pool) Put(conn *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.openCount > max(p.limits.Guaranteed, p.limits.Burst) {
		p.openCount--
		_ = conn.Close()
		p.grantDials()
		return
	}
	conn.returnedAt = p.Now()
	if w := p.popWaiter(conn.Customer); w != nil {
		w.granted <- conn
		return
	}
	p.idle = append(p.idle, conn)
	p.grantDials()
	if p.openCount > p.limits.Guaranteed {
		p.closeNewestIdle()
	}
	p.scheduleIdleClose()
}

// popWaiter removes and returns the first waiter that belongs to the customer
// and has the best priority of all waiters, or nil. Waiters of other customers
// cannot use the connection and have to open one.
func (p *Pool) popWaiter(customer string) *waiter {
	for i, w := range p.waiters {
		if w.priority != p.waiters[0].priority {
			break
		}
		if w.customer == customer {
			p.waiters = append(p.waiters[:i], p.waiters[i+1:]...)
			return w
		}
	}
	return nil
}

// scheduleIdleClose schedules a timer that closes connections once they reach
// the idle timeout.
func (p *Pool) scheduleIdleClose() {
	if p.idleTimerRunning || p.limits.IdleTimeout == 0 || len(p.idle) == 0 {
		return
	}
	p.idleTimerRunning = true
	idleFor := p.Now().Sub(p.idle[0].returnedAt)
	time.AfterFunc(max(p.limits.IdleTimeout-idleFor, time.Millisecond), func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.idleTimerRunning = false
		p.closeIdle(p.limits.IdleTimeout)
		p.scheduleIdleClose()
	})
}

// Discard closes a connection that was taken from the pool.
func (p *Pool) Discard(conn *Conn) { p.discard(conn) }

func (p *Pool) discard(conn *Conn) {
	_ = conn.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openCount--
	p.grantDials()
}

// grantDials permits waiters to open connections as far as the limits allow it.
func (p *Pool) grantDials() {
	for len(p.waiters) > 0 && p.makeRoom() {
		w := p.waiters[0]
		p.waiters = p.waiters[1:]
		p.reserveDial()
		w.granted <- nil
	}
}

func (p *Pool) closeOldestIdle() {
	oldest := p.idle[0]
	p.idle = p.idle[1:]
	p.openCount--
	_ = oldest.Close()
}

// closeNewestIdle closes the most recently returned connection if it is still
// idle.
func (p *Pool) closeNewestIdle() {
	last := len(p.idle) - 1
	if last < 0 {
		return
	}
	conn := p.idle[last]
	p.idle = p.idle[:last]
	p.openCount--
	_ = conn.Close()
}

// CloseIdle closes connections that have been idle for at least age.
func (p *Pool) CloseIdle(age time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdle(age)
}

func (p *Pool) closeIdle(age time.Duration) {
	now := p.Now()
	for len(p.idle) > 0 && now.Sub(p.idle[0].returnedAt) >= age {
		p.closeOldestIdle()
	}
}

// Close closes idle connections and makes waiting calls of Get and those that
// are opening a connection return ErrClosed. Connections in use are closed when
// they are returned.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for len(p.idle) > 0 {
		p.closeOldestIdle()
	}
	for _, w := range p.waiters {
		close(w.granted)
	}
	p.waiters = nil
}
