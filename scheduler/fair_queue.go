// Package scheduler shares the slots of one database fairly between customers.
// FairQueue is the scheduling algorithm, a weighted start-time fair queue
// without locks, goroutines or a clock. Queue makes it safe for concurrent use
// and makes batches wait for their slots.
package scheduler

import (
	"time"

	"github.com/pkg/errors"
)

const (
	// RampUpDuration is the time in which the slots of a database that returns to
	// service grow from rampUpInitialShare to all of them.
	RampUpDuration = 5 * time.Second
	// rampUpInitialShare is the share of the slots with which the ramp-up begins.
	rampUpInitialShare = 0.1
	// smoothingFactor is the weight of a new sample in a moving average of service
	// times. With a larger one a single slow statement causes refusals.
	smoothingFactor = 0.05
	// maxSampleRatio bounds a sample relative to the average. Without the bound,
	// batches that hang on a failed database cause refusals after it has returned.
	maxSampleRatio = 4
	// minCharge is the least time charged for a batch, so that slots are shared by
	// number of batches when these are too short to measure.
	minCharge = 100 * time.Microsecond
	// maxLead bounds how far a customer of weight 1 can get ahead of the others in
	// slot time on slots that no other customer requested, and thus how long it has
	// to wait for the others to catch up.
	maxLead = 2 * time.Second
)

// Sentinel errors of refused requests; nothing of the batch has run.
var (
	// ErrQueueFull means that the customer already has the maximum number of
	// waiting batches.
	ErrQueueFull = errors.New("queue of the customer is full")
	// ErrTooLate means that the batch did not get a slot before its deadline or is
	// not expected to.
	ErrTooLate = errors.New("expected wait exceeds the deadline")
)

// A Share is the weight and the queue limit of a customer at a database.
type Share struct {
	// Weight is relative to the weights of the other customers; it is at least 1.
	Weight int
	// MaxQueued is the number of batches that may wait; it is at least 1.
	MaxQueued int
}

// A Request describes a batch that needs a slot.
type Request struct {
	// Customer is charged for the batch.
	Customer string
	// Deadline is the time before which the slot must be granted.
	Deadline time.Time
	// Priority is set for a batch of an open transaction, which occupies a
	// connection while it waits.
	Priority bool
	// Pins is set for a batch that opens a transaction and thus keeps its
	// connection after the slot is released.
	Pins bool
}

// State is the state of a ticket.
type State uint8

// The states of a ticket.
const (
	// Waiting tickets have no slot yet.
	Waiting State = iota
	// Granted tickets hold a slot until Finish is called.
	Granted
	// Expired tickets passed their deadline without a slot.
	Expired
	// Finished tickets have released their slot or were withdrawn.
	Finished
)

// A Ticket is an accepted request.
type Ticket struct {
	Request
	// State changes only within calls of the FairQueue.
	State State

	owner    *customerQueue
	started  time.Time
	charged  float64
	sequence uint64
	// ready is closed by Queue when State changes; it is nil if the ticket did not
	// have to wait.
	ready chan struct{}
}

// opensTransaction reports whether the batch opens a transaction. A batch of an
// open transaction already has its connection.
func (t *Ticket) opensTransaction() bool { return t.Pins && !t.Priority }

// customerQueue is the queue of one customer. It is kept while the customer has
// waiting or granted tickets or startTag is ahead of the virtual time.
type customerQueue struct {
	name  string
	share Share
	// startTag is the virtual time at which the next batch of the customer is due:
	// the slot time in seconds that the customer has used, divided by its weight.
	startTag           float64
	averageServiceTime float64
	queue              []*Ticket
	// tickets counts waiting and granted tickets, including those with Priority.
	tickets int
}

// FairQueue selects the batch that gets the next slot. It is not safe for
// concurrent use, starts no goroutine and takes the time as an argument.
type FairQueue struct {
	// MaxPinned bounds the sum of open transactions and granted tickets with Pins;
	// 0 means no bound.
	MaxPinned int

	slots   int
	running int
	pinned  int
	// grantedPins counts the granted tickets that open a transaction.
	grantedPins        int
	rampUpStart        time.Time
	virtualTime        float64
	averageServiceTime float64
	sequence           uint64
	shares             map[string]Share
	customers          map[string]*customerQueue
	priority           []*Ticket
	queued             int
}

