package budgeter

import "time"

// SetCustomer assigns the connection to a customer. It returns ErrCustomer if the
// customer has as many connections as it may have.
func (a *Account) SetCustomer(customer string) error {
	if a == nil || customer == "" {
		return nil
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.state != open {
		return ErrClosed
	}
	if limit := b.Limits.PerCustomer; limit > 0 && b.customers[customer] >= limit {
		return ErrCustomer
	}
	a.customer = customer
	b.customers[customer]++
	return nil
}

// Resize sets the number of bytes that the connection takes for a purpose. If that is
// more than before and the memory is used up, larger connections are closed; if there
// are none, the amount stays as it was and the error is the reason.
func (a *Account) Resize(use Use, bytes int64) error {
	if a == nil {
		return nil
	}
	b := a.budget
	b.mu.Lock()
	victims, err := a.resize(use, bytes)
	b.mu.Unlock()
	b.end(victims)
	return err
}

// resize implements Resize. The caller holds the mutex of the budget.
func (a *Account) resize(use Use, bytes int64) ([]victim, error) {
	b := a.budget
	more := bytes - a.amounts[use]
	switch {
	case a.state != open && more > 0:
		return nil, ErrClosed
	case more > 0 && a.class == Clients && b.Limits.ConnectionMemory > 0 && a.total+more > b.Limits.ConnectionMemory:
		return nil, ErrConnectionMemory
	}
	var victims []victim
	var err error
	if more > 0 {
		if victims, err = b.makeRoom(a, more); err != nil {
			return victims, err
		}
	}
	a.amounts[use] = bytes
	a.total += more
	switch a.state {
	case open:
		b.used += more
	case closing:
		b.closing += more
	}
	return victims, nil
}

// Begin records that a request is in progress.
func (a *Account) Begin() {
	if a != nil {
		a.idleSince.Store(0)
	}
}

// Complete records that the connection has completed a request and waits for the next.
func (a *Account) Complete() {
	if a == nil {
		return
	}
	a.idleSince.Store(max(1, int64(a.budget.Now().Sub(a.openedAt))))
	if !a.proven.Load() {
		a.proven.Store(true)
	}
}

// idleFor returns for how long the connection has been idle, 0 if it is not.
func (a *Account) idleFor(now time.Time) time.Duration {
	since := a.idleSince.Load()
	if since == 0 {
		return 0
	}
	return now.Sub(a.openedAt) - time.Duration(since)
}

// Refuse reports that the connection ends because its request for memory or for a
// customer was refused.
func (a *Account) Refuse(reason error) {
	if a == nil {
		return
	}
	b := a.budget
	b.mu.Lock()
	event := Event{Class: a.class, Address: a.address, Customer: a.customer, Bytes: a.total, Reason: reason}
	reported := a.state != open
	b.mu.Unlock()
	if !reported {
		b.report(event)
	}
}

// End returns what the connection has taken. It may be called several times.
func (a *Account) End() {
	if a == nil {
		return
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	switch a.state {
	case open:
		b.used -= a.total
		b.uncount(a)
	case closing:
		b.closing -= a.total
	case ended:
		return
	}
	a.state = ended
	delete(b.accounts, a)
}
