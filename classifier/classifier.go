// Package classifier tells reads from writes by a conservative lexer. A text
// is a read only if that is certain; a doubtful one costs only a replica read.
package classifier

import (
	"strings"

	"github.com/endiveturn/endiveturn/executor"
)

// A Kind names statements that the caller side treats in a way of its own.
type Kind string

// The kinds of statements.
const (
	// KindOther is any statement without a kind of its own, and a text of
	// several statements.
	KindOther Kind = "other"
	// KindEmpty is a text without a statement.
	KindEmpty             Kind = "empty"
	KindBegin             Kind = "begin"
	KindBeginReadOnly     Kind = "begin_read_only"
	KindCommit            Kind = "commit"
	KindRollback          Kind = "rollback"
	KindSavepoint         Kind = "savepoint"
	KindPrepareCommit     Kind = "prepare_transaction"
	KindSet               Kind = "set"
	KindSetLocal          Kind = "set_local"
	KindReset             Kind = "reset"
	KindShow              Kind = "show"
	KindDiscard           Kind = "discard"
	KindCopy              Kind = "copy"
	KindListen            Kind = "listen"
	KindUnlisten          Kind = "unlisten"
	KindPrepare           Kind = "prepare"
	KindExecute           Kind = "execute"
	KindDeallocate        Kind = "deallocate"
	KindDeclareWithHold   Kind = "declare_with_hold"
	KindDefineTransaction Kind = "set_transaction"
)

// A Statement is what the classifier knows of a text.
type Statement struct {
	// Class is executor.ClassRead only if every statement is certainly a read.
	Class executor.Class
	// Kind is KindOther unless the text is a single statement of that kind.
	Kind Kind
	// Name is the lower-case name that SET, RESET or SHOW gives, "all" for all
	// of them; what DISCARD discards; the statement that DEALLOCATE names.
	Name string
	// Value is the decoded value of SET; it is empty for DEFAULT.
	Value string
	// Tainting is set when the text may leave state on the connection.
	Tainting bool
	// ConnectionBound is set when the text calls a function whose effect or
	// result belongs to one connection, such as lastval or pg_advisory_lock. Run
	// by itself on a pooled connection, it would mislead the caller.
	ConnectionBound bool
	// Statements is the number of statements that are not empty.
	Statements int
	// CustomerSetting is set when the text mentions endiveturn.customer, which
	// callers may not set, or could name it by an expression.
	CustomerSetting bool
}

// Classify returns what is known of the whole text.
func Classify(sql string) Statement {
	statements := Each(sql)
	switch len(statements) {
	case 0:
		return Statement{Class: executor.ClassRead, Kind: KindEmpty}
	case 1:
		return statements[0]
	}
	all := Statement{Class: executor.ClassRead, Kind: KindOther, Statements: len(statements)}
	for _, s := range statements {
		if s.Class != executor.ClassRead {
			all.Class = executor.ClassWrite
		}
		all.Tainting = all.Tainting || s.Tainting
		all.ConnectionBound = all.ConnectionBound || s.ConnectionBound
		all.CustomerSetting = all.CustomerSetting || s.CustomerSetting
	}
	return all
}

// Each returns what is known of every statement of the text that is not empty.
func Each(sql string) []Statement {
	var statements []Statement
	tokens := make([]token, 0, 16)
	l := lexer{text: sql}
	for {
		t, ok := l.next()
		if ok && !t.symbol(";") {
			tokens = append(tokens, t)
			continue
		}
		if len(tokens) > 0 {
			statements = append(statements, classify(tokens))
			tokens = tokens[:0]
		}
		if !ok {
			return statements
		}
	}
}

// classify classifies one statement, which is not empty.
func classify(tokens []token) Statement {
	s := Statement{Kind: KindOther, Statements: 1}
	s.CustomerSetting = mentionsCustomer(tokens)
	classifyHead(&s, statement(tokens))
	return s
}

// classifyHead sets the fields of s that follow from the first word.
func classifyHead(s *Statement, t statement) {
	if t[0].kind != tokenWord {
		classifyBody(s, t)
		return
	}
	switch t[0].text {
	case "begin", "start":
		classifyBegin(s, t)
	case "commit", "end":
		s.Kind = KindCommit
		if t.at(1).word("prepared") {
			s.Kind = KindPrepareCommit
		}
	case "rollback", "abort":
		classifyRollback(s, t)
	case "savepoint", "release":
		s.Kind = KindSavepoint
	case "set":
		classifySet(s, t)
	case "reset":
		s.Kind, s.Tainting, s.Name = KindReset, true, settingName(t[1:])
	case "show":
		s.Kind, s.Name = KindShow, settingName(t[1:])
		if !t.unknown() && !t.changes() {
			s.Class = executor.ClassRead
		}
	case "discard":
		s.Kind, s.Tainting, s.Name = KindDiscard, true, t.at(1).text
	case "deallocate":
		classifyDeallocate(s, t)
	case "copy":
		s.Kind = KindCopy
	case "listen":
		s.Kind, s.Tainting = KindListen, true
	case "unlisten":
		s.Kind, s.Tainting = KindUnlisten, true
	case "prepare":
		s.Kind, s.Tainting = KindPrepare, true
		if t.at(1).word("transaction") {
			s.Kind = KindPrepareCommit
		}
	case "execute":
		s.Kind, s.Tainting = KindExecute, true
	default:
		classifyBody(s, t)
	}
}

// classifyBegin sets the class of BEGIN and START TRANSACTION. A mode that is
// not known makes the transaction one that may write.
func classifyBegin(s *Statement, t statement) {
	s.Kind, s.Class = KindBegin, executor.ClassBegin
	readOnly := false
	for i, mode := range t[1:] {
		switch {
		case mode.kind == tokenUnknown:
			s.Class = executor.ClassWrite
			return
		case mode.word("only"):
			readOnly = t[i].word("read")
		case mode.word("write"):
			readOnly = false
		}
	}
	if readOnly && !t.has("write") {
		s.Kind, s.Class = KindBeginReadOnly, executor.ClassBeginRead
	}
}

// classifyRollback tells the end of a transaction from a return to a
// savepoint, which leaves the transaction open.
func classifyRollback(s *Statement, t statement) {
	s.Kind = KindRollback
	switch {
	case t.has("to"):
		s.Kind = KindSavepoint
	case t.at(1).word("prepared"):
		s.Kind = KindPrepareCommit
	}
}

// classifyDeallocate sets the name of the statement that is deallocated.
func classifyDeallocate(s *Statement, t statement) {
	s.Kind, s.Tainting = KindDeallocate, true
	name := t.at(1)
	if name.word("prepare") && len(t) > 2 {
		name = t.at(2)
	}
	s.Name = name.text
	if name.kind == tokenQuoted && name.text == "all" {
		// A statement that is named "all" is not all statements.
		s.Name = ""
	}
}

// joined returns the values of tokens without anything between them.
func joined(tokens []token) string {
	var b strings.Builder
	for _, t := range tokens {
		b.WriteString(t.text)
	}
	return b.String()
}
