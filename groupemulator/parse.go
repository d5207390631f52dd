package groupemulator

import "slices"

// A parser reads statements from tokens.
type parser struct {
	tokens     []token
	next       int
	parameters []uint32
}

// parse returns the statements of SQL text that are separated by semicolons,
// without empty ones.
func parse(sql string) ([]*statement, *sqlError) {
	tokens, err := tokenize(sql)
	if err != nil {
		return nil, err
	}
	p := &parser{tokens: tokens}
	var statements []*statement
	for {
		for p.symbol(";") {
		}
		if p.peek().kind == tokenEnd {
			return statements, nil
		}
		p.parameters = nil
		s, err := p.statement()
		if err != nil {
			return nil, err
		}
		if end := p.peek(); end.kind != tokenEnd && end != (token{tokenSymbol, ";"}) {
			return nil, p.unexpected()
		}
		s.parameters = p.parameters
		for i, oid := range s.parameters {
			if oid == 0 {
				s.parameters[i] = oidText
			}
		}
		statements = append(statements, s)
	}
}

func (p *parser) peek() token {
	if p.next < len(p.tokens) {
		return p.tokens[p.next]
	}
	return token{}
}

func (p *parser) take() token {
	t := p.peek()
	p.next++
	return t
}

// word consumes the keywords if they come next, all or none of them.
func (p *parser) word(words ...string) bool {
	for i, w := range words {
		if p.next+i >= len(p.tokens) || p.tokens[p.next+i] != (token{tokenWord, w}) {
			return false
		}
	}
	p.next += len(words)
	return true
}

func (p *parser) symbol(s string) bool {
	if p.peek() == (token{tokenSymbol, s}) {
		p.next++
		return true
	}
	return false
}

func (p *parser) expect(s string) *sqlError {
	if !p.symbol(s) {
		return p.unexpected()
	}
	return nil
}

func (p *parser) unexpected() *sqlError {
	if t := p.peek(); t.kind != tokenEnd {
		return failf(codeSyntax, "syntax error at or near %q", t.text)
	}
	return failf(codeSyntax, "syntax error at end of input")
}

// name consumes an identifier, which may be qualified by dots.
func (p *parser) name() (string, *sqlError) {
	if p.peek().kind != tokenWord {
		return "", p.unexpected()
	}
	name := p.take().text
	for p.symbol(".") {
		if p.peek().kind != tokenWord {
			return "", p.unexpected()
		}
		name += "." + p.take().text
	}
	return name, nil
}

// skip consumes everything up to the end of the statement.
func (p *parser) skip() {
	for t := p.peek(); t.kind != tokenEnd && t != (token{tokenSymbol, ";"}); t = p.peek() {
		p.next++
	}
}

func (p *parser) statement() (*statement, *sqlError) {
	switch {
	case p.word("select"):
		return p.selection()
	case p.word("insert", "into"):
		return p.insert()
	case p.word("update"):
		return p.update()
	case p.word("delete", "from"):
		return p.deletion()
	case p.word("create", "table"):
		p.skip()
		return &statement{kind: statementCreate, tag: "CREATE TABLE"}, nil
	case p.word("begin"), p.word("start", "transaction"):
		return p.begin(), nil
	case p.word("commit"), p.word("end"):
		_ = p.word("transaction") || p.word("work")
		return &statement{kind: statementCommit, tag: "COMMIT"}, nil
	case p.word("rollback"), p.word("abort"):
		_ = p.word("transaction") || p.word("work")
		return &statement{kind: statementRollback, tag: "ROLLBACK"}, nil
	default:
		return p.session()
	}
}

// session parses the statements about the state of a session.
func (p *parser) session() (*statement, *sqlError) {
	switch {
	case p.word("set"):
		return p.set()
	case p.word("show"):
		name, err := p.name()
		return &statement{kind: statementShow, name: name, tag: "SHOW"}, err
	case p.word("reset", "all"), p.word("discard", "all"):
		return &statement{kind: statementReset, tag: "RESET"}, nil
	case p.word("reset"):
		name, err := p.name()
		return &statement{kind: statementReset, name: name, tag: "RESET"}, err
	case p.word("deallocate"):
		_ = p.word("prepare")
		if p.word("all") {
			return &statement{kind: statementDeallocate, tag: "DEALLOCATE ALL"}, nil
		}
		name, err := p.name()
		return &statement{kind: statementDeallocate, name: name, tag: "DEALLOCATE"}, err
	default:
		return nil, p.unexpected()
	}
}

func (p *parser) begin() *statement {
	s := &statement{kind: statementBegin, tag: "BEGIN"}
	for t := p.peek(); t.kind != tokenEnd && t != (token{tokenSymbol, ";"}); t = p.peek() {
		if p.word("read", "only") {
			s.readOnly = true
			continue
		}
		p.next++
	}
	return s
}

