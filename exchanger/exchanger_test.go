package exchanger

import (
	"context"
	"io"
	"log/slog"
	"net"
	"reflect"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// A testHost is an Exchanger on the loopback interface that records the messages it
// receives.
type testHost struct {
	exchanger *Exchanger
	address   string
	stop      func()

	mu       sync.Mutex
	revision int64
	records  []Record
	received []Message
}

func newTestHost(t *testing.T, name string, peers func() map[string]string) *testHost {
	t.Helper()
	return newTestHostWithPause(t, name, peers, 20*time.Millisecond)
}

// newTestHostWithPause returns a host that pauses between two regular exchanges.
func newTestHostWithPause(t *testing.T, name string, peers func() map[string]string, pause time.Duration) *testHost {
	t.Helper()
	var listenConfig net.ListenConfig
	listener, err := listenConfig.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := &testHost{address: listener.Addr().String(), revision: 1}
	h.exchanger = &Exchanger{
		Host: name, Peers: peers, MustInitiate: func(string) bool { return false }, Pause: func() time.Duration { return pause },
		Now: time.Now, Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Report: func(string) Report {
			h.mu.Lock()
			defer h.mu.Unlock()
			return Report{Host: name, Incarnation: "1", Revision: h.revision, Age: 0}
		},
		RecordsSince: func(revision int64) []Record {
			h.mu.Lock()
			defer h.mu.Unlock()
			var later []Record
			for _, r := range h.records {
				if r.Revision > revision {
					later = append(later, r)
				}
			}
			return later
		},
		OnMessage: h.recordMessage,
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for _, run := range []func() error{
		func() error { return h.exchanger.Run(ctx) },
		func() error { return h.exchanger.Serve(ctx, listener) },
	} {
		group.Add(1)
		go func() {
			defer group.Done()
			// Both always return the error of the context.
			_ = run()
		}()
	}
	h.stop = func() {
		cancel()
		group.Wait()
	}
	t.Cleanup(h.stop)
	return h
}

func (h *testHost) recordMessage(message Message, _ time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.received = append(h.received, message)
}

// addRecord adds a record that other hosts lack.
func (h *testHost) addRecord(key string, revision int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.records = append(h.records, Record{Key: key, Value: []byte(key), Revision: revision})
	h.revision = revision
}

func (h *testHost) hasReceived(key string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, message := range h.received {
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
	t.Fatalf("timed out waiting until %s", what)
}

// TestReportSendTime guards against a report that was delayed on the network and
// counts as newer than it is, so that a host would go on using a primary that has
// been replaced.
func TestReportSendTime(t *testing.T) {
	now := time.Unix(100, 0)
	var sent time.Time
	e := &Exchanger{
		Host: "b", Now: func() time.Time { return now }, Report: func(string) Report { return Report{Host: "b"} },
		RecordsSince: func(int64) []Record { return nil },
		OnMessage:    func(_ Message, at time.Time) { sent = at },
	}
	request := func(echo uint64) uint64 {
		sent = time.Time{}
		reply := e.replyTo(&Message{Report: Report{Host: "a", Incarnation: "1"}, Echo: echo})
		now = now.Add(time.Second)
		return reply.Sequence
	}
	first := request(0)
	if !sent.IsZero() {
		t.Errorf("the first report counts as sent at %v, want unknown", sent)
	}
	second := request(first)
	if want := time.Unix(100, 0); !sent.Equal(want) {
		t.Errorf("a report that echoes the last reply counts as sent at %v, want %v", sent, want)
	}
	request(second)
	request(first)
	if !sent.IsZero() {
		t.Errorf("a report that echoes an older reply counts as sent at %v, want unknown", sent)
	}
}

// TestExchange guards against records that reach only the initiator of an exchange,
// or only the responder.
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
	a, b := newTestHost(t, "a", peers), newTestHost(t, "b", peers)
	mu.Lock()
	addresses["a"], addresses["b"] = a.address, b.address
	mu.Unlock()
	await(t, "both hosts have received a report of the other", func() bool {
		return !a.exchanger.Reports()["b"].HeardAt.IsZero() && !b.exchanger.Reports()["a"].HeardAt.IsZero()
	})
	a.addRecord("of a", 5)
	await(t, "the responder has the record", func() bool { return b.hasReceived("of a") })
	b.addRecord("of b", 9)
	await(t, "the initiator has the record", func() bool { return a.hasReceived("of b") })
}

// TestRefusedConnectionIsNoReport guards against a refused connection that counts as a sign
// of what the other host knows or does: a partition that resets connections refuses them too.
func TestRefusedConnectionIsNoReport(t *testing.T) {
	var listenConfig net.ListenConfig
	listener, err := listenConfig.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	attempted := make(chan struct{}, 16)
	e := &Exchanger{
		Host: "a", Now: time.Now, Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Peers:        func() map[string]string { return map[string]string{"a": "", "b": address} },
		MustInitiate: func(string) bool { return false },
		Pause:        func() time.Duration { attempted <- struct{}{}; return time.Hour },
		Report:       func(string) Report { return Report{Host: "a"} }, OnMessage: func(Message, time.Time) {},
	}
	e.RecordMessage(Message{Report: Report{Host: "b", Revision: 7}}, time.Now())
	want := e.Reports()["b"]
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- e.Run(ctx) }()
	for range 3 {
		<-attempted
	}
	cancel()
	if err := <-done; !errors.Is(err, context.Canceled) {
		t.Errorf("got %v, want the end of the context", err)
	}
	if got := e.Reports()["b"]; !reflect.DeepEqual(got, want) {
		t.Errorf("after refused connections: got %+v, want %+v", got, want)
	}
}

// TestLateMessageOfFormerProcess guards against a restarted host that counts as one which has
// every change, because a message of its former process was held up by a partition and
// arrives after the first report of the new process.
func TestLateMessageOfFormerProcess(t *testing.T) {
	handled := 0
	e := &Exchanger{Host: "a", Now: time.Now, OnMessage: func(Message, time.Time) { handled++ }}
	now := time.Now()
	former := Message{Report: Report{Host: "b", Incarnation: "1", Listed: true, Revision: 9}}
	current := Message{Report: Report{Host: "b", Incarnation: "2"}}
	e.RecordMessage(former, now.Add(-5*time.Second))
	if peer := e.Reports()["b"]; !peer.HeardListed {
		t.Fatalf("got %+v, want the former process as one that has listed", peer)
	}
	e.RecordMessage(current, now)
	e.RecordMessage(former, time.Time{})
	got := e.Reports()["b"]
	if got.HeardListed || !got.HeardAt.Equal(now) || got.Report.Incarnation != "2" || handled != 2 {
		t.Errorf("got %+v after %d handled messages, want the report of the new process after 2", got, handled)
	}
}

// TestSecondExchangeFollowsAtOnce guards against a host whose view expires after the loss of
// its hub although it reaches another one: the other host can date a report only if it
// echoes an earlier reply, and the next regular exchange comes too late.
func TestSecondExchangeFollowsAtOnce(t *testing.T) {
	b := newTestHost(t, "b", func() map[string]string { return map[string]string{"b": ""} })
	peers := func() map[string]string { return map[string]string{"a": "", "b": b.address} }
	newTestHostWithPause(t, "a", peers, time.Hour)
	await(t, "the report of the initiator is dated", func() bool { return !b.exchanger.Reports()["a"].HeardAt.IsZero() })
}

// TestResponderReceivesOlderRecords guards against a responder that lacks records that
// the initiator had before their first exchange and never receives them.
func TestResponderReceivesOlderRecords(t *testing.T) {
	responder := newTestHost(t, "b", func() map[string]string { return map[string]string{"b": ""} })
	initiator := newTestHost(t, "a", func() map[string]string { return map[string]string{"a": "", "b": responder.address} })
	initiator.addRecord("k", 9)
	await(t, "b has the record that a had before", func() bool { return responder.hasReceived("k") })
}

// TestRecordsAreHandledBeforeHeardAt guards against a host that advances HeardAt of
// another one before it has processed the records that came with the report.
func TestRecordsAreHandledBeforeHeardAt(t *testing.T) {
	var e *Exchanger
	sentAt := time.Now()
	calls := 0
	e = &Exchanger{Host: "a", Now: time.Now, OnMessage: func(message Message, sent time.Time) {
		calls++
		if got := e.Reports()[message.Report.Host].HeardAt; !got.Before(sent) {
			t.Errorf("HeardAt is %v before its records are processed", got)
		}
	}}
	e.RecordMessage(Message{Report: Report{Host: "b"}}, sentAt)
	if got := e.Reports()["b"].HeardAt; !got.Equal(sentAt) || calls != 1 {
		t.Errorf("got HeardAt %v after %d calls, want %v after 1", got, calls, sentAt)
	}
}

// TestCompletes guards against views that are never confirmed while the revision of the store
// advances without a record, as with a key that hosts do not mirror.
func TestCompletes(t *testing.T) {
	records := []Record{{Key: "k", Revision: 8}}
	tests := []struct {
		name     string
		message  Message
		revision int64
		want     bool
	}{
		{"nothing new", Message{Report: Report{Revision: 7}}, 7, true},
		{"newer, without records", Message{Report: Report{Revision: 9}, CompleteAfter: 7}, 7, true},
		{"newer, with records", Message{Report: Report{Revision: 9}, CompleteAfter: 7, Records: records}, 7, true},
		{"records missing between", Message{Report: Report{Revision: 9}, CompleteAfter: 8, Records: records}, 7, false},
		{"request without records", Message{Report: Report{Revision: 9}}, 7, false},
		{"former release", Message{Report: Report{Revision: 9}, Records: records}, 7, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := test.message.Completes(test.revision); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
