package cataloger

import (
	"cmp"
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
	scores := placementScores(services, candidates)
	first := placeByScore(scores, len(services))
	for i, service := range services {
		placed[service] = orderedPoolHosts(i, first[i], scores)
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

// placementScores returns the scores of all candidates that may pool services, the best
// first, those of last resort at the end.
func placementScores(services []string, candidates []*poolCandidate) []placementScore {
	scores := make([]placementScore, 0, len(services)*len(candidates))
	for i, service := range services {
		for _, c := range candidates {
			if c.limit > 0 {
				scores = append(scores, placementScore{service: i, candidate: c, score: rendezvousScore(service, c.name, c.weight)})
			}
		}
	}
	slices.SortFunc(scores, func(a, b placementScore) int {
		if a.candidate.lastResort != b.candidate.lastResort {
			if b.candidate.lastResort {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.candidate.name, b.candidate.name), cmp.Compare(a.service, b.service))
	})
	return scores
}

// placeByScore gives each service the host with the best score that has room for it. A
// host that is lost leaves the pairs of other hosts in their order, so that a service of
// another one moves only if a moved service with a better score fills its host.
func placeByScore(scores []placementScore, services int) []*poolCandidate {
	first := make([]*poolCandidate, services)
	used := make(map[*poolCandidate]int)
	for _, s := range scores {
		if first[s.service] == nil && used[s.candidate] < s.candidate.limit {
			first[s.service] = s.candidate
			used[s.candidate]++
		}
	}
	return first
}

// orderedPoolHosts returns the pool host of a service and the next best ones by score.
func orderedPoolHosts(service int, first *poolCandidate, scores []placementScore) []string {
	var names []string
	if first != nil {
		names = append(names, first.name)
	}
	for _, s := range scores {
		if len(names) == maxPoolHosts {
			break
		}
		if s.service == service && s.candidate != first {
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
