package promoter

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/executor"
)

func newTestWatcher(g *fakeGroup, host string) *Watcher {
	return &Watcher{
		Service:      "ledger",
		Host:         host,
		Members:      fakeMembers(),
		Dial:         g.dial(host),
		DrainTimeout: time.Second,
		Now:          time.Now,
		Logger:       slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
}

// startWatchers runs the group and one watcher per host inside a synctest bubble.
// Each channel receives the result of one watcher's Run.
func startWatchers(t *testing.T, g *fakeGroup, hosts ...string) (context.Context, []*Watcher, []chan error) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(func() {
		cancel()
		// Wait until calls in progress have ended, which their timeouts ensure.
		time.Sleep(time.Second)
	})
	go g.run(ctx)
	var watchers []*Watcher
	var runErrs []chan error
	for _, host := range hosts {
		w := newTestWatcher(g, host)
		runErr := make(chan error, 1)
		go func() { runErr <- w.Run(ctx) }()
		watchers = append(watchers, w)
		runErrs = append(runErrs, runErr)
	}
	return ctx, watchers, runErrs
}

// TestPrimaryFailover guards against a failover that does not happen, exceeds its
// limit or loses a confirmed write, for each way in which a primary can fail.
func TestPrimaryFailover(t *testing.T) {
	tests := []struct {
		name   string
		fault  func(d *fakeDatabase)
		repair func(d *fakeDatabase)
	}{
		{"killed", func(d *fakeDatabase) { d.down = true }, func(d *fakeDatabase) { d.down = false }},
		{"partitioned", func(d *fakeDatabase) { d.down, d.replicationStopped = true, true }, func(d *fakeDatabase) { d.down, d.replicationStopped = false, false }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newFakeGroup()
				ctx, watchers, _ := startWatchers(t, g, "h1")
				w := watchers[0]
				before := awaitLease(t, w, time.Second)
				offset := g.write(before.Primary, before.Term)
				if err := w.Confirm(ctx, executor.Position{Term: before.Term, Offset: offset}); err != nil {
					t.Fatalf("Confirm: got %v, want nil", err)
				}
				g.update(before.Primary, test.fault)
				after := awaitNewPrimary(t, w, before.Primary, 2*time.Second)
				if after.Primary == before.Primary || after.Term <= before.Term {
					t.Errorf("primary: got %s in term %d, want one other than %s in a later term than %d", after.Primary, after.Term, before.Primary, before.Term)
				}
				if after.Start.Offset <= offset {
					t.Errorf("start of the term: got offset %d, want above %d", after.Start.Offset, offset)
				}
				g.update(before.Primary, test.repair)
				time.Sleep(time.Second)
				m, _ := w.View().Member(before.Primary)
				if m.Status.Primary != after.Primary || m.Status.Term != after.Term {
					t.Errorf("former primary: got it following %q in term %d, want %q in term %d", m.Status.Primary, m.Status.Term, after.Primary, after.Term)
				}
			})
		})
	}
}

// TestConfirmNeedsReplica guards against acknowledging a write of a primary that is
// partitioned from its replicas but reachable by clients: no replica has the write,
// so a promotion would lose it.
func TestConfirmNeedsReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newFakeGroup()
		ctx, watchers, _ := startWatchers(t, g, "h1")
		v := awaitLease(t, watchers[0], time.Second)
		g.update(v.Primary, func(d *fakeDatabase) { d.replicationStopped = true })
		offset := g.write(v.Primary, v.Term)
		wait, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		err := watchers[0].Confirm(wait, executor.Position{Term: v.Term, Offset: offset})
		if !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("Confirm: got %v, want %v", err, context.DeadlineExceeded)
		}
		if !watchers[0].waiters.empty() {
			t.Error("waiters after the deadline: got some, want none")
		}
	})
}

