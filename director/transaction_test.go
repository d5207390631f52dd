package director

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/executor"
)

// holdPermits takes all permits of the primary's semaphore and returns a
// function that gives them back.
func (f *fixture) holdPermits(t *testing.T) (release func()) {
	t.Helper()
	semaphore := f.director.service("s").primary.semaphore
	semaphore.setLimit(1)
	if err := semaphore.acquire(t.Context(), rank{}, time.Now()); err != nil {
		t.Fatal(err)
	}
	return semaphore.release
}

// primaryFailures returns how many consecutive failures of the primary were
// recorded.
func (f *fixture) primaryFailures() int {
	s := f.director.service("s")
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.primary.consecutiveFailures
}

// replacePrimary puts an assignment into force by which the primary is changing.
func (f *fixture) replacePrimary() {
	f.updateCatalog(func(c *cataloger.Catalog) {
		c.Assignments["s"] = cataloger.PrimaryAssignment{Service: "s", ID: "p", Changing: true, Revision: 9}
	})
}

// TestTransactionWaitsInVain guards against a statement that waited in vain for
// a permit of this host's own semaphore and is reported as a lost connection, is
// held against the database, or ends the transaction.
func TestTransactionWaitsInVain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(cataloger.Primary)
		s := f.newSession()
		runVerb(s, executor.VerbBegin)
		runVerb(s, executor.VerbWrite, "a x")
		release := f.holdPermits(t)
		got := runVerb(s, executor.VerbWrite, "b y")
		if got.Code != executor.CodeBusy || got.State != executor.StateTransaction || !strings.Contains(got.Text, "retry in ") {
			t.Errorf("got %v %q, state %c, want busy with a retry hint, state T", got.Code, got.Text, got.State)
		}
		if failures := f.primaryFailures(); failures != 0 {
			t.Errorf("recorded %d failures of the primary, want 0", failures)
		}
		if ran := len(f.primary.statements()); ran != 1 {
			t.Errorf("the primary ran %d statements, want 1", ran)
		}
		release()
		for _, verb := range []executor.Verb{executor.VerbWrite, executor.VerbCommit} {
			if got := runVerb(s, verb, "b y"); got.Code != executor.CodeNone {
				t.Errorf("verb %d after a permit became free: got %v %q, want none", verb, got.Code, got.Text)
			}
		}
	})
}

// TestCommitNotSent guards against an untrue reason or class in the response to
// a COMMIT that no database has run, and against a write that is kept although
// the response excludes it.
func TestCommitNotSent(t *testing.T) {
	tests := []struct {
		name string
		// prepare makes the COMMIT fail; its result is called afterwards.
		prepare  func(t *testing.T, f *fixture) (cleanUp func())
		code     executor.Code
		text     string
		failures int
	}{
		{
			name: "no permit", prepare: func(t *testing.T, f *fixture) func() { return f.holdPermits(t) },
			code: executor.CodeBusy, text: busyText,
		},
		{
			name: "primary replaced", prepare: func(_ *testing.T, f *fixture) func() { f.replacePrimary(); return func() {} },
			code: executor.CodeAborted, text: "primary was replaced before the commit",
		},
		{
			name: "view too old",
			prepare: func(_ *testing.T, f *fixture) func() {
				f.now = f.now.Add(MaxViewAge)
				return func() {}
			},
			code: executor.CodeAborted, text: "primary could not be confirmed before the commit",
		},
		{
			name: "connection broken",
			prepare: func(_ *testing.T, f *fixture) func() {
				f.lastTransport.sendError = errConnectionLost
				return func() {}
			},
			code: executor.CodeAborted, text: "connection to the database was lost before the commit", failures: 1,
		},
		{
			name: "rejected as busy, then primary replaced",
			prepare: func(_ *testing.T, f *fixture) func() {
				f.primary.refuse[executor.VerbCommit] = executor.CodeBusy
				time.AfterFunc(retryDelay/2, f.replacePrimary)
				return func() {}
			},
			code: executor.CodeAborted, text: "primary was replaced before the commit",
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(cataloger.Primary)
				s := f.newSession()
				runVerb(s, executor.VerbBegin)
				runVerb(s, executor.VerbWrite, "a x")
				primary := f.director.service("s").primary
				cleanUp := test.prepare(t, f)
				got := runVerb(s, executor.VerbCommit)
				cleanUp()
				if got.Code != test.code || got.Text != test.text || got.State != executor.StateIdle {
					t.Errorf("got %v %q, state %c, want %v %q, state I", got.Code, got.Text, got.State, test.code, test.text)
				}
				if primary.consecutiveFailures != test.failures {
					t.Errorf("recorded %d failures of the primary, want %d", primary.consecutiveFailures, test.failures)
				}
				if used := f.director.ConnectionLoads()["s"].Used; used != 0 {
					t.Errorf("%d connections are in use after the COMMIT, want 0", used)
				}
				if end := f.primary.log.Offset; end != 10 {
					t.Errorf("the log ends at %d, want 10: the write was not committed", end)
				}
			})
		})
	}
}

