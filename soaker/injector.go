package soaker

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/endiveturn/endiveturn/timekeeper"
)

// Names of the targets of incidents.
func processTarget(h *host) string { return "process " + h.name }
func clientTarget(h *host) string  { return "client link " + h.name }
func storeTarget(h *host) string   { return "store link " + h.name }

// storeProcess is the target of an incident of the store itself.
const storeProcess = "store"

// injectAll injects the faults of a schedule at their times and returns when all are
// healed.
func (s *Soak) injectAll(ctx context.Context, schedule []Fault) {
	start := time.Now()
	var active sync.WaitGroup
	for _, fault := range schedule {
		if !timekeeper.Sleep(ctx, time.Until(start.Add(fault.Start))) {
			break
		}
		active.Go(func() {
			s.logger.Info("fault_began", "fault", fault.String())
			s.inject(ctx, fault)
			s.logger.Info("fault_healed", "fault", fault.String())
		})
	}
	timekeeper.Sleep(ctx, time.Until(start.Add(s.Duration)))
	active.Wait()
}

// inject injects one fault and heals it.
func (s *Soak) inject(ctx context.Context, fault Fault) {
	h, database := s.fleet.hosts[fault.Host], s.fleet.databaseLinks[fault.Database]
	switch fault.Kind {
	case PauseHost:
		defer s.incidents.Begin(processTarget(h))()
		defer h.process.Pause()()
	case KillHost:
		defer s.incidents.Begin(processTarget(h))()
		defer s.restart(h, h.process.Kill())
	case StopHost:
		s.stopHost(ctx, h, fault.Length)
		return
	case ClientLink:
		defer s.incidents.Begin(clientTarget(h))()
		defer h.clientLink.Inject(fault.Mode, fault.Delay, "")()
	case StoreLink:
		defer s.incidents.Begin(storeTarget(h))()
		defer h.storeLink.Inject(fault.Mode, fault.Delay, "")()
	case DatabaseLink:
		defer database.Inject(fault.Mode, fault.Delay, "")()
	case HostDatabaseLink:
		defer database.Inject(fault.Mode, fault.Delay, h.name)()
	case PeerLink:
		if fault.Peer == fault.Host {
			return
		}
		defer h.peerLinks[fault.Peer].Inject(fault.Mode, fault.Delay, "")()
	case PartitionHost:
		defer s.partition(fault)()
	case IsolateHost:
		defer s.incidents.Begin(storeTarget(h))()
		defer h.storeLink.Inject(fault.Mode, fault.Delay, "")()
		defer s.partition(fault)()
	case KillAllHosts:
		for _, h := range s.fleet.hosts {
			defer s.incidents.Begin(processTarget(h))()
			defer s.restart(h, h.process.Kill())
		}
	case PauseStore:
		defer s.incidents.Begin(storeProcess)()
		defer s.fleet.store.Pause()()
	case RestoreStore:
		defer s.incidents.Begin(storeProcess)()
		s.fleet.store.Signal(syscall.SIGUSR1)
	case PauseGroup:
		defer s.fleet.group.Pause()()
	case WithdrawKey:
		s.withdrawKey(ctx, fault.Length)
		return
	case TakeOutDataCentre:
		s.takeOut(ctx, dataCentreName(fault.Host), fault.Length)
		return
	case TakeOutHost:
		s.takeOut(ctx, h.name, fault.Length)
		return
	case TakeOutDatabase:
		s.takeOut(ctx, databaseName(fault.Database), fault.Length)
		return
	}
	timekeeper.Sleep(ctx, fault.Length)
}

// partition disturbs the links between a host and all others.
func (s *Soak) partition(fault Fault) (heal func()) {
	var heals []func()
	for i, h := range s.fleet.hosts {
		for j, link := range h.peerLinks {
			if link != nil && (i == fault.Host || j == fault.Host) {
				heals = append(heals, link.Inject(fault.Mode, fault.Delay, ""))
			}
		}
	}
	return func() {
		for _, heal := range heals {
			heal()
		}
	}
}

