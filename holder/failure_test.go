package holder

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/executor"
	"github.com/endiveturn/endiveturn/promoter"
)

// refusal returns SQLSTATE and outcome of an error.
func refusal(err error) (string, executor.Outcome) {
	if err == nil {
		return "", 0
	}
	r := executor.AsRefusal(err)
	return r.Code, r.Outcome
}

func wantRefusal(t *testing.T, err error, code string, outcome executor.Outcome) {
	t.Helper()
	if gotCode, gotOutcome := refusal(err); err == nil || gotCode != code || gotOutcome != outcome {
		t.Errorf("error = %v with outcome %d, want SQLSTATE %s with outcome %d", err, gotOutcome, code, outcome)
	}
}

// TestLostAnswers guards against batches that run twice, against "not run" of a
// batch that ran, and against reads that fail although they can be repeated.
func TestLostAnswers(t *testing.T) {
	tests := []struct {
		name    string
		text    string
		class   executor.Class
		before  func(b *bench)
		code    string
		outcome executor.Outcome
		runs    int
	}{
		{"write lost after it was sent", "LOSE", executor.ClassWrite, nil, "08007", executor.Unknown, 1},
		{"write torn in the middle of the answer", "TEAR", executor.ClassWrite, nil, "08007", executor.Unknown, 1},
		{"read torn before anything was passed on", "TEAR", executor.ClassRead, nil, "57P03", executor.NotRun, 0},
		{"idle connections closed before the batch", "INSERT", executor.ClassWrite, func(b *bench) { b.databases[0].closeSessions() }, "", 0, 1},
		{"primary refuses connections", "INSERT", executor.ClassWrite, func(b *bench) {
			b.databases[0].set(func() { b.databases[0].down = true })
			b.databases[0].closeSessions()
		}, "57P03", executor.NotRun, 0},
		{"stale term at the first statement", "INSERT", executor.ClassWrite, func(b *bench) {
			b.databases[0].set(func() { b.databases[0].refuse = "GT001" })
		}, "", 0, 1},
		{"primary refuses the first write", "INSERT", executor.ClassWrite, func(b *bench) {
			b.databases[0].set(func() { b.databases[0].refuse = "25006" })
		}, "", 0, 1},
		{"write taken for a read", "INSERT", executor.ClassRead, nil, "", 0, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(t, nil)
			exchange := b.open(t, "s")
			mustRun(t, exchange, "SELECT", executor.ClassWrite)
			if test.before != nil {
				test.before(b)
			}
			batch := query(test.text, test.class)
			batch.Deadline = 400 * time.Millisecond
			_, result, err := run(exchange, batch)
			switch {
			case test.name == "read torn before anything was passed on":
				// Every database tears it, so that the retry budget ends it.
				if code, _ := refusal(err); code != "08007" {
					t.Errorf("error = %v, want SQLSTATE 08007", err)
				}
				if got := b.databases[1].count(test.text) + b.databases[2].count(test.text); got < 2 || got > 20 {
					t.Errorf("runs on replicas = %d, want some retries", got)
				}
			case test.code == "":
				if err != nil || result.Position.IsZero() {
					t.Errorf("result = %+v, error = %v, want a commit", result, err)
				}
			default:
				wantRefusal(t, err, test.code, test.outcome)
			}
			if got := b.databases[0].count(test.text); got != test.runs {
				t.Errorf("runs on the primary = %d, want %d", got, test.runs)
			}
		})
	}
}

