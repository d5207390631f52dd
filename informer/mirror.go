// Package informer maintains a local mirror of the store's keys. The mirror follows
// the store's watch, accepts newer state from other hosts while the store is
// unreachable, and tracks as of when it was last known to be complete.
package informer

import (
	"bytes"
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/endiveturn/endiveturn/storer"
)

// tombstoneRetention is how long deletions are kept for other hosts, which exchange
// state several times a second.
const tombstoneRetention = time.Minute

// ownWriteRetention is how long this host sends its own writes to others
// unconditionally. It is longer than the time during which a watch may miss changes
// while the store compacts its history.
const ownWriteRetention = 10 * time.Second

// A Record is a key of the mirror with its value, or its deletion.
type Record struct {
	Key      string
	Value    []byte
	Revision int64
	Deleted  bool
}

func (r Record) equal(other Record) bool {
	return r.Deleted == other.Deleted && bytes.Equal(r.Value, other.Value)
}

// A Mirror is a local copy of the store's keys. It is safe for concurrent use.
type Mirror struct {
	// Now returns a monotonic time that includes the time the machine is suspended.
	Now func() time.Time
	// OnChange is called after the mirror has changed, without locks held. deferrable is
	// set if Deferrable is true for all changed keys.
	OnChange func(deferrable bool)
	// Deferrable reports whether a change of a key may be processed a short while later,
	// together with further ones. If it is nil, no change may.
	Deferrable func(key string) bool
	// InDigest reports whether a key counts for Digest.
	InDigest func(key string) bool
	// WrittenIn returns the era in which a host wrote a record, for the keys whose
	// records outlast a restore of the store: a record that the store restored from its
	// copy keeps the era in which it was written, so that later ones of that era, which
	// the store lost, stay in the mirror until a host writes the key in the new era. ok
	// is false for other keys. It may be nil.
	WrittenIn func(key string, value []byte) (era int64, ok bool)
	// OnConflict is called, with locks held, when a record is ignored although it
	// differs from the one that the mirror holds at the same revision. It may be nil.
	OnConflict func(key string, revision int64)

	mu sync.Mutex
	// records holds the records by key and in the orders in which they are read.
	records recordIndex
	// deletedAt holds when this host received a deletion, by key.
	deletedAt map[string]time.Time
	// ownWrites holds when this host last wrote to a key, by key.
	ownWrites map[string]time.Time
	// revision is the store's revision up to which the mirror is complete.
	revision int64
	// completeAsOf is the latest instant as of which the mirror is known to have
	// held everything that the store had committed.
	completeAsOf time.Time
	// formerCompleteAsOf is completeAsOf when the mirror left the last era in which no
	// record was outdated, and eraEnteredAt is when it entered the present one.
	formerCompleteAsOf, eraEnteredAt time.Time
	// firstEra is the era in which the mirror was complete first.
	firstEra int64
	// loaded is set once the mirror has been complete.
	loaded bool
	// listedRevision is the revision at which this process last listed all keys of
	// the store, 0 if it never did. A key that the mirror did not hold then was
	// deleted or written later.
	listedRevision int64
	// changed is set once a record has changed since OnChange was called last, and urgent
	// once one has for which Deferrable is false.
	changed, urgent bool
}

// Revision returns the store's revision up to which the mirror is complete.
func (m *Mirror) Revision() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// CompleteAsOf returns the latest instant as of which the mirror is known to have
// been complete, or the zero time.
func (m *Mirror) CompleteAsOf() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.completeAsOf
}

// Loaded reports whether the mirror has ever been complete.
func (m *Mirror) Loaded() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.loaded
}

// Listed reports whether this process has listed all keys of the store.
func (m *Mirror) Listed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listedRevision > 0
}

// Replace replaces the records by the listed entries of the store. The list was
// requested at requestedAt, and its first page was read at revision. Records that
// are known to be newer stay. Replace reports whether it used the list: one that is
// older than the mirror is ignored.
func (m *Mirror) Replace(entries []storer.Entry, revision int64, requestedAt time.Time) bool {
	m.mu.Lock()
	if m.loaded && revision < m.revision {
		m.mu.Unlock()
		return false
	}
	listed := make(map[string]bool, len(entries))
	for _, entry := range entries {
		listed[entry.Key] = true
		record := m.dated(Record{Key: entry.Key, Value: entry.Value, Revision: entry.ModRevision})
		old, ok := m.records.get(entry.Key)
		if !ok || record.Revision > old.Revision || record.Revision == old.Revision && !record.equal(old) {
			m.put(record)
		}
	}
	m.deleteUnlisted(listed, revision)
	m.listedRevision = revision
	m.changed, m.urgent = true, true
	m.advance(revision, requestedAt)
	m.unlockAndNotify()
	return true
}

// deleteUnlisted deletes the records that a list of the store at a revision did not show,
// unless they are newer or outlast a restore.
func (m *Mirror) deleteUnlisted(listed map[string]bool, revision int64) {
	for _, key := range slices.Clone(m.records.keys) {
		old, _ := m.records.get(key)
		if listed[key] || old.Deleted || old.Revision > revision || m.outlasts(old, revision) {
			continue
		}
		m.put(Record{Key: key, Revision: revision, Deleted: true})
		m.deletionTimes()[key] = m.Now()
	}
}

// Apply applies changes that make the mirror complete up to revision as of
// completeAsOf.
func (m *Mirror) Apply(changes []storer.Change, revision int64, completeAsOf time.Time) {
	m.mu.Lock()
	for _, change := range changes {
		m.mergeRecord(m.dated(Record{Key: change.Key, Value: change.Value, Revision: change.ModRevision, Deleted: change.Deleted}))
	}
	m.advance(revision, completeAsOf)
	m.unlockAndNotify()
}

