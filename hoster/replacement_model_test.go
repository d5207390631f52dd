package hoster

import (
	"fmt"
	"time"
)

// A replacements is a series of replacements in a fleetModel.
type replacements struct {
	// victims are the hosts that are still to be replaced, one at each pace, from nextAt on.
	victims []string
	planned bool
	pace    time.Duration
	nextAt  time.Time
	// pending are the second halves of replacements that have begun.
	pending []modelEvent
	// left, died and replaced count hosts.
	left, died, replaced int
}

// A modelEvent is a change of the fleet at an instant.
type modelEvent struct {
	at  time.Time
	run func()
}

// replaceFleet begins to replace some or all hosts one after the other, the leader first, unless
// a series is in progress.
func (m *fleetModel) replaceFleet() {
	if len(m.victims) > 0 {
		return
	}
	if _, ok := m.hosts[m.store.leader]; ok {
		m.victims = append(m.victims, m.store.leader)
	}
	for _, name := range m.names {
		if name != m.store.leader && m.random.IntN(4) > 0 {
			m.victims = append(m.victims, name)
		}
	}
	m.planned, m.pace, m.nextAt = m.random.IntN(2) == 0, time.Duration(500+m.random.IntN(10000))*time.Millisecond, m.now
}

// stepReplacements goes on with a series: in a planned one the new host starts a second before
// the old one leaves, in an unplanned one a second after the old one has died.
func (m *fleetModel) stepReplacements() {
	var pending []modelEvent
	for _, event := range m.pending {
		if m.now.Before(event.at) {
			pending = append(pending, event)
			continue
		}
		event.run()
	}
	m.pending = pending
	if len(m.victims) == 0 || m.now.Before(m.nextAt) {
		return
	}
	victim, added := m.victims[0], fmt.Sprint("n", m.store.revision, "r")
	m.victims, m.nextAt = m.victims[1:], m.now.Add(m.pace)
	if m.hosts[victim] == nil {
		return
	}
	m.replaced++
	later := m.now.Add(time.Second)
	if m.planned || len(m.names) == 1 {
		m.start(added)
		m.pending = append(m.pending, modelEvent{at: later, run: func() { m.leave(victim) }})
		return
	}
	m.remove(victim)
	m.died++
	m.pending = append(m.pending, modelEvent{at: later, run: func() { m.start(added) }})
}

// leave takes a host away in order: it stops to use primaries and to confirm views, and records
// that in the store, unless it does not reach it.
func (m *fleetModel) leave(name string) {
	h := m.hosts[name]
	if h == nil || len(m.names) == 1 || m.now.Before(h.suspendedUntil) {
		return
	}
	if m.reachesStore(name) && m.store.registry[name] == h.incarnation {
		m.store.revision++
		delete(m.store.registry, name)
		m.store.ended[name], m.endedAt[name] = h.incarnation, m.now
		m.left++
	}
	m.remove(name)
}
