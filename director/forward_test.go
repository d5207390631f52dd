package director

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
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
		return &forwarder.Client{Dial: dial, Detector: &forwarder.FailureDetector{Now: time.Now}, Now: time.Now}
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

// A lossyConn is a connection that breaks when the next reply arrives, if lose is set.
type lossyConn struct {
	net.Conn
	lose *atomic.Bool
}

func (c lossyConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if c.lose.Load() {
		_ = c.Close()
		return 0, errConnectionLost
	}
	return n, err
}

// loseReplies returns a switch that makes connections between the hosts break as soon as
// a reply arrives.
func (f *poolFixture) loseReplies() *atomic.Bool {
	lose := new(atomic.Bool)
	f.wrap = func(conn net.Conn) net.Conn { return lossyConn{Conn: conn, lose: lose} }
	return lose
}

// executedTimes returns how often databases have run a statement with the given verb and arguments.
func (f *poolFixture) executedTimes(verb executor.Verb, arguments string) int {
	count := 0
	for _, db := range []*fakeDatabase{f.entry.primary, f.entry.replica} {
		for _, r := range db.statements() {
			if r.Verb == verb && r.Arguments == arguments {
				count++
			}
		}
	}
	return count
}

// TestLostReplies guards against writes and commits that are repeated or reported as not
// run after the reply of the pool host was lost, and against reads that fail although
// another attempt could serve them.
func TestLostReplies(t *testing.T) {
	tests := []struct {
		name string
		// before runs before replies are lost, run afterwards.
		before, run []executor.Request
		want        executor.Code
		wantState   byte
		verb        executor.Verb
		wantTimes   int
		wantUsed    int64
	}{
		{
			name: "read", run: []executor.Request{{Verb: executor.VerbRead, Arguments: "x"}},
			want: executor.CodeNone, wantState: 'I', verb: executor.VerbRead, wantTimes: 2, wantUsed: 2,
		},
		{
			name: "write", run: []executor.Request{{Verb: executor.VerbWrite, Arguments: "x"}},
			want: executor.CodeInDoubt, wantState: 'I', verb: executor.VerbWrite, wantTimes: 1, wantUsed: 1,
		},
		{
			name: "first statement of a transaction", before: []executor.Request{{Verb: executor.VerbBegin}},
			run:  []executor.Request{{Verb: executor.VerbWrite, Arguments: "x"}},
			want: executor.CodeAborted, wantState: 'E', verb: executor.VerbWrite, wantTimes: 1, wantUsed: 1,
		},
		{
			name:   "later statement of a transaction",
			before: []executor.Request{{Verb: executor.VerbBegin}, {Verb: executor.VerbWrite, Arguments: "w"}},
			run:    []executor.Request{{Verb: executor.VerbRead, Arguments: "x"}},
			want:   executor.CodeAborted, wantState: 'E', verb: executor.VerbRead, wantTimes: 1, wantUsed: 1,
		},
		{
			name:   "commit after a write",
			before: []executor.Request{{Verb: executor.VerbBegin}, {Verb: executor.VerbWrite, Arguments: "w"}},
			run:    []executor.Request{{Verb: executor.VerbCommit}},
			want:   executor.CodeInDoubt, wantState: 'I', verb: executor.VerbCommit, wantTimes: 1, wantUsed: 1,
		},
		{
			name:   "commit without a write",
			before: []executor.Request{{Verb: executor.VerbBeginRead}, {Verb: executor.VerbRead, Arguments: "w"}},
			run:    []executor.Request{{Verb: executor.VerbCommit}},
			want:   executor.CodeRunFailed, wantState: 'I', verb: executor.VerbCommit, wantTimes: 1, wantUsed: 1,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newPoolFixture(t, cataloger.Primary)
			lose := f.loseReplies()
			s := f.entry.newSession()
			runAll := func(requests []executor.Request) (last executor.Response) {
				for _, r := range requests {
					r.ID = "id"
					last = s.execute(context.Background(), r)
				}
				return last
			}
			// The first operation opens the connection between the hosts.
			if got := runVerb(f.entry.newSession(), executor.VerbRead, "first"); got.Code != executor.CodeNone {
				t.Fatalf("first read: got %+v", got)
			}
			runAll(test.before)
			lose.Store(true)
			got := runAll(test.run)
			if got.Code != test.want || got.State != test.wantState {
				t.Errorf("got %v %q in state %c, want %v in state %c", got.Code, got.Text, got.State, test.want, test.wantState)
			}
			if got := f.executedTimes(test.verb, test.run[len(test.run)-1].Arguments); got != test.wantTimes {
				t.Errorf("databases ran the statement %d times, want %d", got, test.wantTimes)
			}
			// The first operation counts too.
			if got := f.entry.used() - 1; got != test.wantUsed {
				t.Errorf("operations counted: got %d, want %d", got, test.wantUsed)
			}
			deadline := time.Now().Add(5 * time.Second)
			for f.server.Active() > 0 && time.Now().Before(deadline) {
				time.Sleep(time.Millisecond)
			}
			if got := f.server.Active(); got != 0 {
				t.Errorf("operations open on the pool host: got %d, want 0", got)
			}
		})
	}
}

