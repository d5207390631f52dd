package groupemulator

import (
	"sync"
	"sync/atomic"
)

// A fault is a bit mask of the faults injected into a database.
type fault uint32

const (
	// faultPaused stops everything that the database does.
	faultPaused fault = 1 << iota
	// faultIsolated holds back every message from and to clients and peers.
	faultIsolated
	// faultIsolatedFromPeers holds back replication only.
	faultIsolatedFromPeers
	// faultStalled stops receiving and applying.
	faultStalled
	// faultKilled is set while the database is killed.
	faultKilled
)

const (
	// faultsBlockingClients hold back messages between a database and its
	// clients.
	faultsBlockingClients = faultPaused | faultIsolated
	// faultsBlockingPeers hold back entries on the way from or to a database.
	faultsBlockingPeers = faultPaused | faultIsolated | faultIsolatedFromPeers | faultKilled
	// faultsBlockingReceive stop a replica from receiving entries.
	faultsBlockingReceive = faultsBlockingPeers | faultStalled
	// faultsBlockingApply stop a replica from applying received entries.
	faultsBlockingApply = faultPaused | faultStalled | faultKilled
)

// A faultSet holds the active faults of a database. Callers can wait until
// faults are cleared.
type faultSet struct {
	active atomic.Uint32

	mu sync.Mutex
	// changed is closed and replaced when a fault ends.
	changed chan struct{}
}

func newFaultSet() *faultSet { return &faultSet{changed: make(chan struct{})} }

// has reports whether any fault in mask is active.
func (s *faultSet) has(mask fault) bool { return fault(s.active.Load())&mask != 0 }

func (s *faultSet) set(f fault) { s.active.Or(uint32(f)) }

func (s *faultSet) clear(f fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active.And(^uint32(f))
	close(s.changed)
	s.changed = make(chan struct{})
}

// waitUntilClear blocks while any fault in mask is active. It returns false if
// closed is closed first.
func (s *faultSet) waitUntilClear(mask fault, closed <-chan struct{}) bool {
	for s.has(mask) {
		s.mu.Lock()
		changed := s.changed
		s.mu.Unlock()
		if !s.has(mask) {
			return true
		}
		select {
		case <-changed:
		case <-closed:
			return false
		}
	}
	return true
}
