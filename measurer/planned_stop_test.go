package measurer

import (
	"context"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
)

// Guards against a planned stop that ends the whole host as soon as its own
// callers have left, and so cuts the transactions that other hosts run there.
func TestPlannedStopKeepsTransactions(t *testing.T) {
	shape := Today()
	shape.Hosts, shape.Services = 3, 2
	f := newTestFleet(t, shape)
	ctx, cancel := context.WithTimeout(t.Context(), 15*time.Second)
	defer cancel()
	holder := f.HolderOf(ServiceName(2))
	entry := f.Hosts[0]
	if entry == holder {
		entry = f.Hosts[1]
	}
	conn, err := pgx.Connect(ctx, dsn(entry, "customer2", "route2"))
	if err != nil {
		t.Fatalf("connect: %v", err)
	}
	defer conn.Close(context.WithoutCancel(ctx))
	exec := func(sql string) {
		t.Helper()
		if _, err := conn.Exec(ctx, sql); err != nil {
			t.Fatalf("%s: %v", sql, err)
		}
	}
	exec("BEGIN")
	exec("INSERT INTO bookings (id, customer, amount) VALUES ('a', 'customer2', 1)")
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		f.StopHost(ctx, holder)
	}()
	time.Sleep(300 * time.Millisecond)
	exec("INSERT INTO bookings (id, customer, amount) VALUES ('b', 'customer2', 1)")
	exec("COMMIT")
	<-stopped
	if got := len(f.Groups[ServiceName(2)].Content()); got != 2 {
		t.Errorf("bookings after the commit: got %d, want 2", got)
	}
}
