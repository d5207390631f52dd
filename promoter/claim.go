package promoter

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/executor"
)

// responseGrace is how long a claim waits for the remaining databases after a
// majority has responded. Each database that accepts the term within this time is
// fenced at once; if all do, the new holder need not wait for an old lease to
// expire.
const responseGrace = 50 * time.Millisecond

// A response is the result of a query on one database that was sent to all.
type response struct {
	member Member
	status Status
	// sentAt is when the query was sent.
	sentAt time.Time
	err    error
}

// claim raises the term on a majority of the databases and promotes the one with
// the most recent log. It returns ErrFenced if another host has claimed a higher
// term, and nil if the claim succeeded, or failed but may be retried.
func (w *Watcher) claim(ctx context.Context, reason string) error {
	w.mu.Lock()
	members := slices.Clone(w.state.members)
	w.state.nextClaim = w.Now().Add(jitter(claimBackoff))
	w.mu.Unlock()
	if majority, err := w.refreshStatuses(ctx, members); err != nil || !majority {
		return err
	}

	w.mu.Lock()
	previousTerm := w.state.term
	highest := w.state.highestTerm()
	term := w.state.nextTerm()
	w.state.attemptedTerm = term
	current := w.state.currentPrimary()
	w.state.primary = ""
	w.waiters.fail(ErrFenced)
	w.publish()
	w.mu.Unlock()

	accepted, refused := w.raiseAll(ctx, members, term)
	if len(accepted) < len(members)/2+1 {
		return w.failedClaimError(term, accepted, refused)
	}
	candidates := make([]MemberState, 0, len(accepted))
	for _, r := range accepted {
		candidates = append(candidates, MemberState{Member: r.member, Status: r.status})
	}
	chosen := choosePrimary(candidates, current)
	promoted, err := w.call(ctx, chosen.Member, func(ctx context.Context, a Admin) (Status, error) {
		return a.Promote(ctx, term)
	})
	if err != nil {
		w.Logger.Warn("promotion_failed", "service", w.Service, "database", chosen.Name, "term", term, "error", err)
		return nil
	}
	delayAcks := len(accepted) < len(members) && (previousTerm == 0 || highest != previousTerm)
	w.recordPromotion(term, promoted, accepted, delayAcks)
	w.attachReplicas(ctx, membersExcept(candidates, chosen.Name))
	if err := w.confirmStart(ctx, promoted); err != nil {
		w.Logger.Warn("term_start_not_confirmed", "service", w.Service, "term", term, "error", err)
		return nil
	}
	w.reportPromotion(term, chosen.Name, reason)
	return nil
}

// currentPrimary returns the name of the database that reports itself as the
// primary of the highest term.
func (s *groupState) currentPrimary() string {
	name, term := "", uint64(0)
	for _, m := range s.members {
		if m.Status.Role == RolePrimary && m.Status.Term > term {
			name, term = m.Name, m.Status.Term
		}
	}
	return name
}

func membersExcept(members []MemberState, name string) []Member {
	var rest []Member
	for _, m := range members {
		if m.Name != name {
			rest = append(rest, m.Member)
		}
	}
	return rest
}

// queryAll sends a query to all databases concurrently. It returns when all have
// responded, or responseGrace after a majority has succeeded.
func (w *Watcher) queryAll(ctx context.Context, members []MemberState, query func(context.Context, Admin) (Status, error)) []response {
	responses := make(chan response, len(members))
	for _, m := range members {
		go func() {
			sentAt := w.Now()
			status, err := w.call(ctx, m.Member, query)
			responses <- response{member: m.Member, status: status, sentAt: sentAt, err: err}
		}()
	}
	var all []response
	var grace <-chan time.Time
	succeeded := 0
	for len(all) < len(members) {
		select {
		case r := <-responses:
			all = append(all, r)
			if r.err == nil {
				succeeded++
			}
			if grace == nil && succeeded > len(members)/2 {
				timer := time.NewTimer(responseGrace)
				defer timer.Stop()
				grace = timer.C
			}
		case <-grace:
			return all
		}
	}
	return all
}

// refreshStatuses queries and records the current status of all databases, so
// that a host that was partitioned does not raise the term above that of a
// holder that it has not detected yet. It reports whether a majority responded.
func (w *Watcher) refreshStatuses(ctx context.Context, members []MemberState) (bool, error) {
	responses := w.queryAll(ctx, members, func(ctx context.Context, a Admin) (Status, error) {
		return a.Status(ctx, 0, 0, 0)
	})
	w.mu.Lock()
	defer w.mu.Unlock()
	responded := 0
	for _, r := range responses {
		if r.err == nil {
			responded++
			w.state.recordStatus(r.member.Name, r.status, r.sentAt)
		}
	}
	w.publish()
	if w.state.fenced() {
		return false, errors.WithStack(ErrFenced)
	}
	return responded > len(members)/2, nil
}

