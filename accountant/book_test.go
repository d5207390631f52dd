package accountant

import (
	"bytes"
	"compress/flate"
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

var testSchedule = Schedule{Window: 5 * time.Second, Due: 10 * time.Second}

// newTestBook returns the book of a process whose clock is that of a synctest bubble.
func newTestBook(host, incarnation string) *Book {
	clock := &Clock{Now: time.Now, WallClock: time.Now, Agreement: 100 * time.Millisecond}
	return &Book{Schedule: testSchedule, Clock: clock, Self: Source{Host: host, Incarnation: incarnation}, Now: time.Now}
}

// deliver sends the changes of one book to another one.
func deliver(t *testing.T, from, to *Book) {
	t.Helper()
	changes, err := Decode(Encode(from.Changes(to.Self.Host)))
	if err != nil {
		t.Fatal(err)
	}
	to.Apply(from.Self, changes)
}

func count(b *Book, customer string, requests int) (window int64) {
	for range requests {
		window = b.Begin(customer)
		b.End(customer, window, true)
	}
	return window
}

// passOnCorrected has host b report two requests of customer c and one that is running to a,
// and to another host that this one was not run. After b is killed both pass the counts on.
func passOnCorrected(t *testing.T, a, b, collector *Book, correctedFirst bool) {
	t.Helper()
	other := newTestBook("other", "1")
	a.SetCollector("a")
	other.SetCollector("a")
	count(b, "c", 2)
	window := b.Begin("c")
	deliver(t, b, a)
	b.End("c", window, false)
	deliver(t, b, other)
	time.Sleep(time.Second)
	relays := []*Book{a, other}
	if correctedFirst {
		slices.Reverse(relays)
	}
	for _, relay := range relays {
		relay.SetCollector("collector")
		deliver(t, relay, collector)
	}
}

// TestCollection guards against requests that the collector loses or counts twice when
// messages are lost, late or repeated, when processes restart, and when the collector changes.
func TestCollection(t *testing.T) {
	tests := []struct {
		name string
		// run counts requests of customer c on hosts a and b and delivers them to the
		// collector.
		run  func(t *testing.T, a, b, collector *Book)
		want int64
	}{
		{name: "two hosts", want: 5, run: func(t *testing.T, a, b, collector *Book) {
			count(a, "c", 2)
			count(b, "c", 3)
			deliver(t, a, collector)
			deliver(t, b, collector)
		}},
		{name: "message repeated", want: 2, run: func(t *testing.T, a, _, collector *Book) {
			count(a, "c", 2)
			deliver(t, a, collector)
			deliver(t, a, collector)
		}},
		{name: "older message arrives later", want: 3, run: func(t *testing.T, a, _, collector *Book) {
			count(a, "c", 2)
			late := a.Changes("collector")
			count(a, "c", 1)
			deliver(t, a, collector)
			collector.Apply(a.Self, late)
		}},
		{name: "message after an acknowledgement is lost", want: 6, run: func(t *testing.T, a, _, collector *Book) {
			count(a, "c", 2)
			deliver(t, a, collector)
			deliver(t, collector, a)
			count(a, "c", 3)
			a.Changes("collector")
			count(a, "c", 1)
			deliver(t, a, collector)
		}},
		{name: "not run", want: 1, run: func(t *testing.T, a, _, collector *Book) {
			count(a, "c", 1)
			window := a.Begin("c")
			deliver(t, a, collector)
			deliver(t, collector, a)
			a.End("c", window, false)
			deliver(t, a, collector)
		}},
		{name: "host restarts", want: 5, run: func(t *testing.T, a, _, collector *Book) {
			count(a, "c", 2)
			deliver(t, a, collector)
			deliver(t, collector, a)
			next := newTestBook("a", "2")
			count(next, "c", 3)
			deliver(t, next, collector)
		}},
		{name: "collector restarts", want: 3, run: func(t *testing.T, a, _, collector *Book) {
			former := newTestBook("collector", "0")
			count(a, "c", 2)
			deliver(t, a, former)
			deliver(t, former, a)
			count(a, "c", 1)
			deliver(t, a, collector)
			deliver(t, collector, a)
			deliver(t, a, collector)
		}},
		{name: "former collector is killed", want: 5, run: func(t *testing.T, a, b, collector *Book) {
			a.SetCollector("b")
			count(a, "c", 2)
			count(b, "c", 3)
			deliver(t, b, a)
			a.SetCollector("collector")
			deliver(t, a, collector)
		}},
		{name: "host is killed before the collector changes", want: 3, run: func(t *testing.T, a, b, collector *Book) {
			a.SetCollector("a")
			count(b, "c", 3)
			deliver(t, b, a)
			time.Sleep(time.Second)
			a.SetCollector("collector")
			deliver(t, a, collector)
		}},
		{name: "passed on and reported", want: 4, run: func(t *testing.T, a, b, collector *Book) {
			a.SetCollector("b")
			count(b, "c", 3)
			deliver(t, b, a)
			count(b, "c", 1)
			deliver(t, b, collector)
			a.SetCollector("collector")
			deliver(t, a, collector)
		}},
		{name: "corrected before it is passed on", want: 2, run: func(t *testing.T, a, b, collector *Book) {
			a.SetCollector("a")
			count(b, "c", 2)
			window := b.Begin("c")
			deliver(t, b, a)
			b.End("c", window, false)
			deliver(t, b, collector)
			time.Sleep(time.Second)
			a.SetCollector("collector")
			deliver(t, a, collector)
		}},
		{name: "passed on by a former release", want: 3, run: func(t *testing.T, a, b, collector *Book) {
			a.SetCollector("a")
			count(b, "c", 3)
			deliver(t, b, a)
			time.Sleep(time.Second)
			a.SetCollector("collector")
			changes := a.Changes("collector")
			for i := range changes.Sources {
				changes.Sources[i].Version = 0
			}
			collector.Apply(a.Self, changes)
		}},
		{name: "passed on by two hosts, the corrected count first", want: 2, run: func(t *testing.T, a, b, collector *Book) {
			passOnCorrected(t, a, b, collector, true)
		}},
		{name: "passed on by two hosts, the corrected count last", want: 2, run: func(t *testing.T, a, b, collector *Book) {
			passOnCorrected(t, a, b, collector, false)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a, b, collector := newTestBook("a", "1"), newTestBook("b", "1"), newTestBook("collector", "1")
				window := testSchedule.Number(time.Now())
				test.run(t, a, b, collector)
				if got, want := collector.Totals(window), map[string]int64{"c": test.want}; !maps.Equal(got, want) {
					t.Errorf("got %v, want %v", got, want)
				}
			})
		})
	}
}

