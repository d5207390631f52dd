package overseer

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/endiveturn/endiveturn/storer"
)

// startInEra starts the overseer with a store in its first era and waits until this host
// is the leader and has recorded the primary.
func (env *testEnv) startInEra() {
	env.era = 1
	env.listStore()
	env.start()
	time.Sleep(leaseTTL)
	synctest.Wait()
}

// TestLeadershipEndsWithEra guards against a leader that goes on in the next era, in which
// another host may lead, and against fencing tokens that are lower after a restore.
func TestLeadershipEndsWithEra(t *testing.T) {
	tests := []struct {
		name string
		// away is how long the store is away before it comes back.
		away time.Duration
		// ledBy is the time within which the former leader leads again.
		ledBy time.Duration
	}{
		{name: "lease still valid", ledBy: 2 * renewInterval},
		{name: "lease expired", away: 2 * leaseTTL, ledBy: leaseTTL + 2*renewInterval},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := newTestEnv(t)
				env.startInEra()
				former, ok := env.overseer.leaderToken()
				if !ok {
					t.Fatal("not the leader before the restore")
				}
				env.update(func() { env.storeUnavailable = true })
				time.Sleep(test.away)
				env.update(func() { env.storeUnavailable = false })
				env.restore(nil, 3)
				if _, ok := env.overseer.leaderToken(); ok {
					t.Error("still the leader right after the restore")
				}
				time.Sleep(test.ledBy)
				synctest.Wait()
				if token, ok := env.overseer.leaderToken(); !ok || token <= former {
					t.Errorf("after the restore: got token %d, leader %v, want one above %d", token, ok, former)
				}
				if got := len(env.revoked); got == 0 {
					t.Error("the lease of the former leadership was not revoked")
				}
			})
		})
	}
}

// TestNoCampaignWhileFormerLeaderMayAct guards against a leader of the next era while that
// of the former one, whose lease the store lost, has not noticed the restore.
func TestNoCampaignWhileFormerLeaderMayAct(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		env.era = 1
		other := encode(leaderRecord{Host: "h2", Incarnation: "i2"})
		if _, err := env.write(t.Context(), storer.Put{Key: leaderKey, Value: other}); err != nil {
			t.Fatal(err)
		}
		env.startInEra()
		env.restore(nil, 3)
		time.Sleep(leaseTTL - evaluateInterval)
		synctest.Wait()
		if token, ok := env.overseer.leaderToken(); ok {
			t.Errorf("leads with token %d while the lease of the former leader may be valid", token)
		}
		time.Sleep(3 * evaluateInterval)
		synctest.Wait()
		if _, ok := env.overseer.leaderToken(); !ok {
			t.Error("does not lead after every lease of the former era has expired")
		}
	})
}

// TestHostRegistersAgainAfterRestore guards against a host that stays unknown to others
// because the store restored its lease but not its key.
func TestHostRegistersAgainAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		env.startInEra()
		time.Sleep(fleetUnknownPeriod + leaseTTL)
		env.restore(nil, 3)
		time.Sleep(2 * leaseTTL)
		synctest.Wait()
		if _, ok := env.mirror.Get(hostsPrefix + "h1"); !ok {
			t.Error("the host has not registered again")
		}
	})
}
