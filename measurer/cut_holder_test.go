package measurer

import (
	"context"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
)

// Guards against callers that wait for their whole deadline on a holder that is
// cut off without closing its connections.
func TestCutOffHolderIsLeft(t *testing.T) {
	shape := Today()
	shape.Hosts, shape.Services = 3, 1
	f := newTestFleet(t, shape)
	holder := f.HolderOf(ServiceName(1))
	var entry *FleetHost
	for _, h := range f.Hosts {
		if h != holder {
			entry = h
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	conn, err := pgx.Connect(ctx, dsn(entry, "customer1", "route1"))
	if err != nil {
		t.Fatalf("connect: %v", err)
	}
	defer conn.Close(ctx)
	if _, err := conn.Exec(ctx, "SELECT 1"); err != nil {
		t.Fatalf("statement before the cut: %v", err)
	}
	f.CutFromPeers(holder, true)
	start := time.Now()
	// A read may be repeated at the next holder; 5 s is its deadline.
	if _, err := conn.Exec(ctx, "SELECT count(*) FROM bookings"); err != nil {
		t.Errorf("read over the cut: got %v, want an answer of the next holder", err)
	}
	if got := time.Since(start); got > 4*time.Second {
		t.Errorf("time of a read over the cut: got %v, want less than its deadline", got)
	}
}
