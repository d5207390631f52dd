package cataloger

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
)

const (
	// maxPoolHosts is the length of a service's list of pool hosts: the first one and
	// two that replace it while it is out of reach.
	maxPoolHosts = 3
	// placementSlack is how much more than its share of the services a host may get,
	// so that the loss of a host rarely moves services of others.
	placementSlack = 1.25
	// equalCapacityRatio is the ratio of capacities up to which hosts count as equal,
	// since capacities are estimates.
	equalCapacityRatio = 0.95
)

// A poolCandidate is a host that may become the pool host of a service.
type poolCandidate struct {
	name   string
	weight float64
	// limit is the number of services that the host may pool.
	limit int
	// lastResort is set for hosts that are chosen only if there is no other one.
	lastResort bool
}

// A placementScore is the rank of a host for a service, in weighted rendezvous hashing.
type placementScore struct {
	service   int
	candidate *poolCandidate
	score     float64
}

// PoolHosts returns, for each service, the hosts that hold its connections in order of
// preference. It depends on its arguments alone, so that hosts with the same view agree.
// Hosts get services in proportion to their capacities; a host without a known one
// counts like the smallest. Hosts for which lastResort returns true come behind all
// others.
func PoolHosts(services []string, hosts []Host, lastResort func(host string) bool) map[string][]string {
	placed := make(map[string][]string, len(services))
	if len(hosts) == 0 || len(services) == 0 {
		return placed
	}
	services = slices.Sorted(slices.Values(services))
	candidates := poolCandidates(hosts, lastResort)
	assignPlacementLimits(candidates, len(services))
	ranked := rankCandidates(services, candidates)
	first := placeByScore(ranked)
	for i, service := range services {
		placed[service] = orderedPoolHosts(first[i], &ranked[i])
	}
	return placed
}

// poolCandidates returns the hosts with their weights.
func poolCandidates(hosts []Host, lastResort func(host string) bool) []*poolCandidate {
	smallest := int64(0)
	for _, h := range hosts {
		if h.Capacity > 0 && (smallest == 0 || h.Capacity < smallest) {
			smallest = h.Capacity
		}
	}
	candidates := make([]*poolCandidate, 0, len(hosts))
	for _, h := range hosts {
		weight := float64(max(h.Capacity, smallest, 1))
		if h.Capacity == 0 {
			weight = float64(max(smallest, 1))
		}
		candidates = append(candidates, &poolCandidate{name: h.Name, weight: weight, lastResort: lastResort(h.Name)})
	}
	return candidates
}

// assignPlacementLimits sets the number of services that each host may pool. The hosts of
// the largest capacity may always pool one, much smaller ones none unless the others can't
// pool all services.
func assignPlacementLimits(candidates []*poolCandidate, services int) {
	largest := 0.0
	for _, c := range candidates {
		largest = max(largest, c.weight)
	}
	hosts := 0.0
	for _, c := range candidates {
		hosts += c.weight / largest
	}
	perLargest := max(1, math.Ceil(placementSlack*float64(services)/hosts))
	for ; ; perLargest++ {
		room := 0
		for _, c := range candidates {
			c.limit = int(math.Round(perLargest * c.weight / largest))
			if c.weight >= equalCapacityRatio*largest {
				c.limit = int(perLargest)
			}
			if !c.lastResort {
				room += c.limit
			}
		}
		if room >= services || perLargest >= float64(services) {
			return
		}
	}
}

