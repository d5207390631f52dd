package overseer

import (
	"slices"
	"time"

	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/storer"
)

// voterSilence is how long a voter must not have been heard before the leader removes it. A host
// that is restarted under its name is back by then, and costs no write.
const voterSilence = 4 * time.Second

// A VoterHistory is what a process has seen of the list of voters, from which a leader derives
// the next list and which hosts may still confirm views. Its exported fields are set first. It
// is not safe for concurrent use.
type VoterHistory struct {
	// MajorityExpiry and FleetExpiry are the times after which a list that has been replaced is
	// counted by nobody any more, a majority of it and all of it.
	MajorityExpiry, FleetExpiry time.Duration
	// RecentlyHeard is the time within which a host counts as one that the leader hears.
	RecentlyHeard time.Duration

	// lists are in the order of their versions.
	lists []seenList
	// known holds the versions that each host has reported to have, in their order. They hold
	// for later processes of the host too, which count only once they have listed the store.
	known map[string][]knownVersion
}

// A knownVersion is a version that a host was known to have from an instant on.
type knownVersion struct {
	version int64
	at      time.Time
}

// A seenList is when a process first saw a version of the list of voters.
type seenList struct {
	version, revision int64
	at                time.Time
}

// A FleetState is the state of the fleet from which a leader derives the next list of voters.
type FleetState struct {
	// Own is the name of the leader's host.
	Own string
	// Voters is the present list.
	Voters cataloger.Voters
	// Hosts are the hosts of the fleet, and Ended those that have left in order.
	Hosts map[string]cataloger.Host
	Ended map[string]string
	// SilentSince holds when each other voter was heard last.
	SilentSince map[string]time.Time
	// HeardAt returns when a host was heard last, or the zero time.
	HeardAt func(host string) time.Time
	Now     time.Time
}

// Observe records that the store has a list. Versions of an earlier era of the store do not
// count: the store may have lost them, and given their numbers out again.
func (h *VoterHistory) Observe(voters cataloger.Voters, now time.Time) {
	if n := len(h.lists); n > 0 && storer.EraOf(voters.Revision) > storer.EraOf(h.lists[n-1].revision) {
		h.lists, h.known = nil, nil
	}
	if n := len(h.lists); voters.Version == 0 || n > 0 && voters.Version <= h.lists[n-1].version {
		return
	}
	h.lists = append(h.lists, seenList{version: voters.Version, revision: voters.Revision, at: now})
	for len(h.lists) > 1 && now.Sub(h.lists[1].at) >= h.FleetExpiry {
		h.lists = h.lists[1:]
	}
}

// seenBefore returns the latest version that this process has known of for a time, 0 if there
// is none. All earlier ones have been replaced for at least as long.
func (h *VoterHistory) seenBefore(now time.Time, age time.Duration) int64 {
	version := int64(0)
	for _, list := range h.lists {
		if now.Sub(list.at) >= age {
			version = list.version
		}
	}
	return version
}

// RecordReport records that a host has the list of a revision, or a later one.
func (h *VoterHistory) RecordReport(host string, revision int64, now time.Time) {
	version := int64(0)
	for _, list := range h.lists {
		if list.revision <= revision {
			version = list.version
		}
	}
	if version <= h.knownTo(host, now) {
		return
	}
	if h.known == nil {
		h.known = make(map[string][]knownVersion)
	}
	known := append(h.known[host], knownVersion{version: version, at: now})
	for len(known) > 1 && now.Sub(known[1].at) >= h.RecentlyHeard {
		known = known[1:]
	}
	h.known[host] = known
}

// knownTo returns the latest version that a host was known to have at an instant.
func (h *VoterHistory) knownTo(host string, at time.Time) int64 {
	version := int64(0)
	for _, known := range h.known[host] {
		if !known.at.After(at) {
			version = known.version
		}
	}
	return version
}

