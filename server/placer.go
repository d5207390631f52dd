package server

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/endiveturn/endiveturn/configurer"
)

const (
	// placementInterval is the time between two placement checks that are not
	// triggered by a change.
	placementInterval = 100 * time.Millisecond
	// handoverDelay is how long another host must be the preferred one before a
	// healthy holder hands over, so that a transient change causes no handover.
	handoverDelay = 2 * time.Second
	// meanReclaimDelay is the mean delay before a service that was lost to a higher
	// term is claimed again.
	meanReclaimDelay = 200 * time.Millisecond
	// initialClaimDelay is the minimum time between becoming ready and claiming a
	// service. A host that has just started has not yet received the claims of the
	// holders and would take over their services. Hosts that start together count
	// each other as eligible only after 2 s; until then, each one selects itself as the
	// preferred host.
	initialClaimDelay = 2200 * time.Millisecond
	// takeoverRequestLifetime is how long a request to take over a service is valid.
	takeoverRequestLifetime = 2 * time.Second
)

// A placer determines which services this host holds. It claims services and hands
// them over so that each is held by its preferred host, which ranks first for the
// service by rendezvous hashing.
type placer struct {
	server *Server
	// handOver hands over one service and returns once the next holder was asked to
	// claim it.
	handOver func(ctx context.Context, h *heldService, timeout time.Duration, preferred string)
	wakeups  chan struct{}

	mu   sync.Mutex
	held map[string]*heldService
	// handovers holds the handovers in progress. Each channel is closed when its
	// handover is complete.
	handovers map[*heldService]chan struct{}
	// claimNotBefore holds the earliest time at which a service that has stopped may
	// be claimed again.
	claimNotBefore map[string]time.Time
	// takeoverUntil holds the services that this host was asked to take over by
	// their holders, with the expiry of the request.
	takeoverUntil map[string]time.Time
	// guard prevents claims while this host reaches only a minority of the hosts.
	guard minorityGuard
	// readyAt is the time at which the host became ready, or zero.
	readyAt time.Time
	// stopping is set once a graceful stop hands over all services.
	stopping bool
}

// run checks the placement regularly until ctx is cancelled, and then stops all
// held services.
func (p *placer) run(ctx context.Context) error {
	ticker := time.NewTicker(placementInterval)
	defer ticker.Stop()
	for {
		p.reconcile(ctx)
		select {
		case <-ctx.Done():
			p.stopAll()
			return nil
		case <-ticker.C:
		case <-p.wakeups:
		}
	}
}

func (p *placer) wake() {
	select {
	case p.wakeups <- struct{}{}:
	default:
	}
}

// find returns the heldService of a service, or nil.
func (p *placer) find(service string) *heldService {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.held[service]
}

// all returns the held services, sorted by name.
func (p *placer) all() []*heldService {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []*heldService
	for _, name := range slices.Sorted(maps.Keys(p.held)) {
		all = append(all, p.held[name])
	}
	return all
}

func (p *placer) stopAll() {
	for _, h := range p.all() {
		h.stop()
		<-h.done
	}
}

// reconcile stops, hands over and claims services according to the configuration
// and to the view of the other hosts.
func (p *placer) reconcile(ctx context.Context) {
	config := p.server.Config()
	now := p.server.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.guard.observe(reachesMajority(p.server.gossip.View(), p.server.Settings.Seeds), now)
	p.removeStopped(now)
	for name, h := range p.held {
		service, ok := config.Services[name]
		if !ok {
			h.stop()
			continue
		}
		h.watcher.SetMembers(membersOf(config, name))
		p.reconcileHeld(ctx, h, service, now)
	}
	if p.stopping || !p.server.ready.Load() {
		return
	}
	if p.readyAt.IsZero() {
		p.readyAt = now
	}
	for name, service := range config.Services {
		if p.held[name] == nil && p.shouldClaim(name, now) {
			p.server.Logger.Info("service_claim_started", "service", name, "reason", p.claimReason(name, now))
			p.held[name] = p.server.claimService(ctx, config, service)
		}
	}
}

func (p *placer) removeStopped(now time.Time) {
	for name, h := range p.held {
		select {
		case <-h.done:
			delete(p.held, name)
			p.claimNotBefore[name] = now
			if h.fenced.Load() {
				p.claimNotBefore[name] = now.Add(meanReclaimDelay/2 + rand.N(meanReclaimDelay))
				p.guard.recordServiceLost(name, now)
			}
		default:
		}
	}
}

// shouldClaim reports whether this host may claim a service now: it was asked to
// take the service over, or it is the preferred host and no other live host holds it.
func (p *placer) shouldClaim(service string, now time.Time) bool {
	if now.Before(p.claimNotBefore[service]) {
		return false
	}
	if now.Before(p.takeoverUntil[service]) {
		return true
	}
	if now.Sub(p.readyAt) < initialClaimDelay && !p.server.isSingleHost() {
		return false
	}
	if fresh, _ := p.server.gossip.Fresh(); !p.guard.mayClaim(service, fresh, now) {
		return false
	}
	return !p.heldElsewhere(service) && p.server.preferredHost(service) == p.server.Settings.Host
}

