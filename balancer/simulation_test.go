package balancer

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// A simPolicy chooses a database for a host from what the host knows.
type simPolicy struct {
	name   string
	choose func(s *spreadSimulation, host int) int
}

// A simView is what a host knows of a database.
type simView struct {
	outstanding int
	latency     float64
	updated     time.Duration
}

// A spreadLoad is a load on a service's databases by many hosts.
type spreadLoad struct {
	name      string
	hosts     int
	databases int
	slots     int
	// utilization is the mean load per slot; burst is its factor for 200 ms in each
	// second, which begins for all hosts at once.
	utilization, burst float64
	// slow is the factor of the service time at the first database, 1 if it is not
	// slow.
	slow float64
}

// A spreadSimulation plays a load with a policy. Databases serve what hosts send in
// the order of arrival.
type spreadSimulation struct {
	load   spreadLoad
	policy simPolicy
	random *rand.Rand
	now    time.Duration
	events spreadEvents
	views  [][]simView
	// queues hold the work that waits and runs at a database.
	running []int
	waiting [][]func()
	// reported are the counts of all hosts' requests in the last report of the hub.
	reported []int

	waits        []float64
	responses    []float64
	age, samples float64
	spread, cv   float64
	spreadCount  int
}

type spreadEvent struct {
	at  time.Duration
	run func()
}

type spreadEvents []spreadEvent

