package server

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/endiveturn/endiveturn/configurer"
	"github.com/endiveturn/endiveturn/holder"
	"github.com/endiveturn/endiveturn/promoter"
)

// unavailableAfter is how long a majority of the databases may be unreachable
// before the host sends an unavailability report for the service.
const unavailableAfter = 500 * time.Millisecond

// A heldService is a service that this host holds or is claiming.
type heldService struct {
	service string
	// serviceConfig is the configuration of the service that the holder was started
	// with.
	serviceConfig configurer.Service
	watcher       *promoter.Watcher
	holder        *holder.Holder
	// stop stops the watcher and the holder without draining; done is closed when
	// they have stopped.
	stop context.CancelFunc
	done chan struct{}
	// draining is set once a handover has started.
	draining atomic.Bool
	// notPreferredSince is the time since which another host is the preferred host,
	// or zero. Only the placer accesses it.
	notPreferredSince time.Time
	// lastAvailableAt is the time at which a majority of the databases was last
	// reachable. Only the placer accesses it.
	lastAvailableAt time.Time
	// reportedUnavailable is set while an unavailability report of this host is in
	// effect. Only the placer accesses it.
	reportedUnavailable bool
	// fenced is set if the service was lost to a higher term.
	fenced atomic.Bool
}

// serving reports whether this host is serving the service.
func (h *heldService) serving(now time.Time) bool {
	return !h.draining.Load() && h.watcher.View().HasLease(now)
}

// term returns the term in which the service is held, or 0 if there is none yet.
func (h *heldService) term() uint64 { return h.watcher.View().Term }

// claimService starts to claim a service. mu of the placer must be held.
func (s *Server) claimService(ctx context.Context, config configurer.Config, service configurer.Service) *heldService {
	ctx, cancel := context.WithCancel(ctx)
	h := &heldService{service: service.Name, serviceConfig: service, stop: cancel, done: make(chan struct{}), lastAvailableAt: s.Now()}
	logger := s.Logger.With("service", service.Name)
	h.watcher = &promoter.Watcher{
		Service:      service.Name,
		Host:         s.Settings.Host,
		Members:      membersOf(config, service.Name),
		Dial:         s.dialAdmin,
		DrainTimeout: service.DrainTimeout,
		Now:          s.Now,
		Logger:       s.Logger,
		OnPromoted: func(view promoter.View, reason string) {
			s.count("promotions")
			s.gossip.AnnounceClaim(service.Name, view.Term)
		},
	}
	h.holder = &holder.Holder{
		Service:       service,
		Configuration: func() holder.Configuration { return s.holderConfiguration(service.Name) },
		Group:         h.watcher,
		Limiter:       s.limiter,
		CheckKey:      s.checkKey,
		Dial:          s.DialEndpoint,
		Password:      s.Settings.EndpointPassword,
		Now:           s.Now,
		Logger:        logger,
		Callbacks:     s.holderCallbacks(),
	}
	h.watcher.PauseWrites = h.holder.PauseWrites
	s.configureBuckets(config, service.Name)
	go func() {
		defer close(h.done)
		defer cancel()
		s.runHeldService(ctx, h)
	}()
	return h
}

// runHeldService returns when the service is lost or stop is called.
func (s *Server) runHeldService(ctx context.Context, h *heldService) {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return h.watcher.Run(ctx) })
	group.Go(func() error { return h.holder.Run(ctx) })
	err := group.Wait()
	s.limiter.RemoveService(h.service)
	// A claim that is not withdrawn would prevent the next holder from claiming the
	// service.
	s.gossip.WithdrawClaim(h.service)
	h.fenced.Store(errors.Is(err, promoter.ErrFenced))
	s.Logger.Info("service_released", "service", h.service, "reason", err)
}

// handOver drains the service and requests that the preferred host claim it. It is
// called at most once for each heldService.
func (s *Server) handOver(ctx context.Context, h *heldService, timeout time.Duration, preferred string) {
	start := s.Now()
	term := h.term()
	drainCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := h.holder.Drain(drainCtx); err != nil {
		s.Logger.Warn("service_drain_incomplete", "service", h.service, "error", err)
	}
	h.stop()
	<-h.done
	s.Logger.Info("service_handed_over", "service", h.service, "host", preferred, "term", term, "duration", s.Now().Sub(start))
	s.count("handovers")
	address, ok := s.peerAddress(preferred)
	if !ok {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if err := s.peerClient.TakeOver(callCtx, address, h.service, term); err != nil {
		s.Logger.Warn("takeover_request_failed", "service", h.service, "host", preferred, "error", err)
	}
}

// membersOf returns the databases of a service in the form that package promoter
// expects.
func membersOf(config configurer.Config, service string) []promoter.Member {
	var members []promoter.Member
	for _, d := range config.Databases {
		if d.Service != service {
			continue
		}
		members = append(members, promoter.Member{
			Name:       d.Name,
			Address:    d.Address,
			DataCentre: d.DataCentre,
			Draining:   d.TakenOut || config.DataCentres[d.DataCentre].TakenOut,
		})
	}
	return members
}
