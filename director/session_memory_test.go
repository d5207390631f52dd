package director

import (
	"strings"
	"testing"
	"time"

	"github.com/endiveturn/endiveturn/budgeter"
	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/executor"
)

// TestSessionMemory guards against prepared statements and variables that a session keeps
// without a count, against refused ones that are kept, and against memory that stays
// counted after DEALLOC.
func TestSessionMemory(t *testing.T) {
	f := newFixture(cataloger.Primary)
	s := f.newSession()
	budget := &budgeter.Budget{Limits: budgeter.Limits{Memory: 100 << 10, ConnectionMemory: 80 << 10}, Now: time.Now}
	var err error
	if s.startup.Account, err = budget.Open(budgeter.Clients, "client", func() {}); err != nil {
		t.Fatal(err)
	}
	large, small := strings.Repeat("x", 50<<10), "x"
	steps := []struct {
		name      string
		verb      executor.Verb
		arguments []string
		want      executor.Code
	}{
		{name: "prepare", verb: executor.VerbPrepare, arguments: []string{"p", large}, want: executor.CodeNone},
		{name: "replace", verb: executor.VerbPrepare, arguments: []string{"p", large}, want: executor.CodeNone},
		{name: "another", verb: executor.VerbPrepare, arguments: []string{"q", large}, want: executor.CodeMalformed},
		{name: "variable", verb: executor.VerbSet, arguments: []string{"v", large}, want: executor.CodeMalformed},
		{name: "small variable", verb: executor.VerbSet, arguments: []string{"v", small}, want: executor.CodeNone},
		{name: "deallocate", verb: executor.VerbDeallocate, arguments: []string{"p", ""}, want: executor.CodeNone},
		{name: "variable instead", verb: executor.VerbSet, arguments: []string{"v", large}, want: executor.CodeNone},
		{name: "variable again", verb: executor.VerbSet, arguments: []string{"v", small}, want: executor.CodeNone},
	}
	for _, step := range steps {
		if got := runVerb(s, step.verb, step.arguments...).Code; got != step.want {
			t.Errorf("%s: got %v, want %v", step.name, got, step.want)
		}
	}
	if len(s.prepared) != 0 {
		t.Errorf("prepared statements: got %d, want none", len(s.prepared))
	}
	if got := budget.Load().Memory; got != 0 {
		t.Errorf("memory at the end: got %d, want 0", got)
	}
}

// TestLargeVariablesLeavePool guards against connections to databases that keep the large
// variables of sessions which have ended.
func TestLargeVariablesLeavePool(t *testing.T) {
	tests := []struct {
		name   string
		size   int
		closed bool
	}{
		{name: "small", size: 100},
		{name: "large", size: maxPooledVariables, closed: true},
	}
	for _, test := range tests {
		f := newFixture(cataloger.Primary)
		s := f.newSession()
		runVerb(s, executor.VerbSet, "v", strings.Repeat("x", test.size))
		if got := runVerb(s, executor.VerbRead, "key").Code; got != executor.CodeNone {
			t.Fatalf("%s: read: got %v, want success", test.name, got)
		}
		if got := f.lastTransport.isClosed(); got != test.closed {
			t.Errorf("%s: connection closed: got %v, want %v", test.name, got, test.closed)
		}
	}
}

// TestLoggedNamesAreShort guards against names of up to 1 MiB in log lines, which wait in
// memory until they are written.
func TestLoggedNamesAreShort(t *testing.T) {
	if got := len(shortenName(strings.Repeat("n", 1<<20))); got > maxLoggedName+len("...") {
		t.Errorf("got %d bytes, want at most %d", got, maxLoggedName)
	}
	if got := shortenName("pay"); got != "pay" {
		t.Errorf("got %q, want pay", got)
	}
}
