package budgeter

import (
	"testing"
	"time"
)

// newFullBudget returns a budget with as many connections as it allows.
func newFullBudget(b *testing.B, connections int) *Budget {
	b.Helper()
	limits := Limits{Memory: 1 << 40, ConnectionCost: ConnectionCost, IdleWhenShort: time.Hour}
	limits.Connections[Clients] = connections
	budget := &Budget{Limits: limits, Now: time.Now}
	for range connections {
		account, err := budget.Open(Clients, "address", func() {})
		if err != nil {
			b.Fatal(err)
		}
		account.Complete()
	}
	return budget
}

// BenchmarkRequest reports the cost of an ordinary request, which takes no memory.
func BenchmarkRequest(b *testing.B) {
	budget := &Budget{Now: time.Now}
	account, err := budget.Open(Clients, "address", func() {})
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		account.Begin()
		account.Complete()
	}
}

// BenchmarkLargeMessage reports the cost of counting a large message.
func BenchmarkLargeMessage(b *testing.B) {
	budget := newFullBudget(b, 2000)
	account, err := budget.Open(Peers, "address", func() {})
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		_ = account.Resize(Message, 1<<20) // never refused
		_ = account.Resize(Message, 0)
	}
}

// BenchmarkRefusal reports the cost of refusing a connection while all are in use.
func BenchmarkRefusal(b *testing.B) {
	budget := newFullBudget(b, 2000)
	for b.Loop() {
		if _, err := budget.Open(Clients, "address", func() {}); err == nil {
			b.Fatal("connection was not refused")
		}
	}
}