func (e spreadEvents) Len() int           { return len(e) }
func (e spreadEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e spreadEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *spreadEvents) Push(x any)        { *e = append(*e, x.(spreadEvent)) }
func (e *spreadEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

const (
	spreadLength = 20 * time.Second
	spreadWork   = 18 * time.Millisecond
	spreadHop    = 1400 * time.Microsecond
)

func (s *spreadSimulation) after(d time.Duration, run func()) {
	heap.Push(&s.events, spreadEvent{s.now + d, run})
}

func (s *spreadSimulation) rate() float64 {
	rate := s.load.utilization * float64(s.load.databases*s.load.slots) / spreadWork.Seconds()
	if s.now%time.Second < 200*time.Millisecond {
		return rate * s.load.burst
	}
	return rate
}

func (s *spreadSimulation) arrive() {
	s.after(time.Duration(s.random.ExpFloat64()/s.rate()*float64(time.Second)), s.arrive)
	host := s.random.IntN(s.load.hosts)
	db := s.policy.choose(s, host)
	view := &s.views[host][db]
	if view.updated > 0 {
		s.age += (s.now - view.updated).Seconds()
		s.samples++
	}
	view.outstanding++
	sent := s.now
	work := spreadWork.Seconds() * (0.5 + s.random.Float64())
	if db == 0 {
		work *= s.load.slow
	}
	s.after(spreadHop, func() {
		arrived := s.now
		run := func() {
			s.waits = append(s.waits, (s.now - arrived).Seconds())
			s.running[db]++
			s.after(time.Duration(work*float64(time.Second)), func() {
				s.running[db]--
				s.startNext(db)
				s.after(spreadHop, func() { s.respond(view, sent) })
			})
		}
		s.waiting[db] = append(s.waiting[db], run)
		s.startNext(db)
	})
}

func (s *spreadSimulation) startNext(db int) {
	for s.running[db] < s.load.slots && len(s.waiting[db]) > 0 {
		run := s.waiting[db][0]
		s.waiting[db] = s.waiting[db][1:]
		run()
	}
}

func (s *spreadSimulation) respond(view *simView, sent time.Duration) {
	view.outstanding--
	latency := (s.now - sent).Seconds()
	s.responses = append(s.responses, latency)
	if view.updated == 0 {
		view.latency = latency
	} else {
		view.latency += latencySmoothing * (latency - view.latency)
	}
	view.updated = s.now
}

const latencySmoothing = 0.3

// sampleSpread records how unevenly the databases are loaded.
func (s *spreadSimulation) sampleSpread() {
	s.after(10*time.Millisecond, s.sampleSpread)
	sum, squares, largest := 0.0, 0.0, 0.0
	for db := range s.running {
		load := float64(s.running[db] + len(s.waiting[db]))
		sum, squares, largest = sum+load, squares+load*load, max(largest, load)
	}
	n := float64(len(s.running))
	mean := sum / n
	if mean < 0.5 {
		return
	}
	s.spread += largest / mean
	s.cv += math.Sqrt(max(0, squares/n-mean*mean)) / mean
	s.spreadCount++
}

// report lets all hosts know the present load, as a report of the hub could.
func (s *spreadSimulation) report() {
	s.after(180*time.Millisecond, s.report)
	for db := range s.reported {
		s.reported[db] = s.running[db] + len(s.waiting[db])
	}
}

// options returns what the host knows as options of the balancer.
func (s *spreadSimulation) options(host int) []Option {
	options := make([]Option, s.load.databases)
	for db := range options {
		v := s.views[host][db]
		options[db] = Option{Outstanding: v.outstanding, Permits: max(1, s.load.slots*6/5/s.load.hosts), Latency: time.Duration(v.latency * float64(time.Second))}
		options[db].Age = s.now - v.updated
	}
	return options
}

func leastBy(n int, random *rand.Rand, cost func(int) float64) int {
	best, count := 0, 0
	for i := range n {
		switch {
		case cost(i) < cost(best) || i == 0:
			best, count = i, 1
		case cost(i) == cost(best):
			if count++; random.IntN(count) == 0 {
				best = i
			}
		}
	}
	return best
}

func twoOf(n int, random *rand.Rand, cost func(int) float64) int {
	a, b := random.IntN(n), random.IntN(n-1)
	if b >= a {
		b++
	}
	if cost(b) < cost(a) {
		return b
	}
	return a
}

var simPolicies = []simPolicy{
	{"least by own count", func(s *spreadSimulation, host int) int {
		return leastBy(s.load.databases, s.random, func(db int) float64 { return float64(s.views[host][db].outstanding) })
	}},
	{"least by count and latency", func(s *spreadSimulation, host int) int {
		return leastBy(s.load.databases, s.random, func(db int) float64 {
			return float64(s.views[host][db].outstanding) + s.views[host][db].latency/0.025
		})
	}},
	{"assigned", func(s *spreadSimulation, host int) int { return host % s.load.databases }},
	{"random", func(s *spreadSimulation, host int) int { return s.random.IntN(s.load.databases) }},
	{"two by own count", func(s *spreadSimulation, host int) int {
		return twoOf(s.load.databases, s.random, func(db int) float64 { return float64(s.views[host][db].outstanding) })
	}},
	{"two by decaying estimate", func(s *spreadSimulation, host int) int {
		costs := Estimates(s.options(host))
		return twoOf(s.load.databases, s.random, func(db int) float64 { return costs[db] })
	}},
	{"shares by estimate", func(s *spreadSimulation, host int) int {
		costs := Estimates(s.options(host))
		for db := range costs {
			costs[db] += 0.2 * costs[db] * math.Log(s.random.ExpFloat64())
		}
		return leastBy(s.load.databases, s.random, func(db int) float64 { return costs[db] })
	}},
	{"least by reported count", func(s *spreadSimulation, host int) int {
		return leastBy(s.load.databases, s.random, func(db int) float64 { return float64(s.reported[db] + s.views[host][db].outstanding) })
	}},
	{"balancer", func(s *spreadSimulation, host int) int {
		return Choose(s.options(host), s.random.Float64)
	}},
}

// play plays the load with the policy.
func playSpread(load spreadLoad, policy simPolicy, seed uint64) *spreadSimulation {
	s := &spreadSimulation{load: load, policy: policy, random: rand.New(rand.NewPCG(seed, 1))}
	s.running, s.waiting, s.reported = make([]int, load.databases), make([][]func(), load.databases), make([]int, load.databases)
	s.views = make([][]simView, load.hosts)
	for host := range s.views {
		s.views[host] = make([]simView, load.databases)
	}
	s.after(0, s.arrive)
	s.after(0, s.sampleSpread)
	s.after(0, s.report)
	for s.now < spreadLength {
		event := heap.Pop(&s.events).(spreadEvent)
		s.now = event.at
		event.run()
	}
	return s
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

// TestSpread guards against hosts that choose databases from stale information and
// overload them in turns (herd effect), and against a balancer that is worse than
// simpler policies.
func TestSpread(t *testing.T) {
	loads := []spreadLoad{
		{name: "78 hosts", hosts: 78, databases: 3, slots: 4, utilization: 0.6, burst: 1, slow: 1},
		{name: "78 hosts, bursts", hosts: 78, databases: 3, slots: 4, utilization: 0.5, burst: 2, slow: 1},
		{name: "78 hosts, one slow database", hosts: 78, databases: 3, slots: 4, utilization: 0.4, burst: 1, slow: 5},
		{name: "20 hosts, bursts", hosts: 20, databases: 5, slots: 4, utilization: 0.6, burst: 2, slow: 1},
		{name: "pool host, bursts", hosts: 1, databases: 3, slots: 4, utilization: 0.6, burst: 2, slow: 1},
		{name: "pool host, one slow database", hosts: 1, databases: 3, slots: 4, utilization: 0.4, burst: 1, slow: 5},
	}
	for _, load := range loads {
		t.Run(load.name, func(t *testing.T) {
			best, own := math.Inf(1), 0.0
			for _, policy := range simPolicies {
				s := playSpread(load, policy, 1)
				n := float64(s.spreadCount)
				t.Logf("%-28s max/mean %.2f cv %.2f wait %.1f ms response %.1f ms age %.0f ms", policy.name, s.spread/n, s.cv/n, 1000*mean(s.waits), 1000*mean(s.responses), 1000*s.age/max(1, s.samples))
				if response := mean(s.responses); policy.name == "balancer" {
					own = response
				} else {
					best = min(best, response)
				}
			}
			if own > 1.1*best {
				t.Errorf("got a mean response time of %.1f ms, want at most 1.1 times the best policy's %.1f ms", 1000*own, 1000*best)
			}
		})
	}
}