// TestRefusalsBeforeBegin guards against none or two retry hints in the refusal
// of a transaction that no database has begun.
func TestRefusalsBeforeBegin(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(t *testing.T, f *fixture) (cleanUp func())
		want    string
	}{
		{
			name: "no primary", prepare: func(_ *testing.T, f *fixture) func() { f.replacePrimary(); return func() {} },
			want: "no primary in force, retry in 500ms",
		},
		{
			name: "no permit", prepare: func(t *testing.T, f *fixture) func() { return f.holdPermits(t) },
			want: "no free connection in time, retry in 200ms",
		},
		{
			name: "hint of the database",
			prepare: func(_ *testing.T, f *fixture) func() {
				f.primary.refuse[executor.VerbBegin] = executor.CodeBusy
				f.primary.refusalText = "queue is full, retry in 30ms"
				return func() {}
			},
			want: "busy: queue is full, retry in 30ms",
		},
	}
	for _, test := range tests {
		for _, verb := range []executor.Verb{executor.VerbWrite, executor.VerbCommit} {
			t.Run(fmt.Sprintf("%s, verb %d", test.name, verb), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFixture(cataloger.Primary)
					s := f.newSession()
					runVerb(s, executor.VerbBegin)
					cleanUp := test.prepare(t, f)
					got := runVerb(s, verb, "a x")
					cleanUp()
					if got.Code != executor.CodeBusy || got.Text != test.want {
						t.Errorf("got %v %q, want busy %q", got.Code, got.Text, test.want)
					}
				})
			})
		}
	}
}

// TestOpenTransactionKeepsToken guards against a customer that exceeds its rate
// limit: a transaction whose first statement was rejected gives its token back,
// which admits another operation, and then runs all the same.
func TestOpenTransactionKeepsToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(cataloger.Primary)
		f.updateCatalog(func(c *cataloger.Catalog) {
			next := *c.Configuration
			next.Version = 2
			next.Customers = map[string]cataloger.Customer{"c": {Name: "c", Keys: []string{"key"}, Rate: 1, Burst: 1}}
			next = next.WithKeyIndex()
			c.Configuration = &next
		})
		first, second := f.newSession(), f.newSession()
		runVerb(first, executor.VerbBegin)
		f.primary.refuse[executor.VerbWrite] = executor.CodeBusy
		if got := runVerb(first, executor.VerbWrite, "a x"); got.Code != executor.CodeBusy || got.State != executor.StateTransaction {
			t.Fatalf("got %v, state %c, want busy, state T", got.Code, got.State)
		}
		if got := runVerb(second, executor.VerbRead, "a").Code; got != executor.CodeRateLimited {
			t.Errorf("a second operation beside the open transaction: got %v, want %v", got, executor.CodeRateLimited)
		}
		runVerb(first, executor.VerbRollback)
		if got := runVerb(second, executor.VerbRead, "a").Code; got != executor.CodeNone {
			t.Errorf("after the transaction was rolled back without having run: got %v, want none", got)
		}
	})
}

// TestCommitWithWithdrawnKey guards against the commit of a transaction whose key was withdrawn
// after its last statement.
func TestCommitWithWithdrawnKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(cataloger.Primary)
		s := f.newSession()
		runVerb(s, executor.VerbBegin)
		runVerb(s, executor.VerbWrite, "a x")
		before := f.primary.log
		f.updateCatalog(func(c *cataloger.Catalog) {
			configuration := *c.Configuration
			configuration.Customers = map[string]cataloger.Customer{"c": {Name: "c", Keys: []string{"other"}, Rate: 100, Burst: 100}}
			configuration = configuration.WithKeyIndex()
			c.Configuration = &configuration
		})
		if got := runVerb(s, executor.VerbCommit); got.Code != executor.CodeAborted || got.State != executor.StateIdle {
			t.Errorf("got %v in state %c, want an aborted transaction that has ended", got.Code, got.State)
		}
		if f.primary.log != before || !f.lastTransport.isClosed() {
			t.Errorf("the database stands at %v with its connection closed: %v, want %v and true", f.primary.log, f.lastTransport.isClosed(), before)
		}
	})
}

// TestCommitAfterWriteWithoutResult guards against a lost COMMIT that is reported as one
// that wrote nothing although a write of the transaction ran and only its result was
// dropped.
func TestCommitAfterWriteWithoutResult(t *testing.T) {
	for _, code := range []executor.Code{executor.CodeResultTooLarge, executor.CodeOther} {
		for _, forwarded := range []bool{false, true} {
			t.Run(fmt.Sprint(code, " forwarded ", forwarded), func(t *testing.T) {
				f := newPoolFixture(t, cataloger.Primary)
				f.unreachable = !forwarded
				lose := f.loseReplies()
				f.entry.primary.refuse[executor.VerbWrite] = code
				s := f.entry.newSession()
				runVerb(s, executor.VerbBegin)
				if got := runVerb(s, executor.VerbWrite, "x"); got.Code != code || got.State != executor.StateTransaction {
					t.Fatalf("write: got %v in state %c, want %v in an open transaction", got.Code, got.State, code)
				}
				lose.Store(true)
				f.entry.primary.setLoseResponseAfter(executor.VerbCommit)
				if got := runVerb(s, executor.VerbCommit); got.Code != executor.CodeInDoubt {
					t.Errorf("commit: got %v %q, want %v", got.Code, got.Text, executor.CodeInDoubt)
				}
			})
		}
	}
}

