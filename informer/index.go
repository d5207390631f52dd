package informer

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"slices"
)

// A recordIndex holds records by key and keeps their orders and their digest up to date
// with each change: while a fleet starts, each host exchanges reports and reads its records
// several times a second, while the records of all hosts change. Its zero value is empty.
type recordIndex struct {
	byKey map[string]Record
	// keys are the keys of all records, deletions included, in ascending order.
	keys []string
	// revisions are the revisions of all records in ascending order.
	revisions []recordRevision
	// digest is the combined hash of the records for which inDigest was true.
	digest uint64
}

type recordRevision struct {
	revision int64
	key      string
}

func (r recordRevision) compare(other recordRevision) int {
	return cmp.Or(cmp.Compare(r.revision, other.revision), cmp.Compare(r.key, other.key))
}

func (x *recordIndex) get(key string) (Record, bool) {
	record, ok := x.byKey[key]
	return record, ok
}

// put inserts or replaces a record.
func (x *recordIndex) put(record Record, inDigest bool) {
	if x.byKey == nil {
		x.byKey = make(map[string]Record)
	}
	if old, ok := x.byKey[record.Key]; ok {
		x.removeRevision(old, inDigest)
	} else {
		i, _ := slices.BinarySearch(x.keys, record.Key)
		x.keys = slices.Insert(x.keys, i, record.Key)
	}
	x.byKey[record.Key] = record
	entry := recordRevision{revision: record.Revision, key: record.Key}
	i, _ := slices.BinarySearchFunc(x.revisions, entry, recordRevision.compare)
	x.revisions = slices.Insert(x.revisions, i, entry)
	if inDigest {
		x.digest ^= record.hash()
	}
}

// remove removes a record.
func (x *recordIndex) remove(key string, inDigest bool) {
	old, ok := x.byKey[key]
	if !ok {
		return
	}
	x.removeRevision(old, inDigest)
	delete(x.byKey, key)
	if i, ok := slices.BinarySearch(x.keys, key); ok {
		x.keys = slices.Delete(x.keys, i, i+1)
	}
}

// removeRevision removes a record from the revisions and the digest.
func (x *recordIndex) removeRevision(record Record, inDigest bool) {
	entry := recordRevision{revision: record.Revision, key: record.Key}
	if i, ok := slices.BinarySearchFunc(x.revisions, entry, recordRevision.compare); ok {
		x.revisions = slices.Delete(x.revisions, i, i+1)
	}
	if inDigest {
		x.digest ^= record.hash()
	}
}

// after returns the revisions later than the given one, in ascending order.
func (x *recordIndex) after(revision int64) []recordRevision {
	return x.revisions[x.countUpTo(revision):]
}

// upTo returns the revisions up to the given one, in ascending order.
func (x *recordIndex) upTo(revision int64) []recordRevision {
	return x.revisions[:x.countUpTo(revision)]
}

func (x *recordIndex) countUpTo(revision int64) int {
	i, _ := slices.BinarySearchFunc(x.revisions, revision, func(r recordRevision, revision int64) int {
		if r.revision <= revision {
			return -1
		}
		return 1
	})
	return i
}

// hash returns the hash of the key and the revision, 0 for a deletion.
func (r Record) hash() uint64 {
	if r.Deleted {
		return 0
	}
	hash := fnv.New64a()
	// Write of a hash never returns an error.
	_, _ = hash.Write([]byte(r.Key))
	_, _ = hash.Write(binary.BigEndian.AppendUint64(nil, uint64(r.Revision)))
	return hash.Sum64()
}
