package overseer

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/connector"
	"github.com/endiveturn/endiveturn/executor"
	"github.com/endiveturn/endiveturn/informer"
	"github.com/endiveturn/endiveturn/storer"
)

const (
	// probeInterval is the minimum time between two probes of a primary that responds.
	probeInterval = 500 * time.Millisecond
	// partitionPersistence is how long a primary must be reported as unreachable
	// from many hosts.
	partitionPersistence = 700 * time.Millisecond
	// evaluateInterval is how often the leader evaluates the primaries.
	evaluateInterval = 100 * time.Millisecond
)

// ErrNotRunning is returned when a database can't be promoted because it has
// stopped.
var ErrNotRunning = errors.New("database is not running")

// A Promotion is the request to make a database the primary of its service.
type Promotion struct {
	Service string
	ID      string
	// Token is the fencing token of the leadership in which it is requested.
	Token int64
	// ValidUntil is when this host may be the leader no more, after which the request must
	// not be sent.
	ValidUntil time.Time
}

// A Member is a host of the fleet with the state that matters for a change of primary.
type Member struct {
	Name string
	// VotersRevision is the revision of the list of voters that the host has.
	VotersRevision int64
	// RecentlyHeard is set if a report that the host sent recently was received.
	RecentlyHeard bool
	// ReleasedRevisions holds, by service, the revision of the last primary
	// assignment for which the host uses no other primary.
	ReleasedRevisions map[string]int64
	// Observations are the host's observations of primaries by service.
	Observations map[string]HostObservation
}

// A HostObservation is an Observation and the database incarnation that it refers
// to.
type HostObservation struct {
	ID              string
	StartedAtMillis int64
	// Age is how long ago the host reported it.
	Age time.Duration
	// Unreachable are the IDs of the other databases of the service that fail for the host,
	// if the primary does.
	Unreachable []string
	Observation
}

// An Overseer registers its host in the store and takes part in the leader election.
// Its exported fields are set before Run.
type Overseer struct {
	Host   cataloger.Host
	Store  storer.KeyValueStore
	Mirror *informer.Mirror
	// Catalog returns the current view, or nil.
	Catalog func() *cataloger.Catalog
	// RebuildCatalog has the current view built again from the mirror.
	RebuildCatalog func()
	// Members returns the other hosts, without this one.
	Members func() []Member
	// Self returns this host as a member.
	Self func() Member
	// HeardAt returns the latest instant after which a report of a host is known to have been
	// sent, or the zero time.
	HeardAt func(host string) time.Time
	// TriggerExchanges makes this host exchange reports with the others at once.
	TriggerExchanges func()
	// Status queries the state of a database.
	Status func(ctx context.Context, endpoint cataloger.Endpoint) (executor.DatabaseStatus, error)
	// Demote makes a former primary a replica.
	Demote func(ctx context.Context, endpoint cataloger.Endpoint, term uint64) error
	// Promote requests a promotion from the platform. ErrNotRunning is final.
	Promote func(ctx context.Context, promotion Promotion) error
	// MajorityExpiry is the time after which no majority of the voters still confirms the
	// freshness of a view without a change, even if too few hosts have acknowledged it.
	// FleetExpiry is the same for all voters together.
	MajorityExpiry, FleetExpiry time.Duration
	// RecentlyStarted reports whether this host started recently. Such hosts leave
	// leadership to others if there are any.
	RecentlyStarted func() bool
	// MayTransfer reports whether the other tasks of the leader allow it to transfer its
	// leadership now. It may be nil if there are none.
	MayTransfer func() bool
	// ViewCompleteAsOf returns the latest instant at which this host's view of the
	// primaries is known to have been complete.
	ViewCompleteAsOf func() time.Time
	// MaxViewAge is the age of a host's view at which it stops using primaries.
	MaxViewAge time.Duration
	// Uptime returns how long this host's process has run, as in its reports to other hosts.
	Uptime func() time.Duration
	// CountEvent increments the metric with the given name. It may be nil.
	CountEvent func(name string)
	// Now returns a monotonic time that includes the time the machine is suspended.
	Now    func() time.Time
	Logger *slog.Logger

	// startedAt is when Run was called.
	startedAt time.Time
	// keyMissing signals that the store has lost the host's key.
	keyMissing chan struct{}

	mu sync.Mutex
	// hostLease is attached to the host's key.
	hostLease heldLease
	// hostLeaseRetryAt is the earliest time to request the host's lease again after
	// a failed call.
	hostLeaseRetryAt time.Time
	// leaderLease is attached to the leader key. Its ID is 0 while this host is not
	// the leader.
	leaderLease heldLease
	// token is the fencing token of the leadership, 0 while this host is not the
	// leader.
	token int64
	// deferred holds the services whose change waits until a quorum of hosts has
	// reported.
	deferred map[string]bool
	// changing holds the services whose primary this host is evaluating or
	// replacing.
	changing map[string]bool
	// probeRespondedAt holds when a suspected primary last responded to a probe, by
	// service.
	probeRespondedAt map[string]time.Time
	// partitionedSince holds since when, in the current leadership, a primary has been
	// unreachable from many hosts, by service.
	partitionedSince map[string]observedPartition
	// primaryMissingSince holds since when, in the current leadership, no database of
	// a service without an assignment has registered as primary, by service.
	primaryMissingSince map[string]time.Time
	// unreachableAt holds when last no database eligible for promotion responded, by
	// service.
	unreachableAt map[string]time.Time
	// notBegun holds why a change was not begun when that was last logged, by service.
	notBegun map[string]notBegun
	// observed holds what this host has seen of the primary assignments, by service.
	observed map[string]observedAssignment
	// voters is the list of voters that this host wrote last as the leader.
	voters voterList
	// voterHistory is what this process has seen of the list of voters.
	voterHistory VoterHistory
	// campaignAfter is the time before which this host does not campaign.
	campaignAfter time.Time
	// vacantSince is since when this host has seen no leader; zero while there is one.
	vacantSince time.Time
	// era is the latest era of the store that this host has seen, eraSince is when it saw
	// it first, and eraCampaignFrom the earliest time to campaign in it.
	era             int64
	eraSince        time.Time
	eraCampaignFrom time.Time
	// ledSince is when this host acquired its leadership.
	ledSince time.Time
	// offer is the transfer of leadership that this host has begun; its lease is 0 if there is
	// none. transferAfter is the earliest time of the next one.
	offer         offer
	transferAfter time.Time
	// ledAt holds when another host was last seen to lead, or did not accept an offer. It is
	// pruned after formerLeaderPause.
	ledAt map[string]time.Time
	// stopping is set once this host shuts down and no longer campaigns.
	stopping bool
	// stopped is set by Stop. The host then takes and renews no lease.
	stopped bool
}

