package measurer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/endiveturn/endiveturn/groupemulator"
)

const (
	// failoverCount is the number of faults. The target requires at least 20.
	failoverCount = 20
	// faultDuration is how long a primary is unavailable, and recoveryTime the
	// time after that until the next fault.
	faultDuration = 1200 * time.Millisecond
	recoveryTime  = 400 * time.Millisecond
	// gapTarget is the longest permitted time without an acknowledged write, in
	// ms.
	gapTarget = 2000
)

// measureFailoverGap makes the primaries of all services fail in turn, and measures
// the time without an acknowledged write.
func measureFailoverGap(ctx context.Context, options Options) ([]Figure, []Series, error) {
	spec := DefaultSpec()
	spec.Logger = options.Logger
	f := &Fleet{Spec: spec}
	defer f.Stop()
	if err := f.Start(ctx); err != nil {
		return nil, nil, err
	}
	workload := &Workload{Hosts: f.RunningHosts, Seed: options.Seed, Timeout: 6 * time.Second, Logger: options.Logger}
	for i := range spec.Services {
		workload.Groups = append(workload.Groups, ClientGroup{
			Customer: CustomerName(i + 1), Route: RouteName(i + 1), Clients: 20, Rate: 400, WriteShare: 0.6, OpsPerHost: 50,
		})
	}
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		workload.Run(loadCtx)
	}()
	pauseFor(ctx, time.Second)
	rng := rand.New(rand.NewPCG(options.Seed, 0))
	var gaps []float64
	var windows []faultWindow
	for i := range failoverCount {
		service := ServiceName(i%spec.Services + 1)
		windows = append(windows, f.failPrimary(ctx, service, workload, rng))
	}
	stop()
	<-done
	for _, window := range windows {
		customer := CustomerName(window.service)
		own := filterOperations(workload.Operations(), func(o Operation) bool { return o.Customer == customer })
		gaps = append(gaps, milliseconds(longestGap(own, window.from, window.to)))
	}
	lost, duplicated := f.auditOperations(workload.Operations())
	stale, mismatched, _ := workload.Violations()
	return []Figure{
		NewFigure("gap_p99_ms", percentile(gaps, 0.99), AtMost, gapTarget),
		Info("gap_p50_ms", percentile(gaps, 0.5)),
		Info("faults", float64(len(gaps))),
		NewFigure("acknowledged_lost", float64(lost), AtMost, 0),
		NewFigure("doubled", float64(duplicated), AtMost, 0),
		NewFigure("stale_own_reads", float64(stale), AtMost, 0),
		NewFigure("crossed_answers", float64(mismatched), AtMost, 0),
	}, []Series{throughput(workload.Operations(), 100*time.Millisecond)}, nil
}

// A faultWindow is the time of the fault of a primary and of the recovery after it.
type faultWindow struct {
	// service is the number of the service, counted from 1.
	service  int
	from, to time.Duration
}

// failPrimary kills, isolates or pauses the primary of a service, at random, and
// ends the fault after faultDuration.
func (f *Fleet) failPrimary(ctx context.Context, service string, workload *Workload, rng *rand.Rand) faultWindow {
	group := f.Groups[service]
	primary := group.Primary()
	window := faultWindow{from: workload.Elapsed()}
	for i := range f.Spec.Services {
		if ServiceName(i+1) == service {
			window.service = i + 1
		}
	}
	faults := []struct{ start, end func(string) error }{
		{group.Kill, group.Restart},
		{group.Isolate, group.Heal},
		{group.Pause, group.Resume},
	}
	fault := faults[rng.IntN(len(faults))]
	if err := fault.start(primary); err != nil {
		f.Spec.Logger.Error("fault_not_started", "database", primary, "error", err)
	}
	pauseFor(ctx, faultDuration)
	if err := fault.end(primary); err != nil {
		f.Spec.Logger.Error("fault_not_ended", "database", primary, "error", err)
	}
	pauseFor(ctx, recoveryTime)
	window.to = workload.Elapsed()
	return window
}

// auditOperations compares the outcomes reported to clients with the rows of the
// databases. lost is the number of acknowledged writes that are missing, and
// duplicated that of writes that were committed twice in the authoritative log.
func (f *Fleet) auditOperations(operations []Operation) (lost, duplicated int) {
	rows := make(map[string]groupemulator.Row)
	for _, group := range f.Groups {
		for id, row := range group.Rows() {
			rows[id] = row
		}
		duplicated += len(group.Duplicates())
	}
	for _, o := range operations {
		if o.Kind != Write || o.Outcome != Done {
			continue
		}
		if _, ok := rows[o.ID]; !ok {
			lost++
		}
	}
	return lost, duplicated
}
