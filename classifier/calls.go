package classifier

// A callSummary describes the functions that a statement calls.
type callSummary struct {
	// unlisted is set for a function that is on no list and may leave any state
	// on the connection.
	unlisted bool
	// writing is set for a function that changes data but leaves no state on
	// the connection that matters.
	writing bool
	// connectionBound is set for a function whose effect or result belongs to
	// one connection.
	connectionBound bool
}

// findCalls returns a summary of the functions that t calls: names followed by
// a parenthesis.
func (t tokenList) findCalls() callSummary {
	var found callSummary
	for i := 2; i < len(t); i++ {
		if !t[i].isSymbol("(") || !t.isCall(i-1) {
			continue
		}
		name := t[i-1].text
		found.connectionBound = found.connectionBound || connectionBoundFunctions[name]
		switch {
		case t.at(i-2).isSymbol(".") && !t.isCatalog(i-3):
			found.unlisted = true
		case readOnlyFunctions[name]:
		case writingFunctions[name]:
			found.writing = true
		default:
			found.unlisted = true
		}
	}
	return found
}

// isCatalog reports whether the token at i is the unqualified name pg_catalog,
// the schema of the functions built into PostgreSQL.
func (t tokenList) isCatalog(i int) bool {
	u := t.at(i)
	return (u.kind == tokenWord || u.kind == tokenQuoted) && u.text == "pg_catalog" && !t.at(i-1).isSymbol(".")
}

// isCall reports whether the token at i can be a function name. The token must
// not be the first one and must be followed by a parenthesis.
func (t tokenList) isCall(i int) bool {
	if t[i].kind != tokenWord && t[i].kind != tokenQuoted {
		return false
	}
	if t[i].kind == tokenWord && !t.at(i-1).isSymbol(".") && t.isClauseKeyword(i) {
		return false
	}
	start := i
	for start >= 2 && t[start-1].isSymbol(".") {
		start -= 2
	}
	before := t.at(start - 1)
	switch {
	case before.isSymbol(":") && t.at(start-2).isSymbol(":"):
		return false
	case before.isWord("recursive"):
		return !t.at(start - 2).isWord("with")
	}
	return before.kind != tokenWord || !columnListKeywords[before.text]
}

// isClauseKeyword reports whether the word at i is a keyword of a clause rather
// than a name. Words that PostgreSQL does not reserve are keywords only in
// certain positions.
func (t tokenList) isClauseKeyword(i int) bool {
	before := t.at(i - 1)
	switch word := t[i].text; {
	case clauseKeywords[word]:
		return true
	case operatorKeywords[word]:
		return t.endsOperand(i-1) || (before.isWord("not") && t.endsOperand(i-2))
	case word == "over", word == "filter":
		return before.isSymbol(")")
	case word == "by":
		return before.isWord("group") || before.isWord("order") || before.isWord("partition")
	case word == "sets":
		return before.isWord("grouping")
	case word == "materialized":
		return before.isWord("as") || (before.isWord("not") && t.at(i-2).isWord("as"))
	case word == "conflict":
		return before.isWord("on") && t.containsWord("insert")
	case word == "set":
		return t.containsWord("update")
	}
	return false
}

// endsOperand reports whether the token at i can end an operand or a table
// expression.
func (t tokenList) endsOperand(i int) bool {
	switch u := t.at(i); u.kind {
	case tokenWord:
		return !operandPrecedingKeywords[u.text]
	case tokenQuoted, tokenString, tokenNumber:
		return true
	case tokenSymbol:
		return u.text == ")" || u.text == "]"
	default:
		return false
	}
}
