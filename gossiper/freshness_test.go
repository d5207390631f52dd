package gossiper

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

// feedStore tells some hosts of contact with the store until stopped.
func (n *network) feedStore(reaches func(name string) bool) (stop func()) {
	done := make(chan struct{})
	go func() {
		ticker := time.NewTicker(500 * time.Millisecond)
		defer ticker.Stop()
		for {
			n.mu.Lock()
			for name, h := range n.hosts {
				if h.View().WatchesStore() && reaches(name) {
					go h.StoreContact(time.Now())
				}
			}
			n.mu.Unlock()
			select {
			case <-done:
				return
			case <-ticker.C:
			}
		}
	}()
	return func() { close(done) }
}

// Guards against hosts that serve revoked keys since they are cut off, and
// against hosts that refuse although they know the newest configuration.
func TestFreshness(t *testing.T) {
	nobody := func(string) bool { return false }
	tests := []struct {
		name  string
		hosts int
		loss  float64
		// island holds the hosts cut off from all others and from the store.
		island func(name string) bool
		// store says which of the others reach the store.
		store func(name string) bool
		// settled is the time after the cut from which no host cut off is fresh.
		settled time.Duration
		// watch is how long the states are checked.
		watch time.Duration
	}{
		{"one host cut off from the store", 9, 0, nobody, func(name string) bool { return name != hostName(4) }, 2 * time.Second, 10 * time.Second},
		{"all hosts but one cut off from the store", 9, 0, nobody, func(name string) bool { return name == hostName(4) }, 2 * time.Second, 10 * time.Second},
		{"store outage", 9, 0, nobody, nobody, 2 * time.Second, time.Minute},
		{"store outage with loss", 9, 0.1, nobody, nobody, 2 * time.Second, time.Minute},
		{"store outage of 40 hosts", 40, 0, nobody, nobody, 3 * time.Second, 30 * time.Second},
		{"one host cut off", 9, 0, func(name string) bool { return name == hostName(4) }, nobody, 2 * time.Second, 20 * time.Second},
		{"two hosts cut off together", 9, 0, func(name string) bool { return name < hostName(2) }, nobody, 2 * time.Second, 20 * time.Second},
		{"four hosts cut off together", 9, 0, func(name string) bool { return name < hostName(4) }, func(string) bool { return true }, 2 * time.Second, 20 * time.Second},
		{"12 of 40 hosts cut off", 40, 0, func(name string) bool { return name < hostName(12) }, nobody, 3 * time.Second, 30 * time.Second},
		{"18 of 40 hosts cut off", 40, 0, func(name string) bool { return name < hostName(18) }, func(string) bool { return true }, 3 * time.Second, 30 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork(t)
				n.startJoined(test.hosts)
				defer n.stop()
				n.mu.Lock()
				n.loss = test.loss
				n.mu.Unlock()
				n.setCut(func(from, to string) bool { return test.island(from) != test.island(to) })
				stop := n.feedStore(func(name string) bool { return test.store(name) && !test.island(name) })
				defer stop()
				cut := time.Now()
				var lastFresh, lastRefusal time.Duration
				for time.Since(cut) < test.watch {
					time.Sleep(50 * time.Millisecond)
					for name, h := range n.hosts {
						fresh, _ := h.Fresh()
						if test.island(name) && fresh {
							lastFresh = time.Since(cut)
						}
						if !test.island(name) && !fresh {
							lastRefusal = time.Since(cut)
						}
					}
				}
				t.Logf("hosts cut off are fresh up to %v, others are not up to %v", lastFresh, lastRefusal)
				if lastFresh > test.settled {
					t.Errorf("hosts cut off are fresh up to %v, limit %v", lastFresh, test.settled)
				}
				// In a large fleet a few hosts draw too small a sample until the
				// hosts behind the cut are marked failed, which takes 2.7 s and
				// up to 2 s to be heard of; in a small one each host asks all.
				limit := time.Duration(0)
				if test.hosts > largeFleet && test.island(hostName(0)) {
					limit = 5 * time.Second
				}
				if lastRefusal > limit {
					t.Errorf("others are not fresh up to %v, limit %v", lastRefusal, limit)
				}
			})
		})
	}
}

// testCore returns a core that knows hosts 1 to n as alive.
func testCore(now time.Time, n int) *Core {
	c := &Core{
		Self: Host{Name: hostName(0), DataCentre: "dc0", PeerAddress: hostName(0), Incarnation: 1},
		Rand: rand.New(rand.NewPCG(1, 1)),
	}
	c.Start(now)
	for i := 1; i <= n; i++ {
		c.merge(Host{Name: hostName(i), DataCentre: "dc0", PeerAddress: hostName(i), Incarnation: 1}, now, "test")
	}
	return c
}

// firstSend returns the first heartbeat to a host among actions.
func firstSend(t *testing.T, actions []Action, address string) Send {
	t.Helper()
	for _, action := range actions {
		if send, ok := action.(Send); ok && send.Address == address {
			return send
		}
	}
	t.Fatalf("no heartbeat to %s in %v", address, actions)
	return Send{}
}

// Guards against answers that make a host fresher than its source is.
func TestFreshnessOfAnAnswer(t *testing.T) {
	tests := []struct {
		name string
		// age and revision are those of the answer, which takes 250 ms.
		fresh    bool
		age      time.Duration
		revision uint64
		want     time.Duration
	}{
		{"delay counts", true, 500 * time.Millisecond, 5, 750 * time.Millisecond},
		{"no delay hidden by a young age", true, 0, 5, 250 * time.Millisecond},
		{"peer not fresh", false, 0, 5, -1},
		{"peer with a newer revision", true, 0, 6, -1},
		{"peer with an older revision", true, time.Second, 4, 1250 * time.Millisecond},
		{"negative age", true, -time.Second, 5, -1},
	}
	for _, test := range tests {
		start := time.Now()
		c := testCore(start, 8)
		c.SetRevision(start, 5)
		send := firstSend(t, c.Tick(start), hostName(3))
		now := start.Add(250 * time.Millisecond)
		c.Answered(now, send.ID, Heartbeat{
			From: Host{Name: hostName(3), PeerAddress: hostName(3), Incarnation: 1}, Revision: test.revision,
			Fresh: test.fresh, FreshAge: test.age,
		})
		at, _ := c.freshAt(now)
		got := time.Duration(-1)
		if !at.IsZero() {
			got = now.Sub(at)
		}
		if got != test.want {
			t.Errorf("%s: age: got %v want %v", test.name, got, test.want)
		}
	}
}

// Guards against a heartbeat that was held up on its way and makes its receiver
// fresh, and against a paused host that thinks it is.
func TestFreshnessAfterPause(t *testing.T) {
	start := time.Now()
	c := testCore(start, 8)
	c.Receive(start, Heartbeat{From: Host{Name: hostName(1), Incarnation: 1}, Fresh: true})
	if fresh, reason := c.Fresh(start); fresh {
		t.Errorf("after a heartbeat: got fresh, %s", reason)
	}
	c.StoreContact(start)
	if fresh, reason := c.Fresh(start.Add(freshFor - 1)); !fresh {
		t.Errorf("after contact with the store: got not fresh, %s", reason)
	}
	if fresh, reason := c.Fresh(start.Add(freshFor)); fresh {
		t.Errorf("after a pause: got fresh, %s", reason)
	}
}
