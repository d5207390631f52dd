package gossiper

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// A pendingRequest is a heartbeat or an indirect probe that awaits its reply.
type pendingRequest struct {
	// host is the name of the receiver, empty if only its address is known. For an
	// indirect probe it is the name of the probed host.
	host    string
	address string
	sentAt  time.Time
}

// runRound sends heartbeats to the next peers, and retries suspects, failed hosts
// and candidates.
func (c *Core) runRound(now time.Time) {
	c.lastRound = now
	c.nextRound = now.Add(c.nextRoundDelay(now))
	contacted := make(map[string]bool)
	for _, m := range c.nextPeers() {
		contacted[m.Name] = true
		c.sendHeartbeat(m.Name, m.PeerAddress, now)
	}
	c.recheckSuspects(now, contacted)
	c.retryFailed(now)
	c.retryCandidates(now)
}

// expediteRound brings the next round forward because there are updates to send.
func (c *Core) expediteRound(now time.Time) {
	if c.isLargeFleet() && c.availableBytes(now) < 0 {
		return
	}
	at := c.lastRound.Add(minRoundInterval)
	if at.Before(now) {
		at = now
	}
	if at.Before(c.nextRound) {
		c.nextRound = at
	}
}

// nextPeers returns the peers for the next round, in shuffled round-robin order.
func (c *Core) nextPeers() []*member {
	want := roundPeers
	if c.isLargeFleet() {
		want = largeFleetPeers
	}
	var peers []*member
	picked := make(map[string]bool)
	for shuffled := false; len(peers) < want; {
		if len(c.peerOrder) == 0 {
			if shuffled {
				break
			}
			shuffled = true
			c.shufflePeers()
			continue
		}
		name := c.peerOrder[0]
		c.peerOrder = c.peerOrder[1:]
		if m := c.members[name]; m != nil && m.present() && !picked[name] {
			picked[name] = true
			peers = append(peers, m)
		}
	}
	return peers
}

// shufflePeers starts another cycle over the peers in a new random order.
func (c *Core) shufflePeers() {
	c.peerOrder = c.sortedNames(func(m *member) bool { return m.present() })
	c.Rand.Shuffle(len(c.peerOrder), func(i, j int) { c.peerOrder[i], c.peerOrder[j] = c.peerOrder[j], c.peerOrder[i] })
}

// recheckSuspects contacts the hosts that this host suspects again, directly and
// through indirect probes: a single lost message must not mark a host failed.
func (c *Core) recheckSuspects(now time.Time, contacted map[string]bool) {
	for _, name := range c.deadlineMemberNames(func(m *member) bool { return m.State == Suspect && m.locallySuspected }) {
		m := c.members[name]
		if !contacted[name] {
			c.sendHeartbeat(name, m.PeerAddress, now)
		}
		c.requestIndirectProbes(m, now)
	}
}

// retryFailed periodically sends a heartbeat to a random failed host, so that a
// partition heals.
func (c *Core) retryFailed(now time.Time) {
	if now.Before(c.nextFailedRetry) {
		return
	}
	c.nextFailedRetry = now.Add(failedRetryInterval)
	var failed []string
	for _, name := range sortedKeys(c.absent) {
		if c.members[name].State == Failed {
			failed = append(failed, name)
		}
	}
	if len(failed) > 0 {
		m := c.members[failed[c.Rand.IntN(len(failed))]]
		c.sendHeartbeat(m.Name, m.PeerAddress, now)
	}
}

// sendHeartbeat sends a heartbeat and awaits its reply.
func (c *Core) sendHeartbeat(name, address string, now time.Time) {
	id := c.nextID()
	c.pendingHeartbeats[id] = pendingRequest{host: name, address: address, sentAt: now}
	heartbeat := c.heartbeat(now, name)
	c.consumeBytes(heartbeat.Size(), now)
	c.addAction(Send{ID: id, Address: address, Heartbeat: heartbeat})
}

// requestIndirectProbes requests probes of a host by probeRelays other hosts.
func (c *Core) requestIndirectProbes(m *member, now time.Time) {
	relays := c.sortedNames(func(r *member) bool { return r.State == Alive && r.Name != m.Name })
	c.Rand.Shuffle(len(relays), func(i, j int) { relays[i], relays[j] = relays[j], relays[i] })
	if !c.isLargeFleet() {
		// Prefer relays that this host has reached recently.
		slices.SortStableFunc(relays, func(a, b string) int {
			return cmp.Compare(c.secondsSinceAlive(a, now), c.secondsSinceAlive(b, now))
		})
	}
	for _, name := range relays[:min(probeRelays, len(relays))] {
		id := c.nextID()
		c.pendingProbes[id] = pendingRequest{host: m.Name, sentAt: now}
		c.addAction(IndirectProbe{ID: id, Address: c.members[name].PeerAddress, Target: m.Host})
	}
}