// heldElsewhere reports whether another host has a live claim of the service.
func (p *placer) heldElsewhere(service string) bool {
	claim, ok := p.server.liveClaim(service)
	return ok && claim.Host != p.server.Settings.Host
}

func (p *placer) claimReason(service string, now time.Time) string {
	if now.Before(p.takeoverUntil[service]) {
		return "handed over by its holder"
	}
	return "first by rendezvous hash and no live holder"
}

// reconcileHeld checks one held service: it abandons a claim that another host
// has won, sends unavailability reports, and starts a handover if one is due.
func (p *placer) reconcileHeld(ctx context.Context, h *heldService, service configurer.Service, now time.Time) {
	if h.draining.Load() {
		return
	}
	if h.term() == 0 && !now.Before(p.takeoverUntil[h.service]) && p.heldElsewhere(h.service) {
		p.server.Logger.Info("service_claim_abandoned", "service", h.service, "reason", "held by another host")
		h.stop()
		return
	}
	if !p.reportAvailability(h, now) {
		return
	}
	if h.serviceConfig != service {
		// The holder reads the configuration of the service only when it starts: it
		// is drained, and the service is claimed again.
		p.startHandOver(ctx, h, service.DrainTimeout, "", "service changed")
		return
	}
	preferred := p.server.preferredHost(h.service)
	if preferred == p.server.Settings.Host {
		preferred = ""
	}
	if preferred == "" && !p.stopping {
		h.notPreferredSince = time.Time{}
		return
	}
	if h.notPreferredSince.IsZero() {
		h.notPreferredSince = now
	}
	if p.stopping || p.server.takenOut() || now.Sub(h.notPreferredSince) > handoverDelay {
		p.startHandOver(ctx, h, service.DrainTimeout, preferred, p.handOverReason())
	}
}

func (p *placer) handOverReason() string {
	switch {
	case p.stopping:
		return "host stops"
	case p.server.takenOut():
		return "taken out of service"
	default:
		return "another host is first by rendezvous hash"
	}
}

// reportAvailability sends an unavailability report to the other hosts while this
// host does not reach a majority of the databases, and withdraws it afterwards.
// It stops a claim that cannot succeed, unless this host is the preferred host, and
// returns false then.
func (p *placer) reportAvailability(h *heldService, now time.Time) bool {
	if h.watcher.HasMajority() {
		if h.reportedUnavailable {
			h.reportedUnavailable = false
			p.server.gossip.SetUnavailable(h.service, false)
		}
		h.lastAvailableAt = now
		return true
	}
	if now.Sub(h.lastAvailableAt) <= unavailableAfter {
		return true
	}
	if !h.reportedUnavailable {
		h.reportedUnavailable = true
		p.server.gossip.SetUnavailable(h.service, true)
		p.server.Logger.Warn("service unable", "service", h.service, "reason", "no majority of the databases answers")
	}
	if h.term() == 0 && p.server.preferredHost(h.service) != p.server.Settings.Host {
		h.stop()
		return false
	}
	return true
}

// startHandOver hands over one service in the background. mu must be held.
func (p *placer) startHandOver(ctx context.Context, h *heldService, timeout time.Duration, preferred, reason string) {
	if !h.draining.CompareAndSwap(false, true) {
		return
	}
	p.server.Logger.Info("service_handover_started", "service", h.service, "host", preferred, "reason", reason)
	complete := make(chan struct{})
	p.handovers[h] = complete
	go func() {
		p.handOver(ctx, h, timeout, preferred)
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.handovers, h)
		close(complete)
	}()
}

// recordTakeoverRequest records that the holder of a service asked this host to
// take it over.
func (p *placer) recordTakeoverRequest(service string) {
	p.mu.Lock()
	p.takeoverUntil[service] = p.server.Now().Add(takeoverRequestLifetime)
	delete(p.claimNotBefore, service)
	p.mu.Unlock()
	p.wake()
}

// handOverAll starts the handover of all held services and waits until they have
// stopped and the next holders were asked to claim them, or ctx is cancelled.
func (p *placer) handOverAll(ctx context.Context) {
	p.mu.Lock()
	p.stopping = true
	p.mu.Unlock()
	p.wake()
	for _, h := range p.all() {
		select {
		case <-h.done:
		case <-ctx.Done():
			return
		}
	}
	for _, complete := range p.handoversInProgress() {
		select {
		case <-complete:
		case <-ctx.Done():
			return
		}
	}
}

func (p *placer) handoversInProgress() []chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Collect(maps.Values(p.handovers))
}
