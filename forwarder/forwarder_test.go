package forwarder

import (
	"bytes"
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/endiveturn/endiveturn/budgeter"
	"github.com/endiveturn/endiveturn/executor"
)

// TestStatements guards against responses of other requests, rows that are lost between
// frames, and a connection for each statement.
func TestStatements(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		rows := bytes.Repeat([]byte("0123456789"), 100_000)
		f.run = func(_ context.Context, r *Request) Reply {
			return Reply{Response: executor.Response{Rows: rows[:len(r.Statement.Arguments)*100_000], Text: r.Statement.Arguments, State: 'I'}}
		}
		for _, text := range []string{"", "a", "1234567890", "b"} {
			got, err := f.runSingle(first(executor.VerbRead, text), time.Second, true)
			if err != nil || got.Response.Text != text || !bytes.Equal(got.Response.Rows, rows[:len(text)*100_000]) {
				t.Errorf("%q: got %q with %d bytes of rows, %v", text, got.Response.Text, len(got.Response.Rows), err)
			}
		}
		if got := len(f.conns); got != 1 {
			t.Errorf("connections: got %d, want 1", got)
		}
	})
}

// TestSlowOperationIsNotSuspected guards against a pool host that is suspected while it
// works on a long statement.
func TestSlowOperationIsNotSuspected(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		f.run = func(context.Context, *Request) Reply {
			time.Sleep(2 * time.Second)
			return Reply{Response: executor.Response{State: 'I'}}
		}
		if _, err := f.runSingle(first(executor.VerbRead, "x"), 3*time.Second, true); err != nil {
			t.Errorf("slow read: got %v, want a response", err)
		}
		if _, suspected, _, _ := f.counts(); suspected != 0 {
			t.Errorf("suspicions: got %d, want 0", suspected)
		}
	})
}

// TestHungHost guards against callers that fail with a pool host whose connections hang:
// reads must be given up in time for another attempt, writes must be awaited until their
// deadline, and a late response must be delivered.
func TestHungHost(t *testing.T) {
	tests := []struct {
		name string
		// abandon is set for reads.
		abandon bool
		// continueAfter is when the connection continues, 0 for never.
		continueAfter time.Duration
		wantErr       error
		wantTook      time.Duration
	}{
		{name: "read", abandon: true, wantErr: ErrSilent, wantTook: SilenceTimeout},
		{name: "write", wantErr: ErrTimeout, wantTook: 800 * time.Millisecond},
		{name: "late response", continueAfter: 600 * time.Millisecond, wantTook: 600 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, f *fixture) {
				f.run = func(context.Context, *Request) Reply {
					time.Sleep(20 * time.Millisecond)
					return Reply{Response: executor.Response{State: 'I'}}
				}
				if _, err := f.runSingle(first(executor.VerbRead, "x"), time.Second, true); err != nil {
					t.Fatal(err)
				}
				conn := f.conns[0]
				time.AfterFunc(10*time.Millisecond, func() { conn.hang(true) })
				if test.continueAfter > 0 {
					time.AfterFunc(test.continueAfter, func() { conn.hang(false) })
				}
				began := time.Now()
				_, err := f.runSingle(first(executor.VerbWrite, "x"), 800*time.Millisecond, test.abandon)
				if !errors.Is(err, test.wantErr) || (err == nil) != (test.wantErr == nil) {
					t.Errorf("got %v, want %v", err, test.wantErr)
				}
				if took := time.Since(began); took < test.wantTook || took > test.wantTook+10*time.Millisecond {
					t.Errorf("took %v, want %v", took, test.wantTook)
				}
				if f.client.Detector.Usable(testTarget.Name, testTarget.Incarnation) {
					t.Error("a silent host is usable")
				}
			})
		})
	}
}

