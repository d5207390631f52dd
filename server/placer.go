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
	// placeInterval is how often placement is looked at without news.
	placeInterval = 100 * time.Millisecond
	// settleTime is how long another host must have been the winner before a
	// healthy holder hands over, so that a short change moves nothing.
	settleTime = 2 * time.Second
	// reclaimPause is the mean pause before a service that was lost to a higher
	// term is claimed again.
	reclaimPause = 200 * time.Millisecond
	// acquaintTime is how long a host listens to the others after it became
	// ready before it claims a service. A host that has just started does not
	// know of holders yet and would take their services away; and hosts that
	// start together count each other as eligible only after two seconds, so
	// each would see itself as the winner before.
	acquaintTime = 2200 * time.Millisecond
	// invitationTime is how long a request to take a service over counts.
	invitationTime = 2 * time.Second
)

// A placer decides which services this host holds.
type placer struct {
	server *Server
	wake   chan struct{}

	mu       sync.Mutex
	holdings map[string]*holding
	// notBefore holds back claims of services that were lost.
	notBefore map[string]time.Time
	// invited holds the services that their holder asked this host to take
	// over, until when.
	invited map[string]time.Time
	// quorum holds claims back while this host hears too few others.
	quorum quorum
	// readyAt is when the host became ready, or zero.
	readyAt time.Time
	// stopping is set when this host hands everything over for good.
	stopping bool
}

// run places services until ctx ends, and then ends all holdings.
func (p *placer) run(ctx context.Context) error {
	ticker := time.NewTicker(placeInterval)
	defer ticker.Stop()
	for {
		p.place(ctx)
		select {
		case <-ctx.Done():
			p.stopAll()
			return nil
		case <-ticker.C:
		case <-p.wake:
		}
	}
}

func (p *placer) nudge() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// find returns the holding of a service, or nil.
func (p *placer) find(service string) *holding {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.holdings[service]
}

// all returns the present holdings in the order of their services.
func (p *placer) all() []*holding {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []*holding
	for _, name := range slices.Sorted(maps.Keys(p.holdings)) {
		all = append(all, p.holdings[name])
	}
	return all
}

func (p *placer) stopAll() {
	for _, h := range p.all() {
		h.stop()
		<-h.done
	}
}

// place compares what this host holds with what it should hold.
func (p *placer) place(ctx context.Context) {
	set := p.server.Set()
	now := p.server.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.quorum.observe(hearsMajority(p.server.gossip.View(), p.server.Settings.Seeds), now)
	p.forgetEnded(now)
	for name, h := range p.holdings {
		service, ok := set.Services[name]
		if !ok {
			h.stop()
			continue
		}
		h.watcher.SetMembers(membersOf(set, name))
		p.review(ctx, h, service, now)
	}
	if p.stopping || !p.server.ready.Load() {
		return
	}
	if p.readyAt.IsZero() {
		p.readyAt = now
	}
	for name, service := range set.Services {
		if p.holdings[name] == nil && p.shouldClaim(name, now) {
			p.server.Logger.Info("service claimed", "service", name, "reason", p.claimReason(name, now))
			p.holdings[name] = p.server.startHolding(ctx, set, service)
		}
	}
}

func (p *placer) forgetEnded(now time.Time) {
	for name, h := range p.holdings {
		select {
		case <-h.done:
			delete(p.holdings, name)
			p.notBefore[name] = now
			if h.fenced.Load() {
				p.notBefore[name] = now.Add(reclaimPause/2 + rand.N(reclaimPause))
				p.quorum.lost(name, now)
			}
		default:
		}
	}
}

// shouldClaim reports whether this host is the winner of a service that no
// live host holds.
func (p *placer) shouldClaim(service string, now time.Time) bool {
	if now.Before(p.notBefore[service]) {
		return false
	}
	if now.Before(p.invited[service]) {
		return true
	}
	if now.Sub(p.readyAt) < acquaintTime && !p.server.alone() {
		return false
	}
	if fresh, _ := p.server.gossip.Fresh(); !p.quorum.mayClaim(service, fresh, now) {
		return false
	}
	return !p.heldElsewhere(service) && p.server.winner(service) == p.server.Settings.Host
}

// heldElsewhere reports whether another live host has claimed the service.
func (p *placer) heldElsewhere(service string) bool {
	claim, ok := p.server.liveClaim(service)
	return ok && claim.Host != p.server.Settings.Host
}

func (p *placer) claimReason(service string, now time.Time) string {
	if now.Before(p.invited[service]) {
		return "handed over by its holder"
	}
	return "first by rendezvous hash and no live holder"
}

// review looks at one holding: it may be unable, or another host may have to
// take over.
func (p *placer) review(ctx context.Context, h *holding, service configurer.Service, now time.Time) {
	if h.draining.Load() {
		return
	}
	if h.term() == 0 && !now.Before(p.invited[h.service]) && p.heldElsewhere(h.service) {
		p.server.Logger.Info("claim given up", "service", h.service, "reason", "held by another host")
		h.stop()
		return
	}
	if !p.reviewAble(h, now) {
		return
	}
	if h.config != service {
		// The holder takes the service's settings at its start: it is drained
		// and claims the service again.
		p.startHandOver(ctx, h, service.DrainTimeout, "", "service changed")
		return
	}
	winner := p.server.winner(h.service)
	if winner == p.server.Settings.Host {
		winner = ""
	}
	if winner == "" && !p.stopping {
		h.notWinner = time.Time{}
		return
	}
	if h.notWinner.IsZero() {
		h.notWinner = now
	}
	if p.stopping || p.server.takenOut() || now.Sub(h.notWinner) > settleTime {
		p.startHandOver(ctx, h, service.DrainTimeout, winner, p.handOverReason())
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

// reviewAble tells the other hosts when this one reaches no majority of the
// databases, and gives up a service that it could never claim.
func (p *placer) reviewAble(h *holding, now time.Time) bool {
	if h.watcher.Able() {
		if h.unable {
			h.unable = false
			p.server.gossip.SetUnable(h.service, false)
		}
		h.ableAt = now
		return true
	}
	if now.Sub(h.ableAt) <= unableAfter {
		return true
	}
	if !h.unable {
		h.unable = true
		p.server.gossip.SetUnable(h.service, true)
		p.server.Logger.Warn("service unable", "service", h.service, "reason", "no majority of the databases answers")
	}
	if h.term() == 0 && p.server.winner(h.service) != p.server.Settings.Host {
		h.stop()
		return false
	}
	return true
}

func (p *placer) startHandOver(ctx context.Context, h *holding, timeout time.Duration, winner, reason string) {
	if !h.draining.CompareAndSwap(false, true) {
		return
	}
	p.server.Logger.Info("handing service over", "service", h.service, "host", winner, "reason", reason)
	go p.server.handOver(ctx, h, timeout, winner)
}

// invite notes that the holder of a service asked this host to take it over.
func (p *placer) invite(service string) {
	p.mu.Lock()
	p.invited[service] = p.server.Now().Add(invitationTime)
	delete(p.notBefore, service)
	p.mu.Unlock()
	p.nudge()
}

// handAllOver makes this host hand over everything it holds and waits for it
// until ctx ends.
func (p *placer) handAllOver(ctx context.Context) {
	p.mu.Lock()
	p.stopping = true
	p.mu.Unlock()
	p.nudge()
	for _, h := range p.all() {
		select {
		case <-h.done:
		case <-ctx.Done():
			return
		}
	}
}
