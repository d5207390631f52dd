package forwarder

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/executor"
)

// TestNothingRunsAfterItWasGivenUp guards against a statement that a pool host runs when it
// continues after a hang, although its caller has given it up: what a connection received
// before it was reset is still delivered.
func TestNothingRunsAfterItWasGivenUp(t *testing.T) {
	for _, test := range []struct {
		name          string
		inTransaction bool
		hang          time.Duration
		// idle is how long the connection was idle before.
		idle     time.Duration
		wantRuns int
	}{
		{name: "given up", hang: 2 * time.Second},
		{name: "given up on an older connection", idle: idleConnTimeout - time.Second, hang: 2 * time.Second},
		{name: "given up in a transaction", inTransaction: true, hang: 2 * time.Second},
		{name: "late, but awaited", hang: 400 * time.Millisecond, wantRuns: 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, f *fixture) {
				var server *hangingConn
				f.wrapServer = func(conn net.Conn) net.Conn {
					server = &hangingConn{Conn: conn, closed: make(chan struct{})}
					return server
				}
				state, runs := byte('I'), 0
				if test.inTransaction {
					state = 'T'
				}
				f.run = func(_ context.Context, r *Request) Reply {
					runs++
					if runs == 1 && r.Operation != nil && r.Statement.Arguments == "y" && r.Operation.Elapsed < test.hang {
						t.Errorf("the operation began %v ago for the pool host, want at least %v", r.Operation.Elapsed, test.hang)
					}
					return Reply{Response: executor.Response{State: state}}
				}
				stream, err := f.client.Open(context.Background(), testTarget)
				if err != nil {
					t.Fatal(err)
				}
				if _, err := stream.Run(first(executor.VerbWrite, "x"), time.Now().Add(time.Second), false); err != nil {
					t.Fatal(err)
				}
				time.Sleep(test.idle)
				runs = 0
				request := first(executor.VerbWrite, "y")
				if test.inTransaction {
					request.Operation = nil
				}
				server.hang(true)
				time.AfterFunc(test.hang, func() { server.hang(false) })
				_, err = stream.Run(request, time.Now().Add(800*time.Millisecond), false)
				if got, want := errors.Is(err, ErrTimeout), test.wantRuns == 0; got != want {
					t.Errorf("got error %v, want a timeout: %v", err, want)
				}
				stream.Close()
				time.Sleep(test.hang + time.Second)
				synctest.Wait()
				if runs != test.wantRuns {
					t.Errorf("the pool host ran the statement %d times, want %d", runs, test.wantRuns)
				}
			})
		})
	}
}

// TestDelayMeter guards against statements that are refused as too late because the clocks of
// two hosts drift, and against a hang that is taken for a drift.
func TestDelayMeter(t *testing.T) {
	var meter delayMeter
	start := time.Unix(1000, 0)
	const drift = 500e-6
	const maxError = 90 * time.Millisecond
	for at := time.Duration(0); at < 10*time.Hour; at += idleConnTimeout {
		received := start.Add(at + time.Duration(drift*float64(at)))
		if got := meter.delay(at, received); got > maxError {
			t.Fatalf("after %v: got a delay of %v, want at most %v", at, got, maxError)
		}
		at += time.Second
		received = start.Add(at + time.Duration(drift*float64(at)) + time.Second)
		if got := meter.delay(at, received); got < time.Second || got > time.Second+maxError {
			t.Fatalf("after %v: got a delay of %v, want 1s to %v", at, got, time.Second+maxError)
		}
	}
}
