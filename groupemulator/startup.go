package groupemulator

import (
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// adminUser is the user name of administrative connections.
const adminUser = "group_admin"

// customerSetting is the name of the setting for the customer on whose behalf
// statements run.
const customerSetting = "endiveturn.customer"

// reportedSettings are the settings reported to the client at startup.
var reportedSettings = [][2]string{
	{"server_version", "17.0"},
	{"server_encoding", "UTF8"},
	{"client_encoding", "UTF8"},
	{"DateStyle", "ISO, MDY"},
	{"TimeZone", "UTC"},
	{"integer_datetimes", "on"},
	{"standard_conforming_strings", "on"},
}

// startUp receives the startup message, authenticates the client and reports
// whether the session continues.
func (s *session) startUp() bool {
	msg := s.receiveStartup()
	if msg == nil {
		return false
	}
	if err := s.authorizeConnection(msg.Parameters); err != nil {
		err.fatal = true
		if err.code == codeStaleTerm {
			s.db.recorder.staleTerms.Add(1)
		}
		s.send(err.response())
		s.flush()
		return false
	}
	s.send(&pgproto3.AuthenticationOk{})
	for _, p := range reportedSettings {
		s.send(&pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	s.send(&pgproto3.BackendKeyData{ProcessID: s.pid, SecretKey: s.secret[:]})
	s.send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	return s.flush()
}

// receiveStartup handles encryption and cancel requests and returns the startup
// message. It returns nil if the connection ends without one.
func (s *session) receiveStartup() *pgproto3.StartupMessage {
	for {
		msg, err := s.backend.ReceiveStartupMessage()
		if err != nil || !s.db.faults.waitUntilClear(faultsBlockingClients, s.closed) {
			return nil
		}
		switch msg := msg.(type) {
		case *pgproto3.StartupMessage:
			return msg
		case *pgproto3.CancelRequest:
			s.db.cancel(msg.ProcessID, msg.SecretKey)
			return nil
		default:
			if _, err := s.conn.Write([]byte{'N'}); err != nil {
				return nil
			}
		}
	}
}

// authorizeConnection checks the user, the password, the connection limit and
// the term.
func (s *session) authorizeConnection(parameters map[string]string) *sqlError {
	user := parameters["user"]
	s.admin = user == adminUser
	if !s.admin && s.db.group.User != "" && user != s.db.group.User {
		return sqlErrorf(codeWrongUser, "role %q does not exist", user)
	}
	if err := s.authenticate(user); err != nil {
		return err
	}
	// The delay comes before the limit check, so that a client that closes a
	// connection and immediately opens another is not refused because of the
	// closed one.
	if err := s.sleep(time.Duration(s.db.connectCost.Load())); err != nil {
		return err
	}
	count, limit := &s.db.server.data, s.db.member.Connections
	if s.admin {
		count, limit = &s.db.server.admin, maxAdminConnections
	}
	if !count.reserve(limit) {
		s.db.recorder.refusedConnections.Add(1)
		return sqlErrorf(codeTooManyConnections, "sorry, too many clients already")
	}
	s.openCount = count
	for name, v := range parameters {
		if name != "user" && name != "database" && name != "group_term" {
			s.settings[strings.ToLower(name)] = v
		}
	}
	s.applyCustomerSetting()
	return s.bindTerm(parameters["group_term"])
}

func (s *session) authenticate(user string) *sqlError {
	password := s.db.group.Password
	if s.admin {
		password = s.db.group.AdminPassword
	}
	if password == "" {
		return nil
	}
	s.send(&pgproto3.AuthenticationCleartextPassword{})
	if !s.flush() {
		return sqlErrorf(codeProtocol, "connection lost")
	}
	_ = s.backend.SetAuthType(pgproto3.AuthTypeCleartextPassword)
	msg, err := s.backend.Receive()
	if err != nil || !s.db.faults.waitUntilClear(faultsBlockingClients, s.closed) {
		return sqlErrorf(codeProtocol, "connection lost")
	}
	got, ok := msg.(*pgproto3.PasswordMessage)
	if !ok || got.Password != password {
		return sqlErrorf(codeWrongPassword, "password authentication failed for user %q", user)
	}
	return nil
}

// bindTerm binds the connection to the current term. A client that requests no
// term gets the current one and loses its connection when the term is raised.
func (s *session) bindTerm(requested string) *sqlError {
	s.db.mu.Lock()
	defer s.db.mu.Unlock()
	s.term = s.db.term
	if requested != "" {
		term, err := strconv.ParseUint(requested, 10, 64)
		if err != nil {
			return sqlErrorf(codeInvalidText, "invalid group_term %q", requested)
		}
		s.term = term
	}
	if !s.admin && s.term != s.db.term {
		return errStaleTerm(s.term, s.db.term)
	}
	if err := s.endReason(); err != nil {
		return err
	}
	s.started = true
	return nil
}

// applyCustomerSetting updates the session after a change of the customer
// setting.
func (s *session) applyCustomerSetting() {
	if customer := s.settings[customerSetting]; customer != s.customer || s.statementCounter == nil {
		s.customer = customer
		s.statementCounter = s.db.recorder.statementCounter(customer)
	}
}
