// Package acceptor is the client-facing side of the proxy: a PostgreSQL server
// over TCP that authenticates clients, collects their messages into batches and
// passes these to an executor.Opener.
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

	"github.com/endiveturn/endiveturn/budgeter"
	"github.com/endiveturn/endiveturn/configurer"
	"github.com/endiveturn/endiveturn/executor"
	"github.com/endiveturn/endiveturn/timekeeper"
)

// Defaults for fields of Acceptor that are zero.
const (
	DefaultMaxBatchBytes  = 1 << 20
	DefaultStartupTimeout = 10 * time.Second
	// DefaultWriteTimeout is half of DefaultDeadline: a client that does not read keeps
	// a slot of the database, for which others wait until their deadlines. With a minute,
	// many such clients kept ordinary ones from being served for 40 s.
	DefaultWriteTimeout           = 15 * time.Second
	DefaultMessageTimeout         = 15 * time.Second
	DefaultDeadline               = 30 * time.Second
	DefaultIdleTransactionTimeout = 30 * time.Second
	DefaultMaxStatements          = 1024
	DefaultMaxStatementBytes      = 256 << 10
	DefaultMockIterations         = 4096
)

// An Acceptor serves client connections. Set its exported fields before Run;
// Listener, Opener and Config are required.
type Acceptor struct {
	// Listener accepts client connections. Run and Drain close it.
	Listener net.Listener
	// Opener opens the exchanges that run the batches.
	Opener executor.Opener
	// Config returns the configuration in force.
	Config func() configurer.Config
	// Admit returns a refusal if this host may not serve the client now. It is
	// called at startup and before each batch; hasKey reports whether the client
	// uses a key. After a refusal with CodeStopping, a connection is closed
	// once it has no request and no open transaction: a batch that has already
	// arrived still runs.
	Admit func(ctx context.Context, hasKey bool) *executor.Refusal
	// HostName is the name of this host; its hash is the upper half of the
	// process IDs.
	HostName string
	// Rand is the source of cancel secrets and session identifiers; crypto/rand
	// by default.
	Rand io.Reader
	// MockSecret is the HMAC key from which the mock credentials of unknown
	// keys are derived. Hosts with the same value send the same salts; random
	// by default.
	MockSecret []byte
	// MockIterations is the SCRAM iteration count sent for unknown keys. It
	// should equal that of the stored verifiers, so that the two cannot be
	// distinguished.
	MockIterations int
	// TLS is the configuration for clients that request TLS; if nil, TLS is
	// refused.
	TLS *tls.Config
	// RequireTLS refuses clients without TLS.
	RequireTLS bool
	// AllowCleartext requests the secret itself from clients instead of SCRAM.
	AllowCleartext bool
	// MaxBatchBytes is the maximum total size of the messages of one batch, in
	// bytes.
	MaxBatchBytes int
	// MaxStatements and MaxStatementBytes limit the number and the total size
	// of the prepared statements of a connection.
	MaxStatements     int
	MaxStatementBytes int
	// StartupTimeout limits the time from accepting a connection to the end of
	// authentication.
	StartupTimeout time.Duration
	// WriteTimeout limits how long a write to a client that does not read may
	// block.
	WriteTimeout time.Duration
	// IdleTransactionTimeout limits how long a client may leave a transaction
	// open without a request; after that the connection is closed with FATAL
	// 25P03.
	IdleTransactionTimeout time.Duration
	// MessageTimeout limits the time from the first part of a request to its end. A second
	// is added for each 8 KB that arrive.
	MessageTimeout time.Duration
	// Budget bounds what clients can cause the process to use; nil sets no limit.
	Budget *budgeter.Budget
	// Logger receives one line for each connection opened, closed or refused.
	Logger *slog.Logger
	// Now returns the current time; time.Now by default.
	Now func() time.Time
	// ConnectionOpened and ConnectionClosed are called for each registered
	// connection.
	ConnectionOpened func()
	ConnectionClosed func()
	// BatchDone is called after each batch that was passed to Opener or to an
	// open exchange, with one of the Outcome constants.
	BatchDone func(duration time.Duration, outcome string)
	// CancelRemote forwards a cancel request whose process ID belongs to
	// another host.
	CancelRemote func(processID, secret uint32)

	initOnce sync.Once
	mu       sync.Mutex
	// conns holds all accepted connections, including those in startup.
	conns map[*connection]struct{}
	// byConnID holds the registered connections by the lower half of their
	// process IDs.
	byConnID   map[uint16]*connection
	lastConnID uint16
	// perCustomer counts registered connections by customer.
	perCustomer map[string]int
	// draining is set when no new connections are accepted; drained is closed
	// when no connection is left after that. draining is changed under mu and
	// is read without it between requests.
	draining atomic.Bool
	drained  chan struct{}
}

// Outcomes passed to BatchDone.
const (
	OutcomeDone       = "done"
	OutcomeNotRun     = "not_run"
	OutcomeUnknown    = "unknown"
	OutcomeRolledBack = "rolled_back"
)

