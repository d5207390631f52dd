package limiter

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestWouldAdmit guards against a preview of the rate limit that differs from what the next
// operation gets, and against one that takes a token or counts as demand.
func TestWouldAdmit(t *testing.T) {
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	observed, other := NewFleetLimiter(clock), NewFleetLimiter(clock)
	for _, f := range []*FleetLimiter{observed, other} {
		f.SetLimits(map[string]Limit{"c": {Rate: 20, Burst: 30}})
		f.SetHosts(3)
	}
	r := rand.New(rand.NewPCG(1, 2))
	refused := 0
	for i := range 5000 {
		now = now.Add(time.Duration(r.IntN(60)) * time.Millisecond)
		wantAdmitted, wantWait := observed.WouldAdmit("c")
		for range r.IntN(5) {
			observed.WouldAdmit("c")
		}
		admitted, wait := observed.Admit("c")
		if admitted != wantAdmitted || wait != wantWait {
			t.Fatalf("operation %d: got %v, %v, preview %v, %v", i, admitted, wait, wantAdmitted, wantWait)
		}
		if admitted, wait := other.Admit("c"); admitted != wantAdmitted || wait != wantWait {
			t.Fatalf("operation %d: without previews got %v, %v, with them %v, %v", i, admitted, wait, wantAdmitted, wantWait)
		}
		if !admitted {
			refused++
		}
	}
	if refused < 100 {
		t.Errorf("got %d refusals, want at least 100", refused)
	}
}
