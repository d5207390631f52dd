package messenger

import (
	"bytes"
	"context"
	"errors"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/endiveturn/endiveturn/executor"
	"github.com/endiveturn/endiveturn/messenger/peerpb"
)

// Guards against a write that is repeated since it is said not to have run, and
// against a read that is not, since it is said to have.
func TestExecuteBroken(t *testing.T) {
	reached := make(chan struct{}, 10)
	opener := &fakeOpener{run: func(ctx context.Context, a executor.Attributes, b executor.Batch, w io.Writer) (executor.Result, error) {
		if string(b.Messages) != "hang" {
			return echo(ctx, a, b, w)
		}
		reached <- struct{}{}
		<-ctx.Done()
		return executor.Result{}, executor.RefuseUnknown(executor.CodeOutcomeUnknown, "canceled")
	}}
	closed := listen(t)
	_ = closed.Close()
	tests := []struct {
		name string
		run  func(p *pair) error
		want error
	}{
		{"connection refused", func(p *pair) error {
			_, err := p.client.Opener(closed.Addr().String()).Open(context.Background(), attributesFor("a"))
			return err
		}, executor.ErrNotRun},
		{"connection lost before the batch", func(p *pair) error {
			exchange := p.open(t, "a")
			p.client.Drop(p.address)
			_, err := exchange.Run(context.Background(), text("x"), io.Discard)
			return err
		}, executor.ErrNotRun},
		{"connection lost within a transaction before the batch", func(p *pair) error {
			exchange := p.open(t, "a")
			if _, err := exchange.Run(context.Background(), text("begin"), io.Discard); err != nil {
				return err
			}
			p.client.Drop(p.address)
			_, err := exchange.Run(context.Background(), text("x"), io.Discard)
			return err
		}, executor.ErrRolledBack},
		{"connection lost after the batch", func(p *pair) error {
			go func() {
				<-reached
				p.client.Drop(p.address)
			}()
			_, err := p.open(t, "a").Run(context.Background(), text("hang"), io.Discard)
			return err
		}, executor.ErrOutcomeUnknown},
		{"holder dies", func(p *pair) error {
			go func() {
				<-reached
				p.stop()
			}()
			_, err := p.open(t, "a").Run(context.Background(), text("hang"), io.Discard)
			return err
		}, executor.ErrOutcomeUnknown},
		{"canceled before", func(p *pair) error {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			_, err := p.open(t, "a").Run(ctx, text("x"), io.Discard)
			return err
		}, executor.ErrNotRun},
	}
	for _, test := range tests {
		p := newPair(t, opener)
		if err := test.run(p); !errors.Is(err, test.want) {
			t.Errorf("%s: got %v want %v", test.name, err, test.want)
		}
	}
}

// Guards against a broken exchange that leaves its transaction open, and against
// one that is used after its end.
func TestExecuteBrokenRollsBack(t *testing.T) {
	opener := &fakeOpener{run: echo}
	p := newPair(t, opener)
	exchange := p.open(t, "a")
	if _, err := exchange.Run(context.Background(), text("begin"), io.Discard); err != nil {
		t.Fatal(err)
	}
	p.client.Drop(p.address)
	eventually(t, "rollback", func() bool { return opener.closed.Load() == 1 && p.server.Exchanges() == 0 })
	for range 2 {
		if _, err := exchange.Run(context.Background(), text("x"), io.Discard); err == nil || errors.Is(err, executor.ErrNotRun) {
			t.Errorf("batch after the transaction was lost: got %v", err)
		}
	}
}

// Guards against a peer that hangs and holds its caller for ever, and against a
// batch sent to a host that only its kernel answers for.
func TestExecuteSilentPeer(t *testing.T) {
	listener := listen(t)
	defer func() { _ = listener.Close() }()
	client := &Client{DialTimeout: 100 * time.Millisecond}
	defer func() { _ = client.Close() }()
	_, err := client.Opener(listener.Addr().String()).Open(context.Background(), attributesFor("a"))
	if !errors.Is(err, executor.ErrNotRun) {
		t.Errorf("no greeting: got %v want ErrNotRun", err)
	}
	p := newPair(t, &fakeOpener{run: func(context.Context, executor.Attributes, executor.Batch, io.Writer) (executor.Result, error) {
		time.Sleep(100*time.Millisecond + answerPatience + time.Second)
		return executor.Result{TxStatus: 'I'}, nil
	}})
	start := time.Now()
	batch := executor.Batch{Messages: []byte("x"), Deadline: 100 * time.Millisecond}
	if _, err := p.open(t, "a").Run(context.Background(), batch, io.Discard); !errors.Is(err, executor.ErrOutcomeUnknown) {
		t.Errorf("no answer: got %v want ErrOutcomeUnknown", err)
	}
	if took, limit := time.Since(start), answerPatience+time.Second; took > limit {
		t.Errorf("no answer: took %v, limit %v", took, limit)
	}
}

