package gossiper

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a killed host that others take for alive for too long.
func TestKilledHostFails(t *testing.T) {
	tests := []struct {
		name  string
		hosts int
		loss  float64
		limit time.Duration
	}{
		{"9 hosts", 9, 0, 1500 * time.Millisecond},
		{"9 hosts with loss", 9, 0.1, 1500 * time.Millisecond},
		{"40 hosts", 40, 0, 6 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork(t)
				n.loss = test.loss
				n.startJoined(test.hosts)
				defer n.stop()
				for i := range 5 {
					victim := hostName(3 + i)
					n.kill(victim)
					others := test.hosts - 1 - i
					took, ok := within(test.limit, func() bool { return n.states(victim)[Failed] == others })
					if !ok {
						t.Errorf("kill %d: states %v after %v, want %d failed", i, n.states(victim), took, others)
					}
					t.Logf("failed at all %d hosts after %v", others, took)
					time.Sleep(2 * time.Second)
				}
			})
		})
	}
}

// Guards against hosts that fail each other under loss, delay or one-way cuts.
func TestNoFalseFailure(t *testing.T) {
	tests := []struct {
		name  string
		hosts int
		set   func(*network)
	}{
		{"9 hosts, 10% loss", 9, func(n *network) { n.loss = 0.1 }},
		{"40 hosts, 10% loss", 40, func(n *network) { n.loss = 0.1 }},
		{"9 hosts, 100 ms delay", 9, func(n *network) { n.delay = 90 * time.Millisecond }},
		{"9 hosts, one-way cut of a pair", 9, func(n *network) {
			n.cut = func(from, to string) bool { return from == hostName(3) && to == hostName(4) }
		}},
		{"9 hosts, one-way cuts of one host from three", 9, func(n *network) {
			n.cut = func(from, to string) bool { return from == hostName(3) && to >= hostName(6) }
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork(t)
				n.startJoined(test.hosts)
				defer n.stop()
				n.mu.Lock()
				test.set(n)
				n.mu.Unlock()
				suspected := 0
				for end := time.Now().Add(4 * time.Minute); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
					for name := range n.hosts {
						states := n.states(name)
						suspected += states[Suspect]
						if states[Failed] > 0 {
							t.Fatalf("%s: states %v", name, states)
						}
					}
				}
				t.Logf("suspicions seen in 2,400 samples: %d", suspected)
			})
		})
	}
}
