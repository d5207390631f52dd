// Package promoter watches the databases of one service, holds the service by
// its term, and changes the primary when it fails or has to leave.
package promoter

import (
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/executor"
)

// Sentinel errors of a Watcher.
var (
	// ErrFenced says that a database has seen a higher term: another host
	// holds the service.
	ErrFenced = errors.New("fenced by a higher term")
	// ErrNoMajority says that fewer than a majority of the databases answer.
	ErrNoMajority = errors.New("no majority of the databases answers")
)

// A Member is a database of the service as the configuration declares it.
type Member struct {
	// Name is the name of the database, unique in the group.
	Name string
	// Address is its IP address and port.
	Address string
	// DataCentre is the data centre the database stands in.
	DataCentre string
	// Leaving says that the database, or its data centre, is taken out: it is
	// not made primary while another can be.
	Leaving bool
}

// Role is the part that a database plays in its group.
type Role string

// The roles of a database.
const (
	RolePrimary Role = "primary"
	RoleReplica Role = "replica"
)

// A Status is what a database answers to a status query.
type Status struct {
	// Name is the name of the database that answered.
	Name string
	// Term is the highest term the database has accepted.
	Term uint64
	Role Role
	// Primary names the database that this one follows, or itself.
	Primary string
	// Received is the offset of the last log entry that the database holds.
	Received uint64
	// LogTerm is the term in which the entry at Received was written.
	LogTerm uint64
	// Applied is the offset up to which reads see the log; at most Received.
	Applied uint64
}

// A MemberView is what the watcher knows of a database.
type MemberView struct {
	Member
	// Status is the last answer; its zero value says there was none.
	Status Status
	// SeenAt is when the query was sent that Status answers.
	SeenAt time.Time
	// Reachable is false from the first failed query until the next answer.
	Reachable bool
}

// A View is a snapshot of a group. It is immutable.
type View struct {
	// Term is the term by which this host holds the service; 0 if it does not.
	Term uint64
	// Primary names the database that was promoted in Term; it is empty while
	// a primary is being chosen.
	Primary string
	// Start is the position of the primary when it was promoted in Term: every
	// write acknowledged before is at or below it.
	Start executor.Position
	// AcknowledgeFrom is the time before which no write may be acknowledged,
	// since an older holder may still serve reads under its lease.
	AcknowledgeFrom time.Time
	// LeaseUntil is the time up to which this host may serve; it moves on as a
	// majority of the databases confirms Term.
	LeaseUntil time.Time
	// Members holds all databases of the service in the order of their names.
	Members []MemberView
	// Changed is closed when a newer view has replaced this one.
	Changed <-chan struct{}
}

// Held reports whether this host holds the service with a primary at the time.
func (v View) Held(now time.Time) bool {
	return v.Term > 0 && v.Primary != "" && now.Before(v.LeaseUntil)
}

// Member returns the database of the name.
func (v View) Member(name string) (MemberView, bool) {
	for _, m := range v.Members {
		if m.Name == name {
			return m, true
		}
	}
	return MemberView{}, false
}
