package accountant

import (
	"context"
	"fmt"
	"maps"
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	gometrics "github.com/rcrowley/go-metrics"
)

// TestCheckpointCodec guards against a checkpoint that a next leader reads differently, and
// against one that it accepts although it is incomplete.
func TestCheckpointCodec(t *testing.T) {
	want := Checkpoint{Token: 7, Present: 13, Processes: []uint32{3, 9}, Windows: []Window{
		{Number: 12, Counts: map[string]int64{"c1": 4, "c2": 5}}, {Number: 13, Counts: map[string]int64{}},
	}}
	data := EncodeCheckpoint(want)
	got, err := DecodeCheckpoint(data)
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, %v, want %+v", got, err, want)
	}
	for i := range data {
		if got, err := DecodeCheckpoint(data[:i]); !errors.Is(err, errMalformedCheckpoint) && !reflect.DeepEqual(got, want) {
			t.Errorf("first %d bytes: got %+v, %v, want %v", i, got, err, errMalformedCheckpoint)
		}
	}
}

// TestTakeOver guards against requests that a new leader counts twice because they are in the
// checkpoint and in the counts that a surviving host sends again, and against requests that
// it loses although they are in one of them.
func TestTakeOver(t *testing.T) {
	tests := []struct {
		name string
		// run counts requests on hosts a and b, which are in the checkpoint with 2 and 3
		// requests, and on host c, which is not.
		run  func(t *testing.T, a, c, leader *Book)
		want int64
		// lost is the number of processes that are known from the checkpoint only.
		lost int
	}{
		{name: "all killed", want: 5, lost: 2, run: func(*testing.T, *Book, *Book, *Book) {}},
		{name: "all killed, others started", want: 9, lost: 2, run: func(t *testing.T, _, c, leader *Book) {
			count(c, "c", 4)
			deliver(t, c, leader)
		}},
		{name: "one survives", want: 5, lost: 1, run: func(t *testing.T, a, _, leader *Book) {
			deliver(t, a, leader)
		}},
		{name: "one survives and counts more than the checkpoint has", want: 13, lost: 1, run: func(t *testing.T, a, c, leader *Book) {
			count(a, "c", 7)
			count(c, "c", 4)
			deliver(t, a, leader)
			deliver(t, c, leader)
		}},
		{name: "all killed twice", want: 9, lost: 3, run: func(t *testing.T, _, c, leader *Book) {
			count(c, "c", 4)
			second := newTestBook("second", "1")
			second.TakeOver(firstOf(leader.Checkpoint(1)))
			deliver(t, c, second)
			leader.TakeOver(firstOf(second.Checkpoint(2)))
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a, b, former := newTestBook("a", "1"), newTestBook("b", "1"), newTestBook("former", "1")
				count(a, "c", 2)
				window := count(b, "c", 3)
				deliver(t, a, former)
				deliver(t, b, former)
				leader := newTestBook("leader", "1")
				leader.TakeOver(firstOf(former.Checkpoint(1)))
				test.run(t, a, newTestBook("c", "2"), leader)
				if got, want := leader.Totals(window), map[string]int64{"c": test.want}; !maps.Equal(got, want) {
					t.Errorf("got %v, want %v", got, want)
				}
				registered := map[string]string{"c": "2", "leader": "1"}
				if test.lost == 1 {
					registered["a"] = "1"
				}
				if test.name == "all killed twice" {
					delete(registered, "c")
				}
				if got := leader.Lost(window, registered); got != test.lost {
					t.Errorf("got %d processes lost, want %d", got, test.lost)
				}
			})
		})
	}
}

func firstOf(checkpoint Checkpoint, _ uint64) Checkpoint { return checkpoint }

