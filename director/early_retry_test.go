package director

import (
	"testing"
	"time"

	"github.com/endiveturn/endiveturn/cataloger"
)

// TestEarlyRetriesAreBounded guards against a service that gets each read twice because
// all its databases are slow, and against early timeouts that count as failures of a
// primary.
func TestEarlyRetriesAreBounded(t *testing.T) {
	f := newBalancedFixture(cataloger.BoundedStaleness)
	s := f.director.service("s")
	replica, primary := f.database("r"), f.database("p")
	op := &operation{session: f.newSession(), service: s, route: f.catalog.Configuration.Routes["db"], began: time.Now()}
	early := func(db *database, ref *primaryRef) bool {
		_, ok := (&attempt{operation: op, database: db, primaryRef: ref}).earlyDeadline()
		return ok
	}
	if early(replica, nil) {
		t.Error("a read may be retried early before any response")
	}
	for range 1000 {
		s.recordLatency(replica, 10*time.Millisecond)
	}
	if early(primary, &primaryRef{database: primary}) {
		t.Error("a read at the primary may be retried early")
	}
	retries := 0
	for ; early(replica, nil); retries++ {
		s.recordEarlyRetry()
	}
	if retries == 0 || retries > maxEarlyRetries {
		t.Errorf("%d reads in a row may be retried early, want 1 to %v", retries, maxEarlyRetries)
	}
}

// TestEarlyRetryLeavesTimeWithoutLatency guards against a read that waited for its slot and
// then times out at once on a database whose response time is not known yet, which counts
// as a failure of that database.
func TestEarlyRetryLeavesTimeWithoutLatency(t *testing.T) {
	f := newBalancedFixture(cataloger.BoundedStaleness)
	s := f.director.service("s")
	for range 1000 {
		s.recordLatency(f.database("p"), 10*time.Millisecond)
	}
	op := &operation{session: f.newSession(), service: s, route: f.catalog.Configuration.Routes["db"], began: time.Now().Add(-300 * time.Millisecond)}
	deadline, ok := (&attempt{operation: op, database: f.database("r")}).earlyDeadline()
	if left := time.Until(deadline); !ok || left < 10*time.Millisecond {
		t.Errorf("early retry %v, %v left for the response, want at least 10ms", ok, left)
	}
}
