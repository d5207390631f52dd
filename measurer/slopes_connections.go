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

// connectionSteps are the numbers of idle connections. Both ends are in this
// process, so that each costs two of its open files.
var connectionSteps = []int{2000, 4000, 6000, 8000}

// openKey is a user name that is no key, for the open route.
const openUser = "visitor"

// connectionSlopes measures the memory of idle caller connections that have
// run one statement.
func connectionSlopes(ctx context.Context, logger *slog.Logger) ([]Slope, error) {
	shape := Today()
	shape.Hosts, shape.Services, shape.Logger = 1, 1, logger
	f := &Fleet{Shape: shape}
	defer f.Stop()
	if err := f.Start(ctx); err != nil {
		return nil, err
	}
	revision, err := f.Publisher().Update(ctx, openRoute)
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
	for _, n := range connectionSteps {
		for len(conns) < n {
			c, err := openIdle(ctx, f.Hosts[0].CallerAddress)
			if err != nil {
				return nil, errors.Wrapf(err, "connection %d", len(conns)+1)
			}
			conns = append(conns, c)
		}
		points = append(points, SlopePoint{Size: float64(n), Cost: memoryInUse()})
	}
	return fitAll([]slopeInput{{
		"idle_connection_memory", "bytes", "idle caller connections",
		"one host with 2,000 to 8,000 idle connections that ran one statement each; heap and stacks in use after a collection, with the caller's socket in the same process",
		points,
	}})
}

// openRoute makes the first route serve callers without a key.
func openRoute(set configurer.Set) (configurer.Set, error) {
	route := set.Routes[RouteName(1)]
	route.OpenAs = CustomerName(1)
	routes := map[string]configurer.Route{}
	for name, r := range set.Routes {
		routes[name] = r
	}
	routes[route.Name] = route
	set.Routes = routes
	return set, nil
}

// openIdle opens a connection without a driver, whose state would count too,
// and runs one statement on it.
func openIdle(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	frontend := pgproto3.NewFrontend(c, c)
	frontend.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersionNumber,
		Parameters:      map[string]string{"user": openUser, "database": RouteName(1)},
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

// memoryInUse returns heap and stacks in use after a collection, in bytes.
func memoryInUse() float64 {
	runtime.GC()
	time.Sleep(50 * time.Millisecond)
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}
