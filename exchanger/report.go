// Package exchanger lets the hosts of a fleet tell each other what they see:
// newer state of the store, the demand of customers, the health of primaries
// and which changes of primary they have put into force.
package exchanger

import "time"

// A PrimaryHealth is what one host sees of a service's primary.
type PrimaryHealth struct {
	// ID and Born name the primary's incarnation.
	ID   string
	Born int64
	// SinceSuccess is the time since the last answer; negative if there was
	// none.
	SinceSuccess time.Duration
	// SinceFailure is how long the primary has been failing for the host
	// without an answer; 0 if it does not.
	SinceFailure time.Duration
}

// A Usage is what a host has used of a customer's rate.
type Usage struct {
	// Used counts operations since the host's start that databases may have run.
	Used int64
	// Demand is in operations per second, refused ones included.
	Demand float64
}

// A Report is what a host tells another one.
type Report struct {
	Host        string
	Incarnation string
	Address     string
	DataCentre  string
	// Revision is the store's revision up to which the host's copy is complete.
	Revision int64
	// Age is how long ago the copy was known to be complete; negative if it
	// never was.
	Age time.Duration
	// Listed is set once the process itself has read all keys from the store.
	Listed bool
	// MostHeard is how long ago the oldest of the newest reports from more than
	// half of a large fleet was sent; negative if not so many were heard.
	MostHeard time.Duration
	// Digest is the same for two hosts that hold the same records of operators
	// and databases.
	Digest uint64
	// Uptime is how long the host's process has run.
	Uptime time.Duration
	// Stopping hosts take no new connections.
	Stopping bool
	// Hosts is the number of hosts for which Usages speak, 0 for one.
	Hosts int
	// Usages are by customer.
	Usages map[string]Usage
	// Primaries are by service.
	Primaries map[string]PrimaryHealth
	// Released holds, by service, the revision of the last lead for which the
	// host uses no other primary than the lead says.
	Released map[string]int64
}

// A Record is a key of the store as a host knows it.
type Record struct {
	Key      string
	Value    []byte
	Revision int64
	Deleted  bool
}

// A Message carries a report, and records that the receiver lacks.
type Message struct {
	Report Report
	// Sequence numbers the answers of a host to one other.
	Sequence uint64
	// Echo is, in a question, the Sequence of the last answer, which shows that
	// the question was sent after it.
	Echo    uint64
	Records []Record
}
