package hoster

import (
	"time"

	"github.com/endiveturn/endiveturn/accountant"
	"github.com/endiveturn/endiveturn/overseer"
)

// registrationInterval is the minimum time between two catalogs of a large fleet that differ
// in the registrations of other hosts only. All hosts of a fleet register within a second or
// two, and each catalog costs every host time for every other one.
const registrationInterval = 250 * time.Millisecond

// A catalogPacer decides when the next catalog is built. Its zero value builds the first one
// at once. It is not safe for concurrent use.
type catalogPacer struct {
	builtAt time.Time
	// dueAt is when a catalog has to be built if nothing changes before, the zero time if
	// that is not known.
	dueAt time.Time
}

// postpone records a change that may be processed together with later ones. It reports whether
// a catalog is to be built at once.
func (p *catalogPacer) postpone(now time.Time, largeFleet bool) (buildNow bool) {
	next := p.builtAt.Add(registrationInterval)
	if !largeFleet || !now.Before(next) {
		return true
	}
	if p.dueAt.IsZero() || next.Before(p.dueAt) {
		p.dueAt = next
	}
	return false
}

// built records that a catalog was built, which has to be replaced at next unless that is the
// zero time.
func (p *catalogPacer) built(now, next time.Time) { p.builtAt, p.dueAt = now, next }

// wait returns the time until the next catalog is due.
func (p *catalogPacer) wait(now time.Time) time.Duration {
	if p.dueAt.IsZero() {
		return time.Hour
	}
	return max(time.Millisecond, p.dueAt.Sub(now))
}

// deferrable reports whether a change of a key may wait for registrationInterval: that of
// the registration of another host, and of records that are not part of the catalog.
func (h *Host) deferrable(key string) bool {
	name, ok := overseer.RegisteredHost(key)
	return ok && name != h.Settings.Host || key == accountant.RecordKey || key == overseer.LeaderKey
}