// TestLaterTermOutranksLongerLog guards against promoting a former primary whose log
// is longer than the new primary's, but whose additional entries are unconfirmed
// because it was partitioned, over confirmed entries of a later term.
func TestLaterTermOutranksLongerLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newFakeGroup()
		ctx, watchers, _ := startWatchers(t, g, "h1")
		w := watchers[0]
		first := awaitLease(t, w, time.Second)
		g.update(first.Primary, func(d *fakeDatabase) { d.replicationStopped = true })
		for range 50 {
			g.write(first.Primary, first.Term)
		}
		g.update(first.Primary, func(d *fakeDatabase) { d.down = true })
		second := awaitNewPrimary(t, w, first.Primary, 2*time.Second)
		offset := g.write(second.Primary, second.Term)
		position := executor.Position{Term: second.Term, Offset: offset}
		if err := w.Confirm(ctx, position); err != nil {
			t.Fatalf("Confirm: got %v, want nil", err)
		}
		if offset <= first.Start.Offset || offset > first.Start.Offset+50 {
			t.Fatalf("offset in the later term: got %d, want one that the old primary's log also contains", offset)
		}
		// The old primary recovers at the moment when the new one fails.
		g.update(second.Primary, func(d *fakeDatabase) { d.down = true })
		g.update(first.Primary, func(d *fakeDatabase) { d.down, d.replicationStopped = false, false })
		third := awaitNewPrimary(t, w, second.Primary, 2*time.Second)
		g.mu.Lock()
		log := g.databases[third.Primary].log
		g.mu.Unlock()
		if uint64(len(log)) < offset || log[offset-1].term != second.Term {
			t.Errorf("log of %s: got %v, want the entry of term %d at offset %d", third.Primary, log, second.Term, offset)
		}
	})
}

// TestConcurrentClaims guards against two holders, or none, when two hosts claim the
// service at the same time, against databases that follow another than the holder's
// primary, and against a Run that ends with an error other than ErrFenced.
func TestConcurrentClaims(t *testing.T) {
	for _, hosts := range [][]string{{"h1", "h2"}, {"h2", "h1"}, {"h3", "h4"}} {
		for _, delay := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond, 100 * time.Millisecond} {
			t.Run(fmt.Sprint(hosts, delay), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := newFakeGroup()
					ctx, watchers, runErrs := startWatchers(t, g, hosts[0])
					time.Sleep(delay)
					second := newTestWatcher(g, hosts[1])
					secondErr := make(chan error, 1)
					go func() { secondErr <- second.Run(ctx) }()
					time.Sleep(2 * time.Second)
					checkOneHolder(t, g, append(watchers, second), append(runErrs, secondErr))
				})
			})
		}
	}
}

// checkOneHolder checks that one watcher holds the service in the term of all
// databases, and that the others have ended with ErrFenced.
func checkOneHolder(t *testing.T, g *fakeGroup, watchers []*Watcher, runErrs []chan error) {
	t.Helper()
	holders := 0
	for i, w := range watchers {
		v := w.View()
		if v.HasLease(time.Now()) {
			holders++
			for _, name := range []string{"db1", "db2", "db3"} {
				g.update(name, func(d *fakeDatabase) {
					if d.term != v.Term || d.primary != v.Primary {
						t.Errorf("%s: got term %d and primary %q, want those of the holder, %d and %q", name, d.term, d.primary, v.Term, v.Primary)
					}
				})
			}
			continue
		}
		select {
		case err := <-runErrs[i]:
			if !errors.Is(err, ErrFenced) {
				t.Errorf("Run of watcher %d: got %v, want %v", i, err, ErrFenced)
			}
		default:
			t.Errorf("watcher %d neither holds the service nor has ended", i)
		}
	}
	if holders != 1 {
		t.Errorf("holders: got %d, want 1", holders)
	}
}

