package measurer

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/endiveturn/endiveturn/configurer"
	"github.com/endiveturn/endiveturn/server"
	"github.com/endiveturn/endiveturn/storeemulator"
)

// A faultInjector injects overlapping faults of all kinds. At any time they affect
// at most one database of each service, one host of each half of the fleet, and the
// links of one host, and in addition the store and one data centre.
type faultInjector struct {
	fleet    *Fleet
	seed     uint64
	duration time.Duration

	faults atomic.Int64
}

// count returns the number of injected faults.
func (s *faultInjector) count() int64 { return s.faults.Load() }

// run injects faults until ctx ends, and returns when all of them have ended.
func (s *faultInjector) run(ctx context.Context) {
	var loops sync.WaitGroup
	stream := uint64(0)
	repeat := func(meanPause time.Duration, fault func(context.Context, *rand.Rand)) {
		stream++
		rng := rand.New(rand.NewPCG(s.seed, stream<<48))
		loops.Go(func() {
			for pauseFor(ctx, meanPause/2+rand.N(meanPause)); ctx.Err() == nil; pauseFor(ctx, meanPause/2+time.Duration(rng.Int64N(int64(meanPause)))) {
				s.faults.Add(1)
				fault(ctx, rng)
			}
		})
	}
	for i := range s.fleet.Spec.Services {
		service := ServiceName(i + 1)
		repeat(1200*time.Millisecond, func(ctx context.Context, rng *rand.Rand) { s.failDatabase(ctx, service, rng) })
		repeat(800*time.Millisecond, func(_ context.Context, rng *rand.Rand) { s.changeReplicationDelay(service, rng) })
	}
	half := len(s.fleet.Hosts) / 2
	for _, hosts := range [][]*FleetHost{s.fleet.Hosts[:half], s.fleet.Hosts[half:]} {
		repeat(1500*time.Millisecond, func(ctx context.Context, rng *rand.Rand) { s.failHost(ctx, hosts[rng.IntN(len(hosts))], rng) })
	}
	repeat(time.Second, s.partitionLinks)
	repeat(4*time.Second, s.failStore)
	repeat(500*time.Millisecond, s.publishLimit)
	repeat(8*time.Second, s.restoreStore)
	loops.Go(func() { s.takeOutDataCentre(ctx) })
	loops.Wait()
}

// logIncomplete logs the error of a fault that could not be started or ended.
func (s *faultInjector) logIncomplete(err error, fault string) {
	if err != nil {
		s.fleet.Spec.Logger.Warn("fault_not_complete", "fault", fault, "error", err)
	}
}

// pauseRandomly waits for a random time between a fifth of longest and longest, or
// until ctx ends.
func pauseRandomly(ctx context.Context, rng *rand.Rand, longest time.Duration) {
	pauseFor(ctx, longest/5+time.Duration(rng.Int64N(int64(longest*4/5))))
}

// failDatabase injects one of four faults into the primary or one of three into a
// replica.
func (s *faultInjector) failDatabase(ctx context.Context, service string, rng *rand.Rand) {
	group := s.fleet.Groups[service]
	primary := group.Primary()
	replica := primary
	for replica == primary {
		replica = group.Members[rng.IntN(len(group.Members))].Name
	}
	faults := []struct {
		name       string
		start, end func(string) error
		database   string
	}{
		{"kill primary", group.Kill, group.Restart, primary},
		{"isolate primary", group.Isolate, group.Heal, primary},
		{"isolate primary from peers", group.IsolateFromPeers, group.Heal, primary},
		{"pause primary", group.Pause, group.Resume, primary},
		{"stall replica", group.Stall, group.Heal, replica},
		{"kill replica", group.Kill, group.Restart, replica},
		{"isolate replica", group.Isolate, group.Heal, replica},
	}
	fault := faults[rng.IntN(len(faults))]
	s.logIncomplete(fault.start(fault.database), fault.name)
	pauseRandomly(ctx, rng, 1500*time.Millisecond)
	s.logIncomplete(fault.end(fault.database), fault.name)
}

// changeReplicationDelay sets the apply lag and the receive delay of a database.
func (s *faultInjector) changeReplicationDelay(service string, rng *rand.Rand) {
	group := s.fleet.Groups[service]
	name := group.Members[rng.IntN(len(group.Members))].Name
	s.logIncomplete(group.SetApplyLag(name, time.Duration(rng.IntN(60))*time.Millisecond), "apply lag")
	s.logIncomplete(group.SetReceiveDelay(name, time.Duration(1+rng.IntN(5))*time.Millisecond), "receive delay")
}

