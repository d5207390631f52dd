package storer

import (
	"github.com/pkg/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// A callError is the failure of a call. It matches its sentinel and its cause,
// and its text is one line.
type callError struct {
	operation Operation
	sentinel  error
	cause     error
}

// Error returns operation: sentinel: cause.
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

// answered reports whether err is an answer of the store, so that the outcome
// of the call is known.
func answered(err error) bool {
	return !errors.Is(err, ErrUnavailable)
}

// translate turns an error of gRPC into one of this package. Only codes by
// which the store refuses a request for what it asks count as answers. Every
// other code can also come from the transport, after the request took effect.
func translate(operation Operation, err error) error {
	if err == nil {
		return nil
	}
	switch status.Code(err) {
	case codes.NotFound:
		// Only leases are looked up by the store; a missing key is an empty
		// range.
		return &callError{operation: operation, sentinel: ErrLeaseExpired, cause: err}
	case codes.InvalidArgument, codes.FailedPrecondition, codes.OutOfRange, codes.AlreadyExists,
		codes.PermissionDenied, codes.Unauthenticated, codes.Unimplemented:
		return errors.Wrap(err, operation.String())
	default:
		return unavailable(operation, err)
	}
}
