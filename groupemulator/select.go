package groupemulator

import (
	"slices"
	"strconv"
	"strings"
)

// maxParameters is the maximum number of parameters of a statement, as in the
// PostgreSQL protocol.
const maxParameters = 65535

// bookingColumns are the columns of the bookings table in order.
var bookingColumns = []string{"id", "customer", "amount"}

func columnType(column string) uint32 {
	if column == "amount" {
		return oidInt8
	}
	return oidText
}

// typesByName maps the type names allowed in a cast to type OIDs.
var typesByName = map[string]uint32{
	"int": oidInt4, "int4": oidInt4, "integer": oidInt4, "int8": oidInt8, "bigint": oidInt8,
	"text": oidText, "varchar": oidText, "float8": oidFloat8, "bool": oidBool, "boolean": oidBool,
}

// functions are the functions that a statement may call, with their argument and
// result types.
var functions = map[string]struct {
	arguments []uint32
	result    uint32
}{
	"count":             {[]uint32{oidInt8}, oidInt8},
	"sum":               {[]uint32{oidInt8}, oidInt8},
	"generate_series":   {[]uint32{oidInt4, oidInt4}, oidInt4},
	"pg_sleep":          {[]uint32{oidFloat8}, oidVoid},
	"pg_backend_pid":    {nil, oidInt4},
	"pg_is_in_recovery": {nil, oidBool},
	"current_setting":   {[]uint32{oidText}, oidText},
	"version":           {nil, oidText},
}

func (p *parser) parseSelect() (*statement, *sqlError) {
	s := &statement{kind: statementSelect, tag: "SELECT"}
	for {
		if p.acceptSymbol("*") {
			for _, c := range bookingColumns {
				s.items = append(s.items, columnItem(c))
			}
		} else {
			it, err := p.parseSelectItem()
			if err != nil {
				return nil, err
			}
			s.items = append(s.items, it)
		}
		if !p.acceptSymbol(",") {
			break
		}
	}
	if p.acceptKeywords("from") {
		return p.parseFrom(s)
	}
	for _, it := range s.items {
		if it.expression.needsBooking() {
			return nil, sqlErrorf(codeUnknownColumn, "column %q does not exist", it.name)
		}
	}
	return s, nil
}

func columnItem(column string) selectItem {
	return selectItem{&expression{kind: expressionColumn, name: column, oid: columnType(column)}, column}
}

func (p *parser) parseSelectItem() (selectItem, *sqlError) {
	e, err := p.parseExpression()
	if err != nil {
		return selectItem{}, err
	}
	p.inferType(e, oidText)
	it := selectItem{e, "?column?"}
	if e.kind == expressionColumn || e.kind == expressionCall {
		it.name = e.name
	}
	if p.acceptKeywords("as") {
		it.name, err = p.parseName()
	}
	return it, err
}

// parseFrom parses the FROM clause and the clauses that follow it.
func (p *parser) parseFrom(s *statement) (*statement, *sqlError) {
	if t := p.peek(); t.kind == tokenWord && strings.HasPrefix(t.text, "group_") {
		s.kind, s.name = statementAdmin, p.next().text
		if err := p.expectSymbol("("); err != nil {
			return nil, err
		}
		var err *sqlError
		s.arguments, err = p.parseExpressionList()
		return s, err
	}
	if err := p.parseTableName(); err != nil {
		return nil, err
	}
	s.readsTable = true
	if err := p.parseWhere(s); err != nil {
		return nil, err
	}
	if p.acceptKeywords("order", "by") {
		column, err := p.parseColumn()
		if err != nil {
			return nil, err
		}
		s.orderBy, s.descending = column, p.acceptKeywords("desc")
		_ = p.acceptKeywords("asc")
	}
	if p.acceptKeywords("limit") {
		limit, err := p.parseExpression()
		if err != nil {
			return nil, err
		}
		if limit.containsCall() {
			return nil, errCallNotAllowed()
		}
		p.inferType(limit, oidInt8)
		s.limit = limit
	}
	s.locksRows = p.acceptKeywords("for", "update") || p.acceptKeywords("for", "share")
	return s, nil
}

// parseExpressionList parses expressions up to the closing parenthesis.
func (p *parser) parseExpressionList() ([]*expression, *sqlError) {
	if p.acceptSymbol(")") {
		return nil, nil
	}
	var list []*expression
	for {
		e, err := p.parseExpression()
		if err != nil {
			return nil, err
		}
		list = append(list, e)
		if !p.acceptSymbol(",") {
			return list, p.expectSymbol(")")
		}
	}
}

