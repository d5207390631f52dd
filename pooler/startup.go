package pooler

import (
	"context"
	"net"
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"
	"github.com/xdg-go/scram"
)

// codeStaleTerm is the SQLSTATE with which a database refuses a connection or
// statement of another term.
const codeStaleTerm = "GT001"

// codeTooManyConnections is the SQLSTATE with which a database refuses a
// connection beyond its limit.
const codeTooManyConnections = "53300"

// Sentinel errors of opening and using connections.
var (
	// ErrStaleTerm means that the database does not accept the term.
	ErrStaleTerm = errors.New("term not accepted by the database")
	// ErrConnect means that no connection could be opened.
	ErrConnect = errors.New("cannot connect to the database")
	// ErrProtocol means that the database violated the protocol.
	ErrProtocol = errors.New("protocol violation by the database")
)

// A ServerError is an ErrorResponse that ended a startup or the setting of the
// customer.
type ServerError struct {
	Code    string
	Message string
}

// Error returns the message with its SQLSTATE.
func (e *ServerError) Error() string { return e.Message + " (SQLSTATE " + e.Code + ")" }

// Is makes a refusal of the term match ErrStaleTerm.
func (e *ServerError) Is(target error) bool {
	return target == ErrStaleTerm && e.Code == codeStaleTerm
}

// Login holds the credentials with which a pool logs in to its database.
type Login struct {
	// User is the service's endpoint user.
	User     string
	Password string
	// Database is the database name given at startup.
	Database string
}

// startup logs in on a new network connection.
func startup(ctx context.Context, network net.Conn, login Login, term uint64) (*Conn, error) {
	if deadline, ok := ctx.Deadline(); ok {
		_ = network.SetDeadline(deadline)
	}
	stop := context.AfterFunc(ctx, func() { _ = network.Close() })
	conn, err := handshake(network, login, term)
	if !stop() && err == nil {
		err = errors.WithStack(context.Cause(ctx))
	}
	if err != nil {
		return nil, err
	}
	_ = network.SetDeadline(noDeadline)
	return conn, nil
}

func handshake(network net.Conn, login Login, term uint64) (*Conn, error) {
	frontend := pgproto3.NewFrontend(network, network)
	frontend.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters: map[string]string{
			"user": login.User, "database": login.Database, "client_encoding": "UTF8",
			"group_term": strconv.FormatUint(term, 10),
		},
	})
	if err := frontend.Flush(); err != nil {
		return nil, errors.Wrap(err, "send startup")
	}
	conn := newConn(network, term)
	return conn, conn.login(frontend, login)
}

// login handles the messages of the database up to its first ReadyForQuery.
func (c *Conn) login(frontend *pgproto3.Frontend, login Login) error {
	for {
		message, err := frontend.Receive()
		if err != nil {
			return errors.Wrap(err, "receive startup response")
		}
		switch message := message.(type) {
		case *pgproto3.AuthenticationCleartextPassword:
			frontend.Send(&pgproto3.PasswordMessage{Password: login.Password})
			err = frontend.Flush()
		case *pgproto3.AuthenticationSASL:
			err = authenticateSCRAM(frontend, message.AuthMechanisms, login)
		case *pgproto3.AuthenticationOk, *pgproto3.ParameterStatus, *pgproto3.NoticeResponse:
		case *pgproto3.BackendKeyData:
			c.processID = message.ProcessID
			c.secretKey = append([]byte(nil), message.SecretKey...)
		case *pgproto3.ErrorResponse:
			return &ServerError{Code: message.Code, Message: message.Message}
		case *pgproto3.ReadyForQuery:
			if frontend.ReadBufferLen() > 0 {
				return errors.Wrap(ErrProtocol, "data after startup")
			}
			return nil
		default:
			return errors.Wrapf(ErrProtocol, "unexpected %T during startup", message)
		}
		if err != nil {
			return errors.Wrap(err, "authenticate")
		}
	}
}

func authenticateSCRAM(frontend *pgproto3.Frontend, mechanisms []string, login Login) error {
	if !contains(mechanisms, "SCRAM-SHA-256") {
		return errors.Wrapf(ErrProtocol, "no supported SASL mechanism in %v", mechanisms)
	}
	// The user name is in the startup message; the server ignores the one sent
	// here.
	client, err := scram.SHA256.NewClient("", login.Password, "")
	if err != nil {
		return errors.Wrap(err, "create SCRAM client")
	}
	conversation := client.NewConversation()
	first, err := conversation.Step("")
	if err != nil {
		return errors.Wrap(err, "create first SCRAM message")
	}
	frontend.Send(&pgproto3.SASLInitialResponse{AuthMechanism: "SCRAM-SHA-256", Data: []byte(first)})
	for {
		if err := frontend.Flush(); err != nil {
			return errors.WithStack(err)
		}
		message, err := frontend.Receive()
		if err != nil {
			return errors.WithStack(err)
		}
		switch message := message.(type) {
		case *pgproto3.AuthenticationSASLContinue:
			final, err := conversation.Step(string(message.Data))
			if err != nil {
				return errors.Wrap(err, "answer SCRAM challenge")
			}
			frontend.Send(&pgproto3.SASLResponse{Data: []byte(final)})
		case *pgproto3.AuthenticationSASLFinal:
			if _, err := conversation.Step(string(message.Data)); err != nil || !conversation.Valid() {
				return errors.Wrap(ErrProtocol, "invalid SCRAM signature of the database")
			}
			return nil
		case *pgproto3.ErrorResponse:
			return &ServerError{Code: message.Code, Message: message.Message}
		default:
			return errors.Wrapf(ErrProtocol, "unexpected %T during SCRAM authentication", message)
		}
	}
}

func contains(list []string, wanted string) bool {
	for _, s := range list {
		if s == wanted {
			return true
		}
	}
	return false
}
