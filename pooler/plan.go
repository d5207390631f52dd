package pooler

import (
	"bytes"
	"encoding/binary"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/executor"
)

// ErrMalformed means that the messages of a batch cannot be parsed; nothing was
// sent.
var ErrMalformed = errors.New("malformed batch")

// Types of frontend messages that scan handles.
const (
	frontendParse = 'P'
	frontendClose = 'C'
	frontendQuery = 'Q'
	frontendSync  = 'S'
)

// A plan contains what is sent for a batch and which messages of the response
// are not for the client.
type plan struct {
	// setCustomerQuery is a query that sets the customer, or empty. The rest is
	// sent only after the database has accepted it.
	setCustomerQuery []byte
	// prefix is sent before the messages of the batch.
	prefix   []byte
	messages []byte
	// prefixSynced is set when prefix ends with a Sync, whose ReadyForQuery is not
	// for the client.
	prefixSynced bool
	// closesForClient contains, for each Close in order, whether its CloseComplete
	// is for the client.
	closesForClient []bool
	// parses contains each Parse in order.
	parses []parse
	// closesStatement is set when the batch closes a prepared statement, or when
	// the database reported one as missing.
	closesStatement bool
}

type parse struct {
	name      string
	forClient bool
}

// plan plans a batch for the connection and updates the table of prepared
// statements as if each message succeeded.
func (c *Conn) plan(batch *executor.Batch, customer string) (*plan, error) {
	p := &plan{messages: batch.Messages}
	if err := p.setCustomer(c, customer); err != nil {
		return nil, err
	}
	if err := p.prepareMissing(c, batch.Statements); err != nil {
		return nil, err
	}
	last, err := p.scan(c, batch.Messages)
	if err != nil {
		return nil, err
	}
	if last == frontendQuery && len(p.parses) > 0 && !p.parses[0].forClient {
		// After an error the database skips all messages up to a Sync, and would skip
		// a Query without a response.
		p.prefixSynced = true
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
	p.setCustomerQuery, err = query.Encode(nil)
	return errors.WithStack(err)
}

// prepareMissing adds the prepared statements that the connection lacks, and
// closes the least recently used ones to make room.
func (p *plan) prepareMissing(c *Conn, required []executor.Statement) error {
	needed := func(name string) bool {
		for i := range required {
			if required[i].Name == name {
				return true
			}
		}
		return false
	}
	var missing []*executor.Statement
	for i := range required {
		if !c.statements.touch(required[i].Name) {
			missing = append(missing, &required[i])
		}
	}
	var err error
	for _, statement := range missing {
		if name, ok := c.statements.evict(needed); ok {
			p.closesForClient = append(p.closesForClient, false)
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

// scan parses the client's messages. Before a named Parse of a statement that
// the connection already has, it inserts a Close. It returns the type of the
// last message.
func (p *plan) scan(c *Conn, messages []byte) (byte, error) {
	var last byte
	var rewritten []byte
	copied := 0
	for offset := 0; offset < len(messages); {
		typ, body, err := nextMessage(messages[offset:])
		if err != nil {
			return 0, err
		}
		last = typ
		switch typ {
		case frontendParse:
			name := cString(body)
			p.parses = append(p.parses, parse{name: name, forClient: true})
			if name != "" && c.statements.touch(name) {
				rewritten = append(rewritten, messages[copied:offset]...)
				copied = offset
				p.closesForClient = append(p.closesForClient, false)
				rewritten, err = (&pgproto3.Close{ObjectType: 'S', Name: name}).Encode(rewritten)
			}
			if name != "" {
				c.statements.add(name)
			}
		case frontendClose:
			p.closesForClient = append(p.closesForClient, true)
			if len(body) > 1 && body[0] == 'S' {
				c.statements.remove(cString(body[1:]))
				p.closesStatement = true
			}
		}
		if err != nil {
			return 0, errors.WithStack(err)
		}
		offset += headerSize + len(body)
	}
	if last != frontendQuery && last != frontendSync {
		return 0, errors.Wrap(ErrMalformed, "batch ends with neither Query nor Sync")
	}
	if rewritten != nil {
		p.messages = append(rewritten, messages[copied:]...)
	}
	return last, nil
}

// nextMessage returns the type and the body of the first message in data.
func nextMessage(data []byte) (byte, []byte, error) {
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
