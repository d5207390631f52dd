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
	// maxDuration bounds the durations of a service. No client waits for an
	// hour, so a larger value indicates a wrong unit.
	maxDuration = time.Hour
	// maxWeight keeps the virtual finish times of the weighted fair queue
	// distinguishable.
	maxWeight = 10000
	// reservedUser is the user name that administers the databases.
	reservedUser = "group_admin"
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9_-]{0,62}$`)

// Check validates a configuration and returns all its violations, ordered by kind
// and name.
func Check(s Config) []Violation {
	c := checker{config: s}
	for _, d := range sortedEntries(s.DataCentres) {
		c.startObject("data_centre", d.key, d.value.Name)
		if d.value.Region != "" && !namePattern.MatchString(d.value.Region) {
			c.addViolation("region", "%q is not a name", d.value.Region)
		}
	}
	for _, h := range sortedEntries(s.Hosts) {
		c.startObject("host", h.key, h.value.Name)
	}
	for _, service := range sortedEntries(s.Services) {
		c.startObject("service", service.key, service.value.Name)
		c.checkService(service.value)
	}
	addresses := make(map[string]string)
	for _, d := range sortedEntries(s.Databases) {
		c.startObject("database", d.key, d.value.Name)
		c.checkDatabase(d.value)
		if otherDatabase, ok := addresses[d.value.Address]; ok {
			c.addViolation("address", "%q is the address of database %s too", d.value.Address, otherDatabase)
		}
		addresses[d.value.Address] = d.key
	}
	for _, l := range sortedEntries(s.Limits) {
		c.startObject("limit", l.key, l.value.Name)
		c.checkLimit(l.value)
	}
	for _, customer := range sortedEntries(s.Customers) {
		c.startObject("customer", customer.key, customer.value.Name)
		c.checkCustomer(customer.value)
	}
	for _, k := range sortedEntries(s.Keys) {
		c.startObject("key", k.key, k.value.Name)
		c.checkKey(k.value)
	}
	for _, r := range sortedEntries(s.Routes) {
		c.startObject("route", r.key, r.value.Name)
		c.checkRoute(r.value)
	}
	return c.violations
}

// A checker collects the violations of a configuration.
type checker struct {
	config     Config
	violations []Violation
	// kind and name identify the object that is being checked.
	kind string
	name string
}

type mapEntry[V any] struct {
	key   string
	value V
}

func sortedEntries[V any](m map[string]V) []mapEntry[V] {
	list := make([]mapEntry[V], 0, len(m))
	for _, key := range slices.Sorted(maps.Keys(m)) {
		list = append(list, mapEntry[V]{key, m[key]})
	}
	return list
}

// startObject begins the check of the object stored under key and checks its
// name.
func (c *checker) startObject(kind, key, name string) {
	c.kind, c.name = kind, key
	if name != key {
		c.addViolation("name", "object of name %q is stored under %q", name, key)
	}
	if !namePattern.MatchString(name) {
		c.addViolation("name", "%q is not a name: want a lower-case letter or digit, then up to 62 of these, _ and -", name)
	}
}

func (c *checker) addViolation(field, format string, args ...any) {
	c.violations = append(c.violations, Violation{Kind: c.kind, Name: c.name, Field: field, Message: fmt.Sprintf(format, args...)})
}

// checkReference checks that the field refers to an existing object of the
// table.
func checkReference[V any](c *checker, field, kind, name string, table map[string]V) {
	if name == "" {
		c.addViolation(field, "missing")
	} else if _, ok := table[name]; !ok {
		c.addViolation(field, "there is no %s %q", kind, name)
	}
}

func (c *checker) checkPositive(field string, value int) {
	if value < 1 {
		c.addViolation(field, "%d is less than 1", value)
	}
}

func (c *checker) checkDuration(field string, value, minimum time.Duration) {
	if value < minimum || value > maxDuration {
		c.addViolation(field, "%v is not between %v and %v", value, minimum, maxDuration)
	}
}

func (c *checker) checkService(s Service) {
	switch s.EndpointUser {
	case "":
		c.addViolation("endpoint_user", "missing")
	case reservedUser:
		c.addViolation("endpoint_user", "%q is reserved", reservedUser)
	}
	if s.EndpointDatabase == "" {
		c.addViolation("endpoint_database", "missing")
	}
	if s.Acknowledge != AcknowledgeMajority && s.Acknowledge != AcknowledgePrimary {
		c.addViolation("acknowledge", "got %q, want %q or %q", s.Acknowledge, AcknowledgeMajority, AcknowledgePrimary)
	}
	c.checkDuration("replica_wait", s.ReplicaWait, 0)
	c.checkDuration("deadline", s.Deadline, time.Millisecond)
	c.checkDuration("drain_timeout", s.DrainTimeout, time.Millisecond)
	if s.ReplicaWait > s.Deadline {
		c.addViolation("replica_wait", "%v is longer than the deadline of %v", s.ReplicaWait, s.Deadline)
	}
	c.checkDatabaseCount(s)
}

// checkDatabaseCount checks that a service has an odd number of databases, at
// least one of them in service. An even number needs as large a majority as the
// next odd number, so it tolerates no more failures than the odd number below it.
func (c *checker) checkDatabaseCount(s Service) {
	count, inService := 0, 0
	for _, d := range c.config.Databases {
		if d.Service == s.Name {
			count++
			if !d.TakenOut && !c.config.DataCentres[d.DataCentre].TakenOut {
				inService++
			}
		}
	}
	switch {
	case count%2 == 0:
		c.addViolation("", "has %d databases, want an odd number", count)
	case inService == 0:
		c.addViolation("", "every database is taken out of service")
	}
}

func (c *checker) checkDatabase(d Database) {
	checkReference(c, "service", "service", d.Service, c.config.Services)
	checkReference(c, "data_centre", "data_centre", d.DataCentre, c.config.DataCentres)
	if address, err := netip.ParseAddrPort(d.Address); err != nil || address.Port() == 0 {
		c.addViolation("address", "%q is not an IP address and port", d.Address)
	}
	c.checkPositive("slots", d.Slots)
	if d.Connections < d.Slots {
		c.addViolation("connections", "%d is less than the %d slots", d.Connections, d.Slots)
	}
}

func (c *checker) checkLimit(l Limit) {
	if !(l.Rate > 0) || math.IsInf(l.Rate, 0) {
		c.addViolation("rate", "%v is not a number above 0", l.Rate)
	}
	c.checkPositive("burst", l.Burst)
	c.checkPositive("max_queued", l.MaxQueued)
	c.checkPositive("max_connections", l.MaxConnections)
}

func (c *checker) checkCustomer(customer Customer) {
	checkReference(c, "limit", "limit", customer.Limit, c.config.Limits)
	if customer.Weight < 1 || customer.Weight > maxWeight {
		c.addViolation("weight", "%d is not between 1 and %d", customer.Weight, maxWeight)
	}
	// The burst is divided among the services of the customer, and the token
	// bucket of each service must hold at least one whole token.
	serviceCount := len(c.config.ServicesOf(customer.Name))
	if l, ok := c.config.Limits[customer.Limit]; ok && l.Burst < serviceCount {
		c.addViolation("limit", "burst %d of limit %s is less than the %d services that the customer reaches", l.Burst, l.Name, serviceCount)
	}
}

// ServicesOf returns the sorted names of the services that a customer can
// access with its keys or through routes whose requests without a key are
// charged to it (KeylessCustomer).
func (s Config) ServicesOf(customer string) []string {
	services := make(map[string]bool)
	for _, r := range s.Routes {
		if r.KeylessCustomer == customer || slices.Contains(r.Customers, customer) {
			services[r.Service] = true
		}
	}
	return slices.Sorted(maps.Keys(services))
}

func (c *checker) checkKey(k Key) {
	checkReference(c, "customer", "customer", k.Customer, c.config.Customers)
	if problem := checkVerifier(k.Verifier); problem != "" {
		c.addViolation("verifier", "%s", problem)
	}
}

func (c *checker) checkRoute(r Route) {
	checkReference(c, "service", "service", r.Service, c.config.Services)
	for i, name := range r.Customers {
		checkReference(c, "customers", "customer", name, c.config.Customers)
		if slices.Contains(r.Customers[:i], name) {
			c.addViolation("customers", "%q given twice", name)
		}
	}
	if r.KeylessCustomer != "" {
		checkReference(c, "open_as", "customer", r.KeylessCustomer, c.config.Customers)
	}
}
