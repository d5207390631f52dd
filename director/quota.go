package director

import (
	"math"
	"time"

	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/connector"
)

const (
	// connectionReserve is the fraction of a database's connections that hosts
	// leave unused, to allow for closed connections that the database still
	// counts.
	connectionReserve = 0.06
	// slotOvercommit is how many statements run or wait at a database per slot
	// when all hosts are busy. Small fleets add one statement per host to this.
	slotOvercommit = 1.2
	// nonPreferredConnections is the maximum number of connections that a host
	// may have to a replica other than its preferred one.
	nonPreferredConnections = 2
	// scarceConnectionsPerHost is the number of connections per host below
	// which a database's connections are scarce. A host then rarely serves two
	// consecutive sessions of the same customer, so that idle connections are
	// seldom reused and are closed after a short time.
	scarceConnectionsPerHost = 2.5
	// scarceBurst is how many connections a host may use at once to a database
	// whose connections are scarce, as long as the database accepts them.
	scarceBurst = 6
	// scarceIdleTimeout is the idle timeout of scarce connections per
	// connection that a host may have.
	scarceIdleTimeout = 400 * time.Millisecond
	// poolHostShare is the fraction of a database's connections that its pool host keeps.
	// The rest is for hosts that run operations themselves.
	poolHostShare = 0.85
	// nonPoolIdleTimeout is the idle timeout of connections of hosts that are not the
	// pool host: long enough for the next statement of a short burst.
	nonPoolIdleTimeout = 100 * time.Millisecond
	// nonPoolActiveHosts is the number of hosts that are assumed to run operations
	// themselves at the same time, for their limits of statements.
	nonPoolActiveHosts = 4
)

// Quotas are one host's limits for the databases of a service. A connection is
// authenticated as one customer, so a host that spreads its reads over all
// replicas has too few connections to each and keeps opening new ones. Each
// host therefore reads from one preferred replica, which then has room for
// connections of all the host's customers, and uses the other replicas only as
// a fallback.
type Quotas struct {
	// PreferredReplica is the ID of the replica that the host normally reads
	// from; empty if there is none.
	PreferredReplica string
	// Connections are the limits of the connection pools by database ID.
	Connections map[string]connector.Limits
	// Statements are the limits of concurrent statements by database ID.
	Statements map[string]int
}

// ComputeQuotas returns the quotas of a host. It is deterministic: hosts with
// the same view compute the same assignment, and their connection quotas
// together stay within each database's limit, unless there are more hosts than
// connections.
func ComputeQuotas(host string, hosts []cataloger.Host, endpoints []cataloger.Endpoint, primary string, maxConnections int) Quotas {
	limit := float64(maxConnections) * (1 - connectionReserve)
	quotas := Quotas{Connections: make(map[string]connector.Limits), Statements: make(map[string]int)}
	var replicas []cataloger.Endpoint
	for _, e := range endpoints {
		if e.ID != primary && !e.Draining {
			replicas = append(replicas, e)
		}
	}
	preferred := assignPreferredReplicas(hosts, replicas)
	hostsPerReplica := make(map[string]int)
	for name, replicaID := range preferred {
		hostsPerReplica[replicaID]++
		if name == host {
			quotas.PreferredReplica = replicaID
		}
	}
	hostCount := max(1, len(hosts))
	shares := capacityShares(hosts)
	for _, e := range endpoints {
		assigned := hostsPerReplica[e.ID]
		activeHosts := assigned
		if assigned == 0 {
			activeHosts = hostCount
		}
		share := shares.of(host, activeHosts, func(name string) bool { return assigned == 0 || preferred[name] == e.ID })
		quotas.Statements[e.ID] = statementQuota(e.Slots, activeHosts)
		if shares != nil {
			quotas.Statements[e.ID] = weightedStatementQuota(e.Slots, activeHosts, share)
		}
		quota := nonPreferredQuota(int(limit), hostCount)
		switch {
		case assigned == 0:
			quota = connectionQuota(int(limit), hostCount, share)
		case e.ID == quotas.PreferredReplica:
			quota = connectionQuota(int(limit)-nonPreferredQuota(int(limit), hostCount)*(hostCount-assigned), assigned, share)
		}
		quotas.Connections[e.ID] = poolLimits(quota, limit/float64(activeHosts))
	}
	return quotas
}

