package measurer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgconn/ctxwatch"
	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/executor"
)

// tokenParameter carries the session token in both directions.
const tokenParameter = "endiveturn.token"

// A checkedSession is one session with two connections to different hosts. It
// writes through one of them and reads through the other.
type checkedSession struct {
	check    *consistencyCheck
	fleet    *Fleet
	customer string
	route    string
	service  string
	name     string
	// usesToken makes the session pass its token between the connections. If it
	// is not set, both connections name the session instead.
	usesToken bool
	rng       *rand.Rand

	conns [2]*pgx.Conn
	hosts [2]string
	// token is the last token received. It is used if usesToken is set.
	token  string
	number int
	// acknowledged maps the numbers of acknowledged bookings to their ids, and
	// lastAcknowledged is the latest of these numbers or 0. The amount of a
	// booking is its number.
	acknowledged     map[int]string
	lastAcknowledged int
	// increments is the number of acknowledged increments of the counter, and
	// possibleIncrements includes those whose outcome is unknown.
	increments, possibleIncrements int64
	counterCreated                 bool
}

func (s *checkedSession) run(ctx context.Context) {
	s.acknowledged = make(map[int]string)
	defer s.disconnect(0)
	defer s.disconnect(1)
	for ctx.Err() == nil {
		// An operation that has begun is completed after ctx has ended.
		opCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), checkedOperationTimeout)
		s.runOperation(opCtx)
		cancel()
		if s.rng.IntN(20) == 0 {
			s.disconnect(s.rng.IntN(2))
		}
		pauseFor(ctx, time.Duration(s.rng.ExpFloat64()*float64(checkedOperationPause)))
	}
}

// runOperation runs one random operation.
func (s *checkedSession) runOperation(ctx context.Context) {
	writer := s.rng.IntN(2)
	reader := 1 - writer
	switch n := s.rng.IntN(100); {
	case n < 40:
		s.writeAndRead(ctx, writer, reader)
	case n < 50:
		s.readBooking(ctx, reader, s.randomAcknowledged())
	case n < 65:
		s.increment(ctx, writer, reader)
	case n < 80:
		s.runTransaction(ctx, writer, reader)
	case n < 84:
		s.rollBack(ctx, writer)
	case n < 88:
		s.cancelSleep(ctx, writer)
	case n < 92:
		s.cancelWrite(ctx, writer)
	case n < 94:
		s.impersonate(ctx, writer)
	default:
		s.readSeries(ctx, writer)
	}
}

func (s *checkedSession) nextID(kind string) (string, int) {
	s.number++
	return fmt.Sprintf("%s-%s%d", s.name, kind, s.number), s.number
}

func (s *checkedSession) randomAcknowledged() int {
	if s.lastAcknowledged == 0 {
		return 0
	}
	if n := 1 + s.rng.IntN(s.lastAcknowledged); s.acknowledged[n] != "" {
		return n
	}
	return s.lastAcknowledged
}

// connect returns connection i. If it is not open, it opens one to another host
// than that of the other connection. It returns nil if that did not succeed.
func (s *checkedSession) connect(ctx context.Context, i int) *pgx.Conn {
	if s.conns[i] != nil {
		return s.conns[i]
	}
	hosts := s.fleet.RunningHosts()
	if len(hosts) == 0 {
		return nil
	}
	host := hosts[s.rng.IntN(len(hosts))]
	if host.Name == s.hosts[1-i] && len(hosts) > 1 {
		return nil
	}
	config, err := pgx.ParseConfig(fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable&connect_timeout=2",
		KeyName(s.customer), KeySecret(s.customer), host.Address, s.route))
	if err != nil {
		s.check.recordViolation(unexpectedError, "connection settings: %v", err)
		return nil
	}
	if s.usesToken {
		if s.token != "" {
			config.RuntimeParams[tokenParameter] = s.token
		}
	} else {
		config.RuntimeParams["endiveturn.session"] = s.name
	}
	modes := []pgx.QueryExecMode{pgx.QueryExecModeCacheStatement, pgx.QueryExecModeCacheDescribe, pgx.QueryExecModeExec, pgx.QueryExecModeSimpleProtocol}
	config.DefaultQueryExecMode = modes[s.rng.IntN(len(modes))]
	config.BuildContextWatcherHandler = func(conn *pgconn.PgConn) ctxwatch.Handler {
		return &pgconn.CancelRequestContextWatcherHandler{Conn: conn, DeadlineDelay: time.Second}
	}
	conn, err := pgx.ConnectConfig(ctx, config)
	if err != nil {
		s.checkConnectError(err, host.Name)
		return nil
	}
	s.conns[i], s.hosts[i] = conn, host.Name
	return conn
}

