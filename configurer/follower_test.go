package configurer_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/configurer"
	"github.com/endiveturn/endiveturn/storer"
)

// A fakeStore is a Store in memory without leases.
type fakeStore struct {
	storer.Store
	mu       sync.Mutex
	revision int64
	entries  map[string]storer.Entry
	down     bool
	gets     int
	// watches holds the channel of each watch and the times of their starts.
	watches map[chan storer.Entry]context.CancelFunc
	started []time.Time
}

func newFakeStore() *fakeStore {
	return &fakeStore{entries: make(map[string]storer.Entry), watches: make(map[chan storer.Entry]context.CancelFunc)}
}

// publish writes a set and its head as the publisher does.
func (s *fakeStore) publish(t *testing.T, set configurer.Set) {
	t.Helper()
	data, err := configurer.Encode(set)
	if err != nil {
		t.Fatal(err)
	}
	key := fmt.Sprintf("endiveturn/set/%d-x", set.Revision)
	s.put(key, data)
	s.put(configurer.HeadKey, fmt.Appendf(nil, `{"revision":%d,"digest":%q,"publish_id":"%d","chunks":[%q]}`,
		set.Revision, set.Digest(), set.Revision, key))
}

func (s *fakeStore) put(key string, value []byte) {
	s.mu.Lock()
	s.revision++
	entry := storer.Entry{Key: key, Value: value, ModRevision: s.revision}
	s.entries[key] = entry
	var queues []chan storer.Entry
	for queue := range s.watches {
		queues = append(queues, queue)
	}
	s.mu.Unlock()
	for _, queue := range queues {
		queue <- entry
	}
}

// setDown makes the store fail, and ends the watches.
func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	for _, cancel := range s.watches {
		cancel()
	}
}

func (s *fakeStore) Get(_ context.Context, key string) (storer.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gets++
	if s.down {
		return storer.Entry{}, storer.ErrUnavailable
	}
	entry, ok := s.entries[key]
	if !ok {
		return storer.Entry{}, errors.WithStack(storer.ErrNotFound)
	}
	return entry, nil
}

func (s *fakeStore) Watch(ctx context.Context, prefix string, established func(), changes chan<- storer.Entry) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	queue := make(chan storer.Entry, 10)
	s.mu.Lock()
	down := s.down
	s.started = append(s.started, time.Now())
	s.watches[queue] = cancel
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.watches, queue)
		s.mu.Unlock()
	}()
	if down {
		return storer.ErrUnavailable
	}
	established()
	for {
		select {
		case <-ctx.Done():
			return storer.ErrUnavailable
		case entry := <-queue:
			if entry.Key == prefix {
				select {
				case changes <- entry:
				case <-ctx.Done():
				}
			}
		}
	}
}

// reads returns the number of calls of Get since the last call.
func (s *fakeStore) reads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer func() { s.gets = 0 }()
	return s.gets
}

// A log of what a follower reported.
type log struct {
	mu        sync.Mutex
	revisions []uint64
	contact   time.Time
}

func (l *log) lastContact() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.contact
}

// follow runs a follower until the test ends, in a bubble of synctest.
func follow(t *testing.T, store storer.Store, watching bool) (*configurer.Follower, *log) {
	return followWhile(t, store, func() bool { return watching })
}

func followWhile(t *testing.T, store storer.Store, watching func() bool) (*configurer.Follower, *log) {
	l := &log{}
	f := &configurer.Follower{
		Store:    store,
		Logger:   quiet,
		Watching: watching,
		OnContact: func(at time.Time) {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.contact = at
		},
		OnSet: func(set configurer.Set) {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.revisions = append(l.revisions, set.Revision)
		},
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- f.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("Run: %v", err)
		}
	})
	synctest.Wait()
	return f, l
}

func isReady(f *configurer.Follower) bool {
	select {
	case <-f.Ready():
		return true
	default:
		return false
	}
}

// A watching host must have a set at once, others within the poll interval,
// and neither may read the store more often than that takes.
func TestFollowerAdopts(t *testing.T) {
	tests := []struct {
		name     string
		watching bool
		within   time.Duration
		// reads bounds the calls of Get in a minute without changes.
		reads int
	}{
		{"watching", true, 0, 70},
		{"polling", false, 45 * time.Second, 4},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newFakeStore()
				store.publish(t, validSet().WithRevision(1))
				f, l := follow(t, store, test.watching)
				if got := f.Set().Revision; got != 1 || !isReady(f) {
					t.Fatalf("after the start: got revision %d, ready %v", got, isReady(f))
				}
				time.Sleep(10 * time.Second)
				store.publish(t, validSet().WithRevision(2))
				time.Sleep(test.within)
				synctest.Wait()
				if got := f.Set(); got.Revision != 2 || got.Digest() != validSet().WithRevision(2).Digest() {
					t.Errorf("after %v: got revision %d, want 2", test.within, got.Revision)
				}
				store.reads()
				time.Sleep(time.Minute)
				if got := store.reads(); got > test.reads {
					t.Errorf("got %d reads in a minute, want at most %d", got, test.reads)
				}
				if want := []uint64{1, 2}; !slices.Equal(l.revisions, want) {
					t.Errorf("OnSet got %v, want %v", l.revisions, want)
				}
			})
		})
	}
}