// compare orders scores: the best first, those of last resort at the end.
func (s placementScore) compare(other placementScore) int {
	if s.candidate.lastResort != other.candidate.lastResort {
		if other.candidate.lastResort {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(other.score, s.score), cmp.Compare(s.candidate.name, other.candidate.name), cmp.Compare(s.service, other.service))
}

// A scoreHeap is a heap of scores with the best on top.
type scoreHeap []placementScore

// Len implements heap.Interface.
func (h scoreHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h scoreHeap) Less(i, j int) bool { return h[i].compare(h[j]) < 0 }

// Swap implements heap.Interface.
func (h scoreHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *scoreHeap) Push(score any) { *h = append(*h, score.(placementScore)) }

// Pop implements heap.Interface.
func (h *scoreHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// A ranking is the candidates of a service in the order of their scores. It orders only those
// that are asked for, since most services need a few of hundreds.
type ranking struct {
	best []placementScore
	rest scoreHeap
}

// at returns the candidate with the given rank; ok is false if there are fewer.
func (r *ranking) at(rank int) (score placementScore, ok bool) {
	for len(r.best) <= rank && len(r.rest) > 0 {
		r.best = append(r.best, heap.Pop(&r.rest).(placementScore))
	}
	if rank >= len(r.best) {
		return placementScore{}, false
	}
	return r.best[rank], true
}

// rankCandidates ranks, for each service, all candidates that may pool services.
func rankCandidates(services []string, candidates []*poolCandidate) []ranking {
	rankings := make([]ranking, len(services))
	for i, service := range services {
		scores := make(scoreHeap, 0, len(candidates))
		for _, c := range candidates {
			if c.limit > 0 {
				scores = append(scores, placementScore{service: i, candidate: c, score: rendezvousScore(service, c.name, c.weight)})
			}
		}
		heap.Init(&scores)
		rankings[i].rest = scores
	}
	return rankings
}

// placeByScore gives each service the host with the best score that has room for it, in the
// order of the scores of all services. A host that is lost leaves the pairs of other hosts in
// their order, so that a service of another one moves only if a moved service with a better
// score fills its host.
func placeByScore(rankings []ranking) []*poolCandidate {
	first := make([]*poolCandidate, len(rankings))
	used := make(map[*poolCandidate]int)
	ranks := make([]int, len(rankings))
	var next scoreHeap
	for i := range rankings {
		if score, ok := rankings[i].at(0); ok {
			next = append(next, score)
		}
	}
	heap.Init(&next)
	for len(next) > 0 {
		s := heap.Pop(&next).(placementScore)
		if used[s.candidate] < s.candidate.limit {
			first[s.service] = s.candidate
			used[s.candidate]++
			continue
		}
		ranks[s.service]++
		if score, ok := rankings[s.service].at(ranks[s.service]); ok {
			heap.Push(&next, score)
		}
	}
	return first
}

// orderedPoolHosts returns the pool host of a service and the next best ones by score.
func orderedPoolHosts(first *poolCandidate, ranked *ranking) []string {
	var names []string
	if first != nil {
		names = append(names, first.name)
	}
	for rank := 0; len(names) < maxPoolHosts; rank++ {
		s, ok := ranked.at(rank)
		if !ok {
			break
		}
		if s.candidate != first {
			names = append(names, s.candidate.name)
		}
	}
	return names
}

// rendezvousScore returns the score of weighted rendezvous hashing: the host with the
// largest one is chosen with a probability proportional to its weight.
func rendezvousScore(service, host string, weight float64) float64 {
	const mantissaBits = 53
	uniform := (float64(RendezvousHash(service, host)>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
	return -weight / math.Log(uniform)
}

// RendezvousHash is the hash of a pair of names: FNV-1a over both, with the finalizer of MurmurHash3, since FNV
// alone distributes names that differ in the last characters unevenly.
func RendezvousHash(service, host string) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	hash := uint64(offset)
	for i := range len(service) {
		hash = (hash ^ uint64(service[i])) * prime
	}
	hash = (hash ^ 0xff) * prime
	for i := range len(host) {
		hash = (hash ^ uint64(host[i])) * prime
	}
	hash = (hash ^ hash>>33) * 0xff51afd7ed558ccd
	hash = (hash ^ hash>>33) * 0xc4ceb9fe1a85ec53
	return hash ^ hash>>33
}
