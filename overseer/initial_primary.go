package overseer

import (
	"context"
	"time"

	"github.com/endiveturn/endiveturn/cataloger"
)

// initialPrimaryTimeout is how long the databases of a service without an assignment
// may all register as replicas before one of them is promoted. It leaves time for a
// primary that starts together with its replicas to register.
const initialPrimaryTimeout = 10 * time.Second

// recordInitialPrimary records the primary of a service that has no assignment yet:
// the only database that registers as primary or, if there has been none for
// initialPrimaryTimeout, the only one that responds as primary. If there is no such
// database either, it records that the primary is being replaced, so that the next
// evaluation promotes a database. It records nothing while several claim to be the
// primary, since each may have commits that the others lack.
func (o *Overseer) recordInitialPrimary(ctx context.Context, catalog *cataloger.Catalog, service string) {
	assignment := cataloger.PrimaryAssignment{Service: service}
	endpoint, ok := catalog.PrimaryOf(service)
	if !ok {
		if !o.primaryMissing(catalog, service) {
			return
		}
		var primaries, candidates int
		endpoint, primaries, candidates = o.findPrimary(ctx, catalog, service)
		if primaries > 1 || primaries == 0 && candidates == 0 {
			return
		}
		assignment.Changing = primaries == 0
		o.Logger.Warn("primary_missing", "service", service, "database", endpoint.ID, "candidates", candidates)
	}
	assignment.ID, assignment.StartedAtMillis = endpoint.ID, endpoint.StartedAtMillis
	if _, err := o.writeAssignment(ctx, assignment); err != nil {
		o.Logger.Warn("lead_not_recorded", "service", service, "error", err.Error())
	}
}

// primaryMissing reports whether no database of a service has registered as primary
// for initialPrimaryTimeout.
func (o *Overseer) primaryMissing(catalog *cataloger.Catalog, service string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, endpoint := range catalog.Endpoints[service] {
		if endpoint.ClaimsPrimary {
			delete(o.primaryMissingSince, service)
			return false
		}
	}
	since, ok := o.primaryMissingSince[service]
	if !ok {
		since = o.Now()
		o.primaryMissingSince[service] = since
	}
	return o.Now().Sub(since) >= initialPrimaryTimeout
}

// findPrimary queries the databases of a service. It returns one that responds as
// primary, the number of those, and the number of databases that respond and are
// eligible for promotion.
func (o *Overseer) findPrimary(ctx context.Context, catalog *cataloger.Catalog, service string) (primary cataloger.Endpoint, primaries, candidates int) {
	for _, candidate := range o.queryStatuses(ctx, catalog.Endpoints[service]) {
		if candidate.IsPrimary {
			primary = candidate.Endpoint
			primaries++
		}
		if candidate.Reachable && isEligible(catalog, cataloger.PrimaryAssignment{Service: service}, candidate.Endpoint) {
			candidates++
		}
	}
	return primary, primaries, candidates
}
