// Package forwarder lets a host run operations of its clients on another host, which
// holds the connections to the databases: the protocol over drpc, the client side with
// its detection of failed hosts, and the server side.
package forwarder

import (
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/connector"
	"github.com/endiveturn/endiveturn/executor"
)

// Sentinel errors of an operation on another host.
var (
	// ErrNotSent means that nothing of the statement was sent, so that it has not run.
	ErrNotSent = errors.New("statement was not sent to the pool host")
	// ErrLost means that the connection failed before the response. The statement may
	// have run.
	ErrLost = errors.New("connection to the pool host was lost")
	// ErrSilent means that the other host sent nothing for long. The statement may have
	// run.
	ErrSilent = errors.New("pool host is silent")
	// ErrTimeout means that there was no response at the deadline. The statement may have
	// run.
	ErrTimeout = errors.New("pool host did not answer in time")
	// ErrTooLarge means that the statement is too large to be forwarded. Nothing was sent.
	ErrTooLarge = errors.New("statement is too large to be forwarded")
)

const (
	// heartbeatInterval is how often a host that runs an operation for another one shows
	// that it works on it. It leaves a fifth of the promised 100 ms for delays.
	heartbeatInterval = 80 * time.Millisecond
	// SilenceTimeout is how long a pool host with an outstanding operation may send
	// nothing before it is suspected.
	SilenceTimeout = 300 * time.Millisecond
	// dialTimeout bounds the opening of a connection with its handshake.
	dialTimeout = 250 * time.Millisecond
	// maxRequest is the size of the largest statement that is forwarded, with its session
	// variables and its prepared statement.
	maxRequest = 2 << 20
	// maxRowsPerFrame is the number of bytes of rows in one frame of a response.
	maxRowsPerFrame = 256 << 10
	// maxReadBuffer is the largest frame that is received.
	maxReadBuffer = 4 << 20
)

// An Operation describes an operation to the host that runs it. It is sent with the
// operation's first statement.
type Operation struct {
	// Customer is the name of the customer whose key was checked.
	Customer string
	// Route is the route of the client. Its database name is not sent.
	Route cataloger.Route
	// Elapsed is the time since the operation began at the entry host.
	Elapsed time.Duration
	// Begin is the verb with which the transaction begins, or VerbUnknown for a single
	// statement.
	Begin executor.Verb
	// Floor is the position of the session's last commit in the service.
	Floor executor.Position
	// Tried holds the IDs of the databases on which the operation has failed before.
	Tried []string
}

// A Prepared is the prepared statement that a statement refers to.
type Prepared struct {
	// Name is the statement's name on connections to databases.
	Name   string
	Text   string
	Writes bool
}

// A Request is a statement with what the host that runs it needs.
type Request struct {
	// Operation is nil except in the first request of an operation.
	Operation *Operation
	Variables connector.Variables
	// Prepared is nil unless the statement refers to a prepared one.
	Prepared  *Prepared
	Statement executor.Request

	// number is the number of the request on its connection, 0 for a handshake.
	number uint64
	// sentAt is when the request was sent, on a clock of the sender that starts with the
	// connection, and validFor how long it was awaited then. Both are sent in whole
	// milliseconds; the former release sends neither.
	sentAt, validFor time.Duration
}

// A Reply is the response of the host that ran a statement.
type Reply struct {
	Response executor.Response
	// Refused is set if the host has not run the operation and another host may.
	Refused bool
	// Stopping is set while the host stops and takes no new operations.
	Stopping bool
	// MayHaveRun is set if a database may have run the statement.
	MayHaveRun bool
	// FromPrimary is set if the response comes from the primary, so that its position is
	// the end of the log.
	FromPrimary bool
	// Database is the ID of the database of the last attempt, and Reason its outcome.
	Database string
	Reason   string
	// Attempts is the number of attempts.
	Attempts int
	// AssignmentRevision is the revision of the primary assignment in force.
	AssignmentRevision int64

	number uint64
	// heartbeat is set in frames that only show that the host works on the request.
	heartbeat bool
	// more is set in frames that are followed by another one with the rest of the rows.
	more bool
}

// EndsOperation reports whether the operation has ended with the reply: no transaction
// is open.
func (r *Reply) EndsOperation() bool {
	return r.Refused || r.Response.State != executor.StateTransaction
}