// Guards against a stop that interrupts exchanges, and against batches that are
// lost or refused as unknown when a host stops.
func TestDrain(t *testing.T) {
	opener := &fakeOpener{run: echo}
	p := newPair(t, opener)
	exchange := p.open(t, "a")
	if _, err := exchange.Run(context.Background(), text("begin"), io.Discard); err != nil {
		t.Fatal(err)
	}
	idle := p.open(t, "a")
	if _, err := idle.Run(context.Background(), text("x"), io.Discard); err != nil {
		t.Fatal(err)
	}
	drained := make(chan error, 1)
	go func() { drained <- p.server.Drain(context.Background()) }()
	eventually(t, "refusal of new exchanges", func() bool {
		_, err := p.open(t, "a").Run(context.Background(), text("x"), io.Discard)
		return errors.Is(err, executor.ErrMoved)
	})
	select {
	case err := <-drained:
		t.Fatalf("drained with an exchange open: %v", err)
	case <-time.After(50 * time.Millisecond):
	}
	var w bytes.Buffer
	if _, err := exchange.Run(context.Background(), text("commit"), &w); err != nil || w.String() != "commit" {
		t.Errorf("open exchange: got %q, %v", w.String(), err)
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
	p.stop()
	if _, err := idle.Run(context.Background(), text("x"), io.Discard); !errors.Is(err, executor.ErrNotRun) {
		t.Errorf("batch after the stop: got %v want not run", err)
	}
}

// Guards against batches with an unknown outcome when a host stops under load
// after a drain.
func TestStopUnderLoad(t *testing.T) {
	opener := &fakeOpener{run: echo}
	p := newPair(t, opener)
	var bad atomic.Int64
	done := make(chan struct{})
	for range 32 {
		go func() {
			defer func() { done <- struct{}{} }()
			for {
				exchange, err := p.client.Opener(p.address).Open(context.Background(), attributesFor("a"))
				if err != nil {
					return
				}
				_, err = exchange.Run(context.Background(), text("x"), io.Discard)
				if err != nil && !errors.Is(err, executor.ErrNotRun) {
					bad.Add(1)
					t.Logf("got %v", err)
				}
			}
		}()
	}
	time.Sleep(50 * time.Millisecond)
	if err := p.server.Drain(context.Background()); err != nil {
		t.Error(err)
	}
	p.stop()
	for range 32 {
		<-done
	}
	if got := bad.Load(); got != 0 {
		t.Errorf("batches that were not refused as not run: got %d want 0", got)
	}
	eventually(t, "broken connections forgotten", func() bool {
		p.client.mu.Lock()
		defer p.client.mu.Unlock()
		return len(p.client.used) == 0
	})
}

// Guards against a frame of another protocol version that is taken for a batch.
func TestExecuteUnknownVersion(t *testing.T) {
	opener := &fakeOpener{run: echo}
	p := newPair(t, opener)
	l, err := p.client.takeLine(context.Background(), p.address)
	if err != nil {
		t.Fatal(err)
	}
	defer l.discard()
	request := &peerpb.ExecuteRequest{Version: 9, Number: 1, Open: attributesToWire(attributesFor("a")), Batch: &peerpb.Batch{}}
	if err := l.stream.MsgSend(request, l.encoding); err != nil {
		t.Fatal(err)
	}
	answer, err := l.receive()
	if err != nil {
		t.Fatal(err)
	}
	refusal := refusalFromWire(answer.GetRefusal())
	if !errors.Is(refusal, executor.ErrNotRun) || !answer.GetLast() || opener.opened.Load() != 0 {
		t.Errorf("got %v, last %v, %d opened", refusal, answer.GetLast(), opener.opened.Load())
	}
}
