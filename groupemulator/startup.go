package groupemulator

import (
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// adminUser is the user name of administrative connections.
const adminUser = "group_admin"

// customerSetting names the customer on whose behalf statements run.
const customerSetting = "endiveturn.customer"

// reportedSettings are told to the client at startup.
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
// whether the session goes on.
func (s *session) startUp() bool {
	msg := s.receiveStartup()
	if msg == nil {
		return false
	}
	if err := s.admitConnection(msg.Parameters); err != nil {
		err.fatal = true
		if err.code == codeStaleTerm {
			s.db.ledger.stale.Add(1)
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

// receiveStartup answers requests for encryption and cancels, and returns the
// startup message, or nil when the connection is over.
func (s *session) receiveStartup() *pgproto3.StartupMessage {
	for {
		msg, err := s.backend.ReceiveStartupMessage()
		if err != nil || !s.db.gate.wait(faultsDelivery, s.closed) {
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

// admitConnection checks user, password, limit and term.
func (s *session) admitConnection(parameters map[string]string) *sqlError {
	user := parameters["user"]
	s.admin = user == adminUser
	if !s.admin && s.db.group.User != "" && user != s.db.group.User {
		return failf(codeWrongUser, "role %q does not exist", user)
	}
	if err := s.authenticate(user); err != nil {
		return err
	}
	// The cost comes before the limit is checked, so that a client that closes
	// a connection and opens another at once is not refused for the old one.
	if err := s.sleep(time.Duration(s.db.connectCost.Load())); err != nil {
		return err
	}
	count, limit := &s.db.server.data, s.db.member.Connections
	if s.admin {
		count, limit = &s.db.server.admin, maxAdminConnections
	}
	if !count.reserve(limit) {
		s.db.ledger.refused.Add(1)
		return failf(codeTooManyConnections, "sorry, too many clients already")
	}
	s.count = count
	for name, v := range parameters {
		if name != "user" && name != "database" && name != "group_term" {
			s.settings[strings.ToLower(name)] = v
		}
	}
	s.setCustomer()
	return s.admitTerm(parameters["group_term"])
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
		return failf(codeProtocol, "connection lost")
	}
	_ = s.backend.SetAuthType(pgproto3.AuthTypeCleartextPassword)
	msg, err := s.backend.Receive()
	if err != nil || !s.db.gate.wait(faultsDelivery, s.closed) {
		return failf(codeProtocol, "connection lost")
	}
	got, ok := msg.(*pgproto3.PasswordMessage)
	if !ok || got.Password != password {
		return failf(codeWrongPassword, "password authentication failed for user %q", user)
	}
	return nil
}

// admitTerm binds the connection to the present term. A client that gives no
// term gets the present one, and loses its connection at the next raise.
func (s *session) admitTerm(given string) *sqlError {
	s.db.mu.Lock()
	defer s.db.mu.Unlock()
	s.term = s.db.term
	if given != "" {
		term, err := strconv.ParseUint(given, 10, 64)
		if err != nil {
			return failf(codeInvalidText, "invalid group_term %q", given)
		}
		s.term = term
	}
	if !s.admin && s.term != s.db.term {
		return staleTerm(s.term, s.db.term)
	}
	if err := s.ended(); err != nil {
		return err
	}
	s.started = true
	return nil
}

// setCustomer puts the customer setting in force.
func (s *session) setCustomer() {
	if customer := s.settings[customerSetting]; customer != s.customer || s.counter == nil {
		s.customer = customer
		s.counter = s.db.ledger.counter(customer)
	}
}
