package acceptor

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"encoding/hex"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/executor"
)

// Codes in the place of the protocol version in a startup packet.
const (
	codeCancel = 80877102
	codeTLS    = 80877103
	codeGSS    = 80877104
)

// errCancelRequest ends a connection that carried a cancel request.
var errCancelRequest = errors.New("cancel request")

// start runs the startup of a connection and serves it on a goroutine of its
// own, whose stack has not grown by the startup.
func (c *connection) start(ctx context.Context) {
	err := c.startup(ctx)
	if err == nil {
		go c.serve(ctx)
		return
	}
	var refusal *executor.Refusal
	refused := errors.As(err, &refusal)
	defer c.acceptor.remove(c)
	remote := c.conn.RemoteAddr().String()
	reason := c.end(err)
	switch {
	case refused:
		c.acceptor.Logger.Info("connection refused", "remote", remote, "route", c.route, "key", c.key,
			"code", refusal.Code, "reason", reason)
	case errors.Is(err, errCancelRequest), errors.Is(err, io.EOF):
		// A balancer checks by connecting and leaving; that is not worth a line.
	default:
		c.acceptor.Logger.Info("connection refused", "remote", remote, "route", c.route, "key", c.key,
			"reason", reason)
	}
}

// startup brings the connection to its first ReadyForQuery.
func (c *connection) startup(ctx context.Context) error {
	c.setStartupDeadline(time.Now().Add(c.acceptor.StartupTimeout))
	message, unknownOptions, err := c.receiveStartup(ctx)
	if err != nil {
		return err
	}
	if len(unknownOptions) > 0 || message.ProtocolVersion != pgproto3.ProtocolVersion30 {
		// PostgreSQL sends the whole version here, not the minor one alone.
		negotiate := &pgproto3.NegotiateProtocolVersion{
			NewestMinorProtocol: pgproto3.ProtocolVersion30, UnrecognizedOptions: unknownOptions,
		}
		if err := c.send(negotiate); err != nil {
			return err
		}
	}
	granted, err := c.admit(ctx, message.Parameters)
	if err != nil {
		return err
	}
	if err := c.applyParameters(message.Parameters); err != nil {
		return err
	}
	if err := c.nameSession(); err != nil {
		return err
	}
	c.setStartupDeadline(time.Time{})
	if err := c.acceptor.register(c, granted.maxConnections); err != nil {
		return err
	}
	c.acceptor.Logger.Info("connection opened", "remote", c.conn.RemoteAddr().String(), "process_id", c.processID,
		"customer", c.customer, "route", c.route, "key", c.key)
	if c.acceptor.ConnectionOpened != nil {
		c.acceptor.ConnectionOpened()
	}
	return nil
}

// setStartupDeadline bounds the startup, unless the connection is killed.
func (c *connection) setStartupDeadline(deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.killed {
		c.conn.SetReadDeadline(deadline)
	}
}

// receiveStartup answers requests for encryption until the startup message
// arrives. The second result names the protocol options that are not known.
func (c *connection) receiveStartup(ctx context.Context) (*pgproto3.StartupMessage, []string, error) {
	encrypted := false
	for {
		body, err := c.reader.startup()
		if err != nil {
			return nil, nil, err
		}
		switch code := binary.BigEndian.Uint32(body); {
		case code == codeCancel:
			return nil, nil, c.receiveCancel(body)
		case code == codeTLS && !encrypted && c.acceptor.TLS != nil:
			if err := c.encrypt(ctx); err != nil {
				return nil, nil, err
			}
			encrypted = true
		case code == codeTLS, code == codeGSS:
			if _, err := c.Write([]byte{'N'}); err != nil {
				return nil, nil, err
			}
		case code>>16 != 3:
			return nil, nil, executor.RefuseNotRun(executor.CodeProtocolViolation, "unsupported protocol version")
		case c.acceptor.RequireTLS && !encrypted:
			return nil, nil, executor.RefuseNotRun(executor.CodeInvalidAuthorization, "TLS is required")
		default:
			return decodeStartup(body, code)
		}
	}
}

