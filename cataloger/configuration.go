// Package cataloger holds what a host believes about its surroundings as
// immutable values: the operators' configuration, the databases that are
// registered, the primaries in force and the other hosts.
package cataloger

import "time"

// Consistency says which state a read must see.
type Consistency uint8

// The kinds of consistency. The zero value is the strictest.
const (
	// Primary reads see every acknowledged commit.
	Primary Consistency = iota
	// BoundedStaleness reads see every commit older than the route's age.
	BoundedStaleness
	// ReadYourWrites reads also see all commits of their own session.
	ReadYourWrites
)

// String returns the name that is used in logs and metrics.
func (c Consistency) String() string {
	switch c {
	case BoundedStaleness:
		return "bounded"
	case ReadYourWrites:
		return "read_your_writes"
	default:
		return "primary"
	}
}

// A Route leads from the database name that a client asks for to a service.
type Route struct {
	// Name is unique in a configuration.
	Name string
	// Database is the name that clients ask for.
	Database string
	// Service is the name of a service of the same configuration.
	Service     string
	Consistency Consistency
	// StatementTimeout bounds a single statement; it is positive.
	StatementTimeout time.Duration
	// TargetLatency is the latency objective of a whole operation.
	TargetLatency time.Duration
	// MaxStaleness is the age that reads accept; 0 on Primary routes.
	MaxStaleness time.Duration
	// Priority orders routes under load; 0 is the highest.
	Priority int
	// Public routes ask for no key.
	Public bool
}

// A Customer owns keys and has a rate over all hosts together.
type Customer struct {
	Name string
	Keys []string
	// Rate is in operations per second; 0 stands for no limit.
	Rate float64
	// Burst is in operations.
	Burst float64
	// Priority orders customers under load; 0 is the highest.
	Priority int
}

// A Service is a group of databases with one primary.
type Service struct {
	Name string
	// MaxConnections is the limit of each database over all hosts.
	MaxConnections int
	// SyncReplicas is the number of replicas that confirm each commit.
	SyncReplicas int
	// ColdRate is how many requests a second a cold database takes; 0 stands
	// for no limit.
	ColdRate float64
}

// A Configuration is one published version of the operators' objects.
type Configuration struct {
	// Version increases with each change.
	Version uint64
	// Routes are by the database name that clients ask for.
	Routes map[string]Route
	// Customers are by name.
	Customers map[string]Customer
	// Services are by name.
	Services map[string]Service
	// IdleTransaction is how long a transaction may stay without a statement.
	IdleTransaction time.Duration

	customerOfKey map[string]string
}

// WithKeysIndexed returns the configuration with its keys ready for lookup.
func (c Configuration) WithKeysIndexed() Configuration {
	c.customerOfKey = make(map[string]string)
	for name, customer := range c.Customers {
		for _, key := range customer.Keys {
			c.customerOfKey[key] = name
		}
	}
	return c
}

// CustomerOfKey returns the name of the customer that holds the key.
func (c *Configuration) CustomerOfKey(key string) (string, bool) {
	name, ok := c.customerOfKey[key]
	return name, ok
}
