package gossiper

import (
	"context"
	"time"
)

// Handle answers a heartbeat of another host.
func (g *Gossiper) Handle(h Heartbeat) Heartbeat {
	var reply Heartbeat
	g.event(func(now time.Time) []Action {
		var actions []Action
		reply, actions = g.core.Receive(now, h)
		return actions
	})
	return reply
}

// HandleProbe sends a heartbeat to a host on behalf of another one.
func (g *Gossiper) HandleProbe(ctx context.Context, target Host) bool {
	g.init()
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	g.mu.Lock()
	heartbeat := g.core.plainHeartbeat(g.Now(), target.Name)
	g.mu.Unlock()
	reply, err := g.Send(ctx, target.PeerAddress, heartbeat)
	return err == nil && reply.From.Name == target.Name
}

// Leave announces that this host takes no new services and waits until its peers
// have been told, or until ctx ends.
func (g *Gossiper) Leave(ctx context.Context) {
	g.init()
	g.mu.Lock()
	running := g.ctx != nil
	g.mu.Unlock()
	if running {
		g.announce(ctx, Leaving)
	}
}

// Return takes back a Leave: services may be placed on this host again.
func (g *Gossiper) Return(ctx context.Context) {
	g.init()
	g.mu.Lock()
	running := g.ctx != nil
	g.mu.Unlock()
	if running {
		g.announce(ctx, Alive)
	}
}

// View returns the present snapshot of hosts and claims.
func (g *Gossiper) View() *View {
	g.init()
	return g.view.Load()
}

// Fresh reports whether this host may serve routes with keys, and why not.
func (g *Gossiper) Fresh() (fresh bool, reason string) {
	g.init()
	if int64(g.Now().Sub(g.base)) < g.freshUntil.Load() {
		return true, ""
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Fresh(g.Now())
}

// Confirmations returns the revisions that the hosts are known to have adopted.
func (g *Gossiper) Confirmations() []Confirmation {
	g.init()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Confirmations(g.Now())
}

// SetRevision says that this host has adopted a configuration.
func (g *Gossiper) SetRevision(revision uint64) {
	g.event(func(now time.Time) []Action { return g.core.SetRevision(now, revision) })
}

// StoreContact says that the store confirmed the adopted revision as the newest
// one, in an answer to a request sent at the time, which is one of Now. For a
// watch it is when the last sign of life was asked for.
func (g *Gossiper) StoreContact(sentAt time.Time) {
	g.event(func(time.Time) []Action { return g.core.StoreContact(sentAt) })
}

// Claim announces that this host holds a service in a term.
func (g *Gossiper) Claim(service string, term uint64) {
	g.event(func(now time.Time) []Action { return g.core.Claim(now, service, term) })
}

// Withdraw announces that this host no longer holds a service.
func (g *Gossiper) Withdraw(service string) {
	g.event(func(now time.Time) []Action { return g.core.Withdraw(now, service) })
}

// SetUnable declares for 10 s that this host reaches no majority of a service's
// databases, or that it does again.
func (g *Gossiper) SetUnable(service string, unable bool) {
	g.event(func(now time.Time) []Action { return g.core.SetUnable(now, service, unable) })
}
