// Package admitter decides which requests get the slots of a database when there
// are not enough for all, and refuses those that can't be served in time as soon
// as that is known. Queue is the algorithm, without locks, goroutines or a clock.
// Gate makes it safe for concurrent use and makes requests wait for their slots.
package admitter

import (
	"math"
	"time"

	"github.com/pkg/errors"
)

const (
	// valueRatio is the ratio between the values of two successive priorities.
	valueRatio = 2.0
	// initialSlotTime is the assumed slot time of a class before its first sample.
	initialSlotTime = 10 * time.Millisecond
	// smoothingFactor is the weight of a new sample in the mean slot time.
	smoothingFactor = 0.05
	// maxSampleRatio bounds a sample relative to the mean, so that statements that
	// hang on a failed database don't cause refusals after it has returned.
	maxSampleRatio = 4
	// slotTimeHalfLife is the half-life of a mean slot time that no request confirms.
	// Without it a class whose mean has come near its timeout would be refused for ever.
	slotTimeHalfLife = 2 * time.Second
	// startMargin is the number of mean slot times before its objective at which a
	// request has to start to be in time. Slot times vary, so it is above 1.
	startMargin = 1.5
	// utilizationWindow is the time constant of the mean utilization of a class.
	utilizationWindow = time.Second
	// minSpareShare is the least share of the slots that is assumed to be left for a
	// class by the classes of higher value.
	minSpareShare = 0.1
	// shareHorizon is how far ahead of its fair share a customer may be before its
	// requests go behind those of customers within their share. It covers a few
	// requests that arrive together.
	shareHorizon = 500 * time.Millisecond
	// retryShare is the share of the slots over which retries are spread.
	retryShare = 0.5
	// minRetryAfter and maxRetryAfter bound the suggested delay of a retry.
	minRetryAfter = 20 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// classRetention is the time after which the mean slot time of an unused class is
	// forgotten. The utilization and what is above the initial slot time have decayed by then.
	classRetention = time.Minute
	// minSweep is the least number of classes or customers of which unused ones are removed.
	minSweep = 64
	// maxPriority is the last priority that is distinguished from later ones.
	maxPriority = 7
)

// ErrRefused is wrapped by every refusal. The request was not run.
var ErrRefused = errors.New("databases are busy")

// Reason is the reason for a refusal.
type Reason uint8

// The reasons for refusals.
const (
	// ReasonExpectedWait means that a new request is not expected to start in time.
	ReasonExpectedWait Reason = iota
	// ReasonDisplaced means that a waiting request is no longer expected to start in
	// time because of requests that arrived after it.
	ReasonDisplaced
	// ReasonLate means that a waiting request did not start in time.
	ReasonLate
	// ReasonTimeout means that the timeout of the request is too near to serve it.
	ReasonTimeout
	// ReasonThrottled means that too few recent attempts to use the database succeeded.
	ReasonThrottled
	// ReasonCanceled means that the client's context ended.
	ReasonCanceled
)

var reasonNames = [...]string{"expected_wait", "displaced", "late", "timeout", "throttled", "canceled"}

// String returns the name of the reason for logs and metrics.
func (r Reason) String() string { return reasonNames[r] }

// A Refusal is the error of a refused request.
type Refusal struct {
	Reason Reason
	// RetryAfter is when a retry is expected to find a free slot.
	RetryAfter time.Duration
}

// Error returns the text for the client, with the delay of a retry.
func (r *Refusal) Error() string {
	return ErrRefused.Error() + ", retry in " + r.RetryAfter.Round(time.Millisecond).String()
}

// Unwrap returns ErrRefused.
func (r *Refusal) Unwrap() error { return ErrRefused }

// A Class groups requests of similar slot time and equal priority.
type Class struct {
	Route string
	// Priority is 0 for the requests of the highest value.
	Priority int
	Writes   bool
	// InTransaction is set for the statements of an open transaction, which holds a
	// connection and locks.
	InTransaction bool
}

// value returns the value of a request that is served in time.
func (c Class) value() float64 { return math.Pow(valueRatio, -float64(c.level())) }

// level returns the priority within the range that is distinguished.
func (c Class) level() int { return min(max(0, c.Priority), maxPriority) }