// SetSlots sets the number of batches that may run concurrently.
func (f *FairQueue) SetSlots(slots int) { f.slots = slots }

// SetShares sets the shares of all customers; others get weight 1 and no queue
// limit. The map must not be changed afterwards.
func (f *FairQueue) SetShares(shares map[string]Share) {
	f.shares = shares
	for name, entry := range f.customers {
		entry.share = f.shareOf(name)
	}
}

// StartRampUp starts the ramp-up of a database that returns to service.
func (f *FairQueue) StartRampUp(now time.Time) { f.rampUpStart = now }

// RampingUp reports whether the number of slots is still growing.
func (f *FairQueue) RampingUp(now time.Time) bool {
	return !f.rampUpStart.IsZero() && now.Sub(f.rampUpStart) < RampUpDuration
}

// Slots returns the number of usable slots at the time, at least 1.
func (f *FairQueue) Slots(now time.Time) int {
	if !f.RampingUp(now) {
		return f.slots
	}
	part := rampUpInitialShare + (1-rampUpInitialShare)*float64(now.Sub(f.rampUpStart))/float64(RampUpDuration)
	return max(1, int(part*float64(f.slots)))
}

// Running returns the number of granted tickets.
func (f *FairQueue) Running() int { return f.running }

// Queued returns the number of waiting tickets.
func (f *FairQueue) Queued() int { return f.queued }

// Pinned returns the number of open transactions counted by Pin.
func (f *FairQueue) Pinned() int { return f.pinned }

// Pin counts an open transaction; Unpin must follow.
func (f *FairQueue) Pin() { f.pinned++ }

// Unpin removes a transaction that Pin counted.
func (f *FairQueue) Unpin() { f.pinned-- }

// Add accepts a request. The ticket waits until Dispatch grants it. Errors are
// ErrQueueFull and ErrTooLate.
func (f *FairQueue) Add(request Request, now time.Time) (*Ticket, error) {
	owner := f.customerQueue(request.Customer)
	if !request.Priority && len(owner.queue) >= owner.share.MaxQueued && owner.share.MaxQueued > 0 {
		return nil, errors.Wrapf(ErrQueueFull, "customer %s", request.Customer)
	}
	if wait := f.expectedWait(owner, request.Priority, now); now.Add(wait).After(request.Deadline) {
		f.removeIfIdle(owner)
		return nil, errors.Wrapf(ErrTooLate, "expected %s", wait.Round(time.Millisecond))
	}
	f.sequence++
	ticket := &Ticket{Request: request, owner: owner, sequence: f.sequence}
	if request.Priority {
		f.priority = append(f.priority, ticket)
	} else {
		if len(owner.queue) == 0 {
			owner.startTag = max(owner.startTag, f.virtualTime)
		}
		owner.queue = append(owner.queue, ticket)
	}
	f.queued++
	owner.tickets++
	return ticket, nil
}

// Dispatch grants free slots to waiting tickets and returns the tickets whose
// state has changed: to Granted, or to Expired if their deadline had passed.
func (f *FairQueue) Dispatch(now time.Time) []*Ticket {
	var changed []*Ticket
	slots := f.Slots(now)
	for f.running < slots && f.queued > 0 {
		ticket := f.nextTicket()
		if ticket == nil {
			break
		}
		f.dequeue(ticket)
		changed = append(changed, ticket)
		if !now.Before(ticket.Deadline) {
			ticket.State = Expired
			ticket.owner.tickets--
			f.removeIfIdle(ticket.owner)
			continue
		}
		f.grant(ticket, now)
	}
	return changed
}

