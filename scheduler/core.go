// Package scheduler shares the slots of one database fairly between customers.
// Core is the pure decision core, a weighted start-time fair queue; Queue is
// its driver, in which batches wait for their slots.
package scheduler

import (
	"time"

	"github.com/pkg/errors"
)

const (
	// RampDuration is the time in which a database that returns goes from a
	// tenth of its slots to all of them.
	RampDuration = 5 * time.Second
	// rampStart is the share of the slots that a returning database begins with.
	rampStart = 0.1
	// averageWeight is the part that a new measurement has in a running average
	// of service times. A larger one lets a single slow statement cause refusals.
	averageWeight = 0.05
	// maxSample bounds a measurement relative to the average. Batches that hang on
	// a failed database would otherwise cause refusals after it has returned.
	maxSample = 4
	// minCharge is charged for a batch at least, so that batches too short to
	// measure are shared by number.
	minCharge = 100 * time.Microsecond
	// maxLead bounds the slot time by which a customer of weight 1 can get ahead
	// of the others on slots that nobody else wanted, and thus how long it has to
	// stand back afterwards.
	maxLead = 2 * time.Second
)

// Sentinel errors of refused requests; nothing of the batch has run.
var (
	// ErrQueueFull says that the customer has as many waiting batches as it may.
	ErrQueueFull = errors.New("queue of the customer is full")
	// ErrTooLate says that the batch would not get a slot before its deadline.
	ErrTooLate = errors.New("expected wait exceeds the deadline")
)

// A Share is what a customer may have of a database.
type Share struct {
	// Weight is relative to the weights of other customers, at least 1.
	Weight int
	// MaxQueued is the number of batches that may wait, at least 1.
	MaxQueued int
}

// A Request asks for a slot.
type Request struct {
	// Customer is charged for the batch.
	Customer string
	// Deadline is the time by which the slot must be given.
	Deadline time.Time
	// Priority is set for a batch of an open transaction, which occupies a
	// connection while it waits.
	Priority bool
	// Pins is set for a batch that opens a transaction and thereby keeps a
	// connection after its slot is released.
	Pins bool
}

// State says how far a ticket has come.
type State uint8

// The states of a ticket.
const (
	// Waiting tickets have no slot yet.
	Waiting State = iota
	// Granted tickets hold a slot until Done.
	Granted
	// Expired tickets passed their deadline without a slot.
	Expired
	// Finished tickets were released or withdrawn.
	Finished
)

// A Ticket is a request that was taken in.
type Ticket struct {
	Request
	// State changes only in calls of the Core.
	State State

	owner    *customer
	started  time.Time
	charged  float64
	sequence uint64
	// ready is used by the driver.
	ready chan struct{}
}

// opens reports whether the batch opens a transaction. A batch of an open
// transaction has its connection already.
func (t *Ticket) opens() bool { return t.Pins && !t.Priority }

// customer is the queue of one customer. It is kept while it has waiting or
// running batches or its tag is ahead of the virtual time.
type customer struct {
	name  string
	share Share
	// tag is the virtual time at which the customer's next batch is due: the
	// slot seconds it used, divided by its weight.
	tag     float64
	average float64
	queue   []*Ticket
	// tickets counts waiting and granted tickets, those with Priority included.
	tickets int
}

// Core decides which batch gets the next slot. It is not safe for concurrent
// use, starts no goroutine and takes the time as an argument.
type Core struct {
	// MaxPinned bounds open transactions and running batches with Pins together;
	// 0 sets no bound.
	MaxPinned int

	slots   int
	running int
	pinned  int
	// pinning counts the granted tickets with Pins.
	pinning   int
	rampFrom  time.Time
	virtual   float64
	average   float64
	sequence  uint64
	shares    map[string]Share
	customers map[string]*customer
	priority  []*Ticket
	queued    int
}

// SetSlots sets the number of batches that may run at once.
func (c *Core) SetSlots(slots int) { c.slots = slots }

// SetShares sets the shares of all customers; others get weight 1 and no bound.
// The map must not be changed afterwards.
func (c *Core) SetShares(shares map[string]Share) {
	c.shares = shares
	for name, entry := range c.customers {
		entry.share = c.share(name)
	}
}

// Ramp starts the ramp of a database that returns to service.
func (c *Core) Ramp(now time.Time) { c.rampFrom = now }

// Ramping reports whether the number of slots still grows.
func (c *Core) Ramping(now time.Time) bool {
	return !c.rampFrom.IsZero() && now.Sub(c.rampFrom) < RampDuration
}

// Slots returns the number of slots in use at the time, at least 1.
func (c *Core) Slots(now time.Time) int {
	if !c.Ramping(now) {
		return c.slots
	}
	part := rampStart + (1-rampStart)*float64(now.Sub(c.rampFrom))/float64(RampDuration)
	return max(1, int(part*float64(c.slots)))
}

// Running returns the number of granted tickets.
func (c *Core) Running() int { return c.running }

// Queued returns the number of waiting tickets.
func (c *Core) Queued() int { return c.queued }

// Pinned returns the number of open transactions that were reported.
func (c *Core) Pinned() int { return c.pinned }

// Pin counts an open transaction; Unpin must follow.
func (c *Core) Pin() { c.pinned++ }

// Unpin ends what Pin began.
func (c *Core) Unpin() { c.pinned-- }

