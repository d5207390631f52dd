package measurer

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/configurer"
)

const (
	// withdrawalTarget is when the last request on a withdrawn key begins, in
	// ms after the withdrawal was accepted.
	withdrawalTarget = 3000
	// settleBefore is how long callers use a key before it is withdrawn, after
	// all of them were served, for which they have servedWithin.
	settleBefore = 300 * time.Millisecond
	servedWithin = 5 * time.Second
	// idleUntil is when idle callers send a request after the withdrawal; it
	// has to be past the target.
	idleUntil = withdrawalTarget*time.Millisecond + 10*time.Millisecond
	// watchAfter is how long callers go on after that.
	watchAfter = 500 * time.Millisecond
	// mendTime lets a fleet become whole again after cuts were healed, with
	// callers still using the key.
	mendTime = 2500 * time.Millisecond
)

// A keyPhase withdraws one key under faults.
type keyPhase struct {
	name string
	// cut makes the faults just before the withdrawal, so that hosts are as
	// fresh as possible when they are cut off. It returns the hosts that hear
	// neither the store nor a host that does.
	cut func(f *Fleet) (cutOff []*FleetHost, err error)
}

// measureKeyWithdrawal withdraws keys whose callers are idle, busy, in a
// transaction or new, on each host, and notes the last statement that a
// database began and the last login that succeeded on the key. The naive
// version follows no configuration, so that a key works until each host has
// been restarted by hand; there is no figure to compare with.
func measureKeyWithdrawal(ctx context.Context, options Options) ([]Figure, []Series, error) {
	shape := Today()
	shape.Logger = options.Logger
	log := newProbeLog()
	shape.OnStatement = log.record
	f := &Fleet{Shape: shape}
	defer f.Stop()
	if err := f.Start(ctx); err != nil {
		return nil, nil, err
	}
	rng := rand.New(rand.NewPCG(options.Seed, 0))
	phases := []keyPhase{
		{name: "whole", cut: func(*Fleet) ([]*FleetHost, error) { return nil, nil }},
		{name: "cut", cut: func(f *Fleet) ([]*FleetHost, error) { return f.cutSome(rng) }},
		{name: "holder_cut", cut: func(f *Fleet) ([]*FleetHost, error) { return f.cutIsland(rng) }},
	}
	var figures []Figure
	unserved, tooLate := 0, 0.0
	for i, phase := range phases {
		result, err := f.runKeyPhase(ctx, phase, CustomerName(i+1), log)
		if err != nil {
			return nil, nil, errors.WithMessage(err, phase.name)
		}
		figures = append(figures, result.figures(phase.name)...)
		unserved += result.unserved
		tooLate = max(tooLate, result.afterHeal)
	}
	figures = append(figures,
		NewFigure("callers_never_served", float64(unserved), AtMost, 0),
		NewFigure("last_served_after_healing_ms", tooLate, AtMost, withdrawalTarget))
	return figures, nil, nil
}

// A keyResult is what one phase found.
type keyResult struct {
	// last is the last time served after the withdrawal, in ms, by the kind of
	// caller; cutOff that of callers at hosts that are cut off from all.
	last   map[probeKind]float64
	cutOff float64
	// isolated says that the phase cut hosts off.
	isolated bool
	// unserved counts the callers that were not served before the withdrawal.
	unserved int
	// afterHeal is the last time served up to the end of the phase, in ms.
	afterHeal float64
}

func (r keyResult) figures(phase string) []Figure {
	var figures []Figure
	for _, kind := range []probeKind{probeBusy, probeTransaction, probeNew, probeIdle} {
		figures = append(figures, NewFigure(phase+"_"+string(kind)+"_ms", r.last[kind], AtMost, withdrawalTarget))
	}
	if r.isolated {
		figures = append(figures, NewFigure(phase+"_by_isolated_ms", r.cutOff, AtMost, withdrawalTarget))
	}
	return figures
}

// runKeyPhase lets callers use the key of a customer, withdraws it and watches.
func (f *Fleet) runKeyPhase(ctx context.Context, phase keyPhase, customer string, log *probeLog) (keyResult, error) {
	probes, stop := f.startProbes(ctx, customer, log)
	defer stop()
	result := keyResult{unserved: awaitServed(ctx, probes, log)}
	pauseFor(ctx, settleBefore)
	cutOff, err := phase.cut(f)
	if err != nil {
		return keyResult{}, err
	}
	result.isolated = len(cutOff) > 0
	// The time before publishing is a lower bound of that of acceptance.
	accepted := time.Now()
	if err := f.withdraw(ctx, customer); err != nil {
		return keyResult{}, err
	}
	pauseFor(ctx, idleUntil)
	wake(probes)
	pauseFor(ctx, watchAfter)
	result.last = map[probeKind]float64{}
	for _, p := range probes {
		at := max(0, milliseconds(log.last(p.name()).Sub(accepted)))
		result.last[p.kind] = max(result.last[p.kind], at)
		if slices.Contains(cutOff, p.host) {
			result.cutOff = max(result.cutOff, at)
		}
	}
	if result.isolated {
		f.heal()
		pauseFor(ctx, mendTime)
	}
	for _, p := range probes {
		result.afterHeal = max(result.afterHeal, milliseconds(log.last(p.name()).Sub(accepted)))
	}
	stop()
	return result, f.AwaitServing(ctx)
}

