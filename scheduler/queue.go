package scheduler

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// rampUpPollInterval is how often waiting batches check for slots added by a
// ramp-up.
const rampUpPollInterval = 50 * time.Millisecond

// Queue is a FairQueue that is safe for concurrent use: batches wait in Acquire
// for their slots. Its exported field is set before first use.
type Queue struct {
	// Now returns the time with a monotonic reading.
	Now func() time.Time

	mu        sync.Mutex
	fairQueue FairQueue
	// packedLoad is the current load. The routing of each read compares the loads
	// of all replicas, so it is read without mu. publishAndUnlock replaces it after
	// a change.
	packedLoad atomic.Uint64
	// rampingUp is set while the number of slots depends on the time, so that
	// packedLoad does not contain it.
	rampingUp atomic.Bool
}

// A Slot is the right to run one batch. Release must be called once the
// database has finished the batch; further calls do nothing.
type Slot struct {
	queue  *Queue
	ticket *Ticket
	once   sync.Once
}

// Load describes the load of a database.
type Load struct {
	Slots   int
	Running int
	Queued  int
	Pinned  int
}

// PerSlot returns the number of running and queued batches per slot.
func (l Load) PerSlot() float64 {
	return float64(l.Running+l.Queued) / float64(max(1, l.Slots))
}

// Configure sets the slots, the bound on open transactions and the shares.
func (q *Queue) Configure(slots, maxPinned int, shares map[string]Share) {
	q.mu.Lock()
	defer q.publishAndUnlock()
	q.fairQueue.SetSlots(slots)
	q.fairQueue.MaxPinned = maxPinned
	q.fairQueue.SetShares(shares)
	q.dispatch()
}

// StartRampUp starts the ramp-up of a database that returns to service.
func (q *Queue) StartRampUp() {
	q.mu.Lock()
	defer q.publishAndUnlock()
	q.fairQueue.StartRampUp(q.Now())
	q.rampingUp.Store(true)
}

// Load returns the current load.
func (q *Queue) Load() Load {
	if q.rampingUp.Load() {
		return q.rampUpLoad()
	}
	packed := q.packedLoad.Load()
	part := func(i int) int { return int(uint16(packed >> (i * loadBits))) }
	return Load{Slots: part(0), Running: part(1), Queued: part(2), Pinned: part(3)}
}

func (q *Queue) rampUpLoad() Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.Now()
	q.rampingUp.Store(q.fairQueue.RampingUp(now))
	return Load{Slots: q.fairQueue.Slots(now), Running: q.fairQueue.Running(), Queued: q.fairQueue.Queued(), Pinned: q.fairQueue.Pinned()}
}

// loadBits is the number of bits of each part of a packed load; larger numbers
// are stored as the largest one.
const loadBits = 16

// publishAndUnlock publishes the load and unlocks mu.
func (q *Queue) publishAndUnlock() {
	packed := uint64(0)
	for i, part := range [...]int{q.fairQueue.slots, q.fairQueue.Running(), q.fairQueue.Queued(), q.fairQueue.Pinned()} {
		packed |= uint64(max(0, min(part, 1<<loadBits-1))) << (i * loadBits)
	}
	q.packedLoad.Store(packed)
	q.mu.Unlock()
}

// Pin counts a transaction that keeps a connection without a slot.
func (q *Queue) Pin() {
	q.mu.Lock()
	defer q.publishAndUnlock()
	q.fairQueue.Pin()
}

// Unpin removes a transaction that Pin counted, so that another transaction may
// be opened.
func (q *Queue) Unpin() {
	q.mu.Lock()
	defer q.publishAndUnlock()
	q.fairQueue.Unpin()
	q.dispatch()
}

// Acquire waits for a slot. Errors are ErrQueueFull, ErrTooLate and the cause
// of ctx; no slot is held after an error.
func (q *Queue) Acquire(ctx context.Context, request Request) (*Slot, error) {
	slot, err := q.enqueue(request)
	if err != nil || slot.ticket.ready == nil {
		return slot, err
	}
	timer := time.NewTimer(q.waitDuration(request.Deadline))
	defer timer.Stop()
	for {
		select {
		case <-slot.ticket.ready:
			return q.slotIfGranted(slot)
		case <-ctx.Done():
			slot.Release()
			return nil, errors.WithStack(context.Cause(ctx))
		case <-timer.C:
			if q.expireOrDispatch(slot) {
				return nil, errors.WithStack(ErrTooLate)
			}
			timer.Reset(q.waitDuration(request.Deadline))
		}
	}
}

// enqueue adds a request and tries to grant it at once. The ticket of the slot
// has a ready channel only if it must wait.
func (q *Queue) enqueue(request Request) (*Slot, error) {
	q.mu.Lock()
	defer q.publishAndUnlock()
	now := q.Now()
	ticket, err := q.fairQueue.Add(request, now)
	if err != nil {
		return nil, err
	}
	q.dispatchAt(now)
	if ticket.State == Expired {
		return nil, errors.WithStack(ErrTooLate)
	}
	if ticket.State == Waiting {
		ticket.ready = make(chan struct{})
	}
	return &Slot{queue: q, ticket: ticket}, nil
}

// slotIfGranted returns the slot if its ticket was granted, and ErrTooLate
// otherwise.
func (q *Queue) slotIfGranted(slot *Slot) (*Slot, error) {
	q.mu.Lock()
	defer q.publishAndUnlock()
	if slot.ticket.State == Granted {
		return slot, nil
	}
	return nil, errors.WithStack(ErrTooLate)
}

// expireOrDispatch withdraws a waiting ticket whose deadline has passed and
// reports whether it did. Otherwise it dispatches slots that a ramp-up has
// added.
func (q *Queue) expireOrDispatch(slot *Slot) bool {
	q.mu.Lock()
	defer q.publishAndUnlock()
	now := q.Now()
	if slot.ticket.State == Waiting && !now.Before(slot.ticket.Deadline) {
		q.fairQueue.Finish(slot.ticket, now)
		return true
	}
	q.dispatch()
	return false
}

func (q *Queue) waitDuration(deadline time.Time) time.Duration {
	q.mu.Lock()
	defer q.publishAndUnlock()
	now := q.Now()
	remaining := max(0, deadline.Sub(now))
	if q.fairQueue.RampingUp(now) {
		return min(remaining, rampUpPollInterval)
	}
	return remaining
}

// dispatch grants free slots and wakes the batches whose tickets changed. The
// caller holds mu.
func (q *Queue) dispatch() { q.dispatchAt(q.Now()) }

func (q *Queue) dispatchAt(now time.Time) {
	for _, ticket := range q.fairQueue.Dispatch(now) {
		if ticket.ready != nil {
			close(ticket.ready)
		}
	}
}

// Release releases the slot and starts the next batch.
func (s *Slot) Release() {
	s.once.Do(func() {
		s.queue.mu.Lock()
		defer s.queue.publishAndUnlock()
		now := s.queue.Now()
		s.queue.fairQueue.Finish(s.ticket, now)
		s.queue.dispatchAt(now)
	})
}
