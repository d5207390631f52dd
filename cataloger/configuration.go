// Package cataloger defines a host's view of the fleet as immutable values:
// the operators' configuration, the registered databases, the primaries in
// force and the other hosts.
package cataloger

import "time"

// Consistency determines which state a read must see.
type Consistency uint8

// The consistency levels. The zero value is the strictest.
const (
	// Primary reads see every acknowledged commit.
	Primary Consistency = iota
	// BoundedStaleness reads see every commit that is older than the route's
	// MaxStaleness.
	BoundedStaleness
	// ReadYourWrites reads additionally see all commits of their own session.
	ReadYourWrites
)

// String returns the name of the consistency level for logs and metrics.
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

// A Route maps the database name that a client requests to a service.
type Route struct {
	// Name is unique in a configuration.
	Name string
	// Database is the database name that clients request.
	Database string
	// Service is the name of a service of the same configuration.
	Service     string
	Consistency Consistency
	// StatementTimeout is the timeout of a single statement; it is positive.
	StatementTimeout time.Duration
	// TargetLatency is the latency objective of a whole operation.
	TargetLatency time.Duration
	// MaxStaleness is the maximum staleness that reads accept; 0 on Primary
	// routes.
	MaxStaleness time.Duration
	// Priority orders routes under load; 0 is the highest priority.
	Priority int
	// Public routes require no key.
	Public bool
}

// A Customer has keys and a rate limit that applies to all hosts together.
type Customer struct {
	Name string
	Keys []string
	// Rate is in operations per second; 0 means no limit.
	Rate float64
	// Burst is in operations.
	Burst float64
	// Priority orders customers under load; 0 is the highest priority.
	Priority int
}

// A Service is a group of databases with one primary.
type Service struct {
	Name string
	// MaxConnections is the connection limit of each database for all hosts
	// together.
	MaxConnections int
	// SyncReplicas is the number of replicas that confirm each commit.
	SyncReplicas int
	// WarmupRequestRate is the maximum number of requests per second to a
	// database that is warming up; 0 means no limit.
	WarmupRequestRate float64
}

// A Configuration is one published version of the objects that operators
// configure.
type Configuration struct {
	// Version increases with each change.
	Version uint64
	// Routes maps the database names that clients request to routes.
	Routes map[string]Route
	// Customers maps names to customers.
	Customers map[string]Customer
	// Services maps names to services.
	Services map[string]Service
	// IdleTransactionTimeout is the idle timeout of transactions: the maximum
	// time between two statements.
	IdleTransactionTimeout time.Duration

	customerOfKey map[string]string
}

// WithKeyIndex returns a copy of the configuration with an index for
// CustomerOfKey.
func (c Configuration) WithKeyIndex() Configuration {
	c.customerOfKey = make(map[string]string)
	for name, customer := range c.Customers {
		for _, key := range customer.Keys {
			c.customerOfKey[key] = name
		}
	}
	return c
}

// CustomerOfKey returns the name of the customer that has the key.
func (c *Configuration) CustomerOfKey(key string) (string, bool) {
	name, ok := c.customerOfKey[key]
	return name, ok
}
