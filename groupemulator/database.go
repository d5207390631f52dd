package groupemulator

import (
	"sync"
	"sync/atomic"
	"time"
)

// A Role is the role of a database in its group.
type Role string

// The roles of a database.
const (
	RolePrimary Role = "primary"
	RoleReplica Role = "replica"
)

// A database is one member of a group. A goroutine never holds the mutexes of
// two databases at the same time.
type database struct {
	group    *Group
	member   Member
	faults   *faultSet
	recorder recorder
	slots    slots
	server   server

	connectCost   atomic.Int64
	statementCost atomic.Int64
	receiveDelay  atomic.Int64
	applyLag      atomic.Int64

	// wake makes the replication loop check for new entries.
	wake chan struct{}
	// awaitingEntry is set while the replication loop has received all entries
	// and waits for the next one.
	awaitingEntry atomic.Bool

	mu sync.Mutex
	// term is the highest term that the database has accepted.
	term uint64
	// role is RolePrimary from the promotion in term until the term is raised.
	role Role
	// primary is the name of the database that this one replicates from, or its
	// own name on the primary. It is empty after the term was raised, until the
	// database is promoted or its log has been truncated to a prefix of the log
	// of the primary it follows.
	primary string
	// following is the name of the primary set by group_follow, on a replica.
	following string
	// log is only appended to, or truncated together with its capacity. A copy
	// of the slice header therefore stays valid after the lock is released.
	log []*entry
	// applied is the number of entries that have been applied to table.
	applied  int
	table    *bookings
	arrivals []arrival
	locks    map[string]*rowLock
	sessions map[uint32]*session
	// changed is closed and replaced when the status changes while a poll waits
	// for it.
	changed      chan struct{}
	waitingPolls int
}

// An arrival records when the entries up to an offset were received.
type arrival struct {
	offset     int
	receivedAt time.Time
}

func newDatabase(g *Group, m Member) *database {
	d := &database{
		group: g, member: m, faults: newFaultSet(), wake: make(chan struct{}, 1),
		role: RoleReplica, table: newBookings(), locks: make(map[string]*rowLock),
		sessions: make(map[uint32]*session), changed: make(chan struct{}),
	}
	d.slots.inUse = make(chan struct{}, max(1, m.Slots))
	d.connectCost.Store(int64(orDefault(m.ConnectCost, defaultConnectCost)))
	d.receiveDelay.Store(int64(orDefault(m.ReceiveDelay, defaultReceiveDelay)))
	d.statementCost.Store(int64(m.StatementCost))
	d.applyLag.Store(int64(m.ApplyLag))
	return d
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d == 0 {
		return fallback
	}
	return d
}

// seed initializes the database to the state of a new group: term 1, with the
// first member as primary.
func (d *database) seed(first *database) {
	d.term, d.primary = 1, first.member.Name
	if d == first {
		d.role = RolePrimary
		d.log = []*entry{{term: 1, offset: 1, committedAt: d.group.Now()}}
	} else {
		d.following = first.member.Name
		d.log = first.log
	}
	d.applied = len(d.log)
}

// raiseTerm accepts a higher term. It closes data connections of lower terms and
// rolls their transactions back. The database then neither commits nor
// replicates until it is promoted or follows another database.
func (d *database) raiseTerm(term uint64) *sqlError {
	d.mu.Lock()
	defer d.mu.Unlock()
	if term <= d.term {
		return sqlErrorf(codeStaleTerm, "term %d is not above the present term %d", term, d.term)
	}
	d.group.Logger.Info("term_raised", "service", d.group.Service, "database", d.member.Name,
		"from", d.term, "to", term)
	d.term, d.role = term, RoleReplica
	d.primary, d.following = "", ""
	for _, s := range d.sessions {
		if s.started && !s.admin && s.term < term {
			d.endSession(s, errStaleTerm(s.term, term))
		}
	}
	d.notifyPolls()
	return nil
}

// promote makes the database the primary of its current term and appends the
// empty entry that begins the term.
func (d *database) promote(term uint64) *sqlError {
	defer d.group.wakeDatabases()
	d.mu.Lock()
	defer d.mu.Unlock()
	if term != d.term {
		return errStaleTerm(term, d.term)
	}
	if d.role == RolePrimary {
		return nil
	}
	d.applyTo(len(d.log))
	d.arrivals = nil
	d.role, d.primary, d.following = RolePrimary, d.member.Name, ""
	now := d.group.Now()
	d.appendEntry(&entry{term: term, offset: uint64(len(d.log)) + 1, committedAt: now})
	d.group.recordPromotion(Promotion{Term: term, Database: d.member.Name, At: now})
	d.group.Logger.Info("database_promoted", "service", d.group.Service, "database", d.member.Name,
		"term", term, "offset", len(d.log))
	return nil
}

// follow makes the database a replica of another one in the current term. Its
// log is truncated once that database can be reached as the primary of the term;
// until then the status names no primary.
func (d *database) follow(term uint64, primary string) *sqlError {
	if d.group.findDatabase(primary) == nil || primary == d.member.Name {
		return sqlErrorf(codeUnknownSetting, "database %q cannot be followed", primary)
	}
	d.mu.Lock()
	if term != d.term {
		defer d.mu.Unlock()
		return errStaleTerm(term, d.term)
	}
	if d.following != primary {
		d.role, d.primary, d.following = RoleReplica, "", primary
		d.notifyPolls()
	}
	d.mu.Unlock()
	d.receiveEntries()
	d.wakeReplication()
	return nil
}

func errStaleTerm(got, current uint64) *sqlError {
	return sqlErrorf(codeStaleTerm, "term %d is not the present term %d", got, current)
}

// appendEntry appends an entry written by this primary, which is visible to
// reads immediately. The caller holds mu.
func (d *database) appendEntry(e *entry) {
	d.log = append(d.log, e)
	d.applyTo(len(d.log))
	d.notifyPolls()
}

// applyTo applies or reverts entries until the table reflects the log up to the
// offset. The caller holds mu.
func (d *database) applyTo(offset int) {
	for ; d.applied < offset; d.applied++ {
		d.table.apply(d.log[d.applied])
	}
	for ; d.applied > offset; d.applied-- {
		d.table.revert(d.log[d.applied-1])
	}
}

// notifyPolls wakes the waiting long polls. The caller holds mu.
func (d *database) notifyPolls() {
	if d.waitingPolls > 0 {
		close(d.changed)
		d.changed = make(chan struct{})
		d.waitingPolls = 0
	}
}

// wakeReplication makes the replication loop check for new entries.
func (d *database) wakeReplication() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// checkSession checks that a session may run a statement. No term check is
// needed: raising the term ends all sessions of lower terms under mu, so a
// session that has completed its startup and has not ended has the current term.
// The caller holds mu.
func (d *database) checkSession(s *session) *sqlError { return s.endReason() }

// checkWritable checks that a session may write bookings. The caller holds mu.
func (d *database) checkWritable(s *session) *sqlError {
	if err := d.checkSession(s); err != nil {
		return err
	}
	if d.role != RolePrimary {
		return sqlErrorf(codeReadOnly, "cannot write on a replica or before the promotion")
	}
	return nil
}

// endSession ends a session with a fatal error and releases its locks. It may be
// called from any goroutine. The caller holds mu.
func (d *database) endSession(s *session, reason *sqlError) {
	fatal := *reason
	fatal.fatal = true
	if !s.end(&fatal) {
		return
	}
	d.releaseLocks(s)
}
