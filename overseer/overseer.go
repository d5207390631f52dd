package overseer

import (
	"context"
	"log/slog"
	"math/rand/v2"
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
	// leaseTime is after how much silence a host's keys leave the store.
	leaseTime = 1800 * time.Millisecond
	// renewInterval leaves room for two failed renewals, of which renewTimeout
	// bounds each.
	renewInterval = 450 * time.Millisecond
	renewTimeout  = 500 * time.Millisecond
	// longLease is how many times longer leases last in a large fleet, where no
	// decision waits for one of them to end.
	longLease = 8
	// campaigners is about how many hosts try to take the duty at once.
	campaigners = 16
	// youngDelay and weakDelay are by how much longer young hosts and those of less
	// capacity wait for the duty.
	youngDelay = 8
	weakDelay  = 50
	// storeTimeout bounds a call to the store.
	storeTimeout = 1200 * time.Millisecond
	// probeInterval is the least time between two probes of a primary that
	// answers.
	probeInterval = 500 * time.Millisecond
	// cutPersists is how long a primary must be reported as cut from many hosts.
	cutPersists = 700 * time.Millisecond
	// unansweredTime is the time in which the databases of two services have to
	// leave this host without an answer for it to give the duty up, and abstainTime
	// how long it then leaves the duty to others.
	unansweredTime = 2 * time.Second
	abstainTime    = 5 * time.Second
	// judgeInterval is how often the holder of the duty looks at the primaries.
	judgeInterval = 100 * time.Millisecond
)

// ErrNotRunning says that a database can't be promoted because it has ended.
var ErrNotRunning = errors.New("database is not running")

// A Member is another host as far as it matters for a change of primary.
type Member struct {
	Name string
	// Recent is set if the host was heard lately.
	Recent bool
	// Released holds, by service, the revision of the last lead for which the
	// host uses no other primary.
	Released map[string]int64
	// Ended is set if the host's process was seen to have ended after the
	// change began.
	Ended func(since time.Time) bool
	// Opinions are the host's by service and the database's ID.
	Opinions map[string]HostOpinion
}

// A HostOpinion is an opinion with the database that it is about.
type HostOpinion struct {
	ID   string
	Born int64
	Opinion
}

// An Overseer registers its host in the store and takes part in the duty. Its
// exported fields are set before Run.
type Overseer struct {
	Host   cataloger.Host
	Space  storer.Space
	Mirror *informer.Mirror
	// Catalog returns the view in force, or nil.
	Catalog func() *cataloger.Catalog
	// Members returns the other hosts, this one's own opinions excluded.
	Members func() []Member
	// Own returns this host as a member.
	Own func() Member
	// Spread tells the other hosts at once.
	Spread func()
	// Status asks a database for its state.
	Status func(ctx context.Context, endpoint cataloger.Endpoint) (executor.DatabaseStatus, error)
	// Demote makes a former primary a replica.
	Demote func(ctx context.Context, endpoint cataloger.Endpoint, term uint64) error
	// Promote asks the platform for a promotion; ErrNotRunning is final.
	Promote func(ctx context.Context, service, id string, token int64) error
	// Enough reports whether the hosts for which confirmed is true are so many that
	// no host vouches any more for a view without what they confirmed. In small
	// fleets, where each host hears all others, it is always true.
	Enough func(confirmed func(name string) bool) bool
	// SettleTime is after how long nobody vouches for a view without a change that
	// not enough hosts have confirmed.
	SettleTime time.Duration
	// Young hosts leave the duty to others if there are any.
	Young func() bool
	// MaxViewAge is the age of a host's view at which it stops using primaries.
	MaxViewAge time.Duration
	// Now returns an instant that counts suspensions of the machine.
	Now    func() time.Time
	Logger *slog.Logger

	mu sync.Mutex
	// lease keeps the host's key.
	lease held
	// leaseRetry is when the host's lease is tried again after a failed call.
	leaseRetry time.Time
	// duty keeps the key of the duty; its ID is 0 while another host holds it.
	duty held
	// token is the fencing token of the duty, 0 while another host holds it.
	token int64
	// deferred holds the services whose change waits until enough hosts are heard.
	deferred map[string]bool
	// moving holds the services whose primary this host is replacing.
	moving map[string]bool
	// probed holds when a suspected primary last answered a probe, by service.
	probed map[string]time.Time
	// cutSince is since when a primary has been cut from many hosts, by service.
	cutSince map[string]time.Time
	// unanswered holds when no database that could take over answered last, by
	// service.
	unanswered map[string]time.Time
	// abstains is until when this host leaves the duty to others.
	abstains time.Time
	// stopping hosts leave the duty to others.
	stopping bool
}

