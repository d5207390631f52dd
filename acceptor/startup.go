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

// Request codes that take the place of the protocol version in a startup
// packet.
const (
	cancelRequestCode = 80877102
	sslRequestCode    = 80877103
	gssEncRequestCode = 80877104
)

// errCancelRequest ends a connection that was opened for a cancel request.
var errCancelRequest = errors.New("cancel request")

// start runs the startup of a connection. It then serves the connection on a
// new goroutine, whose stack has not grown during the startup.
func (c *connection) start(ctx context.Context) {
	err := c.startup(ctx)
	if err == nil {
		go c.serveConnection(ctx)
		return
	}
	var refusal *executor.Refusal
	refused := errors.As(err, &refusal)
	defer c.acceptor.unregister(c)
	remote := c.conn.RemoteAddr().String()
	reason := c.closeWithReason(err)
	switch {
	case refused:
		c.acceptor.Logger.Info("connection refused", "remote", remote, "route", c.route, "key", c.key,
			"code", refusal.Code, "reason", reason)
	case errors.Is(err, errCancelRequest), errors.Is(err, io.EOF):
		// Not logged: load balancers check the host by connecting and
		// disconnecting.
	default:
		c.acceptor.Logger.Info("connection refused", "remote", remote, "route", c.route, "key", c.key,
			"reason", reason)
	}
}

// startup receives the startup message, authorizes the client and registers the
// connection. The response is sent by sendStartupResponse.
func (c *connection) startup(ctx context.Context) error {
	c.setStartupDeadline(time.Now().Add(c.acceptor.StartupTimeout))
	message, unknownOptions, err := c.receiveStartup(ctx)
	if err != nil {
		return err
	}
	if len(unknownOptions) > 0 || message.ProtocolVersion != pgproto3.ProtocolVersion30 {
		// PostgreSQL sends the full version here, not only the minor one.
		negotiation := &pgproto3.NegotiateProtocolVersion{
			NewestMinorProtocol: pgproto3.ProtocolVersion30, UnrecognizedOptions: unknownOptions,
		}
		if err := c.send(negotiation); err != nil {
			return err
		}
	}
	granted, err := c.authorize(ctx, message.Parameters)
	if err != nil {
		return err
	}
	if err := c.applyParameters(message.Parameters); err != nil {
		return err
	}
	if err := c.generateDefaultSession(); err != nil {
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

// setStartupDeadline sets the read deadline unless the connection is
// terminated.
func (c *connection) setStartupDeadline(deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.terminated {
		c.conn.SetReadDeadline(deadline)
	}
}

// receiveStartup responds to encryption requests until the startup message
// arrives. The second result lists the unknown protocol options.
func (c *connection) receiveStartup(ctx context.Context) (*pgproto3.StartupMessage, []string, error) {
	encrypted := false
	for {
		body, err := c.reader.startupPacket()
		if err != nil {
			return nil, nil, err
		}
		switch code := binary.BigEndian.Uint32(body); {
		case code == cancelRequestCode:
			return nil, nil, c.handleCancelRequest(body)
		case code == sslRequestCode && !encrypted && c.acceptor.TLS != nil:
			if err := c.upgradeToTLS(ctx); err != nil {
				return nil, nil, err
			}
			encrypted = true
		case code == sslRequestCode, code == gssEncRequestCode:
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

// decodeStartup decodes a startup message of any minor protocol version.
func decodeStartup(body []byte, version uint32) (*pgproto3.StartupMessage, []string, error) {
	binary.BigEndian.PutUint32(body, pgproto3.ProtocolVersion30)
	var message pgproto3.StartupMessage
	if err := message.Decode(body); err != nil {
		return nil, nil, refuseMalformed(err)
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

// upgradeToTLS accepts a TLS request. Data that arrived together with the
// request was not encrypted and must not become part of the session.
func (c *connection) upgradeToTLS(ctx context.Context) error {
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

// handleCancelRequest processes a cancel request, which gets no response.
func (c *connection) handleCancelRequest(body []byte) error {
	var request pgproto3.CancelRequest
	if err := request.Decode(body); err == nil {
		c.acceptor.routeCancel(request.ProcessID, request.SecretKey)
	}
	return errCancelRequest
}

// authorize authenticates the client and returns the access that it is granted.
func (c *connection) authorize(ctx context.Context, parameters map[string]string) (access, error) {
	config := c.acceptor.Config()
	user := parameters["user"]
	c.route = parameters["database"]
	if c.route == "" {
		c.route = user
	}
	requiresKey := !allowsKeyless(config, user, c.route)
	if refusal := c.acceptor.Admit(ctx, requiresKey); refusal != nil {
		return access{}, refusal
	}
	if requiresKey {
		// A user name that is not a key may be a secret in the wrong field,
		// which must not be logged.
		if _, known := config.Keys[user]; known {
			c.key = user
		}
		if err := c.authenticate(config, user); err != nil {
			return access{}, err
		}
	}
	granted, refusal := grant(config, c.key, c.route)
	if refusal != nil {
		return access{}, refusal
	}
	if err := c.account.SetCustomer(granted.customer); err != nil {
		return access{}, executor.RefuseNotRun(executor.CodeTooManyQueued, err.Error())
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
	c.settings.saveInitial()
	return nil
}

// generateDefaultSession generates the identifier of the session that the
// connection has unless the client names one. It cannot be guessed.
func (c *connection) generateDefaultSession() error {
	var random [12]byte
	if _, err := io.ReadFull(c.acceptor.Rand, random[:]); err != nil {
		return errors.Wrap(err, "generate session identifier")
	}
	c.defaultSession = "connection/" + hex.EncodeToString(random[:])
	return nil
}

// sendStartupResponse completes the startup with AuthenticationOk, the reported
// parameters, the cancel key and ReadyForQuery.
func (c *connection) sendStartupResponse() error {
	secret := binary.BigEndian.AppendUint32(nil, c.secret)
	messages := []pgproto3.BackendMessage{&pgproto3.AuthenticationOk{}}
	for _, p := range reportedParameters {
		messages = append(messages, &pgproto3.ParameterStatus{Name: p.name, Value: p.value})
	}
	messages = append(messages, &pgproto3.BackendKeyData{ProcessID: c.processID, SecretKey: secret},
		&pgproto3.ReadyForQuery{TxStatus: c.status})
	return c.send(messages...)
}
