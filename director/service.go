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
	// primarySince is when primary was set, and epoch counts how often it was.
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

// A primaryRef is the reference of one operation to the primary that it uses.
// Once the reference is fenced, the operation must send nothing more.
type primaryRef struct {
	database *database
	// epoch is that of the service when the database was the primary.
	epoch uint64
	// conn is closed to abort the operation when a former primary must no
	// longer be used.
	conn *connector.Conn
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

// setPrimary sets the primary from the primary assignment. References to a
// former primary are ended: at once if the primary was replaced, or at the end of the
// assignment's grace period if it is being replaced.
func (s *service) setPrimary(catalog *cataloger.Catalog) {
	s.setAssignment(catalog.Assignments[s.name])
	var next *database
	if endpoint, ok := catalog.PrimaryOf(s.name); ok && !catalog.Evacuated[endpoint.DataCentre] {
		next = s.databases[endpointKeyOf(endpoint)]
	}
	if next == s.primary && s.primaryChanged != nil {
		return
	}
	former := s.primary
	s.primary, s.primarySince, s.epoch = next, s.director.Now(), s.epoch+1
	if next != nil {
		s.history.Reset()
	}
	if s.primaryChanged != nil {
		close(s.primaryChanged)
	}
	s.primaryChanged = make(chan struct{})
	s.graceUntil = s.endOfGrace()
	remaining := max(0, s.graceUntil.Sub(s.director.SinceBoot()))
	s.director.Logger.Info("primary_changed", "service", s.name, "from", endpointIDOf(former), "to", endpointIDOf(next),
		"lead_revision", s.assignment.Revision, "moving", s.assignment.Changing, "term", s.assignment.Term,
		"references", len(s.primaryRefs), "grace", remaining)
	if len(s.primaryRefs) > 0 {
		time.AfterFunc(remaining, s.closeFormerPrimaryConns)
	}
}

func (s *service) setAssignment(assignment cataloger.PrimaryAssignment) {
	if s.assignmentChanged == nil || assignment.Revision != s.assignment.Revision {
		if s.assignmentChanged != nil {
			close(s.assignmentChanged)
		}
		s.assignmentChanged = make(chan struct{})
	}
	s.assignment = assignment
}

// awaitsAssignment reports whether this host has received a primary assignment that the catalog
// in force does not have, so that the primary in it may be a former one.
func (s *service) awaitsAssignment() bool {
	return s.director.AssignmentRevision != nil && s.director.AssignmentRevision(s.name) > s.assignment.Revision
}

// endOfGrace returns until when transactions may continue with the primary that is being
// replaced, or the zero time. The leader waits from when it recorded the change, so this host
// does not count from when it learned of it, which may be much later.
func (s *service) endOfGrace() time.Time {
	if !s.assignment.Changing || s.assignment.GracePeriod == 0 || s.director.LocalTime == nil {
		return time.Time{}
	}
	recordedAt, ok := s.director.LocalTime(s.assignment.RecordedAt)
	if now := s.director.SinceBoot(); !ok || recordedAt.After(now) {
		return time.Time{}
	}
	return recordedAt.Add(s.assignment.GracePeriod)
}

// inGracePeriod reports whether transactions may continue with a database that is being
// replaced as the primary.
func (s *service) inGracePeriod(db *database) bool {
	return s.assignment.Changing && s.assignment.ID == db.id && s.director.SinceBoot().Before(s.graceUntil)
}

func endpointIDOf(db *database) string {
	if db == nil {
		return ""
	}
	return db.id
}

// closeFormerPrimaryConns closes the connections of all references to a
// database other than the primary.
func (s *service) closeFormerPrimaryConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	closed := 0
	for ref := range s.primaryRefs {
		if ref.database != s.primary && ref.conn != nil {
			_ = ref.conn.Close()
			closed++
		}
	}
	if closed > 0 {
		s.director.Logger.Info("former_primary_connections_closed", "service", s.name, "lead_revision", s.assignment.Revision, "connections", closed)
	}
}

// acquirePrimary returns a new reference to the primary, or nil and a channel
// that is closed when the primary or its assignment changes. The channel is nil too if this
// host's view is out of date, because it is not known when the view will be
// current again.
func (s *service) acquirePrimary() (*primaryRef, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	primary, changed := s.usablePrimary()
	if primary == nil {
		return nil, changed
	}
	ref := &primaryRef{database: primary, epoch: s.epoch}
	if s.primaryRefs == nil {
		s.primaryRefs = make(map[*primaryRef]struct{})
	}
	s.primaryRefs[ref] = struct{}{}
	return ref, nil
}

// usablePrimary returns the primary, or nil and the channel of acquirePrimary if no operation
// may use it now. The caller holds mu.
func (s *service) usablePrimary() (*database, chan struct{}) {
	if s.primary == nil {
		return nil, s.primaryChanged
	}
	if s.awaitsAssignment() {
		return nil, s.assignmentChanged
	}
	if !s.viewIsCurrent() {
		return nil, nil
	}
	return s.primary, nil
}

// viewIsCurrent reports whether this host's view is recent enough that it would
// contain a replacement of the primary.
func (s *service) viewIsCurrent() bool {
	return s.director.SinceBoot().Sub(s.director.ViewCompleteAsOf()) < MaxViewAge
}

// maxAssignmentWait is how long a statement of an open operation waits until the catalog in
// force has the assignment that this host has received.
const maxAssignmentWait = 200 * time.Millisecond

// bindPrimaryRef binds the connection to the reference. It returns errFenced or
// errViewTooOld if no further statement may be sent under it.
func (s *service) bindPrimaryRef(ref *primaryRef, conn *connector.Conn) error {
	changed, err := s.tryBindPrimaryRef(ref, conn)
	if changed == nil {
		return err
	}
	timer := time.NewTimer(maxAssignmentWait)
	defer timer.Stop()
	for changed != nil {
		select {
		case <-changed:
			changed, err = s.tryBindPrimaryRef(ref, conn)
		case <-timer.C:
			return errViewTooOld
		}
	}
	return err
}

// tryBindPrimaryRef returns the result of bindPrimaryRef, or a channel that is closed when it can
// be called again.
func (s *service) tryBindPrimaryRef(ref *primaryRef, conn *connector.Conn) (changed chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ref.conn = conn
	if s.awaitsAssignment() {
		return s.assignmentChanged, nil
	}
	return nil, s.checkPrimaryRef(ref)
}

// checkPrimaryRef returns why no further statement may be sent under the reference, or nil.
func (s *service) checkPrimaryRef(ref *primaryRef) error {
	if !s.viewIsCurrent() {
		return errViewTooOld
	}
	if ref.database != s.primary && !s.inGracePeriod(ref.database) {
		return errFenced
	}
	return nil
}

func (s *service) releasePrimary(ref *primaryRef) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.primaryRefs, ref)
}

// ReleasedRevisions returns, for each service whose primary is being replaced,
// the revision of the assignment in force here if no operation holds a
// reference to any primary. No host waits for the other services.
func (d *Director) ReleasedRevisions() map[string]int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	released := make(map[string]int64)
	for name, s := range d.services {
		if revision, ok := s.releasedRevision(); ok {
			released[name] = revision
		}
	}
	return released
}

func (s *service) releasedRevision() (int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for ref := range s.primaryRefs {
		if ref.database != s.primary {
			return 0, false
		}
	}
	return s.assignment.Revision, s.assignment.Changing
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
