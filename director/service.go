package director

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/endiveturn/endiveturn/admitter"
	"github.com/endiveturn/endiveturn/balancer"
	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/connector"
	"github.com/endiveturn/endiveturn/executor"
	"github.com/endiveturn/endiveturn/forwarder"
)

// MaxViewAge is the age at which a host's view of the primaries is too old and
// the host stops using them. A host that replaces a primary waits longer than
// this for hosts that do not confirm.
const MaxViewAge = time.Second

// A service is this host's view of one group of databases.
type service struct {
	name     string
	director *Director

	// balanced is set while admission and balancing are in use.
	balanced atomic.Bool

	mu sync.Mutex
	// meanRate is the mean rate of the customers of the configuration meanRateOf.
	meanRate   float64
	meanRateOf *cataloger.Configuration
	// earlyRetries is the number of reads that may be retried early.
	earlyRetries float64
	// detector is used only while the service is balanced.
	detector  balancer.Detector
	databases map[endpointKey]*database
	// primary is the database that may be used as primary, or nil if there is
	// none.
	primary *database
	// primarySince is when primary was set. epoch is incremented whenever the primary or its
	// term changes.
	primarySince time.Time
	epoch        uint64
	// assignment is the primary assignment by which primary was chosen.
	assignment cataloger.PrimaryAssignment
	// assignmentChanged is closed and replaced when a catalog with another assignment comes
	// into force.
	assignmentChanged chan struct{}
	// graceUntil is until when transactions may continue with the primary that is being
	// replaced, on the clock of Director.SinceBoot. It is zero if they may not.
	graceUntil time.Time
	history    PositionHistory
	// primaryRefs are the references of operations to the primary or to a
	// former primary.
	primaryRefs map[*primaryRef]struct{}
	// primaryChanged is closed and replaced when primary changes.
	primaryChanged chan struct{}
	catalog        *cataloger.Catalog
	// preferredReplica is the ID of the replica that this host normally reads
	// from.
	preferredReplica string
	// isActingPoolHost is set while this host is the first usable pool host.
	isActingPoolHost bool
	// poolHosts are the service's pool hosts in order, empty if each host pools for
	// itself.
	poolHosts []forwarder.Target
	// loggedPoolHost is the acting pool host as last logged.
	loggedPoolHost string
}

// applyCatalog updates databases, primary and quotas from a new catalog.
func (s *service) applyCatalog(catalog *cataloger.Catalog, poolHosts []forwarder.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.catalog = catalog
	s.setMeanRate(catalog.Configuration)
	s.setBalanced(s.director.Balance.applies(catalog, s.name))
	present := make(map[endpointKey]bool)
	for _, endpoint := range catalog.Endpoints[s.name] {
		present[endpointKeyOf(endpoint)] = true
		s.upsertDatabase(endpoint)
	}
	now := s.director.Now()
	for key, db := range s.databases {
		if present[key] {
			db.deregisteredAt = time.Time{}
		} else if db.deregisteredAt.IsZero() {
			db.deregisteredAt = now
			db.pool.CloseIdle(0)
		}
	}
	s.setPrimary(catalog)
	s.setPoolHosts(poolHosts)
	s.setQuotas(catalog)
}

// setBalanced switches admission and balancing on or off. Slots that were granted
// before remain valid until they are returned.
func (s *service) setBalanced(balanced bool) {
	if s.balanced.Swap(balanced) != balanced {
		s.director.Logger.Info("balancing_changed", "service", s.name, "on", balanced)
	}
}

// setQuotas sets this host's quotas of connections and statements for each
// database. While the primary is being replaced the quotas stay unchanged.
func (s *service) setQuotas(catalog *cataloger.Catalog) {
	if s.primary == nil || catalog.Configuration == nil {
		return
	}
	var usable []cataloger.Endpoint
	for _, e := range catalog.Endpoints[s.name] {
		if !catalog.Evacuated[e.DataCentre] {
			usable = append(usable, e)
		}
	}
	limit := catalog.Configuration.Services[s.name].MaxConnections
	quotas := s.quotas(catalog, usable, limit)
	s.preferredReplica = quotas.PreferredReplica
	for _, db := range s.databases {
		db.pool.SetLimits(quotas.Connections[db.id])
		db.semaphore.setLimit(quotas.Statements[db.id])
		db.gate.SetSlots(quotas.Statements[db.id])
		db.permits, db.scarceConnections = quotas.Statements[db.id], quotas.Connections[db.id].Burst > 0
		if len(s.poolHosts) > 0 && !s.isActingPoolHost {
			db.pool.CloseIdle(nonPoolIdleTimeout)
		}
	}
}

