package acceptor

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/endiveturn/endiveturn/executor"
)

// Guards against a batch whose class, ChangesConnectionState flag, settings or
// messages do not match the request.
func TestBatch(t *testing.T) {
	tests := []struct {
		name     string
		messages []string
		want     executor.Batch
		// contains lists byte sequences that the messages to the endpoint must
		// contain.
		contains []string
	}{
		{"read", []string{"Query SELECT 1"}, executor.Batch{Class: executor.ClassRead}, []string{"Q"}},
		{"reads in one text", []string{"Query SELECT 1; SELECT 2"}, executor.Batch{Class: executor.ClassRead}, nil},
		{"write", []string{"Query DELETE FROM t"}, executor.Batch{}, nil},
		{"begin", []string{"Query BEGIN"}, executor.Batch{Class: executor.ClassBegin}, nil},
		{"begin read only", []string{"Query BEGIN READ ONLY"}, executor.Batch{Class: executor.ClassBeginRead}, nil},
		{"temporary table", []string{"Query CREATE TEMP TABLE t AS SELECT 1"}, executor.Batch{ChangesConnectionState: true}, nil},
		{
			"extended read",
			[]string{"Parse - SELECT 1", "Bind - -", "Execute -", "Sync"},
			executor.Batch{Class: executor.ClassRead},
			[]string{"P\x00\x00\x00\x10\x00SELECT 1\x00"},
		},
		{
			"begin and write",
			[]string{"Parse - BEGIN", "Bind - -", "Execute -", "Parse - DELETE FROM t", "Bind - -", "Execute -", "Sync"},
			executor.Batch{},
			nil,
		},
		{
			"write that is only prepared",
			[]string{"Parse w DELETE FROM t", "Describe S w", "Sync"},
			executor.Batch{Class: executor.ClassRead},
			[]string{"P\x00\x00\x00\x43et_", "D\x00\x00\x00\x34Set_"},
		},
		{
			"closed statement stays at the endpoint",
			[]string{"Close S x", "Parse - SELECT 1", "Bind - -", "Execute -", "Sync"},
			executor.Batch{Class: executor.ClassRead},
			[]string{"C\x00\x00\x00\x0fSet_closed\x00"},
		},
	}
	for _, test := range tests {
		f := newFixture(t, nil)
		c := dialRaw(t, f)
		c.startup(publicStartup)
		for _, line := range test.messages {
			c.Send(parseMessage(t, line))
		}
		if got := firstError(c.read()); got != "" {
			t.Errorf("%s: got %s, want no error", test.name, got)
			continue
		}
		got, attributes := f.opener.lastBatch()
		if got.Class != test.want.Class || got.ChangesConnectionState != test.want.ChangesConnectionState || len(got.Statements) != 0 {
			t.Errorf("%s: class %v, changes connection state %v, %d statements, want %v, %v, 0", test.name,
				got.Class, got.ChangesConnectionState, len(got.Statements), test.want.Class, test.want.ChangesConnectionState)
		}
		if got.Timeout != 5*time.Second || got.MaxAge != 0 || got.Idempotent || !got.Floor.IsZero() {
			t.Errorf("%s: batch has settings that were not set: %+v", test.name, got)
		}
		for _, want := range test.contains {
			if !bytes.Contains(got.Messages, []byte(want)) {
				t.Errorf("%s: messages %q do not contain %q", test.name, got.Messages, want)
			}
		}
		if attributes.Customer != "guests" || attributes.Key != "" || attributes.Revision != 7 || !attributes.FirstExchange {
			t.Errorf("%s: attributes = %+v, want customer guests, revision 7, first exchange", test.name, attributes)
		}
	}
}

