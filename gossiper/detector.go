package gossiper

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// A contact is a request whose answer is awaited.
type contact struct {
	// host is the name of the host asked, empty if only its address is known;
	// for an indirect probe it is the host probed.
	host    string
	address string
	sentAt  time.Time
}

// round sends heartbeats to the next peers.
func (c *Core) round(now time.Time) {
	c.lastRound = now
	c.nextRound = now.Add(c.pace(now))
	asked := make(map[string]bool)
	for _, m := range c.nextPeers() {
		asked[m.Name] = true
		c.contact(m.Name, m.PeerAddress, now)
	}
	c.roundSuspects(now, asked)
	c.roundFailed(now)
	c.roundCandidates(now)
}

// hurry brings the next round forward, since there is news.
func (c *Core) hurry(now time.Time) {
	if c.large() && c.credit(now) < 0 {
		return
	}
	at := c.lastRound.Add(hurryInterval)
	if at.Before(now) {
		at = now
	}
	if at.Before(c.nextRound) {
		c.nextRound = at
	}
}

// nextPeers returns the peers of the next round, in shuffled round-robin order.
func (c *Core) nextPeers() []*member {
	want := roundPeers
	if c.large() {
		want = largePeers
	}
	var peers []*member
	picked := make(map[string]bool)
	for shuffled := false; len(peers) < want; {
		if len(c.order) == 0 {
			if shuffled {
				break
			}
			shuffled = true
			c.shuffle()
			continue
		}
		name := c.order[0]
		c.order = c.order[1:]
		if m := c.members[name]; m != nil && m.present() && !picked[name] {
			picked[name] = true
			peers = append(peers, m)
		}
	}
	return peers
}

// shuffle starts another cycle over the peers.
func (c *Core) shuffle() {
	c.order = c.sortedNames(func(m *member) bool { return m.present() })
	c.Rand.Shuffle(len(c.order), func(i, j int) { c.order[i], c.order[j] = c.order[j], c.order[i] })
}

// roundSuspects asks the suspects of this host again, directly and through
// others: a single lost message must not fail a host.
func (c *Core) roundSuspects(now time.Time, asked map[string]bool) {
	for _, name := range c.timedNames(func(m *member) bool { return m.State == Suspect && m.ownSuspicion }) {
		m := c.members[name]
		if !asked[name] {
			c.contact(name, m.PeerAddress, now)
		}
		c.probe(m, now)
	}
}

// roundFailed tries a failed host now and then, by which a partition heals.
func (c *Core) roundFailed(now time.Time) {
	if now.Before(c.nextFailed) {
		return
	}
	c.nextFailed = now.Add(failedInterval)
	var failed []string
	for _, name := range sortedKeys(c.gone) {
		if c.members[name].State == Failed {
			failed = append(failed, name)
		}
	}
	if len(failed) > 0 {
		m := c.members[failed[c.Rand.IntN(len(failed))]]
		c.contact(m.Name, m.PeerAddress, now)
	}
}

// contact sends a heartbeat.
func (c *Core) contact(name, address string, now time.Time) {
	id := c.id()
	c.pending[id] = contact{host: name, address: address, sentAt: now}
	heartbeat := c.heartbeat(now, name)
	c.spend(heartbeat.Size(), now)
	c.act(Send{ID: id, Address: address, Heartbeat: heartbeat})
}

// probe asks others to probe a host.
func (c *Core) probe(m *member, now time.Time) {
	relays := c.sortedNames(func(r *member) bool { return r.State == Alive && r.Name != m.Name })
	c.Rand.Shuffle(len(relays), func(i, j int) { relays[i], relays[j] = relays[j], relays[i] })
	if !c.large() {
		// Prefer hosts that answer this one.
		slices.SortStableFunc(relays, func(a, b string) int {
			return cmp.Compare(c.silence(a, now), c.silence(b, now))
		})
	}
	for _, name := range relays[:min(probeRelays, len(relays))] {
		id := c.id()
		c.probes[id] = contact{host: m.Name, sentAt: now}
		c.act(ProbeVia{ID: id, Address: c.members[name].PeerAddress, Target: m.Host})
	}
}

