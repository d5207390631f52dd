package promoter

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/executor"
)

// answerGrace is how long a claim waits for the remaining databases once a
// majority has answered. Each database that accepts the term in time is fenced
// at once, which may spare the new holder the wait for an old lease.
const answerGrace = 50 * time.Millisecond

// An answer is what one database said to a query that went to all.
type answer struct {
	member Member
	status Status
	// sentAt is when the query was sent.
	sentAt time.Time
	err    error
}

// claim raises the term at a majority of the databases and promotes the most
// advanced of them. It returns ErrFenced when another host got ahead, and nil
// when the claim failed but may be tried again.
func (w *Watcher) claim(ctx context.Context, reason string) error {
	w.mu.Lock()
	members := slices.Clone(w.core.members)
	w.core.nextClaim = w.Now().Add(jitter(claimBackoff))
	w.mu.Unlock()
	if majority, err := w.survey(ctx, members); err != nil || !majority {
		return err
	}

	w.mu.Lock()
	previous := w.core.term
	highest := w.core.highestTerm()
	term := w.core.nextTerm()
	w.core.attempted = term
	present := w.core.presentPrimary()
	w.core.primary = ""
	w.waiters.fail(ErrFenced)
	w.publish()
	w.mu.Unlock()

	accepted, refused := w.raiseAll(ctx, members, term)
	if len(accepted) < len(members)/2+1 {
		return w.claimFailed(term, accepted, refused)
	}
	candidates := make([]MemberView, 0, len(accepted))
	for _, r := range accepted {
		candidates = append(candidates, MemberView{Member: r.member, Status: r.status})
	}
	chosen := choose(candidates, present)
	promoted, err := w.call(ctx, chosen.Member, func(ctx context.Context, a Admin) (Status, error) {
		return a.Promote(ctx, term)
	})
	if err != nil {
		w.Logger.Warn("promotion failed", "service", w.Service, "database", chosen.Name, "term", term, "error", err)
		return nil
	}
	wait := len(accepted) < len(members) && (previous == 0 || highest != previous)
	w.install(term, promoted, accepted, wait)
	w.adopt(ctx, others(candidates, chosen.Name))
	if err := w.confirmStart(ctx, promoted); err != nil {
		w.Logger.Warn("start of term not confirmed", "service", w.Service, "term", term, "error", err)
		return nil
	}
	w.announce(term, chosen.Name, reason)
	return nil
}

// presentPrimary returns the database that reports itself as the primary of
// the highest term.
func (c *core) presentPrimary() string {
	name, term := "", uint64(0)
	for _, m := range c.members {
		if m.Status.Role == RolePrimary && m.Status.Term > term {
			name, term = m.Name, m.Status.Term
		}
	}
	return name
}

func others(members []MemberView, name string) []Member {
	var rest []Member
	for _, m := range members {
		if m.Name != name {
			rest = append(rest, m.Member)
		}
	}
	return rest
}

// askAll sends a query to all databases at once. It returns when all have
// answered or, once a majority has, after answerGrace.
func (w *Watcher) askAll(ctx context.Context, members []MemberView, query func(context.Context, Admin) (Status, error)) []answer {
	answers := make(chan answer, len(members))
	for _, m := range members {
		go func() {
			sentAt := w.Now()
			status, err := w.call(ctx, m.Member, query)
			answers <- answer{member: m.Member, status: status, sentAt: sentAt, err: err}
		}()
	}
	var all []answer
	var grace <-chan time.Time
	succeeded := 0
	for len(all) < len(members) {
		select {
		case a := <-answers:
			all = append(all, a)
			if a.err == nil {
				succeeded++
			}
			if grace == nil && succeeded > len(members)/2 {
				timer := time.NewTimer(answerGrace)
				defer timer.Stop()
				grace = timer.C
			}
		case <-grace:
			return all
		}
	}
	return all
}