// raiseAll raises the term on all databases. A database that does not respond in
// time counts neither as accepted nor as refused.
func (w *Watcher) raiseAll(ctx context.Context, members []MemberState, term uint64) (accepted []response, refused int) {
	responses := w.queryAll(ctx, members, func(ctx context.Context, a Admin) (Status, error) {
		return a.RaiseTerm(ctx, term)
	})
	for _, r := range responses {
		switch {
		case r.err == nil:
			accepted = append(accepted, r)
		case errors.Is(r.err, ErrStaleTerm):
			refused++
		}
	}
	return accepted, refused
}

// failedClaimError logs a failed claim. It returns ErrFenced if a database refused
// the term, and nil if the claim may be retried.
func (w *Watcher) failedClaimError(term uint64, accepted []response, refused int) error {
	w.Logger.Warn("claim_failed", "service", w.Service, "term", term, "accepted", len(accepted), "refused", refused)
	if refused > 0 {
		return errors.Wrapf(ErrFenced, "term %d", term)
	}
	return nil
}

// recordPromotion records the result of a promotion. The view has no primary until
// the start of the term is confirmed.
func (w *Watcher) recordPromotion(term uint64, promoted Status, accepted []response, delayAcks bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.Now()
	w.state.term = term
	w.state.promotedAt = now
	w.state.termStart = executor.Position{Term: term, Offset: promoted.Received}
	w.state.acknowledgeFrom = now
	if delayAcks {
		w.state.acknowledgeFrom = now.Add(TakeoverAckDelay)
	}
	for _, r := range accepted {
		w.state.recordStatus(r.member.Name, r.status, r.sentAt)
	}
	if m := w.state.find(promoted.Name); m != nil {
		m.Status = promoted
		m.Reachable = true
	}
	w.publish()
}

// attachReplicas makes databases follow the primary. It first raises the term of
// those that have not accepted the current one.
func (w *Watcher) attachReplicas(ctx context.Context, members []Member) {
	if len(members) == 0 {
		return
	}
	w.mu.Lock()
	term := w.state.term
	m := w.state.find(w.state.promotedName())
	if m == nil {
		w.mu.Unlock()
		return
	}
	primary := m.Member
	w.mu.Unlock()
	var group sync.WaitGroup
	for _, m := range members {
		group.Go(func() { w.attachReplica(ctx, m, term, primary) })
	}
	group.Wait()
}

func (w *Watcher) attachReplica(ctx context.Context, member Member, term uint64, primary Member) {
	sentAt := w.Now()
	status, err := w.call(ctx, member, func(ctx context.Context, a Admin) (Status, error) {
		current, err := a.Status(ctx, 0, 0, 0)
		if err != nil {
			return Status{}, err
		}
		if current.Term < term {
			if _, err := a.RaiseTerm(ctx, term); err != nil {
				return Status{}, err
			}
		}
		return a.Follow(ctx, term, primary.Name, primary.Address)
	})
	if err != nil {
		w.Logger.Warn("replica_attach_failed", "service", w.Service, "database", member.Name, "error", err)
		return
	}
	w.recordStatus(member.Name, status, sentAt)
	w.Logger.Info("replica_attached", "service", w.Service, "database", member.Name, "primary", primary.Name, "term", term)
}

// confirmStart waits until a majority has the first entry of the term and then
// publishes the primary. After that no promotion can lose this entry.
func (w *Watcher) confirmStart(ctx context.Context, promoted Status) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for {
		w.mu.Lock()
		confirmed := w.state.confirmedOffsetFor(promoted.Name) >= promoted.Received
		if confirmed {
			w.state.primary = promoted.Name
			w.publish()
		}
		changed := w.changed
		w.mu.Unlock()
		if confirmed {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.WithStack(ctx.Err())
		case <-changed:
		}
	}
}

func (w *Watcher) reportPromotion(term uint64, primary, reason string) {
	view := w.View()
	w.Logger.Info("primary promoted", "service", w.Service, "database", primary, "term", term,
		"start", view.Start.String(), "reason", reason)
	if w.OnPromoted != nil {
		w.OnPromoted(view, reason)
	}
}