// secondsSinceAlive returns the whole seconds since a host was last confirmed alive.
func (c *Core) secondsSinceAlive(name string, now time.Time) int {
	return int(now.Sub(c.members[name].lastAliveAt).Seconds())
}

// HandleReply processes the reply to a heartbeat.
func (c *Core) HandleReply(now time.Time, id uint64, reply Heartbeat) []Action {
	request, ok := c.pendingHeartbeats[id]
	delete(c.pendingHeartbeats, id)
	if !ok || now.Sub(request.sentAt) >= replyTimeout+pauseTolerance {
		return c.takeActions()
	}
	if reply.From.Name == c.Self.Name {
		// A seed or an entry of the platform's host list is this host itself.
		delete(c.candidates, request.address)
		return c.takeActions()
	}
	c.consumeBytes(reply.Size(), now)
	c.mergeHeartbeat(reply, now)
	if request.host == "" {
		c.setCandidateName(request.address, reply.From.Name)
	}
	m := c.members[reply.From.Name]
	if request.host != "" && request.host != reply.From.Name {
		c.handleMissingReply(request, now, "another host answers at its address")
	}
	if m == nil || reply.From.Incarnation < m.Incarnation {
		return c.takeActions()
	}
	m.lastReceivedAt = now
	c.recordAlive(m, request.sentAt, now, "answered")
	c.recordRevision(m, reply.Revision, request.sentAt, now)
	c.recordContact(m, reply, request.sentAt)
	return c.takeActions()
}

// HandleSendError processes the failure to deliver a heartbeat.
func (c *Core) HandleSendError(now time.Time, id uint64, reason string) []Action {
	if request, ok := c.pendingHeartbeats[id]; ok {
		delete(c.pendingHeartbeats, id)
		c.handleMissingReply(request, now, reason)
	}
	return c.takeActions()
}

// HandleProbeResult processes the result of an indirect probe.
func (c *Core) HandleProbeResult(now time.Time, id uint64, replied bool) []Action {
	request, ok := c.pendingProbes[id]
	delete(c.pendingProbes, id)
	if m := c.members[request.host]; ok && replied && m != nil {
		m.indirectlyReachedAt = now
		c.recordAlive(m, request.sentAt, now, "answered another host")
	}
	return c.takeActions()
}

// HandleHeartbeat processes a heartbeat from another host and returns the reply. It
// does not make this host fresher, since the time that the heartbeat spent in
// transit is unknown.
func (c *Core) HandleHeartbeat(now time.Time, h Heartbeat) (Heartbeat, []Action) {
	c.consumeBytes(h.Size(), now)
	c.mergeHeartbeat(h, now)
	if m := c.members[h.From.Name]; m != nil && h.From.Incarnation >= m.Incarnation {
		m.lastReceivedAt = now
		if h.ReceivedRecently {
			c.recordAlive(m, now, now, "sends heartbeats")
		}
		c.recordRevision(m, h.Revision, now, now)
	}
	var reply Heartbeat
	if h.RequestFullState {
		reply = c.fullStateHeartbeat(now, h.From.Name)
	} else {
		reply = c.heartbeat(now, h.From.Name)
	}
	c.consumeBytes(reply.Size(), now)
	return reply, c.takeActions()
}

// mergeHeartbeat applies the updates in a heartbeat.
func (c *Core) mergeHeartbeat(h Heartbeat, now time.Time) {
	if h.From.Name == c.Self.Name {
		c.mergeSelf(h.From, now)
		return
	}
	c.mergeHost(h.From, now, h.From.Name)
	for _, host := range h.Members {
		c.mergeHost(host, now, h.From.Name)
	}
	for _, claim := range h.Claims {
		c.mergeClaim(claim, now)
	}
	for _, u := range h.UnavailabilityReports {
		c.mergeUnavailability(u, now)
	}
	c.mergeConfirmations(h.Confirmations, now)
	c.compareDigest(h)
}

// expireRequests handles requests that received no reply in time.
func (c *Core) expireRequests(now time.Time) {
	for _, id := range sortedKeys(c.pendingHeartbeats) {
		if request := c.pendingHeartbeats[id]; now.Sub(request.sentAt) >= replyTimeout {
			delete(c.pendingHeartbeats, id)
			c.handleMissingReply(request, now, fmt.Sprintf("no answer within %v", replyTimeout))
		}
	}
	for id, request := range c.pendingProbes {
		if now.Sub(request.sentAt) >= 2*replyTimeout {
			delete(c.pendingProbes, id)
		}
	}
}