// TestLateAnswer guards against an answer that arrives after its batch has ended
// and is given to the next one.
func TestLateAnswer(t *testing.T) {
	b := newBench(t, nil)
	exchange := b.open(t, "s1")
	batch := query("LATE", executor.ClassWrite)
	batch.Deadline = 50 * time.Millisecond
	var group sync.WaitGroup
	group.Go(func() {
		messages, _, err := run(exchange, batch)
		if value(messages) != "late" && err == nil {
			t.Errorf("answer = %v, want the late one or an error", messages)
		}
	})
	other := b.open(t, "s2")
	for end := time.Now().Add(500 * time.Millisecond); time.Now().Before(end); {
		messages, _ := mustRun(t, other, "SELECT", executor.ClassWrite)
		if got, want := value(messages), "acme 0"; got != want {
			t.Fatalf("answer = %q, want %q", got, want)
		}
	}
	group.Wait()
	// Three batches at once use the connections that were used last.
	for i := range 3 {
		group.Go(func() {
			messages, _, err := run(b.open(t, fmt.Sprint(i)), query("PAUSE", executor.ClassWrite))
			if err != nil || len(messages) != 1 {
				t.Errorf("answer = %v, error = %v, want no late cancel", messages, err)
			} else if _, ok := messages[0].(*pgproto3.CommandComplete); !ok {
				t.Errorf("answer = %T, want no late cancel", messages[0])
			}
		})
	}
	group.Wait()
}

// TestCancel guards against a cancel that hits another statement, and against a
// cancelled connection that is used again.
func TestCancel(t *testing.T) {
	b := newBench(t, nil)
	primary := b.databases[0]
	ctx, cancel := context.WithCancel(context.Background())
	results := make(chan error, 2)
	for i, ctx := range []context.Context{ctx, context.Background()} {
		exchange := b.open(t, []string{"a", "b"}[i])
		batch := query("SLEEP", executor.ClassWrite)
		batch.Deadline = 800 * time.Millisecond
		go func() {
			_, err := exchange.Run(ctx, batch, &bytes.Buffer{})
			results <- err
		}()
	}
	for primary.count("SLEEP") < 2 {
		time.Sleep(time.Millisecond)
	}
	start := time.Now()
	cancel()
	wantRefusal(t, <-results, executor.CodeQueryCanceled, executor.RolledBack)
	if took := time.Since(start); took > 400*time.Millisecond {
		t.Errorf("cancel took %s", took)
	}
	primary.set(func() {
		if got := primary.cancels; got != 1 {
			t.Errorf("cancels = %d, want 1", got)
		}
	})
	// The other statement runs on until its own deadline.
	wantRefusal(t, <-results, executor.CodeQueryCanceled, executor.RolledBack)
	if took := time.Since(start); took < 500*time.Millisecond {
		t.Errorf("other statement ended %s after the cancel", took)
	}
}

// TestAcknowledgement guards against commits that are acknowledged without a
// majority, without the lease, in another term or while an older holder may
// still serve reads.
func TestAcknowledgement(t *testing.T) {
	never := func(ctx context.Context, _ executor.Position) error {
		<-ctx.Done()
		return ctx.Err()
	}
	tests := []struct {
		name    string
		confirm func(ctx context.Context, position executor.Position) error
		change  func(b *bench, v *promoter.View)
		want    string
		least   time.Duration
	}{
		{"confirmation never comes", never, nil, "08007", 300 * time.Millisecond},
		{"fenced", func(context.Context, executor.Position) error { return errors.WithStack(promoter.ErrFenced) }, nil, "08007", 0},
		{"lease lost", nil, func(_ *bench, v *promoter.View) { v.LeaseUntil = time.Now() }, "08007", 300 * time.Millisecond},
		{"term changed", nil, func(_ *bench, v *promoter.View) { v.Term = 2 }, "08007", 0},
		{"older holder", nil, func(_ *bench, v *promoter.View) { v.AcknowledgeFrom = time.Now().Add(150 * time.Millisecond) }, "", 150 * time.Millisecond},
		{"confirmed", nil, nil, "", 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(t, nil)
			b.group.confirm = func(ctx context.Context, position executor.Position) error {
				if test.change != nil {
					b.group.change(func(v *promoter.View) { test.change(b, v) })
				}
				if test.confirm != nil {
					return test.confirm(ctx, position)
				}
				return nil
			}
			exchange := b.open(t, "s")
			batch := query("INSERT", executor.ClassWrite)
			batch.Deadline = 300 * time.Millisecond
			start := time.Now()
			messages, _, err := run(exchange, batch)
			took := time.Since(start)
			if code, _ := refusal(err); code != test.want {
				t.Errorf("error = %v, want SQLSTATE %q", err, test.want)
			}
			if took < test.least {
				t.Errorf("acknowledged or refused after %s, want at least %s", took, test.least)
			}
			if got, want := len(messages) > 0, test.want == ""; got != want {
				t.Errorf("passed on %d messages, want some = %v", len(messages), want)
			}
		})
	}
}

