package overseer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/storer"
)

// TestStoppingLeaderReplacesPrimary guards against a fleet without a working leader
// while the leader waits for its sessions to end.
func TestStoppingLeaderReplacesPrimary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		env.start()
		env.overseer.StopCampaigning()
		time.Sleep(5 * leaseTTL)
		env.update(func() {
			delete(env.statuses, "p")
			env.members = []Member{memberReporting(failedObservation, func() int64 { return 1 << 40 })}
		})
		time.Sleep(time.Second)
		synctest.Wait()
		if got := len(env.promotions()); got != 1 {
			t.Errorf("got %d promotions by the stopping leader, want 1", got)
		}
	})
}

// TestStoppedHostHoldsNoLease guards against a host that has stopped and stays
// registered, or stays the leader, until a lease expires that it took during Stop.
func TestStoppedHostHoldsNoLease(t *testing.T) {
	tests := []struct {
		name string
		// grantDelay and revokeDelay are how long the store takes.
		grantDelay, revokeDelay time.Duration
		// stopAfter is the time from the start to Stop.
		stopAfter time.Duration
	}{
		{name: "renewal while leases are revoked", revokeDelay: 2 * renewInterval, stopAfter: time.Second},
		{name: "registration in progress", grantDelay: 400 * time.Millisecond, stopAfter: 200 * time.Millisecond},
		{name: "campaign in progress", grantDelay: 400 * time.Millisecond, stopAfter: 600 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := newTestEnv(t)
				held := make(map[storer.LeaseID]bool)
				env.overseer.Store.Grant = func(ctx context.Context, ttl time.Duration) (storer.LeaseID, error) {
					time.Sleep(test.grantDelay)
					id, err := env.grant(ctx, ttl)
					env.update(func() { held[id] = true })
					return id, err
				}
				env.overseer.Store.Revoke = func(ctx context.Context, id storer.LeaseID) error {
					time.Sleep(test.revokeDelay)
					env.update(func() { delete(held, id) })
					return env.revoke(ctx, id)
				}
				// The lease of the record that the host has left shows no other host as registered.
				env.overseer.Store.Write = func(ctx context.Context, put storer.Put) (int64, error) {
					if r, ok, err := DecodeHost(put.Key, put.Value, 0); ok && err == nil && r.State == StateEnded {
						env.update(func() { delete(held, put.Lease) })
					}
					return env.write(ctx, put)
				}
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan struct{})
				go func() {
					defer close(done)
					// Run always returns the error of the context.
					_ = env.overseer.Run(ctx)
				}()
				time.Sleep(test.stopAfter)
				env.overseer.Stop(t.Context())
				time.Sleep(time.Second)
				synctest.Wait()
				env.update(func() {
					if len(held) > 0 || env.leases == 0 {
						t.Errorf("holds leases %v of %d after Stop, want none of at least one", held, env.leases)
					}
				})
				if _, ok := env.overseer.leaderToken(); ok {
					t.Error("still the leader after Stop")
				}
				cancel()
				<-done
				time.Sleep(time.Minute)
			})
		})
	}
}

// TestStoppedHostHasEnded guards against a host that has left in order and is taken for one that
// may be cut off, and against a process that is taken for ended because a former one is.
func TestStoppedHostHasEnded(t *testing.T) {
	tests := []struct {
		name string
		// replaced is set if a later process of the host has registered, unavailable if the
		// store can't be reached, and restored if it came back from a copy with the record.
		replaced, unavailable, restored bool
		want                            RegistrationState
		revoked                         int
	}{
		{name: "registered", want: StateEnded, revoked: 1},
		{name: "replaced", replaced: true, want: StateRegistered, revoked: 2},
		{name: "store unavailable", unavailable: true, want: StateRegistered, revoked: 2},
		{name: "store restored", restored: true, want: StateUnknown, revoked: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := newTestEnv(t)
				env.start()
				key := hostsPrefix + "h1"
				if test.replaced {
					env.update(func() {
						env.revision++
						record := encodeHost(cataloger.Host{Name: "h1", Incarnation: "i2", Address: "127.0.0.1:1"})
						env.entries[key] = storer.Entry{Key: key, Value: record, ModRevision: env.revision}
					})
					env.listStore()
				}
				env.update(func() { env.storeUnavailable = test.unavailable })
				env.overseer.Stop(t.Context())
				entry := env.entries[key]
				if test.restored {
					entry.ModRevision = storer.JoinRevision(1, entry.ModRevision)
				}
				got, _, err := DecodeHost(key, entry.Value, entry.ModRevision)
				if err != nil || got.State != test.want || len(env.revoked) != test.revoked {
					t.Errorf("got state %v, %v and %d leases revoked, want %v and %d", got.State, err, len(env.revoked), test.want, test.revoked)
				}
			})
		})
	}
}
