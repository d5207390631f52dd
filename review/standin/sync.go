package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

func init() { cases["sync"] = playSync }

const (
	// syncReaders and syncWriters are the numbers of consumers of each host.
	syncReaders = 20
	syncWriters = 3
	// deafTime is how long a replica receives nothing, deafCrash when the primary crashes
	// meanwhile.
	deafTime  = 6500 * time.Millisecond
	deafCrash = 3 * time.Second
)

// playSync checks rule LOST on a service with sync_replicas 1: a replica receives nothing for
// a while, and the primary crashes meanwhile. The other replica has all commits.
func playSync(s *scenario) (bool, error) {
	g, err := s.addGroup("huvo11a", func(g *group) {
		g.sync, g.promoteTime = true, 300*time.Millisecond
		g.readWork = func() time.Duration {
			return 25*time.Millisecond + time.Duration(rand.ExpFloat64()*float64(30*time.Millisecond))
		}
	})
	if err != nil {
		return false, err
	}
	s.configure(1, 1e5, 33, route{"lepu270", "primary", "huvo11a", 1000}, route{"xapu221ny95", "bounded_staleness", "huvo11a", 3000})
	for i := range 3 {
		if _, err := s.addHost(fmt.Sprintf("host-%d", i+1), zones[i], s.store.address, s.promoter.address); err != nil {
			return false, err
		}
	}
	for _, h := range s.hosts {
		if err := await(h.name+" ready", 10*time.Second, h.ready); err != nil {
			return false, err
		}
	}
	time.Sleep(4 * time.Second)
	load := newAloneLoad(s, s.hosts...)
	var readers sync.WaitGroup
	for _, h := range s.hosts {
		for i := range syncWriters {
			load.group.Go(func() { load.run(h, fmt.Sprintf("%s.%d", h.name, i), true) })
		}
		for range syncReaders {
			readers.Go(func() { load.browse(h) })
		}
	}
	time.Sleep(5 * time.Second)
	primary, deaf := g.databases[0], g.databases[2]
	if s.trouble {
		s.record.add("case", "%s receives nothing", deaf.id)
		g.setDeaf(deaf, true)
		time.Sleep(deafCrash)
		s.record.add("case", "%s, the primary, crashes; the log of %s stands at %s, that of %s at %s", primary.id, g.databases[1].id, g.end(g.databases[1]), deaf.id, g.end(deaf))
		primary.stop(false)
		time.Sleep(deafTime - deafCrash)
		g.setDeaf(deaf, false)
	}
	time.Sleep(5 * time.Second)
	load.stop()
	readers.Wait()
	return load.checkLost(g), nil
}

func (g *group) setDeaf(d *database, deaf bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	d.deaf = deaf
	for _, p := range g.databases {
		if !deaf && p.primary && !p.stopped && p != d && !d.primary {
			d.follow(p)
		}
	}
}

// end returns the position that a database has received.
func (g *group) end(d *database) position {
	g.mu.Lock()
	defer g.mu.Unlock()
	return d.received()
}

// browse reads with bounded staleness as one consumer.
func (l *aloneLoad) browse(h *host) {
	for {
		session, err := connect(h.client, "xapu221ny95", tenantKey)
		for err == nil {
			select {
			case <-l.end:
				session.close()
				return
			default:
			}
			var r reply
			if r, err = session.query(newID(), "READ x", 5*time.Second); err == nil && r.code != "" {
				time.Sleep(200 * time.Millisecond)
			}
		}
		if session != nil {
			session.close()
		}
		select {
		case <-l.end:
			return
		case <-time.After(200 * time.Millisecond):
		}
	}
}

// checkLost reports whether each commit that was acknowledged before a promotion is in the
// log of the database that was promoted.
func (l *aloneLoad) checkLost(g *group) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	acked := make(map[string]time.Time)
	for _, w := range l.acked {
		acked[w.id] = w.acked
	}
	lost := 0
	for _, t := range g.promotions {
		l.record.add("check", "%s was promoted with its log up to number %d", t.database, t.kept)
		for _, c := range g.commits {
			for _, id := range c.entry.ids {
				at, ok := acked[id]
				if ok && at.Before(t.at) && c.entry.position.term < t.term && c.entry.position.number > t.kept {
					lost++
					l.record.add("check", "LOST: write %s, committed as %s and acknowledged %.0f ms before %s was promoted, isn't in its log", id, c.entry.position,
						float64(t.at.Sub(at).Microseconds())/1000, t.database)
				}
			}
		}
	}
	l.record.say("%d writes acknowledged, %d promotions, LOST: %d acknowledged commits are not in the log of the promoted database", len(l.acked), len(g.promotions), lost)
	return lost == 0
}
