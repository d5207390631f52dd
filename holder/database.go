package holder

import (
	"github.com/endiveturn/endiveturn/configurer"
	"github.com/endiveturn/endiveturn/pooler"
	"github.com/endiveturn/endiveturn/scheduler"
)

// A database joins the queue and the connections of one database.
type database struct {
	declared configurer.Database
	queue    scheduler.Queue
	pool     pooler.Pool
}

func (h *Holder) newDatabase(declared configurer.Database) *database {
	d := &database{}
	d.queue.Now = h.Now
	d.pool.Name = declared.Name
	d.pool.Address = declared.Address
	d.pool.Login = pooler.Login{User: h.Service.EndpointUser, Password: h.Password, Database: h.Service.EndpointDatabase}
	d.pool.Dial = h.Dial
	d.pool.Now = h.Now
	d.pool.Logger = h.Logger
	return d
}

// configure takes over slots, connections and shares. As many connections as
// there are slots are left for batches outside transactions where the
// configuration allows, so that no slot is held by a batch without a connection.
func (d *database) configure(declared configurer.Database, shares map[string]scheduler.Share) {
	returned := d.declared.TakenOut && !declared.TakenOut
	d.declared = declared
	d.queue.Configure(declared.Slots, max(1, declared.Connections-declared.Slots), shares)
	d.pool.Configure(declared.Connections, declared.Slots)
	if returned {
		d.queue.Ramp()
	}
}