// The hosts that watch change with the membership; a watch that stayed behind
// would load the store, and one that is missing would delay a set.
func TestFollowerWatchingChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.publish(t, validSet().WithRevision(1))
		var watching atomic.Bool
		f, _ := followWhile(t, store, watching.Load)
		for i, on := range []bool{true, false, true} {
			watching.Store(on)
			time.Sleep(1100 * time.Millisecond)
			store.mu.Lock()
			got := len(store.watches) == 1
			store.mu.Unlock()
			if got != on {
				t.Errorf("change %d: got watch %v, want %v", i, got, on)
			}
		}
		store.publish(t, validSet().WithRevision(2))
		synctest.Wait()
		if got := f.Set().Revision; got != 2 {
			t.Errorf("got revision %d, want 2", got)
		}
	})
}

// Contact must end with the answers of the store, or a host that is cut off
// would go on accepting revoked keys.
func TestFollowerContact(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.publish(t, validSet().WithRevision(1))
		_, l := follow(t, store, true)
		time.Sleep(10 * time.Second)
		if age := time.Since(l.lastContact()); age > time.Second {
			t.Errorf("last contact %v ago, want at most 1s", age)
		}
		store.setDown(true)
		down := time.Now()
		time.Sleep(30 * time.Second)
		if l.lastContact().After(down) {
			t.Error("contact while the store was down")
		}
		store.setDown(false)
		time.Sleep(1100 * time.Millisecond)
		if age := time.Since(l.lastContact()); age > 1100*time.Millisecond {
			t.Errorf("last contact %v ago after the store returned", age)
		}
	})
}

// A head whose set cannot be read is no contact: the host does not have what
// the store calls the set in force.
func TestFollowerMissingChunks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put(configurer.HeadKey, []byte(`{"revision":1,"digest":"d","publish_id":"x","chunks":["gone"]}`))
		f, l := follow(t, store, true)
		time.Sleep(10 * time.Second)
		if isReady(f) || !l.lastContact().IsZero() {
			t.Errorf("ready %v, contact at %v without the set", isReady(f), l.lastContact())
		}
		store.publish(t, validSet().WithRevision(2))
		time.Sleep(6 * time.Second)
		if !isReady(f) || f.Set().Revision != 2 {
			t.Errorf("got revision %d, ready %v; want 2", f.Set().Revision, isReady(f))
		}
	})
}

// An older revision, from a backup of the store or a late peer, must not bring
// a withdrawn key back.
func TestFollowerNeverGoesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.publish(t, validSet().WithRevision(5))
		f, l := follow(t, store, true)
		for _, set := range []configurer.Set{validSet().WithRevision(4), validSet().WithRevision(5).WithHost(configurer.Host{Name: "other"})} {
			store.publish(t, set)
			time.Sleep(5 * time.Second)
			if got := f.Set().Digest(); got != validSet().WithRevision(5).Digest() {
				t.Errorf("the store's revision %d replaced 5", set.Revision)
			}
		}
		offers := []struct {
			set     configurer.Set
			refused bool
			want    uint64
		}{
			{validSet().WithRevision(4), false, 5},
			{validSet().WithRevision(5), false, 5},
			{validSet().WithRevision(5).WithHost(configurer.Host{Name: "other"}), true, 5},
			{validSet().WithRevision(6), false, 6},
		}
		for _, offer := range offers {
			err := f.Offer(offer.set)
			if got := f.Set().Revision; got != offer.want || errors.Is(err, configurer.ErrDigest) != offer.refused {
				t.Errorf("offer of %d: got revision %d, %v; want %d, refused %v", offer.set.Revision, got, err, offer.want, offer.refused)
			}
		}
		if want := []uint64{5, 6}; !slices.Equal(l.revisions, want) {
			t.Errorf("OnSet got %v, want %v", l.revisions, want)
		}
	})
}

// An offer by a peer must not make a host ready that never heard of the store.
func TestFollowerColdStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.setDown(true)
		f, _ := follow(t, store, false)
		if err := f.Offer(validSet().WithRevision(3)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Minute)
		if isReady(f) || f.Set().Revision != 3 {
			t.Errorf("got ready %v, revision %d; want not ready, 3", isReady(f), f.Set().Revision)
		}
		if got := store.reads(); got > 40 {
			t.Errorf("got %d reads in a minute, want at most 40", got)
		}
		store.setDown(false)
		time.Sleep(5 * time.Second)
		if !isReady(f) {
			t.Error("not ready 5s after the store returned")
		}
	})
}

// After an outage the watches of a fleet must not return all at once.
func TestFollowerResumesSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.publish(t, validSet().WithRevision(1))
		const hosts = 24
		for range hosts {
			follow(t, store, true)
		}
		time.Sleep(10 * time.Second)
		store.setDown(true)
		time.Sleep(30 * time.Second)
		store.mu.Lock()
		store.started = nil
		store.mu.Unlock()
		store.setDown(false)
		returned := time.Now()
		time.Sleep(7 * time.Second)
		store.mu.Lock()
		defer store.mu.Unlock()
		perSecond := make(map[int]int)
		for _, at := range store.started {
			perSecond[int(at.Sub(returned)/time.Second)]++
		}
		if len(store.started) != hosts || len(store.watches) != hosts {
			t.Errorf("got %d watches started, %d waiting; want %d", len(store.started), len(store.watches), hosts)
		}
		for second, n := range perSecond {
			if n > hosts*2/3 {
				t.Errorf("%d of %d watches started in second %d", n, hosts, second)
			}
		}
	})
}
