package hoster

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"reflect"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/pkg/errors"
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/director"
	"github.com/endiveturn/endiveturn/exchanger"
	"github.com/endiveturn/endiveturn/informer"
	"github.com/endiveturn/endiveturn/limiter"
	"github.com/endiveturn/endiveturn/overseer"
	"github.com/endiveturn/endiveturn/reporter"
	"github.com/endiveturn/endiveturn/storer"
	"github.com/endiveturn/endiveturn/timekeeper"
)

const (
	// balancerDelay is how long the balancer may send new connections after
	// readiness was taken back.
	balancerDelay = 2300 * time.Millisecond
	// exitReserve is the part of the stop timeout that is left unused.
	exitReserve = 400 * time.Millisecond
	// heardRecently is how long a host that was heard counts as one of the
	// fleet though the store does not list it.
	heardRecently = 5 * time.Second
	// sharesKept is how long the connections of a host that left are not dealt
	// to others: a host that is cut off from the store may still use them.
	sharesKept = 20 * time.Second
	// tendInterval is how often connections and metrics are looked at.
	tendInterval = time.Second
	// idleConnection is how long a connection to a database rests before it is
	// closed.
	idleConnection = 20 * time.Second
	// watchShare is the part of the age at which a view expires in which the
	// whole fleet hears from the store; each host asks that much less often.
	watchShare = 0.1
	// hubWatch is the wait of the host that speaks for all: what it knows reaches
	// the others one exchange later.
	hubWatch = 300 * time.Millisecond
	// leastSettle, settlePerHost and mostSettle bound the pause after a change.
	leastSettle   = 50 * time.Millisecond
	settlePerHost = 5 * time.Millisecond
	mostSettle    = 400 * time.Millisecond
	// vouchAge is the age of the oldest report up to which the hosts vouch for
	// each other's view: three exchanges, of which the asked side knows only
	// when the one before was answered. It leaves time to ask the store.
	vouchAge = 3 * exchanger.Interval
	// vouchInterval is how often a host looks whether the others still vouch
	// for its view.
	vouchInterval = 100 * time.Millisecond
	// fleetListInterval is how often some host of the fleet reads all keys: a
	// watch may pass over changes while the store discards its history.
	fleetListInterval = time.Second
	// differenceTime is how long two hosts may hold different records before
	// each reads all keys again.
	differenceTime = 500 * time.Millisecond
	// isolationTolerance is how long a host may be without a current view before
	// it reports that it is not ready.
	isolationTolerance = 500 * time.Millisecond
	// longestWatch bounds the wait of one watch.
	longestWatch = 10 * time.Second
)

// A Platform is what a host needs from outside.
type Platform struct {
	Space   storer.Space
	Decoder Decoder
	// StorePrefix is that of all keys that matter to the host.
	StorePrefix string
	// Foreign reports whether operators or databases write a key.
	Foreign func(key string) bool
	// ReadinessPath is asked by the balancer.
	ReadinessPath string
	// Client wraps an accepted connection.
	Client func(conn net.Conn) director.Client
	// Databases opens connections and asks for states.
	Databases Databases
	// Promote asks for a promotion in the name of the host.
	Promote func(ctx context.Context, host, service, id string, token int64) error
}

// A Host is one process of the fleet. Its exported fields are set before Run.
type Host struct {
	Settings Settings
	Platform Platform
	Logger   *slog.Logger
	// Writer takes the lines of Logger.
	Writer   *reporter.Writer
	Registry gometrics.Registry

	incarnation string
	started     time.Time
	mirror      *informer.Mirror
	director    *director.Director
	limits      *limiter.Fleet
	exchanger   *exchanger.Exchanger
	overseer    *overseer.Overseer
	changed     chan struct{}
	stopping    atomic.Bool

	mu      sync.Mutex
	catalog *cataloger.Catalog
}

