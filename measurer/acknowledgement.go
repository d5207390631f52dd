package measurer

import (
	"context"
	"fmt"
	"time"

	"github.com/endiveturn/endiveturn/configurer"
)

// acknowledgementDelays are the times until a replica holds an entry.
var acknowledgementDelays = []time.Duration{time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond}

const (
	acknowledgementPhase = 2 * time.Second
	// acknowledgementMargin is what a write may take beyond the delay, over a
	// write that is acknowledged by the primary alone, in ms.
	acknowledgementMargin = 5
)

// measureAcknowledgement measures what the wait for a majority costs a write,
// against the delay of replication; the baseline is acknowledgement by the
// primary alone.
func measureAcknowledgement(ctx context.Context, options Options) ([]Figure, []Series, error) {
	alone, err := writeMedian(ctx, options, time.Millisecond, configurer.AcknowledgePrimary)
	if err != nil {
		return nil, nil, err
	}
	var figures []Figure
	for _, delay := range acknowledgementDelays {
		median, err := writeMedian(ctx, options, delay, configurer.AcknowledgeMajority)
		if err != nil {
			return nil, nil, err
		}
		name := fmt.Sprintf("write_p50_at_%dms_delay_ms", delay.Milliseconds())
		bound := alone + milliseconds(delay) + acknowledgementMargin
		figures = append(figures, NewFigure(name, median, AtMost, bound).WithBaseline(alone))
	}
	return figures, nil, nil
}

// writeMedian returns the median time of a write in ms.
func writeMedian(ctx context.Context, options Options, delay time.Duration, acknowledge configurer.Acknowledge) (float64, error) {
	shape := Today()
	shape.Hosts, shape.Services, shape.Logger, shape.ReceiveDelay = 1, 1, options.Logger, delay
	f := &Fleet{Shape: shape}
	defer f.Stop()
	if err := f.Start(ctx); err != nil {
		return 0, err
	}
	if acknowledge != configurer.AcknowledgeMajority {
		// The holder takes the mode of its service over when it claims it.
		if err := f.republishAcknowledge(ctx, acknowledge); err != nil {
			return 0, err
		}
	}
	w := &Workload{
		Groups: []CallerGroup{{Customer: CustomerName(1), Route: RouteName(1), Callers: 8, Rate: 200, WriteShare: 1}},
		Hosts:  f.AllHosts, Seed: options.Seed, Timeout: 6 * time.Second, Logger: options.Logger,
	}
	runFor(ctx, w, acknowledgementPhase)
	done := selectOperations(w.Operations(), func(o Operation) bool { return o.Outcome == Done && o.Start > time.Second/2 })
	return percentile(latencies(done), 0.5), nil
}

func (f *Fleet) republishAcknowledge(ctx context.Context, acknowledge configurer.Acknowledge) error {
	revision, err := f.Publisher().Update(ctx, func(set configurer.Set) (configurer.Set, error) {
		services := map[string]configurer.Service{}
		for name, service := range set.Services {
			service.Acknowledge = acknowledge
			services[name] = service
		}
		set.Services = services
		return set, nil
	})
	if err != nil {
		return err
	}
	_, err = f.AwaitRevision(ctx, revision)
	return err
}
