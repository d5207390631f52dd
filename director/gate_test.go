package director

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// TestGateOrder guards against statements of open transactions and urgent
// routes that wait behind others.
func TestGateOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &gate{}
		g.setLimit(1)
		far := time.Now().Add(time.Hour)
		if err := g.enter(t.Context(), rank{}, far); err != nil {
			t.Fatal(err)
		}
		var mu sync.Mutex
		var got []string
		ranks := []struct {
			name string
			rank rank
		}{
			{name: "late", rank: rank{priority: 2, due: far}},
			{name: "soon", rank: rank{priority: 2, due: far.Add(-time.Minute)}},
			{name: "urgent", rank: rank{priority: 1, due: far}},
			{name: "open", rank: rank{open: true, priority: 2, due: far}},
		}
		for _, r := range ranks {
			go func() {
				if err := g.enter(t.Context(), r.rank, far); err != nil {
					t.Error(err)
				}
				mu.Lock()
				got = append(got, r.name)
				mu.Unlock()
				g.leave()
			}()
			synctest.Wait()
		}
		g.leave()
		synctest.Wait()
		want := []string{"open", "urgent", "soon", "late"}
		for i := range want {
			if i >= len(got) || got[i] != want[i] {
				t.Fatalf("got order %v, want %v", got, want)
			}
		}
	})
}

// A lunchHour is the load of one service whose replicas lag, so that its
// primary alone serves what three databases usually do: the requests of three
// kinds of routes with their work, objective and part of the traffic.
type lunchHour struct {
	priority int
	work     time.Duration
	target   time.Duration
	share    float64
}

// TestGateServesInTimeWhenOnePrimaryServesAll guards against an overload in
// which every request waits and is served late. Load: the mix of routes at 1.3
// times what five slots carry, for 10 s.
func TestGateServesInTimeWhenOnePrimaryServesAll(t *testing.T) {
	kinds := []lunchHour{
		{priority: 1, work: 11 * time.Millisecond, target: 200 * time.Millisecond, share: 0.15},
		{priority: 2, work: 55 * time.Millisecond, target: 800 * time.Millisecond, share: 0.15},
		{priority: 2, work: 33 * time.Millisecond, target: 400 * time.Millisecond, share: 0.7},
	}
	const (
		slots    = 5
		overload = 1.3
		length   = 10 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(1, 2))
		mean := 0.0
		for _, k := range kinds {
			mean += k.share * k.work.Seconds()
		}
		interval := time.Duration(mean / slots / overload * float64(time.Second))
		g := &gate{}
		g.setLimit(slots)
		var mu sync.Mutex
		asked, inTime, late := 0, 0, 0
		for start := time.Now(); time.Since(start) < length; {
			time.Sleep(time.Duration(random.ExpFloat64() * float64(interval)))
			kind := kinds[2]
			if draw := random.Float64(); draw < kinds[0].share {
				kind = kinds[0]
			} else if draw < kinds[0].share+kinds[1].share {
				kind = kinds[1]
			}
			asked++
			go func() {
				began := time.Now()
				deadline := began.Add(time.Duration(queueShare * float64(kind.target)))
				if err := g.enter(context.Background(), rank{priority: kind.priority, due: began.Add(kind.target)}, deadline); err != nil {
					return
				}
				defer g.leave()
				time.Sleep(kind.work)
				mu.Lock()
				defer mu.Unlock()
				if time.Since(began) <= kind.target {
					inTime++
				} else {
					late++
				}
			}()
		}
		time.Sleep(time.Second)
		mu.Lock()
		defer mu.Unlock()
		// Five slots can serve 1/1.3 of the work; a tenth may be lost to idle
		// moments and to the mix.
		if got, want := float64(inTime)/float64(asked), 0.9/overload; got < want {
			t.Errorf("served %.2f in time, want at least %.2f", got, want)
		}
		if late > asked/100 {
			t.Errorf("served %d of %d late, want at most a hundredth", late, asked)
		}
	})
}
