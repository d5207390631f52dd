package overseer

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/informer"
	"github.com/endiveturn/endiveturn/storer"
)

// The leader of a large fleet is its hub, for which the link of a small host is too narrow. A
// host that registers first becomes the leader while the fleet is still small, so it transfers
// its leadership once it knows of a larger host. It first stops to act as the leader, and then
// names its successor in the leader's record. The successor replaces that record as in any
// campaign, so that the revision of its write is the next fencing token.

const (
	// transferSettleTime is how long a host has been the leader before it transfers its
	// leadership. All hosts of a fleet start within about two seconds, so that the largest one
	// is known by then.
	transferSettleTime = 3 * time.Second
	// offerTimeout is the time after which the former leader campaigns again if its successor
	// has not become the leader. It is less than what is left of leaseTTL after renewInterval,
	// so that the record still exists.
	offerTimeout = time.Second
	// transferPause is the time after an offer in which a host makes no other one.
	transferPause = time.Minute
	// formerLeaderPause is the time after which leadership is offered again to a host that had
	// it, and lost it, or that did not accept it.
	formerLeaderPause = 5 * time.Minute
)

// An offer is a transfer of leadership by this host whose outcome it does not know yet.
type offer struct {
	successor string
	at        time.Time
	// lease is the one that the leader key is attached to.
	lease storer.LeaseID
}

// transfer offers leadership to the largest host that could lead, if this host is smaller and
// no task of the leader is in progress. It reports whether this host has resigned for that.
func (o *Overseer) transfer(ctx context.Context) bool {
	catalog := o.Catalog()
	if catalog == nil || !catalog.IsLargeFleet() || o.changeRecorded(catalog) {
		return false
	}
	successor, ok := o.chooseSuccessor(catalog)
	if !ok || o.MayTransfer != nil && !o.MayTransfer() {
		return false
	}
	token, lease, ok := o.resignFor(successor.Name)
	if !ok {
		return false
	}
	o.countEvent("leadership_offers")
	o.Logger.Info("duty_offered", "token", token, "to", successor.Name, "capacity", o.Host.Capacity, "capacity_of_successor", successor.Capacity)
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	value := encode(leaderRecord{Host: o.Host.Name, Incarnation: o.Host.Incarnation, Successor: successor.Name})
	revision, err := o.Store.Write(ctx, storer.Put{Key: leaderKey, Value: value, Lease: lease, ExpectedRevision: token})
	if err != nil {
		o.applyConflict(err)
		o.Logger.Warn("duty_offer_not_recorded", "token", token, "to", successor.Name, "error", err.Error())
		return true
	}
	o.Mirror.ApplyWrite(informer.Record{Key: leaderKey, Value: value, Revision: revision})
	o.TriggerExchanges()
	return true
}

// changeRecorded reports whether a change of primary is recorded that the leader has to
// complete, or an assignment that it has to confirm.
func (o *Overseer) changeRecorded(catalog *cataloger.Catalog) bool {
	for _, assignment := range catalog.Assignments {
		pending := assignment.Pending != (cataloger.PendingPromotion{})
		if assignment.Changing || pending || o.fromEarlierEra(assignment) {
			return true
		}
	}
	return false
}

// chooseSuccessor returns the largest host that could lead; ok is false if it is not larger
// than this one. Hosts that have just started are left out by a leader that has run for long,
// since they may be restarting again and again.
func (o *Overseer) chooseSuccessor(catalog *cataloger.Catalog) (successor cataloger.Host, ok bool) {
	newOnly := o.RecentlyStarted()
	var hosts []cataloger.Host
	for _, member := range o.Members() {
		host, registered := catalog.Hosts[member.Name]
		starting := catalog.Starting[member.Name] && !newOnly
		if !registered || !member.RecentlyHeard || starting || catalog.Stopping[member.Name] || o.ledRecently(member.Name) {
			continue
		}
		hosts = append(hosts, host)
	}
	if len(hosts) == 0 {
		return cataloger.Host{}, false
	}
	successor = slices.MinFunc(hosts, func(a, b cataloger.Host) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.Name, b.Name))
	})
	return successor, successor.Capacity > o.Host.Capacity
}

// resignFor ends this host's leadership in favour of a successor, unless it is too early or a
// change of primary is in progress.
func (o *Overseer) resignFor(successor string) (token int64, lease storer.LeaseID, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.Now()
	tooEarly := now.Before(o.ledSince.Add(transferSettleTime)) || now.Before(o.transferAfter)
	valid := o.token > 0 && now.Before(o.leaderLease.expiresAt)
	if tooEarly || !valid || o.stopping || len(o.changing) > 0 {
		return 0, 0, false
	}
	token, lease = o.token, o.leaderLease.id
	o.offer = offer{successor: successor, at: now, lease: lease}
	o.transferAfter = now.Add(transferPause)
	o.leaderLease, o.token = heldLease{}, 0
	return token, lease, true
}

// offeredToThisHost reports whether this host may replace the leader's record: it is named as
// the successor, or the successor that it named has not accepted in time.
func (o *Overseer) offeredToThisHost(value []byte) bool {
	var record leaderRecord
	if err := json.Unmarshal(value, &record); err != nil {
		// CheckLeader reports it.
		return false
	}
	if record.Host != o.Host.Name {
		return record.Successor == o.Host.Name
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	offered := o.offer.lease != 0 && record.Incarnation == o.Host.Incarnation
	return offered && o.Now().Sub(o.offer.at) >= offerTimeout
}

// observeLeader records which host leads, so that leadership is not offered to it soon after it
// has lost it. An offer of this host ends with the next leadership.
func (o *Overseer) observeLeader(value []byte) {
	name := LeaderName(value)
	if name == "" || name == o.Host.Name {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.Now()
	o.ledAt[name] = now
	o.offer = offer{}
	for other, at := range o.ledAt {
		if now.Sub(at) > formerLeaderPause {
			delete(o.ledAt, other)
		}
	}
}

// endOffer records that the successor did not accept, as this host is the leader again. The
// caller holds mu.
func (o *Overseer) endOffer() {
	if o.offer.lease == 0 {
		return
	}
	o.ledAt[o.offer.successor] = o.Now()
	o.Logger.Warn("duty_offer_expired", "to", o.offer.successor)
	o.countEvent("leadership_offers_expired")
	o.offer = offer{}
}

// ledRecently reports whether a host has led, or has been offered leadership, so recently that
// it is not offered again.
func (o *Overseer) ledRecently(name string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	at, ok := o.ledAt[name]
	return ok && o.Now().Sub(at) < formerLeaderPause
}
