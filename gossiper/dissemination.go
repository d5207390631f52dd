package gossiper

import (
	"cmp"
	"math/bits"
	"slices"
	"time"
)

// An updateKey identifies an update that may be new to other hosts.
type updateKey struct {
	kind updateKind
	// name is the name of a host or a service.
	name string
	// host is the reporting host of an unavailability report.
	host string
}

type updateKind uint8

const (
	hostUpdate updateKind = iota
	claimUpdate
	unavailabilityUpdate
)

// A queuedUpdate is an update with the number of times that it was sent.
type queuedUpdate struct {
	key       updateKey
	sendCount int
}

// retransmitLimit returns how often an update is sent. With n hosts, it reaches all
// of them after about log2 n transmissions with a high probability. Where it does
// not, the digests differ.
func (c *Core) retransmitLimit() int { return 3 * bits.Len(uint(c.fleetSize())) }

func (c *Core) queueHostUpdate(name string) { c.queueUpdate(updateKey{kind: hostUpdate, name: name}) }

func (c *Core) queueUpdate(key updateKey) { c.queuedUpdates[key] = &queuedUpdate{key: key} }

// heartbeat returns a heartbeat with the updates that were sent least often.
func (c *Core) heartbeat(now time.Time, to string) Heartbeat {
	h := c.baseHeartbeat(now, to)
	c.addUpdates(&h, now, to)
	c.addConfirmations(&h, now)
	if c.shouldRequestFullState(now, to) {
		h.RequestFullState = true
	}
	return h
}

// baseHeartbeat returns a heartbeat without queued updates.
func (c *Core) baseHeartbeat(now time.Time, to string) Heartbeat {
	h := Heartbeat{From: c.Self, Revision: c.revision, Digest: c.digest}
	if at, _ := c.lastFreshAt(now); !at.IsZero() && now.Sub(at) < maxFreshAge {
		h.Fresh, h.FreshAge = true, now.Sub(at)
	}
	if m := c.members[to]; m != nil {
		h.ReceivedRecently = now.Sub(m.lastReceivedAt) < recentMessageAge
		if m.State == Suspect || m.State == Failed {
			// The host has to receive the suspicion to refute it.
			h.Members = append(h.Members, m.Host)
		}
	}
	return h
}

// addUpdates adds the queued updates that fit, those that were sent least often
// first.
func (c *Core) addUpdates(h *Heartbeat, now time.Time, to string) {
	updates := make([]*queuedUpdate, 0, len(c.queuedUpdates))
	for _, update := range c.queuedUpdates {
		updates = append(updates, update)
	}
	slices.SortFunc(updates, func(a, b *queuedUpdate) int {
		return cmp.Or(cmp.Compare(a.sendCount, b.sendCount), cmp.Compare(a.key.kind, b.key.kind),
			cmp.Compare(a.key.name, b.key.name), cmp.Compare(a.key.host, b.key.host))
	})
	limit, remaining := c.retransmitLimit(), maxUpdateBytes
	if c.isLargeFleet() && c.availableBytes(now) < 0 {
		remaining = maxThrottledUpdateBytes
	}
	for _, update := range updates {
		size := c.addUpdate(h, update.key, now, to, remaining)
		if size < 0 {
			break
		}
		remaining -= size
		update.sendCount++
		if size == 0 || update.sendCount >= limit {
			delete(c.queuedUpdates, update.key)
		}
	}
}

