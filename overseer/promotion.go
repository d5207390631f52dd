package overseer

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/timekeeper"
)

const (
	// promotionEffectTimeout bounds how long a database may take to become the primary after a
	// promotion. The platform needs up to about a second.
	promotionEffectTimeout = 5 * time.Second
	// pendingSurveyInterval is how often all databases are queried while a pending promotion is
	// awaited.
	pendingSurveyInterval = 200 * time.Millisecond
	// promoteTimeout bounds one promotion request.
	promoteTimeout = 1500 * time.Millisecond
)

// errNoEffect is returned when a promotion did not take effect within promotionEffectTimeout.
var errNoEffect = errors.New("promotion did not take effect in time")

// pendingPromotion returns the promotion of a database with the highest term that this change
// has seen.
func (c *primaryChange) pendingPromotion(endpoint cataloger.Endpoint) cataloger.PendingPromotion {
	return cataloger.PendingPromotion{ID: endpoint.ID, StartedAtMillis: endpoint.StartedAtMillis, FormerTerm: c.highestTerm}
}

// writePending records a promotion in the assignment, so that the leader that follows knows of
// it before it is requested.
func (c *primaryChange) writePending(ctx context.Context, pending cataloger.PendingPromotion) (cataloger.PrimaryAssignment, error) {
	assignment := c.assignment
	assignment.Pending = pending
	written, err := c.overseer.writeAssignment(ctx, assignment)
	return written, errors.Wrap(err, "record the promotion")
}

// selectAfterFence returns the database to promote. Meanwhile it records the promotion of the
// expected one, so that the record rarely takes time of its own.
func (c *primaryChange) selectAfterFence(ctx context.Context, expected Candidate) (Candidate, error) {
	choose := func() (Candidate, error) {
		if c.reason.Planned() {
			return c.awaitCatchUp(ctx)
		}
		return c.selectCandidate(ctx, nil)
	}
	if c.assignment.Pending != (cataloger.PendingPromotion{}) {
		return choose()
	}
	pending := c.pendingPromotion(expected.Endpoint)
	var written cataloger.PrimaryAssignment
	var writeErr error
	done := make(chan struct{})
	go func() {
		defer close(done)
		written, writeErr = c.writePending(ctx, pending)
	}()
	candidate, err := choose()
	<-done
	if writeErr != nil {
		return candidate, writeErr
	}
	c.assignment = written
	return candidate, err
}

// promoteBest promotes the candidate, or the next best one if the platform reports that it is
// not running, and completes the change.
func (c *primaryChange) promoteBest(ctx context.Context, candidate Candidate) error {
	excluded := make(map[string]bool)
	for {
		promoted, err := c.promote(ctx, candidate.Endpoint)
		if err == nil {
			return c.complete(ctx, promoted)
		}
		if !errors.Is(err, ErrNotRunning) {
			return err
		}
		c.assignment.Pending, c.requests = cataloger.PendingPromotion{}, 0
		excluded[candidate.Endpoint.ID] = true
		if candidate, err = c.selectCandidate(ctx, excluded); err != nil {
			return err
		}
	}
}

// repeats reports whether the promotion of the endpoint is the pending one, which may be
// requested again, also by another leader: whichever request takes effect later changes
// nothing, since the database is the primary then.
func (c *primaryChange) repeats(endpoint cataloger.Endpoint) bool {
	p := c.assignment.Pending
	return p.ID == endpoint.ID && p.StartedAtMillis == endpoint.StartedAtMillis
}

// settlePending waits until the pending promotion can take effect no more, or until it can be
// requested again. If it has taken effect, and a change was interrupted by it, that change is
// complete.
func (c *primaryChange) settlePending(ctx context.Context) (completed bool, err error) {
	o, pending := c.overseer, c.assignment.Pending
	began := o.Now()
	settled := func(evidence string) {
		c.assignment.Pending, c.fencedPending = cataloger.PendingPromotion{}, cataloger.PendingPromotion{}
		o.Logger.Info("promotion_settled", "service", c.service, "database", pending.ID, "evidence", evidence,
			"former_term", pending.FormerTerm, "took", o.Now().Sub(began))
	}
	surveyAt := began.Add(pendingSurveyInterval)
	for {
		if current, ok := o.leaderToken(); !ok || current != c.token {
			return false, errLeadershipLost
		}
		expired := o.pendingExpired(c.service, c.afterComplete)
		if expired && !c.resumed() {
			settled("expired")
			return false, nil
		}
		if endpoint, ok := o.Catalog().Endpoint(c.service, pending.ID); ok {
			answer := o.queryStatus(ctx, endpoint)
			c.observeTerm(answer)
			if EvidenceOf(pending.ID, pending.FormerTerm, []Candidate{answer}, false) == EvidenceHigherTerm {
				settled(string(EvidenceHigherTerm))
				if !c.resumed() {
					return false, nil
				}
				c.evidence, c.formerTerm = EvidenceHigherTerm, pending.FormerTerm
				// The leader before may have requested it more than once.
				c.assignment.Pending = remainingPromotion(answer)
				return true, c.complete(ctx, answer)
			}
			if answer.Reachable && !expired && o.Now().After(surveyAt) {
				surveyAt = o.Now().Add(pendingSurveyInterval)
				if candidate, err := c.selectCandidate(ctx, nil); err == nil && c.repeats(candidate.Endpoint) {
					return false, nil
				}
			}
		}
		if expired {
			settled("expired")
			return false, nil
		}
		if !timekeeper.Sleep(ctx, pollInterval) {
			return false, ctx.Err()
		}
	}
}

// resumed reports whether the change goes on with one that another leader or this one began.
func (c *primaryChange) resumed() bool {
	return c.reason == ReasonInterrupted || c.reason == ReasonRestored
}

