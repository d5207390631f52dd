package director

import (
	"math"
	"time"

	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/connector"
)

const (
	// connectionReserve is the part of a database's connections that hosts
	// leave unused, for connections that the database has not yet seen close.
	connectionReserve = 0.06
	// slotOvercommit is how many statements run or wait at a database for each of
	// its slots when all hosts are busy, in small fleets beside one a host.
	slotOvercommit = 1.2
	// visitorConnections is how many connections a host may have to a replica
	// that is not its home.
	visitorConnections = 2
	// scarceShare is the number of connections a host below which a database's
	// connections are scarce. Few sessions of a host then follow each other as
	// the same customer, so connections are kept for use and rest only shortly.
	scarceShare = 2.5
	// scarceBurst is how many connections a host may use at once where they are
	// scarce, as long as the database has room.
	scarceBurst = 6
	// scarceRest is how long a connection rests for each one that a host may
	// have.
	scarceRest = 400 * time.Millisecond
)

// Shares says how one host uses the databases of a service. A connection
// speaks for one customer, so a host that spreads its reads over all replicas
// has too few connections to each and keeps opening new ones. Each host reads
// from one replica, its home, which then has room for connections of all its
// customers; the others serve it only in need.
type Shares struct {
	// Home is the ID of the replica that the host reads from; empty if there
	// is none.
	Home string
	// Connections are the bounds by database ID.
	Connections map[string]connector.Bounds
	// Statements are the numbers of statements that the host has running at
	// once by database ID.
	Statements map[string]int
}

// ShareOut returns the shares of a host. All hosts that have the same view
// come to the same result, and their shares together stay within each database's
// limit, unless there are more hosts than connections.
func ShareOut(host string, hosts []cataloger.Host, endpoints []cataloger.Endpoint, primary string, maxConnections int) Shares {
	limit := float64(maxConnections) * (1 - connectionReserve)
	shares := Shares{Connections: make(map[string]connector.Bounds), Statements: make(map[string]int)}
	var replicas []cataloger.Endpoint
	for _, e := range endpoints {
		if e.ID != primary && !e.Draining {
			replicas = append(replicas, e)
		}
	}
	homes := assignHomes(hosts, replicas)
	residents := make(map[string]int)
	for name, home := range homes {
		residents[home]++
		if name == host {
			shares.Home = home
		}
	}
	all := max(1, len(hosts))
	for _, e := range endpoints {
		r := residents[e.ID]
		users := r
		if r == 0 {
			users = all
		}
		shares.Statements[e.ID] = statementsOf(e.Slots, users)
		share := visitors(int(limit), all)
		switch {
		case r == 0:
			share = max(1, int(limit)/all)
		case e.ID == shares.Home:
			share = max(1, (int(limit)-visitors(int(limit), all)*(all-r))/r)
		}
		shares.Connections[e.ID] = boundsOf(share, limit/float64(users))
	}
	return shares
}

// statementsOf returns how many statements a host has running at once at a
// database with so many slots that so many hosts use. One a host fills the queue of
// a database by itself where hosts are many.
func statementsOf(slots, users int) int {
	shared := int(math.Ceil(slotOvercommit * float64(max(1, slots)) / float64(users)))
	if users > cataloger.SmallFleet {
		return shared
	}
	return 1 + shared
}

// boundsOf returns the bounds of a share, given how many connections there are
// for each host that uses the database regularly.
func boundsOf(share int, each float64) connector.Bounds {
	if each >= scarceShare {
		return connector.Bounds{Share: share}
	}
	return connector.Bounds{Share: share, Burst: scarceBurst, Rest: time.Duration(each * float64(scarceRest))}
}

// assignHomes gives each host a replica in its own data centre, if there is one
// that not too many others have, and shares out the rest evenly. Hosts are in
// the order of their names.
func assignHomes(hosts []cataloger.Host, replicas []cataloger.Endpoint) map[string]string {
	homes := make(map[string]string)
	if len(replicas) == 0 {
		return homes
	}
	residents := make(map[string]int)
	fair := (len(hosts) + len(replicas) - 1) / len(replicas)
	for _, h := range hosts {
		for _, replica := range replicas {
			if replica.DataCentre == h.DataCentre && residents[replica.ID] < fair {
				homes[h.Name] = replica.ID
				residents[replica.ID]++
				break
			}
		}
	}
	for _, h := range hosts {
		if _, ok := homes[h.Name]; ok {
			continue
		}
		least := replicas[0].ID
		for _, replica := range replicas {
			if residents[replica.ID] < residents[least] {
				least = replica.ID
			}
		}
		homes[h.Name] = least
		residents[least]++
	}
	return homes
}

// visitors returns how many connections a host may have to a replica that is
// not its home.
func visitors(limit, hosts int) int { return max(1, min(visitorConnections, limit/hosts)) }
