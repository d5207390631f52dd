package executor

import "time"

// A Verb says what a statement asks for.
type Verb uint8

// The verbs of statements. The zero value is none of them.
const (
	VerbUnknown Verb = iota
	// VerbBegin opens a transaction that may write.
	VerbBegin
	// VerbBeginRead opens a transaction that only reads.
	VerbBeginRead
	VerbCommit
	VerbRollback
	VerbRead
	VerbWrite
	// VerbSet gives a session value, whose name is Name.
	VerbSet
	// VerbPrepare names a statement, which reads or writes as Writes says.
	VerbPrepare
	// VerbExecute runs the prepared statement Name.
	VerbExecute
	// VerbDeallocate forgets the prepared statement Name.
	VerbDeallocate
	// VerbDiscard forgets the values and prepared statements of a connection.
	VerbDiscard
	// VerbStatus asks a database for its role and log.
	VerbStatus
	// VerbDemote makes a primary of a term below Term a replica.
	VerbDemote
)

// A Request is one statement of a client or of the proxy itself.
type Request struct {
	// ID is the client's request identifier; empty on statements of the proxy.
	ID   string
	Verb Verb
	// Name is the name of a session value or of a prepared statement.
	Name string
	// Arguments is what follows the verb and, where there is one, the name; it
	// is never changed on its way to a database.
	Arguments string
	// Writes is set on VerbPrepare of a statement that writes.
	Writes bool
	// Floor is the position that a database's log must contain before it
	// begins the statement; zero demands nothing.
	Floor Position
	// Term accompanies VerbDemote.
	Term uint64
}

// Code says why a statement failed.
type Code uint8

// The codes of failed statements. Those up to CodeTooMany promise that nothing
// of the operation is kept.
const (
	// CodeNone: the statement succeeded.
	CodeNone Code = iota
	CodeBusy
	CodeAborted
	CodeLagging
	CodeReadOnly
	CodeMisrouted
	CodeTooMany
	CodeInDoubt
	CodeTimedOut
	CodeRunFailed
	CodeMalformed
	CodeNoSuchStatement
	CodeNoSuchDatabase
	CodeUnauthenticated
	// CodeOther is a code that the proxy does not know.
	CodeOther
)

var codeNames = [...]string{
	"none", "busy", "aborted", "lagging", "read_only", "misrouted", "too_many", "in_doubt", "timed_out", "run_failed",
	"malformed", "no_such_statement", "no_such_database", "unauthenticated", "other",
}

// String returns the name that is used in logs and metrics.
func (c Code) String() string {
	if int(c) >= len(codeNames) {
		return "other"
	}
	return codeNames[c]
}

// Promises reports whether the code says that nothing of the operation is
// kept.
func (c Code) Promises() bool { return c >= CodeBusy && c <= CodeTooMany }

// NotRun reports whether a database that answers with the code has not run the
// statement.
func (c Code) NotRun() bool {
	switch c {
	case CodeBusy, CodeLagging, CodeReadOnly, CodeMisrouted, CodeTooMany, CodeNoSuchStatement:
		return true
	default:
		return false
	}
}

// The states of a session after a statement.
const (
	StateIdle        = 'I'
	StateTransaction = 'T'
	StateFailed      = 'E'
)

// A Reply is the whole answer to a statement.
type Reply struct {
	// Rows holds the encoded rows as the database sent them.
	Rows []byte
	// Signature proves that a database ran the statement.
	Signature string
	// Code is CodeNone if the statement succeeded.
	Code Code
	// Text explains a failure; it holds the unknown word of CodeOther.
	Text string
	// State is one of the states of a session.
	State byte
	// Position is where the database's log ended.
	Position Position
}

// A DatabaseStatus is a database's own report.
type DatabaseStatus struct {
	// Primary is set if the database leads.
	Primary bool
	// Term is the term of the newest entry or lead that the database knows.
	Term uint64
	// Received is the last position that the database holds.
	Received Position
	// HeldTerm is the term above which the database receives nothing.
	HeldTerm uint64
	// Lag is how far applying is behind receiving.
	Lag time.Duration
	// Busy is the number of slots in use.
	Busy int
	// Connections is the number of open connections of all hosts.
	Connections int
}

// Before reports whether p lies in an earlier term than q or earlier in the
// same term. A new term may begin below the end of the former one.
func (p Position) Before(q Position) bool {
	if p.Term != q.Term {
		return p.Term < q.Term
	}
	return p.Offset < q.Offset
}
