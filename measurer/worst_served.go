package measurer

import (
	"context"
	"math"
	"time"
)

const (
	// overloadClients is the number of clients of the large customer, each of
	// which sends its next request as soon as the last one has ended.
	overloadClients = 200
	smallClients    = 6
	smallRate       = 60
)

// measureWorstServed makes one customer offer many times the load that the
// databases can serve, and compares the service of the small customers with that
// without the large one.
func measureWorstServed(ctx context.Context, options Options) ([]Figure, []Series, error) {
	spec := DefaultSpec()
	spec.Logger, spec.Services = options.Logger, 1
	spec.StatementCost = 4 * time.Millisecond
	phase := options.duration(8 * time.Second)
	proxied, series, err := runOverload(ctx, options, spec, phase, func(f *Fleet) func() []WeightedHost { return f.RunningHosts })
	if err != nil {
		return nil, nil, err
	}
	baseline, err := baselineOverload(ctx, options, spec, phase/2)
	if err != nil {
		return nil, nil, err
	}
	return []Figure{
		NewFigure("worst_share", proxied.worstShare, AtLeast, 0.95).WithBaseline(baseline.worstShare),
		NewFigure("p99_ratio", proxied.p99Ratio, AtMost, 2).WithBaseline(baseline.p99Ratio),
		Info("p99_quiet_ms", proxied.normalP99),
		Info("p99_crush_ms", proxied.overloadP99).WithBaseline(baseline.overloadP99),
		Info("large_per_second", proxied.largePerSecond).WithBaseline(baseline.largePerSecond),
		NewFigure("stale_own_reads", float64(proxied.stale), AtMost, 0),
		NewFigure("crossed_answers", float64(proxied.mismatched), AtMost, 0),
	}, series, nil
}

// An overloadResult is the service of the small customers with and without the
// large customer.
type overloadResult struct {
	// worstShare is the throughput of the worst served small customer as a
	// fraction of the load that it offered, which is below its fair share.
	worstShare             float64
	p99Ratio               float64
	normalP99, overloadP99 float64
	largePerSecond         float64
	stale, mismatched      int
}

func runOverload(ctx context.Context, options Options, spec FleetSpec, phase time.Duration, hosts func(*Fleet) func() []WeightedHost) (overloadResult, []Series, error) {
	f := &Fleet{Spec: spec}
	defer f.Stop()
	if err := f.Start(ctx); err != nil {
		return overloadResult{}, nil, err
	}
	normal, overloaded := overloadWorkloads(options, spec, hosts(f))
	runFor(ctx, normal, phase/2)
	runFor(ctx, overloaded, phase)
	return newOverloadResult(spec, normal, overloaded, phase), []Series{throughput(overloaded.Operations(), 200*time.Millisecond)}, nil
}

func baselineOverload(ctx context.Context, options Options, spec FleetSpec, phase time.Duration) (overloadResult, error) {
	b := &Baseline{}
	defer b.Stop()
	if err := b.Start(ctx, spec); err != nil {
		return overloadResult{}, err
	}
	normal, overloaded := overloadWorkloads(options, spec, b.Hosts)
	runFor(ctx, normal, phase/2)
	runFor(ctx, overloaded, phase)
	return newOverloadResult(spec, normal, overloaded, phase), nil
}

// overloadWorkloads returns the load of the small customers alone, and that with
// the large customer, which is the first customer.
func overloadWorkloads(options Options, spec FleetSpec, hosts func() []WeightedHost) (normal, overloaded *Workload) {
	var small []ClientGroup
	for i := 1; i < spec.Customers; i++ {
		small = append(small, ClientGroup{
			Customer: CustomerName(i + 1), Route: RouteName(1), Clients: smallClients, Rate: smallRate, WriteShare: 0.2, OpsPerHost: 200,
		})
	}
	large := ClientGroup{Customer: CustomerName(1), Route: RouteName(1), Clients: overloadClients, WriteShare: 0.5}
	normal = &Workload{Groups: small, Hosts: hosts, Seed: options.Seed, Timeout: 6 * time.Second, Logger: options.Logger}
	overloaded = &Workload{Groups: append([]ClientGroup{large}, small...), Hosts: hosts, Seed: options.Seed + 1, Timeout: 6 * time.Second, Logger: options.Logger}
	return normal, overloaded
}

func newOverloadResult(spec FleetSpec, normal, overloaded *Workload, phase time.Duration) overloadResult {
	result := overloadResult{worstShare: math.Inf(1)}
	var normalTimes, overloadTimes []float64
	// All sessions connect in the first second, so it does not count.
	settled := func(o Operation) bool { return o.Start > time.Second }
	for i := range spec.Customers {
		customer := CustomerName(i + 1)
		own := filterOperations(overloaded.Operations(), func(o Operation) bool { return o.Customer == customer && settled(o) })
		done := filterOperations(own, func(o Operation) bool { return o.Outcome == Done })
		if i == 0 {
			result.largePerSecond = float64(len(done)) / (phase - time.Second).Seconds()
			continue
		}
		// A client that waits for a response sends fewer requests. Those that it
		// could not send count as not served.
		offered := smallRate * (phase - time.Second).Seconds()
		before := filterOperations(normal.Operations(), func(o Operation) bool { return o.Customer == customer && settled(o) && o.Outcome == Done })
		expected := float64(len(before)) / (phase/2 - time.Second).Seconds() * (phase - time.Second).Seconds()
		result.worstShare = min(result.worstShare, float64(len(done))/min(offered, max(expected, 1)))
		normalTimes = append(normalTimes, latencies(before)...)
		overloadTimes = append(overloadTimes, latencies(done)...)
	}
	result.normalP99, result.overloadP99 = percentile(normalTimes, 0.99), percentile(overloadTimes, 0.99)
	result.p99Ratio = ratio(result.overloadP99, result.normalP99)
	stale, mismatched, _ := overloaded.Violations()
	result.stale, result.mismatched = stale, mismatched
	return result
}
