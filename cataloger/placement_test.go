package cataloger

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
)

func neverLastResort(string) bool { return false }

// mixedHosts returns large and small hosts.
func mixedHosts(large, small int) []Host {
	var hosts []Host
	for i := range large {
		hosts = append(hosts, Host{Name: fmt.Sprint("large", i), Capacity: 160_000})
	}
	for i := range small {
		hosts = append(hosts, Host{Name: fmt.Sprint("small", i), Capacity: 1_920})
	}
	return hosts
}

func serviceNames(n int) []string {
	var names []string
	for i := range n {
		names = append(names, fmt.Sprint("service", i))
	}
	return names
}

// firstHosts returns the number of services by pool host.
func firstHosts(placed map[string][]string) map[string]int {
	counts := make(map[string]int)
	for _, names := range placed {
		counts[names[0]]++
	}
	return counts
}

// TestPoolHostsByCapacity guards against services on hosts that are too small for them, and
// against hosts that get more than their share.
func TestPoolHostsByCapacity(t *testing.T) {
	tests := []struct {
		name         string
		hosts        []Host
		services     int
		wantOnLarge  int
		maxPerHost   int
		minListSize  int
		lastResortOf string
	}{
		{name: "six large ones", hosts: mixedHosts(6, 72), services: 8, wantOnLarge: 8, maxPerHost: 2, minListSize: 3},
		{name: "one large one", hosts: mixedHosts(1, 30), services: 8, wantOnLarge: 8, maxPerHost: 8, minListSize: 1},
		{name: "equal ones", hosts: mixedHosts(0, 34), services: 8, maxPerHost: 1, minListSize: 3},
		{name: "equal ones of unknown capacity", hosts: []Host{{Name: "a"}, {Name: "b"}, {Name: "c"}, {Name: "d"}}, services: 8, maxPerHost: 3, minListSize: 3},
		{name: "more services than hosts", hosts: mixedHosts(0, 20), services: 64, maxPerHost: 4, minListSize: 3},
		{name: "a large one has just started", hosts: mixedHosts(6, 72), services: 8, wantOnLarge: 8, maxPerHost: 2, minListSize: 3, lastResortOf: "large3"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			placed := PoolHosts(serviceNames(test.services), test.hosts, func(name string) bool { return name == test.lastResortOf })
			if len(placed) != test.services {
				t.Fatalf("placed %d services, want %d", len(placed), test.services)
			}
			onLarge := 0
			for name, count := range firstHosts(placed) {
				if name[:1] == "l" {
					onLarge += count
				}
				if count > test.maxPerHost || name == test.lastResortOf {
					t.Errorf("%s pools %d services, want at most %d", name, count, test.maxPerHost)
				}
			}
			if onLarge != test.wantOnLarge {
				t.Errorf("services on large hosts: got %d, want %d", onLarge, test.wantOnLarge)
			}
			for service, names := range placed {
				if len(names) < test.minListSize || slices.Contains(names[:len(names)-1], test.lastResortOf) && test.lastResortOf != "" {
					t.Errorf("%s: got %q, want at least %d hosts and %q last", service, names, test.minListSize, test.lastResortOf)
				}
			}
		})
	}
}

