package storer

import (
	stderrors "errors"

	"github.com/pkg/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// unavailable returns an error that matches both ErrUnavailable and its cause.
func unavailable(operation Operation, cause error) error {
	return errors.Wrap(stderrors.Join(ErrUnavailable, cause), operation.String())
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
		return errors.Wrap(stderrors.Join(ErrLeaseExpired, err), operation.String())
	case codes.InvalidArgument, codes.FailedPrecondition, codes.OutOfRange, codes.AlreadyExists,
		codes.PermissionDenied, codes.Unauthenticated, codes.Unimplemented:
		return errors.Wrap(err, operation.String())
	default:
		return unavailable(operation, err)
	}
}
