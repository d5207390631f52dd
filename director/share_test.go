package director

import (
	"fmt"
	"testing"

	"github.com/endiveturn/endiveturn/cataloger"
)

func fleetOf(hosts, dataCentres int) []cataloger.Host {
	list := make([]cataloger.Host, hosts)
	for i := range list {
		list[i] = cataloger.Host{Name: fmt.Sprintf("host-%03d", i), DataCentre: fmt.Sprint("dc", i%dataCentres)}
	}
	return list
}

// TestShareOut guards against hosts that together exceed the connections of a
// database, which then resets some of those in use.
func TestShareOut(t *testing.T) {
	endpoints := []cataloger.Endpoint{
		{ID: "d0", DataCentre: "dc0", Slots: 5}, {ID: "d1", DataCentre: "dc1", Slots: 5}, {ID: "d2", DataCentre: "dc2", Slots: 5},
	}
	tests := []struct {
		name                           string
		hosts, dataCentres, maxConns   int
		leastAtPrimary, leastAtOwnHome int
	}{
		{name: "9 hosts, 33 connections", hosts: 9, dataCentres: 3, maxConns: 33, leastAtPrimary: 3, leastAtOwnHome: 4},
		{name: "7 hosts, 50 connections", hosts: 7, dataCentres: 4, maxConns: 50, leastAtPrimary: 6, leastAtOwnHome: 9},
		{name: "59 hosts, 66 connections", hosts: 59, dataCentres: 3, maxConns: 66, leastAtPrimary: 1, leastAtOwnHome: 1},
		{name: "one host", hosts: 1, dataCentres: 1, maxConns: 33, leastAtPrimary: 31, leastAtOwnHome: 31},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			hosts := fleetOf(test.hosts, test.dataCentres)
			sums := make(map[string]int)
			for _, host := range hosts {
				shares := ShareOut(host.Name, hosts, endpoints, "d0", test.maxConns)
				for id, bounds := range shares.Connections {
					sums[id] += bounds.Share
				}
				if got := shares.Connections["d0"].Share; got < test.leastAtPrimary {
					t.Errorf("%s has %d connections to the primary, want %d", host.Name, got, test.leastAtPrimary)
				}
				if got := shares.Connections[shares.Home].Share; got < test.leastAtOwnHome {
					t.Errorf("%s has %d connections to its home %s, want %d", host.Name, got, shares.Home, test.leastAtOwnHome)
				}
				if host.DataCentre == "dc1" && test.hosts < 10 && shares.Home != "d1" {
					t.Errorf("%s in dc1 reads from %s, want d1", host.Name, shares.Home)
				}
			}
			for id, sum := range sums {
				if sum > test.maxConns {
					t.Errorf("%s gets %d connections, want at most %d", id, sum, test.maxConns)
				}
			}
		})
	}
}

// TestStatementShares guards against hosts that together send a database more than
// its queue takes, so that it refuses what would have had its turn.
func TestStatementShares(t *testing.T) {
	tests := []struct {
		name         string
		slots, users int
		most         int
	}{
		{name: "9 hosts", slots: 5, users: 9, most: 5 + 40},
		{name: "59 hosts", slots: 6, users: 59, most: 6 + 60},
		{name: "88 hosts", slots: 6, users: 88, most: 6 + 90},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := statementsOf(test.slots, test.users) * test.users; got > test.most || got < test.slots {
				t.Errorf("%d statements at once, want %d to %d", got, test.slots, test.most)
			}
		})
	}
}
