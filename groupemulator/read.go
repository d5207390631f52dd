package groupemulator

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

// set assigns a value to a column.
func (r *Row) set(column string, v value) *sqlError {
	switch column {
	case "id":
		r.ID = v.text
	case "customer":
		r.Customer = v.text
	default:
		if v.null {
			r.Amount = 0
			return nil
		}
		amount, err := v.int()
		if err != nil {
			return err
		}
		r.Amount = amount
	}
	return nil
}

func (r *Row) get(column string) value {
	switch column {
	case "id":
		return value{text: r.ID}
	case "customer":
		return value{text: r.Customer}
	default:
		return intValue(r.Amount)
	}
}

// runSelect runs a SELECT.
func (s *session) runSelect(st *statement, parameters []value) (*result, *sqlError) {
	r := &result{fields: st.fields(), tag: st.tag}
	if st.readsTable {
		return s.selectBookings(st, parameters, r)
	}
	if len(st.items) == 1 && st.items[0].expression.name == "generate_series" {
		return s.generateSeries(st.items[0].expression, parameters, r)
	}
	row, err := s.project(st, nil, parameters)
	if err != nil {
		return nil, err
	}
	r.next = singleRow(row)
	return r, nil
}

func (s *session) selectBookings(st *statement, parameters []value, r *result) (*result, *sqlError) {
	rows, total, err := s.readBookings(st, parameters)
	if err != nil {
		return nil, err
	}
	if st.isAggregate() {
		r.next = singleRow(aggregates(st, rows, total))
		return r, nil
	}
	next := 0
	r.next = func() []value {
		if next == len(rows) {
			return nil
		}
		// The error can be ignored: evaluation for a booking only fails if a
		// text value is not a valid number, and the column types exclude that.
		row, _ := s.project(st, rows[next], parameters)
		next++
		return row
	}
	return r, nil
}

// readBookings returns the ordered bookings that match the conditions, and their
// number. For a plain count it returns only the number.
func (s *session) readBookings(st *statement, parameters []value) ([]*Row, int, *sqlError) {
	d := s.db
	d.mu.Lock()
	if err := d.checkSession(s); err != nil {
		d.mu.Unlock()
		return nil, 0, err
	}
	if st.isAggregate() && len(st.where) == 0 && len(s.txn.writeOrder) == 0 && len(st.items) == 1 &&
		st.items[0].expression.name == "count" {
		defer d.mu.Unlock()
		return nil, len(d.table.rows), nil
	}
	find := d.matchingRows
	if st.locksRows {
		find = d.lockMatchingRows
		s.txn.locksRows = true
		if err := d.checkWritable(s); err != nil || s.txn.readOnly {
			d.mu.Unlock()
			return nil, 0, sqlErrorf(codeReadOnly, "cannot lock rows in a read-only transaction")
		}
	}
	rows, err := find(s, st, parameters)
	d.mu.Unlock()
	if err != nil {
		return nil, 0, err
	}
	sortRows(rows, st)
	if st.limit != nil {
		limit, err := s.evaluateInt(st.limit, parameters)
		if err != nil {
			return nil, 0, err
		}
		rows = rows[:max(0, min(int(limit), len(rows)))]
	}
	return rows, len(rows), nil
}

// sortRows sorts bookings by the ORDER BY column, and by id if there is none or
// values are equal, so that results are deterministic.
func sortRows(rows []*Row, st *statement) {
	slices.SortFunc(rows, func(a, b *Row) int {
		order := 0
		switch st.orderBy {
		case "amount":
			order = cmp.Compare(a.Amount, b.Amount)
		case "customer":
			order = cmp.Compare(a.Customer, b.Customer)
		}
		if order == 0 {
			order = cmp.Compare(a.ID, b.ID)
		}
		if st.descending {
			return -order
		}
		return order
	})
}

// matchingRows returns the bookings that match all conditions as the transaction
// sees them. The caller holds mu.
func (d *database) matchingRows(s *session, st *statement, parameters []value) ([]*Row, *sqlError) {
	values := make([]value, len(st.where))
	for i, c := range st.where {
		v, err := s.evaluate(c.equals, nil, parameters)
		if err != nil {
			return nil, err
		}
		values[i] = v
	}
	var rows []*Row
	addIfMatching := func(row *Row) {
		for i, c := range st.where {
			if values[i].null || row.get(c.column).text != values[i].text {
				return
			}
		}
		rows = append(rows, row)
	}
	candidates := d.table.rows
	for i, c := range st.where {
		if c.column == "id" {
			if row := d.booking(s.txn, values[i].text); row != nil {
				addIfMatching(row)
			}
			return rows, nil
		}
		if c.column == "customer" {
			candidates = d.table.byCustomer[values[i].text]
		}
	}
	for id, row := range candidates {
		if _, ok := s.txn.writes[id]; !ok {
			addIfMatching(row)
		}
	}
	for _, row := range s.txn.writes {
		if row != nil {
			addIfMatching(row)
		}
	}
	return rows, nil
}

