package director

import (
	"testing"
	"time"

	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/executor"
)

// TestLostAnswers guards against answers that promise what is not known: a
// promise that nothing is kept after a write may have run, or a write that is
// sent twice.
func TestLostAnswers(t *testing.T) {
	tests := []struct {
		name  string
		lose  executor.Verb
		verbs []executor.Verb
		want  executor.Code
		// runs is how often the primary ran the lost statement.
		runs int
	}{
		{name: "single write", lose: executor.VerbWrite, verbs: []executor.Verb{executor.VerbWrite}, want: executor.CodeInDoubt, runs: 1},
		{name: "read is repeated", lose: executor.VerbRead, verbs: []executor.Verb{executor.VerbRead}, want: executor.CodeRunFailed, runs: maxAttempts},
		{
			name: "write in a transaction", lose: executor.VerbWrite,
			verbs: []executor.Verb{executor.VerbBegin, executor.VerbWrite}, want: executor.CodeAborted, runs: 1,
		},
		{
			name: "commit of a write", lose: executor.VerbCommit,
			verbs: []executor.Verb{executor.VerbBegin, executor.VerbWrite, executor.VerbCommit}, want: executor.CodeInDoubt, runs: 1,
		},
		{
			name: "commit of a read", lose: executor.VerbCommit,
			verbs: []executor.Verb{executor.VerbBegin, executor.VerbRead, executor.VerbCommit}, want: executor.CodeRunFailed, runs: 1,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(cataloger.Primary)
			f.primary.setLose(test.lose)
			s := f.session()
			var got executor.Reply
			for _, verb := range test.verbs {
				got = run(s, verb, "item")
			}
			if got.Code != test.want {
				t.Errorf("got %v, want %v", got.Code, test.want)
			}
			runs := 0
			for _, r := range f.primary.statements() {
				if r.Verb == test.lose {
					runs++
				}
			}
			if runs != test.runs {
				t.Errorf("the primary ran the lost statement %d times, want %d", runs, test.runs)
			}
		})
	}
}

// TestTransactionFailsUntilItsEnd guards against statements that run outside
// the transaction they were meant for.
func TestTransactionFailsUntilItsEnd(t *testing.T) {
	f := newFixture(cataloger.Primary)
	s := f.session()
	run(s, executor.VerbBegin)
	f.primary.setLose(executor.VerbWrite)
	if got := run(s, executor.VerbWrite, "a x"); got.State != executor.StateFailed {
		t.Fatalf("got state %c, want E", got.State)
	}
	f.primary.setLose(executor.VerbUnknown)
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
		got := run(s, step.verb, "a")
		if got.Code != step.code || got.State != step.state {
			t.Errorf("verb %d: got %v, state %c, want %v, state %c", step.verb, got.Code, got.State, step.code, step.state)
		}
	}
}

// TestIdleTransaction guards against clients that rest inside a transaction and
// keep its connection, and against telling them less than is known when they
// come back.
func TestIdleTransaction(t *testing.T) {
	f := newFixture(cataloger.Primary)
	s := f.session()
	run(s, executor.VerbBegin)
	run(s, executor.VerbWrite, "a x")
	s.tx.expire()
	if used := f.director.Loads()["s"].Used; used != 0 {
		t.Errorf("%d connections are in use after the transaction expired, want 0", used)
	}
	for _, want := range []executor.Code{executor.CodeAborted, executor.CodeMalformed} {
		if got := run(s, executor.VerbWrite, "a y").Code; got != want {
			t.Errorf("got %v, want %v", got, want)
		}
	}
	if got := run(s, executor.VerbRollback); got.Code != executor.CodeNone || got.State != executor.StateIdle {
		t.Errorf("got %v, state %c after ROLLBACK, want none and I", got.Code, got.State)
	}
	f.primary.mu.Lock()
	defer f.primary.mu.Unlock()
	if got := f.primary.log.Offset; got != 10 {
		t.Errorf("the log ends at %d, want 10: the write is rolled back", got)
	}
}

