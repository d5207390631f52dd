package storeemulator

import (
	"maps"
	"slices"
	"time"
)

// revisionRetention is how long the emulator remembers which revision it had, and so the
// greatest age of the copy that Restore can go back to.
const revisionRetention = time.Minute

// defaultTTL is the TTL of a restored lease that had ended.
const defaultTTL = 2 * time.Second

// A datedRevision is the revision that the store had at a time.
type datedRevision struct {
	at       time.Time
	revision int64
}

// Restore makes the store come back from a copy of the given age, as after the loss of all
// its servers: what it acknowledged since is gone, leases too, and its revisions are given
// out again. Connections are closed. Responses carry the next cluster ID.
func (e *Emulator) Restore(age time.Duration) {
	e.initialize()
	e.SetFailureMode(Refuse)
	e.keyspace.restore(age, e.Now())
	e.SetFailureMode(Up)
}

// recordRevision remembers the present revision for Restore.
func (s *keyspace) recordRevision(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := len(s.revisions); n == 0 || s.revisions[n-1].revision != s.revision {
		s.revisions = append(s.revisions, datedRevision{at: now, revision: s.revision})
	}
	for len(s.revisions) > 1 && now.Sub(s.revisions[1].at) > revisionRetention {
		s.revisions = slices.Delete(s.revisions, 0, 1)
	}
}

func (s *keyspace) restore(age time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	revision := s.revisionAt(now.Add(-age))
	keys, err := s.keysAt(revision)
	if err != nil {
		// The history does not reach back so far: the copy is the oldest state that is left.
		revision = s.compacted + 1
		keys, _ = s.keysAt(revision)
	}
	s.keys = maps.Clone(keys)
	s.history = slices.DeleteFunc(s.history, func(e historyEntry) bool { return e.event.Kv.ModRevision > revision })
	s.historyBytes = 0
	for _, entry := range s.history {
		s.historyBytes += entry.size
	}
	s.revisions = slices.DeleteFunc(s.revisions, func(d datedRevision) bool { return d.revision > revision })
	s.revision = revision
	s.cluster++
	s.restoreLeases(age, now)
	close(s.changed)
	s.changed = make(chan struct{})
}

// revisionAt returns the revision that the store had at a time, or the earliest one that is
// remembered. The caller holds mu.
func (s *keyspace) revisionAt(at time.Time) int64 {
	revision := s.revision
	if len(s.revisions) > 0 {
		revision = s.revisions[0].revision
	}
	for _, dated := range s.revisions {
		if !dated.at.After(at) {
			revision = dated.revision
		}
	}
	return revision
}

// restoreLeases drops the leases that were granted after the copy, and attaches the
// restored keys to the others, which last for a whole TTL. The caller holds mu.
func (s *keyspace) restoreLeases(age time.Duration, now time.Time) {
	for id, l := range s.leases {
		if now.Sub(l.grantedAt) < age {
			delete(s.leases, id)
			continue
		}
		l.keys, l.expires = make(map[string]bool), now.Add(l.ttl)
	}
	for key, kv := range s.keys {
		if kv.Lease == 0 {
			continue
		}
		l := s.leases[kv.Lease]
		if l == nil {
			// The lease has ended since the copy.
			l = &lease{ttl: defaultTTL, grantedAt: now.Add(-age), expires: now.Add(defaultTTL), keys: make(map[string]bool)}
			s.leases[kv.Lease] = l
		}
		l.keys[key] = true
	}
}
