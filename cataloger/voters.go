package cataloger

import (
	"maps"
	"slices"
)

// Voters are the hosts of which a majority confirms, while the store is out of reach, that
// a view of the primaries is complete. The leader keeps their list in the store. A host
// counts a majority of the list that its process has read, and only if the list has the host
// itself. The zero value is the list before the first one is written.
type Voters struct {
	// Revision is the store's revision of the list.
	Revision int64
	// Version numbers the lists that leaders have written, from 1 on.
	Version int64
	// Since maps each host to the version that added it. A process of the host counts only
	// with that version or a later one.
	Since map[string]int64
	// Former are hosts that were removed although their processes may still run, in the order
	// of removal.
	Former []FormerVoter
	// Known is a version that every voter is known to have, except those with a later Since.
	Known int64
	// Established is set once no process without a list may count any more.
	Established bool
}

// A FormerVoter is a host that was a voter in the versions from Since on and before Until.
type FormerVoter struct {
	Host         string
	Since, Until int64
	// Known is the latest version that the host was known to have when it was removed.
	Known int64
}

// An Uncertainty is what a leader knows about the voters that may confirm views without a
// change.
type Uncertainty struct {
	// MayConfirm reports whether a process of the host may still confirm views without the
	// change, and the latest version of the list that it is known to have.
	MayConfirm func(host string) (known int64, ok bool)
	// OldestByMajority is the oldest version that a host may still count a majority of, and
	// OldestByAll the oldest one that it may still count all hosts of.
	OldestByMajority, OldestByAll int64
}

// Has reports whether a host is a voter.
func (v Voters) Has(name string) bool {
	_, ok := v.Since[name]
	return ok
}

// WasRemoved reports whether a host was removed because it was silent, and has not been added
// again.
func (v Voters) WasRemoved(name string) bool {
	return !v.Has(name) && slices.ContainsFunc(v.Former, func(f FormerVoter) bool { return f.Host == name })
}

// Names returns the names of the present and former voters.
func (v Voters) Names() []string {
	names := slices.Collect(maps.Keys(v.Since))
	for _, f := range v.Former {
		if !slices.Contains(names, f.Host) {
			names = append(names, f.Host)
		}
	}
	return names
}

// KnownTo returns the latest version that a present or former voter is known to have, by the
// list alone. One that was removed and added again may still have the list that it had before.
func (v Voters) KnownTo(name string) int64 {
	since, ok := v.Since[name]
	if ok && since <= v.Known {
		return v.Known
	}
	for _, f := range slices.Backward(v.Former) {
		if f.Host == name {
			return f.Known
		}
	}
	return since
}

// WithChanges returns the next list, with the given hosts added and removed, and those removed
// among them remembered that may still count.
func (v Voters) WithChanges(added, removed []string, former []FormerVoter) Voters {
	next := v
	next.Version, next.Since = v.Version+1, maps.Clone(v.Since)
	if next.Since == nil {
		next.Since = make(map[string]int64, len(added))
	}
	for _, name := range added {
		next.Since[name] = next.Version
	}
	for _, name := range removed {
		delete(next.Since, name)
	}
	next.Former = slices.Clone(v.Former)
	for _, f := range former {
		f.Until = next.Version
		next.Former = append(next.Former, f)
		delete(next.Since, f.Host)
	}
	return next
}

// AllKnown reports whether each voter was known to have a list with all present voters only.
func (v Voters) AllKnown() bool {
	for _, since := range v.Since {
		if since > v.Known {
			return false
		}
	}
	return len(v.Former) == 0 || v.Former[len(v.Former)-1].Until <= v.Known
}

// WithAllKnown returns the next list for the case that every voter has this one.
func (v Voters) WithAllKnown() Voters {
	next := v
	next.Version, next.Known = v.Version+1, v.Version
	return next
}

// WithoutExpired returns the list without the former voters that were removed in the given
// version or before.
func (v Voters) WithoutExpired(version int64) Voters {
	next := v
	next.Former = slices.DeleteFunc(slices.Clone(v.Former), func(f FormerVoter) bool { return f.Until <= version })
	return next
}

// ListMissing reports whether a host that may confirm views may have no list yet.
func (v Voters) ListMissing(u Uncertainty) bool {
	if v.Established {
		return false
	}
	for name, since := range v.Since {
		if _, ok := u.MayConfirm(name); ok && since > v.Known {
			return true
		}
	}
	return false
}

// MajorityPossible reports whether hosts that may confirm views may be a majority of a list
// that all of them count with. Hosts that hear each other have the newest list of all of them.
func (v Voters) MajorityPossible(u Uncertainty) bool {
	return slices.ContainsFunc(v.versionsFrom(u.OldestByMajority), func(version int64) bool { return v.majorityOf(version, u) })
}

// AllPossible reports whether hosts that may confirm views may be all hosts of a list that all
// of them count with.
func (v Voters) AllPossible(u Uncertainty) bool {
	return slices.ContainsFunc(v.versionsFrom(u.OldestByAll), func(version int64) bool { return v.allOf(version, u) })
}

// Confirming returns the hosts that may be part of a majority, or of all hosts, of a list that
// they were voters of.
func (v Voters) Confirming(u Uncertainty) map[string]bool {
	confirming := make(map[string]bool)
	for _, version := range v.versionsFrom(min(u.OldestByMajority, u.OldestByAll)) {
		byMajority := version >= u.OldestByMajority && v.majorityOf(version, u)
		byAll := version >= u.OldestByAll && v.allOf(version, u)
		if !byMajority && !byAll {
			continue
		}
		v.eachOf(version, func(name string) {
			if known, ok := u.MayConfirm(name); ok && known <= version {
				confirming[name] = true
			}
		})
	}
	return confirming
}

// versionsFrom returns, of each run of versions with the same hosts, the last one, without runs
// that end before the oldest version. The later a version, the more hosts may count with it.
func (v Voters) versionsFrom(oldest int64) []int64 {
	versions := []int64{v.Version}
	add := func(changed int64) {
		if last := changed - 1; last >= max(oldest, 1) {
			versions = append(versions, last)
		}
	}
	for _, since := range v.Since {
		add(since)
	}
	for _, former := range v.Former {
		add(former.Since)
		add(former.Until)
	}
	slices.Sort(versions)
	return slices.Compact(versions)
}

// eachOf calls visit with the hosts of the list of a version.
func (v Voters) eachOf(version int64, visit func(name string)) {
	for name, since := range v.Since {
		if since <= version {
			visit(name)
		}
	}
	for _, f := range v.Former {
		if f.Since <= version && version < f.Until {
			visit(f.Host)
		}
	}
}

// count returns how many hosts the list of a version has, and how many of them may count with
// it.
func (v Voters) count(version int64, u Uncertainty) (hosts, possible int) {
	v.eachOf(version, func(name string) {
		hosts++
		if known, ok := u.MayConfirm(name); ok && known <= version {
			possible++
		}
	})
	return hosts, possible
}

func (v Voters) majorityOf(version int64, u Uncertainty) bool {
	hosts, possible := v.count(version, u)
	return 2*possible > hosts
}

func (v Voters) allOf(version int64, u Uncertainty) bool {
	hosts, possible := v.count(version, u)
	return hosts > 0 && possible == hosts
}
