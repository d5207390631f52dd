package hoster

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/director"
)

// A restoreModel simulates a fleet whose store comes back from older copies, in discrete
// steps. Hosts follow the rules by which assignments outlast a restore, views are confirmed
// and primaries are replaced; the store, the network and the promotion are modelled.
type restoreModel struct {
	random *rand.Rand
	now    time.Time
	large  bool
	hosts  []*restoreModelHost
	store  restoreModelStore
	// copies are the states of the store in the last steps.
	copies    []restoreModelStore
	storeDown bool
	// partition is the network partition of each host, storePartition that of the store.
	partition      []int
	storePartition int
	// primary is the database that leads, and promotions those that were requested.
	primary    int
	promotions []modelPromotion
	// count is how many promotions have taken effect.
	count int
}

type modelPromotion struct {
	primary  int
	effectAt time.Time
}

// A modelAssignment is a primary assignment, ordered by the era in which it was written and
// its revision.
type modelAssignment struct {
	era, revision, primary int
	changing               bool
}

func (a modelAssignment) newerThan(b modelAssignment) bool {
	return a.era > b.era || a.era == b.era && a.revision > b.revision
}

type restoreModelStore struct {
	era, revision int
	assignment    modelAssignment
	leader        int
	leaderUntil   time.Time
}

type restoreModelHost struct {
	id int
	// era is the era of the mirror, firstEra that of its first list, and storeEra the
	// latest in a response to this host, first seen at storeEraSince.
	era, firstEra, storeEra int
	storeEraSince           time.Time
	listed                  bool
	assignment              modelAssignment
	// storeAsOf is when the store was read last, formerAsOf the same when the previous
	// era ended.
	storeAsOf, formerAsOf time.Time
	majorityAsOf          time.Time
	heard                 map[int]voter
	acknowledged          map[int]modelAssignment
	// ledEra is the era of the leadership, 0 without one.
	ledEra             int
	ledSince, ledUntil time.Time
	// fence is the assignment that the change in progress wrote at fencedAt, promoted
	// the database that it promotes, -1 before.
	fence    *modelAssignment
	fencedAt time.Time
	// quorumAt is when enough hosts had acknowledged the change.
	quorumAt time.Time
	promoted int
}

const (
	modelLease           = 1800 * time.Millisecond
	modelPromotionEffect = 300 * time.Millisecond
)

func newRestoreModel(seed uint64, hosts int, large bool) *restoreModel {
	m := &restoreModel{
		random: rand.New(rand.NewPCG(seed, 2)), now: time.Unix(1000, 0), large: large, partition: make([]int, hosts),
		store: restoreModelStore{era: 1, revision: 1, assignment: modelAssignment{era: 1, revision: 1}, leader: -1},
	}
	for id := range hosts {
		m.hosts = append(m.hosts, newRestoreModelHost(id))
	}
	return m
}

func newRestoreModelHost(id int) *restoreModelHost {
	return &restoreModelHost{id: id, heard: make(map[int]voter), acknowledged: make(map[int]modelAssignment)}
}

func (m *restoreModel) reachesStore(h *restoreModelHost) bool {
	return !m.storeDown && m.partition[h.id] == m.storePartition
}

// injectFault restores the store, takes it away, partitions or heals the network, or
// restarts hosts.
func (m *restoreModel) injectFault() {
	switch m.random.IntN(9) {
	case 0, 1:
		restored := m.copies[m.random.IntN(len(m.copies))]
		restored.era = m.store.era + 1
		if m.random.IntN(2) == 0 {
			restored.leader = -1
		}
		m.store = restored
		m.storeDown = false
	case 2:
		m.storeDown = m.random.IntN(3) > 0
	case 3, 4:
		for id := range m.partition {
			m.partition[id] = m.random.IntN(2)
		}
		m.storePartition = m.random.IntN(2)
	case 5, 6:
		clear(m.partition)
		m.storePartition, m.storeDown = 0, false
	default:
		share := []int{1, 3, 5}[m.random.IntN(3)]
		for id := range m.hosts {
			if m.random.IntN(share) == 0 {
				m.hosts[id] = newRestoreModelHost(id)
			}
		}
	}
}

func (m *restoreModel) step() {
	m.now = m.now.Add(stepDuration)
	m.copies = append(m.copies, m.store)
	m.copies = m.copies[max(0, len(m.copies)-200):]
	if m.random.IntN(40) == 0 {
		m.injectFault()
	}
	m.takeEffect()
	for _, h := range m.hosts {
		if m.reachesStore(h) && m.random.IntN(4) == 0 {
			m.readStore(h)
		}
		if other := m.hosts[m.random.IntN(len(m.hosts))]; other != h && m.partition[other.id] == m.partition[h.id] {
			m.exchange(h, other)
			m.exchange(other, h)
		}
		m.lead(h)
	}
}

