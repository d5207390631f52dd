package hoster

import (
	"testing"
	"time"

	"github.com/endiveturn/endiveturn/timekeeper"
)

// TestHubWatch guards against a hub whose view ages beyond what the other hosts accept
// after each change of the store: all of them then list all keys at once. It also
// guards against a change that the hub's watch misses for minutes.
func TestHubWatch(t *testing.T) {
	const hosts = 195
	tests := []struct {
		name string
		self string
		// viewAge is the age of the view by the store.
		viewAge            time.Duration
		minWait, maxWait   time.Duration
		minDelay, maxDelay time.Duration
		minRelist, maxList time.Duration
	}{
		{
			name: "hub, complete view", self: "h0", minWait: hubWatchWait, maxWait: hubWatchWait,
			minDelay: minCoalesceDelay, maxDelay: minCoalesceDelay, minRelist: hubListInterval / 2, maxList: 3 * hubListInterval / 2,
		},
		{
			name: "hub, after a change", self: "h0", viewAge: 300 * time.Millisecond, minWait: hubStaleWatchWait, maxWait: hubStaleWatchWait,
			minDelay: minCoalesceDelay, maxDelay: minCoalesceDelay, minRelist: hubListInterval / 2, maxList: 3 * hubListInterval / 2,
		},
		{
			name: "other host", self: "h1", minWait: maxWatchWait / 2, maxWait: 3 * maxWatchWait / 2,
			minDelay: maxCoalesceDelay, maxDelay: maxCoalesceDelay, minRelist: hosts * fleetListInterval / 2, maxList: 3 * hosts * fleetListInterval / 2,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newTestHost(hosts)
			h.Settings.Host = test.self
			h.mirror.Merge(nil, 3, timekeeper.Now().Add(-test.viewAge))
			if got := h.watchWait(); got < test.minWait || got > test.maxWait {
				t.Errorf("got wait %v, want %v to %v", got, test.minWait, test.maxWait)
			}
			if got := h.coalesceDelay(); got < test.minDelay || got > test.maxDelay {
				t.Errorf("got coalescing delay %v, want %v to %v", got, test.minDelay, test.maxDelay)
			}
			if got := h.relistInterval(); got < test.minRelist || got > test.maxList {
				t.Errorf("got relist interval %v, want %v to %v", got, test.minRelist, test.maxList)
			}
		})
	}
}

// TestHubViewAge guards against constants with which the view of a host behind the hub
// is not fresh after a change: the response that delivers the change may date from the
// start of the watch, and the next response dates the view.
func TestHubViewAge(t *testing.T) {
	const delivery = 50 * time.Millisecond
	oldest := hubWatchWait + minCoalesceDelay + hubStaleWatchWait + hubExchangeInterval*11/10 + delivery
	if oldest >= freshViewAge {
		t.Errorf("the view of a host ages up to %v after a change, want less than %v", oldest, freshViewAge)
	}
}
