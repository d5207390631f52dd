package director

import (
	"testing"
	"time"

	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/executor"
	"github.com/endiveturn/endiveturn/forwarder"
)

// TestLostResponses guards against wrong results after the response to a
// statement is lost: a write reported as certainly not run although it may have
// run, or a write that is sent twice.
func TestLostResponses(t *testing.T) {
	tests := []struct {
		name              string
		loseResponseAfter executor.Verb
		verbs             []executor.Verb
		want              executor.Code
		// runs is how often the primary ran the statement whose response was
		// lost.
		runs int
	}{
		{name: "single write", loseResponseAfter: executor.VerbWrite, verbs: []executor.Verb{executor.VerbWrite}, want: executor.CodeInDoubt, runs: 1},
		{name: "read is retried", loseResponseAfter: executor.VerbRead, verbs: []executor.Verb{executor.VerbRead}, want: executor.CodeRunFailed, runs: maxAttempts},
		{
			name: "write in a transaction", loseResponseAfter: executor.VerbWrite,
			verbs: []executor.Verb{executor.VerbBegin, executor.VerbWrite}, want: executor.CodeAborted, runs: 1,
		},
		{
			name: "commit of a write", loseResponseAfter: executor.VerbCommit,
			verbs: []executor.Verb{executor.VerbBegin, executor.VerbWrite, executor.VerbCommit}, want: executor.CodeInDoubt, runs: 1,
		},
		{
			name: "commit of a read", loseResponseAfter: executor.VerbCommit,
			verbs: []executor.Verb{executor.VerbBegin, executor.VerbRead, executor.VerbCommit}, want: executor.CodeRunFailed, runs: 1,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(cataloger.Primary)
			f.primary.setLoseResponseAfter(test.loseResponseAfter)
			s := f.newSession()
			var got executor.Response
			for _, verb := range test.verbs {
				got = runVerb(s, verb, "item")
			}
			if got.Code != test.want {
				t.Errorf("got %v, want %v", got.Code, test.want)
			}
			runs := 0
			for _, r := range f.primary.statements() {
				if r.Verb == test.loseResponseAfter {
					runs++
				}
			}
			if runs != test.runs {
				t.Errorf("the primary ran the statement whose response was lost %d times, want %d", runs, test.runs)
			}
		})
	}
}

// TestFailedTransactionRejectsStatements guards against statements that run
// outside the transaction they were meant for, after that transaction has
// failed.
func TestFailedTransactionRejectsStatements(t *testing.T) {
	f := newFixture(cataloger.Primary)
	s := f.newSession()
	runVerb(s, executor.VerbBegin)
	f.primary.setLoseResponseAfter(executor.VerbWrite)
	if got := runVerb(s, executor.VerbWrite, "a x"); got.State != executor.StateFailed {
		t.Fatalf("got state %c, want E", got.State)
	}
	f.primary.setLoseResponseAfter(executor.VerbUnknown)
	steps := []struct {
		verb  executor.Verb
		code  executor.Code
		state byte
	}{
		{verb: executor.VerbRead, code: executor.CodeMalformed, state: executor.StateFailed},
		{verb: executor.VerbBegin, code: executor.CodeMalformed, state: executor.StateFailed},
		{verb: executor.VerbCommit, code: executor.CodeAborted, state: executor.StateIdle},
		{verb: executor.VerbRead, code: executor.CodeNone, state: executor.StateIdle},
	}
	for _, step := range steps {
		got := runVerb(s, step.verb, "a")
		if got.Code != step.code || got.State != step.state {
			t.Errorf("verb %d: got %v, state %c, want %v, state %c", step.verb, got.Code, got.State, step.code, step.state)
		}
	}
}

