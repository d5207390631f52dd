package gossiper

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	defaultListInterval = 30 * time.Second
	listTimeout         = 5 * time.Second
)

// ErrNoSend says that a Gossiper has no way to reach its peers.
var ErrNoSend = errors.New("gossiper has no Send function")

// A Gossiper runs a Core: it sends what the core asks for. Its exported fields
// are set before first use.
type Gossiper struct {
	// Self describes this host; Incarnation is its start time in ns.
	Self Host
	// Seeds are addresses of other hosts.
	Seeds []HostEntry
	// List reads the platform's host list; it may be nil.
	List func(context.Context) ([]HostEntry, error)
	// ListInterval is the time between two reads; 0 stands for 30 s.
	ListInterval time.Duration
	// Send sends a heartbeat to an address and returns the answer.
	Send func(ctx context.Context, address string, h Heartbeat) (Heartbeat, error)
	// Probe asks the host at the address whether target answers it.
	Probe func(ctx context.Context, address string, target Host) (bool, error)
	// Fetch gets the configuration from the peer at the address, adopts it and
	// calls SetRevision. It may be nil.
	Fetch func(ctx context.Context, address string, revision uint64) error
	// TakenOut says that operators have taken a host or its data centre out of
	// service. It is asked whenever a service is placed and may be nil.
	TakenOut func(host, dataCentre string) bool
	// Now returns the time with a monotonic reading; nil stands for time.Now.
	Now func() time.Time
	// Rand may be nil.
	Rand *rand.Rand
	// Logger may be nil.
	Logger *slog.Logger
	// OnChange is called after hosts, claims or eligibility have changed, never
	// twice at a time and only while Run runs. It may be nil.
	OnChange func()

	setUp sync.Once
	base  time.Time
	view  atomic.Pointer[View]
	// freshUntil is when this host stops to be fresh, as ns since base.
	freshUntil atomic.Int64
	// wake makes Run look for the time of the next tick.
	wake chan struct{}
	// changes holds a token when OnChange has to be called.
	changes chan struct{}

	mu   sync.Mutex
	core Core
	// ctx is that of Run; backlog holds actions from before it.
	ctx     context.Context
	backlog []Action
	// stopped says that nothing is sent any more.
	stopped bool
	running sync.WaitGroup
}

func (g *Gossiper) init() {
	g.setUp.Do(func() {
		if g.Now == nil {
			g.Now = time.Now
		}
		if g.Rand == nil {
			g.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
		}
		g.wake = make(chan struct{}, 1)
		g.changes = make(chan struct{}, 1)
		g.base = g.Now()
		g.core = Core{Self: g.Self, Seeds: g.Seeds, Rand: g.Rand}
		g.backlog = g.core.Start(g.base)
		g.view.Store(g.core.View(g.base, g.TakenOut))
	})
}

// Run sends heartbeats until ctx ends, and announces then that this host has
// left.
func (g *Gossiper) Run(ctx context.Context) error {
	g.init()
	if g.Send == nil {
		return errors.WithStack(ErrNoSend)
	}
	working, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g.mu.Lock()
	g.ctx = working
	backlog := g.backlog
	g.backlog = nil
	g.mu.Unlock()
	g.perform(backlog)
	loops, stop := context.WithCancel(ctx)
	defer stop()
	var group sync.WaitGroup
	group.Go(func() { g.notify(loops) })
	if g.List != nil {
		group.Go(func() { g.pollList(loops) })
	}
	g.loop(loops)
	group.Wait()
	g.announce(working, Left)
	g.mu.Lock()
	g.stopped = true
	g.mu.Unlock()
	cancel()
	g.running.Wait()
	return nil
}

// loop ticks the core.
func (g *Gossiper) loop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			g.event(func(now time.Time) []Action { return g.core.Tick(now) })
		case <-g.wake:
		}
		g.mu.Lock()
		now := g.Now()
		due := g.core.NextTick(now)
		g.mu.Unlock()
		timer.Reset(max(0, due.Sub(now)))
	}
}

// notify calls OnChange.
func (g *Gossiper) notify(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.changes:
			if g.OnChange != nil {
				g.OnChange()
			}
		}
	}
}

