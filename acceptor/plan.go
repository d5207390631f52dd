package acceptor

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/endiveturn/endiveturn/classifier"
	"github.com/endiveturn/endiveturn/executor"
)

// A statementChange defines or closes a prepared statement. Changes are listed
// in the order in which an endpoint or the proxy confirms them.
type statementChange struct {
	// statement is the defined statement, nil for Close.
	statement *preparedStatement
	// name is the name that the client uses.
	name string
	// isPortal is set for the close of a portal, which changes no prepared
	// statement.
	isPortal bool
}

// A plan describes how to execute a request.
type plan struct {
	dispatcher
	connection *connection
	request    *request
	// refusal is set if the request is refused and nothing of it is run.
	refusal *executor.Refusal
	// hasProxyStatement and hasEndpointStatement are set if a statement has
	// that destination.
	hasProxyStatement, hasEndpointStatement bool
	// messages, references, class and changesConnectionState make up the batch.
	messages   []byte
	references []executor.Statement
	// referencedBytes is the size of the texts of references.
	referencedBytes        int
	class                  executor.Class
	changesConnectionState bool
	// hasBind and hasExecute are set if the request contains a Bind, and a
	// message that executes a statement.
	hasBind, hasExecute bool
	statementChanges    []statementChange
	// changedStatements holds the prepared statements that the messages so far
	// have changed; nil stands for a closed one.
	changedStatements map[string]*preparedStatement
	// addedStatements and addedBytes are how much the messages so far change the
	// number and the total size of the prepared statements.
	addedStatements, addedBytes int
	portals                     map[string]*preparedStatement
	// decoded holds the decoded messages, for execution by the proxy.
	decoded []pgproto3.FrontendMessage
	// query is the classified text of a Query message.
	query classifier.Statement
}

// plan plans a request. An error means that a message is malformed.
func (c *connection) plan(r *request) (*plan, error) {
	// A buffer that grows while messages are added would leave copies behind.
	r.messages = reserve(r.messages[:0], len(r.raw))
	p := &plan{connection: c, request: r, messages: r.messages, class: executor.ClassRead}
	p.inTransaction = c.status != statusIdle
	p.aborted = c.status == statusFailed && c.exchange == nil
	p.failed = c.status == statusFailed && c.exchange != nil
	p.isPrepared = func(name string) bool { return name == "all" || c.statements.byName[name] != nil }
	if p.refusal = c.payForMessages(len(r.ends)); p.refusal != nil {
		// It is not known whether the batch was to begin a transaction.
		p.inTransaction = true
		return p, nil
	}
	for i := range r.ends {
		message, err := r.decode(i)
		if err != nil {
			return nil, err
		}
		if refusal := p.addMessage(message, r.frame(i)); refusal != nil {
			p.refusal = refusal
			break
		}
	}
	if p.hasProxyStatement && p.hasEndpointStatement && p.refusal == nil {
		p.refusal = executor.RefuseNotRun(executor.CodeNotSupported,
			"statements of the proxy cannot be combined with others in one batch")
	}
	r.messages = p.messages
	if p.refusal == nil {
		p.refusal = c.payForTexts(p.referencedBytes)
	}
	return p, nil
}

// addMessage adds one message to the plan.
func (p *plan) addMessage(message pgproto3.FrontendMessage, frame []byte) *executor.Refusal {
	p.decoded = append(p.decoded, message)
	switch m := message.(type) {
	case *pgproto3.Parse:
		return p.addParse(m)
	case *pgproto3.Bind:
		return p.addBind(m, frame)
	case *pgproto3.Describe:
		return p.addDescribe(m, frame)
	case *pgproto3.Execute:
		return p.addExecute(m, frame)
	case *pgproto3.Close:
		p.addClose(m, frame)
	case *pgproto3.Query:
		return p.addQuery(m, frame)
	case *pgproto3.FunctionCall:
		return executor.RefuseNotRun(executor.CodeNotSupported, "function call messages are not supported")
	case *pgproto3.Flush:
		return p.addFlush()
	default:
		p.messages = append(p.messages, frame...)
	}
	return nil
}

