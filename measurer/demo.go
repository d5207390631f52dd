package measurer

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/configurer"
	"github.com/endiveturn/endiveturn/executor"
)

// demoHosts is the number of hosts of the demo, one per data centre.
const demoHosts = 3

// A Demo demonstrates the main guarantees on a small fleet and checks each of
// them.
type Demo struct {
	Output io.Writer
	Logger *slog.Logger
	// StepTimeout bounds each step.
	StepTimeout time.Duration

	fleet *Fleet
}

// Run runs the steps in order and returns the error of the first that fails.
func (d *Demo) Run(ctx context.Context) error {
	spec := DefaultSpec()
	spec.Hosts, spec.Logger = demoHosts, d.Logger
	d.fleet = &Fleet{Spec: spec}
	defer d.fleet.Stop()
	for i, step := range []struct {
		text string
		run  func(context.Context) (string, error)
	}{
		{"start stand-ins and three hosts, publish a configuration", d.start},
		{"book a payment through one host and read it through another", d.insertAndRead},
		{"revoke a key while its client is connected", d.revokeKey},
		{"fail a primary", d.failPrimary},
		{"take a data centre out and bring it back", d.takeDataCentreOut},
		{"stop a host gracefully", d.stopHost},
	} {
		start := time.Now()
		stepCtx, cancel := context.WithTimeout(ctx, d.StepTimeout)
		checked, err := step.run(stepCtx)
		cancel()
		if err != nil {
			fmt.Fprintf(d.Output, "%d. %s: FAILED: %v\n", i+1, step.text, err)
			return errors.WithMessage(err, step.text)
		}
		fmt.Fprintf(d.Output, "%d. %s (%v)\n   checked: %s\n", i+1, step.text, time.Since(start).Round(time.Millisecond), checked)
	}
	return nil
}

func (d *Demo) start(ctx context.Context) (string, error) {
	if err := d.fleet.Start(ctx); err != nil {
		return "", err
	}
	revision := d.fleet.Hosts[0].Server().Config().Revision
	return fmt.Sprintf("every host serves, revision %d is in force, all %d services are held", revision, d.fleet.Spec.Services), nil
}

func (d *Demo) connect(ctx context.Context, host int, customer, session string) (*pgx.Conn, error) {
	config, err := pgx.ParseConfig(fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable",
		KeyName(customer), KeySecret(customer), d.fleet.Hosts[host].ClientAddress, RouteName(1)))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if session != "" {
		config.RuntimeParams["endiveturn.session"] = session
	}
	conn, err := pgx.ConnectConfig(ctx, config)
	return conn, errors.WithStack(err)
}

// insertBooking inserts a booking with the amount 100.
func insertBooking(ctx context.Context, conn *pgx.Conn, id string) error {
	_, err := conn.Exec(ctx, "INSERT INTO bookings (id, customer, amount) VALUES ($1, 'customer1', 100)", id)
	return errors.Wrapf(err, "insert %s", id)
}

// checkBooking checks that a booking can be read and has the amount 100.
func checkBooking(ctx context.Context, conn *pgx.Conn, id string) error {
	var amount int64
	err := conn.QueryRow(ctx, "SELECT amount FROM bookings WHERE id = $1", id).Scan(&amount)
	if err == nil && amount != 100 {
		err = errors.Errorf("amount is %d instead of 100", amount)
	}
	return errors.Wrapf(err, "read %s", id)
}

func (d *Demo) insertAndRead(ctx context.Context) (string, error) {
	for i := range demoHosts {
		writer, err := d.connect(ctx, i, "customer1", "demo")
		if err != nil {
			return "", err
		}
		defer writer.Close(ctx)
		id := fmt.Sprint("demo-", i)
		if err := insertBooking(ctx, writer, id); err != nil {
			return "", err
		}
		reader, err := d.connect(ctx, (i+1)%demoHosts, "customer1", "demo")
		if err != nil {
			return "", err
		}
		defer reader.Close(ctx)
		if err := checkBooking(ctx, reader, id); err != nil {
			return "", err
		}
	}
	return "each of three bookings was seen at once through another host", nil
}

// publish publishes a change, waits until it is in force on all running hosts, and
// returns how long that took.
func (d *Demo) publish(ctx context.Context, change func(configurer.Config) (configurer.Config, error)) (time.Duration, error) {
	revision, err := d.fleet.Publisher().Update(ctx, change)
	if err != nil {
		return 0, err
	}
	return d.fleet.AwaitRevision(ctx, revision)
}

func (d *Demo) revokeKey(ctx context.Context) (string, error) {
	conn, err := d.connect(ctx, 1, "customer2", "")
	if err != nil {
		return "", err
	}
	defer conn.Close(ctx)
	if _, err := conn.Exec(ctx, "SELECT 1"); err != nil {
		return "", errors.Wrap(err, "request before the revocation")
	}
	elapsed, err := d.publish(ctx, func(config configurer.Config) (configurer.Config, error) {
		key := config.Keys[KeyName("customer2")]
		key.Revoked = true
		return config.WithKey(key), nil
	})
	if err != nil {
		return "", err
	}
	if _, err := conn.Exec(ctx, "SELECT 1"); err == nil {
		return "", errors.New("connected client was served on a revoked key")
	}
	_, err = d.connect(ctx, 0, "customer2", "")
	if code := sqlState(err); code != executor.CodeInvalidAuthorization {
		return "", errors.Errorf("login on a revoked key: got SQLSTATE %q (%v)", code, err)
	}
	return fmt.Sprintf("in force on all hosts after %v; connected and new clients are refused", elapsed.Round(time.Millisecond)), nil
}

