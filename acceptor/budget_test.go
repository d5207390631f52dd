package acceptor

import (
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/endiveturn/endiveturn/budgeter"
)

// newBudgetFixture returns a fixture whose budget has a number of bytes for requests and
// prepared statements, and costs nothing for connections.
func newBudgetFixture(t *testing.T, memory int64) *fixture {
	t.Helper()
	return newFixture(t, func(f *fixture) {
		f.Budget = &budgeter.Budget{Limits: budgeter.Limits{Memory: memory}, Now: time.Now}
	})
}

// awaitMemory waits until the memory in use is as wanted.
func awaitMemory(t *testing.T, f *fixture, when string, want int64) {
	t.Helper()
	var got int64
	for range 500 {
		if got = f.Budget.Load().Memory; got == want {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("%s: memory: got %d, want %d", when, got, want)
}

// TestRequestsTakeMemory guards against requests that are received without a count, and
// against memory that stays counted after a request or after the end of its connection.
func TestRequestsTakeMemory(t *testing.T) {
	f := newBudgetFixture(t, messageMemory(256<<10))
	c := dialRaw(t, f)
	c.startup(publicStartup)
	query := func(size int) string {
		c.Send(&pgproto3.Query{String: "SELECT '" + strings.Repeat("x", size) + "'"})
		return firstError(c.read())
	}
	for range 3 {
		if got := query(200 << 10); got != "" {
			t.Errorf("request within the memory: got %s, want no error", got)
		}
		awaitMemory(t, f, "after a request", 0)
	}
	if got := query(300 << 10); got != "FATAL 53200" {
		t.Errorf("request beyond the memory: got %q, want FATAL 53200", got)
	}
	awaitMemory(t, f, "after the connection", 0)
}

// TestGreatestRequestIsServed guards against a memory of one connection in which a request
// of the greatest size has no room beside the connection's other costs.
func TestGreatestRequestIsServed(t *testing.T) {
	const size = 512 << 10
	f := newFixture(t, func(f *fixture) {
		f.MaxBatchBytes = size
		limits := budgeter.Limits{ConnectionMemory: RequiredMemory(size), ConnectionCost: budgeter.ConnectionCost}
		f.Budget = &budgeter.Budget{Limits: limits, Now: time.Now}
	})
	c := dialRaw(t, f)
	c.startup(publicStartup)
	const kept = 200 << 10
	c.Send(&pgproto3.Parse{Name: "a", Query: "SELECT '" + strings.Repeat("x", kept) + "'"})
	c.Send(&pgproto3.Sync{})
	if got := firstError(c.read()); got != "" {
		t.Errorf("prepared statement: got %s, want no error", got)
	}
	c.Send(&pgproto3.Query{String: "SELECT '" + strings.Repeat("x", size-100) + "'"})
	if got := firstError(c.read()); got != "" {
		t.Errorf("request of the greatest size: got %s, want no error", got)
	}
}

// TestPreparedStatementsTakeMemory guards against prepared statements that are kept without
// a count, against refused ones that are kept, and against memory that stays counted after
// they are closed.
func TestPreparedStatementsTakeMemory(t *testing.T) {
	f := newBudgetFixture(t, 30<<10)
	c := dialRaw(t, f)
	c.startup(publicStartup)
	prepare := func(name string, size int) string {
		c.Send(&pgproto3.Parse{Name: name, Query: "SELECT '" + strings.Repeat("x", size) + "'"})
		c.Send(&pgproto3.Sync{})
		return firstError(c.read())
	}
	for _, name := range []string{"a", "b", "c", "d"} {
		if got := prepare(name, 6<<10); got != "" {
			t.Errorf("statement %s: got %s, want no error", name, got)
		}
	}
	before := f.Budget.Load().Memory
	if before < 4*6<<10 {
		t.Errorf("memory of four statements: got %d, want at least %d", before, 4*6<<10)
	}
	if got := prepare("e", 6<<10); got != "ERROR 53200" {
		t.Errorf("fifth statement: got %q, want ERROR 53200", got)
	}
	awaitMemory(t, f, "after a refused statement", before)
	c.query("DEALLOCATE ALL")
	awaitMemory(t, f, "after DEALLOCATE ALL", 0)
	if got := prepare("e", 6<<10); got != "" {
		t.Errorf("statement after DEALLOCATE ALL: got %s, want no error", got)
	}
}

// TestSlowRequest guards against clients that hold a connection by never completing a
// request, and against a deadline that also ends sessions which are idle between requests.
func TestSlowRequest(t *testing.T) {
	const timeout = 100 * time.Millisecond
	f := newFixture(t, func(f *fixture) { f.MessageTimeout = timeout })
	c := dialRaw(t, f)
	c.startup(publicStartup)
	for _, part := range [][]byte{selectOne[:3], selectOne[3:]} {
		if _, err := c.Write(part); err != nil {
			t.Fatal(err)
		}
		time.Sleep(timeout / 10)
	}
	if got := firstError(c.read()); got != "" {
		t.Errorf("request in two parts: got %s, want no error", got)
	}
	time.Sleep(3 * timeout)
	c.Send(&pgproto3.Query{String: "SELECT 1"})
	if got := firstError(c.read()); got != "" {
		t.Errorf("request after a pause: got %s, want no error", got)
	}
	if _, err := c.Write(selectOne[:3]); err != nil {
		t.Fatal(err)
	}
	if err := c.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if n, err := c.Read(make([]byte, 1)); n != 0 || err == nil || strings.Contains(err.Error(), "timeout") {
		t.Errorf("half a request: read %d bytes, %v, want the end of the connection", n, err)
	}
}

// TestConnectionsTakeDescriptors guards against clients that keep out others by opening
// connections without a startup message.
func TestConnectionsTakeDescriptors(t *testing.T) {
	const limit = 5
	f := newFixture(t, func(f *fixture) {
		limits := budgeter.Limits{}
		limits.Connections[budgeter.Clients] = limit
		f.Budget = &budgeter.Budget{Limits: limits, Now: time.Now}
	})
	for range limit {
		dialRaw(t, f)
	}
	time.Sleep(1100 * time.Millisecond) // the age from which such connections are replaced
	c := dialRaw(t, f)
	c.startup(publicStartup)
	c.Send(&pgproto3.Query{String: "SELECT 1"})
	if got := firstError(c.read()); got != "" {
		t.Errorf("client after the crowd: got %s, want no error", got)
	}
	if got := f.Budget.Load().Connections[budgeter.Clients]; got > limit {
		t.Errorf("connections: got %d, want at most %d", got, limit)
	}
}

// TestTextsSentAgainTakeMemory guards against batches that refer to large prepared
// statements, whose texts are sent to a database again without a count.
func TestTextsSentAgainTakeMemory(t *testing.T) {
	const size = 60 << 10
	f := newBudgetFixture(t, 450<<10)
	c := dialRaw(t, f)
	c.startup(publicStartup)
	names := []string{"a", "b", "c"}
	kept := int64(0)
	for _, name := range names {
		query := "SELECT '" + name + strings.Repeat("x", size) + "'"
		kept += int64(len(query) + len(name) + keptOverhead)
		c.Send(&pgproto3.Parse{Name: name, Query: query})
		c.Send(&pgproto3.Sync{})
		if got := firstError(c.read()); got != "" {
			t.Fatalf("statement %s: got %s, want no error", name, got)
		}
	}
	for _, test := range []struct {
		names []string
		want  string
	}{{names[:1], ""}, {names, "ERROR 53200"}, {names[2:], ""}} {
		for _, name := range test.names {
			c.Send(&pgproto3.Bind{PreparedStatement: name})
			c.Send(&pgproto3.Execute{})
		}
		c.Send(&pgproto3.Sync{})
		if got := firstError(c.read()); got != test.want {
			t.Errorf("batch that refers to %d statements: got %q, want %q", len(test.names), got, test.want)
		}
		awaitMemory(t, f, "after the batch", kept)
	}
}
