package director

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/connector"
	"github.com/endiveturn/endiveturn/executor"
)

const (
	// MaxViewAge is the age of a host's view of the primaries at which it
	// stops using them. Whoever replaces a primary waits longer than this for
	// hosts that do not confirm.
	MaxViewAge = time.Second
	// firstFailurePause and lastFailurePause bound how long a database that
	// failed is avoided; the pause doubles with each failure in a row.
	firstFailurePause = 200 * time.Millisecond
	lastFailurePause  = 1600 * time.Millisecond
	// firstLagPause and lastLagPause bound how long a replica that lags is
	// avoided.
	firstLagPause = 50 * time.Millisecond
	lastLagPause  = 800 * time.Millisecond
	// answeredRecently is how long after its last answer a database that opens
	// no connection is taken to be busy rather than away.
	answeredRecently = 700 * time.Millisecond
	// waitTolerance is how long a database may answer nothing, though asked,
	// before it is suspected.
	waitTolerance = 350 * time.Millisecond
	// busyPause is how long a database that turned a statement away is avoided.
	busyPause = 50 * time.Millisecond
)

type endpointKey struct {
	id   string
	born int64
}

func keyOf(e cataloger.Endpoint) endpointKey { return endpointKey{id: e.ID, born: e.Born} }

// A database is what this host knows of one database from using it.
type database struct {
	endpoint cataloger.Endpoint
	pool     *connector.Pool
	gate     *gate

	// The fields below are guarded by the mutex of the service.

	// failures counts failed attempts without a success between them.
	failures     int
	failingSince time.Time
	avoidUntil   time.Time
	busyUntil    time.Time
	lastSuccess  time.Time
	// waitingSince is since when the database has not answered though asked;
	// zero while nothing is asked of it.
	waitingSince time.Time
	// lagging counts answers in a row that lacked what a read had to see.
	lagging      int
	laggingUntil time.Time
	// running counts statements that this host has sent or queued there.
	running int
	// latency is the mean time of the last answers, as of latencyAt.
	latency   time.Duration
	latencyAt time.Time
	// coldUntil is when the database is no longer slow after its start.
	coldUntil time.Time
	// coldNext is when this host may send the next request while it is slow.
	coldNext time.Time
	// gone is when the database left the registry; zero while it is there.
	gone time.Time
}

// A service is this host's view of one group of databases.
type service struct {
	name     string
	director *Director

	mu        sync.Mutex
	databases map[endpointKey]*database
	// primary is the database that may be used as primary; nil while there is
	// none.
	primary *database
	// lead is the record by which primary was chosen.
	lead    cataloger.Lead
	history History
	// uses are the operations that use a primary, present or former.
	uses map[*use]struct{}
	// changed is closed and replaced when primary changes.
	changed chan struct{}
	catalog *cataloger.Catalog
	// home is the ID of the replica that this host reads from.
	home string
}

// A use is one operation on a primary. A fenced use must not go on.
type use struct {
	database *database
	// conn is closed when the use has to end at once.
	conn *connector.Conn
}

// update takes in a new catalog.
func (s *service) update(catalog *cataloger.Catalog) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.catalog = catalog
	present := make(map[endpointKey]bool)
	for _, endpoint := range catalog.Endpoints[s.name] {
		present[keyOf(endpoint)] = true
		s.register(endpoint)
	}
	now := s.director.Now()
	for key, db := range s.databases {
		if present[key] {
			db.gone = time.Time{}
		} else if db.gone.IsZero() {
			db.gone = now
			db.pool.CloseIdle(0)
		}
	}
	s.setPrimary(catalog)
	s.setShares(catalog)
}

// setShares deals the connections of the databases to the hosts. While the
// primary is being replaced they stay as they were.
func (s *service) setShares(catalog *cataloger.Catalog) {
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
	shares := ShareOut(s.director.Host, catalog.Sharers, usable, s.primary.endpoint.ID, limit)
	s.home = shares.Home
	for _, db := range s.databases {
		db.pool.SetLimit(shares.Limits[db.endpoint.ID])
		db.gate.setLimit(shares.Statements[db.endpoint.ID])
	}
}

// register returns the database of an entry, with a pool if it is new.
func (s *service) register(endpoint cataloger.Endpoint) *database {
	if db, ok := s.databases[keyOf(endpoint)]; ok && db.endpoint.Address == endpoint.Address {
		db.endpoint = endpoint
		return db
	}
	db := &database{endpoint: endpoint, gate: &gate{}}
	if endpoint.Cold > 0 {
		db.coldUntil = s.director.Now().Add(endpoint.Cold)
	}
	db.pool = &connector.Pool{
		Now: s.director.Now,
		Dial: func(ctx context.Context, customer string) (connector.Transport, error) {
			return s.director.Dial(ctx, endpoint, customer)
		},
	}
	s.databases[keyOf(endpoint)] = db
	return db
}

