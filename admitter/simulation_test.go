package admitter

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// A simRequest is a request of a simulated load.
type simRequest struct {
	customer int
	class    Class
	arrival  time.Duration
	work     time.Duration
	// objective and timeout are relative to the arrival.
	objective, timeout time.Duration
}

// A simLoad is a load pattern: the mix of deployment A with a priority, mean work,
// objective and timeout for each kind of route.
type simLoad struct {
	name  string
	slots int
	// crashed is the number of slots that are missing during the fault.
	crashed int
	// slowdown is the factor of the work during the fault.
	slowdown float64
	// utilization is the mean load per slot without the fault.
	utilization float64
	// customers is the number of customers, whose sizes differ by a factor of up to 4.
	customers int
	// surging customers send surge times their load during the fault.
	surging int
	surge   float64
}

const (
	simLength   = 12 * time.Second
	faultBegins = 3 * time.Second
	faultEnds   = 8 * time.Second
)

var simKinds = []struct {
	class                    Class
	share                    float64
	work, objective, timeout time.Duration
}{
	{Class{Route: "primary"}, 0.15, 6 * time.Millisecond, 150 * time.Millisecond, 800 * time.Millisecond},
	{Class{Route: "own writes", Priority: 1}, 0.7, 18 * time.Millisecond, 250 * time.Millisecond, 800 * time.Millisecond},
	{Class{Route: "bounded", Priority: 2}, 0.15, 30 * time.Millisecond, time.Second, 2 * time.Second},
}

func inFault(at time.Duration) bool { return at >= faultBegins && at < faultEnds }

func (l simLoad) slotsAt(at time.Duration) int {
	if inFault(at) {
		return l.slots - l.crashed
	}
	return l.slots
}

// rate returns the requests per second of a customer without a surge.
func (l simLoad) rate(customer int) float64 {
	mean, sizes := 0.0, 0.0
	for _, kind := range simKinds {
		mean += kind.share * kind.work.Seconds()
	}
	for i := range l.customers {
		sizes += 1 + float64(i%4)
	}
	return l.utilization * float64(l.slots) / mean * (1 + float64(customer%4)) / sizes
}

// generate returns the requests of the load, ordered by arrival.
func (l simLoad) generate(seed uint64) []simRequest {
	var requests []simRequest
	for customer := range l.customers {
		random := rand.New(rand.NewPCG(seed, uint64(customer)))
		for at := time.Duration(0); ; {
			rate := l.rate(customer)
			if customer < l.surging && inFault(at) {
				rate *= l.surge
			}
			at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
			if at >= simLength {
				break
			}
			draw, kind := random.Float64(), simKinds[0]
			for _, kind = range simKinds {
				if draw -= kind.share; draw < 0 {
					break
				}
			}
			work := float64(kind.work) * (0.5 + random.Float64())
			if l.slowdown > 0 && inFault(at) {
				work *= l.slowdown
			}
			requests = append(requests, simRequest{customer, kind.class, at, time.Duration(work), kind.objective, kind.timeout})
		}
	}
	slices.SortFunc(requests, func(a, b simRequest) int { return cmp.Compare(a.arrival, b.arrival) })
	return requests
}

// A simResult is the result of a policy.
type simResult struct {
	value float64
	// inTime counts the requests that arrived during the fault and were served in time
	// by customer.
	inTime map[int]int
	// heldTooLong counts refused requests that were held for longer than a quarter of
	// their objective although they could no longer be in time.
	heldTooLong int
	refused     map[Reason]int
}

func (r *simResult) serve(request simRequest) {
	r.value += request.class.value()
	if inFault(request.arrival) {
		r.inTime[request.customer]++
	}
}

// A simEvent is the arrival of a request, the expiry or completion of a ticket, or
// a change of the number of slots.
type simEvent struct {
	at       time.Duration
	sequence int
	run      func()
}

type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// A simulation plays a load against a Queue.
type simulation struct {
	load     simLoad
	queue    Queue
	events   simEvents
	now      time.Duration
	sequence int
	requests map[*Ticket]simRequest
	result   simResult
}

var simEpoch = time.Unix(1000, 0)

func (s *simulation) clock() time.Time { return simEpoch.Add(s.now) }

func (s *simulation) at(at time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.events, simEvent{at: max(at, s.now), sequence: s.sequence, run: run})
}

func (s *simulation) handle(changed []*Ticket) {
	for _, t := range changed {
		request := s.requests[t]
		switch t.State {
		case Granted:
			s.at(s.now+request.work, func() {
				if s.now <= request.arrival+request.objective {
					s.result.serve(request)
				}
				s.handle(s.queue.Release(t, true, s.clock()))
			})
		case Refused:
			s.result.refused[t.Refusal.Reason]++
			held := s.now - request.arrival
			if held > request.objective/4 && s.now > request.arrival+request.objective {
				s.result.heldTooLong++
			}
		}
	}
}

func (s *simulation) arrive(request simRequest) {
	t, changed := s.queue.Add(Request{
		Customer: fmt.Sprint(request.customer), Weight: s.load.rate(request.customer), Class: request.class,
		Objective: s.clock().Add(request.objective), Timeout: s.clock().Add(request.timeout), MaxHold: request.objective / 4,
	}, s.clock())
	s.requests[t] = request
	if t.State != Waiting && !slices.Contains(changed, t) {
		changed = append(changed, t)
	}
	if t.State == Waiting {
		s.scheduleExpiry(t)
	}
	s.handle(changed)
}

