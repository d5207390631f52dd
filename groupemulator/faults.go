package groupemulator

import (
	"time"

	"github.com/pkg/errors"
)

// withDatabase logs the event, calls f with the named database and wakes the
// replication of all databases. It returns ErrUnknownDatabase if there is no
// such database.
func (g *Group) withDatabase(name, event string, f func(*database)) error {
	d := g.findDatabase(name)
	if d == nil {
		return errors.Wrapf(ErrUnknownDatabase, "%q", name)
	}
	g.Logger.Info(event, "service", g.Service, "database", name)
	f(d)
	g.wakeDatabases()
	return nil
}

// Kill stops a database: its listener is closed and its connections are reset.
// The log, the term and the role survive, as data on disk would.
func (g *Group) Kill(name string) error {
	return g.withDatabase(name, "database_killed", (*database).kill)
}

// Restart restarts a killed database at its previous address. It returns
// ErrRunning if the database is running, or the error of the listener.
func (g *Group) Restart(name string) error {
	var err error
	unknown := g.withDatabase(name, "database_restarted", func(d *database) { err = d.restart() })
	if unknown != nil {
		return unknown
	}
	return err
}

// Isolate partitions a database from clients and peers. The database keeps
// running, but all messages from and to it are held back until Heal.
func (g *Group) Isolate(name string) error {
	return g.withDatabase(name, "database_isolated", func(d *database) { d.faults.set(faultIsolated) })
}

// IsolateFromPeers blocks the replication from and to a database; clients still
// reach it.
func (g *Group) IsolateFromPeers(name string) error {
	return g.withDatabase(name, "database_isolated_from_peers", func(d *database) { d.faults.set(faultIsolatedFromPeers) })
}

// Stall stops a replica from receiving and applying entries. It still serves its
// clients.
func (g *Group) Stall(name string) error {
	return g.withDatabase(name, "replica_stalled", func(d *database) { d.faults.set(faultStalled) })
}

// Heal ends Isolate, IsolateFromPeers and Stall.
func (g *Group) Heal(name string) error {
	return g.withDatabase(name, "database_healed", func(d *database) {
		d.faults.clear(faultIsolated | faultIsolatedFromPeers | faultStalled)
	})
}

// Pause suspends a database like a stopped process (SIGSTOP): connections stay
// open and new ones are accepted, but nothing is processed until Resume.
func (g *Group) Pause(name string) error {
	return g.withDatabase(name, "database_paused", func(d *database) { d.faults.set(faultPaused) })
}

// Resume ends Pause.
func (g *Group) Resume(name string) error {
	return g.withDatabase(name, "database_resumed", func(d *database) { d.faults.clear(faultPaused) })
}

// SetApplyLag sets the time from receiving an entry until it is visible to
// reads.
func (g *Group) SetApplyLag(name string, lag time.Duration) error {
	return g.withDatabase(name, "apply_lag_set", func(d *database) { d.applyLag.Store(int64(lag)) })
}

// SetReceiveDelay sets the time from the commit of an entry on the primary until
// a replica receives it.
func (g *Group) SetReceiveDelay(name string, delay time.Duration) error {
	return g.withDatabase(name, "receive_delay_set", func(d *database) { d.receiveDelay.Store(int64(delay)) })
}

// SetConnectCost sets the time that opening a connection takes.
func (g *Group) SetConnectCost(name string, cost time.Duration) error {
	return g.withDatabase(name, "connect_cost_set", func(d *database) { d.connectCost.Store(int64(cost)) })
}

// SetStatementCost sets the time for which each statement occupies its slot.
func (g *Group) SetStatementCost(name string, cost time.Duration) error {
	return g.withDatabase(name, "statement_cost_set", func(d *database) { d.statementCost.Store(int64(cost)) })
}
