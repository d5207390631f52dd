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
	// probeInterval is the least time between two probes of a primary that
	// answers.
	probeInterval = 500 * time.Millisecond
	// cutPersists is how long a primary must be reported as cut from many hosts.
	cutPersists = 700 * time.Millisecond
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