// A Request describes a request that needs a slot.
type Request struct {
	Customer string
	// Weight is the customer's weight relative to that of others; values below or
	// equal to 0 count as 1.
	Weight float64
	Class  Class
	// Objective is when the request has to be complete to be in time.
	Objective time.Time
	// Timeout is when the request fails.
	Timeout time.Time
	// MaxHold is how long a request that can only be late may wait.
	MaxHold time.Duration
}

// State is the state of a ticket.
type State uint8

// The states of a ticket.
const (
	// Waiting tickets have no slot yet.
	Waiting State = iota
	// Granted tickets hold a slot until Release is called.
	Granted
	// Refused tickets will get no slot.
	Refused
	// Released tickets have returned their slot.
	Released
)

// A Ticket is a request with its state.
type Ticket struct {
	Request
	// State changes only within calls of the Queue.
	State State
	// Refusal is set in state Refused.
	Refusal *Refusal

	class    *class
	customer *customer
	sequence uint64
	// start is the virtual time at which the customer's fair share starts the
	// request.
	start float64
	// precedingBefore is the customer's charges for higher priorities up to its arrival.
	precedingBefore float64
	// charge is the virtual time charged to the customer; cost is the expected slot
	// time in seconds that was counted in the class's work.
	charge, cost float64
	// expires is when the ticket is refused unless it is granted.
	expires   time.Time
	grantedAt time.Time
	// list is the list in which the ticket waits, and firstIndex and lastIndex are
	// its indexes there.
	list                  *ticketList
	firstIndex, lastIndex int
	// ready is closed by Gate when the state changes; nil if the ticket did not wait.
	ready chan struct{}
}

// Expires returns when Expire has to be called for a waiting ticket.
func (t *Ticket) Expires() time.Time { return t.expires }

// A class is the state of a Class at one database.
type class struct {
	key Class
	// slotTime is the mean slot time in seconds.
	slotTime float64
	sampled  bool
	// sampledAt is when the mean was last updated.
	sampledAt time.Time
	// density is the value per second of slot time.
	density float64
	waiting ticketList
	// utilization is the mean number of slots that the class uses, as of
	// utilizationAt.
	utilization   float64
	utilizationAt time.Time
	// usedAt is when the class was last looked up for a request.
	usedAt time.Time
}

func newClass(key Class) *class {
	c := &class{key: key, slotTime: initialSlotTime.Seconds()}
	c.density = key.value() / c.slotTime
	return c
}

// recordSample adds the slot time of one request to the mean.
func (c *class) recordSample(seconds float64, now time.Time) {
	c.sampledAt = now
	if !c.sampled {
		c.slotTime, c.sampled = seconds, true
	} else {
		c.slotTime += smoothingFactor * (min(seconds, maxSampleRatio*c.slotTime) - c.slotTime)
	}
	c.slotTime = max(c.slotTime, minSlotTime.Seconds())
	c.density = c.key.value() / c.slotTime
}

// decay lowers a mean slot time that has not been confirmed for a while towards the
// initial one.
func (c *class) decay(now time.Time) {
	age := now.Sub(c.sampledAt)
	if !c.sampled || age < slotTimeHalfLife || c.slotTime <= initialSlotTime.Seconds() {
		return
	}
	c.slotTime = max(initialSlotTime.Seconds(), c.slotTime*math.Exp2(-age.Seconds()/slotTimeHalfLife.Seconds()))
	c.density = c.key.value() / c.slotTime
	c.sampledAt = now
}

// minSlotTime is the least slot time that is assumed, so that slots are shared by
// number of requests when these are too short to measure.
const minSlotTime = 100 * time.Microsecond

// recordGrant adds the slot time of a granted request to the utilization.
func (c *class) recordGrant(cost float64, now time.Time) {
	c.utilization = c.decayedUtilization(now) + cost/utilizationWindow.Seconds()
	c.utilizationAt = now
}

func (c *class) decayedUtilization(now time.Time) float64 {
	if c.utilization == 0 {
		return 0
	}
	return c.utilization * math.Exp(-now.Sub(c.utilizationAt).Seconds()/utilizationWindow.Seconds())
}
