package tracker

import (
	"sync"
	"time"

	"github.com/endiveturn/endiveturn/executor"
)

// A Tracker keeps floors and history of one service. It is safe for concurrent
// use.
type Tracker struct {
	mu      sync.Mutex
	floors  Floors
	history History
	// end is the highest offset that the primary is known to have.
	end uint64
}

// A Read says what a batch that reads asks for.
type Read struct {
	Session Session
	// Token is the position of a session token; it may be zero.
	Token executor.Position
	// MaxAge is the age up to which the read accepts old data; 0 asks for the
	// session's own writes.
	MaxAge time.Duration
	// Excluded names a replica that failed before.
	Excluded string
}

// SetMaxEntries bounds the number of sessions with a floor of their own.
func (t *Tracker) SetMaxEntries(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.floors.MaxEntries = n
}

// Reset begins a term: every write acknowledged before is at or below start.
func (t *Tracker) Reset(start executor.Position) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.floors.Reset(start)
	t.history.Reset()
	t.end = start.Offset
}

// Raise sets the floor of a session after one of its writes.
func (t *Tracker) Raise(session Session, position executor.Position) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.floors.Raise(session, position)
	t.end = max(t.end, position.Offset)
}

// Attach gives a session the last acknowledged position as its floor.
func (t *Tracker) Attach(session Session) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.floors.Attach(session)
}

// Floor returns the floor of a session.
func (t *Tracker) Floor(session Session) executor.Position {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.floors.Floor(session)
}

// Len returns the number of sessions with a floor of their own.
func (t *Tracker) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.floors.Len()
}

// Observe takes in where the primary's log ended in the answer to a query sent
// at the time, and the offset that all replicas in service have applied; none
// says that there is no such replica.
func (t *Tracker) Observe(at time.Time, primaryEnd, applied uint64, none bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.end = max(t.end, primaryEnd)
	t.history.Observe(at, primaryEnd)
	if !none {
		t.floors.Applied(applied)
	}
}

// Choose decides where a read goes.
func (t *Tracker) Choose(read Read, replicas []Replica, now time.Time) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	demand := Demand{Token: read.Token, Floor: t.floors.Floor(read.Session), Excluded: read.Excluded}
	demand.Floor = demand.Floor.Max(read.Token)
	if read.MaxAge > 0 {
		demand.OldestEnd, demand.Aged = t.history.End(now.Add(-read.MaxAge))
	}
	return Choose(demand, replicas, t.end)
}
