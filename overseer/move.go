package overseer

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/cataloger"
)

const (
	// probeTimeout bounds one question to a database. A new connection may
	// queue behind running statements.
	probeTimeout = 350 * time.Millisecond
	// catchUpTimeout bounds how long a change waits for the new primary to
	// receive what the former one has.
	catchUpTimeout = 800 * time.Millisecond
	// pollInterval is the pause between two looks at a state that is awaited.
	pollInterval = 20 * time.Millisecond
	// effectTimeout bounds how long a promotion may take to show.
	effectTimeout = 5 * time.Second
	// fenceMargin is added to the age at which hosts stop by themselves.
	fenceMargin = 150 * time.Millisecond
	// promoteTimeout bounds one call for a promotion.
	promoteTimeout = 1500 * time.Millisecond
)

// errNoContender says that no database can take over now.
var errNoContender = errors.New("no database can take over")

// errDutyLost says that this host may not act for the fleet any more.
var errDutyLost = errors.New("duty lost")

// A move is one change of a service's primary.
type move struct {
	overseer *Overseer
	service  string
	lead     cataloger.Lead
	former   cataloger.Endpoint
	// registered is set if the former primary is registered.
	registered bool
	reason     Reason
	// fenced is the revision of the lead that first took the former primary out
	// of use.
	fenced int64
}

func (m *move) run(ctx context.Context) {
	o := m.overseer
	began := o.Now()
	o.Logger.Info("primary_change_began", "service", m.service, "from", m.lead.ID, "reason", string(m.reason), "lead_revision", m.lead.Revision)
	err := m.change(ctx)
	if err != nil {
		o.Logger.Warn("primary_change_failed", "service", m.service, "reason", string(m.reason), "error", err.Error(), "took", o.Now().Sub(began))
		pause(ctx, judgeInterval)
		return
	}
	o.Logger.Info("primary_change_done", "service", m.service, "to", m.lead.ID, "reason", string(m.reason),
		"lead_revision", m.lead.Revision, "took", o.Now().Sub(began))
}

func (m *move) change(ctx context.Context) error {
	o := m.overseer
	// Without a contender the service keeps its primary, however bad it is.
	if _, err := m.elect(ctx, nil); err != nil {
		return err
	}
	if err := m.fence(ctx); err != nil {
		return err
	}
	var contender Contender
	var err error
	if m.reason.Planned() {
		contender, err = m.catchUp(ctx)
	} else {
		contender, err = m.elect(ctx, nil)
	}
	if errors.Is(err, errNoContender) && m.reason != ReasonResumed {
		return m.restore(ctx)
	}
	if err != nil {
		return err
	}
	contender, term, err := m.promoteFirst(ctx, contender)
	if err != nil {
		return err
	}
	next := cataloger.Lead{
		Service: m.service, ID: contender.Endpoint.ID, Born: contender.Endpoint.Born, Term: term, Revision: m.lead.Revision,
	}
	if m.lead, err = o.write(ctx, next); err != nil {
		return err
	}
	if m.registered && m.former.ID != contender.Endpoint.ID {
		go m.demoteFormer(ctx, term)
	}
	return nil
}

// restore puts the former primary into force again, if it still leads, when no
// database could take over after all. Nobody has asked for a promotion yet, since
// this host began the change itself.
func (m *move) restore(ctx context.Context) error {
	former := m.ask(ctx, m.former)
	if !m.registered || !former.Leads {
		return errNoContender
	}
	lead := m.lead
	lead.Moving, lead.Grace = false, 0
	written, err := m.overseer.write(ctx, lead)
	if err != nil {
		return errors.Wrap(err, "restore the former primary")
	}
	m.lead = written
	return nil
}

// promoteFirst promotes the contender, or the next best one if the platform
// says that it is not running.
func (m *move) promoteFirst(ctx context.Context, contender Contender) (Contender, uint64, error) {
	excluded := make(map[string]bool)
	for {
		token, ok := m.overseer.holds()
		if !ok {
			return contender, 0, errDutyLost
		}
		term, err := m.promote(ctx, contender.Endpoint, token)
		if !errors.Is(err, ErrNotRunning) {
			return contender, term, err
		}
		excluded[contender.Endpoint.ID] = true
		if contender, err = m.elect(ctx, excluded); err != nil {
			return contender, 0, err
		}
	}
}

// fence records that the primary is being replaced and waits until no host uses
// it any more. A change that was begun before is recorded anew: the store then
// vouches that nobody has finished it since, which this host's copy may lack.
func (m *move) fence(ctx context.Context) error {
	o := m.overseer
	lead := m.lead
	lead.Moving = true
	if !m.lead.Moving && m.reason.Planned() {
		lead.Grace = plannedGrace
	}
	written, err := o.write(ctx, lead)
	if err != nil {
		return errors.Wrap(err, "record the change")
	}
	m.fenced = m.lead.Revision
	if !m.lead.Moving {
		m.fenced = written.Revision
	}
	m.lead = written
	return m.awaitRelease(ctx)
}