// takeEffect makes databases lead whose promotion was requested long enough ago.
func (m *restoreModel) takeEffect() {
	for len(m.promotions) > 0 && !m.now.Before(m.promotions[0].effectAt) {
		if m.primary != m.promotions[0].primary {
			m.count++
		}
		m.primary = m.promotions[0].primary
		m.promotions = m.promotions[1:]
	}
}

// seeEra is called with each response of the store to a host.
func (m *restoreModel) seeEra(h *restoreModelHost) {
	if h.storeEra == m.store.era {
		return
	}
	h.storeEra = m.store.era
	if h.ledEra == 0 || !m.now.Before(h.ledUntil) {
		h.storeEraSince = m.now
	} else {
		h.storeEraSince = m.now.Add(-modelLease)
	}
	h.ledEra, h.fence = 0, nil
}

func (m *restoreModel) readStore(h *restoreModelHost) {
	m.seeEra(h)
	h.enter(m.store.era)
	if !h.listed {
		h.listed, h.firstEra = true, h.era
	}
	h.storeAsOf = m.now
	if m.store.assignment.newerThan(h.assignment) {
		h.assignment = m.store.assignment
	}
}

// enter makes the mirror of a host move to a later era.
func (h *restoreModelHost) enter(era int) {
	if era <= h.era {
		return
	}
	if h.era > 0 && !h.awaitsConfirmation() {
		h.formerAsOf = h.storeAsOf
	}
	if h.era == 0 {
		h.firstEra = era
	}
	h.era = era
}

// exchange makes a host receive the report of another one.
func (m *restoreModel) exchange(h, other *restoreModelHost) {
	if other.era == 0 {
		return
	}
	h.enter(other.era)
	if other.assignment.newerThan(h.assignment) {
		h.assignment = other.assignment
	}
	h.heard[other.id] = voter{listed: other.knowsChanges(), reportedAt: m.now}
	h.acknowledged[other.id] = other.assignment
	if at := m.majorityReportedAsOf(other); at.After(h.majorityAsOf) {
		h.majorityAsOf = at
	}
}

func (h *restoreModelHost) awaitsConfirmation() bool { return h.assignment.era < h.era }

func (h *restoreModelHost) knowsChanges() bool {
	return h.listed && h.firstEra <= h.assignment.era
}

func (h *restoreModelHost) primariesAsOf() time.Time {
	if h.awaitsConfirmation() {
		return h.formerAsOf
	}
	return h.storeAsOf
}

// viewAsOf returns as of when the view of a host is confirmed.
func (m *restoreModel) viewAsOf(h *restoreModelHost) time.Time {
	byStore, byHosts := h.primariesAsOf(), m.majorityReportedAsOf(h)
	if h.majorityAsOf.After(byHosts) {
		byHosts = h.majorityAsOf
	}
	if byHosts.After(byStore) {
		return byHosts
	}
	return byStore
}

func (m *restoreModel) majorityReportedAsOf(h *restoreModelHost) time.Time {
	needed, ok := votersNeeded(len(m.hosts), m.now.Sub(h.primariesAsOf()))
	if !ok || !h.listed {
		return time.Time{}
	}
	voters := []voter{{listed: h.knowsChanges(), reportedAt: m.now}}
	for _, other := range m.hosts {
		if other != h {
			voters = append(voters, h.heard[other.id])
		}
	}
	return reportedAt(voters, needed)
}

// lead makes a host take and renew leadership, confirm the assignment and replace the
// primary now and then.
func (m *restoreModel) lead(h *restoreModelHost) {
	if m.reachesStore(h) && m.random.IntN(4) == 0 {
		m.campaign(h)
	}
	if h.ledEra == 0 || !m.now.Before(h.ledUntil) {
		return
	}
	unconfirmed := h.assignment.era < h.ledEra
	switch {
	case h.fence != nil:
		m.continueChange(h)
	case h.assignment.changing || unconfirmed && m.now.Sub(h.ledSince) > 500*time.Millisecond && !m.viewAsOf(h).After(h.ledSince):
		m.beginChange(h)
	case unconfirmed && m.viewAsOf(h).After(h.ledSince):
		m.write(h, modelAssignment{primary: h.assignment.primary})
	case !unconfirmed && m.random.IntN(20) == 0:
		m.beginChange(h)
	}
}

