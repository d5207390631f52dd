package director

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/balancer"
	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/connector"
	"github.com/endiveturn/endiveturn/executor"
)

// setReplicaAddress registers the replica at another address, as the same
// incarnation.
func (f *fixture) setReplicaAddress(address string) {
	f.updateCatalog(func(c *cataloger.Catalog) {
		endpoints := append([]cataloger.Endpoint(nil), c.Endpoints["s"]...)
		endpoints[1].Address = address
		c.Endpoints = map[string][]cataloger.Endpoint{"s": endpoints}
	})
}

// TestAddressChange guards against connections that stay open at the former
// address of a database, and against sessions that wait for one of them.
func TestAddressChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(cataloger.BoundedStaleness)
		runVerb(f.newSession(), executor.VerbRead, "a")
		reader := f.newSession()
		runVerb(reader, executor.VerbBeginRead)
		if got := runVerb(reader, executor.VerbRead, "a"); got.Signature != "r" {
			t.Fatalf("got a response from %q, want r", got.Signature)
		}
		inUse := f.lastTransport
		if got := runVerb(f.newSession(), executor.VerbRead, "a"); got.Signature != "r" {
			t.Fatalf("got a response from %q, want r", got.Signature)
		}
		idle := f.lastTransport
		former := f.database("r")
		former.pool.SetLimits(connector.Limits{Guaranteed: 2})
		blocker, err := former.pool.Get(t.Context(), "c", connector.Variables{}, 0, time.Now())
		if err != nil {
			t.Fatal(err)
		}
		waited := make(chan error, 1)
		go func() {
			_, err := former.pool.Get(context.Background(), "c", connector.Variables{}, 0, time.Now().Add(time.Hour))
			waited <- err
		}()
		synctest.Wait()

		f.setReplicaAddress("new")
		select {
		case <-time.After(time.Second):
			t.Error("a session still waits for a connection to the former address")
		case err := <-waited:
			if err == nil {
				t.Error("a session got a connection to the former address")
			}
		}
		former.pool.Put(blocker)
		if !idle.isClosed() {
			t.Error("an unused connection to the former address is open")
		}
		if got := runVerb(reader, executor.VerbRead, "a"); got.Code != executor.CodeNone {
			t.Errorf("got %v %q in the open transaction, want none", got.Code, got.Text)
		}
		runVerb(reader, executor.VerbCommit)
		if !inUse.isClosed() {
			t.Error("the connection of a transaction to the former address is open after its end")
		}
		if got := runVerb(f.newSession(), executor.VerbRead, "a"); got.Signature != "r" || f.lastAddress != "new" {
			t.Errorf("got a response from %q, last connection to %q, want r and new", got.Signature, f.lastAddress)
		}
	})
}

// TestCatalogChangesBesideStatements guards against data races between a change
// of the registry and the statements that run meanwhile. It needs the race
// detector.
func TestCatalogChangesBesideStatements(t *testing.T) {
	f := newFixture(cataloger.BoundedStaleness)
	var group sync.WaitGroup
	group.Go(func() {
		for i := range 200 {
			f.updateCatalog(func(c *cataloger.Catalog) {
				endpoints := append([]cataloger.Endpoint(nil), c.Endpoints["s"]...)
				endpoints[1].Draining = i%2 == 0
				c.Endpoints = map[string][]cataloger.Endpoint{"s": endpoints}
			})
		}
	})
	for range 3 {
		group.Go(func() {
			s := f.newSession()
			for range 20 {
				for _, verb := range []executor.Verb{executor.VerbRead, executor.VerbBegin, executor.VerbWrite, executor.VerbCommit} {
					runVerb(s, verb, "a")
				}
			}
		})
	}
	group.Wait()
}

// TestAddressChangeForgetsEjection guards against an ejection at a former address of a
// database that is counted for ever, so that no other database can be ejected.
func TestAddressChangeForgetsEjection(t *testing.T) {
	f := newBalancedFixture(cataloger.BoundedStaleness)
	s := f.director.service("s")
	for range 100 {
		s.recordOutcome(f.database("p"), balancer.Read, balancer.Outcome{Class: "route", Latency: time.Millisecond})
		s.recordOutcome(f.database("r"), balancer.Read, balancer.Outcome{Class: "route", Failed: true})
	}
	if got := s.detector.EjectedCount(); got != 1 {
		t.Fatalf("ejected: got %d, want 1", got)
	}
	f.setReplicaAddress("new")
	if got := s.detector.EjectedCount(); got != 0 {
		t.Errorf("ejected after the change of address: got %d, want 0", got)
	}
}

