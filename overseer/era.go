package overseer

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/storer"
)

// A store that comes back from an older copy has lost leases and records that it had
// acknowledged. Leadership therefore ends with the era in which it was acquired, and no
// host acquires it in the next era while a leader of an earlier one, which may not have
// noticed, can still act.

// observeEra records when this host first saw the present era of the store, and returns
// the era and the earliest time at which it may campaign. A leader whose lease is still
// valid when it sees the next era may do so at once, since it was the only one.
func (o *Overseer) observeEra() (era int64, campaignFrom time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if era := o.Store.Era(); era != o.era {
		now := o.Now()
		led := o.token > 0 && now.Before(o.leaderLease.expiresAt)
		o.era, o.eraSince, o.eraCampaignFrom = era, now, now.Add(leaseTTL)
		if led {
			o.eraCampaignFrom = now
		}
	}
	return o.era, o.eraCampaignFrom
}

// resignFormerEra ends a leadership that was acquired in an earlier era. Its lease is
// revoked in case the store restored it.
func (o *Overseer) resignFormerEra(ctx context.Context) {
	era, _ := o.observeEra()
	o.mu.Lock()
	lease, token := o.leaderLease, o.token
	if token == 0 || storer.EraOf(token) == era {
		o.mu.Unlock()
		return
	}
	o.leaderLease, o.token = heldLease{}, 0
	o.mu.Unlock()
	o.Logger.Warn("duty_given_up", "token", token, "reason", "the store came back from an older copy", "era", era)
	o.revoke(ctx, lease.id)
}

// fromEarlierEra reports whether an assignment was written in an earlier era than that
// of this host's leadership. The store may have lost later ones.
func (o *Overseer) fromEarlierEra(assignment cataloger.PrimaryAssignment) bool {
	token, ok := o.leaderToken()
	return ok && storer.EraOf(assignment.Revision) < storer.EraOf(token)
}

// restoredRevision returns the revision of the assignment that made a write fail, if the
// store restored that one from its copy and the leader of the present era may replace it.
func restoredRevision(err error, era int64) (int64, bool) {
	var conflict *storer.ConflictError
	if !errors.As(err, &conflict) {
		return 0, false
	}
	writtenIn, ok := WrittenIn(conflict.Current.Key, conflict.Current.Value)
	missing := conflict.Current.ModRevision == 0
	return conflict.Current.ModRevision, missing || ok && writtenIn < era
}

// smallFleetConfirmTimeout bounds how long a leader of a small fleet waits for the other
// hosts to confirm its view: two exchanges. In a large fleet that takes longer.
const smallFleetConfirmTimeout = 500 * time.Millisecond

// confirmPrimary writes an assignment of an earlier era again. If the other hosts have
// confirmed since this host leads that its view is complete, none of them knows of a later
// change. Otherwise the primary is assigned anew, since a change may have been lost.
func (o *Overseer) confirmPrimary(ctx context.Context, catalog *cataloger.Catalog, assignment cataloger.PrimaryAssignment) {
	o.mu.Lock()
	ledSince := o.ledSince
	o.mu.Unlock()
	if o.ViewCompleteAsOf().After(ledSince) {
		written, err := o.writeAssignment(ctx, assignment)
		o.Logger.Info("primary_confirmed", "service", assignment.Service, "database", assignment.ID, "lead_revision", written.Revision, "error", errorText(err))
		return
	}
	timeout := smallFleetConfirmTimeout
	if o.largeFleet() {
		timeout = o.MaxViewAge
	}
	if o.Now().Sub(ledSince) < timeout {
		return
	}
	former, registered := catalog.Endpoint(assignment.Service, assignment.ID)
	registered = registered && former.StartedAtMillis == assignment.StartedAtMillis
	change := &primaryChange{overseer: o, service: assignment.Service, assignment: assignment, former: former, registered: registered, reason: ReasonRestored}
	change.run(ctx)
}
