package gossiper

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// claimHash is the claim's part of the digest.
func claimHash(c Claim) uint64 {
	if c.Service == "" {
		return 0
	}
	buf := make([]byte, 0, 64)
	buf = append(buf, c.Service...)
	buf = append(buf, 0)
	buf = append(buf, c.Host...)
	withdrawn := byte(0)
	if c.Withdrawn {
		withdrawn = 1
	}
	buf = append(buf, 0, withdrawn)
	buf = binary.BigEndian.AppendUint64(buf, c.Incarnation)
	buf = binary.BigEndian.AppendUint64(buf, c.Term)
	return xxhash.Sum64(buf)
}

// beats reports whether claim a counts rather than b. The databases accept a
// term from one host only, so the comparison of hosts just makes the order total.
func beats(a, b Claim) bool {
	if a.Term != b.Term {
		return a.Term > b.Term
	}
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.Host != b.Host {
		return a.Host > b.Host
	}
	return a.Withdrawn && !b.Withdrawn
}

// Claim announces that this host holds a service in a term.
func (c *Core) Claim(now time.Time, service string, term uint64) []Action {
	c.mergeClaim(Claim{Service: service, Host: c.Self.Name, Incarnation: c.Self.Incarnation, Term: term}, now)
	return c.flush()
}

// Withdraw announces that this host no longer holds a service, unless another
// host has claimed it since.
func (c *Core) Withdraw(now time.Time, service string) []Action {
	claim := c.claims[service]
	if claim.Host == c.Self.Name {
		claim.Withdrawn = true
		c.mergeClaim(claim, now)
	}
	return c.flush()
}

// renewClaims announces the claims of this host again after its incarnation has
// changed, since claims of another incarnation do not count as live.
func (c *Core) renewClaims(before uint64, now time.Time) {
	for _, service := range sortedKeys(c.claims) {
		claim := c.claims[service]
		if claim.Host == c.Self.Name && claim.Incarnation == before && !claim.Withdrawn {
			claim.Incarnation = c.Self.Incarnation
			c.mergeClaim(claim, now)
		}
	}
}

func (c *Core) mergeClaim(claim Claim, now time.Time) {
	known := c.claims[claim.Service]
	if claim.Service == "" || !beats(claim, known) {
		return
	}
	c.digest ^= claimHash(known) ^ claimHash(claim)
	c.quietSince = now
	c.claims[claim.Service] = claim
	c.spread(newsKey{kind: newsClaim, name: claim.Service})
	c.changed = true
	c.hurry(now)
}

type unableKey struct {
	service string
	host    string
}

// An unableEntry is a declaration with its end; a revoked one has passed it.
type unableEntry struct {
	Unable
	until   time.Time
	revoked bool
}

// wire returns the declaration with the time that remains.
func (u *unableEntry) wire(now time.Time) Unable {
	w := u.Unable
	w.Remaining = max(0, u.until.Sub(now))
	if u.revoked {
		w.Remaining = 0
	}
	return w
}

// SetUnable declares that this host reaches no majority of a service's
// databases, or that it does again. A declaration counts for 10 s.
func (c *Core) SetUnable(now time.Time, service string, unable bool) []Action {
	known, ok := c.unable[unableKey{service: service, host: c.Self.Name}]
	if !unable && (!ok || known.revoked) {
		return c.flush()
	}
	u := Unable{
		Service: service, Host: c.Self.Name, Incarnation: c.Self.Incarnation,
		Sequence: uint64(now.Sub(c.started)) + 1,
	}
	if unable {
		u.Remaining = unableFor
	}
	c.mergeUnable(u, now)
	c.hurry(now)
	return c.flush()
}

func (c *Core) mergeUnable(u Unable, now time.Time) {
	key := unableKey{service: u.Service, host: u.Host}
	known, ok := c.unable[key]
	if ok && (u.Incarnation < known.Incarnation || u.Incarnation == known.Incarnation && u.Sequence <= known.Sequence) {
		return
	}
	entry := &unableEntry{Unable: u, until: now.Add(min(u.Remaining, unableFor))}
	if u.Remaining <= 0 {
		// The entry stays for as long as an older declaration may be on its way.
		entry.revoked = true
		entry.until = now.Add(unableFor)
	}
	c.unable[key] = entry
	c.spread(newsKey{kind: newsUnable, name: u.Service, host: u.Host})
	c.changed = true
}

// expireUnable forgets declarations that have run out.
func (c *Core) expireUnable(now time.Time) {
	for key, u := range c.unable {
		if !now.Before(u.until) {
			delete(c.unable, key)
			c.changed = true
		}
	}
}
