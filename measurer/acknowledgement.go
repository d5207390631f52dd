package measurer

import (
	"context"
	"fmt"
	"time"

	"github.com/endiveturn/endiveturn/configurer"
)

// acknowledgementDelays are the times until a replica has received an entry.
var acknowledgementDelays = []time.Duration{time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond}

const (
	acknowledgementPhase = 2 * time.Second
	// acknowledgementMargin is the time in ms by which a write may exceed the sum
	// of the delay and the time of a write that the primary alone acknowledges.
	acknowledgementMargin = 5
)

// measureAcknowledgement measures the latency of writes that a majority has to
// acknowledge, by the delay of replication. The baseline is acknowledgement by the
// primary alone.
func measureAcknowledgement(ctx context.Context, options Options) ([]Figure, []Series, error) {
	primaryMedian, err := writeMedian(ctx, options, time.Millisecond, configurer.AcknowledgePrimary)
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
		bound := primaryMedian + milliseconds(delay) + acknowledgementMargin
		figures = append(figures, NewFigure(name, median, AtMost, bound).WithBaseline(primaryMedian))
	}
	return figures, nil, nil
}

// writeMedian returns the median latency of a write in ms.
func writeMedian(ctx context.Context, options Options, delay time.Duration, mode configurer.Acknowledge) (float64, error) {
	spec := DefaultSpec()
	spec.Hosts, spec.Services, spec.Logger, spec.ReceiveDelay = 1, 1, options.Logger, delay
	f := &Fleet{Spec: spec}
	defer f.Stop()
	if err := f.Start(ctx); err != nil {
		return 0, err
	}
	if mode != configurer.AcknowledgeMajority {
		// The holder adopts the mode of its service when it claims the service,
		// which it does again after a change.
		if err := f.publishAcknowledge(ctx, mode); err != nil {
			return 0, err
		}
	}
	w := &Workload{
		Groups: []ClientGroup{{Customer: CustomerName(1), Route: RouteName(1), Clients: 8, Rate: 200, WriteShare: 1}},
		Hosts:  f.RunningHosts, Seed: options.Seed, Timeout: 6 * time.Second, Logger: options.Logger,
	}
	runFor(ctx, w, acknowledgementPhase)
	done := filterOperations(w.Operations(), func(o Operation) bool { return o.Outcome == Done && o.Start > time.Second/2 })
	return percentile(latencies(done), 0.5), nil
}

// publishAcknowledge sets the acknowledgement mode of all services and waits until
// the change is in force on all hosts.
func (f *Fleet) publishAcknowledge(ctx context.Context, mode configurer.Acknowledge) error {
	revision, err := f.Publisher().Update(ctx, func(config configurer.Config) (configurer.Config, error) {
		services := map[string]configurer.Service{}
		for name, service := range config.Services {
			service.Acknowledge = mode
			services[name] = service
		}
		config.Services = services
		return config, nil
	})
	if err != nil {
		return err
	}
	_, err = f.AwaitRevision(ctx, revision)
	return err
}