// TestTrialIsEndedByItsAttempt guards against an ejected database that gets more than one
// trial request at a time, or that returns or stays ejected, because of attempts which are
// not its trial: those that were sent before the ejection or had no other database.
func TestTrialIsEndedByItsAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newBalancedFixture(cataloger.BoundedStaleness)
		s, replica := f.director.service("s"), f.database("r")
		key := balancer.Target{Database: replica.detectorID(), Kind: balancer.Read}
		for range 100 {
			s.recordOutcome(f.database("p"), balancer.Read, balancer.Outcome{Class: "route", Latency: time.Millisecond})
			s.recordOutcome(replica, balancer.Read, balancer.Outcome{Class: "route", Failed: true})
		}
		time.Sleep(2 * time.Second)
		if got := s.detector.State(key, time.Now()); got != balancer.HalfOpen {
			t.Fatalf("state after the pause: got %d, want half-open", got)
		}
		s.beginTrial(replica, balancer.Read)
		op, _, _ := f.newSession().admitOperation("id")
		for _, code := range []executor.Code{executor.CodeLagging, executor.CodeNone, executor.CodeRunFailed} {
			other := &attempt{operation: op, database: replica}
			other.recordOutcome(executor.Response{Code: code}, nil, time.Millisecond)
			if got := s.detector.State(key, time.Now()); got != balancer.Ejected {
				t.Errorf("after %v of another attempt: got state %d, want ejected while the trial runs", code, got)
			}
		}
		// The pause has not begun again: without an outcome the trial ends after 3 s.
		time.Sleep(3 * time.Second)
		if got := s.detector.State(key, time.Now()); got != balancer.HalfOpen {
			t.Errorf("after the trial without an outcome: got state %d, want half-open", got)
		}
	})
}

// TestServiceWithoutDatabasesIsRemoved guards against memory that grows with all services that
// ever had a database, and against a service that is removed while a change of its primary
// waits for this host.
func TestServiceWithoutDatabasesIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(cataloger.Primary)
		f.updateCatalog(func(c *cataloger.Catalog) {
			c.Endpoints = nil
			c.Assignments["s"] = cataloger.PrimaryAssignment{Service: "s", ID: "p", Revision: 4, Changing: true}
		})
		maintain := func(want bool) {
			t.Helper()
			f.director.Maintain(time.Minute)
			if got := f.director.service("s") != nil; got != want {
				t.Errorf("service exists: got %v, want %v", got, want)
			}
		}
		maintain(true)
		time.Sleep(deregisteredRetention + time.Second)
		maintain(true)
		f.updateCatalog(func(c *cataloger.Catalog) {
			c.Assignments["s"] = cataloger.PrimaryAssignment{Service: "s", ID: "p", Revision: 5}
		})
		maintain(false)
		if got := runVerb(f.newSession(), executor.VerbWrite, "x").Code; got != executor.CodeBusy {
			t.Errorf("write without databases: got %v, want %v", got, executor.CodeBusy)
		}
	})
}