// grant grants a slot to a ticket and charges the customer the average service
// time of its batches as an estimate.
func (f *FairQueue) grant(ticket *Ticket, now time.Time) {
	owner := ticket.owner
	if !ticket.Priority {
		f.virtualTime = max(f.virtualTime, owner.startTag)
	}
	ticket.State = Granted
	ticket.started = now
	ticket.charged = max(owner.averageServiceTime, minCharge.Seconds()) / float64(owner.share.Weight)
	owner.startTag += ticket.charged
	f.running++
	if ticket.opensTransaction() {
		f.grantedPins++
	}
}

// Finish finishes a ticket: a granted one releases its slot, a waiting one is
// withdrawn.
func (f *FairQueue) Finish(ticket *Ticket, now time.Time) {
	owner := ticket.owner
	switch ticket.State {
	case Waiting:
		f.dequeue(ticket)
		owner.tickets--
	case Granted:
		f.running--
		owner.tickets--
		if ticket.opensTransaction() {
			f.grantedPins--
		}
		f.charge(ticket, now.Sub(ticket.started).Seconds())
	case Expired, Finished:
	}
	ticket.State = Finished
	f.removeIfIdle(owner)
}

// charge replaces the estimate charged for a ticket with its actual slot time.
func (f *FairQueue) charge(ticket *Ticket, slotTime float64) {
	owner := ticket.owner
	weight := float64(owner.share.Weight)
	owner.startTag += max(slotTime, minCharge.Seconds())/weight - ticket.charged
	owner.startTag = min(owner.startTag, f.virtualTime+maxLead.Seconds()/weight)
	owner.averageServiceTime = updateAverage(owner.averageServiceTime, slotTime)
	f.averageServiceTime = updateAverage(f.averageServiceTime, slotTime)
}

func updateAverage(average, slotTime float64) float64 {
	if average == 0 {
		return slotTime
	}
	return average + smoothingFactor*(min(slotTime, maxSampleRatio*average)-average)
}

// nextTicket returns the ticket to be granted next, or nil if none may start.
func (f *FairQueue) nextTicket() *Ticket {
	if len(f.priority) > 0 {
		return f.priority[0]
	}
	var best *Ticket
	for _, owner := range f.customers {
		if best != nil && owner.startTag > best.owner.startTag {
			continue
		}
		ticket := f.startable(owner)
		if ticket == nil {
			continue
		}
		if best == nil || owner.startTag < best.owner.startTag || ticket.sequence < best.sequence {
			best = ticket
		}
	}
	return best
}

// startable returns the first ticket of the customer that may start. Batches
// that would exceed MaxPinned by opening a transaction are skipped.
func (f *FairQueue) startable(owner *customerQueue) *Ticket {
	pinLimitReached := f.MaxPinned > 0 && f.pinned+f.grantedPins >= f.MaxPinned
	for _, ticket := range owner.queue {
		if !pinLimitReached || !ticket.Pins {
			return ticket
		}
	}
	return nil
}

// dequeue removes a waiting ticket from its queue.
func (f *FairQueue) dequeue(ticket *Ticket) {
	list := &ticket.owner.queue
	if ticket.Priority {
		list = &f.priority
	}
	for i, other := range *list {
		if other == ticket {
			*list = append((*list)[:i], (*list)[i+1:]...)
			f.queued--
			return
		}
	}
}

func (f *FairQueue) shareOf(name string) Share {
	share := f.shares[name]
	share.Weight = max(1, share.Weight)
	return share
}

func (f *FairQueue) customerQueue(name string) *customerQueue {
	owner, ok := f.customers[name]
	if !ok {
		owner = &customerQueue{name: name, share: f.shareOf(name), startTag: f.virtualTime, averageServiceTime: f.averageServiceTime}
		if f.customers == nil {
			f.customers = make(map[string]*customerQueue)
		}
		f.customers[name] = owner
	}
	return owner
}

// removeIfIdle removes a customer without tickets whose startTag is not ahead
// of the virtual time.
func (f *FairQueue) removeIfIdle(owner *customerQueue) {
	if owner.tickets == 0 && owner.startTag <= f.virtualTime {
		delete(f.customers, owner.name)
	}
}
