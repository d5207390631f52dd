package hoster

import (
	"time"

	"github.com/endiveturn/endiveturn/timekeeper"
)

const (
	// storeReaders is how many hosts of a large fleet read the store as soon as no hub
	// delivers its changes: those of the largest capacity, which also campaign for
	// leadership. The others receive changes from them.
	storeReaders = 16
	// The other hosts read the store once their view is older than readerGrace plus a part
	// of readerSpread that depends on their rank, so that hosts which reach no reader
	// follow soon, and not all of them at once.
	readerGrace  = 1200 * time.Millisecond
	readerSpread = 2 * time.Second
)

// readsStore reports whether this host reads the store itself. In a large fleet only the
// hub does, and while there is none, a few hosts on behalf of all.
func (h *Host) readsStore() bool {
	if !h.largeFleet() || h.isHub() {
		return true
	}
	if h.receivesChangesFromHub() {
		return false
	}
	rank, hosts := h.capacityRank()
	grace := readerGrace + readerSpread*time.Duration(rank)/time.Duration(hosts)
	return rank < storeReaders || timekeeper.Now().Sub(h.mirror.CompleteAsOf()) > grace
}

// actsAsHub reports whether this host is one of those that others contact first while
// no hub delivers changes.
func (h *Host) actsAsHub() bool {
	if !h.largeFleet() || h.receivesChangesFromHub() {
		return false
	}
	rank, _ := h.capacityRank()
	return rank < 2*fallbackHubCount
}

// capacityRank returns how many hosts precede this one in the order in which fallback
// hubs are chosen, and the number of hosts.
func (h *Host) capacityRank() (rank, hosts int) {
	catalog := h.latestCatalog()
	capacity := h.Settings.capacity()
	for name, host := range catalog.Hosts {
		if host.Capacity > capacity || host.Capacity == capacity && name < h.Settings.Host {
			rank++
		}
	}
	return rank, max(1, len(catalog.Hosts))
}
