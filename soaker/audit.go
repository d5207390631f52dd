package soaker

import (
	"context"
	"fmt"

	"github.com/jackc/pgx/v5"
	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/timekeeper"
)

// Statements of the audit.
const (
	customerRowsSQL = "SELECT id, customer, amount FROM bookings WHERE customer = $1"
	allRowsSQL      = "SELECT id, customer, amount FROM bookings"
	statusSQL       = "SELECT * FROM group_status(0, 0, 0)"
	rolePrimary     = "primary"
)

// tryOnce opens a connection to the first host and runs a read.
func (c *client) tryOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	conn, err := c.dial(ctx, 0, mainRoute, "")
	if err != nil {
		return err
	}
	defer conn.Close(ctx)
	_, err = conn.Exec(ctx, constantSQL)
	return errors.Wrap(err, "read")
}

// allRows reads all rows of the customer through the first host.
func (c *client) allRows(ctx context.Context) ([]Row, error) {
	for {
		rows, err := c.readRows(ctx)
		if err == nil || !timekeeper.Sleep(ctx, retryInterval) {
			return rows, err
		}
	}
}

func (c *client) readRows(ctx context.Context) ([]Row, error) {
	conn, err := c.dial(ctx, 0, mainRoute, "")
	if err != nil {
		return nil, err
	}
	defer conn.Close(ctx)
	return collectRows(ctx, conn, customerRowsSQL, c.customer)
}

func collectRows(ctx context.Context, conn *pgx.Conn, sql string, args ...any) ([]Row, error) {
	rows, err := conn.Query(ctx, sql, args...)
	if err != nil {
		return nil, errors.Wrap(err, "read rows")
	}
	values, err := pgx.CollectRows(rows, pgx.RowToStructByPos[Row])
	return values, errors.Wrap(err, "read rows")
}

// primaryRows reads all rows from the database that calls itself the primary, without
// any link or host between.
func (f *fleet) primaryRows(ctx context.Context) ([]Row, error) {
	for _, link := range f.databaseLinks {
		role, err := databaseRole(ctx, link.Target)
		if err != nil {
			return nil, err
		}
		if role != rolePrimary {
			continue
		}
		conn, err := connectDatabase(ctx, endpointUser, link.Target)
		if err != nil {
			return nil, err
		}
		defer conn.Close(ctx)
		return collectRows(ctx, conn, allRowsSQL)
	}
	return nil, errors.New("no database is the primary")
}

func databaseRole(ctx context.Context, address string) (string, error) {
	conn, err := connectDatabase(ctx, adminUser, address)
	if err != nil {
		return "", err
	}
	defer conn.Close(ctx)
	const roleColumn = 2
	rows, err := conn.Query(ctx, statusSQL)
	if err != nil {
		return "", errors.Wrap(err, "read status")
	}
	status, err := pgx.CollectExactlyOneRow(rows, func(row pgx.CollectableRow) ([]any, error) { return row.Values() })
	if err != nil || len(status) <= roleColumn {
		return "", errors.Wrap(err, "read status")
	}
	return fmt.Sprint(status[roleColumn]), nil
}

func connectDatabase(ctx context.Context, user, address string) (*pgx.Conn, error) {
	config, err := pgx.ParseConfig(fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable", user, endpointPassword, address, serviceName))
	if err != nil {
		return nil, errors.Wrap(err, "connection settings")
	}
	config.DefaultQueryExecMode = pgx.QueryExecModeSimpleProtocol
	conn, err := pgx.ConnectConfig(ctx, config)
	return conn, errors.Wrapf(err, "connect to %s as %s", address, user)
}
