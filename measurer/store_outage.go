package measurer

import (
	"context"
	"time"

	"github.com/endiveturn/endiveturn/storeemulator"
)

const (
	// outageTime is how long the store is away.
	outageTime = 30 * time.Second
	// outageLead is the time before the faults of the phase with the store, and
	// outageQuiet the time without faults after them.
	outageLead  = 200 * time.Millisecond
	outageQuiet = 2 * time.Second
	// outageFaultTime is the length of the window with a change of primary and
	// a restart of a host, in either phase.
	outageFaultTime = 3500 * time.Millisecond
	// outageFaultAt is when the faults begin after the store has gone.
	outageFaultAt = 10 * time.Second
	// outageAfter is the time after the return of the store that is measured.
	outageAfter = 5 * time.Second
	// outageCallers and outageRate are those of each customer.
	outageCallers = 9
	outageRate    = 90
	// watchSample is how often waiting watches are counted.
	watchSample = 50 * time.Millisecond
)

// measureStoreOutage compares the service without the store with that with it.
// A phase with the store, in which a primary is killed and a host is
// restarted, is followed by one without it and with the same faults.
func measureStoreOutage(ctx context.Context, options Options) ([]Figure, []Series, error) {
	shape := Today()
	shape.Logger = options.Logger
	f := &Fleet{Shape: shape}
	defer f.Stop()
	if err := f.Start(ctx); err != nil {
		return nil, nil, err
	}
	o := &outage{fleet: f, length: options.duration(outageTime)}
	o.workload = &Workload{Hosts: f.AllHosts, Seed: options.Seed, Timeout: 6 * time.Second, Logger: options.Logger}
	for i := range shape.Customers {
		o.workload.Groups = append(o.workload.Groups, CallerGroup{
			Customer: CustomerName(i + 1), Route: RouteName(i%shape.Services + 1), Callers: outageCallers, Rate: outageRate,
			Even: true, WriteShare: 0.5, Roam: 50,
		})
	}
	load, stop := context.WithCancel(ctx)
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		o.workload.Run(load)
	}()
	o.run(ctx)
	stop()
	<-done
	return o.figures(), []Series{throughput(o.workload.Operations(), 200*time.Millisecond)}, nil
}

// A span is a time of the load.
type span struct{ from, to time.Duration }

func (s span) length() time.Duration { return s.to - s.from }

// An outage is the course of one measurement.
type outage struct {
	fleet    *Fleet
	workload *Workload
	length   time.Duration

	// faulty and quiet are parts of the phase with the store.
	faulty, quiet span
	without       span
	// restarted is the host restarted without the store, back at restartedAt.
	restarted   string
	restartedAt time.Duration
	// promoted is the number of promotions without the store.
	promoted int
	// steady and after are the calls per second to the store, where a waiting
	// watch counts as one; steadyNew and afterNew are those without waiting
	// watches.
	steady, steadyNew float64
	after, afterNew   float64
}

// run goes through the phases.
func (o *outage) run(ctx context.Context) {
	// The first second holds the start of all sessions at once.
	pauseFor(ctx, time.Second)
	o.steady, o.steadyNew = o.countCalls(ctx, func() {
		pauseFor(ctx, outageLead)
		o.faulty, _ = o.failParts(ctx)
		o.quiet.from = o.workload.Elapsed()
		pauseFor(ctx, outageQuiet)
		o.quiet.to = o.workload.Elapsed()
	})
	promotions := o.promotions()
	o.fleet.Store.SetDown(storeemulator.Refuse)
	o.without.from = o.workload.Elapsed()
	pauseFor(ctx, min(outageFaultAt, o.length/3))
	_, o.restarted = o.failParts(ctx)
	o.restartedAt = o.workload.Elapsed()
	pauseFor(ctx, o.without.from+o.length-o.workload.Elapsed())
	o.without.to = o.workload.Elapsed()
	o.promoted = o.promotions() - promotions
	o.fleet.Store.SetDown(storeemulator.Up)
	o.after, o.afterNew = o.countCalls(ctx, func() { pauseFor(ctx, outageAfter) })
}

