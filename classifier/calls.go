package classifier

// callsFound says what kinds of functions a statement calls.
type callsFound struct {
	// unlisted: a function on no list, which may leave anything behind.
	unlisted bool
	// writing: a function that changes data and leaves no state that matters.
	writing bool
	// connectionBound: a function whose effect or result belongs to one
	// connection.
	connectionBound bool
}

// calls finds the functions that t calls: names with a parenthesis after them.
func (t statement) calls() callsFound {
	var found callsFound
	for i := 2; i < len(t); i++ {
		if !t[i].symbol("(") || !t.isCall(i-1) {
			continue
		}
		name := t[i-1].text
		found.connectionBound = found.connectionBound || connectionFunctions[name]
		switch {
		case t.at(i-2).symbol(".") && !t.isCatalog(i-3):
			found.unlisted = true
		case pureFunctions[name]:
		case sequenceFunctions[name]:
			found.writing = true
		default:
			found.unlisted = true
		}
	}
	return found
}

// isCatalog reports whether the token at i is the schema of the functions that
// come with PostgreSQL and has no other name before it.
func (t statement) isCatalog(i int) bool {
	u := t.at(i)
	return (u.kind == tokenWord || u.kind == tokenQuoted) && u.text == "pg_catalog" && !t.at(i-1).symbol(".")
}

// isCall reports whether the token at i, which is not the first and which a
// parenthesis follows, can be the name of a function.
func (t statement) isCall(i int) bool {
	if t[i].kind != tokenWord && t[i].kind != tokenQuoted {
		return false
	}
	if t[i].kind == tokenWord && !t.at(i-1).symbol(".") && t.isClause(i) {
		return false
	}
	start := i
	for start >= 2 && t[start-1].symbol(".") {
		start -= 2
	}
	before := t.at(start - 1)
	switch {
	case before.symbol(":") && t.at(start-2).symbol(":"):
		return false
	case before.word("recursive"):
		return !t.at(start - 2).word("with")
	}
	return before.kind != tokenWord || !columnListWords[before.text]
}

// isClause reports whether the word at i is a keyword of a clause rather than
// a name. Words that PostgreSQL does not reserve are keywords only in their
// place.
func (t statement) isClause(i int) bool {
	before := t.at(i - 1)
	switch word := t[i].text; {
	case clauseWords[word]:
		return true
	case operatorWords[word]:
		return t.endsOperand(i-1) || (before.word("not") && t.endsOperand(i-2))
	case word == "over", word == "filter":
		return before.symbol(")")
	case word == "by":
		return before.word("group") || before.word("order") || before.word("partition")
	case word == "sets":
		return before.word("grouping")
	case word == "materialized":
		return before.word("as") || (before.word("not") && t.at(i-2).word("as"))
	case word == "conflict":
		return before.word("on") && t.has("insert")
	case word == "set":
		return t.has("update")
	}
	return false
}

// endsOperand reports whether the token at i can end an operand or a table.
func (t statement) endsOperand(i int) bool {
	switch u := t.at(i); u.kind {
	case tokenWord:
		return !operandStarts[u.text]
	case tokenQuoted, tokenString, tokenNumber:
		return true
	case tokenSymbol:
		return u.text == ")" || u.text == "]"
	default:
		return false
	}
}
