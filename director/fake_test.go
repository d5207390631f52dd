package director

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/connector"
	"github.com/endiveturn/endiveturn/executor"
	"github.com/endiveturn/endiveturn/limiter"
)

// errConnectionLost is the error of a closed or broken fakeTransport.
var errConnectionLost = errors.New("connection lost")

// A fakeDatabase is a database in memory that records the statements it
// receives.
type fakeDatabase struct {
	mu      sync.Mutex
	id      string
	primary bool
	log     executor.Position
	// executed holds the statements that clients sent, in order.
	executed []executor.Request
	// loseResponseAfter breaks the connection after a statement of that verb
	// was run, so that its response is lost.
	loseResponseAfter executor.Verb
	// refuse holds the codes for verbs that are rejected without running them.
	refuse map[executor.Verb]executor.Code
	// refusalText is the text of the responses to these verbs.
	refusalText string
	// responseTime is how long a statement runs.
	responseTime time.Duration
	// dials counts connections by customer.
	dials map[string]int
}

func (d *fakeDatabase) setLoseResponseAfter(v executor.Verb) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.loseResponseAfter = v
}

func (d *fakeDatabase) statements() []executor.Request {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]executor.Request(nil), d.executed...)
}

// A fakeTransport is a connection to a fakeDatabase.
type fakeTransport struct {
	db            *fakeDatabase
	mu            sync.Mutex
	requests      []executor.Request
	inTransaction bool
	pendingWrites int
	variables     map[string]string
	prepared      map[string]string
	closed        bool
	// sendError, if not nil, is the error of Send.
	sendError error
	// deadline is the deadline of the last Receive.
	deadline time.Time
}

func (t *fakeTransport) Send(r executor.Request) error {
	if t.sendError != nil {
		return t.sendError
	}
	t.requests = append(t.requests, r)
	return nil
}

func (t *fakeTransport) Flush(time.Time) error { return nil }
func (t *fakeTransport) Alive() bool           { return true }

func (t *fakeTransport) Close() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	return nil
}

func (t *fakeTransport) isClosed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.closed
}

func (t *fakeTransport) Receive(deadline time.Time) (executor.Response, error) {
	t.deadline = deadline
	if t.isClosed() {
		return executor.Response{}, errConnectionLost
	}
	time.Sleep(t.db.responseTime)
	r := t.requests[0]
	t.requests = t.requests[1:]
	t.db.mu.Lock()
	defer t.db.mu.Unlock()
	if r.ID != "" {
		t.db.executed = append(t.db.executed, r)
	}
	if code := t.db.refuse[r.Verb]; code != executor.CodeNone {
		return executor.Response{Code: code, Text: t.db.refusalText, State: t.state(), Position: t.db.log}, nil
	}
	if !r.Floor.IsZero() && t.db.log.Before(r.Floor) {
		return executor.Response{Code: executor.CodeLagging, State: t.state(), Position: t.db.log}, nil
	}
	t.apply(r)
	if t.db.loseResponseAfter == r.Verb && r.ID != "" {
		return executor.Response{}, errConnectionLost
	}
	return executor.Response{Signature: t.db.id, State: t.state(), Position: t.db.log}, nil
}

func (t *fakeTransport) apply(r executor.Request) {
	switch r.Verb {
	case executor.VerbBegin, executor.VerbBeginRead:
		t.inTransaction = true
	case executor.VerbCommit:
		t.db.log.Offset += uint64(t.pendingWrites)
		t.inTransaction, t.pendingWrites = false, 0
	case executor.VerbRollback:
		t.inTransaction, t.pendingWrites = false, 0
	case executor.VerbWrite:
		if t.inTransaction {
			t.pendingWrites = 1
		} else {
			t.db.log.Offset++
		}
	case executor.VerbSet:
		t.variables[r.Name] = r.Arguments
	case executor.VerbDiscard:
		t.variables, t.prepared = make(map[string]string), make(map[string]string)
	case executor.VerbPrepare:
		t.prepared[r.Name] = r.Arguments
	}
}

func (t *fakeTransport) state() byte {
	if t.inTransaction {
		return executor.StateTransaction
	}
	return executor.StateIdle
}

// A fixture is a director in front of a primary and a replica.
type fixture struct {
	director         *Director
	primary, replica *fakeDatabase
	catalog          cataloger.Catalog
	now              time.Time
	// clockOffset is how far the clock of Director.Now is ahead of time.Now.
	clockOffset time.Duration
	// viewConfirmedAt is the time at which the view is known to be complete.
	viewConfirmedAt time.Time
	// mu guards the next two fields while statements run.
	mu sync.Mutex
	// lastTransport is the most recently opened transport.
	lastTransport *fakeTransport
	// lastAddress is the address to which lastTransport was opened.
	lastAddress string
	// onDial, if not nil, is called before a transport is opened.
	onDial func()
}