// TestIdleTransactionExpires guards against idle transactions that hold a
// connection, and against an expired transaction whose client is not informed
// that it was rolled back.
func TestIdleTransactionExpires(t *testing.T) {
	f := newFixture(cataloger.Primary)
	s := f.newSession()
	runVerb(s, executor.VerbBegin)
	runVerb(s, executor.VerbWrite, "a x")
	s.tx.expire()
	if used := f.director.ConnectionLoads()["s"].Used; used != 0 {
		t.Errorf("%d connections are in use after the transaction expired, want 0", used)
	}
	for _, want := range []executor.Code{executor.CodeAborted, executor.CodeMalformed} {
		if got := runVerb(s, executor.VerbWrite, "a y").Code; got != want {
			t.Errorf("got %v, want %v", got, want)
		}
	}
	if got := runVerb(s, executor.VerbRollback); got.Code != executor.CodeNone || got.State != executor.StateIdle {
		t.Errorf("got %v, state %c after ROLLBACK, want none and I", got.Code, got.State)
	}
	f.primary.mu.Lock()
	defer f.primary.mu.Unlock()
	if got := f.primary.log.Offset; got != 10 {
		t.Errorf("the log ends at %d, want 10 after the write was rolled back", got)
	}
}

// TestReadYourWrites guards against a session that reads from a replica which
// lacks the session's last commit.
func TestReadYourWrites(t *testing.T) {
	f := newFixture(cataloger.ReadYourWrites)
	s := f.newSession()
	runVerb(s, executor.VerbRead, "a")
	if got := runVerb(s, executor.VerbWrite, "a x"); got.Code != executor.CodeNone {
		t.Fatal(got.Code)
	}
	got := runVerb(s, executor.VerbRead, "a")
	if got.Code != executor.CodeNone || got.Signature != "p" {
		t.Errorf("got %v from %q, want none from p: the replica is behind", got.Code, got.Signature)
	}
	f.replica.mu.Lock()
	f.replica.log = f.primary.log
	f.replica.mu.Unlock()
	if got := runVerb(s, executor.VerbRead, "a"); got.Signature != "r" {
		t.Errorf("got a response from %q, want r: the replica has caught up", got.Signature)
	}
}

// TestStaleFloorReadsFromPrimary guards against bounded-staleness reads on a
// replica when this host has received no response from the primary for longer
// than the accepted staleness.
func TestStaleFloorReadsFromPrimary(t *testing.T) {
	f := newFixture(cataloger.BoundedStaleness)
	s := f.newSession()
	if got := runVerb(s, executor.VerbRead, "a"); got.Signature != "p" {
		t.Errorf("got a response from %q, want p: no floor is known", got.Signature)
	}
	if got := runVerb(s, executor.VerbRead, "a"); got.Signature != "r" {
		t.Errorf("got a response from %q, want r", got.Signature)
	}
	f.now = f.now.Add(3 * time.Second)
	f.viewConfirmedAt = f.now
	if got := runVerb(s, executor.VerbRead, "a"); got.Signature != "p" {
		t.Errorf("got a response from %q, want p: the floor is too old", got.Signature)
	}
}

// TestSessionVariablesAreIsolated guards against session variables of one
// client that stay set for another.
func TestSessionVariablesAreIsolated(t *testing.T) {
	f := newFixture(cataloger.Primary)
	first, second := f.newSession(), f.newSession()
	runVerb(first, executor.VerbSet, "a", "1")
	runVerb(first, executor.VerbRead, "x")
	runVerb(second, executor.VerbSet, "b", "2")
	runVerb(second, executor.VerbRead, "x")
	if got := f.lastTransport.variables; len(got) != 1 || got["b"] != "2" {
		t.Errorf("got variables %v on the connection, want only b=2", got)
	}
	if got := f.primary.dials["c"]; got != 1 {
		t.Errorf("opened %d connections, want 1", got)
	}
}

