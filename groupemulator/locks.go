package groupemulator

import "time"

// A rowLock keeps other transactions from writing a booking.
type rowLock struct {
	owner *session
	// free is closed when the owner releases the lock; it is nil while nobody
	// waits.
	free chan struct{}
}

// lockRow locks the booking of the id for the session's transaction. The
// caller holds mu, which is released while it waits.
func (d *database) lockRow(s *session, id string) *sqlError {
	var timeout <-chan time.Time
	for {
		if err := d.admit(s); err != nil {
			return err
		}
		lock := d.locks[id]
		if lock == nil {
			d.locks[id] = &rowLock{owner: s}
			s.locked = append(s.locked, id)
			return nil
		}
		if lock.owner == s {
			return nil
		}
		if d.deadlocked(s, lock) {
			return failf(codeDeadlock, "deadlock detected at booking %q", id)
		}
		if timeout == nil {
			timer := time.NewTimer(d.group.LockTimeout)
			defer timer.Stop()
			timeout = timer.C
		}
		if err := d.waitForLock(s, lock, timeout); err != nil {
			return err
		}
	}
}

// waitForLock releases mu until the lock is free.
func (d *database) waitForLock(s *session, lock *rowLock, timeout <-chan time.Time) *sqlError {
	if lock.free == nil {
		lock.free = make(chan struct{})
	}
	s.waitingFor = lock
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		s.waitingFor = nil
	}()
	select {
	case <-lock.free:
		return nil
	case <-timeout:
		return failf(codeLockTimeout, "canceling statement due to lock timeout")
	case <-s.canceled:
		return errCanceled()
	case <-s.closed:
		return s.ended()
	}
}

// deadlocked reports whether the owner of the lock waits, over any number of
// other sessions, for s. The caller holds mu.
func (d *database) deadlocked(s *session, lock *rowLock) bool {
	for lock != nil {
		if lock.owner == s {
			return true
		}
		lock = lock.owner.waitingFor
	}
	return false
}

// releaseLocks ends all locks of the session. The caller holds mu.
func (d *database) releaseLocks(s *session) {
	for _, id := range s.locked {
		if lock := d.locks[id]; lock != nil && lock.owner == s {
			delete(d.locks, id)
			if lock.free != nil {
				close(lock.free)
			}
		}
	}
	s.locked = s.locked[:0]
}

func errCanceled() *sqlError {
	return failf(codeCanceled, "canceling statement due to user request")
}
