package hoster

import (
	"maps"
	"slices"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/exchanger"
	"github.com/endiveturn/endiveturn/forwarder"
	"github.com/endiveturn/endiveturn/timekeeper"
)

const (
	// startingAge is the time after which a new process may become a pool host although
	// there are others.
	startingAge = 3 * time.Second
	// maxReportedStoppingHosts bounds the bytes of a report while all hosts stop.
	maxReportedStoppingHosts = 16
	// maxForwardedOperations is the number of operations that a host runs for others at
	// once. Each takes about 30 KB with its stacks and buffers.
	maxForwardedOperations = 1000
	// forwardedMemoryShare is the fraction of the memory for statements and responses of
	// other hosts.
	forwardedMemoryShare = 0.1
	// minForwardedBytes is the minimum for statements and responses of other hosts.
	minForwardedBytes = 4 << 20
)

// maxForwardedBytes bounds the statements and responses of other hosts.
func (s Settings) maxForwardedBytes() int64 {
	return max(minForwardedBytes, int64(forwardedMemoryShare*float64(s.MemoryMegabytes)*(1<<20)))
}

// newForwardingClient returns the client with which the director runs operations on other
// hosts.
func (h *Host) newForwardingClient() *forwarder.Client {
	count := func(name string) { gometrics.GetOrRegisterCounter(name, h.Registry).Inc(1) }
	return &forwarder.Client{
		Detector: &forwarder.FailureDetector{Now: time.Now}, Now: time.Now, SinceBoot: timekeeper.Now, Dial: h.Dial,
		OnSuspect: func(target forwarder.Target, reason error) {
			count("pool_hosts_suspected")
			h.Logger.Warn("pool_host_suspected", "host", target.Name, "incarnation", target.Incarnation, "address", target.Address, "error", reason.Error())
			h.director.UpdatePoolHosts()
		},
		OnRegain: func(target forwarder.Target) {
			count("pool_hosts_regained")
			h.Logger.Info("pool_host_regained", "host", target.Name, "incarnation", target.Incarnation, "address", target.Address)
			h.director.UpdatePoolHosts()
		},
		OnStopping: func(target forwarder.Target) {
			h.Logger.Info("pool_host_stopping", "host", target.Name, "incarnation", target.Incarnation)
			h.director.UpdatePoolHosts()
		},
	}
}

// stoppingHosts returns the hosts of the catalog that shut down, as this host or the hub
// knows.
func (h *Host) stoppingHosts(catalog *cataloger.Catalog) map[string]bool {
	stopping := make(map[string]bool)
	if h.stopping.Load() {
		stopping[h.Settings.Host] = true
	}
	h.exchanger.EachPeer(func(name string, peer *exchanger.Peer) bool {
		if peer.Report.Stopping && peer.Report.Incarnation == catalog.Hosts[name].Incarnation {
			stopping[name] = true
		}
		return true
	})
	h.addReportedStopping(stopping)
	return stopping
}

// addReportedStopping adds the hosts that the hub reports as stopping. Its report counts
// while it is recent, since it no longer says so once the host's next process runs.
func (h *Host) addReportedStopping(stopping map[string]bool) {
	name, ok := h.hub()
	hub := h.exchanger.Peer(name)
	if !ok || timekeeper.Now().Sub(hub.ReceivedAt) > maxObservationAge {
		return
	}
	for _, name := range hub.Report.StoppingHosts {
		stopping[name] = true
	}
}

// stoppingHostsToReport returns the stopping hosts that the hub reports to all others:
// those of the largest capacity, which are the ones that may be pool hosts.
func (h *Host) stoppingHostsToReport() []string {
	if !h.isHub() {
		return nil
	}
	now := timekeeper.Now()
	if last := h.stoppingReported.Load(); last != nil && now.Sub(last.at) < reuseTime {
		return last.names
	}
	names := h.computeStoppingHosts()
	if h.reusesResults && h.largeFleet() {
		h.stoppingReported.Store(&stoppingNames{names: names, at: now})
	}
	return names
}

// stoppingNames is a result of computeStoppingHosts.
type stoppingNames struct {
	names []string
	at    time.Time
}

// computeStoppingHosts computes stoppingHostsToReport from the reports of all hosts.
func (h *Host) computeStoppingHosts() []string {
	catalog := h.latestCatalog()
	var hosts []cataloger.Host
	h.exchanger.EachPeer(func(name string, peer *exchanger.Peer) bool {
		if !peer.Report.Stopping {
			return true
		}
		host, ok := catalog.Hosts[name]
		if ok && peer.Report.Incarnation == host.Incarnation {
			hosts = append(hosts, host)
		}
		return true
	})
	if h.stopping.Load() {
		hosts = append(hosts, catalog.Hosts[h.Settings.Host])
	}
	slices.SortFunc(hosts, func(a, b cataloger.Host) int { return int(b.Capacity - a.Capacity) })
	names := make([]string, 0, min(len(hosts), maxReportedStoppingHosts))
	for _, host := range hosts[:cap(names)] {
		names = append(names, host.Name)
	}
	return names
}

// newHosts holds when each process of the fleet was first seen.
type newHosts map[string]newHost

type newHost struct {
	incarnation string
	seenAt      time.Time
}

// update records the present processes and returns the names of those that have just
// started. Processes that are present in the first view count as older, except where
// the view was empty.
func (s newHosts) update(hosts map[string]cataloger.Host, now time.Time) map[string]bool {
	first := len(s) == 0
	for name, host := range hosts {
		known, ok := s[name]
		if ok && known.incarnation == host.Incarnation {
			continue
		}
		seenAt := now
		if first {
			seenAt = now.Add(-startingAge)
		}
		s[name] = newHost{incarnation: host.Incarnation, seenAt: seenAt}
	}
	maps.DeleteFunc(s, func(name string, _ newHost) bool {
		_, ok := hosts[name]
		return !ok
	})
	starting := make(map[string]bool)
	for name, known := range s {
		if now.Sub(known.seenAt) < startingAge {
			starting[name] = true
		}
	}
	return starting
}