// TestPreparedStatementNamesAreDistinct guards against prepared statements of
// different clients that collide on a shared connection, also if clients choose texts with the
// same hash by a function for which such texts can be found, or if an entry host sends the
// same name for both.
func TestPreparedStatementNamesAreDistinct(t *testing.T) {
	// These texts have the same 64-bit FNV-1a hash.
	const text, sameHash = "qg4uhkbrbjkzdi", "qam2xvqcczv26d"
	tests := []struct {
		name                  string
		first, second         string
		firstWrites, forwards bool
		// shared is set if both are the same statement, which is then prepared once.
		shared bool
	}{
		{name: "read and write", first: text, second: text},
		{name: "same hash", first: text, second: sameHash, firstWrites: true},
		{name: "same hash, forwarded", first: text, second: sameHash, firstWrites: true, forwards: true},
		{name: "same statement", first: text, second: text, firstWrites: true, shared: true},
		{name: "same statement, forwarded", first: text, second: text, firstWrites: true, forwards: true, shared: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(cataloger.Primary)
			run := func(text string, writes bool) {
				prepare := executor.Request{ID: "id", Verb: executor.VerbPrepare, Name: "s1", Arguments: text, Writes: writes}
				execute := executor.Request{ID: "id", Verb: executor.VerbExecute, Name: "s1", Arguments: "x data"}
				if !test.forwards {
					s := f.newSession()
					s.execute(t.Context(), prepare)
					s.execute(t.Context(), execute)
					return
				}
				operation := &forwarder.Operation{Customer: "c", Route: f.catalog.Configuration.Routes["db"]}
				execution := f.director.BeginForwarded(operation)
				execution.Run(t.Context(), &forwarder.Request{Operation: operation, Statement: execute, Prepared: &forwarder.Prepared{Name: "s1", Text: text, Writes: writes}})
			}
			run(test.first, test.firstWrites)
			run(test.second, true)
			ran := f.primary.statements()
			if len(ran) != 2 || (ran[0].Name == ran[1].Name) != test.shared {
				t.Fatalf("got %+v, want two executions, under one name: %v", ran, test.shared)
			}
			for i, want := range []string{test.first, test.second} {
				if got := f.lastTransport.prepared[ran[i].Name]; got != want {
					t.Errorf("execution %d ran %q, want %q", i, got, want)
				}
			}
		})
	}
	if got := runVerb(newFixture(cataloger.Primary).newSession(), executor.VerbExecute, "s2", "x").Code; got != executor.CodeNoSuchStatement {
		t.Errorf("got %v for an unknown name, want %v", got, executor.CodeNoSuchStatement)
	}
}

// TestFencing guards against statements that reach a former primary.
func TestFencing(t *testing.T) {
	changing := cataloger.PrimaryAssignment{Service: "s", ID: "p", Changing: true, Revision: 9}
	t.Run("primary is changing", func(t *testing.T) {
		f := newFixture(cataloger.Primary)
		f.updateCatalog(func(c *cataloger.Catalog) { c.Assignments["s"] = changing })
		if got := runVerb(f.newSession(), executor.VerbWrite, "a x"); got.Code != executor.CodeBusy {
			t.Errorf("got %v, want %v", got.Code, executor.CodeBusy)
		}
		if got := len(f.primary.statements()); got != 0 {
			t.Errorf("the former primary ran %d statements, want 0", got)
		}
		if got := f.director.ReleasedRevisions()["s"]; got != changing.Revision {
			t.Errorf("released revision %d, want %d", got, changing.Revision)
		}
	})
	t.Run("open transaction", func(t *testing.T) {
		f := newFixture(cataloger.Primary)
		s := f.newSession()
		runVerb(s, executor.VerbBegin)
		runVerb(s, executor.VerbWrite, "a x")
		f.updateCatalog(func(c *cataloger.Catalog) { c.Assignments["s"] = changing })
		if _, ok := f.director.ReleasedRevisions()["s"]; ok {
			t.Error("the assignment counts as released while a transaction is open on the former primary")
		}
		if got := runVerb(s, executor.VerbCommit); got.Code != executor.CodeAborted {
			t.Errorf("got %v, want %v", got.Code, executor.CodeAborted)
		}
		if got := f.director.ReleasedRevisions()["s"]; got != changing.Revision {
			t.Errorf("released revision %d, want %d", got, changing.Revision)
		}
	})
	t.Run("view too old", func(t *testing.T) {
		f := newFixture(cataloger.Primary)
		f.now = f.viewConfirmedAt.Add(MaxViewAge)
		if got := runVerb(f.newSession(), executor.VerbRead, "a"); got.Code != executor.CodeBusy {
			t.Errorf("got %v, want %v", got.Code, executor.CodeBusy)
		}
		if got := len(f.primary.statements()); got != 0 {
			t.Errorf("the primary ran %d statements, want 0", got)
		}
	})
}

