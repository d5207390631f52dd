package hoster

import (
	"context"
	"log/slog"
	"net"
	"os"
	"reflect"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/pkg/errors"
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/endiveturn/endiveturn/accountant"
	"github.com/endiveturn/endiveturn/budgeter"
	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/director"
	"github.com/endiveturn/endiveturn/exchanger"
	"github.com/endiveturn/endiveturn/forwarder"
	"github.com/endiveturn/endiveturn/informer"
	"github.com/endiveturn/endiveturn/limiter"
	"github.com/endiveturn/endiveturn/overseer"
	"github.com/endiveturn/endiveturn/reporter"
	"github.com/endiveturn/endiveturn/storer"
	"github.com/endiveturn/endiveturn/timekeeper"
)

// A Platform provides the functions of the platform that a host depends on.
type Platform struct {
	Store   storer.KeyValueStore
	Decoder Decoder
	// StorePrefix is the prefix of all keys that the host reads.
	StorePrefix string
	// IsExternalKey reports whether a key is written by operators or databases
	// rather than by hosts.
	IsExternalKey func(key string) bool
	// ReadinessPath is the path of the load balancer's health check.
	ReadinessPath string
	// Client wraps an accepted connection, which takes its memory from the account.
	Client func(conn net.Conn, account *budgeter.Account) director.Client
	// Databases opens connections to databases and queries their state.
	Databases Databases
	// Promote requests a promotion on behalf of the host.
	Promote func(ctx context.Context, host string, promotion overseer.Promotion) error
	// ReportUsage sends a report of the requests in a window. It may be nil if the settings
	// have no usage address.
	ReportUsage func(ctx context.Context, report accountant.Report) error
}

// A Host is one process of the fleet. Its exported fields are set before Run.
type Host struct {
	Settings Settings
	Platform Platform
	Logger   *slog.Logger
	// Writer writes the lines of Logger.
	Writer   *reporter.Writer
	Registry gometrics.Registry
	// Listen opens the listener of an address of the settings. If it is nil, the
	// host listens on TCP.
	Listen func(ctx context.Context, address string) (net.Listener, error)
	// Dial connects to another host. If it is nil, the host connects over TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	incarnation string
	started     time.Time
	mirror      *informer.Mirror
	director    *director.Director
	limits      *limiter.FleetLimiter
	exchanger   *exchanger.Exchanger
	forwarder   *forwarder.Server
	overseer    *overseer.Overseer
	// accounting counts requests for usage reports, nil where none are required.
	accounting *accounting
	// changed and changedDeferrable signal a change of the mirror, see notifyChange.
	changed, changedDeferrable chan struct{}
	relays                     relays
	budget                     *budgeter.Budget
	// fallbackHub is the name of the fallback hub that this host contacts first, nil if
	// it contacts none.
	fallbackHub atomic.Pointer[string]
	// leaderRecord is the record of the leader that was decoded last.
	leaderRecord atomic.Pointer[leaderRecord]
	// reusesResults is set by Run. majorityInstant and stoppingReported are then reused in
	// large fleets.
	reusesResults    bool
	majorityInstant  atomic.Pointer[majorityInstant]
	stoppingReported atomic.Pointer[stoppingNames]
	stopping         atomic.Bool
	// ended is set once this process uses no primary and confirms no view any more.
	ended atomic.Bool

	// mu guards the fields below. While it is held, no lock but the mirror's is
	// acquired.
	mu          sync.Mutex
	catalog     *cataloger.Catalog
	recentHosts recentHosts
	newHosts    newHosts
	// majorityFreshAsOf is the latest instant as of which another host that has heard
	// a majority confirmed the freshness of the view.
	majorityFreshAsOf time.Time
}

