package promoter

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"
)

// AdminUser is the user that runs the administration queries.
const AdminUser = "group_admin"

// codeStaleTerm is the SQLSTATE with which a database refuses a term.
const codeStaleTerm = "GT001"

// ErrStaleTerm indicates that a database refused a term because it has accepted
// the same or a higher one.
var ErrStaleTerm = errors.New("stale term")

// An Admin is a connection for administration queries to one database. It is not
// safe for concurrent use.
type Admin interface {
	// Status returns the status as soon as a position of the database exceeds the
	// given one, or its term or role changes, and otherwise after wait.
	Status(ctx context.Context, afterReceived, afterApplied uint64, wait time.Duration) (Status, error)
	// RaiseTerm makes the database accept the term. It returns ErrStaleTerm if
	// the database has accepted the same or a higher one.
	RaiseTerm(ctx context.Context, term uint64) (Status, error)
	// Promote makes the database the primary of the term, which it must have
	// accepted.
	Promote(ctx context.Context, term uint64) (Status, error)
	// Follow makes the database a replica of the primary.
	Follow(ctx context.Context, term uint64, primary, address string) (Status, error)
	// Close closes the connection.
	Close() error
}

// A Dialer opens administration connections over the PostgreSQL protocol.
type Dialer struct {
	// Password is the password of AdminUser.
	Password string
	// Timeout limits the opening of a connection. It must be above 0.
	Timeout time.Duration
	// DialContext opens the network connection; nil dials TCP.
	DialContext func(ctx context.Context, address string) (net.Conn, error)
}

// Dial connects to the database and logs in.
func (d *Dialer) Dial(ctx context.Context, member Member) (Admin, error) {
	ctx, cancel := context.WithTimeout(ctx, d.Timeout)
	defer cancel()
	conn, err := d.connect(ctx, member.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to database %s", member.Name)
	}
	a := &adminConn{conn: conn, frontend: pgproto3.NewFrontend(conn, conn)}
	release := a.bindContext(ctx)
	defer release()
	if err := a.login(d.Password); err != nil {
		conn.Close()
		return nil, errors.Wrapf(err, "log in to database %s", member.Name)
	}
	return a, nil
}

func (d *Dialer) connect(ctx context.Context, address string) (net.Conn, error) {
	if d.DialContext != nil {
		return d.DialContext(ctx, address)
	}
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}

type adminConn struct {
	conn     net.Conn
	frontend *pgproto3.Frontend
	// statusColumns are the columns of the prepared status query; nil until it is
	// prepared.
	statusColumns []string
}

// bindContext makes reads and writes fail when ctx ends, until release is called.
func (a *adminConn) bindContext(ctx context.Context) (release func()) {
	stop := context.AfterFunc(ctx, func() { a.conn.SetDeadline(time.Unix(1, 0)) })
	return func() { stop() }
}

func (a *adminConn) login(password string) error {
	a.frontend.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersionNumber,
		Parameters:      map[string]string{"user": AdminUser, "database": "postgres"},
	})
	if err := a.frontend.Flush(); err != nil {
		return errors.WithStack(err)
	}
	for {
		message, err := a.frontend.Receive()
		if err != nil {
			return errors.WithStack(err)
		}
		switch m := message.(type) {
		case *pgproto3.AuthenticationCleartextPassword:
			a.frontend.Send(&pgproto3.PasswordMessage{Password: password})
			if err := a.frontend.Flush(); err != nil {
				return errors.WithStack(err)
			}
		case *pgproto3.ErrorResponse:
			return errors.Errorf("error response from database: %s (SQLSTATE %s)", m.Message, m.Code)
		case *pgproto3.ReadyForQuery:
			return nil
		}
	}
}

// Close closes the connection without waiting for the database.
func (a *adminConn) Close() error { return a.conn.Close() }

// statusStatement is the name of the prepared status query.
const statusStatement = "status"

