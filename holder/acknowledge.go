package holder

import (
	"context"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/configurer"
	"github.com/endiveturn/endiveturn/executor"
	"github.com/endiveturn/endiveturn/promoter"
)

// awaitAcknowledgeable waits until a commit may be acknowledged: a majority of
// the databases has stored it, this host still holds the lease of the service
// in the term of the commit, and no earlier holder can still serve reads.
func (h *Holder) awaitAcknowledgeable(ctx context.Context, term uint64, position executor.Position) error {
	if position.Term != term {
		return errors.Errorf("commit at position %s on a connection opened in term %d", position, term)
	}
	if h.Service.Acknowledge != configurer.AcknowledgePrimary {
		if err := h.Group.Confirm(ctx, position); err != nil {
			return errors.Wrap(err, "confirm commit")
		}
	}
	for {
		view := h.syncView()
		if view.Term != term {
			return errors.Wrapf(promoter.ErrFenced, "term changed to %d before the commit was acknowledged", view.Term)
		}
		now := h.Now()
		if view.HasLease(now) && !now.Before(view.AcknowledgeFrom) {
			return nil
		}
		wait := leaseRecheckInterval
		if now.Before(view.AcknowledgeFrom) {
			wait = view.AcknowledgeFrom.Sub(now)
		}
		if err := waitViewChange(ctx, view, wait); err != nil {
			return err
		}
	}
}
