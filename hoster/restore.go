package hoster

import (
	"maps"
	"time"

	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/director"
	"github.com/endiveturn/endiveturn/storer"
	"github.com/endiveturn/endiveturn/timekeeper"
)

// A store that comes back from an older copy may have lost changes of primaries. Until a
// leader has confirmed the assignments in the new era, hosts go on with what they knew
// before, as during an outage of the store: only other hosts confirm that a view is
// complete, and only those that ran before the restore.

// awaitsConfirmation reports whether the store may have lost changes of primaries that no
// leader has confirmed since.
func (h *Host) awaitsConfirmation() bool {
	catalog := h.latestCatalog()
	return catalog != nil && catalog.AssignmentsEra < storer.EraOf(h.mirror.Revision())
}

// primariesCompleteAsOf returns the latest instant as of which the store showed all
// changes of primaries.
func (h *Host) primariesCompleteAsOf() time.Time {
	completeAsOf := h.mirror.CompleteAsOf()
	if h.awaitsConfirmation() {
		return h.mirror.FormerCompleteAsOf()
	}
	return completeAsOf
}

// knowsChanges reports whether this process has all changes of primaries that the store
// acknowledged before it listed the store first: it did so in an era of which the store
// has lost nothing that is not confirmed.
func (h *Host) knowsChanges() bool {
	catalog := h.latestCatalog()
	if catalog != nil && h.mirror.FirstEra() > catalog.AssignmentsEra {
		return false
	}
	return h.mirror.Listed()
}

// departureTolerance is how long a host that has left the catalog is still a member: its view
// may not have expired. A catalog is built at least once a second.
const departureTolerance = director.MaxViewAge + 1500*time.Millisecond

// fleet returns the hosts that may use primaries: those in the catalog and those that left it
// a moment ago, or, for a while after a restore of the store, those whose keys it lost and
// that have not registered again yet.
func (h *Host) fleet(catalog *cataloger.Catalog) map[string]cataloger.Host {
	now := timekeeper.Now()
	tolerance := departureTolerance
	if restoredAt := h.mirror.EraEnteredAt(); !restoredAt.IsZero() && now.Sub(restoredAt) <= absenceTolerance {
		tolerance = absenceTolerance
	}
	hosts := maps.Clone(catalog.Hosts)
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, known := range h.recentHosts {
		if _, ok := hosts[name]; !ok && now.Sub(known.seenAt) < tolerance && !catalog.HasEnded(known.host) {
			hosts[name] = known.host
		}
	}
	return hosts
}
