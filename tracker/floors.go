// Package tracker chooses the database that serves a read. It keeps the floor of
// each session, that is, the lowest position of the log that reads of the
// session may see, and a short history of the end of the primary's log, and
// chooses a replica that has applied what the read must see. Floors, History
// and Choose hold the logic without locks or a clock; Tracker combines them
// under one mutex.
package tracker

import (
	"container/list"

	"github.com/endiveturn/endiveturn/executor"
)

// A Session identifies a session of a customer within a service.
type Session struct {
	Customer string
	Name     string
}

// Floors keeps the floor of each session. A session without an entry has the
// floor defaultFloor. It is not safe for concurrent use.
type Floors struct {
	// MaxEntries bounds the number of entries; it is at least 1.
	MaxEntries int

	// defaultFloor is at or above the position of each evicted entry.
	defaultFloor executor.Position
	// lastAcknowledged is the highest position of an acknowledged write.
	lastAcknowledged executor.Position
	entries          map[Session]*list.Element
	// order holds the entries, with the one raised last at the back. Positions
	// grow over time, so the front entry is also the first that all replicas have
	// applied.
	order list.List
}

type floorEntry struct {
	session  Session
	position executor.Position
}

// Reset removes all entries. Every acknowledged write is at or below start.
func (f *Floors) Reset(start executor.Position) {
	f.defaultFloor = start
	f.lastAcknowledged = start
	f.entries = make(map[Session]*list.Element)
	f.order.Init()
}

// Raise raises the floor of a session; a lower position has no effect.
func (f *Floors) Raise(session Session, position executor.Position) {
	f.lastAcknowledged = f.lastAcknowledged.Max(position)
	if position.Offset <= f.defaultFloor.Offset {
		return
	}
	if element, ok := f.entries[session]; ok {
		entry := element.Value.(*floorEntry)
		entry.position = entry.position.Max(position)
		f.order.MoveToBack(element)
		return
	}
	if f.entries == nil {
		f.entries = make(map[Session]*list.Element)
	}
	f.entries[session] = f.order.PushBack(&floorEntry{session: session, position: position})
	for len(f.entries) > max(1, f.MaxEntries) {
		f.evictOldest()
	}
}

// RaiseToAcknowledged raises the floor of a session to the last acknowledged
// position.
func (f *Floors) RaiseToAcknowledged(session Session) { f.Raise(session, f.lastAcknowledged) }

// Floor returns the floor of a session.
func (f *Floors) Floor(session Session) executor.Position {
	if element, ok := f.entries[session]; ok {
		return f.defaultFloor.Max(element.Value.(*floorEntry).position)
	}
	return f.defaultFloor
}

// EvictApplied evicts the entries up to the offset, which all replicas in
// service have applied. Since defaultFloor is raised to them, a replica that
// returns to service later and is behind serves no session whose entry was
// evicted.
func (f *Floors) EvictApplied(offset uint64) {
	for front := f.order.Front(); front != nil; front = f.order.Front() {
		if front.Value.(*floorEntry).position.Offset > offset {
			return
		}
		f.evictOldest()
	}
}

// Len returns the number of entries.
func (f *Floors) Len() int { return len(f.entries) }

// LastAcknowledged returns the highest position of an acknowledged write.
func (f *Floors) LastAcknowledged() executor.Position { return f.lastAcknowledged }

func (f *Floors) evictOldest() {
	front := f.order.Front()
	entry := f.order.Remove(front).(*floorEntry)
	delete(f.entries, entry.session)
	f.defaultFloor = f.defaultFloor.Max(entry.position)
}
