package accountant

import (
	"time"

	"github.com/endiveturn/endiveturn/storer"
)

// write carries out a conditional write, at once or later, and loses some responses.
func (m *model) write(h *modelHost, value []byte, expected int64) (int64, error) {
	if !m.reachesStore(h) {
		return 0, errModelLost
	}
	era := m.era
	apply := func() (int64, error) {
		if m.era != era {
			return 0, errModelLost
		}
		if expected != m.revision {
			return 0, &storer.ConflictError{Current: storer.Entry{Key: RecordKey, Value: m.value, ModRevision: m.revision}}
		}
		m.counter++
		m.value, m.revision = value, storer.JoinRevision(m.era, m.counter)
		return m.revision, nil
	}
	switch {
	case m.chance(0.1):
		return 0, errModelLost
	case m.chance(0.1):
		m.writes = append(m.writes, delayed{at: m.now.Add(m.upTo(writeTimeout)), deliver: func() { _, _ = apply() }})
		return 0, errModelLost
	}
	revision, err := apply()
	if m.chance(0.1) || m.losesResponse() {
		return 0, errModelLost
	}
	h.sees(m)
	return revision, err
}

// writeCheckpoint carries out a conditional write of the checkpoint, at once or later.
func (m *model) writeCheckpoint(h *modelHost, value []byte, expected int64) (int64, error) {
	if !m.reachesStore(h) || m.chance(0.1) {
		return 0, errModelLost
	}
	era := m.era
	apply := func() error {
		switch {
		case m.era != era:
			return errModelLost
		case expected != m.checkpoint.ModRevision:
			return &storer.ConflictError{Current: m.checkpoint}
		}
		m.counter++
		m.checkpoint = storer.Entry{Key: CheckpointKey, Value: value, ModRevision: storer.JoinRevision(m.era, m.counter)}
		return nil
	}
	if m.chance(0.1) {
		m.writes = append(m.writes, delayed{at: m.now.Add(m.upTo(4 * time.Second)), deliver: func() { _ = apply() }})
		return 0, errModelLost
	}
	err := apply()
	return m.checkpoint.ModRevision, err
}

func (m *model) copyStore() {
	m.copied, m.copiedAt, m.copiedCheckpoint = m.value, m.revision, m.checkpoint
}

// restoreStore brings the store back from the copy, without leases.
func (m *model) restoreStore() {
	m.era++
	m.leader, m.leaseExpires = nil, time.Time{}
	m.value, m.revision = m.copied, 0
	if _, number := storer.SplitRevision(m.copiedAt); m.copied != nil {
		m.revision = storer.JoinRevision(m.era, number)
	}
	m.checkpoint = m.copiedCheckpoint
	if _, number := storer.SplitRevision(m.checkpoint.ModRevision); number > 0 {
		m.checkpoint.ModRevision = storer.JoinRevision(m.era, number)
	}
}