func (m *restoreModel) campaign(h *restoreModelHost) {
	m.seeEra(h)
	holds := m.store.leader == h.id && h.ledEra == m.store.era
	switch {
	case holds:
		m.store.leaderUntil, h.ledUntil = m.now.Add(modelLease), m.now.Add(modelLease)
	case (m.store.leader < 0 || m.now.After(m.store.leaderUntil)) && h.listed && m.now.Sub(h.storeEraSince) >= modelLease:
		m.store.leader, m.store.leaderUntil = h.id, m.now.Add(modelLease)
		h.ledEra, h.ledSince, h.ledUntil, h.fence = m.store.era, m.now, m.now.Add(modelLease), nil
	}
}

// write writes an assignment on condition that the store's is the one that the host has, or
// one that the store restored. It reports whether it succeeded.
func (m *restoreModel) write(h *restoreModelHost, assignment modelAssignment) bool {
	if !m.reachesStore(h) {
		return false
	}
	m.seeEra(h)
	if h.ledEra != m.store.era {
		return false
	}
	if m.store.assignment != h.assignment && m.store.assignment.era == m.store.era {
		h.assignment = m.store.assignment
		return false
	}
	m.store.revision++
	assignment.era, assignment.revision = m.store.era, m.store.revision
	m.store.assignment, h.assignment = assignment, assignment
	h.enter(m.store.era)
	return true
}

func (m *restoreModel) beginChange(h *restoreModelHost) {
	if m.write(h, modelAssignment{primary: h.assignment.primary, changing: true}) {
		fence := h.assignment
		h.fence, h.fencedAt, h.quorumAt, h.promoted = &fence, m.now, time.Time{}, -1
	}
}

// continueChange promotes a database once no host may use a former primary, and records it
// once it leads.
func (m *restoreModel) continueChange(h *restoreModelHost) {
	if h.promoted < 0 {
		if m.released(h) {
			h.promoted = m.random.IntN(3)
			m.promotions = append(m.promotions, modelPromotion{primary: h.promoted, effectAt: m.now.Add(modelPromotionEffect)})
		}
		return
	}
	if m.primary == h.promoted && len(m.promotions) == 0 {
		m.write(h, modelAssignment{primary: h.promoted})
		h.fence = nil
	}
}

func (m *restoreModel) released(h *restoreModelHost) bool {
	voters := cataloger.Voters{Version: 1, Since: make(map[string]int64)}
	acknowledged := make(map[string]bool)
	for _, other := range m.hosts {
		name := fmt.Sprint(other.id)
		voters.Since[name] = 0
		acknowledged[name] = other == h || !h.fence.newerThan(h.acknowledged[other.id])
	}
	uncertainty := cataloger.Uncertainty{MayConfirm: func(name string) (int64, bool) { return 0, !acknowledged[name] }}
	waited, expiry := m.now.Sub(h.fencedAt), time.Duration(0)
	switch {
	case voters.AllPossible(uncertainty):
		expiry = fleetExpiry
	case voters.MajorityPossible(uncertainty):
		expiry = majorityExpiry
	}
	if waited < expiry {
		return false
	}
	if h.quorumAt.IsZero() {
		h.quorumAt = m.now
	}
	all := !slices.Contains(slices.Collect(maps.Values(acknowledged)), false)
	return all && !m.large || m.now.Sub(h.quorumAt) > director.MaxViewAge+stepDuration
}

// hostUsingFormerPrimary returns a host that uses a database other than the primary.
func (m *restoreModel) hostUsingFormerPrimary() *restoreModelHost {
	for _, h := range m.hosts {
		fresh := h.era > 0 && m.now.Sub(m.viewAsOf(h)) < director.MaxViewAge
		if fresh && !h.assignment.changing && h.assignment.primary != m.primary {
			return h
		}
	}
	return nil
}

// TestFormerPrimaryIsNotUsedAfterRestore simulates restores of the store at random, with
// outages, partitions and restarts of hosts. It guards against a host that uses a former
// primary because the store lost the record of a change.
func TestFormerPrimaryIsNotUsedAfterRestore(t *testing.T) {
	tests := []struct {
		hosts int
		large bool
	}{{hosts: 1}, {hosts: 2}, {hosts: 3}, {hosts: 5}, {hosts: 7}, {hosts: 17, large: true}}
	for _, test := range tests {
		t.Run(fmt.Sprint(test.hosts, " hosts"), func(t *testing.T) {
			t.Parallel()
			changes := 0
			for seed := range uint64(20) {
				m := newRestoreModel(seed, test.hosts, test.large)
				for range 2400 {
					m.step()
					if h := m.hostUsingFormerPrimary(); h != nil {
						t.Fatalf("seed %d after %v: host %d uses %+v in era %d, the primary is %d; the store has %+v",
							seed, m.now.Sub(time.Unix(1000, 0)), h.id, h.assignment, h.era, m.primary, m.store)
					}
				}
				changes += m.count
			}
			if changes < 40 {
				t.Errorf("only %d changes of primary were simulated", changes)
			}
		})
	}
}
