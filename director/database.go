package director

import (
	"math"
	"time"

	"github.com/endiveturn/endiveturn/admitter"
	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/connector"
	"github.com/endiveturn/endiveturn/executor"
)

const (
	// minFailureBackoff and maxFailureBackoff bound how long a failed database
	// is avoided; the backoff doubles with each consecutive failure.
	minFailureBackoff = 200 * time.Millisecond
	maxFailureBackoff = 1600 * time.Millisecond
	// minLagBackoff and maxLagBackoff bound how long a lagging replica is
	// avoided.
	minLagBackoff = 50 * time.Millisecond
	maxLagBackoff = 800 * time.Millisecond
	// recentSuccessWindow is how long after its last response a database that
	// accepts no new connection is considered busy rather than unreachable.
	recentSuccessWindow = 700 * time.Millisecond
	// suspicionTimeout is how long a database may leave requests without a response
	// before it is suspected to have failed.
	suspicionTimeout = 350 * time.Millisecond
	// busyBackoff is how long a database that rejected a statement as busy is
	// avoided.
	busyBackoff = 50 * time.Millisecond
)

type endpointKey struct {
	id              string
	startedAtMillis int64
}

func endpointKeyOf(e cataloger.Endpoint) endpointKey {
	return endpointKey{id: e.ID, startedAtMillis: e.StartedAtMillis}
}

// A database holds the connection pool of one database and what this host has
// observed of its health and latency.
type database struct {
	id        string
	pool      *connector.Pool
	semaphore *prioritySemaphore
	// gate takes the place of semaphore while the service is balanced.
	gate *admitter.Gate

	// The fields below are guarded by the mutex of the service.

	// endpoint is the database as it was last registered.
	endpoint cataloger.Endpoint
	// consecutiveFailures counts failed attempts since the last success.
	consecutiveFailures int
	failingSince        time.Time
	lastFailure         time.Time
	avoidUntil          time.Time
	busyUntil           time.Time
	lastSuccess         time.Time
	// lastReadOnly is when the database last refused a statement as a replica.
	lastReadOnly time.Time
	// awaiting counts the attempts of this host that wait for the database. An
	// attempt whose transaction is idle does not.
	awaiting int
	// awaitingResponseSince is the time since which requests to the database have
	// had no response; zero while no attempt waits.
	awaitingResponseSince time.Time
	// consecutiveLags counts consecutive responses from a position below the
	// floor of the read.
	consecutiveLags int
	laggingUntil    time.Time
	// permits is the number of statements that this host may run concurrently, and
	// scarceConnections is set if it may keep hardly any connection.
	permits           int
	scarceConnections bool
	// inFlight counts the attempts of this host at the database, including those
	// whose transaction is idle.
	inFlight int
	// meanLatency is the moving average of the response time, as of
	// meanLatencyAt.
	meanLatency   time.Duration
	meanLatencyAt time.Time
	// warmingUpUntil is when the database has warmed up after its start.
	warmingUpUntil time.Time
	// nextWarmupRequest is when this host may send the next request to the
	// database while it is warming up.
	nextWarmupRequest time.Time
	// deregisteredAt is when the database left the registry; zero while it is
	// registered.
	deregisteredAt time.Time
}

const (
	// latencySmoothing is the weight of one response in the moving average of
	// the latency.
	latencySmoothing = 0.1
	// latencyHalfLife is the half-life of the mean latency while there are no
	// new responses. The decay lets a database that was slow be used again.
	latencyHalfLife = 500 * time.Millisecond
)

// decayedLatency returns the mean latency. Without new responses it stays
// unchanged for one latencyHalfLife and is then halved in each further one.
func (db *database) decayedLatency(now time.Time) time.Duration {
	age := now.Sub(db.meanLatencyAt).Seconds() / latencyHalfLife.Seconds()
	return time.Duration(float64(db.meanLatency) * math.Exp2(-max(0, age-1)))
}

// recordLatency adds the response time of one statement to the mean latency.
func (s *service) recordLatency(db *database, latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.director.Now()
	s.earlyRetries = min(maxEarlyRetries, s.earlyRetries+earlyRetryRatio)
	mean := db.decayedLatency(now)
	db.meanLatency = mean + time.Duration(latencySmoothing*float64(latency-mean))
	db.meanLatencyAt = now
}

func (s *service) recordStart(db *database) {
	s.mu.Lock()
	defer s.mu.Unlock()
	db.inFlight++
	s.paceWarmupRequests(db)
}

// paceWarmupRequests spaces out requests to a database that is warming up, so
// that all hosts together stay within the service's WarmupRequestRate.
func (s *service) paceWarmupRequests(db *database) {
	now := s.director.Now()
	if !now.Before(db.warmingUpUntil) || s.catalog.Configuration == nil {
		return
	}
	rate := s.catalog.Configuration.Services[s.name].WarmupRequestRate * s.warmupShare()
	if rate <= 0 {
		return
	}
	if db.nextWarmupRequest.Before(now) {
		db.nextWarmupRequest = now
	}
	db.nextWarmupRequest = db.nextWarmupRequest.Add(time.Duration(float64(time.Second) / rate))
}

