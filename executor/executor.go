// Package executor defines the interfaces and types of the data path: how a
// client's batch is passed to the host that holds a service, and what is
// returned. It contains no implementation, so that the client side, the holder
// and the transport between hosts can be built and tested separately.
package executor

import (
	"context"
	"io"
	"time"
)

// An Opener opens exchanges with a service. The holder of a service implements
// it locally, the messenger implements it over drpc, and the server implements
// it by choosing between the two.
type Opener interface {
	// Open opens an exchange. It does not contact an endpoint; errors are of
	// type *Refusal with Outcome NotRun or HeldElsewhere.
	Open(ctx context.Context, attributes Attributes) (Exchange, error)
}

// An Exchange is one client's use of a service, from a first batch until the
// database reports that no transaction is open. It is not safe for concurrent
// use.
type Exchange interface {
	// Run executes one batch and streams complete backend messages, without
	// ReadyForQuery, to w. A slow w applies backpressure to the endpoint. An
	// ErrorResponse of the endpoint is part of the stream and not an error of
	// Run. Errors are of type *Refusal; unless the Outcome is NotRun or
	// HeldElsewhere, the exchange cannot be used afterwards. Cancelling ctx
	// cancels the statement at the endpoint.
	Run(ctx context.Context, batch Batch, w io.Writer) (Result, error)
	// Close releases the resources of the exchange and rolls back an open
	// transaction.
	Close() error
}

// Attributes identify the client on whose behalf an exchange runs.
type Attributes struct {
	// Service is the name of the group of databases.
	Service string
	// Customer is the name of the customer whose limits the request counts
	// against, never empty.
	Customer string
	// Key is the name (not the secret) of the key that the client presented; it
	// is empty on a public route.
	Key string
	// Route is the name of the route that the client requested.
	Route string
	// Revision is the configuration revision with which the entry host checked
	// the key.
	Revision uint64
	// Session identifies the session within the customer, never empty.
	Session string
	// FirstExchange is set on the first exchange of a connection without a session
	// name: its reads must return every write that was acknowledged before.
	FirstExchange bool
}

// Class classifies batches by what they may do to the data of a service.
type Class uint8

// The classes of batches. The zero value is the most restrictive.
const (
	// ClassWrite may change data or the state of a transaction.
	ClassWrite Class = iota
	// ClassRead changes nothing and may run on a replica.
	ClassRead
	// ClassBegin only begins a transaction that may write.
	ClassBegin
	// ClassBeginRead only begins a transaction that is declared read only.
	ClassBeginRead
)

// A Statement is a named prepared statement that a batch refers to.
type Statement struct {
	// Name is the name by which the batch refers to the statement.
	Name string
	// Query is the text of the statement.
	Query string
	// ParameterOIDs are the parameter types that the client declared.
	ParameterOIDs []uint32
}

// A Batch holds the messages that a client sends up to and including a Query or
// Sync message.
type Batch struct {
	// Messages holds the encoded frontend messages, of which the last one is a
	// Query or a Sync.
	Messages []byte
	// Statements lists the prepared statements that Messages refer to but do
	// not define.
	Statements []Statement
	// Class is the most restrictive class of the statements in Messages.
	Class Class
	// Idempotent is set if the client declared that the batch may be retried.
	Idempotent bool
	// ChangesConnectionState is set if the batch may leave state on the endpoint
	// connection, such as settings, temporary tables or advisory locks. The
	// connection is then closed instead of reused.
	ChangesConnectionState bool
	// Floor is the minimum position, taken from a session token, of the state
	// that a read in the batch returns; the zero value adds no requirement to
	// the holder's own floor.
	Floor Position
	// MaxAge is the maximum staleness that a read accepts; 0 requires that the
	// result includes the session's own writes.
	MaxAge time.Duration
	// Timeout is the time that the batch may wait and run, measured from its
	// arrival at the holder; it is positive.
	Timeout time.Duration
}

// A Result is the result of a batch that reached an endpoint.
type Result struct {
	// TxStatus is the transaction status of ReadyForQuery: 'I', 'T' or 'E'.
	TxStatus byte
	// Position is the position of the batch's commit, or the zero Position if
	// the batch committed nothing.
	Position Position
	// Replica is set if a replica served the batch.
	Replica bool
}
