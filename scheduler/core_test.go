package scheduler

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// job is a batch of a simulation.
type job struct {
	customer string
	arrives  time.Duration
	takes    time.Duration
	started  time.Duration
	done     bool
	ticket   *Ticket
}

// simulate runs the jobs and returns the largest number that ran at once.
func simulate(jobs []*job, p *fair) int {
	var epoch time.Time
	waiting := slices.Clone(jobs)
	slices.SortStableFunc(waiting, func(a, b *job) int { return cmp.Compare(a.arrives, b.arrives) })
	var running []*job
	most := 0
	for len(waiting) > 0 || len(running) > 0 {
		var now time.Duration
		if len(running) == 0 || (len(waiting) > 0 && waiting[0].arrives < running[0].started+running[0].takes) {
			now = waiting[0].arrives
			p.arrive(waiting[0], epoch.Add(now))
			waiting = waiting[1:]
		} else {
			now = running[0].started + running[0].takes
			running[0].done = true
			p.finish(running[0], epoch.Add(now))
			running = running[1:]
		}
		for _, j := range p.dispatch(epoch.Add(now)) {
			j.started = now
			running = append(running, j)
		}
		slices.SortStableFunc(running, func(a, b *job) int { return cmp.Compare(a.started+a.takes, b.started+b.takes) })
		most = max(most, len(running))
	}
	return most
}

// fair gives the slots of a simulation by a Core.
type fair struct {
	core Core
	jobs map[*Ticket]*job
}

func newFair(slots int, shares map[string]Share) *fair {
	f := &fair{jobs: make(map[*Ticket]*job)}
	f.core.SetSlots(slots)
	f.core.SetShares(shares)
	return f
}

func (f *fair) arrive(j *job, now time.Time) {
	ticket, err := f.core.Add(Request{Customer: j.customer, Deadline: now.Add(1000 * time.Hour)}, now)
	if err != nil {
		panic(err)
	}
	j.ticket = ticket
	f.jobs[ticket] = j
}

func (f *fair) dispatch(now time.Time) []*job {
	var jobs []*job
	for _, ticket := range f.core.Dispatch(now) {
		jobs = append(jobs, f.jobs[ticket])
	}
	return jobs
}

func (f *fair) finish(j *job, now time.Time) { f.core.Done(j.ticket, now) }

// firstCome starts the jobs first come, first served.
func firstCome(jobs []*job, slots int) {
	slices.SortStableFunc(jobs, func(a, b *job) int { return cmp.Compare(a.arrives, b.arrives) })
	free := make([]time.Duration, slots)
	for _, j := range jobs {
		slices.Sort(free)
		j.started = max(j.arrives, free[0])
		free[0] = j.started + j.takes
		j.done = true
	}
}

// TestFairnessBound guards against a customer that gets more than its weight
// while all customers have waiting batches: in every interval, slot time over
// weight differs by no more than what the slots can hold at once.
func TestFairnessBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 5).Draw(t, "slots")
		customers := rapid.IntRange(2, 4).Draw(t, "customers")
		shares := make(map[string]Share)
		var jobs []*job
		longest := time.Duration(0)
		for c := range customers {
			name := fmt.Sprint("c", c)
			shares[name] = Share{Weight: rapid.IntRange(1, 4).Draw(t, "weight"), MaxQueued: 10000}
			takes := time.Duration(rapid.IntRange(1, 20).Draw(t, "takes")) * time.Millisecond
			longest = max(longest, takes)
			// Batches that grow are charged too little by an average of earlier ones.
			grows := rapid.Bool().Draw(t, "grows")
			for i := range 1000 {
				j := &job{customer: name, takes: takes}
				if grows {
					j.takes = max(time.Millisecond, takes*time.Duration(i)/1000)
				}
				jobs = append(jobs, j)
			}
		}
		if got := simulate(jobs, newFair(slots, shares)); got > slots {
			t.Fatalf("running at once = %d, want at most %d", got, slots)
		}
		// Only the time in which every customer has waiting batches counts.
		lastStart := make(map[string]time.Duration)
		for _, j := range jobs {
			lastStart[j.customer] = max(lastStart[j.customer], j.started)
		}
		end := time.Duration(1 << 62)
		for _, last := range lastStart {
			end = min(end, last)
		}
		for at := range 10 {
			from, to := end*time.Duration(at)/10, end
			var lowest, highest float64 = 1e18, 0
			for name, share := range shares {
				used := usedBetween(jobs, name, from, to) / float64(share.Weight)
				lowest, highest = min(lowest, used), max(highest, used)
			}
			// Each side is off by the batches that a slot holds plus the one whose
			// length is estimated before its end.
			if got, want := highest-lowest, 2*float64(slots+1)*longest.Seconds(); got > want {
				t.Fatalf("difference of slot time over weight = %.3f s, want at most %.3f s", got, want)
			}
		}
	})
}

// usedBetween returns the slot time of a customer in an interval.
func usedBetween(jobs []*job, customer string, from, to time.Duration) float64 {
	used := 0.0
	for _, j := range jobs {
		if j.customer == customer {
			used += max(0, min(to, j.started+j.takes)-max(from, j.started)).Seconds()
		}
	}
	return used
}