func (s *Soak) restart(h *host, start func() error) {
	if err := start(); err != nil {
		s.history.Report(notServing, "restart %s: %v", h.name, err)
	}
}

// stopHost stops a host in order, and restarts it after a time. The host must end
// within its stop timeout, and give an answer to each request meanwhile.
func (s *Soak) stopHost(ctx context.Context, h *host, length time.Duration) {
	restart, ended := h.process.Terminate(hostStopTimeout + stopGrace)
	// From here on the host is down, which explains that it does not answer.
	defer s.incidents.Begin(processTarget(h))()
	if !ended {
		s.history.Report(stopTimedOut, "%s did not end within %v of SIGTERM", h.name, hostStopTimeout+stopGrace)
	}
	timekeeper.Sleep(ctx, length)
	s.restart(h, restart)
}

// majorityReachedStore reports whether a majority of the hosts was undisturbed on its
// way to the store between two times. Otherwise a revision that the store has accepted
// may be unknown to a majority that is fresh, which the design allows.
func (s *Soak) majorityReachedStore(from, to time.Time) bool {
	reached := 0
	for _, h := range s.fleet.hosts {
		if !s.incidents.Disturbed(from, to, processTarget(h), storeTarget(h), storeProcess) {
			reached++
		}
	}
	return reached > len(s.fleet.hosts)/2
}

// withdrawKey withdraws the key of the probes, and grants it again after the time in
// which it must have become invalid and the given length.
func (s *Soak) withdrawKey(ctx context.Context, length time.Duration) {
	s.change(ctx, probeKey, length, func(active bool) { s.fleet.probeWithdrawn = active })
}

// reserve reports whether a data centre, host or database may be taken out of service.
// The product refuses a configuration without a database in service.
func (s *Soak) reserve(name string) bool {
	s.reserving.Lock()
	defer s.reserving.Unlock()
	if s.reserved[name] {
		return false
	}
	s.reserved[name] = true
	for i := range s.fleet.databaseLinks {
		if !s.reserved[databaseName(i)] && !s.reserved[dataCentreName(i)] {
			return true
		}
	}
	delete(s.reserved, name)
	return false
}

func (s *Soak) release(name string) {
	s.reserving.Lock()
	defer s.reserving.Unlock()
	delete(s.reserved, name)
}

// takeOut takes a data centre, host or database out of service, and brings it back.
func (s *Soak) takeOut(ctx context.Context, name string, length time.Duration) {
	if !s.reserve(name) {
		return
	}
	defer s.release(name)
	s.change(ctx, name, length, func(active bool) { s.fleet.takenOut[name] = active })
}

// change publishes a change of the configuration that forbids a subject, and reverts
// it. A change of a subject that another fault has changed already is skipped.
func (s *Soak) change(ctx context.Context, subject string, length time.Duration, set func(active bool)) {
	if _, changed := s.changes.LoadOrStore(subject, true); changed {
		return
	}
	defer s.changes.Delete(subject)
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	began := time.Now()
	confirmed, err := s.fleet.publishUntilDone(ctx, func() { set(true) })
	if err != nil {
		s.history.Report(notPublished, "change of %s: %v", subject, err)
	}
	holds := func(at time.Time) bool { return s.majorityReachedStore(began, at) }
	if confirmed {
		holds = nil
	}
	lift := func(time.Time) {}
	if err == nil {
		lift = s.history.Forbid(subject, time.Now().Add(banDelay), holds)
	}
	s.logger.Info("subject_forbidden", "subject", subject, "began", began, "confirmed", confirmed)
	timekeeper.Sleep(ctx, banDelay+length)
	lift(time.Now())
	if _, err := s.fleet.publishUntilDone(ctx, func() { set(false) }); err != nil {
		s.history.Report(notPublished, "reversal of %s: %v", subject, err)
	}
}
