// Package server runs one host of the fleet: it accepts client connections,
// forwards their batches to the holders of their services, holds services itself
// and follows the published configuration.
package server

import (
	"context"
	"crypto/sha256"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/endiveturn/endiveturn/acceptor"
	"github.com/endiveturn/endiveturn/budgeter"
	"github.com/endiveturn/endiveturn/configurer"
	"github.com/endiveturn/endiveturn/gossiper"
	"github.com/endiveturn/endiveturn/holder"
	"github.com/endiveturn/endiveturn/limiter"
	"github.com/endiveturn/endiveturn/messenger"
	"github.com/endiveturn/endiveturn/promoter"
	"github.com/endiveturn/endiveturn/storer"
	"github.com/endiveturn/endiveturn/timekeeper"
)

const (
	// adminTimeout bounds opening an administration connection to a database and
	// dialling another host.
	adminTimeout = 300 * time.Millisecond
	// endpointDialTimeout bounds opening a connection to an endpoint.
	endpointDialTimeout = 2 * time.Second
	// maxHistoryConfigs is the number of configurations that are kept as bases for
	// deltas.
	maxHistoryConfigs = 8
)

// A Server is one host. Its exported fields must be set before Prepare or Run;
// those marked as optional may be nil.
type Server struct {
	Settings Settings
	// Store is the platform's key-value store.
	Store storer.Store
	// ClientListener and PeerListener accept the connections of clients and of
	// other hosts; optional. If nil, Prepare listens on the addresses in Settings.
	ClientListener net.Listener
	PeerListener   net.Listener
	// DialPeer opens connections to other hosts; optional.
	DialPeer func(ctx context.Context, address string) (net.Conn, error)
	// DialEndpoint opens connections to databases; optional.
	DialEndpoint func(ctx context.Context, address string) (net.Conn, error)
	// Now returns the time by which leases, freshness and rates are measured. The default is
	// timekeeper.Now, since a suspension of the machine must end the lease of a holder.
	Now func() time.Time
	// Logger is optional.
	Logger *slog.Logger
	// Registry receives the metrics; optional.
	Registry metrics.Registry

	activeConfig atomic.Pointer[configurer.Config]
	history      configHistory
	// ready is set once this host may serve: its configuration was read from the
	// store, or a majority of the hosts has no newer one.
	ready atomic.Bool
	// leaving is set once a graceful stop has begun.
	leaving atomic.Bool
	// disconnectedHosts holds the names of failed hosts whose connections were
	// closed.
	disconnectedHosts sync.Map
	// counterCache holds counters by name.
	counterCache sync.Map
	// timerCache holds the bufferedTimer of each timer by name.
	timerCache sync.Map
	// reachable caches which services each customer can reach.
	reachable atomic.Pointer[reachableServices]
	// holderConfigurations caches the holder.Configuration of each service.
	holderConfigurations sync.Map

	acceptor   *acceptor.Acceptor
	peerClient *messenger.Client
	peerServer *messenger.Server
	gossip     *gossiper.Gossiper
	subscriber *configurer.Subscriber
	limiter    *limiter.Limiter
	placer     *placer
	forwarder  *forwarder
	budget     *retryBudget
	// clientBudget bounds what connections of clients, other hosts and HTTP use.
	clientBudget *budgeter.Budget
	started      time.Time
	// runMu guards cancelRun and stopped.
	runMu sync.Mutex
	// cancelRun makes Run return; it is nil before Run.
	cancelRun context.CancelFunc
	// stopped is set if Stop was called before Run.
	stopped     bool
	stopOnce    sync.Once
	prepareOnce sync.Once
}

