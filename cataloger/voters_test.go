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
			acknowledged := uncertaintyWithout(v, test.acknowledged...)
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
	first := Voters{}.WithChanges([]string{"a", "b"}, nil, nil)
	second := first.WithChanges([]string{"c"}, []string{"b"}, nil)
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

// uncertaintyWithout returns the uncertainty if only the given hosts are known to have a change,
// and nothing is known of the voters beside their list.
func uncertaintyWithout(v Voters, acknowledged ...string) Uncertainty {
	return Uncertainty{MayConfirm: func(name string) (int64, bool) {
		return v.KnownTo(name), !slices.Contains(acknowledged, name)
	}}
}

// TestFormerVoters guards against a promotion while hosts that were removed from the list may
// still be a majority of one that they have, and against waiting for hosts that can't be one.
func TestFormerVoters(t *testing.T) {
	// a, b and c were the first voters; d, e and f replaced them one by one.
	replaced := Voters{Version: 7, Known: 6, Since: map[string]int64{"d": 2, "e": 3, "f": 5}}
	former := func(known ...int64) []FormerVoter {
		return []FormerVoter{{Host: "a", Since: 1, Until: 3, Known: known[0]}, {Host: "b", Since: 1, Until: 4, Known: known[1]}, {Host: "c", Since: 1, Until: 6, Known: known[2]}}
	}
	tests := []struct {
		name   string
		former []FormerVoter
		// byMajority and byAll are the oldest versions that may count.
		byMajority, byAll int64
		acknowledged      []string
		majority, allOf   bool
		// mayCount is whether c may be part of a majority, or of all hosts, before any host
		// has acknowledged.
		mayCount bool
	}{
		{name: "removed hosts may have the first list", former: former(1, 1, 1), acknowledged: []string{"d", "e", "f"}, majority: true, allOf: true, mayCount: true},
		{name: "two of them may", former: former(1, 1, 5), acknowledged: []string{"d", "e", "f"}, majority: true},
		{name: "each was known to have the list without the one before", former: former(1, 3, 5), acknowledged: []string{"d", "e", "f"}},
		{name: "the first list is too old for a majority", former: former(1, 1, 5), byMajority: 3, byAll: 2, acknowledged: []string{"d", "e", "f"}},
		{name: "the first list is old, not too old for all", former: former(1, 1, 1), byMajority: 6, byAll: 1, acknowledged: []string{"d", "e", "f"}, allOf: true, mayCount: true},
		{name: "present voters have not acknowledged", former: former(1, 3, 5), acknowledged: []string{"d"}, majority: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			v := replaced
			v.Former = test.former
			u := uncertaintyWithout(v, test.acknowledged...)
			u.OldestByMajority, u.OldestByAll = test.byMajority, test.byAll
			if got := v.MajorityPossible(u); got != test.majority {
				t.Errorf("majority of a list: got %v, want %v", got, test.majority)
			}
			if got := v.AllPossible(u); got != test.allOf {
				t.Errorf("all of a list: got %v, want %v", got, test.allOf)
			}
			none := uncertaintyWithout(v)
			none.OldestByMajority, none.OldestByAll = test.byMajority, test.byAll
			if got := v.Confirming(none)["c"]; got != test.mayCount {
				t.Errorf("c may count: got %v, want %v", got, test.mayCount)
			}
		})
	}
}

// TestFormerVoterReturns guards against a host that counts as knowing the list to which it was
// added again while it may have the one from before its removal.
func TestFormerVoterReturns(t *testing.T) {
	v := Voters{}.WithChanges([]string{"a", "b", "c"}, nil, nil).WithAllKnown()
	v = v.WithChanges(nil, nil, []FormerVoter{{Host: "c", Since: v.Since["c"], Known: v.KnownTo("c")}}).WithAllKnown()
	v = v.WithChanges([]string{"c"}, nil, nil)
	if got, want := v.KnownTo("c"), int64(1); got != want || !v.Has("c") || v.AllKnown() {
		t.Errorf("got %d as the version that c has of %+v, want %d", got, v, want)
	}
	if got := v.WithoutExpired(3); len(got.Former) != 0 || len(v.Former) != 1 {
		t.Errorf("got former voters %+v of %+v, want none of one", got.Former, v.Former)
	}
}