// Merge merges the records of another host, whose mirror is complete up to revision
// as of completeAsOf. The records of a host in a later era are all that it has, because
// their revisions are later than any of this mirror.
func (m *Mirror) Merge(records []Record, revision int64, completeAsOf time.Time) {
	m.mu.Lock()
	if m.loaded && storer.EraOf(revision) > storer.EraOf(m.revision) {
		m.deleteEarlierEras(records, revision)
		m.changed, m.urgent = true, true
	}
	for _, record := range records {
		m.mergeRecord(record)
	}
	m.advance(revision, completeAsOf)
	m.unlockAndNotify()
}

// ApplyWrite applies the outcome of a write by this host before the watch delivers
// it.
func (m *Mirror) ApplyWrite(record Record) {
	m.mu.Lock()
	if m.ownWrites == nil {
		m.ownWrites = make(map[string]time.Time)
	}
	m.ownWrites[record.Key] = m.Now()
	m.mergeRecord(m.dated(record))
	m.unlockAndNotify()
}

func (m *Mirror) mergeRecord(record Record) {
	old, ok := m.records.get(record.Key)
	if ok && old.Revision >= record.Revision {
		if old.Revision == record.Revision && !old.equal(record) && m.OnConflict != nil {
			m.OnConflict(record.Key, record.Revision)
		}
		return
	}
	obsolete := record.Revision <= m.listedRevision || storer.EraOf(record.Revision) < storer.EraOf(m.revision)
	if !ok && obsolete && !m.outlasts(record, m.revision) {
		// A host that did not receive the deletion still sends the old record.
		return
	}
	m.put(record)
	if record.Deleted {
		m.deletionTimes()[record.Key] = m.Now()
	}
}

// put inserts or replaces a record.
func (m *Mirror) put(record Record) {
	m.records.put(record, m.inDigest(record.Key))
	m.changed = true
	m.urgent = m.urgent || m.Deferrable == nil || !m.Deferrable(record.Key)
}

func (m *Mirror) inDigest(key string) bool { return m.InDigest != nil && m.InDigest(key) }

func (m *Mirror) advance(revision int64, completeAsOf time.Time) {
	if !m.loaded {
		m.firstEra = storer.EraOf(revision)
	} else if storer.EraOf(revision) > storer.EraOf(m.revision) {
		if !m.hasOutdated() {
			m.formerCompleteAsOf = m.completeAsOf
		}
		m.eraEnteredAt = m.Now()
	}
	m.revision = max(m.revision, revision)
	if completeAsOf.After(m.completeAsOf) {
		m.completeAsOf = completeAsOf
	}
	m.loaded = true
	now := m.Now()
	for key, at := range m.ownWrites {
		if now.Sub(at) > ownWriteRetention {
			delete(m.ownWrites, key)
		}
	}
	for key, at := range m.deletedAt {
		if now.Sub(at) > tombstoneRetention {
			delete(m.deletedAt, key)
			if record, _ := m.records.get(key); record.Deleted {
				m.records.remove(key, m.inDigest(key))
			}
		}
	}
}

func (m *Mirror) deletionTimes() map[string]time.Time {
	if m.deletedAt == nil {
		m.deletedAt = make(map[string]time.Time)
	}
	return m.deletedAt
}

func (m *Mirror) unlockAndNotify() {
	changed, deferrable := m.changed, !m.urgent
	m.changed, m.urgent = false, false
	m.mu.Unlock()
	if changed && m.OnChange != nil {
		m.OnChange(deferrable)
	}
}

// Since returns the records later than revision, those of earlier eras that outlast a
// restore of the store, and those that this host wrote recently: other mirrors may lack those even if they are complete up to a later
// revision. It also returns the revision up to which this mirror is complete and the
// instant as of which it is known to have been.
func (m *Mirror) Since(revision int64) ([]Record, int64, time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var records []Record
	for _, r := range m.records.upTo(min(revision, m.lastEarlierRevision())) {
		record, _ := m.records.get(r.key)
		if _, own := m.ownWrites[r.key]; own || m.outlasts(record, m.revision) {
			records = append(records, record)
		}
	}
	for key := range m.ownWrites {
		record, ok := m.records.get(key)
		if ok && record.Revision <= revision && record.Revision > m.lastEarlierRevision() {
			records = append(records, record)
		}
	}
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.Revision, b.Revision) })
	for _, r := range m.records.after(revision) {
		record, _ := m.records.get(r.key)
		records = append(records, record)
	}
	return records, m.revision, m.completeAsOf
}

// lastEarlierRevision returns the latest revision that belongs to an earlier era than the
// mirror.
func (m *Mirror) lastEarlierRevision() int64 {
	return storer.JoinRevision(storer.EraOf(m.revision), 0) - 1
}

// Digest returns a number that is equal for two mirrors that hold the same revisions
// of the keys for which InDigest is true.
func (m *Mirror) Digest() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.records.digest
}

// Records returns the present records sorted by key, and the revision of the mirror.
func (m *Mirror) Records() ([]Record, int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	records := make([]Record, 0, len(m.records.keys))
	for _, key := range m.records.keys {
		if record, _ := m.records.get(key); !record.Deleted {
			records = append(records, record)
		}
	}
	return records, m.revision
}

// Get returns the record of a key, and whether the key is present.
func (m *Mirror) Get(key string) (Record, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	record, ok := m.records.get(key)
	return record, ok && !record.Deleted
}
