package exchanger

import (
	"context"
	"io"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"
)

// A node is an exchanger on loopback with what it received.
type node struct {
	exchanger *Exchanger
	address   string
	stop      func()

	mu       sync.Mutex
	revision int64
	records  []Record
	received []Message
}

func newNode(t *testing.T, name string, peers func() map[string]string) *node {
	t.Helper()
	var listen net.ListenConfig
	listener, err := listen.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := &node{address: listener.Addr().String(), revision: 1}
	n.exchanger = &Exchanger{
		Host: name, Peers: peers, Asks: func(string) bool { return false }, Pause: func() time.Duration { return 20 * time.Millisecond },
		Now: time.Now, Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Report: func(string) Report {
			n.mu.Lock()
			defer n.mu.Unlock()
			return Report{Host: name, Incarnation: "1", Revision: n.revision, Age: 0}
		},
		Since: func(revision int64) []Record {
			n.mu.Lock()
			defer n.mu.Unlock()
			var later []Record
			for _, r := range n.records {
				if r.Revision > revision {
					later = append(later, r)
				}
			}
			return later
		},
		Received: n.take,
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for _, run := range []func() error{
		func() error { return n.exchanger.Run(ctx) },
		func() error { return n.exchanger.Serve(ctx, listener) },
	} {
		group.Add(1)
		go func() {
			defer group.Done()
			// Both end with the context.
			_ = run()
		}()
	}
	n.stop = func() {
		cancel()
		group.Wait()
	}
	t.Cleanup(n.stop)
	return n
}

func (n *node) take(message Message, _ time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.received = append(n.received, message)
}

// put adds a record that others lack.
func (n *node) put(key string, revision int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.records = append(n.records, Record{Key: key, Value: []byte(key), Revision: revision})
	n.revision = revision
}

func (n *node) has(key string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, message := range n.received {
		for _, record := range message.Records {
			if record.Key == key {
				return true
			}
		}
	}
	return false
}

func await(t *testing.T, what string, check func() bool) {
	t.Helper()
	for start := time.Now(); time.Since(start) < 10*time.Second; time.Sleep(5 * time.Millisecond) {
		if check() {
			return
		}
	}
	t.Fatalf("not in time: %s", what)
}

// TestWhenAReportWasSent guards against a report that was long on its way and
// counts as newer than it is: a host would go on to use a primary that has been
// replaced.
func TestWhenAReportWasSent(t *testing.T) {
	now := time.Unix(100, 0)
	var sent time.Time
	e := &Exchanger{
		Host: "b", Now: func() time.Time { return now }, Report: func(string) Report { return Report{Host: "b"} },
		Since:    func(int64) []Record { return nil },
		Received: func(_ Message, at time.Time) { sent = at },
	}
	ask := func(echo uint64) uint64 {
		sent = time.Time{}
		answer := e.answer(&Message{Report: Report{Host: "a", Incarnation: "1"}, Echo: echo})
		now = now.Add(time.Second)
		return answer.Sequence
	}
	first := ask(0)
	if !sent.IsZero() {
		t.Errorf("the first report counts as sent at %v, want unknown", sent)
	}
	second := ask(first)
	if want := time.Unix(100, 0); !sent.Equal(want) {
		t.Errorf("a report that echoes an answer counts as sent at %v, want %v", sent, want)
	}
	ask(second)
	ask(first)
	if !sent.IsZero() {
		t.Errorf("a report that was overtaken counts as sent at %v, want unknown", sent)
	}
}

// TestExchange guards against news that reach only the host that asks, or only
// the one that is asked.
func TestExchange(t *testing.T) {
	var mu sync.Mutex
	addresses := make(map[string]string)
	peers := func() map[string]string {
		mu.Lock()
		defer mu.Unlock()
		copied := make(map[string]string)
		for name, address := range addresses {
			copied[name] = address
		}
		return copied
	}
	a, b := newNode(t, "a", peers), newNode(t, "b", peers)
	mu.Lock()
	addresses["a"], addresses["b"] = a.address, b.address
	mu.Unlock()
	await(t, "both have heard each other", func() bool {
		return !a.exchanger.Reports()["b"].Heard.IsZero() && !b.exchanger.Reports()["a"].Heard.IsZero()
	})
	a.put("of a", 5)
	await(t, "the asked host has the news", func() bool { return b.has("of a") })
	b.put("of b", 9)
	await(t, "the asking host has the news", func() bool { return a.has("of b") })
	b.stop()
	await(t, "the end of the other process is noticed", func() bool { return !a.exchanger.Reports()["b"].Refused.IsZero() })
}

// TestAskedHostLearnsOlderRecords guards against a host that is asked, lacks what
// the other one knew before their first exchange, and is never told.
func TestAskedHostLearnsOlderRecords(t *testing.T) {
	asked := newNode(t, "b", func() map[string]string { return map[string]string{"b": ""} })
	asker := newNode(t, "a", func() map[string]string { return map[string]string{"a": "", "b": asked.address} })
	asker.put("k", 9)
	await(t, "b has the record that a knew before", func() bool { return asked.has("k") })
}

// TestRecordsComeBeforeHearing guards against a host that counts another one as
// heard before it has taken in what that one told.
func TestRecordsComeBeforeHearing(t *testing.T) {
	var e *Exchanger
	heard := time.Now()
	calls := 0
	e = &Exchanger{Host: "a", Now: time.Now, Received: func(message Message, sent time.Time) {
		calls++
		if got := e.Reports()[message.Report.Host].Heard; !got.Before(sent) {
			t.Errorf("the host counts as heard at %v before its records are taken in", got)
		}
	}}
	e.Note(Message{Report: Report{Host: "b"}}, heard)
	if got := e.Reports()["b"].Heard; !got.Equal(heard) || calls != 1 {
		t.Errorf("got heard at %v after %d calls, want %v after 1", got, calls, heard)
	}
}