// TestSuspendedCaller guards against a pool host that is suspected by a host that was
// suspended itself, although the response has arrived meanwhile.
func TestSuspendedCaller(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		var suspended time.Duration
		var mu sync.Mutex
		f.client.Now = func() time.Time {
			mu.Lock()
			defer mu.Unlock()
			return time.Now().Add(suspended)
		}
		f.client.Detector.Now = f.client.Now
		f.run = func(context.Context, *Request) Reply {
			time.Sleep(20 * time.Millisecond)
			return Reply{Response: executor.Response{State: 'I'}}
		}
		if _, err := f.runSingle(first(executor.VerbRead, "x"), time.Minute, true); err != nil {
			t.Fatal(err)
		}
		conn := f.conns[0]
		time.AfterFunc(10*time.Millisecond, func() {
			conn.hang(true)
			mu.Lock()
			defer mu.Unlock()
			suspended = 2 * time.Second
		})
		time.AfterFunc(SilenceTimeout+lateTimerGrace/2, func() { conn.hang(false) })
		if _, err := f.runSingle(first(executor.VerbRead, "x"), time.Minute, true); err != nil {
			t.Errorf("read of a host that was suspended: got %v, want the response", err)
		}
		if _, suspected, _, _ := f.counts(); suspected != 0 {
			t.Errorf("suspicions: got %d, want 0", suspected)
		}
	})
}

// TestVerifyIfDue guards against a host that forwards to a pool host that it could know to
// be out of reach, and against checks for each operation.
func TestVerifyIfDue(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		for range 5 {
			f.client.VerifyIfDue(testTarget)
		}
		synctest.Wait()
		if _, suspected, _, _ := f.counts(); suspected != 0 || len(f.conns) != 1 {
			t.Errorf("host that replies: got %d suspicions and %d connections, want 0 and 1", suspected, len(f.conns))
		}
		f.record(func() { f.unreachable = true })
		time.Sleep(verifyInterval)
		f.client.VerifyIfDue(testTarget)
		synctest.Wait()
		if _, suspected, _, _ := f.counts(); suspected != 1 {
			t.Errorf("host that does not reply: got %d suspicions, want 1", suspected)
		}
	})
}

// TestLostConnection guards against a statement that counts as not sent although a part of
// it may have arrived, and against one that counts as sent although its connection had
// been closed before.
func TestLostConnection(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		f.run = func(context.Context, *Request) Reply {
			_ = f.conns[0].Close()
			return Reply{Response: executor.Response{State: 'I'}}
		}
		if _, err := f.runSingle(first(executor.VerbWrite, "x"), time.Second, false); !errors.Is(err, ErrLost) {
			t.Errorf("connection lost during the statement: got %v, want ErrLost", err)
		}
		f.run = func(context.Context, *Request) Reply { return Reply{Response: executor.Response{State: 'I'}} }
		stream, err := f.client.Open(context.Background(), testTarget)
		if err != nil {
			t.Fatal(err)
		}
		_ = f.conns[1].Close()
		synctest.Wait()
		if _, err := stream.Run(first(executor.VerbWrite, "x"), time.Now().Add(time.Second), false); !errors.Is(err, ErrNotSent) {
			t.Errorf("connection lost before the statement: got %v, want ErrNotSent", err)
		}
		stream.Close()
	})
}

// TestUnreachableHost guards against operations that wait for long for a host that can't
// be reached, and against a host that is not used again when it returns.
func TestUnreachableHost(t *testing.T) {
	for _, test := range []struct {
		name               string
		unreachable, hangs bool
		wantWithin         time.Duration
	}{
		{name: "refuses connections", unreachable: true},
		{name: "accepts connections and hangs", hangs: true, wantWithin: dialTimeout},
	} {
		t.Run(test.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, f *fixture) {
				f.unreachable, f.hangs = test.unreachable, test.hangs
				began := time.Now()
				if _, err := f.runSingle(first(executor.VerbWrite, "x"), time.Second, false); !errors.Is(err, ErrNotSent) {
					t.Errorf("got %v, want ErrNotSent", err)
				}
				if took := time.Since(began); took > test.wantWithin+time.Millisecond {
					t.Errorf("took %v, want at most %v", took, test.wantWithin)
				}
				f.record(func() { f.unreachable, f.hangs = false, false })
				f.client.ProbeIfDue(testTarget)
				synctest.Wait()
				if _, _, regained, _ := f.counts(); regained != 0 {
					t.Error("host was tried before its backoff has passed")
				}
				time.Sleep(minProbeBackoff)
				f.client.ProbeIfDue(testTarget)
				synctest.Wait()
				if _, _, regained, _ := f.counts(); regained != 1 || !f.client.Detector.Usable(testTarget.Name, testTarget.Incarnation) {
					t.Errorf("host that returned: regained %d times, want 1", regained)
				}
			})
		})
	}
}

