package hoster

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/director"
	"github.com/endiveturn/endiveturn/overseer"
)

// A fleetModel simulates a fleet, its store and the network between them in discrete steps.
// The rules for counting a majority (reportedAt, votersNeeded and cataloger.Voters) are those
// of the product, the rest is modelled.
type fleetModel struct {
	random *rand.Rand
	now    time.Time
	hosts  map[string]*modelHost
	// names are the names of the hosts in the order of their first start.
	names []string
	// partition is the network partition of each host.
	partition map[string]int
	// storePartition is the partition of the hosts that reach the store, unless it
	// is down.
	storePartition int
	storeDown      bool
	store          modelStore
	// registeredAt is when each host last renewed its registration.
	registeredAt map[string]time.Time
	renewedAt    time.Time
	// promoted is the assignment of the last change that promoted a database.
	promoted int64
	// promotions counts the promotions, confirmations the steps in which a host used a
	// primary without the store.
	promotions, confirmations int
	group                     modelGroup
	// endedAt is when each host that left in order did so.
	endedAt map[string]time.Time
	replacements
}

// A modelStore is the content of the store, and of a host's mirror.
type modelStore struct {
	revision    int64
	leaderToken int64
	leader      string
	registry    map[string]string
	// ended holds the incarnations that have left in order.
	ended      map[string]string
	assignment int64
	voters     cataloger.Voters
}

// A modelHost is one process.
type modelHost struct {
	name, incarnation string
	startedAt         time.Time
	listed            bool
	suspendedUntil    time.Time
	// mirror is the host's mirror of the store, read at storeReadAt.
	mirror            modelStore
	storeReadAt       time.Time
	majorityFreshAsOf time.Time
	// heard holds what others reported to this host.
	heard map[string]voter
	// acknowledged and votersRevisions hold the newest assignment and list of voters that
	// each other host reported to have.
	acknowledged, votersRevisions map[string]int64
	// departedAt holds when the mirror lost the registration of a host.
	departedAt map[string]time.Time
	// token is the leadership that the host won, votersToken the one in which it wrote the
	// list of voters, and voters that list.
	token, votersToken int64
	voters             cataloger.Voters
	silentSince        map[string]time.Time
	history            overseer.VoterHistory
	// fencing is the assignment that the host writes to replace a primary, written
	// at fencedAt and acknowledged by enough hosts at quorumAt.
	fencing            int64
	fencedAt, quorumAt time.Time
	// requested is set if the host has requested the pending promotion in this leadership,
	// repeated if that was not the first request, and pendingSince is when it did, or when it
	// became the leader.
	requested    bool
	repeated     bool
	pendingSince time.Time
}

// fleetModelSeeds is how many random simulations of each size of fleet are run.
var fleetModelSeeds = flag.Int("fleet-model-seeds", 60, "simulations of each size of TestFormerPrimaryIsNotConfirmedFresh")

const (
	stepDuration = 50 * time.Millisecond
	// modelHostLease is how long a registration lasts in the store.
	modelHostLease = 14 * time.Second
)

func newFleetModel(seed uint64, hosts int) *fleetModel {
	m := &fleetModel{
		random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), hosts: make(map[string]*modelHost),
		partition: make(map[string]int), store: modelStore{revision: 1, registry: make(map[string]string), ended: make(map[string]string)}, registeredAt: make(map[string]time.Time),
		group: newModelGroup(), endedAt: make(map[string]time.Time),
	}
	for i := range hosts {
		m.start(fmt.Sprint("h", i))
	}
	return m
}

func (m *fleetModel) start(name string) {
	m.store.revision++
	if !slices.Contains(m.names, name) {
		m.names = append(m.names, name)
	}
	m.hosts[name] = &modelHost{
		name: name, incarnation: fmt.Sprint(m.store.revision), startedAt: m.now, mirror: modelStore{registry: make(map[string]string), ended: make(map[string]string)},
		heard: make(map[string]voter), acknowledged: make(map[string]int64), votersRevisions: make(map[string]int64),
		departedAt: make(map[string]time.Time),
		history:    overseer.VoterHistory{MajorityExpiry: majorityExpiry, FleetExpiry: fleetExpiry, RecentlyHeard: director.MaxViewAge},
	}
}

