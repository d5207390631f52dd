package storer_test

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/storeemulator"
	"github.com/endiveturn/endiveturn/storer"
)

// TestWatch guards against a watch that misses a change after it was confirmed: a
// revoked key would remain valid until the next poll.
func TestWatch(t *testing.T) {
	e, _, c := startEmulator(t)
	put(t, c, "head", "before")
	changes := make(chan storer.Entry, 10)
	established, ended := startWatch(t.Context(), c, changes)
	<-established
	put(t, c, "head2", "x")
	put(t, c, "other", "x")
	if _, err := c.Delete(t.Context(), "head", 2); err != nil {
		t.Fatal(err)
	}
	want := []storer.Entry{{Key: "head2", ModRevision: 3}, {Key: "head"}}
	for _, w := range want {
		if got := <-changes; got.Key != w.Key || got.ModRevision != w.ModRevision {
			t.Errorf("got change %s at %d, want %s at %d", got.Key, got.ModRevision, w.Key, w.ModRevision)
		}
	}
	if got := e.OpenWatches(); got != 1 {
		t.Errorf("got %d watches, want 1", got)
	}
	if got := c.Counts()[storer.OperationWatch]; got != 1 {
		t.Errorf("the client counts %d watches, want 1", got)
	}
	e.SetFailureMode(storeemulator.Refuse)
	if err := <-ended; !errors.Is(err, storer.ErrUnavailable) {
		t.Errorf("got %v when the store went down, want ErrUnavailable", err)
	}
}

// TestWatchNotConfirmed guards against a Watch that waits forever for the
// response of a store that hangs.
func TestWatchNotConfirmed(t *testing.T) {
	e, _, c := startEmulator(t)
	c.Timeout = 100 * time.Millisecond
	put(t, c, "a", "v")
	e.SetFailureMode(storeemulator.Hang)
	_, ended := startWatch(t.Context(), c, nil)
	if err := <-ended; !errors.Is(err, storer.ErrUnavailable) {
		t.Errorf("got %v, want ErrUnavailable", err)
	}
}

// TestWatchEndsWithContext guards against a Watch that does not return when its
// context ends while no goroutine receives its changes.
func TestWatchEndsWithContext(t *testing.T) {
	_, _, c := startEmulator(t)
	ctx, cancel := context.WithCancel(t.Context())
	established, ended := startWatch(ctx, c, make(chan storer.Entry))
	<-established
	put(t, c, "head", "v")
	cancel()
	if err := <-ended; !errors.Is(err, context.Canceled) {
		t.Errorf("got %v, want context.Canceled", err)
	}
}

func startWatch(ctx context.Context, c *storer.Client, changes chan storer.Entry) (established <-chan struct{}, ended <-chan error) {
	confirmed, result := make(chan struct{}), make(chan error, 1)
	go func() { result <- c.Watch(ctx, "head", func() { close(confirmed) }, changes) }()
	return confirmed, result
}
