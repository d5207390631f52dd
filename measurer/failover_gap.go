package measurer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/endiveturn/endiveturn/groupemulator"
)

const (
	// failovers is the number of faults, at least 20 by the target.
	failovers = 20
	// faultTime is how long a primary stays away, and recoverTime how long the
	// group has afterwards until the next fault.
	faultTime   = 1200 * time.Millisecond
	recoverTime = 400 * time.Millisecond
	// gapTarget is the longest time without an acknowledged write, in ms.
	gapTarget = 2000
)

// measureFailoverGap kills and cuts off primaries of all services in turn.
func measureFailoverGap(ctx context.Context, options Options) ([]Figure, []Series, error) {
	shape := Today()
	shape.Logger = options.Logger
	f := &Fleet{Shape: shape}
	defer f.Stop()
	if err := f.Start(ctx); err != nil {
		return nil, nil, err
	}
	workload := &Workload{Hosts: f.AllHosts, Seed: options.Seed, Timeout: 6 * time.Second, Logger: options.Logger}
	for i := range shape.Services {
		workload.Groups = append(workload.Groups, CallerGroup{
			Customer: CustomerName(i + 1), Route: RouteName(i + 1), Callers: 20, Rate: 400, WriteShare: 0.6, Roam: 50,
		})
	}
	load, stop := context.WithCancel(ctx)
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		workload.Run(load)
	}()
	pauseFor(ctx, time.Second)
	rng := rand.New(rand.NewPCG(options.Seed, 0))
	var gaps []float64
	var windows []faultWindow
	for i := range failovers {
		service := ServiceName(i%shape.Services + 1)
		windows = append(windows, f.failPrimary(ctx, service, workload, rng))
	}
	stop()
	<-done
	for _, window := range windows {
		customer := CustomerName(window.service)
		own := selectOperations(workload.Operations(), func(o Operation) bool { return o.Customer == customer })
		gaps = append(gaps, milliseconds(longestGap(own, window.from, window.to)))
	}
	lost, doubled := f.audit(workload.Operations())
	stale, crossed, _ := workload.Violations()
	return []Figure{
		NewFigure("gap_p99_ms", percentile(gaps, 0.99), AtMost, gapTarget),
		Info("gap_p50_ms", percentile(gaps, 0.5)),
		Info("faults", float64(len(gaps))),
		NewFigure("acknowledged_lost", float64(lost), AtMost, 0),
		NewFigure("doubled", float64(doubled), AtMost, 0),
		NewFigure("stale_own_reads", float64(stale), AtMost, 0),
		NewFigure("crossed_answers", float64(crossed), AtMost, 0),
	}, []Series{throughput(workload.Operations(), 100*time.Millisecond)}, nil
}

// A faultWindow is the time in which a service was without its primary.
type faultWindow struct {
	// service counts from 1.
	service  int
	from, to time.Duration
}

// failPrimary takes the primary of a service away in a random manner for a
// while.
func (f *Fleet) failPrimary(ctx context.Context, service string, workload *Workload, rng *rand.Rand) faultWindow {
	group := f.Groups[service]
	primary := group.Primary()
	window := faultWindow{from: workload.Elapsed()}
	for i := range f.Shape.Services {
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
		f.Shape.Logger.Error("fault not started", "database", primary, "error", err)
	}
	pauseFor(ctx, faultTime)
	if err := fault.end(primary); err != nil {
		f.Shape.Logger.Error("fault not ended", "database", primary, "error", err)
	}
	pauseFor(ctx, recoverTime)
	window.to = workload.Elapsed()
	return window
}

// audit compares what callers were told with what the databases hold. lost
// counts acknowledged writes that are missing, doubled those that were
// committed twice in the log that counts.
func (f *Fleet) audit(operations []Operation) (lost, doubled int) {
	content := make(map[string]groupemulator.Row)
	for _, group := range f.Groups {
		for id, row := range group.Content() {
			content[id] = row
		}
		doubled += len(group.Duplicates())
	}
	for _, o := range operations {
		if o.Kind != Write || o.Outcome != Done {
			continue
		}
		if _, ok := content[o.ID]; !ok {
			lost++
		}
	}
	return lost, doubled
}
