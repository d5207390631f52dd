package groupemulator

import (
	"slices"
	"strconv"
	"strings"
)

// maxParameters bounds the parameters of a statement, as the protocol does.
const maxParameters = 65535

// bookingColumns are the columns of the table in their order.
var bookingColumns = []string{"id", "customer", "amount"}

func columnType(column string) uint32 {
	if column == "amount" {
		return oidInt8
	}
	return oidText
}

// typesByName are the types that a cast may name.
var typesByName = map[string]uint32{
	"int": oidInt4, "int4": oidInt4, "integer": oidInt4, "int8": oidInt8, "bigint": oidInt8,
	"text": oidText, "varchar": oidText, "float8": oidFloat8, "bool": oidBool, "boolean": oidBool,
}

// functions are the functions that a statement may call, with the types of
// their arguments and of their result.
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

func (p *parser) selection() (*statement, *sqlError) {
	s := &statement{kind: statementSelect, tag: "SELECT"}
	for {
		if p.symbol("*") {
			for _, c := range bookingColumns {
				s.items = append(s.items, columnItem(c))
			}
		} else {
			it, err := p.item()
			if err != nil {
				return nil, err
			}
			s.items = append(s.items, it)
		}
		if !p.symbol(",") {
			break
		}
	}
	if p.word("from") {
		return p.source(s)
	}
	for _, it := range s.items {
		if it.expression.usesTable() {
			return nil, failf(codeUnknownColumn, "column %q does not exist", it.name)
		}
	}
	return s, nil
}

func columnItem(column string) item {
	return item{&expression{kind: expressionColumn, name: column, oid: columnType(column)}, column}
}

func (p *parser) item() (item, *sqlError) {
	e, err := p.expression()
	if err != nil {
		return item{}, err
	}
	p.infer(e, oidText)
	it := item{e, "?column?"}
	if e.kind == expressionColumn || e.kind == expressionCall {
		it.name = e.name
	}
	if p.word("as") {
		it.name, err = p.name()
	}
	return it, err
}

// source parses what follows FROM.
func (p *parser) source(s *statement) (*statement, *sqlError) {
	if t := p.peek(); t.kind == tokenWord && strings.HasPrefix(t.text, "group_") {
		s.kind, s.name = statementAdmin, p.take().text
		if err := p.expect("("); err != nil {
			return nil, err
		}
		var err *sqlError
		s.arguments, err = p.list()
		return s, err
	}
	if err := p.bookings(); err != nil {
		return nil, err
	}
	s.table = true
	if err := p.conditions(s); err != nil {
		return nil, err
	}
	if p.word("order", "by") {
		column, err := p.column()
		if err != nil {
			return nil, err
		}
		s.orderBy, s.descending = column, p.word("desc")
		_ = p.word("asc")
	}
	if p.word("limit") {
		limit, err := p.expression()
		if err != nil {
			return nil, err
		}
		if limit.calls() {
			return nil, errCall()
		}
		p.infer(limit, oidInt8)
		s.limit = limit
	}
	s.locking = p.word("for", "update") || p.word("for", "share")
	return s, nil
}

// list parses expressions up to the closing parenthesis.
func (p *parser) list() ([]*expression, *sqlError) {
	if p.symbol(")") {
		return nil, nil
	}
	var list []*expression
	for {
		e, err := p.expression()
		if err != nil {
			return nil, err
		}
		list = append(list, e)
		if !p.symbol(",") {
			return list, p.expect(")")
		}
	}
}

// expression parses a sum of operands.
func (p *parser) expression() (*expression, *sqlError) {
	left, err := p.operand()
	if err != nil {
		return nil, err
	}
	for {
		kind := expressionSum
		switch {
		case p.symbol("+"):
		case p.symbol("-"):
			kind = expressionDifference
		default:
			return left, nil
		}
		right, err := p.operand()
		if err != nil {
			return nil, err
		}
		oid := max(left.oid, right.oid)
		if left.oid == oidInt8 || right.oid == oidInt8 || oid == 0 {
			oid = oidInt8
		}
		p.infer(left, oid)
		p.infer(right, oid)
		left = &expression{kind: kind, arguments: []*expression{left, right}, oid: oid}
	}
}

