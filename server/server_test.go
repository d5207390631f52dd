package server

import (
	"context"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/endiveturn/endiveturn/timekeeper"
)

// TestStopBeforeRun guards against a host that panics, or serves, when it is stopped
// while it starts.
func TestStopBeforeRun(t *testing.T) {
	var config net.ListenConfig
	listen := func() net.Listener {
		listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		return listener
	}
	for _, prepared := range []bool{false, true} {
		s := &Server{ClientListener: listen(), PeerListener: listen(), Logger: slog.New(slog.DiscardHandler)}
		if prepared {
			if err := s.Prepare(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		s.Stop(t.Context())
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		if err := s.Run(ctx); err != nil || ctx.Err() != nil {
			t.Errorf("prepared %v: Run returned %v, context %v; want it to return at once without an error", prepared, err, ctx.Err())
		}
		cancel()
		if _, err := s.ClientListener.Accept(); err == nil {
			t.Errorf("prepared %v: accepts clients after the stop", prepared)
		}
	}
}

// TestClockCountsSuspensions guards against a holder that takes its lease for valid after its machine
// was suspended, when another host may have taken over, and against an incarnation that a reboot
// sets back.
func TestClockCountsSuspensions(t *testing.T) {
	sinceBoot := time.Unix(3600, 0)
	defer timekeeper.Replace(func() time.Time { return sinceBoot })()
	s := &Server{Logger: slog.New(slog.DiscardHandler)}
	s.setDefaults()
	began := s.Now()
	sinceBoot = sinceBoot.Add(10 * time.Second)
	if got := s.Now().Sub(began); got != 10*time.Second {
		t.Errorf("got %v across a suspension of 10s", got)
	}
	var config net.ListenConfig
	for _, listener := range []*net.Listener{&s.ClientListener, &s.PeerListener} {
		var err error
		if *listener, err = config.Listen(t.Context(), "tcp", "127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
		defer (*listener).Close()
	}
	if err := s.createComponents(); err != nil {
		t.Fatal(err)
	}
	if got := s.gossip.Self.Incarnation; got < uint64(time.Now().Add(-time.Minute).UnixNano()) {
		t.Errorf("got incarnation %d, want the time of day", got)
	}
}