// quotas returns this host's quotas.
func (s *service) quotas(catalog *cataloger.Catalog, usable []cataloger.Endpoint, limit int) Quotas {
	s.isActingPoolHost = false
	if len(s.poolHosts) == 0 {
		return ComputeQuotas(s.director.Host, catalog.RecentHosts, usable, s.primary.id, limit)
	}
	s.isActingPoolHost = s.actingPoolHost() == s.director.Host
	return ComputePoolQuotas(s.isActingPoolHost, usable, limit)
}

// upsertDatabase returns the database of a registered endpoint and creates it,
// with a pool, if it is new or has another address. The pool of the former
// address is closed; transactions that are open there keep their connections
// until they end.
func (s *service) upsertDatabase(endpoint cataloger.Endpoint) *database {
	if db, ok := s.databases[endpointKeyOf(endpoint)]; ok {
		if db.endpoint.Address == endpoint.Address {
			db.endpoint = endpoint
			return db
		}
		db.pool.Close()
		s.detector.Forget(db.detectorID())
	}
	db := &database{id: endpoint.ID, endpoint: endpoint, semaphore: &prioritySemaphore{now: s.director.Now}, gate: &admitter.Gate{Now: s.director.Now}}
	if endpoint.WarmupRemaining > 0 {
		db.warmingUpUntil = s.director.Now().Add(endpoint.WarmupRemaining)
	}
	db.pool = &connector.Pool{
		Now: s.director.Now,
		Dial: func(ctx context.Context, customer string) (connector.Transport, error) {
			s.director.Metrics.increment("connections_opened." + s.name)
			return s.director.Dial(ctx, endpoint, customer)
		},
	}
	s.databases[endpointKeyOf(endpoint)] = db
	return db
}

// candidates returns the registered databases that an operation may be routed
// to, with their state. Evacuated data centres are left out.
func (s *service) candidates(customer string, kind balancer.Kind) ([]Candidate, []*database) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.director.Now()
	preferred := s.preferredReplicaOf(customer)
	list := make([]Candidate, 0, len(s.databases))
	databases := make([]*database, 0, len(s.databases))
	for _, db := range s.databases {
		if s.leftOut(db) != "" {
			continue
		}
		list = append(list, Candidate{
			Endpoint:  db.endpoint,
			Primary:   db == s.primary,
			Load:      db.inFlight,
			Idle:      db.pool.HasIdle(customer),
			Failing:   now.Before(db.avoidUntil),
			Busy:      now.Before(db.busyUntil),
			Lagging:   now.Before(db.laggingUntil),
			WarmingUp: now.Before(db.warmingUpUntil) && now.Before(db.nextWarmupRequest),
			Local:     db.endpoint.DataCentre == s.director.DataCentre,
			Latency:   db.decayedLatency(now),
			Preferred: db.id == preferred,
			Permits:   db.permits, ScarceConnections: db.scarceConnections,
			RecentLatency: db.meanLatency, LatencyAge: now.Sub(db.meanLatencyAt),
			Detected: s.detector.State(balancer.Target{Database: db.detectorID(), Kind: kind}, now),
		})
		databases = append(databases, db)
	}
	return list, databases
}

// leftOut returns why operations are not routed to a database, or "". The caller holds mu.
func (s *service) leftOut(db *database) string {
	switch {
	case !db.deregisteredAt.IsZero():
		return "not registered"
	case s.catalog.Evacuated[db.endpoint.DataCentre]:
		return "data centre is evacuated"
	}
	return ""
}

// floor returns the lowest known position that satisfies the staleness limit of
// a read, or false if none is known.
func (s *service) floor(maxStaleness time.Duration) (executor.Position, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.history.Floor(s.director.SinceBoot().Add(-maxStaleness))
}

// isUnused reports whether the service has no databases left and no change of its primary
// waits for this host.
func (s *service) isUnused() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.databases) == 0 && len(s.primaryRefs) == 0 && !s.assignment.Changing
}

func (s *service) cleanUp(idle time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.director.Now()
	for key, db := range s.databases {
		db.pool.CloseIdle(idle)
		if !db.deregisteredAt.IsZero() && now.Sub(db.deregisteredAt) > deregisteredRetention {
			db.pool.Close()
			s.detector.Forget(db.detectorID())
			delete(s.databases, key)
		}
	}
}
