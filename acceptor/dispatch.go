package acceptor

import (
	"strings"

	"github.com/endiveturn/endiveturn/classifier"
	"github.com/endiveturn/endiveturn/executor"
)

// codeInsufficientPrivilege is the SQLSTATE for a statement that is reserved
// for the proxy itself.
const codeInsufficientPrivilege = "42501"

// A destination is where a statement is executed.
type destination uint8

const (
	// destinationEndpoint: a database executes the statement.
	destinationEndpoint destination = iota
	// destinationProxy: the proxy executes the statement, which cannot be in
	// one batch with statements for a database.
	destinationProxy
	// destinationEither: the statement goes where the other statements of the
	// batch go; on its own, the proxy executes it.
	destinationEither
)

// A dispatcher chooses the destinations of the statements of a batch, given the
// transaction state.
type dispatcher struct {
	// inTransaction is set if a transaction is open or was begun earlier in the
	// batch.
	inTransaction bool
	// aborted is set if the proxy has rolled the transaction back and the
	// client has not ended it yet.
	aborted bool
	// failed is set if the database is in a failed transaction that has not
	// been ended.
	failed bool
	// isPrepared reports whether the connection has a prepared statement of
	// that name; it is true for "all".
	isPrepared func(name string) bool
}

// advance updates the transaction state for the statements after one of the
// given kind.
func (d *dispatcher) advance(kind classifier.Kind) {
	switch kind {
	case classifier.KindBegin, classifier.KindBeginReadOnly:
		d.inTransaction = true
	case classifier.KindCommit, classifier.KindRollback:
		d.inTransaction = false
	}
}

// dispatch returns the destination of a statement, or the reason for refusing
// it.
func (d *dispatcher) dispatch(statement classifier.Statement) (destination, *executor.Refusal) {
	if statement.MentionsCustomerSetting {
		return 0, executor.RefuseNotRun(codeInsufficientPrivilege, "endiveturn.customer cannot be used")
	}
	if d.aborted {
		return d.dispatchAborted(statement.Kind)
	}
	dest, refusal := d.dispatchActive(statement)
	if dest == destinationProxy && d.failed {
		// The database rejects everything except the end of the transaction.
		dest = destinationEndpoint
	}
	return dest, refusal
}

// dispatchActive dispatches a statement outside a transaction, or in one that
// the proxy has not rolled back.
func (d *dispatcher) dispatchActive(statement classifier.Statement) (destination, *executor.Refusal) {
	switch statement.Kind {
	case classifier.KindEmpty:
		return destinationEither, nil
	case classifier.KindCommit, classifier.KindRollback:
		if d.inTransaction {
			return destinationEndpoint, nil
		}
		return destinationEither, nil
	case classifier.KindUnlisten:
		return destinationProxy, nil
	case classifier.KindCopy, classifier.KindListen, classifier.KindTwoPhaseCommit:
		return 0, refuseNotSupported(statement.Kind)
	case classifier.KindPrepare, classifier.KindExecute, classifier.KindDeclareWithHold:
		if !d.inTransaction {
			return 0, refuseNotSupported(statement.Kind)
		}
	case classifier.KindSet, classifier.KindShow, classifier.KindSetLocal, classifier.KindSetTransaction,
		classifier.KindReset, classifier.KindDiscard, classifier.KindDeallocate:
		return d.dispatchSetting(statement)
	}
	return destinationEndpoint, nil
}

// dispatchAborted dispatches a statement in a transaction that the proxy has
// rolled back.
func (d *dispatcher) dispatchAborted(kind classifier.Kind) (destination, *executor.Refusal) {
	switch kind {
	case classifier.KindCommit, classifier.KindRollback, classifier.KindEmpty:
		return destinationProxy, nil
	}
	return 0, executor.RefuseNotRun(executor.CodeInFailedTransaction,
		"current transaction is aborted, commands ignored until end of transaction block")
}

// dispatchSetting dispatches a statement that concerns the state of a
// connection. Outside a transaction, a client has no endpoint connection whose
// state it could change.
func (d *dispatcher) dispatchSetting(statement classifier.Statement) (destination, *executor.Refusal) {
	switch statement.Kind {
	case classifier.KindShow:
		if strings.HasPrefix(statement.Name, settingPrefix) {
			return destinationProxy, nil
		}
		return destinationEndpoint, nil
	case classifier.KindSetLocal:
		if strings.HasPrefix(statement.Name, settingPrefix) {
			return 0, executor.RefuseNotRun(executor.CodeNotSupported, "own settings cannot be set for a transaction")
		}
	case classifier.KindSet:
		byProxy := strings.HasPrefix(statement.Name, settingPrefix) || hasNoEffect(statement.Name, statement.Value)
		if !byProxy && !d.inTransaction {
			return 0, executor.RefuseNotRun(executor.CodeNotSupported, "SET of this parameter outside a transaction is not supported")
		}
		if byProxy {
			return destinationProxy, nil
		}
	case classifier.KindReset, classifier.KindDiscard:
		if statement.Name == "all" && d.inTransaction {
			// The reset would clear endiveturn.customer at the endpoint, and
			// the rest of the transaction would run without a customer.
			return 0, executor.RefuseNotRun(executor.CodeNotSupported, string(statement.Kind)+" ALL in a transaction is not supported")
		}
		if strings.HasPrefix(statement.Name, settingPrefix) {
			return destinationProxy, nil
		}
	case classifier.KindDeallocate:
		if d.isPrepared(statement.Name) {
			return destinationProxy, nil
		}
	}
	if d.inTransaction {
		return destinationEndpoint, nil
	}
	return destinationProxy, nil
}

// dispatchText dispatches a query text, which may contain several statements. A
// statement that the proxy executes must be the only one.
func (d *dispatcher) dispatchText(text string, all classifier.Statement) (destination, *executor.Refusal) {
	if all.StatementCount < 2 {
		if all.ConnectionBound && !d.inTransaction {
			return 0, executor.RefuseNotRun(executor.CodeNotSupported,
				"functions that concern the connection are supported in a transaction only")
		}
		dest, refusal := d.dispatch(all)
		d.advance(all.Kind)
		return dest, refusal
	}
	for _, one := range classifier.ClassifyEach(text) {
		dest, refusal := d.dispatch(one)
		if refusal != nil {
			return 0, refusal
		}
		if dest == destinationProxy {
			return 0, executor.RefuseNotRun(executor.CodeNotSupported,
				string(one.Kind)+" cannot be combined with other statements")
		}
		d.advance(one.Kind)
	}
	return destinationEndpoint, nil
}

func refuseNotSupported(kind classifier.Kind) *executor.Refusal {
	return executor.RefuseNotRun(executor.CodeNotSupported,
		strings.ReplaceAll(string(kind), "_", " ")+" is not supported")
}
