package director

import (
	"context"
	"log/slog"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/connector"
	"github.com/endiveturn/endiveturn/forwarder"
	"github.com/endiveturn/endiveturn/limiter"
)

// ErrInterrupted reports that a Receive was ended by Client.Interrupt.
var ErrInterrupted = errors.New("interrupted")

const (
	// deregisteredRetention is how long the pool of a database that left the
	// registry is kept for transactions that are still open.
	deregisteredRetention = 30 * time.Second
)

// A Director serves the sessions of one host. Its exported fields are set
// before first use.
type Director struct {
	// Host is the name of this host.
	Host string
	// DataCentre is the data centre of this host.
	DataCentre string
	// Dial opens a connection to a database for a customer. Errors wrap the
	// sentinel errors of package connector.
	Dial func(ctx context.Context, endpoint cataloger.Endpoint, customer string) (connector.Transport, error)
	// Balance determines whether this host uses the modules admitter and balancer.
	Balance BalanceMode
	// StartupTimeout is the time within which a client must send its startup message; 0
	// means the default.
	StartupTimeout time.Duration
	// Limits enforces the rate limits of customers.
	Limits *limiter.FleetLimiter
	// Now returns the time with a monotonic reading.
	Now func() time.Time
	// SinceBoot returns the time on a clock that keeps running while the machine
	// is suspended.
	SinceBoot func() time.Time
	// ViewCompleteAsOf returns the latest time, on the clock of SinceBoot, at
	// which this host's view of the primaries is known to have been complete.
	ViewCompleteAsOf func() time.Time
	// LocalTime returns an instant on the clock of SinceBoot that is not later than the given
	// one of another process; ok is false if none is known.
	LocalTime func(t cataloger.ProcessTime) (local time.Time, ok bool)
	// AssignmentRevision returns the revision of the newest primary assignment of a service that
	// this host has received, which the catalog in force may not have yet. ViewCompleteAsOf
	// counts it as known. If it is nil, the catalog always has it.
	AssignmentRevision func(service string) int64
	// BeginRequest is called when a request of a customer is sent to a database, and
	// returns the window in which it counts; EndRequest is called with its outcome. Both
	// are nil where requests are not counted.
	BeginRequest func(customer string) (window int64)
	EndRequest   func(customer string, window int64, mayHaveRun bool)
	// Forwarder runs operations on other hosts. If it is nil, this host runs all itself.
	Forwarder *forwarder.Client
	Logger    *slog.Logger
	Metrics   *Metrics

	catalog atomic.Pointer[cataloger.Catalog]

	// mu guards services and sessions. It is taken before the mutex of a
	// service, which is taken before that of a database's pool.
	mu       sync.Mutex
	services map[string]*service
	// placement is that of the catalog in force.
	placement placement
	sessions  map[*Session]struct{}
	stopping  atomic.Bool
	// stopAt is when open transactions are ended, on the clock of Now.
	stopAt atomic.Pointer[time.Time]
}

// Catalog returns the catalog in force, or nil before the first SetCatalog.
func (d *Director) Catalog() *cataloger.Catalog { return d.catalog.Load() }

// SetCatalog puts a catalog into force. It rejects one whose configuration is
// older than that in force.
func (d *Director) SetCatalog(catalog *cataloger.Catalog) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.catalog.Load()
	if old != nil && versionRegressed(old, catalog) {
		d.Logger.Error("configuration_not_lowered", "version", configurationVersion(catalog), "in_force", configurationVersion(old))
		return
	}
	d.catalog.Store(catalog)
	d.setRateLimits(old, catalog)
	if d.services == nil {
		d.services = make(map[string]*service)
	}
	for name := range catalog.Endpoints {
		if d.services[name] == nil {
			d.services[name] = &service{name: name, director: d, databases: make(map[endpointKey]*database)}
		}
	}
	var pools map[string][]forwarder.Target
	if d.Forwarder != nil {
		pools = d.placement.pools(catalog)
		d.Forwarder.Detector.Retain(func(host string) bool {
			_, ok := catalog.Hosts[host]
			return ok
		})
	}
	for _, s := range d.services {
		s.applyCatalog(catalog, pools[s.name])
	}
}

