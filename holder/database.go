package holder

import (
	"github.com/endiveturn/endiveturn/configurer"
	"github.com/endiveturn/endiveturn/pooler"
	"github.com/endiveturn/endiveturn/scheduler"
)

// A database combines the scheduling queue and the connection pool of one
// database.
type database struct {
	config configurer.Database
	queue  scheduler.Queue
	pool   pooler.Pool
}

func (h *Holder) newDatabase(config configurer.Database) *database {
	d := &database{}
	d.queue.Now = h.Now
	d.pool.Name = config.Name
	d.pool.Address = config.Address
	d.pool.Login = pooler.Login{User: h.Service.EndpointUser, Password: h.Password, Database: h.Service.EndpointDatabase}
	d.pool.Dial = h.Dial
	d.pool.Now = h.Now
	d.pool.Logger = h.Logger
	return d
}

// configure applies slots, connections and shares. If the configuration allows,
// as many connections as there are slots are reserved for batches outside
// transactions, so that no slot is held by a batch that waits for a connection.
func (d *database) configure(config configurer.Database, shares map[string]scheduler.Share) {
	returned := d.config.TakenOut && !config.TakenOut
	d.config = config
	d.queue.Configure(config.Slots, max(1, config.Connections-config.Slots), shares)
	d.pool.Configure(config.Connections, config.Slots)
	if returned {
		d.queue.StartRampUp()
	}
}
