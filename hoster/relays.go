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
	// relayCount is how many random other hosts a host of a large fleet contacts
	// while its view is not confirmed to be fresh by the store. A change that one
	// host of the fleet receives from the store reaches all others within a few
	// exchanges.
	relayCount = 2
	// fallbackHubCount is how many hosts, the same for the whole fleet, are
	// contacted while no host confirms the freshness of the view: a host that
	// receives reports from a majority can confirm it.
	fallbackHubCount = 2
	// relayViewAge is the age of the view from which relays and fallback hubs are
	// contacted. It is above the age that a view reaches behind a working hub, and
	// leaves time for two exchanges before the view expires.
	relayViewAge = 600 * time.Millisecond
	// relayPeriod is how long the same hosts are contacted.
	relayPeriod = time.Second
	// fallbackHubAvoidance is how long a fallback hub that did not reply is skipped.
	fallbackHubAvoidance = 10 * time.Second
)

// relays are the hosts of a large fleet that this one contacts in addition to the
// hub. It is not safe for concurrent use.
type relays struct {
	names    []string
	chosenAt time.Time
	// fallbackHubs is a subset of names. avoidedSince holds when a fallback hub was
	// found not to reply.
	fallbackHubs []string
	avoidedSince map[string]time.Time
}

// relayNames returns the hosts to contact in addition to the hub.
func (h *Host) relayNames(catalog *cataloger.Catalog) []string {
	defer h.publishFallbackHub()
	now := timekeeper.Now()
	r := &h.relays
	fresh := now.Sub(h.viewCompleteAsOf()) < relayViewAge
	if now.Sub(h.mirror.CompleteAsOf()) < relayViewAge {
		r.names, r.fallbackHubs = nil, nil
		return nil
	}
	if len(r.names) == 0 || now.Sub(r.chosenAt) > relayPeriod || !fresh && len(r.fallbackHubs) == 0 {
		r.choose(catalog.Hosts, h.exchanger.Reports(), !fresh || len(r.fallbackHubs) > 0, now)
	}
	present := make([]string, 0, len(r.names))
	for _, name := range r.names {
		if _, ok := catalog.Hosts[name]; ok {
			present = append(present, name)
		}
	}
	return present
}

// publishFallbackHub makes the fallback hub that this host contacts first known to other
// goroutines.
func (h *Host) publishFallbackHub() {
	if len(h.relays.fallbackHubs) == 0 {
		h.fallbackHub.Store(nil)
		return
	}
	name := h.relays.fallbackHubs[0]
	h.fallbackHub.Store(&name)
}

// choose picks relays at random, and adds the fallback hubs if requested: the hosts
// of the largest capacity, in an order that is the same on all hosts, without those
// that did not reply recently.
func (r *relays) choose(hosts map[string]cataloger.Host, reports map[string]exchanger.Peer, withFallbackHubs bool, now time.Time) {
	if r.avoidedSince == nil {
		r.avoidedSince = make(map[string]time.Time)
	}
	for _, name := range r.fallbackHubs {
		if reports[name].HeardAt.Before(r.chosenAt) {
			r.avoidedSince[name] = now
		}
	}
	r.chosenAt, r.names, r.fallbackHubs = now, nil, nil
	all := slices.SortedFunc(maps.Keys(hosts), func(a, b string) int {
		return cmp.Or(cmp.Compare(hosts[b].Capacity, hosts[a].Capacity), cmp.Compare(a, b))
	})
	for _, name := range all {
		if !withFallbackHubs || len(r.fallbackHubs) == fallbackHubCount {
			break
		}
		if now.Sub(r.avoidedSince[name]) > fallbackHubAvoidance {
			r.fallbackHubs = append(r.fallbackHubs, name)
		}
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	r.names = append(r.names, r.fallbackHubs...)
	for _, name := range all[:min(relayCount, len(all))] {
		if !slices.Contains(r.names, name) {
			r.names = append(r.names, name)
		}
	}
}