// remove takes a host away for good. Its registration expires later, in step.
func (m *fleetModel) remove(name string) {
	delete(m.hosts, name)
	m.names = slices.DeleteFunc(m.names, func(other string) bool { return other == name })
}

func (m *fleetModel) reachesStore(host string) bool {
	return !m.storeDown && m.partition[host] == m.storePartition
}

// injectFault partitions or heals the network, stops the store, loses its registrations,
// suspends or restarts hosts, or replaces or adds some.
func (m *fleetModel) injectFault() {
	switch m.random.IntN(12) {
	case 0, 1:
		share := m.random.Float64()
		for _, name := range m.names {
			m.partition[name] = 0
			if m.random.Float64() < share {
				m.partition[name] = 1
			}
		}
		m.storePartition = m.random.IntN(2)
	case 2, 3, 4:
		clear(m.partition)
		m.storePartition, m.storeDown = 0, false
	case 5:
		m.storeDown = m.random.IntN(2) == 0
	case 6:
		if m.random.IntN(3) == 0 {
			m.expireLeases()
		}
		share := []int{10, 10, 3, 1}[m.random.IntN(4)]
		for _, name := range m.names {
			if m.random.IntN(share) == 0 {
				m.start(name)
			}
		}
	case 7:
		for _, name := range m.names {
			if m.random.IntN(4) == 0 {
				m.hosts[name].suspendedUntil = m.now.Add(time.Duration(m.random.IntN(8)) * time.Second)
			}
		}
	case 8:
		if m.random.IntN(4) == 0 {
			m.remove(m.names[m.random.IntN(len(m.names))])
			m.start(fmt.Sprint("n", m.store.revision))
		}
	case 10:
		if m.random.IntN(6) == 0 {
			m.leave(m.names[m.random.IntN(len(m.names))])
		}
	case 11:
		if m.random.IntN(12) == 0 {
			m.replaceFleet()
		}
	case 9:
		if len(m.names) < 34 && m.random.IntN(8) == 0 {
			for range m.random.IntN(len(m.names)) {
				m.start(fmt.Sprint("n", m.store.revision))
			}
		}
	}
}

// expireLeases makes the store lose the registrations whose leases end during an outage.
func (m *fleetModel) expireLeases() {
	for _, name := range m.names {
		if m.now.Sub(m.registeredAt[name]) > modelHostLease {
			delete(m.store.registry, name)
		}
	}
	m.renewedAt = time.Time{}
}

