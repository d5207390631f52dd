package overseer

import (
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/executor"
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
		// The former leader leads again after notBefore and by ledBy.
		notBefore, ledBy time.Duration
	}{
		{name: "lease still valid", ledBy: 3 * renewInterval},
		{name: "lease expired", away: 2 * leaseTTL, notBefore: leaseTTL - evaluateInterval, ledBy: leaseTTL + 2*renewInterval},
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
				env.restoreUnseen(nil, 3)
				time.Sleep(renewInterval)
				synctest.Wait()
				env.listStore()
				time.Sleep(test.notBefore - renewInterval)
				synctest.Wait()
				if token, ok := env.overseer.leaderToken(); ok && (test.notBefore > 0 || token == former) {
					t.Error("leads while another leader of the former era may act")
				}
				time.Sleep(test.ledBy - test.notBefore)
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

// TestPrimaryIsConfirmedAfterRestore guards against a former primary that is in force again
// because the store lost the record of its replacement, and against a needless change.
func TestPrimaryIsConfirmedAfterRestore(t *testing.T) {
	tests := []struct {
		name string
		// confirmed is set if the other hosts confirm the leader's view.
		confirmed bool
		// lost is set if the copy has no assignment.
		lost bool
		// promoted are the databases that are promoted after the restore.
		promoted []string
	}{
		{name: "view confirmed by the other hosts", confirmed: true},
		{name: "assignment lost, view confirmed", confirmed: true, lost: true},
		{name: "view not confirmed", promoted: []string{"b"}},
		{name: "assignment lost, view not confirmed", lost: true, promoted: []string{"b"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := newTestEnv(t)
				env.startInEra()
				older, olderRevision := maps.Clone(env.entries), env.revision
				delete(older, leaderKey)
				if test.lost {
					delete(older, assignmentsPrefix+service)
				}
				env.promoteReplica()
				env.restore(older, olderRevision)
				before := len(env.promotions())
				for range 40 {
					time.Sleep(evaluateInterval)
					env.update(func() {
						if test.confirmed {
							env.viewCompleteAsOf = time.Now()
						}
					})
				}
				synctest.Wait()
				got := env.assignment()
				if got.ID != "b" || got.Changing || storer.EraOf(got.Revision) != 2 {
					t.Errorf("got assignment %+v, want b in era 2", got)
				}
				promotions := env.promotions()[before:]
				if len(promotions) != len(test.promoted) {
					t.Fatalf("got promotions %+v, want %v", promotions, test.promoted)
				}
				for i, want := range test.promoted {
					if promotions[i].id != want {
						t.Errorf("promotion %d: got %s, want %s", i, promotions[i].id, want)
					}
				}
			})
		})
	}
}

// promoteReplica makes database b the primary of the service in place of p, which takes no
// notice.
func (env *testEnv) promoteReplica() {
	env.update(func() {
		env.statuses["b"] = executor.DatabaseStatus{Primary: true, Term: 2, Received: executor.Position{Term: 2, Offset: 21}}
	})
	written, err := env.overseer.writeAssignment(env.t.Context(), cataloger.PrimaryAssignment{
		Service: service, ID: "b", Term: 2, Revision: env.assignment().Revision,
	})
	if err != nil || written.ID != "b" {
		env.t.Fatalf("assign b: got %+v, %v", written, err)
	}
}

// TestHostRegistersAgainAfterRestore guards against a host that stays unknown to others
// because the store restored its lease but not its key.
func TestHostRegistersAgainAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		env.startInEra()
		time.Sleep(2 * leaseTTL)
		env.restore(nil, 3)
		time.Sleep(2 * leaseTTL)
		synctest.Wait()
		if _, ok := env.mirror.Get(hostsPrefix + "h1"); !ok {
			t.Error("the host has not registered again")
		}
	})
}

// TestWrittenIn guards against hosts that use no primary while a leader of a former version,
// which writes no eras, is in office.
func TestWrittenIn(t *testing.T) {
	tests := []struct {
		name, key, value string
		era              int64
		ok               bool
	}{
		{name: "assignment", key: assignmentsPrefix + "s", value: `{"id":"p","grace":"0s","era":3}`, era: 3, ok: true},
		{name: "store without eras", key: assignmentsPrefix + "s", value: `{"id":"p","grace":"0s","era":0}`, ok: true},
		{name: "former version", key: assignmentsPrefix + "s", value: `{"id":"p","grace":"0s"}`},
		{name: "malformed", key: assignmentsPrefix + "s", value: `{`},
		{name: "other record", key: hostsPrefix + "h1", value: `{"era":3}`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if era, ok := WrittenIn(test.key, []byte(test.value)); era != test.era || ok != test.ok {
				t.Errorf("got %d, %v, want %d, %v", era, ok, test.era, test.ok)
			}
		})
	}
}
