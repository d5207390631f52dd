package promoter

import "container/heap"

// A confirmWaiter waits until the group has confirmed an offset.
type confirmWaiter struct {
	offset uint64
	// index is the index in the heap, or -1 after the waiter was removed.
	index int
	// done receives the outcome. It is buffered, so that the sender never blocks.
	done chan error
}

// A confirmQueue orders waiters by offset, so that processing a status costs time
// only for the writes that it confirms.
type confirmQueue struct {
	waiters waiterHeap
}

func (q *confirmQueue) add(offset uint64) *confirmWaiter {
	waiter := &confirmWaiter{offset: offset, done: make(chan error, 1)}
	heap.Push(&q.waiters, waiter)
	return waiter
}

func (q *confirmQueue) remove(waiter *confirmWaiter) {
	if waiter.index >= 0 {
		heap.Remove(&q.waiters, waiter.index)
	}
}

// confirm completes the waiters for offsets up to the given one.
func (q *confirmQueue) confirm(offset uint64) {
	for len(q.waiters) > 0 && q.waiters[0].offset <= offset {
		heap.Pop(&q.waiters).(*confirmWaiter).done <- nil
	}
}

// fail completes all waiters with an error.
func (q *confirmQueue) fail(err error) {
	for len(q.waiters) > 0 {
		heap.Pop(&q.waiters).(*confirmWaiter).done <- err
	}
}

func (q *confirmQueue) empty() bool { return len(q.waiters) == 0 }

type waiterHeap []*confirmWaiter

func (h waiterHeap) Len() int           { return len(h) }
func (h waiterHeap) Less(i, j int) bool { return h[i].offset < h[j].offset }
func (h waiterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *waiterHeap) Push(x any) {
	waiter := x.(*confirmWaiter)
	waiter.index = len(*h)
	*h = append(*h, waiter)
}

func (h *waiterHeap) Pop() any {
	old := *h
	waiter := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	waiter.index = -1
	return waiter
}
