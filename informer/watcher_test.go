package informer

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/storer"
)

// A fakeStore is a store whose watches can be made to miss changes.
type fakeStore struct {
	mu       sync.Mutex
	entries  map[string]storer.Entry
	history  []storer.Change
	revision int64
	// dropChanges makes watches miss the changes written while it is set.
	dropChanges bool
	// failures is how many further calls fail.
	failures int
	// compacted is the revision up to which the history is compacted.
	compacted int64
	lists     int
	changed   chan struct{}
	// suspended makes the watcher wait.
	suspended atomic.Bool
}

func newFakeStore() *fakeStore {
	return &fakeStore{entries: make(map[string]storer.Entry), revision: 1, changed: make(chan struct{})}
}

func (s *fakeStore) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	e := storer.Entry{Key: key, Value: []byte(value), ModRevision: s.revision}
	s.entries[key] = e
	if !s.dropChanges {
		s.history = append(s.history, storer.Change{Entry: e})
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

func (s *fakeStore) list(context.Context, string, string) (storer.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	if s.failures > 0 {
		s.failures--
		return storer.Page{}, storer.ErrUnavailable
	}
	page := storer.Page{Revision: s.revision}
	for _, e := range s.entries {
		page.Entries = append(page.Entries, e)
	}
	return page, nil
}

func (s *fakeStore) watch(ctx context.Context, _ string, revision int64, wait time.Duration) ([]storer.Change, int64, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		changed := s.changed
		if s.failures > 0 {
			s.failures--
			s.mu.Unlock()
			return nil, 0, storer.ErrUnavailable
		}
		if revision < s.compacted {
			s.mu.Unlock()
			return nil, 0, storer.ErrCompacted
		}
		var changes []storer.Change
		for _, c := range s.history {
			if c.ModRevision > revision {
				changes = append(changes, c)
			}
		}
		current := s.revision
		s.mu.Unlock()
		if len(changes) > 0 {
			return changes, current, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, current, nil
		case <-ctx.Done():
			return nil, 0, errors.Wrap(storer.ErrUnavailable, ctx.Err().Error())
		}
	}
}

func startWatcher(t *testing.T, s *fakeStore) (*Watcher, *Mirror) {
	t.Helper()
	w := NewWatcher()
	w.Excluded = func(key string) bool { return key == "excluded" }
	w.Suspended = s.suspended.Load
	w.Store = storer.KeyValueStore{List: s.list, Changes: s.watch, Era: func() int64 { return 1 }}
	w.Mirror = &Mirror{Now: time.Now}
	w.Wait = func() time.Duration { return 10 * time.Second }
	w.MaxBackoff = func() time.Duration { return 800 * time.Millisecond }
	w.Now = time.Now
	w.Logger = slog.New(slog.NewTextHandler(io.Discard, nil))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		// Run always returns the error of the context.
		_ = w.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return w, w.Mirror
}

func value(m *Mirror, key string) string {
	r, _ := m.Get(key)
	return string(r.Value)
}

// TestWatcher guards against a mirror that stays behind the store after a change, an
// outage or a compaction.
func TestWatcher(t *testing.T) {
	tests := []struct {
		name   string
		change func(s *fakeStore, w *Watcher)
		within time.Duration
	}{
		{name: "change", change: func(s *fakeStore, _ *Watcher) { s.put("a", "2") }, within: time.Millisecond},
		{name: "outage", within: 3 * time.Second, change: func(s *fakeStore, w *Watcher) {
			s.mu.Lock()
			s.failures = 5
			s.mu.Unlock()
			w.Interrupt()
			s.put("a", "2")
		}},
		{name: "history compacted", within: time.Second, change: func(s *fakeStore, w *Watcher) {
			s.mu.Lock()
			s.dropChanges = true
			s.mu.Unlock()
			s.put("a", "2")
			s.mu.Lock()
			s.compacted = s.revision
			s.mu.Unlock()
			w.Interrupt()
		}},
		{name: "watch missed a change", within: time.Second, change: func(s *fakeStore, w *Watcher) {
			s.mu.Lock()
			s.dropChanges = true
			s.mu.Unlock()
			s.put("a", "2")
			s.mu.Lock()
			s.dropChanges = false
			s.mu.Unlock()
			s.put("b", "1")
			w.Relist()
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFakeStore()
				s.put("a", "1")
				w, m := startWatcher(t, s)
				synctest.Wait()
				if got := value(m, "a"); got != "1" {
					t.Fatalf("got %q, want 1", got)
				}
				test.change(s, w)
				time.Sleep(test.within)
				synctest.Wait()
				if got := value(m, "a"); got != "2" {
					t.Errorf("got %q after %v, want 2", got, test.within)
				}
			})
		})
	}
}

// TestExcludedKeys guards against a key that stays out of the mirror for the sake of traffic and
// is in it all the same, after a list or a change, and against other changes that are lost
// with it.
func TestExcludedKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.put("a", "1")
		s.put("excluded", "1")
		_, m := startWatcher(t, s)
		synctest.Wait()
		s.put("excluded", "2")
		synctest.Wait()
		s.put("a", "2")
		synctest.Wait()
		if records, revision := m.Records(); len(records) != 1 || value(m, "a") != "2" || revision != s.revision {
			t.Errorf("got records %v up to revision %d, want the second value of a only, up to %d", records, revision, s.revision)
		}
	})
}

// TestResume guards against a host that reads the whole history of an excluded key from the store
// after another host has delivered all changes for long, and against a list where few
// changes have to be read.
func TestResume(t *testing.T) {
	for _, test := range []struct{ changes, lists int }{{changes: 50, lists: 1}, {changes: 200, lists: 2}} {
		t.Run(fmt.Sprint(test.changes, " changes"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFakeStore()
				s.suspended.Store(true)
				_, m := startWatcher(t, s)
				synctest.Wait()
				for range test.changes {
					s.put("excluded", "1")
				}
				m.Merge(nil, s.revision, time.Now())
				s.suspended.Store(false)
				time.Sleep(time.Second)
				s.put("b", "1")
				synctest.Wait()
				s.mu.Lock()
				defer s.mu.Unlock()
				if s.lists != test.lists || value(m, "b") != "1" {
					t.Errorf("got %d lists and value %q, want %d and 1", s.lists, value(m, "b"), test.lists)
				}
			})
		})
	}
}

// TestCompleteAsOf guards against a mirror that counts as newer than the response of
// the store.
func TestCompleteAsOf(t *testing.T) {
	requestedAt := time.Unix(100, 0)
	tests := []struct {
		name           string
		respondedAfter time.Duration
		changes        int
		want           time.Duration
	}{
		{name: "no changes", respondedAfter: 2 * time.Second, want: 2 * time.Second},
		{name: "no changes, delayed response", respondedAfter: 5 * time.Second, want: 2 * time.Second},
		{name: "ended early", respondedAfter: time.Second},
		{name: "changes", respondedAfter: 3 * time.Second, changes: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := completeAsOf(requestedAt, requestedAt.Add(test.respondedAfter), 2*time.Second, test.changes)
			if want := requestedAt.Add(test.want); !got.Equal(want) {
				t.Errorf("got %v, want %v", got, want)
			}
		})
	}
}
