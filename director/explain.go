package director

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/admitter"
	"github.com/endiveturn/endiveturn/balancer"
	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/connector"
	"github.com/endiveturn/endiveturn/executor"
	"github.com/endiveturn/endiveturn/forwarder"
)

// ErrNoSuchRoute reports that no route, or more than one, fits a Query.
var ErrNoSuchRoute = errors.New("no such route")

// A Query describes a request whose routing is to be explained.
type Query struct {
	// Database is the name that the client requests. If it is empty, the route is that of
	// Service and Consistency.
	Database    string
	Service     string
	Consistency cataloger.Consistency
	Customer    string
	// Writes is set for a write, and for a transaction that may write.
	Writes bool
	// MaxStaleness replaces that of the route unless it is 0.
	MaxStaleness time.Duration
	// Token is the position of the session's last commit.
	Token executor.Position
}

// Decision is what happens to a request.
type Decision string

// The decisions.
const (
	// DecisionRun means that this host sends the request to a database.
	DecisionRun Decision = "run"
	// DecisionForward means that a pool host runs the request and chooses the database.
	DecisionForward Decision = "forward"
	// DecisionWait means that the request waits, for a slot, a connection or a primary.
	DecisionWait Decision = "wait"
	// DecisionRefuse means that the request is refused as not run.
	DecisionRefuse Decision = "refuse"
)

// An Explanation says where a request would be routed now, and why.
type Explanation struct {
	Host, Route, Service, Customer string
	Consistency                    cataloger.Consistency
	Writes                         bool
	Decision                       Decision
	// Code and Reason are those of the response if the request is refused. Otherwise Reason
	// says what it waits for, or why this host runs it.
	Code   executor.Code
	Reason string
	// ViewAge is the age of the host's view of the primaries; ViewCurrent is set if it is
	// recent enough to use one.
	ViewAge     time.Duration
	ViewCurrent bool
	// PoolHosts are the hosts to which the request is forwarded, in order, and LocalReason is
	// why this host runs it if none of them takes it. It is empty without pool hosts.
	PoolHosts   []string
	LocalReason string
	// Balanced is set if admission and balancing are in use for the service.
	Balanced bool
	// Floor is the position that a replica must have reached; FloorKnown is set if it is
	// known.
	Floor      executor.Position
	FloorKnown bool
	// Database is the database that is chosen, empty if there is none.
	Database string
	// Connection is how the request gets a connection to Database.
	Connection string
	Databases  []DatabaseExplanation
}

// A DatabaseExplanation says why a database was chosen or not.
type DatabaseExplanation struct {
	ID, DataCentre  string
	Primary, Chosen bool
	// MayServe is set if the request may run there, Trial if it would be a trial request.
	MayServe, Trial bool
	// Reasons are why it may not serve, or what counts against it.
	Reasons []string
	// Cost is what the choice is based on: the expected response time in milliseconds while
	// balancing, otherwise in units of one waiting statement. It is 0 unless MayServe is set.
	Cost float64
	// Outstanding is the number of this host's attempts there, Permits how many statements it
	// may run at once, and Queued how many wait.
	Outstanding, Permits, Queued int
}

// Explain returns where a request would be routed now. It decides with the code of a real
// request and changes nothing: it takes no token, slot or connection, and no trial request.
func (d *Director) Explain(q Query) (Explanation, error) {
	e := Explanation{Host: d.Host, Service: q.Service, Customer: q.Customer, Consistency: q.Consistency, Writes: q.Writes}
	e.ViewAge = d.SinceBoot().Sub(d.ViewCompleteAsOf())
	e.ViewCurrent = e.ViewAge < MaxViewAge
	catalog := d.Catalog()
	if catalog == nil || catalog.Configuration == nil {
		e.refuse(executor.CodeBusy, "configuration not loaded yet")
		return e, nil
	}
	route, err := findRoute(catalog.Configuration, q)
	if err != nil {
		return e, err
	}
	e.Route, e.Service, e.Consistency = route.Name, route.Service, route.Consistency
	key := ""
	if keys := catalog.Configuration.Customers[q.Customer].Keys; len(keys) > 0 {
		key = keys[0]
	}
	s := &Session{director: d, startup: Startup{Database: route.Database, Key: key}, state: executor.StateIdle}
	if !q.Token.IsZero() {
		s.floors = map[string]executor.Position{route.Service: q.Token}
	}
	op, code, text := s.newOperation("")
	if code != executor.CodeNone {
		if code == executor.CodeUnauthenticated {
			text += ": the customer has no key in the configuration in force"
		}
		e.refuse(code, text)
		return e, nil
	}
	if q.MaxStaleness > 0 {
		op.route.MaxStaleness = q.MaxStaleness
	}
	if ok, wait := d.Limits.WouldAdmit(op.customer); !ok {
		e.refuse(executor.CodeRateLimited, rateText(wait))
		return e, nil
	}
	if code, text := op.findService(); code != executor.CodeNone {
		e.refuse(code, text)
		return e, nil
	}
	op.explain(&e, q.Writes)
	return e, nil
}

