package gossiper

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A member is the local state about another host.
type member struct {
	Host
	// changedAt is when State, Incarnation or Departing last changed in the view of
	// this host.
	changedAt time.Time
	// lastAliveAt is the latest time at which the host is known to have been alive:
	// the send time of a request that it replied to, or the arrival time of a
	// heartbeat that shows that it receives messages from this host.
	lastAliveAt time.Time
	// lastReceivedAt is when the last message from the host arrived.
	lastReceivedAt time.Time
	// lastPolledAt is the send time of the last request that received a reply or timed
	// out, and lastAgreedAt that of the last request whose reply reported no newer
	// revision than that of this host.
	lastPolledAt time.Time
	lastAgreedAt time.Time
	// missedRequestAt is the send time of the request without a reply that led to the
	// suspicion or to the indirect probes.
	missedRequestAt time.Time
	// probeDeadline is when the host becomes suspect unless it is reached by the
	// indirect probes that precede a suspicion; zero if there are none.
	probeDeadline time.Time
	// indirectlyReachedAt is when an indirect probe last reached the host.
	indirectlyReachedAt time.Time
	// locallySuspected is set if the suspicion is based on a reply that this host
	// itself missed. Only then does it mark the suspect failed, at suspicionDeadline.
	locallySuspected  bool
	suspicionDeadline time.Time
	// eligible reports whether services may be placed on the host. It is set at
	// eligibleAt.
	eligible   bool
	eligibleAt time.Time
	// revision is the highest revision that the host is known to have adopted, and
	// revisionAt the latest time at which it is known to have had it.
	revision   uint64
	revisionAt time.Time
}

// present reports whether the host is part of the fleet: it has neither failed nor
// left.
func (m *member) present() bool {
	return m.State == Alive || m.State == Leaving || m.State == Suspect
}

// canHoldServices reports whether the state allows a host to hold services. A
// suspect still can, so that a false suspicion causes no handover.
func (h Host) canHoldServices() bool {
	return h.State == Alive || h.State == Suspect && !h.Departing
}

// supersedes reports whether description a is newer than b.
func supersedes(a, b Host) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.Version != b.Version {
		return a.Version > b.Version
	}
	return a.State > b.State
}

// hostHash returns the contribution of a host to the digest. Failed and left hosts
// contribute nothing, since they are forgotten at different times on different
// hosts. A suspicion does not change the hash, since it resolves by itself.
func hostHash(h Host) uint64 {
	if h.State == Failed || h.State == Left {
		return 0
	}
	leaving := byte(0)
	if h.State == Leaving || h.Departing {
		leaving = 1
	}
	buf := make([]byte, 0, 64)
	buf = append(buf, h.Name...)
	buf = append(buf, 0, leaving)
	buf = binary.BigEndian.AppendUint64(buf, h.Incarnation)
	buf = binary.BigEndian.AppendUint64(buf, h.Version)
	return xxhash.Sum64(buf)
}

// updateMember replaces the description of a host and queues it for the other hosts.
func (c *Core) updateMember(m *member, h Host, now time.Time, reason string) {
	before := m.Host
	c.digest ^= hostHash(before) ^ hostHash(h)
	if hostHash(before) != hostHash(h) {
		c.digestChangedAt = now
	}
	m.Host = h
	c.queueHostUpdate(h.Name)
	if before.Incarnation != h.Incarnation {
		m.revision, m.locallySuspected = 0, false
	}
	c.resetEligibility(m, before, now)
	c.updateIndexes(m)
	if h.State == Alive && (before.State == Suspect || before.State == Failed) {
		c.queueOwnClaims()
	}
	if before.State == h.State && before.Incarnation == h.Incarnation && before.Departing == h.Departing {
		return
	}
	m.changedAt = now
	c.viewChanged = true
	c.addAction(LogEvent{Message: "host_state_changed", Host: h.Name, State: h.State, Reason: reason})
	if h.State != Suspect && before.State != Suspect || h.State == Failed {
		c.expediteRound(now)
	}
}

// queueOwnClaims queues the claims of this host when another host returns: that host
// missed the updates during its absence and would claim the services itself. A large
// fleet relies on the comparison of digests instead, since each return would
// trigger the claims of all services.
func (c *Core) queueOwnClaims() {
	if c.isLargeFleet() {
		return
	}
	for service, claim := range c.claims {
		if claim.Host == c.Self.Name {
			c.queueUpdate(updateKey{kind: claimUpdate, name: service})
		}
	}
}

// resetEligibility delays the eligibility of a host that joins or returns.
func (c *Core) resetEligibility(m *member, before Host, now time.Time) {
	if !m.canHoldServices() {
		m.eligible = false
		return
	}
	if !before.canHoldServices() || before.Incarnation != m.Incarnation {
		m.eligible = false
		m.eligibleAt = now.Add(eligibilityDelay)
	}
}

