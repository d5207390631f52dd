package informer

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/endiveturn/endiveturn/storer"
)

// TestIndexFollowsRecords guards against an order or a digest that, updated with each
// change, differs from that of the records after restores, deletions and lists.
func TestIndexFollowsRecords(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		now := time.Unix(100, 0)
		m := newMirror(&now)
		m.WrittenIn = func(key string, value []byte) (int64, bool) { return int64(value[0]), key < "k3" }
		era, revision := int64(1), int64(1)
		for range 400 {
			now = now.Add(time.Duration(random.IntN(3000)) * time.Millisecond)
			revision++
			key := fmt.Sprint("k", random.IntN(9))
			switch random.IntN(12) {
			case 0:
				era++
				m.Replace([]storer.Entry{eraEntry(key, string(rune(era)), era, revision)}, storer.JoinRevision(era, revision), now)
			case 1:
				m.ApplyWrite(eraRecord(key, string(rune(era)), era, revision))
			case 2, 3, 4:
				deletion := Record{Key: key, Deleted: true, Revision: storer.JoinRevision(era, revision)}
				m.Merge([]Record{deletion}, storer.JoinRevision(era, revision), now)
			default:
				m.Merge([]Record{eraRecord(key, string(rune(era)), era, revision)}, storer.JoinRevision(era, revision), now)
			}
			checkIndex(t, m, storer.JoinRevision(era-int64(random.IntN(2)), int64(random.IntN(int(revision)))))
		}
	}
}

// checkIndex compares the answers of a mirror with those from all of its records.
func checkIndex(t *testing.T, m *Mirror, revision int64) {
	t.Helper()
	var wantSince []Record
	wantKeys, wantDigest := []string(nil), uint64(0)
	for _, key := range slices.Sorted(maps.Keys(m.records.byKey)) {
		record := m.records.byKey[key]
		if _, own := m.ownWrites[key]; own || record.Revision > revision || m.outlasts(record, m.revision) {
			wantSince = append(wantSince, record)
		}
		if m.InDigest(key) {
			wantDigest ^= record.hash()
		}
		if !record.Deleted {
			wantKeys = append(wantKeys, key)
		}
	}
	gotSince, _, _ := m.Since(revision)
	if !slices.IsSortedFunc(gotSince, func(a, b Record) int { return int(min(1, max(-1, a.Revision-b.Revision))) }) {
		t.Errorf("records since %d are not in the order of their revisions", revision)
	}
	sameRecord := func(a, b Record) bool { return a.Key == b.Key && a.Revision == b.Revision && a.equal(b) }
	slices.SortFunc(gotSince, func(a, b Record) int { return slices.Compare([]string{a.Key}, []string{b.Key}) })
	if !slices.EqualFunc(gotSince, wantSince, sameRecord) {
		t.Errorf("got records %+v since %d, want %+v", gotSince, revision, wantSince)
	}
	if got := m.Digest(); got != wantDigest {
		t.Errorf("got digest %x, want %x", got, wantDigest)
	}
	records, _ := m.Records()
	var gotKeys []string
	for _, record := range records {
		gotKeys = append(gotKeys, record.Key)
	}
	if !slices.Equal(gotKeys, wantKeys) {
		t.Errorf("got keys %q, want %q", gotKeys, wantKeys)
	}
}

// TestExchangeReadsOnlyNewRecords guards against exchanges of the hub of a large fleet,
// thousands a second, that each read all records of the mirror.
func TestExchangeReadsOnlyNewRecords(t *testing.T) {
	now := time.Unix(100, 0)
	m := newMirror(&now)
	reads := 0
	m.WrittenIn = func(string, []byte) (int64, bool) { reads++; return 0, false }
	m.InDigest = func(string) bool { reads++; return true }
	var entries []storer.Entry
	for i := range 1000 {
		entries = append(entries, entry(fmt.Sprint("host-", i), int64(i+1)))
	}
	m.Replace(entries, 1000, now)
	reads = 0
	m.Merge([]Record{{Key: "host-7", Revision: 1001}}, 1001, now)
	m.Since(1000)
	m.Digest()
	if reads > 10 {
		t.Errorf("one change and one exchange read %d of 1,000 records, want a few", reads)
	}
}

// TestDeferrableChanges guards against a change of primary that is processed late because
// it arrives together with registrations of hosts.
func TestDeferrableChanges(t *testing.T) {
	now := time.Unix(100, 0)
	tests := []struct {
		name string
		keys []string
		want []bool
	}{
		{name: "registrations", keys: []string{"host-1", "host-2"}, want: []bool{true}},
		{name: "registration and assignment", keys: []string{"host-1", "lead", "host-2"}, want: []bool{false}},
		{name: "nothing", want: nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := newMirror(&now)
			m.Deferrable = func(key string) bool { return key != "lead" }
			m.Replace(nil, 1, now)
			var got []bool
			m.OnChange = func(deferrable bool) { got = append(got, deferrable) }
			var records []Record
			for _, key := range test.keys {
				records = append(records, Record{Key: key, Revision: 2})
			}
			m.Merge(records, 2, now)
			if !slices.Equal(got, test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
