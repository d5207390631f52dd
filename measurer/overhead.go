package measurer

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/pkg/errors"
)

const (
	overheadClients = 16
	overheadWarmUp  = time.Second
	// overheadRounds is the number of rounds in which both paths are measured in
	// turn, so that a slow phase of the machine affects both.
	overheadRounds = 4
)

// measureOverhead compares lookups through one host with the same lookups
// directly at the database.
func measureOverhead(ctx context.Context, options Options) ([]Figure, []Series, error) {
	spec := DefaultSpec()
	spec.Hosts, spec.Services, spec.Logger = 1, 1, options.Logger
	spec.StatementCost, spec.Slots = -1, spec.Connections
	f := &Fleet{Spec: spec}
	defer f.Stop()
	if err := f.Start(ctx); err != nil {
		return nil, nil, err
	}
	// The direct path gets its own group, since the host keeps all connections of
	// the other group.
	directFleet := &Fleet{Spec: spec, Network: NewNetwork()}
	defer directFleet.Stop()
	if err := directFleet.startGroups(); err != nil {
		return nil, nil, err
	}
	group := directFleet.Groups[ServiceName(1)]
	paths := []*lookupLoad{
		{
			dsn:    fmt.Sprintf("postgres://%s:%s@%s/ledger?sslmode=disable", endpointUser, endpointPassword, group.Address(group.Primary())),
			params: map[string]string{"group_term": fmt.Sprint(baselineTerm)},
		},
		{dsn: fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable", KeyName(CustomerName(1)), KeySecret(CustomerName(1)), f.Hosts[0].ClientAddress, RouteName(1))},
	}
	for _, path := range paths {
		if err := path.insertBooking(ctx); err != nil {
			return nil, nil, err
		}
	}
	phase := options.duration(8*time.Second) / (2 * overheadRounds)
	for range overheadRounds {
		for _, path := range paths {
			if err := path.run(ctx, phase); err != nil {
				return nil, nil, err
			}
		}
	}
	directLoad, proxiedLoad := paths[0], paths[1]
	return []Figure{
		NewFigure("throughput_ratio", ratio(proxiedLoad.perSecond(), directLoad.perSecond()), AtLeast, 0.5),
		NewFigure("p50_ratio", ratio(percentile(proxiedLoad.latencies, 0.5), percentile(directLoad.latencies, 0.5)), AtMost, 2),
		Info("statements_per_second", proxiedLoad.perSecond()).WithBaseline(directLoad.perSecond()),
		Info("p50_us", percentile(proxiedLoad.latencies, 0.5)).WithBaseline(percentile(directLoad.latencies, 0.5)),
		Info("p99_us", percentile(proxiedLoad.latencies, 0.99)).WithBaseline(percentile(directLoad.latencies, 0.99)),
	}, nil, nil
}

// A lookupLoad is a closed loop of lookups over a number of connections.
type lookupLoad struct {
	dsn string
	// params are additional startup parameters.
	params    map[string]string
	latencies []float64
	elapsed   time.Duration
	// clients is the number of connections; 0 stands for overheadClients.
	clients int
	// total is the number of lookups of the last round, including those of the
	// warm-up.
	total int
}

func (l *lookupLoad) perSecond() float64 { return float64(len(l.latencies)) / l.elapsed.Seconds() }

func (l *lookupLoad) insertBooking(ctx context.Context) error {
	config, err := l.config()
	if err != nil {
		return err
	}
	conn, err := pgx.ConnectConfig(ctx, config)
	if err != nil {
		return errors.WithStack(err)
	}
	defer conn.Close(ctx)
	_, err = conn.Exec(ctx, "INSERT INTO bookings (id, customer, amount) VALUES ('o1', 'customer1', 7)")
	return errors.WithStack(err)
}

func (l *lookupLoad) config() (*pgx.ConnConfig, error) {
	config, err := pgx.ParseConfig(l.dsn)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	for name, value := range l.params {
		config.RuntimeParams[name] = value
	}
	return config, nil
}

// run runs one round of the load and adds its latencies.
func (l *lookupLoad) run(ctx context.Context, phase time.Duration) error {
	config, err := l.config()
	if err != nil {
		return err
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	var runErr error
	warm := time.Now().Add(overheadWarmUp / overheadRounds)
	end := warm.Add(phase)
	clients := l.clients
	if clients == 0 {
		clients = overheadClients
	}
	l.total = 0
	for range clients {
		group.Go(func() {
			values, total, err := runLookups(ctx, config, warm, end)
			mu.Lock()
			defer mu.Unlock()
			l.total += total
			l.latencies = append(l.latencies, values...)
			if err != nil {
				runErr = err
			}
		})
	}
	group.Wait()
	l.elapsed += phase
	return runErr
}

// runLookups repeats a lookup until end. It returns the latencies in microseconds
// of the lookups that began after warm, and the number of all lookups.
func runLookups(ctx context.Context, config *pgx.ConnConfig, warm, end time.Time) (values []float64, total int, err error) {
	conn, err := pgx.ConnectConfig(ctx, config.Copy())
	if err != nil {
		return nil, 0, errors.WithStack(err)
	}
	defer conn.Close(ctx)
	for {
		start := time.Now()
		if !start.Before(end) {
			return values, total, nil
		}
		var amount int64
		if err := conn.QueryRow(ctx, "SELECT amount FROM bookings WHERE id = $1", "o1").Scan(&amount); err != nil {
			return nil, 0, errors.WithStack(err)
		}
		total++
		if amount != 7 {
			return nil, 0, errors.Errorf("lookup returned amount %d instead of 7", amount)
		}
		if start.After(warm) {
			values = append(values, float64(time.Since(start))/float64(time.Microsecond))
		}
	}
}
