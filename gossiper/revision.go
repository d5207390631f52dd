package gossiper

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// fetchInterval is the least time between two fetches, and fetchBackoff the
	// longest after failures.
	fetchInterval = 100 * time.Millisecond
	fetchBackoff  = 2 * time.Second
	// fetchTimeout is the longest time given to a fetch.
	fetchTimeout = 5 * time.Second
	// fetchTries is the number of fetches with the same time: a few peers that
	// hang must not hold up a configuration for seconds.
	fetchTries = 3
	// confirmationsFor is how long a change of the confirmations is spread.
	confirmationsFor = 10 * time.Second
)

// SetRevision says that this host has adopted a configuration.
func (c *Core) SetRevision(now time.Time, revision uint64) []Action {
	if revision > c.revision {
		c.revision = revision
		c.confirm(c.Self.Name, revision, now)
		c.hurry(now)
		c.fetchIfBehind(now)
	}
	return c.flush()
}

// noteRevision notes the revision that a host had at a time.
func (c *Core) noteRevision(m *member, revision uint64, at, now time.Time) {
	m.revision = max(m.revision, revision)
	c.newest = max(c.newest, revision)
	if at.After(m.revisionAt) {
		m.revisionAt = at
	}
	c.confirm(m.Name, revision, now)
	c.fetchIfBehind(now)
}

// behind reports whether a host has, or had, a newer configuration.
func (c *Core) behind() bool { return c.newest > c.revision }

// fetchIfBehind fetches from one of the hosts with the newest configuration.
func (c *Core) fetchIfBehind(now time.Time) {
	if c.fetching || now.Before(c.nextFetch) || !c.behind() {
		return
	}
	newest := uint64(0)
	for _, m := range c.members {
		if m.present() {
			newest = max(newest, m.revision)
		}
	}
	if newest <= c.revision {
		// The hosts that have it are gone. Another round may bring it back.
		c.nextFetch = now.Add(fetchInterval)
		return
	}
	names := c.sortedNames(func(m *member) bool { return m.present() && m.revision == newest })
	m := c.members[names[c.Rand.IntN(len(names))]]
	c.fetching = true
	timeout := min(fetchTimeout, answerTimeout<<min(c.fetchFailures/fetchTries, 8))
	c.act(Fetch{Host: m.Name, Address: m.PeerAddress, Revision: m.revision, Timeout: timeout})
}

// Fetched ends a fetch. What was adopted was given to SetRevision before.
func (c *Core) Fetched(now time.Time, ok bool) []Action {
	c.fetching = false
	wait := fetchInterval
	if ok {
		c.fetchFailures = 0
	} else {
		wait = min(fetchBackoff, fetchInterval<<min(c.fetchFailures/fetchTries, 8))
		wait = wait/2 + time.Duration(c.Rand.Int64N(int64(wait)))
		c.fetchFailures++
	}
	c.nextFetch = now.Add(wait)
	return c.flush()
}

// A confirmationSet holds the hosts known to have adopted a revision.
type confirmationSet struct {
	revision  uint64
	hosts     map[string]bool
	changedAt time.Time
}

// confirm notes that a host has adopted a revision.
func (c *Core) confirm(host string, revision uint64, now time.Time) {
	set := &c.confirmations
	if revision < set.revision || revision == 0 {
		return
	}
	if revision > set.revision {
		*set = confirmationSet{revision: revision, hosts: make(map[string]bool), changedAt: now}
	}
	if !set.hosts[host] {
		set.hosts[host] = true
		set.changedAt = now
	}
}

// A hostList holds the sorted names that bitmaps refer to and their hash.
type hostList struct {
	generation int
	names      []string
	hash       uint64
}

// bitmapHosts returns the hosts that take part.
func (c *Core) bitmapHosts() ([]string, uint64) {
	list := &c.bitmapList
	if list.names != nil && list.generation == c.generation {
		return list.names, list.hash
	}
	names := append(c.sortedNames((*member).present), c.Self.Name)
	slices.Sort(names)
	hash := xxhash.New()
	for _, name := range names {
		// A hash.Hash never returns an error.
		_, _ = hash.WriteString(name)
		_, _ = hash.Write([]byte{0})
	}
	*list = hostList{generation: c.generation, names: names, hash: hash.Sum64()}
	return list.names, list.hash
}

// addConfirmations adds the bitmap where hosts are too many to hear from each
// other directly within seconds.
func (c *Core) addConfirmations(h *Heartbeat, now time.Time) {
	set := &c.confirmations
	if !c.large() || set.revision == 0 || now.Sub(set.changedAt) > confirmationsFor {
		return
	}
	names, hash := c.bitmapHosts()
	bitmap := make([]byte, (len(names)+7)/8)
	for i, name := range names {
		if set.hosts[name] {
			bitmap[i/8] |= 1 << (i % 8)
		}
	}
	h.Confirmations = Confirmations{Revision: set.revision, Hosts: hash, Bitmap: bitmap}
}

// mergeConfirmations takes in a bitmap over the same hosts.
func (c *Core) mergeConfirmations(received Confirmations, now time.Time) {
	if len(received.Bitmap) == 0 || received.Revision < c.confirmations.revision {
		return
	}
	names, hash := c.bitmapHosts()
	if hash != received.Hosts || len(received.Bitmap) != (len(names)+7)/8 {
		return
	}
	for i, name := range names {
		if received.Bitmap[i/8]&(1<<(i%8)) == 0 || name == c.Self.Name {
			continue
		}
		c.confirm(name, received.Revision, now)
		if m := c.members[name]; m.revision < received.Revision {
			m.revision, m.revisionAt = received.Revision, now
		}
	}
	c.newest = max(c.newest, received.Revision)
}
