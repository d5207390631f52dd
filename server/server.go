// Package server runs one host: it accepts callers, forwards their batches to
// the holders of their services, holds services itself, and follows the
// published configuration.
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
	"github.com/endiveturn/endiveturn/configurer"
	"github.com/endiveturn/endiveturn/gossiper"
	"github.com/endiveturn/endiveturn/holder"
	"github.com/endiveturn/endiveturn/limiter"
	"github.com/endiveturn/endiveturn/messenger"
	"github.com/endiveturn/endiveturn/promoter"
	"github.com/endiveturn/endiveturn/storer"
)

const (
	// adminTimeout bounds the opening of an administration connection.
	adminTimeout = 300 * time.Millisecond
	// endpointDialTimeout bounds the opening of an endpoint connection.
	endpointDialTimeout = 2 * time.Second
	// keptSets is how many former sets are kept to send deltas against.
	keptSets = 8
)

// A Server is one host. Its exported fields are set before Run; those marked
// as optional may be nil.
type Server struct {
	Settings Settings
	// Store is the platform's store.
	Store storer.Store
	// CallerListener and PeerListener replace listening on the addresses of
	// the settings; optional.
	CallerListener net.Listener
	PeerListener   net.Listener
	// DialPeer opens connections to other hosts; optional.
	DialPeer func(ctx context.Context, address string) (net.Conn, error)
	// DialEndpoint opens connections to databases; optional.
	DialEndpoint func(ctx context.Context, address string) (net.Conn, error)
	// Now returns the time with a monotonic reading; optional.
	Now func() time.Time
	// Logger is optional.
	Logger *slog.Logger
	// Registry receives the metrics; optional.
	Registry metrics.Registry

	set     atomic.Pointer[configurer.Set]
	history setHistory
	// ready is set once this host may serve: it knows the set in force.
	ready atomic.Bool
	// leaving is set when a planned stop has begun.
	leaving atomic.Bool
	// dropped holds the names of failed hosts whose connections were closed.
	dropped sync.Map
	// metrics caches counters by name.
	metrics sync.Map
	// recorders holds the recorder of each timer by its name.
	recorders sync.Map
	// reached caches the services that customers reach.
	reached atomic.Pointer[reach]
	// holderViews caches what holders need of the present set, by service.
	holderViews sync.Map

	acceptor  *acceptor.Acceptor
	client    *messenger.Client
	peers     *messenger.Server
	gossip    *gossiper.Gossiper
	follower  *configurer.Follower
	limiter   *limiter.Limiter
	placer    *placer
	forwarder *forwarder
	budget    *retryBudget
	started   time.Time
	// stop makes Run end; drained is closed when a planned stop has finished.
	stop context.CancelFunc
	once sync.Once
	init sync.Once
}

