package measurer

import (
	"container/heap"
	"context"
	"math/rand/v2"
	"time"
)

// The policies of replica choice are compared in virtual time. The service times
// of the reads vary widely, and one of the replicas is slow for a while.
const (
	choiceReplicas = 4
	choiceSlots    = 5
	choiceReads    = 200_000
	choiceMean     = 2 * time.Millisecond
	// choiceLoad is the mean fraction of all slots that are busy.
	choiceLoad = 0.7
	// temperatureDecay is the time constant with which the temperature of a
	// replica decays: the coefficient of convergence of the paper that
	// highestScore names.
	temperatureDecay = 100 * time.Millisecond
)

// A choiceReplica is a replica with the state that a policy may use.
type choiceReplica struct {
	// free holds the times at which the slots become free.
	free []time.Duration
	// ends holds the end times of all reads that run or wait.
	ends endHeap
	// temperature is a decaying count of recent reads, as of updatedAt.
	temperature float64
	updatedAt   time.Duration
	// slowdown is the factor by which service times are longer.
	slowdown float64
}

type endHeap []time.Duration

func (h endHeap) Len() int           { return len(h) }
func (h endHeap) Less(i, j int) bool { return h[i] < h[j] }
func (h endHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *endHeap) Push(x any)        { *h = append(*h, x.(time.Duration)) }
func (h *endHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// advance removes the reads that have ended and decays the temperature.
func (r *choiceReplica) advance(now time.Duration) {
	for len(r.ends) > 0 && r.ends[0] <= now {
		heap.Pop(&r.ends)
	}
	elapsed := now - r.updatedAt
	r.temperature /= 1 + elapsed.Seconds()/temperatureDecay.Seconds()
	r.updatedAt = now
}

// serve runs a read and returns its latency, including the wait for a slot.
func (r *choiceReplica) serve(now, service time.Duration) time.Duration {
	first := 0
	for i := range r.free {
		if r.free[i] < r.free[first] {
			first = i
		}
	}
	end := max(now, r.free[first]) + time.Duration(float64(service)*r.slowdown)
	r.free[first] = end
	heap.Push(&r.ends, end)
	r.temperature++
	return end - now
}

// leastLoaded chooses the replica with the fewest running and waiting reads per
// slot. All replicas have the same number of slots.
func leastLoaded(replicas []*choiceReplica, _ *rand.Rand) int {
	best := 0
	for i, r := range replicas {
		if len(r.ends) < len(replicas[best].ends) {
			best = i
		}
	}
	return best
}

// highestScore chooses by the node score of the paper on adaptive placement in
// ECFS: idle capacity divided by one plus the temperature.
func highestScore(replicas []*choiceReplica, _ *rand.Rand) int {
	best, bestScore := 0, -1.0
	for i, r := range replicas {
		idle := max(0, 1-float64(len(r.ends))/choiceSlots)
		if score := idle / (1 + r.temperature); score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

func randomReplica(_ []*choiceReplica, rng *rand.Rand) int { return rng.IntN(choiceReplicas) }

// simulateChoice returns the latencies of all reads in ms.
func simulateChoice(seed uint64, choose func([]*choiceReplica, *rand.Rand) int) []float64 {
	rng := rand.New(rand.NewPCG(seed, 11))
	var replicas []*choiceReplica
	for range choiceReplicas {
		replicas = append(replicas, &choiceReplica{free: make([]time.Duration, choiceSlots), slowdown: 1})
	}
	interval := float64(choiceMean) / (choiceLoad * choiceReplicas * choiceSlots)
	now := time.Duration(0)
	var times []float64
	for i := range choiceReads {
		now += time.Duration(rng.ExpFloat64() * interval)
		// One read in twenty takes ten times as long, like a reporting query.
		mean := float64(choiceMean) / 1.45
		if rng.IntN(20) == 0 {
			mean *= 10
		}
		replicas[0].slowdown = 1
		if phase := i * 10 / choiceReads; phase == 3 || phase == 6 {
			replicas[0].slowdown = 2
		}
		for _, r := range replicas {
			r.advance(now)
		}
		service := time.Duration(rng.ExpFloat64() * mean)
		times = append(times, milliseconds(replicas[choose(replicas, rng)].serve(now, service)))
	}
	return times
}

// measureReplicaChoice compares policies of replica choice. The implemented one is
// least loaded. The baseline of its figures is a random choice.
func measureReplicaChoice(_ context.Context, options Options) ([]Figure, []Series, error) {
	least := simulateChoice(options.Seed, leastLoaded)
	score := simulateChoice(options.Seed, highestScore)
	random := simulateChoice(options.Seed, randomReplica)
	return []Figure{
		Info("least_loaded_p99_ms", percentile(least, 0.99)).WithBaseline(percentile(random, 0.99)),
		Info("least_loaded_p50_ms", percentile(least, 0.5)).WithBaseline(percentile(random, 0.5)),
		Info("scored_p99_ms", percentile(score, 0.99)),
		Info("scored_p50_ms", percentile(score, 0.5)),
		NewFigure("least_loaded_over_scored_p99", ratio(percentile(least, 0.99), percentile(score, 0.99)), AtMost, 1),
	}, nil, nil
}
