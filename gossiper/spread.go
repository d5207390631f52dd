package gossiper

import (
	"cmp"
	"math/bits"
	"slices"
	"time"
)

// A newsKey names something that may be new to other hosts.
type newsKey struct {
	kind newsKind
	// name is a host or a service.
	name string
	// host is set for declarations of being unable.
	host string
}

type newsKind uint8

const (
	newsHost newsKind = iota
	newsClaim
	newsUnable
)

// A newsItem counts how often something new was sent.
type newsItem struct {
	key  newsKey
	sent int
}

// spreadLimit is how often a change is sent. It reaches all hosts after about
// log2 n times with a high probability, and the digest shows where it did not.
func (c *Core) spreadLimit() int { return 3 * bits.Len(uint(c.size())) }

func (c *Core) spreadHost(name string) { c.spread(newsKey{kind: newsHost, name: name}) }

func (c *Core) spread(key newsKey) { c.news[key] = &newsItem{key: key} }

// heartbeat returns a heartbeat with the changes that were sent least often.
func (c *Core) heartbeat(now time.Time, to string) Heartbeat {
	h := c.plainHeartbeat(now, to)
	c.addNews(&h, now, to)
	c.addConfirmations(&h, now)
	if c.wantsFull(now, to) {
		h.Full = true
	}
	return h
}

// plainHeartbeat returns a heartbeat without news.
func (c *Core) plainHeartbeat(now time.Time, to string) Heartbeat {
	h := Heartbeat{From: c.Self, Revision: c.revision, Digest: c.digest}
	if at, _ := c.freshAt(now); !at.IsZero() && now.Sub(at) < freshFor {
		h.Fresh, h.FreshAge = true, now.Sub(at)
	}
	if m := c.members[to]; m != nil {
		h.Heard = now.Sub(m.heardAt) < heardWithin
		if m.State == Suspect || m.State == Failed {
			// The host has to hear of it to refute.
			h.Members = append(h.Members, m.Host)
		}
	}
	return h
}

func (c *Core) addNews(h *Heartbeat, now time.Time, to string) {
	items := make([]*newsItem, 0, len(c.news))
	for _, item := range c.news {
		items = append(items, item)
	}
	slices.SortFunc(items, func(a, b *newsItem) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(a.key.kind, b.key.kind),
			cmp.Compare(a.key.name, b.key.name), cmp.Compare(a.key.host, b.key.host))
	})
	limit, left := c.spreadLimit(), changeBytes
	if c.large() && c.credit(now) < 0 {
		left = savingBytes
	}
	for _, item := range items {
		size := c.addItem(h, item.key, now, to, left)
		if size < 0 {
			break
		}
		left -= size
		item.sent++
		if size == 0 || item.sent >= limit {
			delete(c.news, item.key)
		}
	}
}

// addItem adds one item and returns its size, 0 if there is nothing to tell, or
// -1 if it does not fit.
func (c *Core) addItem(h *Heartbeat, key newsKey, now time.Time, to string, left int) int {
	switch key.kind {
	case newsHost:
		host, ok := c.describe(key.name)
		if !ok {
			return 0
		}
		if key.name == c.Self.Name || key.name == to {
			// Every heartbeat describes its sender, and the receiver knows itself.
			return 1
		}
		if host.size() > left {
			return -1
		}
		h.Members = append(h.Members, host)
		return host.size()
	case newsClaim:
		claim, ok := c.claims[key.name]
		if !ok {
			return 0
		}
		if claim.size() > left {
			return -1
		}
		h.Claims = append(h.Claims, claim)
		return claim.size()
	default:
		u, ok := c.unable[unableKey{service: key.name, host: key.host}]
		if !ok {
			return 0
		}
		wire := u.wire(now)
		if wire.size() > left {
			return -1
		}
		h.Unable = append(h.Unable, wire)
		return wire.size()
	}
}

func (c *Core) describe(name string) (Host, bool) {
	if name == c.Self.Name {
		return c.Self, true
	}
	if m := c.members[name]; m != nil {
		return m.Host, true
	}
	return Host{}, false
}

// fullHeartbeat returns a heartbeat with all members and claims, or a random
// part of them where they do not fit.
func (c *Core) fullHeartbeat(now time.Time, to string) Heartbeat {
	h := c.plainHeartbeat(now, to)
	left := fullBytes
	names := c.sortedNames(func(m *member) bool { return m.State != Left })
	c.Rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	for _, name := range names {
		if host := c.members[name].Host; host.size() <= left {
			h.Members = append(h.Members, host)
			left -= host.size()
		}
	}
	services := sortedKeys(c.claims)
	c.Rand.Shuffle(len(services), func(i, j int) { services[i], services[j] = services[j], services[i] })
	for _, service := range services {
		if claim := c.claims[service]; claim.size() <= left {
			h.Claims = append(h.Claims, claim)
			left -= claim.size()
		}
	}
	for _, u := range c.unable {
		if wire := u.wire(now); wire.size() <= left {
			h.Unable = append(h.Unable, wire)
			left -= wire.size()
		}
	}
	return h
}

// compareDigest asks for everything when a host's knowledge still differs after
// all news have had time to spread.
func (c *Core) compareDigest(h Heartbeat) {
	switch {
	case h.Digest != c.digest:
		c.differsFrom = h.From.Name
	case c.differsFrom == h.From.Name:
		c.differsFrom = ""
	}
}

// wantsFull reports whether the next heartbeat to a host asks for everything.
func (c *Core) wantsFull(now time.Time, to string) bool {
	if len(c.members) == 0 && !now.Before(c.nextFull) {
		// This host joins. It asks all its seeds at once in the first round.
		return true
	}
	settle := 4 * c.interval()
	if c.large() {
		settle = 10 * time.Second
	}
	if c.differsFrom != to || to == "" || now.Sub(c.quietSince) < settle || now.Before(c.nextFull) {
		return false
	}
	// A full answer of 730 hosts has about 50 KB, which has to average out to
	// well under the limit of 4 KB/s.
	pause := time.Duration(len(c.members)*70) * time.Millisecond
	c.nextFull = now.Add(max(4*time.Second, pause))
	c.differsFrom = ""
	return true
}

// spend accounts for traffic.
func (c *Core) spend(bytes int, now time.Time) {
	c.bucket = max(-byteDebt, c.credit(now)-float64(bytes+messageOverhead))
}

// credit returns how many bytes may be sent now.
func (c *Core) credit(now time.Time) float64 {
	c.bucket = min(byteBurst, c.bucket+now.Sub(c.bucketAt).Seconds()*byteBudget)
	c.bucketAt = now
	return c.bucket
}
