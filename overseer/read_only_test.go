package overseer

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/endiveturn/endiveturn/executor"
)

// TestReadOnlyPrimaryIsReplaced guards against a service that has no writable primary for good
// because the assigned database is a replica: another one was promoted by a request that the
// leader does not know of, or none leads.
func TestReadOnlyPrimaryIsReplaced(t *testing.T) {
	replica := executor.DatabaseStatus{Term: 2, Received: executor.Position{Term: 1, Offset: 30}}
	tests := []struct {
		name string
		// statuses replace those of the databases p, the assigned primary, and b.
		p, b executor.DatabaseStatus
		want string
		// promotions is how many promotions are requested.
		promotions int
	}{
		{name: "another database leads", p: replica, b: executor.DatabaseStatus{Primary: true, Term: 2, Received: executor.Position{Term: 2, Offset: 31}}, want: "b", promotions: 1},
		{name: "none leads, the assigned one is most advanced", p: replica, b: executor.DatabaseStatus{Term: 2, Received: executor.Position{Term: 1, Offset: 20}}, want: "p", promotions: 1},
		{name: "the assigned one leads again", p: executor.DatabaseStatus{Primary: true, Term: 3, Received: replica.Received}, b: replica, want: "p"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := newTestEnv(t)
				env.start()
				env.update(func() {
					env.statuses["p"], env.statuses["b"] = test.p, test.b
					env.members = []Member{memberReporting(Observation{SinceSuccess: time.Millisecond, RefusesWrites: true}, func() int64 { return 1 << 40 })}
				})
				time.Sleep(400 * time.Millisecond)
				env.update(func() { env.members = []Member{memberReporting(Observation{}, func() int64 { return 1 << 40 })} })
				time.Sleep(3 * time.Second)
				synctest.Wait()
				if got := env.assignment(); got.ID != test.want || got.Changing {
					t.Errorf("got assignment %+v, want %s", got, test.want)
				}
				if got := len(env.promotions()); got != test.promotions {
					t.Errorf("got %d promotions, want %d", got, test.promotions)
				}
			})
		})
	}
}

// TestChangeEndsWithLeadership guards against a promotion with a fencing token lower than that
// of another leader in between: a host lost the leadership during a change and has it again.
func TestChangeEndsWithLeadership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		env.start()
		env.update(func() {
			delete(env.statuses, "p")
			env.members = []Member{memberReporting(failedObservation, func() int64 { return 0 })}
		})
		time.Sleep(700 * time.Millisecond)
		if !env.assignment().Changing {
			t.Fatal("the change has not started")
		}
		env.overseer.mu.Lock()
		began := env.overseer.token
		env.overseer.token += 1000
		env.overseer.mu.Unlock()
		time.Sleep(10 * time.Second)
		synctest.Wait()
		for _, promotion := range env.promotions() {
			if promotion.token <= began {
				t.Errorf("got a promotion with token %d after a leadership with %d", promotion.token, began+1000)
			}
		}
		if len(env.promotions()) == 0 {
			t.Error("the change was not begun again in the new leadership")
		}
	})
}
