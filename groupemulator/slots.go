package groupemulator

import "sync/atomic"

// slots limits the number of batches that run concurrently on a database.
type slots struct {
	// inUse holds one element for each slot in use.
	inUse chan struct{}
	// waits counts the batches that found no free slot.
	waits atomic.Uint64
	// active is the number of batches that run or wait for a slot.
	active    atomic.Int64
	maxActive atomic.Int64
}

// acquire acquires a slot, waiting until one is free.
func (l *slots) acquire(s *session) *sqlError {
	storeMax(&l.maxActive, l.active.Add(1))
	select {
	case l.inUse <- struct{}{}:
		return nil
	default:
	}
	l.waits.Add(1)
	select {
	case l.inUse <- struct{}{}:
		return nil
	case <-s.canceled:
		l.active.Add(-1)
		return errCanceled()
	case <-s.closed:
		l.active.Add(-1)
		return s.endReason()
	}
}

func (l *slots) release() {
	<-l.inUse
	l.active.Add(-1)
}

// storeMax sets m to n if n is greater than its value.
func storeMax(m *atomic.Int64, n int64) {
	for old := m.Load(); n > old; old = m.Load() {
		if m.CompareAndSwap(old, n) {
			return
		}
	}
}
