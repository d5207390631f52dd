package admitter

import "time"

const (
	// minAdmittedShare is the least share of attempts that a Throttle admits, so that
	// a database that has recovered is noticed.
	minAdmittedShare = 0.1
	// shareAfterFailure and shareAfterSuccess are the factors of the admitted share
	// after an attempt. The share is stable where three of four attempts succeed.
	shareAfterFailure = 0.3
	shareAfterSuccess = 1.5
	// shareRecovery is by how much the admitted share grows in a second in any case, so
	// that a host with few requests recovers within 5 s.
	shareRecovery = 0.2
	// priorityBias is by how much the share of refused attempts changes with each step
	// of priority, relative to that of priority 1.
	priorityBias = 0.5
)

// A Throttle limits the attempts to use a database that many hosts overload without
// knowing of each other, by the outcomes of this host's attempts. Without it, attempts
// that are given up take the capacity of those that could succeed. It is not safe for
// concurrent use.
type Throttle struct {
	// refused is the share of attempts that are refused, as of updated.
	refused float64
	updated time.Time
}

// Admit reports whether an attempt of the priority may be made.
func (t *Throttle) Admit(priority int, uniform func() float64, now time.Time) bool {
	t.recover(now)
	return t.refused == 0 || uniform() >= t.refusedShare(priority)
}

// refusedShare returns the share of attempts of the priority that are refused.
func (t *Throttle) refusedShare(priority int) float64 {
	refused := t.refused * (1 + priorityBias*float64(min(priority, maxPriority)-1))
	return min(refused, 1-minAdmittedShare)
}

// Record records the outcome of an attempt.
func (t *Throttle) Record(succeeded bool, now time.Time) {
	t.recover(now)
	factor := shareAfterFailure
	if succeeded {
		factor = shareAfterSuccess
	}
	t.refused = min(max(0, 1-(1-t.refused)*factor), 1-minAdmittedShare)
}

func (t *Throttle) recover(now time.Time) {
	if elapsed := now.Sub(t.updated).Seconds(); elapsed > 0 && !t.updated.IsZero() {
		t.refused = max(0, t.refused-shareRecovery*elapsed)
	}
	t.updated = now
}
