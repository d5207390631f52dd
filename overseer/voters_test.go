package overseer

import (
	"reflect"
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

// TestPlannedChangeIsBegunInTime guards against a primary that is used beyond the time at which
// it leaves because no majority of the hosts can acknowledge its replacement.
func TestPlannedChangeIsBegunInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		names := []string{"h1", "h2", "h3", "h4", "h5"}
		env.fleet(names...)
		env.update(func() { env.members = membersWithVoters(names[1:], len(names), Observation{}) })
		env.start()
		time.Sleep(time.Second)
		env.update(func() {
			env.members = membersWithVoters(names[1:], 1, Observation{})
			for i := range env.members[1:] {
				env.members[1+i].RecentlyHeard = false
			}
			env.silent = map[string]bool{"h3": true, "h4": true, "h5": true}
			env.endpoints[2].Draining = true
		})
		began := time.Now()
		time.Sleep(maxPlannedDelay - 500*time.Millisecond)
		if got := env.assignment(); got.Changing {
			t.Errorf("got assignment %+v, want p while a quorum may return", got)
		}
		time.Sleep(time.Second)
		if got := env.assignment(); !got.Changing {
			t.Errorf("got assignment %+v after %v, want the change recorded", got, time.Since(began))
		}
		time.Sleep(testMajorityExpiry + 5*time.Second)
		synctest.Wait()
		got := env.promotions()
		if len(got) != 1 || got[0].at.Sub(began) < maxPlannedDelay+testMajorityExpiry {
			t.Errorf("got promotions %+v, want one not before %v", got, maxPlannedDelay+testMajorityExpiry)
		}
	})
}

// TestSilentVotersAreRemoved guards against a list of voters that keeps hosts which are gone, and
// against one that loses the hosts from which its leader is cut off.
func TestSilentVotersAreRemoved(t *testing.T) {
	tests := []struct {
		name string
		// silent hosts do not report any more, and ended ones have left in order. The keys of
		// lapsed ones are gone.
		silent, ended, lapsed []string
		voters, former        int
	}{
		{name: "all report", voters: 5},
		{name: "one is silent", silent: []string{"h5"}, voters: 4, former: 1},
		{name: "one has left in order", silent: []string{"h5"}, ended: []string{"h5"}, voters: 4},
		{name: "most are silent", silent: []string{"h3", "h4", "h5"}, voters: 5},
		{name: "most have left in order", silent: []string{"h3", "h4", "h5"}, ended: []string{"h3", "h4", "h5"}, voters: 2},
		{name: "most are silent, their keys are gone", silent: []string{"h3", "h4", "h5"}, lapsed: []string{"h3", "h4", "h5"}, voters: 2, former: 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := newTestEnv(t)
				names := []string{"h1", "h2", "h3", "h4", "h5"}
				env.fleet(names...)
				env.update(func() { env.members = membersWithVoters(names[1:], len(names), Observation{}) })
				env.start()
				time.Sleep(time.Second)
				env.update(func() {
					env.silent, env.ended = make(map[string]bool), make(map[string]string)
					for _, name := range test.silent {
						env.silent[name] = true
					}
					for _, name := range test.ended {
						env.ended[name] = ""
					}
					for _, name := range append(test.ended, test.lapsed...) {
						delete(env.hosts, name)
					}
				})
				time.Sleep(2 * voterSilence)
				got := env.voters()
				if len(got.Since) != test.voters || len(got.Former) != test.former {
					t.Errorf("got voters %+v, want %d and %d former ones", got, test.voters, test.former)
				}
				env.update(func() {
					env.silent, env.ended = nil, nil
					for _, name := range names {
						env.hosts[name] = cataloger.Host{Name: name}
					}
				})
				time.Sleep(time.Second)
				if got := env.voters(); len(got.Since) != len(names) || !got.AllKnown() {
					t.Errorf("got voters %+v after the return of all hosts, want %d", got, len(names))
				}
			})
		})
	}
}

