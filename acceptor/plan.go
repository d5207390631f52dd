package acceptor

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/endiveturn/endiveturn/classifier"
	"github.com/endiveturn/endiveturn/executor"
)

// A definition is a change of the prepared statements, in the order in which
// an endpoint or the acceptor confirms them.
type definition struct {
	// prepared is the statement that is defined, nil for one that is closed.
	prepared *prepared
	// name is the caller's name.
	name string
	// portal is set for the closing of a portal, which changes nothing here.
	portal bool
}

// A plan says what to do with a request.
type plan struct {
	scope
	connection *connection
	request    *request
	// refusal is set if the request is not run.
	refusal *executor.Refusal
	// own and endpoint are set if a statement has that place.
	own, endpoint bool
	// messages, referred, class and tainting make up the batch.
	messages []byte
	referred []executor.Statement
	class    executor.Class
	tainting bool
	// binds and executes are set if the request has such messages.
	binds, executes bool
	definitions     []definition
	// here holds the statements as they are after the messages so far, if
	// these changed them; nil stands for a closed one.
	here    map[string]*prepared
	portals map[string]*prepared
	// steps are the decoded messages, for an answer by the acceptor.
	steps []pgproto3.FrontendMessage
	// query is the classified text of a Query message.
	query classifier.Statement
}

// plan plans a request. An error says that a message is malformed.
func (c *connection) plan(r *request) (*plan, error) {
	p := &plan{connection: c, request: r, messages: r.messages[:0], class: executor.ClassRead}
	p.inTransaction = c.status != statusIdle
	p.aborted = c.status == statusFailed && c.exchange == nil
	p.failed = c.status == statusFailed && c.exchange != nil
	p.deallocatable = func(name string) bool { return name == "all" || c.statements.byName[name] != nil }
	for i := range r.ends {
		message, err := r.decode(i)
		if err != nil {
			return nil, err
		}
		if refusal := p.add(message, r.frame(i)); refusal != nil {
			p.refusal = refusal
			break
		}
	}
	if p.own && p.endpoint && p.refusal == nil {
		p.refusal = executor.RefuseNotRun(executor.CodeNotSupported,
			"statements of the proxy cannot be combined with others in one batch")
	}
	r.messages = p.messages
	return p, nil
}