// TestTakeoverFromUnreachableHolder guards against an old holder that serves after
// another host has taken over its databases, and against a new holder that
// acknowledges writes while the old one's lease may still be valid.
func TestTakeoverFromUnreachableHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newFakeGroup()
		ctx, watchers, runErrs := startWatchers(t, g, "h1")
		awaitLease(t, watchers[0], time.Second)
		g.mu.Lock()
		g.blockedHosts["h1"] = true
		g.mu.Unlock()
		g.update("db3", func(d *fakeDatabase) { d.down = true })
		blockedAt := time.Now()
		second := newTestWatcher(g, "h2")
		go func() { _ = second.Run(ctx) }()
		v := awaitLease(t, second, 2*time.Second)
		if v.AcknowledgeFrom.Before(watchers[0].View().LeaseUntil) {
			t.Errorf("AcknowledgeFrom: got %v, want not before the end of the old lease, %v", v.AcknowledgeFrom.Sub(blockedAt), watchers[0].View().LeaseUntil.Sub(blockedAt))
		}
		g.mu.Lock()
		g.blockedHosts["h1"] = false
		g.mu.Unlock()
		time.Sleep(time.Second)
		select {
		case err := <-runErrs[0]:
			if !errors.Is(err, ErrFenced) {
				t.Errorf("Run of the old holder: got %v, want %v", err, ErrFenced)
			}
		default:
			t.Errorf("Run of the old holder: got no end, want ErrFenced; its view: %+v; the new holder's: %+v", watchers[0].View(), second.View())
		}
	})
}

// TestSwitchover guards against a switchover that starts before the writes are
// drained, and against one that promotes a database that is draining as well.
func TestSwitchover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newFakeGroup()
		_, watchers, _ := startWatchers(t, g, "h1")
		w := watchers[0]
		var paused, resumed time.Time
		w.PauseWrites = func(context.Context) (func(), error) {
			paused = time.Now()
			return func() { resumed = time.Now() }, nil
		}
		before := awaitLease(t, w, time.Second)
		members := fakeMembers()
		for i := range members {
			members[i].Draining = members[i].Name == before.Primary || members[i].Name == "db3"
		}
		w.SetMembers(members)
		time.Sleep(time.Second)
		after := awaitLease(t, w, time.Second)
		if m, _ := after.Member(after.Primary); m.Draining || after.Primary == before.Primary {
			t.Errorf("primary: got %s (draining %v), want one that is not draining", after.Primary, m.Draining)
		}
		if paused.IsZero() || resumed.Before(paused) || resumed.Sub(paused) > 500*time.Millisecond {
			t.Errorf("pause of writes: got %v to %v, want one of at most 500ms", paused, resumed)
		}
	})
}

// TestLostResponses guards against a claim that does not recover when a response is
// lost after the call took effect, at each step of the claim: in the end the service
// must be held with one primary.
func TestLostResponses(t *testing.T) {
	for _, lost := range []int{1, 2, 3, 4} {
		synctest.Test(t, func(t *testing.T) {
			g := newFakeGroup()
			for _, d := range g.databases {
				d.dropResponses = lost
			}
			_, watchers, _ := startWatchers(t, g, "h1")
			v := awaitLease(t, watchers[0], 10*time.Second)
			time.Sleep(time.Second)
			primaries := 0
			for _, m := range watchers[0].View().Members {
				if m.Status.Role == RolePrimary && m.Status.Term >= v.Term {
					primaries++
				}
			}
			if primaries != 1 {
				t.Errorf("primaries with %d lost responses: got %d, want 1", lost, primaries)
			}
		})
	}
}

// TestIdleServiceKeepsLease guards against a lease that expires on an idle service,
// whose databases delay their responses to status queries for the maximum time and
// respond at the same moment.
func TestIdleServiceKeepsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newFakeGroup()
		_, watchers, _ := startWatchers(t, g, "h1")
		v := awaitLease(t, watchers[0], time.Second)
		g.write(v.Primary, v.Term)
		lapsed := 0
		for range 5000 {
			time.Sleep(time.Millisecond)
			if !watchers[0].View().HasLease(time.Now()) {
				lapsed++
			}
		}
		if lapsed > 0 {
			t.Errorf("time without a lease on an idle service: got %d ms of 5000, want 0", lapsed)
		}
	})
}
