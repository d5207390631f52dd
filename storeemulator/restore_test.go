package storeemulator_test

import (
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/storer"
)

// TestRestore guards against an emulator that keeps anything which it acknowledged after
// the copy, so that no test would show what such a loss does to hosts.
func TestRestore(t *testing.T) {
	e, now, _, c := startEmulator(t)
	write := func(key, value string, expected int64, lease storer.LeaseID) storer.Entry {
		t.Helper()
		swapped, entry, err := c.CompareAndSwap(t.Context(), key, expected, []byte(value), lease)
		if err != nil || !swapped {
			t.Fatalf("write %s: got %v, %v", key, swapped, err)
		}
		return entry
	}
	kept := write("kept", "before", 0, 0)
	now.add(3 * time.Second)
	lost := write("kept", "after", kept.ModRevision, 0)
	lease, err := c.GrantLease(t.Context(), time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	write("leased", "after", 0, lease)
	e.Restore(2 * time.Second)
	got, err := c.Get(t.Context(), "kept")
	if err != nil || string(got.Value) != "before" || got.ModRevision != kept.ModRevision {
		t.Errorf("kept key: got %+v, %v, want %+v", got, err, kept)
	}
	if _, err := c.Get(t.Context(), "leased"); !errors.Is(err, storer.ErrNotFound) {
		t.Errorf("key written after the copy: got error %v, want %v", err, storer.ErrNotFound)
	}
	if err := c.RenewLease(t.Context(), lease); !errors.Is(err, storer.ErrLeaseExpired) {
		t.Errorf("lease granted after the copy: got error %v, want %v", err, storer.ErrLeaseExpired)
	}
	if again := write("kept", "again", kept.ModRevision, 0); again.ModRevision != lost.ModRevision {
		t.Errorf("first revision after the restore: got %d, want %d again", again.ModRevision, lost.ModRevision)
	}
}
