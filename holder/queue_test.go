package holder

import (
	"bytes"
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/executor"
	"github.com/endiveturn/endiveturn/promoter"
)

// occupy fills the slots of the database until the returned function is called.
func (b *bench) occupy(t *testing.T, database int, class executor.Class) (release func()) {
	t.Helper()
	done := make(chan struct{}, 3)
	for i := range 3 {
		exchange := b.open(t, string(rune('x'+i)))
		go func() {
			_, _, _ = run(exchange, query("HOLD", class))
			done <- struct{}{}
		}()
	}
	b.await(t, func() bool { return b.databases[database].count("HOLD") == 3 })
	return sync.OnceFunc(func() {
		close(b.databases[database].release)
		for range 3 {
			<-done
		}
	})
}

// await waits until the condition holds.
func (b *bench) await(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(3 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not reached within 3 s: %+v", b.Stats())
		}
	}
}

// TestWhileQueued guards against batches that act on what held when they were
// queued: a key that was revoked, a replica that was taken out, a primary that
// was replaced, a caller that has gone, or a deadline that passed.
func TestWhileQueued(t *testing.T) {
	tests := []struct {
		name   string
		class  executor.Class
		change func(b *bench, revoked *atomic.Bool, leave context.CancelFunc)
		// stays is set if the batch ends while the slots are still taken.
		stays  bool
		limit  time.Duration
		code   string
		runsOn int
	}{
		{"key revoked", executor.ClassWrite, func(_ *bench, revoked *atomic.Bool, _ context.CancelFunc) { revoked.Store(true) }, false, 3 * time.Second, "28000", -1},
		{"replica leaves", executor.ClassRead, func(b *bench, _ *atomic.Bool, _ context.CancelFunc) {
			b.group.change(func(v *promoter.View) { v.Members[1].Leaving = true })
		}, false, 3 * time.Second, "", 0},
		{"primary replaced", executor.ClassWrite, func(b *bench, _ *atomic.Bool, _ context.CancelFunc) { b.promote(2) }, false, 3 * time.Second, "", 2},
		{"caller gone", executor.ClassWrite, func(_ *bench, _ *atomic.Bool, leave context.CancelFunc) { leave() }, true, 3 * time.Second, "57014", -1},
		{"deadline", executor.ClassWrite, func(*bench, *atomic.Bool, context.CancelFunc) {}, true, 300 * time.Millisecond, "53300", -1},
		{"nothing", executor.ClassRead, func(*bench, *atomic.Bool, context.CancelFunc) {}, false, 3 * time.Second, "", 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var revoked atomic.Bool
			b := newBench(t, func(b *bench) {
				b.CheckKey = func(a executor.Attributes) *executor.Refusal {
					if a.Session == "queued" && revoked.Load() {
						return executor.RefuseNotRun(executor.CodeInvalidAuthorization, "key revoked")
					}
					return nil
				}
			})
			if test.class == executor.ClassRead {
				b.group.change(func(v *promoter.View) { v.Members[2].Reachable = false })
			}
			busy := 0
			if test.class == executor.ClassRead {
				busy = 1
			}
			release := b.occupy(t, busy, test.class)
			defer release()
			ctx, leave := context.WithCancel(t.Context())
			defer leave()
			exchange := b.open(t, "queued")
			batch := query("QUEUED", test.class)
			batch.Deadline = test.limit
			done := make(chan error, 1)
			go func() {
				_, err := exchange.Run(ctx, batch, &bytes.Buffer{})
				done <- err
			}()
			b.await(t, func() bool { return b.Stats().Databases[busy].Load.Queued == 1 })
			test.change(b, &revoked, leave)
			var err error
			if test.stays {
				err = <-done
				release()
			} else {
				release()
				err = <-done
			}
			if code, _ := refusal(err); code != test.code || (err != nil && !errors.Is(err, executor.ErrNotRun)) {
				t.Errorf("error = %v, want SQLSTATE %q and not run", err, test.code)
			}
			for i, d := range b.databases {
				want := 0
				if i == test.runsOn {
					want = 1
				}
				if got := d.count("QUEUED"); got != want {
					t.Errorf("runs on %s = %d, want %d", d.name, got, want)
				}
			}
		})
	}
}
