package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["alone"] = playAlone }

// playAlone checks rules STALE and ONE on a fleet of two hosts, of which one is replaced
// while the other is partitioned from the store and from the replacement.
func playAlone(s *scenario) (bool, error) {
	g, err := s.addGroup("huvo11a", func(g *group) { g.promoteTime = 300 * time.Millisecond })
	if err != nil {
		return false, err
	}
	s.configure(1, 1e5, 33, route{"lepu270", "primary", "huvo11a", 1000})
	storeLink, err := newLink(s.store.address)
	if err != nil {
		return false, err
	}
	promotionLink, err := newLink(s.promoter.address)
	if err != nil {
		return false, err
	}
	a, err := newHost("host-a", zones[0], s.dir, s.record)
	if err != nil {
		return false, err
	}
	peerLink, err := newLink(a.peer)
	if err != nil {
		return false, err
	}
	a.storeAddress, a.promotionAddress, a.seeds = storeLink.address, promotionLink.address, []string{a.peer}
	s.hosts = append(s.hosts, a)
	if err := a.start(); err != nil {
		return false, err
	}
	b, err := s.addHost("host-b", zones[1], s.store.address, s.promoter.address, peerLink.address)
	if err != nil {
		return false, err
	}
	for _, h := range s.hosts {
		if err := await(h.name+" ready", 10*time.Second, h.ready); err != nil {
			return false, err
		}
	}
	// The fleet is known to be small and its leases are short.
	time.Sleep(5 * time.Second)
	s.record.add("case", "host-b is stopped for good")
	b.signal(syscall.SIGTERM)
	<-b.exited
	time.Sleep(time.Second)
	if s.trouble {
		s.record.add("case", "host-a is partitioned from the store, the promotion service and the other host; it reaches databases and consumers")
		for _, l := range []*link{storeLink, promotionLink, peerLink} {
			l.setCut(true)
		}
		// The new host does not learn its address from the store.
		time.Sleep(2500 * time.Millisecond)
	}
	c, err := s.addHost("host-c", zones[1], s.store.address, s.promoter.address, peerLink.address)
	if err != nil {
		return false, err
	}
	if err := await("host-c ready", 10*time.Second, c.ready); err != nil {
		return false, err
	}
	time.Sleep(2500 * time.Millisecond)
	load := newAloneLoad(s, a, c)
	load.start()
	time.Sleep(time.Second)
	s.record.add("case", "zone %s is evacuated", zones[0])
	s.store.put("op/evacuate/"+zones[0], map[string]any{})
	time.Sleep(5 * time.Second)
	load.stop()
	return load.check(g), nil
}

// An aloneLoad writes and reads through both hosts.
type aloneLoad struct {
	*scenario
	hosts []*host
	end   chan struct{}
	group sync.WaitGroup

	mu     sync.Mutex
	acked  []ackedWrite
	reads  []ackedRead
	number int
}

type ackedWrite struct {
	id, item, data string
	host           string
	acked          time.Time
	signature      string
}

type ackedRead struct {
	id, item, data string
	host           string
	sent           time.Time
	signature      string
}

func newAloneLoad(s *scenario, hosts ...*host) *aloneLoad {
	return &aloneLoad{scenario: s, hosts: hosts, end: make(chan struct{})}
}

func (l *aloneLoad) start() {
	for _, h := range l.hosts {
		for i := range 4 {
			l.group.Go(func() { l.run(h, fmt.Sprintf("%s.%d", h.name, i), true) })
		}
		for i := range 4 {
			l.group.Go(func() { l.run(h, l.hosts[1].name+"."+fmt.Sprint(i), false) })
		}
	}
}

func (l *aloneLoad) stop() {
	close(l.end)
	l.group.Wait()
}

// run writes an item again and again, or reads it, as one consumer.
func (l *aloneLoad) run(h *host, name string, writes bool) {
	var session *client
	defer func() {
		if session != nil {
			session.close()
		}
	}()
	for {
		select {
		case <-l.end:
			return
		case <-time.After(25 * time.Millisecond):
		}
		if session == nil {
			var err error
			if session, err = connect(h.client, "lepu270", tenantKey); err != nil {
				session = nil
				continue
			}
		}
		l.mu.Lock()
		l.number++
		data := fmt.Sprintf("d%d", l.number)
		l.mu.Unlock()
		id, text := newID(), "READ "+name
		if writes {
			text = "WRITE " + name + " " + data
		}
		r, err := session.query(id, text, 3*time.Second)
		l.record.add("consumer", "by %s: QUERY %s %s -> %s %v", h.name, id, text, r, err)
		if err != nil {
			session.close()
			session = nil
			continue
		}
		if r.code != "" {
			continue
		}
		l.mu.Lock()
		if writes {
			l.acked = append(l.acked, ackedWrite{id, name, data, h.name, r.done, r.signature})
		} else if len(r.rows) == 1 {
			l.reads = append(l.reads, ackedRead{id, name, r.rows[0], h.name, r.sent, r.signature})
		}
		l.mu.Unlock()
	}
}

// check reports whether rules STALE and ONE were kept.
func (l *aloneLoad) check(g *group) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	one, stale := 0, 0
	acked := make(map[string]time.Time)
	for _, w := range l.acked {
		acked[w.id] = w.acked
	}
	numbers := make(map[string]position)
	for _, c := range g.commits {
		for _, id := range c.entry.ids {
			numbers[id] = c.entry.position
			if at, ok := acked[id]; ok && c.after {
				one++
				l.record.add("check", "ONE: write %s was committed as %s at %s after another had taken over, and was acknowledged at %s", id, c.entry.position, c.database, at.Format("05.000"))
			}
		}
	}
	rolledBack := func(p position) bool {
		for _, t := range g.promotions {
			if p.term < t.term && p.number > t.kept {
				return true
			}
		}
		return false
	}
	runs := make(map[string]run)
	for _, r := range g.runs {
		runs[r.id] = r
	}
	for _, r := range l.reads {
		ran := runs[r.id]
		for _, w := range l.acked {
			p := numbers[w.id]
			if w.acked.Before(r.sent) && !rolledBack(p) && (ran.position.term < p.term || ran.position.term == p.term && ran.position.number < p.number) {
				stale++
				l.record.add("check", "STALE: read %s by %s ran at %s, a %s, whose log stood at %s and lacked commit %s, acknowledged %.0f ms before the read was sent",
					r.id, r.host, ran.database, ran.role, ran.position, p, float64(r.sent.Sub(w.acked).Microseconds())/1000)
				break
			}
		}
	}
	l.record.say("%d writes acknowledged, %d reads answered; STALE: %d reads lacked an acknowledged commit; ONE: %d writes were committed at the old primary after the change, and acknowledged",
		len(l.acked), len(l.reads), stale, one)
	return one == 0 && stale == 0
}