// A held lease lasts at least until an instant; its ID is 0 if there is none.
type held struct {
	id    storer.LeaseID
	ttl   time.Duration
	until time.Time
}

// due reports whether it is time to renew: after a quarter of the lease's time.
func (l held) due(now time.Time) bool {
	return l.id == 0 || l.until.Sub(now) <= l.ttl*3/4
}

// Run registers the host, renews its lease and carries out the duty while this
// host holds it, until ctx ends.
func (o *Overseer) Run(ctx context.Context) error {
	o.moving, o.probed, o.cutSince = make(map[string]bool), make(map[string]time.Time), make(map[string]time.Time)
	o.deferred, o.unanswered = make(map[string]bool), make(map[string]time.Time)
	go o.judgeAlways(ctx)
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		o.keep(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// keep renews the lease of the duty, and the host's lease when that is due.
func (o *Overseer) keep(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	o.mu.Lock()
	duty, lease, retry := o.duty, o.lease, o.leaseRetry
	o.mu.Unlock()
	if duty.id != 0 {
		o.keepDuty(ctx, duty.id)
	}
	if lease.due(o.Now()) && !o.Now().Before(retry) {
		o.keepHost(ctx, lease, leaseTime*o.leaseScale())
	}
}

// retryLater puts off the next call for the host's lease, in a large fleet for
// several intervals: every host tries while the store is away.
func (o *Overseer) retryLater() {
	scale := o.leaseScale()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.leaseRetry = o.Now().Add(renewInterval * scale / 2)
}

// leaseScale is how many times longer hosts' leases last in large fleets, where
// no decision waits for one of them to end.
func (o *Overseer) leaseScale() time.Duration {
	if catalog := o.Catalog(); catalog != nil && catalog.Large() {
		return longLease
	}
	return 1
}

func (o *Overseer) keepDuty(ctx context.Context, id storer.LeaseID) {
	asked := o.Now()
	err := o.renew(ctx, id)
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case err == nil && o.duty.id == id:
		o.duty.until = asked.Add(leaseTime)
	case errors.Is(err, storer.ErrLeaseExpired):
		o.Logger.Warn("duty_lost", "token", o.token)
		o.duty, o.token = held{}, 0
	case err != nil:
		o.Logger.Warn("lease_not_renewed", "lease", int64(id), "error", err.Error())
	}
}

// keepHost renews the host's lease, or makes a new one if there is none of the
// wanted time. A lease that is replaced is left to end.
func (o *Overseer) keepHost(ctx context.Context, lease held, ttl time.Duration) {
	asked := o.Now()
	id := lease.id
	if id != 0 && lease.ttl == ttl {
		err := o.renew(ctx, id)
		if err == nil {
			o.setLease(held{id: id, ttl: ttl, until: asked.Add(ttl)})
			return
		}
		if !errors.Is(err, storer.ErrLeaseExpired) {
			o.Logger.Warn("lease_not_renewed", "lease", int64(id), "error", err.Error())
			o.retryLater()
			return
		}
		o.Logger.Warn("lease_expired", "lease", int64(id))
	}
	id, err := o.Space.Grant(ctx, ttl)
	if err != nil {
		o.Logger.Warn("lease_not_granted", "error", err.Error())
		o.retryLater()
		return
	}
	o.setLease(held{id: id, ttl: ttl, until: asked.Add(ttl)})
	o.register(ctx, id)
}

func (o *Overseer) setLease(lease held) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lease = lease
}