func (p *parser) set() (*statement, *sqlError) {
	if p.word("transaction") {
		s := p.begin()
		s.kind, s.tag = statementSetTransaction, "SET"
		return s, nil
	}
	_ = p.word("session") || p.word("local")
	name, err := p.name()
	if err != nil {
		return nil, err
	}
	if !p.symbol("=") && !p.word("to") {
		return nil, p.unexpected()
	}
	s := &statement{kind: statementSet, name: name, tag: "SET"}
	if p.word("default") {
		s.kind = statementReset
	}
	for t := p.peek(); t.kind != tokenEnd && t != (token{tokenSymbol, ";"}); t = p.peek() {
		s.text += p.take().text
	}
	return s, nil
}

// bookings consumes the name of the only table that exists.
func (p *parser) bookings() *sqlError {
	name, err := p.name()
	if err != nil {
		return err
	}
	if name != "bookings" && name != "public.bookings" {
		return failf(codeUnknownTable, "relation %q does not exist", name)
	}
	return nil
}

func (p *parser) insert() (*statement, *sqlError) {
	s := &statement{kind: statementInsert, tag: "INSERT 0", columns: bookingColumns}
	if err := p.bookings(); err != nil {
		return nil, err
	}
	if p.symbol("(") {
		s.columns = nil
		for {
			column, err := p.column()
			if err != nil {
				return nil, err
			}
			s.columns = append(s.columns, column)
			if !p.symbol(",") {
				break
			}
		}
		if err := p.expect(")"); err != nil {
			return nil, err
		}
	}
	if !p.word("values") {
		return nil, p.unexpected()
	}
	for {
		values, err := p.values(s.columns)
		if err != nil {
			return nil, err
		}
		s.values = append(s.values, values)
		if !p.symbol(",") {
			break
		}
	}
	return s, p.conflict(s)
}

func (p *parser) values(columns []string) ([]*expression, *sqlError) {
	if err := p.expect("("); err != nil {
		return nil, err
	}
	values, err := p.list()
	if err != nil {
		return nil, err
	}
	if len(values) != len(columns) {
		return nil, failf(codeSyntax, "INSERT has %d values for %d columns", len(values), len(columns))
	}
	for i, v := range values {
		if v.calls() {
			return nil, errCall()
		}
		p.infer(v, columnType(columns[i]))
	}
	return values, nil
}

func (p *parser) conflict(s *statement) *sqlError {
	if !p.word("on", "conflict") {
		return nil
	}
	if p.symbol("(") {
		if !p.word("id") {
			return p.unexpected()
		}
		if err := p.expect(")"); err != nil {
			return err
		}
	}
	if !p.word("do", "nothing") {
		return p.unexpected()
	}
	s.skipConflicts = true
	return nil
}

func (p *parser) update() (*statement, *sqlError) {
	s := &statement{kind: statementUpdate, tag: "UPDATE"}
	if err := p.bookings(); err != nil {
		return nil, err
	}
	if !p.word("set") {
		return nil, p.unexpected()
	}
	for {
		assignment, err := p.comparison()
		if err != nil {
			return nil, err
		}
		if assignment.column == "id" {
			return nil, failf(codeNotSupported, "the id of a booking cannot change")
		}
		s.assignments = append(s.assignments, assignment)
		if !p.symbol(",") {
			return s, p.conditions(s)
		}
	}
}

func (p *parser) deletion() (*statement, *sqlError) {
	s := &statement{kind: statementDelete, tag: "DELETE"}
	if err := p.bookings(); err != nil {
		return nil, err
	}
	return s, p.conditions(s)
}

func (p *parser) conditions(s *statement) *sqlError {
	if !p.word("where") {
		return nil
	}
	for {
		c, err := p.comparison()
		if err != nil {
			return err
		}
		s.where = append(s.where, c)
		if !p.word("and") {
			return nil
		}
	}
}

func (p *parser) comparison() (condition, *sqlError) {
	column, err := p.column()
	if err != nil {
		return condition{}, err
	}
	if err := p.expect("="); err != nil {
		return condition{}, err
	}
	e, err := p.expression()
	if err != nil {
		return condition{}, err
	}
	if e.calls() {
		return condition{}, errCall()
	}
	p.infer(e, columnType(column))
	return condition{column, e}, nil
}

func (p *parser) column() (string, *sqlError) {
	name, err := p.name()
	if err != nil {
		return "", err
	}
	if !slices.Contains(bookingColumns, name) {
		return "", failf(codeUnknownColumn, "column %q does not exist", name)
	}
	return name, nil
}
