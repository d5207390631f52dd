// Package acceptor is the caller side of the proxy: a PostgreSQL server over
// TCP that authenticates callers, collects their batches and hands them to an
// executor.Opener.
package acceptor

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"io"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/configurer"
	"github.com/endiveturn/endiveturn/executor"
)

// Defaults of the fields of an Acceptor that are zero.
const (
	DefaultMaxMessage        = 1 << 20
	DefaultStartupTimeout    = 10 * time.Second
	DefaultWriteTimeout      = time.Minute
	DefaultDeadline          = 30 * time.Second
	DefaultIdleTransaction   = 30 * time.Second
	DefaultMaxStatements     = 1024
	DefaultMaxStatementBytes = 256 << 10
	DefaultMockIterations    = 4096
)

// An Acceptor serves callers. Set its exported fields before Run; Listener,
// Opener and Set are required.
type Acceptor struct {
	// Listener accepts the connections of callers. Run and Drain close it.
	Listener net.Listener
	// Opener runs the batches.
	Opener executor.Opener
	// Set returns the configuration in force.
	Set func() configurer.Set
	// Admit refuses a caller at startup or before a batch when this host may
	// not serve it now; keyed says whether the caller showed a key. After a
	// refusal with CodeStopping, a connection ends when it has no request and
	// no open transaction: a batch that has arrived is still run.
	Admit func(ctx context.Context, keyed bool) *executor.Refusal
	// HostName is the name of this host; its hash is part of process ids.
	HostName string
	// Secrets is the source of cancel secrets and session names; crypto/rand
	// by default.
	Secrets io.Reader
	// MockSecret makes up salts for unknown keys. Hosts with the same value
	// answer alike; a random one by default.
	MockSecret []byte
	// MockIterations is the iteration count told for unknown keys; use that of
	// the real verifiers.
	MockIterations int
	// TLS is used for callers that ask for it; nil refuses TLS.
	TLS *tls.Config
	// RequireTLS refuses callers without TLS.
	RequireTLS bool
	// AllowCleartext asks callers for the secret itself instead of SCRAM.
	AllowCleartext bool
	// MaxMessage bounds the messages of one batch together, in bytes.
	MaxMessage int
	// MaxStatements and MaxStatementBytes bound the prepared statements of a
	// connection.
	MaxStatements     int
	MaxStatementBytes int
	// StartupTimeout bounds the time from accepting a connection to the end
	// of authentication.
	StartupTimeout time.Duration
	// WriteTimeout bounds how long a caller may leave an answer unread.
	WriteTimeout time.Duration
	// IdleTransactionTimeout bounds how long a caller may leave a transaction
	// open without a request; then the connection ends with FATAL 25P03.
	IdleTransactionTimeout time.Duration
	// Logger gets one line per connection opened, closed and refused.
	Logger *slog.Logger
	// Now returns the time.
	Now func() time.Time
	// ConnectionOpened and ConnectionClosed are called for every connection
	// that was admitted.
	ConnectionOpened func()
	ConnectionClosed func()
	// BatchDone is called after every batch that was handed to Opener, with
	// one of the Outcome constants.
	BatchDone func(duration time.Duration, outcome string)
	// CancelRemote passes on a cancel request whose process id belongs to
	// another host.
	CancelRemote func(processID, secret uint32)

	setDefaults sync.Once
	mu          sync.Mutex
	// conns holds every accepted connection, also during startup.
	conns map[*connection]struct{}
	// byID holds the admitted connections by the lower half of their process
	// ids.
	byID   map[uint16]*connection
	lastID uint16
	// perCustomer counts admitted connections.
	perCustomer map[string]int
	// draining is set when no new connection is accepted; gone is closed when
	// there is none left after that. draining is changed under mu and read
	// without it between two requests.
	draining atomic.Bool
	gone     chan struct{}
}

// Outcomes passed to BatchDone.
const (
	OutcomeDone       = "done"
	OutcomeNotRun     = "not_run"
	OutcomeUnknown    = "unknown"
	OutcomeRolledBack = "rolled_back"
)

