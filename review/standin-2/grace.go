package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// sessions is the number of clients with an open transaction.
	sessions = 6
	// freezeTime is how long the host stands still.
	freezeTime = 1100 * time.Millisecond
	// thawTime is the bound thaw_ms: commits of a host that was frozen within it don't count.
	thawTime = 300 * time.Millisecond
)

// A commitAnswer is what a client got for its COMMIT.
type commitAnswer struct {
	client *client
	item   string
	answer answer
	err    error
}

// grace freezes a host on which transactions are open while their primary is replaced as
// planned. The host learns of the change late.
func grace(r *record, binary string, trouble bool) error {
	f, storeAddress, promotionAddress, err := newFleet(r, 300*time.Millisecond)
	if err != nil {
		return err
	}
	defer f.stop()
	g := f.group
	for i, zone := range []string{"gt-germiston", "gt-midrand", "gt-soweto"} {
		if _, err := g.add(fmt.Sprintf("i-%d", i), zone, i == 0); err != nil {
			return err
		}
	}
	former := g.databases[0]
	f.configure()
	promoted := make(chan time.Time, 1)
	g.led = func(*database) { promoted <- time.Now() }
	g.start()
	if err := f.startHosts(binary, storeAddress, promotionAddress); err != nil {
		return err
	}
	time.Sleep(6 * time.Second)
	entry := f.otherThanLeader()
	r.add("the clients use %s", entry.name)
	clients, err := openTransactions(r, entry)
	if err != nil {
		return err
	}
	if trouble {
		r.add("%s freezes (SIGSTOP)", entry.name)
		_ = entry.command.Process.Signal(syscall.SIGSTOP)
	}
	time.Sleep(50 * time.Millisecond)
	former.drain()
	var awake atomic.Pointer[time.Time]
	time.AfterFunc(freezeTime-50*time.Millisecond, func() {
		if trouble {
			_ = entry.command.Process.Signal(syscall.SIGCONT)
			r.add("%s wakes (SIGCONT)", entry.name)
		}
		now := time.Now()
		awake.Store(&now)
	})
	var effect time.Time
	select {
	case effect = <-promoted:
	case <-time.After(30 * time.Second):
		return fmt.Errorf("no promotion")
	}
	answers := commitAll(clients)
	time.Sleep(2 * time.Second)
	from := effect
	if at := awake.Load(); at == nil {
		return errors.New("promoted while the host was frozen")
	} else if trouble && at.Add(thawTime).After(from) {
		from = at.Add(thawTime)
	}
	return f.checkCommits(answers, effect, from)
}

// otherThanLeader returns a host that does not lead.
func (f *fleet) otherThanLeader() *host {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	var duty struct{ Host string }
	_ = json.Unmarshal(f.store.items["endiveturn/duty"].Value, &duty)
	if f.hosts[0].name == duty.Host {
		return f.hosts[1]
	}
	return f.hosts[0]
}

func openTransactions(r *record, entry *host) ([]*client, error) {
	var clients []*client
	for i := range sessions {
		c, err := dialClient(r, fmt.Sprintf("foreman%d", i), entry.clients(), "pay", "u1")
		if err != nil {
			return nil, err
		}
		for _, text := range []string{"BEGIN", fmt.Sprintf("WRITE shift%d booked", i)} {
			if a, err := c.query(text); err != nil || !a.ok() {
				return nil, fmt.Errorf("%s: %v %v", text, a.code, err)
			}
		}
		clients = append(clients, c)
	}
	return clients, nil
}

// commitAll sends the COMMIT of each client, some milliseconds apart.
func commitAll(clients []*client) []commitAnswer {
	answers := make([]commitAnswer, len(clients))
	var group sync.WaitGroup
	for i, c := range clients {
		group.Go(func() {
			time.Sleep(time.Duration(2+6*i) * time.Millisecond)
			a, err := c.query("COMMIT")
			answers[i] = commitAnswer{client: c, item: fmt.Sprintf("shift%d", i), answer: a, err: err}
		})
	}
	group.Wait()
	return answers
}

// checkCommits checks for commits at the former primary after the promotion, sent from an
// instant on, that were acknowledged to their clients.
func (f *fleet) checkCommits(answers []commitAnswer, effect, from time.Time) error {
	f.group.mu.Lock()
	defer f.group.mu.Unlock()
	var current *database
	for _, d := range f.group.databases {
		if d.primary {
			current = d
		}
	}
	var broken error
	for _, a := range answers {
		if a.err != nil || !a.answer.ok() || a.answer.sent.Before(from) {
			continue
		}
		kept := false
		for _, c := range current.log {
			kept = kept || c.item == a.item
		}
		by := f.group.committedBy[a.answer.id]
		if by != nil && by != current {
			broken = fmt.Errorf("%w: ONE: %s was committed at %s, %v after %s had been promoted, and acknowledged; kept by the new primary: %v",
				errBroken, a.answer.id, by.id, a.answer.received.Sub(effect).Round(time.Millisecond), current.id, kept)
			f.record.add("%v", broken)
		}
	}
	return broken
}
