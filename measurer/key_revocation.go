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
	// revocationTarget is the longest time in ms from the acceptance of a
	// revocation until the last request on the key begins.
	revocationTarget = 3000
	// usageTime is how long clients use a key before it is revoked, once all of
	// them have been served. servedTimeout bounds the wait for that.
	usageTime     = 300 * time.Millisecond
	servedTimeout = 5 * time.Second
	// idleTime is the time from the revocation until idle clients send their
	// second request. It has to exceed the target.
	idleTime = revocationTarget*time.Millisecond + 10*time.Millisecond
	// observationTime is how long clients continue after that.
	observationTime = 500 * time.Millisecond
	// healTime is the time for a fleet to recover after partitions have been
	// healed, while clients still use the key.
	healTime = 2500 * time.Millisecond
)

// A revocationPhase is the revocation of one key under faults.
type revocationPhase struct {
	name string
	// partition injects the faults just before the revocation, so that the
	// configuration of the partitioned hosts is as fresh as possible. It returns
	// the isolated hosts, which reach neither the store nor a host that does.
	partition func(f *Fleet) (isolated []*FleetHost, err error)
}

// measureKeyRevocation revokes keys with clients on each host that are idle,
// busy, in a transaction or new, and measures when a database last began a
// statement and a login last succeeded on the key. The naive baseline does not
// follow changes of the configuration, so a key would work until each host is
// restarted by hand, and there is no figure to compare with.
func measureKeyRevocation(ctx context.Context, options Options) ([]Figure, []Series, error) {
	spec := DefaultSpec()
	spec.Logger = options.Logger
	log := newProbeLog()
	spec.OnStatement = log.recordStatement
	f := &Fleet{Spec: spec}
	defer f.Stop()
	if err := f.Start(ctx); err != nil {
		return nil, nil, err
	}
	rng := rand.New(rand.NewPCG(options.Seed, 0))
	phases := []revocationPhase{
		{name: "whole", partition: func(*Fleet) ([]*FleetHost, error) { return nil, nil }},
		{name: "cut", partition: func(f *Fleet) ([]*FleetHost, error) { return f.partitionHosts(rng) }},
		{name: "holder_cut", partition: func(f *Fleet) ([]*FleetHost, error) { return f.partitionHolder(rng) }},
	}
	var figures []Figure
	unserved, lastAfterHeal := 0, 0.0
	for i, phase := range phases {
		result, err := f.runRevocationPhase(ctx, phase, CustomerName(i+1), log)
		if err != nil {
			return nil, nil, errors.WithMessage(err, phase.name)
		}
		figures = append(figures, result.figures(phase.name)...)
		unserved += result.unserved
		lastAfterHeal = max(lastAfterHeal, result.lastAfterHeal)
	}
	figures = append(figures,
		NewFigure("callers_never_served", float64(unserved), AtMost, 0),
		NewFigure("last_served_after_healing_ms", lastAfterHeal, AtMost, revocationTarget))
	return figures, nil, nil
}

// A revocationResult is the result of one phase.
type revocationResult struct {
	// lastServed is the time in ms from the revocation until clients were last
	// served, by their kind. lastServedIsolated is that of clients of isolated
	// hosts.
	lastServed         map[probeKind]float64
	lastServedIsolated float64
	// hasIsolated is set if the phase isolated hosts.
	hasIsolated bool
	// unserved is the number of clients that were not served before the
	// revocation.
	unserved int
	// lastAfterHeal is the time in ms until clients were last served up to the
	// end of the phase.
	lastAfterHeal float64
}

func (r revocationResult) figures(phase string) []Figure {
	var figures []Figure
	for _, kind := range []probeKind{probeBusy, probeTransaction, probeNew, probeIdle} {
		figures = append(figures, NewFigure(phase+"_"+string(kind)+"_ms", r.lastServed[kind], AtMost, revocationTarget))
	}
	if r.hasIsolated {
		figures = append(figures, NewFigure(phase+"_by_isolated_ms", r.lastServedIsolated, AtMost, revocationTarget))
	}
	return figures
}

// runRevocationPhase runs clients that use the key of a customer, revokes it and
// records when they were last served.
func (f *Fleet) runRevocationPhase(ctx context.Context, phase revocationPhase, customer string, log *probeLog) (revocationResult, error) {
	probes, stop := f.startProbes(ctx, customer, log)
	defer stop()
	result := revocationResult{unserved: awaitServed(ctx, probes, log)}
	pauseFor(ctx, usageTime)
	isolated, err := phase.partition(f)
	if err != nil {
		return revocationResult{}, err
	}
	result.hasIsolated = len(isolated) > 0
	// The time before the publication is a lower bound of the time of
	// acceptance.
	accepted := time.Now()
	if err := f.publishRevocation(ctx, customer); err != nil {
		return revocationResult{}, err
	}
	pauseFor(ctx, idleTime)
	resumeIdle(probes)
	pauseFor(ctx, observationTime)
	result.lastServed = map[probeKind]float64{}
	for _, p := range probes {
		at := max(0, milliseconds(log.lastServed(p.name()).Sub(accepted)))
		result.lastServed[p.kind] = max(result.lastServed[p.kind], at)
		if slices.Contains(isolated, p.host) {
			result.lastServedIsolated = max(result.lastServedIsolated, at)
		}
	}
	if result.hasIsolated {
		f.healAll()
		pauseFor(ctx, healTime)
	}
	for _, p := range probes {
		result.lastAfterHeal = max(result.lastAfterHeal, milliseconds(log.lastServed(p.name()).Sub(accepted)))
	}
	stop()
	return result, f.AwaitServing(ctx)
}

