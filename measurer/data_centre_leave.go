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
	// steadyTime is the time before the first change. The throughput after its first
	// second is the reference.
	steadyTime = 3 * time.Second
	// takenOutTime is how long nodes are out of service, and returnedTime how
	// long they are measured after their return. Returned nodes ramp up over 5 s.
	takenOutTime = 4 * time.Second
	returnedTime = 4500 * time.Millisecond
	// maxTransactionPause is the longest pause between two statements of a
	// transaction. Switchovers wait for open transactions.
	maxTransactionPause = 100 * time.Millisecond
	// lastActivityTarget is the longest time in ms after the change until the last
	// statement or connection begins on a node that is taken out.
	lastActivityTarget = 3000
	// takeOutThroughputTarget is relative to the throughput in the steady state.
	takeOutThroughputTarget = 0.9
)

// A takeOutChange is a change of the configuration that takes nodes out of service
// or returns them.
type takeOutChange struct {
	nodes nodeSet
	edit  func(config configurer.Config, takenOut bool) configurer.Config
}

// A takeOutWindow holds the times of one change and its reversal, and the end of
// the measurement after it.
type takeOutWindow struct {
	nodes                   nodeSet
	takenOut, returned, end time.Time
}

// measureDataCentreLeave takes a data centre with a holder and a primary out of
// service and returns it, and then does the same with a single holder and the
// primary of a service. The load balancer does not follow the change: it continues
// to send clients to the hosts that are taken out. The baseline has no such change,
// so the hosts of one data centre and the databases that serve there are killed
// instead.
func measureDataCentreLeave(ctx context.Context, options Options) ([]Figure, []Series, error) {
	spec := DefaultSpec()
	spec.Logger = options.Logger
	recorder := &activityRecorder{}
	spec.OnStatement = recorder.record
	f := &Fleet{Spec: spec}
	defer f.Stop()
	if err := f.Start(ctx); err != nil {
		return nil, nil, err
	}
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	go recorder.pollHosts(loadCtx, f)
	workload := takeOutLoad(options, spec, f.RunningHosts)
	done := make(chan struct{})
	go func() {
		defer close(done)
		runTakeOutLoad(loadCtx, workload, spec)
	}()
	pauseFor(ctx, steadyTime)
	windows, err := f.runTakeOuts(ctx, rand.New(rand.NewPCG(options.Seed, 0)))
	stop()
	<-done
	if err != nil {
		return nil, nil, err
	}
	baseline, err := baselineTakeOut(ctx, options, spec)
	if err != nil {
		return nil, nil, err
	}
	return takeOutFigures(f, workload, recorder, windows, baseline),
		[]Series{throughput(workload.Operations(), 100*time.Millisecond)}, nil
}

// takeOutLoad returns load of all customers on all services, with sessions that
// move between hosts.
func takeOutLoad(options Options, spec FleetSpec, hosts func() []WeightedHost) *Workload {
	w := &Workload{Hosts: hosts, Seed: options.Seed, Timeout: 6 * time.Second, Logger: options.Logger}
	for i := range spec.Customers {
		for j := range spec.Services {
			w.Groups = append(w.Groups, ClientGroup{
				Customer: CustomerName(i + 1), Route: RouteName(j + 1), Clients: 6, Rate: 50, WriteShare: 0.3, OpsPerHost: 30,
			})
		}
	}
	return w
}

// runTakeOutLoad applies the load until ctx ends, and transactions concurrently with
// it.
func runTakeOutLoad(ctx context.Context, w *Workload, spec FleetSpec) {
	w.start = time.Now()
	transactions := &transactionLoad{workload: w, maxPause: maxTransactionPause}
	for i := range spec.Customers {
		transactions.groups = append(transactions.groups, ClientGroup{
			Customer: CustomerName(i + 1), Route: RouteName(i%spec.Services + 1), Clients: 3, OpsPerHost: 10,
		})
	}
	var group sync.WaitGroup
	group.Go(func() { transactions.run(ctx) })
	w.Run(ctx)
	group.Wait()
}

