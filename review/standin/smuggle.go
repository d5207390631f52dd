package main

import (
	"fmt"
	"time"
)

func init() { cases["smuggle"] = playSmuggle }

// playSmuggle checks rule UNASKED: databases run only what consumers sent. The consumer sends
// data that contain a line feed; a message ends with CR LF.
func playSmuggle(s *scenario) (bool, error) {
	g, err := s.addGroup("huvo11a", nil)
	if err != nil {
		return false, err
	}
	s.configure(1, 1e5, 33, route{"lepu270", "primary", "huvo11a", 1000})
	h, err := s.addHost("host-a", zones[0], s.store.address, s.promoter.address)
	if err != nil {
		return false, err
	}
	if err := await("host ready", 10*time.Second, h.ready); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	sent := make(map[string]string)
	for i := range 20 {
		separator := " "
		if s.trouble {
			separator = "\n"
		}
		texts := []string{
			fmt.Sprintf("WRITE note%d first line%ssecond line", i, separator),
			fmt.Sprintf("WRITE note%d paid%sQUERY %s WRITE account%d 1000", i, separator, newID(), i),
		}
		for _, text := range texts {
			if err := sendOnce(s, h, sent, text); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(time.Second)
	g.mu.Lock()
	defer g.mu.Unlock()
	unsent, changed := 0, 0
	for _, r := range g.runs {
		if r.id == "-" {
			continue
		}
		text, ok := sent[r.id]
		switch {
		case !ok:
			unsent++
			s.record.add("check", "UNASKED: %s ran %q with the id %s, which no consumer sent", r.database, r.text, r.id)
		case text != r.text:
			changed++
			s.record.add("check", "UNASKED: %s ran %q with the id %s, with which the consumer sent %q", r.database, r.text, r.id, text)
		}
	}
	s.record.say("%d messages sent, %d statements run; %d of them no consumer sent, %d had a changed text", len(sent), len(g.runs), unsent, changed)
	return unsent == 0 && changed == 0, nil
}

// sendOnce sends one message in a session of its own.
func sendOnce(s *scenario, h *host, sent map[string]string, text string) error {
	c, err := connect(h.client, "lepu270", tenantKey)
	if err != nil {
		return err
	}
	defer c.close()
	id := newID()
	sent[id] = text
	r, err := c.query(id, text, 2*time.Second)
	s.record.add("consumer", "QUERY %s %q CR LF -> %s %v", id, text, r, err)
	c.conn.SetDeadline(time.Now().Add(300 * time.Millisecond))
	for {
		line, ok := readLine(c.reader)
		if !ok {
			return nil
		}
		s.record.add("consumer", "  and then: %s", line)
	}
}
