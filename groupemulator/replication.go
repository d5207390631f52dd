package groupemulator

import (
	"sort"
	"time"
)

// maxIdleWait is the longest wait of the replication loop, in case a wake-up was
// missed.
const maxIdleWait = 100 * time.Millisecond

// replicate receives and applies entries until the group is stopped.
func (d *database) replicate() {
	timer := time.NewTimer(maxIdleWait)
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

// step receives and applies the entries that are due and returns the time until
// the next step.
func (d *database) step() time.Duration {
	// awaitingEntry must be set before the log of the primary is read, so that
	// an entry appended after the read wakes the loop.
	d.awaitingEntry.Store(true)
	next := d.receiveEntries()
	if next < maxIdleWait {
		d.awaitingEntry.Store(false)
	}
	return max(0, min(next, d.applyDueEntries()))
}

// receiveEntries copies the entries that have arrived from the primary, after
// truncating entries that are not in the primary's log. It returns the time
// until the next entry arrives.
func (d *database) receiveEntries() time.Duration {
	if d.faults.has(faultsBlockingReceive) {
		return maxIdleWait
	}
	d.mu.Lock()
	term, following := d.term, d.following
	d.mu.Unlock()
	if following == "" {
		return maxIdleWait
	}
	log, ok := d.group.findDatabase(following).primaryLog(term)
	if !ok {
		return maxIdleWait
	}
	now := d.group.Now()
	delay := time.Duration(d.receiveDelay.Load())
	arrived := sort.Search(len(log), func(i int) bool { return now.Sub(log[i].committedAt) < delay })
	d.acceptEntries(term, following, log, arrived)
	if arrived < len(log) {
		return delay - now.Sub(log[arrived].committedAt)
	}
	return maxIdleWait
}

// primaryLog returns the log for a replica. The result is false if the database
// is not reachable as the primary of the term.
func (d *database) primaryLog(term uint64) ([]*entry, bool) {
	if d.faults.has(faultsBlockingPeers) {
		return nil, false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.log, d.role == RolePrimary && d.term == term
}

// acceptEntries extends the log to the first arrived entries of the primary's
// log. After a change of the primary it first truncates the entries that are not
// in that log.
func (d *database) acceptEntries(term uint64, following string, log []*entry, arrived int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.term != term || d.following != following {
		return
	}
	if d.primary != following {
		d.truncate(commonPrefix(d.log, log))
		d.primary = following
		d.notifyPolls()
	}
	if arrived <= len(d.log) {
		return
	}
	d.log = append(d.log, log[len(d.log):arrived]...)
	d.arrivals = append(d.arrivals, arrival{arrived, d.group.Now()})
	d.notifyPolls()
}

// truncate truncates the log to n entries. The caller holds mu.
func (d *database) truncate(n int) {
	if n == len(d.log) {
		return
	}
	d.group.Logger.Info("log_truncated", "service", d.group.Service, "database", d.member.Name,
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

// applyDueEntries makes received entries visible to reads once the apply lag has
// passed. It returns the time until the next entries are due.
func (d *database) applyDueEntries() time.Duration {
	if d.faults.has(faultsBlockingApply) {
		return maxIdleWait
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now, lag := d.group.Now(), time.Duration(d.applyLag.Load())
	due := 0
	for due < len(d.arrivals) && now.Sub(d.arrivals[due].receivedAt) >= lag {
		due++
	}
	if due > 0 {
		d.applyTo(max(d.applied, d.arrivals[due-1].offset))
		d.arrivals = d.arrivals[due:]
		d.notifyPolls()
	}
	if len(d.arrivals) == 0 {
		return maxIdleWait
	}
	return lag - now.Sub(d.arrivals[0].receivedAt)
}

// wakeWaitingReplicas wakes the replicas that wait for a new entry.
func (d *database) wakeWaitingReplicas() {
	for _, peer := range d.group.databases {
		if peer != d && peer.awaitingEntry.CompareAndSwap(true, false) {
			peer.wakeReplication()
		}
	}
}
