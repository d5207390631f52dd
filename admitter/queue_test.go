package admitter

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"
)

// newRequest returns a request of a kind of the simulation.
func newRequest(customer string, kind int, now time.Time) Request {
	k := simKinds[kind]
	return Request{
		Customer: customer, Class: k.class, Objective: now.Add(k.objective), Timeout: now.Add(k.timeout), MaxHold: k.objective / 4,
	}
}

// TestOrder guards against requests that are served before ones of higher value,
// before statements of open transactions, or, though late, before ones in time.
func TestOrder(t *testing.T) {
	now := simEpoch
	var q Queue
	q.SetSlots(1, now)
	running, _ := q.Add(newRequest("a", 0, now), now)
	names := make(map[*Ticket]string)
	add := func(name string, request Request) {
		ticket, changed := q.Add(request, now)
		if ticket.State != Waiting || len(changed) > 0 {
			t.Fatalf("%s is in state %d with %d changes, want it to wait", name, ticket.State, len(changed))
		}
		names[ticket] = name
	}
	late := newRequest("b", 0, now)
	late.Objective = now
	open := newRequest("c", 2, now)
	open.Class.InTransaction = true
	add("late", late)
	add("low", newRequest("a", 2, now))
	add("high", newRequest("a", 0, now))
	add("open transaction", open)
	var got []string
	for running != nil {
		changed := q.Release(running, true, now)
		running = nil
		for _, ticket := range changed {
			got, running = append(got, names[ticket]), ticket
		}
	}
	if want := []string{"open transaction", "high", "low", "late"}; !slices.Equal(got, want) {
		t.Errorf("got order %q, want %q", got, want)
	}
}

// TestRefusals guards against requests that are held although it is known that they
// can't be served in time, and against waiting ones that keep their place although
// more valuable requests take the slots.
func TestRefusals(t *testing.T) {
	now := simEpoch
	var q Queue
	q.SetSlots(1, now)
	q.Add(newRequest("a", 1, now), now)
	tooLate := newRequest("a", 1, now)
	tooLate.Timeout = now.Add(time.Millisecond)
	if ticket, _ := q.Add(tooLate, now); ticket.State != Refused || ticket.Refusal.Reason != ReasonTimeout {
		t.Errorf("got state %d for a request whose timeout is near, want a refusal", ticket.State)
	}
	low := newRequest("a", 1, now)
	low.Class.Priority = 3
	lowTicket, _ := q.Add(low, now)
	if lowTicket.State != Waiting {
		t.Fatalf("got state %d, want the request to wait", lowTicket.State)
	}
	var last *Ticket
	for i := 0; last == nil || last.State == Waiting; i++ {
		if i > 100 {
			t.Fatal("100 requests wait for one slot")
		}
		last, _ = q.Add(newRequest("a", 1, now), now)
	}
	if last.Refusal.Reason != ReasonExpectedWait {
		t.Errorf("the last request was refused as %v, want %v", last.Refusal.Reason, ReasonExpectedWait)
	}
	if lowTicket.State != Refused || lowTicket.Refusal.Reason != ReasonDisplaced {
		t.Errorf("got state %d for the displaced request, want a refusal", lowTicket.State)
	}
}

// TestSlowClassRecovers guards against a class that is refused for ever because its
// requests once took as long as their timeout.
func TestSlowClassRecovers(t *testing.T) {
	now := simEpoch
	var q Queue
	q.SetSlots(1, now)
	ticket, _ := q.Add(newRequest("a", 0, now), now)
	now = now.Add(2 * time.Second)
	q.Release(ticket, true, now)
	if ticket, _ = q.Add(newRequest("a", 0, now), now); ticket.State != Refused {
		t.Fatalf("got state %d for a request of 2 s with a timeout of 0.8 s, want a refusal", ticket.State)
	}
	now = now.Add(5 * time.Second)
	if ticket, _ = q.Add(newRequest("a", 0, now), now); ticket.State != Granted {
		t.Errorf("got state %d after 5 s, want the request to be tried", ticket.State)
	}
}

// TestRetriesAreSpread guards against refused requests that all return at once.
func TestRetriesAreSpread(t *testing.T) {
	now := simEpoch
	var q Queue
	q.SetSlots(2, now)
	var delays []time.Duration
	for range 100 {
		ticket, _ := q.Add(newRequest("a", 0, now), now)
		if ticket.State == Refused {
			delays = append(delays, ticket.Refusal.RetryAfter)
		}
	}
	slices.Sort(delays)
	if unique := len(slices.Compact(slices.Clone(delays))); len(delays) < 50 || unique < len(delays) {
		t.Errorf("got %d different delays of %d, want all to differ", unique, len(delays))
	}
	if last := delays[len(delays)-1]; last > maxRetryAfter {
		t.Errorf("got a delay of %v, want at most %v", last, maxRetryAfter)
	}
}

