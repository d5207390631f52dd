package overseer

import (
	"testing"
	"time"

	"github.com/endiveturn/endiveturn/cataloger"
)

// TestEvaluate guards against keeping a primary that fails or leaves, and against
// replacing one that works.
func TestEvaluate(t *testing.T) {
	responding := Observation{SinceSuccess: 20 * time.Millisecond}
	busy := Observation{SinceSuccess: 200 * time.Millisecond, SinceFailure: 2 * time.Second}
	failing := Observation{SinceSuccess: time.Second, SinceFailure: 300 * time.Millisecond}
	longFailing := Observation{SinceSuccess: 3 * time.Second, SinceFailure: 2 * time.Second}
	newlyFailing := Observation{SinceSuccess: 100 * time.Millisecond, SinceFailure: 10 * time.Millisecond}
	base := ServiceState{Registered: true, Hosts: 4, Candidates: 2}
	with := func(change func(*ServiceState)) ServiceState {
		s := base
		change(&s)
		return s
	}
	observations := func(list ...Observation) ServiceState {
		return with(func(s *ServiceState) { s.Observations = list })
	}
	tests := []struct {
		name  string
		state ServiceState
		want  Reason
	}{
		{name: "healthy", state: observations(responding, responding, responding, responding)},
		{name: "no observations", state: base},
		{name: "all fail", state: observations(failing, failing, failing), want: ReasonFailing},
		{name: "fails for the only host that uses it", state: observations(failing), want: ReasonFailing},
		{name: "busy but responding", state: observations(busy, busy, busy, busy)},
		{name: "started to fail recently", state: observations(newlyFailing, newlyFailing)},
		{name: "short failure on some hosts", state: observations(failing, failing, responding, responding)},
		{name: "unreachable from half of the hosts", state: observations(longFailing, longFailing, responding, responding), want: ReasonPartitioned},
		{name: "unreachable from one of four hosts", state: observations(longFailing, responding, responding, responding)},
		{name: "unregistered", state: with(func(s *ServiceState) { s.Registered = false }), want: ReasonUnregistered},
		{name: "unregistered, no candidates", state: with(func(s *ServiceState) { s.Registered, s.Candidates = false, 0 })},
		{name: "draining", state: with(func(s *ServiceState) { s.Primary.Draining = true }), want: ReasonDraining},
		{name: "evacuated", state: with(func(s *ServiceState) { s.Evacuated = true }), want: ReasonEvacuated},
		{name: "refuses writes", state: observations(responding, Observation{SinceSuccess: time.Millisecond, RefusesWrites: true}), want: ReasonReadOnly},
		{name: "interrupted change", state: with(func(s *ServiceState) { s.Assignment.Changing, s.Candidates = true, 0 }), want: ReasonInterrupted},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := Evaluate(test.state); got != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}

// TestMostAdvanced guards against a promotion that loses commits which another
// database has received.
func TestMostAdvanced(t *testing.T) {
	candidate := func(id string, term, offset uint64, reachable bool) Candidate {
		return Candidate{Endpoint: cataloger.Endpoint{ID: id}, Term: term, Offset: offset, Reachable: reachable}
	}
	tests := []struct {
		name       string
		candidates []Candidate
		want       int
	}{
		{name: "none", want: -1},
		{name: "none reachable", candidates: []Candidate{candidate("a", 1, 5, false)}, want: -1},
		{name: "highest offset", candidates: []Candidate{candidate("a", 1, 5, true), candidate("b", 1, 9, true)}, want: 1},
		{name: "later term with fewer entries", candidates: []Candidate{candidate("a", 2, 5, true), candidate("b", 1, 9, true)}, want: 0},
		{name: "unreachable candidate is skipped", candidates: []Candidate{candidate("a", 1, 5, true), candidate("b", 1, 9, false)}, want: 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := MostAdvanced(test.candidates); got != test.want {
				t.Errorf("got %d, want %d", got, test.want)
			}
		})
	}
}
