package storeemulator

import (
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/endiveturn/endiveturn/storer"
)

// keptSeconds bounds the seconds whose counts are kept: two hours.
const keptSeconds = 7200

// calls counts the calls that arrived, whether or not they were answered.
type calls struct {
	mu       sync.Mutex
	seconds  map[int64]storer.Counts
	watching int
}

// A Second holds the calls of one second.
type Second struct {
	// Start is the beginning of the second.
	Start time.Time
	// Calls holds the number of calls that arrived in it by operation. Each
	// renewal of a lease is a call, and each watch when it is created.
	Calls storer.Counts
}

func (c *calls) add(operation storer.Operation, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.seconds == nil {
		c.seconds = make(map[int64]storer.Counts)
	}
	second := now.Unix()
	counts := c.seconds[second]
	counts[operation]++
	c.seconds[second] = counts
	if len(c.seconds) > keptSeconds {
		maps.DeleteFunc(c.seconds, func(s int64, _ storer.Counts) bool { return s <= second-keptSeconds })
	}
}

func (c *calls) watch(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watching += n
}

// Seconds returns the calls of each second from from up to, but without, to.
// The number of seconds is bounded by the counts that are kept, two hours.
func (e *Emulator) Seconds(from, to time.Time) []Second {
	e.calls.mu.Lock()
	defer e.calls.mu.Unlock()
	first := max(from.Unix(), to.Unix()-keptSeconds)
	var seconds []Second
	for s := first; s < to.Unix(); s++ {
		seconds = append(seconds, Second{Start: time.Unix(s, 0), Calls: e.calls.seconds[s]})
	}
	return seconds
}

// Calls returns the number of calls of all seconds that are kept.
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

// Watching returns the number of watches that wait at present.
func (e *Emulator) Watching() int {
	e.calls.mu.Lock()
	defer e.calls.mu.Unlock()
	return e.calls.watching
}

// operationOf returns the operation of a method with one request.
func operationOf(method string) storer.Operation {
	switch _, name, _ := strings.Cut(strings.TrimPrefix(method, "/"), "/"); name {
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
