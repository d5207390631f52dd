// Package exchanger exchanges reports between the hosts of a fleet: newer records of
// the store, the demand of customers, the health of primaries, and the changes of
// primary that each host has put into effect.
package exchanger

import "time"

// A PrimaryHealth is one host's measurement of the health of a service's primary.
type PrimaryHealth struct {
	// ID and StartedAtMillis identify the primary's incarnation.
	ID              string
	StartedAtMillis int64
	// SinceSuccess is the time since the last response, negative if there was none.
	SinceSuccess time.Duration
	// SinceFailure is how long the primary has been failing for the host without a
	// response, 0 if it does not fail.
	SinceFailure time.Duration
	// RefusesWrites is set if the primary recently refused a statement as a replica.
	RefusesWrites bool
}

// A Usage is what a host has used of a customer's rate limit.
type Usage struct {
	// Used counts the operations since the host's start that databases may have
	// executed.
	Used int64
	// Demand is in operations per second, including refused ones.
	Demand float64
}

// A Report is the state that a host reports to another one.
type Report struct {
	Host        string
	Incarnation string
	Address     string
	DataCentre  string
	// Revision is the store's revision up to which the host's mirror is complete.
	Revision int64
	// Age is the time since the mirror was last known to be complete, negative if it
	// never was.
	Age time.Duration
	// Listed is set once the process itself has listed all keys of the store, unless it
	// did so only after the store lost changes of primaries that are not confirmed yet.
	Listed bool
	// VotersRevision is the revision of the list of voters that the host has, 0 if it has
	// none.
	VotersRevision int64
	// MajorityHeardAge is the time since the sending of the oldest of the latest
	// reports from a majority of the voters, negative if no majority has reported.
	MajorityHeardAge time.Duration
	// Digest is equal for two hosts that hold the same records of operators and
	// databases.
	Digest uint64
	// Uptime is how long the host's process has run.
	Uptime time.Duration
	// Stopping is set while the host shuts down and takes no new connections.
	Stopping bool
	// StoppingHosts are, in the report of the hub, the names of hosts that shut down.
	StoppingHosts []string
	// Hosts is the number of hosts covered by Usages, 0 if they are the host's own.
	Hosts int
	// Usages are by customer.
	Usages map[string]Usage
	// Primaries are by service. They and ReleasedRevisions are empty in reports to
	// hosts that do not replace primaries.
	Primaries map[string]PrimaryHealth
	// Unreachable holds, for each service whose primary fails for the host, the IDs of the
	// other databases that fail for it too; nil if there are none.
	Unreachable map[string][]string
	// ReleasedRevisions holds, for each service whose primary is being replaced, the
	// revision of the last primary assignment with which the host uses no primary.
	ReleasedRevisions map[string]int64
	// Counts are the counts of requests that the receiver lacks, and an acknowledgement of
	// its own, encoded by package accountant. It is empty where requests are not counted.
	Counts []byte
}

// A Record is a key of the store with its value, or its deletion.
type Record struct {
	Key      string
	Value    []byte
	Revision int64
	Deleted  bool
}

// Completes reports whether a host whose records are complete up to a revision has all
// records up to the revision of the sender once it has added those of the message.
func (m Message) Completes(revision int64) bool {
	if m.Report.Revision <= revision {
		return true
	}
	if m.CompleteAfter == 0 {
		return len(m.Records) > 0
	}
	return m.CompleteAfter <= revision
}

// A Message carries a report, and records that the receiver lacks.
type Message struct {
	Report Report
	// Sequence numbers the replies of a host to one other host.
	Sequence uint64
	// Echo is, in a request, the Sequence of the last reply, which shows that the
	// request was sent after it.
	Echo    uint64
	Records []Record
	// CompleteAfter is the revision after which Records has all records of the sender, 0 if
	// that is not known. Revisions can pass without a record, as hosts do not mirror all
	// keys. The former release leaves it out.
	CompleteAfter int64
	// AcceptsCompression is set if the sender accepts records with compressed values,
	// as all but former versions do.
	AcceptsCompression bool

	// compress returns the compressed value of a record, or nil. It is nil if the
	// receiver does not accept compressed values.
	compress func(Record) []byte
}