// failHost kills a host or stops it gracefully, and starts it again.
func (s *faultInjector) failHost(ctx context.Context, h *FleetHost, rng *rand.Rand) {
	if rng.IntN(2) == 0 {
		s.fleet.KillHost(h)
	} else {
		stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), server.DefaultStopTimeout)
		s.fleet.StopHost(stopCtx, h)
		cancel()
	}
	pauseRandomly(ctx, rng, time.Second)
	s.logIncomplete(s.fleet.StartHost(context.WithoutCancel(ctx), h), "start host")
}

// partitionLinks partitions some links of one host for a random time: those to the
// store, to peers, to the databases of a service that it holds, or to the primary.
func (s *faultInjector) partitionLinks(ctx context.Context, rng *rand.Rand) {
	service := ServiceName(1 + rng.IntN(s.fleet.Spec.Services))
	host := s.fleet.Hosts[rng.IntN(len(s.fleet.Hosts))]
	holder := s.fleet.HolderOf(service)
	if holder == nil {
		holder = host
	}
	var targets []string
	switch rng.IntN(5) {
	case 0:
		targets = []string{StoreName}
	case 1:
		targets = s.randomPeers(host, rng)
	case 2:
		host, targets = holder, s.randomPeers(holder, rng)
	case 3:
		host = holder
		for _, m := range s.fleet.Groups[service].Members {
			targets = append(targets, m.Name)
		}
	default:
		host, targets = holder, []string{s.fleet.Groups[service].Primary()}
	}
	s.fleet.Spec.Logger.Info("links_partitioned", "host", host.Name, "targets", targets)
	for _, t := range targets {
		s.fleet.Network.SetPartitioned(host.Name, t, true)
	}
	pauseRandomly(ctx, rng, 2*time.Second)
	for _, t := range targets {
		s.fleet.Network.SetPartitioned(host.Name, t, false)
	}
	s.fleet.Spec.Logger.Info("links_healed", "host", host.Name, "targets", targets)
}

func (s *faultInjector) randomPeers(h *FleetHost, rng *rand.Rand) []string {
	var names []string
	for _, other := range s.fleet.Hosts {
		if other != h && rng.IntN(2) == 0 {
			names = append(names, other.Name)
		}
	}
	return names
}

// failStore makes the store refuse calls, hang, respond slowly or drop responses.
func (s *faultInjector) failStore(ctx context.Context, rng *rand.Rand) {
	store := s.fleet.Store
	switch rng.IntN(4) {
	case 0:
		store.SetFailureMode(storeemulator.Refuse)
	case 1:
		store.SetFailureMode(storeemulator.Hang)
	case 2:
		store.SetDelay(200 * time.Millisecond)
	default:
		store.DropResponsesWithProbability(0.5)
	}
	pauseRandomly(ctx, rng, 3*time.Second)
	store.SetFailureMode(storeemulator.Up)
	store.SetDelay(0)
	store.DropResponsesWithProbability(0)
}

// restoreStore makes the store come back from a copy that is some seconds old.
func (s *faultInjector) restoreStore(_ context.Context, rng *rand.Rand) {
	age := time.Second + time.Duration(rng.Int64N(int64(3*time.Second)))
	s.fleet.Store.Restore(age)
	s.fleet.Spec.Logger.Info("store_restored", "age", age)
}

// publishLimit publishes a change of a customer's rate that should affect no
// client.
func (s *faultInjector) publishLimit(ctx context.Context, rng *rand.Rand) {
	customer := CustomerName(1 + rng.IntN(s.fleet.Spec.Customers))
	rate := 1e5 * float64(1+rng.IntN(9))
	publishCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	_, err := s.fleet.Publisher().Update(publishCtx, func(config configurer.Config) (configurer.Config, error) {
		limit := config.Limits[customer]
		limit.Rate = rate
		return config.WithLimit(limit), nil
	})
	s.logIncomplete(err, "configuration")
}

// takeOutDataCentre takes one data centre out of service in the middle of the run,
// and returns it to service.
func (s *faultInjector) takeOutDataCentre(ctx context.Context) {
	pauseFor(ctx, s.duration/3)
	s.publishTakenOut(ctx, true)
	pauseFor(ctx, s.duration/5)
	s.publishTakenOut(ctx, false)
}

// publishTakenOut publishes whether the data centre is taken out, and retries until
// the store accepts it.
func (s *faultInjector) publishTakenOut(ctx context.Context, takenOut bool) {
	name := dataCentreName(1 + int(s.seed)%s.fleet.Spec.DataCentres)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), startTimeout)
	defer cancel()
	for ctx.Err() == nil {
		s.faults.Add(1)
		_, err := s.fleet.Publisher().Update(ctx, func(config configurer.Config) (configurer.Config, error) {
			dataCentre := config.DataCentres[name]
			dataCentre.TakenOut = takenOut
			return config.WithDataCentre(dataCentre), nil
		})
		if err == nil {
			return
		}
		s.logIncomplete(err, "data centre")
		pauseFor(ctx, 100*time.Millisecond)
	}
}
