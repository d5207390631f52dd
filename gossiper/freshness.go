package gossiper

import (
	"fmt"
	"slices"
	"time"
)

const (
	// sampledFleet is the number of known hosts above which the majority may be
	// taken of the hosts contacted lately. That is done where rounds are too
	// small to reach all hosts within 2 s.
	sampledFleet = 16
	// minSample is the least number of contacts that stand for the fleet.
	minSample = 4
)

// StoreContact says that the store confirmed the adopted revision as the newest
// one, in an answer to a request sent at the time.
func (c *Core) StoreContact(sentAt time.Time) []Action {
	if sentAt.After(c.contactAt) {
		c.contactAt, c.contactVia = sentAt, "the store"
	}
	return c.flush()
}

// noteContact counts an answer that names no newer revision than this host has.
// An answer's age counts from the time of the request, so that one that was
// delayed makes nothing fresher than it is.
func (c *Core) noteContact(m *member, reply Heartbeat, sentAt time.Time) {
	c.noteAsked(m, sentAt)
	if reply.Revision > c.revision {
		return
	}
	if sentAt.After(m.agreedAt) {
		m.agreedAt = sentAt
	}
	if at := sentAt.Add(-reply.FreshAge); reply.Fresh && reply.FreshAge >= 0 && at.After(c.contactAt) {
		c.contactAt, c.contactVia = at, m.Name
	}
}

// noteAsked notes a request that was answered or timed out.
func (c *Core) noteAsked(m *member, sentAt time.Time) {
	if sentAt.After(m.contactedAt) {
		m.contactedAt = sentAt
	}
	c.recent[m.Name] = true
}

// freshAt returns the latest time at which this host is known to have had the
// newest configuration, and by what; zero if never.
func (c *Core) freshAt(now time.Time) (time.Time, string) {
	majority, count := c.majorityAt(now)
	if majority.After(c.contactAt) {
		return majority, fmt.Sprintf("answers of %d hosts", count)
	}
	return c.contactAt, c.contactVia
}

// majorityAt returns the time by which a majority had answered: when the oldest
// of the answers was asked for that make up the majority.
func (c *Core) majorityAt(now time.Time) (time.Time, int) {
	known := c.size() + len(c.unknownCandidates())
	for name := range c.gone {
		if c.members[name].State == Failed {
			known++
		}
	}
	answering := c.size()
	for name := range c.timed {
		if m := c.members[name]; m.State == Suspect || !m.doubtUntil.IsZero() {
			answering--
		}
	}
	contacted, times := c.recentAnswers(now)
	need := known / 2
	if known == 1 {
		return now, 0
	}
	if known > sampledFleet && c.large() {
		if contacted <= minSample {
			return time.Time{}, 0
		}
		// The share of the contacted hosts that answer stands for that of the
		// hosts that no host misses; together they have to be a majority of the
		// known ones. One more answer makes up for chance in a small sample.
		need = min(known*contacted/(2*answering)+1, contacted-1)
		if answering <= known/2 {
			return time.Time{}, 0
		}
	}
	if len(times) < need {
		return time.Time{}, 0
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[need-1], need
}

// recentAnswers returns the number of hosts contacted lately, with this one, and
// when those were asked that agreed.
func (c *Core) recentAnswers(now time.Time) (contacted int, times []time.Time) {
	contacted = 1
	times = c.times[:0]
	for name := range c.recent {
		m := c.members[name]
		if m == nil || !m.present() || now.Sub(m.contactedAt) >= freshFor {
			delete(c.recent, name)
			continue
		}
		contacted++
		if now.Sub(m.agreedAt) < freshFor {
			times = append(times, m.agreedAt)
		}
	}
	c.times = times
	return contacted, times
}

// Fresh reports whether this host may serve routes with keys, and why.
func (c *Core) Fresh(now time.Time) (bool, string) {
	at, via := c.freshAt(now)
	if at.IsZero() {
		return false, "no contact with the store, a fresh host or a majority of the hosts"
	}
	age := now.Sub(at)
	return age < freshFor, fmt.Sprintf("%v since contact by %s", age.Round(time.Millisecond), via)
}

// FreshUntil returns until when the host is fresh if nothing more is heard; the
// zero time if it is not.
func (c *Core) FreshUntil(now time.Time) time.Time {
	at, _ := c.freshAt(now)
	if at.IsZero() || now.Sub(at) >= freshFor {
		return time.Time{}
	}
	return at.Add(freshFor)
}