// TestThrottle guards against attempts that take the capacity of those that could
// succeed, and against a database that is no longer tried after it has recovered.
func TestThrottle(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	now := simEpoch
	var throttle Throttle
	admitted := func(attempts int, succeeds float64) int {
		count := 0
		for range attempts {
			now = now.Add(20 * time.Millisecond)
			if throttle.Admit(1, random.Float64, now) {
				count++
				throttle.Record(random.Float64() < succeeds, now)
			}
		}
		return count
	}
	if got := admitted(500, 1); got < 490 {
		t.Errorf("admitted %d of 500 attempts that all succeed, want nearly all", got)
	}
	admitted(250, 0.1)
	if got := admitted(500, 0.1); got > 100 {
		t.Errorf("admitted %d of 500 attempts of which a tenth succeeds, want few", got)
	}
	admitted(500, 1)
	if got := admitted(500, 1); got < 490 {
		t.Errorf("admitted %d of 500 attempts after the database has recovered, want nearly all", got)
	}
}

// TestGate guards against slots that are lost or granted twice when requests are
// withdrawn, refused and served concurrently, and against refusals that come only
// at the timeout.
func TestGate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &Gate{Now: time.Now}
		g.SetSlots(2)
		hold, err := g.Acquire(t.Context(), newRequest("a", 0, time.Now()))
		if err != nil {
			t.Fatal(err)
		}
		for i := range 300 {
			go func() {
				began := time.Now()
				request := newRequest(strconv.Itoa(i%7), i%3, began)
				ticket, err := g.Acquire(t.Context(), request)
				if err != nil {
					var refusal *Refusal
					if !errors.Is(err, ErrRefused) || !errors.As(err, &refusal) || time.Since(began) > time.Until(request.Timeout) {
						t.Errorf("got %v after %v, want a refusal before the timeout", err, time.Since(began))
					}
					return
				}
				time.Sleep(10 * time.Millisecond)
				g.Release(ticket, true)
			}()
			time.Sleep(time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		synctest.Wait()
		g.Release(hold, true)
		if g.queue.running != 0 || g.queue.queued != 0 || g.queue.fairShare.active != 0 || g.Backlog() != 0 {
			t.Errorf("%d requests run, %d wait, %d customers are active; want none", g.queue.running, g.queue.queued, g.queue.fairShare.active)
		}
	})
}

// TestIdleEntriesAreRemoved guards against memory, and a cost of each request, that grow with
// all customers and routes that a configuration ever had; and against a customer that gets
// more than its fair share because what it has used is forgotten too early.
func TestIdleEntriesAreRemoved(t *testing.T) {
	now := simEpoch
	var q Queue
	q.SetSlots(1, now)
	run := func(customer, route string) {
		request := newRequest(customer, 0, now)
		request.Class.Route = route
		ticket, _ := q.Add(request, now)
		now = now.Add(time.Millisecond)
		q.Release(ticket, true, now)
	}
	for i := range 5000 {
		run(fmt.Sprint("customer", i), fmt.Sprint("route", i))
		now = now.Add(100 * time.Millisecond)
	}
	if got, limit := len(q.customers), 2*minSweep; got > limit {
		t.Errorf("customers: got %d, want at most %d", got, limit)
	}
	// 600 routes are used within classRetention.
	if got, limit := len(q.byKey), 2*(600+minSweep); got > limit || len(q.classes) != got {
		t.Errorf("classes: got %d and %d, want the same number and at most %d", got, len(q.classes), limit)
	}
	heavy := q.customer("heavy")
	heavy.used[0] = q.fairShare.virtual + 100
	for i := range 1000 {
		q.customer(fmt.Sprint("other", i))
	}
	if got := q.customers["heavy"]; got != heavy {
		t.Error("a customer that is ahead of its fair share is removed")
	}
}

// BenchmarkQueue measures the processor time of one request while 100 others of 81
// customers wait.
func BenchmarkQueue(b *testing.B) {
	now := simEpoch
	var q Queue
	q.SetSlots(4, now)
	customers := make([]string, 81)
	for i := range customers {
		customers[i] = fmt.Sprint("customer", i)
	}
	var running []*Ticket
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		request := newRequest(customers[i%81], i%3, now)
		request.Objective, request.Timeout = now.Add(400*time.Millisecond), now.Add(time.Hour)
		ticket, changed := q.Add(request, now)
		if ticket.State == Granted {
			running = append(running, ticket)
		}
		_ = changed
		if len(running) > 0 && i%2 == 0 {
			for _, granted := range q.Release(running[0], true, now) {
				if granted.State == Granted {
					running = append(running, granted)
				}
			}
			running = running[1:]
		}
	}
	b.ReportMetric(float64(q.Queued()), "waiting")
}