// findRoute returns the route of a query.
func findRoute(configuration *cataloger.Configuration, q Query) (cataloger.Route, error) {
	if q.Database != "" {
		route, ok := configuration.Routes[q.Database]
		if !ok {
			return route, errors.Wrapf(ErrNoSuchRoute, "database %q", q.Database)
		}
		return route, nil
	}
	var found []string
	for _, name := range slices.Sorted(maps.Keys(configuration.Routes)) {
		if route := configuration.Routes[name]; route.Service == q.Service && route.Consistency == q.Consistency {
			found = append(found, name)
		}
	}
	switch len(found) {
	case 0:
		return cataloger.Route{}, errors.Wrapf(ErrNoSuchRoute, "service %q with consistency %s", q.Service, q.Consistency)
	case 1:
		return configuration.Routes[found[0]], nil
	}
	return cataloger.Route{}, errors.Wrapf(ErrNoSuchRoute, "several, name the database that the client requests: %s", strings.Join(found, ", "))
}

func (e *Explanation) refuse(code executor.Code, reason string) {
	e.Decision, e.Code, e.Reason = DecisionRefuse, code, reason
}

// explain explains an operation that the rate limit admits.
func (op *operation) explain(e *Explanation, writes bool) {
	e.Balanced = op.service.isBalanced()
	if op.session.mayForward() {
		targets, localReason := op.service.forwardTargets(func(forwarder.Target) {})
		e.LocalReason = localReason
		for _, target := range targets {
			e.PoolHosts = append(e.PoolHosts, target.Name)
		}
	}
	var tried map[string]bool
	for range maxAttempts {
		required := op.requirements(writes, tried)
		op.floor, op.writes = required.Floor, required.Writes
		e.Floor, e.FloorKnown = required.Floor, required.FloorKnown
		chosen := op.service.selectDatabase(op.customer, required, op.service.peekPrimary)
		e.Databases = op.service.explainDatabases(required, chosen)
		if chosen.database == nil {
			e.Database, e.Connection = "", ""
			op.explainNoDatabase(e)
			break
		}
		e.Database, e.Connection = chosen.database.id, chosen.database.pool.Availability(op.customer).String()
		refusal := op.explainSlot(e, chosen.database)
		tried = withTried(tried, chosen.database.id)
		if refusal == nil || writes || len(tried) >= 2 || !onArrival(refusal) {
			break
		}
	}
	if len(e.PoolHosts) > 0 {
		e.Decision, e.Code, e.Database, e.Connection = DecisionForward, executor.CodeNone, "", ""
		e.Reason = "the pool host chooses the database; run the command there"
	}
}

// peekPrimary returns the primary if operations may use it now.
func (s *service) peekPrimary() *database {
	s.mu.Lock()
	defer s.mu.Unlock()
	primary, _ := s.usablePrimary()
	return primary
}

// explainNoDatabase says what happens while no database may serve.
func (op *operation) explainNoDatabase(e *Explanation) {
	if !e.ViewCurrent {
		e.refuse(executor.CodeBusy, errNoPrimary.Error()+": the host's view of the primaries is not fresh")
		return
	}
	e.Decision = DecisionWait
	e.Reason = "no primary in force: waits for one up to " + op.primaryWait().String()
}

