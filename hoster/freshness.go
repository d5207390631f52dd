package hoster

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/endiveturn/endiveturn/director"
	"github.com/endiveturn/endiveturn/exchanger"
	"github.com/endiveturn/endiveturn/informer"
	"github.com/endiveturn/endiveturn/timekeeper"
)

const (
	// watchIntervalShare is the fraction of MaxViewAge within which some host of
	// the fleet receives a response from the store. Each host watches as many times
	// less often as there are hosts.
	watchIntervalShare = 0.1
	// hublessWatchIntervalShare replaces watchIntervalShare in large fleets without
	// a hub: a change that one host receives takes several exchanges to reach the
	// others.
	hublessWatchIntervalShare = 0.03
	// hubWatchWait is how long the hub's watch waits, and that of the fallback hubs while
	// there is no hub. The other hosts receive the changes one exchange later.
	hubWatchWait = 300 * time.Millisecond
	// largestFleetsWatchWait replaces hubWatchWait where hosts exchange with the hub less
	// often than every hubExchangeInterval, so that their views are not older.
	largestFleetsWatchWait = 200 * time.Millisecond
	// hubStaleAge is the age of the hub's view above which its watch waits for
	// hubStaleWatchWait only. A response with changes shows that the mirror was complete
	// when the watch began, the next one without changes that it is complete now.
	hubStaleAge       = 100 * time.Millisecond
	hubStaleWatchWait = 50 * time.Millisecond
	// hubListInterval is the mean time between two lists of all keys by the hub, whose
	// view all hosts of a large fleet depend on.
	hubListInterval = 2 * time.Second
	// The delay after a change, within which further changes are coalesced, is
	// coalesceDelayPerHost for each host, bounded by minCoalesceDelay and
	// maxCoalesceDelay.
	minCoalesceDelay     = 50 * time.Millisecond
	coalesceDelayPerHost = 5 * time.Millisecond
	maxCoalesceDelay     = 400 * time.Millisecond
	// freshViewAge is the age of the oldest report up to which the hosts confirm
	// the freshness of each other's view: three exchange intervals, because a host
	// that replies to a request can only conclude that it was sent after its own
	// previous reply. That leaves time to query the store before the view expires.
	freshViewAge = 3 * exchanger.Interval
	// freshnessCheckInterval is how often a host checks whether its view is still
	// fresh.
	freshnessCheckInterval = 100 * time.Millisecond
	// fleetListInterval is how often some host of the fleet lists all keys: a watch
	// may miss changes while the store compacts its history.
	fleetListInterval = time.Second
	// digestMismatchTolerance is how long two hosts may hold different records
	// before each lists all keys again.
	digestMismatchTolerance = 500 * time.Millisecond
	// largeFleetMismatchTolerance replaces digestMismatchTolerance in large fleets, where
	// the hub needs longer to send a configuration to all hosts.
	largeFleetMismatchTolerance = 1500 * time.Millisecond
	// maxBackoff and largeFleetMaxBackoff bound the pause after a failed call to the
	// store. In a large fleet the first host that reaches the store again informs
	// the others.
	maxBackoff           = 800 * time.Millisecond
	largeFleetMaxBackoff = 3 * time.Second
	// maxWatchWait bounds the wait of one watch.
	maxWatchWait = 10 * time.Second
)

// watchWait returns how long this host's watch waits. While all hosts receive
// reports from each other they confirm the freshness of the view, and the watch
// only has to deliver changes. Otherwise some host has to receive a response
// from the store often enough for the whole fleet. The wait is randomized,
// since a change ends the waits of all hosts at once.
func (h *Host) watchWait() time.Duration {
	if h.isHub() || h.actsAsHub() {
		if timekeeper.Now().Sub(h.mirror.CompleteAsOf()) > hubStaleAge {
			return hubStaleWatchWait
		}
		if h.exchangePause() > hubExchangeInterval {
			return largestFleetsWatchWait
		}
		return hubWatchWait
	}
	mean := maxWatchWait
	if !h.viewFresh() {
		hosts := 1
		if catalog := h.latestCatalog(); catalog != nil {
			hosts = max(1, catalog.FleetSize())
		}
		share := watchIntervalShare
		if h.largeFleet() {
			share = hublessWatchIntervalShare
		}
		mean = min(time.Duration(hosts)*time.Duration(share*float64(director.MaxViewAge)), maxWatchWait)
	}
	return mean/2 + rand.N(mean)
}

