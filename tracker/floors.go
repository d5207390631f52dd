// Package tracker decides which database serves a read: it keeps the floors of
// sessions and a short history of positions, and chooses a replica that has
// applied what the read must see. Floors, History and Choose are the pure core;
// Tracker joins them under one mutex.
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

// Floors keeps the lowest position that reads of each session may see. A session
// without an entry has the floor floorAll. It is not safe for concurrent use.
type Floors struct {
	// MaxEntries bounds the table, at least 1.
	MaxEntries int

	// floorAll is at or above every position of a dropped entry.
	floorAll executor.Position
	// last is the highest position of an acknowledged write.
	last    executor.Position
	entries map[Session]*list.Element
	// order holds the entries, the one raised last at the back. Positions grow
	// over time, so the front is also the first that all replicas have applied.
	order list.List
}

type floor struct {
	session  Session
	position executor.Position
}

// Reset forgets all sessions. Every acknowledged write is at or below start.
func (f *Floors) Reset(start executor.Position) {
	f.floorAll = start
	f.last = start
	f.entries = make(map[Session]*list.Element)
	f.order.Init()
}

// Raise raises the floor of a session; a lower position changes nothing.
func (f *Floors) Raise(session Session, position executor.Position) {
	f.last = f.last.Max(position)
	if position.Offset <= f.floorAll.Offset {
		return
	}
	if element, ok := f.entries[session]; ok {
		entry := element.Value.(*floor)
		entry.position = entry.position.Max(position)
		f.order.MoveToBack(element)
		return
	}
	if f.entries == nil {
		f.entries = make(map[Session]*list.Element)
	}
	f.entries[session] = f.order.PushBack(&floor{session: session, position: position})
	for len(f.entries) > max(1, f.MaxEntries) {
		f.dropFront()
	}
}

// Attach gives a session the last acknowledged position as its floor.
func (f *Floors) Attach(session Session) { f.Raise(session, f.last) }

// Floor returns the floor of a session.
func (f *Floors) Floor(session Session) executor.Position {
	if element, ok := f.entries[session]; ok {
		return f.floorAll.Max(element.Value.(*floor).position)
	}
	return f.floorAll
}

// Applied drops the entries that all replicas in service have applied. Since
// floorAll follows, a replica that returns to service later and is behind
// serves no session whose entry was dropped.
func (f *Floors) Applied(offset uint64) {
	for front := f.order.Front(); front != nil; front = f.order.Front() {
		if front.Value.(*floor).position.Offset > offset {
			return
		}
		f.dropFront()
	}
}

// Len returns the number of entries.
func (f *Floors) Len() int { return len(f.entries) }

// Last returns the highest position of an acknowledged write.
func (f *Floors) Last() executor.Position { return f.last }

func (f *Floors) dropFront() {
	front := f.order.Front()
	entry := f.order.Remove(front).(*floor)
	delete(f.entries, entry.session)
	f.floorAll = f.floorAll.Max(entry.position)
}
