package classifier

import "github.com/endiveturn/endiveturn/executor"

// A statement is the tokens of one statement.
type statement []token

// at returns the token at i, or a token that equals no word and no symbol.
func (t statement) at(i int) token {
	if i < 0 || i >= len(t) {
		return token{kind: tokenUnknown}
	}
	return t[i]
}

// has reports whether t contains the word.
func (t statement) has(word string) bool {
	for _, u := range t {
		if u.word(word) {
			return true
		}
	}
	return false
}

// unknown reports whether t contains a token that is not understood.
func (t statement) unknown() bool {
	for _, u := range t {
		if u.kind == tokenUnknown {
			return true
		}
	}
	return false
}

// classifyBody classifies a statement whose first word has no kind of its own.
func classifyBody(s *Statement, t statement) {
	calls := t.calls()
	s.Tainting = calls.unlisted || t.taints()
	s.ConnectionBound = calls.connectionBound
	if calls.unlisted || calls.writing || t.unknown() || !t.startsRead() || t.changes() {
		if t.declaresHold() {
			s.Kind = KindDeclareWithHold
		}
		return
	}
	s.Class = executor.ClassRead
}

// startsRead reports whether the first word begins a read.
func (t statement) startsRead() bool {
	i := 0
	for t.at(i).symbol("(") {
		i++
	}
	if i == 0 && t.at(0).word("explain") {
		return t.skipExplain().startsRead()
	}
	first := t.at(i)
	return first.kind == tokenWord && readWords[first.text]
}

// skipExplain returns what follows EXPLAIN and its options. Whether the
// explained statement is run makes no difference, as only reads are reads.
func (t statement) skipExplain() statement {
	i := 1
	if t.at(i).symbol("(") {
		for i < len(t) && !t[i].symbol(")") {
			i++
		}
		return t[min(i+1, len(t)):]
	}
	for t.at(i).word("analyze") || t.at(i).word("analyse") || t.at(i).word("verbose") {
		i++
	}
	return t[min(i, len(t)):]
}

// changes reports whether a word anywhere in t may begin a part that changes
// data or locks rows. A column of such a name makes a read a write, which is
// safe.
func (t statement) changes() bool {
	for i, u := range t {
		if u.kind != tokenWord {
			continue
		}
		if changeWords[u.text] {
			return true
		}
		if u.text == "for" {
			next := t.at(i + 1)
			if next.word("share") || next.word("key") || next.word("no") {
				return true
			}
		}
	}
	return false
}

// taints reports whether t leaves something on the connection apart from what
// the functions it calls leave.
func (t statement) taints() bool {
	first := t.at(0)
	switch {
	case first.kind != tokenWord:
		return true
	case first.text == "call", first.text == "do", first.text == "load":
		return true
	case t.declaresHold():
		return true
	}
	for i, u := range t {
		if (u.word("temp") || u.word("temporary")) && (t[0].word("create") || t.at(i-1).word("into") ||
			t.at(i-1).word("local") || t.at(i-1).word("global")) {
			return true
		}
	}
	return false
}

// declaresHold reports whether t declares a cursor that outlives its
// transaction.
func (t statement) declaresHold() bool {
	if !t.at(0).word("declare") {
		return false
	}
	for i, u := range t {
		if u.word("with") && t.at(i+1).word("hold") {
			return true
		}
	}
	return false
}
