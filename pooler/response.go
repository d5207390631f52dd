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

// maxBodySize bounds the size of message bodies that are read as a whole.
const maxBodySize = 1 << 20

// codeUndefinedStatement is the SQLSTATE of an error about a missing prepared
// statement.
const codeUndefinedStatement = "26000"

// ErrSetCustomer means that the database refused the customer; the batch was
// not sent.
var ErrSetCustomer = errors.New("database did not accept the customer")

// A Message is the header of a backend message. Its body is read with Body or
// Read before the next message.
type Message struct {
	Type byte
	Size int
}

// A Response reads what the database sends in response to one batch.
type Response struct {
	conn *Conn
	plan *plan
	// unreadSize is the size of the part of the body that was not read yet.
	unreadSize int
	// internalReadyCount is the number of ReadyForQuery messages to come that are
	// not for the client.
	internalReadyCount int
	closeCount         int
	parseCount         int
	failed             bool
	body               []byte
	// writeResult receives the result of writing a large batch.
	writeResult chan error
}

// Start sends a batch. If sent is false, no byte of it was sent, so that it
// certainly did not run. The response must be read to its end or the connection
// discarded. If the connection served another customer before, Start waits
// until the database has accepted the new one: a cancel request can hit the
// statement that sets the customer, and a batch sent right after it would then
// run for the previous customer.
func (c *Conn) Start(batch *executor.Batch, customer string) (response *Response, sent bool, err error) {
	p, err := c.plan(batch, customer)
	if err != nil {
		c.unusable = true
		return nil, false, err
	}
	c.unusable = true // reusable only after the end of the response
	if err := c.setCustomer(p.setCustomerQuery); err != nil {
		return nil, false, err
	}
	response = &Response{conn: c, plan: p}
	if p.prefixSynced {
		response.internalReadyCount++
	}
	if len(p.prefix)+len(p.messages) > asyncWriteSize {
		response.writeResult = make(chan error, 1)
		go func() {
			_, err := c.write(p)
			if err != nil {
				c.Abort()
			}
			response.writeResult <- err
		}()
		return response, true, nil
	}
	n, err := c.write(p)
	return response, n > 0, err
}

// setCustomer runs the query that sets the customer, if there is one.
func (c *Conn) setCustomer(query []byte) error {
	if len(query) == 0 {
		return nil
	}
	if _, err := c.network.Write(query); err != nil {
		return errors.WithStack(err)
	}
	response := &Response{conn: c, plan: &plan{}}
	for {
		message, err := response.Next()
		if err != nil {
			return err
		}
		switch message.Type {
		case TypeReady:
			return response.skipBody()
		case TypeError:
			return response.customerError()
		}
	}
}

// customerError returns the error of a database that refused the customer.
func (r *Response) customerError() error {
	body, err := r.Body()
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

// Next returns the next message for the client. A message of type TypeReady
// ends the response.
func (r *Response) Next() (Message, error) {
	for {
		if err := r.skipBody(); err != nil {
			return Message{}, err
		}
		typ, size, err := r.conn.readHeader()
		if err != nil {
			return Message{}, err
		}
		r.unreadSize = size
		message := Message{Type: typ, Size: size}
		forClient, err := r.isForClient(message)
		if err != nil {
			return Message{}, err
		}
		if forClient {
			return message, nil
		}
	}
}

// isForClient records what Finish needs from a message and reports whether the
// message is for the client.
func (r *Response) isForClient(message Message) (bool, error) {
	if message.Type == TypeNotification {
		return false, nil
	}
	switch message.Type {
	case TypeCloseComplete:
		r.closeCount++
		return r.closeCount > len(r.plan.closesForClient) || r.plan.closesForClient[r.closeCount-1], nil
	case TypeParseComplete:
		r.parseCount++
		return r.parseCount > len(r.plan.parses) || r.plan.parses[r.parseCount-1].forClient, nil
	case TypeError:
		return true, r.recordError()
	case TypeReady:
		if r.internalReadyCount > 0 {
			r.internalReadyCount--
			return false, nil
		}
		return true, nil
	}
	return true, nil
}

func (r *Response) recordError() error {
	r.failed = true
	body, err := r.Body()
	if err == nil && ErrorCode(body) == codeUndefinedStatement {
		r.plan.closesStatement = true
	}
	return err
}

// Body reads the body of the message; further calls return it again. It is
// valid until the next message.
func (r *Response) Body() ([]byte, error) {
	if r.unreadSize == 0 {
		return r.body, nil
	}
	if r.unreadSize > maxBodySize {
		return nil, errors.Wrapf(ErrProtocol, "message body of %d bytes exceeds the limit", r.unreadSize)
	}
	if cap(r.body) < r.unreadSize {
		r.body = make([]byte, r.unreadSize)
	}
	r.body = r.body[:r.unreadSize]
	r.unreadSize = 0
	_, err := io.ReadFull(r.conn.reader, r.body)
	return r.body, errors.WithStack(err)
}

// BufferedBody returns the body if Body has read it.
func (r *Response) BufferedBody() ([]byte, bool) { return r.body, len(r.body) > 0 }

// Read reads up to len(p) bytes of the unread part of the body; 0 means that
// nothing is left.
func (r *Response) Read(p []byte) (int, error) {
	if len(p) > r.unreadSize {
		p = p[:r.unreadSize]
	}
	n, err := io.ReadFull(r.conn.reader, p)
	r.unreadSize -= n
	return n, errors.WithStack(err)
}

// skipBody discards the unread part of the body.
func (r *Response) skipBody() error {
	r.body = r.body[:0]
	n := r.unreadSize
	r.unreadSize = 0
	if n == 0 {
		return nil
	}
	_, err := r.conn.reader.Discard(n)
	return errors.WithStack(err)
}

// Buffered returns the number of bytes that can be read without waiting.
func (r *Response) Buffered() int { return r.conn.reader.Buffered() }

// Finish must be called after TypeReady was read. It returns the transaction
// status and makes the connection reusable if its state is known.
func (r *Response) Finish(customer string) (byte, error) {
	body, err := r.Body()
	if err != nil || len(body) != 1 {
		return 0, errors.Wrap(ErrProtocol, "malformed ReadyForQuery")
	}
	status := body[0]
	if r.writeResult != nil {
		if err := <-r.writeResult; err != nil {
			return 0, errors.Wrap(err, "send batch")
		}
	}
	for i := r.parseCount; i < len(r.plan.parses); i++ {
		r.conn.statements.remove(r.plan.parses[i].name)
	}
	r.conn.customer = customer
	r.conn.unusable = r.conn.reader.Buffered() > 0 || (r.failed && r.plan.closesStatement)
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

// Parameter returns the name and the value in the body of a ParameterStatus.
func Parameter(body []byte) (name, value string) {
	name = cString(body)
	if len(name)+1 <= len(body) {
		value = cString(body[len(name)+1:])
	}
	return name, value
}
