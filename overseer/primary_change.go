package overseer

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/storer"
	"github.com/endiveturn/endiveturn/timekeeper"
)

const (
	// probeTimeout bounds one status query to a database. A new connection may queue
	// behind running statements.
	probeTimeout = 350 * time.Millisecond
	// catchUpTimeout bounds how long a switchover waits for the new primary to
	// receive everything that the former one has.
	catchUpTimeout = 800 * time.Millisecond
	// pollInterval is the pause between two checks of a condition that is awaited.
	pollInterval = 20 * time.Millisecond
	// maxPlannedDelay is the longest time from when a primary that works is known to leave, or to
	// be evacuated, for which its replacement waits for a quorum. It leaves hosts a second to
	// stop using the primary within the 5 s that operators allow for an evacuation.
	maxPlannedDelay = 4 * time.Second
	// fenceMargin is added to the time after which hosts stop using a former primary by
	// themselves.
	fenceMargin = 150 * time.Millisecond
)

// errNoCandidate is returned when no database can be promoted.
var errNoCandidate = errors.New("no database is eligible for promotion")

// errLeadershipLost is returned when this host is not the leader any more.
var errLeadershipLost = errors.New("leadership lost")

// A primaryChange is one replacement of a service's primary.
type primaryChange struct {
	overseer   *Overseer
	service    string
	assignment cataloger.PrimaryAssignment
	former     cataloger.Endpoint
	// registered is set if the former primary is registered.
	registered bool
	reason     Reason
	// state is that of the service when the change was decided.
	state ServiceState
	// token is the fencing token of the leadership in which the change was recorded.
	token int64
	// fenceRevision is the revision of the assignment that first fenced the former
	// primary.
	fenceRevision int64
	// afterComplete is set if the change before was complete when this one was decided.
	afterComplete bool
	// fencedPending is the pending promotion of a former change when this one was recorded.
	fencedPending cataloger.PendingPromotion
	// highestTerm is the highest term seen in the service: in the assignment and in the
	// responses of databases.
	highestTerm uint64
	// requests counts the requests for the promotion of the present candidate.
	requests int
	// evidence is what shows that the change is complete, and formerTerm the highest term seen
	// before the promotion was requested.
	evidence   Evidence
	formerTerm uint64
}

func (c *primaryChange) observeTerm(answer Candidate) {
	c.highestTerm = max(c.highestTerm, answer.DatabaseTerm, answer.Term)
}

func (c *primaryChange) run(ctx context.Context) {
	o := c.overseer
	began := o.Now()
	expected, err := c.prepare(ctx)
	if err != nil {
		o.recordNotBegun(c, expected.Endpoint.ID, err)
		timekeeper.Sleep(ctx, notBegunPause)
		return
	}
	o.Logger.Info("primary_change_began", "service", c.service, "from", c.assignment.ID, "reason", string(c.reason), "lead_revision", c.assignment.Revision)
	if err := c.replacePrimary(ctx, expected); err != nil {
		o.countEvent("primary_changes_failed." + string(c.reason))
		o.Logger.Warn("primary_change_failed", "service", c.service, "reason", string(c.reason), "error", err.Error(), "took", o.Now().Sub(began))
		timekeeper.Sleep(ctx, evaluateInterval)
		return
	}
	o.countEvent("primary_changes." + string(c.reason))
	o.Logger.Info("primary_change_done", "service", c.service, "to", c.assignment.ID, "reason", string(c.reason),
		"lead_revision", c.assignment.Revision, "evidence", string(c.evidence), "term", c.assignment.Term, "former_term", c.formerTerm, "took", o.Now().Sub(began))
}

// prepare returns the database that would be promoted now. Without one, or without an
// improvement for the hosts, the service keeps its primary, whatever its state.
func (c *primaryChange) prepare(ctx context.Context) (Candidate, error) {
	c.highestTerm = max(c.assignment.Term, c.assignment.Pending.FormerTerm)
	expected, err := c.selectCandidate(ctx, nil)
	if err != nil {
		return expected, err
	}
	if c.reason.Planned() && c.assignment.Pending != (cataloger.PendingPromotion{}) && !c.overseer.pendingExpired(c.service, c.afterComplete) {
		return expected, errPromotionPending
	}
	byHosts := c.reason == ReasonFailing || c.reason == ReasonPartitioned
	if byHosts && !c.state.Improves(expected.Endpoint.ID) {
		return expected, errNoImprovement
	}
	return expected, nil
}