// pollList reads the platform's list now and then.
func (g *Gossiper) pollList(ctx context.Context) {
	interval := g.ListInterval
	if interval == 0 {
		interval = defaultListInterval
	}
	for {
		g.readList(ctx)
		g.mu.Lock()
		jitter := time.Duration(g.Rand.Int64N(int64(interval)/5 + 1))
		g.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval - interval/10 + jitter):
		}
	}
}

func (g *Gossiper) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list, err := g.List(ctx)
	if err != nil {
		if g.Logger != nil && ctx.Err() == nil {
			g.Logger.Warn("read host list", "reason", err)
		}
		return
	}
	g.event(func(now time.Time) []Action { return g.core.SetList(now, list) })
}

// event gives the core an event and does what it asks for.
func (g *Gossiper) event(handle func(now time.Time) []Action) {
	g.init()
	g.mu.Lock()
	now := g.Now()
	actions := handle(now)
	g.settle(now, actions)
	if g.ctx == nil {
		g.backlog = append(g.backlog, actions...)
		actions = nil
	}
	if g.stopped {
		g.mu.Unlock()
		return
	}
	g.running.Add(1)
	g.mu.Unlock()
	g.perform(actions)
	g.running.Done()
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// settle publishes the state after an event. The caller holds mu.
func (g *Gossiper) settle(now time.Time, actions []Action) {
	g.freshUntil.Store(0)
	if until := g.core.FreshUntil(now); !until.IsZero() {
		g.freshUntil.Store(int64(until.Sub(g.base)))
	}
	for _, action := range actions {
		if _, ok := action.(Changed); ok {
			g.view.Store(g.core.View(now, g.TakenOut))
		}
	}
}

// perform does what the core asks for. Calls to peers run on their own.
func (g *Gossiper) perform(actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case Send:
			g.running.Go(func() { g.send(a) })
		case ProbeVia:
			g.running.Go(func() { g.probe(a) })
		case Fetch:
			g.running.Go(func() { g.fetch(a) })
		case Note:
			if g.Logger != nil {
				g.Logger.Info(a.Message, "host", a.Host, "state", a.State.String(), "reason", a.Reason)
			}
		case Changed:
			select {
			case g.changes <- struct{}{}:
			default:
			}
		}
	}
}

func (g *Gossiper) send(a Send) {
	ctx, cancel := context.WithTimeout(g.ctx, answerTimeout)
	defer cancel()
	reply, err := g.Send(ctx, a.Address, a.Heartbeat)
	if err != nil {
		if ctx.Err() != nil {
			// The core itself sees that the time is over.
			return
		}
		g.event(func(now time.Time) []Action { return g.core.Unanswered(now, a.ID, err.Error()) })
		return
	}
	g.event(func(now time.Time) []Action { return g.core.Answered(now, a.ID, reply) })
}

func (g *Gossiper) probe(a ProbeVia) {
	if g.Probe == nil {
		return
	}
	ctx, cancel := context.WithTimeout(g.ctx, 2*answerTimeout)
	defer cancel()
	answered, err := g.Probe(ctx, a.Address, a.Target)
	g.event(func(now time.Time) []Action { return g.core.Probed(now, a.ID, answered && err == nil) })
}

func (g *Gossiper) fetch(a Fetch) {
	err := errors.New("no Fetch function")
	if g.Fetch != nil {
		ctx, cancel := context.WithTimeout(g.ctx, a.Timeout)
		defer cancel()
		err = g.Fetch(ctx, a.Address, a.Revision)
	}
	if err != nil && g.Logger != nil && g.ctx.Err() == nil {
		g.Logger.Warn("fetch configuration", "host", a.Host, "revision", a.Revision, "reason", err)
	}
	g.event(func(now time.Time) []Action { return g.core.Fetched(now, err == nil) })
}

// announce changes the state of this host and tells its peers, whose answers it
// awaits.
func (g *Gossiper) announce(ctx context.Context, state State) {
	var sends []Action
	g.event(func(now time.Time) []Action {
		actions := g.core.SetState(now, state)
		sends = g.core.Announce(now)
		return actions
	})
	var group sync.WaitGroup
	for _, action := range sends {
		if a, ok := action.(Send); ok && ctx.Err() == nil {
			group.Go(func() { g.send(a) })
		}
	}
	group.Wait()
}
