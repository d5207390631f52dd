// Package pooler keeps the connections of one database: it opens them under the
// term of the holder, keeps some of them idle, hands them out for one batch or
// transaction at a time, and closes those that must not be used again.
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
	// idleTimeout is how long a connection beyond the idle ones to keep stays
	// open without use.
	idleTimeout = time.Minute
	// connectTimeout bounds opening a connection, which takes about 10 ms.
	connectTimeout = 2 * time.Second
	// fullDelay is the pause before a database is asked again that still counts
	// connections which have just been closed.
	fullDelay = 20 * time.Millisecond
	// fullAttempts bounds these repetitions.
	fullAttempts = 10
)

// ErrClosed says that the pool was closed or has another term.
var ErrClosed = errors.New("pool closed or term changed")

// A Pool holds the connections of one database. It is safe for concurrent use.
// Its exported fields are set before first use.
type Pool struct {
	// Name is the name of the database, for the log.
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
	// term is the term under which connections are opened; 0 opens none.
	term uint64
	// limit bounds open, idle is kept at warm where the limit allows.
	limit int
	warm  int
	// open counts connections that are open, being opened or not confirmed closed.
	open int
	// opening counts connections that are being opened to be kept idle.
	opening int
	// idle is in the order of last use, the latest at the back.
	idle []*Conn
	// idleOf counts idle by the customer that was served last.
	idleOf map[string]int
	used   map[*Conn]struct{}
	// grow is set when a batch met no idle connection of its customer.
	grow     bool
	switches uint64
	// changed is closed and replaced when a connection may have become available.
	changed chan struct{}
	// failedAt is when opening an idle connection last failed.
	failedAt time.Time
}

// Stats says how many connections there are.
type Stats struct {
	Open int
	Idle int
	Used int
	// Switches counts connections that were handed out to another customer than
	// the one they served before.
	Switches uint64
}

// Configure sets the number of connections that may be open at once and the
// number of those to keep idle.
func (p *Pool) Configure(connections, warm int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit, p.warm = connections, warm
	if p.idleOf == nil {
		p.idleOf = make(map[string]int)
	}
	for p.open > p.limit && len(p.idle) > 0 {
		p.closeOldest()
	}
	p.wake()
}

// SetTerm closes all connections of another term; those in use fail soon.
func (p *Pool) SetTerm(term uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if term == p.term {
		return
	}
	p.term = term
	p.grow = false
	p.failedAt = time.Time{}
	p.breakOff()
}

// Break closes all connections, those in use soon, of a database that does not
// answer any more.
func (p *Pool) Break() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.breakOff()
}

func (p *Pool) breakOff() {
	for len(p.idle) > 0 {
		p.closeOldest()
	}
	for conn := range p.used {
		conn.expire()
	}
	p.wake()
}

// Close closes all connections.
func (p *Pool) Close() { p.SetTerm(0) }

// Stats returns the present numbers.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Stats{Open: p.open, Idle: len(p.idle), Used: len(p.used), Switches: p.switches}
}

// Get hands out a connection of the term, preferably one that served the
// customer last, and waits for one while all are in use. Errors wrap ErrClosed,
// ErrConnect and ErrStaleTerm, or are the cause of ctx.
func (p *Pool) Get(ctx context.Context, term uint64, customer string) (*Conn, error) {
	for {
		conn, changed, err := p.take(term, customer)
		if err != nil || conn != nil {
			return conn, err
		}
		if changed == nil {
			return p.openFor(ctx, term)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, errors.WithStack(context.Cause(ctx))
		}
	}
}

// TryGet hands out an idle connection, or nil if there is none of the term.
func (p *Pool) TryGet(term uint64, customer string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if term == 0 || term != p.term {
		return nil
	}
	return p.takeIdle(customer)
}

// takeIdle returns an idle connection that is alive. The caller holds mu.
func (p *Pool) takeIdle(customer string) *Conn {
	for {
		conn := p.pick(customer)
		if conn == nil {
			return nil
		}
		if conn.alive() {
			p.use(conn)
			return conn
		}
		p.end(conn, nil)
	}
}

// take returns an idle connection, or a channel to wait on, or neither when the
// caller is to open a connection that is counted already.
func (p *Pool) take(term uint64, customer string) (*Conn, <-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if term == 0 || term != p.term {
		return nil, nil, errors.WithStack(ErrClosed)
	}
	if conn := p.takeIdle(customer); conn != nil {
		return conn, nil, nil
	}
	if p.open < p.limit {
		p.open++
		return nil, nil, nil
	}
	if p.changed == nil {
		p.changed = make(chan struct{})
	}
	return nil, p.changed, nil
}

func (p *Pool) use(conn *Conn) {
	if p.used == nil {
		p.used = make(map[*Conn]struct{})
	}
	p.used[conn] = struct{}{}
}

// openFor opens a connection that is counted already.
func (p *Pool) openFor(ctx context.Context, term uint64) (*Conn, error) {
	conn, err := p.connect(ctx, term)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.open--
		p.wake()
		return nil, err
	}
	if term != p.term {
		p.end(conn, nil)
		return nil, errors.WithStack(ErrClosed)
	}
	p.use(conn)
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
		if refused.Code != codeTooManyConnections || attempt == fullAttempts {
			if errors.Is(err, ErrStaleTerm) {
				return nil, errors.Wrap(err, p.Name)
			}
			return nil, errors.Wrapf(ErrConnect, "%s: %s", p.Name, err)
		}
		timer := time.NewTimer(fullDelay)
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

// Put takes a connection back. It is closed unless its last answer was read to
// the end and left no doubt about its state.
func (p *Pool) Put(conn *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn.unusable || conn.expired || conn.term != p.term || p.open > p.limit {
		p.discard(conn, nil)
		return
	}
	delete(p.used, conn)
	conn.idleSince = p.Now()
	p.idle = append(p.idle, conn)
	p.idleOf[conn.customer]++
	p.wake()
}

// Discard closes a connection that was handed out. If ended is not nil, it is
// called once the database has closed its side, so that nothing runs there any
// more, or did not do so in time.
func (p *Pool) Discard(conn *Conn, ended func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.discard(conn, ended)
}

func (p *Pool) discard(conn *Conn, ended func()) {
	delete(p.used, conn)
	p.end(conn, ended)
}

// end closes a connection and counts it until the database has seen the end.
func (p *Pool) end(conn *Conn, ended func()) {
	go func() {
		conn.finish()
		if ended != nil {
			ended()
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		p.open--
		p.wake()
	}()
}

func (p *Pool) closeOldest() {
	p.end(p.removeIdle(0), nil)
}

// wake lets waiting callers of Get look again. The caller holds mu.
func (p *Pool) wake() {
	if p.changed != nil {
		close(p.changed)
		p.changed = nil
	}
}
