package executor

import (
	"time"

	"github.com/endiveturn/endiveturn/budgeter"
)

// Verb is the kind of a statement.
type Verb uint8

// The verbs of statements. The zero value is not a valid verb.
const (
	VerbUnknown Verb = iota
	// VerbBegin begins a transaction that may write.
	VerbBegin
	// VerbBeginRead begins a read-only transaction.
	VerbBeginRead
	VerbCommit
	VerbRollback
	VerbRead
	VerbWrite
	// VerbSet sets the session variable Name.
	VerbSet
	// VerbPrepare prepares a statement under Name. Writes reports whether it
	// writes.
	VerbPrepare
	// VerbExecute runs the prepared statement Name.
	VerbExecute
	// VerbDeallocate deallocates the prepared statement Name.
	VerbDeallocate
	// VerbDiscard discards all session variables and prepared statements of a
	// connection.
	VerbDiscard
	// VerbStatus requests the role and log position of a database.
	VerbStatus
	// VerbDemote makes a primary of a term below Term a replica.
	VerbDemote
)

// A Request is one statement of a client or of the proxy itself.
type Request struct {
	// ID is the client's request ID; empty for statements of the proxy itself.
	ID   string
	Verb Verb
	// Name is the name of a session variable or of a prepared statement.
	Name string
	// Arguments is the text that follows the verb and the name, if there is
	// one. It is forwarded to databases unchanged.
	Arguments string
	// Writes is set on VerbPrepare for a statement that writes.
	Writes bool
	// Floor is the position that a database's log must contain before the
	// database executes the statement; the zero Position requires nothing.
	Floor Position
	// Term is the term argument of VerbDemote.
	Term uint64
	// Account is that of the client's connection, from which the response takes its
	// memory; nil sets no limit.
	Account *budgeter.Account
}

// Code is the reason for the failure of a statement.
type Code uint8

// The codes of failed statements. The codes from CodeBusy to CodeRateLimited
// guarantee that no effect of the operation is kept.
const (
	// CodeNone means that the statement succeeded.
	CodeNone Code = iota
	CodeBusy
	CodeAborted
	CodeLagging
	CodeReadOnly
	CodeMisrouted
	CodeRateLimited
	CodeInDoubt
	CodeTimedOut
	CodeRunFailed
	CodeMalformed
	CodeNoSuchStatement
	CodeNoSuchDatabase
	CodeUnauthenticated
	// CodeOther stands for a code that the proxy does not recognize.
	CodeOther
	// CodeResultTooLarge means that the statement ran and that its result was dropped,
	// since there was no memory for it. The statement must not be repeated.
	CodeResultTooLarge
)

var codeNames = [...]string{
	"none", "busy", "aborted", "lagging", "read_only", "misrouted", "too_many", "in_doubt", "timed_out", "run_failed",
	"malformed", "no_such_statement", "no_such_database", "unauthenticated", "other",
	"result_too_large",
}

// String returns the name of the code for logs and metrics.
func (c Code) String() string {
	if int(c) >= len(codeNames) {
		return "other"
	}
	return codeNames[c]
}

// GuaranteesNoEffect reports whether the code guarantees that no effect of the
// operation is kept.
func (c Code) GuaranteesNoEffect() bool { return c >= CodeBusy && c <= CodeRateLimited }

// NotRun reports whether a database that responds with the code has not run the
// statement.
func (c Code) NotRun() bool {
	switch c {
	case CodeBusy, CodeLagging, CodeReadOnly, CodeMisrouted, CodeRateLimited, CodeNoSuchStatement:
		return true
	default:
		return false
	}
}

// The transaction states of a session after a statement.
const (
	StateIdle        = 'I'
	StateTransaction = 'T'
	StateFailed      = 'E'
)

// A Response is the complete response to a statement.
type Response struct {
	// Rows holds the encoded rows as sent by the database.
	Rows []byte
	// Signature proves that a database ran the statement.
	Signature string
	// Code is CodeNone if the statement succeeded.
	Code Code
	// Text describes a failure; with CodeOther it holds the unknown code.
	Text string
	// State is the transaction state of the session.
	State byte
	// Position is the end of the database's log.
	Position Position
}

// A DatabaseStatus is the status that a database reports about itself.
type DatabaseStatus struct {
	// Primary is set if the database considers itself the primary.
	Primary bool
	// Term is the highest term known to the database, from its newest log entry
	// or from a change of primary.
	Term uint64
	// Received is the position of the last log entry that the database has
	// received.
	Received Position
	// MaxReceiveTerm is the term above which the database receives nothing.
	MaxReceiveTerm uint64
	// Lag is the delay between receiving and applying log entries.
	Lag time.Duration
	// BusySlots is the number of slots in use.
	BusySlots int
	// Connections is the number of open connections of all hosts.
	Connections int
}

// Before reports whether p is in an earlier term than q, or in the same term at
// a lower offset. A new term may begin at a lower offset than the end of the
// previous one.
func (p Position) Before(q Position) bool {
	if p.Term != q.Term {
		return p.Term < q.Term
	}
	return p.Offset < q.Offset
}
