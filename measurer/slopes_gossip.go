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
	// gossipWarmUp is the virtual time in which hosts that all started at the
	// same moment spread their heartbeats. gossipWindow is the virtual time that
	// is measured after it.
	gossipWarmUp = 90 * time.Second
	gossipWindow = 10 * time.Second
	// messageOverhead is the number of bytes that drpc and TCP add to a
	// heartbeat. The gossiper assumes the same for its traffic budget.
	messageOverhead = 92
)

// gossipHostCounts are the measured numbers of hosts, all above the size at which
// gossip rounds start to become less frequent.
var gossipHostCounts = []int{60, 240, 730}

// A gossipSimulation runs the gossip cores of many hosts in virtual time.
// Messages arrive without delay.
type gossipSimulation struct {
	now      time.Time
	ticks    tickHeap
	cores    map[string]*gossiper.Core
	bytes    int
	messages int
}

// A scheduledTick is the time at which a core is due to tick.
type scheduledTick struct {
	at   time.Time
	core *gossiper.Core
}

// A tickHeap implements heap.Interface with the earliest tick first.
type tickHeap []scheduledTick

func (h tickHeap) Len() int           { return len(h) }
func (h tickHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h tickHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *tickHeap) Push(x any)        { *h = append(*h, x.(scheduledTick)) }
func (h *tickHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// newGossipSimulation returns hosts that have each just received a list of all
// hosts.
func newGossipSimulation(count int) *gossipSimulation {
	f := &gossipSimulation{now: time.Now(), cores: make(map[string]*gossiper.Core)}
	var hosts []gossiper.Host
	for i := range count {
		hosts = append(hosts, gossiper.Host{
			Name: fmt.Sprintf("host-%03d", i), DataCentre: fmt.Sprintf("dc%d", i%4),
			PeerAddress: fmt.Sprintf("10.0.%d.%d:7000", i/256, i%256), ClientAddress: fmt.Sprintf("10.0.%d.%d:5432", i/256, i%256),
			Incarnation: 1,
		})
	}
	for i, host := range hosts {
		c := &gossiper.Core{Self: host, Rand: rand.New(rand.NewPCG(uint64(i), 5))}
		f.cores[host.PeerAddress] = c
		c.Start(f.now)
		c.HandleHeartbeat(f.now, gossiper.Heartbeat{From: hosts[(i+1)%count], Members: hosts})
		heap.Push(&f.ticks, scheduledTick{at: f.now.Add(time.Duration(c.Rand.Int64N(int64(time.Second)))), core: c})
	}
	return f
}

// advance runs the hosts for d of virtual time.
func (f *gossipSimulation) advance(d time.Duration) {
	for end := f.now.Add(d); f.ticks[0].at.Before(end); {
		next := heap.Pop(&f.ticks).(scheduledTick)
		f.now = next.at
		f.execute(next.core, next.core.Tick(f.now))
		heap.Push(&f.ticks, scheduledTick{at: later(next.core.NextTick(f.now), f.now.Add(time.Millisecond)), core: next.core})
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// execute delivers the heartbeats among the actions of a core, and the replies
// to them, and counts messages and bytes.
func (f *gossipSimulation) execute(c *gossiper.Core, actions []gossiper.Action) {
	for _, action := range actions {
		send, ok := action.(gossiper.Send)
		if !ok {
			continue
		}
		peer := f.cores[send.Address]
		reply, peerActions := peer.HandleHeartbeat(f.now, send.Heartbeat)
		f.messages++
		// Each byte counts at the sending and at the receiving host.
		f.bytes += 2 * (send.Heartbeat.Size() + reply.Size() + 2*messageOverhead)
		f.execute(peer, peerActions)
		f.execute(c, c.HandleReply(f.now, send.ID, reply))
	}
}

// gossipSlopes measures the cost of membership per host by the number of hosts.
func gossipSlopes(context.Context, *slog.Logger) ([]Slope, error) {
	var processor, traffic, messages, memory []SlopePoint
	for _, hosts := range gossipHostCounts {
		memoryBefore := memoryInUse()
		f := newGossipSimulation(hosts)
		f.advance(gossipWarmUp)
		n := float64(hosts)
		memory = append(memory, SlopePoint{Size: n, Cost: (memoryInUse() - memoryBefore) / n})
		f.bytes, f.messages = 0, 0
		before, err := processorTime()
		if err != nil {
			return nil, err
		}
		f.advance(gossipWindow)
		after, err := processorTime()
		if err != nil {
			return nil, err
		}
		seconds := gossipWindow.Seconds() * n
		processor = append(processor, SlopePoint{Size: n, Cost: microseconds(after-before) / seconds})
		traffic = append(traffic, SlopePoint{Size: n, Cost: float64(f.bytes) / seconds})
		messages = append(messages, SlopePoint{Size: n, Cost: float64(f.messages) / seconds})
	}
	const method = "the decision cores of 60, 240 and 730 hosts in virtual time without changes, for 10 s after 90 s of settling"
	return fitSlopes([]slopeInput{
		{"gossip_processor", "us/s per host", "hosts", method, processor},
		{"gossip_traffic", "bytes/s per host, both directions", "hosts", method, traffic},
		{"gossip_heartbeats", "heartbeats/s sent per host", "hosts", method, messages},
		{"gossip_memory", "bytes per host", "hosts", method, memory},
	})
}
