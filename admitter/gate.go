package admitter

import (
	"context"
	"sync"
	"time"
)

// A Gate is a Queue that is safe for concurrent use: requests wait in Acquire for
// their slots. Its exported field is set before first use.
type Gate struct {
	// Now returns the time with a monotonic reading.
	Now func() time.Time

	mu       sync.Mutex
	queue    Queue
	throttle Throttle
}

// Throttle refuses an attempt that needs a new connection if too few of the recent
// ones succeeded.
func (g *Gate) Throttle(class Class, uniform func() float64) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Now()
	if g.throttle.Admit(class.level(), uniform, now) {
		return nil
	}
	return &Refusal{Reason: ReasonThrottled, RetryAfter: g.queue.retryAfter(initialSlotTime.Seconds(), now)}
}

// RecordAttempt records whether an attempt that Throttle admitted got a connection.
func (g *Gate) RecordAttempt(succeeded bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.throttle.Record(succeeded, g.Now())
}

// SetSlots sets the number of requests that may run concurrently.
func (g *Gate) SetSlots(slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	notify(g.queue.SetSlots(slots, g.Now()))
}

// Backlog returns the time in which the slots can complete what runs and waits.
func (g *Gate) Backlog() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Backlog()
}

// Acquire waits for a slot. The error is a Refusal; no slot is held then.
func (g *Gate) Acquire(ctx context.Context, request Request) (*Ticket, error) {
	t := g.add(request)
	if t.ready == nil {
		return t, t.err()
	}
	timer := time.NewTimer(t.expires.Sub(g.Now()))
	defer timer.Stop()
	for {
		select {
		case <-t.ready:
			return t, t.err()
		case <-ctx.Done():
			g.withdraw(t)
			return t, t.err()
		case <-timer.C:
			timer.Reset(g.expire(t))
		}
	}
}

// add adds the request. The ticket has a channel only if it waits.
func (g *Gate) add(request Request) *Ticket {
	g.mu.Lock()
	defer g.mu.Unlock()
	t, changed := g.queue.Add(request, g.Now())
	if t.State == Waiting {
		t.ready = make(chan struct{})
	}
	notify(changed)
	return t
}

// withdraw withdraws the ticket if it still waits. A slot that it was granted
// meanwhile remains with the caller.
func (g *Gate) withdraw(t *Ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.State == Waiting {
		notify(g.queue.Release(t, false, g.Now()))
	}
}

// expire lets the ticket expire and returns when to call it again.
func (g *Gate) expire(t *Ticket) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Now()
	notify(g.queue.Expire(t, now))
	return max(time.Millisecond, t.expires.Sub(now))
}

// Release returns the slot of a granted ticket. learn is set if the time since the
// grant is that of a request that was served.
func (g *Gate) Release(t *Ticket, learn bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	notify(g.queue.Release(t, learn, g.Now()))
}

// err returns the refusal of a refused ticket.
func (t *Ticket) err() error {
	if t.Refusal != nil {
		return t.Refusal
	}
	return nil
}

func notify(changed []*Ticket) {
	for _, t := range changed {
		if t.ready != nil {
			close(t.ready)
		}
	}
}
