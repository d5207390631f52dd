package acceptor

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a caller that leaves transactions open and so keeps the few
// connections of a service from the others, and against one that is cut off
// although it goes on, or is idle without a transaction.
func TestIdleTransaction(t *testing.T) {
	bubble(t, func(t *testing.T, a *Acceptor, opener *fakeOpener, l *pipeListener) {
		idle, busy, left := l.dial(t), l.dial(t), l.dial(t)
		for _, c := range []*rawClient{idle, busy, left} {
			c.startup(publicStartup)
		}
		left.query("BEGIN")
		busy.query("BEGIN")
		for range 3 {
			time.Sleep(DefaultIdleTransaction - time.Second)
			if got := code(busy.query("INSERT INTO t VALUES (1)")); got != "" {
				t.Errorf("transaction with requests: got %q, want it to go on", got)
			}
		}
		synctest.Wait()
		if err := left.SetReadDeadline(time.Now().Add(time.Second)); err != nil {
			t.Fatal(err)
		}
		if got := code(left.read()); got != "FATAL 25P03" {
			t.Errorf("idle transaction: got %q, want FATAL 25P03", got)
		}
		if got := opener.opened(); got != 1 {
			t.Errorf("open exchanges: got %d, want only that of the busy caller", got)
		}
		if got := code(busy.query("COMMIT")); got != "" {
			t.Errorf("COMMIT of the busy caller: got %q, want it done", got)
		}
		if got := code(idle.query("SELECT 1")); got != "" {
			t.Errorf("caller without a transaction: got %q, want an answer", got)
		}
		if got := a.Connections(); got != 2 {
			t.Errorf("connections: got %d, want 2", got)
		}
	})
}
