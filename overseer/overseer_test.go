package overseer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/connector"
	"github.com/endiveturn/endiveturn/executor"
	"github.com/endiveturn/endiveturn/informer"
	"github.com/endiveturn/endiveturn/storer"
)

// TestInitialPrimaryIsRecorded guards against a primary without a recorded
// assignment, whose restart without its data would go unnoticed.
func TestInitialPrimaryIsRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		env.start()
		if got := env.assignment(); got.ID != "p" || got.Changing {
			t.Errorf("got assignment %+v, want p", got)
		}
		if got := len(env.promotions()); got != 0 {
			t.Errorf("got %d promotions, want 0", got)
		}
	})
}

// TestFailover guards against a primary that fails and is not replaced, and against
// the promotion of a database that has received less than another.
func TestFailover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		env.start()
		began := time.Now()
		env.update(func() {
			delete(env.statuses, "p")
			env.members = []Member{memberReporting(failedObservation, func() int64 { return 1 << 40 })}
		})
		time.Sleep(time.Second)
		synctest.Wait()
		got := env.promotions()
		if len(got) != 1 || got[0].id != "b" {
			t.Fatalf("got promotions %+v, want one of b", got)
		}
		if took := got[0].at.Sub(began); took > 600*time.Millisecond {
			t.Errorf("promoted after %v, want at most 600ms", took)
		}
		if assignment := env.assignment(); assignment.ID != "b" || assignment.Changing || assignment.Term != 2 {
			t.Errorf("got assignment %+v, want b in term 2", assignment)
		}
		time.Sleep(5 * time.Second)
		if got := len(env.promotions()); got != 1 {
			t.Errorf("got %d promotions after 5s, want 1", got)
		}
	})
}

// TestFenceWaitsForUnreachableHost guards against a promotion while a partitioned
// host may still use the former primary.
func TestFenceWaitsForUnreachableHost(t *testing.T) {
	tests := []struct {
		name string
		// grace is the grace period of the change if a former leader has recorded it.
		grace time.Duration
		// restartedAfter is when a new process of the host acknowledges the change, 0 if none
		// does.
		restartedAfter time.Duration
		// atLeast and atMost bound the time to the promotion.
		atLeast, atMost time.Duration
	}{
		{name: "no reports", atLeast: time.Second, atMost: 2000 * time.Millisecond},
		{name: "longer grace period", grace: 3 * time.Second, atLeast: 3 * time.Second, atMost: 4000 * time.Millisecond},
		{name: "new process acknowledges", restartedAfter: 400 * time.Millisecond, atLeast: 400 * time.Millisecond, atMost: 700 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := newTestEnv(t)
				env.start()
				began := time.Now()
				env.update(func() {
					delete(env.statuses, "p")
					env.members = []Member{memberReporting(failedObservation, func() int64 { return 0 })}
				})
				if test.grace > 0 {
					record := encodeAssignment(cataloger.PrimaryAssignment{Service: service, ID: "p", Changing: true, GracePeriod: test.grace}, 0)
					if _, err := env.write(t.Context(), storer.Put{Key: assignmentsPrefix + service, Value: record, ExpectedRevision: env.assignment().Revision}); err != nil {
						t.Fatal(err)
					}
					env.listStore()
				}
				if test.restartedAfter > 0 {
					time.Sleep(test.restartedAfter)
					env.update(func() { env.members = []Member{memberReporting(failedObservation, func() int64 { return 1 << 40 })} })
				}
				time.Sleep(5 * time.Second)
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

// TestRespondingPrimaryIsKept guards against replacing a primary that hosts report as
// failing though it responds to a probe.
func TestRespondingPrimaryIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		env.start()
		env.update(func() { env.members = []Member{memberReporting(failedObservation, func() int64 { return 1 << 40 })} })
		time.Sleep(900 * time.Millisecond)
		synctest.Wait()
		if got := len(env.promotions()); got != 0 {
			t.Errorf("got %d promotions, want 0", got)
		}
	})
}

// TestBusyPrimaryIsKept guards against replacing a primary that is too busy to
// respond to a probe, as all are after the hosts have restarted at once.
func TestBusyPrimaryIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		env.overseer.Status = func(ctx context.Context, e cataloger.Endpoint) (executor.DatabaseStatus, error) {
			if e.ID == "p" {
				return executor.DatabaseStatus{}, errors.Wrap(connector.ErrTooManyConnections, "status")
			}
			return env.status(ctx, e)
		}
		env.start()
		env.update(func() { env.members = []Member{memberReporting(failedObservation, func() int64 { return 1 << 40 })} })
		time.Sleep(5 * time.Second)
		synctest.Wait()
		if got := len(env.promotions()); got != 0 {
			t.Errorf("got %d promotions, want 0", got)
		}
	})
}

