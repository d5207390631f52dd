package gossiper

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minFetchInterval is the minimum time between two fetches, and maxFetchBackoff
	// the maximum backoff after failures, before jitter.
	minFetchInterval = 100 * time.Millisecond
	maxFetchBackoff  = 2 * time.Second
	// maxFetchTimeout is the maximum timeout of a fetch.
	maxFetchTimeout = 5 * time.Second
	// fetchAttemptsPerTimeout is the number of failed fetches after which the timeout
	// and the backoff are doubled: a few peers that hang must not delay a
	// configuration for seconds.
	fetchAttemptsPerTimeout = 3
	// confirmationSpreadTime is how long a change of the confirmations is sent.
	confirmationSpreadTime = 10 * time.Second
)

// SetRevision records that this host has adopted a configuration revision.
func (c *Core) SetRevision(now time.Time, revision uint64) []Action {
	if revision > c.revision {
		c.revision = revision
		c.recordConfirmation(c.Self.Name, revision, now)
		c.expediteRound(now)
		c.fetchIfBehind(now)
	}
	return c.takeActions()
}

// recordRevision records the revision that a host had at a time.
func (c *Core) recordRevision(m *member, revision uint64, at, now time.Time) {
	m.revision = max(m.revision, revision)
	c.newestRevision = max(c.newestRevision, revision)
	if at.After(m.revisionAt) {
		m.revisionAt = at
	}
	c.recordConfirmation(m.Name, revision, now)
	c.fetchIfBehind(now)
}

// behind reports whether another host has, or had, a newer configuration than this
// one.
func (c *Core) behind() bool { return c.newestRevision > c.revision }

// fetchIfBehind fetches the configuration from one of the present hosts with the
// newest revision.
func (c *Core) fetchIfBehind(now time.Time) {
	if c.fetching || now.Before(c.nextFetch) || !c.behind() {
		return
	}
	newestPresent := uint64(0)
	for _, m := range c.members {
		if m.present() {
			newestPresent = max(newestPresent, m.revision)
		}
	}
	if newestPresent <= c.revision {
		// The hosts that have it are absent. A later round may find one again.
		c.nextFetch = now.Add(minFetchInterval)
		return
	}
	names := c.sortedNames(func(m *member) bool { return m.present() && m.revision == newestPresent })
	m := c.members[names[c.Rand.IntN(len(names))]]
	c.fetching = true
	timeout := min(maxFetchTimeout, replyTimeout<<min(c.fetchFailures/fetchAttemptsPerTimeout, 8))
	c.addAction(Fetch{Host: m.Name, Address: m.PeerAddress, Revision: m.revision, Timeout: timeout})
}

// HandleFetchResult processes the end of a fetch. A fetched revision was passed to
// SetRevision before.
func (c *Core) HandleFetchResult(now time.Time, ok bool) []Action {
	c.fetching = false
	wait := minFetchInterval
	if ok {
		c.fetchFailures = 0
	} else {
		wait = min(maxFetchBackoff, minFetchInterval<<min(c.fetchFailures/fetchAttemptsPerTimeout, 8))
		wait = wait/2 + time.Duration(c.Rand.Int64N(int64(wait)))
		c.fetchFailures++
	}
	c.nextFetch = now.Add(wait)
	return c.takeActions()
}

// A confirmationSet holds the hosts known to have adopted a revision.
type confirmationSet struct {
	revision  uint64
	hosts     map[string]bool
	changedAt time.Time
}

// recordConfirmation records that a host has adopted a revision.
func (c *Core) recordConfirmation(host string, revision uint64, now time.Time) {
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

// A hostListCache holds the sorted names that bitmaps refer to and their hash, as of
// a generation of the members.
type hostListCache struct {
	generation int
	names      []string
	hash       uint64
}

// bitmapHosts returns the sorted names of the present hosts and their hash.
func (c *Core) bitmapHosts() ([]string, uint64) {
	list := &c.bitmapHostCache
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
	*list = hostListCache{generation: c.generation, names: names, hash: hash.Sum64()}
	return list.names, list.hash
}

// addConfirmations adds the confirmations in a large fleet, where not all hosts
// exchange heartbeats directly within seconds.
func (c *Core) addConfirmations(h *Heartbeat, now time.Time) {
	set := &c.confirmations
	if !c.isLargeFleet() || set.revision == 0 || now.Sub(set.changedAt) > confirmationSpreadTime {
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

// mergeConfirmations applies received confirmations if their bitmap refers to the
// same hosts.
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
		c.recordConfirmation(name, received.Revision, now)
		if m := c.members[name]; m.revision < received.Revision {
			m.revision, m.revisionAt = received.Revision, now
		}
	}
	c.newestRevision = max(c.newestRevision, received.Revision)
}
