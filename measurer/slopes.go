package measurer

import (
	"context"
	"log/slog"
	"runtime"
	"time"
)

const (
	// quietTime is how long a fleet is watched without load.
	quietTime = 4 * time.Second
	// settleFleet lets a fleet come to rest after its start.
	settleFleet = 1500 * time.Millisecond
)

// Slopes measures all slopes that the capacity page is worked out from.
func Slopes(ctx context.Context, logger *slog.Logger) ([]Slope, error) {
	var all []Slope
	for _, measure := range []func(context.Context, *slog.Logger) ([]Slope, error){
		connectionSlopes, statementSlopes, hostSlopes, serviceSlopes, transferSlopes, gossipSlopes, configurationSlopes,
	} {
		slopes, err := measure(ctx, logger)
		if err != nil {
			return all, err
		}
		all = append(all, slopes...)
		runtime.GC()
	}
	return all, nil
}

// A quietFleet is what a fleet costs without load.
type quietFleet struct {
	// processor is the processor time of all hosts and stand-ins per second.
	processor time.Duration
	// peerBytes, storeBytes and databaseBytes are per second over all hosts.
	peerBytes, storeBytes, databaseBytes float64
	storeCalls                           float64
}

// watchQuiet starts a fleet and watches it.
func watchQuiet(ctx context.Context, shape Shape) (quietFleet, error) {
	f := &Fleet{Shape: shape}
	defer f.Stop()
	if err := f.Start(ctx); err != nil {
		return quietFleet{}, err
	}
	pauseFor(ctx, settleFleet)
	isHost := func(name string) bool { return f.Host(name) != nil }
	peers := func(a, b string) bool { return isHost(a) && isHost(b) }
	store := func(a, b string) bool { return a == StoreName || b == StoreName }
	databases := func(a, b string) bool { return !peers(a, b) && !store(a, b) && a != "" }
	before, err := processorTime()
	if err != nil {
		return quietFleet{}, err
	}
	calls := f.storeCalls()
	bytes := []int64{f.Network.Traffic(peers), f.Network.Traffic(store), f.Network.Traffic(databases)}
	pauseFor(ctx, quietTime)
	after, err := processorTime()
	if err != nil {
		return quietFleet{}, err
	}
	perSecond := func(n int64) float64 { return float64(n) / quietTime.Seconds() }
	return quietFleet{
		processor:     time.Duration(float64(after-before) / quietTime.Seconds()),
		peerBytes:     perSecond(f.Network.Traffic(peers) - bytes[0]),
		storeBytes:    perSecond(f.Network.Traffic(store) - bytes[1]),
		databaseBytes: perSecond(f.Network.Traffic(databases) - bytes[2]),
		storeCalls:    perSecond(f.storeCalls()-calls) + float64(f.Store.Watching()),
	}, nil
}

// storeCalls returns the number of calls that the store has had.
func (f *Fleet) storeCalls() int64 {
	total := int64(0)
	for _, n := range f.Store.Calls() {
		total += n
	}
	return total
}

// hostSlopes measures what a quiet host costs, by the number of hosts.
func hostSlopes(ctx context.Context, logger *slog.Logger) ([]Slope, error) {
	const method = "fleets of 3, 6, 9, 15 and 24 hosts without load and with one service, watched for 4 s"
	var processor, bytes, calls []SlopePoint
	for _, hosts := range []int{3, 6, 9, 15, 24} {
		shape := Today()
		shape.Hosts, shape.Services, shape.Logger = hosts, 1, logger
		quiet, err := watchQuiet(ctx, shape)
		if err != nil {
			return nil, err
		}
		n := float64(hosts)
		processor = append(processor, SlopePoint{Size: n, Cost: microseconds(quiet.processor)})
		bytes = append(bytes, SlopePoint{Size: n, Cost: quiet.peerBytes})
		calls = append(calls, SlopePoint{Size: n, Cost: quiet.storeCalls})
	}
	return fitAll([]slopeInput{
		{"quiet_host_processor", "us/s", "hosts", method, processor},
		{"quiet_host_peer_traffic", "bytes/s", "hosts", method, bytes},
		{"store_calls", "calls/s", "hosts", method + "; a waiting watch counts as one call a second", calls},
	})
}

// serviceSlopes measures what holding a quiet service costs.
func serviceSlopes(ctx context.Context, logger *slog.Logger) ([]Slope, error) {
	const method = "one host that holds 1, 4, 8 and 16 services of three databases without load, watched for 4 s; with the stand-ins' side"
	var processor, bytes []SlopePoint
	for _, services := range []int{1, 4, 8, 16} {
		shape := Today()
		shape.Hosts, shape.Services, shape.Logger = 1, services, logger
		quiet, err := watchQuiet(ctx, shape)
		if err != nil {
			return nil, err
		}
		n := float64(services)
		processor = append(processor, SlopePoint{Size: n, Cost: microseconds(quiet.processor)})
		bytes = append(bytes, SlopePoint{Size: n, Cost: quiet.databaseBytes})
	}
	return fitAll([]slopeInput{
		{"held_service_processor", "us/s", "services held", method, processor},
		{"held_service_traffic", "bytes/s", "services held", method, bytes},
	})
}

// A slopeInput is a slope before it is fitted.
type slopeInput struct {
	name, unit, size, method string
	points                   []SlopePoint
}

func fitAll(inputs []slopeInput) ([]Slope, error) {
	var slopes []Slope
	for _, in := range inputs {
		slope, err := newSlope(in.name, in.unit, in.size, in.method, in.points)
		if err != nil {
			return nil, err
		}
		slopes = append(slopes, slope)
	}
	return slopes, nil
}
