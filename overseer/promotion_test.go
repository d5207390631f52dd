package overseer

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/executor"
	"github.com/endiveturn/endiveturn/informer"
	"github.com/endiveturn/endiveturn/storer"
)

// failPrimary makes the primary unreachable for the leader and the hosts.
func (env *testEnv) failPrimary(id string) {
	env.update(func() {
		env.hidden[id] = true
		member := memberReporting(failedObservation, func() int64 { return 1 << 40 })
		member.Observations[service] = HostObservation{ID: id, Observation: failedObservation}
		env.members = []Member{member}
	})
}

// assign writes an assignment to the store before the start of the overseer.
func (env *testEnv) assign(assignment cataloger.PrimaryAssignment) {
	env.t.Helper()
	value := encodeAssignment(assignment, 0)
	revision, err := env.write(env.t.Context(), storer.Put{Key: assignmentsPrefix + service, Value: value})
	if err != nil {
		env.t.Fatal(err)
	}
	env.mirror.ApplyWrite(informer.Record{Key: assignmentsPrefix + service, Value: value, Revision: revision})
}

// TestEarlierTermDoesNotCompleteChange guards against a change that completes because the
// promoted database, which was partitioned, is still a primary by an earlier promotion. The
// requested one then takes effect later, when another database may be the primary.
func TestEarlierTermDoesNotCompleteChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		env.promotionDelay = time.Second
		env.assign(cataloger.PrimaryAssignment{Service: service, ID: "p", Term: 2})
		env.statuses["p"] = executor.DatabaseStatus{Primary: true, Term: 2, Received: executor.Position{Term: 2, Offset: 40}}
		env.statuses["a"] = executor.DatabaseStatus{Term: 1, Received: executor.Position{Term: 1, Offset: 18}}
		env.statuses["b"] = executor.DatabaseStatus{Primary: true, Term: 1, Received: executor.Position{Term: 1, Offset: 30}}
		env.start()
		env.failPrimary("p")
		time.Sleep(900 * time.Millisecond)
		synctest.Wait()
		if got := env.promotions(); len(got) != 1 || got[0].id != "b" {
			t.Fatalf("got promotions %+v, want one of b", got)
		}
		if got := env.assignment(); !got.Changing {
			t.Errorf("got assignment %+v before the promotion took effect, want a change in progress", got)
		}
		time.Sleep(time.Second)
		synctest.Wait()
		if got := env.assignment(); got.Changing || got.ID != "b" || got.Term != 3 {
			t.Errorf("got assignment %+v, want b in term 3", got)
		}
	})
}

// TestPromotionsDoNotOverlap guards against a promotion that takes effect after a later one has
// been requested, so that hosts write to a database that is not the primary any more.
func TestPromotionsDoNotOverlap(t *testing.T) {
	tests := []struct {
		name string
		// newLeader is set if another host leads after the first request, and newLeadership
		// if the same one does with another token.
		newLeader, newLeadership bool
		// lostResponse is set if the request has no response.
		lostResponse bool
		// unreachable is set if the promoted database can't be reached until the promotion
		// has taken effect.
		unreachable bool
		// wantPromotions are the databases whose promotion is requested.
		wantPromotions []string
	}{
		{name: "another leader, same database", newLeader: true, wantPromotions: []string{"b", "b"}},
		{name: "another leader, database unreachable", newLeader: true, unreachable: true, wantPromotions: []string{"b"}},
		{name: "leadership regained, database unreachable", newLeadership: true, unreachable: true, wantPromotions: []string{"b"}},
		{name: "response lost, another leader", newLeader: true, lostResponse: true, unreachable: true, wantPromotions: []string{"b"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := newTestEnv(t)
				env.promotionDelay, env.lostResponse = 3*time.Second, test.lostResponse
				cancel := env.start()
				time.Sleep(time.Second)
				env.failPrimary("p")
				for len(env.promotions()) == 0 {
					time.Sleep(10 * time.Millisecond)
				}
				requested := time.Now()
				if test.unreachable {
					env.update(func() { env.hidden["b"] = true })
				}
				if test.newLeadership {
					env.overseer.mu.Lock()
					env.overseer.token += 1000
					env.overseer.mu.Unlock()
				}
				if test.newLeader {
					cancel()
					env.startOther()
				}
				time.Sleep(3100*time.Millisecond - time.Since(requested))
				env.update(func() { delete(env.hidden, "b") })
				time.Sleep(4 * time.Second)
				synctest.Wait()
				env.update(func() {
					if env.overlapping > 0 {
						t.Errorf("%d promotions were requested while another one could take effect", env.overlapping)
					}
				})
				var got []string
				for _, p := range env.promotions() {
					got = append(got, p.id)
				}
				if !slices.Equal(got, test.wantPromotions) {
					t.Errorf("got promotions %v, want %v", got, test.wantPromotions)
				}
				if got := env.assignment(); got.Changing || got.ID != "b" || got.Term != 2 {
					t.Errorf("got assignment %+v, want b in term 2", got)
				}
			})
		})
	}
}

