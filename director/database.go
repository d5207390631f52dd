package director

import (
	"math"
	"time"

	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/connector"
	"github.com/endiveturn/endiveturn/executor"
)

const (
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
