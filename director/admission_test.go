package director

import (
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/endiveturn/endiveturn/admitter"
	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/executor"
)

// newBalancedFixture returns a fixture whose director balances and whose customer has
// no rate limit.
func newBalancedFixture(consistency cataloger.Consistency) *fixture {
	f := newFixture(consistency)
	f.director.Balance = BalanceOn
	f.updateCatalog(func(c *cataloger.Catalog) {
		unlimited := *c.Configuration
		unlimited.Version++
		unlimited.Customers = map[string]cataloger.Customer{"c": {Name: "c", Keys: []string{"key"}}}
		configuration := unlimited.WithKeyIndex()
		c.Configuration = &configuration
	})
	return f
}

// holdSlots takes all slots of the primary's gate and returns a function that returns
// them.
func (f *fixture) holdSlots(t *testing.T) func() {
	db := f.database("p")
	var tickets []*admitter.Ticket
	for range db.permits {
		ticket, err := db.gate.Acquire(t.Context(), admitter.Request{
			Class: admitter.Class{Route: "other"}, Objective: time.Now().Add(time.Hour), Timeout: time.Now().Add(time.Hour),
		})
		if err != nil {
			t.Fatal(err)
		}
		tickets = append(tickets, ticket)
	}
	return func() {
		for _, ticket := range tickets {
			db.gate.Release(ticket, false)
		}
	}
}

// TestBurstIsAdmittedByValue guards against an overload in which requests are held
// until they are late, are refused after they were sent, or all are served late.
func TestBurstIsAdmittedByValue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newBalancedFixture(cataloger.Primary)
		f.primary.responseTime = 20 * time.Millisecond
		var mu sync.Mutex
		var wait sync.WaitGroup
		served, late, refused := 0, 0, 0
		for range 400 {
			time.Sleep(time.Millisecond)
			wait.Add(1)
			go func() {
				defer wait.Done()
				began := time.Now()
				got := runVerb(f.newSession(), executor.VerbRead, "a")
				mu.Lock()
				defer mu.Unlock()
				took := time.Since(began)
				switch {
				case got.Code == executor.CodeNone && took <= 400*time.Millisecond:
					served++
				case got.Code == executor.CodeNone:
					late++
				case got.Code == executor.CodeBusy && strings.Contains(got.Text, "databases are busy, retry in "):
					if refused++; took > 400*time.Millisecond {
						t.Errorf("refused after %v, when it could no longer be in time", took)
					}
				default:
					t.Errorf("got %v %q, want success or a refusal with a retry delay", got.Code, got.Text)
				}
			}()
		}
		wait.Wait()
		// 6 permits serve 300 requests a second, so that about 120 arrive and up to 100
		// more wait within the latency objective of 400 ms.
		if served < 170 || late > served/100 || refused < 100 {
			t.Errorf("%d served in time, %d late, %d refused; want at least 170, at most 1%%, at least 100", served, late, refused)
		}
		if ran := len(f.primary.statements()); ran != served+late {
			t.Errorf("the primary ran %d statements, want the %d that were served: refusals say that nothing was run", ran, served+late)
		}
	})
}

// TestBalancedTransactionWaitsInVain guards against an open transaction that ends
// because a statement got no slot in time.
func TestBalancedTransactionWaitsInVain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newBalancedFixture(cataloger.Primary)
		s := f.newSession()
		runVerb(s, executor.VerbBegin)
		runVerb(s, executor.VerbWrite, "a x")
		release := f.holdSlots(t)
		if got := runVerb(s, executor.VerbWrite, "b y"); got.Code != executor.CodeBusy || got.State != executor.StateTransaction {
			t.Errorf("got %v %q, state %c, want busy, state T", got.Code, got.Text, got.State)
		}
		release()
		for _, verb := range []executor.Verb{executor.VerbWrite, executor.VerbCommit} {
			if got := runVerb(s, verb, "b y"); got.Code != executor.CodeNone {
				t.Errorf("verb %d after a slot became free: got %v %q, want none", verb, got.Code, got.Text)
			}
		}
		if backlog := f.database("p").gate.Backlog(); backlog != 0 {
			t.Errorf("a backlog of %v remains, want none", backlog)
		}
	})
}

