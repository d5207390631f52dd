package informer

import (
	"testing"
	"time"

	"github.com/endiveturn/endiveturn/storer"
)

// newMirror returns a mirror whose digest covers all keys but "ignored".
func newMirror(now *time.Time) *Mirror {
	return &Mirror{Now: func() time.Time { return *now }, InDigest: func(key string) bool { return key != "ignored" }}
}

func entry(key string, revision int64) storer.Entry {
	return storer.Entry{Key: key, Value: []byte(key), ModRevision: revision}
}

// TestMirror guards against records that revert to an older revision, reappear after
// their deletion, or are lost when received from another host.
func TestMirror(t *testing.T) {
	now := time.Unix(100, 0)
	m := newMirror(&now)
	m.Replace([]storer.Entry{entry("a", 1), entry("b", 2)}, 3, now)
	m.Apply([]storer.Change{{Entry: entry("a", 5)}, {Entry: storer.Entry{Key: "b", ModRevision: 6}, Deleted: true}}, 6, now)
	m.Apply([]storer.Change{{Entry: entry("b", 2)}}, 4, now)
	m.Merge([]Record{{Key: "a", Revision: 4}, {Key: "c", Value: []byte("c"), Revision: 8}}, 8, now.Add(time.Second))
	tests := []struct {
		key      string
		revision int64
		ok       bool
	}{
		{key: "a", revision: 5, ok: true},
		{key: "b", revision: 6},
		{key: "c", revision: 8, ok: true},
	}
	for _, test := range tests {
		got, ok := m.Get(test.key)
		if got.Revision != test.revision || ok != test.ok {
			t.Errorf("%s: got revision %d, %v, want %d, %v", test.key, got.Revision, ok, test.revision, test.ok)
		}
	}
	if got, want := m.Revision(), int64(8); got != want {
		t.Errorf("got revision %d, want %d", got, want)
	}
	if got, want := m.CompleteAsOf(), now.Add(time.Second); !got.Equal(want) {
		t.Errorf("got complete as of %v, want %v", got, want)
	}
	records, _, _ := m.Since(5)
	if len(records) != 2 || !records[0].Deleted || records[1].Key != "c" {
		t.Errorf("got %+v since 5, want the deletion of b and c", records)
	}
	// A list older than the records of the mirror must not revert them.
	m.Replace([]storer.Entry{entry("a", 1)}, 2, now)
	if _, ok := m.Get("c"); !ok {
		t.Error("an older list removed a newer record")
	}
	// A newer list removes records that the store no longer has.
	m.Replace([]storer.Entry{entry("a", 5)}, 9, now)
	if _, ok := m.Get("c"); ok {
		t.Error("a record that the store no longer has was not removed")
	}
}

// TestMirrorForgetsDeletions guards against a mirror that grows with each database
// that ever left.
func TestMirrorForgetsDeletions(t *testing.T) {
	now := time.Unix(100, 0)
	m := newMirror(&now)
	m.Replace([]storer.Entry{entry("a", 1)}, 1, now)
	m.Apply([]storer.Change{{Entry: storer.Entry{Key: "a", ModRevision: 2}, Deleted: true}}, 2, now)
	now = now.Add(2 * tombstoneRetention)
	m.Apply(nil, 3, now)
	if got, _, _ := m.Since(0); len(got) != 0 {
		t.Errorf("got %d records, want none", len(got))
	}
}

// TestOwnWritesAreSent guards against a change of primary that other hosts do
// not receive while the store's watches miss changes: the writer's own mirror
// counts as complete only up to a revision before its write.
func TestOwnWritesAreSent(t *testing.T) {
	now := time.Unix(100, 0)
	m := newMirror(&now)
	m.Replace([]storer.Entry{entry("a", 1)}, 30, now)
	m.ApplyWrite(Record{Key: "lead", Value: []byte("moving"), Revision: 31})
	tests := []struct {
		name     string
		after    time.Duration
		revision int64
		want     int
	}{
		{name: "host with the same revision", revision: 30, want: 1},
		{name: "host whose watch missed the write", revision: 33, want: 1},
		{name: "after the retention", after: 2 * ownWriteRetention, revision: 33},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now = now.Add(test.after)
			m.Apply(nil, 34, now)
			if got, _, _ := m.Since(test.revision); len(got) != test.want {
				t.Errorf("got %d records, want %d", len(got), test.want)
			}
		})
	}
}

