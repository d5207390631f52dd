package main

import (
	"fmt"
	"slices"
	"time"
)

// stale lets the answer of a read on a replica arrive after that replica was promoted, and
// reads from another replica that is behind.
func stale(r *record, binary string, trouble bool) error {
	f, storeAddress, promotionAddress, err := newFleet(r, 300*time.Millisecond)
	if err != nil {
		return err
	}
	defer f.stop()
	g := f.group
	var held *link
	for i, zone := range []string{"gt-germiston", "gt-midrand", "gt-soweto"} {
		d, err := g.add(fmt.Sprintf("i-%d", i), zone, i == 0)
		if err != nil {
			return err
		}
		if i == 1 {
			if held, err = newLink(d.address, "acme"); err != nil {
				return err
			}
			d.address = held.listener.Addr().String()
		}
	}
	former, promoted, behind := g.databases[0], g.databases[1], g.databases[2]
	f.configure()
	g.start()
	if err := f.startHosts(binary, storeAddress, promotionAddress); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	entry, other := f.hosts[0], f.hosts[4]
	r.add("the clients of acme use %s, those of other use %s", entry.name, other.name)
	writer, err := dialClient(r, "writer", other.clients(), "pay", "u2")
	if err != nil {
		return err
	}
	defer writer.close()
	if _, err := writer.query("WRITE trip unpaid"); err != nil {
		return err
	}
	time.Sleep(7 * time.Second)
	if trouble {
		g.mu.Lock()
		promoted.lag, behind.lag = 60*applyLag, 150*applyLag
		g.mu.Unlock()
		r.add("replicas fall behind: %s applies %v late, %s %v", promoted.id, promoted.lag, behind.id, behind.lag)
	}
	payer, err := dialClient(r, "payer", entry.clients(), "pay", "u1")
	if err != nil {
		return err
	}
	defer payer.close()
	if _, err := payer.query("READ trip"); err != nil {
		return err
	}
	began := time.Now()
	time.Sleep(100 * time.Millisecond)
	paid, err := writer.query("WRITE trip paid")
	if err != nil || !paid.ok() {
		return fmt.Errorf("the write was not accepted: %v", err)
	}
	checker, err := dialClient(r, "checker", entry.clients(), "status", "u1")
	if err != nil {
		return err
	}
	defer checker.close()
	time.Sleep(time.Until(began.Add(900 * time.Millisecond)))
	if _, err := checker.query("BEGIN READ"); err != nil {
		return err
	}
	first, err := checker.query("READ warm-up")
	if err != nil || !first.ok() {
		return fmt.Errorf("no read on the replica: %v", err)
	}
	time.Sleep(time.Until(began.Add(1100 * time.Millisecond)))
	if trouble {
		r.add("the path from %s to the clients' connections at %s is cut", promoted.id, entry.name)
		held.setHeld(true)
	}
	pending := make(chan error, 1)
	go func() {
		_, err := checker.query("READ trip")
		pending <- err
	}()
	time.Sleep(80 * time.Millisecond)
	if trouble {
		former.drain()
	}
	time.Sleep(time.Until(began.Add(2800 * time.Millisecond)))
	if trouble {
		r.add("the path heals")
		held.setHeld(false)
	}
	if err := <-pending; err != nil {
		return err
	}
	return readStatements(f, entry, paid)
}

// readStatements reads with new sessions of a route that allows 2,500 ms, and checks each
// answer.
func readStatements(f *fleet, entry *host, paid answer) error {
	var broken error
	for i := range 6 {
		reader, err := dialClient(f.record, fmt.Sprintf("member%d", i), entry.clients(), "statement", "u1")
		if err != nil {
			return err
		}
		a, err := reader.query("READ trip")
		reader.close()
		if err != nil {
			return err
		}
		age := a.sent.Sub(paid.received)
		if a.ok() && slices.Equal(a.rows, []string{"unpaid"}) && age > 2500*time.Millisecond {
			broken = fmt.Errorf("%w: STALE: %s was sent %v after the commit of %s had been acknowledged and does not show it; the route allows 2.5s", errBroken, a.id, age.Round(time.Millisecond), paid.id)
			f.record.add("%v", broken)
		}
		time.Sleep(60 * time.Millisecond)
	}
	return broken
}
