package measurer

import (
	"container/heap"
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/endiveturn/endiveturn/gossiper"
)

const (
	// gossipSettle lets hosts that met at the same moment spread out, and
	// gossipTime is the virtual time that is watched.
	gossipSettle = 90 * time.Second
	gossipTime   = 10 * time.Second
	// messageOverhead is what drpc and TCP add to a heartbeat, as the
	// gossiper's own budget assumes.
	messageOverhead = 92
)

// gossipSteps are the numbers of hosts, all above the size at which the rounds
// get slower.
var gossipSteps = []int{60, 240, 730}

// A gossipFleet runs the cores of many hosts in virtual time; messages take no
// time.
type gossipFleet struct {
	now      time.Time
	due      coreHeap
	cores    map[string]*gossiper.Core
	bytes    int
	messages int
}

type dueCore struct {
	at   time.Time
	core *gossiper.Core
}

type coreHeap []dueCore

func (h coreHeap) Len() int           { return len(h) }
func (h coreHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h coreHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *coreHeap) Push(x any)        { *h = append(*h, x.(dueCore)) }
func (h *coreHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// newGossipFleet returns hosts that have just told each other of all hosts.
func newGossipFleet(count int) *gossipFleet {
	f := &gossipFleet{now: time.Now(), cores: make(map[string]*gossiper.Core)}
	var hosts []gossiper.Host
	for i := range count {
		hosts = append(hosts, gossiper.Host{
			Name: fmt.Sprintf("host-%03d", i), DataCentre: fmt.Sprintf("dc%d", i%4),
			PeerAddress: fmt.Sprintf("10.0.%d.%d:7000", i/256, i%256), CallerAddress: fmt.Sprintf("10.0.%d.%d:5432", i/256, i%256),
			Incarnation: 1,
		})
	}
	for i, host := range hosts {
		c := &gossiper.Core{Self: host, Rand: rand.New(rand.NewPCG(uint64(i), 5))}
		f.cores[host.PeerAddress] = c
		c.Start(f.now)
		c.Receive(f.now, gossiper.Heartbeat{From: hosts[(i+1)%count], Members: hosts})
		heap.Push(&f.due, dueCore{at: f.now.Add(time.Duration(c.Rand.Int64N(int64(time.Second)))), core: c})
	}
	return f
}

// run lets virtual time pass.
func (f *gossipFleet) run(d time.Duration) {
	for end := f.now.Add(d); f.due[0].at.Before(end); {
		next := heap.Pop(&f.due).(dueCore)
		f.now = next.at
		f.perform(next.core, next.core.Tick(f.now))
		heap.Push(&f.due, dueCore{at: maxTime(next.core.NextTick(f.now), f.now.Add(time.Millisecond)), core: next.core})
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (f *gossipFleet) perform(c *gossiper.Core, actions []gossiper.Action) {
	for _, action := range actions {
		send, ok := action.(gossiper.Send)
		if !ok {
			continue
		}
		peer := f.cores[send.Address]
		reply, more := peer.Receive(f.now, send.Heartbeat)
		f.messages++
		// Each byte counts at the host that sends it and at the one that
		// receives it.
		f.bytes += 2 * (send.Heartbeat.Size() + reply.Size() + 2*messageOverhead)
		f.perform(peer, more)
		f.perform(c, c.Answered(f.now, send.ID, reply))
	}
}

// gossipSlopes measures membership by the number of hosts.
func gossipSlopes(context.Context, *slog.Logger) ([]Slope, error) {
	var processor, traffic, messages, memory []SlopePoint
	for _, hosts := range gossipSteps {
		base := memoryInUse()
		f := newGossipFleet(hosts)
		f.run(gossipSettle)
		n := float64(hosts)
		memory = append(memory, SlopePoint{Size: n, Cost: (memoryInUse() - base) / n})
		f.bytes, f.messages = 0, 0
		before, err := processorTime()
		if err != nil {
			return nil, err
		}
		f.run(gossipTime)
		after, err := processorTime()
		if err != nil {
			return nil, err
		}
		seconds := gossipTime.Seconds() * n
		processor = append(processor, SlopePoint{Size: n, Cost: microseconds(after-before) / seconds})
		traffic = append(traffic, SlopePoint{Size: n, Cost: float64(f.bytes) / seconds})
		messages = append(messages, SlopePoint{Size: n, Cost: float64(f.messages) / seconds})
	}
	const method = "the decision cores of 60, 240 and 730 hosts in virtual time without changes, for 10 s after 90 s of settling"
	return fitAll([]slopeInput{
		{"gossip_processor", "us/s per host", "hosts", method, processor},
		{"gossip_traffic", "bytes/s per host, both directions", "hosts", method, traffic},
		{"gossip_heartbeats", "heartbeats/s sent per host", "hosts", method, messages},
		{"gossip_memory", "bytes per host", "hosts", method, memory},
	})
}
