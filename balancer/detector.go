package balancer

import (
	"math"
	"time"
)

const (
	// assumedFailureShare is the least share of requests that are assumed to fail at
	// a healthy database, and failureDifference by how much the share at a failing
	// one is assumed to be above that of the others.
	assumedFailureShare = 0.02
	failureDifference   = 0.3
	// falseAlarmInterval is the mean time between two ejections of a healthy
	// database. The evidence required for an ejection follows from it and from the
	// rate of requests.
	falseAlarmInterval = 10 * time.Minute
	// minEvidence is the least evidence for an ejection, more than that of two failed
	// requests in a row.
	minEvidence = 8.0
	// minDeviation is by how many standard deviations a database must at least fail
	// more often than the others; more are required at high rates, where outcomes are
	// compared more often. The evidence alone ejects a database in a tenth of the cases
	// in which all start to fail at once.
	minDeviation = 3.0
	// slowFactor is the ratio between the response time of a request and the mean of
	// the same class at the other databases from which on it counts as failed.
	slowFactor = 4.0
	// minSlowLatency is the response time below which no request counts as slow.
	minSlowLatency = 20 * time.Millisecond
	// outcomeHalfLife is the half-life of recorded outcomes.
	outcomeHalfLife = 10 * time.Second
	// latencyWeight is the weight of one response in the mean latency of a class.
	latencyWeight = 0.1
	// minLatencySamples is the number of responses of a class before its mean latency
	// at a database is compared with that at others.
	minLatencySamples = 5
	// minPause is the time of the first ejection, longer than the period of a database
	// that flaps. Each further ejection within relapseFactor pauses lasts twice as long
	// as the one before, at most maxPause.
	minPause      = 2 * time.Second
	maxPause      = 30 * time.Second
	relapseFactor = 5
	// trialsToReturn is the number of consecutive trial requests that must succeed. At
	// a failure share of 0.3 a database passes with a probability of 0.17.
	trialsToReturn = 5
	// trialTimeout is when a trial request without an outcome no longer counts.
	trialTimeout = 3 * time.Second
)

// Kind is the kind of a request. Databases are judged by kind.
type Kind uint8

// The kinds of requests.
const (
	Read Kind = iota
	Write
)

// String returns the name of the kind for logs and metrics.
func (k Kind) String() string {
	if k == Write {
		return "write"
	}
	return "read"
}

// A Target is a database, by its ID, and a kind of request.
type Target struct {
	Database string
	Kind     Kind
}

// An Outcome is the result of a request that a database had to run.
type Outcome struct {
	// Class names the requests whose latencies are compared.
	Class string
	// Failed is set if the request got no response or one that reports a failure of
	// the database.
	Failed bool
	// Latency is the response time of a request that succeeded.
	Latency time.Duration
	// Trial is the number of the trial that the request is, 0 if it is none.
	Trial uint64
}

// State is the state of a target.
type State uint8

// The states of a target.
const (
	// Included targets get requests.
	Included State = iota
	// Ejected targets get no requests if there are others.
	Ejected
	// HalfOpen targets get one trial request at a time.
	HalfOpen
)

// An Event is an ejection or a return of a target.
type Event struct {
	Target  Target
	Ejected bool
	// Pause is how long an ejected target gets no request.
	Pause time.Duration
	// FailureShare and OthersShare are the shares of failed or slow requests at the
	// target and at the other databases.
	FailureShare, OthersShare float64
	// Trials is the number of trial requests before a return.
	Trials int
}

// targetState is what a Detector knows of a target.
type targetState struct {
	// failures and total are the recorded outcomes, which decay from updated on.
	failures, total float64
	updated         time.Time
	// evidence is the logarithm of the likelihood ratio that the target fails more
	// often than the others (CUSUM). recent and recentOthers are the outcomes at the
	// target and at the others since it was last 0.
	evidence             float64
	recent, recentOthers counts
	latencies            map[string]*meanLatency
	ejected              bool
	// until is when an ejected target gets trial requests.
	until      time.Time
	pause      time.Duration
	returnedAt time.Time
	trials     int
	successes  int
	// trial is the number of the present trial request, 0 if there is none, and trialSince
	// is when it began.
	trial      uint64
	trialSince time.Time
}

// counts are numbers of requests.
type counts struct{ failures, total float64 }

func (c *counts) add(bad bool) {
	c.total++
	if bad {
		c.failures++
	}
}