// silence returns for how many seconds a host has given no sign of life.
func (c *Core) silence(name string, now time.Time) int {
	return int(now.Sub(c.members[name].evidenceAt).Seconds())
}

// Answered takes in the answer to a heartbeat.
func (c *Core) Answered(now time.Time, id uint64, reply Heartbeat) []Action {
	asked, ok := c.pending[id]
	delete(c.pending, id)
	if !ok || now.Sub(asked.sentAt) >= answerTimeout+pauseTolerance {
		return c.flush()
	}
	if reply.From.Name == c.Self.Name {
		// A seed or a line of the platform's list was this host itself.
		delete(c.candidates, asked.address)
		return c.flush()
	}
	c.spend(reply.Size(), now)
	c.absorb(reply, now)
	if asked.host == "" {
		c.resolveCandidate(asked.address, reply.From.Name)
	}
	m := c.members[reply.From.Name]
	if asked.host != "" && asked.host != reply.From.Name {
		c.miss(asked, now, "another host answers at its address")
	}
	if m == nil || reply.From.Incarnation < m.Incarnation {
		return c.flush()
	}
	m.heardAt = now
	c.evidence(m, asked.sentAt, now, "answered")
	c.noteRevision(m, reply.Revision, asked.sentAt, now)
	c.noteContact(m, reply, asked.sentAt)
	return c.flush()
}

// Unanswered takes in that a heartbeat could not be delivered.
func (c *Core) Unanswered(now time.Time, id uint64, reason string) []Action {
	if asked, ok := c.pending[id]; ok {
		delete(c.pending, id)
		c.miss(asked, now, reason)
	}
	return c.flush()
}

// Probed takes in the answer of a relay.
func (c *Core) Probed(now time.Time, id uint64, answered bool) []Action {
	asked, ok := c.probes[id]
	delete(c.probes, id)
	if m := c.members[asked.host]; ok && answered && m != nil {
		m.relayedAt = now
		c.evidence(m, asked.sentAt, now, "answered another host")
	}
	return c.flush()
}

// Receive takes in a heartbeat of another host and returns the answer. It does
// not make this host fresher: how long the heartbeat was on its way is unknown.
func (c *Core) Receive(now time.Time, h Heartbeat) (Heartbeat, []Action) {
	c.spend(h.Size(), now)
	c.absorb(h, now)
	if m := c.members[h.From.Name]; m != nil && h.From.Incarnation >= m.Incarnation {
		m.heardAt = now
		if h.Heard {
			c.evidence(m, now, now, "sends heartbeats")
		}
		c.noteRevision(m, h.Revision, now, now)
	}
	var reply Heartbeat
	if h.Full {
		reply = c.fullHeartbeat(now, h.From.Name)
	} else {
		reply = c.heartbeat(now, h.From.Name)
	}
	c.spend(reply.Size(), now)
	return reply, c.flush()
}

// absorb takes in the news of a heartbeat.
func (c *Core) absorb(h Heartbeat, now time.Time) {
	if h.From.Name == c.Self.Name {
		c.mergeSelf(h.From, now)
		return
	}
	c.merge(h.From, now, h.From.Name)
	for _, host := range h.Members {
		c.merge(host, now, h.From.Name)
	}
	for _, claim := range h.Claims {
		c.mergeClaim(claim, now)
	}
	for _, u := range h.Unable {
		c.mergeUnable(u, now)
	}
	c.mergeConfirmations(h.Confirmations, now)
	c.compareDigest(h)
}

// expireContacts acts on requests that were not answered in time.
func (c *Core) expireContacts(now time.Time) {
	for _, id := range sortedKeys(c.pending) {
		if asked := c.pending[id]; now.Sub(asked.sentAt) >= answerTimeout {
			delete(c.pending, id)
			c.miss(asked, now, fmt.Sprintf("no answer within %v", answerTimeout))
		}
	}
	for id, asked := range c.probes {
		if now.Sub(asked.sentAt) >= 2*answerTimeout {
			delete(c.probes, id)
		}
	}
}