// TestCheckpointCalls guards against calls to the store that exceed their stated rate, against
// a checkpoint of a former leader that arrives late and ends those of the present one, and
// against one that replaces the checkpoint of a later leader.
func TestCheckpointCalls(t *testing.T) {
	m := newModel(t, 1, 20, false)
	m.run(20 * time.Second)
	registry := gometrics.NewRegistry()
	m.leader.checkpointer.Registry = registry
	written := func() int64 { return gometrics.GetOrRegisterCounter("usage_checkpoints", registry).Count() }
	m.run(20 * time.Second)
	if got := written(); got < 20 || got > 50 {
		t.Errorf("got %d checkpoints in 20 s, want one a second and at most 6 more at the end of each window", got)
	}
	// A write of a former leader has arrived.
	m.counter++
	m.checkpoint.Value, m.checkpoint.ModRevision = EncodeCheckpoint(Checkpoint{Token: 1}), m.checkpoint.ModRevision+1<<20
	before := written()
	m.run(3 * time.Second)
	if written() == before {
		t.Error("got no checkpoint after one of a former leader, want some")
	}
	m.checkpoint.Value, m.checkpoint.ModRevision = EncodeCheckpoint(Checkpoint{Token: 1 << 62}), m.checkpoint.ModRevision+1
	before = written()
	m.run(3 * time.Second)
	if written() != before {
		t.Error("got a checkpoint after one of a later leader, want none")
	}
}

// TestClosingAwaitsCheckpoint guards against a window that is recorded without the counts of the
// checkpoint because the store did not deliver it at once, and against one that is never
// recorded because it can't be read.
func TestClosingAwaitsCheckpoint(t *testing.T) {
	for _, unreadable := range []time.Duration{2 * time.Second, time.Hour} {
		t.Run(unreadable.String(), func(t *testing.T) {
			m := newModel(t, 1, 20, false)
			m.run(32 * time.Second)
			m.killAll(100 * time.Millisecond)
			until := m.now.Add(unreadable)
			for _, h := range m.hosts {
				read := h.checkpointer.Read
				h.checkpointer.Read = func(ctx context.Context) ([]byte, int64, error) {
					if m.now.Before(until) {
						return nil, 0, errModelLost
					}
					return read(ctx)
				}
			}
			killed := m.trueTime()
			m.run(40 * time.Second)
			for _, missing := range m.badWindows(killed, killed) {
				if unreadable < time.Minute && missing[:2] != "+0" || missing[3:] == " missing" {
					t.Errorf("got window %s", missing)
				}
			}
		})
	}
}

// BenchmarkCheckpoint measures the bytes and the processor time of a checkpoint just after the
// end of a window, with a load that is spread evenly over hosts and customers.
func BenchmarkCheckpoint(b *testing.B) {
	for _, size := range []struct{ hosts, customers, requestsPerSecond int }{{88, 86, 1400}, {300, 2000, 14000}} {
		b.Run(fmt.Sprintf("%d hosts, %d customers", size.hosts, size.customers), func(b *testing.B) {
			leader := newTestBook("leader", "1")
			present := testSchedule.Number(time.Now())
			leader.Settle(present - 1)
			for i := range size.hosts {
				changes := Changes{Version: 1, Sources: []SourceChanges{{}}}
				perHost := size.requestsPerSecond * 5 / size.hosts
				for j := range perHost {
					customer := fmt.Sprint("customer-", (i*perHost+j)%size.customers)
					changes.Sources[0].Counts = append(changes.Sources[0].Counts, Count{Customer: customer, Window: present - 1, Requests: 1 + int64(j%3)},
						Count{Customer: customer, Window: present, Requests: int64(j % 2)})
				}
				leader.Apply(Source{Host: fmt.Sprint("host-", i), Incarnation: fmt.Sprint("i", i*7919)}, changes)
			}
			b.ResetTimer()
			var value []byte
			for range b.N {
				value = EncodeCheckpoint(firstOf(leader.Checkpoint(1099511627842)))
			}
			b.ReportMetric(float64(len(value)), "bytes/checkpoint")
		})
	}
}
