// Package connector keeps connections to databases. A connection speaks for
// one customer; a pool bounds the connections of one database and hands them
// to one session at a time.
package connector

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/executor"
)

// Sentinel errors of a pool.
var (
	// ErrClosed says that the pool takes no new work.
	ErrClosed = errors.New("pool closed")
	// ErrQueueTimeout says that no connection became free in time.
	ErrQueueTimeout = errors.New("no free connection in time")
	// ErrFull says that the database has no room for another connection.
	ErrFull = errors.New("database has no room for connections")
	// ErrUnreachable says that no connection could be opened.
	ErrUnreachable = errors.New("database unreachable")
	// ErrWrongDatabase says that another database answers at the address.
	ErrWrongDatabase = errors.New("another database at the address")
)

const (
	// checkIdle is how long a connection rests before it is checked for a
	// close by the database when it is used again.
	checkIdle = 20 * time.Millisecond
	// maxDialing bounds the connections that a pool opens at once: each takes a
	// slot of the database, and the queue for new ones is short.
	maxDialing = 2
	// fullWait is the pause before a session that found a database full looks
	// for a connection again.
	fullWait = 15 * time.Millisecond
	// fullPause is how long a pool opens no connection beyond those it has
	// after the database refused one.
	fullPause = 300 * time.Millisecond
)

// A Transport carries statements to a database and replies back. It is used by
// one session at a time.
type Transport interface {
	// Send buffers a statement.
	Send(statement executor.Request) error
	// Flush writes what is buffered.
	Flush(deadline time.Time) error
	// Receive reads the reply to the next statement.
	Receive(deadline time.Time) (executor.Reply, error)
	// Alive reports whether the database has not closed the connection.
	Alive() bool
	Close() error
}

// A Conn is a connection with what is installed on it.
type Conn struct {
	Transport
	Customer string
	// Values are the session values in force on the connection.
	Values Values
	// Prepared holds the names of the prepared statements that the database
	// knows on this connection.
	Prepared map[string]bool
	// Opened is when the connection was established.
	Opened time.Time

	returned time.Time
}

// Bounds are how many connections a pool may have.
type Bounds struct {
	// Share is the number of connections that the pool may have in any case.
	Share int
	// Burst, if it is larger, is the number up to which sessions may use
	// connections while the database refuses none.
	Burst int
	// Rest is how long a connection may be idle; 0 leaves that to CloseIdle.
	Rest time.Duration
}

// A Pool bounds and reuses the connections to one database. Its exported
// fields are set before first use.
type Pool struct {
	// Dial opens a connection for a customer. Errors wrap the sentinels.
	Dial func(ctx context.Context, customer string) (Transport, error)
	// Now returns the time with a monotonic reading.
	Now func() time.Time

	mu sync.Mutex
	// idle holds connections without a session, the one used last at the back.
	idle []*Conn
	// open counts idle, used and dialled connections.
	open int
	// dialing counts the connections that are being opened.
	dialing int
	bounds  Bounds
	// resting is set while a timer looks at the idle connections.
	resting bool
	// fullUntil is when the pool may open connections beyond its guaranteed
	// share again.
	fullUntil time.Time
	waiters   []*waiter
	closed    bool
}

// A waiter waits for a connection or for room to open one.
type waiter struct {
	customer string
	priority int
	// granted receives a connection, or nil for room to open one.
	granted chan *Conn
}

// SetBounds sets how many connections the pool may have.
func (p *Pool) SetBounds(bounds Bounds) {
	p.mu.Lock()
	defer p.mu.Unlock()
	bounds.Share = max(1, bounds.Share)
	p.bounds = bounds
	for p.open > bounds.Share && len(p.idle) > 0 {
		p.dropOldest()
	}
	p.grant()
}

// InUse returns the connections with a session and the sessions that wait.
func (p *Pool) InUse() (used, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open - len(p.idle), len(p.waiters)
}

// Has reports whether an idle connection of the customer is there.
func (p *Pool) Has(customer string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.idle {
		if conn.Customer == customer {
			return true
		}
	}
	return false
}

