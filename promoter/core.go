package promoter

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"github.com/endiveturn/endiveturn/executor"
)

const (
	// LeaseTime is how long an answered status query lets the holder serve,
	// counted from when the query was sent.
	LeaseTime = 1000 * time.Millisecond
	// LeaseDuration is how long a new holder waits before its first
	// acknowledgement when it could not fence every database. It exceeds
	// LeaseTime by a margin for a pause between the check of the lease and the
	// read that relies on it.
	LeaseDuration = 1200 * time.Millisecond
	// FailureTimeout is how long a primary may leave status queries
	// unanswered before another is promoted.
	FailureTimeout = 500 * time.Millisecond
	// RefusedTimeout is how long a primary may refuse connections before
	// another is promoted; a refused connection is a surer sign than silence.
	RefusedTimeout = 250 * time.Millisecond
	// termStride spaces the terms: the remainder of a term names the host that
	// raised it, so that a host that lost the answer to its claim can tell its
	// own term from that of another host.
	termStride = 1024
	// switchoverRetry is the least time between two planned changes.
	switchoverRetry = time.Second
)

// A step is what the watcher has to do next.
type step uint8

const (
	stepNone step = iota
	// stepClaim raises the term and promotes a database.
	stepClaim
	// stepSwitch moves the primary away from a leaving database.
	stepSwitch
	// stepFenced ends the watcher: another host holds the service.
	stepFenced
)

// A core decides for one group. It starts no goroutines and reads no clock;
// its caller serialises the calls.
type core struct {
	members []MemberView
	// residue is the remainder of this host's terms, below termStride.
	residue uint64
	// term is the term by which this host holds the service, 0 before the
	// first successful claim.
	term uint64
	// attempted is the highest term this host has asked a database to accept,
	// at least term.
	attempted uint64
	primary   string
	start     executor.Position
	// promotedAt is when the primary answered the promotion.
	promotedAt time.Time
	// ackFrom is the time before which no write may be acknowledged.
	ackFrom time.Time
	// nextClaim and nextSwitch hold back repeated attempts.
	nextClaim  time.Time
	nextSwitch time.Time
}

// majority returns the number of databases that every promotion needs.
func (c *core) majority() int { return len(c.members)/2 + 1 }

func (c *core) find(name string) *MemberView {
	for i := range c.members {
		if c.members[i].Name == name {
			return &c.members[i]
		}
	}
	return nil
}

// setMembers takes over the configured databases and keeps what is known of
// those that stay.
func (c *core) setMembers(members []Member) {
	next := make([]MemberView, 0, len(members))
	for _, m := range members {
		view := MemberView{Member: m}
		if old := c.find(m.Name); old != nil && old.Address == m.Address {
			view = *old
			view.Member = m
		}
		next = append(next, view)
	}
	slices.SortFunc(next, func(a, b MemberView) int { return cmp.Compare(a.Name, b.Name) })
	c.members = next
}

// hasMembers reports whether exactly these databases are configured.
func (c *core) hasMembers(members []Member) bool {
	if len(members) != len(c.members) {
		return false
	}
	for _, m := range members {
		if old := c.find(m.Name); old == nil || old.Member != m {
			return false
		}
	}
	return true
}

// observe takes in the answer to a status query that was sent at the time.
func (c *core) observe(name string, status Status, sentAt time.Time) {
	m := c.find(name)
	if m == nil {
		return
	}
	m.Reachable = true
	if sentAt.Before(m.SeenAt) || status.Term < m.Status.Term {
		return
	}
	m.Status = status
	m.SeenAt = sentAt
}

// lose takes in that a query failed.
func (c *core) lose(name string) {
	if m := c.find(name); m != nil {
		m.Reachable = false
	}
}

// highestTerm returns the highest term that any database has reported.
func (c *core) highestTerm() uint64 {
	highest := max(c.term, c.attempted)
	for _, m := range c.members {
		highest = max(highest, m.Status.Term)
	}
	return highest
}

// nextTerm returns a term above all known ones that is this host's own.
func (c *core) nextTerm() uint64 {
	return (c.highestTerm()/termStride+1)*termStride + c.residue
}

// residueOf spreads hosts over the remainders of terms. Two hosts that share
// one are still kept apart by the databases, which accept a term only once.
func residueOf(host string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(host))
	return h.Sum64() % termStride
}

// reachable counts the databases that answered their last query.
func (c *core) reachable() int {
	n := 0
	for _, m := range c.members {
		if m.Reachable {
			n++
		}
	}
	return n
}

