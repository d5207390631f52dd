package overseer

import (
	"context"
	"time"

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
		o.era, o.eraCampaignFrom = era, now.Add(leaseTTL)
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