// sqlState returns the SQLSTATE of a refusal, or an empty string.
func sqlState(err error) string {
	var refusal *pgconn.PgError
	if errors.As(err, &refusal) {
		return refusal.Code
	}
	return ""
}

func (d *Demo) failPrimary(ctx context.Context) (string, error) {
	conn, err := d.connect(ctx, 0, "customer1", "demo")
	if err != nil {
		return "", err
	}
	defer conn.Close(ctx)
	group := d.fleet.Groups["ledger1"]
	before := group.Primary()
	if err := group.Kill(before); err != nil {
		return "", err
	}
	start := time.Now()
	attempts := 0
	for {
		attempts++
		err := insertBooking(ctx, conn, fmt.Sprint("after-failover-", attempts))
		if err == nil {
			break
		}
		code := sqlState(err)
		if code != executor.CodeOutcomeUnknown && code != executor.CodeStatementUnknown {
			return "", errors.Wrap(err, "insert neither succeeded nor has an unknown outcome")
		}
	}
	gap := time.Since(start)
	if err := checkBooking(ctx, conn, "demo-0"); err != nil {
		return "", err
	}
	if err := checkBooking(ctx, conn, fmt.Sprint("after-failover-", attempts)); err != nil {
		return "", err
	}
	if after := group.Primary(); after == before {
		return "", errors.Errorf("primary is still %s", before)
	}
	if err := group.Restart(before); err != nil {
		return "", err
	}
	return fmt.Sprintf("primary moved from %s to %s; booked again after %v; earlier bookings are all there", before, group.Primary(), gap.Round(time.Millisecond)), nil
}

func (d *Demo) takeDataCentreOut(ctx context.Context) (string, error) {
	name := d.fleet.Hosts[2].DataCentre
	setTakenOut := func(takenOut bool) func(configurer.Config) (configurer.Config, error) {
		return func(config configurer.Config) (configurer.Config, error) {
			dataCentre := config.DataCentres[name]
			dataCentre.TakenOut = takenOut
			return config.WithDataCentre(dataCentre), nil
		}
	}
	conn, err := d.connect(ctx, 0, "customer1", "demo")
	if err != nil {
		return "", err
	}
	defer conn.Close(ctx)
	if _, err := d.publish(ctx, setTakenOut(true)); err != nil {
		return "", err
	}
	bookings := 0
	for start := time.Now(); time.Since(start) < 3*time.Second; bookings++ {
		if err := insertBooking(ctx, conn, fmt.Sprint("during-", bookings)); err != nil {
			return "", err
		}
	}
	last := d.fleet.lastStatementIn(name)
	time.Sleep(300 * time.Millisecond)
	if now := d.fleet.lastStatementIn(name); now.After(last) {
		return "", errors.Errorf("databases of data centre %s still run statements", name)
	}
	_, err = d.connect(ctx, 2, "customer1", "")
	if code := sqlState(err); code != executor.CodeStopping {
		return "", errors.Errorf("connect to a host of the data centre: got SQLSTATE %q (%v)", code, err)
	}
	if _, err := d.publish(ctx, setTakenOut(false)); err != nil {
		return "", err
	}
	back, err := d.connect(ctx, 2, "customer1", "demo")
	if err != nil {
		return "", err
	}
	defer back.Close(ctx)
	if err := checkBooking(ctx, back, "during-0"); err != nil {
		return "", err
	}
	return fmt.Sprintf("%d bookings while %s left, none refused; no work there afterwards; it serves again", bookings, name), nil
}

func (d *Demo) stopHost(ctx context.Context) (string, error) {
	conn, err := d.connect(ctx, 0, "customer1", "demo")
	if err != nil {
		return "", err
	}
	defer conn.Close(ctx)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		d.fleet.StopHost(ctx, d.fleet.Hosts[1])
	}()
	bookings := 0
	for running := true; running; bookings++ {
		select {
		case <-stopped:
			running = false
		default:
		}
		if err := insertBooking(ctx, conn, fmt.Sprint("stopping-", bookings)); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("%d bookings through another host while it stopped, none refused or interrupted", bookings), nil
}

// lastStatementIn returns when a database in the data centre last began a
// statement.
func (f *Fleet) lastStatementIn(dataCentre string) time.Time {
	var last time.Time
	for _, group := range f.Groups {
		for _, m := range group.Members {
			if at := group.Stats(m.Name).LastStatement; m.DataCentre == dataCentre && at.After(last) {
				last = at
			}
		}
	}
	return last
}

// AwaitRevision waits until the revision is in force on all running hosts and
// returns how long that took.
func (f *Fleet) AwaitRevision(ctx context.Context, revision uint64) (time.Duration, error) {
	start := time.Now()
	for {
		behind := ""
		for _, h := range f.Hosts {
			if s := h.Server(); s != nil && s.Config().Revision < revision {
				behind = h.Name
			}
		}
		if behind == "" {
			return time.Since(start), nil
		}
		select {
		case <-ctx.Done():
			return 0, errors.Errorf("revision %d is not in force on host %s", revision, behind)
		case <-time.After(time.Millisecond):
		}
	}
}