// Status implements Admin. The query is prepared once per connection, so that the
// names of the columns are not sent with each response: status queries of idle
// services are a large part of the control traffic.
func (a *adminConn) Status(ctx context.Context, afterReceived, afterApplied uint64, wait time.Duration) (Status, error) {
	if err := ctx.Err(); err != nil {
		return Status{}, errors.WithStack(err)
	}
	release := a.bindContext(ctx)
	defer release()
	if a.statusColumns == nil {
		a.frontend.Send(&pgproto3.Parse{Name: statusStatement, Query: "SELECT * FROM group_status($1, $2, $3)"})
		a.frontend.Send(&pgproto3.Describe{ObjectType: 'S', Name: statusStatement})
	}
	a.frontend.Send(&pgproto3.Bind{PreparedStatement: statusStatement, Parameters: [][]byte{
		strconv.AppendUint(nil, afterReceived, 10), strconv.AppendUint(nil, afterApplied, 10), strconv.AppendInt(nil, wait.Milliseconds(), 10),
	}})
	a.frontend.Send(&pgproto3.Execute{})
	a.frontend.Send(&pgproto3.Sync{})
	if err := a.frontend.Flush(); err != nil {
		return Status{}, errors.WithStack(err)
	}
	status, columns, err := a.readStatus(a.statusColumns)
	a.statusColumns = columns
	return status, err
}

// RaiseTerm implements Admin.
func (a *adminConn) RaiseTerm(ctx context.Context, term uint64) (Status, error) {
	return a.query(ctx, fmt.Sprintf("SELECT * FROM group_raise_term(%d)", term))
}

// Promote implements Admin.
func (a *adminConn) Promote(ctx context.Context, term uint64) (Status, error) {
	return a.query(ctx, fmt.Sprintf("SELECT * FROM group_promote(%d)", term))
}

// Follow implements Admin. Names and addresses are not escaped because they come
// from a validated configuration, which allows no quotes in them.
func (a *adminConn) Follow(ctx context.Context, term uint64, primary, address string) (Status, error) {
	return a.query(ctx, fmt.Sprintf("SELECT * FROM group_follow(%d, '%s', '%s')", term, primary, address))
}

func (a *adminConn) query(ctx context.Context, text string) (Status, error) {
	if err := ctx.Err(); err != nil {
		return Status{}, errors.WithStack(err)
	}
	release := a.bindContext(ctx)
	defer release()
	a.frontend.Send(&pgproto3.Query{String: text})
	if err := a.frontend.Flush(); err != nil {
		return Status{}, errors.WithStack(err)
	}
	status, _, err := a.readStatus(nil)
	return status, err
}

// readStatus reads the response to one query up to ReadyForQuery. It returns the
// columns of the response, which are the given ones unless the response names
// others.
func (a *adminConn) readStatus(columns []string) (status Status, _ []string, failure error) {
	rows := 0
	for {
		message, err := a.frontend.Receive()
		if err != nil {
			return Status{}, nil, errors.WithStack(err)
		}
		switch m := message.(type) {
		case *pgproto3.RowDescription:
			columns = columnNames(m)
		case *pgproto3.DataRow:
			rows++
			status, err = parseStatus(columns, m.Values)
			if err != nil {
				failure = err
			}
		case *pgproto3.ErrorResponse:
			failure = errors.Errorf("error response from database: %s (SQLSTATE %s)", m.Message, m.Code)
			if m.Code == codeStaleTerm {
				failure = errors.Wrap(ErrStaleTerm, m.Message)
			}
		case *pgproto3.ReadyForQuery:
			if failure == nil && rows != 1 {
				failure = errors.Errorf("status response has %d rows, want 1", rows)
			}
			return status, columns, failure
		}
	}
}

func columnNames(m *pgproto3.RowDescription) []string {
	names := make([]string, len(m.Fields))
	for i, field := range m.Fields {
		names[i] = string(field.Name)
	}
	return names
}

func parseStatus(columns []string, values [][]byte) (Status, error) {
	var s Status
	if len(columns) != len(values) {
		return s, errors.Errorf("status response has %d columns but %d values", len(columns), len(values))
	}
	for i, column := range columns {
		text := string(values[i])
		var err error
		switch column {
		case "name":
			s.Name = text
		case "role":
			s.Role = Role(text)
		case "primary":
			s.Primary = text
		case "term":
			s.Term, err = strconv.ParseUint(text, 10, 64)
		case "received":
			s.Received, err = strconv.ParseUint(text, 10, 64)
		case "applied":
			s.Applied, err = strconv.ParseUint(text, 10, 64)
		case "log_term":
			s.LogTerm, err = strconv.ParseUint(text, 10, 64)
		}
		if err != nil {
			return s, errors.Wrapf(err, "status column %s", column)
		}
	}
	return s, nil
}
