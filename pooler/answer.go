package pooler

import (
	"bytes"
	"io"
	"net"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/executor"
)

// Types of backend messages.
const (
	TypeParseComplete   = '1'
	TypeCloseComplete   = '3'
	TypeNotification    = 'A'
	TypeCommandComplete = 'C'
	TypeError           = 'E'
	TypeParameterStatus = 'S'
	TypeReady           = 'Z'
)

// maxControlSize bounds the messages that are read as a whole.
const maxControlSize = 1 << 20

// codeUndefinedStatement is reported when a prepared statement is missing.
const codeUndefinedStatement = "26000"

// ErrSetCustomer says that the database did not accept the customer; the batch
// was not sent.
var ErrSetCustomer = errors.New("database did not accept the customer")

// A Message is the header of a backend message. Its body is read with Body or
// Read before the next message.
type Message struct {
	Type byte
	Size int
}

// An Answer reads what the database sends for one batch.
type Answer struct {
	conn *Conn
	plan *plan
	// pending is the size of the body that was not read yet.
	pending int
	// before counts the ReadyForQuery that are not the caller's.
	before int
	closes int
	parses int
	failed bool
	body   []byte
	// wrote receives the result of writing a large batch.
	wrote chan error
}

// Start sends a batch. If sent is false, no byte of it has left and the
// connection can be given up without doubt. The answer must be read to its end or
// the connection discarded. Where the connection served another customer, Start
// waits until the database has accepted the new one: a cancel can hit that
// statement, and a batch sent behind it would run for the other customer.
func (c *Conn) Start(batch *executor.Batch, customer string) (answer *Answer, sent bool, err error) {
	p, err := c.plan(batch, customer)
	if err != nil {
		c.unusable = true
		return nil, false, err
	}
	c.unusable = true // until the end of the answer
	if err := c.setCustomer(p.customer); err != nil {
		return nil, false, err
	}
	answer = &Answer{conn: c, plan: p}
	if p.synced {
		answer.before++
	}
	if len(p.prefix)+len(p.messages) > asyncWriteSize {
		answer.wrote = make(chan error, 1)
		go func() {
			_, err := c.write(p)
			if err != nil {
				c.Abort()
			}
			answer.wrote <- err
		}()
		return answer, true, nil
	}
	n, err := c.write(p)
	return answer, n > 0, err
}

// setCustomer runs the query that sets the customer, if there is one.
func (c *Conn) setCustomer(query []byte) error {
	if len(query) == 0 {
		return nil
	}
	if _, err := c.network.Write(query); err != nil {
		return errors.WithStack(err)
	}
	answer := &Answer{conn: c, plan: &plan{}}
	for {
		message, err := answer.Next()
		if err != nil {
			return err
		}
		switch message.Type {
		case TypeReady:
			return answer.skipBody()
		case TypeError:
			return answer.refusedCustomer()
		}
	}
}

// refusedCustomer returns the error of a database that did not accept the
// customer.
func (a *Answer) refusedCustomer() error {
	body, err := a.Body()
	if err != nil {
		return err
	}
	if ErrorCode(body) == codeStaleTerm {
		return errors.WithStack(&ServerError{Code: codeStaleTerm, Message: "customer setting refused"})
	}
	return errors.Wrapf(ErrSetCustomer, "SQLSTATE %s", ErrorCode(body))
}

func (c *Conn) write(p *plan) (int64, error) {
	if len(p.prefix) == 0 {
		n, err := c.network.Write(p.messages)
		return int64(n), errors.WithStack(err)
	}
	buffers := net.Buffers{p.prefix, p.messages}
	n, err := buffers.WriteTo(c.network)
	return n, errors.WithStack(err)
}

// Next returns the next message that is the caller's. The message of type
// TypeReady ends the answer.
func (a *Answer) Next() (Message, error) {
	for {
		if err := a.skipBody(); err != nil {
			return Message{}, err
		}
		typ, size, err := a.conn.next()
		if err != nil {
			return Message{}, err
		}
		a.pending = size
		message := Message{Type: typ, Size: size}
		own, err := a.isCallers(message)
		if err != nil {
			return Message{}, err
		}
		if own {
			return message, nil
		}
	}
}