// Run serves until ctx ends and the stop that follows is done.
func (h *Host) Run(ctx context.Context) error {
	h.prepare()
	var listen net.ListenConfig
	client, err := listen.Listen(ctx, "tcp", h.Settings.ClientAddress)
	if err != nil {
		return errors.Wrap(err, "listen for clients")
	}
	peers, err := listen.Listen(ctx, "tcp", h.Settings.PeerAddress)
	if err != nil {
		return errors.Wrap(err, "listen for hosts")
	}
	h.Logger.Info("host_started", "host", h.Settings.Host, "incarnation", h.incarnation, "data_centre", h.Settings.DataCentre,
		"client_address", h.Settings.ClientAddress, "peer_address", h.Settings.PeerAddress)
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var group run.Group
	add := func(execute func(context.Context) error) {
		group.Add(func() error { return execute(work) }, func(error) { cancel() })
	}
	follower := informer.NewFollower()
	follower.Space, follower.Mirror, follower.Prefix = h.Platform.Space, h.mirror, h.Platform.StorePrefix
	follower.Wait, follower.Now, follower.Logger = h.watchWait, timekeeper.Now, h.Logger
	follower.Idle, follower.Settle = h.told, h.settle
	add(follower.Run)
	add(func(ctx context.Context) error { return h.oversee(ctx, follower) })
	add(h.view)
	add(h.exchanger.Run)
	add(func(ctx context.Context) error { return h.exchanger.Serve(ctx, peers) })
	add(h.overseer.Run)
	add(h.tend)
	add(func(ctx context.Context) error { return h.accept(ctx, client) })
	add(func(ctx context.Context) error { return serveHTTP(ctx, h.Settings.ReadinessAddress, h.readiness()) })
	if h.Settings.MetricsAddress != "" {
		add(func(ctx context.Context) error { return serveHTTP(ctx, h.Settings.MetricsAddress, h.metrics()) })
	}
	group.Add(func() error { return h.awaitStop(ctx, work) }, func(error) { cancel() })
	logs, endLogs := context.WithCancel(context.WithoutCancel(ctx))
	logged := make(chan struct{})
	go func() {
		defer close(logged)
		// Run ends with the context, whose error says nothing.
		_ = h.Writer.Run(logs)
	}()
	defer func() {
		endLogs()
		<-logged
	}()
	err = group.Run()
	h.Logger.Info("host_stopped", "host", h.Settings.Host, "incarnation", h.incarnation)
	if errors.Is(err, context.Canceled) || errors.Is(err, errStopped) {
		return nil
	}
	return err
}

// errStopped ends the group after a stop that was asked for.
var errStopped = errors.New("stopped")

func (h *Host) prepare() {
	h.incarnation = strconv.FormatInt(timekeeper.Now().UnixNano(), 36) + "-" + strconv.Itoa(os.Getpid())
	h.started = timekeeper.Now()
	h.Platform.Space = countCalls(h.Platform.Space, h.Registry)
	h.changed = make(chan struct{}, 1)
	h.mirror = &informer.Mirror{Now: timekeeper.Now, Changed: h.noteChange}
	h.limits = limiter.NewFleet(timekeeper.Now)
	h.director = &director.Director{
		Host: h.Settings.Host, DataCentre: h.Settings.DataCentre, Dial: h.Platform.Databases.Dial, Limits: h.limits, Now: time.Now,
		SinceBoot: timekeeper.Now, Current: h.viewCurrent, Logger: h.Logger,
		Metrics: &director.Metrics{Registry: h.Registry},
	}
	h.exchanger = &exchanger.Exchanger{
		Host: h.Settings.Host, Report: h.report, Since: h.since, Received: h.received, Peers: h.peerAddresses, Asks: h.asks,
		Pause: h.exchangePause,
		Seeds: otherSeeds(h.Settings), Now: timekeeper.Now, Logger: h.Logger,
	}
	h.overseer = &overseer.Overseer{
		Host: cataloger.Host{
			Name: h.Settings.Host, Incarnation: h.incarnation, Address: h.Settings.PeerAddress, DataCentre: h.Settings.DataCentre,
		},
		Space: h.Platform.Space, Mirror: h.mirror, Catalog: h.current, Members: h.members, Own: h.own,
		Spread: h.exchanger.Spread, Status: h.Platform.Databases.Status, Demote: h.Platform.Databases.Demote,
		Promote: func(ctx context.Context, service, id string, token int64) error {
			return h.Platform.Promote(ctx, h.Settings.Host, service, id, token)
		},
		MaxViewAge: director.MaxViewAge, Now: timekeeper.Now, Logger: h.Logger,
	}
}

func otherSeeds(s Settings) []string {
	var seeds []string
	for _, seed := range s.Seeds {
		if seed != s.PeerAddress {
			seeds = append(seeds, seed)
		}
	}
	return seeds
}

func (h *Host) noteChange() {
	select {
	case h.changed <- struct{}{}:
	default:
	}
}

// current returns the newest catalog, or nil.
func (h *Host) current() *cataloger.Catalog {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.catalog
}

