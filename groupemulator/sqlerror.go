package groupemulator

import (
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"
)

// SQLSTATE codes that the databases return.
const (
	codeStaleTerm           = "GT001"
	codeReadOnly            = "25006" // read_only_sql_transaction
	codeTooManyConnections  = "53300"
	codeDuplicateKey        = "23505" // unique_violation
	codeNotNull             = "23502" // not_null_violation
	codeInFailedTransaction = "25P02"
	codeUnknownStatement    = "26000" // invalid_sql_statement_name
	codeUnknownPortal       = "34000" // invalid_cursor_name
	codeDuplicateStatement  = "42P05" // duplicate_prepared_statement
	codeSyntax              = "42601"
	codeUnknownTable        = "42P01"
	codeUnknownColumn       = "42703"
	codeUnknownFunction     = "42883"
	codeUnknownSetting      = "42704"
	codeNotPermitted        = "42501" // insufficient_privilege
	codeInvalidText         = "22P02" // invalid_text_representation
	codeInvalidBinary       = "22P03" // invalid_binary_representation
	codeLockTimeout         = "55P03" // lock_not_available
	codeDeadlock            = "40P01"
	codeCanceled            = "57014" // query_canceled
	codeShutdown            = "57P01" // admin_shutdown
	codeWrongPassword       = "28P01"
	codeWrongUser           = "28000"
	codeProtocol            = "08P01"
	codeNotSupported        = "0A000"
)

// A sqlError is an error that is sent to the client.
type sqlError struct {
	code    string
	message string
	// fatal is set if the error closes the connection.
	fatal bool
}

func (e *sqlError) Error() string { return e.message + " (SQLSTATE " + e.code + ")" }

func sqlErrorf(code, format string, args ...any) *sqlError {
	return &sqlError{code: code, message: fmt.Sprintf(format, args...)}
}

// response returns the error as a protocol message.
func (e *sqlError) response() *pgproto3.ErrorResponse {
	severity := "ERROR"
	if e.fatal {
		severity = "FATAL"
	}
	return &pgproto3.ErrorResponse{
		Severity: severity, SeverityUnlocalized: severity, Code: e.code, Message: e.message,
	}
}
