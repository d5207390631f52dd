package acceptor

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/endiveturn/endiveturn/budgeter"
)

// encodeAll returns a batch of the given messages and a Sync.
func encodeAll(t *testing.T, count int, message func(i int) pgproto3.FrontendMessage) []byte {
	t.Helper()
	var batch []byte
	for i := range count + 1 {
		var m pgproto3.FrontendMessage = &pgproto3.Sync{}
		if i < count {
			m = message(i)
		}
		var err error
		if batch, err = m.Encode(batch); err != nil {
			t.Fatal(err)
		}
	}
	return batch
}

// TestMessagesArePaidFor guards against batches of many small messages, each of which binds
// or closes a portal: what the proxy keeps of each is many times its size.
func TestMessagesArePaidFor(t *testing.T) {
	const count = 20_000
	tests := []struct {
		name    string
		message func(i int) pgproto3.FrontendMessage
	}{
		{"bind", func(i int) pgproto3.FrontendMessage { return &pgproto3.Bind{DestinationPortal: fmt.Sprintf("p%d", i)} }},
		{"close", func(int) pgproto3.FrontendMessage { return &pgproto3.Close{ObjectType: 'P'} }},
		{"parse", func(int) pgproto3.FrontendMessage { return &pgproto3.Parse{} }},
	}
	for _, test := range tests {
		batch := encodeAll(t, count, func(i int) pgproto3.FrontendMessage {
			if i == 0 {
				return &pgproto3.Parse{Query: "SELECT 1"}
			}
			return test.message(i)
		})
		budget := &budgeter.Budget{Now: time.Now}
		account, err := budget.Open(budgeter.Clients, "client", func() {})
		if err != nil {
			t.Fatal(err)
		}
		c := &connection{
			acceptor: &Acceptor{MaxBatchBytes: 1 << 20, MaxStatements: 10, MaxStatementBytes: 1000}, status: statusIdle, account: account,
		}
		c.reader.pay = c.payFor
		rest := batch
		c.reader.source = func(p []byte) (int, error) {
			n := copy(p, rest)
			rest = rest[n:]
			return n, nil
		}
		r, err := c.receiveRequest()
		if err != nil {
			t.Fatal(err)
		}
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		p, err := c.plan(r)
		runtime.GC()
		runtime.ReadMemStats(&after)
		if err != nil || p.refusal != nil {
			t.Errorf("%s: got %v, %v, want no error", test.name, err, p.refusal)
		}
		taken := int64(after.HeapAlloc) - int64(before.HeapAlloc)
		if got := budget.Load().Memory - messageMemory(c.paid); got < taken {
			t.Errorf("%s: %d messages take %d bytes, and the account is charged for %d", test.name, count, taken, got)
		}
		runtime.KeepAlive(p)
		r.release()
		c.endRequest()
		if got := budget.Load().Memory; got != 0 {
			t.Errorf("%s: memory afterwards: got %d, want 0", test.name, got)
		}
	}
}

// TestMessagesBeyondTheMemory guards against a batch of many small messages that runs
// although there is no memory for it, and against a connection that ends for it.
func TestMessagesBeyondTheMemory(t *testing.T) {
	f := newBudgetFixture(t, 1<<20)
	c := dialRaw(t, f)
	c.startup(publicStartup)
	for _, test := range []struct {
		messages int
		want     string
	}{{1000, ""}, {5000, "ERROR 53200"}, {1000, ""}} {
		for range test.messages {
			c.Send(&pgproto3.Parse{Query: "SELECT 1"})
		}
		c.Send(&pgproto3.Sync{})
		if got := firstError(c.read()); got != test.want {
			t.Errorf("batch of %d messages: got %q, want %q", test.messages, got, test.want)
		}
		awaitMemory(t, f, "after a batch", 0)
	}
}