// TestGracePeriod guards against an operation that uses a former primary for longer than the
// leader waits, which counts from the record of the change: because this host learned of it late,
// or because the operation got its connection late.
func TestGracePeriod(t *testing.T) {
	tests := []struct {
		name string
		// recorded is how long before this host learned of the change it was recorded, if that
		// is known, and after how long after that the operation continues.
		recorded, after time.Duration
		unknown         bool
		want            error
	}{
		{name: "at once"},
		{name: "within the period", recorded: 100 * time.Millisecond, after: 800 * time.Millisecond},
		{name: "after the period", recorded: 100 * time.Millisecond, after: 900 * time.Millisecond, want: errFenced},
		{name: "learned late", recorded: time.Second, want: errFenced},
		{name: "leader is unknown", unknown: true, want: errFenced},
		{name: "recorded in the future", recorded: -time.Hour, want: errFenced},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(cataloger.Primary)
			f.director.ViewCompleteAsOf = f.director.SinceBoot
			s := f.director.service("s")
			ref, _ := s.acquirePrimary()
			recordedAt := cataloger.ProcessTime{Host: "leader", Incarnation: "i", Uptime: time.Minute}
			f.director.LocalTime = func(at cataloger.ProcessTime) (time.Time, bool) {
				return time.Unix(1000, 0).Add(-test.recorded), at == recordedAt && !test.unknown
			}
			f.updateCatalog(func(c *cataloger.Catalog) {
				c.Assignments["s"] = cataloger.PrimaryAssignment{Service: "s", ID: "p", Changing: true, GracePeriod: time.Second, RecordedAt: recordedAt, Revision: 9}
			})
			f.now = f.now.Add(test.after)
			if got := s.bindPrimaryRef(ref, nil); !errors.Is(got, test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

// TestPositionCountsForItsPrimary guards against reads that are too old because the position in a
// late response counts as one of the primary: the database ran the statement as a replica, or
// another one is the primary by now.
func TestPositionCountsForItsPrimary(t *testing.T) {
	assign := func(id string, term uint64, revision int64) func(*fixture) {
		return func(f *fixture) {
			f.updateCatalog(func(c *cataloger.Catalog) {
				c.Assignments["s"] = cataloger.PrimaryAssignment{Service: "s", ID: id, Term: term, Revision: revision}
			})
		}
	}
	tests := []struct {
		name string
		// database runs the statement.
		database string
		// meanwhile is what happens until the response.
		meanwhile []func(*fixture)
		want      bool
	}{
		{name: "primary stays", database: "p", want: true},
		{name: "replica", database: "r"},
		{name: "replica is promoted", database: "r", meanwhile: []func(*fixture){assign("r", 1, 4)}},
		{name: "primary is replaced", database: "p", meanwhile: []func(*fixture){assign("r", 1, 4)}},
		{name: "primary is replaced and promoted again", database: "p", meanwhile: []func(*fixture){assign("r", 1, 4), assign("p", 2, 5)}},
		{name: "the same, in one step", database: "p", meanwhile: []func(*fixture){assign("p", 2, 5)}},
		{name: "primary is confirmed", database: "p", meanwhile: []func(*fixture){assign("p", 0, 4)}, want: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(cataloger.BoundedStaleness)
				s := f.director.service("s")
				if test.database == "r" {
					f.seedPosition()
				}
				f.primary.responseTime, f.replica.responseTime = time.Second, time.Second
				done := make(chan executor.Response)
				go func() { done <- runVerb(f.newSession(), executor.VerbRead, "x") }()
				time.Sleep(500 * time.Millisecond)
				s.mu.Lock()
				s.history.Reset()
				s.mu.Unlock()
				for _, change := range test.meanwhile {
					change(f)
				}
				if got := <-done; got.Signature != test.database {
					t.Fatalf("got a response of %q, want %q", got.Signature, test.database)
				}
				if _, got := s.floor(0); got != test.want {
					t.Errorf("position counts: got %v, want %v", got, test.want)
				}
			})
		})
	}
}

// TestForwardedPositionCountsForItsPrimary guards against the same with the response of a pool
// host.
func TestForwardedPositionCountsForItsPrimary(t *testing.T) {
	tests := []struct {
		name string
		// revision is that of the assignment in force on the pool host, and changes are the
		// assignments that come into force on this host meanwhile.
		revision int64
		changes  []cataloger.PrimaryAssignment
		want     bool
	}{
		{name: "same assignment", revision: 3, want: true},
		{name: "earlier assignment on the pool host", revision: 2},
		{name: "later assignment on the pool host", revision: 4},
		{name: "primary is replaced", revision: 4, changes: []cataloger.PrimaryAssignment{{Service: "s", ID: "r", Revision: 4}}},
		{name: "primary is changing", revision: 4, changes: []cataloger.PrimaryAssignment{{Service: "s", ID: "p", Changing: true, Revision: 4}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(cataloger.BoundedStaleness)
			s := f.director.service("s")
			from := s.snapshot()
			for _, assignment := range test.changes {
				f.updateCatalog(func(c *cataloger.Catalog) { c.Assignments["s"] = assignment })
			}
			s.recordRemotePosition(from, test.revision, executor.Position{Term: 1, Offset: 10})
			if _, got := s.floor(0); got != test.want {
				t.Errorf("position counts: got %v, want %v", got, test.want)
			}
		})
	}
}
