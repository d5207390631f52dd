package hoster

import (
	"testing"
	"time"
)

// TestReload guards against a reload that changes addresses which the process
// already listens on, or that leaves the stop timeout as it was.
func TestReload(t *testing.T) {
	h := newTestHost(1)
	changed := h.Settings
	changed.StopTimeout = 9 * time.Second
	changed.ClientAddress = "127.0.0.1:9"
	before := h.Settings.ClientAddress
	h.Reload(changed)
	if got, want := h.stopTimeout(), 9*time.Second; got != want {
		t.Errorf("got stop timeout %v, want %v", got, want)
	}
	if got := h.Settings.ClientAddress; got != before {
		t.Errorf("got client address %q, want %q as before", got, before)
	}
}