// TestReadsSeeOwnWrites guards against a session that reads a replica which
// lacks its last commit.
func TestReadsSeeOwnWrites(t *testing.T) {
	f := newFixture(cataloger.ReadYourWrites)
	s := f.session()
	run(s, executor.VerbRead, "a")
	if got := run(s, executor.VerbWrite, "a x"); got.Code != executor.CodeNone {
		t.Fatal(got.Code)
	}
	got := run(s, executor.VerbRead, "a")
	if got.Code != executor.CodeNone || got.Signature != "p" {
		t.Errorf("got %v from %q, want none from p: the replica is behind", got.Code, got.Signature)
	}
	f.replica.mu.Lock()
	f.replica.log = f.primary.log
	f.replica.mu.Unlock()
	if got := run(s, executor.VerbRead, "a"); got.Signature != "r" {
		t.Errorf("got an answer from %q, want r: the replica has caught up", got.Signature)
	}
}

// TestStaleFloorGoesToPrimary guards against bounded reads on a replica when
// this host has not heard from the primary for longer than they accept.
func TestStaleFloorGoesToPrimary(t *testing.T) {
	f := newFixture(cataloger.BoundedStaleness)
	s := f.session()
	if got := run(s, executor.VerbRead, "a"); got.Signature != "p" {
		t.Errorf("got an answer from %q, want p: no floor is known", got.Signature)
	}
	if got := run(s, executor.VerbRead, "a"); got.Signature != "r" {
		t.Errorf("got an answer from %q, want r", got.Signature)
	}
	f.now = f.now.Add(3 * time.Second)
	f.current = f.now
	if got := run(s, executor.VerbRead, "a"); got.Signature != "p" {
		t.Errorf("got an answer from %q, want p: the floor is too old", got.Signature)
	}
}

// TestValuesFollowSession guards against session values of one client that
// stay in force for another.
func TestValuesFollowSession(t *testing.T) {
	f := newFixture(cataloger.Primary)
	first, second := f.session(), f.session()
	run(first, executor.VerbSet, "a", "1")
	run(first, executor.VerbRead, "x")
	run(second, executor.VerbSet, "b", "2")
	run(second, executor.VerbRead, "x")
	if got := f.last.values; len(got) != 1 || got["b"] != "2" {
		t.Errorf("got values %v on the connection, want only b=2", got)
	}
	if got := f.primary.dials["c"]; got != 1 {
		t.Errorf("opened %d connections, want 1", got)
	}
}

// TestPreparedNames guards against prepared statements of different clients
// that collide on a shared connection.
func TestPreparedNames(t *testing.T) {
	f := newFixture(cataloger.Primary)
	first, second := f.session(), f.session()
	prepare := executor.Request{ID: "id", Verb: executor.VerbPrepare, Name: "s1"}
	read, write := prepare, prepare
	read.Arguments = "shape"
	write.Arguments, write.Writes = "shape", true
	first.execute(t.Context(), read)
	second.execute(t.Context(), write)
	run(first, executor.VerbExecute, "s1", "x")
	run(second, executor.VerbExecute, "s1", "x data")
	ran := f.primary.statements()
	if len(ran) != 2 || ran[0].Name == ran[1].Name {
		t.Fatalf("got %+v, want two executions under different names", ran)
	}
	if got := run(first, executor.VerbExecute, "s2", "x").Code; got != executor.CodeNoSuchStatement {
		t.Errorf("got %v for an unknown name, want %v", got, executor.CodeNoSuchStatement)
	}
}