// TestTransactionEndsWithItsStream guards against transactions that stay open on a pool
// host whose caller has gone, with its connection reset or hanging.
func TestTransactionEndsWithItsStream(t *testing.T) {
	for _, test := range []struct {
		name       string
		leave      func(f *fixture, stream *Stream)
		wantWithin time.Duration
	}{
		{name: "caller ends it", leave: func(_ *fixture, stream *Stream) { stream.Close() }},
		{name: "connection is reset", leave: func(f *fixture, _ *Stream) { _ = f.conns[0].Close() }},
		{name: "connection hangs", leave: func(f *fixture, _ *Stream) { f.conns[0].hang(true) }, wantWithin: 3 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, f *fixture) {
				f.run = func(context.Context, *Request) Reply { return Reply{Response: executor.Response{State: 'T'}} }
				stream, err := f.client.Open(context.Background(), testTarget)
				if err != nil {
					t.Fatal(err)
				}
				for i, request := range []*Request{first(executor.VerbWrite, "x"), {Statement: executor.Request{ID: "2", Verb: executor.VerbWrite}}} {
					if reply, err := stream.Run(request, time.Now().Add(time.Second), false); err != nil || reply.EndsOperation() {
						t.Fatalf("statement %d: got %+v, %v, want an open transaction", i, reply, err)
					}
				}
				if closed, _, _, _ := f.counts(); closed != 0 || f.server.Active() != 1 {
					t.Errorf("open transaction: %d ended, %d active, want 0 and 1", closed, f.server.Active())
				}
				test.leave(f, stream)
				time.Sleep(test.wantWithin)
				synctest.Wait()
				if closed, _, _, _ := f.counts(); closed != 1 || f.server.Active() != 0 {
					t.Errorf("after the caller has gone: %d ended, %d active, want 1 and 0", closed, f.server.Active())
				}
			})
		})
	}
}

// TestStatementOfEndedTransaction guards against a statement that runs on its own after
// the pool host has rolled its transaction back.
func TestStatementOfEndedTransaction(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		runs := 0
		f.run = func(context.Context, *Request) Reply {
			runs++
			return Reply{Response: executor.Response{State: 'I'}}
		}
		request := &Request{Statement: executor.Request{ID: "2", Verb: executor.VerbWrite}}
		got, err := f.runSingle(request, time.Second, false)
		if err != nil || got.Response.Code != executor.CodeAborted || runs != 0 {
			t.Errorf("got %+v, %v and %d runs, want aborted and none", got.Response, err, runs)
		}
	})
}