// Run serves until ctx ends and the shutdown that follows is complete.
func (h *Host) Run(ctx context.Context) error {
	h.prepare()
	h.reusesResults = true
	listeners, err := h.openListeners(ctx)
	if err != nil {
		return err
	}
	h.Logger.Info("host_started", "host", h.Settings.Host, "incarnation", h.incarnation, "data_centre", h.Settings.DataCentre,
		"client_address", h.Settings.ClientAddress, "peer_address", h.Settings.PeerAddress)
	workCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var group run.Group
	add := func(execute func(context.Context) error) {
		group.Add(func() error { return execute(workCtx) }, func(error) { cancel() })
	}
	watcher := informer.NewWatcher()
	watcher.Store, watcher.Mirror, watcher.Prefix = h.Platform.Store, h.mirror, h.Platform.StorePrefix
	watcher.Wait, watcher.Now, watcher.Logger = h.watchWait, timekeeper.Now, h.Logger
	watcher.Suspended, watcher.CoalesceDelay, watcher.MaxBackoff = func() bool { return !h.readsStore() }, h.coalesceDelay, h.maxStoreBackoff
	if h.accounting != nil {
		watcher.Excluded = isCheckpoint
	}
	add(watcher.Run)
	add(func(ctx context.Context) error { return h.triggerRelists(ctx, watcher) })
	add(h.buildCatalogs)
	add(h.exchanger.Run)
	add(func(ctx context.Context) error {
		return h.exchanger.Serve(ctx, h.counted(listeners.peers, budgeter.Peers))
	})
	add(h.overseer.Run)
	add(h.maintain)
	if h.accounting != nil {
		add(h.accounting.recordWindows)
		add(h.accounting.sendReports)
		add(h.accounting.writeCheckpoints)
	}
	add(func(ctx context.Context) error { return h.accept(ctx, listeners.clients) })
	add(func(ctx context.Context) error {
		return h.serveHTTP(ctx, h.counted(listeners.readiness, budgeter.HTTP), h.readiness())
	})
	if listeners.metrics != nil {
		add(func(ctx context.Context) error {
			return h.serveHTTP(ctx, h.counted(listeners.metrics, budgeter.HTTP), h.metrics())
		})
	}
	group.Add(func() error { return h.awaitStop(ctx, workCtx) }, func(error) { cancel() })
	logCtx, cancelLogs := context.WithCancel(context.WithoutCancel(ctx))
	logsDone := make(chan struct{})
	go func() {
		defer close(logsDone)
		// Run always returns the error of its context.
		_ = h.Writer.Run(logCtx)
	}()
	defer func() {
		cancelLogs()
		<-logsDone
	}()
	err = group.Run()
	h.Logger.Info("host_stopped", "host", h.Settings.Host, "incarnation", h.incarnation)
	if errors.Is(err, context.Canceled) || errors.Is(err, errStopped) {
		return nil
	}
	return err
}

