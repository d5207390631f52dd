package director

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/connector"
	"github.com/endiveturn/endiveturn/executor"
	"github.com/endiveturn/endiveturn/forwarder"
	"github.com/endiveturn/endiveturn/limiter"
)

// The pattern of a deployment whose hosts have less than one connection each to a
// database: 78 hosts, 81 customers, 56 connections, one of 8 services.
const (
	patternHosts       = 78
	patternCustomers   = 81
	patternConnections = 56
	patternRate        = 172
	patternHandshake   = 12 * time.Millisecond
	patternDuration    = 20 * time.Second
)

// A patternDatabase accepts a limited number of connections.
type patternDatabase struct {
	mu     sync.Mutex
	open   int
	peak   int
	opened int
}

// A patternTransport is a connection to a patternDatabase.
type patternTransport struct {
	db     *patternDatabase
	verb   executor.Verb
	closed sync.Once
}

func (t *patternTransport) Send(r executor.Request) error {
	t.verb = r.Verb
	return nil
}
func (t *patternTransport) Flush(time.Time) error { return nil }
func (t *patternTransport) Alive() bool           { return true }

func (t *patternTransport) Receive(time.Time) (executor.Response, error) {
	time.Sleep(time.Duration(rand.ExpFloat64() * float64(17*time.Millisecond)))
	return executor.Response{State: executor.StateIdle, Position: executor.Position{Term: 1, Offset: 1}}, nil
}

func (t *patternTransport) Close() error {
	t.closed.Do(func() {
		t.db.mu.Lock()
		defer t.db.mu.Unlock()
		t.db.open--
	})
	return nil
}

func (d *patternDatabase) dial() (connector.Transport, error) {
	time.Sleep(patternHandshake)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.open >= patternConnections {
		return nil, connector.ErrTooManyConnections
	}
	d.open++
	d.opened++
	d.peak = max(d.peak, d.open)
	return &patternTransport{db: d}, nil
}

// A patternFleet is a fleet with one service of three databases.
type patternFleet struct {
	catalog   cataloger.Catalog
	databases map[string]*patternDatabase
	hosts     map[string]*Director
}

func newPatternFleet(withPoolHosts bool) *patternFleet {
	f := &patternFleet{databases: make(map[string]*patternDatabase), hosts: make(map[string]*Director)}
	configuration := cataloger.Configuration{
		Version: 1, Customers: map[string]cataloger.Customer{},
		Routes: map[string]cataloger.Route{"db": {
			Name: "route", Database: "db", Service: "s", Consistency: cataloger.ReadYourWrites, StatementTimeout: 800 * time.Millisecond,
			TargetLatency: 250 * time.Millisecond, MaxStaleness: 1500 * time.Millisecond,
		}},
		Services: map[string]cataloger.Service{"s": {Name: "s", MaxConnections: patternConnections}},
	}
	for i := range patternCustomers {
		name := fmt.Sprint("c", i)
		configuration.Customers[name] = cataloger.Customer{Name: name, Keys: []string{name}}
	}
	indexed := configuration.WithKeyIndex()
	f.catalog = cataloger.Catalog{
		Configuration: &indexed, Endpoints: make(map[string][]cataloger.Endpoint), Hosts: make(map[string]cataloger.Host),
		Assignments: map[string]cataloger.PrimaryAssignment{"s": {Service: "s", ID: "d0", Revision: 3}}, Evacuated: map[string]bool{},
	}
	for i := range 3 {
		id := fmt.Sprint("d", i)
		f.databases[id] = &patternDatabase{}
		f.catalog.Endpoints["s"] = append(f.catalog.Endpoints["s"], cataloger.Endpoint{ID: id, Service: "s", DataCentre: fmt.Sprint("z", i), Slots: 4})
	}
	for i := range patternHosts {
		host := cataloger.Host{Name: fmt.Sprint("h", i), DataCentre: fmt.Sprint("z", i%3), Capacity: 1920}
		if i < 6 {
			host.Capacity = 160_000
		}
		f.catalog.Hosts[host.Name] = host
		f.catalog.RecentHosts = append(f.catalog.RecentHosts, host)
	}
	cataloger.SortHosts(f.catalog.RecentHosts)
	for name, host := range f.catalog.Hosts {
		d := &Director{
			Host: name, DataCentre: host.DataCentre, Now: time.Now, SinceBoot: time.Now, ViewCompleteAsOf: time.Now,
			Limits: limiter.NewFleetLimiter(time.Now), Logger: slog.New(slog.NewTextHandler(io.Discard, nil)), Metrics: &Metrics{},
			Dial: func(_ context.Context, e cataloger.Endpoint, _ string) (connector.Transport, error) {
				return f.databases[e.ID].dial()
			},
		}
		if withPoolHosts {
			d.Forwarder = &forwarder.Client{Detector: &forwarder.FailureDetector{Now: time.Now}, Now: time.Now}
		}
		d.SetCatalog(&f.catalog)
		f.hosts[name] = d
	}
	return f
}

