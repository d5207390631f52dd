package director

import (
	"math"

	"github.com/endiveturn/endiveturn/cataloger"
)

// A capacityShareTable holds the capacities of the hosts of a large fleet whose hosts
// differ. It is nil where all hosts get equal shares.
type capacityShareTable map[string]int64

// capacityShares returns the capacities of the hosts by name, or nil if they are
// equal, not all known, or those of a small fleet.
func capacityShares(hosts []cataloger.Host) capacityShareTable {
	if len(hosts) <= cataloger.MaxSmallFleetSize {
		return nil
	}
	table := make(capacityShareTable, len(hosts))
	equal := true
	for _, h := range hosts {
		if h.Capacity <= 0 {
			return nil
		}
		equal = equal && h.Capacity == hosts[0].Capacity
		table[h.Name] = h.Capacity
	}
	if equal {
		return nil
	}
	return table
}

// of returns the share of a host among those for which member is true, of which there
// are count.
func (t capacityShareTable) of(host string, count int, member func(name string) bool) float64 {
	if t == nil || !member(host) {
		return 1 / float64(max(1, count))
	}
	total := int64(0)
	for name, capacity := range t {
		if member(name) {
			total += capacity
		}
	}
	return float64(t[host]) / float64(total)
}

// connectionQuota returns how many of the connections a host with the given share
// gets. Each of the given number of hosts gets one, and the others are divided by
// share, so that the sum stays within the limit if there are enough.
func connectionQuota(limit, hosts int, share float64) int {
	if share == 1/float64(max(1, hosts)) {
		return max(1, limit/max(1, hosts))
	}
	return 1 + int(share*float64(max(0, limit-hosts)))
}

// weightedStatementQuota is statementQuota for a host with the given share.
func weightedStatementQuota(slots, activeHosts int, share float64) int {
	perHost := max(1, int(math.Ceil(slotOvercommit*float64(max(1, slots))*share)))
	if activeHosts > cataloger.MaxSmallFleetSize {
		return perHost
	}
	return 1 + perHost
}
