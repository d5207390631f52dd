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

// ErrNoSend is returned by Run if Send is not set.
var ErrNoSend = errors.New("gossiper has no Send function")

// A Gossiper runs a Core and carries out its actions. Its exported fields must be
// set before first use.
type Gossiper struct {
	// Self describes this host; its Incarnation is the start time in ns.
	Self Host
	// Seeds are addresses of other hosts.
	Seeds []HostEntry
	// List reads the platform's host list; it may be nil.
	List func(context.Context) ([]HostEntry, error)
	// ListInterval is the time between two reads of the list; 0 means 30 s.
	ListInterval time.Duration
	// Send sends a heartbeat to an address and returns the reply.
	Send func(ctx context.Context, address string, h Heartbeat) (Heartbeat, error)
	// Probe reports whether the host at the address receives a reply from target.
	Probe func(ctx context.Context, address string, target Host) (bool, error)
	// Fetch gets the configuration from the peer at the address, adopts it and
	// calls SetRevision. It may be nil.
	Fetch func(ctx context.Context, address string, revision uint64) error
	// TakenOut reports whether operators have taken a host or its data centre out of
	// service. It is called whenever a service is placed and may be nil.
	TakenOut func(host, dataCentre string) bool
	// Now returns the time with a monotonic clock reading; nil means time.Now.
	Now func() time.Time
	// Rand may be nil.
	Rand *rand.Rand
	// Logger may be nil.
	Logger *slog.Logger
	// OnChange is called after hosts, claims or eligibility have changed, never
	// concurrently with itself and only while Run is running. It may be nil.
	OnChange func()

	initOnce  sync.Once
	startedAt time.Time
	view      atomic.Pointer[View]
	// freshUntil is when this host stops being fresh, in ns since startedAt.
	freshUntil atomic.Int64
	// wake makes Run recompute the time of the next tick.
	wake chan struct{}
	// viewChanges holds a value when OnChange has to be called.
	viewChanges chan struct{}

	mu   sync.Mutex
	core Core
	// ctx is the context for requests to peers, nil before Run; backlog holds the
	// actions from before Run.
	ctx     context.Context
	backlog []Action
	// stopped reports whether Run has ended and no more actions are carried out.
	stopped  bool
	inFlight sync.WaitGroup
}

func (g *Gossiper) init() {
	g.initOnce.Do(func() {
		if g.Now == nil {
			g.Now = time.Now
		}
		if g.Rand == nil {
			g.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
		}
		g.wake = make(chan struct{}, 1)
		g.viewChanges = make(chan struct{}, 1)
		g.startedAt = g.Now()
		g.core = Core{Self: g.Self, Seeds: g.Seeds, Rand: g.Rand}
		g.backlog = g.core.Start(g.startedAt)
		g.view.Store(g.core.View(g.startedAt, g.TakenOut))
	})
}

// Run sends heartbeats until ctx ends, and then announces that this host has left.
func (g *Gossiper) Run(ctx context.Context) error {
	g.init()
	if g.Send == nil {
		return errors.WithStack(ErrNoSend)
	}
	sendCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g.mu.Lock()
	g.ctx = sendCtx
	backlog := g.backlog
	g.backlog = nil
	g.mu.Unlock()
	g.perform(backlog)
	loopCtx, stopLoops := context.WithCancel(ctx)
	defer stopLoops()
	var wg sync.WaitGroup
	wg.Go(func() { g.notifyChanges(loopCtx) })
	if g.List != nil {
		wg.Go(func() { g.pollHostList(loopCtx) })
	}
	g.runTicks(loopCtx)
	wg.Wait()
	g.announceState(sendCtx, Left)
	g.mu.Lock()
	g.stopped = true
	g.mu.Unlock()
	cancel()
	g.inFlight.Wait()
	return nil
}

// runTicks calls Tick of the core whenever it is due.
func (g *Gossiper) runTicks(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			g.handleEvent(func(now time.Time) []Action { return g.core.Tick(now) })
		case <-g.wake:
		}
		g.mu.Lock()
		now := g.Now()
		due := g.core.NextTick(now)
		g.mu.Unlock()
		timer.Reset(max(0, due.Sub(now)))
	}
}

// notifyChanges calls OnChange after changes of the view.
func (g *Gossiper) notifyChanges(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.viewChanges:
			if g.OnChange != nil {
				g.OnChange()
			}
		}
	}
}