// TestOperationsThatThePoolHostDoesNotRun guards against operations that fail although
// this host can run them, that run twice, or that cost a token of the rate limit although
// no database ran them.
func TestOperationsThatThePoolHostDoesNotRun(t *testing.T) {
	tests := []struct {
		name      string
		prepare   func(f *poolFixture)
		want      executor.Code
		wantTimes int
		wantLocal bool
	}{
		{name: "unreachable", prepare: func(f *poolFixture) { f.unreachable = true }, wantTimes: 1, wantLocal: true},
		{name: "stopping", prepare: func(f *poolFixture) { f.server.Stop() }, wantTimes: 1, wantLocal: true},
		{name: "no room", prepare: func(f *poolFixture) { f.server.MaxOperations = 0 }, wantTimes: 1, wantLocal: true},
		{name: "outdated view", prepare: func(f *poolFixture) { f.pool.viewConfirmedAt = f.pool.now.Add(-MaxViewAge) }, wantTimes: 1, wantLocal: true},
		{name: "own view outdated for long", prepare: func(f *poolFixture) {
			f.entry.viewConfirmedAt = f.entry.now.Add(-maxKeyViewAge - time.Millisecond)
		}, want: executor.CodeBusy, wantTimes: 0},
		{name: "primary out of reach", prepare: func(f *poolFixture) {
			db := f.pool.database("p")
			db.consecutiveFailures, db.failingSince = 1, time.Now().Add(-time.Second)
		}, wantTimes: 1, wantLocal: true},
		{name: "databases busy", prepare: func(f *poolFixture) {
			f.entry.primary.refuse[executor.VerbWrite] = executor.CodeBusy
		}, want: executor.CodeBusy, wantTimes: 0},
	}
	for _, test := range tests {
		for _, inTransaction := range []bool{false, true} {
			t.Run(fmt.Sprint(test.name, " ", inTransaction), func(t *testing.T) {
				f := newPoolFixture(t, cataloger.Primary)
				test.prepare(f)
				s := f.entry.newSession()
				if inTransaction {
					runVerb(s, executor.VerbBegin)
				}
				got := runVerb(s, executor.VerbWrite, "x")
				if inTransaction && got.Code == executor.CodeNone {
					got = runVerb(s, executor.VerbCommit)
				}
				if got.Code != test.want {
					t.Errorf("got %v %q, want %v", got.Code, got.Text, test.want)
				}
				if got := f.executedTimes(executor.VerbWrite, "x"); test.wantTimes > 0 && got != test.wantTimes {
					t.Errorf("databases ran the write %d times, want %d", got, test.wantTimes)
				}
				if got := f.entry.dials() > 0; got != test.wantLocal {
					t.Errorf("ran on the entry host: got %v, want %v", got, test.wantLocal)
				}
				if got := f.entry.used(); got != int64(test.wantTimes) {
					t.Errorf("operations counted: got %d, want %d", got, test.wantTimes)
				}
			})
		}
	}
}