// parseExpression parses operands joined by + and -.
func (p *parser) parseExpression() (*expression, *sqlError) {
	left, err := p.parseOperand()
	if err != nil {
		return nil, err
	}
	for {
		kind := expressionSum
		switch {
		case p.acceptSymbol("+"):
		case p.acceptSymbol("-"):
			kind = expressionDifference
		default:
			return left, nil
		}
		right, err := p.parseOperand()
		if err != nil {
			return nil, err
		}
		oid := max(left.oid, right.oid)
		if left.oid == oidInt8 || right.oid == oidInt8 || oid == 0 {
			oid = oidInt8
		}
		p.inferType(left, oid)
		p.inferType(right, oid)
		left = &expression{kind: kind, arguments: []*expression{left, right}, oid: oid}
	}
}

func (p *parser) parseOperand() (*expression, *sqlError) {
	e, err := p.parsePrimary()
	for err == nil && p.acceptSymbol("::") {
		var name string
		if name, err = p.parseName(); err != nil {
			break
		}
		oid, ok := typesByName[name]
		if !ok {
			return nil, sqlErrorf(codeUnknownSetting, "type %q does not exist", name)
		}
		p.inferType(e, oid)
		e.oid = oid
	}
	return e, err
}

func (p *parser) parsePrimary() (*expression, *sqlError) {
	t := p.next()
	switch {
	case t.kind == tokenString:
		return &expression{literal: value{text: t.text}, oid: oidText}, nil
	case t.kind == tokenNumber:
		return numberLiteral(t.text), nil
	case t == token{tokenSymbol, "-"} && p.peek().kind == tokenNumber:
		return numberLiteral("-" + p.next().text), nil
	case t == token{tokenSymbol, "("}:
		e, err := p.parseExpression()
		if err != nil {
			return nil, err
		}
		return e, p.expectSymbol(")")
	case t.kind == tokenParameter:
		n, err := strconv.Atoi(t.text)
		if err != nil || n < 1 || n > maxParameters {
			return nil, sqlErrorf(codeSyntax, "there is no parameter $%s", t.text)
		}
		for len(p.parameters) < n {
			p.parameters = append(p.parameters, 0)
		}
		return &expression{kind: expressionParameter, parameter: n - 1, oid: p.parameters[n-1]}, nil
	case t == token{tokenWord, "null"}:
		return &expression{literal: value{null: true}, oid: oidText}, nil
	case t == token{tokenWord, "true"}, t == token{tokenWord, "false"}:
		return &expression{literal: value{text: t.text[:1]}, oid: oidBool}, nil
	}
	p.pos--
	return p.parseReference()
}

// parseReference parses a column reference or a function call.
func (p *parser) parseReference() (*expression, *sqlError) {
	name, err := p.parseName()
	if err != nil {
		return nil, err
	}
	if !p.acceptSymbol("(") {
		p.pos--
		column, err := p.parseColumn()
		return &expression{kind: expressionColumn, name: column, oid: columnType(column)}, err
	}
	f, ok := functions[strings.TrimPrefix(name, "pg_catalog.")]
	if !ok {
		return nil, sqlErrorf(codeUnknownFunction, "function %s does not exist", name)
	}
	call := &expression{kind: expressionCall, name: strings.TrimPrefix(name, "pg_catalog."), oid: f.result}
	if call.name == "count" && p.acceptSymbol("*") {
		return call, p.expectSymbol(")")
	}
	if call.arguments, err = p.parseExpressionList(); err != nil {
		return nil, err
	}
	if len(call.arguments) != len(f.arguments) && call.name != "count" {
		return nil, sqlErrorf(codeUnknownFunction, "function %s takes %d arguments", name, len(f.arguments))
	}
	for i, a := range call.arguments {
		p.inferType(a, f.arguments[i])
	}
	return call, nil
}

func numberLiteral(text string) *expression {
	oid := uint32(oidInt4)
	if strings.Contains(text, ".") {
		oid = oidFloat8
	} else if _, err := strconv.ParseInt(text, 10, 32); err != nil {
		oid = oidInt8
	}
	return &expression{literal: value{text: text}, oid: oid}
}

// inferType assigns the type required by its context to a parameter of unknown
// type.
func (p *parser) inferType(e *expression, oid uint32) {
	if e.kind != expressionParameter || e.oid != 0 {
		return
	}
	e.oid = oid
	if p.parameters[e.parameter] == 0 {
		p.parameters[e.parameter] = oid
	}
}

// containsCall reports whether the expression calls a function. Functions may
// block, so they are only allowed where mu is not held: as items of a SELECT.
func (e *expression) containsCall() bool {
	return e.kind == expressionCall || slices.ContainsFunc(e.arguments, (*expression).containsCall)
}

func errCallNotAllowed() *sqlError {
	return sqlErrorf(codeNotSupported, "a function can only be called in the list of a SELECT")
}

// needsBooking reports whether the expression can only be evaluated over the
// table: it contains a column or an aggregate.
func (e *expression) needsBooking() bool {
	if e.kind == expressionColumn || e.kind == expressionCall && (e.name == "count" || e.name == "sum") {
		return true
	}
	for _, a := range e.arguments {
		if a.needsBooking() {
			return true
		}
	}
	return false
}
