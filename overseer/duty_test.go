package overseer

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/informer"
	"github.com/endiveturn/endiveturn/storer"
)

// TestDuty guards against a host that acts on a duty which another one holds,
// and against tokens that do not rise.
func TestDuty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		other := encode(wireDuty{Host: "h2", Incarnation: "i2"})
		revision, err := w.write(t.Context(), storer.Put{Key: dutyKey, Value: other})
		if err != nil {
			t.Fatal(err)
		}
		w.mirror.Wrote(informer.Record{Key: dutyKey, Value: other, Revision: revision})
		w.start()
		if token, ok := w.overseer.holds(); ok {
			t.Fatalf("holds the duty with token %d, want another host", token)
		}
		w.change(func() { delete(w.entries, dutyKey) })
		w.mirror.Wrote(informer.Record{Key: dutyKey, Revision: revision + 1, Deleted: true})
		time.Sleep(time.Second)
		synctest.Wait()
		token, ok := w.overseer.holds()
		if !ok || token <= revision {
			t.Errorf("got token %d, %v, want one above %d", token, ok, revision)
		}
		w.change(func() { w.storeLost = true })
		time.Sleep(leaseTime + time.Second)
		if _, ok := w.overseer.holds(); ok {
			t.Error("holds the duty though its lease may have ended")
		}
	})
}

// TestLargeHostsTakeTheDuty guards against a large fleet whose speaker has a link
// too narrow for the reports of all.
func TestLargeHostsTakeTheDuty(t *testing.T) {
	tests := []struct {
		name     string
		capacity int64
		young    bool
		least    int
		most     int
	}{
		{name: "large", capacity: 9, least: 1000, most: 1000},
		{name: "large and young", capacity: 9, young: true, least: 500, most: 1000},
		{name: "small", capacity: 1, least: 1, most: 50},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			hosts := []cataloger.Host{{Name: "h1", Capacity: 9}, {Name: "h2", Capacity: 9}}
			for i := range 50 {
				hosts = append(hosts, cataloger.Host{Name: fmt.Sprint("small", i), Capacity: 1})
			}
			o := &Overseer{
				Host: cataloger.Host{Capacity: test.capacity}, Young: func() bool { return test.young },
				Catalog: func() *cataloger.Catalog { return &cataloger.Catalog{Sharers: hosts} },
			}
			got := 0
			for range 1000 {
				if o.chosen() {
					got++
				}
			}
			if got < test.least || got > test.most {
				t.Errorf("took part in %d campaigns of 1000, want %d to %d", got, test.least, test.most)
			}
		})
	}
}

// TestSlowHolderGivesUp guards against a holder of the duty that is slow or cut off
// from the databases, takes all primaries to be gone and replaces them.
func TestSlowHolderGivesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		w.start()
		w.overseer.noneAnswered(t.Context(), "s")
		time.Sleep(2 * unansweredTime)
		w.overseer.noneAnswered(t.Context(), "t")
		if _, ok := w.overseer.holds(); !ok {
			t.Error("the duty was given up for one service at a time")
		}
		w.overseer.noneAnswered(t.Context(), "s")
		if _, ok := w.overseer.holds(); ok {
			t.Error("the duty is held though the databases of two services do not answer")
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		if len(w.revoked) != 1 {
			t.Errorf("%d leases were ended, want the one of the duty", len(w.revoked))
		}
	})
}