// configurationVersion returns the version of the catalog's configuration, or 0
// if there is none.
func configurationVersion(catalog *cataloger.Catalog) uint64 {
	if catalog == nil || catalog.Configuration == nil {
		return 0
	}
	return catalog.Configuration.Version
}

// versionRegressed reports whether the configuration of next is older than that
// of old. The version in force must never decrease within the lifetime of a
// process.
func versionRegressed(old, next *cataloger.Catalog) bool {
	if old.Configuration == nil {
		return false
	}
	return next.Configuration == nil || next.Configuration.Version < old.Configuration.Version
}

func (d *Director) setRateLimits(old, catalog *cataloger.Catalog) {
	hosts := len(catalog.Hosts)
	if catalog.IsLargeFleet() {
		hosts = catalog.FleetSize()
	}
	d.Limits.SetHosts(hosts)
	if catalog.Configuration == nil || (old != nil && old.Configuration == catalog.Configuration) {
		return
	}
	limits := make(map[string]limiter.Limit)
	for name, customer := range catalog.Configuration.Customers {
		limits[name] = limiter.Limit{Rate: customer.Rate, Burst: customer.Burst}
	}
	d.Limits.SetLimits(limits)
	d.Logger.Info("configuration_in_force", "version", catalog.Configuration.Version, "revision", catalog.Revision,
		"routes", len(catalog.Configuration.Routes), "customers", len(catalog.Configuration.Customers))
}

// service returns the state of a service, or nil if none of its databases was
// ever registered.
func (d *Director) service(name string) *service {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.services[name]
}

// Maintain closes connections that have been idle for at least the given time
// and removes databases that left the registry, and services without databases.
// It is called about once a second.
func (d *Director) Maintain(idle time.Duration) {
	d.mu.Lock()
	services := make([]*service, 0, len(d.services))
	for _, s := range d.services {
		services = append(services, s)
	}
	d.mu.Unlock()
	for _, s := range services {
		s.cleanUp(idle)
		if s.isBalanced() {
			s.recordSpread()
		}
	}
	d.removeUnusedServices()
}

// removeUnusedServices removes the services all of whose databases have left the registry.
func (d *Director) removeUnusedServices() {
	d.mu.Lock()
	defer d.mu.Unlock()
	maps.DeleteFunc(d.services, func(name string, s *service) bool {
		return len(d.Catalog().Endpoints[name]) == 0 && s.isUnused()
	})
}

// A ConnectionLoad is the number of used connections to a service's databases
// and of sessions that wait for one.
type ConnectionLoad struct {
	Used    int
	Waiting int
}

// ConnectionLoads returns the connection load by service.
func (d *Director) ConnectionLoads() map[string]ConnectionLoad {
	d.mu.Lock()
	defer d.mu.Unlock()
	loads := make(map[string]ConnectionLoad)
	for name, s := range d.services {
		loads[name] = s.connectionLoad()
	}
	return loads
}

// Stop ends each session as soon as it has no open transaction, and rolls back
// the transactions that are still open at the deadline.
func (d *Director) Stop(deadline time.Time) {
	d.stopAt.Store(&deadline)
	d.stopping.Store(true)
	for _, session := range d.openSessions() {
		session.client.Interrupt()
	}
}

// Sessions returns the number of open sessions.
func (d *Director) Sessions() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.sessions)
}

func (d *Director) openSessions() []*Session {
	d.mu.Lock()
	defer d.mu.Unlock()
	sessions := make([]*Session, 0, len(d.sessions))
	for session := range d.sessions {
		sessions = append(sessions, session)
	}
	return sessions
}

// CloseAll closes the connections of all sessions.
func (d *Director) CloseAll() {
	for _, session := range d.openSessions() {
		_ = session.client.Close()
	}
}

func (d *Director) addSession(session *Session) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.sessions == nil {
		d.sessions = make(map[*Session]struct{})
	}
	d.sessions[session] = struct{}{}
}

func (d *Director) removeSession(session *Session) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.sessions, session)
}
