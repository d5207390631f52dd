package exchanger

import (
	"cmp"
	"io"
	"log/slog"
	"testing"
	"time"
)

// TestOwnWritesAreSentOnce guards against the leader of a large fleet that sends its writes of
// the last seconds, among them the list of all hosts, to each host in every exchange, and
// against a write that a host never receives because a message was lost.
func TestOwnWritesAreSentOnce(t *testing.T) {
	now := time.Unix(100, 0)
	own := Record{Key: "voters", Revision: 31}
	age, ownRevision := time.Duration(0), int64(40)
	e := &Exchanger{
		Host: "hub", Now: func() time.Time { return now }, Logger: slog.New(slog.NewTextHandler(io.Discard, nil)), OnMessage: func(Message, time.Time) {},
		Report:       func(string) Report { return Report{Host: "hub", Incarnation: "1", Revision: ownRevision, Age: age} },
		RecordsSince: func(int64) []Record { return []Record{own} },
	}
	last := uint64(0)
	steps := []struct {
		name, incarnation string
		// revision is that of the request.
		revision int64
		// lost is set if the host did not receive the last reply.
		lost bool
		// neverComplete is set if the host ignores the reply.
		neverComplete bool
		// ownRevision is the revision up to which the sender is complete, 40 if it is 0.
		ownRevision int64
		// written is the revision of the record.
		written int64
		want    int
	}{
		{name: "first request", incarnation: "a", revision: 40, written: 31, want: 1},
		{name: "reply lost", incarnation: "a", revision: 40, lost: true, written: 31, want: 1},
		{name: "reply received", incarnation: "a", revision: 40, written: 31, want: 0},
		{name: "again", incarnation: "a", revision: 40, written: 31, want: 0},
		{name: "written again", incarnation: "a", revision: 40, written: 38, want: 1},
		{name: "that received", incarnation: "a", revision: 40, written: 38, want: 0},
		{name: "not complete up to it", incarnation: "a", revision: 30, written: 38, want: 1},
		{name: "written after what both know", incarnation: "a", revision: 40, written: 41, want: 1},
		{name: "that received before the sender knows it", incarnation: "a", revision: 40, written: 41, want: 0},
		{name: "needed to show completeness", incarnation: "a", revision: 40, ownRevision: 41, written: 41, want: 1},
		{name: "complete", incarnation: "a", revision: 41, ownRevision: 41, written: 41, want: 0},
		{name: "next process", incarnation: "b", revision: 40, written: 38, neverComplete: true, want: 1},
		{name: "reply was ignored", incarnation: "b", revision: 40, written: 38, want: 1},
		{name: "reply received by the next process", incarnation: "b", revision: 40, written: 38, want: 0},
	}
	for _, step := range steps {
		now = now.Add(time.Second)
		own.Revision, age, ownRevision = step.written, 0, cmp.Or(step.ownRevision, 40)
		if step.neverComplete {
			age = -1
		}
		request := &Message{Report: Report{Host: "h1", Incarnation: step.incarnation, Revision: step.revision}, Echo: last}
		if step.lost {
			request.Echo = 0
		}
		reply := e.replyTo(request)
		last = reply.Sequence
		if got := len(reply.Records); got != step.want {
			t.Errorf("%s: got %d records, want %d", step.name, got, step.want)
		}
	}
}

// TestDeliveryForgets guards against a host that keeps the keys of all writes that it ever sent.
func TestDeliveryForgets(t *testing.T) {
	var d delivery
	d.next([]Record{{Key: "a", Revision: 1}}, 5, 5)
	d.confirm()
	d.next(nil, 5, 5)
	if got := len(d.confirmed) + len(d.sent); got != 0 {
		t.Errorf("got %d keys after they are sent no longer, want none", got)
	}
}

// TestSeedChoice guards against 300 hosts that start and ask each other for the records of all
// hosts, against hosts that ask although the store responds, and against a host that asks
// the same ones that do not respond for long.
func TestSeedChoice(t *testing.T) {
	var many []string
	for i := range 300 {
		many = append(many, string(rune('A'+i)))
	}
	start := time.Unix(100, 0)
	tests := []struct {
		name  string
		seeds []string
		after time.Duration
		want  int
	}{
		{name: "few, at once", seeds: many[:16], want: 16},
		{name: "many, at once", seeds: many, want: 0},
		{name: "many, without the store", seeds: many, after: seedDelay, want: maxContactedSeeds},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var c seedChoice
			c.at(start, test.seeds)
			if got := len(c.at(start.Add(test.after), test.seeds)); got != test.want {
				t.Errorf("got %d seeds, want %d", got, test.want)
			}
		})
	}
	var c seedChoice
	contacted := make(map[string]bool)
	for after := time.Duration(0); after < 20*time.Second; after += reconcileInterval {
		for _, seed := range c.at(start.Add(after), many) {
			contacted[seed] = true
		}
	}
	if got, want := len(contacted), 40; got < want {
		t.Errorf("got %d seeds in 20 s, want at least %d", got, want)
	}
}