// Uncertainty returns what was known at an instant about the voters that may confirm views,
// except those for which excluded is true.
func (h *VoterHistory) Uncertainty(voters cataloger.Voters, at time.Time, excluded func(name string) bool) cataloger.Uncertainty {
	listSeen := slices.ContainsFunc(h.lists, func(list seenList) bool { return list.version == voters.Version && !list.at.After(at) })
	known := make(map[string]int64)
	for _, name := range voters.Names() {
		known[name] = h.knownTo(name, at)
		if listSeen {
			known[name] = max(known[name], voters.KnownTo(name))
		}
	}
	return cataloger.Uncertainty{
		OldestByMajority: h.seenBefore(at, h.MajorityExpiry), OldestByAll: h.seenBefore(at, h.FleetExpiry),
		MayConfirm: func(name string) (int64, bool) { return known[name], !excluded(name) },
	}
}

// Next returns the list that follows from the state of the fleet, and whether it has to be
// written. Hosts that have left in order are removed for good. Others that are silent stay in
// the list of former voters until none of their views is recent enough to count; while they are
// registered, only a leader that hears a majority removes them, since it may be cut off itself.
func (h *VoterHistory) Next(s FleetState) (next cataloger.Voters, due bool) {
	ended, silent, heard := h.classify(s)
	former := h.formerVoters(s, silent, 2*heard > len(s.Voters.Since)-len(ended))
	added := h.newVoters(s)
	due = len(added)+len(former) > 0 || slices.ContainsFunc(ended, func(name string) bool { return s.Now.Sub(s.SilentSince[name]) > voterSilence })
	known := h.knownToAll(s, ended, former)
	if known && !due && len(ended) == 0 && !s.Voters.AllKnown() {
		next, due = s.Voters.WithAllKnown(), true
	} else {
		next = s.Voters.WithChanges(added, ended, former)
	}
	if known {
		next.Known = s.Voters.Version
	}
	next.Established = next.Established || h.seenBefore(s.Now, h.MajorityExpiry) > 0
	return next.WithoutExpired(h.seenBefore(s.Now, h.FleetExpiry)), due
}

// classify returns the other voters that have left in order and those that are silent, and how
// many voters the leader hears, itself included.
func (h *VoterHistory) classify(s FleetState) (ended, silent []string, heard int) {
	heard = 1
	for name, since := range s.SilentSince {
		silence := s.Now.Sub(since)
		switch _, left := s.Ended[name]; {
		case left:
			ended = append(ended, name)
		case silence > voterSilence:
			silent = append(silent, name)
		case silence <= h.RecentlyHeard:
			heard++
		}
	}
	return ended, silent, heard
}

// formerVoters returns the silent voters that are removed. hearsMajority is set if the leader
// hears a majority.
func (h *VoterHistory) formerVoters(s FleetState, silent []string, hearsMajority bool) []cataloger.FormerVoter {
	var former []cataloger.FormerVoter
	for _, name := range silent {
		if _, registered := s.Hosts[name]; registered && !hearsMajority {
			continue
		}
		known := max(h.knownTo(name, s.Now), s.Voters.KnownTo(name))
		former = append(former, cataloger.FormerVoter{Host: name, Since: s.Voters.Since[name], Known: known})
	}
	return former
}

// newVoters returns the hosts that are added. One that was removed has to be heard again.
func (h *VoterHistory) newVoters(s FleetState) []string {
	var added []string
	if !s.Voters.Has(s.Own) {
		added = append(added, s.Own)
	}
	for name := range s.Hosts {
		heard := s.Now.Sub(s.HeardAt(name)) <= h.RecentlyHeard
		if name != s.Own && !s.Voters.Has(name) && (heard || !s.Voters.WasRemoved(name)) {
			added = append(added, name)
		}
	}
	return added
}

// knownToAll reports whether all voters but those that are removed are known to have the list.
// The leader has it.
func (h *VoterHistory) knownToAll(s FleetState, ended []string, former []cataloger.FormerVoter) bool {
	for name := range s.Voters.Since {
		removed := slices.Contains(ended, name) || slices.ContainsFunc(former, func(f cataloger.FormerVoter) bool { return f.Host == name })
		if name != s.Own && !removed && h.knownTo(name, s.Now) < s.Voters.Version {
			return false
		}
	}
	return s.Voters.Version > 0
}
