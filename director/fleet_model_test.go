package director

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/connector"
	"github.com/endiveturn/endiveturn/executor"
	"github.com/endiveturn/endiveturn/limiter"
)

// A modelDatabase runs statements on a limited number of slots and accepts a limited
// number of connections, each of which takes a slot for a handshake.
type modelDatabase struct {
	slots       chan struct{}
	mu          sync.Mutex
	random      *rand.Rand
	connections int
	// slowdown is the factor of the work, failures the share of requests that fail, and
	// hangs the share that get no response.
	slowdown, failures, hangs float64
}

// disturb makes the database slow and fail some requests during a fault.
func (d *modelDatabase) disturb(fault bool, slowdown, failures, hangs float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.slowdown, d.failures, d.hangs = 1, 0, 0
	if fault {
		d.slowdown, d.failures, d.hangs = slowdown, failures, hangs
	}
}

const (
	modelHandshake = 12 * time.Millisecond
	modelHop       = 1400 * time.Microsecond
	modelCustomers = 81
	// modelNoise is the value by which two runs differ that only chance distinguishes:
	// a few of 1,542 requests, whose handshakes met a queue.
	modelNoise = 0.005
)

func (d *modelDatabase) run(work time.Duration) {
	d.slots <- struct{}{}
	time.Sleep(work)
	<-d.slots
}

func (d *modelDatabase) dial(ctx context.Context, maxConnections int) (connector.Transport, error) {
	time.Sleep(modelHop)
	d.mu.Lock()
	if d.connections >= maxConnections {
		d.mu.Unlock()
		return nil, connector.ErrTooManyConnections
	}
	d.connections++
	d.mu.Unlock()
	done := make(chan struct{})
	go func() {
		d.run(modelHandshake)
		close(done)
	}()
	select {
	case <-done:
		time.Sleep(modelHop)
		return &modelTransport{db: d}, nil
	case <-ctx.Done():
		_ = (&modelTransport{db: d}).Close()
		return nil, connector.ErrUnreachable
	}
}

// A modelTransport is a connection to a modelDatabase.
type modelTransport struct {
	db      *modelDatabase
	request executor.Request
	closed  sync.Once
}

func (t *modelTransport) Send(r executor.Request) error { t.request = r; return nil }
func (t *modelTransport) Flush(time.Time) error         { return nil }
func (t *modelTransport) Alive() bool                   { return true }

func (t *modelTransport) Close() error {
	t.closed.Do(func() {
		t.db.mu.Lock()
		defer t.db.mu.Unlock()
		t.db.connections--
	})
	return nil
}

func (t *modelTransport) Receive(deadline time.Time) (executor.Response, error) {
	done := make(chan struct{})
	work, _ := time.ParseDuration(t.request.Arguments)
	t.db.mu.Lock()
	failed := t.request.ID != "" && t.db.random.Float64() < t.db.failures
	hangs := t.request.ID != "" && t.db.random.Float64() < t.db.hangs
	work = time.Duration(float64(work) * t.db.slowdown * (0.5 + t.db.random.Float64()))
	t.db.mu.Unlock()
	go func() {
		time.Sleep(modelHop)
		t.db.run(work)
		time.Sleep(modelHop)
		if !hangs {
			close(done)
		}
	}()
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
		return executor.Response{}, os.ErrDeadlineExceeded
	}
	if failed {
		return executor.Response{Code: executor.CodeRunFailed, State: executor.StateIdle}, nil
	}
	return executor.Response{State: executor.StateIdle, Position: executor.Position{Term: 1, Offset: 1}}, nil
}

// A modelFleet is a fleet of directors in front of one service of deployment A.
type modelFleet struct {
	databases map[string]*modelDatabase
	directors []*Director
}

var modelRoutes = []cataloger.Route{
	{Name: "primary", Consistency: cataloger.Primary, StatementTimeout: 800 * time.Millisecond, TargetLatency: 150 * time.Millisecond},
	{Name: "own writes", Consistency: cataloger.ReadYourWrites, StatementTimeout: 800 * time.Millisecond, TargetLatency: 250 * time.Millisecond, MaxStaleness: 1500 * time.Millisecond, Priority: 1},
	{Name: "bounded", Consistency: cataloger.BoundedStaleness, StatementTimeout: 2 * time.Second, TargetLatency: time.Second, MaxStaleness: 1500 * time.Millisecond, Priority: 2},
}