// runTakeOuts makes the changes one after another.
func (f *Fleet) runTakeOuts(ctx context.Context, rng *rand.Rand) ([]takeOutWindow, error) {
	var windows []takeOutWindow
	for _, choose := range []func(*rand.Rand) (takeOutChange, error){f.chooseDataCentre, f.chooseHostAndDatabase} {
		change, err := choose(rng)
		if err != nil {
			return nil, err
		}
		window := takeOutWindow{nodes: change.nodes, takenOut: time.Now()}
		if err := f.publishEdit(ctx, func(s configurer.Config) configurer.Config { return change.edit(s, true) }); err != nil {
			return nil, err
		}
		pauseFor(ctx, takenOutTime)
		window.returned = time.Now()
		if err := f.publishEdit(ctx, func(s configurer.Config) configurer.Config { return change.edit(s, false) }); err != nil {
			return nil, err
		}
		pauseFor(ctx, returnedTime)
		window.end = time.Now()
		windows = append(windows, window)
	}
	return windows, ctx.Err()
}

// publishEdit publishes an edit of the configuration.
func (f *Fleet) publishEdit(ctx context.Context, edit func(configurer.Config) configurer.Config) error {
	_, err := f.Publisher().Update(ctx, func(s configurer.Config) (configurer.Config, error) { return edit(s), nil })
	return err
}

