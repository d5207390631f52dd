package cataloger

import (
	"slices"
	"strings"
	"time"
)

// An Endpoint is a registered database.
type Endpoint struct {
	// ID identifies the database; ID and StartedAtMillis together identify one
	// incarnation of it.
	ID string
	// StartedAtMillis is the start time of the incarnation in milliseconds, as
	// reported by the database.
	StartedAtMillis int64
	Service         string
	Address         string
	DataCentre      string
	Slots           int
	// Draining is set while the database is about to shut down and accepts no
	// new work.
	Draining bool
	// ClaimsPrimary is set if the database reports itself as primary.
	ClaimsPrimary bool
	// WarmupRemaining is the remaining warm-up time that the database reported
	// when it registered.
	WarmupRemaining time.Duration
	// Revision is the store revision of the entry.
	Revision int64
}

// SameIncarnation reports whether e and other are the same incarnation of a
// database.
func (e Endpoint) SameIncarnation(other Endpoint) bool {
	return e.ID == other.ID && e.StartedAtMillis == other.StartedAtMillis
}

// A PrimaryAssignment is the record of which database is the primary of a
// service.
type PrimaryAssignment struct {
	Service string
	// ID and StartedAtMillis identify the primary's incarnation, or that of the
	// former primary while Changing is set.
	ID              string
	StartedAtMillis int64
	// Term is the term of the primary, as far as it is known.
	Term uint64
	// Changing is set while the primary is being replaced. No host may then use
	// a primary of the service.
	Changing bool
	// GracePeriod is how long after RecordedAt open transactions may continue while
	// Changing is set.
	GracePeriod time.Duration
	// RecordedAt is when the leader began to record the change that grants GracePeriod. It is
	// not later than the record. Its zero value stands for unknown.
	RecordedAt ProcessTime
	// Pending is the last promotion that was requested or is about to be, and that may
	// still take effect.
	Pending PendingPromotion
	// Revision is the store revision of the record, 0 if there is none.
	Revision int64
}

// A ProcessTime is an instant by the clock of one process of a host: hosts have no common
// clock.
type ProcessTime struct {
	Host        string
	Incarnation string
	// Uptime is how long the process had run.
	Uptime time.Duration
}

// A PendingPromotion is a promotion that may still take effect. Its zero value stands for
// none.
type PendingPromotion struct {
	// ID and StartedAtMillis identify the incarnation of the database to be promoted.
	ID              string
	StartedAtMillis int64
	// FormerTerm is the highest term that was seen in the service before the request.
	// The promotion gives the database a higher one.
	FormerTerm uint64
}

// A Host is a proxy process of the fleet.
type Host struct {
	Name string
	// Incarnation differs between two processes of the same name.
	Incarnation string
	// Address is the address at which other hosts reach it.
	Address    string
	DataCentre string
	// Capacity ranks hosts by how much work they can do for other hosts; 0 if
	// it is not known.
	Capacity int64
}

// A Catalog is a consistent view of the fleet as seen by one host. It is
// immutable.
type Catalog struct {
	// Revision is the newest store revision that the view contains.
	Revision int64
	// Configuration is nil until the first configuration has been received.
	Configuration *Configuration
	// Endpoints maps services to their databases, sorted by ID.
	Endpoints map[string][]Endpoint
	// Assignments maps services to their primary assignments.
	Assignments map[string]PrimaryAssignment
	// Evacuated holds the data centres that operators have taken out of
	// service.
	Evacuated map[string]bool
	// Hosts maps names to hosts.
	Hosts map[string]Host
	// Stopping and Starting hold the names of hosts that shut down and that have just
	// started, as far as they are known.
	Stopping map[string]bool
	Starting map[string]bool
	// Ended maps the names of hosts that have left in order to the incarnation that has: it
	// uses no primary and confirms no view any more.
	Ended map[string]string
	// Voters are the hosts that confirm views while the store is out of reach.
	Voters Voters
	// AssignmentsEra is the earliest era of the store in which the assignment of a
	// service in use was written, or the era of Revision if there is none. While it is
	// below that, the store, which came back from an older copy, may have lost changes
	// that no leader has confirmed yet, and does not show which primaries are in force.
	AssignmentsEra int64
	// RecentHosts are the hosts among which connections are divided, sorted by
	// name: Hosts, and hosts that left a short while ago and may still use
	// their connections, without those that the leader has not heard for seconds.
	RecentHosts []Host
}

// MaxSmallFleetSize is the largest fleet size at which every pair of hosts
// exchanges reports. The number of pairs grows with the square of the number of
// hosts.
const MaxSmallFleetSize = 16

// HasEnded reports whether the process of a host has left in order.
func (c *Catalog) HasEnded(host Host) bool {
	incarnation, ok := c.Ended[host.Name]
	return ok && incarnation == host.Incarnation
}

// FleetSize returns the number of hosts. It includes hosts whose entries
// disappeared a short while ago, because all leases may expire during an outage
// of the store.
func (c *Catalog) FleetSize() int { return max(len(c.Hosts), len(c.RecentHosts)) }

// IsLargeFleet reports whether the fleet has more hosts than MaxSmallFleetSize.
// In a large fleet each host normally exchanges reports only with the leader,
// which serves as the hub of the fleet and reports on behalf of all hosts.
func (c *Catalog) IsLargeFleet() bool { return c.FleetSize() > MaxSmallFleetSize }

// Endpoint returns the registered database with the given ID.
func (c *Catalog) Endpoint(service, id string) (Endpoint, bool) {
	for _, endpoint := range c.Endpoints[service] {
		if endpoint.ID == id {
			return endpoint, true
		}
	}
	return Endpoint{}, false
}

// PrimaryOf returns the primary of a service: the assigned database, or, if
// there is no assignment yet, the only database that reports itself as primary. It
// returns false while the primary is being replaced or is not registered.
func (c *Catalog) PrimaryOf(service string) (Endpoint, bool) {
	assignment, assigned := c.Assignments[service]
	if assigned {
		endpoint, ok := c.Endpoint(service, assignment.ID)
		return endpoint, ok && !assignment.Changing && endpoint.StartedAtMillis == assignment.StartedAtMillis
	}
	var primary Endpoint
	claimCount := 0
	for _, endpoint := range c.Endpoints[service] {
		if endpoint.ClaimsPrimary {
			primary = endpoint
			claimCount++
		}
	}
	return primary, claimCount == 1
}

// SortHosts sorts hosts by name.
func SortHosts(hosts []Host) {
	slices.SortFunc(hosts, func(a, b Host) int { return strings.Compare(a.Name, b.Name) })
}

// SortEndpoints sorts endpoints by ID.
func SortEndpoints(endpoints []Endpoint) {
	slices.SortFunc(endpoints, func(a, b Endpoint) int { return strings.Compare(a.ID, b.ID) })
}
