package overseer

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/informer"
	"github.com/endiveturn/endiveturn/storer"
)

const (
	// leaseTTL is how long the leader key stays in the store without a renewal.
	leaseTTL = 1800 * time.Millisecond
	// hostLeaseTTL is the same for a host's key. It outlasts the time for which a majority
	// confirms views, so that a new leader sees every host that may count, and a host that
	// only the store rejects for a while goes on.
	hostLeaseTTL = 14400 * time.Millisecond
	// renewInterval leaves room for two failed renewals, each bounded by
	// renewTimeout.
	renewInterval = 450 * time.Millisecond
	renewTimeout  = 500 * time.Millisecond
	// hostLeaseRetryInterval and largeFleetLeaseRetryInterval are the times between two
	// requests for the host's lease after a failed call.
	hostLeaseRetryInterval       = renewInterval / 2
	largeFleetLeaseRetryInterval = 4 * renewInterval
	// storeTimeout bounds a call to the store.
	storeTimeout = 1200 * time.Millisecond
)

// A heldLease is a lease that is valid at least until expiresAt. Its ID is 0 if
// there is none.
type heldLease struct {
	id        storer.LeaseID
	ttl       time.Duration
	expiresAt time.Time
	// era is the era of the store in which the lease was granted.
	era int64
}

// renewalDue reports whether to renew: after a quarter of the lease's TTL.
func (l heldLease) renewalDue(now time.Time) bool {
	return l.id == 0 || l.expiresAt.Sub(now) <= l.ttl*3/4
}

// renewLeases renews the leader lease, and the host's lease when its renewal is due.
func (o *Overseer) renewLeases(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	o.mu.Lock()
	leaderLease, lease, retryAt, stopped := o.leaderLease, o.hostLease, o.hostLeaseRetryAt, o.stopped
	o.mu.Unlock()
	if stopped {
		return
	}
	if leaderLease.id != 0 {
		o.renewLeaderLease(ctx, leaderLease.id)
	}
	_, present := o.Mirror.Get(hostsPrefix + o.Host.Name)
	if (lease.renewalDue(o.Now()) || !present && lease.id != 0) && !o.Now().Before(retryAt) {
		o.renewHostLease(ctx, lease)
	}
}

// checkRegistration has the host register again at once if the store has lost its key, because
// a host that is not registered uses no primaries.
func (o *Overseer) checkRegistration() {
	o.mu.Lock()
	due := o.hostLease.id != 0
	o.mu.Unlock()
	_, present := o.Mirror.Get(hostsPrefix + o.Host.Name)
	if present || !due || !o.Mirror.Loaded() {
		return
	}
	select {
	case o.keyMissing <- struct{}{}:
	default:
	}
}

// deferHostLeaseRetry postpones the next request for the host's lease. In a large
// fleet it does so for several intervals, because every host retries during an
// outage of the store.
func (o *Overseer) deferHostLeaseRetry() {
	interval := hostLeaseRetryInterval
	if o.largeFleet() {
		interval = largeFleetLeaseRetryInterval
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.hostLeaseRetryAt = o.Now().Add(interval)
}

// largeFleet reports whether only the hub exchanges reports with all hosts.
func (o *Overseer) largeFleet() bool {
	catalog := o.Catalog()
	return catalog != nil && catalog.IsLargeFleet()
}

func (o *Overseer) renewLeaderLease(ctx context.Context, id storer.LeaseID) {
	requestedAt := o.Now()
	err := o.renew(ctx, id)
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case err == nil && storer.EraOf(o.token) != o.Store.Era():
		// The store restored the lease, which does not show that it was valid all the time.
	case err == nil && o.leaderLease.id == id:
		o.leaderLease.expiresAt = requestedAt.Add(leaseTTL)
	case errors.Is(err, storer.ErrLeaseExpired):
		o.Logger.Warn("duty_lost", "token", o.token)
		o.leaderLease, o.token = heldLease{}, 0
	case err != nil:
		o.Logger.Warn("lease_not_renewed", "lease", int64(id), "error", err.Error())
	}
}

// renewHostLease renews the host's lease, or grants a new one if there is none.
func (o *Overseer) renewHostLease(ctx context.Context, lease heldLease) {
	requestedAt := o.Now()
	id := lease.id
	if id != 0 {
		err := o.renew(ctx, id)
		if err == nil {
			era := o.Store.Era()
			o.setHostLease(heldLease{id: id, ttl: hostLeaseTTL, expiresAt: requestedAt.Add(hostLeaseTTL), era: era})
			if _, present := o.Mirror.Get(hostsPrefix + o.Host.Name); era != lease.era || !present {
				// The store kept or restored the lease, but maybe not the host's key.
				o.register(ctx, id)
			}
			return
		}
		if !errors.Is(err, storer.ErrLeaseExpired) {
			o.Logger.Warn("lease_not_renewed", "lease", int64(id), "error", err.Error())
			o.deferHostLeaseRetry()
			return
		}
		o.Logger.Warn("lease_expired", "lease", int64(id))
	}
	id, err := o.Store.Grant(ctx, hostLeaseTTL)
	if err != nil {
		o.Logger.Warn("lease_not_granted", "error", err.Error())
		o.deferHostLeaseRetry()
		return
	}
	if !o.setHostLease(heldLease{id: id, ttl: hostLeaseTTL, expiresAt: requestedAt.Add(hostLeaseTTL), era: o.Store.Era()}) {
		o.revoke(ctx, id)
		return
	}
	o.register(ctx, id)
}

// setHostLease replaces the host's lease unless the host has stopped.
func (o *Overseer) setHostLease(lease heldLease) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.stopped {
		return false
	}
	o.hostLease = lease
	return true
}

func (o *Overseer) renew(ctx context.Context, lease storer.LeaseID) error {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	return o.Store.Renew(ctx, lease)
}

// register writes the host's key, replacing one left by a former process of the same
// name.
func (o *Overseer) register(ctx context.Context, lease storer.LeaseID) {
	key := hostsPrefix + o.Host.Name
	existing, _ := o.Mirror.Get(key)
	expected := existing.Revision
	for range 2 {
		revision, err := o.Store.Write(ctx, storer.Put{Key: key, Value: encodeHost(o.Host), ExpectedRevision: expected, Lease: lease})
		if err == nil {
			o.Mirror.ApplyWrite(informer.Record{Key: key, Value: encodeHost(o.Host), Revision: revision})
			o.Logger.Info("host_registered", "lease", int64(lease), "revision", revision)
			return
		}
		var conflict *storer.ConflictError
		if !errors.As(err, &conflict) {
			o.Logger.Warn("host_not_registered", "error", err.Error())
			o.setHostLease(heldLease{})
			return
		}
		expected = conflict.Current.ModRevision
	}
	o.setHostLease(heldLease{})
}
