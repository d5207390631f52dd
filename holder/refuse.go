package holder

import (
	"context"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/executor"
	"github.com/endiveturn/endiveturn/limiter"
	"github.com/endiveturn/endiveturn/pooler"
	"github.com/endiveturn/endiveturn/scheduler"
)

// errDeadline is the cause of the context of batches whose deadline has passed.
var errDeadline = errors.New("deadline of the batch has passed")

func refuseHeldElsewhere() *executor.Refusal {
	refusal := executor.RefuseNotRun(executor.CodeCannotServe, errHeldElsewhere.Error())
	refusal.Outcome = executor.HeldElsewhere
	return refusal
}

// refuseWaiting returns the refusal of a batch that stopped waiting with err
// before any of it was sent.
func refuseWaiting(ctx context.Context, err error, code string) *executor.Refusal {
	cause := context.Cause(ctx)
	switch {
	case errors.Is(err, limiter.ErrRateExceeded):
		return executor.RefuseNotRun(executor.CodeRateExceeded, "rate of the customer exceeded")
	case errors.Is(err, scheduler.ErrQueueFull), errors.Is(err, scheduler.ErrTooLate):
		return executor.RefuseNotRun(executor.CodeTooManyQueued, err.Error())
	case errors.Is(err, pooler.ErrMalformed):
		return executor.RefuseNotRun(executor.CodeProtocolViolation, err.Error())
	case errors.Is(err, errHeldElsewhere), errors.Is(cause, errHeldElsewhere):
		return refuseHeldElsewhere()
	case errors.Is(cause, errDeadline):
		return executor.RefuseNotRun(code, errDeadline.Error())
	case cause != nil:
		return executor.RefuseNotRun(executor.CodeQueryCanceled, "canceled while waiting")
	default:
		return executor.RefuseNotRun(executor.CodeCannotServe, err.Error())
	}
}

// refuseRolledBack returns the refusal of a batch whose transaction was lost
// before the batch ran.
func refuseRolledBack(message string) *executor.Refusal {
	return &executor.Refusal{Code: executor.CodeRolledBack, Message: message, Outcome: executor.RolledBack}
}
