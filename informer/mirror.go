// Package informer keeps a local copy of the store's keys. The copy follows
// the store's watch, takes newer state from other hosts while the store can't
// be reached, and knows how old it may be.
package informer

import (
	"encoding/binary"
	"hash/fnv"
	"sort"
	"sync"
	"time"

	"github.com/endiveturn/endiveturn/storer"
)

// tombstoneAge is how long deletions are remembered for other hosts, which
// exchange state several times a second.
const tombstoneAge = time.Minute

// ownWriteAge is how long this host tells others of its own writes in any case:
// longer than a watch passes over changes while the store discards its history.
const ownWriteAge = 10 * time.Second

// A Record is a key of the copy, or its deletion.
type Record struct {
	Key      string
	Value    []byte
	Revision int64
	Deleted  bool
}

// A Mirror is the copy itself. It is safe for concurrent use.
type Mirror struct {
	// Now returns an instant that counts suspensions of the machine.
	Now func() time.Time
	// Changed is called after the copy has changed, without locks held.
	Changed func()

	mu      sync.Mutex
	records map[string]Record
	// deletedAt holds when a deletion was learned.
	deletedAt map[string]time.Time
	// wrote holds when this host wrote a key itself.
	wrote map[string]time.Time
	// revision is the store's revision up to which the copy is complete.
	revision int64
	// current is the latest instant at which the copy is known to have held
	// everything that the store had confirmed.
	current time.Time
	// loaded is set once the copy has been complete.
	loaded bool
	// listed is the revision at which this process read all keys from the store
	// last; 0 if it never did. What was unknown then is gone or newer.
	listed int64
}

// Revision returns the revision up to which the copy is complete.
func (m *Mirror) Revision() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// Current returns the latest instant at which the copy is known to have been
// complete, or the zero time.
func (m *Mirror) Current() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.current
}

// Loaded reports whether the copy has ever been complete.
func (m *Mirror) Loaded() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.loaded
}

// Listed reports whether this process has read all keys from the store.
func (m *Mirror) Listed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listed > 0
}

// Replace takes in all entries of the store, read from the instant asked on,
// the first page at revision. What is known to be newer stays.
func (m *Mirror) Replace(entries []storer.Entry, revision int64, asked time.Time) {
	m.mu.Lock()
	if m.loaded && revision < m.revision {
		m.mu.Unlock()
		return
	}
	fresh := make(map[string]Record, len(entries))
	for _, entry := range entries {
		fresh[entry.Key] = Record{Key: entry.Key, Value: entry.Value, Revision: entry.ModRevision}
	}
	now := m.Now()
	for key, old := range m.records {
		listed, ok := fresh[key]
		switch {
		case ok && listed.Revision >= old.Revision:
		case ok || old.Deleted || old.Revision > revision:
			fresh[key] = old
		default:
			fresh[key] = Record{Key: key, Revision: revision, Deleted: true}
			m.deletedTimes()[key] = now
		}
	}
	m.records = fresh
	m.listed = revision
	m.advance(revision, asked)
	m.unlockAndTell(true)
}

// Apply takes in changes that complete the copy up to revision as of the
// instant asked.
func (m *Mirror) Apply(changes []storer.Change, revision int64, asked time.Time) {
	m.mu.Lock()
	changed := false
	for _, change := range changes {
		record := Record{Key: change.Key, Value: change.Value, Revision: change.ModRevision, Deleted: change.Deleted}
		changed = m.merge(record) || changed
	}
	m.advance(revision, asked)
	m.unlockAndTell(changed)
}

// Merge takes in the records of another host, whose copy is complete up to
// revision as of the instant current.
func (m *Mirror) Merge(records []Record, revision int64, current time.Time) {
	m.mu.Lock()
	changed := false
	for _, record := range records {
		changed = m.merge(record) || changed
	}
	m.advance(revision, current)
	m.unlockAndTell(changed)
}

// Wrote takes in a change of this host before the watch brings it.
func (m *Mirror) Wrote(record Record) {
	m.mu.Lock()
	if m.wrote == nil {
		m.wrote = make(map[string]time.Time)
	}
	m.wrote[record.Key] = m.Now()
	m.unlockAndTell(m.merge(record))
}

func (m *Mirror) merge(record Record) bool {
	old, ok := m.records[record.Key]
	if ok && old.Revision >= record.Revision {
		return false
	}
	if !ok && record.Revision <= m.listed {
		// A host that did not hear of the deletion tells of a former state.
		return false
	}
	if m.records == nil {
		m.records = make(map[string]Record)
	}
	m.records[record.Key] = record
	if record.Deleted {
		m.deletedTimes()[record.Key] = m.Now()
	}
	return true
}

func (m *Mirror) advance(revision int64, current time.Time) {
	m.revision = max(m.revision, revision)
	if current.After(m.current) {
		m.current = current
	}
	m.loaded = true
	now := m.Now()
	for key, at := range m.wrote {
		if now.Sub(at) > ownWriteAge {
			delete(m.wrote, key)
		}
	}
	for key, at := range m.deletedAt {
		if now.Sub(at) > tombstoneAge {
			delete(m.deletedAt, key)
			if m.records[key].Deleted {
				delete(m.records, key)
			}
		}
	}
}

func (m *Mirror) deletedTimes() map[string]time.Time {
	if m.deletedAt == nil {
		m.deletedAt = make(map[string]time.Time)
	}
	return m.deletedAt
}

func (m *Mirror) unlockAndTell(changed bool) {
	m.mu.Unlock()
	if changed && m.Changed != nil {
		m.Changed()
	}
}

// Since returns the records later than revision and those that this host wrote
// lately, which its own copy may be complete without, with the revision up to which
// the copy is complete and the instant at which it is known to have been so.
func (m *Mirror) Since(revision int64) ([]Record, int64, time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var records []Record
	for _, record := range m.records {
		_, own := m.wrote[record.Key]
		if record.Revision > revision || own {
			records = append(records, record)
		}
	}
	sort.Slice(records, func(i, j int) bool { return records[i].Revision < records[j].Revision })
	return records, m.revision, m.current
}

// Digest returns a number that is the same for two copies which hold the same
// revisions of the keys that the filter takes.
func (m *Mirror) Digest(filter func(key string) bool) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	var digest uint64
	for key, record := range m.records {
		if record.Deleted || !filter(key) {
			continue
		}
		hash := fnv.New64a()
		// A hash never fails to take bytes.
		_, _ = hash.Write([]byte(key))
		_, _ = hash.Write(binary.BigEndian.AppendUint64(nil, uint64(record.Revision)))
		digest ^= hash.Sum64()
	}
	return digest
}

// Records returns the present keys in order with the revision of the copy.
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

// Get returns a key of the copy.
func (m *Mirror) Get(key string) (Record, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	record, ok := m.records[key]
	return record, ok && !record.Deleted
}
