package groupemulator

import (
	"time"

	"github.com/pkg/errors"
)

// withDatabase calls f with the database of the name, or returns
// ErrUnknownDatabase.
func (g *Group) withDatabase(name, event string, f func(*database)) error {
	d := g.find(name)
	if d == nil {
		return errors.Wrapf(ErrUnknownDatabase, "%q", name)
	}
	g.Logger.Info(event, "service", g.Service, "database", name)
	f(d)
	g.wakePeers()
	return nil
}

// Kill ends a database: its listener is closed and its connections are reset.
// The log, the term and the role remain, since they are on its disk.
func (g *Group) Kill(name string) error {
	return g.withDatabase(name, "database killed", (*database).kill)
}

// Restart starts a killed database at its former address. Errors are
// ErrRunning and those of listening.
func (g *Group) Restart(name string) error {
	var err error
	unknown := g.withDatabase(name, "database restarted", func(d *database) { err = d.restart() })
	if unknown != nil {
		return unknown
	}
	return err
}

// Isolate cuts a database off from clients and peers: it runs on, but what it
// sends and what is sent to it waits until Heal.
func (g *Group) Isolate(name string) error {
	return g.withDatabase(name, "database isolated", func(d *database) { d.gate.set(faultIsolated) })
}

// IsolateFromPeers cuts only the replication from and to a database.
func (g *Group) IsolateFromPeers(name string) error {
	return g.withDatabase(name, "database isolated from peers", func(d *database) { d.gate.set(faultNoPeers) })
}

// Stall keeps a replica from receiving and applying entries; it still answers.
func (g *Group) Stall(name string) error {
	return g.withDatabase(name, "replica stalled", func(d *database) { d.gate.set(faultStalled) })
}

// Heal ends Isolate, IsolateFromPeers and Stall.
func (g *Group) Heal(name string) error {
	return g.withDatabase(name, "database healed", func(d *database) {
		d.gate.clear(faultIsolated | faultNoPeers | faultStalled)
	})
}

// Pause stops a database as a stopped process: connections stay open and are
// accepted, and nothing happens until Resume.
func (g *Group) Pause(name string) error {
	return g.withDatabase(name, "database paused", func(d *database) { d.gate.set(faultPaused) })
}

// Resume ends Pause.
func (g *Group) Resume(name string) error {
	return g.withDatabase(name, "database resumed", func(d *database) { d.gate.clear(faultPaused) })
}

// SetApplyLag sets the time from receiving an entry until reads see it.
func (g *Group) SetApplyLag(name string, lag time.Duration) error {
	return g.withDatabase(name, "apply lag set", func(d *database) { d.applyLag.Store(int64(lag)) })
}

// SetReceiveDelay sets the time until a replica holds an entry.
func (g *Group) SetReceiveDelay(name string, delay time.Duration) error {
	return g.withDatabase(name, "receive delay set", func(d *database) { d.receiveDelay.Store(int64(delay)) })
}

// SetConnectCost sets the time that opening a connection takes.
func (g *Group) SetConnectCost(name string, cost time.Duration) error {
	return g.withDatabase(name, "connect cost set", func(d *database) { d.connectCost.Store(int64(cost)) })
}

// SetStatementCost sets the time for which a statement occupies its slot.
func (g *Group) SetStatementCost(name string, cost time.Duration) error {
	return g.withDatabase(name, "statement cost set", func(d *database) { d.statementCost.Store(int64(cost)) })
}
