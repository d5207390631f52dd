package measurer

import (
	"context"
	"time"

	"github.com/endiveturn/endiveturn/storeemulator"
)

const (
	// outageTime is the length of the outage of the store.
	outageTime = 30 * time.Second
	// outageFaultDelay is the time before the faults of the phase with the store,
	// and outageFaultFree the time without faults after them.
	outageFaultDelay = 200 * time.Millisecond
	outageFaultFree  = 2 * time.Second
	// outageFaultWindow is the length of the window with a failover and a restart
	// of a host, in either phase.
	outageFaultWindow = 3500 * time.Millisecond
	// outageFaultAt is the time from the start of the outage until the faults
	// begin.
	outageFaultAt = 10 * time.Second
	// outageRecoveryTime is the time after the outage that is measured.
	outageRecoveryTime = 5 * time.Second
	// outageClients and outageRate are the number of clients and the rate of each
	// customer.
	outageClients = 9
	outageRate    = 90
	// watchSampleInterval is the interval at which waiting watches are counted.
	watchSampleInterval = 50 * time.Millisecond
)

// measureStoreOutage compares the service during an outage of the store with the
// service before it. A phase with the store, in which a primary is killed and a
// host is restarted, is followed by a phase without it and with the same faults.
func measureStoreOutage(ctx context.Context, options Options) ([]Figure, []Series, error) {
	spec := DefaultSpec()
	spec.Logger = options.Logger
	f := &Fleet{Spec: spec}
	defer f.Stop()
	if err := f.Start(ctx); err != nil {
		return nil, nil, err
	}
	o := &outage{fleet: f, length: options.duration(outageTime)}
	o.workload = &Workload{Hosts: f.RunningHosts, Seed: options.Seed, Timeout: 6 * time.Second, Logger: options.Logger}
	for i := range spec.Customers {
		o.workload.Groups = append(o.workload.Groups, ClientGroup{
			Customer: CustomerName(i + 1), Route: RouteName(i%spec.Services + 1), Clients: outageClients, Rate: outageRate,
			FixedInterval: true, WriteShare: 0.5, OpsPerHost: 50,
		})
	}
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		o.workload.Run(loadCtx)
	}()
	o.run(ctx)
	stop()
	<-done
	return o.figures(), []Series{throughput(o.workload.Operations(), 200*time.Millisecond)}, nil
}

// A loadInterval is an interval of time relative to the start of the load.
type loadInterval struct{ from, to time.Duration }

func (s loadInterval) length() time.Duration { return s.to - s.from }

// An outage is one run of the measurement.
type outage struct {
	fleet    *Fleet
	workload *Workload
	length   time.Duration

	// withFaults and faultFree are sections of the phase with the store, and
	// storeDown is the phase without it.
	withFaults, faultFree loadInterval
	storeDown             loadInterval
	// restarted is the host that was restarted during the outage, and restartedAt
	// when it had started again.
	restarted   string
	restartedAt time.Duration
	// promotionsDown is the number of promotions during the outage.
	promotionsDown int
	// steady and recovery are the store calls per second before and after the
	// outage, where a waiting watch counts as one. steadyBegun and recoveryBegun
	// do not include waiting watches.
	steady, steadyBegun     float64
	recovery, recoveryBegun float64
}

// run runs the phases in order.
func (o *outage) run(ctx context.Context) {
	// All sessions connect in the first second, so it is not measured.
	pauseFor(ctx, time.Second)
	o.steady, o.steadyBegun = o.countCalls(ctx, func() {
		pauseFor(ctx, outageFaultDelay)
		o.withFaults, _ = o.injectFaults(ctx)
		o.faultFree.from = o.workload.Elapsed()
		pauseFor(ctx, outageFaultFree)
		o.faultFree.to = o.workload.Elapsed()
	})
	promotions := o.countPromotions()
	o.fleet.Store.SetFailureMode(storeemulator.Refuse)
	o.storeDown.from = o.workload.Elapsed()
	pauseFor(ctx, min(outageFaultAt, o.length/3))
	_, o.restarted = o.injectFaults(ctx)
	o.restartedAt = o.workload.Elapsed()
	pauseFor(ctx, o.storeDown.from+o.length-o.workload.Elapsed())
	o.storeDown.to = o.workload.Elapsed()
	o.promotionsDown = o.countPromotions() - promotions
	o.fleet.Store.SetFailureMode(storeemulator.Up)
	o.recovery, o.recoveryBegun = o.countCalls(ctx, func() { pauseFor(ctx, outageRecoveryTime) })
}

