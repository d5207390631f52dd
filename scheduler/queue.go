package scheduler

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// rampTick is how often waiting batches look for slots that a ramp has added.
const rampTick = 50 * time.Millisecond

// Queue is the driver of a Core: batches wait in Acquire for their slots. It is
// safe for concurrent use. Its exported field is set before first use.
type Queue struct {
	// Now returns the time with a monotonic reading.
	Now func() time.Time

	mu   sync.Mutex
	core Core
	// load is the present load, which each read asks of all replicas; publish
	// replaces it after a change.
	load atomic.Uint64
	// ramping is set while the number of slots depends on the time, so that load
	// does not tell it.
	ramping atomic.Bool
}

// A Slot is the right to run one batch. Release must be called once the
// database is done with it; further calls do nothing.
type Slot struct {
	queue  *Queue
	ticket *Ticket
	once   sync.Once
}

// Load says how busy a database is.
type Load struct {
	Slots   int
	Running int
	Queued  int
	Pinned  int
}

// Relative returns running and queued batches over slots.
func (l Load) Relative() float64 {
	return float64(l.Running+l.Queued) / float64(max(1, l.Slots))
}

// Configure sets slots, the bound of open transactions and the shares.
func (q *Queue) Configure(slots, maxPinned int, shares map[string]Share) {
	q.mu.Lock()
	defer q.unlock()
	q.core.SetSlots(slots)
	q.core.MaxPinned = maxPinned
	q.core.SetShares(shares)
	q.dispatch()
}

// Ramp starts the ramp of a database that returns to service.
func (q *Queue) Ramp() {
	q.mu.Lock()
	defer q.unlock()
	q.core.Ramp(q.Now())
	q.ramping.Store(true)
}

// Load returns the present load.
func (q *Queue) Load() Load {
	if q.ramping.Load() {
		return q.rampingLoad()
	}
	packed := q.load.Load()
	part := func(i int) int { return int(uint16(packed >> (i * loadBits))) }
	return Load{Slots: part(0), Running: part(1), Queued: part(2), Pinned: part(3)}
}

func (q *Queue) rampingLoad() Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.Now()
	q.ramping.Store(q.core.Ramping(now))
	return Load{Slots: q.core.Slots(now), Running: q.core.Running(), Queued: q.core.Queued(), Pinned: q.core.Pinned()}
}

// loadBits is the size of each part of a packed load; larger numbers count as
// the largest one.
const loadBits = 16

// unlock publishes the load and unlocks mu.
func (q *Queue) unlock() {
	packed := uint64(0)
	for i, part := range [...]int{q.core.slots, q.core.Running(), q.core.Queued(), q.core.Pinned()} {
		packed |= uint64(max(0, min(part, 1<<loadBits-1))) << (i * loadBits)
	}
	q.load.Store(packed)
	q.mu.Unlock()
}

// Pin counts a transaction that keeps a connection without a slot.
func (q *Queue) Pin() {
	q.mu.Lock()
	defer q.unlock()
	q.core.Pin()
}

// Unpin ends what Pin began and lets the next transaction open.
func (q *Queue) Unpin() {
	q.mu.Lock()
	defer q.unlock()
	q.core.Unpin()
	q.dispatch()
}

// Acquire waits for a slot. Errors are ErrQueueFull, ErrTooLate and the cause of
// ctx; with any of them nothing is held.
func (q *Queue) Acquire(ctx context.Context, request Request) (*Slot, error) {
	slot, err := q.enter(request)
	if err != nil || slot.ticket.ready == nil {
		return slot, err
	}
	timer := time.NewTimer(q.patience(request.Deadline))
	defer timer.Stop()
	for {
		select {
		case <-slot.ticket.ready:
			return q.settle(slot)
		case <-ctx.Done():
			slot.Release()
			return nil, errors.WithStack(context.Cause(ctx))
		case <-timer.C:
			if q.expired(slot) {
				return nil, errors.WithStack(ErrTooLate)
			}
			timer.Reset(q.patience(request.Deadline))
		}
	}
}

// enter adds a request and tries to start it at once; the ticket of the slot has
// a ready channel only if it must wait.
func (q *Queue) enter(request Request) (*Slot, error) {
	q.mu.Lock()
	defer q.unlock()
	now := q.Now()
	ticket, err := q.core.Add(request, now)
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

// settle returns the slot of a ticket whose state has changed.
func (q *Queue) settle(slot *Slot) (*Slot, error) {
	q.mu.Lock()
	defer q.unlock()
	if slot.ticket.State == Granted {
		return slot, nil
	}
	return nil, errors.WithStack(ErrTooLate)
}

// expired withdraws a waiting ticket whose deadline has passed. Before that it
// uses slots that a ramp has added.
func (q *Queue) expired(slot *Slot) bool {
	q.mu.Lock()
	defer q.unlock()
	now := q.Now()
	if slot.ticket.State == Waiting && !now.Before(slot.ticket.Deadline) {
		q.core.Done(slot.ticket, now)
		return true
	}
	q.dispatch()
	return false
}

func (q *Queue) patience(deadline time.Time) time.Duration {
	q.mu.Lock()
	defer q.unlock()
	now := q.Now()
	left := max(0, deadline.Sub(now))
	if q.core.Ramping(now) {
		return min(left, rampTick)
	}
	return left
}

// dispatch wakes the batches that got a slot. The caller holds mu.
func (q *Queue) dispatch() { q.dispatchAt(q.Now()) }

func (q *Queue) dispatchAt(now time.Time) {
	for _, ticket := range q.core.Dispatch(now) {
		if ticket.ready != nil {
			close(ticket.ready)
		}
	}
}

// Release gives the slot back and starts the next batch.
func (s *Slot) Release() {
	s.once.Do(func() {
		s.queue.mu.Lock()
		defer s.queue.unlock()
		now := s.queue.Now()
		s.queue.core.Done(s.ticket, now)
		s.queue.dispatchAt(now)
	})
}
