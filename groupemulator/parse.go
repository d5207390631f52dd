package groupemulator

import "slices"

// A parser parses a list of tokens into statements.
type parser struct {
	tokens     []token
	pos        int
	parameters []uint32
}

// parse returns the non-empty statements of SQL text, which are separated by
// semicolons.
func parse(sql string) ([]*statement, *sqlError) {
	tokens, err := tokenize(sql)
	if err != nil {
		return nil, err
	}
	p := &parser{tokens: tokens}
	var statements []*statement
	for {
		for p.acceptSymbol(";") {
		}
		if p.peek().kind == tokenEnd {
			return statements, nil
		}
		p.parameters = nil
		s, err := p.parseStatement()
		if err != nil {
			return nil, err
		}
		if end := p.peek(); end.kind != tokenEnd && end != (token{tokenSymbol, ";"}) {
			return nil, p.syntaxError()
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
	if p.pos < len(p.tokens) {
		return p.tokens[p.pos]
	}
	return token{}
}

func (p *parser) next() token {
	t := p.peek()
	p.pos++
	return t
}

// acceptKeywords consumes the keywords if they are the next tokens. Otherwise it
// consumes nothing.
func (p *parser) acceptKeywords(words ...string) bool {
	for i, w := range words {
		if p.pos+i >= len(p.tokens) || p.tokens[p.pos+i] != (token{tokenWord, w}) {
			return false
		}
	}
	p.pos += len(words)
	return true
}

func (p *parser) acceptSymbol(s string) bool {
	if p.peek() == (token{tokenSymbol, s}) {
		p.pos++
		return true
	}
	return false
}

func (p *parser) expectSymbol(s string) *sqlError {
	if !p.acceptSymbol(s) {
		return p.syntaxError()
	}
	return nil
}

func (p *parser) syntaxError() *sqlError {
	if t := p.peek(); t.kind != tokenEnd {
		return sqlErrorf(codeSyntax, "syntax error at or near %q", t.text)
	}
	return sqlErrorf(codeSyntax, "syntax error at end of input")
}

// parseName consumes an identifier, which may be qualified with dots.
func (p *parser) parseName() (string, *sqlError) {
	if p.peek().kind != tokenWord {
		return "", p.syntaxError()
	}
	name := p.next().text
	for p.acceptSymbol(".") {
		if p.peek().kind != tokenWord {
			return "", p.syntaxError()
		}
		name += "." + p.next().text
	}
	return name, nil
}

// skipToEnd consumes all tokens up to the end of the statement.
func (p *parser) skipToEnd() {
	for t := p.peek(); t.kind != tokenEnd && t != (token{tokenSymbol, ";"}); t = p.peek() {
		p.pos++
	}
}

func (p *parser) parseStatement() (*statement, *sqlError) {
	switch {
	case p.acceptKeywords("select"):
		return p.parseSelect()
	case p.acceptKeywords("insert", "into"):
		return p.parseInsert()
	case p.acceptKeywords("update"):
		return p.parseUpdate()
	case p.acceptKeywords("delete", "from"):
		return p.parseDelete()
	case p.acceptKeywords("create", "table"):
		p.skipToEnd()
		return &statement{kind: statementCreate, tag: "CREATE TABLE"}, nil
	case p.acceptKeywords("begin"), p.acceptKeywords("start", "transaction"):
		return p.parseBegin(), nil
	case p.acceptKeywords("commit"), p.acceptKeywords("end"):
		_ = p.acceptKeywords("transaction") || p.acceptKeywords("work")
		return &statement{kind: statementCommit, tag: "COMMIT"}, nil
	case p.acceptKeywords("rollback"), p.acceptKeywords("abort"):
		_ = p.acceptKeywords("transaction") || p.acceptKeywords("work")
		return &statement{kind: statementRollback, tag: "ROLLBACK"}, nil
	default:
		return p.parseSessionStatement()
	}
}

// parseSessionStatement parses a statement that reads or changes the state of
// the session.
func (p *parser) parseSessionStatement() (*statement, *sqlError) {
	switch {
	case p.acceptKeywords("set"):
		return p.parseSet()
	case p.acceptKeywords("show"):
		name, err := p.parseName()
		return &statement{kind: statementShow, name: name, tag: "SHOW"}, err
	case p.acceptKeywords("reset", "all"), p.acceptKeywords("discard", "all"):
		return &statement{kind: statementReset, tag: "RESET"}, nil
	case p.acceptKeywords("reset"):
		name, err := p.parseName()
		return &statement{kind: statementReset, name: name, tag: "RESET"}, err
	case p.acceptKeywords("deallocate"):
		_ = p.acceptKeywords("prepare")
		if p.acceptKeywords("all") {
			return &statement{kind: statementDeallocate, tag: "DEALLOCATE ALL"}, nil
		}
		name, err := p.parseName()
		return &statement{kind: statementDeallocate, name: name, tag: "DEALLOCATE"}, err
	default:
		return nil, p.syntaxError()
	}
}

func (p *parser) parseBegin() *statement {
	s := &statement{kind: statementBegin, tag: "BEGIN"}
	for t := p.peek(); t.kind != tokenEnd && t != (token{tokenSymbol, ";"}); t = p.peek() {
		if p.acceptKeywords("read", "only") {
			s.readOnly = true
			continue
		}
		p.pos++
	}
	return s
}

func (p *parser) parseSet() (*statement, *sqlError) {
	if p.acceptKeywords("transaction") {
		s := p.parseBegin()
		s.kind, s.tag = statementSetTransaction, "SET"
		return s, nil
	}
	_ = p.acceptKeywords("session") || p.acceptKeywords("local")
	name, err := p.parseName()
	if err != nil {
		return nil, err
	}
	if !p.acceptSymbol("=") && !p.acceptKeywords("to") {
		return nil, p.syntaxError()
	}
	s := &statement{kind: statementSet, name: name, tag: "SET"}
	if p.acceptKeywords("default") {
		s.kind = statementReset
	}
	for t := p.peek(); t.kind != tokenEnd && t != (token{tokenSymbol, ";"}); t = p.peek() {
		s.text += p.next().text
	}
	return s, nil
}

// parseTableName consumes the name of the only table, bookings.
func (p *parser) parseTableName() *sqlError {
	name, err := p.parseName()
	if err != nil {
		return err
	}
	if name != "bookings" && name != "public.bookings" {
		return sqlErrorf(codeUnknownTable, "relation %q does not exist", name)
	}
	return nil
}

func (p *parser) parseInsert() (*statement, *sqlError) {
	s := &statement{kind: statementInsert, tag: "INSERT 0", columns: bookingColumns}
	if err := p.parseTableName(); err != nil {
		return nil, err
	}
	if p.acceptSymbol("(") {
		s.columns = nil
		for {
			column, err := p.parseColumn()
			if err != nil {
				return nil, err
			}
			s.columns = append(s.columns, column)
			if !p.acceptSymbol(",") {
				break
			}
		}
		if err := p.expectSymbol(")"); err != nil {
			return nil, err
		}
	}
	if !p.acceptKeywords("values") {
		return nil, p.syntaxError()
	}
	for {
		values, err := p.parseValues(s.columns)
		if err != nil {
			return nil, err
		}
		s.values = append(s.values, values)
		if !p.acceptSymbol(",") {
			break
		}
	}
	return s, p.parseOnConflict(s)
}

func (p *parser) parseValues(columns []string) ([]*expression, *sqlError) {
	if err := p.expectSymbol("("); err != nil {
		return nil, err
	}
	values, err := p.parseExpressionList()
	if err != nil {
		return nil, err
	}
	if len(values) != len(columns) {
		return nil, sqlErrorf(codeSyntax, "INSERT has %d values for %d columns", len(values), len(columns))
	}
	for i, v := range values {
		if v.containsCall() {
			return nil, errCallNotAllowed()
		}
		p.inferType(v, columnType(columns[i]))
	}
	return values, nil
}

func (p *parser) parseOnConflict(s *statement) *sqlError {
	if !p.acceptKeywords("on", "conflict") {
		return nil
	}
	if p.acceptSymbol("(") {
		if !p.acceptKeywords("id") {
			return p.syntaxError()
		}
		if err := p.expectSymbol(")"); err != nil {
			return err
		}
	}
	if !p.acceptKeywords("do", "nothing") {
		return p.syntaxError()
	}
	s.skipConflicts = true
	return nil
}

func (p *parser) parseUpdate() (*statement, *sqlError) {
	s := &statement{kind: statementUpdate, tag: "UPDATE"}
	if err := p.parseTableName(); err != nil {
		return nil, err
	}
	if !p.acceptKeywords("set") {
		return nil, p.syntaxError()
	}
	for {
		assignment, err := p.parseEquality()
		if err != nil {
			return nil, err
		}
		if assignment.column == "id" {
			return nil, sqlErrorf(codeNotSupported, "the id of a booking cannot change")
		}
		s.assignments = append(s.assignments, assignment)
		if !p.acceptSymbol(",") {
			return s, p.parseWhere(s)
		}
	}
}

func (p *parser) parseDelete() (*statement, *sqlError) {
	s := &statement{kind: statementDelete, tag: "DELETE"}
	if err := p.parseTableName(); err != nil {
		return nil, err
	}
	return s, p.parseWhere(s)
}

func (p *parser) parseWhere(s *statement) *sqlError {
	if !p.acceptKeywords("where") {
		return nil
	}
	for {
		c, err := p.parseEquality()
		if err != nil {
			return err
		}
		s.where = append(s.where, c)
		if !p.acceptKeywords("and") {
			return nil
		}
	}
}

func (p *parser) parseEquality() (condition, *sqlError) {
	column, err := p.parseColumn()
	if err != nil {
		return condition{}, err
	}
	if err := p.expectSymbol("="); err != nil {
		return condition{}, err
	}
	e, err := p.parseExpression()
	if err != nil {
		return condition{}, err
	}
	if e.containsCall() {
		return condition{}, errCallNotAllowed()
	}
	p.inferType(e, columnType(column))
	return condition{column, e}, nil
}

func (p *parser) parseColumn() (string, *sqlError) {
	name, err := p.parseName()
	if err != nil {
		return "", err
	}
	if !slices.Contains(bookingColumns, name) {
		return "", sqlErrorf(codeUnknownColumn, "column %q does not exist", name)
	}
	return name, nil
}
