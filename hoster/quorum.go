package hoster

import (
	"slices"
	"time"

	"github.com/endiveturn/endiveturn/director"
	"github.com/endiveturn/endiveturn/exchanger"
	"github.com/endiveturn/endiveturn/timekeeper"
)

// In a large fleet a host that receives reports from a majority of the hosts
// may confirm the freshness of views without the store. This is safe because a
// primary is replaced only once a quorum of hosts has acknowledged the change: so
// many that every majority includes a host which reports the change. If too few
// hosts reply, the change waits until no host's list of the fleet is recent enough
// to count a majority.
const (
	// maxMajorityViewAge is the age of a view, by the store, up to which its list of
	// hosts is used to count a majority. It bounds how long primaries are used
	// without the store.
	maxMajorityViewAge = 8 * time.Second
	// quorumExpiry is the time after which no host counts a majority with a list of
	// hosts from before a change. It includes the time during which a watch may miss
	// changes.
	quorumExpiry = maxMajorityViewAge + 2*time.Second
	// absenceTolerance is how long a host may be missing from the store and still
	// counts: leases expire early during an outage of the store. A host counts
	// others only after it has had the fleet in its view for as long.
	absenceTolerance = 5 * time.Second
	// establishedAge is the time after which a host is in the list of every host
	// that may count a majority.
	establishedAge = quorumExpiry + absenceTolerance
	// maxFleetGrowth bounds the factor by which a fleet grows within quorumExpiry.
	maxFleetGrowth = 2
	// storeFreshAge is the age up to which a view that is fresh by the store needs
	// no confirmation by other hosts.
	storeFreshAge = director.MaxViewAge / 4
)

// A voter is a host as its report shows it.
type voter struct {
	// listed is set if the process has every change that a former process of the same
	// name acknowledged: it has listed the store itself since its start, before the
	// store lost changes that are not confirmed yet.
	listed     bool
	reportedAt time.Time
}

// majorityReportedAt returns the latest instant since which more than half of
// the hosts have reported, or the zero time.
func majorityReportedAt(voters []voter) time.Time {
	instants := make([]time.Time, 0, len(voters))
	for _, v := range voters {
		if v.listed && !v.reportedAt.IsZero() {
			instants = append(instants, v.reportedAt)
		}
	}
	needed := len(voters)/2 + 1
	if len(instants) < needed {
		return time.Time{}
	}
	slices.SortFunc(instants, func(a, b time.Time) int { return b.Compare(a) })
	return instants[needed-1]
}

// A fleetTally is the view of the fleet of a host that replaces a primary.
type fleetTally struct {
	// knownFor is how long the host has had the list of hosts from the store.
	knownFor time.Duration
	// known is the number of hosts, and established the number of those that are in
	// the list of every host that may count a majority.
	known, established int
	// unacknowledged is the number of hosts that may not have received the change.
	unacknowledged int
}

// hasQuorum reports whether the hosts that have not acknowledged the change are too
// few to form a majority of any fleet that a host may count with. Each such fleet
// includes the established hosts, and at least half of the known hosts, since a
// fleet at most doubles within quorumExpiry.
func (f fleetTally) hasQuorum() bool {
	return 2*f.unacknowledged < f.established || f.knownFor > absenceTolerance && 2*maxFleetGrowth*f.unacknowledged < f.known
}

// majorityReportedAsOf returns the latest instant since which more than half of
// a large fleet have reported to this host, or the zero time.
func (h *Host) majorityReportedAsOf() time.Time {
	now := timekeeper.Now()
	byStore := h.primariesCompleteAsOf()
	if age := now.Sub(byStore); age < storeFreshAge || age > maxMajorityViewAge {
		return time.Time{}
	}
	reports := h.exchanger.Reports()
	knowsChanges := h.knowsChanges()
	h.mu.Lock()
	defer h.mu.Unlock()
	if byStore.Sub(h.fleetKnownSince) < absenceTolerance {
		return time.Time{}
	}
	voters := make([]voter, 0, len(h.recentHosts))
	for name := range h.recentHosts {
		v := voter{listed: reports[name].Report.Listed, reportedAt: reports[name].HeardAt}
		if name == h.Settings.Host {
			v = voter{listed: knowsChanges, reportedAt: now}
		}
		voters = append(voters, v)
	}
	return majorityReportedAt(voters)
}

// hasQuorum reports whether the hosts for which acknowledged is true are enough that
// no host still confirms the freshness of a view without the change that they
// acknowledged.
func (h *Host) hasQuorum(acknowledged func(name string) bool) bool {
	if !h.largeFleet() {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := timekeeper.Now()
	f := fleetTally{known: len(h.recentHosts)}
	if !h.fleetKnownSince.IsZero() {
		f.knownFor = now.Sub(h.fleetKnownSince)
	}
	for name, known := range h.recentHosts {
		if now.Sub(known.memberSince) >= establishedAge {
			f.established++
		}
		if !acknowledged(name) {
			f.unacknowledged++
		}
	}
	return f.hasQuorum()
}

// recordMajorityFreshness records as of when a majority had reported to another
// host, according to that host's reply to a request sent at the instant sent.
func (h *Host) recordMajorityFreshness(report exchanger.Report, sent time.Time) {
	if sent.IsZero() || report.MajorityHeardAge < 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if at := sent.Add(-report.MajorityHeardAge); at.After(h.majorityFreshAsOf) {
		h.majorityFreshAsOf = at
	}
}

// majorityCompleteAsOf returns the instant as of which a host to which a majority
// has reported, possibly this one, confirms the freshness of the view without
// the store.
func (h *Host) majorityCompleteAsOf() time.Time {
	own := h.majorityReportedAsOf()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.majorityFreshAsOf.After(own) {
		return h.majorityFreshAsOf
	}
	return own
}
