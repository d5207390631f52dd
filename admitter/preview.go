package admitter

import (
	"slices"
	"time"
)

// A Preview is what would happen to a request that arrived now.
type Preview struct {
	// State is Granted, Waiting or Refused. Refusal is set in state Refused.
	State   State
	Refusal *Refusal
	// Slots, Running and Queued are the numbers of slots, of requests that hold one, and of
	// those that wait. Backlog is the time in which the slots can complete them.
	Slots, Running, Queued int
	Backlog                time.Duration
	// Throttled is the share of new connections for such requests that Throttle refuses.
	Throttled float64
}

// Preview returns what Acquire would do with a request now. It changes nothing.
func (g *Gate) Preview(request Request) Preview {
	g.mu.Lock()
	defer g.mu.Unlock()
	now, queue, throttle := g.Now(), g.queue.clone(), g.throttle
	throttle.recover(now)
	p := Preview{Slots: max(1, queue.slots), Running: queue.running, Queued: queue.queued, Backlog: queue.Backlog()}
	p.Throttled = throttle.refusedShare(request.Class.level())
	ticket, _ := queue.Add(request, now)
	p.State, p.Refusal = ticket.State, ticket.Refusal
	return p
}

// clone returns a queue in the same state that shares nothing with this one but the slots.
// Its tickets notify nobody.
func (q *Queue) clone() *Queue {
	c := *q
	c.changed, c.classes = nil, nil
	c.byKey, c.customers = make(map[Class]*class, len(q.byKey)), make(map[string]*customer, len(q.customers))
	customers := make(map[*customer]*customer, len(q.customers))
	for name, from := range q.customers {
		copied := *from
		c.customers[name], customers[from] = &copied, &copied
	}
	for _, from := range q.classes {
		copied := *from
		c.byKey[copied.key] = &copied
		c.classes = append(c.classes, &copied)
	}
	copies := make(map[*Ticket]*Ticket)
	copyOf := func(t *Ticket) *Ticket {
		if copies[t] == nil {
			copied := *t
			copied.class, copied.customer, copied.ready = c.byKey[t.class.key], customers[t.customer], nil
			copies[t] = &copied
		}
		return copies[t]
	}
	c.transactions.detach(copyOf)
	c.late.detach(copyOf)
	for _, class := range c.classes {
		class.waiting.detach(copyOf)
	}
	return &c
}

// detach replaces the tickets of a copied list by their copies.
func (l *ticketList) detach(copyOf func(*Ticket) *Ticket) {
	l.first, l.last = slices.Clone(l.first), slices.Clone(l.last)
	for i, t := range l.first {
		l.first[i] = copyOf(t)
		l.first[i].list = l
	}
	for i, t := range l.last {
		l.last[i] = copyOf(t)
	}
}

// Queued returns the number of waiting requests.
func (g *Gate) Queued() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.queued
}