// TestPartitionMustPersist guards against replacing a primary because of reports
// from hosts that were partitioned themselves and have just returned.
func TestPartitionMustPersist(t *testing.T) {
	tests := []struct {
		name string
		// reportedFor is how long the hosts report that they can't reach the
		// primary.
		reportedFor time.Duration
		want        int
	}{
		{name: "hosts reconnect", reportedFor: 300 * time.Millisecond},
		{name: "primary is partitioned", reportedFor: 3 * time.Second, want: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := newTestEnv(t)
				env.start()
				partitioned := memberReporting(Observation{SinceSuccess: 6 * time.Second, SinceFailure: 5 * time.Second}, func() int64 { return 1 << 40 })
				healthy := memberReporting(Observation{SinceSuccess: 10 * time.Millisecond}, func() int64 { return 1 << 40 })
				env.update(func() { env.members = []Member{partitioned, healthy} })
				time.Sleep(test.reportedFor)
				env.update(func() { env.members = []Member{healthy, healthy} })
				time.Sleep(2 * time.Second)
				synctest.Wait()
				if got := len(env.promotions()); got != test.want {
					t.Errorf("got %d promotions, want %d", got, test.want)
				}
			})
		})
	}
}

// TestSwitchover guards against commits that are lost when a working primary
// leaves: the new one must have received everything first.
func TestSwitchover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		env.start()
		env.update(func() {
			env.endpoints[2].Draining = true
			env.statuses["b"] = executor.DatabaseStatus{Term: 1, Received: executor.Position{Term: 1, Offset: 15}}
		})
		time.Sleep(300 * time.Millisecond)
		if got := len(env.promotions()); got != 0 {
			t.Errorf("promoted before any database had received everything")
		}
		env.update(func() {
			env.statuses["a"] = executor.DatabaseStatus{Term: 1, Received: executor.Position{Term: 1, Offset: 20}}
		})
		time.Sleep(300 * time.Millisecond)
		synctest.Wait()
		got := env.promotions()
		if len(got) != 1 || got[0].id != "a" {
			t.Fatalf("got promotions %+v, want one of a", got)
		}
		env.mu.Lock()
		defer env.mu.Unlock()
		if len(env.demoted) != 1 || env.demoted[0] != "p" {
			t.Errorf("demoted %v, want p", env.demoted)
		}
	})
}

// TestNoPromotionWithoutStore guards against two concurrent leaders: a change begins
// with a write to the store.
func TestNoPromotionWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		env.start()
		env.update(func() {
			env.storeUnavailable = true
			delete(env.statuses, "p")
			env.members = []Member{memberReporting(failedObservation, func() int64 { return 1 << 40 })}
		})
		time.Sleep(10 * time.Second)
		synctest.Wait()
		if got := len(env.promotions()); got != 0 {
			t.Errorf("got %d promotions, want 0", got)
		}
		env.update(func() { env.storeUnavailable = false })
		time.Sleep(3 * time.Second)
		synctest.Wait()
		if got := len(env.promotions()); got != 1 {
			t.Errorf("got %d promotions after the store's return, want 1", got)
		}
	})
}

// TestInterruptedChangeIsResumed guards against a service that stays without a
// primary after the leader has failed during a change.
func TestInterruptedChangeIsResumed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		assignment := cataloger.PrimaryAssignment{Service: service, ID: "p", Changing: true}
		revision, err := env.write(t.Context(), storer.Put{Key: assignmentsPrefix + service, Value: encodeAssignment(assignment, 0)})
		if err != nil {
			t.Fatal(err)
		}
		env.mirror.ApplyWrite(informer.Record{Key: assignmentsPrefix + service, Value: encodeAssignment(assignment, 0), Revision: revision})
		env.start()
		time.Sleep(time.Second)
		synctest.Wait()
		if got := env.assignment(); got.Changing || got.ID == "p" {
			t.Errorf("got assignment %+v, want another database as the primary", got)
		}
	})
}