func (o *Overseer) renew(ctx context.Context, lease storer.LeaseID) error {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	return o.Space.Renew(ctx, lease)
}

// register writes the host's key. One left by a former process of the same
// name is replaced.
func (o *Overseer) register(ctx context.Context, lease storer.LeaseID) {
	key := hostsPrefix + o.Host.Name
	known, _ := o.Mirror.Get(key)
	expected := known.Revision
	for range 2 {
		revision, err := o.Space.Write(ctx, storer.Put{Key: key, Value: encodeHost(o.Host), Expected: expected, Lease: lease})
		if err == nil {
			o.Mirror.Wrote(informer.Record{Key: key, Value: encodeHost(o.Host), Revision: revision})
			o.Logger.Info("host_registered", "lease", int64(lease), "revision", revision)
			return
		}
		var conflict *storer.Conflict
		if !errors.As(err, &conflict) {
			o.Logger.Warn("host_not_registered", "error", err.Error())
			o.setLease(held{})
			return
		}
		expected = conflict.Now.ModRevision
	}
	o.setLease(held{})
}

// holds returns the fencing token if this host surely holds the duty.
func (o *Overseer) holds() (int64, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.token, o.token > 0 && o.Now().Before(o.duty.until)
}

// Stop gives the duty up and ends the host's lease.
func (o *Overseer) Stop(ctx context.Context) {
	o.mu.Lock()
	o.stopping = true
	leases := []held{o.duty, o.lease}
	o.duty, o.lease, o.token = held{}, held{}, 0
	o.mu.Unlock()
	for _, lease := range leases {
		if lease.id == 0 {
			continue
		}
		if err := o.Space.Revoke(ctx, lease.id); err != nil {
			o.Logger.Warn("lease_not_revoked", "error", err.Error())
		}
	}
}

// GiveUpDuty lets another host take the duty while this one still serves.
func (o *Overseer) GiveUpDuty() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stopping = true
}

// noneAnswered notes that no database of a service that could take over has
// answered this host. With two services at once the fault is more likely this
// host's, which is slow or cut off, and another one judges better.
func (o *Overseer) noneAnswered(ctx context.Context, service string) {
	o.mu.Lock()
	now := o.Now()
	o.unanswered[service] = now
	lately := 0
	for _, at := range o.unanswered {
		if now.Sub(at) < unansweredTime {
			lately++
		}
	}
	duty := o.duty
	if lately < 2 || duty.id == 0 {
		o.mu.Unlock()
		return
	}
	token := o.token
	o.duty, o.token, o.abstains = held{}, 0, now.Add(abstainTime)
	clear(o.unanswered)
	o.mu.Unlock()
	o.Logger.Warn("duty_given_up", "token", token, "reason", "databases do not answer this host", "services", lately)
	if err := o.Space.Revoke(ctx, duty.id); err != nil {
		o.Logger.Warn("lease_not_revoked", "error", err.Error())
	}
}

func (o *Overseer) judgeAlways(ctx context.Context) {
	ticker := time.NewTicker(judgeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if o.campaign(ctx) {
			o.judge(ctx)
		}
	}
}