type meanLatency struct {
	mean    float64
	samples int
}

// A Detector ejects the databases of one service that fail or are slow more often
// than the others. It is not safe for concurrent use.
type Detector struct {
	targets map[Target]*targetState
	// lastTrial is the number of the last trial request of any target.
	lastTrial uint64
}

func (d *Detector) target(key Target) *targetState {
	t, ok := d.targets[key]
	if !ok {
		if d.targets == nil {
			d.targets = make(map[Target]*targetState)
		}
		t = &targetState{latencies: make(map[string]*meanLatency)}
		d.targets[key] = t
	}
	return t
}

// Forget removes a database.
func (d *Detector) Forget(database string) {
	delete(d.targets, Target{database, Read})
	delete(d.targets, Target{database, Write})
}

// State returns the state of a target.
func (d *Detector) State(key Target, now time.Time) State {
	t, ok := d.targets[key]
	switch {
	case !ok || !t.ejected:
		return Included
	case now.Before(t.until) || t.trial != 0 && now.Sub(t.trialSince) < trialTimeout:
		return Ejected
	default:
		return HalfOpen
	}
}

// BeginTrial records that a request is sent to a half-open target, and returns the number
// of the trial.
func (d *Detector) BeginTrial(key Target, now time.Time) uint64 {
	t := d.target(key)
	d.lastTrial++
	t.trial, t.trialSince = d.lastTrial, now
	t.trials++
	return t.trial
}

// CancelTrial records that a trial request was not sent.
func (d *Detector) CancelTrial(key Target, trial uint64) {
	if t, ok := d.targets[key]; ok && t.isTrial(trial) {
		t.trial = 0
		t.trials--
	}
}

// isTrial reports whether a request is the present trial. Others may end during one: they
// were sent before the ejection or before an earlier trial timed out, or had no other target.
func (t *targetState) isTrial(trial uint64) bool { return trial != 0 && trial == t.trial }

// EjectedCount returns the number of ejected targets.
func (d *Detector) EjectedCount() int {
	count := 0
	for _, t := range d.targets {
		if t.ejected {
			count++
		}
	}
	return count
}

// Record records the outcome of a request. It returns an event if the target was
// ejected or returned. databases is the number of databases that may serve requests
// of the kind; at most half of them are ejected.
func (d *Detector) Record(key Target, outcome Outcome, databases int, now time.Time) (Event, bool) {
	t := d.target(key)
	bad := outcome.Failed || d.isSlow(key, outcome)
	if !outcome.Failed {
		t.recordLatency(outcome)
	}
	if t.ejected {
		return d.recordTrial(key, t, bad, outcome.Trial, now)
	}
	others := d.othersShare(key, now)
	t.decay(now)
	t.total++
	if bad {
		t.failures++
	}
	d.addToOthers(key, bad)
	t.recent.add(bad)
	t.evidence += evidenceOf(bad, max(assumedFailureShare, others))
	if t.evidence <= 0 {
		t.evidence, t.recent, t.recentOthers = 0, counts{}, counts{}
	}
	required := t.requiredEvidence()
	t.evidence = min(t.evidence, required)
	if t.evidence < required || t.recentEvidence(others) < required || t.deviation() < minDeviation+(required-minEvidence)/2 || !d.mayEject(key.Kind, databases) {
		return Event{}, false
	}
	t.eject(now)
	return Event{Target: key, Ejected: true, Pause: t.pause, FailureShare: t.failures / t.total, OthersShare: others}, true
}

// addToOthers counts an outcome in those with which the other targets are compared.
func (d *Detector) addToOthers(key Target, bad bool) {
	for other, t := range d.targets {
		if other.Kind == key.Kind && other != key {
			t.recentOthers.add(bad)
		}
	}
}

// recentEvidence returns the evidence of the recent outcomes in comparison with those
// at the other databases in the same time, which have started to fail too if the
// cause is not the target.
func (t *targetState) recentEvidence(others float64) float64 {
	usual := max(assumedFailureShare, others, (t.recentOthers.failures+1)/(t.recentOthers.total+2))
	successes := t.recent.total - t.recent.failures
	return t.recent.failures*evidenceOf(true, usual) + successes*evidenceOf(false, usual)
}

