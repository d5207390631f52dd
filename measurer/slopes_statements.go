package measurer

import (
	"context"
	"fmt"
	"log/slog"
	"time"
)

// statementClientCounts are the numbers of clients that are measured.
var statementClientCounts = []int{2, 4, 8}

// statementPhase is the length of the load for each number of clients.
const statementPhase = 1500 * time.Millisecond

// statementSlopes measures the processor time of a lookup directly at the
// database, through the holder, and through another host. Clients and emulators
// run in this process in all three cases, so that the differences are the cost
// of the hosts.
func statementSlopes(ctx context.Context, logger *slog.Logger) ([]Slope, error) {
	spec := DefaultSpec()
	spec.Hosts, spec.Services, spec.Logger, spec.StatementCost, spec.Slots = 2, 1, logger, -1, 30
	f := &Fleet{Spec: spec}
	defer f.Stop()
	if err := f.Start(ctx); err != nil {
		return nil, err
	}
	directFleet := &Fleet{Spec: spec, Network: NewNetwork()}
	defer directFleet.Stop()
	if err := directFleet.startGroups(); err != nil {
		return nil, err
	}
	group := directFleet.Groups[ServiceName(1)]
	holder := f.HolderOf(ServiceName(1))
	nonHolder := f.Hosts[0]
	if nonHolder == holder {
		nonHolder = f.Hosts[1]
	}
	throughHost := func(h *FleetHost) *lookupLoad {
		return &lookupLoad{dsn: fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable", KeyName(CustomerName(1)), KeySecret(CustomerName(1)), h.ClientAddress, RouteName(1))}
	}
	paths := []struct {
		name string
		load *lookupLoad
	}{
		{"statement_direct_processor", &lookupLoad{
			dsn:    fmt.Sprintf("postgres://%s:%s@%s/ledger?sslmode=disable", endpointUser, endpointPassword, group.Address(group.Primary())),
			params: map[string]string{"group_term": fmt.Sprint(baselineTerm)},
		}},
		{"statement_held_processor", throughHost(holder)},
		{"statement_forwarded_processor", throughHost(nonHolder)},
	}
	var inputs []slopeInput
	for i, path := range paths {
		if i < 2 {
			if err := path.load.insertBooking(ctx); err != nil {
				return nil, err
			}
		}
		points, err := statementPoints(ctx, path.load)
		if err != nil {
			return nil, err
		}
		inputs = append(inputs, slopeInput{
			path.name, "us", "statements",
			"lookups by 2, 4 and 8 callers for 1.5 s each; processor time of callers, hosts and stand-ins together", points,
		})
	}
	return fitSlopes(inputs)
}

// statementPoints returns the processor time by the number of statements. The
// origin is one of the points.
func statementPoints(ctx context.Context, load *lookupLoad) ([]SlopePoint, error) {
	points := []SlopePoint{{}}
	for _, clients := range statementClientCounts {
		load.clients, load.latencies = clients, nil
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
