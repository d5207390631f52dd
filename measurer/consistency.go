package measurer

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/groupemulator"
)

const (
	// checkedSessions is the number of sessions of each customer on each
	// service.
	checkedSessions = 4
	// checkedPause is the mean pause of a session between two operations.
	checkedPause = 60 * time.Millisecond
	// checkedTimeout bounds one operation of a session.
	checkedTimeout = 8 * time.Second
	// settleTimeout bounds the time that the databases get to hold the same
	// log after all faults have ended.
	settleTimeout = 20 * time.Second
	// boundsSample is how often slots and connections exceeded are looked for.
	boundsSample = 5 * time.Millisecond
)

// measureConsistency lets sessions of all customers roam over nine hosts while
// faults of all kinds overlap, and counts everything that a caller must never
// see.
func measureConsistency(ctx context.Context, options Options) ([]Figure, []Series, error) {
	shape := Today()
	shape.Logger = options.Logger
	check := &consistencyCheck{Logger: options.Logger}
	shape.OnStatement = check.observe
	f := &Fleet{Shape: shape}
	defer f.Stop()
	if err := f.Start(ctx); err != nil {
		return nil, nil, err
	}
	duration := options.duration(30 * time.Second)
	load, stop := context.WithTimeout(ctx, duration)
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		check.run(load, f, options.Seed)
	}()
	go f.logExceeded(load)
	faults := &faultSchedule{fleet: f, seed: options.Seed, duration: duration}
	faults.run(load)
	<-done
	if err := f.awaitEqualLogs(ctx); err != nil {
		return nil, nil, err
	}
	check.audit(f)
	return check.figures(f, faults), nil, nil
}

// figures returns the violations, and how much was checked.
func (c *consistencyCheck) figures(f *Fleet, faults *faultSchedule) []Figure {
	slotWaits, refused := f.exceeded()
	c.mu.Lock()
	defer c.mu.Unlock()
	figures := []Figure{
		NewFigure("slot_waits", float64(slotWaits), AtMost, 0),
		NewFigure("refused_connections", float64(refused), AtMost, 0),
		// A run in which little happened shows nothing.
		NewFigure("own_reads_checked", float64(c.reads), AtLeast, 1000),
		NewFigure("statements_checked", float64(c.statements), AtLeast, 1000),
		NewFigure("faults", float64(faults.count()), AtLeast, 10),
		Info("writes_acknowledged", float64(c.outcomes[Done])),
		Info("writes_unknown", float64(c.outcomes[Unknown])),
		Info("writes_not_run", float64(c.outcomes[NotRun])),
		Info("writes_rolled_back", float64(c.outcomes[Failed])),
		Info("cancelled", float64(c.cancelled)),
	}
	var found []Figure
	for kind := range violationKinds {
		found = append(found, NewFigure(kind.String(), float64(c.violations[kind]), AtMost, 0))
	}
	return append(found, figures...)
}

// exceeded returns how often a database had no free slot for a batch, and how
// often it refused a connection because too many were open.
func (f *Fleet) exceeded() (slotWaits, refused uint64) {
	for _, group := range f.Groups {
		for _, m := range group.Members {
			stats := group.Stats(m.Name)
			slotWaits += stats.SlotWaits
			refused += stats.RefusedConnections
		}
	}
	return slotWaits, refused
}

// logExceeded logs the time at which a database had no free slot or connection,
// so that it can be compared with the faults at that time.
func (f *Fleet) logExceeded(ctx context.Context) {
	last := map[string]groupemulator.Stats{}
	for ; ctx.Err() == nil; pauseFor(ctx, boundsSample) {
		for _, group := range f.Groups {
			for _, m := range group.Members {
				stats := group.Stats(m.Name)
				if stats.SlotWaits > last[m.Name].SlotWaits || stats.RefusedConnections > last[m.Name].RefusedConnections {
					f.Shape.Logger.Error("bounds of a database exceeded", "database", m.Name,
						"slot_waits", stats.SlotWaits, "refused_connections", stats.RefusedConnections)
				}
				last[m.Name] = stats
			}
		}
	}
}

// awaitEqualLogs waits until every service is held and all its databases have
// applied the same log.
func (f *Fleet) awaitEqualLogs(ctx context.Context) error {
	if err := f.AwaitServing(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	for {
		different := f.differentLog()
		if different == "" {
			return nil
		}
		if ctx.Err() != nil {
			return errors.Errorf("logs of %s do not become equal", different)
		}
		pauseFor(ctx, 20*time.Millisecond)
	}
}

// differentLog returns a service whose databases have not applied the same
// log, or an empty text.
func (f *Fleet) differentLog() string {
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
