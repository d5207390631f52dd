package cataloger

import "maps"

// Voters are the hosts of which a majority confirms, while the store is out of reach, that
// a view of the primaries is complete. The leader keeps their list in the store. A host
// counts a majority of the list that its process has read, and only if the list has the host
// itself. The zero value is the list before the first one is written.
type Voters struct {
	// Revision is the store's revision of the list.
	Revision int64
	// Version numbers the lists that leaders have written, from 1 on.
	Version int64
	// Since maps each host to the version that added it, or to 0 once every voter was known to
	// have that version. A process of the host counts only with that version or a later one,
	// and each of those has every host with the same or a lower Since. Before a process has
	// read any list, it may count for a short while without one, unless its Since is 0.
	Since map[string]int64
}

// Has reports whether a host is a voter.
func (v Voters) Has(name string) bool {
	_, ok := v.Since[name]
	return ok
}

// WithChanges returns the next list, with the given hosts added and removed.
func (v Voters) WithChanges(added, removed []string) Voters {
	next := Voters{Version: v.Version + 1, Since: maps.Clone(v.Since)}
	if next.Since == nil {
		next.Since = make(map[string]int64, len(added))
	}
	for _, name := range added {
		next.Since[name] = next.Version
	}
	for _, name := range removed {
		delete(next.Since, name)
	}
	return next
}

// AllKnown reports whether each voter was known to have a list with all voters.
func (v Voters) AllKnown() bool { return v.allKnownBut(func(string) bool { return false }) }

// WithAllKnown returns the next list for the case that every voter has this one.
func (v Voters) WithAllKnown() Voters {
	next := Voters{Version: v.Version + 1, Since: make(map[string]int64, len(v.Since))}
	for name := range v.Since {
		next.Since[name] = 0
	}
	return next
}

// ListMissing reports whether a voter for which excluded is false may have no list yet.
func (v Voters) ListMissing(excluded func(name string) bool) bool { return !v.allKnownBut(excluded) }

func (v Voters) allKnownBut(excluded func(name string) bool) bool {
	for name, since := range v.Since {
		if since > 0 && !excluded(name) {
			return false
		}
	}
	return true
}

// MajorityPossible reports whether the voters for which excluded is false may be a majority
// of a list that one of them counts with.
func (v Voters) MajorityPossible(excluded func(name string) bool) bool {
	rest, oldest := v.without(excluded)
	return rest > 0 && 2*rest > v.countUntil(oldest, func(string) bool { return true })
}

// AllPossible reports whether the voters for which excluded is false may be all hosts of a
// list that one of them counts with.
func (v Voters) AllPossible(excluded func(name string) bool) bool {
	rest, oldest := v.without(excluded)
	return rest > 0 && v.countUntil(oldest, excluded) == 0
}

// without returns the number of voters for which excluded is false and the lowest Since of
// those, which stands for the shortest list that one of them may count with.
func (v Voters) without(excluded func(name string) bool) (rest int, oldest int64) {
	for name, since := range v.Since {
		if excluded(name) {
			continue
		}
		if rest == 0 || since < oldest {
			oldest = since
		}
		rest++
	}
	return rest, oldest
}

// countUntil returns the number of voters up to a Since for which counts is true.
func (v Voters) countUntil(since int64, counts func(name string) bool) int {
	n := 0
	for name, other := range v.Since {
		if other <= since && counts(name) {
			n++
		}
	}
	return n
}