// setPrimary follows the lead. Uses of a former primary end: at once if the
// primary was replaced, and within the lead's grace if it is being replaced.
func (s *service) setPrimary(catalog *cataloger.Catalog) {
	s.lead = catalog.Leads[s.name]
	var next *database
	if endpoint, ok := catalog.PrimaryOf(s.name); ok && !catalog.Evacuated[endpoint.DataCentre] {
		next = s.databases[keyOf(endpoint)]
	}
	if next == s.primary && s.changed != nil {
		return
	}
	former := s.primary
	s.primary = next
	if next != nil {
		s.history.Reset()
	}
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
	s.director.Logger.Info("primary_changed", "service", s.name, "from", nameOf(former), "to", nameOf(next),
		"lead_revision", s.lead.Revision, "moving", s.lead.Moving, "term", s.lead.Term)
	grace := time.Duration(0)
	if s.lead.Moving {
		grace = s.lead.Grace
	}
	if len(s.uses) > 0 {
		time.AfterFunc(grace, s.endFormerUses)
	}
}

func nameOf(db *database) string {
	if db == nil {
		return ""
	}
	return db.endpoint.ID
}

// endFormerUses cuts the connections of uses of any database but the primary.
func (s *service) endFormerUses() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for u := range s.uses {
		if u.database != s.primary && u.conn != nil {
			_ = u.conn.Close()
		}
	}
}

// acquirePrimary registers a use of the primary, or returns nil with a channel
// that tells of a change. There is no channel while the view is not current:
// when it will be is not known.
func (s *service) acquirePrimary() (*use, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.primary == nil {
		return nil, s.changed
	}
	if !s.viewIsCurrent() {
		return nil, nil
	}
	u := &use{database: s.primary}
	if s.uses == nil {
		s.uses = make(map[*use]struct{})
	}
	s.uses[u] = struct{}{}
	return u, nil
}

// viewIsCurrent reports whether this host would know by now if the primary was
// being replaced.
func (s *service) viewIsCurrent() bool {
	return s.director.SinceBoot().Sub(s.director.Current()) < MaxViewAge
}

// inForce reports whether the use may send another statement. It also binds
// the connection to the use.
func (s *service) inForce(u *use, conn *connector.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	u.conn = conn
	if !s.viewIsCurrent() {
		return false
	}
	return u.database == s.primary || (s.lead.Moving && s.lead.ID == u.database.endpoint.ID && s.lead.Grace > 0)
}

func (s *service) release(u *use) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.uses, u)
}

// Released returns, by service, the revision of the lead in force here if no
// operation uses any other primary.
func (d *Director) Released() map[string]int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	released := make(map[string]int64)
	for name, s := range d.services {
		if revision, ok := s.released(); ok {
			released[name] = revision
		}
	}
	return released
}

func (s *service) released() (int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for u := range s.uses {
		if u.database != s.primary {
			return 0, false
		}
	}
	return s.lead.Revision, s.lead.Revision > 0
}

// candidates returns the databases that take part in choosing, and their state.
func (s *service) candidates(customer string) ([]Candidate, []*database) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.director.Now()
	list := make([]Candidate, 0, len(s.databases))
	databases := make([]*database, 0, len(s.databases))
	for _, db := range s.databases {
		if !db.gone.IsZero() || s.catalog.Evacuated[db.endpoint.DataCentre] {
			continue
		}
		list = append(list, Candidate{
			Endpoint: db.endpoint,
			Primary:  db == s.primary,
			Load:     db.running,
			Idle:     db.pool.Has(customer),
			Failing:  now.Before(db.avoidUntil),
			Busy:     now.Before(db.busyUntil),
			Lagging:  now.Before(db.laggingUntil),
			Cold:     now.Before(db.coldUntil) && now.Before(db.coldNext),
			Local:    db.endpoint.DataCentre == s.director.DataCentre,
			Latency:  db.recentLatency(now),
			Home:     db.endpoint.ID == s.home,
		})
		databases = append(databases, db)
	}
	return list, databases
}

const (
	// latencyWeight is the weight of one answer in the mean latency.
	latencyWeight = 0.1
	// latencyHalfLife is the time in which a latency without new answers counts
	// half, so that a database that was slow is tried again.
	latencyHalfLife = 500 * time.Millisecond
)

// recentLatency returns the mean latency, less the older it is.
func (db *database) recentLatency(now time.Time) time.Duration {
	age := now.Sub(db.latencyAt).Seconds() / latencyHalfLife.Seconds()
	return time.Duration(float64(db.latency) * math.Exp2(-max(0, age-1)))
}

// took notes how long a database took to answer.
func (s *service) took(db *database, latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.director.Now()
	mean := db.recentLatency(now)
	db.latency = mean + time.Duration(latencyWeight*float64(latency-mean))
	db.latencyAt = now
}

// floor returns the position that a read must see on a route.
func (s *service) floor(maxStaleness time.Duration) (executor.Position, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.history.Floor(s.director.SinceBoot().Add(-maxStaleness))
}

