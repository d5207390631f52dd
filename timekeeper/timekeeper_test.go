package timekeeper

import (
	"testing"
	"time"
)

// TestNow guards against instants that go back or carry a monotonic reading,
// which does not count suspensions.
func TestNow(t *testing.T) {
	first := Now()
	time.Sleep(5 * time.Millisecond)
	second := Now()
	if got := second.Sub(first); got < 5*time.Millisecond {
		t.Errorf("got %v between two instants, want at least 5ms", got)
	}
	if got := second.Round(0); got != second {
		t.Errorf("got a monotonic reading in %v", second)
	}
}
