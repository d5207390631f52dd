// Package informer maintains a local mirror of the store's keys. The mirror follows
// the store's watch, accepts newer state from other hosts while the store is
// unreachable, and tracks as of when it was last known to be complete.
package informer

import (
	"bytes"
	"encoding/binary"
	"hash/fnv"
	"sort"
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
	// OnChange is called after the mirror has changed, without locks held.
	OnChange func()
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

	mu      sync.Mutex
	records map[string]Record
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
	// digest is valid while digestValid is set.
	digest      uint64
	digestValid bool
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
	records := make(map[string]Record, len(entries))
	for _, entry := range entries {
		records[entry.Key] = m.dated(Record{Key: entry.Key, Value: entry.Value, Revision: entry.ModRevision})
	}
	now := m.Now()
	for key, old := range m.records {
		listed, ok := records[key]
		switch {
		case ok && listed.Revision >= old.Revision:
		case ok || old.Deleted || old.Revision > revision || m.outlasts(old, revision):
			records[key] = old
		default:
			records[key] = Record{Key: key, Revision: revision, Deleted: true}
			m.deletionTimes()[key] = now
		}
	}
	m.records = records
	m.digestValid = false
	m.listedRevision = revision
	m.advance(revision, requestedAt)
	m.unlockAndNotify(true)
	return true
}

// Apply applies changes that make the mirror complete up to revision as of
// completeAsOf.
func (m *Mirror) Apply(changes []storer.Change, revision int64, completeAsOf time.Time) {
	m.mu.Lock()
	changed := false
	for _, change := range changes {
		record := m.dated(Record{Key: change.Key, Value: change.Value, Revision: change.ModRevision, Deleted: change.Deleted})
		changed = m.mergeRecord(record) || changed
	}
	m.advance(revision, completeAsOf)
	m.unlockAndNotify(changed)
}

// Merge merges the records of another host, whose mirror is complete up to revision
// as of completeAsOf. The records of a host in a later era are all that it has, because
// their revisions are later than any of this mirror.
func (m *Mirror) Merge(records []Record, revision int64, completeAsOf time.Time) {
	m.mu.Lock()
	changed := false
	if m.loaded && storer.EraOf(revision) > storer.EraOf(m.revision) {
		m.deleteEarlierEras(records, revision)
		changed = true
	}
	for _, record := range records {
		changed = m.mergeRecord(record) || changed
	}
	m.advance(revision, completeAsOf)
	m.unlockAndNotify(changed)
}

// ApplyWrite applies the outcome of a write by this host before the watch delivers
// it.
func (m *Mirror) ApplyWrite(record Record) {
	m.mu.Lock()
	if m.ownWrites == nil {
		m.ownWrites = make(map[string]time.Time)
	}
	m.ownWrites[record.Key] = m.Now()
	m.unlockAndNotify(m.mergeRecord(m.dated(record)))
}

func (m *Mirror) mergeRecord(record Record) bool {
	old, ok := m.records[record.Key]
	if ok && old.Revision >= record.Revision {
		if old.Revision == record.Revision && !old.equal(record) && m.OnConflict != nil {
			m.OnConflict(record.Key, record.Revision)
		}
		return false
	}
	obsolete := record.Revision <= m.listedRevision || storer.EraOf(record.Revision) < storer.EraOf(m.revision)
	if !ok && obsolete && !m.outlasts(record, m.revision) {
		// A host that did not receive the deletion still sends the old record.
		return false
	}
	if m.records == nil {
		m.records = make(map[string]Record)
	}
	m.records[record.Key] = record
	m.digestValid = false
	if record.Deleted {
		m.deletionTimes()[record.Key] = m.Now()
	}
	return true
}

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
			if m.records[key].Deleted {
				delete(m.records, key)
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

func (m *Mirror) unlockAndNotify(changed bool) {
	m.mu.Unlock()
	if changed && m.OnChange != nil {
		m.OnChange()
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
	for _, record := range m.records {
		_, own := m.ownWrites[record.Key]
		if record.Revision > revision || own || m.outlasts(record, m.revision) {
			records = append(records, record)
		}
	}
	sort.Slice(records, func(i, j int) bool { return records[i].Revision < records[j].Revision })
	return records, m.revision, m.completeAsOf
}

// Digest returns a number that is equal for two mirrors that hold the same revisions
// of the keys for which InDigest is true.
func (m *Mirror) Digest() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.digestValid {
		m.digest = m.computeDigest()
		m.digestValid = true
	}
	return m.digest
}

func (m *Mirror) computeDigest() uint64 {
	var digest uint64
	for key, record := range m.records {
		if record.Deleted || !m.InDigest(key) {
			continue
		}
		hash := fnv.New64a()
		// Write of a hash never returns an error.
		_, _ = hash.Write([]byte(key))
		_, _ = hash.Write(binary.BigEndian.AppendUint64(nil, uint64(record.Revision)))
		digest ^= hash.Sum64()
	}
	return digest
}

// Records returns the present records sorted by key, and the revision of the mirror.
func (m *Mirror) Records() ([]Record, int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	records := make([]Record, 0, len(m.records))
	for _, record := range m.records {
		if !record.Deleted {
			records = append(records, record)
		}
	}
	sort.Slice(records, func(i, j int) bool { return records[i].Key < records[j].Key })
	return records, m.revision
}

// Get returns the record of a key, and whether the key is present.
func (m *Mirror) Get(key string) (Record, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	record, ok := m.records[key]
	return record, ok && !record.Deleted
}