// TestOnlyChangesAreSent guards against reports that carry counts which the receiver has
// already, since bytes between data centres are expensive.
func TestOnlyChangesAreSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, collector := newTestBook("a", "1"), newTestBook("collector", "1")
		for i := range 80 {
			count(a, fmt.Sprint("customer-", i), 1)
		}
		deliver(t, a, collector)
		deliver(t, collector, a)
		count(a, "customer-3", 2)
		changes := a.Changes("collector")
		want := Count{Customer: "customer-3", Window: testSchedule.Number(time.Now()), Requests: 3}
		if got := changes.Sources[0].Counts; len(got) != 1 || got[0] != want {
			t.Errorf("got %v, want only %v", got, want)
		}
		if a.AcknowledgedBy("collector") {
			t.Error("got all counts acknowledged, want one that is not")
		}
	})
}

// TestFinalWindow guards against a window that is closed while a statement that was sent in
// it, or the report of a host, is missing.
func TestFinalWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, collector := newTestBook("a", "1"), newTestBook("collector", "1")
		fleet := map[string]string{"a": "1", "collector": "1"}
		window := a.Begin("c")
		time.Sleep(testSchedule.Window + time.Second)
		missing := func(want int) {
			t.Helper()
			if got := collector.Missing(window, fleet); got != want {
				t.Errorf("got %d hosts missing, want %d", got, want)
			}
		}
		missing(1)
		deliver(t, a, collector)
		missing(1)
		a.End("c", window, true)
		missing(1)
		deliver(t, a, collector)
		missing(0)
		fleet["a"] = "2"
		missing(1)
	})
}

// TestKeptWindows guards against memory that grows with time, and against counts of others
// that are kept after their window is recorded.
func TestKeptWindows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, collector := newTestBook("a", "1"), newTestBook("collector", "1")
		first := count(a, "c", 1)
		deliver(t, a, collector)
		collector.Settle(first + 1)
		deliver(t, a, collector)
		if got := collector.Totals(first); len(got) > 0 {
			t.Errorf("got %v in a window that is recorded, want nothing", got)
		}
		for range 100 {
			count(a, "c", 1)
			deliver(t, a, collector)
			time.Sleep(testSchedule.Window)
		}
		for _, b := range []*Book{a, collector} {
			if got := len(b.sources[a.Self].windows); got > keptWindows {
				t.Errorf("got %d windows, want at most %d", got, keptWindows)
			}
		}
	})
}