// awaitRelease waits until no host uses the former primary any more: all have
// confirmed, or views without the change are too old. In a large fleet hosts
// vouch for views until enough of them know of the change.
func (m *move) awaitRelease(ctx context.Context) error {
	o := m.overseer
	began := o.Now()
	var known time.Time
	for {
		now := o.Now()
		missing := m.missing(began)
		// In a large fleet a host may hear others and not be known here.
		if len(missing) == 0 && o.leaseScale() == 1 {
			return nil
		}
		if known.IsZero() && (m.confirmedByEnough() || now.Sub(began) > o.SettleTime) {
			known = now
		}
		if !known.IsZero() && now.Sub(known) > o.MaxViewAge+fenceMargin {
			if len(missing) > 0 {
				o.Logger.Warn("hosts_did_not_confirm", "service", m.service, "hosts", missing, "lead_revision", m.lead.Revision)
			}
			return nil
		}
		if !pause(ctx, pollInterval) {
			return ctx.Err()
		}
	}
}

// confirmedByEnough reports whether so many hosts know of the change that nobody
// vouches for views without it.
func (m *move) confirmedByEnough() bool {
	confirmed := make(map[string]bool)
	for _, member := range append(m.overseer.Members(), m.overseer.Own()) {
		confirmed[member.Name] = member.Released[m.service] >= m.fenced
	}
	return m.overseer.Enough(func(name string) bool { return confirmed[name] })
}

// missing returns the hosts that may still use the former primary.
func (m *move) missing(since time.Time) []string {
	var missing []string
	for _, member := range append(m.overseer.Members(), m.overseer.Own()) {
		if member.Released[m.service] < m.fenced && !member.Ended(since) {
			missing = append(missing, member.Name)
		}
	}
	return missing
}

// elect asks all databases that could take over and returns the one that has
// received most.
func (m *move) elect(ctx context.Context, excluded map[string]bool) (Contender, error) {
	catalog := m.overseer.Catalog()
	lead := m.lead
	var list []cataloger.Endpoint
	for _, endpoint := range eligible(catalog, lead) {
		if !excluded[endpoint.ID] {
			list = append(list, endpoint)
		}
	}
	contenders := make([]Contender, len(list))
	done := make(chan int, len(list))
	for i, endpoint := range list {
		go func() {
			contenders[i] = m.ask(ctx, endpoint)
			done <- i
		}()
	}
	for range list {
		<-done
	}
	best := Elect(contenders)
	if best < 0 {
		if len(contenders) > 0 {
			m.overseer.noneAnswered(ctx, m.service)
		}
		return Contender{}, errNoContender
	}
	return contenders[best], nil
}

func (m *move) ask(ctx context.Context, endpoint cataloger.Endpoint) Contender {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	status, err := m.overseer.Status(ctx, endpoint)
	if err != nil {
		return Contender{Endpoint: endpoint}
	}
	return Contender{Endpoint: endpoint, Reachable: true, Leads: status.Primary, Term: status.Received.Term, Offset: status.Received.Offset}
}

// catchUp waits until a database has received what the former primary has.
func (m *move) catchUp(ctx context.Context) (Contender, error) {
	o := m.overseer
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	former := m.ask(ctx, m.former)
	until := o.Now().Add(catchUpTimeout)
	for {
		contender, err := m.elect(ctx, nil)
		if err != nil {
			return contender, err
		}
		if !former.Reachable || !ahead(former, contender) || o.Now().After(until) {
			return contender, nil
		}
		pause(ctx, 2*pollInterval)
	}
}

// promote asks the platform until the database leads, and returns its term.
func (m *move) promote(ctx context.Context, endpoint cataloger.Endpoint, token int64) (uint64, error) {
	o := m.overseer
	until := o.Now().Add(effectTimeout)
	asked := false
	for o.Now().Before(until) {
		if _, ok := o.holds(); !ok {
			return 0, errDutyLost
		}
		if !asked {
			err := m.promoteOnce(ctx, endpoint, token)
			if errors.Is(err, ErrNotRunning) {
				return 0, err
			}
			asked = err == nil
		}
		probe, cancel := context.WithTimeout(ctx, probeTimeout)
		status, err := o.Status(probe, endpoint)
		cancel()
		if err == nil && status.Primary {
			return status.Term, nil
		}
		if !pause(ctx, pollInterval) {
			return 0, ctx.Err()
		}
	}
	return 0, errors.New("promotion did not take effect")
}

func (m *move) promoteOnce(ctx context.Context, endpoint cataloger.Endpoint, token int64) error {
	ctx, cancel := context.WithTimeout(ctx, promoteTimeout)
	defer cancel()
	err := m.overseer.Promote(ctx, m.service, endpoint.ID, token)
	m.overseer.Logger.Info("promotion_asked", "service", m.service, "database", endpoint.ID, "token", token, "error", textOf(err))
	return err
}

// demoteFormer makes a former primary that still runs follow the new one.
func (m *move) demoteFormer(ctx context.Context, term uint64) {
	for range 3 {
		attempt, cancel := context.WithTimeout(ctx, probeTimeout)
		err := m.overseer.Demote(attempt, m.former, term)
		cancel()
		if err == nil {
			return
		}
		pause(ctx, time.Second)
	}
}

// pause waits and reports whether ctx is still in force.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
