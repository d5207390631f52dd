package director

import (
	"maps"
	"slices"
	"time"

	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/forwarder"
)

// primaryUnreachableTimeout is how long the primary must have been failing for a pool
// host until it refuses operations of other hosts that need the primary: a host that
// reaches it may run them.
const primaryUnreachableTimeout = 250 * time.Millisecond

// maxKeyViewAge is the age of this host's view above which it neither runs nor forwards
// operations that need a key, so that a withdrawn key stops working within 3 s on a host that
// is isolated from all but the databases or the pool host, and above which a pool host takes
// no operations, so that databases that leave get no new work after 3 s.
const maxKeyViewAge = 2 * time.Second

// hasScarceConnections reports whether the hosts of the fleet forward operations on a
// service to its pool host: in large fleets in which a database has few connections per
// host.
func hasScarceConnections(catalog *cataloger.Catalog, service string) bool {
	if catalog.Configuration == nil || !catalog.IsLargeFleet() {
		return false
	}
	limit := float64(catalog.Configuration.Services[service].MaxConnections) * (1 - connectionReserve)
	return limit > 0 && limit/float64(max(1, len(catalog.RecentHosts))) < scarceConnectionsPerHost
}

// A placement keeps the last result of cataloger.PoolHosts, whose time grows with the
// product of hosts and services: most catalogs have the hosts of the one before, and each
// host of a large fleet builds one at least once a second. Its zero value is ready for use.
type placement struct {
	services []string
	hosts    []placedHost
	placed   map[string][]string
	// computed counts the placements that were not reused.
	computed int
}

// A placedHost is what a placement depends on.
type placedHost struct {
	name       string
	capacity   int64
	lastResort bool
}

// poolHosts returns the same as cataloger.PoolHosts. The hosts are in the order of their names.
func (p *placement) poolHosts(services []string, hosts []cataloger.Host, lastResort func(host string) bool) map[string][]string {
	slices.Sort(services)
	key := make([]placedHost, 0, len(hosts))
	for _, host := range hosts {
		key = append(key, placedHost{name: host.Name, capacity: host.Capacity, lastResort: lastResort(host.Name)})
	}
	if p.placed != nil && slices.Equal(services, p.services) && slices.Equal(key, p.hosts) {
		return p.placed
	}
	p.services, p.hosts, p.placed = services, key, cataloger.PoolHosts(services, hosts, lastResort)
	p.computed++
	return p.placed
}

// pools returns the pool hosts by service, in order of preference.
func (p *placement) pools(catalog *cataloger.Catalog) map[string][]forwarder.Target {
	var services []string
	if catalog.Configuration != nil {
		for name := range catalog.Configuration.Services {
			if hasScarceConnections(catalog, name) {
				services = append(services, name)
			}
		}
	}
	if len(services) == 0 {
		return nil
	}
	var hosts []cataloger.Host
	for _, name := range slices.Sorted(maps.Keys(catalog.Hosts)) {
		host := catalog.Hosts[name]
		if !catalog.Stopping[name] && !catalog.Evacuated[host.DataCentre] {
			hosts = append(hosts, host)
		}
	}
	lastResort := func(host string) bool { return catalog.Starting[host] }
	if mostlyStarting(hosts, catalog.Starting) {
		lastResort = func(string) bool { return false }
	}
	placed := make(map[string][]forwarder.Target, len(services))
	for service, names := range p.poolHosts(services, hosts, lastResort) {
		for _, name := range names {
			host := catalog.Hosts[name]
			placed[service] = append(placed[service], forwarder.Target{Name: name, Incarnation: host.Incarnation, Address: host.Address})
		}
	}
	return placed
}

// mostlyStarting reports whether hosts that have just started have half of the capacity
// or more, as after a restart of the whole fleet. The few others must not get all services.
func mostlyStarting(hosts []cataloger.Host, starting map[string]bool) bool {
	var total, started int64
	for _, h := range hosts {
		total += max(1, h.Capacity)
		if starting[h.Name] {
			started += max(1, h.Capacity)
		}
	}
	return 2*started >= total
}

