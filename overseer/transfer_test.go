package overseer

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/informer"
)

// A transferEnv is a fleet with a small host, that of env.overseer, and a large one.
type transferEnv struct {
	*testEnv
	large *Overseer
	// fleetSize is the number of hosts that are registered.
	fleetSize int
	// largeCapacity is the registered capacity of the large host.
	largeCapacity int64
	// stoppingHosts are those of the catalog. largeSilent is set while the large host sends no
	// reports, and usageInProgress while the small one reports usage.
	stoppingHosts                map[string]bool
	largeSilent, usageInProgress bool
	// secondLarge is set if another large host is registered, which does not reach the store.
	secondLarge bool
}

// newTransferEnv returns a fleet in which the small host is the leader, because it started
// first, and the large one has not registered.
func newTransferEnv(t *testing.T) *transferEnv {
	env := &transferEnv{testEnv: newTestEnv(t), fleetSize: 1, largeCapacity: 9}
	env.endpoints = nil // no service is evaluated
	env.large = env.newOverseer("large")
	env.large.Host.Capacity, env.large.RecentlyStarted = env.largeCapacity, func() bool { return true }
	env.overseer.Host.Capacity, env.overseer.RecentlyStarted = 1, func() bool { return true }
	for _, o := range []*Overseer{env.overseer, env.large} {
		o.Catalog = env.catalogOfFleet
		o.MayTransfer = func() bool {
			env.mu.Lock()
			defer env.mu.Unlock()
			return !env.usageInProgress
		}
		o.Members = func() []Member {
			env.mu.Lock()
			defer env.mu.Unlock()
			return []Member{{Name: "h1", RecentlyHeard: true}, {Name: "large", RecentlyHeard: !env.largeSilent}, {Name: "large2", RecentlyHeard: true}}
		}
	}
	env.start()
	if _, ok := env.overseer.leaderToken(); !ok {
		t.Fatal("the first host is not the leader")
	}
	return env
}

func (env *transferEnv) catalogOfFleet() *cataloger.Catalog {
	catalog := env.catalog()
	env.mu.Lock()
	defer env.mu.Unlock()
	catalog.Hosts = map[string]cataloger.Host{"h1": {Name: "h1", Capacity: 1}}
	for i := 1; i < env.fleetSize-1; i++ {
		name := fmt.Sprint("small", i)
		catalog.Hosts[name] = cataloger.Host{Name: name, Capacity: 1}
	}
	if env.fleetSize > 1 {
		catalog.Hosts["large"] = cataloger.Host{Name: "large", Capacity: env.largeCapacity}
	}
	if env.secondLarge {
		catalog.Hosts["large2"] = cataloger.Host{Name: "large2", Capacity: env.largeCapacity}
	}
	for _, host := range catalog.Hosts {
		catalog.RecentHosts = append(catalog.RecentHosts, host)
	}
	catalog.Stopping = env.stoppingHosts
	return catalog
}

// observe returns the changes of leader within a time, and the longest time without one. It
// fails the test if two hosts are certain to be the leader.
func (env *transferEnv) observe(d time.Duration) (changes int, longestGap time.Duration) {
	const step = 10 * time.Millisecond
	former, _ := env.overseer.leaderToken()
	gap := time.Duration(0)
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(step) {
		synctest.Wait()
		token, leads := env.overseer.leaderToken()
		if other, ok := env.large.leaderToken(); ok {
			if leads {
				env.t.Fatal("two hosts are certain to be the leader")
			}
			token, leads = other, true
		}
		if !leads {
			gap += step
			longestGap = max(longestGap, gap)
			continue
		}
		gap = 0
		if token < former {
			env.t.Errorf("got fencing token %d after %d, want a higher one", token, former)
		}
		if token != former {
			former = token
			changes++
		}
	}
	return changes, longestGap
}

// TestSmallLeaderTransfersLeadership guards against a large fleet that a small host leads for
// good because it registered first.
func TestSmallLeaderTransfersLeadership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTransferEnv(t)
		env.run(env.large)
		env.update(func() { env.fleetSize = 30 })
		changes, gap := env.observe(2 * time.Minute)
		if _, ok := env.large.leaderToken(); !ok || changes != 1 {
			t.Errorf("got %d changes of leader, large host is the leader: %v, want 1 change to it", changes, ok)
		}
		// The successor campaigns within evaluateInterval, and the store answers at once.
		if limit := 2 * evaluateInterval; gap > limit {
			t.Errorf("no leader for %v, want at most %v", gap, limit)
		}
	})
}

