package groupemulator

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

// ledgerChunk is the number of entries that are allocated at once.
const ledgerChunk = 8192

// A Write is one change of a booking that a database committed.
type Write struct {
	// Database is where the write was committed.
	Database string
	// ID is the id of the booking.
	ID string
	// Customer is the setting endiveturn.customer of the writing session.
	Customer string
	// Before and After are the booking around the write; nil if it does not
	// exist.
	Before, After *Row
	// Term and Offset are the position of the commit.
	Term, Offset uint64
	// At is the time of the commit.
	At time.Time
}

// A StatementRun describes a statement that a database begins to run.
type StatementRun struct {
	Database string
	// Customer is the setting endiveturn.customer in force.
	Customer string
	// Query is the text of the Query or Parse message.
	Query string
	// Parameters are those of an extended query, in text form.
	Parameters []string
	// Term is the term of the connection.
	Term uint64
	// Replica is set on a database that is not the primary.
	Replica bool
	At      time.Time
}

// A Promotion says which database became primary in a term.
type Promotion struct {
	Term     uint64
	Database string
	At       time.Time
}

// Stats are counters of a database since Start.
type Stats struct {
	// Statements counts the statements begun.
	Statements uint64
	// SlotWaits counts the batches that found no free slot. Nobody who
	// respects the slots ever causes one.
	SlotWaits uint64
	// MaxRunning is the highest number of batches that ran or waited for a
	// slot at once.
	MaxRunning int
	// Connections and MaxConnections count connections of the endpoint user
	// that are open now, and the most that were open at once.
	Connections, MaxConnections int
	// AdminConnections and MaxAdminConnections count those of group_admin.
	AdminConnections, MaxAdminConnections int
	// RefusedConnections counts connections refused with 53300.
	RefusedConnections uint64
	// StaleTerms counts refusals with GT001, including closed connections.
	StaleTerms uint64
	// DuplicateKeys counts refusals with 23505.
	DuplicateKeys uint64
	// LastStatement is when the last statement began; zero if none did.
	LastStatement time.Time
}

// A ledger is the bookkeeping of a database.
type ledger struct {
	statements atomic.Uint64
	// lastStatement is the time since the start of the group; 0 stands for
	// none.
	lastStatement atomic.Int64
	refused       atomic.Uint64
	stale         atomic.Uint64
	duplicates    atomic.Uint64

	mu sync.Mutex
	// chunks hold the committed entries in their order, also those truncated
	// later.
	chunks     [][]*entry
	byCustomer map[string]*atomic.Uint64
}

// commit records an entry that the database committed as primary.
func (l *ledger) commit(e *entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	last := len(l.chunks) - 1
	if last < 0 || len(l.chunks[last]) == ledgerChunk {
		l.chunks = append(l.chunks, make([]*entry, 0, ledgerChunk))
		last++
	}
	l.chunks[last] = append(l.chunks[last], e)
}

// counter returns the count of the statements that run for a customer.
func (l *ledger) counter(customer string) *atomic.Uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byCustomer == nil {
		l.byCustomer = make(map[string]*atomic.Uint64)
	}
	c := l.byCustomer[customer]
	if c == nil {
		c = new(atomic.Uint64)
		l.byCustomer[customer] = c
	}
	return c
}

func (l *ledger) each(f func(*entry)) {
	l.mu.Lock()
	chunks := make([][]*entry, len(l.chunks))
	copy(chunks, l.chunks)
	l.mu.Unlock()
	for _, chunk := range chunks {
		for _, e := range chunk {
			f(e)
		}
	}
}

// Writes returns all writes that were committed on any database, those of one
// database in their order, including writes that were truncated later.
func (g *Group) Writes() []Write {
	var writes []Write
	for _, d := range g.databases {
		d.ledger.each(func(e *entry) {
			for _, c := range e.changes {
				writes = append(writes, Write{
					Database: d.member.Name, ID: c.id, Customer: e.customer, Before: c.before,
					After: c.after, Term: e.term, Offset: e.offset, At: e.at,
				})
			}
		})
	}
	return writes
}

// Duplicates returns, for each id that was inserted more than once on all
// databases together, its insertions. A truncated insertion counts, since it
// was executed.
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

// StatementsByCustomer returns the number of statements that a database began
// by the customer setting in force.
func (g *Group) StatementsByCustomer(name string) map[string]uint64 {
	d := g.find(name)
	if d == nil {
		return nil
	}
	d.ledger.mu.Lock()
	defer d.ledger.mu.Unlock()
	counts := make(map[string]uint64, len(d.ledger.byCustomer))
	for customer, c := range d.ledger.byCustomer {
		if n := c.Load(); n > 0 {
			counts[customer] = n
		}
	}
	return counts
}

// Content returns the bookings in the log of the present primary, by id.
func (g *Group) Content() map[string]Row {
	d := g.find(g.Primary())
	if d == nil {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	content := make(map[string]Row, len(d.table.rows))
	for id, row := range d.table.rows {
		content[id] = *row
	}
	return content
}

// Promotions returns all promotions in the order in which they took place.
func (g *Group) Promotions() []Promotion {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Promotion(nil), g.promotions...)
}

// Status returns the status of a database, also while it answers nobody.
func (g *Group) Status(name string) Status {
	d := g.find(name)
	if d == nil {
		return Status{}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.status()
}

// Stats returns the counters of a database.
func (g *Group) Stats(name string) Stats {
	d := g.find(name)
	if d == nil {
		return Stats{}
	}
	s := Stats{
		Statements: d.ledger.statements.Load(), SlotWaits: d.slots.waits.Load(),
		MaxRunning:  int(d.slots.maxDemanded.Load()),
		Connections: int(d.server.data.open.Load()), MaxConnections: int(d.server.data.highest.Load()),
		AdminConnections:    int(d.server.admin.open.Load()),
		MaxAdminConnections: int(d.server.admin.highest.Load()),
		RefusedConnections:  d.ledger.refused.Load(), StaleTerms: d.ledger.stale.Load(),
		DuplicateKeys: d.ledger.duplicates.Load(),
	}
	if since := d.ledger.lastStatement.Load(); since > 0 {
		s.LastStatement = g.started.Add(time.Duration(since))
	}
	return s
}