// TestRefusals guards against operations that run on a host that stops or has no room, and
// against callers that do not learn that it stops.
func TestRefusals(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		release := make(chan struct{})
		f.run = func(context.Context, *Request) Reply {
			<-release
			return Reply{Response: executor.Response{State: 'I'}}
		}
		var running sync.WaitGroup
		for range f.server.MaxOperations {
			running.Go(func() {
				if reply, err := f.runSingle(first(executor.VerbWrite, "x"), 10*time.Second, false); err != nil || reply.Refused {
					t.Errorf("operation within the limit: got %+v, %v", reply, err)
				}
			})
		}
		time.Sleep(100 * time.Millisecond)
		if reply, err := f.runSingle(first(executor.VerbWrite, "x"), time.Second, false); err != nil || !reply.Refused || reply.Stopping {
			t.Errorf("operation above the limit: got %+v, %v, want a refusal", reply, err)
		}
		f.server.Stop()
		if reply, err := f.runSingle(first(executor.VerbWrite, "x"), time.Second, false); err != nil || !reply.Refused {
			t.Errorf("operation on a stopping host: got %+v, %v, want a refusal", reply, err)
		}
		if f.client.Detector.Usable(testTarget.Name, testTarget.Incarnation) {
			t.Error("a stopping host is usable")
		}
		if _, suspected, _, stopping := f.counts(); suspected != 0 || stopping != 1 {
			t.Errorf("got %d suspicions and %d notices of a stop, want 0 and 1", suspected, stopping)
		}
		close(release)
		running.Wait()
	})
}

// TestJudge guards against hosts that are tried too often while they are out of reach, or
// that stay suspected or stopping after a restart.
func TestJudge(t *testing.T) {
	now := time.Unix(0, 0)
	j := &FailureDetector{Now: func() time.Time { return now }}
	if !j.Usable("a", "1") || j.BeginProbe("a") {
		t.Error("a host that nothing is known of is not usable, or is tried")
	}
	for i, backoff := range []time.Duration{500, 1000, 2000, 4000, 4000} {
		backoff *= time.Millisecond
		if i == 0 && !j.Suspect("a", "1") || j.Suspect("a", "1") || j.Usable("a", "1") {
			t.Error("suspicion is not recorded once")
		}
		now = now.Add(backoff - time.Millisecond)
		if j.BeginProbe("a") {
			t.Errorf("probe %d began before %v", i, backoff)
		}
		now = now.Add(time.Millisecond)
		if !j.BeginProbe("a") || j.BeginProbe("a") {
			t.Errorf("probe %d did not begin once after %v", i, backoff)
		}
		j.EndProbe("a", false)
	}
	now = now.Add(maxProbeBackoff)
	if !j.BeginProbe("a") || !j.EndProbe("a", true) || !j.Usable("a", "1") {
		t.Error("host that replied to a probe is not usable")
	}
	if !j.MarkStopping("a", "1") || j.Usable("a", "1") || !j.Usable("a", "2") {
		t.Error("want a stopping process to be unusable until its next process")
	}
}

// TestStatementsAfterStopTime guards against a COMMIT that a stopping host runs while its
// process exits, which leaves its outcome unknown, and against transactions that keep the
// host from stopping.
func TestStatementsAfterStopTime(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		ran := 0
		f.run = func(context.Context, *Request) Reply {
			ran++
			return Reply{Response: executor.Response{State: executor.StateTransaction}}
		}
		stream, err := f.client.Open(context.Background(), testTarget)
		if err != nil {
			t.Error(err)
			return
		}
		defer stream.Close()
		f.server.StopAt(time.Now().Add(time.Second))
		steps := []struct {
			name string
			wait time.Duration
			want executor.Code
		}{
			{name: "before the stop time", want: executor.CodeNone},
			{name: "after the stop time", wait: 2 * time.Second, want: executor.CodeAborted},
		}
		for _, step := range steps {
			time.Sleep(step.wait)
			request := first(executor.VerbWrite, "x")
			if step.wait > 0 {
				request = &Request{Statement: executor.Request{ID: "id", Verb: executor.VerbCommit}}
			}
			reply, err := stream.Run(request, time.Now().Add(time.Second), false)
			if err != nil || reply.Response.Code != step.want {
				t.Errorf("%s: got %v, %v, want %v", step.name, reply.Response.Code, err, step.want)
			}
		}
		if ran != 1 || f.server.Active() != 0 {
			t.Errorf("ran %d statements, %d operations open, want 1, 0", ran, f.server.Active())
		}
	})
}

