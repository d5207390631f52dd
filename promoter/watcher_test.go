package promoter

import (
	"context"
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

// start runs the group and a watcher inside a synctest bubble.
func start(t *testing.T, g *fakeGroup, hosts ...string) (context.Context, []*Watcher, []chan error) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(func() {
		cancel()
		// Calls in progress end within their timeouts.
		time.Sleep(time.Second)
	})
	go g.run(ctx)
	var watchers []*Watcher
	var ends []chan error
	for _, host := range hosts {
		w := newTestWatcher(g, host)
		end := make(chan error, 1)
		go func() { end <- w.Run(ctx) }()
		watchers = append(watchers, w)
		ends = append(ends, end)
	}
	return ctx, watchers, ends
}

// Guards against a change of primary that never happens, takes longer than
// its target, or loses a confirmed write, for each way a primary can fail.
func TestPrimaryFails(t *testing.T) {
	tests := []struct {
		name  string
		fault func(d *fakeDatabase)
		cure  func(d *fakeDatabase)
	}{
		{"killed", func(d *fakeDatabase) { d.down = true }, func(d *fakeDatabase) { d.down = false }},
		{"cut off", func(d *fakeDatabase) { d.down, d.cut = true, true }, func(d *fakeDatabase) { d.down, d.cut = false, false }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newFakeGroup()
				ctx, watchers, _ := start(t, g, "h1")
				w := watchers[0]
				before := awaitHeld(t, w, time.Second)
				offset := g.write(before.Primary, before.Term)
				if err := w.Confirm(ctx, executor.Position{Term: before.Term, Offset: offset}); err != nil {
					t.Fatalf("Confirm: got %v, want nil", err)
				}
				g.set(before.Primary, test.fault)
				after := awaitOther(t, w, before.Primary, 2*time.Second)
				if after.Primary == before.Primary || after.Term <= before.Term {
					t.Errorf("primary: got %s in term %d, want another than %s in a later term than %d", after.Primary, after.Term, before.Primary, before.Term)
				}
				if after.Start.Offset <= offset {
					t.Errorf("start of the term: got offset %d, want above %d", after.Start.Offset, offset)
				}
				g.set(before.Primary, test.cure)
				time.Sleep(time.Second)
				m, _ := w.View().Member(before.Primary)
				if m.Status.Primary != after.Primary || m.Status.Term != after.Term {
					t.Errorf("former primary: got it following %q in term %d, want %q in term %d", m.Status.Primary, m.Status.Term, after.Primary, after.Term)
				}
			})
		})
	}
}

// Guards against an acknowledged write of a primary that only its client can
// reach: no replica holds it, so a promotion would lose it.
func TestConfirmNeedsReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newFakeGroup()
		ctx, watchers, _ := start(t, g, "h1")
		v := awaitHeld(t, watchers[0], time.Second)
		g.set(v.Primary, func(d *fakeDatabase) { d.cut = true })
		offset := g.write(v.Primary, v.Term)
		wait, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		err := watchers[0].Confirm(wait, executor.Position{Term: v.Term, Offset: offset})
		if !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("Confirm: got %v, want %v", err, context.DeadlineExceeded)
		}
		if !watchers[0].waiters.empty() {
			t.Error("waiters: got some after the deadline, want none")
		}
	})
}

// Guards against a promotion of unconfirmed entries of a cut-off primary over
// confirmed entries of a later term, when the cut-off primary has more.
func TestLaterTermOutranksLongerLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newFakeGroup()
		ctx, watchers, _ := start(t, g, "h1")
		w := watchers[0]
		first := awaitHeld(t, w, time.Second)
		g.set(first.Primary, func(d *fakeDatabase) { d.cut = true })
		for range 50 {
			g.write(first.Primary, first.Term)
		}
		g.set(first.Primary, func(d *fakeDatabase) { d.down = true })
		second := awaitOther(t, w, first.Primary, 2*time.Second)
		offset := g.write(second.Primary, second.Term)
		position := executor.Position{Term: second.Term, Offset: offset}
		if err := w.Confirm(ctx, position); err != nil {
			t.Fatalf("Confirm: got %v, want nil", err)
		}
		if offset <= first.Start.Offset || offset > first.Start.Offset+50 {
			t.Fatalf("offset in the later term: got %d, want one that the old primary's log reaches too", offset)
		}
		// The old primary returns in the moment that the new one dies.
		g.set(second.Primary, func(d *fakeDatabase) { d.down = true })
		g.set(first.Primary, func(d *fakeDatabase) { d.down, d.cut = false, false })
		third := awaitOther(t, w, second.Primary, 2*time.Second)
		g.mu.Lock()
		log := g.databases[third.Primary].log
		g.mu.Unlock()
		if uint64(len(log)) < offset || log[offset-1].term != second.Term {
			t.Errorf("log of %s: got %v, want the entry of term %d at offset %d", third.Primary, log, second.Term, offset)
		}
	})
}