// Guards against a later batch that refers to a prepared statement by a name
// that the endpoint does not have, against endpoint names that depend on the
// names that clients choose, and against statements with different parameter
// types that share a name.
func TestPreparedStatementNames(t *testing.T) {
	f := newFixture(t, nil)
	names := map[string]bool{}
	for _, clientName := range []string{"a", "b", "-"} {
		c := dialRaw(t, f)
		c.startup(publicStartup)
		for _, line := range []string{"Parse " + clientName + " SELECT $1", "Sync"} {
			c.Send(parseMessage(t, line))
		}
		c.read()
		for _, line := range []string{"Bind - " + clientName + " x", "Execute -", "Bind - " + clientName + " y", "Execute -", "Sync"} {
			c.Send(parseMessage(t, line))
		}
		c.read()
		batch, _ := f.opener.lastBatch()
		if len(batch.Statements) != 1 || batch.Statements[0].Query != "SELECT $1" {
			t.Fatalf("statement %q: batch refers to %v, want one statement", clientName, batch.Statements)
		}
		name := batch.Statements[0].Name
		names[name] = true
		if got := bytes.Count(batch.Messages, []byte("\x00"+name+"\x00")); got != 2 {
			t.Errorf("statement %q: %q occurs %d times in the messages, want 2", clientName, name, got)
		}
	}
	if len(names) != 1 {
		t.Errorf("the same text has the endpoint names %v, want one", names)
	}
	first := newPreparedStatement(&pgproto3.Parse{Query: "SELECT $1", ParameterOIDs: []uint32{23}})
	if names[first.endpointName()] {
		t.Error("statements with different parameter types have the same endpoint name")
	}
}

// Guards against clients that use unlimited memory for prepared statements.
func TestPreparedStatementLimits(t *testing.T) {
	f := newFixture(t, func(f *fixture) { f.MaxStatements, f.MaxStatementBytes = 3, 100 })
	c := dialRaw(t, f)
	c.startup(publicStartup)
	prepare := func(name, sql string) string {
		c.Send(&pgproto3.Parse{Name: name, Query: sql})
		c.Send(&pgproto3.Sync{})
		return firstError(c.read())
	}
	for i := range 3 {
		if got := prepare(fmt.Sprint("s", i), "SELECT 1"); got != "" {
			t.Errorf("statement %d: got %s, want no error", i, got)
		}
	}
	if got := prepare("s3", "SELECT 1"); got != "ERROR 54000" {
		t.Errorf("fourth statement: got %q, want ERROR 54000", got)
	}
	c.query("DEALLOCATE ALL")
	if got := prepare("long", "SELECT "+strings.Repeat("1", 100)); got != "ERROR 54000" {
		t.Errorf("long statement: got %q, want ERROR 54000", got)
	}
	if got := prepare("s3", "SELECT 1"); got != "" {
		t.Errorf("statement after DEALLOCATE ALL: got %q, want no error", got)
	}
}

// Guards against clients that exceed the limits for prepared statements with long
// names or with several statements in one batch, and against limits that count
// statements which are closed, replaced or portals.
func TestPreparedStatementLimitsInBatch(t *testing.T) {
	half := strings.Repeat("1", 43) // SELECT and this are 50 bytes
	tests := []struct {
		name   string
		before []string
		batch  []string
		want   string
	}{
		{"long name", nil, []string{"Parse " + strings.Repeat("n", 93) + " SELECT 1"}, "ERROR 54000"},
		{"longest name", nil, []string{"Parse " + strings.Repeat("n", 92) + " SELECT 1"}, ""},
		{"two statements too long together", nil, []string{"Parse a SELECT " + half, "Parse b SELECT " + half}, "ERROR 54000"},
		{"two statements that fit", nil, []string{"Parse - SELECT " + half, "Parse b SELECT " + half[1:]}, ""},
		{"four statements", nil, []string{"Parse a SELECT 1", "Parse b SELECT 1", "Parse c SELECT 1", "Parse d SELECT 1"}, "ERROR 54000"},
		{"closed first", []string{"Parse a SELECT " + half + half[7:]}, []string{"Close S a", "Parse b SELECT " + half + half[7:]}, ""},
		{"closed before the fourth", []string{"Parse a SELECT 1", "Parse b SELECT 1", "Parse c SELECT 1"}, []string{"Close S a", "Parse d SELECT 1"}, ""},
		{"closed, then two more", []string{"Parse a SELECT 1", "Parse b SELECT 1", "Parse c SELECT 1"}, []string{"Close S a", "Parse d SELECT 1", "Parse e SELECT 1"}, "ERROR 54000"},
		{"closed although unknown", []string{"Parse a SELECT 1", "Parse b SELECT 1", "Parse c SELECT 1"}, []string{"Close S x", "Parse d SELECT 1"}, "ERROR 54000"},
		{"unnamed statement replaced", []string{"Parse - SELECT " + half + half, "Parse b S"}, []string{"Parse - SELECT " + half + half[1:]}, ""},
		{"fourth replaced", []string{"Parse a SELECT 1", "Parse b SELECT 1", "Parse - SELECT 1"}, []string{"Parse - SELECT 2"}, ""},
		{"portals closed", nil, []string{"Close P x", "Close P y", "Close P z", "Parse a SELECT 1"}, ""},
	}
	for _, test := range tests {
		f := newFixture(t, func(f *fixture) { f.MaxStatements, f.MaxStatementBytes = 3, 100 })
		c := dialRaw(t, f)
		c.startup(publicStartup)
		run := func(lines []string) string {
			for _, line := range lines {
				c.Send(parseMessage(t, line))
			}
			c.Send(&pgproto3.Sync{})
			return firstError(c.read())
		}
		if got := run(test.before); got != "" {
			t.Errorf("%s: statements before: got %s, want no error", test.name, got)
		}
		if got := run(test.batch); got != test.want {
			t.Errorf("%s: got %q, want %q", test.name, got, test.want)
		}
	}
}

