package informer

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/storer"
)

// A stubSpace is a store whose watches can be made to hear nothing.
type stubSpace struct {
	mu       sync.Mutex
	entries  map[string]storer.Entry
	history  []storer.Change
	revision int64
	// deaf watches pass over what is written.
	deaf bool
	// lost is how many further calls fail.
	lost int
	// compacted is the revision up to which the history is gone.
	compacted int64
	lists     int
	changed   chan struct{}
}

func newStubSpace() *stubSpace {
	return &stubSpace{entries: make(map[string]storer.Entry), revision: 1, changed: make(chan struct{})}
}

func (s *stubSpace) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	e := storer.Entry{Key: key, Value: []byte(value), ModRevision: s.revision}
	s.entries[key] = e
	if !s.deaf {
		s.history = append(s.history, storer.Change{Entry: e})
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

func (s *stubSpace) list(context.Context, string, string) (storer.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	if s.lost > 0 {
		s.lost--
		return storer.Page{}, storer.ErrUnavailable
	}
	page := storer.Page{Revision: s.revision}
	for _, e := range s.entries {
		page.Entries = append(page.Entries, e)
	}
	return page, nil
}

func (s *stubSpace) watch(ctx context.Context, _ string, revision int64, wait time.Duration) ([]storer.Change, int64, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		changed := s.changed
		if s.lost > 0 {
			s.lost--
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

func startFollower(t *testing.T, s *stubSpace) (*Follower, *Mirror) {
	t.Helper()
	f := NewFollower()
	f.Space = storer.Space{List: s.list, Changes: s.watch}
	f.Mirror = &Mirror{Now: time.Now}
	f.Wait = func() time.Duration { return 10 * time.Second }
	f.LastPause = func() time.Duration { return 800 * time.Millisecond }
	f.Now = time.Now
	f.Logger = slog.New(slog.NewTextHandler(io.Discard, nil))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		// Run ends with the context.
		_ = f.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return f, f.Mirror
}

func value(m *Mirror, key string) string {
	r, _ := m.Get(key)
	return string(r.Value)
}

// TestFollower guards against a copy that stays behind the store after a
// change, an outage or a loss of history.
func TestFollower(t *testing.T) {
	tests := []struct {
		name   string
		change func(s *stubSpace, f *Follower)
		within time.Duration
	}{
		{name: "change", change: func(s *stubSpace, _ *Follower) { s.put("a", "2") }, within: time.Millisecond},
		{name: "outage", within: 3 * time.Second, change: func(s *stubSpace, f *Follower) {
			s.mu.Lock()
			s.lost = 5
			s.mu.Unlock()
			f.Hurry()
			s.put("a", "2")
		}},
		{name: "history gone", within: time.Second, change: func(s *stubSpace, f *Follower) {
			s.mu.Lock()
			s.deaf = true
			s.mu.Unlock()
			s.put("a", "2")
			s.mu.Lock()
			s.compacted = s.revision
			s.mu.Unlock()
			f.Hurry()
		}},
		{name: "watch passed over a change", within: time.Second, change: func(s *stubSpace, f *Follower) {
			s.mu.Lock()
			s.deaf = true
			s.mu.Unlock()
			s.put("a", "2")
			s.mu.Lock()
			s.deaf = false
			s.mu.Unlock()
			s.put("b", "1")
			f.Relist()
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newStubSpace()
				s.put("a", "1")
				f, m := startFollower(t, s)
				synctest.Wait()
				if got := value(m, "a"); got != "1" {
					t.Fatalf("got %q, want 1", got)
				}
				test.change(s, f)
				time.Sleep(test.within)
				synctest.Wait()
				if got := value(m, "a"); got != "2" {
					t.Errorf("got %q after %v, want 2", got, test.within)
				}
			})
		})
	}
}

// TestCompleteAt guards against a copy that counts as newer than its answer.
func TestCompleteAt(t *testing.T) {
	asked := time.Unix(100, 0)
	tests := []struct {
		name     string
		answered time.Duration
		changes  int
		want     time.Duration
	}{
		{name: "no changes", answered: 2 * time.Second, want: 2 * time.Second},
		{name: "no changes, long on its way", answered: 5 * time.Second, want: 2 * time.Second},
		{name: "cut short", answered: time.Second},
		{name: "changes", answered: 3 * time.Second, changes: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := completeAt(asked, asked.Add(test.answered), 2*time.Second, test.changes)
			if want := asked.Add(test.want); !got.Equal(want) {
				t.Errorf("got %v, want %v", got, want)
			}
		})
	}
}
