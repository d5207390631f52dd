package connector

// Availability is how a session would get a connection.
type Availability uint8

// The ways to get a connection.
const (
	// TakesIdleConn means that an idle connection of the customer is taken.
	TakesIdleConn Availability = iota
	// OpensConn means that a connection is opened.
	OpensConn
	// ReplacesConn means that an idle connection of another customer is closed and one is
	// opened.
	ReplacesConn
	// AwaitsConn means that the session waits.
	AwaitsConn
)

// String describes the availability.
func (a Availability) String() string {
	return [...]string{"idle connection", "opens a connection", "replaces an idle connection of another customer", "waits for a connection"}[a]
}

// Availability returns how a session of the customer would get a connection now. It changes
// nothing.
func (p *Pool) Availability(customer string) Availability {
	if p.HasIdle(customer) {
		return TakesIdleConn
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.nextWithoutIdle()
}

// makeRoom reports whether a connection may be opened now. It closes an idle
// connection if that is necessary.
func (p *Pool) makeRoom() bool {
	next := p.nextWithoutIdle()
	if next == ReplacesConn {
		p.closeOldestIdle()
	}
	return next != AwaitsConn
}

// nextWithoutIdle returns what a session gets for whose customer there is no idle
// connection.
func (p *Pool) nextWithoutIdle() Availability {
	if p.dialing >= maxConcurrentDials {
		return AwaitsConn
	}
	if p.openCount == 0 {
		return OpensConn
	}
	refused := p.Now().Before(p.fullUntil)
	switch {
	case p.openCount < p.limits.Guaranteed && !refused:
		return OpensConn
	case len(p.idle) > 0:
		return ReplacesConn
	case p.openCount < p.limits.Burst && !refused:
		return OpensConn
	}
	return AwaitsConn
}