func aggregates(st *statement, rows []*Row, total int) []value {
	values := make([]value, len(st.items))
	for i, it := range st.items {
		if it.expression.name == "count" {
			values[i] = intValue(int64(total))
			continue
		}
		sum := int64(0)
		for _, row := range rows {
			sum += row.Amount
		}
		values[i] = value{text: strconv.FormatInt(sum, 10), null: total == 0}
	}
	return values
}

// generateSeries returns the rows of generate_series.
func (s *session) generateSeries(call *expression, parameters []value, r *result) (*result, *sqlError) {
	from, err := s.evaluateInt(call.arguments[0], parameters)
	if err != nil {
		return nil, err
	}
	to, err := s.evaluateInt(call.arguments[1], parameters)
	if err != nil {
		return nil, err
	}
	row := make([]value, 1)
	r.next = func() []value {
		if from > to {
			return nil
		}
		row[0] = intValue(from)
		from++
		return row
	}
	return r, nil
}

// project evaluates the items of a SELECT for a booking, or without one if
// booking is nil.
func (s *session) project(st *statement, booking *Row, parameters []value) ([]value, *sqlError) {
	values := make([]value, len(st.items))
	for i, it := range st.items {
		v, err := s.evaluate(it.expression, booking, parameters)
		if err != nil {
			return nil, err
		}
		values[i] = v
	}
	return values, nil
}

// singleRow returns an iterator over a single row.
func singleRow(row []value) func() []value {
	return func() []value {
		r := row
		row = nil
		return r
	}
}

func (s *session) evaluateInt(e *expression, parameters []value) (int64, *sqlError) {
	v, err := s.evaluate(e, nil, parameters)
	if err != nil {
		return 0, err
	}
	return v.int()
}

// evaluate returns the value of an expression for a booking, or without one if
// booking is nil.
func (s *session) evaluate(e *expression, booking *Row, parameters []value) (value, *sqlError) {
	switch e.kind {
	case expressionLiteral:
		return e.literal, nil
	case expressionParameter:
		if e.parameter >= len(parameters) {
			return value{}, sqlErrorf(codeSyntax, "there is no parameter $%d", e.parameter+1)
		}
		return parameters[e.parameter], nil
	case expressionColumn:
		if booking == nil {
			return value{}, sqlErrorf(codeUnknownColumn, "column %q cannot be used here", e.name)
		}
		return booking.get(e.name), nil
	}
	arguments := make([]value, len(e.arguments))
	for i, a := range e.arguments {
		v, err := s.evaluate(a, booking, parameters)
		if err != nil {
			return value{}, err
		}
		arguments[i] = v
	}
	if e.kind == expressionCall {
		return s.call(e.name, arguments)
	}
	left, err := arguments[0].int()
	if err != nil {
		return value{}, err
	}
	right, err := arguments[1].int()
	if err != nil {
		return value{}, err
	}
	if e.kind == expressionDifference {
		right = -right
	}
	return intValue(left + right), nil
}

// call evaluates a function. The caller must not hold mu of the database.
func (s *session) call(name string, arguments []value) (value, *sqlError) {
	switch name {
	case "pg_sleep":
		seconds, err := strconv.ParseFloat(arguments[0].text, 64)
		if err != nil {
			return value{}, sqlErrorf(codeInvalidText, "invalid input syntax for type double precision: %q", arguments[0].text)
		}
		return value{}, s.sleep(time.Duration(seconds * float64(time.Second)))
	case "pg_backend_pid":
		return intValue(int64(s.pid)), nil
	case "current_setting":
		text, err := s.settingValue(arguments[0].text)
		return value{text: text}, err
	case "version":
		return value{text: "groupemulator"}, nil
	case "pg_is_in_recovery":
		text, err := s.settingValue("in_hot_standby")
		if text == "on" {
			return value{text: "t"}, err
		}
		return value{text: "f"}, err
	default:
		return value{}, sqlErrorf(codeNotSupported, "function %s cannot be used here", name)
	}
}