// remainingPromotion returns the pending promotion that remains when a database is the primary
// by another request than the last one. That one changes nothing now, but would replace the
// next primary if it took effect after that had been promoted.
func remainingPromotion(promoted Candidate) cataloger.PendingPromotion {
	e := promoted.Endpoint
	return cataloger.PendingPromotion{ID: e.ID, StartedAtMillis: e.StartedAtMillis, FormerTerm: promoted.DatabaseTerm}
}

// promote records a promotion, repeats the request until the platform accepts it, and waits for
// evidence that it has taken effect. It gives up when the leadership ends in which the change
// was recorded, also if this host is the leader again.
func (c *primaryChange) promote(ctx context.Context, endpoint cataloger.Endpoint) (promoted Candidate, err error) {
	o := c.overseer
	pending := c.pendingPromotion(endpoint)
	if c.repeats(endpoint) && c.fencedPending != (cataloger.PendingPromotion{}) {
		// A change before this one may have requested it, which may already have raised the
		// term. One that this change recorded ahead has not been requested yet.
		pending.FormerTerm = c.assignment.Pending.FormerTerm
		c.requests++
	}
	if c.assignment.Pending != pending {
		if c.assignment, err = c.writePending(ctx, pending); err != nil {
			return promoted, err
		}
	}
	accepted := false
	deadline := o.Now().Add(promotionEffectTimeout)
	for {
		if current, ok := o.leaderToken(); !ok || current != c.token {
			return promoted, errLeadershipLost
		}
		if !accepted {
			err := c.requestPromotion(ctx, endpoint, c.token)
			if errors.Is(err, ErrNotRunning) {
				return promoted, err
			}
			if accepted = err == nil; accepted {
				deadline = o.Now().Add(promotionEffectTimeout)
			}
		}
		expired := !o.Now().Before(deadline)
		promoted, evidence := c.observePromotion(ctx, endpoint, pending.FormerTerm, accepted && expired)
		switch {
		case evidence != EvidenceNone:
			c.evidence, c.formerTerm = evidence, pending.FormerTerm
			c.assignment.Pending = cataloger.PendingPromotion{}
			if evidence == EvidenceOnlyPrimary || evidence == EvidenceHigherTerm && c.requests > 1 {
				c.assignment.Pending = remainingPromotion(promoted)
			}
			return promoted, nil
		case expired:
			return promoted, errNoEffect
		}
		if !timekeeper.Sleep(ctx, pollInterval) {
			return promoted, ctx.Err()
		}
	}
}

// observePromotion queries the promoted database and, if it may have been the primary before,
// all others. Primaries of lower terms are demoted.
func (c *primaryChange) observePromotion(ctx context.Context, endpoint cataloger.Endpoint, formerTerm uint64, effective bool) (Candidate, Evidence) {
	o := c.overseer
	promoted := o.queryStatus(ctx, endpoint)
	if !promoted.IsPrimary || promoted.DatabaseTerm != formerTerm {
		return promoted, EvidenceOf(endpoint.ID, formerTerm, []Candidate{promoted}, false)
	}
	responses := o.queryStatuses(ctx, o.Catalog().Endpoints[c.service])
	for _, r := range responses {
		if r.IsPrimary && r.DatabaseTerm < promoted.DatabaseTerm {
			attempt, cancel := context.WithTimeout(ctx, probeTimeout)
			err := o.Demote(attempt, r.Endpoint, promoted.DatabaseTerm)
			cancel()
			o.Logger.Info("former_primary_demoted", "service", c.service, "database", r.Endpoint.ID, "term", promoted.DatabaseTerm, "error", errorText(err))
		}
	}
	for _, r := range responses {
		if r.Endpoint.ID == endpoint.ID {
			promoted = r
		}
	}
	return promoted, EvidenceOf(endpoint.ID, formerTerm, responses, effective)
}

func (c *primaryChange) requestPromotion(ctx context.Context, endpoint cataloger.Endpoint, token int64) error {
	o := c.overseer
	validUntil := o.leaderUntil()
	ctx, cancel := context.WithTimeout(ctx, min(promoteTimeout, validUntil.Sub(o.Now())))
	defer cancel()
	c.requests++
	o.recordRequest(c.service)
	err := o.Promote(ctx, Promotion{Service: c.service, ID: endpoint.ID, Token: token, ValidUntil: validUntil})
	// One that had no response may have arrived at any time until now.
	o.recordRequest(c.service)
	o.Logger.Info("promotion_asked", "service", c.service, "database", endpoint.ID, "token", token,
		"former_term", c.assignment.Pending.FormerTerm, "error", errorText(err))
	return err
}

// complete assigns the promoted database.
func (c *primaryChange) complete(ctx context.Context, promoted Candidate) error {
	next := cataloger.PrimaryAssignment{
		Service: c.service, ID: promoted.Endpoint.ID, StartedAtMillis: promoted.Endpoint.StartedAtMillis, Term: promoted.DatabaseTerm,
		Pending: c.assignment.Pending, Revision: c.assignment.Revision,
	}
	written, err := c.overseer.writeAssignment(ctx, next)
	if err != nil {
		return errors.Wrap(err, "assign the promoted database")
	}
	c.assignment = written
	if c.registered && c.former.ID != promoted.Endpoint.ID {
		go c.demoteFormer(ctx, promoted.DatabaseTerm)
	}
	return nil
}

// demoteFormer makes a former primary that still runs follow the new one.
func (c *primaryChange) demoteFormer(ctx context.Context, term uint64) {
	for range 3 {
		attempt, cancel := context.WithTimeout(ctx, probeTimeout)
		err := c.overseer.Demote(attempt, c.former, term)
		cancel()
		if err == nil {
			return
		}
		timekeeper.Sleep(ctx, time.Second)
	}
}