// pollHostList reads the platform's host list periodically, with a jitter of 10%.
func (g *Gossiper) pollHostList(ctx context.Context) {
	interval := g.ListInterval
	if interval == 0 {
		interval = defaultListInterval
	}
	for {
		g.readHostList(ctx)
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

func (g *Gossiper) readHostList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list, err := g.List(ctx)
	if err != nil {
		if g.Logger != nil && ctx.Err() == nil {
			g.Logger.Warn("host_list_read_failed", "reason", err)
		}
		return
	}
	g.handleEvent(func(now time.Time) []Action { return g.core.SetHostList(now, list) })
}

// handleEvent passes an event to the core and carries out the resulting actions.
// Before Run they are added to the backlog.
func (g *Gossiper) handleEvent(handle func(now time.Time) []Action) {
	g.init()
	g.mu.Lock()
	now := g.Now()
	actions := handle(now)
	g.publishState(now, actions)
	if g.ctx == nil {
		g.backlog = append(g.backlog, actions...)
		actions = nil
	}
	if g.stopped {
		g.mu.Unlock()
		return
	}
	g.inFlight.Add(1)
	g.mu.Unlock()
	g.perform(actions)
	g.inFlight.Done()
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// publishState publishes the freshness and the view after an event. The caller
// holds mu.
func (g *Gossiper) publishState(now time.Time, actions []Action) {
	g.freshUntil.Store(0)
	if until := g.core.FreshUntil(now); !until.IsZero() {
		g.freshUntil.Store(int64(until.Sub(g.startedAt)))
	}
	for _, action := range actions {
		if _, ok := action.(ViewChanged); ok {
			g.view.Store(g.core.View(now, g.TakenOut))
		}
	}
}

// perform carries out actions. Each call to a peer runs in its own goroutine.
func (g *Gossiper) perform(actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case Send:
			g.inFlight.Go(func() { g.send(a) })
		case IndirectProbe:
			g.inFlight.Go(func() { g.probe(a) })
		case Fetch:
			g.inFlight.Go(func() { g.fetch(a) })
		case LogEvent:
			if g.Logger != nil {
				g.Logger.Info(a.Message, "host", a.Host, "state", a.State.String(), "reason", a.Reason)
			}
		case ViewChanged:
			select {
			case g.viewChanges <- struct{}{}:
			default:
			}
		}
	}
}

func (g *Gossiper) send(a Send) {
	ctx, cancel := context.WithTimeout(g.ctx, replyTimeout)
	defer cancel()
	reply, err := g.Send(ctx, a.Address, a.Heartbeat)
	if err != nil {
		if ctx.Err() != nil {
			// The core detects the time-out itself.
			return
		}
		g.handleEvent(func(now time.Time) []Action { return g.core.HandleSendError(now, a.ID, err.Error()) })
		return
	}
	g.handleEvent(func(now time.Time) []Action { return g.core.HandleReply(now, a.ID, reply) })
}

func (g *Gossiper) probe(a IndirectProbe) {
	if g.Probe == nil {
		return
	}
	ctx, cancel := context.WithTimeout(g.ctx, 2*replyTimeout)
	defer cancel()
	replied, err := g.Probe(ctx, a.Address, a.Target)
	g.handleEvent(func(now time.Time) []Action { return g.core.HandleProbeResult(now, a.ID, replied && err == nil) })
}

func (g *Gossiper) fetch(a Fetch) {
	err := errors.New("no Fetch function")
	if g.Fetch != nil {
		ctx, cancel := context.WithTimeout(g.ctx, a.Timeout)
		defer cancel()
		err = g.Fetch(ctx, a.Address, a.Revision)
	}
	if err != nil && g.Logger != nil && g.ctx.Err() == nil {
		g.Logger.Warn("configuration_fetch_failed", "host", a.Host, "revision", a.Revision, "reason", err)
	}
	g.handleEvent(func(now time.Time) []Action { return g.core.HandleFetchResult(now, err == nil) })
}

// announceState changes the state of this host, sends it to its peers and waits for
// their replies.
func (g *Gossiper) announceState(ctx context.Context, state State) {
	var sends []Action
	g.handleEvent(func(now time.Time) []Action {
		actions := g.core.SetState(now, state)
		sends = g.core.BroadcastHeartbeats(now)
		return actions
	})
	var wg sync.WaitGroup
	for _, action := range sends {
		if a, ok := action.(Send); ok && ctx.Err() == nil {
			wg.Go(func() { g.send(a) })
		}
	}
	wg.Wait()
}