// TestLostHostMovesItsServices guards against a fleet whose services all move when one of
// its hosts is lost, or move to a host other than the one that hosts turn to until the
// loss is known.
func TestLostHostMovesItsServices(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	lost, moved, others, toNext := 0, 0, 0, 0
	for range 300 {
		hosts := mixedHosts(3+random.IntN(8), random.IntN(70))
		services := serviceNames(3 + random.IntN(12))
		for i := range hosts {
			hosts[i].Name += fmt.Sprint("-", random.IntN(1000))
		}
		before := PoolHosts(services, hosts, neverLastResort)
		gone := before[services[0]][0]
		after := PoolHosts(services, slices.DeleteFunc(slices.Clone(hosts), func(h Host) bool { return h.Name == gone }), neverLastResort)
		lost++
		for service, names := range before {
			switch {
			case names[0] == gone:
				moved++
				if after[service][0] == names[1] {
					toNext++
				}
			case after[service][0] != names[0]:
				others++
			}
		}
	}
	t.Logf("%d hosts lost: %d services moved, %d of them to the next host, %d services of other hosts moved", lost, moved, toNext, others)
	// Only a full host passes a service on.
	if others*3 > moved {
		t.Errorf("services of other hosts that moved: got %d, want at most a third of %d", others, moved)
	}
	if toNext*2 < moved {
		t.Errorf("services that moved to the next host of their list: got %d of %d, want at least half", toNext, moved)
	}
}

// TestPoolHostsDoNotDependOnOrder guards against hosts that place services differently
// although they have the same view.
func TestPoolHostsDoNotDependOnOrder(t *testing.T) {
	hosts, services := mixedHosts(5, 20), serviceNames(9)
	want := fmt.Sprint(PoolHosts(services, hosts, neverLastResort))
	slices.Reverse(hosts)
	slices.Reverse(services)
	if got := fmt.Sprint(PoolHosts(services, hosts, neverLastResort)); got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

// BenchmarkPoolHosts measures the placement, which each host computes with each catalog.
func BenchmarkPoolHosts(b *testing.B) {
	for _, size := range []struct{ services, large, small int }{{8, 6, 189}, {8, 0, 300}, {32, 0, 100}, {96, 0, 300}} {
		b.Run(fmt.Sprintf("%d_services_%d_large_%d_small", size.services, size.large, size.small), func(b *testing.B) {
			hosts, services := mixedHosts(size.large, size.small), serviceNames(size.services)
			for b.Loop() {
				PoolHosts(services, hosts, neverLastResort)
			}
		})
	}
}

// sortedPoolHosts returns the same as PoolHosts by sorting all pairs of services and hosts.
func sortedPoolHosts(services []string, hosts []Host, lastResort func(host string) bool) map[string][]string {
	services = slices.Sorted(slices.Values(services))
	candidates := poolCandidates(hosts, lastResort)
	assignPlacementLimits(candidates, len(services))
	var scores []placementScore
	for _, r := range rankCandidates(services, candidates) {
		scores = append(scores, r.rest...)
	}
	slices.SortFunc(scores, placementScore.compare)
	first, used := make([]*poolCandidate, len(services)), make(map[*poolCandidate]int)
	for _, s := range scores {
		if first[s.service] == nil && used[s.candidate] < s.candidate.limit {
			first[s.service] = s.candidate
			used[s.candidate]++
		}
	}
	placed := make(map[string][]string)
	for i, service := range services {
		var names []string
		if first[i] != nil {
			names = append(names, first[i].name)
		}
		for _, s := range scores {
			if s.service == i && s.candidate != first[i] && len(names) < maxPoolHosts {
				names = append(names, s.candidate.name)
			}
		}
		placed[service] = names
	}
	return placed
}

// TestPoolHostsAgreeWithSorting guards against hosts of different versions that disagree on
// the pool hosts, since the placement no longer sorts all pairs of services and hosts.
func TestPoolHostsAgreeWithSorting(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		hosts := mixedHosts(random.IntN(4), 1+random.IntN(40))
		if random.IntN(2) == 0 {
			hosts[0].Capacity = int64(random.IntN(200_000))
		}
		services := serviceNames(1 + random.IntN(60))
		starting := random.IntN(len(hosts))
		lastResort := func(host string) bool { return host == hosts[starting].Name || host == "small1" }
		if got, want := PoolHosts(services, hosts, lastResort), sortedPoolHosts(services, hosts, lastResort); !reflect.DeepEqual(got, want) {
			t.Fatalf("seed %d: got %v, want %v", seed, got, want)
		}
	}
}