// TestForwardedTransactionNeedsRecentView guards against a withdrawn key that keeps working
// in a transaction on the pool host while the entry host, cut off from all others, does not
// learn that it was withdrawn.
func TestForwardedTransactionNeedsRecentView(t *testing.T) {
	for _, verb := range []executor.Verb{executor.VerbWrite, executor.VerbRead, executor.VerbCommit} {
		t.Run(fmt.Sprint(verb), func(t *testing.T) {
			f := newPoolFixture(t, cataloger.Primary)
			s := f.entry.newSession()
			runVerb(s, executor.VerbBegin)
			if got := runVerb(s, executor.VerbWrite, "first"); got.Code != executor.CodeNone {
				t.Fatalf("first write: got %+v", got)
			}
			f.entry.viewConfirmedAt = f.entry.now.Add(-maxKeyViewAge - time.Millisecond)
			if got := runVerb(s, verb, "x"); got.Code != executor.CodeAborted {
				t.Errorf("got %v %q, want %v", got.Code, got.Text, executor.CodeAborted)
			}
			if got := f.executedTimes(verb, "x"); got != 0 {
				t.Errorf("databases ran the statement %d times, want 0", got)
			}
			f.awaitNoOperation(t)
		})
	}
}

// awaitNoOperation fails the test if the pool host does not end its operations.
func (f *poolFixture) awaitNoOperation(t *testing.T) {
	t.Helper()
	deadline := time.Now().Add(5 * time.Second)
	for f.server.Active() > 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	if got := f.server.Active(); got != 0 {
		t.Errorf("operations open on the pool host: got %d, want 0", got)
	}
}

// TestCommitWithLargeVariables guards against a COMMIT that is reported as in doubt, or not
// sent, because of session variables that no longer fit into a forwarded statement.
func TestCommitWithLargeVariables(t *testing.T) {
	f := newPoolFixture(t, cataloger.Primary)
	s := f.entry.newSession()
	runVerb(s, executor.VerbBegin)
	if got := runVerb(s, executor.VerbWrite, "x"); got.Code != executor.CodeNone {
		t.Fatalf("write: got %+v", got)
	}
	runVerb(s, executor.VerbSet, "v", strings.Repeat("v", 3<<20))
	if got := runVerb(s, executor.VerbCommit); got.Code != executor.CodeNone {
		t.Errorf("commit: got %v %q, want %v", got.Code, got.Text, executor.CodeNone)
	}
}

// TestForwardedWithoutConfiguration guards against a host that crashes because another one
// forwards an operation to it before it has its first configuration.
func TestForwardedWithoutConfiguration(t *testing.T) {
	f := newPoolFixture(t, cataloger.Primary)
	next := f.pool.catalog
	next.Configuration = nil
	f.pool.director.catalog.Store(nil)
	f.pool.director.SetCatalog(&next)
	if got := runVerb(f.entry.newSession(), executor.VerbWrite, "x"); got.Code != executor.CodeNone {
		t.Errorf("got %v %q, want %v", got.Code, got.Text, executor.CodeNone)
	}
	if f.entry.dials() == 0 {
		t.Error("the write did not run on the entry host")
	}
}

// TestReadsNeedRecentViewOfPoolHost guards against reads that a pool host, cut off from the
// hub, sends to databases that have left or whose data centre was evacuated, and against
// reads that it answers with busy although a host that may use the primary can run them.
func TestReadsNeedRecentViewOfPoolHost(t *testing.T) {
	for _, test := range []struct {
		name        string
		consistency cataloger.Consistency
		age         time.Duration
	}{
		{"any read", cataloger.BoundedStaleness, maxKeyViewAge + time.Millisecond},
		{"read of the primary", cataloger.Primary, MaxViewAge},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newPoolFixture(t, test.consistency)
			// The pool host knows a position, so that it reads from the replica.
			f.pool.seedPosition()
			f.pool.viewConfirmedAt = f.pool.now.Add(-test.age)
			if got := runVerb(f.entry.newSession(), executor.VerbRead, "x"); got.Code != executor.CodeNone {
				t.Errorf("got %v %q, want %v", got.Code, got.Text, executor.CodeNone)
			}
			if f.pool.dials() > 0 || f.entry.dials() == 0 {
				t.Errorf("connections: %d of the pool host, %d of the entry host", f.pool.dials(), f.entry.dials())
			}
		})
	}
}
