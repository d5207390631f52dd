package pooler

import (
	"context"
	"time"
)

const (
	// maintenanceInterval is how often idle connections are opened and closed.
	maintenanceInterval = 50 * time.Millisecond
	// openBackoff is the delay after a failure to open an idle connection.
	openBackoff = 500 * time.Millisecond
)

// Run maintains idle connections until ctx ends, and then closes all
// connections.
func (p *Pool) Run(ctx context.Context) error {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for {
		p.MaintainIdle(ctx)
		select {
		case <-ctx.Done():
			p.Close()
			return nil
		case <-ticker.C:
		}
	}
}

// MaintainIdle starts to open the missing idle connections, and one more if a
// batch had to take over a connection of another customer. It closes
// connections beyond minIdle that have been idle for idleTimeout.
func (p *Pool) MaintainIdle(ctx context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Now()
	for len(p.idle) > p.minIdle && now.Sub(p.idle[0].idleSince) >= idleTimeout {
		p.closeLongestIdle()
	}
	if p.term == 0 || (!p.lastOpenFailure.IsZero() && now.Sub(p.lastOpenFailure) < openBackoff) {
		return
	}
	missing := p.minIdle - len(p.idle) - p.openingIdle
	if p.needsExtraIdle {
		p.needsExtraIdle = false
		missing = max(missing, 1)
	}
	for ; missing > 0 && p.open < p.maxConns; missing-- {
		p.open++
		p.openingIdle++
		go p.openIdle(ctx, p.term)
	}
}

// openIdle opens a connection that is already counted in open and keeps it
// idle.
func (p *Pool) openIdle(ctx context.Context, term uint64) {
	conn, err := p.connect(ctx, term)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openingIdle--
	if err != nil {
		p.open--
		p.wakeWaiters()
		if term == p.term && ctx.Err() == nil {
			p.lastOpenFailure = p.Now()
			p.Logger.Warn("connection_open_failed", "database", p.Name, "term", term, "error", err)
		}
		return
	}
	if term != p.term {
		p.closeAsync(conn, nil)
		return
	}
	conn.idleSince = p.Now()
	p.idle = append([]*Conn{conn}, p.idle...)
	p.idleByCustomer[""]++
	p.wakeWaiters()
}