// TestVoterHistory guards against a promotion while hosts may count with a list that was
// replaced a moment ago, or with one that the store has lost.
func TestVoterHistory(t *testing.T) {
	now := time.Unix(1000, 0)
	h := VoterHistory{MajorityExpiry: 10 * time.Second, FleetExpiry: time.Minute, RecentlyHeard: time.Second}
	first := cataloger.Voters{}.WithChanges([]string{"a", "b", "c"}, nil, nil)
	first.Revision = storer.JoinRevision(1, 10)
	h.Observe(first, now)
	second := first.WithChanges([]string{"d"}, []string{"a"}, nil)
	second.Revision = storer.JoinRevision(1, 20)
	h.Observe(second, now.Add(time.Second))
	h.RecordReport("b", second.Revision-1, now.Add(time.Second))
	h.RecordReport("c", second.Revision, now.Add(2*time.Second))
	tests := []struct {
		after                 time.Duration
		byMajority, byAll     int64
		knownToB, knownToC, d int64
	}{
		{after: time.Second, knownToB: 1, knownToC: 1, d: 2},
		{after: 2 * time.Second, knownToB: 1, knownToC: 2, d: 2},
		{after: 10 * time.Second, byMajority: 1, knownToB: 1, knownToC: 2, d: 2},
		{after: 11 * time.Second, byMajority: 2, knownToB: 1, knownToC: 2, d: 2},
		{after: 61 * time.Second, byMajority: 2, byAll: 2, knownToB: 1, knownToC: 2, d: 2},
	}
	for _, test := range tests {
		u := h.Uncertainty(second, now.Add(test.after), func(string) bool { return false })
		if u.OldestByMajority != test.byMajority || u.OldestByAll != test.byAll {
			t.Errorf("after %v: got versions %d by majority and %d by all, want %d and %d", test.after, u.OldestByMajority, u.OldestByAll, test.byMajority, test.byAll)
		}
		for name, want := range map[string]int64{"b": test.knownToB, "c": test.knownToC, "d": test.d} {
			if got, _ := u.MayConfirm(name); got != want {
				t.Errorf("after %v: got version %d known to %s, want %d", test.after, got, name, want)
			}
		}
	}
	restored := first
	restored.Revision = storer.JoinRevision(2, 10)
	h.Observe(restored, now.Add(2*time.Minute))
	u := h.Uncertainty(restored, now.Add(2*time.Minute), func(string) bool { return false })
	if got, _ := u.MayConfirm("c"); got != 1 || u.OldestByMajority != 0 {
		t.Errorf("got version %d known to c and versions from %d on after a restore, want 1 and 0", got, u.OldestByMajority)
	}
}

// TestVotersAreEncoded guards against a list that loses what the next leader has to know, and
// against a malformed one.
func TestVotersAreEncoded(t *testing.T) {
	want := cataloger.Voters{
		Revision: 7, Version: 5, Since: map[string]int64{"a": 1, "b": 4}, Known: 3, Established: true,
		Former: []cataloger.FormerVoter{{Host: "c", Since: 1, Until: 5, Known: 2}},
	}
	got, ok, err := DecodeVoters(votersKey, encodeVoters(want), 7)
	if !ok || err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, %v, %v, want %+v", got, ok, err, want)
	}
	for _, text := range []string{
		`{"version":5,"hosts":{},"known":6}`, `{"version":5,"hosts":{},"former":[{"host":"c","since":1,"until":6}]}`,
		`{"version":5,"hosts":{},"former":[{"host":"","since":1,"until":2}]}`, `{"version":5,"hosts":{},"former":[{"host":"c","since":2,"until":2}]}`,
	} {
		if _, ok, err := DecodeVoters(votersKey, []byte(text), 7); !ok || err == nil {
			t.Errorf("%s: got no error", text)
		}
	}
}

// TestEndedHostCountsInOutdatedView guards against a promotion while a process that started after
// the end of a former one, and that the leader's view lacks, may confirm views.
func TestEndedHostCountsInOutdatedView(t *testing.T) {
	now := time.Unix(1000, 0)
	voters := cataloger.Voters{Revision: 5, Version: 2, Since: map[string]int64{"h1": 1, "h2": 1, "h3": 1}, Known: 1, Established: true}
	catalog := &cataloger.Catalog{Revision: 9, Ended: map[string]string{"h2": "i1", "h3": "i1"}}
	o := &Overseer{
		Host: cataloger.Host{Name: "h1"}, Now: func() time.Time { return now }, Catalog: func() *cataloger.Catalog { return catalog },
		MajorityExpiry: testMajorityExpiry, FleetExpiry: testFleetExpiry, voters: voterList{voters: voters},
	}
	acknowledged := func(string) bool { return false }
	tests := []struct {
		revision int64
		want     time.Duration
	}{{revision: 9}, {revision: 10, want: testMajorityExpiry}}
	for _, test := range tests {
		if got := o.confirmationExpiry(acknowledged, test.revision); got != test.want {
			t.Errorf("change at revision %d: got %v, want %v", test.revision, got, test.want)
		}
	}
}
