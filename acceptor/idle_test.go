package acceptor

import (
	"testing"
	"time"
)

// Guards against a client that leaves transactions open and so keeps the few
// connections of a service from other clients. Also guards against closing a
// connection whose transaction is active, or that is idle without a
// transaction.
func TestIdleTransaction(t *testing.T) {
	runInBubble(t, func(t *testing.T, a *Acceptor, opener *fakeOpener, l *pipeListener) {
		idle, active, abandoned := l.dial(t), l.dial(t), l.dial(t)
		for _, c := range []*rawClient{idle, active, abandoned} {
			c.startup(publicStartup)
		}
		abandoned.query("BEGIN")
		active.query("BEGIN")
		// A pipe has no buffer, so that the message is read while it is written.
		ended := make(chan string, 1)
		go func() { ended <- firstError(abandoned.read()) }()
		for range 3 {
			time.Sleep(DefaultIdleTransactionTimeout - time.Second)
			if got := firstError(active.query("INSERT INTO t VALUES (1)")); got != "" {
				t.Errorf("transaction with requests: got %q, want no error", got)
			}
		}
		select {
		case got := <-ended:
			if got != "FATAL 25P03" {
				t.Errorf("idle transaction: got %q, want FATAL 25P03", got)
			}
		case <-time.After(time.Second):
			t.Error("idle transaction: not ended")
		}
		if got := opener.openExchanges(); got != 1 {
			t.Errorf("open exchanges: got %d, want 1, that of the active client", got)
		}
		if got := firstError(active.query("COMMIT")); got != "" {
			t.Errorf("COMMIT of the active client: got %q, want no error", got)
		}
		if got := firstError(idle.query("SELECT 1")); got != "" {
			t.Errorf("client without a transaction: got %q, want no error", got)
		}
		if got := a.Connections(); got != 2 {
			t.Errorf("connections: got %d, want 2", got)
		}
	})
}
