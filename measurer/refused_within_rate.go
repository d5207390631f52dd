package measurer

import (
	"context"
	"math"
	"slices"
	"time"
)

const (
	// limitRate and limitBurst are the limits of each customer.
	limitRate  = 150
	limitBurst = 45
	// withinRateShare is the fraction of its rate that each customer requests, and
	// greedyRateFactor the multiple of its rate that the greedy customer requests.
	withinRateShare  = 0.9
	greedyRateFactor = 5
	// skewFactor is how many times more sessions the load balancer sends to the
	// first host than to each of the others.
	skewFactor = 4
)

// measureRefusedWithinRate measures the refusals of customers that stay within
// their rate, while the load balancer is skewed and one host is lost.
func measureRefusedWithinRate(ctx context.Context, options Options) ([]Figure, []Series, error) {
	spec := DefaultSpec()
	spec.Logger = options.Logger
	spec.Rate, spec.Burst = limitRate, limitBurst
	steady := options.duration(8 * time.Second)
	f := &Fleet{Spec: spec}
	defer f.Stop()
	if err := f.Start(ctx); err != nil {
		return nil, nil, err
	}
	workload := limitLoad(options, spec, func() []WeightedHost { return withSkew(f.RunningHosts()) })
	loadCtx, stop := context.WithTimeout(ctx, steady+10*time.Second)
	defer stop()
	go func() {
		pauseFor(loadCtx, steady)
		if holder := f.HolderOf(ServiceName(1)); holder != nil && loadCtx.Err() == nil {
			f.KillHost(holder)
		}
	}()
	workload.Run(loadCtx)
	baseline, err := baselineRefused(ctx, options, spec)
	if err != nil {
		return nil, nil, err
	}
	operations := workload.Operations()
	stale, mismatched, _ := workload.Violations()
	return []Figure{
		NewFigure("refused_steady_percent", refusedPercent(operations, 0, steady), AtMost, 0.1).WithBaseline(baseline.refused),
		NewFigure("refused_after_loss_percent", refusedPercent(operations, steady, steady+10*time.Second), AtMost, 0.5),
		NewFigure("worst_excess_requests", worstExcess(operations, spec), AtMost, 0).WithBaseline(baseline.excess),
		Info("greedy_admitted_per_second", admittedPerSecond(operations, CustomerName(spec.Customers), steady)),
		NewFigure("stale_own_reads", float64(stale), AtMost, 0),
		NewFigure("crossed_answers", float64(mismatched), AtMost, 0),
	}, []Series{throughput(operations, 200*time.Millisecond)}, nil
}

// limitLoad returns load of customers that request a fraction of their rate, mostly
// on one service each, and of a last customer that requests much more than its
// rate.
func limitLoad(options Options, spec FleetSpec, hosts func() []WeightedHost) *Workload {
	w := &Workload{Hosts: hosts, Seed: options.Seed, Timeout: 6 * time.Second, Logger: options.Logger}
	for i := range spec.Customers {
		total := limitRate * withinRateShare
		if i == spec.Customers-1 {
			total = limitRate * greedyRateFactor
		}
		for j := range spec.Services {
			// Four sixths go to one service, so that equal shares per service
			// would cause refusals too.
			rate := total / 6
			if j == i%spec.Services {
				rate = total * 4 / 6
			}
			w.Groups = append(w.Groups, ClientGroup{
				Customer: CustomerName(i + 1), Route: RouteName(j + 1), Clients: max(4, int(rate/4)), Rate: rate, WriteShare: 0.2, OpsPerHost: 50,
			})
		}
	}
	return w
}

// withSkew increases the weight of the first host.
func withSkew(hosts []WeightedHost) []WeightedHost {
	if len(hosts) > 0 {
		hosts[0].Weight = skewFactor
	}
	return hosts
}

// refusedPercent returns the percentage of refused operations among those that
// began at or after from and before to. The busiest customer, which exceeds its
// rate, is excluded.
func refusedPercent(operations []Operation, from, to time.Duration) float64 {
	greedy := busiestCustomer(operations)
	requests, refused := 0, 0
	for _, o := range operations {
		if o.Customer == greedy || o.Start < from || o.Start >= to {
			continue
		}
		requests++
		if o.Outcome == NotRun {
			refused++
		}
	}
	return 100 * ratio(float64(refused), float64(requests))
}

// busiestCustomer returns the customer with the most operations.
func busiestCustomer(operations []Operation) string {
	counts := map[string]int{}
	best := ""
	for _, o := range operations {
		counts[o.Customer]++
		if counts[o.Customer] > counts[best] {
			best = o.Customer
		}
	}
	return best
}

func admittedPerSecond(operations []Operation, customer string, to time.Duration) float64 {
	done := filterOperations(operations, func(o Operation) bool { return o.Customer == customer && o.Outcome == Done && o.End < to })
	return float64(len(done)) / to.Seconds()
}

// worstExcess returns the largest number of requests by which a customer exceeded
// rate x t + burst in any window, or 0. A request was admitted at an unknown time
// between its start and its end. Only requests that began and ended in the window
// count, so that the excess is certain whenever they were admitted.
func worstExcess(operations []Operation, spec FleetSpec) float64 {
	byCustomer := map[string][]Operation{}
	for _, o := range operations {
		if o.Outcome == Done || o.Outcome == Unknown {
			byCustomer[o.Customer] = append(byCustomer[o.Customer], o)
		}
	}
	worst := 0.0
	for _, own := range byCustomer {
		worst = max(worst, worstWindowExcess(own, spec.Rate, float64(spec.Burst)))
	}
	return worst
}

// worstWindowExcess returns the excess of the worst window of one customer. For
// each start of a window it suffices to check the windows that end with an
// operation.
func worstWindowExcess(operations []Operation, rate, burst float64) float64 {
	slices.SortFunc(operations, func(a, b Operation) int { return int(a.End - b.End) })
	starts := make([]time.Duration, len(operations))
	for i, o := range operations {
		starts[i] = o.Start
	}
	slices.Sort(starts)
	worst := 0.0
	// Windows begin with operations. Sampling about 500 starts bounds the run
	// time.
	step := max(1, len(starts)/500)
	for i := 0; i < len(starts); i += step {
		from, count := starts[i], 0
		for _, o := range operations {
			if o.Start < from {
				continue
			}
			count++
			worst = max(worst, float64(count)-burst-rate*(o.End-from).Seconds())
		}
	}
	return math.Floor(worst)
}

// A baselineLimitResult is the result of the baseline with the same load.
type baselineLimitResult struct{ refused, excess float64 }

func baselineRefused(ctx context.Context, options Options, spec FleetSpec) (baselineLimitResult, error) {
	b := &Baseline{}
	defer b.Stop()
	if err := b.Start(ctx, spec); err != nil {
		return baselineLimitResult{}, err
	}
	workload := limitLoad(options, spec, func() []WeightedHost { return withSkew(b.Hosts()) })
	const phase = 4 * time.Second
	runFor(ctx, workload, phase)
	operations := workload.Operations()
	return baselineLimitResult{refused: refusedPercent(operations, 0, phase), excess: worstExcess(operations, spec)}, nil
}
