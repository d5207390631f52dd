package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["rows"] = playRows }

const (
	// rowsHosts is the number of hosts, as on the site.
	rowsHosts = 9
	// hostCores is the number of cores of all hosts: each has 0.4 of one.
	hostCores = 4
	// rowsClients is the number of consumers of one host.
	rowsClients = 120
	// rowsPause is the mean pause of a consumer between two reads.
	rowsPause = 300 * time.Millisecond
	// hotFactor, hotTime and hotRounds say how many times its usual the tenant sends, for
	// how long, and how often; calmTime is the time between.
	hotFactor = 7.5
	hotTime   = 6500 * time.Millisecond
	calmTime  = 1500 * time.Millisecond
	hotRounds = 10
	// rowsItems is the number of items of each service, rowsOfItem that of the rows of one.
	rowsItems  = 200
	rowsOfItem = 6
)

// A rowsCase sends reads of one tenant through all hosts and compares the rows with those
// that the databases sent.
type rowsCase struct {
	*scenario
	hot                             atomic.Bool
	end                             time.Time
	reads, wrong, refused, failures atomic.Int64
}

// playRows checks rule MIXED: a successful read returns the rows that the database sent.
func playRows(s *scenario) (bool, error) {
	c := &rowsCase{scenario: s}
	var routes []route
	for _, service := range []string{"huvo11a", "kafi81c", "wuno96b"} {
		g, err := s.addGroup(service, func(g *group) {
			g.work = func() time.Duration {
				return 300*time.Microsecond + time.Duration(rand.ExpFloat64()*float64(700*time.Microsecond))
			}
		})
		if err != nil {
			return false, err
		}
		for _, d := range g.databases {
			for i := range rowsItems {
				d.log[0].writes[itemName(i)] = itemRows(i)
			}
		}
		routes = append(routes, route{"host-" + service, "bounded_staleness", service, 3000})
	}
	s.configure(1, 1e6, 33, routes...)
	err := onCores(hostCores, func() error {
		for i := range rowsHosts {
			if _, err := s.addHost(fmt.Sprintf("host-%d", i+1), zones[i%len(zones)], s.store.address, s.promoter.address); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return false, err
	}
	for _, h := range s.hosts {
		if err := await("host ready", 15*time.Second, h.ready); err != nil {
			return false, err
		}
	}
	time.Sleep(2 * time.Second)
	c.end = time.Now().Add(hotRounds * (hotTime + calmTime))
	var group sync.WaitGroup
	for _, h := range s.hosts {
		for i := range rowsClients {
			group.Go(func() { c.consume(h.client, routes[i%len(routes)].host) })
		}
	}
	for time.Now().Before(c.end) {
		time.Sleep(calmTime)
		if s.trouble {
			s.record.add("case", "the tenant sends %.1f times its usual", hotFactor)
			c.hot.Store(true)
		}
		time.Sleep(hotTime)
		c.hot.Store(false)
	}
	group.Wait()
	s.record.say("%d reads succeeded, %d of them with other rows than the database sent; %d refused, %d without an answer",
		c.reads.Load(), c.wrong.Load(), c.refused.Load(), c.failures.Load())
	return c.wrong.Load() == 0, nil
}

func itemName(i int) string { return fmt.Sprintf("k%d", i) }

// itemRows returns the rows of an item, which name it.
func itemRows(i int) string {
	rows := make([]string, rowsOfItem)
	for j := range rows {
		rows[j] = strings.Repeat(fmt.Sprintf("v%d.%d.", i, j), 400)[:1000]
	}
	return strings.Join(rows, "\n")
}

// consume reads as one consumer until the end of the case.
func (c *rowsCase) consume(address, database string) {
	for time.Now().Before(c.end) {
		session, err := connect(address, database, tenantKey)
		if err != nil {
			c.failures.Add(1)
			time.Sleep(200 * time.Millisecond)
			continue
		}
		for time.Now().Before(c.end) && c.read(session) {
			pause := rand.ExpFloat64() * float64(rowsPause)
			if c.hot.Load() {
				pause /= hotFactor
			}
			time.Sleep(time.Duration(pause))
		}
		session.close()
	}
}

// read sends one read and reports whether the session can be used further.
func (c *rowsCase) read(session *client) bool {
	i := rand.IntN(rowsItems)
	id, text := newID(), "READ "+itemName(i)
	r, err := session.query(id, text, 5*time.Second)
	switch {
	case err != nil:
		c.failures.Add(1)
		c.record.add("consumer", "QUERY %s %s -> %v", id, text, err)
		return false
	case r.code != "":
		c.refused.Add(1)
		time.Sleep(200 * time.Millisecond)
		return true
	}
	c.reads.Add(1)
	want := itemRows(i)
	database, _, _ := strings.Cut(r.signature, ".")
	if strings.Join(r.rows, "\n") == want && r.signature == signature(database, id, text, want) {
		return true
	}
	c.wrong.Add(1)
	c.record.add("consumer", "QUERY %s %s -> COMPLETE %s, which is the signature of the rows of %s: %v; rows received:", id, text, r.signature, itemName(i),
		r.signature == signature(database, id, text, want))
	for _, row := range r.rows {
		c.record.add("consumer", "  DATAROW %.24s... (%d bytes)", row, len(row))
	}
	return true
}