// init initializes internal state and sets defaults, once.
func (a *Acceptor) init() {
	a.initOnce.Do(func() {
		a.conns = make(map[*connection]struct{})
		a.byConnID = make(map[uint16]*connection)
		a.perCustomer = make(map[string]int)
		a.drained = make(chan struct{})
		setIfZero(&a.MaxBatchBytes, DefaultMaxBatchBytes)
		setIfZero(&a.MaxStatements, DefaultMaxStatements)
		setIfZero(&a.MaxStatementBytes, DefaultMaxStatementBytes)
		setIfZero(&a.MockIterations, DefaultMockIterations)
		setIfZero(&a.StartupTimeout, DefaultStartupTimeout)
		setIfZero(&a.WriteTimeout, DefaultWriteTimeout)
		setIfZero(&a.MessageTimeout, DefaultMessageTimeout)
		setIfZero(&a.IdleTransactionTimeout, DefaultIdleTransactionTimeout)
		if a.Rand == nil {
			a.Rand = rand.Reader
		}
		if a.MockSecret == nil {
			a.MockSecret = make([]byte, 32)
			// rand.Read never returns an error: it crashes the process if the
			// system cannot provide random numbers.
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

func setIfZero[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Run accepts connections until ctx ends or Drain is called, and returns when
// the last connection is closed. When ctx ends, connections are terminated
// without waiting for their requests.
func (a *Acceptor) Run(ctx context.Context) error {
	a.init()
	stop := context.AfterFunc(ctx, func() {
		a.stopAccepting()
		a.terminateAll()
	})
	defer stop()
	var watcher sync.WaitGroup
	defer watcher.Wait()
	watcher.Go(a.checkConnections)
	err := a.accept(ctx)
	if err != nil {
		a.stopAccepting()
		a.terminateAll()
	}
	<-a.drained
	return err
}

// accept starts connections until the listener is closed.
func (a *Acceptor) accept(ctx context.Context) error {
	for {
		nc, err := a.Listener.Accept()
		switch {
		case err == nil:
			a.startConnection(ctx, nc)
		case a.isDraining():
			return nil
		case errors.Is(err, net.ErrClosed):
			return errors.Wrap(err, "accept client connection")
		default:
			// The usual cause is that the process has run out of file
			// descriptors; the delay allows some connections to end.
			a.Logger.Warn("client_accept_failed", "error", err)
			timekeeper.Sleep(ctx, acceptRetryDelay)
		}
	}
}

// acceptRetryDelay is the delay after a failed accept.
const acceptRetryDelay = 50 * time.Millisecond

// startConnection starts serving nc, or closes it if the acceptor is draining.
func (a *Acceptor) startConnection(ctx context.Context, nc net.Conn) {
	c := &connection{acceptor: a, conn: nc, status: statusIdle, startedAt: a.Now()}
	c.reader.source, c.reader.pay = c.read, c.payFor
	if a.Budget != nil {
		account, err := a.Budget.Open(budgeter.Clients, budgeter.Address(nc), func() { _ = nc.Close() })
		if err != nil {
			_ = nc.Close()
			return
		}
		c.account = account
	}
	a.mu.Lock()
	draining := a.draining.Load()
	if !draining {
		a.conns[c] = struct{}{}
	}
	a.mu.Unlock()
	if draining {
		c.account.End()
		nc.Close()
		return
	}
	go c.start(ctx)
}

// Drain stops accepting connections and closes each connection with FATAL 57P01
// once it has no request and no open transaction. When ctx ends, the remaining
// connections are terminated. Drain returns when no connection is left.
func (a *Acceptor) Drain(ctx context.Context) {
	a.init()
	a.stopAccepting()
	a.forEachRegistered(func(c *connection) { c.interruptRead() })
	select {
	case <-a.drained:
	case <-ctx.Done():
		a.terminateAll()
		<-a.drained
	}
}

// CloseUnauthorizedIdle closes idle connections whose key or route no longer
// grants them access, and all idle connections if Admit reports that the host
// is stopping. Call it after Config has changed; busy connections are checked
// before their next batch.
func (a *Acceptor) CloseUnauthorizedIdle() {
	a.init()
	config := a.Config()
	stopping := isStopping(a.Admit(context.Background(), false))
	a.forEachRegistered(func(c *connection) {
		if stopping || c.checkAccess(config) != nil {
			c.interruptRead()
		}
	})
}

func isStopping(refusal *executor.Refusal) bool {
	return refusal != nil && refusal.Code == executor.CodeStopping
}

// Connections returns the number of registered connections.
func (a *Acceptor) Connections() int {
	a.init()
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.byConnID)
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
		close(a.drained)
	}
}

// terminateAll terminates all connections, including those with a request in
// progress.
func (a *Acceptor) terminateAll() {
	a.mu.Lock()
	conns := make([]*connection, 0, len(a.conns))
	for c := range a.conns {
		conns = append(conns, c)
	}
	a.mu.Unlock()
	for _, c := range conns {
		c.terminate()
	}
}

// forEachRegistered calls f for each registered connection.
func (a *Acceptor) forEachRegistered(f func(*connection)) {
	a.mu.Lock()
	conns := make([]*connection, 0, len(a.byConnID))
	for _, c := range a.byConnID {
		conns = append(conns, c)
	}
	a.mu.Unlock()
	for _, c := range conns {
		f(c)
	}
}

func (a *Acceptor) isDraining() bool { return a.draining.Load() }