// checkConnectError records an error of a connection attempt as a violation, except
// for refusals by a host that cannot serve.
func (s *checkedSession) checkConnectError(err error, host string) {
	var refusal *pgconn.PgError
	if !errors.As(err, &refusal) {
		return
	}
	switch refusal.Code {
	case executor.CodeCannotServe, executor.CodeStopping, executor.CodeTooManyQueued:
	default:
		s.check.recordViolation(unexpectedError, "%s connecting to %s: %v", s.name, host, err)
	}
}

func (s *checkedSession) disconnect(i int) {
	if s.conns[i] == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_ = s.conns[i].Close(ctx)
	s.conns[i], s.hosts[i] = nil, ""
}

// classifyError returns the outcome that an error, or nil, means for a write. It
// saves the token after a success, closes the connection after an error, and
// records errors that must not occur.
func (s *checkedSession) classifyError(ctx context.Context, i int, err error) OperationOutcome {
	if err == nil {
		s.saveToken(i)
		return Done
	}
	host := s.hosts[i]
	s.disconnect(i)
	var refusal *pgconn.PgError
	if !errors.As(err, &refusal) {
		return Unknown
	}
	switch refusal.Code {
	case executor.CodeOutcomeUnknown, executor.CodeStatementUnknown:
		return Unknown
	case executor.CodeTooManyQueued, executor.CodeCannotServe, executor.CodeRateExceeded:
		if !strings.HasSuffix(refusal.Message, executor.NotRunSuffix) {
			s.check.recordViolation(unexpectedError, "%s: refusal does not state that the batch was not run: %v", s.name, err)
		}
		return NotRun
	case executor.CodeStopping:
		return NotRun
	case executor.CodeRolledBack:
		return Failed
	case executor.CodeQueryCanceled:
		// The proxy also cancels a statement that exceeds its own deadline.
		if ctx.Err() == nil && !strings.Contains(refusal.Message, "deadline of the batch") {
			s.check.recordViolation(foreignCancel, "%s on %s: %v", s.name, host, err)
		}
		return Failed
	default:
		s.check.recordViolation(unexpectedError, "%s on %s: %v", s.name, host, err)
		return Unknown
	}
}

// saveToken saves the token that came with an acknowledged write.
func (s *checkedSession) saveToken(i int) {
	if token := s.conns[i].PgConn().ParameterStatus(tokenParameter); token != "" {
		s.token = token
	}
}

// connectForRead returns connection i, after it has set the session's token on it
// if the session uses one. It returns nil if that did not succeed.
func (s *checkedSession) connectForRead(ctx context.Context, i int) *pgx.Conn {
	conn := s.connect(ctx, i)
	if conn == nil || !s.usesToken || s.token == "" {
		return conn
	}
	if _, err := conn.Exec(ctx, "SET "+tokenParameter+" = '"+s.token+"'"); err != nil {
		s.classifyError(ctx, i, err)
		return nil
	}
	return conn
}

// writeAndRead inserts a booking through one connection and looks it up through
// the other.
func (s *checkedSession) writeAndRead(ctx context.Context, writer, reader int) {
	// The reading connection is opened before the write, so that its host has to
	// receive the position of the write later.
	if s.connect(ctx, writer) == nil || s.connect(ctx, reader) == nil {
		return
	}
	id, number := s.nextID("b")
	outcome := s.insert(ctx, writer, id, number)
	if outcome != Done {
		return
	}
	s.acknowledged[number], s.lastAcknowledged = id, number
	s.readBooking(ctx, reader, number)
}

