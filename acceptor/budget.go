package acceptor

import (
	"math/bits"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/budgeter"
	"github.com/endiveturn/endiveturn/executor"
)

const (
	// messageCopies is how often a request is in memory while it is served: as it was
	// received, as texts of statements, as a batch, and as it is sent to a database or to
	// another host.
	messageCopies = 4
	// uncountedRequest is the size of a request in bytes up to which it costs no account,
	// so that ordinary requests take no lock.
	uncountedRequest = 8 << 10
	// messageOverhead is the memory in bytes that a message of a batch takes besides its
	// text: decoded, and as a statement or portal of the batch, up to 232 bytes.
	messageOverhead = 256
	// textCopies is how often the text of a prepared statement that is sent again is in
	// memory besides the session's: as it is sent to a database or to another host, and in
	// the buffer of that connection.
	textCopies = 2
	// uncountedMessages is the number of messages of a batch up to which they cost no
	// account.
	uncountedMessages = 64
	// uncountedKept is the size in bytes up to which what a session keeps costs no account.
	uncountedKept = 1 << 10
	// keptOverhead is the memory in bytes that a prepared statement takes besides its
	// texts.
	keptOverhead = 256
	// messageWriteRate is the number of bytes a second that add to MessageTimeout, so that
	// clients that send slowly but steadily are served.
	messageWriteRate = 8 << 10
)

// errSlowMessage means that the end of a request has not arrived in time.
var errSlowMessage = errors.New("request was not completed in time")

// messageMemory returns the memory in bytes that a request of the given size takes.
func messageMemory(size int) int64 { return messageCopies * int64(size) }

// RequiredMemory returns the memory in bytes that a connection needs so that a request of
// the given size is served beside as many prepared statements as a session may keep.
func RequiredMemory(size int) int64 {
	return budgeter.ConnectionCost + (1+textCopies)*DefaultMaxStatementBytes + DefaultMaxStatements*keptOverhead + messageMemory(size)
}

// payFor takes the memory for a request of which size bytes have arrived, and returns the
// size that its buffer should have. That is a power of two, so that it seldom changes.
func (c *connection) payFor(size int) (int, error) {
	if size <= max(uncountedRequest, c.paid) {
		return max(size, c.paid), nil
	}
	paid := max(size, min(1<<bits.Len(uint(size-1)), c.acceptor.MaxBatchBytes))
	if err := c.account.Resize(budgeter.Message, messageMemory(paid)); err != nil {
		c.account.Refuse(err)
		return 0, executor.RefuseNotRun(executor.CodeOutOfMemory, "no memory for the request: "+err.Error())
	}
	c.paid = paid
	return paid, nil
}

// payForMessages takes the memory for what a batch of the given number of messages takes
// besides their texts while it is planned and run. It returns the refusal of a batch for
// which there is none.
func (c *connection) payForMessages(messages int) *executor.Refusal {
	if messages <= uncountedMessages {
		return nil
	}
	return c.payExtra(int64(messages) * messageOverhead)
}

// payForTexts takes the memory for the texts of prepared statements, of the given size,
// that are sent to a database again. It returns the refusal of a batch for which there is
// none.
func (c *connection) payForTexts(size int) *executor.Refusal {
	if size <= uncountedRequest {
		return nil
	}
	return c.payExtra(int64(size) * textCopies)
}

// payExtra takes memory for a batch besides that of its texts until endRequest.
func (c *connection) payExtra(bytes int64) *executor.Refusal {
	if err := c.account.Resize(budgeter.Message, messageMemory(c.paid)+c.extra+bytes); err != nil {
		return executor.RefuseNotRun(executor.CodeOutOfMemory, "no memory for the messages of the batch: "+err.Error())
	}
	c.extra += bytes
	return nil
}

// endRequest returns the memory of a request.
func (c *connection) endRequest() {
	if c.paid > 0 || c.extra > 0 {
		c.paid, c.extra = 0, 0
		_ = c.account.Resize(budgeter.Message, 0) // less is never refused
	}
}

// keep takes the memory for the prepared statements of the session.
func (c *connection) keep(statements, bytes int) error {
	kept := int64(bytes + statements*keptOverhead)
	if kept <= uncountedKept {
		kept = 0
	}
	if kept == c.kept {
		return nil
	}
	if err := c.account.Resize(budgeter.Session, kept); err != nil {
		return err
	}
	c.kept = kept
	return nil
}

// keepPlanned takes the memory for the prepared statements after a plan. It refuses the
// plan if there is none.
func (c *connection) keepPlanned(p *plan) {
	if p.refusal != nil || p.addedBytes <= 0 && p.addedStatements <= 0 {
		return
	}
	if err := c.keep(len(c.statements.byName)+p.addedStatements, c.statements.totalBytes+p.addedBytes); err != nil {
		p.refusal = executor.RefuseNotRun(executor.CodeOutOfMemory, "no memory for prepared statements: "+err.Error())
	}
}

// keepCurrent returns the memory of statements that were closed or not prepared.
func (c *connection) keepCurrent() {
	_ = c.keep(len(c.statements.byName), c.statements.totalBytes) // at most what keepPlanned took
}

// limitMessage limits the wait for the rest of a request of which a part has arrived.
func (c *connection) limitMessage() error {
	now := time.Now()
	if c.messageBegan.IsZero() {
		c.messageBegan = now
	}
	limit := c.messageBegan.Add(c.acceptor.MessageTimeout + time.Duration(c.messageBytes)*time.Second/messageWriteRate)
	if now.After(limit) {
		c.account.Refuse(errSlowMessage)
		return errSlowMessage
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.terminated {
		return nil
	}
	return c.conn.SetReadDeadline(limit)
}

// endMessage removes the limit after the end of a request. An interrupt that it removes as
// well is made up for by the check between requests.
func (c *connection) endMessage() {
	if c.messageBegan.IsZero() {
		return
	}
	c.messageBegan, c.messageBytes = time.Time{}, 0
	c.clearInterrupt()
}
