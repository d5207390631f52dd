package director

import (
	"testing"
	"time"

	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/executor"
)

func endpoint(id string) cataloger.Endpoint { return cataloger.Endpoint{ID: id} }

// TestChoose guards against reads that go where they may not see enough, and
// against writes that go anywhere but to the primary.
func TestChoose(t *testing.T) {
	primary := Candidate{Endpoint: endpoint("p"), Primary: true}
	home := Candidate{Endpoint: endpoint("home"), Home: true, Idle: true}
	other := Candidate{Endpoint: endpoint("other"), Idle: true}
	read := Need{Consistency: cataloger.BoundedStaleness, FloorKnown: true}
	changed := func(c Candidate, change func(*Candidate)) Candidate {
		change(&c)
		return c
	}
	tests := []struct {
		name       string
		need       Need
		candidates []Candidate
		want       string
	}{
		{name: "write", need: Need{Writes: true}, candidates: []Candidate{home, primary}, want: "p"},
		{name: "write without primary", need: Need{Writes: true}, candidates: []Candidate{home, other}},
		{name: "read of a primary route", need: Need{Consistency: cataloger.Primary, FloorKnown: true}, candidates: []Candidate{home, primary}, want: "p"},
		{name: "read without a known floor", need: Need{Consistency: cataloger.BoundedStaleness}, candidates: []Candidate{home, primary}, want: "p"},
		{name: "read at home", need: read, candidates: []Candidate{primary, other, home}, want: "home"},
		{
			name: "home lags", need: read, want: "other",
			candidates: []Candidate{primary, other, changed(home, func(c *Candidate) { c.Lagging = true })},
		},
		{
			name: "home is slow", need: read, want: "other",
			candidates: []Candidate{primary, other, changed(home, func(c *Candidate) { c.Latency = 400 * time.Millisecond })},
		},
		{
			name: "home is hardly slower", need: read, want: "home",
			candidates: []Candidate{
				primary, changed(other, func(c *Candidate) { c.Latency = 30 * time.Millisecond }),
				changed(home, func(c *Candidate) { c.Latency = 60 * time.Millisecond }),
			},
		},
		{
			name: "all replicas lag", need: read, want: "p",
			candidates: []Candidate{
				changed(primary, func(c *Candidate) { c.Load = 20 }),
				changed(other, func(c *Candidate) { c.Lagging = true }), changed(home, func(c *Candidate) { c.Lagging = true }),
			},
		},
		{
			name: "home drains", need: read, want: "other",
			candidates: []Candidate{other, changed(home, func(c *Candidate) { c.Endpoint.Draining = true })},
		},
		{
			name: "only a cold replica", need: read,
			candidates: []Candidate{changed(home, func(c *Candidate) { c.Cold = true })},
		},
		{
			name: "failing primary is the last resort", need: read, want: "other",
			candidates: []Candidate{changed(primary, func(c *Candidate) { c.Failing = true }), changed(other, func(c *Candidate) { c.Lagging = true })},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := ""
			if i := Choose(test.need, test.candidates); i >= 0 {
				got = test.candidates[i].Endpoint.ID
			}
			if got != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}

// TestHistoryFloor guards against floors that miss a commit which is older than
// a read accepts.
func TestHistoryFloor(t *testing.T) {
	start := time.Unix(100, 0)
	var h History
	for i := range 400 {
		h.Observe(start.Add(time.Duration(i)*50*time.Millisecond), executor.Position{Term: 1, Offset: uint64(i)})
	}
	// An observation of a former term says nothing about the present log.
	h.Observe(start.Add(30*time.Second), executor.Position{Term: 0, Offset: 9000})
	tests := []struct {
		name string
		at   time.Time
		want uint64
		ok   bool
	}{
		{name: "between two observations", at: start.Add(399*50*time.Millisecond - time.Second - time.Millisecond), want: 379, ok: true},
		{name: "exact", at: start.Add(399 * 50 * time.Millisecond), want: 399, ok: true},
		{name: "newer than all", at: start.Add(20 * time.Second)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got, ok := h.Floor(test.at)
			if got.Offset != test.want || ok != test.ok {
				t.Errorf("got %v, %v, want offset %d, %v", got, ok, test.want, test.ok)
			}
		})
	}
}
