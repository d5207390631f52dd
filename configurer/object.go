// Package configurer defines the configuration that operators maintain: named
// objects that refer to one another, their validation and JSON encoding, and the
// distribution of the configuration to all hosts through the platform's store.
package configurer

import "time"

// A Customer is a tenant.
type Customer struct {
	// Name is unique among customers.
	Name string
	// Limit is the name of the customer's Limit. It is never empty in a
	// configuration that passed Check.
	Limit string
	// Weight is the customer's share of a contended database relative to other
	// customers, at least 1.
	Weight int
}

// A Key is a credential of a customer.
type Key struct {
	// Name is unique among keys; clients log in with it as user name.
	Name string
	// Customer is the name of the customer that owns the key.
	Customer string
	// Verifier is the SCRAM-SHA-256 verifier of the secret, in the form
	// SCRAM-SHA-256$iterations:salt$stored_key:server_key.
	Verifier string
	// Revoked is set if the key is no longer accepted for logins.
	Revoked bool
}

// A Limit bounds the load that a customer may cause across the fleet.
type Limit struct {
	// Name is unique among limits.
	Name string
	// Rate is the sustained number of batches per second, above 0.
	Rate float64
	// Burst is the number of batches that are admitted at once, at least 1.
	Burst int
	// MaxQueued is the maximum number of queued batches per service, at least
	// 1.
	MaxQueued int
	// MaxConnections is the maximum number of client connections per host, at
	// least 1.
	MaxConnections int
}

// Acknowledge specifies when a write of a service is acknowledged.
type Acknowledge string

// The acknowledgement modes of a service.
const (
	// AcknowledgeMajority waits until a majority of the databases has stored
	// the write, so that no promotion loses it.
	AcknowledgeMajority Acknowledge = "majority"
	// AcknowledgePrimary does not wait for replicas. A promotion may lose
	// acknowledged writes.
	AcknowledgePrimary Acknowledge = "primary"
)

// A Service is a replicated group of databases, one of which is the primary.
type Service struct {
	// Name is unique among services.
	Name string
	// EndpointUser is the user name with which hosts log in to the databases.
	EndpointUser string
	// EndpointDatabase is the database name that hosts send in the startup
	// message of their connections to the databases.
	EndpointDatabase string
	// Acknowledge is AcknowledgeMajority unless operators accept the loss of
	// acknowledged writes.
	Acknowledge Acknowledge
	// ReplicaWait bounds how long a read waits for a replica to reach the log
	// position that it requires, before it is routed to the primary.
	ReplicaWait time.Duration
	// Deadline bounds how long a batch may wait and run unless the client
	// specifies another deadline, above 0.
	Deadline time.Duration
	// DrainTimeout bounds how long a switchover waits for open transactions,
	// above 0.
	DrainTimeout time.Duration
}

// A Database is one member of a service.
type Database struct {
	// Name is unique among databases.
	Name string
	// Service is the name of the service that the database belongs to.
	Service string
	// DataCentre is the name of the data centre that the database runs in.
	DataCentre string
	// Address is the IP address and port of the database.
	Address string
	// Slots is the maximum number of concurrent statements, at least 1.
	Slots int
	// Connections is the maximum number of open connections, at least Slots.
	Connections int
	// TakenOut marks a database that gets no new work.
	TakenOut bool
}

// A Route is a database name under which clients connect to a service.
type Route struct {
	// Name is unique among routes; clients specify it as database name.
	Name string
	// Service is the name of the service that the route leads to.
	Service string
	// Customers lists the names of the customers whose keys are accepted.
	Customers []string
	// KeylessCustomer is the name of the customer to which requests without a key are
	// charged. If it is empty, the route requires a key.
	KeylessCustomer string
}

// A DataCentre is a failure zone.
type DataCentre struct {
	// Name is unique among data centres.
	Name string
	// Region groups data centres with low latency between them.
	Region string
	// TakenOut marks a data centre whose hosts and databases get no new work.
	TakenOut bool
}

// A Host contains the settings that operators make for a host. A host can join
// the fleet without such an object.
type Host struct {
	// Name is unique among hosts.
	Name string
	// TakenOut marks a host that gets no new work.
	TakenOut bool
}