func (s *service) started(db *database) {
	s.mu.Lock()
	defer s.mu.Unlock()
	db.running++
	s.countCold(db)
	if db.waitingSince.IsZero() {
		db.waitingSince = s.director.Now()
	}
}

// countCold spaces requests to a database that is slow after its start, so that
// all hosts together stay within the service's rate for such databases.
func (s *service) countCold(db *database) {
	now := s.director.Now()
	if !now.Before(db.coldUntil) || s.catalog.Configuration == nil {
		return
	}
	rate := s.catalog.Configuration.Services[s.name].ColdRate / float64(max(1, len(s.catalog.Sharers)))
	if rate <= 0 {
		return
	}
	if db.coldNext.Before(now) {
		db.coldNext = now
	}
	db.coldNext = db.coldNext.Add(time.Duration(float64(time.Second) / rate))
}

func (s *service) ended(db *database) {
	s.mu.Lock()
	defer s.mu.Unlock()
	db.running--
	if db.running == 0 {
		db.waitingSince = time.Time{}
	}
}

// succeeded notes an answer to a statement that was sent at the instant.
func (s *service) succeeded(db *database, sent time.Time, position executor.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	db.failures = 0
	db.failingSince = time.Time{}
	db.avoidUntil = time.Time{}
	db.lastSuccess = s.director.Now()
	db.waitingSince = db.lastSuccess
	if position.IsZero() {
		return
	}
	if db == s.primary {
		s.history.Observe(sent, position)
	}
}

// failed notes that the database did not answer.
func (s *service) failed(db *database, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.director.Now()
	if db.failures == 0 {
		db.failingSince = now
		s.director.Logger.Warn("dependency_lost", "dependency", "database", "service", s.name, "database", db.endpoint.ID,
			"data_centre", db.endpoint.DataCentre, "primary", db == s.primary, "error", err.Error())
	}
	pause := min(firstFailurePause<<min(db.failures, 8), lastFailurePause)
	db.failures++
	db.avoidUntil = now.Add(pause)
}

// lags notes that a replica lacked what a read had to see. It is avoided for a
// while, longer each time, so that it is asked again soon after it caught up.
func (s *service) lags(db *database) {
	s.mu.Lock()
	defer s.mu.Unlock()
	pause := min(firstLagPause<<min(db.lagging, 8), lastLagPause)
	db.lagging++
	db.laggingUntil = s.director.Now().Add(pause)
}

// caughtUp notes that a replica had what a read had to see.
func (s *service) caughtUp(db *database) {
	s.mu.Lock()
	defer s.mu.Unlock()
	db.lagging = 0
	db.laggingUntil = time.Time{}
}

// unopened notes that no connection could be opened. A database that answers
// on others is busy.
func (s *service) unopened(db *database, err error) {
	s.mu.Lock()
	answers := s.director.Now().Sub(db.lastSuccess) < answeredRecently
	s.mu.Unlock()
	if answers {
		s.busy(db)
		return
	}
	s.failed(db, err)
}

func (s *service) busy(db *database) {
	s.mu.Lock()
	defer s.mu.Unlock()
	db.busyUntil = s.director.Now().Add(busyPause)
}

func (s *service) tend(idle time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.director.Now()
	for key, db := range s.databases {
		db.pool.CloseIdle(idle)
		if !db.gone.IsZero() && now.Sub(db.gone) > drainedAge {
			db.pool.Close()
			delete(s.databases, key)
		}
	}
}

func (s *service) load() Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	var load Load
	for _, db := range s.databases {
		used, waiting := db.pool.InUse()
		load.Used += used
		load.Waiting += waiting
	}
	return load
}

func (s *service) leadRevision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lead.Revision
}

// A Health is what this host sees of a service's primary.
type Health struct {
	Endpoint cataloger.Endpoint
	// SinceSuccess is negative if the primary never answered.
	SinceSuccess time.Duration
	// SinceFailure is 0 if the last attempt did not fail.
	SinceFailure time.Duration
}

// Healths returns what this host sees of the primaries by service.
func (d *Director) Healths() map[string]Health {
	d.mu.Lock()
	defer d.mu.Unlock()
	healths := make(map[string]Health)
	for name, s := range d.services {
		if health, ok := s.health(); ok {
			healths[name] = health
		}
	}
	return healths
}

func (s *service) health() (Health, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.primary == nil {
		return Health{}, false
	}
	now := s.director.Now()
	health := Health{Endpoint: s.primary.endpoint, SinceSuccess: -1}
	if !s.primary.lastSuccess.IsZero() {
		health.SinceSuccess = now.Sub(s.primary.lastSuccess)
	}
	if s.primary.failures > 0 {
		health.SinceFailure = max(time.Millisecond, now.Sub(s.primary.failingSince))
	}
	if !s.primary.waitingSince.IsZero() {
		health.SinceFailure = max(health.SinceFailure, now.Sub(s.primary.waitingSince)-waitTolerance)
	}
	return health, true
}
