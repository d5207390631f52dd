package acceptor

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"unique"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/endiveturn/endiveturn/classifier"
	"github.com/endiveturn/endiveturn/executor"
)

// endpointPrefix begins the names of prepared statements at endpoints.
const endpointPrefix = "et_"

// closedName is a name that no statement at an endpoint has. Closing it is
// answered with CloseComplete and changes nothing.
const closedName = endpointPrefix + "closed"

// A preparedText identifies a prepared statement whoever prepared it.
type preparedText struct {
	query string
	// types holds the parameter types, four bytes each.
	types string
}

// A prepared is a statement that a caller prepared. Callers of the same
// application prepare the same statements, so the texts are shared.
type prepared struct {
	// hashed is the result of endpointName once it was called.
	hashed    string
	text      unique.Handle[preparedText]
	statement classifier.Statement
}

// newPrepared returns the statement of a Parse message.
func newPrepared(parse *pgproto3.Parse) *prepared {
	types := make([]byte, 0, 4*len(parse.ParameterOIDs))
	for _, oid := range parse.ParameterOIDs {
		types = binary.BigEndian.AppendUint32(types, oid)
	}
	return &prepared{
		text:      unique.Make(preparedText{query: parse.Query, types: string(types)}),
		statement: classifier.Classify(parse.Query),
	}
}

// endpointName returns the name at endpoints: the same text and types have the
// same name on every connection. An unnamed statement often needs none.
func (p *prepared) endpointName() string {
	if p.hashed == "" {
		text := p.text.Value()
		h := sha256.New()
		h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(text.types))))
		h.Write([]byte(text.types))
		h.Write([]byte(text.query))
		p.hashed = endpointPrefix + hex.EncodeToString(h.Sum(nil)[:16])
	}
	return p.hashed
}

// executorStatement returns the statement as a batch refers to it.
func (p *prepared) executorStatement() executor.Statement {
	text := p.text.Value()
	oids := make([]uint32, len(text.types)/4)
	for i := range oids {
		oids[i] = binary.BigEndian.Uint32([]byte(text.types[4*i : 4*i+4]))
	}
	return executor.Statement{Name: p.endpointName(), Query: text.query, ParameterOIDs: oids}
}

// size is what the statement counts against the bound of a connection.
func (p *prepared) size() int { return len(p.text.Value().query) + len(p.text.Value().types) }

// statements are the prepared statements of a connection by the caller's
// names. The unnamed one has the empty name and need not stay at an endpoint
// from one batch to the next.
type statements struct {
	byName map[string]*prepared
	bytes  int
}

// define adds or replaces a statement.
func (s *statements) define(name string, p *prepared) {
	s.close(name)
	if s.byName == nil {
		s.byName = make(map[string]*prepared)
	}
	s.byName[name] = p
	s.bytes += p.size() + len(name)
}

// close removes a statement, if it exists.
func (s *statements) close(name string) {
	if p, ok := s.byName[name]; ok {
		s.bytes -= p.size() + len(name)
		delete(s.byName, name)
	}
}

// closeAll removes all statements.
func (s *statements) closeAll() { *s = statements{} }