// TestFencing guards against statements that reach a former primary.
func TestFencing(t *testing.T) {
	moving := cataloger.Lead{Service: "s", ID: "p", Moving: true, Revision: 9}
	t.Run("moving lead", func(t *testing.T) {
		f := newFixture(cataloger.Primary)
		f.put(func(c *cataloger.Catalog) { c.Leads["s"] = moving })
		if got := run(f.session(), executor.VerbWrite, "a x"); got.Code != executor.CodeBusy {
			t.Errorf("got %v, want %v", got.Code, executor.CodeBusy)
		}
		if got := len(f.primary.statements()); got != 0 {
			t.Errorf("the former primary ran %d statements, want 0", got)
		}
		if got := f.director.Released()["s"]; got != moving.Revision {
			t.Errorf("released revision %d, want %d", got, moving.Revision)
		}
	})
	t.Run("open transaction", func(t *testing.T) {
		f := newFixture(cataloger.Primary)
		s := f.session()
		run(s, executor.VerbBegin)
		run(s, executor.VerbWrite, "a x")
		f.put(func(c *cataloger.Catalog) { c.Leads["s"] = moving })
		if _, ok := f.director.Released()["s"]; ok {
			t.Error("the lead counts as released while a transaction is open on the former primary")
		}
		if got := run(s, executor.VerbCommit); got.Code != executor.CodeAborted {
			t.Errorf("got %v, want %v", got.Code, executor.CodeAborted)
		}
		if got := f.director.Released()["s"]; got != moving.Revision {
			t.Errorf("released revision %d, want %d", got, moving.Revision)
		}
	})
	t.Run("view too old", func(t *testing.T) {
		f := newFixture(cataloger.Primary)
		f.now = f.current.Add(MaxViewAge)
		if got := run(f.session(), executor.VerbRead, "a"); got.Code != executor.CodeBusy {
			t.Errorf("got %v, want %v", got.Code, executor.CodeBusy)
		}
		if got := len(f.primary.statements()); got != 0 {
			t.Errorf("the primary ran %d statements, want 0", got)
		}
	})
}

// TestKeysAndRates guards against operations of customers that may not send
// them.
func TestKeysAndRates(t *testing.T) {
	f := newFixture(cataloger.Primary)
	s := f.session()
	run(s, executor.VerbBegin)
	run(s, executor.VerbRead, "a")
	f.put(func(c *cataloger.Catalog) {
		next := *c.Configuration
		next.Version = 2
		next.Customers = map[string]cataloger.Customer{"c": {Name: "c", Keys: []string{"other"}, Rate: 1, Burst: 1}}
		next = next.WithKeysIndexed()
		c.Configuration = &next
	})
	if got := run(s, executor.VerbRead, "a").Code; got != executor.CodeAborted {
		t.Errorf("in a transaction got %v, want %v", got, executor.CodeAborted)
	}
	run(s, executor.VerbRollback)
	if got := run(s, executor.VerbRead, "a").Code; got != executor.CodeUnauthenticated {
		t.Errorf("got %v, want %v", got, executor.CodeUnauthenticated)
	}
	s.startup.Key = "other"
	refused := 0
	for range 20 {
		if run(s, executor.VerbRead, "a").Code == executor.CodeTooMany {
			refused++
		}
	}
	if refused < 18 {
		t.Errorf("refused %d of 20 operations at a burst of 1, want at least 18", refused)
	}
}

// TestRepeatedReadsCount guards against reads that databases run more often than
// the customer's rate allows, because the proxy repeats those whose answer was
// lost.
func TestRepeatedReadsCount(t *testing.T) {
	f := newFixture(cataloger.Primary)
	f.put(func(c *cataloger.Catalog) {
		next := *c.Configuration
		next.Version = 2
		next.Customers = map[string]cataloger.Customer{"c": {Name: "c", Keys: []string{"key"}, Rate: 1, Burst: 2}}
		next = next.WithKeysIndexed()
		c.Configuration = &next
	})
	f.primary.setLose(executor.VerbRead)
	got := run(f.session(), executor.VerbRead, "a")
	if got.Code != executor.CodeRunFailed {
		t.Errorf("got %v, want %v", got.Code, executor.CodeRunFailed)
	}
	if runs := len(f.primary.statements()); runs > 2 {
		t.Errorf("the primary ran the read %d times at a burst of 2", runs)
	}
}

// TestConfigurationNeverGoesBack guards against an older version that comes
// from another host.
func TestConfigurationNeverGoesBack(t *testing.T) {
	f := newFixture(cataloger.Primary)
	f.put(func(c *cataloger.Catalog) {
		next := *c.Configuration
		next.Version = 0
		c.Configuration = &next
	})
	if got := f.director.Catalog().Configuration.Version; got != 1 {
		t.Errorf("got version %d in force, want 1", got)
	}
}
