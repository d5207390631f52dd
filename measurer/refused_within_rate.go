package measurer

import (
	"context"
	"math"
	"slices"
	"time"
)

const (
	// limitRate and limitBurst are those of each customer.
	limitRate  = 150
	limitBurst = 45
	// withinRate is the part of its rate that each customer asks for, and
	// greedyRate that of the one customer that asks for much more.
	withinRate = 0.9
	greedyRate = 5
	// skew is how many times more sessions the balancer sends to the first host
	// than to each of the others.
	skew = 4
)

// measureRefusedWithinRate counts refusals of customers that stay within their
// rate, while the balancer is skewed and one host is lost.
func measureRefusedWithinRate(ctx context.Context, options Options) ([]Figure, []Series, error) {
	shape := Today()
	shape.Logger = options.Logger
	shape.Rate, shape.Burst = limitRate, limitBurst
	steady := options.duration(8 * time.Second)
	f := &Fleet{Shape: shape}
	defer f.Stop()
	if err := f.Start(ctx); err != nil {
		return nil, nil, err
	}
	workload := limitLoad(options, shape, func() []WeightedHost { return skewed(f.AllHosts()) })
	load, stop := context.WithTimeout(ctx, steady+10*time.Second)
	defer stop()
	go func() {
		pauseFor(load, steady)
		if victim := f.HolderOf(ServiceName(1)); victim != nil && load.Err() == nil {
			f.KillHost(victim)
		}
	}()
	workload.Run(load)
	baseline, err := baselineRefused(ctx, options, shape)
	if err != nil {
		return nil, nil, err
	}
	operations := workload.Operations()
	stale, crossed, _ := workload.Violations()
	return []Figure{
		NewFigure("refused_steady_percent", refusedPercent(operations, 0, steady), AtMost, 0.1).WithBaseline(baseline.refused),
		NewFigure("refused_after_loss_percent", refusedPercent(operations, steady, steady+10*time.Second), AtMost, 0.5),
		NewFigure("worst_excess_requests", worstExcess(operations, shape), AtMost, 0).WithBaseline(baseline.excess),
		Info("greedy_admitted_per_second", admittedPerSecond(operations, CustomerName(shape.Customers), steady)),
		NewFigure("stale_own_reads", float64(stale), AtMost, 0),
		NewFigure("crossed_answers", float64(crossed), AtMost, 0),
	}, []Series{throughput(operations, 200*time.Millisecond)}, nil
}

// limitLoad lets customers ask for a part of their rate, mostly on one service
// each, and the last one for much more than its rate.
func limitLoad(options Options, shape Shape, hosts func() []WeightedHost) *Workload {
	w := &Workload{Hosts: hosts, Seed: options.Seed, Timeout: 6 * time.Second, Logger: options.Logger}
	for i := range shape.Customers {
		total := limitRate * withinRate
		if i == shape.Customers-1 {
			total = limitRate * greedyRate
		}
		for j := range shape.Services {
			// Four parts of six go to one service, so that even shares of the
			// services would refuse too.
			part := total / 6
			if j == i%shape.Services {
				part = total * 4 / 6
			}
			w.Groups = append(w.Groups, CallerGroup{
				Customer: CustomerName(i + 1), Route: RouteName(j + 1), Callers: max(4, int(part/4)), Rate: part, WriteShare: 0.2, Roam: 50,
			})
		}
	}
	return w
}

// skewed gives the first host more weight.
func skewed(hosts []WeightedHost) []WeightedHost {
	if len(hosts) > 0 {
		hosts[0].Weight = skew
	}
	return hosts
}

// refusedPercent returns the share of operations refused for their rate by
// customers that stayed within it, by the time at which they began.
func refusedPercent(operations []Operation, from, to time.Duration) float64 {
	greedy := greediest(operations)
	asked, refused := 0, 0
	for _, o := range operations {
		if o.Customer == greedy || o.Start < from || o.Start >= to {
			continue
		}
		asked++
		if o.Outcome == NotRun {
			refused++
		}
	}
	return 100 * ratio(float64(refused), float64(asked))
}

// greediest returns the customer with the most operations.
func greediest(operations []Operation) string {
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
	done := selectOperations(operations, func(o Operation) bool { return o.Customer == customer && o.Outcome == Done && o.End < to })
	return float64(len(done)) / to.Seconds()
}

// worstExcess returns by how many requests a customer got more than
// rate x t + burst in any window, at least 0. A request was admitted at some
// time between its start and its end; the excess counted is the one that
// remains for every choice of those times: only requests that began and ended
// in the window count.
func worstExcess(operations []Operation, shape Shape) float64 {
	byCustomer := map[string][]Operation{}
	for _, o := range operations {
		if o.Outcome == Done || o.Outcome == Unknown {
			byCustomer[o.Customer] = append(byCustomer[o.Customer], o)
		}
	}
	worst := 0.0
	for _, own := range byCustomer {
		worst = max(worst, excessOf(own, shape.Rate, float64(shape.Burst)))
	}
	return worst
}

// excessOf finds the worst window for one customer. For each start of a window
// it suffices to look at windows that end with an operation's end.
func excessOf(operations []Operation, rate, burst float64) float64 {
	slices.SortFunc(operations, func(a, b Operation) int { return int(a.End - b.End) })
	starts := make([]time.Duration, len(operations))
	for i, o := range operations {
		starts[i] = o.Start
	}
	slices.Sort(starts)
	worst := 0.0
	// Windows begin at starts of operations; a sample of them bounds the work.
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

// A baselineLimit is what the baseline did with the same load.
type baselineLimit struct{ refused, excess float64 }

func baselineRefused(ctx context.Context, options Options, shape Shape) (baselineLimit, error) {
	b := &Baseline{}
	defer b.Stop()
	if err := b.Start(ctx, shape); err != nil {
		return baselineLimit{}, err
	}
	workload := limitLoad(options, shape, func() []WeightedHost { return skewed(b.Hosts()) })
	const phase = 4 * time.Second
	runFor(ctx, workload, phase)
	operations := workload.Operations()
	return baselineLimit{refused: refusedPercent(operations, 0, phase), excess: worstExcess(operations, shape)}, nil
}
