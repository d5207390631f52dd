package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/executor"
	"github.com/endiveturn/endiveturn/timekeeper"
)

const (
	// operationTimeout bounds an operation of a client. It exceeds the deadline of a
	// batch.
	operationTimeout = 15 * time.Second
	// operationPause is the mean pause between two operations of a client.
	operationPause = 60 * time.Millisecond
	// connectPause is the mean pause after an attempt to connect that has failed.
	connectPause = 250 * time.Millisecond
	// tokenParameter carries the position of a session's last write.
	tokenParameter = "endiveturn.token"
	// batchDeadlineText is in the message of a statement that the proxy has canceled
	// because of its deadline.
	batchDeadlineText = "deadline of the batch"
)

// A client is one client program, which keeps connections open until they break.
type client struct {
	name, customer, key string
	// session is the name given at startup; empty means that each connection is a
	// session of its own.
	session string
	// usesToken makes the client carry the token of its last write to its other
	// connections, in place of a session.
	usesToken bool
	hosts     []*host
	history   *History
	incidents *Incidents
	board     *board
	rng       *rand.Rand

	// conns holds the open connection to each host, and intact the time at which the
	// host last answered on it.
	conns  []*pgx.Conn
	intact []time.Time
	// token is the token of the last acknowledged write, if the client uses it.
	token string
	// backOff is set after an attempt to connect that has failed.
	backOff bool
	// number is that of the last row, which is also its amount.
	number int64
	// acknowledged holds the acknowledged rows of this client.
	acknowledged []Row
	// counterID is the id of the row that the client increments, or empty, and
	// increments counts the acknowledged increments.
	counterID  string
	increments int64
}

// run runs operations until ctx ends.
func (c *client) run(ctx context.Context, operate func(context.Context)) {
	defer func() {
		for i := range c.conns {
			c.disconnect(i)
		}
	}()
	for ctx.Err() == nil {
		operationCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), operationTimeout)
		operate(operationCtx)
		cancel()
		pause := operationPause
		if c.backOff {
			pause, c.backOff = connectPause, false
		}
		timekeeper.Sleep(ctx, time.Duration(c.rng.ExpFloat64()*float64(pause)))
	}
}

// anyHost returns the index of a random host of the client.
func (c *client) anyHost() int { return c.rng.IntN(len(c.hosts)) }

func (c *client) detail(i int) string {
	return fmt.Sprintf("%s (customer %s, session %q) through %s", c.name, c.customer, c.session, c.hosts[i].name)
}

// dial opens a connection to a host.
func (c *client) dial(ctx context.Context, i int, route, session string) (*pgx.Conn, error) {
	url := fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable&connect_timeout=5",
		c.key, secretOf(c.key), c.hosts[i].clientLink.Listener.Addr(), route)
	config, err := pgx.ParseConfig(url)
	if err != nil {
		return nil, errors.Wrap(err, "connection settings")
	}
	if session != "" {
		config.RuntimeParams["endiveturn.session"] = session
	}
	modes := []pgx.QueryExecMode{
		pgx.QueryExecModeCacheStatement, pgx.QueryExecModeCacheDescribe, pgx.QueryExecModeExec, pgx.QueryExecModeSimpleProtocol,
	}
	config.DefaultQueryExecMode = modes[c.rng.IntN(len(modes))]
	return pgx.ConnectConfig(ctx, config)
}

// connect returns the open connection to a host, or a new one, or nil.
func (c *client) connect(ctx context.Context, i int) *pgx.Conn {
	if c.conns[i] != nil && !c.conns[i].IsClosed() {
		return c.conns[i]
	}
	conn, err := c.dial(ctx, i, mainRoute, c.session)
	if err != nil {
		c.checkConnectError(i, err)
		return nil
	}
	c.conns[i], c.intact[i] = conn, time.Now()
	return conn
}

// checkConnectError reports a refusal to connect that no fault explains.
func (c *client) checkConnectError(i int, err error) {
	c.history.Count("connect_failed")
	c.backOff = true
	var refusal *pgconn.PgError
	if !errors.As(err, &refusal) {
		return
	}
	switch refusal.Code {
	case executor.CodeCannotServe, executor.CodeStopping, executor.CodeTooManyQueued:
	case executor.CodeInvalidAuthorization:
		if c.key != probeKey {
			c.history.Report(unexpectedError, "%s: connect: %v", c.detail(i), err)
		}
	default:
		c.history.Report(unexpectedError, "%s: connect: %v", c.detail(i), err)
	}
}