// TestWithdrawnKeyOnIsolatedHost guards against a withdrawn key that keeps working on a host
// that is isolated from all other processes except the databases, so that it does not learn
// that the key was withdrawn: in a local read-only transaction, which needs no primary, and
// in single reads that accept data older than the limit of 3 s.
func TestWithdrawnKeyOnIsolatedHost(t *testing.T) {
	tests := []struct {
		name string
		// open is the verb that opens the transaction, or VerbUnknown.
		open, verb executor.Verb
		public     bool
		want       executor.Code
	}{
		{name: "read in a transaction", open: executor.VerbBeginRead, verb: executor.VerbRead, want: executor.CodeAborted},
		{name: "commit", open: executor.VerbBeginRead, verb: executor.VerbCommit, want: executor.CodeAborted},
		{name: "single read", verb: executor.VerbRead, want: executor.CodeBusy},
		{name: "begin", verb: executor.VerbBeginRead, want: executor.CodeBusy},
		{name: "transaction on a public route", open: executor.VerbBeginRead, verb: executor.VerbRead, public: true, want: executor.CodeNone},
		{name: "single read on a public route", verb: executor.VerbRead, public: true, want: executor.CodeNone},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(cataloger.BoundedStaleness)
			f.updateCatalog(func(c *cataloger.Catalog) {
				configuration := *c.Configuration
				route := configuration.Routes["db"]
				route.MaxStaleness, route.Public = time.Minute, test.public
				configuration.Routes = map[string]cataloger.Route{"db": route}
				c.Configuration = &configuration
			})
			f.seedPosition()
			s := f.newSession()
			if test.open != executor.VerbUnknown {
				runVerb(s, test.open)
				if got := runVerb(s, executor.VerbRead, "first"); got.Code != executor.CodeNone || got.Signature != "r" {
					t.Fatalf("first read: got %v from %q, want none from the replica", got.Code, got.Signature)
				}
			}
			before := len(f.replica.statements())
			f.now = f.now.Add(maxKeyViewAge + time.Millisecond)
			if got := runVerb(s, test.verb, "x"); got.Code != test.want {
				t.Errorf("got %v %q, want %v", got.Code, got.Text, test.want)
			}
			ran, want := len(f.replica.statements())-before, 0
			if test.want == executor.CodeNone {
				want = 1
			}
			if ran != want {
				t.Errorf("the replica ran %d statements, want %d", ran, want)
			}
			if used := f.director.ConnectionLoads()["s"].Used; test.want != executor.CodeNone && used != 0 {
				t.Errorf("%d connections are in use, want 0", used)
			}
		})
	}
}

// TestLateAcknowledgement guards against an acknowledged write that is lost: the host was suspended
// between its check of the primary and the statement, and the former primary ran it.
func TestLateAcknowledgement(t *testing.T) {
	tests := []struct {
		name string
		verb executor.Verb
		// expires and replaced say what happens while the statement runs.
		expires, replaced bool
		want              executor.Code
	}{
		{name: "commit", verb: executor.VerbCommit},
		{name: "commit, view expires", verb: executor.VerbCommit, expires: true, want: executor.CodeInDoubt},
		{name: "commit, primary replaced", verb: executor.VerbCommit, replaced: true, want: executor.CodeInDoubt},
		{name: "write", verb: executor.VerbWrite},
		{name: "write, view expires", verb: executor.VerbWrite, expires: true, want: executor.CodeInDoubt},
		{name: "read, view expires", verb: executor.VerbRead, expires: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(cataloger.Primary)
				var expired atomic.Bool
				f.director.ViewCompleteAsOf = func() time.Time {
					if expired.Load() {
						return f.now.Add(-MaxViewAge)
					}
					return f.now
				}
				s := f.newSession()
				if test.verb == executor.VerbCommit {
					runVerb(s, executor.VerbBegin)
					runVerb(s, executor.VerbWrite, "a x")
				}
				primary := f.database("p")
				f.primary.responseTime = 300 * time.Millisecond
				// Opening a connection takes no time, so that the statement runs then.
				time.AfterFunc(200*time.Millisecond, func() {
					expired.Store(test.expires)
					if test.replaced {
						f.replacePrimary()
					}
				})
				got := runVerb(s, test.verb, "a x")
				if got.Code != test.want || got.State != executor.StateIdle {
					t.Errorf("got %v %q, state %c, want %v, state I", got.Code, got.Text, got.State, test.want)
				}
				if primary.consecutiveFailures != 0 {
					t.Errorf("recorded %d failures of the primary, want 0", primary.consecutiveFailures)
				}
			})
		})
	}
}