// BenchmarkBegin measures what counting adds to a statement.
func BenchmarkBegin(b *testing.B) {
	book := newTestBook("a", "1")
	b.ReportAllocs()
	for range b.N {
		book.End("customer-1", book.Begin("customer-1"), true)
	}
}

// BenchmarkCollect measures the processor time and the bytes of the counts in the report of a
// host to the leader, with a load that is spread evenly over hosts and customers: every host
// reports every 180 ms.
func BenchmarkCollect(b *testing.B) {
	for _, size := range []struct{ hosts, customers, requestsPerSecond int }{{88, 86, 1400}, {300, 2000, 14000}} {
		b.Run(fmt.Sprintf("%d hosts, %d customers", size.hosts, size.customers), func(b *testing.B) {
			collector := newTestBook("collector", "1")
			books := make([]*Book, size.hosts)
			for i := range books {
				books[i] = newTestBook(fmt.Sprint("host-", i), "1")
			}
			perReport := size.requestsPerSecond * 180 / 1000 / size.hosts
			sent, replied, customer := 0, 0, 0
			b.ResetTimer()
			for i := range b.N {
				book := books[i%size.hosts]
				for range perReport {
					customer = (customer*31 + 17) % size.customers
					book.End(fmt.Sprint("customer-", customer), book.Begin(fmt.Sprint("customer-", customer)), true)
				}
				changes := book.Changes("collector")
				changes.WallClock, changes.FleetTime = book.Clock.Readings()
				data := Encode(changes)
				sent += len(data)
				changes, err := Decode(data)
				if err != nil {
					b.Fatal(err)
				}
				collector.Apply(book.Self, changes)
				acknowledgement := collector.Acknowledgement(book.Self.Host)
				acknowledgement.WallClock, acknowledgement.FleetTime = collector.Clock.Readings()
				data = Encode(acknowledgement)
				replied += len(data)
				reply, err := Decode(data)
				if err != nil {
					b.Fatal(err)
				}
				book.Apply(collector.Self, reply)
			}
			b.ReportMetric(float64(sent)/float64(b.N), "bytes/report")
			b.ReportMetric(float64(replied)/float64(b.N), "bytes/reply")
		})
	}
}

// BenchmarkRecord measures the size of the record that the leader writes once a window and
// that all hosts receive, after deflation, which hosts apply to large records.
func BenchmarkRecord(b *testing.B) {
	for _, customers := range []int{86, 2000} {
		b.Run(fmt.Sprintf("%d customers", customers), func(b *testing.B) {
			record := Record{Token: 1099511627842, Era: 1, Next: 353445121}
			for number := int64(353445109); number < 353445120; number++ {
				record.Windows = append(record.Windows, Window{Number: number, Accepted: true})
			}
			counts := make(map[string]int64)
			for i := range customers {
				counts[fmt.Sprint("customer-", i)] = int64(i * 7919 % 400)
			}
			record.Windows = append(record.Windows, Window{Number: 353445120, Counts: counts})
			var value []byte
			var deflated bytes.Buffer
			for range b.N {
				value = EncodeRecord(record)
				deflated.Reset()
				w, err := flate.NewWriter(&deflated, flate.BestSpeed)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := w.Write(value); err != nil || w.Close() != nil {
					b.Fatal("can't deflate")
				}
			}
			b.ReportMetric(float64(len(value)), "bytes/record")
			b.ReportMetric(float64(deflated.Len()), "deflated_bytes/record")
		})
	}
}

// TestNothingIsAddedToFinalWindows guards against requests that are counted in a window that
// this process has reported as final, which the collector may have closed, after the fleet's
// time has gone back across the window's end.
func TestNothingIsAddedToFinalWindows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBook("a", "1")
		wallOffset := time.Duration(0)
		b.Clock.WallClock = func() time.Time { return time.Now().Add(wallOffset) }
		present := testSchedule.Number(time.Now())
		// The clock is checked 5 ms after the window is reported.
		time.Sleep(time.Until(testSchedule.End(present)) + 15*time.Millisecond - clockCheckInterval)
		b.Clock.Time()
		time.Sleep(clockCheckInterval - 5*time.Millisecond)
		final := b.Changes("collector").Final
		if final != present {
			t.Fatalf("final window: got %d, want %d", final, present)
		}
		wallOffset = -50 * time.Millisecond
		time.Sleep(5 * time.Millisecond)
		if got := testSchedule.Number(b.Clock.Time()); got != final {
			t.Fatalf("window after the time has gone back: got %d, want %d", got, final)
		}
		if window := b.Begin("c"); window <= final {
			t.Errorf("counted in window %d, which is final", window)
		}
	})
}
