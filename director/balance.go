package director

import (
	"math/rand/v2"
	"time"

	"github.com/endiveturn/endiveturn/balancer"
	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/executor"
)

// costStalePrimary is the additional cost of the primary for reads of bounded
// staleness, which go to replicas first.
const costStalePrimary = 4.0

// choose returns the index of the candidate for an operation, or -1 if none may
// serve.
func (s *service) choose(required Requirements, candidates []Candidate) int {
	if !s.isBalanced() {
		return ChooseCandidate(required, candidates)
	}
	return chooseBalanced(required, candidates, rand.Float64)
}

// chooseReplica is choose without the primary.
func (s *service) chooseReplica(required Requirements, candidates []Candidate) int {
	if !s.isBalanced() {
		return chooseReplica(required, candidates)
	}
	replicas := make([]Candidate, len(candidates))
	copy(replicas, candidates)
	for i := range replicas {
		replicas[i].unusable = replicas[i].Primary
	}
	return chooseBalanced(required, replicas, rand.Float64)
}

// chooseBalanced returns the index of the candidate with the least expected response
// time. A half-open candidate gets the operation as a trial if it can be retried.
func chooseBalanced(required Requirements, candidates []Candidate, uniform func() float64) int {
	options := make([]balancer.Option, 0, len(candidates))
	indexes := make([]int, 0, len(candidates))
	for i, c := range candidates {
		if c.unusable || !required.satisfiedBy(c) {
			continue
		}
		if required.tries(c) {
			return i
		}
		options = append(options, required.option(c))
		indexes = append(indexes, i)
	}
	if i := balancer.Choose(options, uniform); i >= 0 {
		return indexes[i]
	}
	return -1
}

// tries reports whether a candidate gets the operation as a trial.
func (r Requirements) tries(c Candidate) bool {
	return c.Detected == balancer.HalfOpen && !r.Writes && len(r.Tried) == 0 && !c.Failing && !c.Lagging
}

// option returns the candidate as an option of the balancer.
func (r Requirements) option(c Candidate) balancer.Option {
	return balancer.Option{Outstanding: c.Load, Permits: c.Permits, Latency: c.RecentLatency, Age: c.LatencyAge, Penalty: r.penalty(c)}
}

// penalty returns the cost of a candidate apart from its load, as a time.
func (r Requirements) penalty(c Candidate) time.Duration {
	c.Load, c.Latency = 0, 0
	if !c.ScarceConnections {
		// Which replica the host prefers matters only while it has hardly any
		// connections to the others.
		c.Preferred = true
	}
	cost := r.cost(c)
	if c.Primary && r.Consistency == cataloger.BoundedStaleness {
		cost += costStalePrimary
	}
	if c.Detected != balancer.Included {
		cost += costFailing
	}
	return time.Duration(cost * float64(latencyPerCostUnit))
}

// kindOf returns the kind of an operation.
func kindOf(writes bool) balancer.Kind {
	if writes {
		return balancer.Write
	}
	return balancer.Read
}

// beginTrial records that an operation is sent to a half-open database. It returns the
// number of the trial, or 0 if the operation is none.
func (s *service) beginTrial(db *database, kind balancer.Kind) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.director.Now()
	target := balancer.Target{Database: db.detectorID(), Kind: kind}
	if s.detector.State(target, now) != balancer.HalfOpen {
		return 0
	}
	s.director.Metrics.increment("trial_requests." + kind.String())
	return s.detector.BeginTrial(target, now)
}

// cancelTrial records that a trial request was not sent.
func (s *service) cancelTrial(db *database, kind balancer.Kind, trial uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.detector.CancelTrial(balancer.Target{Database: db.detectorID(), Kind: kind}, trial)
}

// endTrial returns the number of the trial that the attempt is, and 0 from then on.
func (a *attempt) endTrial() uint64 {
	trial := a.trial
	a.trial = 0
	return trial
}

// cancelTrial records that the attempt's request was not run, if it is a trial.
func (a *attempt) cancelTrial() {
	if trial := a.endTrial(); trial != 0 {
		a.operation.service.cancelTrial(a.database, kindOf(a.operation.writes), trial)
	}
}

// recordSpread records how evenly this host's operations are spread over the
// databases of the service: the largest number over the mean, in percent.
func (s *service) recordSpread() {
	s.mu.Lock()
	defer s.mu.Unlock()
	total, largest := 0, 0
	for _, db := range s.databases {
		total, largest = total+db.inFlight, max(largest, db.inFlight)
	}
	if total > 0 {
		s.director.Metrics.setGauge("load_spread_percent."+s.name, int64(100*largest*len(s.databases)/total))
	}
	s.director.Metrics.setGauge("databases_ejected."+s.name, int64(s.detector.EjectedCount()))
}

// detectorID identifies an incarnation of a database.
func (db *database) detectorID() string { return db.id + "/" + db.endpoint.Address }

// recordOutcome records the outcome of a client's statement that was sent to a
// database. The error is that of a statement without a response.
func (a *attempt) recordOutcome(response executor.Response, err error, latency time.Duration) {
	op := a.operation
	outcome := balancer.Outcome{Class: op.route.Name, Latency: latency}
	switch {
	case err != nil, response.Code == executor.CodeRunFailed, response.Code == executor.CodeTimedOut, response.Code == executor.CodeOther:
		outcome.Failed = true
	case response.Code == executor.CodeNone:
		a.served = true
	default:
		a.cancelTrial()
		return
	}
	outcome.Trial = a.endTrial()
	op.service.recordOutcome(a.database, kindOf(op.writes), outcome)
}

func (s *service) recordOutcome(db *database, kind balancer.Kind, outcome balancer.Outcome) {
	if !s.isBalanced() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	event, ok := s.detector.Record(balancer.Target{Database: db.detectorID(), Kind: kind}, outcome, len(s.databases), s.director.Now())
	if !ok {
		return
	}
	if !event.Ejected {
		s.director.Metrics.increment("databases_returned." + kind.String())
		s.director.Logger.Info("database_returned", "service", s.name, "database", db.id, "kind", kind.String(), "trials", event.Trials)
		return
	}
	s.director.Metrics.increment("database_ejections." + kind.String())
	s.director.Logger.Warn("database_ejected", "service", s.name, "database", db.id, "kind", kind.String(), "failure_share", event.FailureShare,
		"others_share", event.OthersShare, "pause", event.Pause, "trials", event.Trials)
}
