package configurer

import (
	"fmt"
	"maps"
	"math"
	"net/netip"
	"regexp"
	"slices"
	"time"
)

const (
	// maxDuration bounds the durations of a service: an hour is more than any
	// caller waits, so a larger value is a wrong unit.
	maxDuration = time.Hour
	// maxWeight keeps the finish times of the fair queue well apart.
	maxWeight = 10000
	// reservedUser is the user name for the administration of databases.
	reservedUser = "group_admin"
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9_-]{0,62}$`)

// Check returns every fault of a set, in the order of kinds and names.
func Check(s Set) []Fault {
	c := checker{set: s}
	for _, d := range sorted(s.DataCentres) {
		c.on("data_centre", d.key, d.value.Name)
		if d.value.Region != "" && !namePattern.MatchString(d.value.Region) {
			c.fault("region", "%q is not a name", d.value.Region)
		}
	}
	for _, h := range sorted(s.Hosts) {
		c.on("host", h.key, h.value.Name)
	}
	for _, service := range sorted(s.Services) {
		c.on("service", service.key, service.value.Name)
		c.service(service.value)
	}
	addresses := make(map[string]string)
	for _, d := range sorted(s.Databases) {
		c.on("database", d.key, d.value.Name)
		c.database(d.value)
		if other, ok := addresses[d.value.Address]; ok {
			c.fault("address", "%q is the address of database %s too", d.value.Address, other)
		}
		addresses[d.value.Address] = d.key
	}
	for _, l := range sorted(s.Limits) {
		c.on("limit", l.key, l.value.Name)
		c.limit(l.value)
	}
	for _, customer := range sorted(s.Customers) {
		c.on("customer", customer.key, customer.value.Name)
		c.customer(customer.value)
	}
	for _, k := range sorted(s.Keys) {
		c.on("key", k.key, k.value.Name)
		c.key(k.value)
	}
	for _, r := range sorted(s.Routes) {
		c.on("route", r.key, r.value.Name)
		c.route(r.value)
	}
	return c.faults
}

// A checker gathers the faults of a set.
type checker struct {
	set    Set
	faults []Fault
	// kind and name are those of the object under check.
	kind string
	name string
}

type keyed[V any] struct {
	key   string
	value V
}

func sorted[V any](m map[string]V) []keyed[V] {
	list := make([]keyed[V], 0, len(m))
	for _, key := range slices.Sorted(maps.Keys(m)) {
		list = append(list, keyed[V]{key, m[key]})
	}
	return list
}

// on starts the check of an object that the set holds under key.
func (c *checker) on(kind, key, name string) {
	c.kind, c.name = kind, key
	if name != key {
		c.fault("name", "object of name %q is held as %q", name, key)
	}
	if !namePattern.MatchString(name) {
		c.fault("name", "%q is not a name: want a lower-case letter or digit, then up to 62 of these, _ and -", name)
	}
}

func (c *checker) fault(field, format string, args ...any) {
	c.faults = append(c.faults, Fault{Kind: c.kind, Name: c.name, Field: field, Message: fmt.Sprintf(format, args...)})
}

// refer checks that a field names an object of the table.
func refer[V any](c *checker, field, kind, name string, table map[string]V) {
	if name == "" {
		c.fault(field, "missing")
	} else if _, ok := table[name]; !ok {
		c.fault(field, "there is no %s %q", kind, name)
	}
}

func (c *checker) positive(field string, value int) {
	if value < 1 {
		c.fault(field, "%d is less than 1", value)
	}
}

func (c *checker) duration(field string, value, least time.Duration) {
	if value < least || value > maxDuration {
		c.fault(field, "%v is not between %v and %v", value, least, maxDuration)
	}
}

func (c *checker) service(s Service) {
	switch s.EndpointUser {
	case "":
		c.fault("endpoint_user", "missing")
	case reservedUser:
		c.fault("endpoint_user", "%q is reserved", reservedUser)
	}
	if s.EndpointDatabase == "" {
		c.fault("endpoint_database", "missing")
	}
	if s.Acknowledge != AcknowledgeMajority && s.Acknowledge != AcknowledgePrimary {
		c.fault("acknowledge", "got %q, want %q or %q", s.Acknowledge, AcknowledgeMajority, AcknowledgePrimary)
	}
	c.duration("replica_wait", s.ReplicaWait, 0)
	c.duration("deadline", s.Deadline, time.Millisecond)
	c.duration("drain_timeout", s.DrainTimeout, time.Millisecond)
	if s.ReplicaWait > s.Deadline {
		c.fault("replica_wait", "%v is longer than the deadline of %v", s.ReplicaWait, s.Deadline)
	}
	c.members(s)
}

// members checks the number of databases of a service. An even number would
// need as many for a majority as the next odd one.
func (c *checker) members(s Service) {
	count, inService := 0, 0
	for _, d := range c.set.Databases {
		if d.Service == s.Name {
			count++
			if !d.TakenOut && !c.set.DataCentres[d.DataCentre].TakenOut {
				inService++
			}
		}
	}
	switch {
	case count%2 == 0:
		c.fault("", "has %d databases, want an odd number", count)
	case inService == 0:
		c.fault("", "every database is taken out of service")
	}
}

func (c *checker) database(d Database) {
	refer(c, "service", "service", d.Service, c.set.Services)
	refer(c, "data_centre", "data_centre", d.DataCentre, c.set.DataCentres)
	if address, err := netip.ParseAddrPort(d.Address); err != nil || address.Port() == 0 {
		c.fault("address", "%q is not an IP address and port", d.Address)
	}
	c.positive("slots", d.Slots)
	if d.Connections < d.Slots {
		c.fault("connections", "%d is less than the %d slots", d.Connections, d.Slots)
	}
}

func (c *checker) limit(l Limit) {
	if !(l.Rate > 0) || math.IsInf(l.Rate, 0) {
		c.fault("rate", "%v is not a number above 0", l.Rate)
	}
	c.positive("burst", l.Burst)
	c.positive("max_queued", l.MaxQueued)
	c.positive("max_connections", l.MaxConnections)
}

func (c *checker) customer(customer Customer) {
	refer(c, "limit", "limit", customer.Limit, c.set.Limits)
	if customer.Weight < 1 || customer.Weight > maxWeight {
		c.fault("weight", "%d is not between 1 and %d", customer.Weight, maxWeight)
	}
	// The burst is split over the services, and each bucket has to hold a
	// whole token.
	reached := len(c.set.ServicesOf(customer.Name))
	if l, ok := c.set.Limits[customer.Limit]; ok && l.Burst < reached {
		c.fault("limit", "burst %d of limit %s is less than the %d services that the customer reaches", l.Burst, l.Name, reached)
	}
}

// ServicesOf returns the names of the services that a customer reaches by its
// keys or by routes that are open as the customer, sorted.
func (s Set) ServicesOf(customer string) []string {
	services := make(map[string]bool)
	for _, r := range s.Routes {
		if r.OpenAs == customer || slices.Contains(r.Customers, customer) {
			services[r.Service] = true
		}
	}
	return slices.Sorted(maps.Keys(services))
}

func (c *checker) key(k Key) {
	refer(c, "customer", "customer", k.Customer, c.set.Customers)
	if fault := checkVerifier(k.Verifier); fault != "" {
		c.fault("verifier", "%s", fault)
	}
}

func (c *checker) route(r Route) {
	refer(c, "service", "service", r.Service, c.set.Services)
	for i, name := range r.Customers {
		refer(c, "customers", "customer", name, c.set.Customers)
		if slices.Contains(r.Customers[:i], name) {
			c.fault("customers", "%q given twice", name)
		}
	}
	if r.OpenAs != "" {
		refer(c, "open_as", "customer", r.OpenAs, c.set.Customers)
	}
}
