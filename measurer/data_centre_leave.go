package measurer

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/configurer"
)

const (
	// leaveSteady is the time whose throughput the others are compared with.
	leaveSteady = 3 * time.Second
	// leaveTime and returnTime are how long parts are out of service and how
	// long they are watched after their return. Returned parts ramp up over
	// 5 s.
	leaveTime  = 4 * time.Second
	returnTime = 4500 * time.Millisecond
	// transactionHold is the longest time between two statements of a
	// transaction. Planned changes wait for open transactions.
	transactionHold = 100 * time.Millisecond
	// lastWorkTarget is when the last new work begins after the order, in ms.
	lastWorkTarget = 3000
	// leaveThroughputTarget is relative to the steady state.
	leaveThroughputTarget = 0.9
)

// A leaveOrder takes parts of a fleet out of service, or brings them back.
type leaveOrder struct {
	parts parts
	edit  func(set configurer.Set, takenOut bool) configurer.Set
}

// A leaveWindow is the time of one order and its reversal.
type leaveWindow struct {
	parts          parts
	out, back, end time.Time
}

// measureDataCentreLeave takes a data centre with a holder and a primary out of
// service and brings it back, and then a single holder with a primary in
// another data centre. The balancer does not follow: it sends callers to the
// hosts that are out, too. The baseline cannot be ordered to; its hosts are
// ended and started by hand, and its database with them.
func measureDataCentreLeave(ctx context.Context, options Options) ([]Figure, []Series, error) {
	shape := Today()
	shape.Logger = options.Logger
	recorder := &workRecorder{}
	shape.OnStatement = recorder.record
	f := &Fleet{Shape: shape}
	defer f.Stop()
	if err := f.Start(ctx); err != nil {
		return nil, nil, err
	}
	load, stop := context.WithCancel(ctx)
	defer stop()
	go recorder.watch(load, f)
	workload := leaveLoad(options, shape, f.AllHosts)
	done := make(chan struct{})
	go func() {
		defer close(done)
		runLeaveLoad(load, workload, shape)
	}()
	pauseFor(ctx, leaveSteady)
	windows, err := f.runLeaves(ctx, rand.New(rand.NewPCG(options.Seed, 0)))
	stop()
	<-done
	if err != nil {
		return nil, nil, err
	}
	baseline, err := baselineLeave(ctx, options, shape)
	if err != nil {
		return nil, nil, err
	}
	return leaveFigures(f, workload, recorder, windows, baseline),
		[]Series{throughput(workload.Operations(), 100*time.Millisecond)}, nil
}

// leaveLoad is load of all customers on all services with roaming sessions.
func leaveLoad(options Options, shape Shape, hosts func() []WeightedHost) *Workload {
	w := &Workload{Hosts: hosts, Seed: options.Seed, Timeout: 6 * time.Second, Logger: options.Logger}
	for i := range shape.Customers {
		for j := range shape.Services {
			w.Groups = append(w.Groups, CallerGroup{
				Customer: CustomerName(i + 1), Route: RouteName(j + 1), Callers: 6, Rate: 50, WriteShare: 0.3, Roam: 30,
			})
		}
	}
	return w
}

// runLeaveLoad puts the load on until ctx ends, with transactions beside it.
func runLeaveLoad(ctx context.Context, w *Workload, shape Shape) {
	w.start = time.Now()
	transactions := &transactionLoad{workload: w, hold: transactionHold}
	for i := range shape.Customers {
		transactions.groups = append(transactions.groups, CallerGroup{
			Customer: CustomerName(i + 1), Route: RouteName(i%shape.Services + 1), Callers: 3, Roam: 10,
		})
	}
	var group sync.WaitGroup
	group.Go(func() { transactions.run(ctx) })
	w.Run(ctx)
	group.Wait()
}

// runLeaves gives the orders one after another.
func (f *Fleet) runLeaves(ctx context.Context, rng *rand.Rand) ([]leaveWindow, error) {
	var windows []leaveWindow
	for _, choose := range []func(*rand.Rand) (leaveOrder, error){f.orderDataCentre, f.orderHostAndDatabase} {
		order, err := choose(rng)
		if err != nil {
			return nil, err
		}
		window := leaveWindow{parts: order.parts, out: time.Now()}
		if err := f.update(ctx, func(s configurer.Set) configurer.Set { return order.edit(s, true) }); err != nil {
			return nil, err
		}
		pauseFor(ctx, leaveTime)
		window.back = time.Now()
		if err := f.update(ctx, func(s configurer.Set) configurer.Set { return order.edit(s, false) }); err != nil {
			return nil, err
		}
		pauseFor(ctx, returnTime)
		window.end = time.Now()
		windows = append(windows, window)
	}
	return windows, ctx.Err()
}

