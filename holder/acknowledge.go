package holder

import (
	"context"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/configurer"
	"github.com/endiveturn/endiveturn/executor"
	"github.com/endiveturn/endiveturn/promoter"
)

// acknowledge waits until a commit may be acknowledged: a majority of the
// databases holds it, this host still holds the service in the term of the
// commit, and no older holder can serve reads any more.
func (h *Holder) acknowledge(ctx context.Context, term uint64, position executor.Position) error {
	if position.Term != term {
		return errors.Errorf("commit at %s on a connection of term %d", position, term)
	}
	if h.Service.Acknowledge != configurer.AcknowledgePrimary {
		if err := h.Group.Confirm(ctx, position); err != nil {
			return errors.Wrap(err, "confirm")
		}
	}
	for {
		view := h.observe()
		if view.Term != term {
			return errors.Wrapf(promoter.ErrFenced, "term %d before the acknowledgement", view.Term)
		}
		now := h.Now()
		if view.Held(now) && !now.Before(view.AcknowledgeFrom) {
			return nil
		}
		wait := leaseRecheck
		if now.Before(view.AcknowledgeFrom) {
			wait = view.AcknowledgeFrom.Sub(now)
		}
		if err := waitView(ctx, view, wait); err != nil {
			return err
		}
	}
}
