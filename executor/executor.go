// Package executor defines the contract of the data path: how a batch of a
// caller is handed to the host that holds a service, and what comes back.
// It contains types only, so that the caller side, the holder and the
// transport between hosts can be built and tested apart.
package executor

import (
	"context"
	"io"
	"time"
)

// An Opener starts exchanges with a service. The holder of a service
// implements it in the process, the messenger implements it over drpc, and
// the server implements it by choosing between the two.
type Opener interface {
	// Open starts an exchange. It does not contact an endpoint; errors are
	// *Refusal with Outcome NotRun or Moved.
	Open(ctx context.Context, attributes Attributes) (Exchange, error)
}

// An Exchange is one caller's use of a service from a first batch until the
// database reports that no transaction is open. It is not safe for concurrent
// use.
type Exchange interface {
	// Run executes one batch and streams complete backend messages, without
	// ReadyForQuery, to w. A slow w slows the endpoint down. An ErrorResponse
	// of the endpoint is part of the stream and not an error of Run. An error
	// is a *Refusal; unless its Outcome is NotRun or Moved the exchange cannot
	// be used any more. Cancelling ctx cancels the statement at the endpoint.
	Run(ctx context.Context, batch Batch, w io.Writer) (Result, error)
	// Close releases what the exchange holds. A transaction that is still
	// open is rolled back.
	Close() error
}

// Attributes say on whose behalf an exchange runs.
type Attributes struct {
	// Service is the name of the group of databases.
	Service string
	// Customer is the customer to whom the request is charged, never empty.
	Customer string
	// Key is the name (not the secret) of the key shown by the caller; it is
	// empty on a route that is open to all.
	Key string
	// Route is the name of the route the caller asked for.
	Route string
	// Revision is the configuration revision by which the entry host checked
	// the key.
	Revision uint64
	// Session identifies the session within the customer, never empty.
	Session string
	// Attaching is set on the first exchange of a connection without a session
	// name: its reads must see every write acknowledged before it.
	Attaching bool
}

// Class says what a batch may do to the data of a service.
type Class uint8

// The classes of batches. The zero value is the most careful one.
const (
	// ClassWrite may change data or the state of a transaction.
	ClassWrite Class = iota
	// ClassRead changes nothing and may run on a replica.
	ClassRead
	// ClassBegin only opens a transaction that may write.
	ClassBegin
	// ClassBeginRead only opens a transaction that is declared read only.
	ClassBeginRead
)

// A Statement is a named prepared statement that a batch refers to.
type Statement struct {
	// Name is the name under which the batch refers to the statement.
	Name string
	// Query is the text of the statement.
	Query string
	// ParameterOIDs are the parameter types given by the caller.
	ParameterOIDs []uint32
}

// A Batch is what a caller sends up to a Query or a Sync message.
type Batch struct {
	// Messages holds the encoded frontend messages, of which the last one is
	// a Query or a Sync.
	Messages []byte
	// Statements lists the prepared statements that Messages refer to but do
	// not define.
	Statements []Statement
	// Class is the class of the most demanding statement in Messages.
	Class Class
	// Idempotent is set when the caller declared that the batch may be
	// repeated.
	Idempotent bool
	// Tainting is set when the batch changes settings of the endpoint
	// connection, which is then closed instead of reused.
	Tainting bool
	// Floor is the lowest state that a read in the batch may see, from a
	// session token; the zero value adds no demand to the holder's own floor.
	Floor Position
	// MaxAge is the age up to which a read accepts old data; 0 asks for the
	// session's own writes.
	MaxAge time.Duration
	// Deadline is the time that the batch may wait and run, from the moment
	// it reaches the holder; it is positive.
	Deadline time.Duration
}

// A Result is the end of a batch that reached an endpoint.
type Result struct {
	// TxStatus is the transaction status of ReadyForQuery: 'I', 'T' or 'E'.
	TxStatus byte
	// Position is the position of the batch's commit, or the zero Position
	// when the batch committed nothing.
	Position Position
	// Replica is set when a replica served the batch.
	Replica bool
}
