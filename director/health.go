package director

import (
	"time"

	"github.com/endiveturn/endiveturn/cataloger"
)

func (s *service) load() Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	var load Load
	for _, db := range s.databases {
		used, waiting := db.pool.InUse()
		load.Used += used
		load.Waiting += waiting
	}
	return load
}

func (s *service) leadRevision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lead.Revision
}

// A Health is what this host sees of a service's primary.
type Health struct {
	Endpoint cataloger.Endpoint
	// SinceSuccess is negative if the primary never answered.
	SinceSuccess time.Duration
	// SinceFailure is 0 if the last attempt did not fail.
	SinceFailure time.Duration
}

// Healths returns what this host sees of the primaries by service.
func (d *Director) Healths() map[string]Health {
	d.mu.Lock()
	defer d.mu.Unlock()
	healths := make(map[string]Health)
	for name, s := range d.services {
		if health, ok := s.health(); ok {
			healths[name] = health
		}
	}
	return healths
}

func (s *service) health() (Health, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.primary == nil {
		return Health{}, false
	}
	now := s.director.Now()
	health := Health{Endpoint: s.primary.endpoint, SinceSuccess: -1}
	if !s.primary.lastSuccess.IsZero() {
		health.SinceSuccess = now.Sub(s.primary.lastSuccess)
	}
	if s.primary.failures > 0 {
		health.SinceFailure = max(time.Millisecond, now.Sub(s.primary.failingSince))
	}
	if !s.primary.waitingSince.IsZero() {
		health.SinceFailure = max(health.SinceFailure, now.Sub(s.primary.waitingSince)-waitTolerance)
	}
	return health, true
}