// Add takes a request in. The ticket waits until Dispatch grants it. Errors are
// ErrQueueFull and ErrTooLate.
func (c *Core) Add(request Request, now time.Time) (*Ticket, error) {
	owner := c.customer(request.Customer)
	if !request.Priority && len(owner.queue) >= owner.share.MaxQueued && owner.share.MaxQueued > 0 {
		return nil, errors.Wrapf(ErrQueueFull, "customer %s", request.Customer)
	}
	if wait := c.expectedWait(owner, request.Priority, now); now.Add(wait).After(request.Deadline) {
		c.forget(owner)
		return nil, errors.Wrapf(ErrTooLate, "expected %s", wait.Round(time.Millisecond))
	}
	c.sequence++
	ticket := &Ticket{Request: request, owner: owner, sequence: c.sequence}
	if request.Priority {
		c.priority = append(c.priority, ticket)
	} else {
		if len(owner.queue) == 0 {
			owner.tag = max(owner.tag, c.virtual)
		}
		owner.queue = append(owner.queue, ticket)
	}
	c.queued++
	owner.tickets++
	return ticket, nil
}

// Dispatch gives free slots to waiting tickets and returns the tickets whose
// state changed: to Granted, or to Expired when their deadline had passed.
func (c *Core) Dispatch(now time.Time) []*Ticket {
	var changed []*Ticket
	slots := c.Slots(now)
	for c.running < slots && c.queued > 0 {
		ticket := c.next()
		if ticket == nil {
			break
		}
		c.remove(ticket)
		changed = append(changed, ticket)
		if !now.Before(ticket.Deadline) {
			ticket.State = Expired
			ticket.owner.tickets--
			c.forget(ticket.owner)
			continue
		}
		c.grant(ticket, now)
	}
	return changed
}

// grant starts a ticket and charges its customer with the time that its batches
// took on average.
func (c *Core) grant(ticket *Ticket, now time.Time) {
	owner := ticket.owner
	if !ticket.Priority {
		c.virtual = max(c.virtual, owner.tag)
	}
	ticket.State = Granted
	ticket.started = now
	ticket.charged = max(owner.average, minCharge.Seconds()) / float64(owner.share.Weight)
	owner.tag += ticket.charged
	c.running++
	if ticket.opens() {
		c.pinning++
	}
}

// Done ends a ticket: a granted one frees its slot, a waiting one is withdrawn.
func (c *Core) Done(ticket *Ticket, now time.Time) {
	owner := ticket.owner
	switch ticket.State {
	case Waiting:
		c.remove(ticket)
		owner.tickets--
	case Granted:
		c.running--
		owner.tickets--
		if ticket.opens() {
			c.pinning--
		}
		c.charge(ticket, now.Sub(ticket.started).Seconds())
	case Expired, Finished:
	}
	ticket.State = Finished
	c.forget(owner)
}

// charge replaces the estimate of a ticket by the slot time it took.
func (c *Core) charge(ticket *Ticket, took float64) {
	owner := ticket.owner
	weight := float64(owner.share.Weight)
	owner.tag += max(took, minCharge.Seconds())/weight - ticket.charged
	owner.tag = min(owner.tag, c.virtual+maxLead.Seconds()/weight)
	owner.average = averaged(owner.average, took)
	c.average = averaged(c.average, took)
}

func averaged(average, took float64) float64 {
	if average == 0 {
		return took
	}
	return average + averageWeight*(min(took, maxSample*average)-average)
}

// next returns the ticket that is due, or nil if none may start.
func (c *Core) next() *Ticket {
	if len(c.priority) > 0 {
		return c.priority[0]
	}
	var best *Ticket
	for _, owner := range c.customers {
		if best != nil && owner.tag > best.owner.tag {
			continue
		}
		ticket := c.startable(owner)
		if ticket == nil {
			continue
		}
		if best == nil || owner.tag < best.owner.tag || ticket.sequence < best.sequence {
			best = ticket
		}
	}
	return best
}

// startable returns the customer's first ticket that may start. Batches that
// would open a transaction beyond MaxPinned let others pass.
func (c *Core) startable(owner *customer) *Ticket {
	full := c.MaxPinned > 0 && c.pinned+c.pinning >= c.MaxPinned
	for _, ticket := range owner.queue {
		if !full || !ticket.Pins {
			return ticket
		}
	}
	return nil
}

// remove takes a waiting ticket out of its queue.
func (c *Core) remove(ticket *Ticket) {
	list := &ticket.owner.queue
	if ticket.Priority {
		list = &c.priority
	}
	for i, other := range *list {
		if other == ticket {
			*list = append((*list)[:i], (*list)[i+1:]...)
			c.queued--
			return
		}
	}
}

func (c *Core) share(name string) Share {
	share := c.shares[name]
	share.Weight = max(1, share.Weight)
	return share
}

func (c *Core) customer(name string) *customer {
	owner, ok := c.customers[name]
	if !ok {
		owner = &customer{name: name, share: c.share(name), tag: c.virtual, average: c.average}
		if c.customers == nil {
			c.customers = make(map[string]*customer)
		}
		c.customers[name] = owner
	}
	return owner
}

// forget drops a customer that has nothing here and no lead to remember.
func (c *Core) forget(owner *customer) {
	if owner.tickets == 0 && owner.tag <= c.virtual {
		delete(c.customers, owner.name)
	}
}