func (c *primaryChange) replacePrimary(ctx context.Context, expected Candidate) error {
	if err := c.fence(ctx); err != nil {
		return err
	}
	candidate, err := c.selectAfterFence(ctx, expected)
	for c.awaitsPending(candidate, err) {
		if completed, err := c.settlePending(ctx); err != nil || completed {
			return err
		}
		candidate, err = c.selectCandidate(ctx, nil)
	}
	if errors.Is(err, errNoCandidate) || errors.Is(err, errTooFewAnswers) {
		return c.restoreFormer(ctx, err)
	}
	if err != nil {
		return err
	}
	return c.promoteBest(ctx, candidate)
}

// awaitsPending reports whether another promotion than that of the candidate may still take
// effect.
func (c *primaryChange) awaitsPending(candidate Candidate, err error) bool {
	if c.fencedPending == (cataloger.PendingPromotion{}) {
		return false
	}
	return err != nil || !c.repeats(candidate.Endpoint)
}

// restoreFormer puts the former primary back into use, if it is still the primary,
// when no database can be promoted after all. That is safe if no promotion has been
// requested yet: if this host started the change itself. Otherwise it returns the
// reason why none can be promoted.
func (c *primaryChange) restoreFormer(ctx context.Context, reason error) error {
	if c.reason == ReasonInterrupted || c.reason == ReasonRestored {
		return reason
	}
	former := c.overseer.queryStatus(ctx, c.former)
	if !c.registered || !former.IsPrimary {
		return reason
	}
	assignment := c.assignment
	assignment.Changing, assignment.Pending = false, c.fencedPending
	assignment.GracePeriod, assignment.RecordedAt = 0, cataloger.ProcessTime{}
	written, err := c.overseer.writeAssignment(ctx, assignment)
	if err != nil {
		return errors.Wrap(err, "restore the former primary")
	}
	c.assignment, c.evidence = written, EvidenceFormerRestored
	return nil
}

// fence records that the primary is being replaced and waits until no host uses it
// any more. A change that was started before is recorded again: the conditional
// write shows that no other host has completed it in the meantime, which this host's
// mirror may not show yet.
func (c *primaryChange) fence(ctx context.Context) error {
	o := c.overseer
	c.token, _ = o.leaderToken()
	assignment := c.assignment
	assignment.Changing = true
	if !c.assignment.Changing && c.reason.Planned() {
		assignment.GracePeriod, assignment.RecordedAt = switchoverGrace, o.processTime()
	}
	written, err := o.writeAssignment(ctx, assignment)
	if err != nil {
		return errors.Wrap(err, "fence the former primary")
	}
	c.fenceRevision = c.assignment.Revision
	if !c.assignment.Changing || storer.EraOf(c.assignment.Revision) < storer.EraOf(written.Revision) {
		c.fenceRevision = written.Revision
	}
	c.assignment, c.fencedPending = written, written.Pending
	return c.awaitRelease(ctx)
}

// processTime returns the present instant by the clock of this host's process.
func (o *Overseer) processTime() cataloger.ProcessTime {
	return cataloger.ProcessTime{Host: o.Host.Name, Incarnation: o.Host.Incarnation, Uptime: o.Uptime()}
}

// useTimeout returns how long hosts may use the former primary after enough have
// acknowledged the change: as long as a view without the change, or as the grace period,
// which runs from before that.
func (c *primaryChange) useTimeout() time.Duration {
	return max(c.overseer.MaxViewAge, c.assignment.GracePeriod)
}

// awaitRelease waits until no host uses the former primary any more: either all
// hosts have acknowledged the change, or all views without it and the grace period have
// expired. Hosts may confirm the freshness of views without the change until enough have
// acknowledged it.
func (c *primaryChange) awaitRelease(ctx context.Context) error {
	o := c.overseer
	began := o.Now()
	var quorumAt time.Time
	for {
		now := o.Now()
		current := c.refreshCatalog()
		unreleased := c.unreleasedHosts()
		quorum := now.Sub(began) >= c.confirmationExpiry()
		// In a large fleet a host that is not in the view of this one may still
		// receive reports from other hosts.
		if quorum && len(unreleased) == 0 && !o.largeFleet() && current {
			o.Logger.Info("former_primary_released", "service", c.service, "lead_revision", c.assignment.Revision, "took", now.Sub(began))
			return nil
		}
		if quorumAt.IsZero() && quorum {
			quorumAt = now
		}
		if !quorumAt.IsZero() && now.Sub(quorumAt) > c.useTimeout()+fenceMargin {
			o.Logger.Info("former_primary_expired", "service", c.service, "lead_revision", c.assignment.Revision, "took", now.Sub(began),
				"quorum_after", quorumAt.Sub(began))
			if len(unreleased) > 0 {
				o.Logger.Warn("hosts_did_not_confirm", "service", c.service, "hosts", unreleased, "lead_revision", c.assignment.Revision)
			}
			return nil
		}
		if !timekeeper.Sleep(ctx, pollInterval) {
			return ctx.Err()
		}
	}
}

