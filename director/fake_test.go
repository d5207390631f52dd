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

// errLost is what a fake connection reports after its loss.
var errLost = errors.New("connection lost")

// A fakeDatabase keeps a log and counts what it runs.
type fakeDatabase struct {
	mu      sync.Mutex
	id      string
	primary bool
	log     executor.Position
	// ran holds the statements that clients sent, in order.
	ran []executor.Request
	// loseAfter makes the connection break after it ran the statement of that
	// verb, with its answer lost.
	loseAfter executor.Verb
	// refuse answers the verbs without running them.
	refuse map[executor.Verb]executor.Code
	// dials counts connections, by customer.
	dials map[string]int
}

func (d *fakeDatabase) setLose(v executor.Verb) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.loseAfter = v
}

func (d *fakeDatabase) statements() []executor.Request {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]executor.Request(nil), d.ran...)
}

// A fakeTransport is a connection to a fakeDatabase.
type fakeTransport struct {
	db     *fakeDatabase
	mu     sync.Mutex
	queue  []executor.Request
	open   bool
	wrote  int
	values map[string]string
	known  map[string]bool
	closed bool
}

func (t *fakeTransport) Send(r executor.Request) error {
	t.queue = append(t.queue, r)
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

func (t *fakeTransport) Receive(time.Time) (executor.Reply, error) {
	if t.isClosed() {
		return executor.Reply{}, errLost
	}
	r := t.queue[0]
	t.queue = t.queue[1:]
	t.db.mu.Lock()
	defer t.db.mu.Unlock()
	if r.ID != "" {
		t.db.ran = append(t.db.ran, r)
	}
	if code := t.db.refuse[r.Verb]; code != executor.CodeNone {
		return executor.Reply{Code: code, State: t.state(), Position: t.db.log}, nil
	}
	if !r.Floor.IsZero() && t.db.log.Before(r.Floor) {
		return executor.Reply{Code: executor.CodeLagging, State: t.state(), Position: t.db.log}, nil
	}
	t.apply(r)
	if t.db.loseAfter == r.Verb && r.ID != "" {
		return executor.Reply{}, errLost
	}
	return executor.Reply{Signature: t.db.id, State: t.state(), Position: t.db.log}, nil
}

func (t *fakeTransport) apply(r executor.Request) {
	switch r.Verb {
	case executor.VerbBegin, executor.VerbBeginRead:
		t.open = true
	case executor.VerbCommit:
		t.db.log.Offset += uint64(t.wrote)
		t.open, t.wrote = false, 0
	case executor.VerbRollback:
		t.open, t.wrote = false, 0
	case executor.VerbWrite:
		if t.open {
			t.wrote = 1
		} else {
			t.db.log.Offset++
		}
	case executor.VerbSet:
		t.values[r.Name] = r.Arguments
	case executor.VerbDiscard:
		t.values, t.known = make(map[string]string), make(map[string]bool)
	case executor.VerbPrepare:
		t.known[r.Name] = true
	}
}

func (t *fakeTransport) state() byte {
	if t.open {
		return executor.StateTransaction
	}
	return executor.StateIdle
}

// A fixture is a director before a primary and a replica.
type fixture struct {
	director         *Director
	primary, replica *fakeDatabase
	catalog          cataloger.Catalog
	now              time.Time
	// current is the instant at which the view is known to be complete.
	current time.Time
	// last is the transport that was opened last.
	last *fakeTransport
}

func newFixture(consistency cataloger.Consistency) *fixture {
	f := &fixture{now: time.Unix(1000, 0), current: time.Unix(1000, 0)}
	position := executor.Position{Term: 1, Offset: 10}
	f.primary = &fakeDatabase{id: "p", primary: true, log: position, dials: make(map[string]int), refuse: make(map[executor.Verb]executor.Code)}
	f.replica = &fakeDatabase{id: "r", log: position, dials: make(map[string]int), refuse: make(map[executor.Verb]executor.Code)}
	clock := func() time.Time { return f.now }
	f.director = &Director{
		Host: "h", DataCentre: "dc1", Now: time.Now, SinceBoot: clock, Current: func() time.Time { return f.current },
		Limits: limiter.NewFleet(clock), Logger: slog.New(slog.NewTextHandler(io.Discard, nil)), Metrics: &Metrics{},
		Dial: func(_ context.Context, e cataloger.Endpoint, customer string) (connector.Transport, error) {
			db := f.replica
			if e.ID == "p" {
				db = f.primary
			}
			db.mu.Lock()
			defer db.mu.Unlock()
			db.dials[customer]++
			f.last = &fakeTransport{db: db, values: make(map[string]string), known: make(map[string]bool)}
			return f.last, nil
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
	}.WithKeysIndexed()
	host := cataloger.Host{Name: "h"}
	f.catalog = cataloger.Catalog{
		Revision: 5, Configuration: &configuration,
		Endpoints: map[string][]cataloger.Endpoint{"s": {
			{ID: "p", Service: "s", DataCentre: "dc1", Slots: 5, ClaimsPrimary: true}, {ID: "r", Service: "s", DataCentre: "dc1", Slots: 5},
		}},
		Leads: map[string]cataloger.Lead{"s": {Service: "s", ID: "p", Revision: 3}}, Evacuated: map[string]bool{},
		Hosts: map[string]cataloger.Host{"h": host}, Sharers: []cataloger.Host{host},
	}
	f.put(func(*cataloger.Catalog) {})
	return f
}

// put changes a copy of the catalog and puts it into force.
func (f *fixture) put(change func(*cataloger.Catalog)) {
	next := f.catalog
	next.Leads = map[string]cataloger.Lead{"s": f.catalog.Leads["s"]}
	next.Evacuated = map[string]bool{}
	change(&next)
	f.catalog = next
	f.director.SetCatalog(&next)
}

// session returns a session of the only customer.
func (f *fixture) session() *Session {
	return &Session{
		director: f.director, startup: Startup{Database: "db", Key: "key"}, prepared: make(map[string]prepared),
		floors: make(map[string]executor.Position), state: executor.StateIdle,
	}
}

// run executes a statement whose identifier is its verb.
func run(s *Session, verb executor.Verb, arguments ...string) executor.Reply {
	r := executor.Request{ID: "id", Verb: verb}
	switch len(arguments) {
	case 1:
		r.Arguments = arguments[0]
	case 2:
		r.Name, r.Arguments = arguments[0], arguments[1]
	}
	return s.execute(context.Background(), r)
}