// Run registers the host, renews its lease and acts as the leader while this host is
// elected, until ctx ends.
func (o *Overseer) Run(ctx context.Context) error {
	o.changing, o.probeRespondedAt, o.partitionedSince = make(map[string]bool), make(map[string]time.Time), make(map[string]observedPartition)
	o.deferred, o.unreachableAt = make(map[string]bool), make(map[string]time.Time)
	o.primaryMissingSince, o.observed = make(map[string]time.Time), make(map[string]observedAssignment)
	o.notBegun, o.ledAt = make(map[string]notBegun), make(map[string]time.Time)
	o.voterHistory = VoterHistory{MajorityExpiry: o.MajorityExpiry, FleetExpiry: o.FleetExpiry, RecentlyHeard: o.MaxViewAge}
	o.startedAt = o.Now()
	o.keyMissing = make(chan struct{}, 1)
	go o.evaluateLoop(ctx)
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		o.renewLeases(ctx)
		select {
		case <-ticker.C:
		case <-o.keyMissing:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (o *Overseer) evaluateLoop(ctx context.Context) {
	ticker := time.NewTicker(evaluateInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		o.checkRegistration()
		if catalog := o.Catalog(); catalog != nil {
			o.observeAssignments(catalog)
			o.observeVoters(catalog.Voters)
		}
		if o.campaign(ctx) && !o.transfer(ctx) {
			o.evaluateServices(ctx)
		}
	}
}

// evaluateServices evaluates every service and replaces primaries where necessary.
func (o *Overseer) evaluateServices(ctx context.Context) {
	catalog := o.Catalog()
	if catalog == nil || catalog.Configuration == nil {
		return
	}
	members := append(o.Members(), o.Self())
	if !o.maintainVoters(ctx, catalog, members) {
		return
	}
	for service := range catalog.Configuration.Services {
		if len(catalog.Endpoints[service]) == 0 || !o.tryBeginChange(service) {
			continue
		}
		go func() {
			defer o.endChange(service)
			o.evaluateService(ctx, catalog, service, members)
		}()
	}
}

func (o *Overseer) tryBeginChange(service string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.changing[service] {
		return false
	}
	o.changing[service] = true
	return true
}

func (o *Overseer) endChange(service string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.changing, service)
}

func (o *Overseer) evaluateService(ctx context.Context, catalog *cataloger.Catalog, service string, members []Member) {
	assignment, assigned := catalog.Assignments[service]
	switch {
	case !assigned:
		o.recordInitialPrimary(ctx, catalog, service)
		return
	case o.fromEarlierEra(assignment) && !assignment.Changing:
		o.confirmPrimary(ctx, catalog, assignment)
		return
	}
	state := serviceStateOf(catalog, assignment, members, o.sinceAssigned(service))
	reason := Evaluate(state)
	persistent := o.partitionPersists(assignment, reason)
	switch {
	case reason == ReasonNone:
		return
	case reason == ReasonPartitioned && !persistent:
		return
	case (reason == ReasonFailing || reason == ReasonReadOnly) && o.primaryResponds(ctx, state.Primary):
		return
	}
	if reason.Planned() && !o.quorumReachable(service, reason, members) && !o.plannedChangeDue(service) {
		return
	}
	change := &primaryChange{overseer: o, service: service, assignment: assignment, afterComplete: !assignment.Changing, former: state.Primary, registered: state.Registered, reason: reason, state: state}
	change.run(ctx)
}

// quorumReachable reports whether enough hosts have reported recently to acknowledge a
// change soon. Until then a working primary is kept.
func (o *Overseer) quorumReachable(service string, reason Reason, members []Member) bool {
	reported := make(map[string]bool, len(members))
	for _, member := range members {
		reported[member.Name] = member.RecentlyHeard
	}
	quorum := o.confirmationExpiry(func(name string) bool { return reported[name] }, 0) == 0
	o.mu.Lock()
	defer o.mu.Unlock()
	if !quorum && !o.deferred[service] {
		o.Logger.Info("primary_change_deferred", "service", service, "reason", string(reason), "hosts", len(members))
		o.countEvent("primary_changes_not_begun.hosts_missing")
	}
	o.deferred[service] = !quorum
	return quorum
}

// serviceStateOf collects the state of a service from the catalog and the members. What they
// observed before the primary was assigned does not count.
func serviceStateOf(catalog *cataloger.Catalog, assignment cataloger.PrimaryAssignment, members []Member, sinceAssigned time.Duration) ServiceState {
	s := ServiceState{Assignment: assignment, Hosts: len(members), UnreachableFrom: make(map[string]int)}
	s.Primary, s.Registered = catalog.Endpoint(assignment.Service, assignment.ID)
	s.Registered = s.Registered && s.Primary.StartedAtMillis == assignment.StartedAtMillis
	s.Evacuated = s.Registered && catalog.Evacuated[s.Primary.DataCentre]
	s.Candidates = len(eligible(catalog, assignment))
	for _, member := range members {
		o, ok := member.Observations[assignment.Service]
		if ok && o.ID == assignment.ID && o.StartedAtMillis == assignment.StartedAtMillis && o.Age < sinceAssigned {
			s.Observations = append(s.Observations, o.After(sinceAssigned))
			for _, id := range o.Unreachable {
				s.UnreachableFrom[id]++
			}
		}
	}
	return s
}

// eligible returns the databases that may be promoted.
func eligible(catalog *cataloger.Catalog, assignment cataloger.PrimaryAssignment) []cataloger.Endpoint {
	var endpoints []cataloger.Endpoint
	for _, e := range catalog.Endpoints[assignment.Service] {
		if isEligible(catalog, assignment, e) {
			endpoints = append(endpoints, e)
		}
	}
	return endpoints
}

// isEligible reports whether a database may be promoted. A primary that restarted, and
// so is another incarnation than the assigned one, is eligible like any other
// database.
func isEligible(catalog *cataloger.Catalog, assignment cataloger.PrimaryAssignment, e cataloger.Endpoint) bool {
	same := e.ID == assignment.ID && e.StartedAtMillis == assignment.StartedAtMillis
	return !same && !e.Draining && !catalog.Evacuated[e.DataCentre]
}

// writeAssignment writes a primary assignment on condition that the stored one has
// not changed.
func (o *Overseer) writeAssignment(ctx context.Context, assignment cataloger.PrimaryAssignment) (cataloger.PrimaryAssignment, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	token, ok := o.leaderToken()
	if !ok {
		return assignment, errLeadershipLost
	}
	era := storer.EraOf(token)
	put := storer.Put{Key: assignmentsPrefix + assignment.Service, Value: encodeAssignment(assignment, era), ExpectedRevision: assignment.Revision}
	revision, err := o.Store.Write(ctx, put)
	if restored, ok := restoredRevision(err, era); ok && assignment.Revision > 0 {
		put.ExpectedRevision = restored
		revision, err = o.Store.Write(ctx, put)
	}
	if err != nil {
		o.applyConflict(err)
		return assignment, err
	}
	assignment.Revision = revision
	o.Mirror.ApplyWrite(informer.Record{Key: put.Key, Value: put.Value, Revision: revision})
	o.mu.Lock()
	o.observeAssignment(assignment)
	o.mu.Unlock()
	o.TriggerExchanges()
	return assignment, nil
}

// applyConflict applies the record that made the store reject a write to the mirror,
// so that the next decision is based on it.
func (o *Overseer) applyConflict(err error) {
	var conflict *storer.ConflictError
	if errors.As(err, &conflict) && conflict.Current.ModRevision > 0 {
		o.Mirror.ApplyWrite(informer.Record{Key: conflict.Current.Key, Value: conflict.Current.Value, Revision: conflict.Current.ModRevision})
	}
}

// primaryResponds reports whether a suspected primary still responds as the
// primary. One that responded recently is not probed again.
func (o *Overseer) primaryResponds(ctx context.Context, primary cataloger.Endpoint) bool {
	o.mu.Lock()
	recent := o.Now().Sub(o.probeRespondedAt[primary.Service]) < probeInterval
	o.mu.Unlock()
	if recent {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	status, err := o.Status(ctx, primary)
	// A primary that accepts no further connections is busy, not down.
	isPrimary := err == nil && status.Primary || errors.Is(err, connector.ErrTooManyConnections)
	o.Logger.Info("primary_probed", "service", primary.Service, "database", primary.ID, "leads", isPrimary, "error", errorText(err))
	if isPrimary {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.probeRespondedAt[primary.Service] = o.Now()
	}
	return isPrimary
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
