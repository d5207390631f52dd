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
)

// faultSeeds is the number of random runs; each takes about 20 s of virtual
// time.
const faultSeeds = 30

// A confirmedWrite is an entry that a watcher has confirmed.
type confirmedWrite struct {
	offset uint64
	entry  fakeEntry
}

// A faultRun is one random run of two hosts before one group.
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

// write writes through a watcher that holds the group as it sees it, and notes
// the entry if it is confirmed while the lease runs.
func (r *faultRun) write(ctx context.Context, w *Watcher) {
	v := w.View()
	if !v.Held(time.Now()) {
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
	if now := w.View(); now.Term != v.Term || !now.Held(time.Now()) || time.Now().Before(now.AcknowledgeFrom) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirmed = append(r.confirmed, confirmedWrite{offset: offset, entry: entry})
}

// claimAgain runs a watcher over and over, as the placement does when it is
// the host's turn.
func (r *faultRun) claimAgain(ctx context.Context, host string, rng *rand.Rand) {
	for ctx.Err() == nil {
		w := newTestWatcher(r.group, host)
		r.mu.Lock()
		r.watchers = append(r.watchers, w)
		r.mu.Unlock()
		turn, end := context.WithTimeout(ctx, time.Second+time.Duration(rng.Int64N(int64(4*time.Second))))
		_ = w.Run(turn)
		end()
		sleep(ctx, time.Duration(rng.Int64N(int64(500*time.Millisecond))))
	}
}

// disturb starts or ends a random fault.
func (r *faultRun) disturb(rng *rand.Rand) {
	names := []string{"db1", "db2", "db3"}
	name := names[rng.IntN(len(names))]
	switch rng.IntN(6) {
	case 0:
		r.group.set(name, func(d *fakeDatabase) { d.down = !d.down })
	case 1:
		r.group.set(name, func(d *fakeDatabase) { d.cut = !d.cut })
	case 2:
		r.group.set(name, func(d *fakeDatabase) { d.loseAnswers = 1 + rng.IntN(2) })
	case 3:
		r.group.mu.Lock()
		host := fmt.Sprint("h", 1+rng.IntN(2))
		r.group.blocked[host] = !r.group.blocked[host]
		r.group.mu.Unlock()
	default:
		for _, name := range names {
			r.group.set(name, func(d *fakeDatabase) { d.down, d.cut = false, false })
		}
	}
}

// lost returns the confirmed writes that the log of the primary does not hold.
func (r *faultRun) lost(primary string) []confirmedWrite {
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

// Guards against confirmed writes that a promotion loses, for random faults of
// databases, replication, hosts and answers, with two hosts that claim in turn
// and at the same time.
func TestRandomFaults(t *testing.T) {
	total := 0
	for seed := range uint64(faultSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := &faultRun{group: newFakeGroup()}
				ctx, cancel := context.WithCancel(t.Context())
				go r.group.run(ctx)
				for i := range 2 {
					go r.claimAgain(ctx, fmt.Sprint("h", i+1), rand.New(rand.NewPCG(seed, uint64(i))))
				}
				r.load(ctx, rand.New(rand.NewPCG(seed, 9)))
				cancel()
				time.Sleep(2 * time.Second)
				total += len(r.confirmed)
				r.check(t)
			})
		})
	}
	if total < 100*faultSeeds {
		t.Errorf("confirmed writes in all runs: got %d, want at least %d, or the runs show nothing", total, 100*faultSeeds)
	}
}

// load writes and disturbs for 20 s.
func (r *faultRun) load(ctx context.Context, rng *rand.Rand) {
	for i := range 2000 {
		if i%60 == 0 {
			r.disturb(rng)
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

// check ends all faults, lets a last host take over, and compares.
func (r *faultRun) check(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	for name := range r.group.databases {
		r.group.set(name, func(d *fakeDatabase) { d.down, d.cut, d.loseAnswers = false, false, 0 })
	}
	go r.group.run(ctx)
	last := newTestWatcher(r.group, "h3")
	go func() { _ = last.Run(ctx) }()
	v := awaitHeld(t, last, 5*time.Second)
	if lost := r.lost(v.Primary); len(lost) > 0 {
		t.Errorf("confirmed writes lost: got %d of %d, first %+v", len(lost), len(r.confirmed), lost[0])
	}
	cancel()
	time.Sleep(time.Second)
}
