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
	// watchShare is the part of the age at which a view expires in which the
	// whole fleet hears from the store; each host asks that much less often.
	watchShare = 0.1
	// unledWatchShare replaces watchShare in large fleets without a host that
	// speaks for all: what one host hears takes some exchanges to reach the others.
	unledWatchShare = 0.03
	// hubWatch is the wait of the host that speaks for all: what it knows reaches
	// the others one exchange later.
	hubWatch = 300 * time.Millisecond
	// leastSettle, settlePerHost and mostSettle bound the pause after a change.
	leastSettle   = 50 * time.Millisecond
	settlePerHost = 5 * time.Millisecond
	mostSettle    = 400 * time.Millisecond
	// vouchAge is the age of the oldest report up to which the hosts vouch for
	// each other's view: three exchanges, of which the asked side knows only
	// when the one before was answered. It leaves time to ask the store.
	vouchAge = 3 * exchanger.Interval
	// vouchInterval is how often a host looks whether the others still vouch
	// for its view.
	vouchInterval = 100 * time.Millisecond
	// fleetListInterval is how often some host of the fleet reads all keys: a
	// watch may pass over changes while the store discards its history.
	fleetListInterval = time.Second
	// differenceTime is how long two hosts may hold different records before
	// each reads all keys again.
	differenceTime = 500 * time.Millisecond
	// storePause and largeStorePause bound the pause after a failed call to the
	// store. In a large fleet the first host that reaches it again tells the others.
	storePause      = 800 * time.Millisecond
	largeStorePause = 3 * time.Second
	// longestWatch bounds the wait of one watch.
	longestWatch = 10 * time.Second
)

// watchWait returns how long this host's watch waits. While all hosts hear each
// other they vouch for the view, and the store is asked for changes only.
// Otherwise some host has to hear from the store often enough for all. The wait
// varies, since changes end the waits of all hosts at once.
func (h *Host) watchWait() time.Duration {
	if name, ok := h.hub(); ok && name == h.Settings.Host {
		return hubWatch
	}
	mean := longestWatch
	if !h.vouched() {
		hosts := 1
		if catalog := h.current(); catalog != nil {
			hosts = max(1, catalog.FleetSize())
		}
		share := watchShare
		if h.large() {
			share = unledWatchShare
		}
		mean = min(time.Duration(hosts)*time.Duration(share*float64(director.MaxViewAge)), longestWatch)
	}
	return mean/2 + rand.N(mean)
}

// lastPause returns the longest pause after a failed call to the store.
func (h *Host) lastPause() time.Duration {
	if h.large() {
		return largeStorePause
	}
	return storePause
}

// settle returns how long a host waits for further changes after one: each
// change ends the watches of all hosts.
func (h *Host) settle() time.Duration {
	catalog := h.current()
	if catalog == nil {
		return leastSettle
	}
	return min(max(leastSettle, time.Duration(catalog.FleetSize())*settlePerHost), mostSettle)
}

// vouched reports whether the view was known to be complete lately, in a large
// fleet by the word of the store.
func (h *Host) vouched() bool {
	return timekeeper.Now().Sub(h.passedOn()) < vouchAge
}

// oversee has all keys read again when a host falls silent, which tells at once
// how old the view is, when another host holds others, and from time to time.
func (h *Host) oversee(ctx context.Context, follower *informer.Follower) error {
	ticker := time.NewTicker(vouchInterval)
	defer ticker.Stop()
	vouched := true
	relist := timekeeper.Now().Add(h.listInterval())
	var differs time.Time
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		now := timekeeper.Now()
		if vouched && !h.vouched() {
			follower.Relist()
		}
		vouched = h.vouched()
		switch {
		case !h.differs():
			differs = time.Time{}
		case differs.IsZero():
			differs = now
		}
		if (now.After(relist) && !h.told()) || (!differs.IsZero() && now.Sub(differs) > differenceTime) {
			relist, differs = now.Add(h.listInterval()), time.Time{}
			follower.Relist()
		}
	}
}

// listInterval is such that some host of the fleet reads all keys once in
// fleetListInterval.
func (h *Host) listInterval() time.Duration {
	hosts := 1
	if catalog := h.current(); catalog != nil {
		hosts = max(1, catalog.FleetSize())
	}
	mean := time.Duration(hosts) * fleetListInterval
	return mean/2 + rand.N(mean)
}

// differs reports whether another host that was heard lately holds other
// records, though neither lacks any by its revision.
func (h *Host) differs() bool {
	now := timekeeper.Now()
	own := h.report("")
	for _, peer := range h.exchanger.Reports() {
		recent := now.Sub(peer.Heard) < 2*exchanger.Interval
		if recent && peer.Report.Age >= 0 && peer.Report.Digest != own.Digest {
			return true
		}
	}
	return false
}