func (h *Host) prepare() {
	h.incarnation = strconv.FormatInt(timekeeper.Now().UnixNano(), 36) + "-" + strconv.Itoa(os.Getpid())
	h.started = timekeeper.Now()
	h.Platform.Store = countCalls(h.Platform.Store, h.Registry)
	h.changed, h.changedDeferrable = make(chan struct{}, 1), make(chan struct{}, 1)
	h.budget = h.newBudget()
	h.mirror = &informer.Mirror{
		Now: timekeeper.Now, OnChange: h.notifyChange, Deferrable: h.deferrable, InDigest: h.Platform.IsExternalKey,
		WrittenIn: h.writtenIn, OnConflict: h.reportConflict,
	}
	h.recentHosts, h.newHosts = make(recentHosts), make(newHosts)
	h.limits = limiter.NewFleetLimiter(timekeeper.Now)
	h.director = &director.Director{
		Host: h.Settings.Host, DataCentre: h.Settings.DataCentre, Dial: h.Platform.Databases.Dial, Balance: h.Settings.Balance, Limits: h.limits, Now: time.Now,
		StartupTimeout: h.Settings.StartupTimeout,
		SinceBoot:      timekeeper.Now, ViewCompleteAsOf: h.viewCompleteAsOf, LocalTime: h.localTime, AssignmentRevision: h.assignmentRevision, Logger: h.Logger,
		Metrics: &director.Metrics{Registry: h.Registry}, Forwarder: h.newForwardingClient(),
	}
	h.forwarder = &forwarder.Server{
		Begin: h.director.BeginForwarded, IdleTransactionTimeout: h.director.ForwardedIdleTimeout,
		MaxOperations: maxForwardedOperations, MaxBytes: h.Settings.maxForwardedBytes(),
		SinceBoot: timekeeper.Now,
	}
	h.exchanger = &exchanger.Exchanger{
		Host: h.Settings.Host, Report: h.report, RecordsSince: h.recordsSince, OnMessage: h.handleMessage, Peers: h.peerAddresses, MustInitiate: h.mustInitiate,
		Pause: h.exchangePause,
		Seeds: otherSeeds(h.Settings), Now: timekeeper.Now, Logger: h.Logger, Register: h.forwarder.Register,
		Dial: h.Dial,
	}
	h.overseer = &overseer.Overseer{
		Host: cataloger.Host{
			Name: h.Settings.Host, Incarnation: h.incarnation, Address: h.Settings.PeerAddress, DataCentre: h.Settings.DataCentre,
			Capacity: h.Settings.capacity(),
		},
		Store: h.Platform.Store, Mirror: h.mirror, Catalog: h.latestCatalog, RebuildCatalog: func() { h.notifyChange(false) }, Members: h.members, Self: h.self,
		HeardAt:          func(host string) time.Time { return h.exchanger.Peer(host).HeardAt },
		TriggerExchanges: h.exchanger.TriggerExchanges, Status: h.Platform.Databases.Status, Demote: h.Platform.Databases.Demote,
		Promote: func(ctx context.Context, promotion overseer.Promotion) error {
			return h.Platform.Promote(ctx, h.Settings.Host, promotion)
		},
		ViewCompleteAsOf: h.viewCompleteAsOf, MaxViewAge: director.MaxViewAge, MajorityExpiry: majorityExpiry, FleetExpiry: fleetExpiry,
		RecentlyStarted: h.recentlyStarted, Uptime: h.uptime, CountEvent: func(name string) { gometrics.GetOrRegisterCounter(name, h.Registry).Inc(1) }, Now: timekeeper.Now, Logger: h.Logger,
	}
	if h.Settings.UsageAddress != "" {
		h.accounting = newAccounting(h)
		h.overseer.MayTransfer = h.accounting.sender.MayTransfer
		h.director.BeginRequest, h.director.EndRequest = h.accounting.book.Begin, h.accounting.book.End
	}
}

// writtenIn returns the era in which a host wrote a record that outlasts a restore of the
// store.
func (h *Host) writtenIn(key string, value []byte) (era int64, ok bool) {
	if h.Settings.UsageAddress != "" && key == accountant.RecordKey {
		return accountant.WrittenIn(key, value)
	}
	return overseer.WrittenIn(key, value)
}

// establishedAge is the time after which a host counts as one that runs reliably.
const establishedAge = 15 * time.Second

// recentlyStarted reports whether this host leaves leadership to others if there are any.
func (h *Host) recentlyStarted() bool { return timekeeper.Now().Sub(h.started) < establishedAge }

func otherSeeds(s Settings) []string {
	var seeds []string
	for _, seed := range s.Seeds {
		if seed != s.PeerAddress {
			seeds = append(seeds, seed)
		}
	}
	return seeds
}

// Reload applies changed settings as far as that is possible without a restart: only
// the stop timeout changes, addresses stay as they were.
func (h *Host) Reload(settings Settings) {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.Settings
	h.Settings.StopTimeout = settings.StopTimeout
	kept := old
	kept.StopTimeout = settings.StopTimeout
	ignored := !reflect.DeepEqual(kept, settings)
	h.Logger.Info("settings_reloaded", "stop_timeout", settings.StopTimeout, "needs_restart", ignored)
}

func (h *Host) stopTimeout() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.Settings.StopTimeout
}
