package tracker

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/endiveturn/endiveturn/executor"
)

// model is an oracle of a group: it knows the whole log, what each replica has
// applied at any time, and every acknowledged write of every session.
type model struct {
	now     time.Time
	term    uint64
	end     uint64
	applied []uint64
	// ends holds the end of the primary's log at the start of each step.
	ends map[time.Time]uint64
	own  map[Session]uint64
	// common is the highest offset that all replicas in service had at some time,
	// or that the primary had when it was promoted. Floors of sessions up to it
	// may be merged.
	common uint64
}

func (m *model) replicas(out int) []Replica {
	replicas := make([]Replica, len(m.applied))
	for i := range replicas {
		replicas[i] = Replica{Name: fmt.Sprint("r", i), Applied: m.applied[i], InService: i != out, Load: float64(i)}
	}
	return replicas
}

// TestAgainstOracle guards against reads that are staler than allowed, compared
// with a naive tracker that sends every read to the primary, and against reads
// that go to the primary although the oracle knows an eligible replica.
func TestAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{now: time.Unix(1000, 0), term: 1, applied: []uint64{0, 0}, ends: map[time.Time]uint64{}, own: map[Session]uint64{}}
		var tracker Tracker
		tracker.SetMaxEntries(rapid.SampledFrom([]int{2, 1000}).Draw(t, "entries"))
		tracker.Reset(executor.Position{Term: 1})
		bounded := tracker.floors.MaxEntries < 1000
		out := -1
		for range 150 {
			m.now = m.now.Add(time.Duration(rapid.IntRange(1, 30).Draw(t, "pass")) * time.Millisecond)
			m.ends[m.now] = m.end
			session := Session{Customer: "acme", Name: rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "session")}
			switch rapid.IntRange(0, 9).Draw(t, "operation") {
			case 0, 1:
				m.end++
				m.own[session] = m.end
				tracker.Raise(session, executor.Position{Term: m.term, Offset: m.end})
			case 2, 3:
				i := rapid.IntRange(0, 1).Draw(t, "replica")
				m.applied[i] += uint64(rapid.IntRange(0, int(m.end-m.applied[i])).Draw(t, "applies"))
			case 4:
				// One replica leaves service or comes back, possibly far behind.
				out = rapid.IntRange(-1, 1).Draw(t, "out")
			case 5:
				tracker.Attach(session)
				m.own[session] = m.end
			case 6:
				m.term++
				for i := range m.applied {
					m.applied[i] = min(m.applied[i], m.end)
				}
				tracker.Reset(executor.Position{Term: m.term, Offset: m.end})
				m.common = m.end
				for s := range m.own {
					m.own[s] = m.end
				}
			default:
				read := Read{Session: session}
				if rapid.Bool().Draw(t, "aged") {
					read.MaxAge = time.Duration(rapid.IntRange(1, 200).Draw(t, "age")) * time.Millisecond
				}
				if rapid.Bool().Draw(t, "token") {
					read.Token = executor.Position{Term: m.term, Offset: uint64(rapid.IntRange(0, int(m.end+2)).Draw(t, "offset"))}
				}
				m.check(t, tracker.Choose(read, m.replicas(out), m.now), read, out, bounded)
			}
			observe(&tracker, m, out)
		}
	})
}

// observe tells the tracker what status queries sent at this time would find.
func observe(tracker *Tracker, m *model, out int) {
	applied := ^uint64(0)
	for i, offset := range m.applied {
		if i != out {
			applied = min(applied, offset)
		}
	}
	m.common = max(m.common, applied)
	tracker.Observe(m.now, m.end, applied, false)
}

// check compares a decision with what the oracle knows.
func (m *model) check(t *rapid.T, decision Decision, read Read, out int, bounded bool) {
	fresh := func(i int) bool { return i != out && m.applied[i] >= max(read.Token.Offset, m.own[read.Session]) }
	if decision.Replica == "" {
		for i := range m.applied {
			if fresh(i) && !bounded && m.applied[i] >= m.common {
				t.Fatalf("read goes to the primary (%s) although replica %d is eligible", decision.Reason, i)
			}
		}
		return
	}
	var i int
	if _, err := fmt.Sscanf(decision.Replica, "r%d", &i); err != nil {
		t.Fatal(err)
	}
	if m.applied[i] < read.Token.Offset || i == out {
		t.Fatalf("replica %d serves a read of a token that it has not reached", i)
	}
	if fresh(i) {
		return
	}
	if read.MaxAge == 0 {
		t.Fatalf("stale read: replica %d has %d, session wrote %d (%s)", i, m.applied[i], m.own[read.Session], decision.Reason)
	}
	for at, end := range m.ends {
		if !at.After(m.now.Add(-read.MaxAge)) && end > m.applied[i] {
			t.Fatalf("replica %d has %d, the primary had %d already %s ago", i, m.applied[i], end, m.now.Sub(at))
		}
	}
}

