package pooler

import (
	"bytes"
	"encoding/binary"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/executor"
)

// ErrMalformed says that the messages of a batch cannot be read; nothing was
// sent.
var ErrMalformed = errors.New("malformed batch")

// Types of frontend messages that a plan looks at.
const (
	frontendParse = 'P'
	frontendClose = 'C'
	frontendQuery = 'Q'
	frontendSync  = 'S'
)

// A plan is what is sent for a batch and which of the answers are not the
// caller's.
type plan struct {
	// customer is a query that sets the customer, or empty. The rest is sent only
	// when the database has accepted it.
	customer []byte
	// prefix precedes the messages of the batch.
	prefix   []byte
	messages []byte
	// synced is set when prefix ends with a Sync whose answer is not the caller's.
	synced bool
	// closes says of each Close, in order, whether its answer is the caller's.
	closes []bool
	// parses holds each Parse in order.
	parses []parse
	// closing is set when the caller closes a prepared statement.
	closing bool
}

type parse struct {
	name     string
	isCaller bool
}

// plan prepares a batch for the connection and updates the table of statements
// as if every message took effect.
func (c *Conn) plan(batch *executor.Batch, customer string) (*plan, error) {
	p := &plan{messages: batch.Messages}
	if err := p.setCustomer(c, customer); err != nil {
		return nil, err
	}
	if err := p.prepare(c, batch.Statements); err != nil {
		return nil, err
	}
	last, err := p.scan(c, batch.Messages)
	if err != nil {
		return nil, err
	}
	if last == frontendQuery && len(p.parses) > 0 && !p.parses[0].isCaller {
		// After an error the database skips everything up to a Sync, and a Query
		// would be skipped without an answer.
		p.synced = true
		p.prefix, err = (&pgproto3.Sync{}).Encode(p.prefix)
	}
	return p, errors.WithStack(err)
}

func (p *plan) setCustomer(c *Conn, customer string) error {
	if c.customer == customer {
		return nil
	}
	if strings.ContainsRune(customer, 0) {
		return errors.Wrap(ErrMalformed, "customer name")
	}
	query := pgproto3.Query{String: "SET endiveturn.customer = '" + strings.ReplaceAll(customer, "'", "''") + "'"}
	var err error
	p.customer, err = query.Encode(nil)
	return errors.WithStack(err)
}

// prepare adds the statements that the connection lacks, and closes those that
// were unused longest.
func (p *plan) prepare(c *Conn, wanted []executor.Statement) error {
	needed := func(name string) bool {
		for i := range wanted {
			if wanted[i].Name == name {
				return true
			}
		}
		return false
	}
	var missing []*executor.Statement
	for i := range wanted {
		if !c.statements.use(wanted[i].Name) {
			missing = append(missing, &wanted[i])
		}
	}
	var err error
	for _, statement := range missing {
		if name, ok := c.statements.evict(needed); ok {
			p.closes = append(p.closes, false)
			if p.prefix, err = (&pgproto3.Close{ObjectType: 'S', Name: name}).Encode(p.prefix); err != nil {
				return errors.WithStack(err)
			}
		}
		message := pgproto3.Parse{Name: statement.Name, Query: statement.Query, ParameterOIDs: statement.ParameterOIDs}
		if p.prefix, err = message.Encode(p.prefix); err != nil {
			return errors.WithStack(err)
		}
		p.parses = append(p.parses, parse{name: statement.Name})
		c.statements.add(statement.Name)
	}
	return nil
}

// scan goes through the caller's messages. A named Parse of a statement that the
// connection has already is preceded by a Close. It returns the type of the last
// message.
func (p *plan) scan(c *Conn, messages []byte) (byte, error) {
	var last byte
	var rewritten []byte
	copied := 0
	for at := 0; at < len(messages); {
		typ, body, err := frame(messages[at:])
		if err != nil {
			return 0, err
		}
		last = typ
		switch typ {
		case frontendParse:
			name := cString(body)
			p.parses = append(p.parses, parse{name: name, isCaller: true})
			if name != "" && c.statements.use(name) {
				rewritten = append(rewritten, messages[copied:at]...)
				copied = at
				p.closes = append(p.closes, false)
				rewritten, err = (&pgproto3.Close{ObjectType: 'S', Name: name}).Encode(rewritten)
			}
			if name != "" {
				c.statements.add(name)
			}
		case frontendClose:
			p.closes = append(p.closes, true)
			if len(body) > 1 && body[0] == 'S' {
				c.statements.remove(cString(body[1:]))
				p.closing = true
			}
		}
		if err != nil {
			return 0, errors.WithStack(err)
		}
		at += headerSize + len(body)
	}
	if last != frontendQuery && last != frontendSync {
		return 0, errors.Wrap(ErrMalformed, "batch ends with neither Query nor Sync")
	}
	if rewritten != nil {
		p.messages = append(rewritten, messages[copied:]...)
	}
	return last, nil
}

// frame returns the type and the body of the first message in data.
func frame(data []byte) (byte, []byte, error) {
	if len(data) < headerSize {
		return 0, nil, errors.Wrap(ErrMalformed, "header")
	}
	size := int(binary.BigEndian.Uint32(data[1:])) - 4
	if size < 0 || size > len(data)-headerSize {
		return 0, nil, errors.Wrap(ErrMalformed, "length")
	}
	return data[0], data[headerSize : headerSize+size], nil
}

func cString(data []byte) string {
	if end := bytes.IndexByte(data, 0); end >= 0 {
		return string(data[:end])
	}
	return string(data)
}
