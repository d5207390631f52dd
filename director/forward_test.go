package director

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/executor"
	"github.com/endiveturn/endiveturn/forwarder"
)

// A poolFixture is an entry host and the pool host of its only service, in front of the
// same databases.
type poolFixture struct {
	entry, pool *fixture
	server      *forwarder.Server
	// wrap, if not nil, wraps new connections between the hosts.
	wrap func(net.Conn) net.Conn
	// unreachable is set if the pool host accepts no connections.
	unreachable bool
}

func newPoolFixture(t *testing.T, consistency cataloger.Consistency) *poolFixture {
	t.Helper()
	f := &poolFixture{entry: newFixture(consistency), pool: newFixture(consistency)}
	f.pool.primary, f.pool.replica = f.entry.primary, f.entry.replica
	f.pool.director.Host, f.entry.director.Host = "pool", "entry"
	f.server = &forwarder.Server{
		Begin: f.pool.director.BeginForwarded, IdleTransactionTimeout: f.pool.director.ForwardedIdleTimeout,
		MaxOperations: 10, MaxBytes: 1 << 20,
	}
	mux := drpcmux.New()
	if err := f.server.Register(mux); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	dial := func(context.Context, string) (net.Conn, error) {
		if f.unreachable {
			return nil, errConnectionLost
		}
		here, there := net.Pipe()
		go func() { _ = drpcserver.New(mux).ServeOne(ctx, there) }()
		if f.wrap != nil {
			here = f.wrap(here)
		}
		return here, nil
	}
	newClient := func() *forwarder.Client {
		return &forwarder.Client{Dial: dial, Judge: &forwarder.Judge{Now: time.Now}, Now: time.Now}
	}
	f.entry.director.Forwarder, f.pool.director.Forwarder = newClient(), newClient()
	f.entry.updateCatalog(addLargeFleet)
	f.pool.updateCatalog(addLargeFleet)
	return f
}

// addLargeFleet adds hosts, of which one is large.
func addLargeFleet(c *cataloger.Catalog) {
	hosts := map[string]cataloger.Host{"pool": {Name: "pool", Capacity: 1000}, "entry": {Name: "entry", Capacity: 1}}
	for i := range 20 {
		name := fmt.Sprint("other", i)
		hosts[name] = cataloger.Host{Name: name, Capacity: 1}
	}
	c.Hosts, c.RecentHosts = hosts, nil
	for _, h := range hosts {
		c.RecentHosts = append(c.RecentHosts, h)
	}
	cataloger.SortHosts(c.RecentHosts)
}

// dials returns the number of connections that a host has opened to databases.
func (f *fixture) dials() int {
	total := 0
	for _, db := range f.director.service("s").databases {
		used, _ := db.pool.InUse()
		total += used
		if db.pool.HasIdle("c") {
			total++
		}
	}
	return total
}

// used returns how many operations the host has counted as run.
func (f *fixture) used() int64 {
	f.now = f.now.Add(time.Second)
	f.director.Limits.Admit("c") // brings the usage up to date
	return f.director.Limits.Usage()["c"].Used
}

// TestForwardedOperations guards against operations that run on the entry host although
// the service has a pool host, and against results that differ from those of operations
// that run locally.
func TestForwardedOperations(t *testing.T) {
	tests := []struct {
		name      string
		run       func(s *Session) executor.Response
		want      executor.Response
		wantTaken int64
	}{
		{"read", func(s *Session) executor.Response { return runVerb(s, executor.VerbRead, "x") }, executor.Response{State: 'I'}, 1},
		{"write", func(s *Session) executor.Response { return runVerb(s, executor.VerbWrite, "x") }, executor.Response{State: 'I'}, 1},
		{"prepared", func(s *Session) executor.Response {
			s.execute(context.Background(), executor.Request{ID: "id", Verb: executor.VerbPrepare, Name: "p", Arguments: "text", Writes: true})
			return runVerb(s, executor.VerbExecute, "p", "1")
		}, executor.Response{State: 'I'}, 1},
		{"commit", func(s *Session) executor.Response {
			runVerb(s, executor.VerbBegin)
			runVerb(s, executor.VerbSet, "v", "1")
			if got := runVerb(s, executor.VerbWrite, "x"); got.State != 'T' || got.Code != executor.CodeNone {
				t.Errorf("write in transaction: got %+v", got)
			}
			runVerb(s, executor.VerbWrite, "y")
			return runVerb(s, executor.VerbCommit)
		}, executor.Response{State: 'I'}, 1},
		{"rollback", func(s *Session) executor.Response {
			runVerb(s, executor.VerbBegin)
			runVerb(s, executor.VerbWrite, "x")
			return runVerb(s, executor.VerbRollback)
		}, executor.Response{State: 'I'}, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newPoolFixture(t, cataloger.ReadYourWrites)
			s := f.entry.newSession()
			got := test.run(s)
			if got.Code != test.want.Code || got.State != test.want.State {
				t.Errorf("got %+v, want %+v", got, test.want)
			}
			if got := f.entry.dials(); got != 0 {
				t.Errorf("entry host has %d connections, want 0", got)
			}
			if got := f.entry.used(); got != test.wantTaken {
				t.Errorf("operations counted at the entry host: got %d, want %d", got, test.wantTaken)
			}
			if got := f.pool.used(); got != 0 {
				t.Errorf("operations counted at the pool host: got %d, want 0", got)
			}
		})
	}
}