// update publishes an edited configuration.
func (f *Fleet) update(ctx context.Context, edit func(configurer.Set) configurer.Set) error {
	_, err := f.Publisher().Update(ctx, func(s configurer.Set) (configurer.Set, error) { return edit(s), nil })
	return err
}

// orderDataCentre chooses a data centre with a holder and a primary.
func (f *Fleet) orderDataCentre(rng *rand.Rand) (leaveOrder, error) {
	var names []string
	for i := range f.Shape.DataCentres {
		name := dataCentreName(i + 1)
		holders, primaries := f.holdersIn(name), f.primariesIn(name)
		if len(holders) > 0 && len(primaries) > 0 {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return leaveOrder{}, errors.New("no data centre with a holder and a primary")
	}
	name := names[rng.IntN(len(names))]
	f.Shape.Logger.Info("data centre chosen", "data_centre", name, "holders", f.holdersIn(name), "primaries", f.primariesIn(name))
	order := leaveOrder{edit: func(set configurer.Set, takenOut bool) configurer.Set {
		dataCentre := set.DataCentres[name]
		dataCentre.TakenOut = takenOut
		return set.WithDataCentre(dataCentre)
	}}
	for _, h := range f.Hosts {
		if h.DataCentre == name {
			order.parts.hosts = append(order.parts.hosts, h.Name)
		}
	}
	for _, group := range f.Groups {
		for _, m := range group.Members {
			if m.DataCentre == name {
				order.parts.databases = append(order.parts.databases, m.Name)
			}
		}
	}
	return order, nil
}

// orderHostAndDatabase chooses a holder, and the primary of a service.
func (f *Fleet) orderHostAndDatabase(rng *rand.Rand) (leaveOrder, error) {
	holder := f.HolderOf(ServiceName(rng.IntN(f.Shape.Services) + 1))
	if holder == nil {
		return leaveOrder{}, errors.New("no holder")
	}
	primary := f.Groups[ServiceName(rng.IntN(f.Shape.Services)+1)].Primary()
	f.Shape.Logger.Info("host and database chosen", "host", holder.Name, "database", primary)
	return leaveOrder{
		parts: parts{hosts: []string{holder.Name}, databases: []string{primary}},
		edit: func(set configurer.Set, takenOut bool) configurer.Set {
			database := set.Databases[primary]
			database.TakenOut = takenOut
			return set.WithDatabase(database).WithHost(configurer.Host{Name: holder.Name, TakenOut: takenOut})
		},
	}, nil
}

// holdersIn returns the hosts of a data centre that hold services.
func (f *Fleet) holdersIn(dataCentre string) []string {
	var names []string
	for service := range f.Groups {
		if h := f.HolderOf(service); h != nil && h.DataCentre == dataCentre {
			names = append(names, h.Name)
		}
	}
	return names
}

// primariesIn returns the primaries of a data centre.
func (f *Fleet) primariesIn(dataCentre string) []string {
	var names []string
	for _, group := range f.Groups {
		for _, m := range group.Members {
			if m.DataCentre == dataCentre && group.Primary() == m.Name {
				names = append(names, m.Name)
			}
		}
	}
	return names
}

// A leaveBaseline is what the baseline did.
type leaveBaseline struct{ failed, throughput float64 }

func leaveFigures(f *Fleet, w *Workload, r *workRecorder, windows []leaveWindow, baseline leaveBaseline) []Figure {
	operations := w.Operations()
	steady := ratePerSecond(operations, time.Second, leaveSteady)
	last, idle := map[string]float64{}, 0
	leaving, returning, worst := math.Inf(1), math.Inf(1), math.Inf(1)
	for _, window := range windows {
		out, back, end := window.out.Sub(w.start), window.back.Sub(w.start), window.end.Sub(w.start)
		leaving = min(leaving, ratio(ratePerSecond(operations, out, back), steady))
		returning = min(returning, ratio(ratePerSecond(operations, back, end), steady))
		for at := out; at+time.Second <= end; at += 100 * time.Millisecond {
			worst = min(worst, ratio(ratePerSecond(operations, at, at+time.Second), steady))
		}
		for _, start := range r.startsAt(window.parts, window.out, window.back) {
			last[start.kind] = max(last[start.kind], milliseconds(start.at.Sub(window.out)))
		}
		last["batch"] = max(last["batch"], milliseconds(lastServedBy(operations, window.parts.hosts, out, back)-out))
		idle += idleParts(r.startsAt(window.parts, window.back, window.end), window.parts)
	}
	redirects, failed := 0, 0
	for _, o := range operations {
		redirects += o.Redirected
		if o.Outcome != Done {
			failed++
		}
	}
	lost, doubled := f.audit(operations)
	stale, crossed, _ := w.Violations()
	return []Figure{
		NewFigure("failed_requests", float64(failed), AtMost, 0).WithBaseline(baseline.failed),
		NewFigure("throughput_leaving", leaving, AtLeast, leaveThroughputTarget).WithBaseline(baseline.throughput),
		NewFigure("throughput_returning", returning, AtLeast, leaveThroughputTarget),
		Info("throughput_worst_second", worst),
		NewFigure("last_statement_ms", last["database"], AtMost, lastWorkTarget),
		NewFigure("last_holder_work_ms", last["holder"], AtMost, lastWorkTarget),
		NewFigure("last_connection_ms", last["connection"], AtMost, lastWorkTarget),
		NewFigure("last_entry_batch_ms", last["batch"], AtMost, lastWorkTarget),
		NewFigure("parts_idle_after_return", float64(idle), AtMost, 0),
		NewFigure("statements_of_unknown_holders", float64(r.unattributed()), AtMost, 0),
		Info("requests", float64(len(operations))),
		Info("steady_per_second", steady),
		Info("redirects", float64(redirects)),
		NewFigure("acknowledged_lost", float64(lost), AtMost, 0),
		NewFigure("doubled", float64(doubled), AtMost, 0),
		NewFigure("stale_own_reads", float64(stale), AtMost, 0),
		NewFigure("crossed_answers", float64(crossed), AtMost, 0),
	}
}

// ratePerSecond returns the operations that were done per second.
func ratePerSecond(operations []Operation, from, to time.Duration) float64 {
	n := 0
	for _, o := range operations {
		if o.Outcome == Done && o.End >= from && o.End < to {
			n++
		}
	}
	return float64(n) / (to - from).Seconds()
}

// lastServedBy returns when the last operation began that was done by one of
// the entry hosts; from if there was none. An operation that other hosts sent on
// reached the host later than it began, at its end at the latest.
func lastServedBy(operations []Operation, hosts []string, from, to time.Duration) time.Duration {
	last := from
	for _, o := range operations {
		at := o.Start
		if o.Redirected > 0 {
			at = o.End
		}
		if o.Outcome == Done && at >= from && at < to && slices.Contains(hosts, o.Host) {
			last = max(last, at)
		}
	}
	return last
}

// idleParts counts the databases without a statement and the hosts without a
// connection.
func idleParts(starts []workStart, p parts) int {
	busy := map[string]bool{}
	for _, start := range starts {
		if start.kind != "holder" {
			busy[start.part] = true
		}
	}
	idle := 0
	for _, part := range slices.Concat(p.hosts, p.databases) {
		if !busy[part] {
			idle++
		}
	}
	return idle
}

// baselineLeave ends the hosts of the first data centre and the database there
// that serves, and starts them again.
func baselineLeave(ctx context.Context, options Options, shape Shape) (leaveBaseline, error) {
	shape.OnStatement = nil
	b := &Baseline{}
	defer b.Stop()
	if err := b.Start(ctx, shape); err != nil {
		return leaveBaseline{}, err
	}
	const phase = 2 * time.Second
	workload := leaveLoad(options, shape, b.Hosts)
	load, stop := context.WithTimeout(ctx, 2*phase)
	defer stop()
	left := make(chan error, 1)
	go func() {
		pauseFor(load, phase)
		left <- b.endDataCentre(dataCentreName(1))
	}()
	runLeaveLoad(load, workload, shape)
	operations := workload.Operations()
	return leaveBaseline{
		failed:     float64(len(selectOperations(operations, notDone))),
		throughput: ratio(ratePerSecond(operations, phase, 2*phase), ratePerSecond(operations, phase/2, phase)),
	}, <-left
}

// endDataCentre ends the hosts and the serving databases of a data centre.
func (b *Baseline) endDataCentre(name string) error {
	for i := len(b.hosts) - 1; i >= 0; i-- {
		if b.hosts[i].dc == name {
			b.KillHost(i)
		}
	}
	for _, group := range b.Fleet.Groups {
		if first := group.Members[0]; first.DataCentre == name {
			if err := group.Kill(first.Name); err != nil {
				return err
			}
		}
	}
	return nil
}
