package acceptor

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"unique"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/endiveturn/endiveturn/classifier"
	"github.com/endiveturn/endiveturn/executor"
)

// endpointNamePrefix is the prefix of the names of prepared statements at
// endpoints.
const endpointNamePrefix = "et_"

// nonexistentName is a name that no statement at an endpoint has. Closing it
// has no effect but is acknowledged with CloseComplete.
const nonexistentName = endpointNamePrefix + "closed"

// A statementText identifies a prepared statement independently of the client
// that prepared it.
type statementText struct {
	query string
	// types holds the parameter type OIDs, four bytes each.
	types string
}

// A preparedStatement is a statement that a client has prepared. Clients of the
// same application prepare the same statements, so the texts are shared.
type preparedStatement struct {
	// cachedEndpointName is the result of endpointName, empty until it is first
	// called.
	cachedEndpointName string
	text               unique.Handle[statementText]
	classified         classifier.Statement
}

// newPreparedStatement returns the statement that a Parse message defines.
func newPreparedStatement(parse *pgproto3.Parse) *preparedStatement {
	types := make([]byte, 0, 4*len(parse.ParameterOIDs))
	for _, oid := range parse.ParameterOIDs {
		types = binary.BigEndian.AppendUint32(types, oid)
	}
	return &preparedStatement{
		text:       unique.Make(statementText{query: parse.Query, types: string(types)}),
		classified: classifier.Classify(parse.Query),
	}
}

// endpointName returns the name of the statement at endpoints: a hash, so that
// the same text and types have the same name on every connection. It has the whole digest,
// as clients choose the texts and could find two with the same half. Databases take names of
// up to 63 bytes. It is computed on demand because many unnamed statements need none.
func (p *preparedStatement) endpointName() string {
	if p.cachedEndpointName == "" {
		text := p.text.Value()
		h := sha256.New()
		h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(text.types))))
		h.Write([]byte(text.types))
		h.Write([]byte(text.query))
		p.cachedEndpointName = endpointNamePrefix + base64.RawURLEncoding.EncodeToString(h.Sum(nil))
	}
	return p.cachedEndpointName
}

// executorStatement returns the statement in the form in which a batch refers
// to it.
func (p *preparedStatement) executorStatement() executor.Statement {
	text := p.text.Value()
	oids := make([]uint32, len(text.types)/4)
	for i := range oids {
		oids[i] = binary.BigEndian.Uint32([]byte(text.types[4*i : 4*i+4]))
	}
	return executor.Statement{Name: p.endpointName(), Query: text.query, ParameterOIDs: oids}
}

// sizeAs returns the size that counts against MaxStatementBytes if a client
// prepares the statement under a name.
func (p *preparedStatement) sizeAs(name string) int {
	text := p.text.Value()
	return len(text.query) + len(text.types) + len(name)
}

// preparedStatements are the prepared statements of a connection by the names
// that the client uses. The unnamed one has the empty name and need not remain
// prepared at an endpoint from one batch to the next.
type preparedStatements struct {
	byName     map[string]*preparedStatement
	totalBytes int
}

// define adds or replaces a statement.
func (s *preparedStatements) define(name string, p *preparedStatement) {
	s.close(name)
	if s.byName == nil {
		s.byName = make(map[string]*preparedStatement)
	}
	s.byName[name] = p
	s.totalBytes += p.sizeAs(name)
}

// close removes a statement if it exists.
func (s *preparedStatements) close(name string) {
	if p, ok := s.byName[name]; ok {
		s.totalBytes -= p.sizeAs(name)
		delete(s.byName, name)
	}
}

// closeAll removes all statements.
func (s *preparedStatements) closeAll() { *s = preparedStatements{} }
