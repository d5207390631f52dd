package storeemulator

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// Down says how a store that is down behaves.
type Down uint8

// The ways of being down.
const (
	// Up serves.
	Up Down = iota
	// Refuse closes connections, old and new ones.
	Refuse
	// Hang accepts connections and requests and gives no answer. A request
	// that waits then never takes effect.
	Hang
)

// faults holds the faults in force.
type faults struct {
	mu          sync.Mutex
	down        Down
	delay       time.Duration
	lose        int
	probability float64
	// changed is closed and replaced when down changes.
	changed chan struct{}
	conns   map[net.Conn]bool
}

// SetDown makes the store go down, or Up again.
func (e *Emulator) SetDown(down Down) {
	e.init()
	f := &e.faults
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
	close(f.changed)
	f.changed = make(chan struct{})
	if down == Refuse {
		for conn := range f.conns {
			conn.Close()
		}
	}
}

// SetDelay delays every answer: half of the time passes before a request
// takes effect, half after.
func (e *Emulator) SetDelay(delay time.Duration) {
	e.faults.mu.Lock()
	defer e.faults.mu.Unlock()
	e.faults.delay = delay
}

// LoseAnswers makes the answers to the next n changes get lost: the change
// takes effect and the caller gets an error of the transport.
func (e *Emulator) LoseAnswers(n int) {
	e.faults.mu.Lock()
	defer e.faults.mu.Unlock()
	e.faults.lose = n
}

// LoseAnswersWithProbability makes each answer to a change get lost with
// probability p.
func (e *Emulator) LoseAnswersWithProbability(p float64) {
	e.faults.mu.Lock()
	defer e.faults.mu.Unlock()
	e.faults.probability = p
}

// state returns how the store is down and a channel that is closed when that
// changes.
func (f *faults) state() (Down, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.down, f.changed
}

// before delays a request that has not taken effect, or fails it.
func (f *faults) before(ctx context.Context) error {
	switch down, _ := f.state(); down {
	case Refuse:
		return status.Error(codes.Unavailable, "store refuses")
	case Hang:
		<-ctx.Done()
		return status.FromContextError(ctx.Err()).Err()
	case Up:
	}
	return f.pause(ctx)
}

// after delays an answer, or loses that of a change.
func (f *faults) after(ctx context.Context, change bool) error {
	if err := f.pause(ctx); err != nil {
		return err
	}
	if change && f.loses() {
		return status.Error(codes.Unavailable, "answer lost")
	}
	return nil
}

func (f *faults) loses() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lose > 0 {
		f.lose--
		return true
	}
	return rand.Float64() < f.probability
}

func (f *faults) pause(ctx context.Context) error {
	f.mu.Lock()
	delay := f.delay / 2
	f.mu.Unlock()
	if delay <= 0 {
		return nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return status.FromContextError(ctx.Err()).Err()
	}
}

// awaitUp holds a stream back while the store hangs, and ends it when the
// store refuses.
func (f *faults) awaitUp(ctx context.Context) error {
	for {
		down, changed := f.state()
		switch down {
		case Up:
			return nil
		case Refuse:
			return status.Error(codes.Unavailable, "store refuses")
		case Hang:
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return status.FromContextError(ctx.Err()).Err()
		}
	}
}

// wrap returns a listener whose connections can be closed by SetDown.
func (f *faults) wrap(listener net.Listener) net.Listener {
	return &faultListener{Listener: listener, faults: f}
}

type faultListener struct {
	net.Listener
	faults *faults
}

// Accept returns the next connection that is not refused.
func (l *faultListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if conn := l.faults.admit(conn); conn != nil {
			return conn, nil
		}
	}
}

func (f *faults) admit(conn net.Conn) net.Conn {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down == Refuse {
		conn.Close()
		return nil
	}
	if f.conns == nil {
		f.conns = make(map[net.Conn]bool)
	}
	f.conns[conn] = true
	return &faultConn{Conn: conn, faults: f}
}

type faultConn struct {
	net.Conn
	faults *faults
}

// Close closes the connection and forgets it.
func (c *faultConn) Close() error {
	c.faults.mu.Lock()
	delete(c.faults.conns, c.Conn)
	c.faults.mu.Unlock()
	return c.Conn.Close()
}