// awaitServed waits until a database ran a statement of each caller, and returns
// the number of callers of which none was seen in time.
func awaitServed(ctx context.Context, probes []*keyProbe, log *probeLog) int {
	ctx, cancel := context.WithTimeout(ctx, servedWithin)
	defer cancel()
	for {
		unserved := 0
		for _, p := range probes {
			if !log.everRan(p.name()) {
				unserved++
			}
		}
		if unserved == 0 || ctx.Err() != nil {
			return unserved
		}
		pauseFor(ctx, probePause)
	}
}

// withdraw publishes the withdrawal of the key of a customer.
func (f *Fleet) withdraw(ctx context.Context, customer string) error {
	return f.update(ctx, func(set configurer.Set) configurer.Set {
		key := set.Keys[KeyName(customer)]
		key.Withdrawn = true
		return set.WithKey(key)
	})
}

// startProbes starts a caller of each kind at each host, over all routes.
func (f *Fleet) startProbes(ctx context.Context, customer string, log *probeLog) (probes []*keyProbe, stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var group sync.WaitGroup
	for _, h := range f.Hosts {
		for i := range f.Shape.Services {
			for _, kind := range []probeKind{probeBusy, probeTransaction, probeNew, probeIdle} {
				p := &keyProbe{host: h, customer: customer, route: RouteName(i + 1), kind: kind, awake: make(chan struct{}), log: log}
				probes = append(probes, p)
				group.Go(func() { p.run(ctx) })
			}
		}
	}
	return probes, func() {
		cancel()
		group.Wait()
	}
}

// wake makes idle callers send their second request.
func wake(probes []*keyProbe) {
	for _, p := range probes {
		close(p.awake)
	}
}

// cutSome cuts hosts off that hold nothing: one from the store alone, one from
// the store and all peers but one that hears the store, one from all, and two
// from all but each other. It returns the last three.
func (f *Fleet) cutSome(rng *rand.Rand) ([]*FleetHost, error) {
	var others []*FleetHost
	for _, h := range f.Hosts {
		if !f.holdsAny(h) {
			others = append(others, h)
		}
	}
	const needed = 6
	if len(others) < needed {
		return nil, errors.Errorf("%d hosts hold nothing, want %d", len(others), needed)
	}
	rng.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	f.CutFromStore(others[0], true)
	f.cutOffGroup(others[1:2])
	f.Network.SetCut(others[1].Name, others[5].Name, false)
	f.cutOffGroup(others[2:3])
	f.cutOffGroup(others[3:5])
	return others[2:5], nil
}

// cutIsland cuts the holder of a service and another host off from the rest,
// while the databases stay in reach.
func (f *Fleet) cutIsland(rng *rand.Rand) ([]*FleetHost, error) {
	holder, err := f.awaitHolder(ServiceName(rng.IntN(f.Shape.Services) + 1))
	if err != nil {
		return nil, err
	}
	island := []*FleetHost{holder}
	for _, h := range f.Hosts {
		if !f.holdsAny(h) {
			island = append(island, h)
			break
		}
	}
	f.cutOffGroup(island)
	return island, nil
}

// awaitHolder returns the holder of a service. It waits for a moment, since a
// service may be on its way and a lease may lapse while the machine is busy.
func (f *Fleet) awaitHolder(service string) (*FleetHost, error) {
	for end := time.Now().Add(servedWithin); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if holder := f.HolderOf(service); holder != nil {
			return holder, nil
		}
	}
	return nil, errors.Errorf("service %s has no holder", service)
}

func (f *Fleet) holdsAny(h *FleetHost) bool { return len(h.Server().HeldTerms()) > 0 }

// cutOffGroup cuts hosts off from the store and all other hosts, but not from
// each other and from the databases.
func (f *Fleet) cutOffGroup(hosts []*FleetHost) {
	for _, h := range hosts {
		f.CutFromStore(h, true)
		for _, other := range f.Hosts {
			if !slices.Contains(hosts, other) {
				f.Network.SetCut(h.Name, other.Name, true)
			}
		}
	}
}

// heal ends all cuts between hosts, and between hosts and the store.
func (f *Fleet) heal() {
	for _, h := range f.Hosts {
		f.CutFromStore(h, false)
		f.CutFromPeers(h, false)
	}
}
