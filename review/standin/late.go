package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["late"] = playLate }

// playLate checks rule ONE: the service for promotions sees no lower fencing token than one
// before. The leader is partitioned from that service, is stopped, and its request is
// delivered when the partition ends.
func playLate(s *scenario) (bool, error) {
	g, err := s.addGroup("huvo11a", func(g *group) { g.promoteTime = 300 * time.Millisecond })
	if err != nil {
		return false, err
	}
	s.configure(1, 1e5, 33, route{"lepu270", "primary", "huvo11a", 1000})
	links := make(map[string]*link)
	for i := range 3 {
		name := fmt.Sprintf("host-%d", i+1)
		if links[name], err = newLink(s.promoter.address); err != nil {
			return false, err
		}
		if _, err := s.addHost(name, zones[i], s.store.address, links[name].address); err != nil {
			return false, err
		}
	}
	for _, h := range s.hosts {
		if err := await(h.name+" ready", 10*time.Second, h.ready); err != nil {
			return false, err
		}
	}
	time.Sleep(4 * time.Second)
	move := func(zone, to string, back bool) error {
		s.record.add("case", "zone %s is evacuated", zone)
		s.store.put("op/evacuate/"+zone, map[string]any{})
		if to == "" {
			return nil
		}
		if err := await(to+" leads", 15*time.Second, func() bool { return g.leads(to) }); err != nil {
			return err
		}
		time.Sleep(time.Second)
		if back {
			s.record.add("case", "the evacuation of zone %s is taken back", zone)
			s.store.del("op/evacuate/" + zone)
			time.Sleep(time.Second)
		}
		return nil
	}
	if err := move(zones[0], "i-huvo11a2", true); err != nil {
		return false, err
	}
	leader := s.promoter.lastHolder()
	if s.trouble {
		s.record.add("case", "%s, which holds the duty, is partitioned from the service for promotions", leader)
		links[leader].setCut(true)
	}
	if err := move(zones[1], "", false); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	for _, h := range s.hosts {
		if h.name == leader {
			h.signal(syscall.SIGTERM)
			<-h.exited
		}
	}
	if err := await("i-huvo11a1 leads", 15*time.Second, func() bool { return g.leads("i-huvo11a1") }); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	s.record.add("case", "the evacuation of zone %s is taken back", zones[1])
	s.store.del("op/evacuate/" + zones[1])
	if err := move(zones[0], "i-huvo11a2", false); err != nil {
		return false, err
	}
	load := newAloneLoad(s, s.hosts...)
	var rest []*host
	for _, h := range s.hosts {
		if h.running() {
			rest = append(rest, h)
		}
	}
	load.hosts = rest
	load.start()
	time.Sleep(2 * time.Second)
	s.record.add("case", "the partition ends")
	links[leader].setCut(false)
	time.Sleep(5 * time.Second)
	load.stop()
	load.check(g)
	held := true
	highest := int64(0)
	for _, call := range s.promoter.calls {
		if call.token < highest {
			held = false
			s.record.say("ONE: %s sent fencing token %d after the service had seen %d", call.holder, call.token, highest)
		}
		highest = max(highest, call.token)
	}
	return held, nil
}

// leads reports whether a database is the primary of the newest term.
func (g *group) leads(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, d := range g.databases {
		if d.id == id {
			return d.primary && d.term == g.term
		}
	}
	return false
}

// lastHolder returns the host that called last.
func (p *promoter) lastHolder() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.calls) == 0 {
		return ""
	}
	return p.calls[len(p.calls)-1].holder
}
