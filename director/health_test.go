package director

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/executor"
)

var errTest = errors.New("no response")

// TestIdleTransactionIsNoFailure guards against a primary that hosts report as
// failing, and that the leader then replaces, because a client leaves its
// transaction idle and nothing else runs.
func TestIdleTransactionIsNoFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(cataloger.Primary)
		s := f.newSession()
		runVerb(s, executor.VerbBegin)
		for _, verb := range []executor.Verb{executor.VerbWrite, executor.VerbRead} {
			runVerb(s, verb, "a x")
			time.Sleep(2 * time.Second)
			if got := f.director.PrimaryHealths()["s"].SinceFailure; got != 0 {
				t.Errorf("the primary counts as failing for %v, want 0", got)
			}
		}
		runVerb(s, executor.VerbRollback)
	})
}

// TestMissingResponseIsFailure guards against a primary that leaves statements
// without a response and counts as healthy: a single one, or one of a transaction
// that was idle before.
func TestMissingResponseIsFailure(t *testing.T) {
	const responseTime = 900 * time.Millisecond
	for _, inTransaction := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(cataloger.Primary)
			s := f.newSession()
			if inTransaction {
				runVerb(s, executor.VerbBegin)
				runVerb(s, executor.VerbWrite, "a x")
				time.Sleep(2 * time.Second)
			}
			f.primary.responseTime = responseTime
			done := make(chan struct{})
			go func() {
				runVerb(s, executor.VerbWrite, "a x")
				close(done)
			}()
			const waited = suspicionTimeout + 100*time.Millisecond
			time.Sleep(waited)
			if got, want := f.director.PrimaryHealths()["s"].SinceFailure, waited-suspicionTimeout; got != want {
				t.Errorf("in a transaction: %v: the primary counts as failing for %v, want %v", inTransaction, got, want)
			}
			<-done
			if got := f.director.PrimaryHealths()["s"].SinceFailure; got != 0 {
				t.Errorf("in a transaction: %v: the primary counts as failing for %v after its response, want 0", inTransaction, got)
			}
			f.primary.responseTime = 0
			runVerb(s, executor.VerbRollback)
		})
	}
}

// TestReadOnlyPrimaryIsReported guards against a service without a writable primary for good:
// the assigned database refuses every write as a replica, and counts as healthy.
func TestReadOnlyPrimaryIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(cataloger.Primary)
		s := f.newSession()
		runVerb(s, executor.VerbWrite, "a x")
		if f.director.PrimaryHealths()["s"].RefusesWrites {
			t.Error("a primary that accepts writes counts as one that refuses them")
		}
		f.primary.refuse[executor.VerbWrite] = executor.CodeReadOnly
		runVerb(s, executor.VerbWrite, "a x")
		if !f.director.PrimaryHealths()["s"].RefusesWrites {
			t.Error("a primary that refuses writes is not reported")
		}
		time.Sleep(readOnlyWindow)
		if f.director.PrimaryHealths()["s"].RefusesWrites {
			t.Error("a primary counts as one that refuses writes long after it refused one")
		}
	})
}

// TestFailuresBeforeAssignmentAreNotReported guards against replacing a primary that has just
// been assigned, because of failures that the host observed while it was a replica, and
// against reporting a replica as reachable that fails.
func TestFailuresBeforeAssignmentAreNotReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(cataloger.Primary)
		s := f.director.services["s"]
		replica := s.databases[endpointKey{id: "r"}]
		s.recordFailure(replica, errTest)
		s.recordReadOnly(replica)
		s.recordWaitStart(replica)
		time.Sleep(500 * time.Millisecond)
		if got := f.director.PrimaryHealths()["s"].Unreachable; len(got) != 1 || got[0] != "r" {
			t.Errorf("got unreachable databases %v, want r", got)
		}
		f.updateCatalog(func(c *cataloger.Catalog) {
			c.Assignments = map[string]cataloger.PrimaryAssignment{"s": {Service: "s", ID: "r", Revision: 6}}
		})
		time.Sleep(100 * time.Millisecond)
		if got := f.director.PrimaryHealths()["s"]; got.SinceFailure > 0 || got.RefusesWrites || len(got.Unreachable) > 0 {
			t.Errorf("got health %+v of the new primary, want no failure", got)
		}
		s.recordFailure(replica, errTest)
		time.Sleep(200 * time.Millisecond)
		if got, want := f.director.PrimaryHealths()["s"].SinceFailure, 300*time.Millisecond; got != want {
			t.Errorf("the primary counts as failing for %v, want %v since its assignment", got, want)
		}
	})
}
