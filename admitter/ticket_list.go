package admitter

import "container/heap"

// A ticketList holds waiting tickets and gives access to the first and the last
// of them in O(log n).
type ticketList struct {
	first firstHeap
	last  lastHeap
	// work is the sum of the tickets' costs.
	work float64
}

func (l *ticketList) push(t *Ticket) {
	t.list = l
	heap.Push(&l.first, t)
	heap.Push(&l.last, t)
	l.work += t.cost
}

func (l *ticketList) remove(t *Ticket) {
	heap.Remove(&l.first, t.firstIndex)
	heap.Remove(&l.last, t.lastIndex)
	t.list = nil
	l.work -= t.cost
	if len(l.first) == 0 {
		l.work = 0
	}
}

// peekFirst returns the first ticket, or nil.
func (l *ticketList) peekFirst() *Ticket {
	if len(l.first) == 0 {
		return nil
	}
	return l.first[0]
}

// peekLast returns the last ticket, or nil.
func (l *ticketList) peekLast() *Ticket {
	if len(l.last) == 0 {
		return nil
	}
	return l.last[0]
}

func before(a, b *Ticket) bool {
	if a.start != b.start {
		return a.start < b.start
	}
	return a.sequence < b.sequence
}

// A firstHeap has the first ticket at its root.
type firstHeap []*Ticket

// Len implements heap.Interface.
func (h firstHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h firstHeap) Less(i, j int) bool { return before(h[i], h[j]) }

// Swap implements heap.Interface.
func (h firstHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].firstIndex, h[j].firstIndex = i, j
}

// Push implements heap.Interface.
func (h *firstHeap) Push(x any) {
	t := x.(*Ticket)
	t.firstIndex = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *firstHeap) Pop() any { return popTicket((*[]*Ticket)(h)) }

// A lastHeap has the last ticket at its root.
type lastHeap []*Ticket

// Len implements heap.Interface.
func (h lastHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h lastHeap) Less(i, j int) bool { return before(h[j], h[i]) }

// Swap implements heap.Interface.
func (h lastHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].lastIndex, h[j].lastIndex = i, j
}

// Push implements heap.Interface.
func (h *lastHeap) Push(x any) {
	t := x.(*Ticket)
	t.lastIndex = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *lastHeap) Pop() any { return popTicket((*[]*Ticket)(h)) }

func popTicket(tickets *[]*Ticket) *Ticket {
	old := *tickets
	last := len(old) - 1
	t := old[last]
	old[last] = nil
	*tickets = old[:last]
	return t
}
