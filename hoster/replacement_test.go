package hoster

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/endiveturn/endiveturn/director"
	"github.com/endiveturn/endiveturn/timekeeper"
)

// A replacementCase is a series of replacements of the hosts of a fleet, and a change of primary
// after or during it.
type replacementCase struct {
	name string
	// replaced hosts are replaced, one at each pace. If died is set, each dies, and the new one
	// starts a second later; else the new one starts first, and the old one leaves in order.
	replaced int
	pace     time.Duration
	died     bool
	// leaderFirst is set if each one that is replaced is the leader.
	leaderFirst bool
	// outage is for how long the store is down halfway.
	outage time.Duration
	// after is the time from the beginning of the last replacement to the change.
	after time.Duration
	// crash is set if the primary ceases to be registered; else it begins to drain.
	crash bool
	// slower is by how much longer the change may take than in a fleet without replacements.
	slower time.Duration
}

const (
	replacementHosts = 7
	// silentHostWait is how much longer a change takes if a host is silent that may still use
	// the former primary: until no view without the change is recent enough.
	silentHostWait = director.MaxViewAge + 300*time.Millisecond
	exchangeDelay  = 300 * time.Millisecond
)

// TestPrimaryChangeAfterReplacements guards against hosts that are gone and still count: once
// most hosts had been replaced, a planned change was not begun before the database left, and an
// unplanned one took 10 s.
func TestPrimaryChangeAfterReplacements(t *testing.T) {
	tests := []replacementCase{
		{name: "left, drain", replaced: 6, pace: 6 * time.Second, after: 15 * time.Second, slower: exchangeDelay},
		{name: "left, crash", replaced: 6, pace: 6 * time.Second, after: 15 * time.Second, crash: true, slower: exchangeDelay},
		{name: "all left at 3 s, leader first, drain", replaced: 7, pace: 3 * time.Second, leaderFirst: true, after: 8 * time.Second, slower: exchangeDelay},
		{name: "still leaving, crash", replaced: 5, pace: 3 * time.Second, after: 1500 * time.Millisecond, crash: true, slower: silentHostWait},
		{name: "left beside an outage, drain", replaced: 6, pace: 6 * time.Second, outage: 4 * time.Second, after: 10 * time.Second, slower: exchangeDelay},
		{name: "died, drain", replaced: 6, pace: 6 * time.Second, died: true, after: 5 * time.Second, slower: silentHostWait},
		{name: "died, crash", replaced: 6, pace: 6 * time.Second, died: true, after: 5 * time.Second, crash: true, slower: silentHostWait},
		{name: "all died at 3 s, drain", replaced: 7, pace: 3 * time.Second, died: true, after: 5 * time.Second, slower: silentHostWait},
		{name: "all died at 3 s, leader first, crash", replaced: 7, pace: 3 * time.Second, died: true, leaderFirst: true, after: 8 * time.Second, crash: true, slower: silentHostWait},
		{name: "still dying, drain", replaced: 5, pace: 10 * time.Second, died: true, after: 3 * time.Second, slower: silentHostWait},
		{name: "died beside an outage, crash", replaced: 6, pace: 6 * time.Second, died: true, outage: 4 * time.Second, after: 10 * time.Second, crash: true, slower: silentHostWait},
		{name: "died long ago, crash", replaced: 6, pace: 6 * time.Second, died: true, after: 30 * time.Second, crash: true, slower: exchangeDelay},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			calm := replacementCase{after: 10 * time.Second, crash: test.crash}
			want := calm.play(t) + test.slower
			if got := test.play(t); got > want {
				t.Errorf("the promotion was requested after %v, want at most %v", got, want)
			}
		})
	}
}

// play returns how long after the drain or crash of the primary a promotion was requested.
func (c replacementCase) play(t *testing.T) (took time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		defer timekeeper.Replace(func() time.Time { return time.Now().Round(0) })()
		f := newSwitchoverFleet(t, replacementHosts)
		victims := make([]string, 0, replacementHosts)
		for _, h := range f.hosts {
			victims = append(victims, h.Settings.Host)
		}
		for i := range c.replaced {
			if c.outage > 0 && i == c.replaced/2 {
				f.store.down.Store(true)
				time.AfterFunc(c.outage, func() { f.store.down.Store(false) })
			}
			victim := victims[0]
			if leader := f.store.leader(); c.leaderFirst && slices.Contains(victims, leader) {
				victim = leader
			}
			victims = slices.DeleteFunc(victims, func(name string) bool { return name == victim })
			f.replace(t.Context(), victim, replacementHosts+i, c.died)
			if i < c.replaced-1 {
				time.Sleep(c.pace - time.Second)
			}
		}
		time.Sleep(c.after)
		began := time.Now()
		if c.crash {
			f.store.unregister("servers/0")
		} else {
			f.store.change("servers/0", []byte("draining"))
		}
		time.Sleep(20 * time.Second)
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.requestedAt.IsZero() {
			t.Fatal("no promotion was requested")
		}
		took = f.requestedAt.Sub(began)
	})
	return took
}

// replace replaces a host within a second.
func (f *switchoverFleet) replace(ctx context.Context, name string, i int, died bool) {
	if died {
		f.kill(name)
		time.Sleep(time.Second)
		f.start(ctx, i, replacementHosts)
		return
	}
	f.start(ctx, i, replacementHosts)
	time.Sleep(time.Second)
	f.stop[name]()
}