// TestLeadershipIsKept guards against a change of leader that gains nothing, that interrupts a
// task of the leader, or that leaves leadership to a host that can't lead. Once the obstacle is
// gone, leadership is transferred unless it gains nothing.
func TestLeadershipIsKept(t *testing.T) {
	changing := cataloger.PrimaryAssignment{Service: service, ID: "p", Changing: true}
	pending := cataloger.PrimaryAssignment{Service: service, ID: "p", Pending: cataloger.PendingPromotion{ID: "a"}}
	tests := []struct {
		name       string
		begin, end func(env *transferEnv)
	}{
		{name: "small fleet", begin: func(env *transferEnv) { env.update(func() { env.fleetSize = cataloger.MaxSmallFleetSize }) }, end: func(env *transferEnv) { env.update(func() { env.fleetSize = 30 }) }},
		{name: "equal hosts", begin: func(env *transferEnv) { env.update(func() { env.largeCapacity = 1 }) }, end: func(env *transferEnv) { env.update(func() { env.largeCapacity = 2 }) }},
		{name: "silent host", begin: func(env *transferEnv) { env.update(func() { env.largeSilent = true }) }, end: func(env *transferEnv) { env.update(func() { env.largeSilent = false }) }},
		{name: "stopping host", begin: func(env *transferEnv) { env.update(func() { env.stoppingHosts = map[string]bool{"large": true} }) }, end: func(env *transferEnv) { env.update(func() { env.stoppingHosts = nil }) }},
		{name: "usage report in progress", begin: func(env *transferEnv) { env.update(func() { env.usageInProgress = true }) }, end: func(env *transferEnv) { env.update(func() { env.usageInProgress = false }) }},
		{name: "change of primary in progress", begin: func(env *transferEnv) { env.overseer.tryBeginChange(service) }, end: func(env *transferEnv) { env.overseer.endChange(service) }},
		{name: "change of primary recorded", begin: func(env *transferEnv) { env.assign(changing) }, end: func(env *transferEnv) { env.assign(cataloger.PrimaryAssignment{Service: service, ID: "p"}) }},
		{name: "promotion pending", begin: func(env *transferEnv) { env.assign(pending) }, end: func(env *transferEnv) { env.assign(cataloger.PrimaryAssignment{Service: service, ID: "p"}) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := newTransferEnv(t)
				env.update(func() { env.fleetSize = 30 })
				test.begin(env)
				env.run(env.large)
				if changes, gap := env.observe(30 * time.Second); changes != 0 || gap != 0 {
					t.Errorf("got %d changes of leader and no leader for %v, want the small host to lead", changes, gap)
				}
				test.end(env)
				changes, _ := env.observe(time.Second)
				if _, ok := env.large.leaderToken(); !ok || changes != 1 {
					t.Errorf("got %d changes of leader afterwards, large host is the leader: %v, want 1 change to it", changes, ok)
				}
			})
		})
	}
}

// assign makes the mirror of the hosts show an assignment.
func (env *transferEnv) assign(assignment cataloger.PrimaryAssignment) {
	env.update(func() {
		env.revision++
		env.mirror.ApplyWrite(informer.Record{Key: assignmentsPrefix + service, Value: encodeAssignment(assignment, 0), Revision: env.revision})
	})
}

// TestOfferIsNotAccepted guards against a fleet that stays without a leader, or changes its
// leader again and again, because no successor reaches the store.
func TestOfferIsNotAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTransferEnv(t)
		env.update(func() { env.fleetSize, env.secondLarge = 30, true })
		changes, gap := env.observe(transferPause)
		later, laterGap := env.observe(formerLeaderPause - transferPause)
		gap = max(gap, laterGap)
		if _, ok := env.overseer.leaderToken(); !ok || changes != 1 || later != 1 {
			t.Errorf("got %d and %d changes of leader, small host is the leader: %v, want it to lead again after one offer to each large host, a minute apart", changes, later, ok)
		}
		if limit := offerTimeout + 2*evaluateInterval; gap > limit {
			t.Errorf("no leader for %v, want at most %v", gap, limit)
		}
	})
}

// TestLeadershipDoesNotFlap guards against a leadership that moves to and fro between a large
// host that resigns, since it does not reach the databases, and a small one.
func TestLeadershipDoesNotFlap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTransferEnv(t)
		began := time.Now()
		env.overseer.RecentlyStarted = func() bool { return time.Since(began) < 15*time.Second }
		env.run(env.large)
		env.update(func() { env.fleetSize = 30 })
		env.observe(transferSettleTime + time.Second)
		if _, ok := env.large.leaderToken(); !ok {
			t.Fatal("the large host is not the leader")
		}
		env.large.StopCampaigning()
		env.large.recordUnreachable(t.Context(), "x")
		env.large.recordUnreachable(t.Context(), "y")
		env.update(func() {
			delete(env.entries, leaderKey)
			env.revision++
		})
		env.mirror.ApplyWrite(informer.Record{Key: leaderKey, Revision: env.revision, Deleted: true})
		// The small host defers to larger ones first, and then campaigns rarely.
		time.Sleep(2 * time.Minute)
		if changes, _ := env.observe(2 * time.Minute); changes > 1 {
			t.Errorf("got %d changes of leader, want the small host to keep leadership", changes)
		}
		if _, ok := env.overseer.leaderToken(); !ok {
			t.Error("the small host is not the leader")
		}
	})
}