// isCallers takes note of a message and reports whether it is the caller's.
func (a *Answer) isCallers(message Message) (bool, error) {
	if message.Type == TypeNotification {
		return false, nil
	}
	switch message.Type {
	case TypeCloseComplete:
		a.closes++
		return a.closes > len(a.plan.closes) || a.plan.closes[a.closes-1], nil
	case TypeParseComplete:
		a.parses++
		return a.parses > len(a.plan.parses) || a.plan.parses[a.parses-1].isCaller, nil
	case TypeError:
		return true, a.noteError()
	case TypeReady:
		if a.before > 0 {
			a.before--
			return false, nil
		}
		return true, nil
	}
	return true, nil
}

func (a *Answer) noteError() error {
	a.failed = true
	body, err := a.Body()
	if err == nil && ErrorCode(body) == codeUndefinedStatement {
		a.plan.closing = true
	}
	return err
}

// Body reads the body of the message; a second call returns it again. It stays
// valid until the next message.
func (a *Answer) Body() ([]byte, error) {
	if a.pending == 0 {
		return a.body, nil
	}
	if a.pending > maxControlSize {
		return nil, errors.Wrapf(ErrProtocol, "control message of %d bytes", a.pending)
	}
	if cap(a.body) < a.pending {
		a.body = make([]byte, a.pending)
	}
	a.body = a.body[:a.pending]
	a.pending = 0
	_, err := io.ReadFull(a.conn.reader, a.body)
	return a.body, errors.WithStack(err)
}

// Taken returns the body if Body has read it.
func (a *Answer) Taken() ([]byte, bool) { return a.body, len(a.body) > 0 }

// Read reads up to len(p) bytes of what was not read of the body; 0 says that
// nothing is left.
func (a *Answer) Read(p []byte) (int, error) {
	if len(p) > a.pending {
		p = p[:a.pending]
	}
	n, err := io.ReadFull(a.conn.reader, p)
	a.pending -= n
	return n, errors.WithStack(err)
}

// skipBody discards what was not read of the body.
func (a *Answer) skipBody() error {
	a.body = a.body[:0]
	n := a.pending
	a.pending = 0
	if n == 0 {
		return nil
	}
	_, err := a.conn.reader.Discard(n)
	return errors.WithStack(err)
}

// Buffered returns the number of bytes that can be read without waiting.
func (a *Answer) Buffered() int { return a.conn.reader.Buffered() }

// Finish is called after TypeReady was read. It returns the transaction status
// and makes the connection usable again where nothing is in doubt.
func (a *Answer) Finish(customer string) (byte, error) {
	body, err := a.Body()
	if err != nil || len(body) != 1 {
		return 0, errors.Wrap(ErrProtocol, "ready for query")
	}
	status := body[0]
	if a.wrote != nil {
		if err := <-a.wrote; err != nil {
			return 0, errors.Wrap(err, "send batch")
		}
	}
	for i := a.parses; i < len(a.plan.parses); i++ {
		a.conn.statements.remove(a.plan.parses[i].name)
	}
	a.conn.customer = customer
	a.conn.unusable = a.conn.reader.Buffered() > 0 || (a.failed && a.plan.closing)
	return status, nil
}

// ErrorCode returns the SQLSTATE in the body of an ErrorResponse.
func ErrorCode(body []byte) string {
	for len(body) > 1 {
		end := bytes.IndexByte(body, 0)
		if end < 0 {
			return ""
		}
		if body[0] == 'C' {
			return string(body[1:end])
		}
		body = body[end+1:]
	}
	return ""
}

// Parameter returns name and value in the body of a ParameterStatus.
func Parameter(body []byte) (name, value string) {
	name = cString(body)
	if len(name)+1 <= len(body) {
		value = cString(body[len(name)+1:])
	}
	return name, value
}
