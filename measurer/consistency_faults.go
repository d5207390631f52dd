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

// A faultSchedule lets faults of all kinds overlap: at any time at most one of
// the databases of each service, one host of each half of the fleet, and one
// cut of links are affected, and besides them the store and a data centre.
type faultSchedule struct {
	fleet    *Fleet
	seed     uint64
	duration time.Duration

	faults atomic.Int64
}

// count returns the number of faults that were started.
func (s *faultSchedule) count() int64 { return s.faults.Load() }

// run makes faults until ctx ends, and returns when all have been undone.
func (s *faultSchedule) run(ctx context.Context) {
	var loops sync.WaitGroup
	stream := uint64(0)
	loop := func(mean time.Duration, fault func(context.Context, *rand.Rand)) {
		stream++
		rng := rand.New(rand.NewPCG(s.seed, stream<<48))
		loops.Go(func() {
			for pauseFor(ctx, mean/2+rand.N(mean)); ctx.Err() == nil; pauseFor(ctx, mean/2+time.Duration(rng.Int64N(int64(mean)))) {
				s.faults.Add(1)
				fault(ctx, rng)
			}
		})
	}
	for i := range s.fleet.Shape.Services {
		service := ServiceName(i + 1)
		loop(1200*time.Millisecond, func(ctx context.Context, rng *rand.Rand) { s.failDatabase(ctx, service, rng) })
		loop(800*time.Millisecond, func(_ context.Context, rng *rand.Rand) { s.changeLag(service, rng) })
	}
	half := len(s.fleet.Hosts) / 2
	for _, hosts := range [][]*FleetHost{s.fleet.Hosts[:half], s.fleet.Hosts[half:]} {
		loop(1500*time.Millisecond, func(ctx context.Context, rng *rand.Rand) { s.failHost(ctx, hosts[rng.IntN(len(hosts))], rng) })
	}
	loop(time.Second, s.cutLinks)
	loop(4*time.Second, s.failStore)
	loop(500*time.Millisecond, s.configure)
	loops.Go(func() { s.takeOutDataCentre(ctx) })
	loops.Wait()
}

func (s *faultSchedule) note(err error, fault string) {
	if err != nil {
		s.fleet.Shape.Logger.Warn("fault not complete", "fault", fault, "error", err)
	}
}

// during returns a random time of a fault, cut short when ctx ends.
func during(ctx context.Context, rng *rand.Rand, longest time.Duration) {
	pauseFor(ctx, longest/5+time.Duration(rng.Int64N(int64(longest*4/5))))
}

// failDatabase takes the primary away in one of four ways, or a replica in one
// of three.
func (s *faultSchedule) failDatabase(ctx context.Context, service string, rng *rand.Rand) {
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
	s.note(fault.start(fault.database), fault.name)
	during(ctx, rng, 1500*time.Millisecond)
	s.note(fault.end(fault.database), fault.name)
}

func (s *faultSchedule) changeLag(service string, rng *rand.Rand) {
	group := s.fleet.Groups[service]
	name := group.Members[rng.IntN(len(group.Members))].Name
	s.note(group.SetApplyLag(name, time.Duration(rng.IntN(60))*time.Millisecond), "apply lag")
	s.note(group.SetReceiveDelay(name, time.Duration(1+rng.IntN(5))*time.Millisecond), "receive delay")
}

// failHost kills a host or stops it as planned, and starts it again.
func (s *faultSchedule) failHost(ctx context.Context, h *FleetHost, rng *rand.Rand) {
	if rng.IntN(2) == 0 {
		s.fleet.KillHost(h)
	} else {
		call, cancel := context.WithTimeout(context.WithoutCancel(ctx), server.DefaultStopTimeout)
		s.fleet.StopHost(call, h)
		cancel()
	}
	during(ctx, rng, time.Second)
	s.note(s.fleet.StartHost(context.WithoutCancel(ctx), h), "start host")
}

// cutLinks cuts some links of one host for a while.
func (s *faultSchedule) cutLinks(ctx context.Context, rng *rand.Rand) {
	service := ServiceName(1 + rng.IntN(s.fleet.Shape.Services))
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
		targets = s.somePeers(host, rng)
	case 2:
		host, targets = holder, s.somePeers(holder, rng)
	case 3:
		host = holder
		for _, m := range s.fleet.Groups[service].Members {
			targets = append(targets, m.Name)
		}
	default:
		host, targets = holder, []string{s.fleet.Groups[service].Primary()}
	}
	s.fleet.Shape.Logger.Info("links cut", "host", host.Name, "targets", targets)
	for _, t := range targets {
		s.fleet.Network.SetCut(host.Name, t, true)
	}
	during(ctx, rng, 2*time.Second)
	for _, t := range targets {
		s.fleet.Network.SetCut(host.Name, t, false)
	}
	s.fleet.Shape.Logger.Info("links healed", "host", host.Name, "targets", targets)
}

func (s *faultSchedule) somePeers(h *FleetHost, rng *rand.Rand) []string {
	var names []string
	for _, other := range s.fleet.Hosts {
		if other != h && rng.IntN(2) == 0 {
			names = append(names, other.Name)
		}
	}
	return names
}

// failStore makes the store refuse, hang, answer slowly or lose answers.
func (s *faultSchedule) failStore(ctx context.Context, rng *rand.Rand) {
	store := s.fleet.Store
	switch rng.IntN(4) {
	case 0:
		store.SetDown(storeemulator.Refuse)
	case 1:
		store.SetDown(storeemulator.Hang)
	case 2:
		store.SetDelay(200 * time.Millisecond)
	default:
		store.LoseAnswersWithProbability(0.5)
	}
	during(ctx, rng, 3*time.Second)
	store.SetDown(storeemulator.Up)
	store.SetDelay(0)
	store.LoseAnswersWithProbability(0)
}

// configure publishes a change that no caller should notice.
func (s *faultSchedule) configure(ctx context.Context, rng *rand.Rand) {
	customer := CustomerName(1 + rng.IntN(s.fleet.Shape.Customers))
	rate := 1e5 * float64(1+rng.IntN(9))
	call, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	_, err := s.fleet.Publisher().Update(call, func(set configurer.Set) (configurer.Set, error) {
		limit := set.Limits[customer]
		limit.Rate = rate
		return set.WithLimit(limit), nil
	})
	s.note(err, "configuration")
}

// takeOutDataCentre takes one data centre out of service in the middle of the
// run and returns it.
func (s *faultSchedule) takeOutDataCentre(ctx context.Context) {
	pauseFor(ctx, s.duration/3)
	s.setDataCentre(ctx, true)
	pauseFor(ctx, s.duration/5)
	s.setDataCentre(ctx, false)
}

// setDataCentre publishes until the store takes it.
func (s *faultSchedule) setDataCentre(ctx context.Context, takenOut bool) {
	name := dataCentreName(1 + int(s.seed)%s.fleet.Shape.DataCentres)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), startTimeout)
	defer cancel()
	for ctx.Err() == nil {
		s.faults.Add(1)
		_, err := s.fleet.Publisher().Update(ctx, func(set configurer.Set) (configurer.Set, error) {
			dataCentre := set.DataCentres[name]
			dataCentre.TakenOut = takenOut
			return set.WithDataCentre(dataCentre), nil
		})
		if err == nil {
			return
		}
		s.note(err, "data centre")
		pauseFor(ctx, 100*time.Millisecond)
	}
}