// Get returns a connection for the customer. It prefers one on which the
// values are in force, opens one while the limit allows it or an idle one of
// another customer can be closed, and waits until the deadline otherwise.
func (p *Pool) Get(ctx context.Context, customer string, values Values, priority int, deadline time.Time) (*Conn, error) {
	for {
		conn, w, err := p.take(customer, values, priority)
		if err != nil {
			return nil, err
		}
		if w != nil {
			if conn, err = p.await(ctx, w, deadline); err != nil {
				return nil, err
			}
		}
		if conn == nil {
			conn, err := p.dial(ctx, customer, deadline)
			if errors.Is(err, ErrFull) && p.Now().Add(fullWait).Before(deadline) {
				time.Sleep(fullWait)
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
	return p.Now().Sub(conn.returned) < checkIdle || conn.Alive()
}

// take returns an idle connection, or neither connection nor waiter when the
// caller may open one.
func (p *Pool) take(customer string, values Values, priority int) (*Conn, *waiter, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, nil, ErrClosed
	}
	if i := p.find(customer, values); i >= 0 {
		conn := p.idle[i]
		p.idle = append(p.idle[:i], p.idle[i+1:]...)
		return conn, nil, nil
	}
	if p.makeRoom() {
		p.reserve()
		return nil, nil, nil
	}
	w := &waiter{customer: customer, priority: priority, granted: make(chan *Conn, 1)}
	p.enqueue(w)
	return nil, w, nil
}

// makeRoom reports whether a connection may be opened now. It closes an idle one
// if that is what it takes.
func (p *Pool) makeRoom() bool {
	if p.dialing >= maxDialing {
		return false
	}
	if p.open == 0 {
		return true
	}
	refused := p.Now().Before(p.fullUntil)
	switch {
	case p.open < p.bounds.Share && !refused:
		return true
	case len(p.idle) > 0:
		p.dropOldest()
		return true
	default:
		return p.open < p.bounds.Burst && !refused
	}
}

// reserve takes room for a connection that is about to be opened.
func (p *Pool) reserve() {
	p.open++
	p.dialing++
}

// enqueue puts w behind the waiters of its priority.
func (p *Pool) enqueue(w *waiter) {
	i := len(p.waiters)
	for i > 0 && p.waiters[i-1].priority > w.priority {
		i--
	}
	p.waiters = append(p.waiters, nil)
	copy(p.waiters[i+1:], p.waiters[i:])
	p.waiters[i] = w
}

// find returns the index of the best idle connection of the customer, the one
// used last among equals, or -1.
func (p *Pool) find(customer string, values Values) int {
	found := -1
	for i := len(p.idle) - 1; i >= 0; i-- {
		conn := p.idle[i]
		if conn.Customer != customer {
			continue
		}
		if conn.Values.Equal(values) {
			return i
		}
		if found < 0 {
			found = i
		}
	}
	return found
}

func (p *Pool) await(ctx context.Context, w *waiter, deadline time.Time) (*Conn, error) {
	timer := time.NewTimer(time.Until(deadline))
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
	if p.withdraw(w) {
		return nil, ErrQueueTimeout
	}
	conn, ok := <-w.granted
	if !ok {
		return nil, ErrClosed
	}
	return conn, nil
}

func (p *Pool) withdraw(w *waiter) bool {
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
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	transport, err := p.Dial(ctx, customer)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialing--
	if err != nil {
		if errors.Is(err, ErrFull) {
			p.fullUntil = p.Now().Add(fullPause)
		}
		p.open--
		p.grant()
		return nil, err
	}
	p.grant()
	return &Conn{Transport: transport, Customer: customer, Prepared: make(map[string]bool), Opened: p.Now()}, nil
}

// Put returns a connection on which no transaction is open.
func (p *Pool) Put(conn *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.open > max(p.bounds.Share, p.bounds.Burst) {
		p.open--
		_ = conn.Close()
		p.grant()
		return
	}
	conn.returned = p.Now()
	if w := p.next(conn.Customer); w != nil {
		w.granted <- conn
		return
	}
	p.idle = append(p.idle, conn)
	p.grant()
	if p.open > p.bounds.Share {
		p.dropNewest()
	}
	p.watchRest()
}

// next removes and returns the waiter that gets a connection of the customer:
// the first one of the customer among those of the best priority. Waiters of
// other customers have to open one.
func (p *Pool) next(customer string) *waiter {
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

// watchRest closes idle connections once they have rested for long enough.
func (p *Pool) watchRest() {
	if p.resting || p.bounds.Rest == 0 || len(p.idle) == 0 {
		return
	}
	p.resting = true
	rested := p.Now().Sub(p.idle[0].returned)
	time.AfterFunc(max(p.bounds.Rest-rested, time.Millisecond), func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.resting = false
		p.closeIdle(p.bounds.Rest)
		p.watchRest()
	})
}

// Discard closes a connection that was taken from the pool.
func (p *Pool) Discard(conn *Conn) { p.discard(conn) }

func (p *Pool) discard(conn *Conn) {
	_ = conn.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.grant()
}

// grant lets waiters open connections while there is room.
func (p *Pool) grant() {
	for len(p.waiters) > 0 && p.makeRoom() {
		w := p.waiters[0]
		p.waiters = p.waiters[1:]
		p.reserve()
		w.granted <- nil
	}
}

func (p *Pool) dropOldest() {
	oldest := p.idle[0]
	p.idle = p.idle[1:]
	p.open--
	_ = oldest.Close()
}

// dropNewest closes the connection that was returned last, if it is still idle.
func (p *Pool) dropNewest() {
	last := len(p.idle) - 1
	if last < 0 {
		return
	}
	conn := p.idle[last]
	p.idle = p.idle[:last]
	p.open--
	_ = conn.Close()
}

// CloseIdle closes connections that have rested for longer than age.
func (p *Pool) CloseIdle(age time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdle(age)
}

func (p *Pool) closeIdle(age time.Duration) {
	now := p.Now()
	for len(p.idle) > 0 && now.Sub(p.idle[0].returned) >= age {
		p.dropOldest()
	}
}

// Close closes idle connections, refuses what waits, and lets connections in
// use be closed when they return.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for len(p.idle) > 0 {
		p.dropOldest()
	}
	for _, w := range p.waiters {
		close(w.granted)
	}
	p.waiters = nil
}