// add plans one message.
func (p *plan) add(message pgproto3.FrontendMessage, frame []byte) *executor.Refusal {
	p.steps = append(p.steps, message)
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

// locate notes who answers a statement.
func (p *plan) locate(text string, statement classifier.Statement) *executor.Refusal {
	where, refusal := p.placeText(text, statement)
	p.own = p.own || where == placeOwn
	p.endpoint = p.endpoint || (where == placeEndpoint && refusal == nil)
	return refusal
}

func (p *plan) addParse(m *pgproto3.Parse) *executor.Refusal {
	if _, exists := p.lookup(m.Name); exists && m.Name != "" {
		return executor.RefuseNotRun(executor.CodeDuplicateStatement, "prepared statement already exists")
	}
	defined := newPrepared(m)
	kept, a := &p.connection.statements, p.connection.acceptor
	if len(kept.byName)+len(p.definitions) >= a.MaxStatements || kept.bytes+defined.size() > a.MaxStatementBytes {
		return executor.RefuseNotRun(executor.CodeTooLarge, "too many prepared statements")
	}
	before := p.inTransaction
	if refusal := p.locate(m.Query, defined.statement); refusal != nil {
		return refusal
	}
	// Parsing BEGIN or COMMIT does not execute it.
	p.inTransaction = before
	p.define(m.Name, defined)
	if m.Name != "" {
		renamed := *m
		renamed.Name = defined.endpointName()
		m = &renamed
	}
	return p.encode(m)
}

func (p *plan) addBind(m *pgproto3.Bind, frame []byte) *executor.Refusal {
	p.binds = true
	statement, endpointName, refusal := p.refer(m.PreparedStatement)
	if refusal != nil {
		return refusal
	}
	if refusal := p.locate(statement.text.Value().query, statement.statement); refusal != nil {
		return refusal
	}
	if p.portals == nil {
		p.portals = make(map[string]*prepared)
	}
	p.portals[m.DestinationPortal] = statement
	if endpointName == m.PreparedStatement {
		p.messages = append(p.messages, frame...)
		return nil
	}
	renamed := *m
	renamed.PreparedStatement = endpointName
	return p.encode(&renamed)
}

func (p *plan) addDescribe(m *pgproto3.Describe, frame []byte) *executor.Refusal {
	if m.ObjectType != 'S' {
		p.messages = append(p.messages, frame...)
		return p.checkPortal(m.Name)
	}
	statement, endpointName, refusal := p.refer(m.Name)
	if refusal != nil {
		return refusal
	}
	before := p.inTransaction
	if refusal := p.locate(statement.text.Value().query, statement.statement); refusal != nil {
		return refusal
	}
	p.inTransaction = before
	return p.encode(&pgproto3.Describe{ObjectType: 'S', Name: endpointName})
}

func (p *plan) addExecute(m *pgproto3.Execute, frame []byte) *executor.Refusal {
	p.messages = append(p.messages, frame...)
	statement, bound := p.portals[m.Portal]
	if !bound {
		p.merge(executor.ClassWrite)
		return p.checkPortal(m.Portal)
	}
	p.tainting = p.tainting || statement.statement.Tainting
	p.merge(statement.statement.Class)
	return nil
}

// checkPortal checks that a portal is bound in the batch or may be of an
// earlier batch of the transaction.
func (p *plan) checkPortal(name string) *executor.Refusal {
	if _, bound := p.portals[name]; bound {
		return nil
	}
	if p.connection.exchange == nil {
		return executor.RefuseNotRun(codeUndefinedCursor, "portal does not exist")
	}
	p.endpoint = true
	return nil
}

func (p *plan) addClose(m *pgproto3.Close, frame []byte) {
	if m.ObjectType != 'S' {
		p.definitions = append(p.definitions, definition{portal: true})
		p.messages = append(p.messages, frame...)
		return
	}
	p.define(m.Name, nil)
	// The statement stays at the endpoint, where others may use it.
	p.messages, _ = (&pgproto3.Close{ObjectType: 'S', Name: closedName}).Encode(p.messages)
}

func (p *plan) addQuery(m *pgproto3.Query, frame []byte) *executor.Refusal {
	p.query = classifier.Classify(m.String)
	if refusal := p.locate(m.String, p.query); refusal != nil {
		return refusal
	}
	p.tainting = p.tainting || p.query.Tainting
	if p.query.Kind != classifier.KindEmpty {
		p.merge(p.query.Class)
	}
	p.messages = append(p.messages, frame...)
	return nil
}

// addFlush ends the batch early. A batch ends with Sync, which outside a
// transaction commits and drops portals; that is the same to the caller only
// if nothing was bound.
func (p *plan) addFlush() *executor.Refusal {
	if p.binds && p.endpoint && !p.inTransaction {
		return executor.RefuseNotRun(executor.CodeNotSupported,
			"Flush after Bind is supported in a transaction only")
	}
	p.messages, _ = (&pgproto3.Sync{}).Encode(p.messages)
	return nil
}

// merge makes class part of that of the batch.
func (p *plan) merge(class executor.Class) {
	switch {
	case !p.executes:
		p.class = class
	case p.class != executor.ClassRead || class != executor.ClassRead:
		p.class = executor.ClassWrite
	}
	p.executes = true
}

// encode adds a message that differs from the caller's.
func (p *plan) encode(m pgproto3.FrontendMessage) *executor.Refusal {
	messages, err := m.Encode(p.messages)
	if err != nil {
		return executor.RefuseNotRun(executor.CodeTooLarge, "message is too large")
	}
	p.messages = messages
	return nil
}

// define notes that a message changes the statement of a name.
func (p *plan) define(name string, statement *prepared) {
	if p.here == nil {
		p.here = make(map[string]*prepared)
	}
	p.here[name] = statement
	p.definitions = append(p.definitions, definition{name: name, prepared: statement})
}

// lookup returns the statement of a name as of the messages so far.
func (p *plan) lookup(name string) (*prepared, bool) {
	if statement, changed := p.here[name]; changed {
		return statement, statement != nil
	}
	statement, known := p.connection.statements.byName[name]
	return statement, known
}

// refer returns a statement that a message refers to, and the name by which
// the endpoint knows it: the unnamed one keeps its name only within the batch
// that defines it.
func (p *plan) refer(name string) (*prepared, string, *executor.Refusal) {
	statement, known := p.lookup(name)
	if !known {
		return nil, "", executor.RefuseNotRun(executor.CodeUndefinedStatement, "prepared statement does not exist")
	}
	if p.here[name] != nil {
		if name == "" {
			return statement, "", nil
		}
		return statement, statement.endpointName(), nil
	}
	for _, r := range p.referred {
		if r.Name == statement.endpointName() {
			return statement, statement.endpointName(), nil
		}
	}
	p.referred = append(p.referred, statement.executorStatement())
	return statement, statement.endpointName(), nil
}
