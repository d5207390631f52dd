package acceptor

import (
	"strings"

	"github.com/endiveturn/endiveturn/classifier"
	"github.com/endiveturn/endiveturn/executor"
)

// codeInsufficientPrivilege is the SQLSTATE of a statement that only the proxy
// itself may use.
const codeInsufficientPrivilege = "42501"

// A place says who answers a statement.
type place uint8

const (
	// placeEndpoint: a database answers.
	placeEndpoint place = iota
	// placeOwn: the acceptor answers, and the statement cannot be in one batch
	// with statements for a database.
	placeOwn
	// placeEither: as the other statements of the batch; alone, the acceptor
	// answers.
	placeEither
)

// A scope is the state in which the statements of a batch are placed.
type scope struct {
	// inTransaction is set if a transaction is open or was begun earlier in
	// the batch.
	inTransaction bool
	// aborted is set if the proxy rolled the transaction back and the caller
	// has not ended it yet.
	aborted bool
	// failed is set if the database waits for the end of a failed transaction.
	failed bool
	// deallocatable reports whether a prepared statement of the caller is kept
	// by the acceptor.
	deallocatable func(name string) bool
}

// follow notes that a statement of the kind comes before the next ones.
func (s *scope) follow(kind classifier.Kind) {
	switch kind {
	case classifier.KindBegin, classifier.KindBeginReadOnly:
		s.inTransaction = true
	case classifier.KindCommit, classifier.KindRollback:
		s.inTransaction = false
	}
}

// place says who answers a statement, or why it is refused.
func (s *scope) place(statement classifier.Statement) (place, *executor.Refusal) {
	if statement.CustomerSetting {
		return 0, executor.RefuseNotRun(codeInsufficientPrivilege, "endiveturn.customer cannot be used")
	}
	if s.aborted {
		return s.placeAborted(statement.Kind)
	}
	where, refusal := s.placeActive(statement)
	if where == placeOwn && s.failed {
		// The database refuses everything but the end of the transaction.
		where = placeEndpoint
	}
	return where, refusal
}

// placeActive places a statement outside a transaction that was rolled back.
func (s *scope) placeActive(statement classifier.Statement) (place, *executor.Refusal) {
	switch statement.Kind {
	case classifier.KindEmpty:
		return placeEither, nil
	case classifier.KindCommit, classifier.KindRollback:
		if s.inTransaction {
			return placeEndpoint, nil
		}
		return placeEither, nil
	case classifier.KindUnlisten:
		return placeOwn, nil
	case classifier.KindCopy, classifier.KindListen, classifier.KindPrepareCommit:
		return 0, notSupported(statement.Kind)
	case classifier.KindPrepare, classifier.KindExecute, classifier.KindDeclareWithHold:
		if !s.inTransaction {
			return 0, notSupported(statement.Kind)
		}
	case classifier.KindSet, classifier.KindShow, classifier.KindSetLocal, classifier.KindDefineTransaction,
		classifier.KindReset, classifier.KindDiscard, classifier.KindDeallocate:
		return s.placeSetting(statement)
	}
	return placeEndpoint, nil
}

// placeAborted places a statement of a transaction that the proxy rolled back.
func (s *scope) placeAborted(kind classifier.Kind) (place, *executor.Refusal) {
	switch kind {
	case classifier.KindCommit, classifier.KindRollback, classifier.KindEmpty:
		return placeOwn, nil
	}
	return 0, executor.RefuseNotRun(executor.CodeInFailedTransaction,
		"current transaction is aborted, commands ignored until end of transaction block")
}

// placeSetting places a statement that concerns the state of a connection.
// Outside a transaction there is no connection whose state could be changed.
func (s *scope) placeSetting(statement classifier.Statement) (place, *executor.Refusal) {
	switch statement.Kind {
	case classifier.KindShow:
		if strings.HasPrefix(statement.Name, ownPrefix) {
			return placeOwn, nil
		}
		return placeEndpoint, nil
	case classifier.KindSetLocal:
		if strings.HasPrefix(statement.Name, ownPrefix) {
			return 0, executor.RefuseNotRun(executor.CodeNotSupported, "own settings cannot be set for a transaction")
		}
	case classifier.KindSet:
		own := strings.HasPrefix(statement.Name, ownPrefix) || isHarmless(statement.Name, statement.Value)
		if !own && !s.inTransaction {
			return 0, executor.RefuseNotRun(executor.CodeNotSupported, "SET of this parameter outside a transaction is not supported")
		}
		if own {
			return placeOwn, nil
		}
	case classifier.KindReset, classifier.KindDiscard:
		if statement.Name == "all" && s.inTransaction {
			// It would end the setting of the customer at the endpoint, and the
			// rest of the transaction would run for nobody.
			return 0, executor.RefuseNotRun(executor.CodeNotSupported, string(statement.Kind)+" ALL in a transaction is not supported")
		}
		if strings.HasPrefix(statement.Name, ownPrefix) {
			return placeOwn, nil
		}
	case classifier.KindDeallocate:
		if s.deallocatable(statement.Name) {
			return placeOwn, nil
		}
	}
	if s.inTransaction {
		return placeEndpoint, nil
	}
	return placeOwn, nil
}

// placeText says who answers a text, which may have several statements. Those
// that the acceptor answers have to stand alone.
func (s *scope) placeText(text string, all classifier.Statement) (place, *executor.Refusal) {
	if all.Statements < 2 {
		if all.ConnectionBound && !s.inTransaction {
			return 0, executor.RefuseNotRun(executor.CodeNotSupported,
				"functions that concern the connection are supported in a transaction only")
		}
		where, refusal := s.place(all)
		s.follow(all.Kind)
		return where, refusal
	}
	for _, one := range classifier.Each(text) {
		where, refusal := s.place(one)
		if refusal != nil {
			return 0, refusal
		}
		if where == placeOwn {
			return 0, executor.RefuseNotRun(executor.CodeNotSupported,
				string(one.Kind)+" cannot be combined with other statements")
		}
		s.follow(one.Kind)
	}
	return placeEndpoint, nil
}

func notSupported(kind classifier.Kind) *executor.Refusal {
	return executor.RefuseNotRun(executor.CodeNotSupported,
		strings.ReplaceAll(string(kind), "_", " ")+" is not supported")
}
