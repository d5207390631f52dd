package director

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/executor"
)

// TestStatementsUseDirectorClock guards against deadlines on the clock of the
// director that are compared with another clock: the statement would not wait
// for a permit, or leave the database no time.
func TestStatementsUseDirectorClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(cataloger.Primary)
		f.clockOffset = -time.Hour
		if got := runVerb(f.newSession(), executor.VerbRead, "a"); got.Code != executor.CodeNone {
			t.Fatalf("got %v %q, want none", got.Code, got.Text)
		}
		want := time.Duration(firstAttemptShare * float64(time.Second))
		if got := f.lastTransport.deadline.Sub(f.director.Now()); got != want {
			t.Errorf("the database had %v to answer, want %v", got, want)
		}
		time.AfterFunc(10*time.Millisecond, f.holdPermits(t))
		if got := runVerb(f.newSession(), executor.VerbRead, "a"); got.Code != executor.CodeNone {
			t.Errorf("got %v %q, want none once there is a permit", got.Code, got.Text)
		}
	})
}

// TestSetupIsNoFailure guards against a database that counts as failing although
// it responds: because this host itself sends it nothing more, after the primary
// was replaced or the view became too old while the connection was opened, or
// because it rejects the variables of the session as busy.
func TestSetupIsNoFailure(t *testing.T) {
	obstacles := []struct {
		name string
		// onDial is called before the connection is opened.
		onDial func(f *fixture)
	}{
		{name: "primary replaced", onDial: (*fixture).replacePrimary},
		{name: "view too old", onDial: func(f *fixture) { f.now = f.now.Add(MaxViewAge) }},
		{
			name: "rejected as busy",
			onDial: func(f *fixture) {
				f.primary.refuse[executor.VerbSet] = executor.CodeBusy
				f.primary.refuse[executor.VerbBegin] = executor.CodeBusy
			},
		},
	}
	sequences := []struct {
		name  string
		verbs []executor.Verb
	}{
		{name: "variables", verbs: []executor.Verb{executor.VerbSet, executor.VerbWrite}},
		{name: "begin", verbs: []executor.Verb{executor.VerbBegin, executor.VerbWrite}},
	}
	for _, obstacle := range obstacles {
		for _, sequence := range sequences {
			t.Run(obstacle.name+", "+sequence.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFixture(cataloger.Primary)
					primary := f.database("p")
					f.onDial = func() { obstacle.onDial(f) }
					s := f.newSession()
					var got executor.Response
					for _, verb := range sequence.verbs {
						got = runVerb(s, verb, "a", "x")
					}
					if got.Code != executor.CodeBusy || strings.Contains(got.Text, "unreachable") {
						t.Errorf("got %v %q, want busy for another reason than an unreachable database", got.Code, got.Text)
					}
					if primary.consecutiveFailures != 0 {
						t.Errorf("recorded %d failures of the primary, want 0", primary.consecutiveFailures)
					}
				})
			})
		}
	}
}

// TestCountedRequests guards against usage reports that count statements of the proxy itself
// or what a database has not run, and against ones that leave out runs whose response was
// lost or that were repeated.
func TestCountedRequests(t *testing.T) {
	lost := func(f *fixture) { f.primary.setLoseResponseAfter(executor.VerbRead) }
	refused := func(code executor.Code) func(f *fixture) {
		return func(f *fixture) { f.primary.refuse[executor.VerbRead] = code }
	}
	tests := []struct {
		name    string
		prepare func(f *fixture)
		verbs   []executor.Verb
		want    int
	}{
		{name: "read", verbs: []executor.Verb{executor.VerbRead}, want: 1},
		{name: "transaction", verbs: []executor.Verb{executor.VerbBegin, executor.VerbWrite, executor.VerbRead, executor.VerbCommit}, want: 1},
		{name: "rollback", verbs: []executor.Verb{executor.VerbBegin, executor.VerbWrite, executor.VerbRollback}, want: 1},
		{name: "variables", verbs: []executor.Verb{executor.VerbSet, executor.VerbRead}, want: 1},
		{name: "response lost and repeated", prepare: lost, verbs: []executor.Verb{executor.VerbRead}, want: maxAttempts},
		{name: "failed", prepare: refused(executor.CodeRunFailed), verbs: []executor.Verb{executor.VerbWrite, executor.VerbRead}, want: 1 + maxAttempts},
		{name: "not run", prepare: refused(executor.CodeBusy), verbs: []executor.Verb{executor.VerbWrite, executor.VerbRead}, want: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(cataloger.Primary)
				if test.prepare != nil {
					test.prepare(f)
				}
				got, running := 0, 0
				f.director.BeginRequest = func(customer string) int64 {
					if customer != "c" {
						t.Errorf("got customer %q, want c", customer)
					}
					running++
					return 7
				}
				f.director.EndRequest = func(_ string, window int64, mayHaveRun bool) {
					running--
					if window == 7 && mayHaveRun {
						got++
					}
				}
				session := f.newSession()
				for _, verb := range test.verbs {
					runVerb(session, verb, "a")
				}
				if got != test.want || running != 0 {
					t.Errorf("got %d requests and %d without an outcome, want %d", got, running, test.want)
				}
			})
		})
	}
}
