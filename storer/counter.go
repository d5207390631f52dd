package storer

import "sync/atomic"

// An Operation is a kind of call to the store.
type Operation uint8

// The operations that the client uses.
const (
	OperationRange Operation = iota
	OperationTxn
	OperationLeaseGrant
	OperationLeaseRevoke
	OperationLeaseKeepAlive
	OperationWatch
	operations
)

// String returns the published name of the operation.
func (o Operation) String() string {
	names := [operations]string{"range", "txn", "lease_grant", "lease_revoke", "lease_keep_alive", "watch"}
	if o < operations {
		return names[o]
	}
	return "unknown operation"
}

// Counts holds the number of calls sent, each attempt counted, by Operation.
// A watch counts as one call however long it waits.
type Counts [operations]int64

// Total returns the number of calls of all operations.
func (c Counts) Total() int64 {
	total := int64(0)
	for _, n := range c {
		total += n
	}
	return total
}

type counter [operations]atomic.Int64

func (c *counter) add(operation Operation) { c[operation].Add(1) }

// Counts returns the number of calls that the client has sent.
func (c *Client) Counts() Counts {
	var counts Counts
	for i := range counts {
		counts[i] = c.counts[i].Load()
	}
	return counts
}