// TestPendingPromotionExpires guards against a service without a primary for good because a
// leader recorded a promotion and did not live to request it.
func TestPendingPromotionExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		env.assign(cataloger.PrimaryAssignment{
			Service: service, ID: "p", Term: 1, Changing: true, Pending: cataloger.PendingPromotion{ID: "a", FormerTerm: 1},
		})
		delete(env.statuses, "p")
		began := time.Now()
		env.start()
		time.Sleep(10 * time.Second)
		synctest.Wait()
		got := env.promotions()
		if len(got) != 1 || got[0].id != "b" || got[0].at.Sub(began) < promotionEffectTimeout {
			t.Errorf("got promotions %+v, want one of b not before %v", got, promotionEffectTimeout)
		}
		if got := env.assignment(); got.Changing || got.ID != "b" || got.Pending != (cataloger.PendingPromotion{}) {
			t.Errorf("got assignment %+v, want b with nothing pending", got)
		}
	})
}

// TestPendingPromotionIsRequestedAgain guards against a service without a primary for as long
// as a promotion may take effect, after a leader recorded one and was lost.
func TestPendingPromotionIsRequestedAgain(t *testing.T) {
	tests := []struct {
		name string
		// silentFor is for how long the recorded database does not respond.
		silentFor time.Duration
	}{
		{name: "database responds"},
		{name: "database responds later", silentFor: 2 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := newTestEnv(t)
				env.assign(cataloger.PrimaryAssignment{
					Service: service, ID: "p", Term: 1, Changing: true, Pending: cataloger.PendingPromotion{ID: "b", FormerTerm: 1},
				})
				delete(env.statuses, "p")
				env.hidden["b"] = test.silentFor > 0
				began := time.Now()
				env.start()
				time.Sleep(test.silentFor)
				env.update(func() { delete(env.hidden, "b") })
				time.Sleep(10*time.Second - test.silentFor)
				synctest.Wait()
				got := env.promotions()
				if len(got) != 1 || got[0].id != "b" || got[0].at.Sub(began) >= promotionEffectTimeout {
					t.Errorf("got promotions %+v, want one of b before %v", got, promotionEffectTimeout)
				}
				if got := env.assignment(); got.Changing || got.ID != "b" || got.Term != 2 {
					t.Errorf("got assignment %+v, want b in term 2", got)
				}
			})
		})
	}
}

// TestPromotionIsRecordedFirst guards against a promotion that the next leader does not know of
// because the store did not have its record when it was requested.
func TestPromotionIsRecordedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		var recorded cataloger.PendingPromotion
		promote := env.overseer.Promote
		env.overseer.Promote = func(ctx context.Context, p Promotion) error {
			recorded = env.assignment().Pending
			return promote(ctx, p)
		}
		env.start()
		env.failPrimary("p")
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if want := (cataloger.PendingPromotion{ID: "b", FormerTerm: 1}); recorded != want {
			t.Errorf("recorded %+v at the request, want %+v", recorded, want)
		}
	})
}