// view makes a catalog after each change of the copy of the store.
func (h *Host) view(ctx context.Context) error {
	v := &viewer{decoder: h.Platform.Decoder, now: timekeeper.Now, rejected: func(key string, revision int64, err error) {
		h.Logger.Warn("record_rejected", "key", key, "revision", revision, "error", err.Error())
	}}
	sharers := make(sharers)
	leads := int64(0)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-h.changed:
		case <-timer.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		records, revision := h.mirror.Records()
		catalog, next := v.view(records, revision)
		h.addHeard(catalog)
		catalog.Sharers = sharers.update(catalog.Hosts, timekeeper.Now())
		h.mu.Lock()
		h.catalog = catalog
		h.mu.Unlock()
		h.director.SetCatalog(catalog)
		if moved := leadRevisions(catalog); moved != leads {
			leads = moved
			h.exchanger.Spread()
		}
		wait := time.Hour
		if !next.IsZero() {
			wait = max(time.Millisecond, next.Sub(timekeeper.Now()))
		}
		timer.Reset(wait)
	}
}

// Reload puts changed settings into force where that is possible within the
// life of a process: addresses stay as they were.
func (h *Host) Reload(settings Settings) {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.Settings
	h.Settings.StopTimeout, h.Settings.ViewTimeout = settings.StopTimeout, settings.ViewTimeout
	kept := old
	kept.StopTimeout, kept.ViewTimeout = settings.StopTimeout, settings.ViewTimeout
	ignored := !reflect.DeepEqual(kept, settings)
	h.Logger.Info("settings_reloaded", "stop_timeout", settings.StopTimeout, "view_timeout", settings.ViewTimeout, "needs_restart", ignored)
}

func (h *Host) stopTimeout() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.Settings.StopTimeout
}

// addHeard adds hosts that are heard though the store does not list them.
func (h *Host) addHeard(catalog *cataloger.Catalog) {
	now := timekeeper.Now()
	for name, peer := range h.exchanger.Reports() {
		if _, ok := catalog.Hosts[name]; ok || peer.Heard.IsZero() || now.Sub(peer.Heard) > heardRecently {
			continue
		}
		catalog.Hosts[name] = cataloger.Host{
			Name: name, Incarnation: peer.Report.Incarnation, Address: peer.Report.Address, DataCentre: peer.Report.DataCentre,
		}
	}
}

// leadRevisions returns a number that changes with each lead.
func leadRevisions(catalog *cataloger.Catalog) int64 {
	sum := int64(0)
	for _, lead := range catalog.Leads {
		sum += lead.Revision
	}
	return sum
}

// sharers holds when each host was last one of the fleet.
type sharers map[string]sharer

type sharer struct {
	host cataloger.Host
	seen time.Time
}

// update takes in the present hosts and returns all that connections are
// shared out to.
func (s sharers) update(hosts map[string]cataloger.Host, now time.Time) []cataloger.Host {
	for name, host := range hosts {
		s[name] = sharer{host: host, seen: now}
	}
	list := make([]cataloger.Host, 0, len(s))
	for name, known := range s {
		if now.Sub(known.seen) > sharesKept {
			delete(s, name)
			continue
		}
		list = append(list, known.host)
	}
	cataloger.SortHosts(list)
	return list
}

// watchWait returns how long this host's watch waits. While all hosts hear each
// other they vouch for the view, and the store is asked for changes only.
// Otherwise some host has to hear from the store often enough for all. The wait
// varies, since changes end the waits of all hosts at once.
func (h *Host) watchWait() time.Duration {
	if name, ok := h.hub(); ok && name == h.Settings.Host {
		return hubWatch
	}
	mean := longestWatch
	if !h.vouched() {
		hosts := 1
		if catalog := h.current(); catalog != nil {
			hosts = max(1, len(catalog.Hosts))
		}
		mean = min(time.Duration(hosts)*time.Duration(watchShare*float64(director.MaxViewAge)), longestWatch)
	}
	return mean/2 + rand.N(mean)
}

// settle returns how long a host waits for further changes after one: each
// change ends the watches of all hosts.
func (h *Host) settle() time.Duration {
	catalog := h.current()
	if catalog == nil {
		return leastSettle
	}
	return min(max(leastSettle, time.Duration(len(catalog.Hosts))*settlePerHost), mostSettle)
}

// vouched reports whether the view was known to be complete lately.
func (h *Host) vouched() bool {
	return timekeeper.Now().Sub(h.viewCurrent()) < vouchAge
}

