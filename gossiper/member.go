package gossiper

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A member is what a host knows of another one.
type member struct {
	Host
	// changedAt is when State last changed here.
	changedAt time.Time
	// evidenceAt is the latest time at which the host is known to have answered:
	// when the request was sent, or when a heartbeat came that shows that it
	// hears this host.
	evidenceAt time.Time
	// heardAt is when the last message of the host came in.
	heardAt time.Time
	// contactedAt is when the last request was sent that was answered or timed
	// out, and agreedAt the last one whose answer named no newer revision.
	contactedAt time.Time
	agreedAt    time.Time
	// missedAt is when the unanswered request was sent that made the host
	// suspect.
	missedAt time.Time
	// doubtUntil is when a host becomes suspect that other hosts were asked to
	// probe first; zero if it is not doubted.
	doubtUntil time.Time
	// relayedAt is when another host last reached one that this host did not.
	relayedAt time.Time
	// ownSuspicion says that this host itself missed an answer. Only then does
	// it mark the suspect failed, at failAt.
	ownSuspicion bool
	failAt       time.Time
	// eligible says that services may be placed on the host since eligibleAt.
	eligible   bool
	eligibleAt time.Time
	// revision is the highest one the host is known to have adopted, and
	// revisionAt the latest time at which it is known to have it.
	revision   uint64
	revisionAt time.Time
}

// present reports whether the host takes part.
func (m *member) present() bool {
	return m.State == Alive || m.State == Leaving || m.State == Suspect
}

// placeable reports whether the state allows a host to hold services. A suspect
// still does, so that a false suspicion moves nothing.
func (h Host) placeable() bool {
	return h.State == Alive || h.State == Suspect && !h.Departing
}

// supersedes reports whether a is newer than b.
func supersedes(a, b Host) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.Version != b.Version {
		return a.Version > b.Version
	}
	return a.State > b.State
}

// hostHash is the host's part of the digest. Failed and left hosts have none,
// since hosts forget them at different times; a suspicion passes by itself.
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

// update replaces the description of a host and spreads it.
func (c *Core) update(m *member, h Host, now time.Time, reason string) {
	before := m.Host
	c.digest ^= hostHash(before) ^ hostHash(h)
	if hostHash(before) != hostHash(h) {
		c.quietSince = now
	}
	m.Host = h
	c.spreadHost(h.Name)
	if before.Incarnation != h.Incarnation {
		m.revision, m.ownSuspicion = 0, false
	}
	c.setEligibility(m, before, now)
	c.track(m)
	if h.State == Alive && (before.State == Suspect || before.State == Failed) {
		c.spreadOwnClaims()
	}
	if before.State == h.State && before.Incarnation == h.Incarnation && before.Departing == h.Departing {
		return
	}
	m.changedAt = now
	c.changed = true
	c.act(Note{Message: "host state", Host: h.Name, State: h.State, Reason: reason})
	if h.State != Suspect && before.State != Suspect || h.State == Failed {
		c.hurry(now)
	}
}

// spreadOwnClaims tells a host that returns what this one holds: news of the
// time of its absence did not reach it, and it would claim the services itself.
// A large fleet relies on the comparison of digests instead, since each return
// would bring the claims of all services.
func (c *Core) spreadOwnClaims() {
	if c.large() {
		return
	}
	for service, claim := range c.claims {
		if claim.Host == c.Self.Name {
			c.spread(newsKey{kind: newsClaim, name: service})
		}
	}
}

// setEligibility makes a host that comes or returns wait.
func (c *Core) setEligibility(m *member, before Host, now time.Time) {
	if !m.placeable() {
		m.eligible = false
		return
	}
	if !before.placeable() || before.Incarnation != m.Incarnation {
		m.eligible = false
		m.eligibleAt = now.Add(eligibilityDelay)
	}
}

