package overseer

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/informer"
	"github.com/endiveturn/endiveturn/storer"
)

// TestLeadership guards against a host that acts as the leader while another host
// is, and against fencing tokens that do not increase.
func TestLeadership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		other := encode(leaderRecord{Host: "h2", Incarnation: "i2"})
		revision, err := env.write(t.Context(), storer.Put{Key: leaderKey, Value: other})
		if err != nil {
			t.Fatal(err)
		}
		env.mirror.ApplyWrite(informer.Record{Key: leaderKey, Value: other, Revision: revision})
		env.start()
		if token, ok := env.overseer.leaderToken(); ok {
			t.Fatalf("is the leader with token %d, want another host to be", token)
		}
		env.update(func() { delete(env.entries, leaderKey) })
		env.mirror.ApplyWrite(informer.Record{Key: leaderKey, Revision: revision + 1, Deleted: true})
		time.Sleep(time.Second)
		synctest.Wait()
		token, ok := env.overseer.leaderToken()
		if !ok || token <= revision {
			t.Errorf("got token %d, leader %v, want a token above %d", token, ok, revision)
		}
		env.update(func() { env.storeUnavailable = true })
		time.Sleep(leaseTTL + time.Second)
		if _, ok := env.overseer.leaderToken(); ok {
			t.Error("still the leader though its lease may have expired")
		}
	})
}

// TestHighCapacityHostsCampaign guards against a large fleet whose leader has a link
// too narrow for the reports of all hosts.
func TestHighCapacityHostsCampaign(t *testing.T) {
	tests := []struct {
		name            string
		capacity        int64
		recentlyStarted bool
		atLeast         int
		atMost          int
	}{
		{name: "large", capacity: 9, atLeast: 1000, atMost: 1000},
		{name: "large, recently started", capacity: 9, recentlyStarted: true, atLeast: 500, atMost: 1000},
		{name: "small", capacity: 1, atLeast: 1, atMost: 50},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			hosts := []cataloger.Host{{Name: "h1", Capacity: 9}, {Name: "h2", Capacity: 9}}
			for i := range 50 {
				hosts = append(hosts, cataloger.Host{Name: fmt.Sprint("small", i), Capacity: 1})
			}
			o := &Overseer{
				Host: cataloger.Host{Capacity: test.capacity}, RecentlyStarted: func() bool { return test.recentlyStarted },
				Catalog: func() *cataloger.Catalog { return &cataloger.Catalog{RecentHosts: hosts} },
			}
			got := 0
			for range 1000 {
				if o.shouldCampaign() {
					got++
				}
			}
			if got < test.atLeast || got > test.atMost {
				t.Errorf("took part in %d of 1000 campaigns, want %d to %d", got, test.atLeast, test.atMost)
			}
		})
	}
}

// TestSmallHostDefers guards against a small host that leads a large fleet because it
// campaigned a moment before the big ones, and against a fleet without a leader after
// all big hosts are lost.
func TestSmallHostDefers(t *testing.T) {
	for range 20 {
		synctest.Test(t, func(t *testing.T) {
			env := newTestEnv(t)
			hosts := []cataloger.Host{{Name: "big", Capacity: 9}}
			for i := range 20 {
				hosts = append(hosts, cataloger.Host{Name: fmt.Sprint("small", i), Capacity: 1})
			}
			env.overseer.Catalog = func() *cataloger.Catalog {
				catalog := env.catalog()
				catalog.RecentHosts = hosts
				return catalog
			}
			env.overseer.Host.Capacity = 1
			began := time.Now()
			env.start()
			time.Sleep(largerHostsLead - time.Since(began))
			if _, ok := env.overseer.leaderToken(); ok {
				t.Error("a small host leads the fleet though a big one could")
			}
			time.Sleep(2 * time.Minute)
			synctest.Wait()
			if _, ok := env.overseer.leaderToken(); !ok {
				t.Error("no small host leads the fleet though no big one does")
			}
		})
	}
}

// TestIsolatedLeaderResigns guards against a leader that is slow or partitioned from
// the databases, concludes that all primaries are down and replaces them.
func TestIsolatedLeaderResigns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		env.start()
		env.overseer.recordUnreachable(t.Context(), "s")
		time.Sleep(2 * unreachableWindow)
		env.overseer.recordUnreachable(t.Context(), "t")
		if _, ok := env.overseer.leaderToken(); !ok {
			t.Error("resigned though only one service at a time had no response")
		}
		env.overseer.recordUnreachable(t.Context(), "s")
		if _, ok := env.overseer.leaderToken(); ok {
			t.Error("still the leader though the databases of two services do not respond")
		}
		env.mu.Lock()
		defer env.mu.Unlock()
		if len(env.revoked) != 1 {
			t.Errorf("%d leases were revoked, want only the leader lease", len(env.revoked))
		}
	})
}

// resign makes the leader resign and waits for the store to delete its key.
func (env *testEnv) resign() {
	env.overseer.recordUnreachable(env.t.Context(), "x")
	env.overseer.recordUnreachable(env.t.Context(), "y")
	env.update(func() {
		delete(env.entries, leaderKey)
		env.revision++
	})
	env.mirror.ApplyWrite(informer.Record{Key: leaderKey, Revision: env.revision, Deleted: true})
	if _, ok := env.overseer.leaderToken(); ok {
		env.t.Fatal("still the leader, want it to have resigned")
	}
}

// TestPartitionDoesNotPersistAcrossLeaderships guards against replacing a primary at
// once because hosts report a short partition to a leader that had seen another one in
// its former leadership.
func TestPartitionDoesNotPersistAcrossLeaderships(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		env.start()
		partitioned := memberReporting(Observation{SinceSuccess: 6 * time.Second, SinceFailure: 5 * time.Second}, func() int64 { return 1 << 40 })
		healthy := memberReporting(Observation{SinceSuccess: 10 * time.Millisecond}, func() int64 { return 1 << 40 })
		env.update(func() { env.members = []Member{partitioned, healthy} })
		time.Sleep(partitionPersistence / 2)
		env.resign()
		time.Sleep(campaignBackoff + partitionPersistence/2)
		synctest.Wait()
		if _, ok := env.overseer.leaderToken(); !ok {
			t.Fatal("not the leader again")
		}
		env.update(func() { env.members = []Member{healthy, healthy} })
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if got := len(env.promotions()); got != 0 {
			t.Errorf("got %d promotions, want 0", got)
		}
	})
}