// refreshCatalog reports whether this host's view has every host that registered before the
// change was recorded. If only the mirror has them, it requests a new view: the store sends this
// host no change for the record, which the host wrote itself, so that none would be built.
func (c *primaryChange) refreshCatalog() bool {
	o := c.overseer
	if catalog := o.Catalog(); catalog != nil && catalog.Revision >= c.assignment.Revision {
		return true
	}
	if o.Mirror.Revision() >= c.assignment.Revision {
		o.RebuildCatalog()
	}
	return false
}

// confirmationExpiry returns how long after the record of the change a host may still confirm
// the freshness of a view without it: 0 if enough hosts have acknowledged it.
func (c *primaryChange) confirmationExpiry() time.Duration {
	acknowledged := make(map[string]bool)
	for _, member := range append(c.overseer.Members(), c.overseer.Self()) {
		acknowledged[member.Name] = member.ReleasedRevisions[c.service] >= c.fenceRevision
	}
	return c.overseer.confirmationExpiry(func(name string) bool { return acknowledged[name] }, c.assignment.Revision)
}

// unreleasedHosts returns the hosts that may still use the former primary.
func (c *primaryChange) unreleasedHosts() []string {
	members := append(c.overseer.Members(), c.overseer.Self())
	unreleased := c.overseer.unconfirmedVoters(members, c.assignment.Revision)
	for _, member := range members {
		// A process that has started since may use a view without the change.
		if member.ReleasedRevisions[c.service] < c.fenceRevision || !member.RecentlyHeard {
			unreleased = append(unreleased, member.Name)
		}
	}
	return unreleased
}

// selectCandidate queries the databases and returns the one to promote.
func (c *primaryChange) selectCandidate(ctx context.Context, excluded map[string]bool) (Candidate, error) {
	s, err := c.surveyDatabases(ctx)
	if len(s.answers) == 0 && len(s.silent) > 0 && !s.busy() {
		c.overseer.recordUnreachable(ctx, c.service)
	}
	for _, answer := range s.answers {
		c.observeTerm(answer)
	}
	if err != nil {
		return Candidate{}, err
	}
	eligible := make(map[string]bool)
	for _, endpoint := range c.candidates(c.overseer.Catalog()) {
		eligible[endpoint.ID] = true
	}
	chosen, err := s.choose(func(a Candidate) bool { return eligible[a.Endpoint.ID] }, excluded, c.reason.Planned())
	if err != nil {
		return chosen, err
	}
	return c.preferPending(chosen, s.answers, eligible), nil
}

// preferPending returns the database of the pending promotion if it has everything that the
// chosen one has: its promotion can be requested again at once, another one only once the
// pending one can take effect no more.
func (c *primaryChange) preferPending(chosen Candidate, answers []Candidate, eligible map[string]bool) Candidate {
	for _, answer := range answers {
		if eligible[answer.Endpoint.ID] && c.repeats(answer.Endpoint) && !ahead(chosen, answer) {
			return answer
		}
	}
	return chosen
}

// candidates returns the databases that may be promoted. If it is not known which database
// is the primary, any may be promoted: that has no effect if it is the primary already.
func (c *primaryChange) candidates(catalog *cataloger.Catalog) []cataloger.Endpoint {
	if c.reason.primaryUnknown() {
		return catalog.Endpoints[c.service]
	}
	return eligible(catalog, c.assignment)
}

// awaitCatchUp waits until a database has received everything that the former
// primary has. With synchronous replicas it suffices that it has everything that any
// other database has received.
func (c *primaryChange) awaitCatchUp(ctx context.Context) (Candidate, error) {
	o := c.overseer
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	former := c.overseer.queryStatus(ctx, c.former)
	c.observeTerm(former)
	deadline := o.Now().Add(catchUpTimeout)
	for {
		candidate, err := c.selectCandidate(ctx, nil)
		expired := o.Now().After(deadline)
		switch {
		case errors.Is(err, errTooFewAnswers) && !expired:
		case err != nil:
			return candidate, err
		case !former.Reachable || !ahead(former, candidate) || expired:
			return candidate, nil
		}
		timekeeper.Sleep(ctx, 2*pollInterval)
	}
}
