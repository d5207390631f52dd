package groupemulator

// A statementKind says what a statement does.
type statementKind uint8

const (
	statementEmpty statementKind = iota
	statementSelect
	statementInsert
	statementUpdate
	statementDelete
	statementCreate
	statementBegin
	statementCommit
	statementRollback
	statementSet
	statementSetTransaction
	statementReset
	statementShow
	statementDeallocate
	statementAdmin
)

// An expressionKind says what an expression yields.
type expressionKind uint8

const (
	expressionLiteral expressionKind = iota
	expressionParameter
	expressionColumn
	expressionCall
	expressionSum
	expressionDifference
)

// An expression is a scalar or an aggregate.
type expression struct {
	kind expressionKind
	// literal is the value of a literal.
	literal value
	// name is the column or function.
	name string
	// parameter is the index of a parameter, from 0.
	parameter int
	// arguments are those of a call, or the two operands.
	arguments []*expression
	// oid is the type of the expression; 0 is not known yet.
	oid uint32
}

// A condition compares a column with an expression for equality.
type condition struct {
	column string
	equals *expression
}

// An item is a column of an answer.
type item struct {
	expression *expression
	name       string
}

// A field describes a column of an answer.
type field struct {
	name string
	oid  uint32
}

// A statement is a parsed statement. It is immutable.
type statement struct {
	kind statementKind
	// table says that a SELECT reads the bookings.
	table bool
	items []item
	// columns and values are those of an INSERT.
	columns []string
	values  [][]*expression
	// assignments are those of an UPDATE.
	assignments []condition
	where       []condition
	orderBy     string
	descending  bool
	limit       *expression
	// locking is set by FOR UPDATE and FOR SHARE.
	locking bool
	// skipConflicts is set by ON CONFLICT DO NOTHING.
	skipConflicts bool
	readOnly      bool
	// name and text are those of a setting, or the name of a prepared
	// statement or of an administrative function.
	name string
	text string
	// arguments are those of an administrative function.
	arguments []*expression
	// parameters are the types of the parameters.
	parameters []uint32
	// tag is the command tag, without a count of rows.
	tag string
}

// aggregate reports whether the answer is one row over all bookings.
func (s *statement) aggregate() bool {
	for _, i := range s.items {
		if i.expression.kind == expressionCall && (i.expression.name == "count" || i.expression.name == "sum") {
			return true
		}
	}
	return false
}

// fields returns the columns of the answer, nil if there is none.
func (s *statement) fields() []field {
	switch s.kind {
	case statementSelect:
		fields := make([]field, len(s.items))
		for i, it := range s.items {
			fields[i] = field{it.name, it.expression.oid}
		}
		return fields
	case statementShow:
		return []field{{s.name, oidText}}
	case statementAdmin:
		return statusFields
	default:
		return nil
	}
}