// init sets defaults once.
func (a *Acceptor) init() {
	a.setDefaults.Do(func() {
		a.conns = make(map[*connection]struct{})
		a.byID = make(map[uint16]*connection)
		a.perCustomer = make(map[string]int)
		a.gone = make(chan struct{})
		setDefault(&a.MaxMessage, DefaultMaxMessage)
		setDefault(&a.MaxStatements, DefaultMaxStatements)
		setDefault(&a.MaxStatementBytes, DefaultMaxStatementBytes)
		setDefault(&a.MockIterations, DefaultMockIterations)
		setDefault(&a.StartupTimeout, DefaultStartupTimeout)
		setDefault(&a.WriteTimeout, DefaultWriteTimeout)
		setDefault(&a.IdleTransactionTimeout, DefaultIdleTransaction)
		if a.Secrets == nil {
			a.Secrets = rand.Reader
		}
		if a.MockSecret == nil {
			a.MockSecret = make([]byte, 32)
			// The function never fails: it ends the process if the system has
			// no random numbers.
			_, _ = rand.Read(a.MockSecret)
		}
		if a.Logger == nil {
			a.Logger = slog.New(slog.DiscardHandler)
		}
		if a.Now == nil {
			a.Now = time.Now
		}
		if a.Admit == nil {
			a.Admit = func(context.Context, bool) *executor.Refusal { return nil }
		}
	})
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Run accepts callers until ctx ends or Drain is called, and returns when the
// last connection is closed. When ctx ends, it does not wait for requests.
func (a *Acceptor) Run(ctx context.Context) error {
	a.init()
	stop := context.AfterFunc(ctx, func() {
		a.stopAccepting()
		a.kill()
	})
	defer stop()
	var watch sync.WaitGroup
	defer watch.Wait()
	watch.Go(a.watchCallers)
	err := a.accept(ctx)
	if err != nil {
		a.stopAccepting()
		a.kill()
	}
	<-a.gone
	return err
}

// accept serves connections until the listener is closed.
func (a *Acceptor) accept(ctx context.Context) error {
	for {
		nc, err := a.Listener.Accept()
		switch {
		case err == nil:
			a.admitSocket(ctx, nc)
		case a.isDraining():
			return nil
		case errors.Is(err, net.ErrClosed):
			return errors.Wrap(err, "accept")
		default:
			// Most often the process has no file descriptors left; a pause
			// lets connections end.
			a.Logger.Warn("accept failed", "error", err)
			pause(ctx, acceptPause)
		}
	}
}

// acceptPause is the time between attempts to accept when the system refuses.
const acceptPause = 50 * time.Millisecond

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// admitSocket starts serving a socket unless the acceptor drains.
func (a *Acceptor) admitSocket(ctx context.Context, nc net.Conn) {
	c := &connection{acceptor: a, conn: nc, status: statusIdle, startedAt: a.Now()}
	c.reader.fillFrom = c.read
	a.mu.Lock()
	draining := a.draining.Load()
	if !draining {
		a.conns[c] = struct{}{}
	}
	a.mu.Unlock()
	if draining {
		nc.Close()
		return
	}
	go c.start(ctx)
}

// Drain stops accepting and ends every connection with FATAL 57P01 once it has
// no request and no open transaction. When ctx ends it ends the rest. It
// returns when no connection is left.
func (a *Acceptor) Drain(ctx context.Context) {
	a.init()
	a.stopAccepting()
	a.each(func(c *connection) { c.wake() })
	select {
	case <-a.gone:
	case <-ctx.Done():
		a.kill()
		<-a.gone
	}
}

// Recheck ends the idle connections whose key or route no longer admits them,
// and all idle connections if Admit says that the host stops. Call it when a
// new Set is in force; the others are checked before their next batch.
func (a *Acceptor) Recheck() {
	a.init()
	set := a.Set()
	stopping := isStopping(a.Admit(context.Background(), false))
	a.each(func(c *connection) {
		if stopping || c.checkAccess(set) != nil {
			c.wake()
		}
	})
}

func isStopping(refusal *executor.Refusal) bool {
	return refusal != nil && refusal.Code == executor.CodeStopping
}

// Connections returns the number of admitted connections.
func (a *Acceptor) Connections() int {
	a.init()
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.byID)
}

// stopAccepting closes the listener and marks the acceptor as draining.
func (a *Acceptor) stopAccepting() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.draining.Load() {
		return
	}
	a.draining.Store(true)
	a.Listener.Close()
	if len(a.conns) == 0 {
		close(a.gone)
	}
}

// kill ends all connections, also those with a request.
func (a *Acceptor) kill() {
	a.mu.Lock()
	conns := make([]*connection, 0, len(a.conns))
	for c := range a.conns {
		conns = append(conns, c)
	}
	a.mu.Unlock()
	for _, c := range conns {
		c.kill()
	}
}

// each calls f for every admitted connection.
func (a *Acceptor) each(f func(*connection)) {
	a.mu.Lock()
	conns := make([]*connection, 0, len(a.byID))
	for _, c := range a.byID {
		conns = append(conns, c)
	}
	a.mu.Unlock()
	for _, c := range conns {
		f(c)
	}
}

func (a *Acceptor) isDraining() bool { return a.draining.Load() }