// TestStaleFailuresAreIgnored guards against replacing a primary again that has just been
// assigned, because of what hosts observed before.
func TestStaleFailuresAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		env.start()
		time.Sleep(time.Second)
		released := func() int64 { return 1 << 40 }
		unreachable := Observation{SinceSuccess: 6 * time.Second, SinceFailure: 5 * time.Second}
		report := func(id string, observation Observation) {
			member := memberReporting(observation, released)
			member.Observations[service] = HostObservation{ID: id, Observation: observation}
			healthy := memberReporting(Observation{SinceSuccess: time.Millisecond}, released)
			healthy.Observations[service] = HostObservation{ID: id, Observation: Observation{SinceSuccess: time.Millisecond}}
			env.update(func() { env.members = []Member{member, healthy} })
		}
		report("p", unreachable)
		for env.assignment().ID != "b" {
			time.Sleep(10 * time.Millisecond)
		}
		report("b", unreachable)
		time.Sleep(partialFailureThreshold)
		report("b", Observation{SinceSuccess: time.Millisecond})
		time.Sleep(5 * time.Second)
		synctest.Wait()
		if got := env.promotions(); len(got) != 1 {
			t.Errorf("got promotions %+v, want one", got)
		}
	})
}

// TestChangeWithoutImprovementIsNotBegun guards against a service that loses its primary for the
// duration of a change and is as unreachable as before: a partition hides several databases.
func TestChangeWithoutImprovementIsNotBegun(t *testing.T) {
	tests := []struct {
		name string
		// cut and cutCandidate are for how many of 10 hosts the primary and also the next
		// database fail.
		cut, cutCandidate int
		want              int
	}{
		{name: "both unreachable from the same hosts", cut: 4, cutCandidate: 4},
		{name: "next one unreachable from fewer hosts", cut: 5, cutCandidate: 4, want: 1},
		{name: "next one reachable", cut: 4, want: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := newTestEnv(t)
				counts := make(map[string]int)
				env.overseer.CountEvent = func(name string) { env.update(func() { counts[name]++ }) }
				env.start()
				time.Sleep(2 * time.Second)
				var members []Member
				for i := range 9 {
					observation := HostObservation{ID: "p", Observation: Observation{SinceSuccess: time.Millisecond}}
					if i < test.cut {
						observation.Observation = Observation{SinceSuccess: 6 * time.Second, SinceFailure: 5 * time.Second}
					}
					if i < test.cutCandidate {
						observation.Unreachable = []string{"b"}
					}
					members = append(members, Member{
						Name: fmt.Sprint("m", i), ReleasedRevisions: map[string]int64{service: 1 << 40}, Observations: map[string]HostObservation{service: observation},
					})
				}
				env.update(func() { env.members = members })
				time.Sleep(4 * time.Second)
				synctest.Wait()
				if got := env.promotions(); len(got) != test.want {
					t.Errorf("got promotions %+v, want %d", got, test.want)
				}
				env.update(func() {
					done, notBegun := counts["primary_changes.primary_cut_from_hosts"], counts["primary_changes_not_begun.no_improvement"]
					if done != test.want || notBegun != 1-test.want {
						t.Errorf("got counts %v, want %d changes and %d that were not begun", counts, test.want, 1-test.want)
					}
				})
			})
		})
	}
}