func newFixture(consistency cataloger.Consistency) *fixture {
	f := &fixture{now: time.Unix(1000, 0), viewConfirmedAt: time.Unix(1000, 0)}
	position := executor.Position{Term: 1, Offset: 10}
	f.primary = &fakeDatabase{id: "p", primary: true, log: position, dials: make(map[string]int), refuse: make(map[executor.Verb]executor.Code)}
	f.replica = &fakeDatabase{id: "r", log: position, dials: make(map[string]int), refuse: make(map[executor.Verb]executor.Code)}
	clock := func() time.Time { return f.now }
	f.director = &Director{
		Host: "h", DataCentre: "dc1", Now: func() time.Time { return time.Now().Add(f.clockOffset) }, SinceBoot: clock, ViewCompleteAsOf: func() time.Time { return f.viewConfirmedAt },
		Limits: limiter.NewFleetLimiter(clock), Logger: slog.New(slog.NewTextHandler(io.Discard, nil)), Metrics: &Metrics{},
		Dial: func(_ context.Context, e cataloger.Endpoint, customer string) (connector.Transport, error) {
			if f.onDial != nil {
				f.onDial()
			}
			db := f.replica
			if e.ID == "p" {
				db = f.primary
			}
			db.mu.Lock()
			defer db.mu.Unlock()
			db.dials[customer]++
			// Connections to both databases are opened at the same time.
			f.mu.Lock()
			defer f.mu.Unlock()
			f.lastAddress = e.Address
			f.lastTransport = &fakeTransport{db: db, variables: make(map[string]string), prepared: make(map[string]string)}
			return f.lastTransport, nil
		},
	}
	configuration := cataloger.Configuration{
		Version: 1,
		Routes: map[string]cataloger.Route{"db": {
			Name: "route", Database: "db", Service: "s", Consistency: consistency, StatementTimeout: time.Second,
			TargetLatency: 400 * time.Millisecond, MaxStaleness: 2 * time.Second, Priority: 1,
		}},
		Customers: map[string]cataloger.Customer{"c": {Name: "c", Keys: []string{"key"}, Rate: 100, Burst: 100}},
		Services:  map[string]cataloger.Service{"s": {Name: "s", MaxConnections: 20}},
	}.WithKeyIndex()
	host := cataloger.Host{Name: "h"}
	f.catalog = cataloger.Catalog{
		Revision: 5, Configuration: &configuration,
		Endpoints: map[string][]cataloger.Endpoint{"s": {
			{ID: "p", Service: "s", DataCentre: "dc1", Slots: 5, ClaimsPrimary: true}, {ID: "r", Service: "s", DataCentre: "dc1", Slots: 5},
		}},
		Assignments: map[string]cataloger.PrimaryAssignment{"s": {Service: "s", ID: "p", Revision: 3}}, Evacuated: map[string]bool{},
		Hosts: map[string]cataloger.Host{"h": host}, RecentHosts: []cataloger.Host{host},
	}
	f.updateCatalog(func(*cataloger.Catalog) {})
	return f
}

// updateCatalog changes a copy of the catalog and puts it into force.
func (f *fixture) updateCatalog(change func(*cataloger.Catalog)) {
	next := f.catalog
	next.Assignments = map[string]cataloger.PrimaryAssignment{"s": f.catalog.Assignments["s"]}
	next.Evacuated = map[string]bool{}
	change(&next)
	f.catalog = next
	f.director.SetCatalog(&next)
}

// database returns the registered database with the given ID.
func (f *fixture) database(id string) *database {
	s := f.director.service("s")
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.databases[endpointKey{id: id}]
}

// seedPosition makes the position of the primary known, so that replicas may serve reads.
func (f *fixture) seedPosition() {
	s := f.director.service("s")
	s.recordRemotePosition(s.snapshot(), s.assignmentRevision(), executor.Position{Term: 1, Offset: 10})
}

// newSession returns a new session of the only customer.
func (f *fixture) newSession() *Session {
	return &Session{
		director: f.director, startup: Startup{Database: "db", Key: "key"}, prepared: make(map[string]prepared),
		floors: make(map[string]executor.Position), state: executor.StateIdle,
	}
}

// runVerb executes a statement of the given verb.
func runVerb(s *Session, verb executor.Verb, arguments ...string) executor.Response {
	r := executor.Request{ID: "id", Verb: verb}
	switch len(arguments) {
	case 1:
		r.Arguments = arguments[0]
	case 2:
		r.Name, r.Arguments = arguments[0], arguments[1]
	}
	return s.execute(context.Background(), r)
}
