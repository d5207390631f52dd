package groupemulator

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

// entryChunkSize is the number of entry pointers allocated at a time.
const entryChunkSize = 8192

// A Write is one change of a booking that was committed on a database.
type Write struct {
	// Database is the name of the database on which the write was committed.
	Database string
	// ID is the id of the booking.
	ID string
	// Customer is the value of the setting endiveturn.customer in the writing
	// session.
	Customer string
	// Before and After are the booking before and after the write; nil if it did
	// not exist.
	Before, After *Row
	// Term and Offset are the log position of the commit.
	Term, Offset uint64
	// At is the time of the commit.
	At time.Time
}

// A StatementRun describes a statement that a database is about to run.
type StatementRun struct {
	Database string
	// Customer is the current value of the setting endiveturn.customer.
	Customer string
	// Query is the text of the Query or Parse message.
	Query string
	// Parameters are the parameters of an extended query, in text form.
	Parameters []string
	// Term is the term of the connection.
	Term uint64
	// Replica is true if the database is not the primary.
	Replica bool
	At      time.Time
}

// A Promotion records that a database became the primary of a term.
type Promotion struct {
	Term     uint64
	Database string
	At       time.Time
}

// Stats are counters of a database since Start.
type Stats struct {
	// Statements counts the statements started.
	Statements uint64
	// SlotWaits counts the batches that found no free slot. It stays 0 as long as
	// the clients together run no more batches at once than there are slots.
	SlotWaits uint64
	// MaxActive is the highest number of batches that ran or waited for a slot
	// at the same time.
	MaxActive int
	// Connections and MaxConnections are the number of currently open
	// connections of the endpoint user, and the highest number open at the same
	// time.
	Connections, MaxConnections int
	// AdminConnections and MaxAdminConnections are the same numbers for
	// connections of group_admin.
	AdminConnections, MaxAdminConnections int
	// RefusedConnections counts the connections refused with 53300.
	RefusedConnections uint64
	// StaleTerms counts the requests rejected and connections closed with GT001.
	StaleTerms uint64
	// DuplicateKeys counts the statements rejected with 23505.
	DuplicateKeys uint64
	// LastStatement is the time at which the last statement started; zero if
	// there was none.
	LastStatement time.Time
}

// A recorder collects the counters and committed entries of a database.
type recorder struct {
	statements atomic.Uint64
	// lastStatement is the time of the last statement as nanoseconds since the
	// start of the group; 0 means none.
	lastStatement      atomic.Int64
	refusedConnections atomic.Uint64
	staleTerms         atomic.Uint64
	duplicateKeys      atomic.Uint64

	mu sync.Mutex
	// chunks hold the committed entries in commit order, including entries that
	// were truncated later.
	chunks     [][]*entry
	byCustomer map[string]*atomic.Uint64
}

// recordCommit records an entry that the database committed as primary.
func (r *recorder) recordCommit(e *entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	last := len(r.chunks) - 1
	if last < 0 || len(r.chunks[last]) == entryChunkSize {
		r.chunks = append(r.chunks, make([]*entry, 0, entryChunkSize))
		last++
	}
	r.chunks[last] = append(r.chunks[last], e)
}

// statementCounter returns the counter of the statements run for a customer.
func (r *recorder) statementCounter(customer string) *atomic.Uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byCustomer == nil {
		r.byCustomer = make(map[string]*atomic.Uint64)
	}
	c := r.byCustomer[customer]
	if c == nil {
		c = new(atomic.Uint64)
		r.byCustomer[customer] = c
	}
	return c
}

func (r *recorder) forEachEntry(f func(*entry)) {
	r.mu.Lock()
	chunks := make([][]*entry, len(r.chunks))
	copy(chunks, r.chunks)
	r.mu.Unlock()
	for _, chunk := range chunks {
		for _, e := range chunk {
			f(e)
		}
	}
}

// Writes returns all writes that were committed on any database, including
// writes that were truncated later. The writes of each database are in commit
// order.
func (g *Group) Writes() []Write {
	var writes []Write
	for _, d := range g.databases {
		d.recorder.forEachEntry(func(e *entry) {
			for _, c := range e.changes {
				writes = append(writes, Write{
					Database: d.member.Name, ID: c.id, Customer: e.customer, Before: c.before,
					After: c.after, Term: e.term, Offset: e.offset, At: e.committedAt,
				})
			}
		})
	}
	return writes
}

// Duplicates returns the insertions of each id that was inserted more than once,
// counted over all databases. Truncated insertions count, because they were
// executed.
func (g *Group) Duplicates() map[string][]Write {
	inserts := make(map[string][]Write)
	for _, w := range g.Writes() {
		if w.Before == nil && w.After != nil {
			inserts[w.ID] = append(inserts[w.ID], w)
		}
	}
	maps.DeleteFunc(inserts, func(_ string, w []Write) bool { return len(w) < 2 })
	return inserts
}

// StatementsByCustomer returns the number of statements that a database started,
// by the value of the customer setting at that time.
func (g *Group) StatementsByCustomer(name string) map[string]uint64 {
	d := g.findDatabase(name)
	if d == nil {
		return nil
	}
	d.recorder.mu.Lock()
	defer d.recorder.mu.Unlock()
	counts := make(map[string]uint64, len(d.recorder.byCustomer))
	for customer, c := range d.recorder.byCustomer {
		if n := c.Load(); n > 0 {
			counts[customer] = n
		}
	}
	return counts
}

// Rows returns the bookings in the log of the current primary, by id.
func (g *Group) Rows() map[string]Row {
	d := g.findDatabase(g.Primary())
	if d == nil {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	rows := make(map[string]Row, len(d.table.rows))
	for id, row := range d.table.rows {
		rows[id] = *row
	}
	return rows
}

// Promotions returns all promotions in chronological order.
func (g *Group) Promotions() []Promotion {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Promotion(nil), g.promotions...)
}

// Status returns the status of a database, even while a fault blocks its
// clients.
func (g *Group) Status(name string) Status {
	d := g.findDatabase(name)
	if d == nil {
		return Status{}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.status()
}

// Stats returns the counters of a database.
func (g *Group) Stats(name string) Stats {
	d := g.findDatabase(name)
	if d == nil {
		return Stats{}
	}
	s := Stats{
		Statements: d.recorder.statements.Load(), SlotWaits: d.slots.waits.Load(),
		MaxActive:   int(d.slots.maxActive.Load()),
		Connections: int(d.server.data.open.Load()), MaxConnections: int(d.server.data.maxOpen.Load()),
		AdminConnections:    int(d.server.admin.open.Load()),
		MaxAdminConnections: int(d.server.admin.maxOpen.Load()),
		RefusedConnections:  d.recorder.refusedConnections.Load(), StaleTerms: d.recorder.staleTerms.Load(),
		DuplicateKeys: d.recorder.duplicateKeys.Load(),
	}
	if sinceStart := d.recorder.lastStatement.Load(); sinceStart > 0 {
		s.LastStatement = g.started.Add(time.Duration(sinceStart))
	}
	return s
}