// awaitServed waits until a database has run a statement of each client, but no
// longer than servedTimeout. It returns the number of clients without one.
func awaitServed(ctx context.Context, probes []*keyProbe, log *probeLog) int {
	ctx, cancel := context.WithTimeout(ctx, servedTimeout)
	defer cancel()
	for {
		unserved := 0
		for _, p := range probes {
			if !log.hasRun(p.name()) {
				unserved++
			}
		}
		if unserved == 0 || ctx.Err() != nil {
			return unserved
		}
		pauseFor(ctx, requestPause)
	}
}

// publishRevocation publishes the revocation of the key of a customer.
func (f *Fleet) publishRevocation(ctx context.Context, customer string) error {
	return f.publishEdit(ctx, func(config configurer.Config) configurer.Config {
		key := config.Keys[KeyName(customer)]
		key.Revoked = true
		return config.WithKey(key)
	})
}

// startProbes starts a client of each kind for each route on each host. stop ends
// them.
func (f *Fleet) startProbes(ctx context.Context, customer string, log *probeLog) (probes []*keyProbe, stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var group sync.WaitGroup
	for _, h := range f.Hosts {
		for i := range f.Spec.Services {
			for _, kind := range []probeKind{probeBusy, probeTransaction, probeNew, probeIdle} {
				p := &keyProbe{host: h, customer: customer, route: RouteName(i + 1), kind: kind, resume: make(chan struct{}), log: log}
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

// resumeIdle makes idle clients send their second request.
func resumeIdle(probes []*keyProbe) {
	for _, p := range probes {
		close(p.resume)
	}
}

// partitionHosts partitions hosts that hold no services: one from the store only,
// one from the store and all peers except one that reaches the store, one from all,
// and two from all but each other. It returns the last three.
func (f *Fleet) partitionHosts(rng *rand.Rand) ([]*FleetHost, error) {
	var candidates []*FleetHost
	for _, h := range f.Hosts {
		if !f.holdsServices(h) {
			candidates = append(candidates, h)
		}
	}
	const needed = 6
	if len(candidates) < needed {
		return nil, errors.Errorf("%d hosts hold no services, want at least %d", len(candidates), needed)
	}
	rng.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	f.PartitionFromStore(candidates[0], true)
	f.isolateGroup(candidates[1:2])
	f.Network.SetPartitioned(candidates[1].Name, candidates[5].Name, false)
	f.isolateGroup(candidates[2:3])
	f.isolateGroup(candidates[3:5])
	return candidates[2:5], nil
}

// partitionHolder partitions the holder of a service and another host from the
// store and the other hosts. They still reach the databases.
func (f *Fleet) partitionHolder(rng *rand.Rand) ([]*FleetHost, error) {
	holder, err := f.awaitHolder(ServiceName(rng.IntN(f.Spec.Services) + 1))
	if err != nil {
		return nil, err
	}
	isolated := []*FleetHost{holder}
	for _, h := range f.Hosts {
		if !f.holdsServices(h) {
			isolated = append(isolated, h)
			break
		}
	}
	f.isolateGroup(isolated)
	return isolated, nil
}

// awaitHolder returns the holder of a service. It waits up to servedTimeout,
// because a service may be moving to another holder, and a lease may expire while
// the machine is busy.
func (f *Fleet) awaitHolder(service string) (*FleetHost, error) {
	for end := time.Now().Add(servedTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if holder := f.HolderOf(service); holder != nil {
			return holder, nil
		}
	}
	return nil, errors.Errorf("service %s has no holder", service)
}

// holdsServices reports whether a host holds a service.
func (f *Fleet) holdsServices(h *FleetHost) bool { return len(h.Server().HeldTerms()) > 0 }

// isolateGroup partitions hosts from the store and all other hosts, but not from
// each other and from the databases.
func (f *Fleet) isolateGroup(hosts []*FleetHost) {
	for _, h := range hosts {
		f.PartitionFromStore(h, true)
		for _, other := range f.Hosts {
			if !slices.Contains(hosts, other) {
				f.Network.SetPartitioned(h.Name, other.Name, true)
			}
		}
	}
}

// healAll heals all partitions between hosts, and between hosts and the store.
func (f *Fleet) healAll() {
	for _, h := range f.Hosts {
		f.PartitionFromStore(h, false)
		f.PartitionFromPeers(h, false)
	}
}