// failParts kills the primary of the first service and restarts the holder of
// the second by a planned stop.
func (o *outage) failParts(ctx context.Context) (span, string) {
	window := span{from: o.workload.Elapsed()}
	group := o.fleet.Groups[ServiceName(1)]
	primary := group.Primary()
	if err := group.Kill(primary); err != nil {
		o.fleet.Shape.Logger.Error("fault not started", "database", primary, "error", err)
	}
	pauseFor(ctx, time.Second)
	if err := group.Restart(primary); err != nil {
		o.fleet.Shape.Logger.Error("fault not ended", "database", primary, "error", err)
	}
	host := o.fleet.HolderOf(ServiceName(2))
	if host == nil {
		host = o.fleet.Hosts[0]
	}
	o.fleet.StopHost(ctx, host)
	if err := o.fleet.StartHost(ctx, host); err != nil {
		o.fleet.Shape.Logger.Error("fault not ended", "host", host.Name, "error", err)
	}
	pauseFor(ctx, window.from+outageFaultTime-o.workload.Elapsed())
	window.to = o.workload.Elapsed()
	return window, host.Name
}

func (o *outage) promotions() int {
	n := 0
	for _, group := range o.fleet.Groups {
		n += len(group.Promotions())
	}
	return n
}

// countCalls returns the calls per second during a phase, with and without
// waiting watches.
func (o *outage) countCalls(ctx context.Context, phase func()) (all, begun float64) {
	sampling, stop := context.WithCancel(ctx)
	watching := make(chan float64)
	before, start := o.fleet.Store.Calls().Total(), time.Now()
	go func() {
		total, samples := 0, 0
		for sampling.Err() == nil {
			total += o.fleet.Store.Watching()
			samples++
			pauseFor(sampling, watchSample)
		}
		watching <- ratio(float64(total), float64(samples))
	}()
	phase()
	stop()
	begun = float64(o.fleet.Store.Calls().Total()-before) / time.Since(start).Seconds()
	return begun + <-watching, begun
}

// doneIn returns the number of operations that were done in the span.
func (o *outage) doneIn(s span) float64 {
	in := between(s.from, s.to)
	return float64(len(selectOperations(o.workload.Operations(), func(op Operation) bool { return in(op) && op.Outcome == Done })))
}

// figures compares the time without the store with what the phase with it
// predicts for the same length with the same faults: what was done in the
// window with the faults, and for the rest the rate without faults.
func (o *outage) figures() []Figure {
	quietRate := o.doneIn(o.quiet) / o.quiet.length().Seconds()
	predicted := o.doneIn(o.faulty) + quietRate*(o.without.length()-o.faulty.length()).Seconds()
	got := o.doneIn(o.without)
	failed := func(s span) float64 {
		in := between(s.from, s.to)
		return float64(len(selectOperations(o.workload.Operations(), func(op Operation) bool { return in(op) && op.Outcome != Done })))
	}
	served := selectOperations(o.workload.Operations(), func(op Operation) bool {
		return op.Host == o.restarted && op.Outcome == Done && op.End > o.restartedAt && op.End < o.without.to
	})
	lost, doubled := o.fleet.audit(o.workload.Operations())
	stale, crossed, _ := o.workload.Violations()
	return []Figure{
		NewFigure("service_ratio", ratio(got, predicted), AtLeast, 0.99),
		Info("done_without_per_second", got/o.without.length().Seconds()),
		Info("done_quiet_per_second", quietRate),
		Info("not_done_without_requests", failed(o.without)),
		Info("not_done_with_requests", failed(o.faulty)+failed(o.quiet)),
		// Without a change of primary and a restarted host that serves, the
		// outage would not show what it is meant to show.
		NewFigure("promotions_without", float64(o.promoted), AtLeast, 1),
		NewFigure("served_by_restarted_host", float64(len(served)), AtLeast, 1),
		NewFigure("store_calls_ratio_5s_after", ratio(o.after, o.steady), AtMost, 2),
		Info("store_calls_steady_per_second", o.steady),
		Info("store_calls_after_per_second", o.after),
		Info("store_calls_begun_steady_per_second", o.steadyNew),
		Info("store_calls_begun_after_per_second", o.afterNew),
		NewFigure("acknowledged_lost", float64(lost), AtMost, 0),
		NewFigure("doubled", float64(doubled), AtMost, 0),
		NewFigure("stale_own_reads", float64(stale), AtMost, 0),
		NewFigure("crossed_answers", float64(crossed), AtMost, 0),
	}
}