// recordDestination records the destination of a statement.
func (p *plan) recordDestination(text string, statement classifier.Statement) *executor.Refusal {
	dest, refusal := p.dispatchText(text, statement)
	p.hasProxyStatement = p.hasProxyStatement || dest == destinationProxy
	p.hasEndpointStatement = p.hasEndpointStatement || (dest == destinationEndpoint && refusal == nil)
	return refusal
}

func (p *plan) addParse(m *pgproto3.Parse) *executor.Refusal {
	if _, exists := p.lookup(m.Name); exists && m.Name != "" {
		return executor.RefuseNotRun(executor.CodeDuplicateStatement, "prepared statement already exists")
	}
	defined := newPreparedStatement(m)
	if p.exceedsLimits(m.Name, defined) {
		return executor.RefuseNotRun(executor.CodeTooLarge, "too many prepared statements")
	}
	wasInTransaction := p.inTransaction
	if refusal := p.recordDestination(m.Query, defined.classified); refusal != nil {
		return refusal
	}
	// Parsing BEGIN or COMMIT does not execute it, so the state is unchanged.
	p.inTransaction = wasInTransaction
	p.recordChange(m.Name, defined)
	if m.Name != "" {
		renamed := *m
		renamed.Name = defined.endpointName()
		m = &renamed
	}
	return p.appendEncoded(m)
}

func (p *plan) addBind(m *pgproto3.Bind, frame []byte) *executor.Refusal {
	p.hasBind = true
	statement, endpointName, refusal := p.resolve(m.PreparedStatement)
	if refusal != nil {
		return refusal
	}
	if refusal := p.recordDestination(statement.text.Value().query, statement.classified); refusal != nil {
		return refusal
	}
	if p.portals == nil {
		p.portals = make(map[string]*preparedStatement)
	}
	p.portals[m.DestinationPortal] = statement
	// A later batch of the transaction may execute the portal.
	p.changesConnectionState = p.changesConnectionState || statement.classified.ChangesConnectionState
	if endpointName == m.PreparedStatement {
		p.messages = append(p.messages, frame...)
		return nil
	}
	renamed := *m
	renamed.PreparedStatement = endpointName
	return p.appendEncoded(&renamed)
}

func (p *plan) addDescribe(m *pgproto3.Describe, frame []byte) *executor.Refusal {
	if m.ObjectType != 'S' {
		p.messages = append(p.messages, frame...)
		return p.checkPortal(m.Name)
	}
	statement, endpointName, refusal := p.resolve(m.Name)
	if refusal != nil {
		return refusal
	}
	wasInTransaction := p.inTransaction
	if refusal := p.recordDestination(statement.text.Value().query, statement.classified); refusal != nil {
		return refusal
	}
	p.inTransaction = wasInTransaction
	return p.appendEncoded(&pgproto3.Describe{ObjectType: 'S', Name: endpointName})
}

func (p *plan) addExecute(m *pgproto3.Execute, frame []byte) *executor.Refusal {
	p.messages = append(p.messages, frame...)
	statement, bound := p.portals[m.Portal]
	if !bound {
		p.mergeClass(executor.ClassWrite)
		return p.checkPortal(m.Portal)
	}
	p.mergeClass(statement.classified.Class)
	return nil
}

// checkPortal checks that a portal is bound in this batch, or may have been
// bound by an earlier batch of the transaction.
func (p *plan) checkPortal(name string) *executor.Refusal {
	if _, bound := p.portals[name]; bound {
		return nil
	}
	if p.connection.exchange == nil {
		return executor.RefuseNotRun(codeUndefinedCursor, "portal does not exist")
	}
	p.hasEndpointStatement = true
	return nil
}

func (p *plan) addClose(m *pgproto3.Close, frame []byte) {
	if m.ObjectType != 'S' {
		p.statementChanges = append(p.statementChanges, statementChange{isPortal: true})
		p.messages = append(p.messages, frame...)
		return
	}
	p.recordChange(m.Name, nil)
	// The statement remains prepared at the endpoint, where other connections
	// may use it.
	p.messages, _ = (&pgproto3.Close{ObjectType: 'S', Name: nonexistentName}).Encode(p.messages)
}

