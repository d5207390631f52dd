// Package balancer chooses the database for a request from information that is
// incomplete and slightly stale, and detects databases whose requests fail or are
// slow more often than those of others.
package balancer

import (
	"math"
	"time"
)

const (
	// informationHalfLife is the age at which half of the difference between a
	// database's latency and the mean of all no longer counts.
	informationHalfLife = 500 * time.Millisecond
	// defaultLatency is the assumed latency while none is known.
	defaultLatency = 20 * time.Millisecond
)

// An Option is a database that may serve a request, as known to this host.
type Option struct {
	// Outstanding is the number of this host's requests that run or wait there.
	Outstanding int
	// Permits is the number of this host's requests that may run there at once.
	Permits int
	// Latency is the mean response time of recent requests, 0 if it is not known.
	Latency time.Duration
	// Age is the time since the last response.
	Age time.Duration
	// Penalty is added to the expected response time, such as the time to open a
	// connection.
	Penalty time.Duration
}

// Estimates returns the expected response times of the options in seconds. The
// latency of a database decays to the mean of all with the age of the information,
// so that a database that was slow is tried again.
func Estimates(options []Option) []float64 {
	sum, known := 0.0, 0
	for _, o := range options {
		if o.Latency > 0 {
			sum += o.Latency.Seconds()
			known++
		}
	}
	mean := defaultLatency.Seconds()
	if known > 0 {
		mean = sum / float64(known)
	}
	costs := make([]float64, len(options))
	for i, o := range options {
		latency := mean
		if o.Latency > 0 {
			weight := math.Exp2(-max(0, o.Age.Seconds()) / informationHalfLife.Seconds())
			latency += (o.Latency.Seconds() - mean) * weight
		}
		costs[i] = latency*(1+float64(o.Outstanding)/float64(max(1, o.Permits))) + o.Penalty.Seconds()
	}
	return costs
}

// Choose returns the index of the option with the least expected response time, a
// random one of equal ones, or -1 if there is none. Each host judges by its own
// requests only, so that hosts don't all choose the same database at a time.
// uniform returns a random number in [0, 1).
func Choose(options []Option, uniform func() float64) int {
	best, equal := -1, 0.0
	costs := Estimates(options)
	for i, cost := range costs {
		switch {
		case best < 0 || cost < costs[best]:
			best, equal = i, 1
		case cost == costs[best]:
			equal++
			if uniform()*equal < 1 {
				best = i
			}
		}
	}
	return best
}
