package balancer

import (
	"math/rand/v2"
	"testing"
	"time"
)

// A faultyLoad is a load on three databases of which the first misbehaves from
// faultAt on.
type faultyLoad struct {
	name string
	// rate is the number of requests per second of this host.
	rate float64
	// failures is the share of requests that the faulty database fails, latencyFactor
	// the factor of its response times, and period, if not 0, the time in which it is
	// down and up once.
	failures      float64
	latencyFactor float64
	period        time.Duration
	// everywhere is set if all databases fail alike.
	everywhere bool
	// maxBad is the largest share of requests that may fail or be slow during the
	// fault.
	maxBad float64
	// wantEjected is set if the database must be ejected.
	wantEjected bool
}

const (
	faultAt     = 20 * time.Second
	faultLength = 40 * time.Second
)

// faultyResponse returns the outcome of a request to a database.
func (l faultyLoad) respond(db int, at time.Duration, random *rand.Rand) Outcome {
	latency := 0.018 * (0.5 + random.Float64())
	outcome := Outcome{Class: "r", Latency: time.Duration(latency * float64(time.Second))}
	if at < faultAt || at >= faultAt+faultLength || db > 0 && !l.everywhere {
		outcome.Failed = random.Float64() < 0.002
		return outcome
	}
	outcome.Failed = random.Float64() < l.failures
	if l.period > 0 && at%l.period < l.period/2 {
		outcome.Failed = true
	}
	if l.latencyFactor > 0 {
		outcome.Latency = time.Duration(l.latencyFactor * float64(outcome.Latency))
	}
	return outcome
}

// TestDetector guards against databases that keep getting requests although they
// fail or are slow while their status is good, against ones that flap and return in
// each period, and against healthy ones that are ejected by chance or because all
// fail.
func TestDetector(t *testing.T) {
	loads := []faultyLoad{
		{name: "partly failing, pool host", rate: 200, failures: 0.3, maxBad: 0.02, wantEjected: true},
		{name: "partly failing, own clients", rate: 6, failures: 0.45, maxBad: 0.08, wantEjected: true},
		{name: "slow", rate: 200, latencyFactor: 5, maxBad: 0.02, wantEjected: true},
		{name: "flapping", rate: 200, period: time.Second, maxBad: 0.02, wantEjected: true},
		{name: "flapping, own clients", rate: 6, period: time.Second, maxBad: 0.08, wantEjected: true},
		{name: "all fail", rate: 200, failures: 0.4, everywhere: true, maxBad: 1},
		{name: "healthy", rate: 400, failures: 0.002, maxBad: 1},
	}
	for _, load := range loads {
		for seed := range uint64(20) {
			random := rand.New(rand.NewPCG(seed, 1))
			var d Detector
			ejections, healthy, bad, during := 0, 0, 0, 0
			now := time.Unix(1000, 0)
			for at := time.Duration(0); at < faultAt+3*faultLength; {
				step := time.Duration(random.ExpFloat64() / load.rate * float64(time.Second))
				at, now = at+step, now.Add(step)
				ids := [...]string{"a", "b", "c"}
				db := random.IntN(len(ids))
				for d.State(Target{ids[db], Read}, now) == Ejected {
					db = random.IntN(len(ids))
				}
				key := Target{ids[db], Read}
				trial := uint64(0)
				if d.State(key, now) == HalfOpen {
					trial = d.BeginTrial(key, now)
				}
				outcome := load.respond(db, at, random)
				outcome.Trial = trial
				if at >= faultAt && at < faultAt+faultLength {
					during++
					if outcome.Failed || outcome.Latency > 60*time.Millisecond {
						bad++
					}
				}
				event, ok := d.Record(key, outcome, len(ids), now)
				switch {
				case ok && event.Ejected && db == 0:
					ejections++
				case ok && event.Ejected:
					healthy++
				}
			}
			if (ejections > 0) != load.wantEjected {
				t.Errorf("%s, seed %d: got %d ejections, want any: %v", load.name, seed, ejections, load.wantEjected)
			}
			if healthy > 0 {
				t.Errorf("%s, seed %d: %d healthy databases were ejected", load.name, seed, healthy)
			}
			if share := float64(bad) / float64(during); share > load.maxBad {
				t.Errorf("%s, seed %d: %.3f of the requests failed or were slow, want at most %.3f", load.name, seed, share, load.maxBad)
			}
			if d.EjectedCount() > 0 {
				t.Errorf("%s, seed %d: a database is ejected long after the fault", load.name, seed)
			}
		}
	}
}
