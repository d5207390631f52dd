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

// unableAfter is how long a majority of the databases may be unreachable
// before the host says that it is unable to hold the service.
const unableAfter = 500 * time.Millisecond

// A holding is one service that this host holds or is about to hold.
type holding struct {
	service string
	// config is the object by which the holder was started.
	config  configurer.Service
	watcher *promoter.Watcher
	holder  *holder.Holder
	// stop ends the holding at once; done is closed when it has ended.
	stop context.CancelFunc
	done chan struct{}
	// draining is set once the service is being handed over.
	draining atomic.Bool
	// notWinner is when another host became the winner, or zero. It belongs to
	// the placer.
	notWinner time.Time
	// ableAt is when a majority last answered. It belongs to the placer.
	ableAt time.Time
	// unable says that the other hosts were told so. It belongs to the placer.
	unable bool
	// fenced is set when the holding ended because of a higher term.
	fenced atomic.Bool
}

// held reports whether this host serves the service now.
func (h *holding) held(now time.Time) bool {
	return !h.draining.Load() && h.watcher.View().Held(now)
}

// term returns the term by which the service is held, or 0.
func (h *holding) term() uint64 { return h.watcher.View().Term }

// startHolding makes this host claim a service. The caller holds mu of the
// placer.
func (s *Server) startHolding(ctx context.Context, set configurer.Set, service configurer.Service) *holding {
	ctx, cancel := context.WithCancel(ctx)
	h := &holding{service: service.Name, config: service, stop: cancel, done: make(chan struct{}), ableAt: s.Now()}
	logger := s.Logger.With("service", service.Name)
	h.watcher = &promoter.Watcher{
		Service:      service.Name,
		Host:         s.Settings.Host,
		Members:      membersOf(set, service.Name),
		Dial:         s.dialAdmin,
		DrainTimeout: service.DrainTimeout,
		Now:          s.Now,
		Logger:       s.Logger,
		Promoted: func(view promoter.View, reason string) {
			s.count("promotions")
			s.gossip.Claim(service.Name, view.Term)
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
		Counters:      s.holderCounters(),
	}
	h.watcher.PauseWrites = h.holder.PauseWrites
	s.configureBuckets(set, service.Name)
	go func() {
		defer close(h.done)
		defer cancel()
		s.runHolding(ctx, h)
	}()
	return h
}

// runHolding returns when the service is lost or the holding is stopped.
func (s *Server) runHolding(ctx context.Context, h *holding) {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return h.watcher.Run(ctx) })
	group.Go(func() error { return h.holder.Run(ctx) })
	err := group.Wait()
	s.limiter.Drop(h.service)
	// Without this a host that lost the service would keep the next one from
	// claiming it.
	s.gossip.Withdraw(h.service)
	h.fenced.Store(errors.Is(err, promoter.ErrFenced))
	s.Logger.Info("holding ended", "service", h.service, "reason", err)
}

// handOver drains the service and asks the winner to claim it. It is run once
// per holding.
func (s *Server) handOver(ctx context.Context, h *holding, timeout time.Duration, winner string) {
	start := s.Now()
	term := h.term()
	drain, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := h.holder.Drain(drain); err != nil {
		s.Logger.Warn("service handed over with open transactions", "service", h.service, "error", err)
	}
	h.stop()
	<-h.done
	s.Logger.Info("service handed over", "service", h.service, "host", winner, "term", term, "duration", s.Now().Sub(start))
	s.count("handovers")
	address, ok := s.peerAddress(winner)
	if !ok {
		return
	}
	call, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if err := s.client.TakeOver(call, address, h.service, term); err != nil {
		s.Logger.Warn("new holder not told", "service", h.service, "host", winner, "error", err)
	}
}

// membersOf returns the databases of a service as the promoter sees them.
func membersOf(set configurer.Set, service string) []promoter.Member {
	var members []promoter.Member
	for _, d := range set.Databases {
		if d.Service != service {
			continue
		}
		members = append(members, promoter.Member{
			Name:       d.Name,
			Address:    d.Address,
			DataCentre: d.DataCentre,
			Leaving:    d.TakenOut || set.DataCentres[d.DataCentre].TakenOut,
		})
	}
	return members
}