func (s *service) recordEnd(db *database) {
	s.mu.Lock()
	defer s.mu.Unlock()
	db.inFlight--
}

// recordWaitStart records that an attempt waits for the database.
func (s *service) recordWaitStart(db *database) {
	s.mu.Lock()
	defer s.mu.Unlock()
	db.awaiting++
	if db.awaitingResponseSince.IsZero() {
		db.awaitingResponseSince = s.director.Now()
	}
}

// recordWaitEnd records that an attempt no longer waits for the database.
func (s *service) recordWaitEnd(db *database) {
	s.mu.Lock()
	defer s.mu.Unlock()
	db.awaiting--
	if db.awaiting == 0 {
		db.awaitingResponseSince = time.Time{}
	}
}

// A primarySnapshot is the epoch of a service when a statement was sent.
type primarySnapshot struct {
	epoch uint64
	// sent is when the statement was sent, on the clock of Director.SinceBoot.
	sent time.Time
}

// snapshot returns the present epoch and time.
func (s *service) snapshot() primarySnapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return primarySnapshot{epoch: s.epoch, sent: s.director.SinceBoot()}
}

// recordRemotePosition records the position of the primary from a response that another host
// received, with a primary assignment of the given revision in force there. It does not count
// unless the same primary has been in force on both hosts since the statement was sent to that
// host.
func (s *service) recordRemotePosition(from primarySnapshot, revision int64, position executor.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if from.epoch == s.epoch && revision == s.assignment.Revision && s.primary != nil && !position.IsZero() {
		s.history.Record(from.sent, position)
	}
}

// recordPrimaryPosition records the position in a response to a statement that was sent to the
// primary under the reference, and reports whether it counts, with the revision of the
// assignment in force. A response to a statement that the database ran as a replica, or in an
// earlier term, lacks commits that were acknowledged before.
func (s *service) recordPrimaryPosition(ref *primaryRef, sent time.Time, position executor.Position) (counts bool, revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts = ref != nil && ref.database == s.primary && ref.epoch == s.epoch
	if counts && !position.IsZero() {
		s.history.Record(sent, position)
	}
	return counts, s.assignment.Revision
}

// recordSuccess records a response.
func (s *service) recordSuccess(db *database) {
	s.mu.Lock()
	defer s.mu.Unlock()
	db.consecutiveFailures = 0
	db.failingSince = time.Time{}
	db.avoidUntil = time.Time{}
	db.lastSuccess = s.director.Now()
	db.awaitingResponseSince = db.lastSuccess
}

// recordReadOnly records that the database refused a statement because it is not the primary.
func (s *service) recordReadOnly(db *database) {
	s.mu.Lock()
	defer s.mu.Unlock()
	db.lastReadOnly = s.director.Now()
}

// recordFailure records that the database did not respond.
func (s *service) recordFailure(db *database, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.director.Now()
	if db.consecutiveFailures == 0 {
		db.failingSince = now
		s.director.Logger.Warn("dependency_lost", "dependency", "database", "service", s.name, "database", db.id,
			"data_centre", db.endpoint.DataCentre, "primary", db == s.primary, "error", err.Error())
	}
	backoff := min(minFailureBackoff<<min(db.consecutiveFailures, 8), maxFailureBackoff)
	db.consecutiveFailures++
	db.lastFailure = now
	db.avoidUntil = now.Add(backoff)
}

// recordLagging records that a replica was behind the floor of a read. The
// replica is avoided with exponential backoff, which starts small so that reads
// return to it soon after it has caught up.
func (s *service) recordLagging(db *database) {
	s.mu.Lock()
	defer s.mu.Unlock()
	backoff := min(minLagBackoff<<min(db.consecutiveLags, 8), maxLagBackoff)
	db.consecutiveLags++
	db.laggingUntil = s.director.Now().Add(backoff)
}

// recordCaughtUp records that a replica had reached the floor of a read.
func (s *service) recordCaughtUp(db *database) {
	s.mu.Lock()
	defer s.mu.Unlock()
	db.consecutiveLags = 0
	db.laggingUntil = time.Time{}
}

// recordConnectFailure records that no connection could be opened. A database
// that still responds on other connections is considered busy.
func (s *service) recordConnectFailure(db *database, err error) {
	s.mu.Lock()
	responsive := s.director.Now().Sub(db.lastSuccess) < recentSuccessWindow
	s.mu.Unlock()
	if responsive {
		s.recordBusy(db)
		return
	}
	s.recordFailure(db, err)
}

func (s *service) recordBusy(db *database) {
	s.mu.Lock()
	defer s.mu.Unlock()
	db.busyUntil = s.director.Now().Add(busyBackoff)
}
