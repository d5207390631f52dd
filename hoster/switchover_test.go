package hoster

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/endiveturn/endiveturn/director"
	"github.com/endiveturn/endiveturn/exchanger"
	"github.com/endiveturn/endiveturn/executor"
	"github.com/endiveturn/endiveturn/timekeeper"
)

// reconnectPause is the longest pause of a host before it connects again to one that was
// unreachable: 500 ms and a tenth.
const reconnectPause = 550 * time.Millisecond

// TestFormerPrimaryAfterLateNotice guards against a host that learns late of a planned change of
// primary and then continues transactions with the former primary while another database is
// promoted: commits are acknowledged and lost. The host that runs the transaction receives nothing
// for a while, as if suspended. In some runs the leader is lost before it completes the change; in
// some the transaction is forwarded to a pool host.
func TestFormerPrimaryAfterLateNotice(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name       string
		hosts      int
		held       []time.Duration
		loseLeader bool
		// slow is set if the host takes long to build a view after it was held up.
		slow bool
		// active is the least time after the drain for which the transaction continues if the
		// host is not held up.
		active time.Duration
		// promoted is the longest time until the promotion is requested: what the former primary
		// may be used for, the margin, and one evaluation and one exchange.
		promoted time.Duration
	}{
		{name: "small fleet", hosts: 5, held: []time.Duration{0, 300 * ms, 700 * ms, 950 * ms, 1100 * ms, 1250 * ms, 1400 * ms, 3000 * ms}, active: 500 * ms, promoted: director.MaxViewAge + 300*ms},
		{name: "leader lost", hosts: 5, held: []time.Duration{0, 700 * ms, 1100 * ms, 1600 * ms, 2500 * ms, 4000 * ms}, loseLeader: true, active: 500 * ms, promoted: director.MaxViewAge + 300*ms},
		{name: "slow view", hosts: 5, held: []time.Duration{1100 * ms, 1600 * ms, 3000 * ms}, slow: true, promoted: director.MaxViewAge + 300*ms},
		{name: "forwarded", hosts: 18, held: []time.Duration{0, 300 * ms, 700 * ms, 1100 * ms}, active: 500 * ms, promoted: director.MaxViewAge + 500*ms},
	}
	for _, test := range tests {
		for _, held := range test.held {
			for entry := range 3 {
				t.Run(fmt.Sprintf("%s, held %v, host %d", test.name, held, entry), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						defer timekeeper.Replace(func() time.Time { return time.Now().Round(0) })()
						f := newSwitchoverFleet(t, test.hosts)
						if test.loseLeader {
							f.onPromotion = f.kill
						}
						drained := f.drainPrimary(t, f.followers()[entry], held, test.slow)
						f.mu.Lock()
						defer f.mu.Unlock()
						requested, last := f.requestedAt.Sub(drained), f.lastAt.Sub(drained)
						t.Logf("promotion requested %v after the drain, the last statement reached the former primary after %v", requested, last)
						if f.requestedAt.IsZero() || last > requested {
							t.Errorf("got the last statement at the former primary after %v, want it before the request for a promotion after %v", last, requested)
						}
						if held == 0 && last < test.active {
							t.Errorf("the transaction continued for %v, want at least %v", last, test.active)
						}
						limit := test.promoted
						if f.userLeads {
							// The leader learns of the drain once it is not held up any more. Other hosts
							// connect to it again within reconnectPause, as their exchanges have timed out.
							limit += held + reconnectPause
						}
						if requested > limit {
							t.Errorf("the promotion was requested after %v, want at most %v", requested, limit)
						}
					})
				})
			}
		}
	}
}

// TestPromotionFollowsRelease guards against a planned change in a small fleet that waits longer
// than until all hosts have reported the end of their transactions on the former primary: for
// a view that is built only once some other key changes.
func TestPromotionFollowsRelease(t *testing.T) {
	const ends = 300 * time.Millisecond
	for entry := range 4 {
		t.Run(fmt.Sprint("host ", entry), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				defer timekeeper.Replace(func() time.Time { return time.Now().Round(0) })()
				f := newSwitchoverFleet(t, 5)
				c := openTransaction(t, f.followers()[entry])
				drained := time.Now()
				f.store.change("servers/0", []byte("draining"))
				time.Sleep(ends)
				if got := c.run(executor.VerbCommit); got.Code != executor.CodeNone {
					t.Errorf("commit: got %v %q, want success", got.Code, got.Text)
				}
				time.Sleep(6 * time.Second)
				f.mu.Lock()
				defer f.mu.Unlock()
				if got, limit := f.requestedAt.Sub(drained)-ends, exchanger.Interval+100*time.Millisecond; f.requestedAt.IsZero() || got > limit {
					t.Errorf("the promotion was requested %v after the commit, want at most %v", got, limit)
				}
			})
		})
	}
}

// drainPrimary opens a transaction on a host, drains the primary while the host that runs the
// transaction is held up, and then sends statements until one fails. It returns when the primary
// was drained.
func (f *switchoverFleet) drainPrimary(t *testing.T, entry *Host, held time.Duration, slow bool) (drained time.Time) {
	c := openTransaction(t, entry)
	link := f.link(f.user)
	link.setHeld(held > 0)
	time.Sleep(50 * time.Millisecond)
	f.userLeads = !slices.Contains(f.followers(), f.user)
	drained = time.Now()
	f.store.change("servers/0", []byte("draining"))
	time.Sleep(held)
	if slow {
		f.slow.Store(f.user)
	}
	link.setHeld(false)
	if held > 0 {
		// A statement would be refused until the view is fresh again.
		time.Sleep(100 * time.Millisecond)
	}
	for time.Since(drained) < 8*time.Second && c.run(executor.VerbWrite).Code == executor.CodeNone {
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(6 * time.Second)
	return drained
}