// TestAgainstFirstCome guards against slots that idle while batches wait, and
// against a small customer that waits longer than it would without fair shares.
func TestAgainstFirstCome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 5).Draw(t, "slots")
		shares := map[string]Share{"large": {Weight: 1, MaxQueued: 10000}, "small": {Weight: 1, MaxQueued: 10000}}
		takes := time.Duration(rapid.IntRange(1, 10).Draw(t, "takes")) * time.Millisecond
		var ours, naive []*job
		add := func(customer string, arrives time.Duration) {
			ours = append(ours, &job{customer: customer, arrives: arrives, takes: takes})
			naive = append(naive, &job{customer: customer, arrives: arrives, takes: takes})
		}
		for range rapid.IntRange(10, 300).Draw(t, "large") {
			add("large", time.Duration(rapid.IntRange(0, 50).Draw(t, "at"))*time.Millisecond)
		}
		// The small customer stays under half of the slots, its fair share.
		for i := range 20 {
			add("small", time.Duration(i)*takes*4)
		}
		simulate(ours, newFair(slots, shares))
		firstCome(naive, slots)
		if got, want := lastEnd(ours), lastEnd(naive); got != want {
			t.Fatalf("all batches done after %s, first come first served after %s", got, want)
		}
		for _, j := range ours {
			if wait := j.started - j.arrives; j.customer == "small" && wait > 2*takes {
				t.Fatalf("small customer waited %s for batches of %s", wait, takes)
			}
		}
	})
}

func lastEnd(jobs []*job) time.Duration {
	end := time.Duration(0)
	for _, j := range jobs {
		if !j.done {
			panic("batch was never run")
		}
		end = max(end, j.started+j.takes)
	}
	return end
}

// TestIdleCustomerSavesNothing guards against a customer that uses all slots
// after it was idle, because its earlier lead is remembered as a due time.
func TestIdleCustomerSavesNothing(t *testing.T) {
	f := newFair(1, map[string]Share{"a": {Weight: 1}, "b": {Weight: 1}})
	// Customer a has a lead when it goes idle: its last batch starts after the
	// first of b and is charged after it.
	jobs := []*job{{customer: "a", takes: 50 * time.Millisecond}}
	for range 200 {
		jobs = append(jobs, &job{customer: "b", takes: 10 * time.Millisecond})
	}
	back := time.Second
	for range 20 {
		jobs = append(jobs, &job{customer: "a", arrives: back, takes: 10 * time.Millisecond})
	}
	simulate(jobs, f)
	got := usedBetween(jobs, "a", back, back+200*time.Millisecond)
	if want := 0.12; got > want {
		t.Errorf("slot time of the returned customer = %.3f s of 0.200 s, want at most %.3f s", got, want)
	}
}

// TestRandomOperations guards against slots given out twice, batches lost or
// started after their deadline, and queues beyond their bound.
func TestRandomOperations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var core Core
		now := time.Unix(0, 0)
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		core.SetSlots(slots)
		core.MaxPinned = 2
		core.SetShares(map[string]Share{"a": {Weight: 1, MaxQueued: 3}, "b": {Weight: 3, MaxQueued: 3}})
		var held, waiting []*Ticket
		take := func(list *[]*Ticket, label string) *Ticket {
			at := rapid.IntRange(0, len(*list)-1).Draw(t, label)
			ticket := (*list)[at]
			*list = slices.Delete(*list, at, at+1)
			return ticket
		}
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "pass")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "operation") {
			case 0, 1:
				ticket, err := core.Add(Request{
					Customer: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "customer"),
					Deadline: now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "deadline")) * time.Millisecond),
					Priority: rapid.Bool().Draw(t, "priority"), Pins: rapid.Bool().Draw(t, "pins"),
				}, now)
				if err == nil {
					waiting = append(waiting, ticket)
				}
			case 2:
				if len(held) > 0 {
					ticket := take(&held, "release")
					if ticket.opens() && rapid.Bool().Draw(t, "pin") {
						core.Pin()
					}
					core.Done(ticket, now)
				}
			case 3:
				if len(waiting) > 0 {
					core.Done(take(&waiting, "withdraw"), now)
				}
			case 4:
				if core.Pinned() > 0 {
					core.Unpin()
				}
			}
			for _, ticket := range core.Dispatch(now) {
				at := slices.Index(waiting, ticket)
				if at < 0 {
					t.Fatal("ticket changed that was not waiting")
				}
				waiting = slices.Delete(waiting, at, at+1)
				if late := !now.Before(ticket.Deadline); late != (ticket.State == Expired) {
					t.Fatalf("state %d although late = %v", ticket.State, late)
				}
				if ticket.State == Granted {
					held = append(held, ticket)
				}
			}
			check(t, &core, held, waiting, slots)
		}
	})
}

func check(t *rapid.T, core *Core, held, waiting []*Ticket, slots int) {
	if len(held) > slots || core.Running() != len(held) || core.Queued() != len(waiting) {
		t.Fatalf("running %d of %d, queued %d; held %d, waiting %d", core.Running(), slots, core.Queued(), len(held), len(waiting))
	}
	pinned := core.Pinned()
	for _, ticket := range held {
		if ticket.opens() {
			pinned++
		}
	}
	if pinned > core.MaxPinned {
		t.Fatalf("open transactions = %d, want at most %d", pinned, core.MaxPinned)
	}
	queued := make(map[string]int)
	for _, ticket := range waiting {
		startable := !ticket.opens() || pinned < core.MaxPinned
		if startable && len(held) < slots {
			t.Fatal("a batch waits although a slot is free")
		}
		if !ticket.Priority {
			queued[ticket.Customer]++
		}
	}
	for customer, n := range queued {
		if n > 3 {
			t.Fatalf("queue of %s = %d, want at most 3", customer, n)
		}
	}
}