// injectFaults kills the primary of the first service for a second, and restarts
// the holder of the second service after a graceful stop. It returns the interval
// of the faults and the name of the restarted host.
func (o *outage) injectFaults(ctx context.Context) (loadInterval, string) {
	window := loadInterval{from: o.workload.Elapsed()}
	group := o.fleet.Groups[ServiceName(1)]
	primary := group.Primary()
	if err := group.Kill(primary); err != nil {
		o.fleet.Spec.Logger.Error("fault_not_started", "database", primary, "error", err)
	}
	pauseFor(ctx, time.Second)
	if err := group.Restart(primary); err != nil {
		o.fleet.Spec.Logger.Error("fault_not_ended", "database", primary, "error", err)
	}
	host := o.fleet.HolderOf(ServiceName(2))
	if host == nil {
		host = o.fleet.Hosts[0]
	}
	o.fleet.StopHost(ctx, host)
	if err := o.fleet.StartHost(ctx, host); err != nil {
		o.fleet.Spec.Logger.Error("fault_not_ended", "host", host.Name, "error", err)
	}
	pauseFor(ctx, window.from+outageFaultWindow-o.workload.Elapsed())
	window.to = o.workload.Elapsed()
	return window, host.Name
}

// countPromotions returns the number of promotions of all services so far.
func (o *outage) countPromotions() int {
	n := 0
	for _, group := range o.fleet.Groups {
		n += len(group.Promotions())
	}
	return n
}

// countCalls returns the store calls per second during a phase. all includes
// waiting watches, begun does not.
func (o *outage) countCalls(ctx context.Context, phase func()) (all, begun float64) {
	sampleCtx, stop := context.WithCancel(ctx)
	watching := make(chan float64)
	before, start := o.fleet.Store.Calls().Total(), time.Now()
	go func() {
		total, samples := 0, 0
		for sampleCtx.Err() == nil {
			total += o.fleet.Store.OpenWatches()
			samples++
			pauseFor(sampleCtx, watchSampleInterval)
		}
		watching <- ratio(float64(total), float64(samples))
	}()
	phase()
	stop()
	begun = float64(o.fleet.Store.Calls().Total()-before) / time.Since(start).Seconds()
	return begun + <-watching, begun
}

// countDone returns the number of successful operations that ended in the interval.
func (o *outage) countDone(s loadInterval) float64 {
	in := endedBetween(s.from, s.to)
	return float64(len(filterOperations(o.workload.Operations(), func(op Operation) bool { return in(op) && op.Outcome == Done })))
}

// figures compares the successful operations during the outage with a prediction
// from the phase with the store, for the same length and the same faults: the
// operations of the window with faults, and the rate without faults for the rest.
func (o *outage) figures() []Figure {
	faultFreeRate := o.countDone(o.faultFree) / o.faultFree.length().Seconds()
	predicted := o.countDone(o.withFaults) + faultFreeRate*(o.storeDown.length()-o.withFaults.length()).Seconds()
	got := o.countDone(o.storeDown)
	failed := func(s loadInterval) float64 {
		in := endedBetween(s.from, s.to)
		return float64(len(filterOperations(o.workload.Operations(), func(op Operation) bool { return in(op) && op.Outcome != Done })))
	}
	served := filterOperations(o.workload.Operations(), func(op Operation) bool {
		return op.Host == o.restarted && op.Outcome == Done && op.End > o.restartedAt && op.End < o.storeDown.to
	})
	lost, duplicated := o.fleet.auditOperations(o.workload.Operations())
	stale, mismatched, _ := o.workload.Violations()
	return []Figure{
		NewFigure("service_ratio", ratio(got, predicted), AtLeast, 0.99),
		Info("done_without_per_second", got/o.storeDown.length().Seconds()),
		Info("done_quiet_per_second", faultFreeRate),
		Info("not_done_without_requests", failed(o.storeDown)),
		Info("not_done_with_requests", failed(o.withFaults)+failed(o.faultFree)),
		// The comparison is valid only if a replica was promoted during the outage
		// and a host that was restarted during it has served.
		NewFigure("promotions_without", float64(o.promotionsDown), AtLeast, 1),
		NewFigure("served_by_restarted_host", float64(len(served)), AtLeast, 1),
		NewFigure("store_calls_ratio_5s_after", ratio(o.recovery, o.steady), AtMost, 2),
		Info("store_calls_steady_per_second", o.steady),
		Info("store_calls_after_per_second", o.recovery),
		Info("store_calls_begun_steady_per_second", o.steadyBegun),
		Info("store_calls_begun_after_per_second", o.recoveryBegun),
		NewFigure("acknowledged_lost", float64(lost), AtMost, 0),
		NewFigure("doubled", float64(duplicated), AtMost, 0),
		NewFigure("stale_own_reads", float64(stale), AtMost, 0),
		NewFigure("crossed_answers", float64(mismatched), AtMost, 0),
	}
}
