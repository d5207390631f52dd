package classifier

import "github.com/endiveturn/endiveturn/executor"

// A tokenList holds the tokens of one statement.
type tokenList []token

// at returns the token at index i; out of range, it returns a token that
// matches no word and no symbol.
func (t tokenList) at(i int) token {
	if i < 0 || i >= len(t) {
		return token{kind: tokenUnknown}
	}
	return t[i]
}

// containsWord reports whether t contains the unquoted word.
func (t tokenList) containsWord(word string) bool {
	for _, u := range t {
		if u.isWord(word) {
			return true
		}
	}
	return false
}

// hasUnknown reports whether t contains a token that the lexer could not
// interpret.
func (t tokenList) hasUnknown() bool {
	for _, u := range t {
		if u.kind == tokenUnknown {
			return true
		}
	}
	return false
}

// classifyBody classifies a statement by its contents, since its first word
// does not determine a kind.
func classifyBody(s *Statement, t tokenList) {
	calls := t.findCalls()
	s.ChangesConnectionState = calls.unlisted || t.leavesConnectionState()
	s.ConnectionBound = calls.connectionBound
	if calls.unlisted || calls.writing || t.hasUnknown() || !t.startsWithReadKeyword() || t.mayWrite() {
		if t.declaresHoldableCursor() {
			s.Kind = KindDeclareWithHold
		}
		return
	}
	s.Class = executor.ClassRead
}

// startsWithReadKeyword reports whether t, after opening parentheses or
// EXPLAIN, starts with a word that begins a read.
func (t tokenList) startsWithReadKeyword() bool {
	i := 0
	for t.at(i).isSymbol("(") {
		i++
	}
	if i == 0 && t.at(0).isWord("explain") {
		return t.skipExplain().startsWithReadKeyword()
	}
	first := t.at(i)
	return first.kind == tokenWord && readKeywords[first.text]
}

// skipExplain returns the tokens after EXPLAIN and its options. Whether EXPLAIN
// executes the statement is irrelevant, since only an EXPLAIN of a read is
// classified as a read.
func (t tokenList) skipExplain() tokenList {
	i := 1
	if t.at(i).isSymbol("(") {
		for i < len(t) && !t[i].isSymbol(")") {
			i++
		}
		return t[min(i+1, len(t)):]
	}
	for t.at(i).isWord("analyze") || t.at(i).isWord("analyse") || t.at(i).isWord("verbose") {
		i++
	}
	return t[min(i, len(t)):]
}

// mayWrite reports whether any word in t may begin a part of the statement that
// changes data or locks rows. A column of that name makes a read count as a
// write, which is safe.
func (t tokenList) mayWrite() bool {
	for i, u := range t {
		if u.kind != tokenWord {
			continue
		}
		if writeKeywords[u.text] {
			return true
		}
		if u.text == "for" {
			next := t.at(i + 1)
			if next.isWord("share") || next.isWord("key") || next.isWord("no") {
				return true
			}
		}
	}
	return false
}

// leavesConnectionState reports whether t leaves state on the connection, not
// counting the functions that it calls.
func (t tokenList) leavesConnectionState() bool {
	first := t.at(0)
	switch {
	case first.kind != tokenWord:
		return true
	case first.text == "call", first.text == "do", first.text == "load":
		return true
	case t.declaresHoldableCursor():
		return true
	}
	for i, u := range t {
		if (u.isWord("temp") || u.isWord("temporary")) && (t[0].isWord("create") || t.at(i-1).isWord("into") ||
			t.at(i-1).isWord("local") || t.at(i-1).isWord("global")) {
			return true
		}
	}
	return false
}

// declaresHoldableCursor reports whether t declares a cursor WITH HOLD, which
// outlives its transaction.
func (t tokenList) declaresHoldableCursor() bool {
	if !t.at(0).isWord("declare") {
		return false
	}
	for i, u := range t {
		if u.isWord("with") && t.at(i+1).isWord("hold") {
			return true
		}
	}
	return false
}