// ComputePoolQuotas returns the quotas of a host for a service with pool hosts. The acting
// pool host gets most connections. The others use the rest only for operations that they
// run themselves, and close connections soon after use; the database refuses those that
// are too many.
func ComputePoolQuotas(acting bool, endpoints []cataloger.Endpoint, maxConnections int) Quotas {
	limit := int(float64(maxConnections) * (1 - connectionReserve))
	quotas := Quotas{Connections: make(map[string]connector.Limits), Statements: make(map[string]int)}
	for _, e := range endpoints {
		if acting {
			quotas.Connections[e.ID] = connector.Limits{Guaranteed: max(1, int(poolHostShare*float64(limit))), Burst: limit}
			quotas.Statements[e.ID] = statementQuota(e.Slots, 1)
			continue
		}
		quotas.Connections[e.ID] = connector.Limits{Guaranteed: 1, Burst: scarceBurst, IdleTimeout: nonPoolIdleTimeout}
		quotas.Statements[e.ID] = statementQuota(e.Slots, nonPoolActiveHosts)
	}
	return quotas
}

// warmupShare returns this host's share of the requests to a database that is warming up.
func (s *service) warmupShare() float64 {
	hosts := float64(max(1, len(s.catalog.RecentHosts)))
	switch {
	case len(s.poolHosts) == 0:
		return 1 / hosts
	case s.isActingPoolHost:
		return poolHostShare
	default:
		return (1 - poolHostShare) / hosts
	}
}

// statementQuota returns how many statements a host may run concurrently on a
// database with the given number of slots that is used by the given number of
// hosts. In a large fleet the extra statement per host is left out, because it
// would fill the queue of the database on its own.
func statementQuota(slots, activeHosts int) int {
	perHost := int(math.Ceil(slotOvercommit * float64(max(1, slots)) / float64(activeHosts)))
	if activeHosts > cataloger.MaxSmallFleetSize {
		return perHost
	}
	return 1 + perHost
}

// poolLimits returns the limits of a pool with the given quota. perHost is the
// number of connections per host that regularly uses the database.
func poolLimits(quota int, perHost float64) connector.Limits {
	if perHost >= scarceConnectionsPerHost {
		return connector.Limits{Guaranteed: quota}
	}
	return connector.Limits{Guaranteed: quota, Burst: scarceBurst, IdleTimeout: time.Duration(perHost * float64(scarceIdleTimeout))}
}

// assignPreferredReplicas assigns each host a replica in its own data centre if
// one has fewer than its fair number of hosts, and distributes the remaining
// hosts evenly. The hosts must be sorted by name.
func assignPreferredReplicas(hosts []cataloger.Host, replicas []cataloger.Endpoint) map[string]string {
	preferred := make(map[string]string)
	if len(replicas) == 0 {
		return preferred
	}
	hostsPerReplica := make(map[string]int)
	maxHostsPerReplica := (len(hosts) + len(replicas) - 1) / len(replicas)
	for _, h := range hosts {
		for _, replica := range replicas {
			if replica.DataCentre == h.DataCentre && hostsPerReplica[replica.ID] < maxHostsPerReplica {
				preferred[h.Name] = replica.ID
				hostsPerReplica[replica.ID]++
				break
			}
		}
	}
	for _, h := range hosts {
		if _, ok := preferred[h.Name]; ok {
			continue
		}
		leastAssigned := replicas[0].ID
		for _, replica := range replicas {
			if hostsPerReplica[replica.ID] < hostsPerReplica[leastAssigned] {
				leastAssigned = replica.ID
			}
		}
		preferred[h.Name] = leastAssigned
		hostsPerReplica[leastAssigned]++
	}
	return preferred
}

// nonPreferredQuota returns how many connections a host may have to a replica
// other than its preferred one.
func nonPreferredQuota(limit, hosts int) int {
	return max(1, min(nonPreferredConnections, limit/hosts))
}
