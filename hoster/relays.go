package hoster

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/exchanger"
	"github.com/endiveturn/endiveturn/timekeeper"
)

const (
	// relayCount is how many other hosts, chosen at random, a host of a large fleet
	// asks while the store does not vouch for its view. What one host of the fleet
	// hears from the store reaches all within a few exchanges.
	relayCount = 2
	// deputyCount is how many hosts, the same for all, are asked while nobody
	// vouches for the view: one that hears most hosts can.
	deputyCount = 2
	// relayTime is how long the same hosts are asked.
	relayTime = time.Second
	// deputyAvoided is how long a deputy that did not answer is passed over.
	deputyAvoided = 10 * time.Second
)

// relays are the hosts of a large fleet that this one asks beside the one that
// speaks for all. It is used by one goroutine.
type relays struct {
	names  []string
	chosen time.Time
	// deputies are among names, and avoided holds those that did not answer.
	deputies []string
	avoided  map[string]time.Time
}

// relayNames returns the hosts to ask beside the one that speaks for all.
func (h *Host) relayNames(catalog *cataloger.Catalog) []string {
	now := timekeeper.Now()
	r := &h.relays
	current := now.Sub(h.viewCurrent()) < vouchAge
	if h.vouched() {
		r.names, r.deputies = nil, nil
		return nil
	}
	if len(r.names) == 0 || now.Sub(r.chosen) > relayTime || !current && len(r.deputies) == 0 {
		r.choose(catalog.Hosts, h.exchanger.Reports(), !current || len(r.deputies) > 0, now)
	}
	present := make([]string, 0, len(r.names))
	for _, name := range r.names {
		if _, ok := catalog.Hosts[name]; ok {
			present = append(present, name)
		}
	}
	return present
}

// choose draws relays at random, and adds the deputies if they are wanted: the
// hosts of the largest capacity, in an order that is the same everywhere, without
// those that have not answered lately.
func (r *relays) choose(hosts map[string]cataloger.Host, reports map[string]exchanger.Peer, deputies bool, now time.Time) {
	if r.avoided == nil {
		r.avoided = make(map[string]time.Time)
	}
	for _, name := range r.deputies {
		if reports[name].Heard.Before(r.chosen) {
			r.avoided[name] = now
		}
	}
	r.chosen, r.names, r.deputies = now, nil, nil
	all := slices.SortedFunc(maps.Keys(hosts), func(a, b string) int {
		return cmp.Or(cmp.Compare(hosts[b].Capacity, hosts[a].Capacity), cmp.Compare(a, b))
	})
	for _, name := range all {
		if !deputies || len(r.deputies) == deputyCount {
			break
		}
		if now.Sub(r.avoided[name]) > deputyAvoided {
			r.deputies = append(r.deputies, name)
		}
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	r.names = append(r.names, r.deputies...)
	for _, name := range all[:min(relayCount, len(all))] {
		if !slices.Contains(r.names, name) {
			r.names = append(r.names, name)
		}
	}
}