// miss suspects a host that did not answer, unless it was heard from since.
func (c *Core) miss(asked contact, now time.Time, reason string) {
	m := c.members[asked.host]
	if m == nil {
		return
	}
	c.noteAsked(m, asked.sentAt)
	doubted := !m.doubtUntil.IsZero() || m.ownSuspicion && m.State == Suspect
	if !m.present() || !m.evidenceAt.Before(asked.sentAt) || doubted {
		return
	}
	m.missedAt = asked.sentAt
	if c.large() || now.Sub(m.relayedAt) < doubtMemory {
		m.doubtUntil = now.Add(answerTimeout)
		c.track(m)
		c.contact(m.Name, m.PeerAddress, now)
		c.probe(m, now)
		return
	}
	c.suspect(m, now, reason)
	c.probe(m, now)
}

// suspect marks a host as suspect by this host's own finding.
func (c *Core) suspect(m *member, now time.Time, reason string) {
	m.ownSuspicion = true
	m.failAt = now.Add(c.suspicion())
	if m.State == Suspect {
		c.track(m)
		return
	}
	suspect := m.Host
	suspect.Departing = m.State == Leaving
	suspect.State = Suspect
	c.update(m, suspect, now, reason)
}

// expireDoubts suspects hosts that no other host could reach either.
func (c *Core) expireDoubts(now time.Time) {
	doubted := func(m *member) bool { return !m.doubtUntil.IsZero() && !now.Before(m.doubtUntil) }
	for _, name := range c.timedNames(doubted) {
		m := c.members[name]
		m.doubtUntil = time.Time{}
		c.track(m)
		if m.present() {
			c.suspect(m, now, "no answer, also not to other hosts")
		}
	}
}

// evidence notes that a host was alive at a time.
func (c *Core) evidence(m *member, at, now time.Time, reason string) {
	if at.After(m.evidenceAt) {
		m.evidenceAt = at
	}
	if !at.After(m.missedAt) {
		return
	}
	if !m.doubtUntil.IsZero() {
		m.doubtUntil = time.Time{}
		c.track(m)
	}
	if m.State != Suspect {
		return
	}
	restored := m.Host
	restored.State = Alive
	if m.Departing {
		restored.State = Leaving
	}
	m.ownSuspicion = false
	c.update(m, restored, now, reason)
}

// expireSuspects marks suspects failed that did not refute in time.
func (c *Core) expireSuspects(now time.Time) {
	for _, name := range c.timedNames(func(m *member) bool { return m.State == Suspect && m.ownSuspicion }) {
		m := c.members[name]
		if now.Before(m.failAt) {
			continue
		}
		failed := m.Host
		failed.State = Failed
		c.update(m, failed, now, fmt.Sprintf("suspected for %v", c.suspicion()))
	}
}

// expireFailed forgets hosts that have been gone for long. A host that is not
// fresh may be the one that is cut off: it keeps counting the others, or a small
// part of the fleet would take itself for all of it after a while.
func (c *Core) expireFailed(now time.Time) {
	for name := range c.gone {
		m := c.members[name]
		reason := ""
		if c.onceListed[name] && !c.listed[name] {
			reason = "dropped from the platform's list"
		} else if now.Sub(m.changedAt) >= failedKept {
			if fresh, _ := c.Fresh(now); fresh {
				reason = fmt.Sprintf("gone for %v", failedKept)
			}
		}
		if reason == "" {
			continue
		}
		if len(c.dropped) >= maxDropped {
			clear(c.dropped)
		}
		c.dropped[name] = m.Incarnation
		delete(c.gone, name)
		delete(c.members, name)
		c.changed = true
		c.act(Note{Message: "host forgotten", Host: name, State: m.State, Reason: reason})
	}
}
