package measurer

import (
	"testing"
	"time"

	"github.com/endiveturn/endiveturn/groupemulator"
)

// Guards against work that is not counted for its database or for the host that
// holds its term, and against a term whose host was never seen.
func TestWorkRecorder(t *testing.T) {
	start := time.Now()
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	r := &workRecorder{
		holders:  map[groupTerm]string{{"a", 7}: "h1", {"a", 8}: "h2"},
		accepted: map[string][]time.Time{"h1": {at(0), at(2)}, "h3": {at(2)}},
	}
	for _, run := range []groupemulator.StatementRun{
		{Database: "a-1", Term: 7, At: at(1)},
		{Database: "a-2", Term: 7, At: at(2)},
		{Database: "a-1", Term: 8, At: at(3)},
		{Database: "a-1", Term: 9, At: at(4)},
		{Database: "b-1", Term: 7, At: at(5)},
	} {
		r.record(run)
	}
	for _, c := range []struct {
		name  string
		parts parts
		want  map[string]int
	}{
		{"nothing", parts{}, map[string]int{}},
		{"database", parts{databases: []string{"a-1"}}, map[string]int{"database": 3}},
		{"host", parts{hosts: []string{"h1"}}, map[string]int{"holder": 2, "connection": 1}},
		{"both", parts{hosts: []string{"h2"}, databases: []string{"a-2"}}, map[string]int{"holder": 1, "database": 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := map[string]int{}
			for _, s := range r.startsAt(c.parts, at(1), at(5)) {
				got[s.kind]++
			}
			for _, kind := range []string{"database", "holder", "connection"} {
				if got[kind] != c.want[kind] {
					t.Errorf("%s: got %d, want %d", kind, got[kind], c.want[kind])
				}
			}
		})
	}
	if got := r.unattributed(); got != 2 {
		t.Errorf("got %d statements of unknown holders, want 2", got)
	}
}

// Guards against a returned part that counts as busy for the work of a holder
// elsewhere, or is not missed.
func TestIdleParts(t *testing.T) {
	p := parts{hosts: []string{"h1", "h2"}, databases: []string{"a-1"}}
	for _, c := range []struct {
		starts []workStart
		want   int
	}{
		{nil, 3},
		{[]workStart{{kind: "connection", part: "h1"}, {kind: "holder", part: "h2"}}, 2},
		{[]workStart{{kind: "connection", part: "h1"}, {kind: "connection", part: "h2"}, {kind: "database", part: "a-1"}}, 0},
	} {
		if got := idleParts(c.starts, p); got != c.want {
			t.Errorf("%v: got %d idle parts, want %d", c.starts, got, c.want)
		}
	}
}
