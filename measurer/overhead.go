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
	overheadCallers = 16
	overheadWarmUp  = time.Second
	// overheadRounds is the number of times that both ways are measured in
	// turn, so that a slow moment of the machine meets both.
	overheadRounds = 4
)

// measureOverhead compares lookups through one host with the same lookups
// directly at the database.
func measureOverhead(ctx context.Context, options Options) ([]Figure, []Series, error) {
	shape := Today()
	shape.Hosts, shape.Services, shape.Logger = 1, 1, options.Logger
	shape.StatementCost, shape.Slots = -1, shape.Connections
	f := &Fleet{Shape: shape}
	defer f.Stop()
	if err := f.Start(ctx); err != nil {
		return nil, nil, err
	}
	// The direct way gets a group of its own, since the host keeps all
	// connections of the other one.
	direct := &Fleet{Shape: shape, Network: NewNetwork()}
	defer direct.Stop()
	if err := direct.startGroups(); err != nil {
		return nil, nil, err
	}
	group := direct.Groups[ServiceName(1)]
	ways := []*lookupLoad{
		{
			dsn:    fmt.Sprintf("postgres://%s:%s@%s/ledger?sslmode=disable", endpointUser, endpointPassword, group.Address(group.Primary())),
			params: map[string]string{"group_term": fmt.Sprint(baselineTerm)},
		},
		{dsn: fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable", KeyName(CustomerName(1)), KeySecret(CustomerName(1)), f.Hosts[0].CallerAddress, RouteName(1))},
	}
	for _, way := range ways {
		if err := way.book(ctx); err != nil {
			return nil, nil, err
		}
	}
	phase := options.duration(8*time.Second) / (2 * overheadRounds)
	for range overheadRounds {
		for _, way := range ways {
			if err := way.run(ctx, phase); err != nil {
				return nil, nil, err
			}
		}
	}
	plain, proxied := ways[0], ways[1]
	return []Figure{
		NewFigure("throughput_ratio", ratio(proxied.perSecond(), plain.perSecond()), AtLeast, 0.5),
		NewFigure("p50_ratio", ratio(percentile(proxied.latencies, 0.5), percentile(plain.latencies, 0.5)), AtMost, 2),
		Info("statements_per_second", proxied.perSecond()).WithBaseline(plain.perSecond()),
		Info("p50_us", percentile(proxied.latencies, 0.5)).WithBaseline(percentile(plain.latencies, 0.5)),
		Info("p99_us", percentile(proxied.latencies, 0.99)).WithBaseline(percentile(plain.latencies, 0.99)),
	}, nil, nil
}

// A lookupLoad is a closed loop of lookups over a number of connections.
type lookupLoad struct {
	dsn string
	// params are further startup parameters.
	params    map[string]string
	latencies []float64
	elapsed   time.Duration
	// callers is the number of connections; 0 stands for overheadCallers.
	callers int
	// total is the number of lookups of the last round, with those before the
	// times are taken.
	total int
}

func (l *lookupLoad) perSecond() float64 { return float64(len(l.latencies)) / l.elapsed.Seconds() }

func (l *lookupLoad) book(ctx context.Context) error {
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

// run adds one round of the load.
func (l *lookupLoad) run(ctx context.Context, phase time.Duration) error {
	config, err := l.config()
	if err != nil {
		return err
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	var failure error
	warm := time.Now().Add(overheadWarmUp / overheadRounds)
	end := warm.Add(phase)
	callers := l.callers
	if callers == 0 {
		callers = overheadCallers
	}
	l.total = 0
	for range callers {
		group.Go(func() {
			values, total, err := lookups(ctx, config, warm, end)
			mu.Lock()
			defer mu.Unlock()
			l.total += total
			l.latencies = append(l.latencies, values...)
			if err != nil {
				failure = err
			}
		})
	}
	group.Wait()
	l.elapsed += phase
	return failure
}

// lookups looks up until a time, and returns the times in microseconds of the
// lookups after the first time, and the number of all.
func lookups(ctx context.Context, config *pgx.ConnConfig, from, to time.Time) (values []float64, total int, err error) {
	conn, err := pgx.ConnectConfig(ctx, config.Copy())
	if err != nil {
		return nil, 0, errors.WithStack(err)
	}
	defer conn.Close(ctx)
	for {
		start := time.Now()
		if !start.Before(to) {
			return values, total, nil
		}
		var amount int64
		if err := conn.QueryRow(ctx, "SELECT amount FROM bookings WHERE id = $1", "o1").Scan(&amount); err != nil {
			return nil, 0, errors.WithStack(err)
		}
		total++
		if amount != 7 {
			return nil, 0, errors.Errorf("lookup gave %d instead of 7", amount)
		}
		if start.After(from) {
			values = append(values, float64(time.Since(start))/float64(time.Microsecond))
		}
	}
}
