package groupemulator

import (
	"sync"
	"sync/atomic"
	"time"
)

// A Role is the part that a database plays in its group.
type Role string

// The roles of a database.
const (
	RolePrimary Role = "primary"
	RoleReplica Role = "replica"
)

// A database is one member of a group. Lock order: the locks of two databases
// are never held together.
type database struct {
	group  *Group
	member Member
	gate   *gate
	ledger ledger
	slots  slots
	server server

	connectCost   atomic.Int64
	statementCost atomic.Int64
	receiveDelay  atomic.Int64
	applyLag      atomic.Int64

	// wake makes the replication loop look again.
	wake chan struct{}
	// hungry is set while the replication loop waits for a first entry.
	hungry atomic.Bool

	mu sync.Mutex
	// term is the highest term that was accepted.
	term uint64
	// role is RolePrimary from the promotion in term to the next raise.
	role Role
	// primary names the database that this one follows, or itself. It is
	// empty after a raise until the database is promoted or its log has been
	// truncated to that of the primary it follows.
	primary string
	// following names the primary that group_follow gave, on a replica.
	following string
	// log only ever grows at the end or is cut with its capacity, so that a
	// copy of the slice header stays valid without the lock.
	log []*entry
	// applied is the number of entries that table shows.
	applied  int
	table    *bookings
	arrivals []arrival
	locks    map[string]*rowLock
	sessions map[uint32]*session
	// changed is closed and replaced when the status changes and a poll waits.
	changed chan struct{}
	polls   int
}

// An arrival says when the entries up to an offset were received.
type arrival struct {
	offset int
	at     time.Time
}

func newDatabase(g *Group, m Member) *database {
	d := &database{
		group: g, member: m, gate: newGate(), wake: make(chan struct{}, 1),
		role: RoleReplica, table: newBookings(), locks: make(map[string]*rowLock),
		sessions: make(map[uint32]*session), changed: make(chan struct{}),
	}
	d.slots.free = make(chan struct{}, max(1, m.Slots))
	d.connectCost.Store(int64(orDefault(m.ConnectCost, defaultConnectCost)))
	d.receiveDelay.Store(int64(orDefault(m.ReceiveDelay, defaultReceiveDelay)))
	d.statementCost.Store(int64(m.StatementCost))
	d.applyLag.Store(int64(m.ApplyLag))
	return d
}

func orDefault(d, byDefault time.Duration) time.Duration {
	if d == 0 {
		return byDefault
	}
	return d
}

// seed gives the database the state of a new group: term 1, in which the first
// member was promoted.
func (d *database) seed(first *database) {
	d.term, d.primary = 1, first.member.Name
	if d == first {
		d.role = RolePrimary
		d.log = []*entry{{term: 1, offset: 1, at: d.group.Now()}}
	} else {
		d.following = first.member.Name
		d.log = first.log
	}
	d.applied = len(d.log)
}

// raise accepts a higher term. Data connections of lower terms are closed and
// their transactions rolled back; nothing is written or replicated until the
// database is promoted or follows.
func (d *database) raise(term uint64) *sqlError {
	d.mu.Lock()
	defer d.mu.Unlock()
	if term <= d.term {
		return failf(codeStaleTerm, "term %d is not above the present term %d", term, d.term)
	}
	d.group.Logger.Info("term raised", "service", d.group.Service, "database", d.member.Name,
		"from", d.term, "to", term)
	d.term, d.role = term, RoleReplica
	d.primary, d.following = "", ""
	for _, s := range d.sessions {
		if s.started && !s.admin && s.term < term {
			d.endSession(s, staleTerm(s.term, term))
		}
	}
	d.notify()
	return nil
}

// promote makes the database the primary of the present term and appends the
// empty entry that starts the term.
func (d *database) promote(term uint64) *sqlError {
	defer d.group.wakePeers()
	d.mu.Lock()
	defer d.mu.Unlock()
	if term != d.term {
		return staleTerm(term, d.term)
	}
	if d.role == RolePrimary {
		return nil
	}
	d.applyTo(len(d.log))
	d.arrivals = nil
	d.role, d.primary, d.following = RolePrimary, d.member.Name, ""
	now := d.group.Now()
	d.append(&entry{term: term, offset: uint64(len(d.log)) + 1, at: now})
	d.group.record(Promotion{Term: term, Database: d.member.Name, At: now})
	d.group.Logger.Info("promoted", "service", d.group.Service, "database", d.member.Name,
		"term", term, "offset", len(d.log))
	return nil
}

// follow makes the database a replica of another in the present term. Its log
// is truncated as soon as that one is reached as the primary of the term;
// until then the status names no primary.
func (d *database) follow(term uint64, primary string) *sqlError {
	if d.group.find(primary) == nil || primary == d.member.Name {
		return failf(codeUnknownSetting, "database %q cannot be followed", primary)
	}
	d.mu.Lock()
	if term != d.term {
		defer d.mu.Unlock()
		return staleTerm(term, d.term)
	}
	if d.following != primary {
		d.role, d.primary, d.following = RoleReplica, "", primary
		d.notify()
	}
	d.mu.Unlock()
	d.receive()
	d.wakeUp()
	return nil
}

func staleTerm(got, present uint64) *sqlError {
	return failf(codeStaleTerm, "term %d is not the present term %d", got, present)
}

// append adds an entry of the primary itself, which reads see at once. The
// caller holds mu.
func (d *database) append(e *entry) {
	d.log = append(d.log, e)
	d.applyTo(len(d.log))
	d.notify()
}

// applyTo moves the table to the offset, in either direction. The caller holds
// mu.
func (d *database) applyTo(offset int) {
	for ; d.applied < offset; d.applied++ {
		d.table.apply(d.log[d.applied])
	}
	for ; d.applied > offset; d.applied-- {
		d.table.undo(d.log[d.applied-1])
	}
}

// notify wakes the long polls. The caller holds mu.
func (d *database) notify() {
	if d.polls > 0 {
		close(d.changed)
		d.changed = make(chan struct{})
		d.polls = 0
	}
}

// wakeUp makes the replication loop look for entries.
func (d *database) wakeUp() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// admit checks that a session may run a statement. A session that has started
// has the present term, since a raise ends all sessions of lower terms under mu.
// The caller holds mu.
func (d *database) admit(s *session) *sqlError { return s.ended() }

// admitWrite checks that a session may change bookings. The caller holds mu.
func (d *database) admitWrite(s *session) *sqlError {
	if err := d.admit(s); err != nil {
		return err
	}
	if d.role != RolePrimary {
		return failf(codeReadOnly, "cannot write on a replica or before the promotion")
	}
	return nil
}

// endSession closes the connection of a session from another goroutine and
// releases its locks. The caller holds mu.
func (d *database) endSession(s *session, reason *sqlError) {
	fatal := *reason
	fatal.fatal = true
	if !s.end(&fatal) {
		return
	}
	d.releaseLocks(s)
}