func (c *client) disconnect(i int) {
	if c.conns[i] == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_ = c.conns[i].Close(ctx)
	c.conns[i] = nil
}

// classify returns the outcome of a request of an open connection. It reports errors
// that must not occur, and closes the connection after an error.
func (c *client) classify(ctx context.Context, i int, err error) Outcome {
	if err == nil {
		c.intact[i] = time.Now()
		return Acknowledged
	}
	defer c.disconnect(i)
	var refusal *pgconn.PgError
	if !errors.As(err, &refusal) {
		c.checkLostAnswer(ctx, i, err)
		return Unknown
	}
	c.history.Count("refused_" + refusal.Code)
	switch refusal.Code {
	case executor.CodeOutcomeUnknown, executor.CodeStatementUnknown:
		return Unknown
	case executor.CodeTooManyQueued, executor.CodeCannotServe, executor.CodeRateExceeded:
		if !strings.HasSuffix(refusal.Message, executor.NotRunSuffix) {
			c.history.Report(unexpectedError, "%s: refusal does not state that nothing has run: %v", c.detail(i), err)
		}
		return NotRun
	case executor.CodeStopping:
		return NotRun
	case executor.CodeInvalidAuthorization:
		if c.key != probeKey {
			c.history.Report(unexpectedError, "%s: %v", c.detail(i), err)
		}
		return NotRun
	case executor.CodeRolledBack, executor.CodeIdleTransaction, executor.CodeInFailedTransaction:
		return RolledBack
	case executor.CodeQueryCanceled:
		if !strings.Contains(refusal.Message, batchDeadlineText) {
			c.history.Report(unexpectedError, "%s: canceled by nobody: %v", c.detail(i), err)
		}
		return RolledBack
	default:
		c.history.Report(unexpectedError, "%s: %v", c.detail(i), err)
		return Unknown
	}
}

// checkLostAnswer reports a request that ended without an answer although neither the
// host nor its link to the client was disturbed since its last answer. A stop in order
// is no excuse. A request that could not be sent is not judged, since its host had
// closed the connection before.
func (c *client) checkLostAnswer(ctx context.Context, i int, err error) {
	if ctx.Err() != nil {
		c.history.Count("timed_out")
		return
	}
	c.history.Count("broken")
	var operation *net.OpError
	if pgconn.SafeToRetry(err) || errors.As(err, &operation) && operation.Op == "write" {
		return
	}
	h := c.hosts[i]
	if !c.incidents.Disturbed(c.intact[i], time.Now(), processTarget(h), clientTarget(h)) {
		c.history.Report(lostAnswer, "%s: last answer %s, ended %s: %v", c.detail(i), c.intact[i].Format(time.StampMicro), time.Now().Format(time.StampMicro), err)
	}
}

// served records that a request outside a transaction was served.
func (c *client) served(i int, sent time.Time) {
	h := c.hosts[i]
	c.history.CheckServed(Request{Key: c.key, Host: h.name, DataCentre: h.dataCentre, Sent: sent, Done: time.Now(), Detail: c.detail(i)})
}

// saveToken saves the token that came with an acknowledged write.
func (c *client) saveToken(i int) {
	if c.usesToken {
		c.token = c.conns[i].PgConn().ParameterStatus(tokenParameter)
	}
}

// presentToken sets the token of the last write on a connection. It returns false if
// that did not succeed.
func (c *client) presentToken(ctx context.Context, i int) bool {
	if c.token == "" {
		return true
	}
	_, err := c.conns[i].Exec(ctx, "SET "+tokenParameter+" = '"+c.token+"'")
	return c.classify(ctx, i, err) == Acknowledged
}

// exec runs a statement outside a transaction.
func (c *client) exec(ctx context.Context, i int, sql string, args ...any) (Outcome, error) {
	sent := time.Now()
	_, err := c.conns[i].Exec(ctx, sql, args...)
	if err == nil {
		c.served(i, sent)
	}
	return c.classify(ctx, i, err), err
}

// query runs a query outside a transaction on an open connection and collects its
// rows. It returns false if there was an error.
func query[T any](ctx context.Context, c *client, i int, scan pgx.RowToFunc[T], sql string, args ...any) ([]T, bool) {
	sent := time.Now()
	rows, err := c.conns[i].Query(ctx, sql, args...)
	var values []T
	if err == nil {
		values, err = pgx.CollectRows(rows, scan)
	}
	if c.classify(ctx, i, err) != Acknowledged {
		return nil, false
	}
	c.served(i, sent)
	return values, true
}