func (m *fleetModel) step() {
	m.now = m.now.Add(stepDuration)
	if m.random.IntN(20) == 0 {
		m.injectFault()
	}
	m.stepDatabases()
	m.stepReplacements()
	for name, at := range m.endedAt {
		if !m.storeDown && m.now.Sub(at) > modelHostLease {
			delete(m.store.ended, name)
			delete(m.endedAt, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(m.store.registry)) {
		// The registration of a host that does not reach the store expires.
		if h := m.hosts[name]; h != nil && m.reachesStore(name) && h.listed {
			m.registeredAt[name] = m.now
		}
		if !m.storeDown && m.now.Sub(m.registeredAt[name]) > modelHostLease {
			delete(m.store.registry, name)
		}
	}
	for _, name := range m.names {
		h := m.hosts[name]
		if m.now.Before(h.suspendedUntil) {
			continue
		}
		h.history.Observe(h.mirror.voters, m.now)
		if m.reachesStore(name) && m.random.IntN(4) == 0 {
			m.readStore(h)
		}
		if m.random.IntN(3) == 0 {
			m.exchange(h)
		}
		m.runLeader(h)
	}
}

// readStore makes a host read the store, and register from its second read on.
func (m *fleetModel) readStore(h *modelHost) {
	if h.listed && m.random.IntN(3) > 0 {
		m.store.registry[h.name], m.registeredAt[h.name] = h.incarnation, m.now
		delete(m.store.ended, h.name)
		delete(m.endedAt, h.name)
	}
	h.setMirror(m.store, m.now)
	h.listed = true
}

// setMirror replaces the mirror by a state of the store as of readAt.
func (h *modelHost) setMirror(s modelStore, readAt time.Time) {
	for name := range h.mirror.registry {
		if _, ok := s.registry[name]; !ok {
			h.departedAt[name] = readAt
		}
	}
	s.registry, s.ended = maps.Clone(s.registry), maps.Clone(s.ended)
	s.assignment = max(s.assignment, h.mirror.assignment)
	if h.mirror.voters.Revision > s.voters.Revision {
		s.voters = h.mirror.voters
	}
	h.mirror, h.storeReadAt = s, readAt
}

// exchange makes a host exchange reports with the leader in its mirror, or with a
// random host.
func (m *fleetModel) exchange(h *modelHost) {
	other := m.hosts[h.mirror.leader]
	if other == nil || m.random.IntN(3) == 0 {
		other = m.hosts[m.names[m.random.IntN(len(m.names))]]
	}
	if other == h || m.partition[other.name] != m.partition[h.name] || m.now.Before(other.suspendedUntil) {
		return
	}
	h.merge(other)
	other.merge(h)
	m.report(h, other)
	m.report(other, h)
}

// report makes a host receive the report of another one.
func (m *fleetModel) report(h, other *modelHost) {
	h.heard[other.name] = voter{listed: other.mayCount(), reportedAt: m.now}
	h.acknowledged[other.name] = 0
	if h.mirror.registry[other.name] == other.incarnation {
		h.acknowledged[other.name], h.votersRevisions[other.name] = other.mirror.assignment, other.mirror.voters.Revision
	}
	if at := other.majorityReportedAsOf(m.now); at.After(h.majorityFreshAsOf) {
		h.majorityFreshAsOf = at
	}
}

// merge applies the state of another host. Records that the other one wrote itself are taken
// over with every report.
func (h *modelHost) merge(other *modelHost) {
	h.mirror.assignment = max(h.mirror.assignment, other.mirror.assignment)
	if other.mirror.voters.Revision > h.mirror.voters.Revision {
		h.mirror.voters = other.mirror.voters
	}
	if other.storeReadAt.After(h.storeReadAt) {
		h.setMirror(other.mirror, other.storeReadAt)
	}
}

// mayCount reports whether the process counts towards a majority.
func (h *modelHost) mayCount() bool { return h.listed && h.mirror.registry[h.name] == h.incarnation }

func (h *modelHost) majorityReportedAsOf(now time.Time) time.Time {
	if h.mirror.voters.Version == 0 {
		return h.allReportedAsOf(now)
	}
	needed, ok := votersNeeded(len(h.mirror.voters.Since), now.Sub(h.storeReadAt))
	if !ok || !h.mayCount() || !h.mirror.voters.Has(h.name) {
		return time.Time{}
	}
	var voters []voter
	for name := range h.mirror.voters.Since {
		v := h.heard[name]
		if name == h.name {
			v = voter{listed: true, reportedAt: now}
		}
		voters = append(voters, v)
	}
	return reportedAt(voters, needed)
}

// allReportedAsOf counts before the host has a list of voters.
func (h *modelHost) allReportedAsOf(now time.Time) time.Time {
	if !h.mayCount() || now.Sub(h.storeReadAt) > maxMajorityViewAge {
		return time.Time{}
	}
	var voters []voter
	for name := range h.mirror.registry {
		v := h.heard[name]
		if name == h.name {
			v = voter{listed: true, reportedAt: now}
		}
		voters = append(voters, v)
	}
	return reportedAt(voters, len(voters))
}

// viewAsOf returns as of when the view of a host is confirmed.
func (h *modelHost) viewAsOf(now time.Time) time.Time {
	incarnation, registered := h.mirror.registry[h.name]
	if !registered {
		return time.Time{}
	}
	byHosts := h.majorityReportedAsOf(now)
	if h.majorityFreshAsOf.After(byHosts) {
		byHosts = h.majorityFreshAsOf
	}
	if incarnation != h.incarnation {
		return viewOfNewProcess(h.storeReadAt, byHosts, h.startedAt)
	}
	if byHosts.After(h.storeReadAt) {
		return byHosts
	}
	return h.storeReadAt
}

// runLeader makes a host take leadership, renew it, keep the list of voters, and replace the
// primary now and then.
func (m *fleetModel) runLeader(h *modelHost) {
	if !m.reachesStore(h.name) {
		return
	}
	switch {
	case m.store.leader == h.name && m.store.leaderToken == h.token:
		m.renewedAt = m.now
	case m.now.Sub(m.renewedAt) > 1800*time.Millisecond && m.store.registry[h.name] == h.incarnation && m.random.IntN(20) == 0:
		m.store.revision++
		m.store.leaderToken, m.store.leader, m.renewedAt = m.store.revision, h.name, m.now
		h.token, h.fencing = m.store.leaderToken, 0
		h.requested, h.repeated, h.pendingSince = false, false, m.now
		clear(h.silentSince)
		return
	default:
		return
	}
	m.maintainVoters(h)
	if h.fencing == 0 {
		if h.votersToken == h.token && m.random.IntN(10) == 0 {
			m.store.revision++
			m.store.assignment = m.store.revision
			m.group.record.Changing = true
			h.mirror.assignment, h.fencing, h.fencedAt, h.quorumAt = m.store.assignment, m.store.assignment, m.now, time.Time{}
		}
		return
	}
	m.continueChange(h)
}

// maintainVoters makes the leader write the list of voters.
func (m *fleetModel) maintainVoters(h *modelHost) {
	current := m.store.voters
	silent := make(map[string]time.Time)
	for name := range current.Since {
		if name == h.name {
			continue
		}
		since, ok := h.silentSince[name]
		if !ok {
			since = m.now
		}
		if heardAt := h.heard[name].reportedAt; heardAt.After(since) || len(m.names) <= cataloger.MaxSmallFleetSize && !heardAt.IsZero() {
			since = heardAt
		}
		silent[name] = since
	}
	h.silentSince = silent
	for name, revision := range h.votersRevisions {
		h.history.RecordReport(name, revision, m.now)
	}
	hosts := make(map[string]cataloger.Host)
	for name := range h.mirror.registry {
		hosts[name] = cataloger.Host{Name: name}
	}
	next, due := h.history.Next(overseer.FleetState{
		Own: h.name, Voters: current, Hosts: hosts, Ended: h.mirror.ended, SilentSince: silent, Now: m.now,
		HeardAt: func(name string) time.Time { return h.heard[name].reportedAt },
	})
	if !due && h.votersToken == h.token {
		return
	}
	m.store.revision++
	next.Revision = m.store.revision
	m.store.voters, h.mirror.voters, h.voters, h.votersToken = next, next, next, h.token
	h.history.Observe(next, m.now)
}

// uncertainty returns what the leader knew at an instant about the voters that may confirm views.
func (m *fleetModel) uncertainty(h *modelHost, at time.Time, acknowledged func(string) bool) cataloger.Uncertainty {
	return h.history.Uncertainty(h.voters, at, func(name string) bool {
		_, ended := h.mirror.ended[name]
		return name == h.name || acknowledged(name) || ended && h.storeReadAt.After(h.fencedAt)
	})
}

// continueChange promotes a database once no host confirms a view without the change.
func (m *fleetModel) continueChange(h *modelHost) {
	acknowledged := func(name string) bool {
		return name == h.name || h.acknowledged[name] >= h.fencing
	}
	waited, quorum := m.now.Sub(h.fencedAt), false
	switch u := m.uncertainty(h, m.now, acknowledged); {
	case h.voters.AllPossible(u):
		quorum = waited > fleetExpiry
	case h.voters.MajorityPossible(u), h.voters.ListMissing(u):
		quorum = waited > majorityExpiry
	default:
		quorum = true
	}
	if quorum && h.quorumAt.IsZero() {
		h.quorumAt = m.now
	}
	immediate := quorum && h.storeReadAt.After(h.fencedAt) && len(m.names) <= cataloger.MaxSmallFleetSize && m.allReleased(h, acknowledged)
	if immediate || !h.quorumAt.IsZero() && m.now.Sub(h.quorumAt) > director.MaxViewAge {
		m.promoted = h.fencing
		if m.promote(h) {
			h.fencing = 0
			m.promotions++
		}
	}
}

// allReleased reports whether all hosts that the leader knows have acknowledged the change.
func (m *fleetModel) allReleased(h *modelHost, acknowledged func(string) bool) bool {
	members := maps.Clone(h.mirror.registry)
	for name, at := range h.departedAt {
		if _, ended := h.mirror.ended[name]; m.now.Sub(at) < departureTolerance && !ended {
			members[name] = ""
		}
	}
	for name := range members {
		recent := name == h.name || m.now.Sub(h.heard[name].reportedAt) < director.MaxViewAge
		if !acknowledged(name) || !recent {
			return false
		}
	}
	u := m.uncertainty(h, m.now.Add(-director.MaxViewAge-stepDuration), func(string) bool { return false })
	for name := range h.voters.Confirming(u) {
		if _, member := members[name]; !member {
			return false
		}
	}
	return true
}

// hostUsingFormerPrimary returns a host that still uses the primary from before the
// last promotion.
func (m *fleetModel) hostUsingFormerPrimary() *modelHost {
	for _, name := range m.names {
		h := m.hosts[name]
		if m.now.Sub(h.viewAsOf(m.now)) >= director.MaxViewAge || m.now.Before(h.suspendedUntil) {
			continue
		}
		if m.now.Sub(h.storeReadAt) >= director.MaxViewAge {
			m.confirmations++
		}
		if h.mirror.assignment < m.promoted {
			return h
		}
	}
	return nil
}

// TestFormerPrimaryIsNotConfirmedFresh simulates random partitions, outages of the
// store, suspensions and restarts, and hosts that are added or replaced. It guards against
// a host that uses a former primary after another one was promoted, because hosts that lack
// the change confirmed the freshness of its view.
func TestFormerPrimaryIsNotConfirmedFresh(t *testing.T) {
	for _, hosts := range []int{1, 2, 3, 5, 7, 9, 17, 24} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			t.Parallel()
			promotions, confirmations, resumed := 0, 0, 0
			var changed replacements
			for seed := range uint64(*fleetModelSeeds) {
				m := newFleetModel(seed, hosts)
				for range 2400 {
					m.step()
					if m.group.fault != "" {
						t.Fatalf("seed %d after %v: %s", seed, m.now.Sub(time.Unix(1000, 0)), m.group.fault)
					}
					if h := m.hostUsingFormerPrimary(); h != nil {
						t.Fatalf("seed %d after %v: %s of %v uses the primary before assignment %d with assignment %d, read the store %v ago; voters %+v, the leader %s has %+v",
							seed, m.now.Sub(time.Unix(1000, 0)), h.name, m.names, m.promoted, h.mirror.assignment, m.now.Sub(h.storeReadAt), h.mirror.voters, m.store.leader, m.store.voters)
					}
				}
				promotions += m.promotions
				resumed += m.group.resumed
				confirmations += m.confirmations
				changed.left, changed.died, changed.replaced = changed.left+m.left, changed.died+m.died, changed.replaced+m.replaced
			}
			if promotions < 4**fleetModelSeeds || confirmations < 100 {
				t.Errorf("only %d promotions and %d confirmations without the store were simulated", promotions, confirmations)
			}
			if hosts > 1 && (changed.left == 0 || changed.died == 0 || changed.replaced == 0) {
				t.Errorf("only %d hosts that left, %d that died and %d replacements were simulated", changed.left, changed.died, changed.replaced)
			}
			if resumed == 0 {
				t.Error("no change was simulated that another leader resumed")
			}
		})
	}
}