// handleMissingReply suspects a host that did not reply, unless it is known to have
// been alive since the request was sent. In a large fleet, or if the host was
// recently reachable only through other hosts, it is probed indirectly first.
func (c *Core) handleMissingReply(request pendingRequest, now time.Time, reason string) {
	m := c.members[request.host]
	if m == nil {
		return
	}
	c.recordPoll(m, request.sentAt)
	alreadyProbing := !m.probeDeadline.IsZero() || m.locallySuspected && m.State == Suspect
	if !m.present() || !m.lastAliveAt.Before(request.sentAt) || alreadyProbing {
		return
	}
	m.missedRequestAt = request.sentAt
	if c.isLargeFleet() || now.Sub(m.indirectlyReachedAt) < indirectReachWindow {
		m.probeDeadline = now.Add(replyTimeout)
		c.updateIndexes(m)
		c.sendHeartbeat(m.Name, m.PeerAddress, now)
		c.requestIndirectProbes(m, now)
		return
	}
	c.markSuspect(m, now, reason)
	c.requestIndirectProbes(m, now)
}

// markSuspect marks a host as suspect based on this host's own observation.
func (c *Core) markSuspect(m *member, now time.Time, reason string) {
	m.locallySuspected = true
	m.suspicionDeadline = now.Add(c.currentSuspicionTimeout())
	if m.State == Suspect {
		c.updateIndexes(m)
		return
	}
	suspect := m.Host
	suspect.Departing = m.State == Leaving
	suspect.State = Suspect
	c.updateMember(m, suspect, now, reason)
}

// expireProbeDeadlines suspects hosts that the indirect probes did not reach in
// time either.
func (c *Core) expireProbeDeadlines(now time.Time) {
	expired := func(m *member) bool { return !m.probeDeadline.IsZero() && !now.Before(m.probeDeadline) }
	for _, name := range c.deadlineMemberNames(expired) {
		m := c.members[name]
		m.probeDeadline = time.Time{}
		c.updateIndexes(m)
		if m.present() {
			c.markSuspect(m, now, "no answer, also not to other hosts")
		}
	}
}

// recordAlive records that a host was alive at a time and, if no request sent at
// that time or later was missed, ends its suspicion and its indirect probes.
func (c *Core) recordAlive(m *member, at, now time.Time, reason string) {
	if at.After(m.lastAliveAt) {
		m.lastAliveAt = at
	}
	if !at.After(m.missedRequestAt) {
		return
	}
	if !m.probeDeadline.IsZero() {
		m.probeDeadline = time.Time{}
		c.updateIndexes(m)
	}
	if m.State != Suspect {
		return
	}
	restored := m.Host
	restored.State = Alive
	if m.Departing {
		restored.State = Leaving
	}
	m.locallySuspected = false
	c.updateMember(m, restored, now, reason)
}

// failExpiredSuspects marks suspects failed that did not refute in time.
func (c *Core) failExpiredSuspects(now time.Time) {
	for _, name := range c.deadlineMemberNames(func(m *member) bool { return m.State == Suspect && m.locallySuspected }) {
		m := c.members[name]
		if now.Before(m.suspicionDeadline) {
			continue
		}
		failed := m.Host
		failed.State = Failed
		c.updateMember(m, failed, now, fmt.Sprintf("suspected for %v", c.currentSuspicionTimeout()))
	}
}

// forgetAbsentHosts removes hosts that have been absent for failedRetention or
// were removed from the platform's host list. A host that is not fresh may
// itself be isolated, so it does not remove hosts by age: otherwise a small
// part of the fleet would eventually count itself as the whole.
func (c *Core) forgetAbsentHosts(now time.Time) {
	for name := range c.absent {
		m := c.members[name]
		reason := ""
		if c.everListed[name] && !c.listed[name] {
			reason = "dropped from the platform's list"
		} else if now.Sub(m.changedAt) >= failedRetention {
			if fresh, _ := c.Fresh(now); fresh {
				reason = fmt.Sprintf("gone for %v", failedRetention)
			}
		}
		if reason == "" {
			continue
		}
		if len(c.tombstones) >= maxTombstones {
			clear(c.tombstones)
		}
		c.tombstones[name] = m.Incarnation
		delete(c.absent, name)
		delete(c.members, name)
		c.viewChanged = true
		c.addAction(LogEvent{Message: "host_forgotten", Host: name, State: m.State, Reason: reason})
	}
}