// oversee has all keys read again when a host falls silent, which tells at once
// how old the view is, when another host holds others, and from time to time.
func (h *Host) oversee(ctx context.Context, follower *informer.Follower) error {
	ticker := time.NewTicker(vouchInterval)
	defer ticker.Stop()
	vouched := true
	relist := timekeeper.Now().Add(h.listInterval())
	var differs time.Time
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		now := timekeeper.Now()
		if vouched && !h.vouched() {
			follower.Relist()
		}
		vouched = h.vouched()
		switch {
		case !h.differs():
			differs = time.Time{}
		case differs.IsZero():
			differs = now
		}
		if (now.After(relist) && !h.told()) || (!differs.IsZero() && now.Sub(differs) > differenceTime) {
			relist, differs = now.Add(h.listInterval()), time.Time{}
			follower.Relist()
		}
	}
}

// listInterval is such that some host of the fleet reads all keys once in
// fleetListInterval.
func (h *Host) listInterval() time.Duration {
	hosts := 1
	if catalog := h.current(); catalog != nil {
		hosts = max(1, len(catalog.Hosts))
	}
	mean := time.Duration(hosts) * fleetListInterval
	return mean/2 + rand.N(mean)
}

// differs reports whether another host that was heard lately holds other
// records, though neither lacks any by its revision.
func (h *Host) differs() bool {
	now := timekeeper.Now()
	own := h.report("")
	for _, peer := range h.exchanger.Reports() {
		recent := now.Sub(peer.Heard) < 2*exchanger.Interval
		if recent && peer.Report.Age >= 0 && peer.Report.Digest != own.Digest {
			return true
		}
	}
	return false
}

// accept serves clients until ctx ends.
func (h *Host) accept(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			h.Logger.Warn("accept_failed", "error", err.Error())
			time.Sleep(10 * time.Millisecond)
			continue
		}
		go h.director.Serve(ctx, h.Platform.Client(conn))
	}
}

// tend does what has to be done about once a second.
func (h *Host) tend(ctx context.Context) error {
	ticker := time.NewTicker(tendInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			h.director.Tend(idleConnection)
			h.noteChange()
			h.gauge()
			h.forgetSilent()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// gauge updates the metrics that state what the host believes.
func (h *Host) gauge() {
	set := func(name string, value int64) { gometrics.GetOrRegisterGauge(name, h.Registry).Update(value) }
	set("sessions", int64(h.director.Sessions()))
	set("log_lines_dropped", h.Writer.Dropped())
	set("view_age_ms", timekeeper.Now().Sub(h.viewCurrent()).Milliseconds())
	set("store_revision", h.mirror.Revision())
	if catalog := h.current(); catalog != nil {
		set("hosts", int64(len(catalog.Hosts)))
		if catalog.Configuration != nil {
			set("configuration_version", int64(catalog.Configuration.Version))
		}
	}
	for name, load := range h.director.Loads() {
		set("connections_used."+name, int64(load.Used))
		set("connections_waited_for."+name, int64(load.Waiting))
	}
}

// awaitStop waits for ctx and then stops in an order that cuts no request:
// readiness goes first, sessions end as they become idle once the balancer
// sends no new ones.
func (h *Host) awaitStop(ctx, work context.Context) error {
	select {
	case <-ctx.Done():
	case <-work.Done():
		return work.Err()
	}
	began := time.Now()
	h.Logger.Info("host_stopping", "host", h.Settings.Host, "sessions", h.director.Sessions())
	h.stopping.Store(true)
	h.overseer.GiveUpDuty()
	stopTimeout := h.stopTimeout()
	// Whoever comes before the balancer has noticed is served as usual.
	time.Sleep(min(balancerDelay, stopTimeout/2))
	h.director.Stop(began.Add(stopTimeout / 2))
	last := began.Add(stopTimeout - exitReserve)
	for time.Now().Before(last) {
		if h.director.Sessions() == 0 {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	h.director.CloseAll()
	revoke, cancel := context.WithTimeout(work, exitReserve/2)
	defer cancel()
	h.overseer.Stop(revoke)
	return errStopped
}

func serveHTTP(ctx context.Context, address string, handler http.Handler) error {
	server := &http.Server{Addr: address, Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	return errors.Wrap(server.ListenAndServe(), address)
}

// isolated reports whether the host has been without a current view for long: it
// reaches neither the store nor the other hosts, which serve its clients better.
func (h *Host) isolated() bool {
	return timekeeper.Now().Sub(h.viewCurrent()) > director.MaxViewAge+isolationTolerance
}

// readiness answers the balancer: ready while the host knows the configuration
// and has a current view, until it stops.
func (h *Host) readiness() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+h.Platform.ReadinessPath, func(w http.ResponseWriter, _ *http.Request) {
		catalog := h.current()
		if h.stopping.Load() || catalog == nil || catalog.Configuration == nil || h.isolated() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

func (h *Host) metrics() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		reporter.WriteMetrics(w, h.Registry)
	})
	return mux
}
