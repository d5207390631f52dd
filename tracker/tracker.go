package tracker

import (
	"sync"
	"time"

	"github.com/endiveturn/endiveturn/executor"
)

// A Tracker keeps the floors and the history of one service. It is safe for
// concurrent use.
type Tracker struct {
	mu      sync.Mutex
	floors  Floors
	history History
	// primaryEnd is the highest known end of the primary's log.
	primaryEnd uint64
}

// A Read describes what a reading batch must see.
type Read struct {
	Session Session
	// Token is the position of a session token; it may be zero.
	Token executor.Position
	// MaxAge is the age up to which the read accepts old data; with 0 the read
	// must see the writes of its own session.
	MaxAge time.Duration
	// Excluded is the name of a replica that failed before; it may be empty.
	Excluded string
}

// SetMaxEntries bounds the number of sessions with a floor of their own.
func (t *Tracker) SetMaxEntries(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.floors.MaxEntries = n
}

// Reset starts a new term: every write acknowledged before is at or below
// start.
func (t *Tracker) Reset(start executor.Position) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.floors.Reset(start)
	t.history.Reset()
	t.primaryEnd = start.Offset
}

// Raise raises the floor of a session after one of its writes.
func (t *Tracker) Raise(session Session, position executor.Position) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.floors.Raise(session, position)
	t.primaryEnd = max(t.primaryEnd, position.Offset)
}

// RaiseToAcknowledged raises the floor of a session to the last acknowledged
// position.
func (t *Tracker) RaiseToAcknowledged(session Session) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.floors.RaiseToAcknowledged(session)
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

// RecordStatus records the end of the primary's log from the response to a
// query sent at the time, and the offset that all replicas in service have
// applied. noReplica is set if there is no such replica.
func (t *Tracker) RecordStatus(at time.Time, primaryEnd, applied uint64, noReplica bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.primaryEnd = max(t.primaryEnd, primaryEnd)
	t.history.Record(at, primaryEnd)
	if !noReplica {
		t.floors.EvictApplied(applied)
	}
}

// Choose selects the database to which a read is routed.
func (t *Tracker) Choose(read Read, replicas []Replica, now time.Time) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	requirement := ReadRequirement{Token: read.Token, Floor: t.floors.Floor(read.Session), Excluded: read.Excluded}
	requirement.Floor = requirement.Floor.Max(read.Token)
	if read.MaxAge > 0 {
		requirement.StaleFloor, requirement.AcceptsStale = t.history.EndAt(now.Add(-read.MaxAge))
	}
	return Choose(requirement, replicas, t.primaryEnd)
}
