package cataloger

import (
	"slices"
	"strings"
	"time"
)

// An Endpoint is a registered database.
type Endpoint struct {
	// ID names the database; with Born it names one incarnation of it.
	ID string
	// Born is the time of day of the incarnation's start in milliseconds, as
	// the database states it.
	Born       int64
	Service    string
	Address    string
	DataCentre string
	Slots      int
	// Draining databases end soon and take no new work.
	Draining bool
	// ClaimsPrimary is the database's own view of its role.
	ClaimsPrimary bool
	// Cold is how much longer the database was slow when it registered.
	Cold time.Duration
	// Revision is the store's revision of the entry.
	Revision int64
}

// Is reports whether e is the same incarnation as other.
func (e Endpoint) Is(other Endpoint) bool { return e.ID == other.ID && e.Born == other.Born }

// A Lead says which database is the primary of a service.
type Lead struct {
	Service string
	// ID and Born name the primary's incarnation. While the lead is moving they
	// name the former one.
	ID   string
	Born int64
	// Term is the term in which the primary leads, as far as it is known.
	Term uint64
	// Moving is set while the primary is being replaced: no host may use a
	// primary of the service.
	Moving bool
	// Grace is how long open transactions may go on while the lead is moving.
	Grace time.Duration
	// Revision is the store's revision of the record, 0 if there is none.
	Revision int64
}

// A Host is a process of the fleet.
type Host struct {
	Name string
	// Incarnation differs between two processes of the same name.
	Incarnation string
	// Address is where other hosts reach it.
	Address    string
	DataCentre string
	// Capacity orders hosts by what they can carry for others; 0 if not known.
	Capacity int64
}

// A Catalog is one consistent view of the surroundings of a host. It is
// immutable.
type Catalog struct {
	// Revision is the newest revision of the store that the view contains.
	Revision int64
	// Configuration is nil before the first one has arrived.
	Configuration *Configuration
	// Endpoints are by service, sorted by ID.
	Endpoints map[string][]Endpoint
	// Leads are by service.
	Leads map[string]Lead
	// Evacuated holds the data centres that operators have taken out.
	Evacuated map[string]bool
	// Hosts are by name.
	Hosts map[string]Host
	// Sharers are the hosts among which connections are shared out, in the
	// order of their names: Hosts, and those that left a short while ago, which
	// may still use theirs.
	Sharers []Host
}

// SmallFleet is the largest number of hosts of which each pair exchanges reports:
// pairs grow with the square of the hosts.
const SmallFleet = 16

// FleetSize returns the number of hosts, those included whose entries are gone for
// a short while: leases may all end while the store is away.
func (c *Catalog) FleetSize() int { return max(len(c.Hosts), len(c.Sharers)) }

// Large reports whether the fleet is larger than a SmallFleet. There every host
// exchanges reports with the holder of the duty alone, which speaks for all.
func (c *Catalog) Large() bool { return c.FleetSize() > SmallFleet }

// Endpoint returns the registered database of that name.
func (c *Catalog) Endpoint(service, id string) (Endpoint, bool) {
	for _, endpoint := range c.Endpoints[service] {
		if endpoint.ID == id {
			return endpoint, true
		}
	}
	return Endpoint{}, false
}

// PrimaryOf returns the primary of a service: the one that the lead names, or
// before the first lead the only database that claims to be primary. It
// reports false while the lead is moving or the primary is not registered.
func (c *Catalog) PrimaryOf(service string) (Endpoint, bool) {
	lead, led := c.Leads[service]
	if led {
		endpoint, ok := c.Endpoint(service, lead.ID)
		return endpoint, ok && !lead.Moving && endpoint.Born == lead.Born
	}
	var primary Endpoint
	claims := 0
	for _, endpoint := range c.Endpoints[service] {
		if endpoint.ClaimsPrimary {
			primary = endpoint
			claims++
		}
	}
	return primary, claims == 1
}

// SortHosts orders hosts by name.
func SortHosts(hosts []Host) {
	slices.SortFunc(hosts, func(a, b Host) int { return strings.Compare(a.Name, b.Name) })
}

// SortEndpoints orders endpoints by ID.
func SortEndpoints(endpoints []Endpoint) {
	slices.SortFunc(endpoints, func(a, b Endpoint) int { return strings.Compare(a.ID, b.ID) })
}