// chooseDataCentre returns the change that takes out a random data centre with a
// holder and a primary.
func (f *Fleet) chooseDataCentre(rng *rand.Rand) (takeOutChange, error) {
	var names []string
	for i := range f.Spec.DataCentres {
		name := dataCentreName(i + 1)
		holders, primaries := f.holdersIn(name), f.primariesIn(name)
		if len(holders) > 0 && len(primaries) > 0 {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return takeOutChange{}, errors.New("no data centre with a holder and a primary")
	}
	name := names[rng.IntN(len(names))]
	f.Spec.Logger.Info("data_centre_chosen", "data_centre", name, "holders", f.holdersIn(name), "primaries", f.primariesIn(name))
	change := takeOutChange{edit: func(config configurer.Config, takenOut bool) configurer.Config {
		dataCentre := config.DataCentres[name]
		dataCentre.TakenOut = takenOut
		return config.WithDataCentre(dataCentre)
	}}
	for _, h := range f.Hosts {
		if h.DataCentre == name {
			change.nodes.hosts = append(change.nodes.hosts, h.Name)
		}
	}
	for _, group := range f.Groups {
		for _, m := range group.Members {
			if m.DataCentre == name {
				change.nodes.databases = append(change.nodes.databases, m.Name)
			}
		}
	}
	return change, nil
}

// chooseHostAndDatabase returns the change that takes out the holder of a random
// service and the primary of a random service.
func (f *Fleet) chooseHostAndDatabase(rng *rand.Rand) (takeOutChange, error) {
	holder := f.HolderOf(ServiceName(rng.IntN(f.Spec.Services) + 1))
	if holder == nil {
		return takeOutChange{}, errors.New("chosen service has no holder")
	}
	primary := f.Groups[ServiceName(rng.IntN(f.Spec.Services)+1)].Primary()
	f.Spec.Logger.Info("host_and_database_chosen", "host", holder.Name, "database", primary)
	return takeOutChange{
		nodes: nodeSet{hosts: []string{holder.Name}, databases: []string{primary}},
		edit: func(config configurer.Config, takenOut bool) configurer.Config {
			database := config.Databases[primary]
			database.TakenOut = takenOut
			return config.WithDatabase(database).WithHost(configurer.Host{Name: holder.Name, TakenOut: takenOut})
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

// primariesIn returns the databases of a data centre that are primaries.
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

// A takeOutBaseline holds the failed requests and the relative throughput of the
// baseline.
type takeOutBaseline struct{ failed, throughput float64 }

func takeOutFigures(f *Fleet, w *Workload, r *activityRecorder, windows []takeOutWindow, baseline takeOutBaseline) []Figure {
	operations := w.Operations()
	steadyRate := ratePerSecond(operations, time.Second, steadyTime)
	lastActivity, idle := map[string]float64{}, 0
	leaving, returning, worst := math.Inf(1), math.Inf(1), math.Inf(1)
	for _, window := range windows {
		takenOut, returned, end := window.takenOut.Sub(w.start), window.returned.Sub(w.start), window.end.Sub(w.start)
		leaving = min(leaving, ratio(ratePerSecond(operations, takenOut, returned), steadyRate))
		returning = min(returning, ratio(ratePerSecond(operations, returned, end), steadyRate))
		for at := takenOut; at+time.Second <= end; at += 100 * time.Millisecond {
			worst = min(worst, ratio(ratePerSecond(operations, at, at+time.Second), steadyRate))
		}
		for _, a := range r.activitiesOf(window.nodes, window.takenOut, window.returned) {
			lastActivity[a.kind] = max(lastActivity[a.kind], milliseconds(a.at.Sub(window.takenOut)))
		}
		lastActivity["batch"] = max(lastActivity["batch"], milliseconds(lastServedBy(operations, window.nodes.hosts, takenOut, returned)-takenOut))
		idle += idleNodes(r.activitiesOf(window.nodes, window.returned, window.end), window.nodes)
	}
	redirects, failed := 0, 0
	for _, o := range operations {
		redirects += o.Redirected
		if o.Outcome != Done {
			failed++
		}
	}
	lost, duplicated := f.auditOperations(operations)
	stale, mismatched, _ := w.Violations()
	return []Figure{
		NewFigure("failed_requests", float64(failed), AtMost, 0).WithBaseline(baseline.failed),
		NewFigure("throughput_leaving", leaving, AtLeast, takeOutThroughputTarget).WithBaseline(baseline.throughput),
		NewFigure("throughput_returning", returning, AtLeast, takeOutThroughputTarget),
		Info("throughput_worst_second", worst),
		NewFigure("last_statement_ms", lastActivity["database"], AtMost, lastActivityTarget),
		NewFigure("last_holder_work_ms", lastActivity["holder"], AtMost, lastActivityTarget),
		NewFigure("last_connection_ms", lastActivity["connection"], AtMost, lastActivityTarget),
		NewFigure("last_entry_batch_ms", lastActivity["batch"], AtMost, lastActivityTarget),
		NewFigure("parts_idle_after_return", float64(idle), AtMost, 0),
		NewFigure("statements_of_unknown_holders", float64(r.unattributedStatements()), AtMost, 0),
		Info("requests", float64(len(operations))),
		Info("steady_per_second", steadyRate),
		Info("redirects", float64(redirects)),
		NewFigure("acknowledged_lost", float64(lost), AtMost, 0),
		NewFigure("doubled", float64(duplicated), AtMost, 0),
		NewFigure("stale_own_reads", float64(stale), AtMost, 0),
		NewFigure("crossed_answers", float64(mismatched), AtMost, 0),
	}
}

// ratePerSecond returns the rate of successful operations that ended at or after
// from and before to.
func ratePerSecond(operations []Operation, from, to time.Duration) float64 {
	n := 0
	for _, o := range operations {
		if o.Outcome == Done && o.End >= from && o.End < to {
			n++
		}
	}
	return float64(n) / (to - from).Seconds()
}

// lastServedBy returns when the last successful operation through one of the hosts
// began, or from if there was none. An operation that was redirected reached the
// host after its start and at its end at the latest, so its end is taken.
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

// idleNodes returns the number of databases without a statement and hosts without
// a connection.
func idleNodes(activities []activity, nodes nodeSet) int {
	busy := map[string]bool{}
	for _, a := range activities {
		if a.kind != "holder" {
			busy[a.node] = true
		}
	}
	idle := 0
	for _, node := range slices.Concat(nodes.hosts, nodes.databases) {
		if !busy[node] {
			idle++
		}
	}
	return idle
}

// baselineTakeOut measures the baseline while the hosts of the first data centre
// and the databases that serve there are killed. They are not started again.
func baselineTakeOut(ctx context.Context, options Options, spec FleetSpec) (takeOutBaseline, error) {
	spec.OnStatement = nil
	b := &Baseline{}
	defer b.Stop()
	if err := b.Start(ctx, spec); err != nil {
		return takeOutBaseline{}, err
	}
	const phase = 2 * time.Second
	workload := takeOutLoad(options, spec, b.Hosts)
	loadCtx, stop := context.WithTimeout(ctx, 2*phase)
	defer stop()
	killed := make(chan error, 1)
	go func() {
		pauseFor(loadCtx, phase)
		killed <- b.killDataCentre(dataCentreName(1))
	}()
	runTakeOutLoad(loadCtx, workload, spec)
	operations := workload.Operations()
	return takeOutBaseline{
		failed:     float64(len(filterOperations(operations, notDone))),
		throughput: ratio(ratePerSecond(operations, phase, 2*phase), ratePerSecond(operations, phase/2, phase)),
	}, <-killed
}

// killDataCentre kills the hosts and the serving databases of a data centre.
func (b *Baseline) killDataCentre(name string) error {
	for i := len(b.hosts) - 1; i >= 0; i-- {
		if b.hosts[i].dataCentre == name {
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
