package measurer

import (
	"context"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/endiveturn/endiveturn/configurer"
)

// Guards against a changed service object that comes into force only when its
// holder changes, and against requests that fail while it does.
func TestServiceChangeTakesEffect(t *testing.T) {
	shape := Today()
	shape.Hosts, shape.Services = 1, 1
	f := newTestFleet(t, shape)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	conn, err := pgx.Connect(ctx, dsn(f.Hosts[0], "customer1", "route1"))
	if err != nil {
		t.Fatalf("connect: %v", err)
	}
	defer conn.Close(ctx)
	if err := f.republishAcknowledge(ctx, configurer.AcknowledgePrimary); err != nil {
		t.Fatalf("publish: %v", err)
	}
	group := f.Groups[ServiceName(1)]
	deadline := time.Now().Add(time.Second)
	for i := 0; time.Now().Before(deadline); i++ {
		if err := book(ctx, conn, time.Now().Format("150405.000000")); err != nil {
			t.Fatalf("write %d while the change comes into force: %v", i, err)
		}
	}
	// Without replicas only the new mode acknowledges.
	for _, m := range group.Members {
		if m.Name != group.Primary() {
			if err := group.Stall(m.Name); err != nil {
				t.Fatalf("stall: %v", err)
			}
		}
	}
	if err := book(ctx, conn, "without-replicas"); err != nil {
		t.Errorf("write without replicas: got %v, want it acknowledged by the primary", err)
	}
}