// TestHostOfFormerVersion guards against operations that wait for, or are reported as sent
// to, a host that does not know the protocol, as during a rolling update.
func TestHostOfFormerVersion(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		f.client.Dial = func(context.Context, string) (net.Conn, error) {
			here, there := net.Pipe()
			go func() { _ = drpcserver.New(drpcmux.New()).ServeOne(context.Background(), there) }()
			return here, nil
		}
		began := time.Now()
		_, err := f.client.Open(context.Background(), testTarget)
		if !errors.Is(err, ErrNotSent) {
			t.Errorf("got %v, want %v", err, ErrNotSent)
		}
		if took := time.Since(began); took >= dialTimeout {
			t.Errorf("took %v, want less than %v", took, dialTimeout)
		}
		if f.client.Detector.Usable(testTarget.Name, testTarget.Incarnation) {
			t.Error("the host is still used")
		}
	})
}

// TestFullHostIsNotSuspected guards against a host that takes no more connections and then
// counts as failed, and against a connection attempt for each operation meanwhile.
func TestFullHostIsNotSuspected(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		serve, dials, full := f.client.Dial, 0, true
		f.client.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			dials++
			if !full {
				return serve(ctx, address)
			}
			here, there := net.Pipe()
			go func() {
				defer there.Close()
				_, _ = there.Write(RefusalFrame()) // an error shows on the other end
				_, _ = io.Copy(io.Discard, there)
			}()
			return here, nil
		}
		for range 3 {
			_, err := f.client.Open(context.Background(), testTarget)
			if !errors.Is(err, ErrFull) || !errors.Is(err, ErrNotSent) {
				t.Errorf("got %v, want %v, which wraps %v", err, ErrFull, ErrNotSent)
			}
		}
		f.client.VerifyIfDue(testTarget)
		time.Sleep(fullBackoff / 2)
		if _, suspected, _, _ := f.counts(); suspected != 0 || !f.client.Detector.Usable(testTarget.Name, testTarget.Incarnation) {
			t.Errorf("the host is suspected: %v", f.suspected)
		}
		if want := 2; dials != want {
			t.Errorf("connections tried by operations and a check: got %d, want %d", dials, want)
		}
		full = false
		time.Sleep(fullBackoff)
		if _, err := f.runSingle(first(executor.VerbRead, "x"), time.Second, false); err != nil {
			t.Errorf("operation after the host has room again: got %v, want nil", err)
		}
	})
}

// TestRequestsArePaidFor guards against statements of other hosts that run without an
// account, since a heartbeat ends the charge for what was received.
func TestRequestsArePaidFor(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		budget := &budgeter.Budget{Limits: budgeter.Limits{Memory: 1 << 20}, Now: time.Now}
		account, err := budget.Open(budgeter.Peers, "peer", func() {})
		if err != nil {
			t.Fatal(err)
		}
		f.wrapServer = func(conn net.Conn) net.Conn { return countedPipe{Conn: conn, account: account} }
		var running int64
		f.run = func(context.Context, *Request) Reply {
			running = budget.Load().Memory
			return Reply{Response: executor.Response{State: executor.StateIdle}}
		}
		for _, test := range []struct {
			size    int
			refused bool
		}{{1 << 10, false}, {100 << 10, false}, {700 << 10, true}} {
			running = 0
			request := first(executor.VerbWrite, strings.Repeat("x", test.size))
			reply, err := f.runSingle(request, time.Second, false)
			if err != nil || reply.Refused != test.refused {
				t.Errorf("request of %d bytes: got refused %v, %v, want %v", test.size, reply.Refused, err, test.refused)
			}
			if counted := running >= requestCopies*int64(test.size); counted != (test.size > uncountedRequest && !test.refused) {
				t.Errorf("request of %d bytes: memory while it runs: got %d", test.size, running)
			}
			synctest.Wait() // the memory is returned after the reply is sent
			if got := budget.Load().Memory; got != 0 {
				t.Errorf("request of %d bytes: memory afterwards: got %d, want 0", test.size, got)
			}
		}
	})
}
