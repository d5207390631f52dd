package overseer

import (
	"testing"
	"time"

	"github.com/endiveturn/endiveturn/cataloger"
)

// TestJudge guards against primaries that stay though they fail or leave, and
// against working ones that are replaced.
func TestJudge(t *testing.T) {
	ok := Opinion{SinceSuccess: 20 * time.Millisecond}
	busy := Opinion{SinceSuccess: 200 * time.Millisecond, SinceFailure: 2 * time.Second}
	failing := Opinion{SinceSuccess: time.Second, SinceFailure: 300 * time.Millisecond}
	long := Opinion{SinceSuccess: 3 * time.Second, SinceFailure: 2 * time.Second}
	fresh := Opinion{SinceSuccess: 100 * time.Millisecond, SinceFailure: 10 * time.Millisecond}
	base := Situation{Registered: true, Hosts: 4, Candidates: 2}
	with := func(change func(*Situation)) Situation {
		s := base
		change(&s)
		return s
	}
	opinions := func(list ...Opinion) Situation {
		return with(func(s *Situation) { s.Opinions = list })
	}
	tests := []struct {
		name      string
		situation Situation
		want      Reason
	}{
		{name: "calm", situation: opinions(ok, ok, ok, ok)},
		{name: "nobody asks", situation: base},
		{name: "all fail", situation: opinions(failing, failing, failing), want: ReasonFailing},
		{name: "fails for the only host that asks", situation: opinions(failing), want: ReasonFailing},
		{name: "busy, but answers", situation: opinions(busy, busy, busy, busy)},
		{name: "just began to fail", situation: opinions(fresh, fresh)},
		{name: "a short failure of some", situation: opinions(failing, failing, ok, ok)},
		{name: "cut from half", situation: opinions(long, long, ok, ok), want: ReasonCut},
		{name: "cut from one of four", situation: opinions(long, ok, ok, ok)},
		{name: "left", situation: with(func(s *Situation) { s.Registered = false }), want: ReasonMissing},
		{name: "left, nobody can take over", situation: with(func(s *Situation) { s.Registered, s.Candidates = false, 0 })},
		{name: "draining", situation: with(func(s *Situation) { s.Primary.Draining = true }), want: ReasonDraining},
		{name: "evacuated", situation: with(func(s *Situation) { s.Evacuated = true }), want: ReasonEvacuated},
		{name: "interrupted change", situation: with(func(s *Situation) { s.Lead.Moving, s.Candidates = true, 0 }), want: ReasonResumed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := Judge(test.situation); got != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}

// TestElect guards against a promotion that loses commits which another
// database has received.
func TestElect(t *testing.T) {
	contender := func(id string, term, offset uint64, reachable bool) Contender {
		return Contender{Endpoint: cataloger.Endpoint{ID: id}, Term: term, Offset: offset, Reachable: reachable}
	}
	tests := []struct {
		name       string
		contenders []Contender
		want       int
	}{
		{name: "none", want: -1},
		{name: "none reachable", contenders: []Contender{contender("a", 1, 5, false)}, want: -1},
		{name: "most received", contenders: []Contender{contender("a", 1, 5, true), contender("b", 1, 9, true)}, want: 1},
		{name: "later term with fewer entries", contenders: []Contender{contender("a", 2, 5, true), contender("b", 1, 9, true)}, want: 0},
		{name: "unreachable is passed over", contenders: []Contender{contender("a", 1, 5, true), contender("b", 1, 9, false)}, want: 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := Elect(test.contenders); got != test.want {
				t.Errorf("got %d, want %d", got, test.want)
			}
		})
	}
}