// explainSlot says whether a request gets a slot of the database. It returns the refusal if it
// gets none.
func (op *operation) explainSlot(e *Explanation, db *database) *admitter.Refusal {
	e.Decision, e.Code, e.Reason = DecisionRun, executor.CodeNone, ""
	throttled := 0.0
	if !e.Balanced {
		if free := db.semaphore.free(); !free {
			e.Decision, e.Reason = DecisionWait, "all permits of this host for the database are in use"
		}
	} else {
		preview := db.gate.Preview(op.slotRequest(op.rank(false), op.statementTimeout()))
		throttled = preview.Throttled
		switch preview.State {
		case admitter.Refused:
			e.refuse(executor.CodeBusy, (&admissionError{preview.Refusal}).Error()+", "+preview.Refusal.Error())
			return preview.Refusal
		case admitter.Waiting:
			e.Decision, e.Reason = DecisionWait, "all slots of this host at the database are in use; they complete what runs and waits in "+
				preview.Backlog.Round(time.Millisecond).String()
		case admitter.Granted, admitter.Released:
		}
	}
	availability := db.pool.Availability(op.customer)
	if throttled > 0 && availability != connector.TakesIdleConn {
		e.Reason = fmt.Sprintf("%.0f%% of the requests that need a new connection are refused, since few of the recent ones succeeded", 100*throttled)
	}
	if e.Decision == DecisionRun && availability == connector.AwaitsConn {
		e.Decision, e.Reason = DecisionWait, "no connection to the database is free"
	}
	return nil
}

// free reports whether a statement gets a permit at once.
func (s *prioritySemaphore) free() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held < max(1, s.limit) && len(s.queue) == 0
}

// waiting returns the number of statements that wait for a permit.
func (s *prioritySemaphore) waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queue)
}

// explainDatabases explains the choice, in order of the databases' IDs.
func (s *service) explainDatabases(required Requirements, chosen selection) []DatabaseExplanation {
	costs := s.costs(required, chosen.candidates)
	explained := make(map[string]DatabaseExplanation)
	for i, c := range chosen.candidates {
		explained[c.Endpoint.ID] = DatabaseExplanation{
			ID: c.Endpoint.ID, DataCentre: c.Endpoint.DataCentre, Primary: c.Primary, Outstanding: c.Load, Permits: c.Permits,
			MayServe: required.satisfiedBy(c), Trial: s.isBalanced() && required.satisfiedBy(c) && required.tries(c), Reasons: s.reasons(required, c), Cost: costs[i],
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []DatabaseExplanation
	for _, db := range s.databases {
		e, ok := explained[db.id]
		if reason := s.leftOut(db); reason != "" {
			e = DatabaseExplanation{ID: db.id, DataCentre: db.endpoint.DataCentre, Reasons: []string{reason}}
		} else if !ok {
			continue // registered since the candidates were collected
		}
		e.Queued = db.semaphore.waiting() + db.gate.Queued()
		e.Chosen = db == chosen.database
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b DatabaseExplanation) int { return strings.Compare(a.ID, b.ID) })
	markEqual(list)
	return list
}

// reasonEqual is the reason of a database that a request may get instead of the chosen one,
// since requests choose among equal ones at random.
const reasonEqual = "equal to the chosen one, of which one is chosen at random"

func markEqual(list []DatabaseExplanation) {
	i := slices.IndexFunc(list, func(e DatabaseExplanation) bool { return e.Chosen })
	for j := range list {
		if i < 0 || j == i || !list[i].MayServe || !list[j].MayServe || list[i].Trial != list[j].Trial {
			continue
		}
		if list[i].Trial || list[i].Cost == list[j].Cost {
			list[j].Reasons = append(list[j].Reasons, reasonEqual)
		}
	}
}

// reasons returns why a candidate may not serve, or what counts against it.
func (s *service) reasons(required Requirements, c Candidate) []string {
	if unmet := required.unmetBy(c); unmet != "" {
		return []string{unmet}
	}
	var reasons []string
	if c.Primary && s.peekPrimary() == nil {
		reasons = append(reasons, "the host's view is not fresh, so it uses no primary")
	}
	switch {
	case !s.isBalanced():
	case required.tries(c):
		reasons = append(reasons, "ejected, due for a trial request")
	case c.Detected != balancer.Included:
		reasons = append(reasons, "ejected")
	}
	required.eachCost(c, func(reason string, _ float64) { reasons = append(reasons, reason) })
	return reasons
}

// costs returns the costs by which candidates that may serve are compared.
func (s *service) costs(required Requirements, candidates []Candidate) []float64 {
	costs := make([]float64, len(candidates))
	var options []balancer.Option
	var indexes []int
	for i, c := range candidates {
		if !required.satisfiedBy(c) {
			continue
		}
		costs[i] = required.cost(c)
		options, indexes = append(options, required.option(c)), append(indexes, i)
	}
	if s.isBalanced() {
		for i, seconds := range balancer.Estimates(options) {
			costs[indexes[i]] = 1000 * seconds
		}
	}
	return costs
}
