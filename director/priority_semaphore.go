package director

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"github.com/endiveturn/endiveturn/connector"
)

// A rank orders statements that wait for a database. Statements of open
// transactions come first, since these hold connections and locks, then those
// with the better route priority, then those that are due earlier.
type rank struct {
	inTransaction bool
	priority      int
	due           time.Time
}

func (r rank) before(other rank) bool {
	if r.inTransaction != other.inTransaction {
		return r.inTransaction
	}
	if r.priority != other.priority {
		return r.priority < other.priority
	}
	return r.due.Before(other.due)
}

// A prioritySemaphore limits the statements that a host runs concurrently on a
// database, so that under overload they queue here by rank instead of at the
// database in order of arrival.
type prioritySemaphore struct {
	// now is the clock of deadlines.
	now func() time.Time

	mu sync.Mutex
	// limit is the number of permits, at least 1 once it is set.
	limit int
	held  int
	queue permitQueue
}

type permitWaiter struct {
	rank rank
	// index is the waiter's index in the heap, -1 once it was removed.
	index   int
	granted chan struct{}
}

// setLimit changes the number of permits. Permits held beyond a lower limit
// stay valid until they are released.
func (s *prioritySemaphore) setLimit(limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = max(1, limit)
	s.grantPermits()
}

// acquire waits for a permit, at most until the deadline.
func (s *prioritySemaphore) acquire(ctx context.Context, r rank, deadline time.Time) error {
	s.mu.Lock()
	if s.held < max(1, s.limit) && len(s.queue) == 0 {
		s.held++
		s.mu.Unlock()
		return nil
	}
	w := &permitWaiter{rank: r, granted: make(chan struct{})}
	heap.Push(&s.queue, w)
	s.mu.Unlock()
	timer := time.NewTimer(deadline.Sub(s.now()))
	defer timer.Stop()
	select {
	case <-w.granted:
		return nil
	case <-timer.C:
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.index < 0 {
		return nil
	}
	heap.Remove(&s.queue, w.index)
	return connector.ErrQueueTimeout
}

// release returns a permit.
func (s *prioritySemaphore) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held--
	s.grantPermits()
}

func (s *prioritySemaphore) grantPermits() {
	for s.held < max(1, s.limit) && len(s.queue) > 0 {
		w := heap.Pop(&s.queue).(*permitWaiter)
		s.held++
		close(w.granted)
	}
}

// A permitQueue is a heap of waiters ordered by rank.
type permitQueue []*permitWaiter

// Len implements heap.Interface.
func (q permitQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q permitQueue) Less(i, j int) bool { return q[i].rank.before(q[j].rank) }

// Swap implements heap.Interface.
func (q permitQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *permitQueue) Push(x interface{}) {
	w := x.(*permitWaiter)
	w.index = len(*q)
	*q = append(*q, w)
}

// Pop implements heap.Interface.
func (q *permitQueue) Pop() interface{} {
	old := *q
	w := old[len(old)-1]
	w.index = -1
	*q = old[:len(old)-1]
	return w
}
