package forwarder

import (
	"bytes"
	"context"
	"net"
	"testing"
	"time"

	"github.com/endiveturn/endiveturn/budgeter"
	"github.com/endiveturn/endiveturn/executor"
)

// TestLargeForwardedResults guards against results that the entry host collects without a
// count, against a connection that is out of step after a result was dropped, and against
// a dropped result that looks like a success.
func TestLargeForwardedResults(t *testing.T) {
	const size = 3 << 20
	for _, test := range []struct {
		name   string
		memory int64
		want   executor.Code
	}{
		{name: "enough memory", memory: 10 << 20, want: executor.CodeNone},
		{name: "too little memory", memory: 1 << 20, want: executor.CodeResultTooLarge},
	} {
		t.Run(test.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, f *fixture) {
				f.run = func(context.Context, *Request) Reply {
					return Reply{Response: executor.Response{Rows: bytes.Repeat([]byte("r"), size), State: executor.StateIdle}}
				}
				budget := &budgeter.Budget{Limits: budgeter.Limits{Memory: test.memory}, Now: time.Now}
				account, err := budget.Open(budgeter.Clients, "client", func() {})
				if err != nil {
					t.Error(err)
				}
				for range 2 {
					request := first(executor.VerbRead, "x")
					request.Statement.Account = account
					reply, err := f.runSingle(request, time.Second, true)
					if err != nil || reply.Response.Code != test.want {
						t.Errorf("got %v, %v, want %v", reply.Response.Code, err, test.want)
					}
					rows, counted := int64(len(reply.Response.Rows)), budget.Load().Memory
					if test.want == executor.CodeNone && rows != size || test.want != executor.CodeNone && rows != 0 {
						t.Errorf("got %d bytes of rows", rows)
					}
					if counted < rows || rows == 0 && counted > 0 {
						t.Errorf("counted %d bytes for %d bytes of rows", counted, rows)
					}
				}
				if got := len(f.conns); got != 1 {
					t.Errorf("connections: got %d, want 1", got)
				}
			})
		})
	}
}

// A countedPipe is a connection with an account, as connections of a budgeter.Listener are.
type countedPipe struct {
	net.Conn
	account *budgeter.Account
}

func (c countedPipe) Account() *budgeter.Account { return c.account }

// TestResultsForOthersAreCounted guards against a pool host that collects results for
// other hosts without a count, and against one that goes on counting those it has sent.
func TestResultsForOthersAreCounted(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		budget := &budgeter.Budget{Limits: budgeter.Limits{Memory: 1 << 20}, Now: time.Now}
		account, err := budget.Open(budgeter.Peers, "host", func() {})
		if err != nil {
			t.Error(err)
		}
		f.wrapServer = func(conn net.Conn) net.Conn { return countedPipe{Conn: conn, account: account} }
		var refusal error
		f.run = func(_ context.Context, r *Request) Reply {
			if refusal = r.Statement.Account.Resize(budgeter.Response, 2<<20); refusal == nil {
				t.Error("a result above the memory was not refused")
			}
			if err := r.Statement.Account.Resize(budgeter.Response, 1<<19); err != nil {
				t.Errorf("a result within the memory: got %v", err)
			}
			return Reply{Response: executor.Response{State: executor.StateIdle}}
		}
		if _, err := f.runSingle(first(executor.VerbRead, "x"), time.Second, true); err != nil {
			t.Error(err)
		}
		time.Sleep(time.Millisecond)
		if got := budget.Load().Memory; got != 0 {
			t.Errorf("counted %d bytes after the reply, want 0", got)
		}
	})
}