// TestPrimaryWaitIsWithinObjective guards against writes that are held during a change
// of primary until they can only be late, and are then refused.
func TestPrimaryWaitIsWithinObjective(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newBalancedFixture(cataloger.Primary)
		f.replacePrimary()
		began := time.Now()
		got := runVerb(f.newSession(), executor.VerbWrite, "a x")
		if took := time.Since(began); got.Code != executor.CodeBusy || took > 400*time.Millisecond {
			t.Errorf("got %v after %v, want busy within the latency objective of 400 ms", got.Code, took)
		}
	})
}

// TestRouteWithoutObjective guards against requests that are refused whenever no slot
// is free, because their route has no latency objective.
func TestRouteWithoutObjective(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newBalancedFixture(cataloger.Primary)
		f.director.Catalog().Configuration.Routes["db"] = cataloger.Route{Name: "route", Database: "db", Service: "s", StatementTimeout: time.Second}
		release := f.holdSlots(t)
		time.AfterFunc(100*time.Millisecond, release)
		if got := runVerb(f.newSession(), executor.VerbRead, "a"); got.Code != executor.CodeNone {
			t.Errorf("got %v %q, want the request to wait for a slot", got.Code, got.Text)
		}
	})
}

// TestCustomerWeight guards against customers without a rate limit that get a tiny
// share of the slots.
func TestCustomerWeight(t *testing.T) {
	f := newFixture(cataloger.Primary)
	f.updateCatalog(func(c *cataloger.Catalog) {
		c.Configuration = &cataloger.Configuration{Version: 2, Customers: map[string]cataloger.Customer{"a": {Rate: 10}, "b": {Rate: 30}, "c": {}}}
	})
	for customer, want := range map[string]float64{"a": 10, "b": 30, "c": 20} {
		if got := f.director.service("s").customerWeight(customer); got != want {
			t.Errorf("customer %s has weight %v, want %v", customer, got, want)
		}
	}
}

// TestFailingReplicaIsEjected guards against reads that keep failing at a replica
// whose registration is good, and against one that stays ejected after it recovered.
func TestFailingReplicaIsEjected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newBalancedFixture(cataloger.BoundedStaleness)
		f.director.service("s").history.Record(f.now, executor.Position{Term: 1, Offset: 10})
		read := func(count int) {
			for range count {
				runVerb(f.newSession(), executor.VerbRead, "a")
				time.Sleep(10 * time.Millisecond)
			}
		}
		read(50)
		before := len(f.replica.statements())
		if before < 40 {
			t.Fatalf("the healthy replica ran %d of 50 reads, want most of them", before)
		}
		f.replica.refuse[executor.VerbRead] = executor.CodeRunFailed
		read(150)
		if ran := len(f.replica.statements()) - before; ran > 60 {
			t.Errorf("the failing replica got %d of 150 reads, want few", ran)
		}
		f.replica.mu.Lock()
		delete(f.replica.refuse, executor.VerbRead)
		f.replica.mu.Unlock()
		read(3000)
		before = len(f.replica.statements())
		read(50)
		if ran := len(f.replica.statements()) - before; ran < 40 {
			t.Errorf("the replica that recovered got %d of 50 reads, want most of them", ran)
		}
	})
}

// TestBalanceModes guards against a change of behaviour in deployments that do not ask
// for balancing, and for services that have a pool host.
func TestBalanceModes(t *testing.T) {
	const ample, scarce = 100, 30
	tests := []struct {
		mode        BalanceMode
		hosts       int
		connections int
		want        bool
	}{
		{mode: BalanceAuto, hosts: cataloger.MaxSmallFleetSize, connections: ample},
		{mode: BalanceAuto, hosts: cataloger.MaxSmallFleetSize + 1, connections: ample, want: true},
		{mode: BalanceAuto, hosts: cataloger.MaxSmallFleetSize + 1, connections: scarce},
		{mode: BalanceOff, hosts: cataloger.MaxSmallFleetSize + 1, connections: ample},
		{mode: BalanceOn, hosts: cataloger.MaxSmallFleetSize + 1, connections: scarce, want: true},
		{mode: BalanceOn, hosts: 1, connections: ample, want: true},
	}
	for _, test := range tests {
		f := newFixture(cataloger.Primary)
		f.director.Balance = test.mode
		f.updateCatalog(func(c *cataloger.Catalog) {
			configuration := *c.Configuration
			configuration.Services = map[string]cataloger.Service{"s": {Name: "s", MaxConnections: test.connections}}
			c.Configuration, c.RecentHosts = &configuration, newHosts(test.hosts, 1)
		})
		if got := f.director.service("s").isBalanced(); got != test.want {
			t.Errorf("mode %d with %d hosts and %d connections: got balanced %v, want %v", test.mode, test.hosts, test.connections, got, test.want)
		}
	}
}

