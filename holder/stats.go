package holder

import (
	"slices"
	"strings"

	"github.com/endiveturn/endiveturn/pooler"
	"github.com/endiveturn/endiveturn/scheduler"
)

// Stats describes a holder for status output.
type Stats struct {
	Term     uint64
	Primary  string
	Held     bool
	Draining bool
	// Sessions is the number of sessions with a floor of their own.
	Sessions int
	// ActiveWriters is the number of running write batches and open write
	// transactions.
	ActiveWriters int
	// Databases are sorted by name.
	Databases []DatabaseStats
}

// DatabaseStats describes one database.
type DatabaseStats struct {
	Name string
	// InService is set for a replica that serves reads and for the primary.
	InService   bool
	Load        scheduler.Load
	Connections pooler.Stats
}

// Stats returns the current statistics.
func (h *Holder) Stats() Stats {
	h.initialize()
	view := h.syncView()
	stats := Stats{
		Term: view.Term, Primary: view.Primary, Held: view.HasLease(h.Now()), Draining: h.isDraining(),
		Sessions: h.tracker.Len(), ActiveWriters: h.writeGate.writers.value(),
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, d := range h.databases {
		entry := DatabaseStats{Name: name, InService: name == view.Primary, Load: d.queue.Load(), Connections: d.pool.Stats()}
		for _, replica := range h.replicas {
			entry.InService = entry.InService || replica.Name == name
		}
		stats.Databases = append(stats.Databases, entry)
	}
	slices.SortFunc(stats.Databases, func(a, b DatabaseStats) int { return strings.Compare(a.Name, b.Name) })
	return stats
}