// TestDigest guards against undetected differences between two mirrors, also where a
// digest was computed before the change that makes the difference.
func TestDigest(t *testing.T) {
	now := time.Unix(100, 0)
	entries := []storer.Entry{entry("a", 1), entry("b", 2), entry("ignored", 1)}
	tests := []struct {
		name   string
		change func(m *Mirror)
		equal  bool
	}{
		{name: "same list", change: func(m *Mirror) { m.Replace(entries, 3, now) }, equal: true},
		{name: "changed key", change: func(m *Mirror) { m.Apply([]storer.Change{{Entry: entry("a", 4)}}, 4, now) }},
		{name: "changed key of another host", change: func(m *Mirror) { m.Merge([]Record{{Key: "a", Revision: 4}}, 4, now) }},
		{name: "own write", change: func(m *Mirror) { m.ApplyWrite(Record{Key: "c", Revision: 4}) }},
		{name: "deleted key", change: func(m *Mirror) { m.ApplyWrite(Record{Key: "a", Revision: 4, Deleted: true}) }},
		{name: "key missing in a later list", change: func(m *Mirror) { m.Replace(entries[1:], 4, now) }},
		{name: "changed key that does not count", change: func(m *Mirror) { m.Apply([]storer.Change{{Entry: entry("ignored", 4)}}, 4, now) }, equal: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			one, other := newMirror(&now), newMirror(&now)
			one.Replace(entries, 3, now)
			other.Replace([]storer.Entry{entries[2], entries[1], entries[0]}, 3, now)
			if got, want := other.Digest(), one.Digest(); got != want {
				t.Fatalf("got digest %d of an equal mirror, want %d", got, want)
			}
			test.change(other)
			if got := other.Digest() == one.Digest(); got != test.equal {
				t.Errorf("got equal digests %v, want %v", got, test.equal)
			}
		})
	}
}

// TestReplaceKeepsNewer guards against a list that was read before a change and
// arrives after it: a host that has stopped using a former primary would use it
// again, and one that has replaced it would replace it again.
func TestReplaceKeepsNewer(t *testing.T) {
	m := &Mirror{Now: time.Now}
	m.Replace([]storer.Entry{{Key: "lead", Value: []byte("p"), ModRevision: 5}, {Key: "old", ModRevision: 4}}, 8, time.Now())
	m.ApplyWrite(Record{Key: "lead", Value: []byte("moving"), Revision: 9})
	m.Merge([]Record{{Key: "new", Revision: 10}, {Key: "gone", Revision: 10, Deleted: true}}, 8, time.Time{})
	m.Replace([]storer.Entry{{Key: "lead", Value: []byte("p"), ModRevision: 5}, {Key: "gone", ModRevision: 3}}, 8, time.Now())
	tests := []struct {
		key      string
		revision int64
		present  bool
	}{
		{key: "lead", revision: 9, present: true},
		{key: "new", revision: 10, present: true},
		{key: "gone", revision: 0, present: false},
		{key: "old", revision: 0, present: false},
	}
	for _, test := range tests {
		got, ok := m.Get(test.key)
		if ok != test.present || ok && got.Revision != test.revision {
			t.Errorf("%s: got revision %d, present %v, want %d, %v", test.key, got.Revision, ok, test.revision, test.present)
		}
	}
}

// TestDeletedKeysStayDeleted guards against a host that has listed the store after a
// key was deleted and accepts the key again from a host that has not.
func TestDeletedKeysStayDeleted(t *testing.T) {
	m := &Mirror{Now: time.Now}
	m.Replace(nil, 20, time.Now())
	m.Merge([]Record{{Key: "duty", Revision: 12}, {Key: "new", Revision: 21}}, 15, time.Time{})
	if _, ok := m.Get("duty"); ok {
		t.Error("a key that the store did not list at revision 20 reappeared at revision 12")
	}
	if _, ok := m.Get("new"); !ok {
		t.Error("a newer key was not merged")
	}
}