// TestEvidenceOf guards against a change that completes although another database may be the
// current primary, and against one that never completes.
func TestEvidenceOf(t *testing.T) {
	primary := func(id string, term uint64) Candidate {
		return Candidate{Endpoint: cataloger.Endpoint{ID: id}, Reachable: true, IsPrimary: true, DatabaseTerm: term}
	}
	replica := func(id string, term uint64) Candidate {
		return Candidate{Endpoint: cataloger.Endpoint{ID: id}, Reachable: true, DatabaseTerm: term}
	}
	silent := Candidate{Endpoint: cataloger.Endpoint{ID: "b"}}
	tests := []struct {
		name      string
		responses []Candidate
		effective bool
		want      Evidence
	}{
		{name: "no response", responses: []Candidate{{Endpoint: cataloger.Endpoint{ID: "a"}}}},
		{name: "still a replica", responses: []Candidate{replica("a", 4)}},
		{name: "higher term", responses: []Candidate{primary("a", 4)}, want: EvidenceHigherTerm},
		{name: "higher term, former primary still one", responses: []Candidate{primary("a", 4), primary("b", 3)}, want: EvidenceHigherTerm},
		{name: "earlier term", responses: []Candidate{primary("a", 2), replica("b", 2)}, effective: true},
		{name: "only primary", responses: []Candidate{primary("a", 3), replica("b", 3)}, want: EvidenceOnlyPrimary},
		{name: "another primary", responses: []Candidate{primary("a", 3), primary("b", 2)}, effective: true},
		{name: "replica of a later term", responses: []Candidate{primary("a", 3), replica("b", 4)}, effective: true},
		{name: "one is silent", responses: []Candidate{primary("a", 3), silent}},
		{name: "one is silent, promotion would have taken effect", responses: []Candidate{primary("a", 3), silent}, effective: true, want: EvidenceUnchangedTerm},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := EvidenceOf("a", 3, test.responses, test.effective); got != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}

// TestRequestWithoutEffectStaysPending guards against a promotion that overlaps a request for the
// primary in place, or one of several requests for it. That changes nothing, and would replace
// the next primary if it took effect after that had been promoted.
func TestRequestWithoutEffectStaysPending(t *testing.T) {
	tests := []struct {
		name string
		// replaced is set if b is the primary before the leader requests its promotion, and
		// lostResponse if the requests have no response, so that they are repeated.
		replaced, lostResponse bool
	}{
		{name: "primary in place", replaced: true},
		{name: "repeated requests", lostResponse: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := newTestEnv(t)
				env.promotionDelay, env.lostResponse = 3*time.Second, test.lostResponse
				env.start()
				time.Sleep(time.Second)
				if test.replaced {
					env.update(func() {
						env.statuses["p"] = executor.DatabaseStatus{Term: 2, Received: executor.Position{Term: 1, Offset: 20}}
						env.statuses["b"] = executor.DatabaseStatus{Primary: true, Term: 2, Received: executor.Position{Term: 2, Offset: 31}}
						env.members = []Member{memberReporting(Observation{SinceSuccess: time.Millisecond, RefusesWrites: true}, func() int64 { return 1 << 40 })}
					})
				} else {
					env.failPrimary("p")
				}
				for env.assignment().ID != "b" {
					time.Sleep(10 * time.Millisecond)
				}
				env.update(func() { env.lostResponse = false })
				env.failPrimary("b")
				time.Sleep(12 * time.Second)
				synctest.Wait()
				env.update(func() {
					last := env.promoted[len(env.promoted)-1]
					if env.promoted[0].id != "b" || last.id == "b" || env.overlapping > 0 {
						t.Errorf("the first promotion is of %s, the last of %s, %d overlap; want b, another one, none", env.promoted[0].id, last.id, env.overlapping)
					}
				})
				if got := env.assignment(); got.Changing || got.ID == "b" {
					t.Errorf("got assignment %+v, want another database than b", got)
				}
			})
		})
	}
}

// TestPlannedChangeAwaitsPendingPromotion guards against a service without a primary for
// seconds because a planned change begins while an earlier promotion may still take effect.
func TestPlannedChangeAwaitsPendingPromotion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		env.assign(cataloger.PrimaryAssignment{Service: service, ID: "p", Term: 1, Pending: cataloger.PendingPromotion{ID: "p", FormerTerm: 1}})
		began := time.Now()
		env.start()
		env.update(func() { env.endpoints[2].Draining = true })
		time.Sleep(promotionEffectTimeout - 500*time.Millisecond)
		if got := env.assignment(); got.Changing || got.ID != "p" {
			t.Errorf("got assignment %+v while a promotion is pending, want p", got)
		}
		time.Sleep(2 * time.Second)
		synctest.Wait()
		got := env.promotions()
		if len(got) != 1 || got[0].id != "b" || got[0].at.Sub(began) < promotionEffectTimeout {
			t.Errorf("got promotions %+v, want one of b not before %v", got, promotionEffectTimeout)
		}
	})
}

