package gossiper

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// A simulation runs cores without goroutines; messages take no time.
type simulation struct {
	now   time.Time
	cores []*Core
	named map[string]*Core
	due   dueHeap
	// bytes holds the traffic of each host in both directions.
	bytes map[string]int
}

// A dueHeap orders cores by their next ticks.
type dueHeap []dueCore

type dueCore struct {
	at   time.Time
	core *Core
}

func (h dueHeap) Len() int           { return len(h) }
func (h dueHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h dueHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *dueHeap) Push(x any)        { *h = append(*h, x.(dueCore)) }
func (h *dueHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// newSimulation returns hosts that know each other already.
func newSimulation(count int) *simulation {
	s := &simulation{now: time.Now(), named: make(map[string]*Core), bytes: make(map[string]int)}
	var hosts []Host
	for i := range count {
		name := fmt.Sprintf("host-%03d", i)
		hosts = append(hosts, Host{
			Name: name, DataCentre: fmt.Sprintf("dc%d", i%8), PeerAddress: fmt.Sprintf("10.0.%d.%d:7000", i/256, i%256),
			CallerAddress: fmt.Sprintf("10.0.%d.%d:5432", i/256, i%256), Incarnation: 1,
		})
	}
	for i, host := range hosts {
		c := &Core{Self: host, Rand: rand.New(rand.NewPCG(uint64(i), 1))}
		c.Start(s.now)
		for _, other := range hosts {
			c.merge(other, s.now, "test")
		}
		clear(c.news)
		c.flush()
		c.nextRound = s.now.Add(time.Duration(c.Rand.Int64N(int64(c.interval()))))
		c.nextTick = c.nextRound
		s.cores = append(s.cores, c)
		s.named[host.PeerAddress] = c
		s.push(c)
	}
	return s
}

func (s *simulation) push(c *Core) {
	heap.Push(&s.due, dueCore{at: c.NextTick(s.now), core: c})
}

// run lets time pass.
func (s *simulation) run(d time.Duration) {
	for end := s.now.Add(d); ; {
		next := s.due[0]
		if next.at.After(end) {
			s.now = end
			return
		}
		heap.Pop(&s.due)
		s.now = next.at
		s.perform(next.core, next.core.Tick(s.now))
		s.push(next.core)
	}
}

func (s *simulation) perform(c *Core, actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case Send:
			peer := s.named[a.Address]
			reply, more := peer.Receive(s.now, a.Heartbeat)
			s.count(c, peer, a.Heartbeat.Size()+reply.Size()+2*messageOverhead)
			s.perform(peer, more)
			s.perform(c, c.Answered(s.now, a.ID, reply))
		case Fetch:
			peer := s.named[a.Address]
			s.count(c, peer, 2*messageOverhead+2000)
			s.perform(c, c.SetRevision(s.now, peer.revision))
			s.perform(c, c.Fetched(s.now, true))
			// The news brought the next round forward.
			s.push(c)
		}
	}
}

func (s *simulation) count(a, b *Core, bytes int) {
	s.bytes[a.Self.Name] += bytes
	s.bytes[b.Self.Name] += bytes
}

// rate returns the mean and the highest traffic per second since the last call.
func (s *simulation) rate(d time.Duration) (mean, most float64) {
	total := 0
	for _, bytes := range s.bytes {
		total += bytes
		most = max(most, float64(bytes)/d.Seconds())
	}
	clear(s.bytes)
	return float64(total) / float64(len(s.cores)) / d.Seconds(), most
}

// Guards against control traffic of a large fleet over 4 KB/s a host, without
// and with changes.
func TestTraffic(t *testing.T) {
	tests := []struct {
		hosts int
		limit float64
	}{
		{9, 30_000},
		{40, 4096},
		{200, 4096},
		{730, 4096},
	}
	for _, test := range tests {
		s := newSimulation(test.hosts)
		s.run(5 * time.Second)
		s.rate(time.Second)
		const period = 20 * time.Second
		s.run(period)
		mean, most := s.rate(period)
		published := s.now
		s.perform(s.cores[0], s.cores[0].SetRevision(s.now, 2))
		s.push(s.cores[0])
		adopted, confirmed := s.spread(2)
		s.run(period - s.now.Sub(published))
		withChange, mostWithChange := s.rate(period)
		t.Logf("%d hosts: %.0f bytes/s a host (most %.0f); with a new revision %.0f (most %.0f), adopted by all after %v, confirmed after %v",
			test.hosts, mean, most, withChange, mostWithChange, adopted, confirmed)
		if mean > test.limit {
			t.Errorf("%d hosts: %.0f bytes/s, limit %.0f", test.hosts, mean, test.limit)
		}
		if adopted > 11*time.Second || confirmed > 15*time.Second {
			t.Errorf("%d hosts: adopted after %v, confirmed after %v", test.hosts, adopted, confirmed)
		}
	}
}

// spread returns when all have adopted a revision and when the first host knows.
func (s *simulation) spread(revision uint64) (adopted, confirmed time.Duration) {
	start := s.now
	for s.now.Sub(start) < 20*time.Second {
		behind, unconfirmed := 0, 0
		for _, c := range s.cores {
			if c.revision < revision {
				behind++
			}
		}
		for _, confirmation := range s.cores[0].Confirmations(s.now) {
			if confirmation.Revision < revision {
				unconfirmed++
			}
		}
		if behind == 0 && adopted == 0 {
			adopted = s.now.Sub(start)
		}
		if unconfirmed == 0 {
			return adopted, s.now.Sub(start)
		}
		s.run(100 * time.Millisecond)
	}
	return s.now.Sub(start), s.now.Sub(start)
}