// Run serves until ctx is cancelled or Stop has finished.
func (s *Server) Run(ctx context.Context) error {
	if err := s.Prepare(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !s.begin(cancel) {
		s.Logger.Info("host_stopped", "host", s.Settings.Host, "error", nil)
		return s.closeListeners()
	}
	s.Logger.Info("host_started", "host", s.Settings.Host, "data_centre", s.Settings.DataCentre,
		"caller_address", s.ClientListener.Addr(), "peer_address", s.PeerListener.Addr())
	var group run.Group
	for _, actor := range s.actors() {
		actorCtx, stop := context.WithCancel(ctx)
		group.Add(func() error { return actor(actorCtx) }, func(error) { stop() })
	}
	err := group.Run()
	s.peerClient.Close()
	s.Logger.Info("host_stopped", "host", s.Settings.Host, "error", err)
	if ctx.Err() != nil || errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// begin records that Run has begun. It returns false if the host has already been
// stopped.
func (s *Server) begin(cancel context.CancelFunc) bool {
	s.runMu.Lock()
	defer s.runMu.Unlock()
	s.cancelRun = cancel
	return !s.stopped
}

// stopBeforeRun makes Run return at once if it has not begun, and reports whether it
// has not.
func (s *Server) stopBeforeRun() bool {
	s.runMu.Lock()
	defer s.runMu.Unlock()
	s.stopped = s.cancelRun == nil
	return s.stopped
}

func (s *Server) closeListeners() error {
	clientErr, peerErr := s.ClientListener.Close(), s.PeerListener.Close()
	if clientErr != nil {
		return errors.Wrap(clientErr, "close client listener")
	}
	return errors.Wrap(peerErr, "close peer listener")
}

// actors returns the components of the host. All of them are stopped as soon as
// one returns.
func (s *Server) actors() []func(context.Context) error {
	return []func(context.Context) error{
		s.waitUntilCancelled,
		untilCancelled(s.peerServer.Run),
		s.gossip.Run,
		s.subscriber.Run,
		s.waitUntilReady,
		s.placer.run,
		untilCancelled(s.acceptor.Run),
		s.serveHTTP,
	}
}

// untilCancelled returns an actor that, after a return without an error, waits
// for the cancellation of ctx. A graceful stop drains client connections, held
// services and peer connections concurrently; without the wait, the first one to
// finish would stop the others before they have drained.
func untilCancelled(actor func(context.Context) error) func(context.Context) error {
	return func(ctx context.Context) error {
		if err := actor(ctx); err != nil {
			return err
		}
		<-ctx.Done()
		return nil
	}
}

func (s *Server) waitUntilCancelled(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// Prepare opens the listeners and creates the components. Run calls it; call it
// before Run to obtain the listen addresses first.
func (s *Server) Prepare(ctx context.Context) error {
	var err error
	s.prepareOnce.Do(func() {
		s.setDefaults()
		if err = s.listen(ctx); err == nil {
			err = s.createComponents()
		}
	})
	return err
}

func (s *Server) setDefaults() {
	if s.Now == nil {
		s.Now = timekeeper.Now
	}
	if s.Logger == nil {
		s.Logger = slog.Default()
	}
	if s.Registry == nil {
		s.Registry = metrics.NewRegistry()
	}
	if s.DialEndpoint == nil {
		s.DialEndpoint = dialEndpoint
	}
	s.started = s.Now()
	s.activeConfig.Store(&configurer.Config{})
}

func dialEndpoint(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: endpointDialTimeout}
	return dialer.DialContext(ctx, "tcp", address)
}

func (s *Server) listen(ctx context.Context) error {
	for _, l := range []struct {
		listener *net.Listener
		address  string
	}{{&s.ClientListener, s.Settings.ClientAddress}, {&s.PeerListener, s.Settings.PeerAddress}} {
		if *l.listener != nil {
			continue
		}
		listener, err := budgeter.ListenTCP(ctx, l.address)
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		*l.listener = listener
	}
	return nil
}

func (s *Server) createComponents() error {
	tlsConfig, err := s.Settings.TLS()
	if err != nil {
		return err
	}
	s.peerClient = &messenger.Client{Dial: s.DialPeer, DialTimeout: adminTimeout, Logger: s.Logger}
	s.budget = &retryBudget{now: s.Now}
	s.clientBudget = s.newClientBudget()
	s.limiter = &limiter.Limiter{Now: s.Now, MaxWait: s.Settings.RateWait, Donors: s.donors, Pull: s.pullTokens, OnTokensReceived: s.countTokens}
	s.placer = &placer{
		server: s, handOver: s.handOver, wakeups: make(chan struct{}, 1),
		held: map[string]*heldService{}, handovers: map[*heldService]chan struct{}{},
		claimNotBefore: map[string]time.Time{}, takeoverUntil: map[string]time.Time{},
	}
	s.forwarder = &forwarder{locate: s.locate, allowRetry: s.budget.allow, now: s.Now, logger: s.Logger, countEvent: s.count}
	s.gossip = s.newGossiper()
	s.subscriber = s.newSubscriber()
	s.peerServer = s.newPeerServer()
	s.acceptor = &acceptor.Acceptor{
		Listener: s.ClientListener, Opener: s.forwarder, Config: s.Config, Admit: s.admit, HostName: s.Settings.Host,
		TLS: tlsConfig, RequireTLS: s.Settings.RequireTLS, AllowCleartext: s.Settings.AllowCleartext,
		Budget:                 s.clientBudget,
		StartupTimeout:         s.Settings.StartupTimeout,
		MessageTimeout:         s.Settings.MessageTimeout,
		WriteTimeout:           s.Settings.WriteTimeout,
		MockSecret:             mockSecret(s.Settings.EndpointPassword),
		IdleTransactionTimeout: s.Settings.IdleTransactionTimeout,
		MaxBatchBytes:          s.Settings.MaxMessageBytes, Logger: s.Logger, Now: s.Now,
		ConnectionOpened: func() { s.count("caller_connections_opened") },
		ConnectionClosed: func() { s.count("caller_connections_closed") },
		BatchDone:        s.batchDone,
		CancelRemote:     s.cancelRemote,
	}
	return nil
}

// mockSecret returns a secret that is the same on all hosts. They derive the
// SCRAM salts of unknown keys from it: salts that differ between hosts would
// reveal that a key does not exist.
func mockSecret(endpointPassword string) []byte {
	sum := sha256.Sum256([]byte("salt of unknown keys\x00" + endpointPassword))
	return sum[:]
}

// Config returns the active configuration of this host; its revision is 0 before
// the first configuration was adopted.
func (s *Server) Config() configurer.Config { return *s.activeConfig.Load() }

// dialAdmin opens an administration connection to a database.
func (s *Server) dialAdmin(ctx context.Context, member promoter.Member) (promoter.Admin, error) {
	dialer := promoter.Dialer{Password: s.Settings.AdminPassword, Timeout: adminTimeout, DialContext: s.DialEndpoint}
	return dialer.Dial(ctx, member)
}

// Stop stops the host gracefully: it announces that the host leaves, hands its
// services over, and closes client connections between two requests. If ctx ends
// first, the remaining requests are interrupted. If Run has not begun, it returns at
// once when it is called.
func (s *Server) Stop(ctx context.Context) {
	s.stopOnce.Do(func() {
		if s.stopBeforeRun() {
			return
		}
		start := s.Now()
		s.Logger.Info("host_stopping", "host", s.Settings.Host)
		s.leaving.Store(true)
		s.gossip.Leave(ctx)
		var group sync.WaitGroup
		group.Go(func() { s.acceptor.Drain(ctx) })
		group.Go(func() { s.placer.handOverAll(ctx) })
		group.Wait()
		if err := s.peerServer.Drain(ctx); err != nil {
			s.Logger.Warn("peer_drain_incomplete", "host", s.Settings.Host, "error", err)
		}
		s.Logger.Info("host_drained", "host", s.Settings.Host, "duration", s.Now().Sub(start))
		s.cancelRun()
	})
}

func (s *Server) holderCallbacks() holder.Callbacks {
	return holder.Callbacks{
		Routed:    s.countRouted,
		Queued:    func(_ string, wait time.Duration) { s.timer("queue_wait").Update(wait) },
		Confirmed: func(wait time.Duration) { s.timer("confirmation_wait").Update(wait) },
		Retried:   func() { s.count("holder_retries") },
		Refused:   func(_, code string) { s.count("holder_refused_" + code) },
	}
}