// campaign takes the duty if nobody holds it, and reports whether this host
// does.
func (o *Overseer) campaign(ctx context.Context) bool {
	if _, ok := o.holds(); ok {
		return true
	}
	_, taken := o.Mirror.Get(dutyKey)
	o.mu.Lock()
	registered, stopping := o.lease.id != 0, o.stopping || o.Now().Before(o.abstains)
	o.mu.Unlock()
	if taken || !registered || stopping || !o.Mirror.Loaded() || !o.chosen() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	asked := o.Now()
	lease, err := o.Space.Grant(ctx, leaseTime)
	if err != nil {
		return false
	}
	value := encode(wireDuty{Host: o.Host.Name, Incarnation: o.Host.Incarnation})
	revision, err := o.Space.Write(ctx, storer.Put{Key: dutyKey, Value: value, Lease: lease})
	if err != nil {
		o.lostCampaign(ctx, lease, err)
		return false
	}
	o.Mirror.Wrote(informer.Record{Key: dutyKey, Value: value, Revision: revision})
	o.mu.Lock()
	defer o.mu.Unlock()
	o.duty, o.token = held{id: lease, ttl: leaseTime, until: asked.Add(leaseTime)}, revision
	o.Logger.Info("duty_taken", "token", revision)
	return true
}

// chosen lets hosts of a large fleet try at different times: first those of the
// largest capacity that have run for long, which can speak for all.
func (o *Overseer) chosen() bool {
	catalog := o.Catalog()
	if catalog == nil || !catalog.Large() {
		return true
	}
	largest, peers := int64(0), 0
	for _, host := range catalog.Sharers {
		switch {
		case host.Capacity > largest:
			largest, peers = host.Capacity, 1
		case host.Capacity == largest:
			peers++
		}
	}
	if o.Host.Capacity < largest {
		peers = catalog.FleetSize() * weakDelay
	}
	if o.Young() {
		peers *= youngDelay
	}
	return rand.N(max(1, peers)) < campaigners
}

// lostCampaign gives back the lease of a campaign that another host has won, or
// whose outcome is not known.
func (o *Overseer) lostCampaign(ctx context.Context, lease storer.LeaseID, err error) {
	o.adopt(err)
	if err := o.Space.Revoke(ctx, lease); err != nil {
		o.Logger.Warn("lease_not_revoked", "error", err.Error())
	}
}

// judge looks at every service and replaces primaries where that is due.
func (o *Overseer) judge(ctx context.Context) {
	catalog := o.Catalog()
	if catalog == nil || catalog.Configuration == nil {
		return
	}
	members := append(o.Members(), o.Own())
	for service := range catalog.Configuration.Services {
		if len(catalog.Endpoints[service]) == 0 || !o.lock(service) {
			continue
		}
		go func() {
			defer o.unlock(service)
			o.judgeService(ctx, catalog, service, members)
		}()
	}
}

func (o *Overseer) lock(service string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.moving[service] {
		return false
	}
	o.moving[service] = true
	return true
}

func (o *Overseer) unlock(service string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.moving, service)
}

func (o *Overseer) judgeService(ctx context.Context, catalog *cataloger.Catalog, service string, members []Member) {
	lead, led := catalog.Leads[service]
	if !led {
		o.recordFirst(ctx, catalog, service)
		return
	}
	situation := situationOf(catalog, lead, members)
	reason := Judge(situation)
	persists := o.persists(service, reason)
	switch {
	case reason == ReasonNone:
		return
	case reason == ReasonCut && !persists:
		return
	case reason == ReasonFailing && o.answers(ctx, situation.Primary):
		return
	}
	if reason.Planned() && !o.reachesEnough(service, reason, members) {
		return
	}
	m := &move{overseer: o, service: service, lead: lead, former: situation.Primary, registered: situation.Registered, reason: reason}
	m.run(ctx)
}

// reachesEnough reports whether enough hosts were heard lately to confirm a change
// soon. A primary that works is kept until then.
func (o *Overseer) reachesEnough(service string, reason Reason, members []Member) bool {
	heard := make(map[string]bool, len(members))
	for _, member := range members {
		heard[member.Name] = member.Recent
	}
	enough := o.Enough(func(name string) bool { return heard[name] })
	o.mu.Lock()
	defer o.mu.Unlock()
	if !enough && !o.deferred[service] {
		o.Logger.Info("primary_change_deferred", "service", service, "reason", string(reason), "hosts", len(members))
	}
	o.deferred[service] = !enough
	return enough
}

