// Package classifier distinguishes reads from writes with a conservative lexer.
// A text counts as a read only if that is certain; a read that is taken for a
// write merely cannot run on a replica.
package classifier

import (
	"strings"

	"github.com/endiveturn/endiveturn/executor"
)

// A Kind identifies statements that the acceptor handles specially.
type Kind string

// Statement kinds.
const (
	// KindOther is a statement without a kind of its own, or a text with
	// several statements.
	KindOther Kind = "other"
	// KindEmpty is a text without a statement.
	KindEmpty           Kind = "empty"
	KindBegin           Kind = "begin"
	KindBeginReadOnly   Kind = "begin_read_only"
	KindCommit          Kind = "commit"
	KindRollback        Kind = "rollback"
	KindSavepoint       Kind = "savepoint"
	KindTwoPhaseCommit  Kind = "prepare_transaction"
	KindSet             Kind = "set"
	KindSetLocal        Kind = "set_local"
	KindReset           Kind = "reset"
	KindShow            Kind = "show"
	KindDiscard         Kind = "discard"
	KindCopy            Kind = "copy"
	KindListen          Kind = "listen"
	KindUnlisten        Kind = "unlisten"
	KindPrepare         Kind = "prepare"
	KindExecute         Kind = "execute"
	KindDeallocate      Kind = "deallocate"
	KindDeclareWithHold Kind = "declare_with_hold"
	KindSetTransaction  Kind = "set_transaction"
)

// A Statement describes a text of one or more SQL statements.
type Statement struct {
	// Class is executor.ClassRead only if every statement is certainly a read.
	Class executor.Class
	// Kind is KindOther unless the text is a single statement of that kind.
	Kind Kind
	// Name is the lower-case name of the setting in SET, RESET or SHOW ("all"
	// for all settings), the object of DISCARD, or the statement name in
	// DEALLOCATE.
	Name string
	// Value is the decoded value in SET, empty for DEFAULT.
	Value string
	// ChangesConnectionState is set if the text may leave state on the
	// connection, such as settings, temporary tables or advisory locks. The
	// connection is then closed instead of reused.
	ChangesConnectionState bool
	// ConnectionBound is set if the text calls a function whose effect or
	// result belongs to one connection, such as lastval or pg_advisory_lock.
	// Outside a transaction on a pooled connection, its result would be
	// misleading.
	ConnectionBound bool
	// StatementCount is the number of non-empty statements.
	StatementCount int
	// MentionsCustomerSetting is set if the text mentions endiveturn.customer,
	// which clients may not set, or could name it by an expression.
	MentionsCustomerSetting bool
}

// Classify describes the text as a whole.
func Classify(sql string) Statement {
	statements := ClassifyEach(sql)
	switch len(statements) {
	case 0:
		return Statement{Class: executor.ClassRead, Kind: KindEmpty}
	case 1:
		return statements[0]
	}
	all := Statement{Class: executor.ClassRead, Kind: KindOther, StatementCount: len(statements)}
	for _, s := range statements {
		if s.Class != executor.ClassRead {
			all.Class = executor.ClassWrite
		}
		all.ChangesConnectionState = all.ChangesConnectionState || s.ChangesConnectionState
		all.ConnectionBound = all.ConnectionBound || s.ConnectionBound
		all.MentionsCustomerSetting = all.MentionsCustomerSetting || s.MentionsCustomerSetting
	}
	return all
}

// ClassifyEach describes every non-empty statement of the text.
func ClassifyEach(sql string) []Statement {
	var statements []Statement
	tokens := make([]token, 0, 16)
	l := lexer{text: sql}
	for {
		t, ok := l.next()
		if ok && !t.isSymbol(";") {
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

// classify classifies one non-empty statement.
func classify(tokens []token) Statement {
	s := Statement{Kind: KindOther, StatementCount: 1}
	s.MentionsCustomerSetting = mentionsCustomerSetting(tokens)
	classifyByKeyword(&s, tokenList(tokens))
	return s
}

// classifyByKeyword classifies a statement by its first word, or by its
// contents if the word does not determine the kind.
func classifyByKeyword(s *Statement, t tokenList) {
	if t[0].kind != tokenWord {
		classifyBody(s, t)
		return
	}
	switch t[0].text {
	case "begin", "start":
		classifyBegin(s, t)
	case "commit", "end":
		s.Kind = KindCommit
		if t.at(1).isWord("prepared") {
			s.Kind = KindTwoPhaseCommit
		}
	case "rollback", "abort":
		classifyRollback(s, t)
	case "savepoint", "release":
		s.Kind = KindSavepoint
	case "set":
		classifySet(s, t)
	case "reset":
		s.Kind, s.ChangesConnectionState, s.Name = KindReset, true, settingName(t[1:])
	case "show":
		s.Kind, s.Name = KindShow, settingName(t[1:])
		if !t.hasUnknown() && !t.mayWrite() {
			s.Class = executor.ClassRead
		}
	case "discard":
		s.Kind, s.ChangesConnectionState, s.Name = KindDiscard, true, t.at(1).text
	case "deallocate":
		classifyDeallocate(s, t)
	case "copy":
		s.Kind = KindCopy
	case "listen":
		s.Kind, s.ChangesConnectionState = KindListen, true
	case "unlisten":
		s.Kind, s.ChangesConnectionState = KindUnlisten, true
	case "prepare":
		s.Kind, s.ChangesConnectionState = KindPrepare, true
		if t.at(1).isWord("transaction") {
			s.Kind = KindTwoPhaseCommit
		}
	case "execute":
		s.Kind, s.ChangesConnectionState = KindExecute, true
	default:
		classifyBody(s, t)
	}
}

// classifyBegin sets the kind and the class of BEGIN and START TRANSACTION. The
// transaction counts as one that may write unless READ ONLY is certain. With a
// token that the lexer could not interpret, the statement itself counts as a
// write.
func classifyBegin(s *Statement, t tokenList) {
	s.Kind, s.Class = KindBegin, executor.ClassBegin
	readOnly := false
	for i, mode := range t[1:] {
		switch {
		case mode.kind == tokenUnknown:
			s.Class = executor.ClassWrite
			return
		case mode.isWord("only"):
			readOnly = t[i].isWord("read")
		case mode.isWord("write"):
			readOnly = false
		}
	}
	if readOnly && !t.containsWord("write") {
		s.Kind, s.Class = KindBeginReadOnly, executor.ClassBeginRead
	}
}

// classifyRollback distinguishes the end of a transaction from a rollback to a
// savepoint, which leaves the transaction open.
func classifyRollback(s *Statement, t tokenList) {
	s.Kind = KindRollback
	switch {
	case t.containsWord("to"):
		s.Kind = KindSavepoint
	case t.at(1).isWord("prepared"):
		s.Kind = KindTwoPhaseCommit
	}
}

// classifyDeallocate sets the name of the statement that DEALLOCATE removes.
func classifyDeallocate(s *Statement, t tokenList) {
	s.Kind, s.ChangesConnectionState = KindDeallocate, true
	name := t.at(1)
	if name.isWord("prepare") && len(t) > 2 {
		name = t.at(2)
	}
	s.Name = name.text
	if name.kind == tokenQuoted && name.text == "all" {
		// A statement named "all" differs from the keyword ALL.
		s.Name = ""
	}
}

// joinText concatenates the texts of tokens.
func joinText(tokens []token) string {
	var b strings.Builder
	for _, t := range tokens {
		b.WriteString(t.text)
	}
	return b.String()
}
