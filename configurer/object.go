// Package configurer holds the operators' configuration: named objects that
// refer to one another, the check of a whole set, its JSON form, and its
// publication through the platform's store.
package configurer

import "time"

// A Customer is a tenant.
type Customer struct {
	// Name is unique among customers.
	Name string
	// Limit names the Limit of the customer; it is never empty in a checked
	// set.
	Limit string
	// Weight is the customer's share of a contended database relative to
	// others, at least 1.
	Weight int
}

// A Key is a credential of a customer.
type Key struct {
	// Name is unique among keys; the caller gives it as user name.
	Name string
	// Customer names the customer the key belongs to.
	Customer string
	// Verifier is the SCRAM-SHA-256 verifier of the secret, in the form
	// SCRAM-SHA-256$iterations:salt$stored_key:server_key.
	Verifier string
	// Withdrawn says that the key no longer admits a caller.
	Withdrawn bool
}

// A Limit bounds what a customer may do over all hosts together.
type Limit struct {
	// Name is unique among limits.
	Name string
	// Rate is the number of batches per second, above 0.
	Rate float64
	// Burst is the number of batches admitted at once, at least 1.
	Burst int
	// MaxQueued is the number of batches that may wait per service, at least 1.
	MaxQueued int
	// MaxConnections is the number of caller connections per host, at least 1.
	MaxConnections int
}

// Acknowledge says when a write of a service is acknowledged.
type Acknowledge string

// The ways of acknowledging a write.
const (
	// AcknowledgeMajority waits until a majority of the databases holds the
	// write, so that no promotion loses it.
	AcknowledgeMajority Acknowledge = "majority"
	// AcknowledgePrimary does not wait for replicas; a change of primary may
	// lose acknowledged writes.
	AcknowledgePrimary Acknowledge = "primary"
)

// A Service is a group of databases of which one is the primary.
type Service struct {
	// Name is unique among services.
	Name string
	// EndpointUser is the user name by which hosts log in to the databases.
	EndpointUser string
	// EndpointDatabase is the database name given to the databases at startup.
	EndpointDatabase string
	// Acknowledge is AcknowledgeMajority unless the operators accept loss.
	Acknowledge Acknowledge
	// ReplicaWait bounds how long a read waits for a replica to reach its
	// floor before it goes to the primary.
	ReplicaWait time.Duration
	// Deadline is how long a batch may wait and run unless the caller states
	// another, above 0.
	Deadline time.Duration
	// DrainTimeout bounds how long a planned change waits for open
	// transactions, above 0.
	DrainTimeout time.Duration
}

// A Database is one member of a service.
type Database struct {
	// Name is unique among databases.
	Name string
	// Service names the service the database belongs to.
	Service string
	// DataCentre names the data centre the database stands in.
	DataCentre string
	// Address is the IP address and port.
	Address string
	// Slots is the number of statements that may run at once, at least 1.
	Slots int
	// Connections is the number of connections that may be open at once, at
	// least Slots.
	Connections int
	// TakenOut says that the database gets no new work.
	TakenOut bool
}

// A Route is the name by which callers reach a service.
type Route struct {
	// Name is unique among routes; the caller gives it as database name.
	Name string
	// Service names the service the route leads to.
	Service string
	// Customers names the customers whose keys are accepted.
	Customers []string
	// OpenAs names the customer to whom requests without a key are charged;
	// if it is empty, the route demands a key.
	OpenAs string
}

// A DataCentre is a failure zone.
type DataCentre struct {
	// Name is unique among data centres.
	Name string
	// Region groups data centres with short links between them.
	Region string
	// TakenOut says that hosts and databases there get no new work.
	TakenOut bool
}

// A Host carries what operators declare of a host. A host needs no such object
// to join.
type Host struct {
	// Name is unique among hosts.
	Name string
	// TakenOut says that the host gets no new work.
	TakenOut bool
}
