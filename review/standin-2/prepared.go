package main

import (
	"fmt"
	"strings"
	"time"
)

// preparedNames lets two consumers of a tenant prepare statements of different shapes, and
// compares the shape that a database ran with the one that the consumer prepared.
func preparedNames(r *record, binary string, trouble bool) error {
	f, storeAddress, promotionAddress, err := newFleet(r, 300*time.Millisecond)
	if err != nil {
		return err
	}
	defer f.stop()
	for i, zone := range []string{"gt-midrand", "gt-germiston", "gt-soweto"} {
		if _, err := f.group.add(fmt.Sprintf("i-%d", i), zone, i == 0); err != nil {
			return err
		}
	}
	f.configure()
	f.group.start()
	if err := f.startHosts(binary, storeAddress, promotionAddress); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	shapes := []string{"qg4uhkbrbjkzdi", "qam2xvqcczv26d"}
	if !trouble {
		shapes[1] = "qam2xvqcczv26e"
	}
	expected := make(map[string]string)
	for i, shape := range shapes {
		c, err := dialClient(r, fmt.Sprintf("clerk%d", i), f.hosts[0].clients(), "pay", "u1")
		if err != nil {
			return err
		}
		defer c.close()
		if a, err := c.query("PREPARE s1 WRITE " + shape); err != nil || !a.ok() {
			return fmt.Errorf("not prepared: %v", err)
		}
		a, err := c.query(fmt.Sprintf("EXECUTE s1 item%d xkqpwnzd", i))
		if err != nil || !a.ok() {
			return fmt.Errorf("not executed: %v", err)
		}
		expected[a.id] = shape
	}
	f.group.mu.Lock()
	defer f.group.mu.Unlock()
	var broken error
	for id, shape := range expected {
		if ran := f.group.shapes[id]; !strings.EqualFold(ran, shape) {
			broken = fmt.Errorf("%w: PINNED: %s ran as the shape %s, its consumer had prepared %s", errBroken, id, ran, shape)
		}
	}
	return broken
}
