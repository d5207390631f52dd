package hoster

import (
	"context"
	"testing"
	"time"

	"github.com/endiveturn/endiveturn/director"
	"github.com/endiveturn/endiveturn/timekeeper"
)

// TestRefusedConnectionConfirmsNothing guards against two primaries while a data centre is
// cut off and its connections are reset: a machine that refuses a connection may still run
// its host, which may have replaced a primary.
func TestRefusedConnectionConfirmsNothing(t *testing.T) {
	h := newTestHost(3)
	h.Settings.PeerAddress = "127.0.0.1:2"
	ctx, cancel := context.WithTimeout(t.Context(), director.MaxViewAge+300*time.Millisecond)
	defer cancel()
	if err := h.exchanger.Run(ctx); err == nil {
		t.Fatal("the exchanger ended before its context")
	}
	if age := timekeeper.Now().Sub(h.viewCompleteAsOf()); age < director.MaxViewAge {
		t.Errorf("the view is fresh as of %v ago although both other hosts refuse connections, want it outdated", age)
	}
}
