package promoter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/endiveturn/endiveturn/executor"
	"github.com/endiveturn/endiveturn/timekeeper"
)

// faultSeeds is the number of random runs; each takes about 20 s of virtual
// time.
const faultSeeds = 30

// A confirmedWrite is an entry that a watcher has confirmed.
type confirmedWrite struct {
	offset uint64
	entry  fakeEntry
}

// A faultRun is one random run of two hosts that claim one group.
type faultRun struct {
	group    *fakeGroup
	watchers []*Watcher

	mu        sync.Mutex
	confirmed []confirmedWrite
}

// entry returns the entry at an offset of a database.
func (g *fakeGroup) entry(name string, offset uint64) (fakeEntry, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	log := g.databases[name].log
	if offset == 0 || offset > uint64(len(log)) {
		return fakeEntry{}, false
	}
	return log[offset-1], true
}

// write writes through a watcher if its view states that it holds the group, and
// records the entry if it is confirmed while the lease is valid.
func (r *faultRun) write(ctx context.Context, w *Watcher) {
	v := w.View()
	if !v.HasLease(time.Now()) {
		return
	}
	offset := r.group.write(v.Primary, v.Term)
	entry, ok := r.group.entry(v.Primary, offset)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if w.Confirm(ctx, executor.Position{Term: v.Term, Offset: offset}) != nil {
		return
	}
	if current := w.View(); current.Term != v.Term || !current.HasLease(time.Now()) || time.Now().Before(current.AcknowledgeFrom) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirmed = append(r.confirmed, confirmedWrite{offset: offset, entry: entry})
}

// runWatchers runs one watcher after another for a host, as the placement of services
// does while it selects the host.
func (r *faultRun) runWatchers(ctx context.Context, host string, rng *rand.Rand) {
	for ctx.Err() == nil {
		w := newTestWatcher(r.group, host)
		r.mu.Lock()
		r.watchers = append(r.watchers, w)
		r.mu.Unlock()
		runCtx, cancel := context.WithTimeout(ctx, time.Second+time.Duration(rng.Int64N(int64(4*time.Second))))
		_ = w.Run(runCtx)
		cancel()
		timekeeper.Sleep(ctx, time.Duration(rng.Int64N(int64(500*time.Millisecond))))
	}
}

// toggleFault starts or ends a random fault, or ends the faults of all databases.
func (r *faultRun) toggleFault(rng *rand.Rand) {
	names := []string{"db1", "db2", "db3"}
	name := names[rng.IntN(len(names))]
	switch rng.IntN(6) {
	case 0:
		r.group.update(name, func(d *fakeDatabase) { d.down = !d.down })
	case 1:
		r.group.update(name, func(d *fakeDatabase) { d.replicationStopped = !d.replicationStopped })
	case 2:
		r.group.update(name, func(d *fakeDatabase) { d.dropResponses = 1 + rng.IntN(2) })
	case 3:
		r.group.mu.Lock()
		host := fmt.Sprint("h", 1+rng.IntN(2))
		r.group.blockedHosts[host] = !r.group.blockedHosts[host]
		r.group.mu.Unlock()
	default:
		for _, name := range names {
			r.group.update(name, func(d *fakeDatabase) { d.down, d.replicationStopped = false, false })
		}
	}
}

// lostWrites returns the confirmed writes that the log of the primary lacks.
func (r *faultRun) lostWrites(primary string) []confirmedWrite {
	r.mu.Lock()
	defer r.mu.Unlock()
	var lost []confirmedWrite
	for _, c := range r.confirmed {
		if got, ok := r.group.entry(primary, c.offset); !ok || got != c.entry {
			lost = append(lost, c)
		}
	}
	return lost
}

// TestRandomFaults guards against a promotion that loses confirmed writes, under
// random faults of databases, replication, hosts and responses, with two hosts that
// claim the service one after the other and at the same time.
func TestRandomFaults(t *testing.T) {
	total := 0
	for seed := range uint64(faultSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := &faultRun{group: newFakeGroup()}
				ctx, cancel := context.WithCancel(t.Context())
				go r.group.run(ctx)
				for i := range 2 {
					go r.runWatchers(ctx, fmt.Sprint("h", i+1), rand.New(rand.NewPCG(seed, uint64(i))))
				}
				r.runLoad(ctx, rand.New(rand.NewPCG(seed, 9)))
				cancel()
				time.Sleep(2 * time.Second)
				total += len(r.confirmed)
				r.checkConfirmedWrites(t)
			})
		})
	}
	if total < 100*faultSeeds {
		t.Errorf("confirmed writes in all runs: got %d, want at least %d for the runs to be meaningful", total, 100*faultSeeds)
	}
}

// runLoad writes and toggles faults for 20 s.
func (r *faultRun) runLoad(ctx context.Context, rng *rand.Rand) {
	for i := range 2000 {
		if i%60 == 0 {
			r.toggleFault(rng)
		}
		r.mu.Lock()
		watchers := r.watchers[max(0, len(r.watchers)-4):]
		r.mu.Unlock()
		for _, w := range watchers {
			go r.write(ctx, w)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// checkConfirmedWrites ends the faults of the databases, makes a third host take over
// and checks that the log of its primary has all confirmed writes.
func (r *faultRun) checkConfirmedWrites(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	for name := range r.group.databases {
		r.group.update(name, func(d *fakeDatabase) { d.down, d.replicationStopped, d.dropResponses = false, false, 0 })
	}
	go r.group.run(ctx)
	last := newTestWatcher(r.group, "h3")
	go func() { _ = last.Run(ctx) }()
	v := awaitLease(t, last, 5*time.Second)
	if lost := r.lostWrites(v.Primary); len(lost) > 0 {
		t.Errorf("confirmed writes lost: got %d of %d, first %+v", len(lost), len(r.confirmed), lost[0])
	}
	cancel()
	time.Sleep(time.Second)
}
