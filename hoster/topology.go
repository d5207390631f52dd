package hoster

import (
	"slices"
	"time"

	"github.com/endiveturn/endiveturn/exchanger"
	"github.com/endiveturn/endiveturn/limiter"
	"github.com/endiveturn/endiveturn/overseer"
	"github.com/endiveturn/endiveturn/timekeeper"
)

// allHostsSuffix is appended to the hub's name for the usage that it reports for all
// other hosts, which is counted separately from its own.
const allHostsSuffix = "/all"

// hub returns the name of the host through which the hosts of a large fleet exchange
// their state: the leader. ok is false in small fleets and while there is no leader.
func (h *Host) hub() (name string, ok bool) {
	catalog := h.latestCatalog()
	if catalog == nil || !catalog.IsLargeFleet() {
		return "", false
	}
	name, ok = h.leader()
	if !ok {
		return "", false
	}
	_, ok = catalog.Hosts[name]
	return name, ok
}

// A leaderRecord is the decoded record of the leader.
type leaderRecord struct {
	revision int64
	name     string
}

// leader returns the name in the record of the leader. It decodes each record once, since
// every exchange needs it.
func (h *Host) leader() (name string, ok bool) {
	record, ok := h.mirror.Get(overseer.LeaderKey)
	if !ok {
		return "", false
	}
	if known := h.leaderRecord.Load(); known != nil && known.revision == record.Revision {
		return known.name, true
	}
	name = overseer.LeaderName(record.Value)
	h.leaderRecord.Store(&leaderRecord{revision: record.Revision, name: name})
	return name, true
}

// isHub reports whether this host is the hub of a large fleet.
func (h *Host) isHub() bool {
	name, ok := h.hub()
	return ok && name == h.Settings.Host
}

// largeFleet reports whether the fleet is too large for exchanges between all pairs
// of hosts.
func (h *Host) largeFleet() bool {
	catalog := h.latestCatalog()
	return catalog != nil && catalog.IsLargeFleet()
}

// receivesChangesFromHub reports whether another host, the hub, delivers all
// changes of the store in time: according to its reports, it received a
// response from the store recently.
func (h *Host) receivesChangesFromHub() bool {
	name, ok := h.hub()
	return ok && name != h.Settings.Host && h.viewFresh()
}

// peerAddresses returns the hosts to exchange with by name, including this one.
func (h *Host) peerAddresses() map[string]string {
	addresses := make(map[string]string)
	catalog := h.latestCatalog()
	if catalog == nil {
		return addresses
	}
	if _, ok := catalog.Hosts[h.Settings.Host]; ok {
		addresses[h.Settings.Host] = h.Settings.PeerAddress
	}
	if h.largeFleet() {
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

// mustInitiate reports whether this host initiates the exchanges with the named one
// in any case. In a large fleet it does so for the hub, which initiates none itself,
// and for relays.
func (h *Host) mustInitiate(name string) bool {
	hub, ok := h.hub()
	return ok && name == hub || slices.Contains(h.relays.names, name)
}

// aggregator returns the name of the host that collects the usage of the customers'
// rate limits in a large fleet and reports it to the others: the hub or, while the hub
// is silent, the fallback hub that this host contacts first.
func (h *Host) aggregator() (name string, ok bool) {
	name, ok = h.hub()
	if ok && (name == h.Settings.Host || timekeeper.Now().Sub(h.exchanger.ReceivedAt(name)) < limiter.HubReportTimeout) {
		return name, true
	}
	if fallback := h.fallbackHub.Load(); fallback != nil {
		return *fallback, true
	}
	return name, ok
}

// aggregates reports whether this host is the aggregator, as far as it knows.
func (h *Host) aggregates() bool {
	name, ok := h.aggregator()
	return ok && name == h.Settings.Host
}

// acceptsUsage reports whether the usage in a report counts on this host: in a large
// fleet, that of every host on the aggregator, and that of the aggregator elsewhere.
func (h *Host) acceptsUsage(report exchanger.Report) bool {
	if !h.largeFleet() {
		return true
	}
	name, ok := h.aggregator()
	return ok && (name == h.Settings.Host || name == report.Host)
}

const (
	// hubExchangeInterval is how often a host exchanges with the hub in fleets of up to 198
	// hosts.
	hubExchangeInterval = 180 * time.Millisecond
	// hubExchangeTime is the time that the interval of larger fleets leaves the hub for each
	// exchange, up to 1,100 a second. 300 hosts at hubExchangeInterval make 1,667, of about
	// 110 us each, which a hub of 0.192 of a core can't respond to.
	hubExchangeTime = 910 * time.Microsecond
	// maxHubExchangeInterval bounds the interval, so that views behind a working hub stay
	// below relayViewAge together with largestFleetsWatchWait.
	maxHubExchangeInterval = 270 * time.Millisecond
)

// exchangePause returns the time between two exchanges with a host.
func (h *Host) exchangePause() time.Duration {
	catalog := h.latestCatalog()
	if catalog == nil || !catalog.IsLargeFleet() {
		return exchanger.Interval
	}
	return hubInterval(catalog.FleetSize())
}

// hubInterval returns how often each host of a large fleet exchanges with the hub.
func hubInterval(hosts int) time.Duration {
	return min(max(hubExchangeInterval, time.Duration(hosts)*hubExchangeTime), maxHubExchangeInterval)
}

// usages returns the usage of the customers' rate limits to report to another host,
// and the number of hosts that it covers.
func (h *Host) usages(receiver string) (usages map[string]exchanger.Usage, hosts int) {
	usageByCustomer := h.limits.Usage()
	if h.largeFleet() && receiver != "" && h.aggregates() {
		usageByCustomer = h.limits.UsageOfOthers(receiver)
		hosts = h.limits.ReportingHosts()
		if h.isHub() {
			hosts = h.latestCatalog().FleetSize() - 1
		}
	}
	usages = make(map[string]exchanger.Usage, len(usageByCustomer))
	for customer, usage := range usageByCustomer {
		usages[customer] = exchanger.Usage(usage)
	}
	return usages, hosts
}

// forgetObsoleteUsage removes the usage reports of hosts that this one no longer
// exchanges with, whose usage is by then reported by others.
func (h *Host) forgetObsoleteUsage() {
	catalog := h.latestCatalog()
	if catalog == nil {
		return
	}
	keep := make(map[string]bool)
	name, ok := h.aggregator()
	switch {
	case ok && name != h.Settings.Host && catalog.IsLargeFleet():
		keep[name+allHostsSuffix] = true
	default:
		for host := range catalog.Hosts {
			keep[host] = true
		}
	}
	h.limits.RetainReports(keep)
}
