package groupemulator

import "sync/atomic"

// slots bounds the statements that run at once on a database.
type slots struct {
	// free holds an element for each slot in use.
	free chan struct{}
	// waits counts the statements that found no free slot.
	waits atomic.Uint64
	// demanded is the number of statements that run or wait.
	demanded    atomic.Int64
	maxDemanded atomic.Int64
}

// acquire takes a slot, and waits for it if none is free.
func (l *slots) acquire(s *session) *sqlError {
	raise(&l.maxDemanded, l.demanded.Add(1))
	select {
	case l.free <- struct{}{}:
		return nil
	default:
	}
	l.waits.Add(1)
	select {
	case l.free <- struct{}{}:
		return nil
	case <-s.canceled:
		l.demanded.Add(-1)
		return errCanceled()
	case <-s.closed:
		l.demanded.Add(-1)
		return s.ended()
	}
}

func (l *slots) release() {
	<-l.free
	l.demanded.Add(-1)
}

// raise sets m to n if n is higher.
func raise(m *atomic.Int64, n int64) {
	for old := m.Load(); n > old; old = m.Load() {
		if m.CompareAndSwap(old, n) {
			return
		}
	}
}