// decodeStartup decodes the startup message of any minor version of the
// protocol.
func decodeStartup(body []byte, version uint32) (*pgproto3.StartupMessage, []string, error) {
	binary.BigEndian.PutUint32(body, pgproto3.ProtocolVersion30)
	var message pgproto3.StartupMessage
	if err := message.Decode(body); err != nil {
		return nil, nil, malformed(err)
	}
	message.ProtocolVersion = version
	var options []string
	for name := range message.Parameters {
		if strings.HasPrefix(name, "_pq_.") {
			options = append(options, name)
		}
	}
	sort.Strings(options)
	return &message, options, nil
}

// encrypt accepts TLS. What arrived together with the request was not
// encrypted and must not be taken for a part of the session.
func (c *connection) encrypt(ctx context.Context) error {
	if c.reader.buffered() > 0 {
		return executor.RefuseNotRun(executor.CodeProtocolViolation, "data before the TLS handshake")
	}
	if _, err := c.Write([]byte{'S'}); err != nil {
		return err
	}
	encrypted := tls.Server(c.conn, c.acceptor.TLS)
	if err := encrypted.HandshakeContext(ctx); err != nil {
		return errors.Wrap(err, "TLS handshake")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn = encrypted
	return nil
}

// receiveCancel carries out a cancel request. It gets no answer.
func (c *connection) receiveCancel(body []byte) error {
	var request pgproto3.CancelRequest
	if err := request.Decode(body); err == nil {
		c.acceptor.cancelAnywhere(request.ProcessID, request.SecretKey)
	}
	return errCancelRequest
}

// admit authenticates the caller and returns what it is granted.
func (c *connection) admit(ctx context.Context, parameters map[string]string) (access, error) {
	set := c.acceptor.Set()
	user := parameters["user"]
	c.route = parameters["database"]
	if c.route == "" {
		c.route = user
	}
	keyed := !open(set, user, c.route)
	if refusal := c.acceptor.Admit(ctx, keyed); refusal != nil {
		return access{}, refusal
	}
	if keyed {
		// A name that is no key may be a secret in the wrong field, which the
		// log must not show.
		if _, known := set.Keys[user]; known {
			c.key = user
		}
		if err := c.authenticate(set, user); err != nil {
			return access{}, err
		}
	}
	granted, refusal := grant(set, c.key, c.route)
	if refusal != nil {
		return access{}, refusal
	}
	c.customer, c.verifier, c.service = granted.customer, granted.verifier, granted.service
	return granted, nil
}

// applyParameters applies the startup parameters in the order of their names.
func (c *connection) applyParameters(parameters map[string]string) error {
	names := make([]string, 0, len(parameters))
	for name := range parameters {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		if refusal := c.applyParameter(name, parameters[name]); refusal != nil {
			return refusal
		}
	}
	c.settings.keep()
	return nil
}

// nameSession makes up the name of the session that the connection is unless
// the caller names another. It cannot be guessed.
func (c *connection) nameSession() error {
	var random [12]byte
	if _, err := io.ReadFull(c.acceptor.Secrets, random[:]); err != nil {
		return errors.Wrap(err, "session name")
	}
	c.ownSession = "connection/" + hex.EncodeToString(random[:])
	return nil
}

// welcome tells the caller that it is admitted.
func (c *connection) welcome() error {
	secret := binary.BigEndian.AppendUint32(nil, c.secret)
	messages := []pgproto3.BackendMessage{&pgproto3.AuthenticationOk{}}
	for _, p := range reported {
		messages = append(messages, &pgproto3.ParameterStatus{Name: p.name, Value: p.value})
	}
	messages = append(messages, &pgproto3.BackendKeyData{ProcessID: c.processID, SecretKey: secret},
		&pgproto3.ReadyForQuery{TxStatus: c.status})
	return c.send(messages...)
}