// TestChoose guards against decisions that the log explains wrongly.
func TestChoose(t *testing.T) {
	at := func(offset uint64) executor.Position { return executor.Position{Term: 1, Offset: offset} }
	in := func(name string, applied uint64, load float64) Replica {
		return Replica{Name: name, InService: true, Applied: applied, Load: load}
	}
	tests := []struct {
		name     string
		demand   Demand
		replicas []Replica
		want     Decision
	}{
		{"least loaded", Demand{Floor: at(5)}, []Replica{in("a", 5, 0.4), in("b", 9, 0.2), in("c", 4, 0)}, Decision{Replica: "b", Reason: ReasonApplied}},
		{"behind", Demand{Floor: at(5)}, []Replica{in("a", 4, 0)}, Decision{Wait: true, Reason: ReasonBehind}},
		{"within age", Demand{Floor: at(5), Aged: true, OldestEnd: 3}, []Replica{in("a", 3, 0)}, Decision{Replica: "a", Reason: ReasonWithinAge}},
		{"too old", Demand{Floor: at(5), Aged: true, OldestEnd: 4}, []Replica{in("a", 3, 0)}, Decision{Wait: true, Reason: ReasonBehind}},
		{"age does not weaken a token", Demand{Floor: at(5), Token: at(5), Aged: true}, []Replica{in("a", 4, 0)}, Decision{Wait: true, Reason: ReasonBehind}},
		{"none in service", Demand{}, []Replica{{Name: "a", Applied: 9}}, Decision{Reason: ReasonNoReplica}},
		{"excluded", Demand{Excluded: "a"}, []Replica{in("a", 9, 0)}, Decision{Reason: ReasonNoReplica}},
		{"ahead of the primary", Demand{Floor: at(11), Token: at(11)}, []Replica{in("a", 9, 0)}, Decision{Reason: ReasonAhead}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := Choose(test.demand, test.replicas, 10); got != test.want {
				t.Errorf("decision = %+v, want %+v", got, test.want)
			}
		})
	}
}

// TestFloorsBounded guards against a table that grows without bound, and against
// sessions that lose their floor when it is full.
func TestFloorsBounded(t *testing.T) {
	var tracker Tracker
	tracker.SetMaxEntries(100)
	tracker.Reset(executor.Position{Term: 1})
	for i := range uint64(1000) {
		tracker.Raise(Session{Name: fmt.Sprint(i)}, executor.Position{Term: 1, Offset: i + 1})
	}
	if got, want := tracker.Len(), 100; got != want {
		t.Errorf("entries = %d, want %d", got, want)
	}
	for i := range uint64(1000) {
		if got, want := tracker.Floor(Session{Name: fmt.Sprint(i)}).Offset, i+1; got < want {
			t.Fatalf("floor of session %d = %d, want at least %d", i, got, want)
		}
	}
	tracker.Observe(time.Unix(0, 0), 1000, 1000, false)
	if got, want := tracker.Len(), 0; got != want {
		t.Errorf("entries after all is applied = %d, want %d", got, want)
	}
	tracker.Raise(Session{Name: "new"}, executor.Position{Term: 1, Offset: 1001})
	if got, want := tracker.Floor(Session{Name: "other"}).Offset, uint64(1000); got != want {
		t.Errorf("floor of others = %d, want %d", got, want)
	}
}

// TestHistoryBounded guards against a history that grows without bound or tells
// an offset that the primary had passed.
func TestHistoryBounded(t *testing.T) {
	var history History
	start := time.Unix(0, 0)
	for i := range 20000 {
		history.Observe(start.Add(time.Duration(i)*5*time.Millisecond), uint64(i))
	}
	if got := len(history.samples); got > historyLength {
		t.Errorf("samples = %d, want at most %d", got, historyLength)
	}
	if got, ok := history.End(start.Add(99 * time.Second)); !ok || got < 19800 || got > 19802 {
		t.Errorf("end = %d, %v, want 19800 to 19802", got, ok)
	}
	if _, ok := history.End(start.Add(time.Hour)); ok {
		t.Error("end of a time after the last sample is known")
	}
}
