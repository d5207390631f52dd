package hoster

import (
	"slices"
	"time"

	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/director"
	"github.com/endiveturn/endiveturn/exchanger"
	"github.com/endiveturn/endiveturn/overseer"
	"github.com/endiveturn/endiveturn/timekeeper"
)

// A host that receives reports from a majority of the voters may confirm the freshness of
// views without the store. This is safe because a primary is replaced only once enough
// voters have acknowledged the change that every majority includes one which reports it. If
// too few reply, the change waits until no view without it is recent enough to be confirmed.
const (
	// maxMajorityViewAge is the age of a view, by the store, up to which a majority of the
	// voters confirms it, and maxFleetViewAge the age up to which all voters together do.
	// They bound how long primaries are used without the store, and how long a leader that
	// reaches too few hosts waits before it replaces a primary.
	maxMajorityViewAge = 8 * time.Second
	maxFleetViewAge    = 2 * time.Minute
	// missedChangeTime is the time during which a watch may miss changes while the store
	// compacts its history.
	missedChangeTime = 2 * time.Second
	// majorityExpiry and fleetExpiry are the times after which no host confirms a view from
	// before a change.
	majorityExpiry = maxMajorityViewAge + missedChangeTime
	fleetExpiry    = maxFleetViewAge + missedChangeTime
	// absenceTolerance is how long a host whose key the store lost is still a member.
	absenceTolerance = 5 * time.Second
	// storeFreshAge is the age up to which a view that is fresh by the store needs
	// no confirmation by other hosts.
	storeFreshAge = director.MaxViewAge / 4
)

// A voter is a host as its report shows it.
type voter struct {
	// listed is set if the process has every change that a former process of the same
	// name acknowledged: it has listed the store itself since its start, before the
	// store lost changes that are not confirmed yet, and is registered.
	listed     bool
	reportedAt time.Time
}

// reportedAt returns the latest instant since which the needed number of voters have
// reported, or the zero time.
func reportedAt(voters []voter, needed int) time.Time {
	instants := make([]time.Time, 0, len(voters))
	for _, v := range voters {
		if v.listed && !v.reportedAt.IsZero() {
			instants = append(instants, v.reportedAt)
		}
	}
	if needed == 0 || len(instants) < needed {
		return time.Time{}
	}
	slices.SortFunc(instants, func(a, b time.Time) int { return b.Compare(a) })
	return instants[needed-1]
}

// votersNeeded returns how many of the voters have to report to confirm a view of an age by
// the store, and false if it is too old.
func votersNeeded(voters int, age time.Duration) (needed int, ok bool) {
	switch {
	case age <= maxMajorityViewAge:
		return voters/2 + 1, true
	case age <= maxFleetViewAge:
		return voters, true
	default:
		return 0, false
	}
}

// reuseTime is how long a host of a large fleet reuses what it computes from the reports of all
// hosts although each exchange needs it, and each request some of it. The instant since which
// enough voters have reported remains correct, as if the message with it took longer.
const reuseTime = 25 * time.Millisecond

// A majorityInstant is a result of computeMajority.
type majorityInstant struct{ reportedAsOf, computedAt time.Time }

// majorityReportedAsOf returns the latest instant since which enough voters have reported to
// this host to confirm the freshness of its view, or the zero time.
func (h *Host) majorityReportedAsOf() time.Time {
	now := timekeeper.Now()
	if last := h.majorityInstant.Load(); last != nil && now.Sub(last.computedAt) < reuseTime {
		return last.reportedAsOf
	}
	reportedAsOf := h.computeMajority()
	if h.reusesResults && h.largeFleet() {
		h.majorityInstant.Store(&majorityInstant{reportedAsOf: reportedAsOf, computedAt: now})
	}
	return reportedAsOf
}

// computeMajority computes majorityReportedAsOf from the reports of all voters. The list of
// voters has to be one that this process has read, and the host has to be registered and in
// it, so that a leader knows whom it may count.
func (h *Host) computeMajority() time.Time {
	catalog := h.latestCatalog()
	if catalog == nil || !h.mayCount() || !h.hasLatestVoters(catalog) {
		return time.Time{}
	}
	if catalog.Voters.Version == 0 {
		return h.allReportedAsOf(catalog, timekeeper.Now())
	}
	if !catalog.Voters.Has(h.Settings.Host) {
		return time.Time{}
	}
	now := timekeeper.Now()
	age := now.Sub(h.primariesCompleteAsOf())
	needed, ok := votersNeeded(len(catalog.Voters.Since), age)
	if !ok || age < storeFreshAge {
		return time.Time{}
	}
	return reportedAt(votersAmong(h, catalog.Voters.Since, now), needed)
}

// mayCount reports whether this process counts towards a majority of the voters. It is
// registered itself: a leader that knows of a former process of the same name, which may have
// left, does not wait for this one.
func (h *Host) mayCount() bool {
	catalog := h.latestCatalog()
	if catalog == nil || h.ended.Load() || !h.knowsChanges() {
		return false
	}
	own, ok := catalog.Hosts[h.Settings.Host]
	return ok && own.Incarnation == h.incarnation
}

// hasLatestVoters reports whether the list of voters of the catalog is the one in the mirror. A
// newer one that another host has just reported applies to the reports heard with it.
func (h *Host) hasLatestVoters(catalog *cataloger.Catalog) bool {
	record, ok := h.mirror.Get(overseer.VotersKey)
	return !ok || record.Revision <= catalog.Voters.Revision
}

// allReportedAsOf returns the latest instant since which all hosts have reported to this one,
// or the zero time. It counts before the first leader has written a list of voters, and only
// while the store is sure to keep this host's key, so that the first leader waits for it.
func (h *Host) allReportedAsOf(catalog *cataloger.Catalog, now time.Time) time.Time {
	if age := now.Sub(h.primariesCompleteAsOf()); age < storeFreshAge || age > maxMajorityViewAge {
		return time.Time{}
	}
	return reportedAt(votersAmong(h, catalog.Hosts, now), len(catalog.Hosts))
}

// votersAmong returns the named hosts as their reports show them.
func votersAmong[T any](h *Host, names map[string]T, now time.Time) []voter {
	voters := make([]voter, 0, len(names))
	if _, ok := names[h.Settings.Host]; ok {
		voters = append(voters, voter{listed: h.mayCount(), reportedAt: now})
	}
	h.exchanger.EachPeer(func(name string, peer *exchanger.Peer) bool {
		if _, ok := names[name]; ok && name != h.Settings.Host {
			voters = append(voters, voter{listed: peer.HeardListed, reportedAt: peer.HeardAt})
		}
		return true
	})
	return voters
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

// majorityCompleteAsOf returns the instant as of which a host to which enough voters
// have reported, possibly this one, confirms the freshness of the view without
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