// setPoolHosts puts the pool hosts into force. It is called before quotas are set.
func (s *service) setPoolHosts(targets []forwarder.Target) {
	s.poolHosts = targets
	acting := s.actingPoolHost()
	if acting == s.loggedPoolHost {
		return
	}
	s.director.Logger.Info("pool_host_changed", "service", s.name, "from", s.loggedPoolHost, "to", acting, "self", acting == s.director.Host)
	s.loggedPoolHost = acting
}

// actingPoolHost returns the first pool host that is usable, this host included, or "".
func (s *service) actingPoolHost() string {
	if s.director.Forwarder == nil {
		return ""
	}
	for _, target := range s.poolHosts {
		if target.Name == s.director.Host || s.director.Forwarder.Detector.Usable(target.Name, target.Incarnation) {
			return target.Name
		}
	}
	return ""
}

// forwardTargets returns the hosts to which an operation is forwarded, in order, and the
// reason for which this host runs it if none of them takes it. The reason is empty if the
// service has no pool host. It calls skipped with each pool host that is not usable.
func (s *service) forwardTargets(skipped func(forwarder.Target)) (targets []forwarder.Target, localReason string) {
	s.mu.Lock()
	pools := s.poolHosts
	s.mu.Unlock()
	if len(pools) == 0 {
		return nil, ""
	}
	d := s.director
	if d.viewIsOutdated() {
		return nil, localOutdatedView
	}
	for _, target := range pools {
		if target.Name == d.Host {
			return targets, localAsPoolHost
		}
		if d.Forwarder.Detector.Usable(target.Name, target.Incarnation) {
			targets = append(targets, target)
			continue
		}
		skipped(target)
	}
	return targets, localNoPoolHost
}

// viewIsOutdated reports whether this host's view is too old to check keys, to forward
// operations and to run those of others.
func (d *Director) viewIsOutdated() bool {
	return d.SinceBoot().Sub(d.ViewCompleteAsOf()) > maxKeyViewAge
}

// verifyPoolHosts checks the pool hosts before this one in the list: another host has
// forwarded an operation here, so that it may not reach them. If this host does not reach
// them either, it becomes the acting pool host.
func (s *service) verifyPoolHosts() {
	s.mu.Lock()
	pools, acting := s.poolHosts, s.isActingPoolHost
	s.mu.Unlock()
	if acting || s.director.Forwarder == nil {
		return
	}
	for _, target := range pools {
		if target.Name == s.director.Host {
			return
		}
		s.director.Forwarder.VerifyIfDue(target)
	}
}

// UpdatePoolHosts puts a changed state of another host into force.
func (d *Director) UpdatePoolHosts() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.services {
		s.mu.Lock()
		if s.catalog != nil && len(s.poolHosts) > 0 {
			s.setPoolHosts(s.poolHosts)
			s.setQuotas(s.catalog)
		}
		s.mu.Unlock()
	}
}

// isConfigured reports whether a configuration is in force for the service. The hosts that
// forward operations may have theirs earlier than this one.
func (s *service) isConfigured() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.catalog != nil && s.catalog.Configuration != nil
}

// primaryOutOfReach reports whether this host can't use the primary although another one
// may.
func (s *service) primaryOutOfReach() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.primary == nil {
		return false
	}
	if !s.viewIsCurrent() {
		return true
	}
	now := s.director.Now()
	return s.primary.consecutiveFailures > 0 && now.Sub(s.primary.failingSince) > primaryUnreachableTimeout &&
		now.Sub(s.primary.lastSuccess) > primaryUnreachableTimeout
}

// preferredReplicaOf returns the ID of the replica that this host normally reads from for a
// customer. A service with a pool host spreads its customers over the replicas, so that
// each customer needs connections to one of them only: with reads spread over all
// replicas, the pool host opened two to three times as many connections.
func (s *service) preferredReplicaOf(customer string) string {
	if len(s.poolHosts) == 0 {
		return s.preferredReplica
	}
	preferred, best := "", uint64(0)
	for _, db := range s.databases {
		if db == s.primary || !db.deregisteredAt.IsZero() || db.endpoint.Draining {
			continue
		}
		if score := cataloger.RendezvousHash(customer, db.id); preferred == "" || score > best {
			preferred, best = db.id, score
		}
	}
	return preferred
}
