package overseer

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/informer"
	"github.com/endiveturn/endiveturn/storer"
)

const (
	// targetCampaigners is the approximate number of hosts that campaign for
	// leadership at once.
	targetCampaigners = 16
	// newHostDelayFactor and lowCapacityDelayFactor are by how much longer recently
	// started hosts and hosts with less capacity wait on average before they
	// campaign.
	newHostDelayFactor     = 8
	lowCapacityDelayFactor = 50
	// largerHostsLead is how long leadership must have been vacant before a host of a
	// large fleet campaigns that has less than the largest capacity. Until then a
	// larger host that can reach the store has become the leader: all of them campaign
	// in each evaluateInterval, or in every third one if they have started recently.
	largerHostsLead = 3 * time.Second
	// unreachableWindow is the time within which the databases of two services must
	// fail to respond to the leader for it to resign. campaignBackoff is how long it
	// does not campaign after that.
	unreachableWindow = 2 * time.Second
	campaignBackoff   = 5 * time.Second
)

// leaderToken returns the fencing token, and whether this host is certain to be the
// leader.
func (o *Overseer) leaderToken() (int64, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	valid := o.token > 0 && o.Now().Before(o.leaderLease.expiresAt) && storer.EraOf(o.token) == o.Store.Era()
	return o.token, valid
}

// A Leadership is the time for which this host is the leader.
type Leadership struct {
	// Token is the fencing token.
	Token int64
	// Since is when this host learned that it is the leader, Until is when it may be the
	// leader no more, unless it renews its lease.
	Since, Until time.Time
	// EraSince is when this host first saw the present era of the store.
	EraSince time.Time
}

// Leadership returns the leadership of this host; ok is false unless it is certain to be
// the leader.
func (o *Overseer) Leadership() (leadership Leadership, ok bool) {
	_, ok = o.leaderToken()
	o.mu.Lock()
	defer o.mu.Unlock()
	leadership = Leadership{Token: o.token, Since: o.ledSince, Until: o.leaderLease.expiresAt, EraSince: o.eraSince}
	return leadership, ok && leadership.Token > 0
}

// leaderUntil returns until when this host is certain to be the leader, if it is.
func (o *Overseer) leaderUntil() time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.leaderLease.expiresAt
}

// Stop resigns leadership and records that this process has left: from then on it must not use
// primaries nor confirm views. Leases that are being granted are revoked when they arrive.
func (o *Overseer) Stop(ctx context.Context) {
	o.mu.Lock()
	o.stopping, o.stopped = true, true
	leases, hostLease := []storer.LeaseID{o.leaderLease.id, o.offer.lease}, o.hostLease.id
	o.leaderLease, o.offer, o.hostLease, o.token = heldLease{}, offer{}, heldLease{}, 0
	o.mu.Unlock()
	var group sync.WaitGroup
	if hostLease != 0 {
		group.Go(func() { o.recordEnd(ctx, hostLease) })
	}
	for _, lease := range leases {
		if lease != 0 {
			group.Go(func() { o.revoke(ctx, lease) })
		}
	}
	group.Wait()
}

// recordEnd replaces the host's key by the record that its process has left, which stays until
// the lease expires. A key that expires does not show that: its host may be cut off.
func (o *Overseer) recordEnd(ctx context.Context, lease storer.LeaseID) {
	key := hostsPrefix + o.Host.Name
	existing, ok := o.Mirror.Get(key)
	registration, _, err := DecodeHost(key, existing.Value, existing.Revision)
	if !ok || err != nil || registration.Host.Incarnation != o.Host.Incarnation {
		o.revoke(ctx, lease)
		return
	}
	put := storer.Put{Key: key, Value: encodeEnded(o.Host, o.Store.Era()), ExpectedRevision: existing.Revision, Lease: lease}
	if _, err := o.Store.Write(ctx, put); err != nil {
		o.Logger.Warn("end_not_recorded", "error", err.Error())
		o.revoke(ctx, lease)
	}
}

func (o *Overseer) revoke(ctx context.Context, lease storer.LeaseID) {
	if err := o.Store.Revoke(ctx, lease); err != nil {
		o.Logger.Warn("lease_not_revoked", "error", err.Error())
	}
}

// StopCampaigning keeps this host from becoming the leader during its graceful stop. A
// host that is the leader remains so until Stop.
func (o *Overseer) StopCampaigning() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stopping = true
}

// recordUnreachable records that none of a service's databases eligible for
// promotion responded to this host. If that happens for two services at once,
// the cause is more likely this host, which is slow or partitioned, so it
// resigns and leaves the decision to another host.
func (o *Overseer) recordUnreachable(ctx context.Context, service string) {
	o.mu.Lock()
	now := o.Now()
	o.unreachableAt[service] = now
	recent := 0
	for _, at := range o.unreachableAt {
		if now.Sub(at) < unreachableWindow {
			recent++
		}
	}
	lease := o.leaderLease
	if recent < 2 || lease.id == 0 {
		o.mu.Unlock()
		return
	}
	token := o.token
	o.leaderLease, o.token, o.campaignAfter = heldLease{}, 0, now.Add(campaignBackoff)
	clear(o.unreachableAt)
	o.mu.Unlock()
	o.Logger.Warn("duty_given_up", "token", token, "reason", "databases do not answer this host", "services", recent)
	o.revoke(ctx, lease.id)
}

