package hoster

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/exchanger"
	"github.com/endiveturn/endiveturn/overseer"
	"github.com/endiveturn/endiveturn/timekeeper"
)

// forAll marks the usage that a host reports for all others, which is counted
// apart from its own.
const forAll = "/all"

// hub returns the name of the host that speaks for all; ok is false in small
// fleets and while nobody holds the duty.
func (h *Host) hub() (name string, ok bool) {
	catalog := h.current()
	if catalog == nil || !catalog.Large() {
		return "", false
	}
	record, ok := h.mirror.Get(overseer.DutyKey)
	if !ok {
		return "", false
	}
	name = overseer.DutyHolder(record.Value)
	_, ok = catalog.Hosts[name]
	return name, ok
}

// large reports whether the fleet is too large for exchanges between all pairs.
func (h *Host) large() bool {
	catalog := h.current()
	return catalog != nil && catalog.Large()
}

// told reports whether another host brings all changes of the store in time: it
// has heard from the store itself a moment ago.
func (h *Host) told() bool {
	name, ok := h.hub()
	return ok && name != h.Settings.Host && h.vouched()
}

// peerAddresses returns the hosts to exchange with by name, this one included.
func (h *Host) peerAddresses() map[string]string {
	addresses := make(map[string]string)
	catalog := h.current()
	if catalog == nil {
		return addresses
	}
	if _, ok := catalog.Hosts[h.Settings.Host]; ok {
		addresses[h.Settings.Host] = h.Settings.PeerAddress
	}
	if h.large() {
		if name, ok := h.hub(); ok {
			addresses[name] = catalog.Hosts[name].Address
		}
		for _, name := range h.relayNames(catalog) {
			addresses[name] = catalog.Hosts[name].Address
		}
		return addresses
	}
	for name, host := range catalog.Hosts {
		addresses[name] = host.Address
	}
	return addresses
}

// asks reports whether this host asks the named one in any case: in a large
// fleet the one that speaks for all, which asks nobody itself, and relays.
func (h *Host) asks(name string) bool {
	hub, ok := h.hub()
	return ok && name == hub || slices.Contains(h.relays.names, name)
}

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

// takesUsage reports whether a report's usage counts here. In a large fleet the
// host that speaks for all counts that of every host, and tells it to the others.
func (h *Host) takesUsage(report exchanger.Report) bool {
	if !h.large() {
		return true
	}
	name, ok := h.hub()
	return ok && (name == h.Settings.Host || name == report.Host)
}

// hubInterval is how often a host exchanges with the one that speaks for all.
const hubInterval = 180 * time.Millisecond

func (h *Host) exchangePause() time.Duration {
	if h.large() {
		return hubInterval
	}
	return exchanger.Interval
}

// usages returns what this host tells another one of the customers' rates, and
// for how many hosts it speaks.
func (h *Host) usages(receiver string) (usages map[string]exchanger.Usage, hosts int) {
	spent := h.limits.Spent()
	if name, ok := h.hub(); ok && name == h.Settings.Host && receiver != "" {
		spent = h.limits.SpentByOthers(receiver)
		hosts = h.current().FleetSize() - 1
	}
	usages = make(map[string]exchanger.Usage, len(spent))
	for customer, s := range spent {
		usages[customer] = exchanger.Usage(s)
	}
	return usages, hosts
}

// forgetSilent drops the usage reports of hosts that this one no longer
// exchanges with, whose usage others report by now.
func (h *Host) forgetSilent() {
	catalog := h.current()
	if catalog == nil {
		return
	}
	keep := make(map[string]bool)
	name, ok := h.hub()
	switch {
	case ok && name != h.Settings.Host:
		keep[name+forAll] = true
	default:
		for host := range catalog.Hosts {
			keep[host] = true
		}
	}
	h.limits.Forget(keep)
}
