package groupemulator

// A statementKind is the kind of a statement.
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

// An expressionKind is the kind of an expression.
type expressionKind uint8

const (
	expressionLiteral expressionKind = iota
	expressionParameter
	expressionColumn
	expressionCall
	expressionSum
	expressionDifference
)

// An expression is a scalar expression or an aggregate.
type expression struct {
	kind expressionKind
	// literal is the value of a literal.
	literal value
	// name is the name of the column or function.
	name string
	// parameter is the zero-based index of a parameter.
	parameter int
	// arguments are the arguments of a call, or the two operands of a sum or
	// difference.
	arguments []*expression
	// oid is the type OID of the expression; 0 while the type is unknown.
	oid uint32
}

// A condition is a comparison of a column with an expression for equality, or an
// assignment.
type condition struct {
	column string
	equals *expression
}

// A selectItem is an item of a SELECT list.
type selectItem struct {
	expression *expression
	name       string
}

// A field describes a column of a result.
type field struct {
	name string
	oid  uint32
}

// A statement is a parsed statement. It is immutable.
type statement struct {
	kind statementKind
	// readsTable is set if a SELECT reads the bookings table.
	readsTable bool
	items      []selectItem
	// columns and values are the columns and rows of an INSERT.
	columns []string
	values  [][]*expression
	// assignments are the assignments of an UPDATE.
	assignments []condition
	where       []condition
	orderBy     string
	descending  bool
	limit       *expression
	// locksRows is set by FOR UPDATE and FOR SHARE.
	locksRows bool
	// skipConflicts is set by ON CONFLICT DO NOTHING.
	skipConflicts bool
	readOnly      bool
	// name and text are the name and value of a setting. name is also the name
	// of a prepared statement or of an administrative function.
	name string
	text string
	// arguments are the arguments of an administrative function.
	arguments []*expression
	// parameters are the type OIDs of the parameters.
	parameters []uint32
	// tag is the command tag without the row count.
	tag string
}

// isAggregate reports whether the statement aggregates all matching bookings
// into one row.
func (s *statement) isAggregate() bool {
	for _, i := range s.items {
		if i.expression.kind == expressionCall && (i.expression.name == "count" || i.expression.name == "sum") {
			return true
		}
	}
	return false
}

// fields returns the columns of the result, or nil if there is none.
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
