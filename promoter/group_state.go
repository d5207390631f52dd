package promoter

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"github.com/endiveturn/endiveturn/executor"
)

const (
	// LeaseTTL is how long the holder may serve after a successful status query,
	// counted from when the query was sent.
	LeaseTTL = 1000 * time.Millisecond
	// TakeoverAckDelay is how long a new holder waits before it acknowledges
	// writes if it could not fence every database. It exceeds LeaseTTL by a
	// margin for a pause of the previous holder between its check of the lease
	// and the read that relies on it.
	TakeoverAckDelay = 1200 * time.Millisecond
	// FailureTimeout is how long a primary may fail to respond to status queries
	// before another database is promoted.
	FailureTimeout = 500 * time.Millisecond
	// RefusedTimeout is how long a primary may refuse connections before
	// another database is promoted. It is shorter than FailureTimeout because a
	// refused connection indicates a failure more reliably than a missing
	// response.
	RefusedTimeout = 250 * time.Millisecond
	// termStride is the spacing of the terms that one host may raise. The remainder
	// of a term modulo termStride identifies the host that raised it, so that a
	// host that did not receive the response to its claim can distinguish its own
	// term from that of another host.
	termStride = 1024
	// switchoverInterval is the minimum time between two switchovers.
	switchoverInterval = time.Second
)

// A step is the action that the watcher has to take next.
type step uint8

const (
	stepNone step = iota
	// stepClaim raises the term and promotes a database.
	stepClaim
	// stepSwitchover moves the primary role away from a draining database.
	stepSwitchover
	// stepFenced ends the watcher because another host holds the service.
	stepFenced
)

// A groupState is the state of one group of databases, from which the next step
// is derived. It starts no goroutines and reads no clock. It is not safe for
// concurrent use.
type groupState struct {
	members []MemberState
	// residue is the remainder of this host's terms modulo termStride.
	residue uint64
	// term is the term in which this host holds the service, 0 before the first
	// successful claim.
	term uint64
	// attemptedTerm is the highest term that this host has sent to a database to
	// accept, at least term.
	attemptedTerm uint64
	primary       string
	termStart     executor.Position
	// promotedAt is when the primary confirmed its promotion.
	promotedAt time.Time
	// acknowledgeFrom is the time before which no write may be acknowledged.
	acknowledgeFrom time.Time
	// nextClaim and nextSwitchover are the earliest times of the next attempts.
	nextClaim      time.Time
	nextSwitchover time.Time
}

// majority returns the number of databases that form a majority, which every
// promotion requires.
func (s *groupState) majority() int { return len(s.members)/2 + 1 }

func (s *groupState) find(name string) *MemberState {
	for i := range s.members {
		if s.members[i].Name == name {
			return &s.members[i]
		}
	}
	return nil
}

// setMembers replaces the configured databases and keeps the known status of those
// that remain at the same address.
func (s *groupState) setMembers(members []Member) {
	next := make([]MemberState, 0, len(members))
	for _, m := range members {
		state := MemberState{Member: m}
		if old := s.find(m.Name); old != nil && old.Address == m.Address {
			state = *old
			state.Member = m
		}
		next = append(next, state)
	}
	slices.SortFunc(next, func(a, b MemberState) int { return cmp.Compare(a.Name, b.Name) })
	s.members = next
}

// hasMembers reports whether exactly these databases are configured.
func (s *groupState) hasMembers(members []Member) bool {
	if len(members) != len(s.members) {
		return false
	}
	for _, m := range members {
		if old := s.find(m.Name); old == nil || old.Member != m {
			return false
		}
	}
	return true
}

// recordStatus records the response to a status query that was sent at sentAt. If
// the status is older than the recorded one, it only marks the database reachable.
func (s *groupState) recordStatus(name string, status Status, sentAt time.Time) {
	m := s.find(name)
	if m == nil {
		return
	}
	m.Reachable = true
	if sentAt.Before(m.QueriedAt) || status.Term < m.Status.Term {
		return
	}
	m.Status = status
	m.QueriedAt = sentAt
}

// markUnreachable records that a query failed.
func (s *groupState) markUnreachable(name string) {
	if m := s.find(name); m != nil {
		m.Reachable = false
	}
}

// highestTerm returns the highest term that any database has reported.
func (s *groupState) highestTerm() uint64 {
	highest := max(s.term, s.attemptedTerm)
	for _, m := range s.members {
		highest = max(highest, m.Status.Term)
	}
	return highest
}

// nextTerm returns a term of this host above all known terms.
func (s *groupState) nextTerm() uint64 {
	return (s.highestTerm()/termStride+1)*termStride + s.residue
}

// residueOf maps a host name to a remainder of terms. If two hosts have the same
// remainder, the databases still keep their terms apart, because they accept a
// term only once.
func residueOf(host string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(host))
	return h.Sum64() % termStride
}

// reachableCount returns the number of databases that responded to their last
// query.
func (s *groupState) reachableCount() int {
	n := 0
	for _, m := range s.members {
		if m.Reachable {
			n++
		}
	}
	return n
}

