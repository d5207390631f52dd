package overseer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/endiveturn/endiveturn/informer"
	"github.com/endiveturn/endiveturn/storer"
)

const (
	// campaigners is about how many hosts try to take the duty at once.
	campaigners = 16
	// youngDelay and weakDelay are by how much longer young hosts and those of less
	// capacity wait for the duty.
	youngDelay = 8
	weakDelay  = 50
	// unansweredTime is the time in which the databases of two services have to
	// leave this host without an answer for it to give the duty up, and abstainTime
	// how long it then leaves the duty to others.
	unansweredTime = 2 * time.Second
	abstainTime    = 5 * time.Second
)

// holds returns the fencing token if this host surely holds the duty.
func (o *Overseer) holds() (int64, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.token, o.token > 0 && o.Now().Before(o.duty.until)
}

// Stop gives the duty up and ends the host's lease.
func (o *Overseer) Stop(ctx context.Context) {
	o.mu.Lock()
	o.stopping = true
	leases := []held{o.duty, o.lease}
	o.duty, o.lease, o.token = held{}, held{}, 0
	o.mu.Unlock()
	for _, lease := range leases {
		if lease.id == 0 {
			continue
		}
		if err := o.Space.Revoke(ctx, lease.id); err != nil {
			o.Logger.Warn("lease_not_revoked", "error", err.Error())
		}
	}
}

// GiveUpDuty lets another host take the duty while this one still serves.
func (o *Overseer) GiveUpDuty() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stopping = true
}

// noneAnswered notes that no database of a service that could take over has
// answered this host. With two services at once the fault is more likely this
// host's, which is slow or cut off, and another one judges better.
func (o *Overseer) noneAnswered(ctx context.Context, service string) {
	o.mu.Lock()
	now := o.Now()
	o.unanswered[service] = now
	lately := 0
	for _, at := range o.unanswered {
		if now.Sub(at) < unansweredTime {
			lately++
		}
	}
	duty := o.duty
	if lately < 2 || duty.id == 0 {
		o.mu.Unlock()
		return
	}
	token := o.token
	o.duty, o.token, o.abstains = held{}, 0, now.Add(abstainTime)
	clear(o.unanswered)
	o.mu.Unlock()
	o.Logger.Warn("duty_given_up", "token", token, "reason", "databases do not answer this host", "services", lately)
	if err := o.Space.Revoke(ctx, duty.id); err != nil {
		o.Logger.Warn("lease_not_revoked", "error", err.Error())
	}
}

// campaign takes the duty if nobody holds it, and reports whether this host
// does.
func (o *Overseer) campaign(ctx context.Context) bool {
	if _, ok := o.holds(); ok {
		return true
	}
	_, taken := o.Mirror.Get(dutyKey)
	o.mu.Lock()
	registered, stopping := o.lease.id != 0, o.stopping || o.Now().Before(o.abstains)
	o.mu.Unlock()
	if taken || !registered || stopping || !o.Mirror.Loaded() || !o.chosen() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	asked := o.Now()
	lease, err := o.Space.Grant(ctx, leaseTime)
	if err != nil {
		return false
	}
	value := encode(wireDuty{Host: o.Host.Name, Incarnation: o.Host.Incarnation})
	revision, err := o.Space.Write(ctx, storer.Put{Key: dutyKey, Value: value, Lease: lease})
	if err != nil {
		o.lostCampaign(ctx, lease, err)
		return false
	}
	o.Mirror.Wrote(informer.Record{Key: dutyKey, Value: value, Revision: revision})
	o.mu.Lock()
	defer o.mu.Unlock()
	o.duty, o.token = held{id: lease, ttl: leaseTime, until: asked.Add(leaseTime)}, revision
	o.Logger.Info("duty_taken", "token", revision)
	return true
}

// chosen lets hosts of a large fleet try at different times: first those of the
// largest capacity that have run for long, which can speak for all.
func (o *Overseer) chosen() bool {
	catalog := o.Catalog()
	if catalog == nil || !catalog.Large() {
		return true
	}
	largest, peers := int64(0), 0
	for _, host := range catalog.Sharers {
		switch {
		case host.Capacity > largest:
			largest, peers = host.Capacity, 1
		case host.Capacity == largest:
			peers++
		}
	}
	if o.Host.Capacity < largest {
		peers = catalog.FleetSize() * weakDelay
	}
	if o.Young() {
		peers *= youngDelay
	}
	return rand.N(max(1, peers)) < campaigners
}

// lostCampaign gives back the lease of a campaign that another host has won, or
// whose outcome is not known.
func (o *Overseer) lostCampaign(ctx context.Context, lease storer.LeaseID, err error) {
	o.adopt(err)
	if err := o.Space.Revoke(ctx, lease); err != nil {
		o.Logger.Warn("lease_not_revoked", "error", err.Error())
	}
}