// updateEligibility makes hosts eligible whose delay has passed.
func (c *Core) updateEligibility(now time.Time) {
	waiting := func(m *member) bool { return !m.eligible && m.canHoldServices() && !now.Before(m.eligibleAt) }
	for _, name := range c.deadlineMemberNames(waiting) {
		m := c.members[name]
		m.eligible = true
		c.viewChanged = true
		c.updateIndexes(m)
	}
	if !c.selfEligible && c.Self.canHoldServices() && !now.Before(c.selfEligibleAt) {
		c.selfEligible = true
		c.viewChanged = true
	}
}

// mergeHost applies the description of a host that was received from source.
func (c *Core) mergeHost(h Host, now time.Time, source string) {
	if h.Name == "" {
		return
	}
	if h.Name == c.Self.Name {
		c.mergeSelf(h, now)
		return
	}
	m, known := c.members[h.Name]
	if !known {
		c.addMember(h, now, source)
		return
	}
	if !supersedes(h, m.Host) {
		return
	}
	direct := source == h.Name
	if !direct && h.Incarnation == m.Incarnation && (h.State == Suspect || h.State == Failed) {
		if h.State == Suspect && now.Sub(m.lastAliveAt) < c.currentSuspicionTimeout() && m.State != Suspect && h.Version == m.Version {
			// The host replied to this one recently, so it will refute the suspicion.
			return
		}
		if h.State == Failed && now.Sub(m.lastAliveAt) < c.currentSuspicionTimeout() {
			h.State = Suspect
			if !supersedes(h, m.Host) {
				return
			}
		}
	}
	if h.State == Suspect {
		m.locallySuspected = false
	}
	c.updateMember(m, h, now, "reported by "+source)
}

// addMember adds a host that was not known.
func (c *Core) addMember(h Host, now time.Time, source string) {
	if h.State == Left {
		return
	}
	if h.State == Failed {
		// Failed hosts count towards majorities, so a joining host adds them. Later
		// on, an unknown failed host is one that was already forgotten here.
		joining := now.Sub(c.started) < 2*eligibilityDelay
		if !joining || c.tombstones[h.Name] >= h.Incarnation {
			return
		}
	}
	delete(c.tombstones, h.Name)
	m := &member{Host: h, changedAt: now, eligibleAt: now.Add(eligibilityDelay)}
	c.members[h.Name] = m
	c.generation++
	c.updateIndexes(m)
	c.digest ^= hostHash(h)
	c.digestChangedAt = now
	c.queueHostUpdate(h.Name)
	c.viewChanged = true
	c.addAction(LogEvent{Message: "host_state_changed", Host: h.Name, State: h.State, Reason: "reported by " + source})
}

// mergeSelf refutes wrong descriptions of this host that were received from others.
func (c *Core) mergeSelf(h Host, now time.Time) {
	reportedDown := h.State == Suspect || h.State == Failed || h.State == Left
	if h.Incarnation > c.Self.Incarnation {
		if !reportedDown {
			c.addAction(LogEvent{
				Message: "duplicate_host_name", Host: h.Name, State: h.State,
				Reason: "it runs at " + h.PeerAddress + " and started later",
			})
			return
		}
		// A former process of this host had started with a clock ahead of the current
		// one.
		previous := c.Self.Incarnation
		c.updateSelf(now, func(s *Host) { s.Incarnation = h.Incarnation + 1 })
		c.reannounceClaims(previous, now)
		return
	}
	if h.Incarnation == c.Self.Incarnation && reportedDown && h.Version >= c.Self.Version && h.State > c.Self.State {
		c.addAction(LogEvent{Message: "refute", Host: h.Name, State: h.State, Reason: "this host is " + c.Self.State.String()})
		c.updateSelf(now, func(s *Host) { s.Version = h.Version + 1 })
	}
}

// updateSelf changes the description of this host and queues it for the other hosts.
func (c *Core) updateSelf(now time.Time, change func(*Host)) {
	c.digest ^= hostHash(c.Self)
	change(&c.Self)
	c.digest ^= hostHash(c.Self)
	c.digestChangedAt = now
	c.queueHostUpdate(c.Self.Name)
	c.viewChanged = true
}

// SetState changes the state of this host and announces it.
func (c *Core) SetState(now time.Time, state State) []Action {
	if c.Self.State != state {
		c.selfEligible = false
		c.selfEligibleAt = now.Add(eligibilityDelay)
		c.updateSelf(now, func(s *Host) {
			s.State = state
			s.Departing = state != Alive
			s.Version++
		})
		c.addAction(LogEvent{Message: "host_state_changed", Host: c.Self.Name, State: state, Reason: "own decision"})
		c.expediteRound(now)
	}
	return c.takeActions()
}
