package informer

import (
	"context"
	"io"
	"log/slog"
	"slices"
	"testing"
	"time"

	"github.com/endiveturn/endiveturn/storer"
)

func eraRecord(key, value string, era, revision int64) Record {
	return Record{Key: key, Value: []byte(value), Revision: storer.JoinRevision(era, revision)}
}

func eraEntry(key, value string, era, revision int64) storer.Entry {
	return storer.Entry{Key: key, Value: []byte(value), ModRevision: storer.JoinRevision(era, revision)}
}

// TestMirrorFollowsRestoredStore guards against a mirror that keeps records which the
// store no longer has after it came back from an older copy, or ignores those that it
// wrote since because their revisions are lower.
func TestMirrorFollowsRestoredStore(t *testing.T) {
	now := time.Unix(100, 0)
	tests := []struct {
		name   string
		update func(m *Mirror)
	}{
		{name: "by a list", update: func(m *Mirror) {
			m.Replace([]storer.Entry{eraEntry("a", "restored", 2, 5)}, storer.JoinRevision(2, 6), now)
		}},
		{name: "by another host", update: func(m *Mirror) {
			m.Merge([]Record{eraRecord("a", "restored", 2, 5)}, storer.JoinRevision(2, 6), now)
		}},
		{name: "by another host, then by a host in the earlier era", update: func(m *Mirror) {
			m.Merge([]Record{eraRecord("a", "restored", 2, 5)}, storer.JoinRevision(2, 6), now)
			m.Merge([]Record{eraRecord("a", "late", 1, 30), eraRecord("b", "late", 1, 31), eraRecord("c", "late", 1, 32)}, storer.JoinRevision(1, 32), now)
		}},
		{name: "by another host, after an own write in the new era", update: func(m *Mirror) {
			m.ApplyWrite(eraRecord("a", "restored", 2, 5))
			m.Merge([]Record{eraRecord("a", "restored", 2, 5)}, storer.JoinRevision(2, 6), now)
		}},
		{name: "by a list, then by a list of the earlier era that arrives late", update: func(m *Mirror) {
			m.Replace([]storer.Entry{eraEntry("a", "restored", 2, 5)}, storer.JoinRevision(2, 6), now)
			m.Replace([]storer.Entry{eraEntry("a", "late", 1, 20)}, storer.JoinRevision(1, 40), now)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := newMirror(&now)
			m.Replace([]storer.Entry{eraEntry("a", "former", 1, 20), eraEntry("b", "lost", 1, 21)}, storer.JoinRevision(1, 25), now)
			test.update(m)
			if got, ok := m.Get("a"); !ok || string(got.Value) != "restored" {
				t.Errorf("key a: got %q, %v, want the restored value", got.Value, ok)
			}
			for _, key := range []string{"b", "c"} {
				if got, ok := m.Get(key); ok {
					t.Errorf("key %s: got %q, want it to be gone", key, got.Value)
				}
			}
			if got, want := m.Revision(), storer.JoinRevision(2, 6); got != want {
				t.Errorf("revision: got %d, want %d", got, want)
			}
			records, _, _ := m.Since(storer.JoinRevision(1, 25))
			if !slices.ContainsFunc(records, func(r Record) bool { return r.Key == "a" && !r.Deleted }) {
				t.Errorf("records for a host in the earlier era: got %+v, want key a among them", records)
			}
		})
	}
}

// TestWatcherListsAgainAcrossEras guards against a list that mixes pages from before and
// after the store came back from an older copy.
func TestWatcherListsAgainAcrossEras(t *testing.T) {
	pages := []storer.Page{
		{Entries: []storer.Entry{eraEntry("a", "former", 1, 20)}, More: true, Revision: storer.JoinRevision(1, 25)},
		{Entries: []storer.Entry{eraEntry("b", "restored", 2, 5)}, Revision: storer.JoinRevision(2, 6)},
		{Entries: []storer.Entry{eraEntry("b", "restored", 2, 5)}, Revision: storer.JoinRevision(2, 6)},
	}
	now := time.Unix(100, 0)
	watcher := NewWatcher()
	watcher.Mirror, watcher.Now, watcher.Logger = newMirror(&now), time.Now, slog.New(slog.NewTextHandler(io.Discard, nil))
	watcher.Store.Era = func() int64 { return 2 }
	watcher.Store.List = func(context.Context, string, string) (storer.Page, error) {
		page := pages[0]
		pages = pages[1:]
		return page, nil
	}
	if _, err := watcher.list(t.Context()); err == nil {
		t.Error("list over two eras: got no error, want one")
	}
	if _, err := watcher.list(t.Context()); err != nil {
		t.Errorf("list in one era: %v", err)
	}
	if _, ok := watcher.Mirror.Get("a"); ok {
		t.Error("the mirror has a record of the earlier era")
	}
}

// TestRecordsOutlastRestore guards against a change of primary that is forgotten because
// the store came back from a copy without it: the record stays in the mirrors, also of
// hosts that receive it later, until a host writes the key in the new era.
func TestRecordsOutlastRestore(t *testing.T) {
	now := time.Unix(100, 0)
	restored := []storer.Entry{eraEntry("kept", "1 older", 2, 5)}
	tests := []struct {
		name   string
		listed []storer.Entry
		update func(m *Mirror)
		want   string
	}{
		{name: "copy with an older record", listed: restored, want: "1 newer"},
		{name: "copy without the record", want: "1 newer"},
		{name: "another host in the new era", listed: restored, want: "1 newer", update: func(m *Mirror) {
			m.Merge([]Record{eraRecord("kept", "1 older", 1, 5)}, storer.JoinRevision(2, 8), now)
		}},
		{name: "a still later record of another host", listed: restored, want: "1 latest", update: func(m *Mirror) {
			m.Merge([]Record{eraRecord("kept", "1 latest", 1, 24)}, storer.JoinRevision(1, 24), now)
		}},
		{name: "written in the new era", listed: restored, want: "2 new", update: func(m *Mirror) {
			m.Apply([]storer.Change{{Entry: eraEntry("kept", "2 new", 2, 9)}}, storer.JoinRevision(2, 9), now)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := newMirror(&now)
			m.WrittenIn = func(key string, value []byte) (int64, bool) { return int64(value[0] - '0'), key == "kept" }
			m.Replace([]storer.Entry{eraEntry("kept", "1 newer", 1, 21)}, storer.JoinRevision(1, 22), now)
			m.Replace(test.listed, storer.JoinRevision(2, 6), now)
			if test.update != nil {
				test.update(m)
			}
			if got, ok := m.Get("kept"); !ok || string(got.Value) != test.want {
				t.Errorf("got %q, %v, want %q", got.Value, ok, test.want)
			}
			records, _, _ := m.Since(storer.JoinRevision(2, 7))
			if sent := len(records) > 0; !sent {
				t.Error("the record is not sent to a host that has listed the restored store")
			}
		})
	}
}
