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

// A change is the effect of a transaction on one booking. A nil row stands for
// a booking that does not exist.
type change struct {
	id     string
	before *Row
	after  *Row
}

// An entry is one committed transaction, or the empty entry of a promotion. It
// is immutable and shared by the logs of all databases that hold it, so two
// logs hold the same entry exactly if they hold the same pointer.
type entry struct {
	// term is the term in which the entry was written.
	term uint64
	// offset is the number of entries up to and including this one.
	offset uint64
	// at is the time of the commit.
	at time.Time
	// customer is the setting endiveturn.customer of the writing session.
	customer string
	changes  []change
}

// A bookings table is the state that reads see: the effect of the applied
// entries of a log.
type bookings struct {
	rows       map[string]*Row
	byCustomer map[string]map[string]*Row
}

func newBookings() *bookings {
	return &bookings{rows: make(map[string]*Row), byCustomer: make(map[string]map[string]*Row)}
}

// set replaces the booking of the id; a nil row removes it.
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

// apply brings the table to the state after the entry.
func (b *bookings) apply(e *entry) {
	for _, c := range e.changes {
		b.set(c.id, c.after)
	}
}

// undo brings the table back to the state before the entry.
func (b *bookings) undo(e *entry) {
	for _, c := range e.changes {
		b.set(c.id, c.before)
	}
}

// commonPrefix returns the number of leading entries that two logs share. A
// term has one primary, so equal entries at an offset imply equal logs up to
// it.
func commonPrefix(a, b []*entry) int {
	n := min(len(a), len(b))
	for n > 0 && a[n-1] != b[n-1] {
		n--
	}
	return n
}