func (p *plan) addQuery(m *pgproto3.Query, frame []byte) *executor.Refusal {
	p.query = classifier.Classify(m.String)
	if refusal := p.recordDestination(m.String, p.query); refusal != nil {
		return refusal
	}
	p.changesConnectionState = p.changesConnectionState || p.query.ChangesConnectionState
	if p.query.Kind != classifier.KindEmpty {
		p.mergeClass(p.query.Class)
	}
	p.messages = append(p.messages, frame...)
	return nil
}

// addFlush ends the batch at a Flush message. A batch ends with Sync, which
// outside a transaction commits and closes portals; this makes no difference to
// the client only if nothing was bound.
func (p *plan) addFlush() *executor.Refusal {
	if p.hasBind && p.hasEndpointStatement && !p.inTransaction {
		return executor.RefuseNotRun(executor.CodeNotSupported,
			"Flush after Bind is supported in a transaction only")
	}
	p.messages, _ = (&pgproto3.Sync{}).Encode(p.messages)
	return nil
}

// mergeClass combines class with that of the batch so far.
func (p *plan) mergeClass(class executor.Class) {
	switch {
	case !p.hasExecute:
		p.class = class
	case p.class != executor.ClassRead || class != executor.ClassRead:
		p.class = executor.ClassWrite
	}
	p.hasExecute = true
}

// appendEncoded appends a message that differs from the one received.
func (p *plan) appendEncoded(m pgproto3.FrontendMessage) *executor.Refusal {
	messages, err := m.Encode(p.messages)
	if err != nil {
		return executor.RefuseNotRun(executor.CodeTooLarge, "message is too large")
	}
	p.messages = messages
	return nil
}

// recordChange records that a message defines a prepared statement or, if
// statement is nil, closes it.
func (p *plan) recordChange(name string, statement *preparedStatement) {
	added, bytes := p.growth(name, statement)
	p.addedStatements += added
	p.addedBytes += bytes
	if p.changedStatements == nil {
		p.changedStatements = make(map[string]*preparedStatement)
	}
	p.changedStatements[name] = statement
	p.statementChanges = append(p.statementChanges, statementChange{name: name, statement: statement})
}

// growth returns how much the number and the total size of the prepared statements
// change if the statement of a name is replaced; nil closes it.
func (p *plan) growth(name string, statement *preparedStatement) (count, bytes int) {
	if previous, exists := p.lookup(name); exists {
		count, bytes = -1, -previous.sizeAs(name)
	}
	if statement != nil {
		count, bytes = count+1, bytes+statement.sizeAs(name)
	}
	return count, bytes
}

// exceedsLimits reports whether the connection would have too many or too large
// prepared statements if the statement of a name was defined next.
func (p *plan) exceedsLimits(name string, statement *preparedStatement) bool {
	existing, a := &p.connection.statements, p.connection.acceptor
	count, bytes := p.growth(name, statement)
	return len(existing.byName)+p.addedStatements+count > a.MaxStatements ||
		existing.totalBytes+p.addedBytes+bytes > a.MaxStatementBytes
}

// lookup returns the prepared statement of a name after the messages so far.
func (p *plan) lookup(name string) (*preparedStatement, bool) {
	if statement, changed := p.changedStatements[name]; changed {
		return statement, statement != nil
	}
	statement, known := p.connection.statements.byName[name]
	return statement, known
}

// resolve returns the prepared statement that a message refers to, and its name
// at the endpoint. The unnamed statement keeps its name only within the batch
// that defines it; in later batches it has a name derived from its text.
func (p *plan) resolve(name string) (*preparedStatement, string, *executor.Refusal) {
	statement, known := p.lookup(name)
	if !known {
		return nil, "", executor.RefuseNotRun(executor.CodeUndefinedStatement, "prepared statement does not exist")
	}
	if p.changedStatements[name] != nil {
		if name == "" {
			return statement, "", nil
		}
		return statement, statement.endpointName(), nil
	}
	for _, r := range p.references {
		if r.Name == statement.endpointName() {
			return statement, statement.endpointName(), nil
		}
	}
	p.references = append(p.references, statement.executorStatement())
	p.referencedBytes += statement.sizeAs("")
	return statement, statement.endpointName(), nil
}
