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

// A Judge decides which hosts operations may be forwarded to, from the outcomes of this
// host's own operations. It starts no goroutines. Its exported fields are set before
// first use.
type Judge struct {
	// Now returns the time with a monotonic reading.
	Now func() time.Time

	mu sync.Mutex
	// verdicts has the hosts that are or were suspected or are stopping.
	verdicts map[string]*verdict
}

// A verdict is what is known of one process of a host.
type verdict struct {
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

// verdictOf returns the verdict on a host. A new process of the host is not stopping; it
// stays suspected, since it is not known whether it is reachable.
func (j *Judge) verdictOf(host, incarnation string) *verdict {
	if j.verdicts == nil {
		j.verdicts = make(map[string]*verdict)
	}
	v := j.verdicts[host]
	if v == nil {
		v = &verdict{incarnation: incarnation}
		j.verdicts[host] = v
	}
	if v.incarnation != incarnation {
		v.incarnation, v.stopping = incarnation, false
	}
	return v
}

// Usable reports whether operations may be forwarded to a process of a host.
func (j *Judge) Usable(host, incarnation string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.verdicts[host] == nil {
		return true
	}
	v := j.verdictOf(host, incarnation)
	return !v.suspected && !v.stopping
}

// Suspect records that a host did not respond. It reports whether the host was not
// suspected before.
func (j *Judge) Suspect(host, incarnation string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	v := j.verdictOf(host, incarnation)
	if v.suspected {
		return false
	}
	now := j.Now()
	if now.Sub(v.changedAt) > reliableAge {
		v.failures = 0
	}
	v.suspected, v.changedAt = true, now
	j.postpone(v)
	return true
}

// postpone sets when a suspected host may be tried again.
func (j *Judge) postpone(v *verdict) {
	v.probeAt = j.Now().Add(min(minProbeBackoff<<min(v.failures, 8), maxProbeBackoff))
	v.failures++
}

// MarkStopping records that a process of a host takes no new operations. It reports
// whether that is new.
func (j *Judge) MarkStopping(host, incarnation string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	v := j.verdictOf(host, incarnation)
	was := v.stopping
	v.stopping = true
	return !was
}

// BeginProbe reports whether a suspected host is to be tried now. The caller reports the
// result with EndProbe.
func (j *Judge) BeginProbe(host string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	v := j.verdicts[host]
	if v == nil || !v.suspected || v.probing || j.Now().Before(v.probeAt) {
		return false
	}
	v.probing = true
	return true
}

// EndProbe records the result of a probe. It reports whether the host is regained.
func (j *Judge) EndProbe(host string, succeeded bool) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	v := j.verdicts[host]
	if v == nil {
		return false
	}
	v.probing = false
	if !v.suspected {
		return false
	}
	if !succeeded {
		j.postpone(v)
		return false
	}
	v.suspected, v.changedAt = false, j.Now()
	return true
}

// BeginVerify reports whether a host that is not suspected is to be checked now.
func (j *Judge) BeginVerify(host, incarnation string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	v := j.verdictOf(host, incarnation)
	now := j.Now()
	if v.suspected || v.stopping || now.Sub(v.verifiedAt) < verifyInterval {
		return false
	}
	v.verifiedAt = now
	return true
}

// Retain forgets all hosts but those for which keep returns true.
func (j *Judge) Retain(keep func(host string) bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for host := range j.verdicts {
		if !keep(host) {
			delete(j.verdicts, host)
		}
	}
}
