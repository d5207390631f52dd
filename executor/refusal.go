package executor

import (
	"strings"

	"github.com/pkg/errors"
)

// Sentinel errors that a *Refusal matches with errors.Is, depending on its
// Outcome.
var (
	// ErrNotRun reports that no byte of the batch reached an endpoint.
	ErrNotRun = errors.New("not run")
	// ErrOutcomeUnknown reports that the batch may or may not have run.
	ErrOutcomeUnknown = errors.New("outcome unknown")
	// ErrHeldElsewhere reports that another host holds the service; nothing has
	// run.
	ErrHeldElsewhere = errors.New("service held by another host")
	// ErrRolledBack reports that an open transaction was rolled back.
	ErrRolledBack = errors.New("transaction rolled back")
)

// Outcome is what is known about the execution of a refused batch.
type Outcome uint8

// The outcomes of a refused batch. The zero value guarantees nothing.
const (
	// Unknown means that the batch may have run.
	Unknown Outcome = iota
	// NotRun means that no byte of the batch reached an endpoint.
	NotRun
	// HeldElsewhere means the same as NotRun, and that another host may serve the
	// batch.
	HeldElsewhere
	// RolledBack means that parts of a transaction ran and were rolled back.
	RolledBack
)

// SQLSTATE codes of refusals that the proxy itself creates.
const (
	CodeOutcomeUnknown       = "08007" // transaction_resolution_unknown
	CodeStatementUnknown     = "40003" // statement_completion_unknown
	CodeRolledBack           = "40000" // transaction_rollback
	CodeTooManyQueued        = "53300" // too_many_connections: queue full or deadline exceeded
	CodeOutOfMemory          = "53200" // out_of_memory: the memory for clients is used up
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
	CodeStaleTerm            = "GT001" // from a database: a newer term has begun
	CodeReadOnlyTransaction  = "25006" // from a replica that received a write
	CodeIdleTransaction      = "25P03" // idle_in_transaction_session_timeout
	CodeInFailedTransaction  = "25P02"
	CodeUndefinedStatement   = "26000"
	CodeInternal             = "XX000"
	CodeDuplicateStatement   = "42P05"
)

// A Refusal is the error type of the data path.
type Refusal struct {
	// Code is the SQLSTATE that is sent to the client.
	Code string
	// Message is the text that is sent to the client; it ends with NotRunSuffix
	// only if Outcome is NotRun or HeldElsewhere.
	Message string
	// Outcome states whether the batch may have run.
	Outcome Outcome
	// Holder is the name of the host that holds the service, if Outcome is
	// HeldElsewhere and the holder is in the view of the refusing host.
	Holder string
}

// Error returns the message with its SQLSTATE.
func (r *Refusal) Error() string { return r.Message + " (SQLSTATE " + r.Code + ")" }

// Is reports whether target is a sentinel error that corresponds to the
// Outcome.
func (r *Refusal) Is(target error) bool {
	switch r.Outcome {
	case NotRun:
		return target == ErrNotRun
	case HeldElsewhere:
		return target == ErrHeldElsewhere || target == ErrNotRun
	case RolledBack:
		return target == ErrRolledBack
	default:
		return target == ErrOutcomeUnknown
	}
}

// NotRunSuffix ends the message of a refusal of a batch that has not run.
const NotRunSuffix = "(not run)"

// RefuseNotRun returns a refusal of a batch of which nothing reached an
// endpoint.
func RefuseNotRun(code, message string) *Refusal {
	return &Refusal{Code: code, Message: message + " " + NotRunSuffix, Outcome: NotRun}
}

// RefuseUnknown returns a refusal of a batch that may have run.
func RefuseUnknown(code, message string) *Refusal {
	return &Refusal{Code: code, Message: message + "; outcome unknown", Outcome: Unknown}
}

// AfterUnknownOutcome returns the refusal of a batch whose last attempt was refused
// with r and of which an earlier attempt may have run, since r says nothing about that
// attempt. A canceled batch that cannot write keeps its code.
func (r *Refusal) AfterUnknownOutcome(mayWrite bool) *Refusal {
	if r.Outcome == Unknown {
		return r
	}
	code := CodeOutcomeUnknown
	if !mayWrite && r.Code == CodeQueryCanceled {
		code = r.Code
	}
	return RefuseUnknown(code, "answer lost, and retry refused: "+strings.TrimSuffix(r.Message, " "+NotRunSuffix))
}

// AsRefusal returns err as a *Refusal. An error of another type becomes a
// refusal with Outcome Unknown, since it is not known whether the batch ran.
func AsRefusal(err error) *Refusal {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return RefuseUnknown(CodeOutcomeUnknown, err.Error())
}