// TestChooseBalanced guards against reads of bounded staleness that stay at a loaded
// primary, and against a pool host that loads one replica while another is idle.
func TestChooseBalanced(t *testing.T) {
	primary := Candidate{Endpoint: cataloger.Endpoint{ID: "p"}, Primary: true, Permits: 4, RecentLatency: 10 * time.Millisecond, Local: true, Idle: true}
	a := Candidate{Endpoint: cataloger.Endpoint{ID: "a"}, Permits: 4, RecentLatency: 20 * time.Millisecond, Local: true, Idle: true, Preferred: true}
	b := a
	b.Endpoint.ID, b.Preferred, b.Idle = "b", false, false
	loaded := a
	loaded.Load = 8
	scarce := b
	scarce.ScarceConnections = true
	bounded := Requirements{Consistency: cataloger.BoundedStaleness, FloorKnown: true}
	tests := []struct {
		name       string
		required   Requirements
		candidates []Candidate
		want       int
	}{
		{name: "replica before primary", required: bounded, candidates: []Candidate{primary, a}, want: 1},
		{name: "idle connection first", required: bounded, candidates: []Candidate{primary, b, a}, want: 2},
		{name: "idle replica instead of the loaded one", required: bounded, candidates: []Candidate{loaded, b}, want: 1},
		{name: "preferred replica while connections are scarce", required: bounded, candidates: []Candidate{loaded, scarce}, want: 0},
		{name: "writes go to the primary", required: Requirements{Writes: true}, candidates: []Candidate{a, primary}, want: 1},
		{name: "no candidate", required: Requirements{Writes: true}, candidates: []Candidate{a}, want: -1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := chooseBalanced(test.required, test.candidates, func() float64 { return 0 }); got != test.want {
				t.Errorf("got candidate %d, want %d", got, test.want)
			}
		})
	}
}

// TestCapacityShares guards against hosts of a large fleet that together exceed a
// database's connections because shares follow capacity, and against big hosts that
// get no more than small ones.
func TestCapacityShares(t *testing.T) {
	endpoints := []cataloger.Endpoint{{ID: "d0", Slots: 40}, {ID: "d1", Slots: 40}, {ID: "d2", Slots: 40}}
	for _, maxConnections := range []int{56, 280} {
		hosts := newHosts(60, 1)
		for i := range hosts {
			hosts[i].Capacity = 2
			if i < 6 {
				hosts[i].Capacity = 40
			}
		}
		sums := make(map[string]int)
		for _, host := range hosts {
			quotas := ComputeQuotas(host.Name, hosts, endpoints, "d0", maxConnections)
			for id, limits := range quotas.Connections {
				sums[id] += limits.Guaranteed
			}
		}
		big, small := ComputeQuotas(hosts[0].Name, hosts, endpoints, "d0", maxConnections), ComputeQuotas(hosts[59].Name, hosts, endpoints, "d0", maxConnections)
		for id, sum := range sums {
			if sum > max(maxConnections, len(hosts)) {
				t.Errorf("%d connections: hosts together get %d to %s", maxConnections, sum, id)
			}
		}
		if maxConnections > 100 && big.Connections["d0"].Guaranteed < 5*small.Connections["d0"].Guaranteed {
			t.Errorf("%d connections: a big host gets %d, a small one %d", maxConnections, big.Connections["d0"].Guaranteed, small.Connections["d0"].Guaranteed)
		}
		if big.Statements["d0"] <= small.Statements["d0"] {
			t.Errorf("a big host runs %d statements, a small one %d", big.Statements["d0"], small.Statements["d0"])
		}
	}
}
