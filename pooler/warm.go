package pooler

import (
	"context"
	"time"
)

const (
	// warmInterval is how often idle connections are opened and closed.
	warmInterval = 50 * time.Millisecond
	// warmBackoff is the pause after a connection could not be opened.
	warmBackoff = 500 * time.Millisecond
)

// Run keeps idle connections open until ctx ends, and then closes all.
func (p *Pool) Run(ctx context.Context) error {
	ticker := time.NewTicker(warmInterval)
	defer ticker.Stop()
	for {
		p.Warm(ctx)
		select {
		case <-ctx.Done():
			p.Close()
			return nil
		case <-ticker.C:
		}
	}
}

// Warm starts to open the idle connections that are missing, one more if a batch
// had to take over a connection of another customer, and closes the ones that
// were not needed for long.
func (p *Pool) Warm(ctx context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Now()
	for len(p.idle) > p.warm && now.Sub(p.idle[0].idleSince) >= idleTimeout {
		p.closeOldest()
	}
	if p.term == 0 || (!p.failedAt.IsZero() && now.Sub(p.failedAt) < warmBackoff) {
		return
	}
	wanted := p.warm - len(p.idle) - p.opening
	if p.grow {
		p.grow = false
		wanted = max(wanted, 1)
	}
	for ; wanted > 0 && p.open < p.limit; wanted-- {
		p.open++
		p.opening++
		go p.openIdle(ctx, p.term)
	}
}

// openIdle opens a connection that is counted already and keeps it idle.
func (p *Pool) openIdle(ctx context.Context, term uint64) {
	conn, err := p.connect(ctx, term)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opening--
	if err != nil {
		p.open--
		p.wake()
		if term == p.term && ctx.Err() == nil {
			p.failedAt = p.Now()
			p.Logger.Warn("open connection", "database", p.Name, "term", term, "error", err)
		}
		return
	}
	if term != p.term {
		p.end(conn, nil)
		return
	}
	conn.idleSince = p.Now()
	p.idle = append([]*Conn{conn}, p.idle...)
	p.idleOf[""]++
	p.wake()
}