func (s *simulation) scheduleExpiry(t *Ticket) {
	s.at(t.Expires().Sub(simEpoch), func() {
		s.handle(s.queue.Expire(t, s.clock()))
		if t.State == Waiting {
			s.scheduleExpiry(t)
		}
	})
}

// play plays the requests and returns the result.
func play(load simLoad, requests []simRequest) simResult {
	s := &simulation{load: load, requests: make(map[*Ticket]simRequest)}
	s.result = simResult{inTime: make(map[int]int), refused: make(map[Reason]int)}
	for _, at := range []time.Duration{0, faultBegins, faultEnds} {
		s.at(at, func() { s.handle(s.queue.SetSlots(load.slotsAt(at), s.clock())) })
	}
	for _, request := range requests {
		s.at(request.arrival, func() { s.arrive(request) })
	}
	for len(s.events) > 0 {
		event := heap.Pop(&s.events).(simEvent)
		s.now = event.at
		event.run()
	}
	return s.result
}

// playOracle returns the result of a policy that knows all requests and their work
// in advance: it accepts requests by value per slot time as long as the slots have
// enough free time between arrival and objective, and may interrupt them. So its
// result is an optimistic bound for policies that can't.
func playOracle(load simLoad, requests []simRequest) simResult {
	const bucket = 2 * time.Millisecond
	free := make([]time.Duration, (simLength+2*time.Second)/bucket)
	for i := range free {
		free[i] = time.Duration(load.slotsAt(time.Duration(i)*bucket)) * bucket
	}
	result := simResult{inTime: make(map[int]int)}
	byDensity := slices.Clone(requests)
	slices.SortStableFunc(byDensity, func(a, b simRequest) int {
		return cmp.Compare(b.class.value()/b.work.Seconds(), a.class.value()/a.work.Seconds())
	})
	for _, request := range byDensity {
		first, last := int(request.arrival/bucket), int((request.arrival+request.objective)/bucket)
		available := time.Duration(0)
		for _, time := range free[first:last] {
			available += min(time, bucket)
		}
		if available < request.work {
			continue
		}
		result.serve(request)
		left := request.work
		for i := first; left > 0; i++ {
			used := min(left, free[i], bucket)
			free[i] -= used
			left -= used
		}
	}
	return result
}

// TestValueUnderOverload guards against a policy that serves much less than one that
// knows the whole trace, and against customers that pay for the load of others.
func TestValueUnderOverload(t *testing.T) {
	loads := []simLoad{
		{name: "burst", slots: 4, utilization: 0.7, customers: 12, surging: 6, surge: 5},
		{name: "burst of all", slots: 12, utilization: 0.6, customers: 80, surging: 80, surge: 3},
		{name: "hot customer", slots: 4, utilization: 0.7, customers: 8, surging: 1, surge: 14},
		{name: "slow database", slots: 4, utilization: 0.7, customers: 12, slowdown: 5},
		{name: "third of the slots crashed", slots: 6, utilization: 0.95, customers: 12, crashed: 2},
	}
	for _, load := range loads {
		for seed := range uint64(5) {
			t.Run(fmt.Sprintf("%s, seed %d", load.name, seed), func(t *testing.T) {
				requests := load.generate(seed)
				got, oracle := play(load, requests), playOracle(load, requests)
				t.Logf("value %.3f of the oracle's, refused %v of %d", got.value/oracle.value, got.refused, len(requests))
				if got.value < 0.9*oracle.value {
					t.Errorf("got value %.1f, want at least 0.9 of the oracle's %.1f", got.value, oracle.value)
				}
				if got.heldTooLong > 0 {
					t.Errorf("%d refused requests were held although they could no longer be in time", got.heldTooLong)
				}
				checkCustomersWithinShare(t, load, requests, got)
			})
		}
	}
}

// checkCustomersWithinShare compares what customers within their share of the slots
// get with what they get alone. A customer is within its share if a server with its
// share of the slots is never more than shareHorizon behind, as far as customers may
// be ahead of their share.
func checkCustomersWithinShare(t *testing.T, load simLoad, requests []simRequest, got simResult) {
	t.Helper()
	checked := 0
	sizes := 0.0
	for customer := range load.customers {
		sizes += load.rate(customer)
	}
	for customer := range load.customers {
		share := load.rate(customer) / sizes * float64(load.slots-load.crashed)
		var own []simRequest
		idleAt, within := time.Duration(0), true
		for _, request := range requests {
			if request.customer != customer {
				continue
			}
			own = append(own, request)
			if inFault(request.arrival) {
				idleAt = max(idleAt, request.arrival) + time.Duration(float64(request.work)/share)
				within = within && idleAt-request.arrival <= shareHorizon
			}
		}
		if !within {
			continue
		}
		checked++
		alone := play(load, own)
		if float64(got.inTime[customer]) < 0.9*float64(alone.inTime[customer]) {
			t.Errorf("customer %d got %d of %d requests in time, want at least 0.9 of the %d alone", customer, got.inTime[customer], len(own), alone.inTime[customer])
		}
	}
	t.Logf("checked %d of %d customers", checked, load.customers)
}
