package overseer

import (
	"time"

	"github.com/pkg/errors"
)

const (
	// notBegunPause is the pause after a change that was not begun, as each evaluation queries
	// all databases of the service.
	notBegunPause = 100 * time.Millisecond
	// notBegunLogInterval is the time after which it is logged again that a change is not
	// begun for the same cause.
	notBegunLogInterval = 5 * time.Second
)

// errNoImprovement is returned when the database to be promoted is unreachable from at least
// as many hosts as the primary.
var errNoImprovement = errors.New("the next database is unreachable from as many hosts as the primary")

// errPromotionPending is returned when a promotion may still take effect. A working primary is
// kept until then.
var errPromotionPending = errors.New("an earlier promotion may still take effect")

// A notBegun is why a change was not begun, and when that was logged.
type notBegun struct {
	reason    Reason
	candidate string
	cause     string
	at        time.Time
}

// causeNames are the names of the metrics that count changes that were not begun.
var causeNames = []struct {
	cause error
	name  string
}{
	{errNoImprovement, "no_improvement"},
	{errPromotionPending, "promotion_pending"},
	{errNoCandidate, "no_candidate"},
	{errTooFewAnswers, "too_few_answers"},
}

// recordNotBegun logs and counts a change that was not begun, once in notBegunLogInterval for
// each cause.
func (o *Overseer) recordNotBegun(c *primaryChange, candidate string, cause error) {
	now := o.Now()
	next := notBegun{reason: c.reason, candidate: candidate, cause: cause.Error(), at: now}
	o.mu.Lock()
	last := o.notBegun[c.service]
	repeated := last.reason == next.reason && last.candidate == candidate && last.cause == next.cause && now.Sub(last.at) < notBegunLogInterval
	if !repeated {
		o.notBegun[c.service] = next
	}
	o.mu.Unlock()
	if repeated {
		return
	}
	name := "other"
	for _, known := range causeNames {
		if errors.Is(cause, known.cause) {
			name = known.name
		}
	}
	o.countEvent("primary_changes_not_begun." + name)
	o.Logger.Warn("primary_change_not_begun", "service", c.service, "primary", c.assignment.ID, "reason", string(c.reason),
		"candidate", candidate, "unreachable_from", c.state.UnreachableFrom[candidate], "error", cause.Error())
}

func (o *Overseer) countEvent(name string) {
	if o.CountEvent != nil {
		o.CountEvent(name)
	}
}
