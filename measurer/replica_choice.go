package measurer

import (
	"container/heap"
	"context"
	"math/rand/v2"
	"time"
)

// Replica choice is compared in virtual time: reads with service times that
// differ much arrive at replicas of which one is slow for a while.
const (
	choiceReplicas = 4
	choiceSlots    = 5
	choiceReads    = 200_000
	choiceMean     = 2 * time.Millisecond
	// choiceLoad is the part of all slots that is busy on average.
	choiceLoad = 0.7
	// choiceCooling is how fast the history of a replica fades, the
	// coefficient of convergence of the paper.
	choiceCooling = 100 * time.Millisecond
)

// A choiceReplica is a replica with what a policy may look at.
type choiceReplica struct {
	// free holds the times at which the slots become free.
	free []time.Duration
	// waiting are the ends of all reads that run or wait.
	ends endHeap
	// temperature counts recent reads and fades.
	temperature float64
	warmedAt    time.Duration
	// slow multiplies the service times.
	slow float64
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

// settle forgets reads that have ended.
func (r *choiceReplica) settle(now time.Duration) {
	for len(r.ends) > 0 && r.ends[0] <= now {
		heap.Pop(&r.ends)
	}
	elapsed := now - r.warmedAt
	r.temperature /= 1 + elapsed.Seconds()/choiceCooling.Seconds()
	r.warmedAt = now
}

// run lets a read run and returns its time with the wait.
func (r *choiceReplica) run(now, service time.Duration) time.Duration {
	first := 0
	for i := range r.free {
		if r.free[i] < r.free[first] {
			first = i
		}
	}
	end := max(now, r.free[first]) + time.Duration(float64(service)*r.slow)
	r.free[first] = end
	heap.Push(&r.ends, end)
	r.temperature++
	return end - now
}

// leastLoaded chooses the replica with the fewest reads per slot.
func leastLoaded(replicas []*choiceReplica, _ *rand.Rand) int {
	best := 0
	for i, r := range replicas {
		if len(r.ends) < len(replicas[best].ends) {
			best = i
		}
	}
	return best
}

// scored chooses by the node score of the paper on adaptive placement in ECFS:
// idle capacity over one plus the temperature.
func scored(replicas []*choiceReplica, _ *rand.Rand) int {
	best, bestScore := 0, -1.0
	for i, r := range replicas {
		idle := max(0, 1-float64(len(r.ends))/choiceSlots)
		if score := idle / (1 + r.temperature); score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

func anyReplica(_ []*choiceReplica, rng *rand.Rand) int { return rng.IntN(choiceReplicas) }

// simulateChoice returns the times of all reads in ms.
func simulateChoice(seed uint64, choose func([]*choiceReplica, *rand.Rand) int) []float64 {
	rng := rand.New(rand.NewPCG(seed, 11))
	var replicas []*choiceReplica
	for range choiceReplicas {
		replicas = append(replicas, &choiceReplica{free: make([]time.Duration, choiceSlots), slow: 1})
	}
	interval := float64(choiceMean) / (choiceLoad * choiceReplicas * choiceSlots)
	now := time.Duration(0)
	var times []float64
	for i := range choiceReads {
		now += time.Duration(rng.ExpFloat64() * interval)
		// One read in twenty takes ten times as long, as a report does.
		mean := float64(choiceMean) / 1.45
		if rng.IntN(20) == 0 {
			mean *= 10
		}
		replicas[0].slow = 1
		if phase := i * 10 / choiceReads; phase == 3 || phase == 6 {
			replicas[0].slow = 2
		}
		for _, r := range replicas {
			r.settle(now)
		}
		service := time.Duration(rng.ExpFloat64() * mean)
		times = append(times, milliseconds(replicas[choose(replicas, rng)].run(now, service)))
	}
	return times
}

// measureReplicaChoice compares ways to choose a replica. The one that is built
// is least loaded; the baseline of its figure is a random choice.
func measureReplicaChoice(_ context.Context, options Options) ([]Figure, []Series, error) {
	least := simulateChoice(options.Seed, leastLoaded)
	score := simulateChoice(options.Seed, scored)
	random := simulateChoice(options.Seed, anyReplica)
	return []Figure{
		Info("least_loaded_p99_ms", percentile(least, 0.99)).WithBaseline(percentile(random, 0.99)),
		Info("least_loaded_p50_ms", percentile(least, 0.5)).WithBaseline(percentile(random, 0.5)),
		Info("scored_p99_ms", percentile(score, 0.99)),
		Info("scored_p50_ms", percentile(score, 0.5)),
		NewFigure("least_loaded_over_scored_p99", ratio(percentile(least, 0.99), percentile(score, 0.99)), AtMost, 1),
	}, nil, nil
}
