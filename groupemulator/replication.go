package groupemulator

import (
	"sort"
	"time"
)

// idleWait bounds the wait of a replication loop, as a safety net for wakes.
const idleWait = 100 * time.Millisecond

// replicate receives and applies entries until the group stops.
func (d *database) replicate() {
	timer := time.NewTimer(idleWait)
	defer timer.Stop()
	for {
		timer.Reset(d.step())
		select {
		case <-d.group.stop:
			return
		case <-d.wake:
		case <-timer.C:
		}
	}
}

// step receives and applies what is due and returns the time until the next
// step.
func (d *database) step() time.Duration {
	// hungry is set before the log of the primary is read, so that an entry
	// that comes later wakes the loop.
	d.hungry.Store(true)
	next := d.receive()
	if next < idleWait {
		d.hungry.Store(false)
	}
	return max(0, min(next, d.apply()))
}

// receive takes the entries that have arrived from the primary, after cutting
// off those that the primary does not have. It returns the time until the next
// entry arrives.
func (d *database) receive() time.Duration {
	if d.gate.has(faultsReceive) {
		return idleWait
	}
	d.mu.Lock()
	term, following := d.term, d.following
	d.mu.Unlock()
	if following == "" {
		return idleWait
	}
	log, ok := d.group.find(following).source(term)
	if !ok {
		return idleWait
	}
	now := d.group.Now()
	delay := time.Duration(d.receiveDelay.Load())
	arrived := sort.Search(len(log), func(i int) bool { return now.Sub(log[i].at) < delay })
	d.accept(term, following, log, arrived)
	if arrived < len(log) {
		return delay - now.Sub(log[arrived].at)
	}
	return idleWait
}

// source returns the log of the primary of the term, to a replica.
func (d *database) source(term uint64) ([]*entry, bool) {
	if d.gate.has(faultsPeers) {
		return nil, false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.log, d.role == RolePrimary && d.term == term
}

// accept brings the log to the first arrived entries of the primary's log.
func (d *database) accept(term uint64, following string, log []*entry, arrived int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.term != term || d.following != following {
		return
	}
	if d.primary != following {
		d.truncate(commonPrefix(d.log, log))
		d.primary = following
		d.notify()
	}
	if arrived <= len(d.log) {
		return
	}
	d.log = append(d.log, log[len(d.log):arrived]...)
	d.arrivals = append(d.arrivals, arrival{arrived, d.group.Now()})
	d.notify()
}

// truncate cuts the log after n entries. The caller holds mu.
func (d *database) truncate(n int) {
	if n == len(d.log) {
		return
	}
	d.group.Logger.Info("log truncated", "service", d.group.Service, "database", d.member.Name,
		"from", len(d.log), "to", n)
	if d.applied > n {
		d.applyTo(n)
	}
	d.log = d.log[:n:n]
	d.arrivals = nil
	if d.applied < n {
		d.arrivals = []arrival{{n, d.group.Now()}}
	}
}

// apply shows received entries to reads once the lag has passed. It returns
// the time until the next ones are due.
func (d *database) apply() time.Duration {
	if d.gate.has(faultsApply) {
		return idleWait
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now, lag := d.group.Now(), time.Duration(d.applyLag.Load())
	due := 0
	for due < len(d.arrivals) && now.Sub(d.arrivals[due].at) >= lag {
		due++
	}
	if due > 0 {
		d.applyTo(max(d.applied, d.arrivals[due-1].offset))
		d.arrivals = d.arrivals[due:]
		d.notify()
	}
	if len(d.arrivals) == 0 {
		return idleWait
	}
	return lag - now.Sub(d.arrivals[0].at)
}

// feedPeers wakes the replicas that wait for an entry.
func (d *database) feedPeers() {
	for _, peer := range d.group.databases {
		if peer != d && peer.hungry.CompareAndSwap(true, false) {
			peer.wakeUp()
		}
	}
}
