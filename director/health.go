package director

import (
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
	// without a response beyond suspicionTimeout; 0 if it is healthy.
	SinceFailure time.Duration
	// RefusesWrites is set if the primary has refused a statement as a replica within
	// readOnlyWindow.
	RefusesWrites bool
}

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
	if s.primary.consecutiveFailures > 0 {
		health.SinceFailure = max(time.Millisecond, now.Sub(s.primary.failingSince))
	}
	if !s.primary.awaitingResponseSince.IsZero() {
		health.SinceFailure = max(health.SinceFailure, now.Sub(s.primary.awaitingResponseSince)-suspicionTimeout)
	}
	health.RefusesWrites = !s.primary.lastReadOnly.IsZero() && now.Sub(s.primary.lastReadOnly) < readOnlyWindow
	return health, true
}
