// Package promoter monitors the databases of one service, holds the service under
// a fencing term, and promotes another database when the primary fails or is
// drained.
package promoter

import (
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/executor"
)

// Sentinel errors of a Watcher.
var (
	// ErrFenced indicates that a database has accepted a higher term, because
	// another host holds or claims the service.
	ErrFenced = errors.New("fenced by a higher term")
	// ErrNoMajority indicates that fewer than a majority of the databases respond.
	ErrNoMajority = errors.New("no majority of the databases answers")
)

// A Member is the configuration of a database of the service.
type Member struct {
	// Name is the name of the database, unique in the group.
	Name string
	// Address is its IP address and port.
	Address string
	// DataCentre is the data centre in which the database runs.
	DataCentre string
	// Draining is true if the database or its data centre is being taken out of
	// service. The database is not promoted while another one can be.
	Draining bool
}

// Role is the replication role of a database in its group.
type Role string

// The roles of a database.
const (
	RolePrimary Role = "primary"
	RoleReplica Role = "replica"
)

// A Status is the response of a database to a status query.
type Status struct {
	// Name is the name of the database that responded.
	Name string
	// Term is the highest term that the database has accepted.
	Term uint64
	Role Role
	// Primary is the name of the database that this one follows, or its own name
	// if it is the primary. It is empty if there is none.
	Primary string
	// Received is the offset of the last log entry that the database has.
	Received uint64
	// LogTerm is the term in which the entry at Received was written.
	LogTerm uint64
	// Applied is the offset up to which the log is visible to reads, at most
	// Received.
	Applied uint64
}

// A MemberState is the configuration and the last known status of a database.
type MemberState struct {
	Member
	// Status is the last status received; it is the zero value if there was none.
	Status Status
	// QueriedAt is when the query was sent to which Status is the response.
	QueriedAt time.Time
	// Reachable is false from a failed query until the next successful one.
	Reachable bool
}

// A View is a snapshot of a group. It is immutable.
type View struct {
	// Term is the term in which this host holds the service, or 0 if it does not.
	Term uint64
	// Primary is the name of the database that was promoted in Term. It is empty
	// while a primary is being promoted.
	Primary string
	// Start is the position of the primary when it was promoted in Term. Every
	// write acknowledged before the promotion is at or below it.
	Start executor.Position
	// AcknowledgeFrom is the time before which no write may be acknowledged,
	// because a previous holder may still serve reads under its lease.
	AcknowledgeFrom time.Time
	// LeaseUntil is the end of the lease under which this host may serve. It is
	// extended whenever a majority of the databases confirms Term.
	LeaseUntil time.Time
	// Members contains all databases of the service, sorted by name.
	Members []MemberState
	// Changed is closed when a newer view replaces this one.
	Changed <-chan struct{}
}

// HasLease reports whether at the given time this host holds the service with a
// primary and a valid lease.
func (v View) HasLease(now time.Time) bool {
	return v.Term > 0 && v.Primary != "" && now.Before(v.LeaseUntil)
}

// Member returns the database with the given name.
func (v View) Member(name string) (MemberState, bool) {
	for _, m := range v.Members {
		if m.Name == name {
			return m, true
		}
	}
	return MemberState{}, false
}
