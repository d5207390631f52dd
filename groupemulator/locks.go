package groupemulator

import "time"

// A rowLock prevents other transactions from writing a booking.
type rowLock struct {
	owner *session
	// released is closed when the owner releases the lock; it is nil while no
	// session waits.
	released chan struct{}
}

// lockRow locks the booking with the id for the session's transaction. The
// caller holds mu, which is released during the wait.
func (d *database) lockRow(s *session, id string) *sqlError {
	var timeout <-chan time.Time
	for {
		if err := d.checkSession(s); err != nil {
			return err
		}
		lock := d.locks[id]
		if lock == nil {
			d.locks[id] = &rowLock{owner: s}
			s.lockedIDs = append(s.lockedIDs, id)
			return nil
		}
		if lock.owner == s {
			return nil
		}
		if d.wouldDeadlock(s, lock) {
			return sqlErrorf(codeDeadlock, "deadlock detected at booking %q", id)
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

// waitForLock releases mu until the lock is released or the wait fails.
func (d *database) waitForLock(s *session, lock *rowLock, timeout <-chan time.Time) *sqlError {
	if lock.released == nil {
		lock.released = make(chan struct{})
	}
	s.waitingFor = lock
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		s.waitingFor = nil
	}()
	select {
	case <-lock.released:
		return nil
	case <-timeout:
		return sqlErrorf(codeLockTimeout, "canceling statement due to lock timeout")
	case <-s.canceled:
		return errCanceled()
	case <-s.closed:
		return s.endReason()
	}
}

// wouldDeadlock reports whether the owner of the lock is s or waits, directly or
// through other sessions, for a lock of s. The caller holds mu.
func (d *database) wouldDeadlock(s *session, lock *rowLock) bool {
	for lock != nil {
		if lock.owner == s {
			return true
		}
		lock = lock.owner.waitingFor
	}
	return false
}

// releaseLocks releases all locks of the session. The caller holds mu.
func (d *database) releaseLocks(s *session) {
	for _, id := range s.lockedIDs {
		if lock := d.locks[id]; lock != nil && lock.owner == s {
			delete(d.locks, id)
			if lock.released != nil {
				close(lock.released)
			}
		}
	}
	s.lockedIDs = s.lockedIDs[:0]
}

func errCanceled() *sqlError {
	return sqlErrorf(codeCanceled, "canceling statement due to user request")
}