// addUpdate adds one update and returns its size, 0 if the update is obsolete, or -1
// if it does not fit.
func (c *Core) addUpdate(h *Heartbeat, key updateKey, now time.Time, to string, remaining int) int {
	switch key.kind {
	case hostUpdate:
		host, ok := c.lookupHost(key.name)
		if !ok {
			return 0
		}
		if key.name == c.Self.Name || key.name == to {
			// Every heartbeat describes its sender, and the receiver has its own state.
			return 1
		}
		if host.size() > remaining {
			return -1
		}
		h.Members = append(h.Members, host)
		return host.size()
	case claimUpdate:
		claim, ok := c.claims[key.name]
		if !ok {
			return 0
		}
		if claim.size() > remaining {
			return -1
		}
		h.Claims = append(h.Claims, claim)
		return claim.size()
	default:
		u, ok := c.unavailable[unavailabilityKey{service: key.name, host: key.host}]
		if !ok {
			return 0
		}
		report := u.withRemaining(now)
		if report.size() > remaining {
			return -1
		}
		h.UnavailabilityReports = append(h.UnavailabilityReports, report)
		return report.size()
	}
}

func (c *Core) lookupHost(name string) (Host, bool) {
	if name == c.Self.Name {
		return c.Self, true
	}
	if m := c.members[name]; m != nil {
		return m.Host, true
	}
	return Host{}, false
}

// fullStateHeartbeat returns a heartbeat with all members, claims and unavailability
// reports, or a random subset if they do not fit.
func (c *Core) fullStateHeartbeat(now time.Time, to string) Heartbeat {
	h := c.baseHeartbeat(now, to)
	remaining := maxFullStateBytes
	names := c.sortedNames(func(m *member) bool { return m.State != Left })
	c.Rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	for _, name := range names {
		if host := c.members[name].Host; host.size() <= remaining {
			h.Members = append(h.Members, host)
			remaining -= host.size()
		}
	}
	services := sortedKeys(c.claims)
	c.Rand.Shuffle(len(services), func(i, j int) { services[i], services[j] = services[j], services[i] })
	for _, service := range services {
		if claim := c.claims[service]; claim.size() <= remaining {
			h.Claims = append(h.Claims, claim)
			remaining -= claim.size()
		}
	}
	for _, u := range c.unavailable {
		if report := u.withRemaining(now); report.size() <= remaining {
			h.UnavailabilityReports = append(h.UnavailabilityReports, report)
			remaining -= report.size()
		}
	}
	return h
}

// compareDigest records whether the digest of a host differs from the digest of this
// one. If it still does after all updates have had time to propagate,
// shouldRequestFullState requests the full state.
func (c *Core) compareDigest(h Heartbeat) {
	switch {
	case h.Digest != c.digest:
		c.digestMismatchPeer = h.From.Name
	case c.digestMismatchPeer == h.From.Name:
		c.digestMismatchPeer = ""
	}
}

// shouldRequestFullState reports whether the next heartbeat to a host requests the
// full state.
func (c *Core) shouldRequestFullState(now time.Time, to string) bool {
	if len(c.members) == 0 && !now.Before(c.nextFullRequest) {
		// This host is joining. In the first round it sends the request to all its seeds.
		return true
	}
	settleTime := 4 * c.currentRoundInterval()
	if c.isLargeFleet() {
		settleTime = 10 * time.Second
	}
	if c.digestMismatchPeer != to || to == "" || now.Sub(c.digestChangedAt) < settleTime || now.Before(c.nextFullRequest) {
		return false
	}
	// A full-state reply with 730 hosts has about 50 KB, which has to average out to
	// well under the limit of 4 KB/s.
	delay := time.Duration(len(c.members)*70) * time.Millisecond
	c.nextFullRequest = now.Add(max(4*time.Second, delay))
	c.digestMismatchPeer = ""
	return true
}

// consumeBytes charges a message of the given size to the traffic budget.
func (c *Core) consumeBytes(bytes int, now time.Time) {
	c.byteTokens = max(-maxTrafficDebt, c.availableBytes(now)-float64(bytes+messageOverhead))
}

// availableBytes returns how many bytes may be sent now; it is negative if the budget
// is overdrawn.
func (c *Core) availableBytes(now time.Time) float64 {
	c.byteTokens = min(trafficBurst, c.byteTokens+now.Sub(c.byteTokensUpdatedAt).Seconds()*trafficRate)
	c.byteTokensUpdatedAt = now
	return c.byteTokens
}
