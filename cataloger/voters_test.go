package cataloger

import (
	"slices"
	"testing"
)

// TestVotersWithout guards against a primary that is promoted while hosts which have not
// received the change may still confirm views without it.
func TestVotersWithout(t *testing.T) {
	tests := []struct {
		name  string
		since map[string]int64
		// acknowledged are the hosts that have received the change.
		acknowledged    []string
		majority, allOf bool
		listMissing     bool
	}{
		{name: "no list"},
		{name: "all acknowledged", since: map[string]int64{"a": 1, "b": 1}, acknowledged: []string{"a", "b"}},
		{name: "single host is cut off", since: map[string]int64{"a": 0}, majority: true, allOf: true},
		{name: "one of two", since: map[string]int64{"a": 0, "b": 0}, acknowledged: []string{"a"}},
		{name: "one of three", since: map[string]int64{"a": 0, "b": 0, "c": 0}, acknowledged: []string{"a"}, majority: true},
		{name: "two of three", since: map[string]int64{"a": 0, "b": 0, "c": 0}, acknowledged: []string{"a", "b"}},
		{name: "two of three, silent one may have no list", since: map[string]int64{"a": 1, "b": 1, "c": 1}, acknowledged: []string{"a", "b"}, listMissing: true},
		{name: "only a host that the silent one does not know", since: map[string]int64{"a": 0, "b": 2}, acknowledged: []string{"b"}, majority: true, allOf: true},
		{name: "only a host that knows the silent one", since: map[string]int64{"a": 0, "b": 2}, acknowledged: []string{"a"}, listMissing: true},
		{
			name: "majority of all, not of the silent hosts' list", since: map[string]int64{"a": 0, "b": 0, "c": 2, "d": 2, "e": 2},
			acknowledged: []string{"c", "d", "e"}, majority: true, allOf: true,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			v := Voters{Version: 2, Since: test.since}
			acknowledged := func(name string) bool { return slices.Contains(test.acknowledged, name) }
			if got := v.MajorityPossible(acknowledged); got != test.majority {
				t.Errorf("majority of a list: got %v, want %v", got, test.majority)
			}
			if got := v.AllPossible(acknowledged); got != test.allOf {
				t.Errorf("all of a list: got %v, want %v", got, test.allOf)
			}
			if got := v.ListMissing(acknowledged); got != test.listMissing {
				t.Errorf("list may be missing: got %v, want %v", got, test.listMissing)
			}
		})
	}
}

// TestVotersChanges guards against a host that counts as known to others which have an
// older list.
func TestVotersChanges(t *testing.T) {
	first := Voters{}.WithChanges([]string{"a", "b"}, nil)
	second := first.WithChanges([]string{"c"}, []string{"b"})
	if second.Version != 2 || second.Since["a"] != 1 || second.Since["c"] != 2 || second.Has("b") || !first.Has("b") {
		t.Errorf("got %+v after %+v, want a since 1, c since 2 and no b in version 2", second, first)
	}
	if second.AllKnown() {
		t.Error("a and c count as known to each other before all have the list")
	}
	known := second.WithAllKnown()
	if !known.AllKnown() || known.Version != 3 || !known.Has("c") {
		t.Errorf("got %+v, want a and c known in version 3", known)
	}
}
