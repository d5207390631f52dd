package director

import "time"

const (
	// earlyRetryShare is the fraction of its latency objective after which a read is
	// retried on another database, so that it can still be in time.
	earlyRetryShare = 0.4
	// earlyRetryLatencies is the number of mean response times that a database has in
	// any case.
	earlyRetryLatencies = 4
	// unknownLatency is the assumed response time of a database before its first response.
	unknownLatency = 20 * time.Millisecond
	// earlyRetryRatio is the number of early retries per response, and maxEarlyRetries
	// how many may follow each other. Without a bound, a database that is slow for all
	// would get each read twice.
	earlyRetryRatio = 0.1
	maxEarlyRetries = 10.0
)

// earlyDeadline returns the time after which a read of the attempt is retried on
// another database, or false if it is not retried early. Reads at the primary are not:
// a missing response there counts as a failure of the primary.
func (a *attempt) earlyDeadline() (time.Time, bool) {
	op := a.operation
	if a.primaryRef != nil || !op.service.isBalanced() || !op.service.mayRetryEarly() {
		return time.Time{}, false
	}
	now := op.session.director.Now()
	byObjective := op.began.Add(time.Duration(earlyRetryShare * float64(op.objective())))
	byLatency := now.Add(earlyRetryLatencies * op.service.recentLatency(a.database))
	if byObjective.Before(byLatency) {
		return byLatency, true
	}
	return byObjective, true
}

func (s *service) recentLatency(db *database) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if db.meanLatency == 0 {
		return unknownLatency
	}
	return db.meanLatency
}

func (s *service) mayRetryEarly() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.databases) > 1 && s.earlyRetries >= 1
}

// recordEarlyRetry takes an early retry from the budget.
func (s *service) recordEarlyRetry() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.earlyRetries--
	s.director.Metrics.increment("early_retries")
}
