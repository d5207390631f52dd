package director

import (
	"slices"
	"time"

	"github.com/endiveturn/endiveturn/cataloger"
)

func (s *service) connectionLoad() ConnectionLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	var load ConnectionLoad
	for _, db := range s.databases {
		used, waiting := db.pool.InUse()
		load.Used += used
		load.Waiting += waiting
	}
	return load
}

func (s *service) assignmentRevision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.assignment.Revision
}

// A PrimaryHealth is the health of a service's primary as observed by this host.
type PrimaryHealth struct {
	Endpoint cataloger.Endpoint
	// SinceSuccess is the time since the primary last responded, negative if it
	// never did.
	SinceSuccess time.Duration
	// SinceFailure is how long the primary has been failing, or has left requests
	// without a response beyond suspicionTimeout, since it became the primary; 0 if it is
	// healthy or has not been tried since.
	SinceFailure time.Duration
	// RefusesWrites is set if the primary has refused a statement as a replica within
	// readOnlyWindow.
	RefusesWrites bool
	// Unreachable are the IDs of the other databases of the service that failed recently.
	Unreachable []string
}

// unreachableWindow is how long a database counts as unreachable after its last failure. It
// is longer than maxFailureBackoff, so that one that is still used is tried again meanwhile.
const unreachableWindow = 2 * time.Second

// readOnlyWindow is how long a primary counts as one that refuses writes after it refused one.
const readOnlyWindow = time.Second

// PrimaryHealths returns the health of the primaries by service, as observed by
// this host.
func (d *Director) PrimaryHealths() map[string]PrimaryHealth {
	d.mu.Lock()
	defer d.mu.Unlock()
	healths := make(map[string]PrimaryHealth)
	for name, s := range d.services {
		if health, ok := s.primaryHealth(); ok {
			healths[name] = health
		}
	}
	return healths
}

func (s *service) primaryHealth() (PrimaryHealth, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.primary == nil {
		return PrimaryHealth{}, false
	}
	now := s.director.Now()
	health := PrimaryHealth{Endpoint: s.primary.endpoint, SinceSuccess: -1}
	if !s.primary.lastSuccess.IsZero() {
		health.SinceSuccess = now.Sub(s.primary.lastSuccess)
	}
	// A former failure of a database that has just become the primary shows nothing.
	if s.primary.consecutiveFailures > 0 && !s.primary.lastFailure.Before(s.primarySince) {
		health.SinceFailure = max(time.Millisecond, now.Sub(latest(s.primary.failingSince, s.primarySince)))
	}
	if !s.primary.awaitingResponseSince.IsZero() {
		health.SinceFailure = max(health.SinceFailure, now.Sub(latest(s.primary.awaitingResponseSince, s.primarySince))-suspicionTimeout)
	}
	health.RefusesWrites = !s.primary.lastReadOnly.Before(s.primarySince) && now.Sub(s.primary.lastReadOnly) < readOnlyWindow
	health.Unreachable = s.unreachableReplicas(now)
	return health, true
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// unreachableReplicas returns the databases beside the primary that failed recently or leave
// requests without a response.
func (s *service) unreachableReplicas(now time.Time) []string {
	var ids []string
	for _, db := range s.databases {
		failing := db.consecutiveFailures > 0 && now.Sub(db.lastFailure) < unreachableWindow
		silent := !db.awaitingResponseSince.IsZero() && now.Sub(db.awaitingResponseSince) > suspicionTimeout
		if db != s.primary && db.deregisteredAt.IsZero() && (failing || silent) {
			ids = append(ids, db.id)
		}
	}
	slices.Sort(ids)
	return ids
}