// TestKeyRevocationAndRateLimit guards against operations of customers whose
// key was revoked or whose rate limit is exceeded.
func TestKeyRevocationAndRateLimit(t *testing.T) {
	f := newFixture(cataloger.Primary)
	s := f.newSession()
	runVerb(s, executor.VerbBegin)
	runVerb(s, executor.VerbRead, "a")
	f.updateCatalog(func(c *cataloger.Catalog) {
		next := *c.Configuration
		next.Version = 2
		next.Customers = map[string]cataloger.Customer{"c": {Name: "c", Keys: []string{"other"}, Rate: 1, Burst: 1}}
		next = next.WithKeyIndex()
		c.Configuration = &next
	})
	if got := runVerb(s, executor.VerbRead, "a").Code; got != executor.CodeAborted {
		t.Errorf("in a transaction got %v, want %v", got, executor.CodeAborted)
	}
	runVerb(s, executor.VerbRollback)
	if got := runVerb(s, executor.VerbRead, "a").Code; got != executor.CodeUnauthenticated {
		t.Errorf("got %v, want %v", got, executor.CodeUnauthenticated)
	}
	s.startup.Key = "other"
	refused := 0
	for range 20 {
		if runVerb(s, executor.VerbRead, "a").Code == executor.CodeRateLimited {
			refused++
		}
	}
	if refused < 18 {
		t.Errorf("refused %d of 20 operations at a burst of 1, want at least 18", refused)
	}
}

// TestRetriedReadsCountAgainstRate guards against reads that databases run more
// often than the customer's rate limit allows, because the proxy retries reads
// whose response was lost.
func TestRetriedReadsCountAgainstRate(t *testing.T) {
	f := newFixture(cataloger.Primary)
	f.updateCatalog(func(c *cataloger.Catalog) {
		next := *c.Configuration
		next.Version = 2
		next.Customers = map[string]cataloger.Customer{"c": {Name: "c", Keys: []string{"key"}, Rate: 1, Burst: 2}}
		next = next.WithKeyIndex()
		c.Configuration = &next
	})
	f.primary.setLoseResponseAfter(executor.VerbRead)
	got := runVerb(f.newSession(), executor.VerbRead, "a")
	if got.Code != executor.CodeRunFailed {
		t.Errorf("got %v, want %v", got.Code, executor.CodeRunFailed)
	}
	if runs := len(f.primary.statements()); runs > 2 {
		t.Errorf("the primary ran the read %d times at a burst of 2", runs)
	}
}

// TestConfigurationVersionNeverDecreases guards against an older configuration
// version that is received from another host.
func TestConfigurationVersionNeverDecreases(t *testing.T) {
	f := newFixture(cataloger.Primary)
	f.updateCatalog(func(c *cataloger.Catalog) {
		next := *c.Configuration
		next.Version = 0
		c.Configuration = &next
	})
	if got := f.director.Catalog().Configuration.Version; got != 1 {
		t.Errorf("got version %d in force, want 1", got)
	}
}

// TestConfigurationIsNotRemoved guards against a catalog without a configuration
// that replaces the configuration in force or stops the process.
func TestConfigurationIsNotRemoved(t *testing.T) {
	f := newFixture(cataloger.Primary)
	f.updateCatalog(func(c *cataloger.Catalog) { c.Configuration = nil })
	if got := configurationVersion(f.director.Catalog()); got != 1 {
		t.Errorf("got version %d in force, want 1", got)
	}
}