func (p *parser) operand() (*expression, *sqlError) {
	e, err := p.primary()
	for err == nil && p.symbol("::") {
		var name string
		if name, err = p.name(); err != nil {
			break
		}
		oid, ok := typesByName[name]
		if !ok {
			return nil, failf(codeUnknownSetting, "type %q does not exist", name)
		}
		p.infer(e, oid)
		e.oid = oid
	}
	return e, err
}

func (p *parser) primary() (*expression, *sqlError) {
	t := p.take()
	switch {
	case t.kind == tokenString:
		return &expression{literal: value{text: t.text}, oid: oidText}, nil
	case t.kind == tokenNumber:
		return number(t.text), nil
	case t == token{tokenSymbol, "-"} && p.peek().kind == tokenNumber:
		return number("-" + p.take().text), nil
	case t == token{tokenSymbol, "("}:
		e, err := p.expression()
		if err != nil {
			return nil, err
		}
		return e, p.expect(")")
	case t.kind == tokenParameter:
		n, err := strconv.Atoi(t.text)
		if err != nil || n < 1 || n > maxParameters {
			return nil, failf(codeSyntax, "there is no parameter $%s", t.text)
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
	p.next--
	return p.reference()
}

// reference parses a column or a call.
func (p *parser) reference() (*expression, *sqlError) {
	name, err := p.name()
	if err != nil {
		return nil, err
	}
	if !p.symbol("(") {
		p.next--
		column, err := p.column()
		return &expression{kind: expressionColumn, name: column, oid: columnType(column)}, err
	}
	f, ok := functions[strings.TrimPrefix(name, "pg_catalog.")]
	if !ok {
		return nil, failf(codeUnknownFunction, "function %s does not exist", name)
	}
	call := &expression{kind: expressionCall, name: strings.TrimPrefix(name, "pg_catalog."), oid: f.result}
	if call.name == "count" && p.symbol("*") {
		return call, p.expect(")")
	}
	if call.arguments, err = p.list(); err != nil {
		return nil, err
	}
	if len(call.arguments) != len(f.arguments) && call.name != "count" {
		return nil, failf(codeUnknownFunction, "function %s takes %d arguments", name, len(f.arguments))
	}
	for i, a := range call.arguments {
		p.infer(a, f.arguments[i])
	}
	return call, nil
}

func number(text string) *expression {
	oid := uint32(oidInt4)
	if strings.Contains(text, ".") {
		oid = oidFloat8
	} else if _, err := strconv.ParseInt(text, 10, 32); err != nil {
		oid = oidInt8
	}
	return &expression{literal: value{text: text}, oid: oid}
}

// infer gives a parameter whose type is not known yet the type that its place
// demands.
func (p *parser) infer(e *expression, oid uint32) {
	if e.kind != expressionParameter || e.oid != 0 {
		return
	}
	e.oid = oid
	if p.parameters[e.parameter] == 0 {
		p.parameters[e.parameter] = oid
	}
}

// calls reports whether the expression calls a function. Functions may wait and
// are only allowed where no lock is held: as items of a SELECT.
func (e *expression) calls() bool {
	return e.kind == expressionCall || slices.ContainsFunc(e.arguments, (*expression).calls)
}

func errCall() *sqlError {
	return failf(codeNotSupported, "a function can only be called in the list of a SELECT")
}

// usesTable reports whether the expression needs a booking.
func (e *expression) usesTable() bool {
	if e.kind == expressionColumn || e.kind == expressionCall && (e.name == "count" || e.name == "sum") {
		return true
	}
	for _, a := range e.arguments {
		if a.usesTable() {
			return true
		}
	}
	return false
}
