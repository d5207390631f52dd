package acceptor

import (
	"bytes"
	"io"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/budgeter"
	"github.com/endiveturn/endiveturn/executor"
)

// FuzzReceiveRequest guards against input that causes a panic, that is read
// past its end or the limit, that results in a batch without a final Query
// or Sync, or whose memory stays counted. The input is repeated so that batches exceed the
// size from which they are counted.
func FuzzReceiveRequest(f *testing.F) {
	query := "Q\x00\x00\x00\x0dSELECT 1\x00"
	parse := "P\x00\x00\x00\x10a\x00SELECT 1\x00\x00"
	unnamed := "P\x00\x00\x00\x0f\x00SELECT 1\x00\x00\x00"
	sync := "S\x00\x00\x00\x04"
	f.Add([]byte(query), 7, 1, "")
	f.Add([]byte(parse+sync), 1, 1, "")
	f.Add([]byte("B\x00\x00\x00\x0c\x00\x00\x00\x00\x00\x00\x00\x00E\x00\x00\x00\x09\x00\x00\x00\x00\x00S\x00\x00\x00\x04"), 600, 1, "")
	f.Add([]byte("C\x00\x00\x00\x06Sa\x00H\x00\x00\x00\x04X\x00\x00\x00\x04"), 3, 1, "")
	f.Add([]byte("d\x00\x00\x00\x05xD\x00\x00\x00\x06Sa\x00F\x00\x00\x00\x04"), 2, 1, "")
	f.Add([]byte(unnamed), 4000, 3000, sync)
	f.Add([]byte("Q\x00\x00\x80\x00"), 100, 3000, query)
	f.Fuzz(func(t *testing.T, input []byte, chunk, copies int, end string) {
		limit := 2048
		if copies > 1 {
			const maxInput = 96 << 10
			limit = 64 << 10
			input = bytes.Repeat(input, min(copies, maxInput/max(1, len(input))))
		}
		input = append(bytes.Clone(input), end...)
		budget := &budgeter.Budget{Limits: budgeter.Limits{Memory: 150 << 10}, Now: time.Now}
		account, err := budget.Open(budgeter.Clients, "client", func() {})
		if err != nil {
			t.Fatal(err)
		}
		c := &connection{
			acceptor: &Acceptor{MaxBatchBytes: limit, MaxStatements: 10, MaxStatementBytes: 1000}, status: statusIdle, account: account,
		}
		c.reader.pay = c.payFor
		receiveAll(t, c, input, chunk)
		c.endRequest()
		if got := budget.Load().Memory; got != 0 {
			t.Errorf("memory after the last request: got %d, want 0", got)
		}
	})
}

// receiveAll receives and plans what a client sends in chunks.
func receiveAll(t *testing.T, c *connection, input []byte, chunk int) {
	t.Helper()
	limit := c.acceptor.MaxBatchBytes
	rest := bytes.NewReader(input)
	c.reader.source = func(p []byte) (int, error) {
		return rest.Read(p[:min(len(p), max(1, chunk&0xfff))])
	}
	for {
		r, err := c.receiveRequest()
		var refusal *executor.Refusal
		switch {
		case errors.As(err, &refusal), errors.Is(err, io.EOF):
			return
		case err != nil:
			t.Fatalf("receiveRequest() = %v, want a refusal or io.EOF", err)
		case len(r.raw) > limit || r.end() != len(r.raw):
			t.Fatalf("request of %d bytes ends at %d, want equal and at most %d", len(r.raw), r.end(), limit)
		case len(r.raw) > uncountedRequest && c.paid < len(r.raw):
			t.Fatalf("request of %d bytes: paid for %d", len(r.raw), c.paid)
		case !bytes.Contains(input, r.raw) && !bytes.ContainsAny(input, "cdfH"):
			t.Fatalf("request %q is not part of the input", r.raw)
		}
		p, err := c.plan(r)
		if err == nil && p.refusal == nil && p.hasEndpointStatement {
			checkFrames(t, p.messages)
		}
		r.release()
		c.endRequest()
	}
}

// checkFrames checks that all messages are complete and that only the last one
// is a Query or Sync.
func checkFrames(t *testing.T, messages []byte) {
	t.Helper()
	rest := bytes.NewReader(messages)
	frames := reader{source: rest.Read}
	for {
		kind, _, err := frames.frame(nil, 1<<20)
		if err != nil {
			t.Fatalf("messages %q are truncated: %v", messages, err)
		}
		if last := rest.Len() == 0 && frames.buffered() == 0; last != (kind == 'Q' || kind == 'S') {
			t.Fatalf("messages %q: want Query or Sync as the last message only, got %c", messages, kind)
		} else if last {
			return
		}
	}
}
