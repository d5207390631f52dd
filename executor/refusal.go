package executor

import "github.com/pkg/errors"

// Sentinels that a *Refusal matches with errors.Is, by its Outcome.
var (
	// ErrNotRun says that no byte of the batch reached an endpoint.
	ErrNotRun = errors.New("not run")
	// ErrOutcomeUnknown says that the batch may or may not have run.
	ErrOutcomeUnknown = errors.New("outcome unknown")
	// ErrMoved says that another host holds the service; nothing has run.
	ErrMoved = errors.New("service held by another host")
	// ErrRolledBack says that an open transaction was rolled back.
	ErrRolledBack = errors.New("transaction rolled back")
)

// Outcome says what became of a batch that was refused.
type Outcome uint8

// The outcomes of a refused batch. The zero value promises nothing.
const (
	// Unknown: the batch may have run.
	Unknown Outcome = iota
	// NotRun: no byte of the batch reached an endpoint.
	NotRun
	// Moved: as NotRun, and another host may serve the batch.
	Moved
	// RolledBack: parts of a transaction ran and were rolled back.
	RolledBack
)

// SQLSTATE codes of refusals made by the proxy itself.
const (
	CodeOutcomeUnknown       = "08007" // transaction_resolution_unknown
	CodeStatementUnknown     = "40003" // statement_completion_unknown
	CodeRolledBack           = "40000" // transaction_rollback
	CodeTooManyQueued        = "53300" // too_many_connections: queue full or deadline
	CodeRateExceeded         = "53400" // configuration_limit_exceeded
	CodeCannotServe          = "57P03" // cannot_connect_now
	CodeStopping             = "57P01" // admin_shutdown
	CodeInvalidAuthorization = "28000"
	CodeInvalidPassword      = "28P01"
	CodeUnknownRoute         = "3D000" // invalid_catalog_name
	CodeProtocolViolation    = "08P01"
	CodeTooLarge             = "54000" // program_limit_exceeded
	CodeNotSupported         = "0A000"
	CodeUndefinedParameter   = "42704" // undefined_object
	CodeInvalidParameter     = "22023" // invalid_parameter_value
	CodeQueryCanceled        = "57014"
	CodeStaleTerm            = "GT001" // from a database: the term has passed
	CodeReadOnlyTransaction  = "25006" // from a replica that was asked to write
	CodeIdleTransaction      = "25P03" // idle_in_transaction_session_timeout
	CodeInFailedTransaction  = "25P02"
	CodeUndefinedStatement   = "26000"
	CodeInternal             = "XX000"
	CodeDuplicateStatement   = "42P05"
)

// A Refusal is the error of the data path.
type Refusal struct {
	// Code is the SQLSTATE that the caller is given.
	Code string
	// Message is the text that the caller is given; it ends with "(not run)"
	// only if Outcome is NotRun or Moved.
	Message string
	// Outcome says whether the batch may have run.
	Outcome Outcome
	// Holder is the name of the host that holds the service, if Outcome is
	// Moved and the refusing host knows it.
	Holder string
}

// Error returns the message with its SQLSTATE.
func (r *Refusal) Error() string { return r.Message + " (SQLSTATE " + r.Code + ")" }

// Is makes a Refusal match the sentinel of its Outcome.
func (r *Refusal) Is(target error) bool {
	switch r.Outcome {
	case NotRun:
		return target == ErrNotRun
	case Moved:
		return target == ErrMoved || target == ErrNotRun
	case RolledBack:
		return target == ErrRolledBack
	default:
		return target == ErrOutcomeUnknown
	}
}

// RefuseNotRun returns a refusal of a batch of which nothing reached an
// endpoint.
func RefuseNotRun(code, message string) *Refusal {
	return &Refusal{Code: code, Message: message + " (not run)", Outcome: NotRun}
}

// RefuseUnknown returns a refusal of a batch that may have run.
func RefuseUnknown(code, message string) *Refusal {
	return &Refusal{Code: code, Message: message + "; outcome unknown", Outcome: Unknown}
}

// AsRefusal returns err as a *Refusal. An error of another type becomes one
// with Outcome Unknown, the only safe reading.
func AsRefusal(err error) *Refusal {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return RefuseUnknown(CodeOutcomeUnknown, err.Error())
}
