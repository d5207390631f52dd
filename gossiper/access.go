package gossiper

import (
	"context"
	"time"
)

// HandleHeartbeat processes a heartbeat from another host and returns the reply.
func (g *Gossiper) HandleHeartbeat(h Heartbeat) Heartbeat {
	var reply Heartbeat
	g.handleEvent(func(now time.Time) []Action {
		var actions []Action
		reply, actions = g.core.HandleHeartbeat(now, h)
		return actions
	})
	return reply
}

// HandleProbe sends a heartbeat to target on behalf of another host and reports
// whether target replied.
func (g *Gossiper) HandleProbe(ctx context.Context, target Host) bool {
	g.init()
	ctx, cancel := context.WithTimeout(ctx, replyTimeout)
	defer cancel()
	g.mu.Lock()
	heartbeat := g.core.baseHeartbeat(g.Now(), target.Name)
	g.mu.Unlock()
	reply, err := g.Send(ctx, target.PeerAddress, heartbeat)
	return err == nil && reply.From.Name == target.Name
}

// Leave announces that this host takes no new services and waits until its peers
// have replied or the requests have timed out. Once ctx has ended, no further
// announcements are sent.
func (g *Gossiper) Leave(ctx context.Context) {
	g.init()
	g.mu.Lock()
	running := g.ctx != nil
	g.mu.Unlock()
	if running {
		g.announceState(ctx, Leaving)
	}
}

// CancelLeave reverts a Leave: services may be placed on this host again.
func (g *Gossiper) CancelLeave(ctx context.Context) {
	g.init()
	g.mu.Lock()
	running := g.ctx != nil
	g.mu.Unlock()
	if running {
		g.announceState(ctx, Alive)
	}
}

// View returns the current snapshot of hosts and claims.
func (g *Gossiper) View() *View {
	g.init()
	return g.view.Load()
}

// Fresh reports whether the configuration of this host is recent enough to check
// access keys, and if not, why.
func (g *Gossiper) Fresh() (fresh bool, reason string) {
	g.init()
	if int64(g.Now().Sub(g.startedAt)) < g.freshUntil.Load() {
		return true, ""
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Fresh(g.Now())
}

// Confirmations returns the configuration revision that each host is known to
// have adopted.
func (g *Gossiper) Confirmations() []Confirmation {
	g.init()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Confirmations(g.Now())
}

// SetRevision records that this host has adopted a configuration revision.
func (g *Gossiper) SetRevision(revision uint64) {
	g.handleEvent(func(now time.Time) []Action { return g.core.SetRevision(now, revision) })
}

// RecordStoreContact records that the store confirmed the adopted revision as the
// newest one, in the response to a request sent at sentAt, a time returned by Now.
// For a watch, sentAt is when the last liveness request that got a response was
// sent.
func (g *Gossiper) RecordStoreContact(sentAt time.Time) {
	g.handleEvent(func(time.Time) []Action { return g.core.RecordStoreContact(sentAt) })
}

// AnnounceClaim announces that this host holds a service in the given term.
func (g *Gossiper) AnnounceClaim(service string, term uint64) {
	g.handleEvent(func(now time.Time) []Action { return g.core.AnnounceClaim(now, service, term) })
}

// WithdrawClaim announces that this host no longer holds a service.
func (g *Gossiper) WithdrawClaim(service string) {
	g.handleEvent(func(now time.Time) []Action { return g.core.WithdrawClaim(now, service) })
}

// SetUnavailable reports to the other hosts that this host does not reach a
// majority of a service's databases, or that it reaches one again. A report expires
// after 10 s.
func (g *Gossiper) SetUnavailable(service string, unavailable bool) {
	g.handleEvent(func(now time.Time) []Action { return g.core.SetUnavailable(now, service, unavailable) })
}