// maxStoreBackoff returns the longest pause after a failed call to the store.
func (h *Host) maxStoreBackoff() time.Duration {
	if h.largeFleet() {
		return largeFleetMaxBackoff
	}
	return maxBackoff
}

// coalesceDelay returns how long a host waits for further changes after a change,
// because each change ends the watches of all hosts. The hub waits for the minimum, as
// the other hosts do not watch and depend on its view.
func (h *Host) coalesceDelay() time.Duration {
	catalog := h.latestCatalog()
	if catalog == nil || h.isHub() {
		return minCoalesceDelay
	}
	return min(max(minCoalesceDelay, time.Duration(catalog.FleetSize())*coalesceDelayPerHost), maxCoalesceDelay)
}

// viewFresh reports whether the view was recently confirmed to be complete. In a large
// fleet only responses of the store count.
func (h *Host) viewFresh() bool {
	completeAsOf := h.mirror.CompleteAsOf()
	if !h.largeFleet() {
		completeAsOf = h.viewCompleteAsOf()
	}
	return timekeeper.Now().Sub(completeAsOf) < freshViewAge
}

// triggerRelists has the watcher list all keys again when the view ceases to be
// fresh, because a list shows at once how old the view is; when another host holds
// different records; and at random intervals.
func (h *Host) triggerRelists(ctx context.Context, watcher *informer.Watcher) error {
	ticker := time.NewTicker(freshnessCheckInterval)
	defer ticker.Stop()
	wasFresh, wasHub := true, false
	nextRelist := timekeeper.Now().Add(h.relistInterval())
	var mismatchSince time.Time
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		now := timekeeper.Now()
		if wasFresh && !h.viewFresh() && h.readsStore() {
			watcher.Relist()
		}
		wasFresh = h.viewFresh()
		if isHub := h.isHub(); isHub != wasHub {
			wasHub, nextRelist = isHub, now.Add(h.relistInterval())
		}
		switch {
		case !h.digestMismatch():
			mismatchSince = time.Time{}
		case mismatchSince.IsZero():
			mismatchSince = now
		}
		if (now.After(nextRelist) && h.readsStore()) || (!mismatchSince.IsZero() && now.Sub(mismatchSince) > h.mismatchTolerance()) {
			nextRelist, mismatchSince = now.Add(h.relistInterval()), time.Time{}
			watcher.Relist()
		}
	}
}

// relistInterval returns a random interval such that on average some host of the
// fleet lists all keys once per fleetListInterval, or the hub once per hubListInterval.
func (h *Host) relistInterval() time.Duration {
	hosts := 1
	if catalog := h.latestCatalog(); catalog != nil {
		hosts = max(1, catalog.FleetSize())
	}
	mean := time.Duration(hosts) * fleetListInterval
	if h.isHub() {
		mean = hubListInterval
	}
	return mean/2 + rand.N(mean)
}

// mismatchTolerance returns how long another host may hold different records before
// this one lists all keys again.
func (h *Host) mismatchTolerance() time.Duration {
	if h.largeFleet() {
		return largeFleetMismatchTolerance
	}
	return digestMismatchTolerance
}

// digestMismatch reports whether another host that reported recently holds
// different records. Comparing revisions does not reveal such a difference if each
// host has reached the revision of the other.
func (h *Host) digestMismatch() bool {
	now, digest := timekeeper.Now(), h.mirror.Digest()
	differs := false
	h.exchanger.EachPeer(func(_ string, peer *exchanger.Peer) bool {
		recent := now.Sub(peer.HeardAt) < 2*exchanger.Interval
		differs = recent && peer.Report.Age >= 0 && peer.Report.Digest != digest
		return !differs
	})
	return differs
}