// campaign takes leadership if there is no leader, and reports whether this host is
// the leader.
func (o *Overseer) campaign(ctx context.Context) bool {
	o.resignFormerEra(ctx)
	era, campaignFrom := o.observeEra()
	if _, ok := o.leaderToken(); ok {
		return true
	}
	present, taken := o.Mirror.Get(leaderKey)
	expected := int64(0)
	if taken && LeaderName(present.Value) == "" {
		taken, expected = false, present.Revision
	}
	offered := taken && o.offeredToThisHost(present.Value)
	if offered {
		taken, expected = false, present.Revision
	}
	if taken {
		o.observeLeader(present.Value)
	}
	o.mu.Lock()
	registered, ineligible := o.hostLease.id != 0, o.stopping || o.Now().Before(o.campaignAfter) || o.Now().Before(campaignFrom)
	vacantFor := o.recordVacancy(taken, campaignFrom)
	o.mu.Unlock()
	if taken || !registered || ineligible || !o.Mirror.Loaded() {
		return false
	}
	if !offered && (o.defersToLarger(vacantFor) || !o.shouldCampaign()) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	requestedAt := o.Now()
	lease, err := o.Store.Grant(ctx, leaseTTL)
	if err != nil {
		return false
	}
	value := encode(leaderRecord{Host: o.Host.Name, Incarnation: o.Host.Incarnation})
	revision, err := o.Store.Write(ctx, storer.Put{Key: leaderKey, Value: value, Lease: lease, ExpectedRevision: expected})
	if err != nil {
		o.abandonCampaign(ctx, lease, err)
		return false
	}
	o.Mirror.ApplyWrite(informer.Record{Key: leaderKey, Value: value, Revision: revision})
	if storer.EraOf(revision) != era || !o.acceptLeadership(heldLease{id: lease, ttl: leaseTTL, expiresAt: requestedAt.Add(leaseTTL)}, revision) {
		o.revoke(ctx, lease)
		return false
	}
	o.Logger.Info("duty_taken", "token", revision, "offered", offered)
	return true
}

// acceptLeadership makes this host the leader unless it has stopped.
func (o *Overseer) acceptLeadership(lease heldLease, token int64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.stopped {
		return false
	}
	o.leaderLease, o.token, o.ledSince = lease, token, o.Now()
	clear(o.primaryMissingSince)
	clear(o.partitionedSince)
	o.endOffer()
	return true
}

// recordVacancy records whether there is a leader, and returns for how long there has
// been none although hosts may campaign. The caller holds mu.
func (o *Overseer) recordVacancy(taken bool, campaignFrom time.Time) time.Duration {
	if taken {
		o.vacantSince = time.Time{}
		return 0
	}
	if o.vacantSince.IsZero() {
		o.vacantSince = o.Now()
	}
	if o.vacantSince.Before(campaignFrom) {
		o.vacantSince = campaignFrom
	}
	return o.Now().Sub(o.vacantSince)
}

// defersToLarger reports whether this host leaves leadership to a host of larger
// capacity, which it does until leadership has been vacant for largerHostsLead.
func (o *Overseer) defersToLarger(vacantFor time.Duration) bool {
	catalog := o.Catalog()
	if catalog == nil || !catalog.IsLargeFleet() || vacantFor >= largerHostsLead {
		return false
	}
	return slices.ContainsFunc(catalog.RecentHosts, func(host cataloger.Host) bool { return host.Capacity > o.Host.Capacity })
}

// shouldCampaign spreads out the campaigns of a large fleet. Hosts of the largest
// capacity that have run for long go first, since the leader also serves as the
// fleet's hub.
func (o *Overseer) shouldCampaign() bool {
	catalog := o.Catalog()
	if catalog == nil || !catalog.IsLargeFleet() {
		return true
	}
	largest, peers := int64(0), 0
	for _, host := range catalog.RecentHosts {
		switch {
		case host.Capacity > largest:
			largest, peers = host.Capacity, 1
		case host.Capacity == largest:
			peers++
		}
	}
	if o.Host.Capacity < largest {
		peers = catalog.FleetSize() * lowCapacityDelayFactor
	}
	if o.RecentlyStarted() {
		peers *= newHostDelayFactor
	}
	return rand.N(max(1, peers)) < targetCampaigners
}

// abandonCampaign revokes the lease of a campaign that another host has won or whose
// outcome is unknown.
func (o *Overseer) abandonCampaign(ctx context.Context, lease storer.LeaseID, err error) {
	o.applyConflict(err)
	o.revoke(ctx, lease)
}