// TestCompletedChangeIsNotResumed guards against a second promotion by a host
// whose mirror still states that the primary is being replaced, while other
// hosts continue to use the primary that the completed change has already put
// in place.
func TestCompletedChangeIsNotResumed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		changing := cataloger.PrimaryAssignment{Service: service, ID: "p", Changing: true}
		done := cataloger.PrimaryAssignment{Service: service, ID: "a", Term: 2}
		key := assignmentsPrefix + service
		first, err := env.write(t.Context(), storer.Put{Key: key, Value: encodeAssignment(changing, 0)})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := env.write(t.Context(), storer.Put{Key: key, Value: encodeAssignment(done, 0), ExpectedRevision: first}); err != nil {
			t.Fatal(err)
		}
		env.mirror.ApplyWrite(informer.Record{Key: key, Value: encodeAssignment(changing, 0), Revision: first})
		env.start()
		time.Sleep(10 * time.Second)
		synctest.Wait()
		if got := env.promotions(); len(got) != 0 {
			t.Errorf("got promotions %v, want none", got)
		}
		if got := env.assignment(); got.ID != "a" || got.Changing {
			t.Errorf("got assignment %+v, want the one that the store holds", got)
		}
	})
}

// TestFormerPrimaryIsRestored guards against a service without a primary when all
// candidates are gone by the time that no host uses the former primary any more, and
// the former primary responds again.
func TestFormerPrimaryIsRestored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		env.start()
		primary := env.statuses["p"]
		env.update(func() {
			delete(env.statuses, "p")
			env.members = []Member{memberReporting(failedObservation, func() int64 { return 0 })}
		})
		time.Sleep(800 * time.Millisecond)
		synctest.Wait()
		if !env.assignment().Changing {
			t.Fatal("the change has not started")
		}
		env.update(func() {
			env.statuses = map[string]executor.DatabaseStatus{"p": primary}
			env.members = nil
		})
		time.Sleep(3 * time.Second)
		synctest.Wait()
		if got := env.assignment(); got.Changing || got.ID != "p" {
			t.Errorf("got assignment %+v, want p as the primary again", got)
		}
		if got := len(env.promotions()); got != 0 {
			t.Errorf("got %d promotions, want 0", got)
		}
	})
}

// TestStoppedCandidateIsSkipped guards against a change that keeps trying to promote
// a database which has stopped in the meantime.
func TestStoppedCandidateIsSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		env.start()
		env.update(func() {
			delete(env.statuses, "p")
			env.notRunning["b"] = true
			env.members = []Member{memberReporting(failedObservation, func() int64 { return 1 << 40 })}
		})
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if got := env.assignment(); got.ID != "a" || got.Changing {
			t.Errorf("got assignment %+v, want a", got)
		}
	})
}

// TestRecords guards against malformed records, such as those of other versions,
// that make a host fail.
func TestRecords(t *testing.T) {
	assignment := cataloger.PrimaryAssignment{
		Service: service, ID: "p", StartedAtMillis: 7, Term: 3, Changing: true, GracePeriod: time.Second, Revision: 4,
		RecordedAt: cataloger.ProcessTime{Host: "h1", Incarnation: "i1", Uptime: 5 * time.Second},
		Pending:    cataloger.PendingPromotion{ID: "a", StartedAtMillis: 8, FormerTerm: 3},
	}
	got, ok, err := DecodeAssignment(assignmentsPrefix+service, encodeAssignment(assignment, 0), 4)
	if !ok || err != nil || got != assignment {
		t.Errorf("got %+v, %v, %v, want %+v", got, ok, err, assignment)
	}
	former := `{"id":"p","born":7,"term":3,"moving":true,"grace":"1s","era":0}`
	assignment.Pending, assignment.RecordedAt = cataloger.PendingPromotion{}, cataloger.ProcessTime{}
	if got, ok, err := DecodeAssignment(assignmentsPrefix+service, []byte(former), 4); !ok || err != nil || got != assignment {
		t.Errorf("record of a former version: got %+v, %v, %v, want %+v", got, ok, err, assignment)
	}
	if got := string(encodeAssignment(assignment, 0)); got != former {
		t.Errorf("got %s without a pending promotion, want %s", got, former)
	}
	for _, key := range []string{assignmentsPrefix + "x", hostsPrefix + "x"} {
		_, isAssignment, assignmentErr := DecodeAssignment(key, []byte("{"), 1)
		_, isHost, hostErr := DecodeHost(key, []byte("{"), 1)
		if (isAssignment && assignmentErr == nil) || (isHost && hostErr == nil) || isAssignment == isHost {
			t.Errorf("%s: got %v, %v, want an error of one kind of record", key, assignmentErr, hostErr)
		}
	}
	if errors.Is(ErrNotRunning, errNoCandidate) {
		t.Error("ErrNotRunning matches errNoCandidate")
	}
}
