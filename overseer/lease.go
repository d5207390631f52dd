package overseer

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/informer"
	"github.com/endiveturn/endiveturn/storer"
)

const (
	// leaseTime is after how much silence a host's keys leave the store.
	leaseTime = 1800 * time.Millisecond
	// renewInterval leaves room for two failed renewals, of which renewTimeout
	// bounds each.
	renewInterval = 450 * time.Millisecond
	renewTimeout  = 500 * time.Millisecond
	// longLease is how many times longer leases last in a large fleet, where no
	// decision waits for one of them to end.
	longLease = 8
	// storeTimeout bounds a call to the store.
	storeTimeout = 1200 * time.Millisecond
)

// A held lease lasts at least until an instant; its ID is 0 if there is none.
type held struct {
	id    storer.LeaseID
	ttl   time.Duration
	until time.Time
}

// due reports whether it is time to renew: after a quarter of the lease's time.
func (l held) due(now time.Time) bool {
	return l.id == 0 || l.until.Sub(now) <= l.ttl*3/4
}

// keep renews the lease of the duty, and the host's lease when that is due.
func (o *Overseer) keep(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	o.mu.Lock()
	duty, lease, retry := o.duty, o.lease, o.leaseRetry
	o.mu.Unlock()
	if duty.id != 0 {
		o.keepDuty(ctx, duty.id)
	}
	if lease.due(o.Now()) && !o.Now().Before(retry) {
		o.keepHost(ctx, lease, leaseTime*o.leaseScale())
	}
}

// retryLater puts off the next call for the host's lease, in a large fleet for
// several intervals: every host tries while the store is away.
func (o *Overseer) retryLater() {
	scale := o.leaseScale()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.leaseRetry = o.Now().Add(renewInterval * scale / 2)
}

// leaseScale is how many times longer hosts' leases last in large fleets, where
// no decision waits for one of them to end.
func (o *Overseer) leaseScale() time.Duration {
	if catalog := o.Catalog(); catalog != nil && catalog.Large() {
		return longLease
	}
	return 1
}

func (o *Overseer) keepDuty(ctx context.Context, id storer.LeaseID) {
	asked := o.Now()
	err := o.renew(ctx, id)
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case err == nil && o.duty.id == id:
		o.duty.until = asked.Add(leaseTime)
	case errors.Is(err, storer.ErrLeaseExpired):
		o.Logger.Warn("duty_lost", "token", o.token)
		o.duty, o.token = held{}, 0
	case err != nil:
		o.Logger.Warn("lease_not_renewed", "lease", int64(id), "error", err.Error())
	}
}

// keepHost renews the host's lease, or makes a new one if there is none of the
// wanted time. A lease that is replaced is left to end.
func (o *Overseer) keepHost(ctx context.Context, lease held, ttl time.Duration) {
	asked := o.Now()
	id := lease.id
	if id != 0 && lease.ttl == ttl {
		err := o.renew(ctx, id)
		if err == nil {
			o.setLease(held{id: id, ttl: ttl, until: asked.Add(ttl)})
			return
		}
		if !errors.Is(err, storer.ErrLeaseExpired) {
			o.Logger.Warn("lease_not_renewed", "lease", int64(id), "error", err.Error())
			o.retryLater()
			return
		}
		o.Logger.Warn("lease_expired", "lease", int64(id))
	}
	id, err := o.Space.Grant(ctx, ttl)
	if err != nil {
		o.Logger.Warn("lease_not_granted", "error", err.Error())
		o.retryLater()
		return
	}
	o.setLease(held{id: id, ttl: ttl, until: asked.Add(ttl)})
	o.register(ctx, id)
}

func (o *Overseer) setLease(lease held) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lease = lease
}

func (o *Overseer) renew(ctx context.Context, lease storer.LeaseID) error {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	return o.Space.Renew(ctx, lease)
}

// register writes the host's key. One left by a former process of the same
// name is replaced.
func (o *Overseer) register(ctx context.Context, lease storer.LeaseID) {
	key := hostsPrefix + o.Host.Name
	known, _ := o.Mirror.Get(key)
	expected := known.Revision
	for range 2 {
		revision, err := o.Space.Write(ctx, storer.Put{Key: key, Value: encodeHost(o.Host), Expected: expected, Lease: lease})
		if err == nil {
			o.Mirror.Wrote(informer.Record{Key: key, Value: encodeHost(o.Host), Revision: revision})
			o.Logger.Info("host_registered", "lease", int64(lease), "revision", revision)
			return
		}
		var conflict *storer.Conflict
		if !errors.As(err, &conflict) {
			o.Logger.Warn("host_not_registered", "error", err.Error())
			o.setLease(held{})
			return
		}
		expected = conflict.Now.ModRevision
	}
	o.setLease(held{})
}
