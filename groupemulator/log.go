package groupemulator

import "time"

// A Row is one booking.
type Row struct {
	// ID is the primary key.
	ID string
	// Customer is the value of the customer column.
	Customer string
	// Amount is the value of the amount column.
	Amount int64
}

// A change is the effect of a transaction on one booking. A nil row means that
// the booking does not exist.
type change struct {
	id     string
	before *Row
	after  *Row
}

// An entry is one committed transaction, or the empty entry of a promotion. It
// is immutable and shared by the logs of all databases that have it, so two logs
// have the same entry if and only if they have the same pointer.
type entry struct {
	// term is the term in which the entry was written.
	term uint64
	// offset is the position in the log, counted from 1.
	offset uint64
	// committedAt is the time of the commit.
	committedAt time.Time
	// customer is the value of the setting endiveturn.customer in the writing
	// session.
	customer string
	changes  []change
}

// A bookings table is the state visible to reads: the effect of the applied log
// entries.
type bookings struct {
	rows       map[string]*Row
	byCustomer map[string]map[string]*Row
}

func newBookings() *bookings {
	return &bookings{rows: make(map[string]*Row), byCustomer: make(map[string]map[string]*Row)}
}

// set stores the booking with the id; a nil row deletes it.
func (b *bookings) set(id string, row *Row) {
	if old := b.rows[id]; old != nil {
		delete(b.byCustomer[old.Customer], id)
	}
	if row == nil {
		delete(b.rows, id)
		return
	}
	b.rows[id] = row
	ids := b.byCustomer[row.Customer]
	if ids == nil {
		ids = make(map[string]*Row)
		b.byCustomer[row.Customer] = ids
	}
	ids[id] = row
}

// apply applies the changes of an entry to the table.
func (b *bookings) apply(e *entry) {
	for _, c := range e.changes {
		b.set(c.id, c.after)
	}
}

// revert restores the table to the state before the entry.
func (b *bookings) revert(e *entry) {
	for _, c := range e.changes {
		b.set(c.id, c.before)
	}
}

// commonPrefix returns the number of leading entries that two logs have in
// common. Each term has only one primary, so equal entries at an offset imply
// that the logs are equal up to that offset.
func commonPrefix(a, b []*entry) int {
	n := min(len(a), len(b))
	for n > 0 && a[n-1] != b[n-1] {
		n--
	}
	return n
}