// Guards against two holders at once when two hosts claim together, and
// against both giving up.
func TestRacingHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newFakeGroup()
		_, watchers, ends := start(t, g, "h1", "h2")
		time.Sleep(2 * time.Second)
		held := 0
		for i, w := range watchers {
			if w.View().Held(time.Now()) {
				held++
				continue
			}
			select {
			case err := <-ends[i]:
				if !errors.Is(err, ErrFenced) {
					t.Errorf("Run: got %v, want %v", err, ErrFenced)
				}
			default:
			}
		}
		if held > 1 {
			t.Errorf("holders: got %d, want at most 1", held)
		}
	})
}

// Guards against an old holder that serves after its databases belong to
// another, and against a new one that acknowledges while the old one's lease
// may still be running.
func TestTakeoverFromUnreachableHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newFakeGroup()
		ctx, watchers, ends := start(t, g, "h1")
		awaitHeld(t, watchers[0], time.Second)
		g.mu.Lock()
		g.blocked["h1"] = true
		g.mu.Unlock()
		g.set("db3", func(d *fakeDatabase) { d.down = true })
		blockedAt := time.Now()
		second := newTestWatcher(g, "h2")
		go func() { _ = second.Run(ctx) }()
		v := awaitHeld(t, second, 2*time.Second)
		if v.AcknowledgeFrom.Before(watchers[0].View().LeaseUntil) {
			t.Errorf("AcknowledgeFrom: got %v, want not before the end of the old lease, %v", v.AcknowledgeFrom.Sub(blockedAt), watchers[0].View().LeaseUntil.Sub(blockedAt))
		}
		g.mu.Lock()
		g.blocked["h1"] = false
		g.mu.Unlock()
		time.Sleep(time.Second)
		select {
		case err := <-ends[0]:
			if !errors.Is(err, ErrFenced) {
				t.Errorf("Run of the old holder: got %v, want %v", err, ErrFenced)
			}
		default:
			t.Errorf("Run of the old holder: got no end, want ErrFenced; its view: %+v; the new holder's: %+v", watchers[0].View(), second.View())
		}
	})
}

// Guards against a planned change that starts before the writes are drained,
// and against one that promotes a database that has to leave as well.
func TestSwitchOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newFakeGroup()
		_, watchers, _ := start(t, g, "h1")
		w := watchers[0]
		var paused, resumed time.Time
		w.PauseWrites = func(context.Context) (func(), error) {
			paused = time.Now()
			return func() { resumed = time.Now() }, nil
		}
		before := awaitHeld(t, w, time.Second)
		members := fakeMembers()
		for i := range members {
			members[i].Leaving = members[i].Name == before.Primary || members[i].Name == "db3"
		}
		w.SetMembers(members)
		time.Sleep(time.Second)
		after := awaitHeld(t, w, time.Second)
		if m, _ := after.Member(after.Primary); m.Leaving || after.Primary == before.Primary {
			t.Errorf("primary: got %s (leaving %v), want one that stays", after.Primary, m.Leaving)
		}
		if paused.IsZero() || resumed.Before(paused) || resumed.Sub(paused) > 500*time.Millisecond {
			t.Errorf("pause of writes: got %v to %v, want one of less than 500ms", paused, resumed)
		}
	})
}

// Guards against a lost answer, after the call took effect, at each step of a
// claim: the service must be held in the end with one primary.
func TestLostAnswers(t *testing.T) {
	for _, lost := range []int{1, 2, 3, 4} {
		synctest.Test(t, func(t *testing.T) {
			g := newFakeGroup()
			for _, d := range g.databases {
				d.loseAnswers = lost
			}
			_, watchers, _ := start(t, g, "h1")
			v := awaitHeld(t, watchers[0], 10*time.Second)
			time.Sleep(time.Second)
			primaries := 0
			for _, m := range watchers[0].View().Members {
				if m.Status.Role == RolePrimary && m.Status.Term >= v.Term {
					primaries++
				}
			}
			if primaries != 1 {
				t.Errorf("primaries with %d lost answers: got %d, want 1", lost, primaries)
			}
		})
	}
}

// Guards against a lease that runs out on a quiet service, whose databases hold
// status queries back as long as they may and answer both at the same moment.
func TestQuietServiceStaysHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newFakeGroup()
		_, watchers, _ := start(t, g, "h1")
		v := awaitHeld(t, watchers[0], time.Second)
		g.write(v.Primary, v.Term)
		lapsed := 0
		for range 5000 {
			time.Sleep(time.Millisecond)
			if !watchers[0].View().Held(time.Now()) {
				lapsed++
			}
		}
		if lapsed > 0 {
			t.Errorf("time without a lease on a quiet service: got %d ms of 5000, want 0", lapsed)
		}
	})
}
