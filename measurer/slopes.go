package measurer

import (
	"context"
	"log/slog"
	"runtime"
	"time"
)

const (
	// idleWindow is how long a fleet without load is measured.
	idleWindow = 4 * time.Second
	// fleetSettleTime is the time after the start of a fleet before it is
	// measured, so that the cost of starting does not count.
	fleetSettleTime = 1500 * time.Millisecond
)

// Slopes measures all slopes that the capacity table is computed from.
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

// An idleCost is the cost of a fleet without load.
type idleCost struct {
	// processor is the processor time of all hosts and emulators per second.
	processor time.Duration
	// peerBytes, storeBytes and databaseBytes are the traffic of all hosts per
	// second. storeCalls is their calls of the store per second, where a waiting
	// watch counts as one.
	peerBytes, storeBytes, databaseBytes float64
	storeCalls                           float64
}

// measureIdleFleet starts a fleet and measures its cost without load.
func measureIdleFleet(ctx context.Context, spec FleetSpec) (idleCost, error) {
	f := &Fleet{Spec: spec}
	defer f.Stop()
	if err := f.Start(ctx); err != nil {
		return idleCost{}, err
	}
	pauseFor(ctx, fleetSettleTime)
	isHost := func(name string) bool { return f.Host(name) != nil }
	peers := func(a, b string) bool { return isHost(a) && isHost(b) }
	store := func(a, b string) bool { return a == StoreName || b == StoreName }
	databases := func(a, b string) bool { return !peers(a, b) && !store(a, b) && a != "" }
	before, err := processorTime()
	if err != nil {
		return idleCost{}, err
	}
	callsBefore := f.storeCalls()
	bytesBefore := []int64{f.Network.Traffic(peers), f.Network.Traffic(store), f.Network.Traffic(databases)}
	pauseFor(ctx, idleWindow)
	after, err := processorTime()
	if err != nil {
		return idleCost{}, err
	}
	perSecond := func(n int64) float64 { return float64(n) / idleWindow.Seconds() }
	return idleCost{
		processor:     time.Duration(float64(after-before) / idleWindow.Seconds()),
		peerBytes:     perSecond(f.Network.Traffic(peers) - bytesBefore[0]),
		storeBytes:    perSecond(f.Network.Traffic(store) - bytesBefore[1]),
		databaseBytes: perSecond(f.Network.Traffic(databases) - bytesBefore[2]),
		storeCalls:    perSecond(f.storeCalls()-callsBefore) + float64(f.Store.OpenWatches()),
	}, nil
}

// storeCalls returns the number of calls that the store has received.
func (f *Fleet) storeCalls() int64 {
	total := int64(0)
	for _, n := range f.Store.Calls() {
		total += n
	}
	return total
}

// hostSlopes measures the cost of a fleet without load by the number of hosts.
func hostSlopes(ctx context.Context, logger *slog.Logger) ([]Slope, error) {
	const method = "fleets of 3, 6, 9, 15 and 24 hosts without load and with one service, watched for 4 s"
	var processor, bytes, calls []SlopePoint
	for _, hosts := range []int{3, 6, 9, 15, 24} {
		spec := DefaultSpec()
		spec.Hosts, spec.Services, spec.Logger = hosts, 1, logger
		idle, err := measureIdleFleet(ctx, spec)
		if err != nil {
			return nil, err
		}
		n := float64(hosts)
		processor = append(processor, SlopePoint{Size: n, Cost: microseconds(idle.processor)})
		bytes = append(bytes, SlopePoint{Size: n, Cost: idle.peerBytes})
		calls = append(calls, SlopePoint{Size: n, Cost: idle.storeCalls})
	}
	return fitSlopes([]slopeInput{
		{"quiet_host_processor", "us/s", "hosts", method, processor},
		{"quiet_host_peer_traffic", "bytes/s", "hosts", method, bytes},
		{"store_calls", "calls/s", "hosts", method + "; a waiting watch counts as one call a second", calls},
	})
}

// serviceSlopes measures the cost of holding services without load, by their
// number.
func serviceSlopes(ctx context.Context, logger *slog.Logger) ([]Slope, error) {
	const method = "one host that holds 1, 4, 8 and 16 services of three databases without load, watched for 4 s; with the stand-ins' side"
	var processor, bytes []SlopePoint
	for _, services := range []int{1, 4, 8, 16} {
		spec := DefaultSpec()
		spec.Hosts, spec.Services, spec.Logger = 1, services, logger
		idle, err := measureIdleFleet(ctx, spec)
		if err != nil {
			return nil, err
		}
		n := float64(services)
		processor = append(processor, SlopePoint{Size: n, Cost: microseconds(idle.processor)})
		bytes = append(bytes, SlopePoint{Size: n, Cost: idle.databaseBytes})
	}
	return fitSlopes([]slopeInput{
		{"held_service_processor", "us/s", "services held", method, processor},
		{"held_service_traffic", "bytes/s", "services held", method, bytes},
	})
}

// A slopeInput holds the points of a slope before the fit.
type slopeInput struct {
	name, unit, size, method string
	points                   []SlopePoint
}

func fitSlopes(inputs []slopeInput) ([]Slope, error) {
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