func newModelFleet(hosts, customers, connections int, mode BalanceMode) *modelFleet {
	f := &modelFleet{databases: make(map[string]*modelDatabase)}
	configuration := cataloger.Configuration{
		Version: 1, Routes: make(map[string]cataloger.Route), Customers: make(map[string]cataloger.Customer),
		Services: map[string]cataloger.Service{"s": {Name: "s", MaxConnections: connections}},
	}
	for _, route := range modelRoutes {
		route.Database, route.Service = route.Name, "s"
		configuration.Routes[route.Name] = route
	}
	for i := range customers {
		name := fmt.Sprint("c", i)
		configuration.Customers[name] = cataloger.Customer{Name: name, Keys: []string{name}}
	}
	configuration = configuration.WithKeyIndex()
	catalog := &cataloger.Catalog{
		Revision: 1, Configuration: &configuration, Evacuated: map[string]bool{}, Hosts: make(map[string]cataloger.Host),
		Assignments: map[string]cataloger.PrimaryAssignment{"s": {Service: "s", ID: "d0", Revision: 1}}, RecentHosts: newHosts(hosts, 3),
		Endpoints: make(map[string][]cataloger.Endpoint),
	}
	for i := range 3 {
		id := fmt.Sprint("d", i)
		f.databases[id] = &modelDatabase{slots: make(chan struct{}, 4), random: rand.New(rand.NewPCG(1, uint64(i))), slowdown: 1}
		catalog.Endpoints["s"] = append(catalog.Endpoints["s"], cataloger.Endpoint{ID: id, Service: "s", DataCentre: fmt.Sprint("dc", i), Slots: 4})
	}
	for _, host := range catalog.RecentHosts {
		d := &Director{
			Host: host.Name, DataCentre: host.DataCentre, Balance: mode, Now: time.Now, SinceBoot: time.Now, ViewCompleteAsOf: time.Now,
			Limits: limiter.NewFleetLimiter(time.Now), Logger: slog.New(slog.NewTextHandler(io.Discard, nil)), Metrics: &Metrics{},
			Dial: func(ctx context.Context, e cataloger.Endpoint, _ string) (connector.Transport, error) {
				return f.databases[e.ID].dial(ctx, connections)
			},
		}
		d.SetCatalog(catalog)
		f.directors = append(f.directors, d)
	}
	return f
}

// A modelResult counts the outcomes of requests, and the value of those served in
// time, relative to that of all.
type modelResult struct {
	mu                            sync.Mutex
	inTime, late, refused, failed int
	value, offered                float64
}

// play sends requests of the mix of deployment A for a length of time and records the
// outcomes of those that began after the first second.
func (f *modelFleet) play(rate float64, length time.Duration, disturb func(fault bool) float64) *modelResult {
	random := rand.New(rand.NewPCG(1, 7))
	result := &modelResult{}
	var wait sync.WaitGroup
	start := time.Now()
	for time.Since(start) < length {
		at := time.Since(start)
		factor := disturb(at > 4*time.Second && at < 8*time.Second)
		time.Sleep(time.Duration(random.ExpFloat64() / rate / factor * float64(time.Second)))
		route, work := modelRoutes[1], 18*time.Millisecond
		switch draw := random.Float64(); {
		case draw < 0.15:
			route, work = modelRoutes[0], 6*time.Millisecond
		case draw < 0.3:
			route, work = modelRoutes[2], 30*time.Millisecond
		}
		verb := executor.VerbRead
		if random.Float64() < 0.2 && route.Consistency != cataloger.BoundedStaleness {
			verb = executor.VerbWrite
		}
		customer := min(random.IntN(modelCustomers), random.IntN(modelCustomers))
		session := &Session{
			director: f.directors[random.IntN(len(f.directors))], startup: Startup{Database: route.Name, Key: fmt.Sprint("c", customer)},
			prepared: make(map[string]prepared), floors: make(map[string]executor.Position), state: executor.StateIdle,
		}
		recorded := time.Since(start) > time.Second
		wait.Add(1)
		go func() {
			defer wait.Done()
			began := time.Now()
			got := session.execute(context.Background(), executor.Request{ID: "id", Verb: verb, Arguments: work.String()})
			if recorded {
				result.record(route, got, time.Since(began))
			}
		}()
	}
	wait.Wait()
	return result
}