// leaseUntil returns the end of the lease: a majority of the databases has
// confirmed the term in responses to queries sent no earlier than LeaseTTL before
// it. It returns the zero time if no majority has confirmed the term.
func (s *groupState) leaseUntil() time.Time {
	if s.term == 0 {
		return time.Time{}
	}
	var sentTimes []time.Time
	for _, m := range s.members {
		if m.Status.Term == s.term {
			sentTimes = append(sentTimes, m.QueriedAt)
		}
	}
	if len(sentTimes) < s.majority() {
		return time.Time{}
	}
	slices.SortFunc(sentTimes, func(a, b time.Time) int { return b.Compare(a) })
	return sentTimes[s.majority()-1].Add(LeaseTTL)
}

// follows reports whether the database follows the primary in the current term, so
// that its log is a prefix of the primary's.
func (s *groupState) follows(m MemberState) bool {
	return s.followsPrimary(m, s.primary)
}

func (s *groupState) followsPrimary(m MemberState, primary string) bool {
	return primary != "" && m.Status.Term == s.term && m.Status.Primary == primary && m.Name != primary
}

// promotedName returns the name of the database that was promoted in the current
// term, whether or not the start of the term is confirmed.
func (s *groupState) promotedName() string {
	if s.primary != "" {
		return s.primary
	}
	for _, m := range s.members {
		if m.Status.Term == s.term && m.Status.Role == RolePrimary {
			return m.Name
		}
	}
	return ""
}

// confirmedOffset returns the highest offset up to which a majority of the
// databases has the log, given that the primary has all of it.
func (s *groupState) confirmedOffset() uint64 { return s.confirmedOffsetFor(s.primary) }

func (s *groupState) confirmedOffsetFor(primary string) uint64 {
	need := s.majority() - 1
	if need == 0 {
		return ^uint64(0)
	}
	var received []uint64
	for _, m := range s.members {
		if s.followsPrimary(m, primary) {
			received = append(received, m.Status.Received)
		}
	}
	if len(received) < need {
		return 0
	}
	slices.SortFunc(received, func(a, b uint64) int { return cmp.Compare(b, a) })
	return received[need-1]
}

// nextStep returns the step to take at the given time.
func (s *groupState) nextStep(now time.Time) step {
	if s.fenced() {
		return stepFenced
	}
	if now.Before(s.nextClaim) || s.reachableCount() < s.majority() {
		return stepNone
	}
	if s.term == 0 || s.primary == "" || s.primaryFailed(now) {
		return stepClaim
	}
	if s.primaryDraining() && !now.Before(s.nextSwitchover) && s.switchoverTarget() != "" {
		return stepSwitchover
	}
	return stepNone
}

// fenced reports whether a database has accepted a term that this host never
// requested.
func (s *groupState) fenced() bool {
	if s.term == 0 {
		return false
	}
	for _, m := range s.members {
		if m.Status.Term > s.attemptedTerm || (m.Status.Term > s.term && m.Status.Term%termStride != s.residue) {
			return true
		}
	}
	return false
}

func (s *groupState) primaryFailed(now time.Time) bool {
	m := s.find(s.primary)
	if m == nil {
		return true
	}
	sinceQueried := now.Sub(m.QueriedAt)
	if m.Status.Term == s.term && m.Status.Role != RolePrimary && m.QueriedAt.After(s.promotedAt) {
		return true
	}
	return sinceQueried > FailureTimeout || (!m.Reachable && sinceQueried > RefusedTimeout)
}

func (s *groupState) primaryDraining() bool {
	m := s.find(s.primary)
	return m != nil && m.Draining
}

// switchoverTarget returns the name of the database that a switchover promotes: the
// reachable replica with the longest log that is not draining, or "" if there is
// none.
func (s *groupState) switchoverTarget() string {
	best, found := MemberState{}, false
	for _, m := range s.members {
		if m.Draining || !m.Reachable || !s.follows(m) {
			continue
		}
		if !found || m.Status.Received > best.Status.Received {
			best, found = m, true
		}
	}
	return best.Name
}

// detachedReplicas returns the reachable databases that do not follow the primary
// in the current term.
func (s *groupState) detachedReplicas() []Member {
	if s.term == 0 || s.primary == "" {
		return nil
	}
	var detached []Member
	for _, m := range s.members {
		if m.Name != s.primary && m.Reachable && !s.follows(m) && m.Status.Term <= s.term {
			detached = append(detached, m.Member)
		}
	}
	return detached
}

// choosePrimary returns the database to promote among those that accepted the term.
// An entry of a later term outranks any number of entries of an earlier one, so
// that no promotion loses an entry that a majority has confirmed.
func choosePrimary(accepted []MemberState, current string) MemberState {
	return slices.MaxFunc(accepted, func(a, b MemberState) int {
		return cmp.Or(
			cmp.Compare(a.Status.LogTerm, b.Status.LogTerm),
			cmp.Compare(a.Status.Received, b.Status.Received),
			compareBool(!a.Draining, !b.Draining),
			compareBool(a.Name == current, b.Name == current),
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
