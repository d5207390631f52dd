package forwarder

import (
	"github.com/endiveturn/endiveturn/budgeter"
	"github.com/endiveturn/endiveturn/executor"
)

// maxUncountedRows is the size of rows in bytes that costs no account. The client's
// connection returns what larger ones have cost.
const maxUncountedRows = 4 << 10

// A rowCollector collects the rows of a response that arrives in several frames. Once the
// client's account refuses more memory, it keeps none. The account pays until the client
// has received the response.
type rowCollector struct {
	account *budgeter.Account
	rows    []byte
	// refusal is the reason for which the rows were dropped.
	refusal error
}

// add appends the rows of a frame, which the collector keeps.
func (c *rowCollector) add(rows []byte) {
	if c.refusal != nil {
		return
	}
	needed := len(c.rows) + len(rows)
	size := needed
	if c.rows != nil {
		size = max(needed, cap(c.rows)+cap(c.rows)/4)
	}
	if needed > max(maxUncountedRows, cap(c.rows)) {
		if c.refusal = c.account.Resize(budgeter.Response, int64(size)); c.refusal != nil {
			c.release()
			return
		}
	}
	if c.rows == nil {
		c.rows = rows
		return
	}
	if needed > cap(c.rows) {
		grown := make([]byte, len(c.rows), size)
		copy(grown, c.rows)
		c.rows = grown
	}
	c.rows = append(c.rows, rows...)
}

// finish puts the rows into the complete response.
func (c *rowCollector) finish(response *executor.Response) {
	response.Rows = c.rows
	if c.refusal != nil && response.Code == executor.CodeNone {
		response.Code, response.Text = executor.CodeResultTooLarge, "result is too large: "+c.refusal.Error()
	}
}

// release drops the rows and returns what the account has paid for them.
func (c *rowCollector) release() {
	c.rows = nil
	_ = c.account.Resize(budgeter.Response, 0) // less is never refused
}