// insert inserts a booking and records the outcome.
func (s *checkedSession) insert(ctx context.Context, i int, id string, number int) OperationOutcome {
	_, err := s.conns[i].Exec(ctx, "INSERT INTO bookings (id, customer, amount) VALUES ($1, $2, $3)", id, s.customer, int64(number))
	report := reportedWrite{id: id, service: s.service, customer: s.customer}
	if err != nil {
		report.errText = err.Error()
	}
	report.outcome = s.classifyError(ctx, i, err)
	s.check.recordWrite(report)
	return report.outcome
}

// readBooking looks up an acknowledged booking and checks the row. It does nothing
// for the number 0.
func (s *checkedSession) readBooking(ctx context.Context, i, number int) {
	if number == 0 {
		return
	}
	conn := s.connectForRead(ctx, i)
	if conn == nil {
		return
	}
	want := s.acknowledged[number]
	var id, customer string
	var amount int64
	err := conn.QueryRow(ctx, "SELECT id, customer, amount FROM bookings WHERE id = $1", want).Scan(&id, &customer, &amount)
	switch {
	case errors.Is(err, pgx.ErrNoRows):
		s.check.recordViolation(staleRead, "%s does not see %s through %s, token %q", s.name, want, s.hosts[i], s.token)
	case err != nil:
		s.classifyError(ctx, i, err)
		return
	case id != want || customer != s.customer || amount != int64(number):
		s.check.recordViolation(mismatchedResponse, "%s requested %s and got %s of %s with amount %d", s.name, want, id, customer, amount)
	}
	s.check.recordRead()
}

// increment increments the counter of the session and reads it. The first call
// creates the counter.
func (s *checkedSession) increment(ctx context.Context, writer, reader int) {
	if s.connect(ctx, writer) == nil || s.connect(ctx, reader) == nil {
		return
	}
	id := s.name + "-counter"
	if !s.counterCreated {
		s.counterCreated = s.insert(ctx, writer, id, 0) == Done
		if !s.counterCreated {
			// The insertion may have run. A new attempt needs another name for
			// the counter, which makes it another session.
			s.name += "x"
			s.disconnect(writer)
			s.disconnect(reader)
		}
		return
	}
	_, err := s.conns[writer].Exec(ctx, "UPDATE bookings SET amount = amount + 1 WHERE id = $1", id)
	outcome := s.classifyError(ctx, writer, err)
	s.check.recordIncrement(id, s.service, outcome)
	if outcome == Done || outcome == Unknown {
		s.possibleIncrements++
	}
	if outcome == Done {
		s.increments++
		s.readCounter(ctx, reader, id)
	}
}

func (s *checkedSession) readCounter(ctx context.Context, i int, id string) {
	conn := s.connectForRead(ctx, i)
	if conn == nil {
		return
	}
	var got string
	var amount int64
	err := conn.QueryRow(ctx, "SELECT id, amount FROM bookings WHERE id = $1", id).Scan(&got, &amount)
	switch {
	case errors.Is(err, pgx.ErrNoRows):
		s.check.recordViolation(staleRead, "%s does not see its counter", s.name)
	case err != nil:
		s.classifyError(ctx, i, err)
		return
	case got != id:
		s.check.recordViolation(mismatchedResponse, "%s requested %s and got %s", s.name, id, got)
	case amount < s.increments:
		s.check.recordViolation(staleRead, "%s sees %d of %d acknowledged increments through %s", s.name, amount, s.increments, s.hosts[i])
	case amount > s.possibleIncrements:
		s.check.recordViolation(duplicatedWrite, "%s sees %d of %d increments", s.name, amount, s.possibleIncrements)
	}
	s.check.recordRead()
}
