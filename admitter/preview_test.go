package admitter

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestPreview guards against a preview of a slot that differs from what the next request gets,
// and against one that changes what it gets.
func TestPreview(t *testing.T) {
	now := time.Unix(1000, 0)
	r := rand.New(rand.NewPCG(3, 4))
	gate := &Gate{Now: func() time.Time { return now }}
	gate.SetSlots(4)
	var open []*Ticket
	states := make(map[State]int)
	for i := range 10000 {
		gap := 4 // bursts, in which requests wait and are refused, and calm times alternate
		if i/500%2 == 0 {
			gap = 40
		}
		now = now.Add(time.Duration(r.IntN(gap)) * time.Millisecond)
		for j := 0; j < len(open); j++ {
			t := open[j]
			switch {
			case t.State == Waiting:
				gate.expire(t)
			case t.State == Refused || r.IntN(gap) > 8 || r.IntN(16) == 0:
				gate.Release(t, true)
				open = append(open[:j], open[j+1:]...)
				j--
			}
		}
		request := newRequest([]string{"a", "b", "c"}[r.IntN(3)], r.IntN(3), now)
		preview := gate.Preview(request)
		if again := gate.Preview(request); again.State != preview.State || again.Queued != preview.Queued || again.Backlog != preview.Backlog {
			t.Fatalf("request %d: second preview %+v, first %+v", i, again, preview)
		}
		ticket := gate.add(request)
		if ticket.State != preview.State {
			t.Fatalf("request %d: got state %v, preview %v", i, ticket.State, preview.State)
		}
		if ticket.Refusal != nil && *ticket.Refusal != *preview.Refusal {
			t.Fatalf("request %d: got refusal %+v, preview %+v", i, *ticket.Refusal, *preview.Refusal)
		}
		states[ticket.State]++
		open = append(open, ticket)
	}
	for _, state := range []State{Granted, Waiting, Refused} {
		if states[state] < 500 {
			t.Errorf("got %d tickets of state %v in %v, want at least 500", states[state], state, states)
		}
	}
}