// survey takes in the present status of the databases, so that a host that was
// cut off does not raise the term over a holder it has not heard of. It
// reports whether a majority answered.
func (w *Watcher) survey(ctx context.Context, members []MemberView) (bool, error) {
	answers := w.askAll(ctx, members, func(ctx context.Context, a Admin) (Status, error) {
		return a.Status(ctx, 0, 0, 0)
	})
	w.mu.Lock()
	defer w.mu.Unlock()
	answered := 0
	for _, a := range answers {
		if a.err == nil {
			answered++
			w.core.observe(a.member.Name, a.status, a.sentAt)
		}
	}
	w.publish()
	if w.core.fenced() {
		return false, errors.WithStack(ErrFenced)
	}
	return answered > len(members)/2, nil
}

// raiseAll sends the term to all databases. One that does not answer in time
// counts neither as accepting nor as refusing.
func (w *Watcher) raiseAll(ctx context.Context, members []MemberView, term uint64) (accepted []answer, refused int) {
	answers := w.askAll(ctx, members, func(ctx context.Context, a Admin) (Status, error) {
		return a.RaiseTerm(ctx, term)
	})
	for _, a := range answers {
		switch {
		case a.err == nil:
			accepted = append(accepted, a)
		case errors.Is(a.err, ErrStaleTerm):
			refused++
		}
	}
	return accepted, refused
}

func (w *Watcher) claimFailed(term uint64, accepted []answer, refused int) error {
	w.Logger.Warn("claim failed", "service", w.Service, "term", term, "accepted", len(accepted), "refused", refused)
	if refused > 0 {
		return errors.Wrapf(ErrFenced, "term %d", term)
	}
	return nil
}

// install takes over the result of a promotion. The view names no primary
// before the start of the term is confirmed.
func (w *Watcher) install(term uint64, promoted Status, accepted []answer, wait bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.Now()
	w.core.term = term
	w.core.promotedAt = now
	w.core.start = executor.Position{Term: term, Offset: promoted.Received}
	w.core.ackFrom = now
	if wait {
		w.core.ackFrom = now.Add(LeaseDuration)
	}
	for _, r := range accepted {
		w.core.observe(r.member.Name, r.status, r.sentAt)
	}
	if m := w.core.find(promoted.Name); m != nil {
		m.Status = promoted
		m.Reachable = true
	}
	w.publish()
}

// adopt makes databases follow the primary, raising their term first where
// they missed it.
func (w *Watcher) adopt(ctx context.Context, members []Member) {
	if len(members) == 0 {
		return
	}
	w.mu.Lock()
	term := w.core.term
	m := w.core.find(w.core.promotedName())
	if m == nil {
		w.mu.Unlock()
		return
	}
	primary := m.Member
	w.mu.Unlock()
	var group sync.WaitGroup
	for _, m := range members {
		group.Go(func() { w.adoptOne(ctx, m, term, primary) })
	}
	group.Wait()
}

func (w *Watcher) adoptOne(ctx context.Context, member Member, term uint64, primary Member) {
	sentAt := w.Now()
	status, err := w.call(ctx, member, func(ctx context.Context, a Admin) (Status, error) {
		present, err := a.Status(ctx, 0, 0, 0)
		if err != nil {
			return Status{}, err
		}
		if present.Term < term {
			if _, err := a.RaiseTerm(ctx, term); err != nil {
				return Status{}, err
			}
		}
		return a.Follow(ctx, term, primary.Name, primary.Address)
	})
	if err != nil {
		w.Logger.Warn("database does not follow", "service", w.Service, "database", member.Name, "error", err)
		return
	}
	w.observe(member.Name, status, sentAt)
	w.Logger.Info("database follows", "service", w.Service, "database", member.Name, "primary", primary.Name, "term", term)
}

// confirmStart waits until a majority holds the first entry of the term, after
// which no promotion can go back behind it.
func (w *Watcher) confirmStart(ctx context.Context, promoted Status) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for {
		w.mu.Lock()
		confirmed := w.core.confirmedUnder(promoted.Name) >= promoted.Received
		if confirmed {
			w.core.primary = promoted.Name
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

func (w *Watcher) announce(term uint64, primary, reason string) {
	view := w.View()
	w.Logger.Info("primary promoted", "service", w.Service, "database", primary, "term", term,
		"start", view.Start.String(), "reason", reason)
	if w.Promoted != nil {
		w.Promoted(view, reason)
	}
}
