package measurer

import (
	"context"
	"log/slog"
	"net"
	"runtime"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/configurer"
)

// connectionCounts are the numbers of idle connections that are measured. Both
// ends of a connection are in this process, so each takes two of its file
// descriptors.
var connectionCounts = []int{2000, 4000, 6000, 8000}

// unauthenticatedUser is a user name that is not the name of a key. It connects
// to a route that needs no key.
const unauthenticatedUser = "visitor"

// connectionSlopes measures the memory of idle client connections that have run
// one statement each.
func connectionSlopes(ctx context.Context, logger *slog.Logger) ([]Slope, error) {
	spec := DefaultSpec()
	spec.Hosts, spec.Services, spec.Logger = 1, 1, logger
	f := &Fleet{Spec: spec}
	defer f.Stop()
	if err := f.Start(ctx); err != nil {
		return nil, err
	}
	revision, err := f.Publisher().Update(ctx, allowWithoutKey)
	if err != nil {
		return nil, err
	}
	if _, err := f.AwaitRevision(ctx, revision); err != nil {
		return nil, err
	}
	var conns []net.Conn
	defer func() {
		for _, c := range conns {
			c.Close()
		}
	}()
	var points []SlopePoint
	for _, n := range connectionCounts {
		for len(conns) < n {
			c, err := openIdleConnection(ctx, f.Hosts[0].ClientAddress)
			if err != nil {
				return nil, errors.Wrapf(err, "open idle connection %d", len(conns)+1)
			}
			conns = append(conns, c)
		}
		points = append(points, SlopePoint{Size: float64(n), Cost: memoryInUse()})
	}
	return fitSlopes([]slopeInput{{
		"idle_connection_memory", "bytes", "idle caller connections",
		"one host with 2,000 to 8,000 idle connections that ran one statement each; heap and stacks in use after a collection, with the caller's socket in the same process",
		points,
	}})
}

// allowWithoutKey returns the configuration with a first route that serves clients
// without a key as the first customer.
func allowWithoutKey(config configurer.Config) (configurer.Config, error) {
	route := config.Routes[RouteName(1)]
	route.KeylessCustomer = CustomerName(1)
	routes := map[string]configurer.Route{}
	for name, r := range config.Routes {
		routes[name] = r
	}
	routes[route.Name] = route
	config.Routes = routes
	return config, nil
}

// openIdleConnection opens a connection and runs one statement on it. It uses no
// driver, because the driver's state would count as memory too.
func openIdleConnection(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	frontend := pgproto3.NewFrontend(c, c)
	frontend.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersionNumber,
		Parameters:      map[string]string{"user": unauthenticatedUser, "database": RouteName(1)},
	})
	if err := awaitReady(frontend); err != nil {
		c.Close()
		return nil, err
	}
	frontend.Send(&pgproto3.Query{String: "SELECT 1"})
	if err := awaitReady(frontend); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// awaitReady sends what is buffered and reads messages up to ReadyForQuery.
func awaitReady(frontend *pgproto3.Frontend) error {
	if err := frontend.Flush(); err != nil {
		return errors.WithStack(err)
	}
	for {
		message, err := frontend.Receive()
		if err != nil {
			return errors.WithStack(err)
		}
		switch m := message.(type) {
		case *pgproto3.ErrorResponse:
			return errors.Errorf("%s (SQLSTATE %s)", m.Message, m.Code)
		case *pgproto3.ReadyForQuery:
			return nil
		}
	}
}

// memoryInUse returns the heap and stacks in use after a garbage collection, in
// bytes.
func memoryInUse() float64 {
	runtime.GC()
	time.Sleep(50 * time.Millisecond)
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}
