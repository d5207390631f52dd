package storeemulator

import (
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/endiveturn/endiveturn/storer"
)

// retainedSeconds is the number of seconds for which call counts are retained:
// two hours.
const retainedSeconds = 7200

// A callCounter counts the calls that arrived, whether or not a response was
// sent.
type callCounter struct {
	mu          sync.Mutex
	seconds     map[int64]storer.Counts
	openWatches int
}

// CallsPerSecond is the number of calls in one second.
type CallsPerSecond struct {
	// Start is the start of the second.
	Start time.Time
	// Calls is the number of calls that arrived during the second, by operation.
	// Each renewal of a lease counts as a call, and each watch counts once when
	// it is created.
	Calls storer.Counts
}

func (c *callCounter) add(operation storer.Operation, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.seconds == nil {
		c.seconds = make(map[int64]storer.Counts)
	}
	second := now.Unix()
	counts := c.seconds[second]
	counts[operation]++
	c.seconds[second] = counts
	if len(c.seconds) > retainedSeconds {
		maps.DeleteFunc(c.seconds, func(s int64, _ storer.Counts) bool { return s <= second-retainedSeconds })
	}
}

func (c *callCounter) addOpenWatches(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.openWatches += n
}

// CallsPerSecond returns the calls of each second in [from, to). It returns at
// most the last two hours before to, since counts are not retained for longer.
func (e *Emulator) CallsPerSecond(from, to time.Time) []CallsPerSecond {
	e.calls.mu.Lock()
	defer e.calls.mu.Unlock()
	first := max(from.Unix(), to.Unix()-retainedSeconds)
	var seconds []CallsPerSecond
	for s := first; s < to.Unix(); s++ {
		seconds = append(seconds, CallsPerSecond{Start: time.Unix(s, 0), Calls: e.calls.seconds[s]})
	}
	return seconds
}

// Calls returns the number of calls in all retained seconds.
func (e *Emulator) Calls() storer.Counts {
	e.calls.mu.Lock()
	defer e.calls.mu.Unlock()
	var total storer.Counts
	for _, counts := range e.calls.seconds {
		for operation, n := range counts {
			total[operation] += n
		}
	}
	return total
}

// OpenWatches returns the number of watches that are currently open.
func (e *Emulator) OpenWatches() int {
	e.calls.mu.Lock()
	defer e.calls.mu.Unlock()
	return e.calls.openWatches
}

// operationOf returns the operation of a unary gRPC method.
func operationOf(fullMethod string) storer.Operation {
	switch _, name, _ := strings.Cut(strings.TrimPrefix(fullMethod, "/"), "/"); name {
	case "Txn":
		return storer.OperationTxn
	case "LeaseGrant":
		return storer.OperationLeaseGrant
	case "LeaseRevoke":
		return storer.OperationLeaseRevoke
	default:
		return storer.OperationRange
	}
}