// run runs one operation of a customer that is connected to a host, on that host or on its
// pool host.
func (f *patternFleet) run(host, customer string, writes bool) executor.Response {
	verb := executor.VerbRead
	if writes {
		verb = executor.VerbWrite
	}
	d := f.hosts[host]
	request := executor.Request{ID: "id", Verb: verb}
	if targets, _ := d.service("s").forwardTargets(d.Forwarder.ProbeIfDue); len(targets) > 0 {
		execution := f.hosts[targets[0].Name].BeginForwarded(&forwarder.Operation{Customer: customer, Route: d.Catalog().Configuration.Routes["db"]})
		defer execution.Close()
		return execution.Run(context.Background(), &forwarder.Request{Operation: &forwarder.Operation{}, Statement: request}).Response
	}
	s := &Session{
		director: d, startup: Startup{Database: "db", Key: customer}, prepared: make(map[string]prepared),
		floors: make(map[string]executor.Position), state: executor.StateIdle,
	}
	return s.execute(context.Background(), request)
}

// play plays the pattern and returns the number of operations that were served and
// refused, and of connections opened.
func (f *patternFleet) play(seed uint64) (served, refused, opened int) {
	random := rand.New(rand.NewPCG(seed, 1))
	var mu sync.Mutex
	var running sync.WaitGroup
	for start := time.Now(); time.Since(start) < patternDuration; {
		time.Sleep(time.Duration(random.ExpFloat64() / patternRate * float64(time.Second)))
		// The largest customer sends 14 times as much as the smallest one.
		customer := fmt.Sprint("c", int(math.Pow(random.Float64(), 2.5)*patternCustomers))
		host, writes := fmt.Sprint("h", random.IntN(patternHosts)), random.Float64() < 0.12
		running.Go(func() {
			response := f.run(host, customer, writes)
			mu.Lock()
			defer mu.Unlock()
			if response.Code == executor.CodeNone {
				served++
			} else {
				refused++
			}
		})
	}
	running.Wait()
	for _, db := range f.databases {
		opened += db.opened
	}
	return served, refused, opened
}

// TestPoolHostReusesConnections guards against pool hosts that open connections for most
// requests, as hosts do whose pools are too small for their customers, and against more
// connections than a database accepts.
func TestPoolHostReusesConnections(t *testing.T) {
	for _, test := range []struct {
		name          string
		withPoolHosts bool
		// maxOpened is the largest number of connections opened per served operation.
		maxOpened float64
	}{
		{name: "pool on each host", maxOpened: math.Inf(1)},
		{name: "pool host", withPoolHosts: true, maxOpened: 0.25},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newPatternFleet(test.withPoolHosts)
				served, refused, opened := f.play(1)
				perOperation := float64(opened) / float64(max(1, served))
				t.Logf("served %d, refused %d, connections opened per served operation %.3f", served, refused, perOperation)
				if perOperation > test.maxOpened {
					t.Errorf("connections opened per served operation: got %.3f, want at most %v", perOperation, test.maxOpened)
				}
				if test.withPoolHosts && refused*100 > served {
					t.Errorf("refused: got %d of %d, want at most 1%%", refused, served)
				}
				for _, d := range f.hosts {
					for _, db := range d.service("s").databases {
						db.pool.Close()
					}
				}
			})
		})
	}
}

// TestPlacementReused guards against hosts of a large fleet that place all services on all
// hosts again with each catalog, and against a placement that does not follow the fleet.
func TestPlacementReused(t *testing.T) {
	host := func(name string, capacity int64) cataloger.Host {
		return cataloger.Host{Name: name, Capacity: capacity}
	}
	hosts := []cataloger.Host{host("a", 5), host("b", 5), host("c", 5)}
	services := []string{"s1", "s2", "s3"}
	restarted := slices.Clone(hosts)
	restarted[0].Incarnation = "2"
	tests := []struct {
		name     string
		services []string
		hosts    []cataloger.Host
		starting string
		computed bool
	}{
		{name: "first", services: services, hosts: hosts, computed: true},
		{name: "same", services: services, hosts: hosts},
		{name: "other order of services", services: []string{"s3", "s1", "s2"}, hosts: hosts},
		{name: "other process", services: services, hosts: restarted},
		{name: "host is starting", services: services, hosts: hosts, starting: "a", computed: true},
		{name: "host left", services: services, hosts: hosts[1:], computed: true},
		{name: "other capacity", services: services, hosts: []cataloger.Host{host("b", 5), host("c", 50)}, computed: true},
		{name: "service left", services: services[1:], hosts: hosts, computed: true},
	}
	var p placement
	for _, test := range tests {
		before := p.computed
		lastResort := func(host string) bool { return host == test.starting }
		got := p.poolHosts(test.services, test.hosts, lastResort)
		if want := cataloger.PoolHosts(test.services, test.hosts, lastResort); !reflect.DeepEqual(got, want) {
			t.Errorf("%s: got %v, want %v", test.name, got, want)
		}
		if computed := p.computed > before; computed != test.computed {
			t.Errorf("%s: got computed %v, want %v", test.name, computed, test.computed)
		}
	}
}
