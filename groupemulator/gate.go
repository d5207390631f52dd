package groupemulator

import (
	"sync"
	"sync/atomic"
)

// A fault is a set of conditions that a database is in.
type fault uint32

const (
	// faultPaused stops everything that the database does.
	faultPaused fault = 1 << iota
	// faultIsolated holds back every message from and to clients and peers.
	faultIsolated
	// faultNoPeers holds back replication only.
	faultNoPeers
	// faultStalled stops receiving and applying.
	faultStalled
	// faultDown marks a killed database.
	faultDown
)

const (
	// faultsDelivery hold back messages between a database and its clients.
	faultsDelivery = faultPaused | faultIsolated
	// faultsPeers hold back entries on the way to or from a database.
	faultsPeers = faultPaused | faultIsolated | faultNoPeers | faultDown
	// faultsReceive keep a replica from receiving entries.
	faultsReceive = faultsPeers | faultStalled
	// faultsApply keep a replica from applying received entries.
	faultsApply = faultPaused | faultStalled | faultDown
)

// A gate holds the faults of a database and blocks those that have to wait for
// their end.
type gate struct {
	faults atomic.Uint32

	mu sync.Mutex
	// changed is closed and replaced when a fault ends.
	changed chan struct{}
}

func newGate() *gate { return &gate{changed: make(chan struct{})} }

// has reports whether one of the faults is present.
func (g *gate) has(any fault) bool { return fault(g.faults.Load())&any != 0 }

func (g *gate) set(f fault) { g.faults.Or(uint32(f)) }

func (g *gate) clear(f fault) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.faults.And(^uint32(f))
	close(g.changed)
	g.changed = make(chan struct{})
}

// wait blocks while one of the faults is present. It returns false when closed
// is closed before.
func (g *gate) wait(any fault, closed <-chan struct{}) bool {
	for g.has(any) {
		g.mu.Lock()
		changed := g.changed
		g.mu.Unlock()
		if !g.has(any) {
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