func (r *modelResult) record(route cataloger.Route, got executor.Response, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	value := 1 / float64(int(1)<<route.Priority)
	r.offered += value
	switch {
	case got.Code == executor.CodeNone && took <= route.TargetLatency:
		r.inTime++
		r.value += value
	case got.Code == executor.CodeNone:
		r.late++
	case got.Code.GuaranteesNoEffect():
		r.refused++
	default:
		r.failed++
	}
}

// TestFleetModel guards against balancing that serves less than the former code, on a
// pool host and on hosts with their own clients, and against the collapse of a
// database whose handshakes are given up by many hosts. The load is that of one service
// of deployment A; the fault lasts from second 4 to 8.
func TestFleetModel(t *testing.T) {
	steady := func(*modelFleet, bool) float64 { return 1 }
	burst := func(factor float64) func(*modelFleet, bool) float64 {
		return func(_ *modelFleet, fault bool) float64 {
			if fault {
				return factor
			}
			return 1
		}
	}
	slow := func(f *modelFleet, fault bool) float64 {
		f.databases["d1"].disturb(fault, 5, 0, 0)
		return 1
	}
	failing := func(f *modelFleet, fault bool) float64 {
		f.databases["d1"].disturb(fault, 1, 0.4, 0)
		return 1
	}
	hanging := func(f *modelFleet, fault bool) float64 {
		f.databases["d1"].disturb(fault, 1, 0, 0.4)
		return 1
	}
	tests := []struct {
		name               string
		hosts, connections int
		disturb            func(f *modelFleet, fault bool) float64
		// minGain is the least difference to the value that the former code serves, apart
		// from modelNoise.
		minGain float64
	}{
		{name: "pool host, burst", hosts: 1, connections: 56, disturb: burst(6), minGain: -0.005},
		{name: "pool host, slow database", hosts: 1, connections: 56, disturb: slow},
		{name: "pool host, failing database", hosts: 1, connections: 56, disturb: failing},
		{name: "pool host, hanging database", hosts: 1, connections: 56, disturb: hanging},
		{name: "78 hosts, hanging database", hosts: 78, connections: 56, disturb: hanging},
		{name: "78 hosts", hosts: 78, connections: 56, disturb: steady},
		{name: "78 hosts, burst", hosts: 78, connections: 56, disturb: burst(3), minGain: 0.05},
		{name: "78 hosts, slow database", hosts: 78, connections: 56, disturb: slow},
		{name: "78 hosts, failing database", hosts: 78, connections: 56, disturb: failing},
		{name: "30 hosts with enough connections, burst", hosts: 30, connections: 280, disturb: burst(4), minGain: 0.05},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			values := make(map[BalanceMode]float64)
			for _, mode := range []BalanceMode{BalanceOff, BalanceOn} {
				synctest.Test(t, func(t *testing.T) {
					f := newModelFleet(test.hosts, modelCustomers, test.connections, mode)
					r := f.play(172, 10*time.Second, func(fault bool) float64 { return test.disturb(f, fault) })
					values[mode] = r.value / r.offered
					t.Logf("mode %d: value %.3f, in time %d, late %d, refused %d, failed %d", mode, r.value/r.offered, r.inTime, r.late, r.refused, r.failed)
					// Idle connections are closed by timers.
					time.Sleep(time.Minute)
				})
			}
			if gain := values[BalanceOn] - values[BalanceOff]; gain < test.minGain-modelNoise {
				t.Errorf("served a value of %.3f with balancing and %.3f without, want a difference of at least %.3f", values[BalanceOn], values[BalanceOff], test.minGain)
			}
		})
	}
}
