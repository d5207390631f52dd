package storer

import "sync/atomic"

// An Operation is a type of call to the store.
type Operation uint8

// The operations that the client uses.
const (
	OperationRange Operation = iota
	OperationTxn
	OperationLeaseGrant
	OperationLeaseRevoke
	OperationLeaseKeepAlive
	OperationWatch
	numOperations
)

// String returns the name of the operation in metrics and errors.
func (o Operation) String() string {
	names := [numOperations]string{"range", "txn", "lease_grant", "lease_revoke", "lease_keep_alive", "watch"}
	if o < numOperations {
		return names[o]
	}
	return "unknown operation"
}

// Counts contains the number of calls sent by Operation, including retries. A
// watch counts as one call regardless of its duration.
type Counts [numOperations]int64

// Total returns the number of calls of all operations.
func (c Counts) Total() int64 {
	total := int64(0)
	for _, n := range c {
		total += n
	}
	return total
}

type callCounter [numOperations]atomic.Int64

func (c *callCounter) add(operation Operation) { c[operation].Add(1) }

// Counts returns the number of calls that the client has sent.
func (c *Client) Counts() Counts {
	var counts Counts
	for i := range counts {
		counts[i] = c.counts[i].Load()
	}
	return counts
}
