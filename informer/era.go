package informer

import (
	"slices"
	"time"

	"github.com/endiveturn/endiveturn/storer"
)

// When the store comes back from an older copy, in the next era, a mirror gives up the
// records of the former one. Those that outlast a restore stay, ordered by the era in which
// a host wrote them, until a host writes their keys again.

// FormerCompleteAsOf returns the latest instant as of which the mirror is known to have
// held everything that the store acknowledged, when a restore of the store had lost
// nothing that outlasts it, or the zero time.
func (m *Mirror) FormerCompleteAsOf() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.formerCompleteAsOf
}

// EraEnteredAt returns when the mirror left the previous era, or the zero time.
func (m *Mirror) EraEnteredAt() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.eraEnteredAt
}

// FirstEra returns the era in which the mirror was complete first, 0 before. It never held
// what the store lost before that.
func (m *Mirror) FirstEra() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.firstEra
}

// deleteEarlierEras deletes the records of earlier eras than that of revision, except
// those with the keys of the given records, which replace them.
func (m *Mirror) deleteEarlierEras(replacements []Record, revision int64) {
	replaced := make(map[string]bool, len(replacements))
	for _, record := range replacements {
		replaced[record.Key] = true
	}
	for _, key := range slices.Clone(m.records.keys) {
		old, _ := m.records.get(key)
		if replaced[key] || old.Deleted || storer.EraOf(old.Revision) >= storer.EraOf(revision) || m.outlasts(old, revision) {
			continue
		}
		m.put(Record{Key: key, Revision: storer.JoinRevision(storer.EraOf(revision), 0), Deleted: true})
		m.deletionTimes()[key] = m.Now()
	}
}

// hasOutdated reports whether a record of an earlier era has not been written again.
func (m *Mirror) hasOutdated() bool {
	for _, r := range m.records.upTo(m.lastEarlierRevision()) {
		if record, _ := m.records.get(r.key); m.outlasts(record, m.revision) {
			return true
		}
	}
	return false
}

// dated returns the record with the era in which a host wrote it, if the key is one for
// which that matters.
func (m *Mirror) dated(record Record) Record {
	if m.WrittenIn == nil || record.Deleted {
		return record
	}
	if era, ok := m.WrittenIn(record.Key, record.Value); ok {
		storeEra, revision := storer.SplitRevision(record.Revision)
		record.Revision = storer.JoinRevision(min(era, storeEra), revision)
	}
	return record
}

// outlasts reports whether a record is of an earlier era than revision and stays in the
// mirror until a host writes its key again.
func (m *Mirror) outlasts(record Record, revision int64) bool {
	if m.WrittenIn == nil || record.Deleted || storer.EraOf(record.Revision) >= storer.EraOf(revision) {
		return false
	}
	_, ok := m.WrittenIn(record.Key, record.Value)
	return ok
}