// Guards against a connection that is reused although a portal, which one batch has
// bound and a later one executes, changes its state.
func TestPortalChangesConnectionState(t *testing.T) {
	tests := []struct {
		name  string
		query string
		want  bool
	}{
		{"temporary table", "CREATE TEMP TABLE t AS SELECT 1", true},
		{"setting", "SELECT set_config('work_mem', '1GB', false)", true},
		{"session lock", "SELECT pg_advisory_lock(1)", true},
		{"read", "SELECT 1", false},
		{"write", "DELETE FROM t", false},
	}
	for _, test := range tests {
		f := newFixture(t, nil)
		c := dialRaw(t, f)
		c.startup(publicStartup)
		c.query("BEGIN")
		changes := false
		for _, batch := range [][]string{{"Parse s " + test.query}, {"Bind p s"}, {"Execute p"}} {
			for _, line := range batch {
				c.Send(parseMessage(t, line))
			}
			c.Send(&pgproto3.Sync{})
			if got := firstError(c.read()); got != "" {
				t.Errorf("%s: %v: got %s, want no error", test.name, batch, got)
			}
			last, _ := f.opener.lastBatch()
			changes = changes || last.ChangesConnectionState
		}
		if changes != test.want {
			t.Errorf("%s: changes connection state in some batch = %v, want %v", test.name, changes, test.want)
		}
	}
}

// Guards against proxy settings that are not passed on in the batch.
func TestBatchSettings(t *testing.T) {
	f := newFixture(t, nil)
	c := dialRaw(t, f)
	c.startup(map[string]string{
		"user": "guest", "database": "public", settingSession: "lunch", settingMaxAge: "1500",
		settingIdempotent: "on", settingDeadline: "2s", settingToken: "orders/4/10",
	})
	c.query("SELECT 1")
	batch, attributes := f.opener.lastBatch()
	if batch.MaxAge != 1500*time.Millisecond || !batch.Idempotent || batch.Timeout != 2*time.Second ||
		batch.Floor != (executor.Position{Term: 4, Offset: 10}) {
		t.Errorf("batch = %+v, want the settings from the startup parameters", batch)
	}
	if attributes.Session != "session/lunch" || attributes.FirstExchange {
		t.Errorf("attributes = %+v, want session/lunch, not the first exchange", attributes)
	}
	c.query("SET endiveturn.token = 'orders/3/5'")
	c.query("INSERT INTO t VALUES (1)")
	c.query("SELECT 1")
	if batch, _ := f.opener.lastBatch(); batch.Floor != (executor.Position{Term: 4, Offset: 10}) {
		t.Errorf("floor = %v after a lower token and a lower commit, want 4/10", batch.Floor)
	}
}

// Guards against connections without a session name that share a session, or
// that are marked as the first exchange again after a batch has run.
func TestDefaultSession(t *testing.T) {
	f := newFixture(t, nil)
	sessions := map[string]bool{}
	for range 2 {
		c := dialRaw(t, f)
		c.startup(publicStartup)
		c.query("REFUSE 53300 NOT_RUN")
		c.query("SELECT 1")
		if _, attributes := f.opener.lastBatch(); !attributes.FirstExchange {
			t.Error("FirstExchange is not set before the first batch has run")
		}
		c.query("SELECT 1")
		_, attributes := f.opener.lastBatch()
		if attributes.FirstExchange {
			t.Error("FirstExchange is set after a batch has run")
		}
		sessions[attributes.Session] = true
	}
	if len(sessions) != 2 {
		t.Errorf("two connections have the sessions %v, want one each", sessions)
	}
}
