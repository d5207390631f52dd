package forwarder

import (
	"sync"
	"time"
)

const (
	// minProbeBackoff and maxProbeBackoff bound the time until a suspected host is tried
	// again; it doubles with each suspicion or failed probe in a row.
	minProbeBackoff = 500 * time.Millisecond
	maxProbeBackoff = 4 * time.Second
	// reliableAge is how long a host must not have been suspected for its next suspicion
	// to be the first in a row.
	reliableAge = 5 * time.Second
	// verifyInterval is the minimum time between two checks of a host that other hosts
	// seem not to reach.
	verifyInterval = 500 * time.Millisecond
)

// A FailureDetector decides which hosts operations may be forwarded to, from the outcomes of this
// host's own operations. It starts no goroutines. Its exported fields are set before
// first use.
type FailureDetector struct {
	// Now returns the time with a monotonic reading.
	Now func() time.Time

	mu sync.Mutex
	// states has the hosts that are or were suspected or are stopping.
	states map[string]*hostState
}

// A hostState is what is known of one process of a host.
type hostState struct {
	incarnation string
	suspected   bool
	// changedAt is when suspected changed.
	changedAt time.Time
	// probeAt is when a suspected host may be tried again.
	probeAt time.Time
	probing bool
	// failures counts the suspicions and failed probes in a row.
	failures int
	stopping bool
	// verifiedAt is when the last check began.
	verifiedAt time.Time
}

// stateOf returns what is known of a host. A new process of the host is not stopping; it
// stays suspected, since it is not known whether it is reachable.
func (d *FailureDetector) stateOf(host, incarnation string) *hostState {
	if d.states == nil {
		d.states = make(map[string]*hostState)
	}
	s := d.states[host]
	if s == nil {
		s = &hostState{incarnation: incarnation}
		d.states[host] = s
	}
	if s.incarnation != incarnation {
		s.incarnation, s.stopping = incarnation, false
	}
	return s
}

// Usable reports whether operations may be forwarded to a process of a host.
func (d *FailureDetector) Usable(host, incarnation string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.states[host] == nil {
		return true
	}
	s := d.stateOf(host, incarnation)
	return !s.suspected && !s.stopping
}

// Suspect records that a host did not respond. It reports whether the host was not
// suspected before.
func (d *FailureDetector) Suspect(host, incarnation string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.stateOf(host, incarnation)
	if s.suspected {
		return false
	}
	now := d.Now()
	if now.Sub(s.changedAt) > reliableAge {
		s.failures = 0
	}
	s.suspected, s.changedAt = true, now
	d.postpone(s)
	return true
}

// postpone sets when a suspected host may be tried again.
func (d *FailureDetector) postpone(s *hostState) {
	s.probeAt = d.Now().Add(min(minProbeBackoff<<min(s.failures, 8), maxProbeBackoff))
	s.failures++
}

// MarkStopping records that a process of a host takes no new operations. It reports
// whether that is new.
func (d *FailureDetector) MarkStopping(host, incarnation string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.stateOf(host, incarnation)
	was := s.stopping
	s.stopping = true
	return !was
}

// BeginProbe reports whether a suspected host is to be tried now. The caller reports the
// result with EndProbe.
func (d *FailureDetector) BeginProbe(host string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.states[host]
	if s == nil || !s.suspected || s.probing || d.Now().Before(s.probeAt) {
		return false
	}
	s.probing = true
	return true
}

// EndProbe records the result of a probe. It reports whether the host is regained.
func (d *FailureDetector) EndProbe(host string, succeeded bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.states[host]
	if s == nil {
		return false
	}
	s.probing = false
	if !s.suspected {
		return false
	}
	if !succeeded {
		d.postpone(s)
		return false
	}
	s.suspected, s.changedAt = false, d.Now()
	return true
}

// BeginVerify reports whether a host that is not suspected is to be checked now.
func (d *FailureDetector) BeginVerify(host, incarnation string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.stateOf(host, incarnation)
	now := d.Now()
	if s.suspected || s.stopping || now.Sub(s.verifiedAt) < verifyInterval {
		return false
	}
	s.verifiedAt = now
	return true
}

// Retain forgets all hosts but those for which keep returns true.
func (d *FailureDetector) Retain(keep func(host string) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for host := range d.states {
		if !keep(host) {
			delete(d.states, host)
		}
	}
}
