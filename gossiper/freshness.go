package gossiper

import (
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// samplingThreshold is the number of known hosts above which the majority may
	// be estimated from the recently polled hosts. This is done where rounds are too
	// small to reach all hosts within 2 s.
	samplingThreshold = 16
	// minSampleSize is the minimum number of polled hosts, not counting this one, that
	// represent the fleet.
	minSampleSize = 4
)

// RecordStoreContact records that the store confirmed the adopted revision as the
// newest one, in the response to a request sent at sentAt.
func (c *Core) RecordStoreContact(sentAt time.Time) []Action {
	if sentAt.After(c.lastContactAt) {
		c.lastContactAt, c.lastContactSource = sentAt, "the store"
	}
	return c.takeActions()
}

// recordContact counts a reply that reports no newer revision than this host has.
// The age of a reply counts from the time of the request, so that a delayed reply
// does not make this host fresher than it is.
func (c *Core) recordContact(m *member, reply Heartbeat, sentAt time.Time) {
	c.recordPoll(m, sentAt)
	if reply.Revision > c.revision {
		return
	}
	if sentAt.After(m.lastAgreedAt) {
		m.lastAgreedAt = sentAt
	}
	if at := sentAt.Add(-reply.FreshAge); reply.Fresh && reply.FreshAge >= 0 && at.After(c.lastContactAt) {
		c.lastContactAt, c.lastContactSource = at, m.Name
	}
}

// recordPoll records a request that received a reply or timed out.
func (c *Core) recordPoll(m *member, sentAt time.Time) {
	if sentAt.After(m.lastPolledAt) {
		m.lastPolledAt = sentAt
	}
	c.recentlyPolled[m.Name] = true
}

// lastFreshAt returns the latest time at which this host is known to have had the
// newest configuration and the source of that knowledge, or the zero time if none.
func (c *Core) lastFreshAt(now time.Time) (time.Time, string) {
	majority, count := c.majorityAgreedAt(now)
	if majority.After(c.lastContactAt) {
		return majority, fmt.Sprintf("answers of %d hosts", count)
	}
	return c.lastContactAt, c.lastContactSource
}

// majorityAgreedAt returns the time at which a majority of the hosts was last
// confirmed to have the revision of this host, or the zero time, and the number of
// replies that this takes besides this host. The time is when the oldest request
// among the most recent ones that form the majority was sent.
func (c *Core) majorityAgreedAt(now time.Time) (time.Time, int) {
	known := c.fleetSize() + len(c.unresolvedCandidates())
	for name := range c.absent {
		if c.members[name].State == Failed {
			known++
		}
	}
	responsive := c.fleetSize()
	for name := range c.deadlineMembers {
		if m := c.members[name]; m.State == Suspect || !m.probeDeadline.IsZero() {
			responsive--
		}
	}
	polled, requestTimes := c.recentReplies(now)
	required := known / 2
	if known == 1 {
		return now, 0
	}
	if known > samplingThreshold && c.isLargeFleet() {
		if polled <= minSampleSize {
			return time.Time{}, 0
		}
		if responsive <= known/2 {
			return time.Time{}, 0
		}
		required = sampledMajority(known, responsive, polled+c.awaitedHosts())
	}
	if len(requestTimes) < required {
		return time.Time{}, 0
	}
	slices.SortFunc(requestTimes, func(a, b time.Time) int { return b.Compare(a) })
	return requestTimes[required-1], required
}

// sampledMajority returns the number of agreeing replies from which a host with a
// sample of polled hosts, including itself, infers that a majority of the known
// hosts has its revision. The share of polled hosts that agree is taken as an
// estimate for all responsive hosts, those that are neither suspected nor probed
// indirectly. The margin is the standard deviation of the number of agreeing hosts
// in a sample of a fleet of which half agrees, so that a part of the fleet just
// below one half seldom counts itself as the majority.
func sampledMajority(known, responsive, polled int) int {
	margin := int(math.Ceil(math.Sqrt(float64(polled)) / 2))
	return min(known*polled/(2*responsive)+margin, polled-1)
}

// awaitedHosts returns the number of hosts that were not polled recently and whose
// reply is awaited. They belong to the sample: reachable hosts reply at once, while
// it takes replyTimeout to find out that a host is unreachable.
func (c *Core) awaitedHosts() int {
	count := 0
	for _, request := range c.pendingHeartbeats {
		if m := c.members[request.host]; m != nil && m.present() && !c.recentlyPolled[m.Name] {
			count++
		}
	}
	return count
}

// recentReplies returns the number of hosts polled within maxFreshAge, including
// this one, and the request times of the replies that agreed with the revision.
func (c *Core) recentReplies(now time.Time) (polled int, requestTimes []time.Time) {
	polled = 1
	requestTimes = c.requestTimesBuffer[:0]
	for name := range c.recentlyPolled {
		m := c.members[name]
		if m == nil || !m.present() || now.Sub(m.lastPolledAt) >= maxFreshAge {
			delete(c.recentlyPolled, name)
			continue
		}
		polled++
		if now.Sub(m.lastAgreedAt) < maxFreshAge {
			requestTimes = append(requestTimes, m.lastAgreedAt)
		}
	}
	c.requestTimesBuffer = requestTimes
	return polled, requestTimes
}

// Fresh reports whether the configuration of this host is recent enough to check
// access keys, and why.
func (c *Core) Fresh(now time.Time) (bool, string) {
	at, source := c.lastFreshAt(now)
	if at.IsZero() {
		return false, "no contact with the store, a fresh host or a majority of the hosts"
	}
	age := now.Sub(at)
	return age < maxFreshAge, fmt.Sprintf("%v since contact by %s", age.Round(time.Millisecond), source)
}

// FreshUntil returns the time until which this host stays fresh without further
// contact, or the zero time if it is not fresh.
func (c *Core) FreshUntil(now time.Time) time.Time {
	at, _ := c.lastFreshAt(now)
	if at.IsZero() || now.Sub(at) >= maxFreshAge {
		return time.Time{}
	}
	return at.Add(maxFreshAge)
}
