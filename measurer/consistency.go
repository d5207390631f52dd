package measurer

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/groupemulator"
)

const (
	// checkedSessionCount is the number of sessions of each customer on each
	// service.
	checkedSessionCount = 4
	// checkedOperationPause is the mean pause of a session between two operations.
	checkedOperationPause = 60 * time.Millisecond
	// checkedOperationTimeout bounds one operation of a session.
	checkedOperationTimeout = 8 * time.Second
	// convergenceTimeout bounds the time after the end of all faults until the
	// databases of each service have applied the same log.
	convergenceTimeout = 20 * time.Second
	// boundsSampleInterval is the interval at which the databases are checked for
	// exceeded slots and connections.
	boundsSampleInterval = 5 * time.Millisecond
)

// measureConsistency runs sessions of all customers that move between nine hosts
// while faults of all kinds overlap, and counts everything that a client must never
// observe.
func measureConsistency(ctx context.Context, options Options) ([]Figure, []Series, error) {
	spec := DefaultSpec()
	spec.Logger = options.Logger
	check := &consistencyCheck{Logger: options.Logger}
	spec.OnStatement = check.checkStatement
	f := &Fleet{Spec: spec}
	defer f.Stop()
	if err := f.Start(ctx); err != nil {
		return nil, nil, err
	}
	duration := options.duration(30 * time.Second)
	loadCtx, stop := context.WithTimeout(ctx, duration)
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		check.run(loadCtx, f, options.Seed)
	}()
	go f.logBoundsExceeded(loadCtx)
	faults := &faultInjector{fleet: f, seed: options.Seed, duration: duration}
	faults.run(loadCtx)
	<-done
	if err := f.awaitConvergence(ctx); err != nil {
		return nil, nil, err
	}
	check.audit(f)
	return check.figures(f, faults), nil, nil
}

// figures returns the numbers of violations and of checks.
func (c *consistencyCheck) figures(f *Fleet, faults *faultInjector) []Figure {
	slotWaits, refused := f.boundsExceeded()
	c.mu.Lock()
	defer c.mu.Unlock()
	figures := []Figure{
		NewFigure("slot_waits", float64(slotWaits), AtMost, 0),
		NewFigure("refused_connections", float64(refused), AtMost, 0),
		// A run with few checks or faults is no evidence, so there are lower
		// bounds.
		NewFigure("own_reads_checked", float64(c.reads), AtLeast, 1000),
		NewFigure("statements_checked", float64(c.statements), AtLeast, 1000),
		NewFigure("faults", float64(faults.count()), AtLeast, 10),
		Info("writes_acknowledged", float64(c.outcomes[Done])),
		Info("writes_unknown", float64(c.outcomes[Unknown])),
		Info("writes_not_run", float64(c.outcomes[NotRun])),
		Info("writes_rolled_back", float64(c.outcomes[Failed])),
		Info("cancelled", float64(c.canceled)),
	}
	var violations []Figure
	for kind := range violationKinds {
		violations = append(violations, NewFigure(kind.String(), float64(c.violations[kind]), AtMost, 0))
	}
	return append(violations, figures...)
}

// boundsExceeded returns how often a database had no free slot for a batch, and
// how often it refused a connection because too many were open.
func (f *Fleet) boundsExceeded() (slotWaits, refused uint64) {
	for _, group := range f.Groups {
		for _, m := range group.Members {
			stats := group.Stats(m.Name)
			slotWaits += stats.SlotWaits
			refused += stats.RefusedConnections
		}
	}
	return slotWaits, refused
}

// logBoundsExceeded logs when a database had no free slot or connection, so that
// the time can be compared with those of the faults.
func (f *Fleet) logBoundsExceeded(ctx context.Context) {
	last := map[string]groupemulator.Stats{}
	for ; ctx.Err() == nil; pauseFor(ctx, boundsSampleInterval) {
		for _, group := range f.Groups {
			for _, m := range group.Members {
				stats := group.Stats(m.Name)
				if stats.SlotWaits > last[m.Name].SlotWaits || stats.RefusedConnections > last[m.Name].RefusedConnections {
					f.Spec.Logger.Error("database_bounds_exceeded", "database", m.Name,
						"slot_waits", stats.SlotWaits, "refused_connections", stats.RefusedConnections)
				}
				last[m.Name] = stats
			}
		}
	}
}

// awaitConvergence waits until every service has a holder and all its databases
// have applied the same log.
func (f *Fleet) awaitConvergence(ctx context.Context) error {
	if err := f.AwaitServing(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, convergenceTimeout)
	defer cancel()
	for {
		diverged := f.divergedService()
		if diverged == "" {
			return nil
		}
		if ctx.Err() != nil {
			return errors.Errorf("databases of %s have not converged to the same log", diverged)
		}
		pauseFor(ctx, 20*time.Millisecond)
	}
}

// divergedService returns a service whose databases have not all applied the same
// log, or an empty string.
func (f *Fleet) divergedService() string {
	for service, group := range f.Groups {
		primary := group.Status(group.Primary())
		for _, m := range group.Members {
			status := group.Status(m.Name)
			if status.Primary != primary.Name || status.Term != primary.Term || status.Applied != primary.Received {
				return service
			}
		}
	}
	return ""
}