// persists reports whether a primary has been cut from hosts for long in a row.
// Hosts that return from a cut of their own report failures that are over.
func (o *Overseer) persists(service string, reason Reason) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if reason != ReasonCut {
		delete(o.cutSince, service)
		return false
	}
	if _, ok := o.cutSince[service]; !ok {
		o.cutSince[service] = o.Now()
	}
	return o.Now().Sub(o.cutSince[service]) >= cutPersists
}

// situationOf collects what is known of a service.
func situationOf(catalog *cataloger.Catalog, lead cataloger.Lead, members []Member) Situation {
	s := Situation{Lead: lead, Hosts: len(members)}
	s.Primary, s.Registered = catalog.Endpoint(lead.Service, lead.ID)
	s.Registered = s.Registered && s.Primary.Born == lead.Born
	s.Evacuated = s.Registered && catalog.Evacuated[s.Primary.DataCentre]
	s.Candidates = len(eligible(catalog, lead))
	for _, member := range members {
		if o, ok := member.Opinions[lead.Service]; ok && o.ID == lead.ID && o.Born == lead.Born {
			s.Opinions = append(s.Opinions, o.Opinion)
		}
	}
	return s
}

// eligible returns the databases that could take over. A restarted primary
// that lost its incarnation counts like any other.
func eligible(catalog *cataloger.Catalog, lead cataloger.Lead) []cataloger.Endpoint {
	var list []cataloger.Endpoint
	for _, e := range catalog.Endpoints[lead.Service] {
		same := e.ID == lead.ID && e.Born == lead.Born
		if !same && !e.Draining && !catalog.Evacuated[e.DataCentre] {
			list = append(list, e)
		}
	}
	return list
}

// recordFirst records the primary that a service has when nobody ever changed
// it. If none claims the role, the most advanced database gets it.
func (o *Overseer) recordFirst(ctx context.Context, catalog *cataloger.Catalog, service string) {
	endpoint, ok := catalog.PrimaryOf(service)
	if !ok {
		return
	}
	lead := cataloger.Lead{Service: service, ID: endpoint.ID, Born: endpoint.Born}
	if _, err := o.write(ctx, lead); err != nil {
		o.Logger.Warn("lead_not_recorded", "service", service, "error", err.Error())
	}
}

// write records a lead under the condition that it has not changed.
func (o *Overseer) write(ctx context.Context, lead cataloger.Lead) (cataloger.Lead, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	key := leadsPrefix + lead.Service
	revision, err := o.Space.Write(ctx, storer.Put{Key: key, Value: encodeLead(lead), Expected: lead.Revision})
	if err != nil {
		o.adopt(err)
		return lead, err
	}
	lead.Revision = revision
	o.Mirror.Wrote(informer.Record{Key: key, Value: encodeLead(lead), Revision: revision})
	o.Spread()
	return lead, nil
}

// adopt takes in the record by which the store refused a write, so that the next
// decision is made with it.
func (o *Overseer) adopt(err error) {
	var conflict *storer.Conflict
	if errors.As(err, &conflict) && conflict.Now.ModRevision > 0 {
		o.Mirror.Wrote(informer.Record{Key: conflict.Now.Key, Value: conflict.Now.Value, Revision: conflict.Now.ModRevision})
	}
}

// answers reports whether a suspected primary still leads. One that answered
// lately is not asked again.
func (o *Overseer) answers(ctx context.Context, primary cataloger.Endpoint) bool {
	o.mu.Lock()
	recent := o.Now().Sub(o.probed[primary.Service]) < probeInterval
	o.mu.Unlock()
	if recent {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	status, err := o.Status(ctx, primary)
	// One that has no room for the question is busy, not away.
	leads := err == nil && status.Primary || errors.Is(err, connector.ErrFull)
	o.Logger.Info("primary_probed", "service", primary.Service, "database", primary.ID, "leads", leads, "error", textOf(err))
	if leads {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.probed[primary.Service] = o.Now()
	}
	return leads
}

func textOf(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
