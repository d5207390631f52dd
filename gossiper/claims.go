package gossiper

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// claimHash returns the contribution of a claim to the digest.
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

// claimSupersedes reports whether claim a takes precedence over claim b. The
// databases accept a term from one host only, so the comparison of host names only
// makes the order total.
func claimSupersedes(a, b Claim) bool {
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

// AnnounceClaim announces that this host holds a service in the given term.
func (c *Core) AnnounceClaim(now time.Time, service string, term uint64) []Action {
	c.mergeClaim(Claim{Service: service, Host: c.Self.Name, Incarnation: c.Self.Incarnation, Term: term}, now)
	return c.takeActions()
}

// WithdrawClaim announces that this host no longer holds a service, unless another
// host has claimed it since.
func (c *Core) WithdrawClaim(now time.Time, service string) []Action {
	claim := c.claims[service]
	if claim.Host == c.Self.Name {
		claim.Withdrawn = true
		c.mergeClaim(claim, now)
	}
	return c.takeActions()
}

// reannounceClaims announces the claims of this host again after its incarnation
// has changed, since claims of another incarnation do not count as live.
func (c *Core) reannounceClaims(previous uint64, now time.Time) {
	for _, service := range sortedKeys(c.claims) {
		claim := c.claims[service]
		if claim.Host == c.Self.Name && claim.Incarnation == previous && !claim.Withdrawn {
			claim.Incarnation = c.Self.Incarnation
			c.mergeClaim(claim, now)
		}
	}
}

// mergeClaim applies a claim if it supersedes the known claim of the service.
func (c *Core) mergeClaim(claim Claim, now time.Time) {
	known := c.claims[claim.Service]
	if claim.Service == "" || !claimSupersedes(claim, known) {
		return
	}
	c.digest ^= claimHash(known) ^ claimHash(claim)
	c.digestChangedAt = now
	c.claims[claim.Service] = claim
	c.queueUpdate(updateKey{kind: claimUpdate, name: claim.Service})
	c.viewChanged = true
	c.expediteRound(now)
}

type unavailabilityKey struct {
	service string
	host    string
}

// An unavailabilityEntry is a received unavailability report with its expiry time.
// A revoked entry only remains to suppress older reports.
type unavailabilityEntry struct {
	UnavailabilityReport
	until   time.Time
	revoked bool
}

// withRemaining returns the report with its remaining lifetime, 0 if it is revoked.
func (u *unavailabilityEntry) withRemaining(now time.Time) UnavailabilityReport {
	report := u.UnavailabilityReport
	report.Remaining = max(0, u.until.Sub(now))
	if u.revoked {
		report.Remaining = 0
	}
	return report
}

// SetUnavailable reports to the other hosts that this host does not reach a
// majority of a service's databases, or that it reaches one again. A report
// expires after 10 s.
func (c *Core) SetUnavailable(now time.Time, service string, unavailable bool) []Action {
	known, ok := c.unavailable[unavailabilityKey{service: service, host: c.Self.Name}]
	if !unavailable && (!ok || known.revoked) {
		return c.takeActions()
	}
	u := UnavailabilityReport{
		Service: service, Host: c.Self.Name, Incarnation: c.Self.Incarnation,
		Sequence: uint64(now.Sub(c.started)) + 1,
	}
	if unavailable {
		u.Remaining = unavailabilityTTL
	}
	c.mergeUnavailability(u, now)
	c.expediteRound(now)
	return c.takeActions()
}

// mergeUnavailability applies an unavailability report if it is newer than the
// known report of that host for the service.
func (c *Core) mergeUnavailability(u UnavailabilityReport, now time.Time) {
	key := unavailabilityKey{service: u.Service, host: u.Host}
	known, ok := c.unavailable[key]
	if ok && (u.Incarnation < known.Incarnation || u.Incarnation == known.Incarnation && u.Sequence <= known.Sequence) {
		return
	}
	entry := &unavailabilityEntry{UnavailabilityReport: u, until: now.Add(min(u.Remaining, unavailabilityTTL))}
	if u.Remaining <= 0 {
		// The entry is kept for as long as an older report may still be in transit.
		entry.revoked = true
		entry.until = now.Add(unavailabilityTTL)
	}
	c.unavailable[key] = entry
	c.queueUpdate(updateKey{kind: unavailabilityUpdate, name: u.Service, host: u.Host})
	c.viewChanged = true
}

// expireUnavailability removes expired unavailability reports.
func (c *Core) expireUnavailability(now time.Time) {
	for key, u := range c.unavailable {
		if !now.Before(u.until) {
			delete(c.unavailable, key)
			c.viewChanged = true
		}
	}
}