// TestPartitionPersistsByAssignment guards against replacing a primary at once because its
// predecessor had been unreachable from many hosts for long.
func TestPartitionPersistsByAssignment(t *testing.T) {
	now := time.Unix(1000, 0)
	o := &Overseer{Now: func() time.Time { return now }, partitionedSince: make(map[string]observedPartition)}
	former := cataloger.PrimaryAssignment{Service: service, ID: "p", Revision: 4}
	next := cataloger.PrimaryAssignment{Service: service, ID: "b", Revision: 9}
	o.partitionPersists(former, ReasonPartitioned)
	now = now.Add(partitionPersistence)
	if !o.partitionPersists(former, ReasonPartitioned) {
		t.Error("the partition of the former primary does not persist")
	}
	if o.partitionPersists(next, ReasonPartitioned) {
		t.Error("the partition of the former primary counts for the next one")
	}
}

// TestCompletedChangeLeavesNothingPending guards against a planned change that is put off for
// seconds, until the database has left, since the promotion before, which was requested once and
// has taken effect, counts as one that may still do so.
func TestCompletedChangeLeavesNothingPending(t *testing.T) {
	tests := []struct {
		name string
		// lostResponse is set if requests have no response and are repeated.
		lostResponse bool
		want         cataloger.PendingPromotion
	}{
		{name: "one request"},
		{name: "repeated requests", lostResponse: true, want: cataloger.PendingPromotion{ID: "b", FormerTerm: 2}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := newTestEnv(t)
				env.promotionDelay, env.lostResponse = 300*time.Millisecond, test.lostResponse
				env.start()
				env.failPrimary("p")
				time.Sleep(4 * time.Second)
				synctest.Wait()
				if got := env.assignment(); got.ID != "b" || got.Changing || got.Pending != test.want {
					t.Errorf("got assignment %+v, want b with pending %+v", got, test.want)
				}
			})
		})
	}
}

// TestNewLeaderKnowsPendingPromotion guards against a planned change that each new leader puts off
// for seconds again, because of a promotion that was requested long ago.
func TestNewLeaderKnowsPendingPromotion(t *testing.T) {
	tests := []struct {
		name string
		// ago is how long before this host becomes the leader the change was recorded as complete.
		ago, atLeast, atMost time.Duration
	}{
		{name: "long ago", ago: 6 * time.Second, atMost: time.Second},
		{name: "just completed", ago: 2 * time.Second, atLeast: 2500 * time.Millisecond, atMost: 4 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := newTestEnv(t)
				env.entries[leaderKey] = storer.Entry{Key: leaderKey, Value: encode(leaderRecord{Host: "h2"}), ModRevision: 5}
				env.listStore()
				env.assign(cataloger.PrimaryAssignment{Service: service, ID: "p", Term: 1, Pending: cataloger.PendingPromotion{ID: "p", FormerTerm: 1}})
				env.start()
				time.Sleep(test.ago)
				env.update(func() {
					delete(env.entries, leaderKey)
					env.endpoints[2].Draining = true
					env.revision++
				})
				env.listStore()
				began := time.Now()
				time.Sleep(7 * time.Second)
				synctest.Wait()
				got := env.promotions()
				if len(got) != 1 || got[0].id != "b" {
					t.Fatalf("got promotions %+v, want one of b", got)
				}
				if took := got[0].at.Sub(began); took < test.atLeast || took > test.atMost {
					t.Errorf("promoted after %v, want between %v and %v", took, test.atLeast, test.atMost)
				}
			})
		})
	}
}
