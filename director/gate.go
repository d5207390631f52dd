package director

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"github.com/endiveturn/endiveturn/connector"
)

// A rank orders statements that wait for a database: those of open transactions
// come first, since they hold connections and locks; then the route's priority
// decides, and then who has to be answered earlier.
type rank struct {
	open     bool
	priority int
	due      time.Time
}

func (r rank) before(other rank) bool {
	if r.open != other.open {
		return r.open
	}
	if r.priority != other.priority {
		return r.priority < other.priority
	}
	return r.due.Before(other.due)
}

// A gate bounds the statements that a host has running at a database, so that
// under overload they queue here by rank and not there by arrival.
type gate struct {
	mu sync.Mutex
	// limit is at least 1 once it is set.
	limit   int
	running int
	queue   gateQueue
}

type gateWaiter struct {
	rank rank
	// index is the waiter's place in the queue, -1 once it has left.
	index   int
	entered chan struct{}
}

// setLimit changes the bound; what runs beyond it goes on.
func (g *gate) setLimit(limit int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit = max(1, limit)
	g.admit()
}

// enter waits for its turn, at most until the deadline.
func (g *gate) enter(ctx context.Context, r rank, deadline time.Time) error {
	g.mu.Lock()
	if g.running < max(1, g.limit) && len(g.queue) == 0 {
		g.running++
		g.mu.Unlock()
		return nil
	}
	w := &gateWaiter{rank: r, entered: make(chan struct{})}
	heap.Push(&g.queue, w)
	g.mu.Unlock()
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-w.entered:
		return nil
	case <-timer.C:
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if w.index < 0 {
		return nil
	}
	heap.Remove(&g.queue, w.index)
	return connector.ErrQueueTimeout
}

// leave ends a turn.
func (g *gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	g.admit()
}

func (g *gate) admit() {
	for g.running < max(1, g.limit) && len(g.queue) > 0 {
		w := heap.Pop(&g.queue).(*gateWaiter)
		g.running++
		close(w.entered)
	}
}

// A gateQueue is a heap of waiters by rank.
type gateQueue []*gateWaiter

// Len implements heap.Interface.
func (q gateQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q gateQueue) Less(i, j int) bool { return q[i].rank.before(q[j].rank) }

// Swap implements heap.Interface.
func (q gateQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *gateQueue) Push(x interface{}) {
	w := x.(*gateWaiter)
	w.index = len(*q)
	*q = append(*q, w)
}

// Pop implements heap.Interface.
func (q *gateQueue) Pop() interface{} {
	old := *q
	w := old[len(old)-1]
	w.index = -1
	*q = old[:len(old)-1]
	return w
}
