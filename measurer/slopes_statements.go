package measurer

import (
	"context"
	"fmt"
	"log/slog"
	"time"
)

// statementSteps are the numbers of callers whose statements are counted.
var statementSteps = []int{2, 4, 8}

// statementPhase is the time for each number of callers.
const statementPhase = 1500 * time.Millisecond

// statementSlopes measures the processor time of a lookup directly at the
// database, through the holder, and through another host. Callers and stand-ins
// are in the process each time, so that the differences are those of the hosts.
func statementSlopes(ctx context.Context, logger *slog.Logger) ([]Slope, error) {
	shape := Today()
	shape.Hosts, shape.Services, shape.Logger, shape.StatementCost, shape.Slots = 2, 1, logger, -1, 30
	f := &Fleet{Shape: shape}
	defer f.Stop()
	if err := f.Start(ctx); err != nil {
		return nil, err
	}
	direct := &Fleet{Shape: shape, Network: NewNetwork()}
	defer direct.Stop()
	if err := direct.startGroups(); err != nil {
		return nil, err
	}
	group := direct.Groups[ServiceName(1)]
	holder := f.HolderOf(ServiceName(1))
	other := f.Hosts[0]
	if other == holder {
		other = f.Hosts[1]
	}
	proxied := func(h *FleetHost) *lookupLoad {
		return &lookupLoad{dsn: fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable", KeyName(CustomerName(1)), KeySecret(CustomerName(1)), h.CallerAddress, RouteName(1))}
	}
	ways := []struct {
		name string
		load *lookupLoad
	}{
		{"statement_direct_processor", &lookupLoad{
			dsn:    fmt.Sprintf("postgres://%s:%s@%s/ledger?sslmode=disable", endpointUser, endpointPassword, group.Address(group.Primary())),
			params: map[string]string{"group_term": fmt.Sprint(baselineTerm)},
		}},
		{"statement_held_processor", proxied(holder)},
		{"statement_forwarded_processor", proxied(other)},
	}
	var inputs []slopeInput
	for i, way := range ways {
		if i < 2 {
			if err := way.load.book(ctx); err != nil {
				return nil, err
			}
		}
		points, err := statementPoints(ctx, way.load)
		if err != nil {
			return nil, err
		}
		inputs = append(inputs, slopeInput{
			way.name, "us", "statements",
			"lookups by 2, 4 and 8 callers for 1.5 s each; processor time of callers, hosts and stand-ins together", points,
		})
	}
	return fitAll(inputs)
}

// statementPoints returns processor time over numbers of statements, through
// the origin.
func statementPoints(ctx context.Context, load *lookupLoad) ([]SlopePoint, error) {
	points := []SlopePoint{{}}
	for _, callers := range statementSteps {
		load.callers, load.latencies = callers, nil
		before, err := processorTime()
		if err != nil {
			return nil, err
		}
		if err := load.run(ctx, statementPhase); err != nil {
			return nil, err
		}
		after, err := processorTime()
		if err != nil {
			return nil, err
		}
		points = append(points, SlopePoint{Size: float64(load.total), Cost: microseconds(after - before)})
	}
	return points, nil
}
