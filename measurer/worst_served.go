package measurer

import (
	"context"
	"math"
	"time"
)

const (
	// crushCallers is the number of sessions of the large customer, each of
	// which asks as soon as its last request has ended.
	crushCallers = 200
	smallCallers = 6
	smallRate    = 60
)

// measureWorstServed lets one customer offer many times what the databases can
// do, and compares what the small ones get with what they get without it.
func measureWorstServed(ctx context.Context, options Options) ([]Figure, []Series, error) {
	shape := Today()
	shape.Logger, shape.Services = options.Logger, 1
	shape.StatementCost = 4 * time.Millisecond
	phase := options.duration(8 * time.Second)
	product, series, err := crush(ctx, options, shape, phase, func(f *Fleet) func() []WeightedHost { return f.AllHosts })
	if err != nil {
		return nil, nil, err
	}
	baseline, err := baselineCrush(ctx, options, shape, phase/2)
	if err != nil {
		return nil, nil, err
	}
	return []Figure{
		NewFigure("worst_share", product.worstShare, AtLeast, 0.95).WithBaseline(baseline.worstShare),
		NewFigure("p99_ratio", product.p99Ratio, AtMost, 2).WithBaseline(baseline.p99Ratio),
		Info("p99_quiet_ms", product.quietP99),
		Info("p99_crush_ms", product.crushP99).WithBaseline(baseline.crushP99),
		Info("large_per_second", product.largePerSecond).WithBaseline(baseline.largePerSecond),
		NewFigure("stale_own_reads", float64(product.stale), AtMost, 0),
		NewFigure("crossed_answers", float64(product.crossed), AtMost, 0),
	}, series, nil
}

// A crushFigure is what small customers got with and without the crush.
type crushFigure struct {
	// worstShare is the throughput of the worst served small customer as a part
	// of what it asked for, which is below its fair share.
	worstShare         float64
	p99Ratio           float64
	quietP99, crushP99 float64
	largePerSecond     float64
	stale, crossed     int
}

func crush(ctx context.Context, options Options, shape Shape, phase time.Duration, hosts func(*Fleet) func() []WeightedHost) (crushFigure, []Series, error) {
	f := &Fleet{Shape: shape}
	defer f.Stop()
	if err := f.Start(ctx); err != nil {
		return crushFigure{}, nil, err
	}
	quiet, loaded := crushLoads(options, shape, hosts(f))
	runFor(ctx, quiet, phase/2)
	runFor(ctx, loaded, phase)
	return crushFigures(shape, quiet, loaded, phase), []Series{throughput(loaded.Operations(), 200*time.Millisecond)}, nil
}

func baselineCrush(ctx context.Context, options Options, shape Shape, phase time.Duration) (crushFigure, error) {
	b := &Baseline{}
	defer b.Stop()
	if err := b.Start(ctx, shape); err != nil {
		return crushFigure{}, err
	}
	quiet, loaded := crushLoads(options, shape, b.Hosts)
	runFor(ctx, quiet, phase/2)
	runFor(ctx, loaded, phase)
	return crushFigures(shape, quiet, loaded, phase), nil
}

// crushLoads returns the load of the small customers alone, and with the large
// customer, which is the first.
func crushLoads(options Options, shape Shape, hosts func() []WeightedHost) (quiet, loaded *Workload) {
	var small []CallerGroup
	for i := 1; i < shape.Customers; i++ {
		small = append(small, CallerGroup{
			Customer: CustomerName(i + 1), Route: RouteName(1), Callers: smallCallers, Rate: smallRate, WriteShare: 0.2, Roam: 200,
		})
	}
	large := CallerGroup{Customer: CustomerName(1), Route: RouteName(1), Callers: crushCallers, WriteShare: 0.5}
	quiet = &Workload{Groups: small, Hosts: hosts, Seed: options.Seed, Timeout: 6 * time.Second, Logger: options.Logger}
	loaded = &Workload{Groups: append([]CallerGroup{large}, small...), Hosts: hosts, Seed: options.Seed + 1, Timeout: 6 * time.Second, Logger: options.Logger}
	return quiet, loaded
}

func crushFigures(shape Shape, quiet, loaded *Workload, phase time.Duration) crushFigure {
	figure := crushFigure{worstShare: math.Inf(1)}
	var quietTimes, crushTimes []float64
	// The first second holds the start of all sessions at once.
	settled := func(o Operation) bool { return o.Start > time.Second }
	for i := range shape.Customers {
		customer := CustomerName(i + 1)
		own := selectOperations(loaded.Operations(), func(o Operation) bool { return o.Customer == customer && settled(o) })
		done := selectOperations(own, func(o Operation) bool { return o.Outcome == Done })
		if i == 0 {
			figure.largePerSecond = float64(len(done)) / (phase - time.Second).Seconds()
			continue
		}
		// A caller that waits for its answer asks for less; what it did not get
		// to ask for counts as not served.
		asked := smallRate * (phase - time.Second).Seconds()
		before := selectOperations(quiet.Operations(), func(o Operation) bool { return o.Customer == customer && settled(o) && o.Outcome == Done })
		usual := float64(len(before)) / (phase/2 - time.Second).Seconds() * (phase - time.Second).Seconds()
		figure.worstShare = min(figure.worstShare, float64(len(done))/min(asked, max(usual, 1)))
		quietTimes = append(quietTimes, latencies(before)...)
		crushTimes = append(crushTimes, latencies(done)...)
	}
	figure.quietP99, figure.crushP99 = percentile(quietTimes, 0.99), percentile(crushTimes, 0.99)
	figure.p99Ratio = ratio(figure.crushP99, figure.quietP99)
	stale, crossed, _ := loaded.Violations()
	figure.stale, figure.crossed = stale, crossed
	return figure
}