// deviation returns by how many standard deviations the share of recent failures is
// above that at the other databases in the same time.
func (t *targetState) deviation() float64 {
	own, others := t.recent, t.recentOthers
	if own.total == 0 || others.total == 0 {
		return 0
	}
	pooled := (own.failures + others.failures + 1) / (own.total + others.total + 2)
	deviation := math.Sqrt(pooled * (1 - pooled) * (1/own.total + 1/others.total))
	return (own.failures/own.total - others.failures/others.total) / deviation
}

// evidenceOf returns the logarithm of the likelihood ratio of one outcome.
func evidenceOf(bad bool, usual float64) float64 {
	usual = min(usual, 1-failureDifference-assumedFailureShare)
	failing := usual + failureDifference
	if bad {
		return math.Log(failing / usual)
	}
	return math.Log((1 - failing) / (1 - usual))
}

// requiredEvidence returns the evidence at which healthy targets are ejected once in
// falseAlarmInterval on average.
func (t *targetState) requiredEvidence() float64 {
	rate := t.total * math.Ln2 / outcomeHalfLife.Seconds()
	return max(minEvidence, math.Log(rate*falseAlarmInterval.Seconds()))
}

func (t *targetState) eject(now time.Time) {
	if t.pause > 0 && now.Sub(t.returnedAt) < relapseFactor*t.pause {
		t.pause = min(2*t.pause, maxPause)
	} else {
		t.pause = minPause
	}
	t.ejected, t.until = true, now.Add(t.pause)
	t.evidence, t.recent, t.recentOthers = 0, counts{}, counts{}
	t.trials, t.successes, t.trial = 0, 0, 0
}

// recordTrial records the outcome of a request to an ejected target. Those of other requests
// than the present trial are ignored.
func (d *Detector) recordTrial(key Target, t *targetState, bad bool, trial uint64, now time.Time) (Event, bool) {
	if !t.isTrial(trial) {
		return Event{}, false
	}
	t.trial = 0
	if bad {
		trials := t.trials
		t.returnedAt = now
		t.eject(now)
		return Event{Target: key, Ejected: true, Pause: t.pause, FailureShare: 1, OthersShare: d.othersShare(key, now), Trials: trials}, true
	}
	if t.successes++; t.successes < trialsToReturn {
		return Event{}, false
	}
	t.ejected, t.returnedAt = false, now
	t.failures, t.total = 0, 0
	return Event{Target: key, Trials: t.trials}, true
}

func (d *Detector) mayEject(kind Kind, databases int) bool {
	ejected := 0
	for key, t := range d.targets {
		if key.Kind == kind && t.ejected {
			ejected++
		}
	}
	return 2*(ejected+1) <= databases
}

// othersShare returns the share of requests that failed at the other databases.
func (d *Detector) othersShare(key Target, now time.Time) float64 {
	failures, total := 0.0, 0.0
	for other, t := range d.targets {
		if other.Kind == key.Kind && other != key && !t.ejected {
			t.decay(now)
			failures, total = failures+t.failures, total+t.total
		}
	}
	if total < 1 {
		return 0
	}
	return failures / total
}

func (t *targetState) decay(now time.Time) {
	if elapsed := now.Sub(t.updated).Seconds(); t.total > 0 && elapsed > 0 {
		factor := math.Exp2(-elapsed / outcomeHalfLife.Seconds())
		t.failures, t.total, t.evidence = t.failures*factor, t.total*factor, t.evidence*factor
	}
	t.updated = now
}

func (t *targetState) recordLatency(outcome Outcome) {
	l, ok := t.latencies[outcome.Class]
	if !ok {
		l = &meanLatency{}
		t.latencies[outcome.Class] = l
	}
	l.samples++
	weight := max(latencyWeight, 1/float64(l.samples))
	l.mean += weight * (outcome.Latency.Seconds() - l.mean)
}

// isSlow reports whether a request that succeeded took much longer than requests of
// its class at the other databases.
func (d *Detector) isSlow(key Target, outcome Outcome) bool {
	if outcome.Failed || outcome.Latency < minSlowLatency {
		return false
	}
	sum, count := 0.0, 0.0
	for other, t := range d.targets {
		l := t.latencies[outcome.Class]
		if other.Kind == key.Kind && other != key && !t.ejected && l != nil && l.samples >= minLatencySamples {
			sum += l.mean
			count++
		}
	}
	return count > 0 && outcome.Latency.Seconds() > slowFactor*sum/count
}
