package overseer

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/endiveturn/endiveturn/executor"
)

// TestMostAdvancedReplicaIsAwaited guards against the loss of acknowledged commits: a replica
// that lacks them is promoted, because the one that has them is too busy to answer, does not
// answer for a while or is about to leave.
func TestMostAdvancedReplicaIsAwaited(t *testing.T) {
	const lagging, complete = "a", "b"
	tests := []struct {
		name         string
		syncReplicas int
		// busy, silent and draining apply to the complete replica until it recovers.
		busy, silent, draining bool
		// recoversAfter is when the complete replica answers, 0 if it never does, and
		// leavesAfter when it leaves the registry, 0 if it does not.
		recoversAfter, leavesAfter time.Duration
		want                       string
		// atMost bounds the time to the promotion.
		atMost time.Duration
	}{
		{name: "both answer", want: complete, atMost: time.Second},
		{name: "busy for a moment", busy: true, recoversAfter: 300 * time.Millisecond, want: complete, atMost: 2 * time.Second},
		{name: "busy for long", busy: true, want: lagging, atMost: 4 * time.Second},
		{name: "silent", silent: true, want: lagging, atMost: 3 * time.Second},
		{name: "synchronous, both answer", syncReplicas: 1, want: complete, atMost: time.Second},
		{name: "synchronous, busy for long", syncReplicas: 1, busy: true, recoversAfter: 8 * time.Second, want: complete, atMost: 12 * time.Second},
		{name: "synchronous, silent", syncReplicas: 1, silent: true, recoversAfter: 8 * time.Second, want: complete, atMost: 12 * time.Second},
		{name: "synchronous, silent for good", syncReplicas: 1, silent: true, want: ""},
		{name: "synchronous, gone", syncReplicas: 1, silent: true, leavesAfter: 8 * time.Second, want: lagging, atMost: 12 * time.Second},
		{name: "synchronous, draining", syncReplicas: 1, draining: true, want: complete, atMost: 2 * time.Second},
		{name: "two synchronous, silent", syncReplicas: 2, silent: true, want: lagging, atMost: 3 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := newTestEnv(t)
				env.syncReplicas = test.syncReplicas
				env.statuses[lagging] = executor.DatabaseStatus{Term: 1, Received: executor.Position{Term: 1, Offset: 15}}
				status := env.statuses[complete]
				env.start()
				time.Sleep(entryReturnTime)
				began := time.Now()
				env.update(func() {
					delete(env.statuses, "p")
					env.members = []Member{memberReporting(failedObservation, func() int64 { return 1 << 40 })}
					env.busy = map[string]bool{complete: test.busy}
					env.endpoints[1].Draining = test.draining
					if test.silent {
						delete(env.statuses, complete)
					}
				})
				if test.recoversAfter > 0 {
					time.Sleep(test.recoversAfter)
					env.update(func() {
						env.busy = nil
						env.statuses[complete] = status
					})
				}
				if test.leavesAfter > 0 {
					time.Sleep(test.leavesAfter)
					env.update(func() { env.endpoints = append(env.endpoints[:1], env.endpoints[2:]...) })
				}
				time.Sleep(15 * time.Second)
				synctest.Wait()
				got := env.promotions()
				if test.want == "" {
					if len(got) != 0 {
						t.Errorf("got promotions %+v, want none", got)
					}
					return
				}
				if len(got) == 0 || got[0].id != test.want {
					t.Fatalf("got promotions %+v, want one of %s first", got, test.want)
				}
				if took := got[0].at.Sub(began); took > test.atMost {
					t.Errorf("promoted after %v, want at most %v", took, test.atMost)
				}
			})
		})
	}
}