// checkEligibility lets hosts in whose time has come.
func (c *Core) checkEligibility(now time.Time) {
	waiting := func(m *member) bool { return !m.eligible && m.placeable() && !now.Before(m.eligibleAt) }
	for _, name := range c.timedNames(waiting) {
		m := c.members[name]
		m.eligible = true
		c.changed = true
		c.track(m)
	}
	if !c.selfEligible && c.Self.placeable() && !now.Before(c.selfEligibleAt) {
		c.selfEligible = true
		c.changed = true
	}
}

// merge takes in what another host says of a host.
func (c *Core) merge(h Host, now time.Time, source string) {
	if h.Name == "" {
		return
	}
	if h.Name == c.Self.Name {
		c.mergeSelf(h, now)
		return
	}
	m, known := c.members[h.Name]
	if !known {
		c.learn(h, now, source)
		return
	}
	if !supersedes(h, m.Host) {
		return
	}
	direct := source == h.Name
	if !direct && h.Incarnation == m.Incarnation && (h.State == Suspect || h.State == Failed) {
		if h.State == Suspect && now.Sub(m.evidenceAt) < c.suspicion() && m.State != Suspect && h.Version == m.Version {
			// The host answered this one just now; it will refute.
			return
		}
		if h.State == Failed && now.Sub(m.evidenceAt) < c.suspicion() {
			h.State = Suspect
			if !supersedes(h, m.Host) {
				return
			}
		}
	}
	if h.State == Suspect {
		m.ownSuspicion = false
	}
	c.update(m, h, now, "reported by "+source)
}

// learn adds a host that was not known.
func (c *Core) learn(h Host, now time.Time, source string) {
	if h.State == Left {
		return
	}
	if h.State == Failed {
		// Failed hosts count for majorities, so a host that joins learns them;
		// later on they are hosts that were dropped here.
		joining := now.Sub(c.started) < 2*eligibilityDelay
		if !joining || c.dropped[h.Name] >= h.Incarnation {
			return
		}
	}
	delete(c.dropped, h.Name)
	m := &member{Host: h, changedAt: now, eligibleAt: now.Add(eligibilityDelay)}
	c.members[h.Name] = m
	c.generation++
	c.track(m)
	c.digest ^= hostHash(h)
	c.quietSince = now
	c.spreadHost(h.Name)
	c.changed = true
	c.act(Note{Message: "host state", Host: h.Name, State: h.State, Reason: "reported by " + source})
}

// mergeSelf refutes what others believe of this host.
func (c *Core) mergeSelf(h Host, now time.Time) {
	gone := h.State == Suspect || h.State == Failed || h.State == Left
	if h.Incarnation > c.Self.Incarnation {
		if !gone {
			c.act(Note{
				Message: "another host has this name", Host: h.Name, State: h.State,
				Reason: "it runs at " + h.PeerAddress + " and started later",
			})
			return
		}
		// A predecessor that started with a clock ahead of this one.
		before := c.Self.Incarnation
		c.changeSelf(now, func(s *Host) { s.Incarnation = h.Incarnation + 1 })
		c.renewClaims(before, now)
		return
	}
	if h.Incarnation == c.Self.Incarnation && gone && h.Version >= c.Self.Version && h.State > c.Self.State {
		c.act(Note{Message: "refute", Host: h.Name, State: h.State, Reason: "this host is " + c.Self.State.String()})
		c.changeSelf(now, func(s *Host) { s.Version = h.Version + 1 })
	}
}

// changeSelf changes this host's description and spreads it.
func (c *Core) changeSelf(now time.Time, change func(*Host)) {
	c.digest ^= hostHash(c.Self)
	change(&c.Self)
	c.digest ^= hostHash(c.Self)
	c.quietSince = now
	c.spreadHost(c.Self.Name)
	c.changed = true
}

// SetState announces that this host is leaving or has left.
func (c *Core) SetState(now time.Time, state State) []Action {
	if c.Self.State != state {
		c.selfEligible = false
		c.selfEligibleAt = now.Add(eligibilityDelay)
		c.changeSelf(now, func(s *Host) {
			s.State = state
			s.Departing = state != Alive
			s.Version++
		})
		c.act(Note{Message: "host state", Host: c.Self.Name, State: state, Reason: "own decision"})
		c.hurry(now)
	}
	return c.flush()
}
