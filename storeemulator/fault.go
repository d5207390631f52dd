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

// A FailureMode is a way in which the store fails.
type FailureMode uint8

// The failure modes.
const (
	// Up is normal operation.
	Up FailureMode = iota
	// Refuse closes all open connections and every new one.
	Refuse
	// Hang accepts connections and requests but sends no response. A request
	// that arrives while the store hangs never takes effect.
	Hang
)

// faults holds the injected faults.
type faults struct {
	mu              sync.Mutex
	mode            FailureMode
	delay           time.Duration
	dropCount       int
	dropProbability float64
	// changed is closed and replaced when mode changes.
	changed chan struct{}
	conns   map[net.Conn]bool
}

// SetFailureMode sets the failure mode; Up restores normal operation.
func (e *Emulator) SetFailureMode(mode FailureMode) {
	e.initialize()
	f := &e.faults
	f.mu.Lock()
	defer f.mu.Unlock()
	f.mode = mode
	close(f.changed)
	f.changed = make(chan struct{})
	if mode == Refuse {
		for conn := range f.conns {
			conn.Close()
		}
	}
}

// SetDelay delays every response by delay: half of it passes before the request
// takes effect, half after.
func (e *Emulator) SetDelay(delay time.Duration) {
	e.faults.mu.Lock()
	defer e.faults.mu.Unlock()
	e.faults.delay = delay
}

// DropResponses drops the responses to the next n writes: each write takes
// effect, but the client receives an Unavailable error.
func (e *Emulator) DropResponses(n int) {
	e.faults.mu.Lock()
	defer e.faults.mu.Unlock()
	e.faults.dropCount = n
}

// DropResponsesWithProbability drops the response to each write with probability
// p.
func (e *Emulator) DropResponsesWithProbability(p float64) {
	e.faults.mu.Lock()
	defer e.faults.mu.Unlock()
	e.faults.dropProbability = p
}

// currentMode returns the failure mode and a channel that is closed when it
// changes.
func (f *faults) currentMode() (FailureMode, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mode, f.changed
}

// beforeRequest applies the failure mode and the first half of the delay to a
// request that has not taken effect.
func (f *faults) beforeRequest(ctx context.Context) error {
	switch mode, _ := f.currentMode(); mode {
	case Refuse:
		return status.Error(codes.Unavailable, "store refuses")
	case Hang:
		<-ctx.Done()
		return status.FromContextError(ctx.Err()).Err()
	case Up:
	}
	return f.sleepHalfDelay(ctx)
}

// afterRequest applies the second half of the delay to a response, and drops the
// responses to writes as configured.
func (f *faults) afterRequest(ctx context.Context, write bool) error {
	if err := f.sleepHalfDelay(ctx); err != nil {
		return err
	}
	if write && f.shouldDropResponse() {
		return status.Error(codes.Unavailable, "answer lost")
	}
	return nil
}

func (f *faults) shouldDropResponse() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.dropCount > 0 {
		f.dropCount--
		return true
	}
	return rand.Float64() < f.dropProbability
}

func (f *faults) sleepHalfDelay(ctx context.Context) error {
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

// waitUntilUp blocks a stream while the store hangs and returns an error if the
// store refuses connections.
func (f *faults) waitUntilUp(ctx context.Context) error {
	for {
		mode, changed := f.currentMode()
		switch mode {
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

// wrapListener returns a listener whose connections can be closed by
// SetFailureMode.
func (f *faults) wrapListener(listener net.Listener) net.Listener {
	return &faultListener{Listener: listener, faults: f}
}

type faultListener struct {
	net.Listener
	faults *faults
}

// Accept returns the next connection. While the store refuses connections, it
// closes new ones.
func (l *faultListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if conn := l.faults.trackConn(conn); conn != nil {
			return conn, nil
		}
	}
}

func (f *faults) trackConn(conn net.Conn) net.Conn {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.mode == Refuse {
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

// Close closes the connection and stops tracking it.
func (c *faultConn) Close() error {
	c.faults.mu.Lock()
	delete(c.faults.conns, c.Conn)
	c.faults.mu.Unlock()
	return c.Conn.Close()
}