// leaseUntil returns the end of the lease: a majority of the databases has
// confirmed the term in answers to queries sent LeaseTime before it.
func (c *core) leaseUntil() time.Time {
	if c.term == 0 {
		return time.Time{}
	}
	var sent []time.Time
	for _, m := range c.members {
		if m.Status.Term == c.term {
			sent = append(sent, m.SeenAt)
		}
	}
	if len(sent) < c.majority() {
		return time.Time{}
	}
	slices.SortFunc(sent, func(a, b time.Time) int { return b.Compare(a) })
	return sent[c.majority()-1].Add(LeaseTime)
}

// follows reports whether the log of the database is a prefix of the
// primary's: it follows the primary in the present term.
func (c *core) follows(m MemberView) bool {
	return c.followsUnder(m, c.primary)
}

func (c *core) followsUnder(m MemberView, primary string) bool {
	return primary != "" && m.Status.Term == c.term && m.Status.Primary == primary && m.Name != primary
}

// promotedName returns the database that was promoted in the present term,
// whether or not the start of the term is confirmed.
func (c *core) promotedName() string {
	if c.primary != "" {
		return c.primary
	}
	for _, m := range c.members {
		if m.Status.Term == c.term && m.Status.Role == RolePrimary {
			return m.Name
		}
	}
	return ""
}

// confirmed returns the highest offset that a majority of the databases holds,
// given that the primary holds everything.
func (c *core) confirmed() uint64 { return c.confirmedUnder(c.primary) }

func (c *core) confirmedUnder(primary string) uint64 {
	need := c.majority() - 1
	if need == 0 {
		return ^uint64(0)
	}
	var received []uint64
	for _, m := range c.members {
		if c.followsUnder(m, primary) {
			received = append(received, m.Status.Received)
		}
	}
	if len(received) < need {
		return 0
	}
	slices.SortFunc(received, func(a, b uint64) int { return cmp.Compare(b, a) })
	return received[need-1]
}

// next returns what has to be done at the time.
func (c *core) next(now time.Time) step {
	if c.fenced() {
		return stepFenced
	}
	if now.Before(c.nextClaim) || c.reachable() < c.majority() {
		return stepNone
	}
	if c.term == 0 || c.primary == "" || c.primaryFailed(now) {
		return stepClaim
	}
	if c.leavingPrimary() && !now.Before(c.nextSwitch) && c.successor() != "" {
		return stepSwitch
	}
	return stepNone
}

// fenced reports whether a database has accepted a term that this host never
// asked for.
func (c *core) fenced() bool {
	if c.term == 0 {
		return false
	}
	for _, m := range c.members {
		if m.Status.Term > c.attempted || (m.Status.Term > c.term && m.Status.Term%termStride != c.residue) {
			return true
		}
	}
	return false
}

func (c *core) primaryFailed(now time.Time) bool {
	m := c.find(c.primary)
	if m == nil {
		return true
	}
	silent := now.Sub(m.SeenAt)
	if m.Status.Term == c.term && m.Status.Role != RolePrimary && m.SeenAt.After(c.promotedAt) {
		return true
	}
	return silent > FailureTimeout || (!m.Reachable && silent > RefusedTimeout)
}

func (c *core) leavingPrimary() bool {
	m := c.find(c.primary)
	return m != nil && m.Leaving
}

// successor returns the database that a planned change promotes: the most
// advanced replica that is not leaving, or "" if there is none.
func (c *core) successor() string {
	best, found := MemberView{}, false
	for _, m := range c.members {
		if m.Leaving || !m.Reachable || !c.follows(m) {
			continue
		}
		if !found || m.Status.Received > best.Status.Received {
			best, found = m, true
		}
	}
	return best.Name
}

// stragglers returns the databases that answer but do not follow the primary
// in the present term.
func (c *core) stragglers() []Member {
	if c.term == 0 || c.primary == "" {
		return nil
	}
	var late []Member
	for _, m := range c.members {
		if m.Name != c.primary && m.Reachable && !c.follows(m) && m.Status.Term <= c.term {
			late = append(late, m.Member)
		}
	}
	return late
}

// choose returns the database to promote among those that accepted the term.
// The order is the one that makes a majority's confirmation safe: an entry of
// a later term outranks any number of entries of an earlier one.
func choose(accepted []MemberView, present string) MemberView {
	return slices.MaxFunc(accepted, func(a, b MemberView) int {
		return cmp.Or(
			cmp.Compare(a.Status.LogTerm, b.Status.LogTerm),
			cmp.Compare(a.Status.Received, b.Status.Received),
			compareBool(!a.Leaving, !b.Leaving),
			compareBool(a.Name == present, b.Name == present),
			cmp.Compare(b.Name, a.Name),
		)
	})
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}