// TestLeaseLostBefore guards against batches that are started without the lease,
// and against refusals while it can come back in time.
func TestLeaseLostBefore(t *testing.T) {
	for _, returns := range []bool{false, true} {
		b := newBench(t, nil)
		b.group.change(func(v *promoter.View) { v.LeaseUntil = time.Now() })
		if returns {
			timer := time.AfterFunc(100*time.Millisecond, func() {
				b.group.change(func(v *promoter.View) { v.LeaseUntil = time.Now().Add(time.Hour) })
			})
			defer timer.Stop()
		}
		batch := query("INSERT", executor.ClassWrite)
		batch.Deadline = 300 * time.Millisecond
		_, _, err := run(b.open(t, "s"), batch)
		if returns {
			if err != nil {
				t.Errorf("error = %v although the lease came back", err)
			}
			continue
		}
		wantRefusal(t, err, executor.CodeCannotServe, executor.NotRun)
		if got := b.databases[0].count("INSERT"); got != 0 {
			t.Errorf("writes without the lease = %d, want 0", got)
		}
	}
}

// promote makes the database of the index the primary of the next term. No batch
// is started in between, since one that the old primary cuts off in the middle
// rightly gets "outcome unknown".
func (b *bench) promote(index int) {
	term := b.group.View().Term + 1
	b.group.change(func(v *promoter.View) { v.Primary = "" })
	for i, d := range b.databases {
		d.set(func() { d.term, d.replica = term, i != index })
		d.closeSessions()
	}
	b.group.change(func(v *promoter.View) {
		v.Term, v.Primary = term, b.databases[index].name
		b.databases[index].set(func() { v.Start = executor.Position{Term: term, Offset: b.databases[index].applied} })
		for i := range v.Members {
			v.Members[i].Status.Term, v.Members[i].Status.Primary = term, v.Primary
			v.Members[i].Status.Role = promoter.RoleReplica
		}
		v.Members[index].Status.Role = promoter.RolePrimary
	})
}

// TestTermChangesInTransaction guards against a transaction that goes on under
// another primary, and against an exchange that cannot be replaced.
func TestTermChangesInTransaction(t *testing.T) {
	b := newBench(t, nil)
	exchange := b.open(t, "s")
	mustRun(t, exchange, "BEGIN", executor.ClassBegin)
	mustRun(t, exchange, "INSERT", executor.ClassWrite)
	b.promote(1)
	_, _, err := run(exchange, query("COMMIT", executor.ClassWrite))
	wantRefusal(t, err, executor.CodeRolledBack, executor.RolledBack)
	if _, _, err := run(exchange, query("SELECT", executor.ClassRead)); !errors.Is(err, executor.ErrNotRun) {
		t.Errorf("error of a used exchange = %v, want not run", err)
	}
	next := b.open(t, "s")
	mustRun(t, next, "BEGIN", executor.ClassBegin)
	mustRun(t, next, "INSERT", executor.ClassWrite)
	if _, result := mustRun(t, next, "COMMIT", executor.ClassWrite); result.Position.Term != 2 {
		t.Errorf("position = %s, want term 2", result.Position)
	}
	if got := b.databases[1].count("COMMIT"); got != 1 {
		t.Errorf("commits on the new primary = %d, want 1", got)
	}
}
