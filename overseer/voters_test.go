package overseer

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/storer"
)

// voters returns the list of voters in the store.
func (env *testEnv) voters() cataloger.Voters {
	env.mu.Lock()
	defer env.mu.Unlock()
	entry := env.entries[votersKey]
	voters, _, err := DecodeVoters(entry.Key, entry.Value, entry.ModRevision)
	if err != nil {
		env.t.Fatal(err)
	}
	return voters
}

// fleet makes the hosts part of the fleet of the test.
func (env *testEnv) fleet(names ...string) {
	env.update(func() {
		env.hosts = make(map[string]cataloger.Host)
		for _, name := range names {
			env.hosts[name] = cataloger.Host{Name: name}
		}
	})
}

// TestFenceWaitsForConfirmations guards against a promotion while hosts that have not
// acknowledged the change may still confirm each other's views without the store.
func TestFenceWaitsForConfirmations(t *testing.T) {
	tests := []struct {
		name string
		// hosts is the size of the fleet, of which the first acknowledge the change.
		hosts, acknowledged int
		atLeast, atMost     time.Duration
	}{
		{name: "all acknowledge", hosts: 5, acknowledged: 5, atMost: 800 * time.Millisecond},
		{name: "majority acknowledges", hosts: 5, acknowledged: 3, atLeast: time.Second, atMost: 2 * time.Second},
		{name: "minority acknowledges", hosts: 5, acknowledged: 2, atLeast: testMajorityExpiry + time.Second, atMost: testMajorityExpiry + 2*time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := newTestEnv(t)
				names := []string{"h1", "h2", "h3", "h4", "h5"}[:test.hosts]
				env.fleet(names...)
				env.update(func() { env.members = membersWithVoters(names[1:], 0, Observation{}) })
				env.start()
				time.Sleep(time.Second)
				if voters := env.voters(); len(voters.Since) != test.hosts || !voters.AllKnown() {
					t.Fatalf("got voters %+v, want all hosts, known to each other", voters)
				}
				began := time.Now()
				env.update(func() {
					delete(env.statuses, "p")
					env.members = membersWithVoters(names[1:], test.acknowledged-1, failedObservation)
				})
				time.Sleep(15 * time.Second)
				synctest.Wait()
				got := env.promotions()
				if len(got) != 1 {
					t.Fatalf("got %d promotions, want 1", len(got))
				}
				if took := got[0].at.Sub(began); took < test.atLeast || took > test.atMost {
					t.Errorf("promoted after %v, want between %v and %v", took, test.atLeast, test.atMost)
				}
			})
		})
	}
}

// TestNewLeaderWaitsForOldFleet guards against a promotion by a host that a silent fleet does
// not know, whose hosts may all confirm each other's views.
func TestNewLeaderWaitsForOldFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		list := encode(votersRecord{Version: 4, Hosts: map[string]int64{"a": 0, "b": 0}})
		env.update(func() {
			env.entries[votersKey] = storer.Entry{Key: votersKey, Value: list, ModRevision: 5}
		})
		env.listStore()
		env.fleet("h1")
		env.start()
		began := time.Now()
		env.update(func() {
			delete(env.statuses, "p")
			env.members = []Member{memberReporting(failedObservation, func() int64 { return 0 })}
		})
		time.Sleep(testFleetExpiry)
		if got := len(env.promotions()); got != 0 {
			t.Fatalf("got %d promotions within %v, want none", got, testFleetExpiry)
		}
		time.Sleep(5 * time.Second)
		synctest.Wait()
		got := env.promotions()
		if len(got) != 1 {
			t.Fatalf("got %d promotions, want 1 after %v", len(got), time.Since(began))
		}
		if voters := env.voters(); voters.Has("a") || !voters.Has("h1") {
			t.Errorf("got voters %+v, want the hosts that left removed", voters)
		}
	})
}

// TestLateWriteOfVotersFails guards against a host that counts as a voter by a write of a
// former leader which the store carries out late, and which the present leader does not know.
func TestLateWriteOfVotersFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		list := encode(votersRecord{Version: 4, Hosts: map[string]int64{"h1": 0}})
		env.update(func() { env.entries[votersKey] = storer.Entry{Key: votersKey, Value: list, ModRevision: 5} })
		env.listStore()
		env.fleet("h1")
		env.start()
		late := encode(votersRecord{Version: 5, Hosts: map[string]int64{"h1": 0, "x": 5}})
		if _, err := env.write(t.Context(), storer.Put{Key: votersKey, Value: late, ExpectedRevision: 5}); err == nil {
			t.Error("the late write succeeded")
		}
		if voters := env.voters(); voters.Version != 5 || voters.Has("x") {
			t.Errorf("got voters %+v, want the list that the present leader wrote", voters)
		}
	})
}

// membersWithVoters returns members that have the latest list of voters and report the
// observation of the primary. The first of them acknowledge all changes.
func membersWithVoters(names []string, acknowledged int, observation Observation) []Member {
	var members []Member
	for i, name := range names {
		member := memberReporting(observation, func() int64 {
			if i < acknowledged {
				return 1 << 40
			}
			return 0
		})
		member.Name, member.VotersRevision = name, 1<<40
		members = append(members, member)
	}
	return members
}