// Run serves until ctx ends or Stop has finished.
func (s *Server) Run(ctx context.Context) error {
	if err := s.Prepare(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.stop = cancel
	s.Logger.Info("host started", "host", s.Settings.Host, "data_centre", s.Settings.DataCentre,
		"caller_address", s.CallerListener.Addr(), "peer_address", s.PeerListener.Addr())
	var group run.Group
	for _, actor := range s.actors() {
		actorCtx, stop := context.WithCancel(ctx)
		group.Add(func() error { return actor(actorCtx) }, func(error) { stop() })
	}
	err := group.Run()
	s.client.Close()
	s.Logger.Info("host stopped", "host", s.Settings.Host, "error", err)
	if ctx.Err() != nil || errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// actors returns the parts that run until one of them ends.
func (s *Server) actors() []func(context.Context) error {
	return []func(context.Context) error{
		s.waitForEnd,
		untilEnd(s.peers.Run),
		s.gossip.Run,
		s.follower.Run,
		s.awaitReady,
		s.placer.run,
		untilEnd(s.acceptor.Run),
		s.serveHTTP,
	}
}

// untilEnd keeps a part that has drained from ending the others: a planned
// stop drains callers, holdings and peers at the same time, and the first to
// finish would cut the rest.
func untilEnd(actor func(context.Context) error) func(context.Context) error {
	return func(ctx context.Context) error {
		if err := actor(ctx); err != nil {
			return err
		}
		<-ctx.Done()
		return nil
	}
}

func (s *Server) waitForEnd(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// Prepare opens the listeners and puts the parts together. Run calls it; a
// caller that has to know the addresses first calls it before.
func (s *Server) Prepare(ctx context.Context) error {
	var err error
	s.init.Do(func() {
		s.setDefaults()
		if err = s.listen(ctx); err == nil {
			err = s.assemble()
		}
	})
	return err
}

func (s *Server) setDefaults() {
	if s.Now == nil {
		s.Now = time.Now
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
	s.set.Store(&configurer.Set{})
}

func dialEndpoint(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: endpointDialTimeout}
	return dialer.DialContext(ctx, "tcp", address)
}

func (s *Server) listen(ctx context.Context) error {
	var config net.ListenConfig
	for _, l := range []struct {
		listener *net.Listener
		address  string
	}{{&s.CallerListener, s.Settings.CallerAddress}, {&s.PeerListener, s.Settings.PeerAddress}} {
		if *l.listener != nil {
			continue
		}
		listener, err := config.Listen(ctx, "tcp", l.address)
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		*l.listener = listener
	}
	return nil
}

func (s *Server) assemble() error {
	tlsConfig, err := s.Settings.TLS()
	if err != nil {
		return err
	}
	s.client = &messenger.Client{Dial: s.DialPeer, DialTimeout: adminTimeout, Logger: s.Logger}
	s.budget = &retryBudget{now: s.Now}
	s.limiter = &limiter.Limiter{Now: s.Now, Wait: s.Settings.RateWait, Donors: s.donors, Pull: s.pullTokens, Moved: s.countTokens}
	s.placer = &placer{
		server: s, wake: make(chan struct{}, 1), holdings: map[string]*holding{},
		notBefore: map[string]time.Time{}, invited: map[string]time.Time{},
	}
	s.forwarder = &forwarder{locate: s.locate, allowRetry: s.budget.allow, now: s.Now, logger: s.Logger, counted: s.count}
	s.gossip = s.newGossiper()
	s.follower = s.newFollower()
	s.peers = s.newPeerServer()
	s.acceptor = &acceptor.Acceptor{
		Listener: s.CallerListener, Opener: s.forwarder, Set: s.Set, Admit: s.admit, HostName: s.Settings.Host,
		TLS: tlsConfig, RequireTLS: s.Settings.RequireTLS, AllowCleartext: s.Settings.AllowCleartext,
		MockSecret:             mockSecret(s.Settings.EndpointPassword),
		IdleTransactionTimeout: s.Settings.IdleTransactionTimeout,
		MaxMessage:             s.Settings.MaxMessageBytes, Logger: s.Logger, Now: s.Now,
		ConnectionOpened: func() { s.count("caller_connections_opened") },
		ConnectionClosed: func() { s.count("caller_connections_closed") },
		BatchDone:        s.batchDone,
		CancelRemote:     s.cancelRemote,
	}
	return nil
}

// mockSecret returns a secret that all hosts share, so that they make up the
// same salt for an unknown key; different salts would tell it from a real one.
func mockSecret(endpointPassword string) []byte {
	sum := sha256.Sum256([]byte("salt of unknown keys\x00" + endpointPassword))
	return sum[:]
}

// Set returns the configuration in force on this host; its revision is 0
// before the first.
func (s *Server) Set() configurer.Set { return *s.set.Load() }

// dialAdmin opens an administration connection.
func (s *Server) dialAdmin(ctx context.Context, member promoter.Member) (promoter.Admin, error) {
	dialer := promoter.Dialer{Password: s.Settings.AdminPassword, Timeout: adminTimeout, DialContext: s.DialEndpoint}
	return dialer.Dial(ctx, member)
}

// Stop ends the host without cutting a request: it announces that it leaves,
// hands its services over, and tells callers between requests. When ctx ends
// before that, the rest is cut.
func (s *Server) Stop(ctx context.Context) {
	s.once.Do(func() {
		start := s.Now()
		s.Logger.Info("planned stop", "host", s.Settings.Host)
		s.leaving.Store(true)
		s.gossip.Leave(ctx)
		var group sync.WaitGroup
		group.Go(func() { s.acceptor.Drain(ctx) })
		group.Go(func() { s.placer.handAllOver(ctx) })
		group.Wait()
		if err := s.peers.Drain(ctx); err != nil {
			s.Logger.Warn("exchanges of other hosts cut", "host", s.Settings.Host, "error", err)
		}
		s.Logger.Info("planned stop finished", "host", s.Settings.Host, "duration", s.Now().Sub(start))
		s.stop()
	})
}

func (s *Server) holderCounters() holder.Counters {
	return holder.Counters{
		Routed:    s.countRouted,
		Queued:    func(_ string, wait time.Duration) { s.timer("queue_wait").Update(wait) },
		Confirmed: func(wait time.Duration) { s.timer("confirmation_wait").Update(wait) },
		Retried:   func() { s.count("holder_retries") },
		Refused:   func(_, code string) { s.count("holder_refused_" + code) },
	}
}
