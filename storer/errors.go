package storer

import (
	"github.com/pkg/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// A callError is the failure of a call. It matches its sentinel and its cause.
// Even with %+v its text is a single line without stack traces.
type callError struct {
	operation Operation
	sentinel  error
	cause     error
}

// Error returns the text "operation: sentinel: cause".
func (e *callError) Error() string {
	return e.operation.String() + ": " + e.sentinel.Error() + ": " + e.cause.Error()
}

// Is makes the error match its sentinel.
func (e *callError) Is(target error) bool { return target == e.sentinel }

// Unwrap returns the cause.
func (e *callError) Unwrap() error { return e.cause }

// unavailable returns an error that matches both ErrUnavailable and its cause.
func unavailable(operation Operation, cause error) error {
	return &callError{operation: operation, sentinel: ErrUnavailable, cause: cause}
}

// Unavailable returns an error that matches both ErrUnavailable and its cause, for
// implementations of a KeyValueStore.
func Unavailable(cause error) error { return &unavailableError{cause: cause} }

// An unavailableError is the failure of a call without a response.
type unavailableError struct{ cause error }

// Error returns the texts of the cause and of ErrUnavailable.
func (e *unavailableError) Error() string { return e.cause.Error() + ": " + ErrUnavailable.Error() }

// Is makes the error match ErrUnavailable.
func (e *unavailableError) Is(target error) bool { return target == ErrUnavailable }

// Unwrap returns the cause.
func (e *unavailableError) Unwrap() error { return e.cause }

// outcomeKnown reports whether err is a response of the store, so that the outcome
// of the call is known.
func outcomeKnown(err error) bool {
	return !errors.Is(err, ErrUnavailable)
}

// mapGRPCError converts a gRPC error to an error of this package. Only the codes
// with which the store rejects a request because of its content count as a
// response. Every other code can also come from the transport after the request
// took effect, so the outcome is unknown.
func mapGRPCError(operation Operation, err error) error {
	if err == nil {
		return nil
	}
	switch status.Code(err) {
	case codes.NotFound:
		// The store returns NotFound only for leases; the response for a
		// missing key is an empty range.
		return &callError{operation: operation, sentinel: ErrLeaseExpired, cause: err}
	case codes.InvalidArgument, codes.FailedPrecondition, codes.OutOfRange, codes.AlreadyExists,
		codes.PermissionDenied, codes.Unauthenticated, codes.Unimplemented:
		return errors.Wrap(err, operation.String())
	default:
		return unavailable(operation, err)
	}
}
