package hoster

import (
	"testing"
	"time"

	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/exchanger"
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
	for _, interval := range []struct{ watch, exchange time.Duration }{
		{hubWatchWait, hubExchangeInterval}, {largestFleetsWatchWait, maxHubExchangeInterval},
	} {
		oldest := interval.watch + minCoalesceDelay + hubStaleWatchWait + interval.exchange*11/10 + delivery
		if oldest >= freshViewAge {
			t.Errorf("the view of a host ages up to %v after a change, want less than %v", oldest, freshViewAge)
		}
		if regular := interval.watch + minCoalesceDelay + hubStaleWatchWait + interval.exchange; regular >= relayViewAge {
			t.Errorf("a view is %v old behind a working hub, want less than %v", regular, relayViewAge)
		}
	}
}

// TestHubExchangesBounded guards against a hub of a fleet of 300 hosts that is asked more
// often than it can respond, and against a changed interval of fleets that it serves.
func TestHubExchangesBounded(t *testing.T) {
	tests := []struct {
		hosts   int
		pause   time.Duration
		maxRate int
	}{
		{hosts: cataloger.MaxSmallFleetSize, pause: exchanger.Interval},
		{hosts: 17, pause: hubExchangeInterval},
		{hosts: 195, pause: hubExchangeInterval},
		{hosts: 300, pause: maxHubExchangeInterval, maxRate: 1_150},
	}
	for _, test := range tests {
		got := newTestHost(test.hosts).exchangePause()
		if got != test.pause {
			t.Errorf("%d hosts: got a pause of %v, want %v", test.hosts, got, test.pause)
		}
		if rate := int(float64(test.hosts) / got.Seconds()); test.maxRate > 0 && rate > test.maxRate {
			t.Errorf("%d hosts: got %d exchanges a second, want at most %d", test.hosts, rate, test.maxRate)
		}
	}
}
