package acceptor

import (
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/endiveturn/endiveturn/classifier"
	"github.com/endiveturn/endiveturn/executor"
)

// oidText is the type of the values of settings.
const oidText = 25

// codeNoActiveTransaction is the SQLSTATE of the warning after COMMIT or
// ROLLBACK outside a transaction.
const codeNoActiveTransaction = "25P01"

// runOwn answers a request of which no statement goes to an endpoint. After an
// error, the rest up to Sync is skipped.
func (c *connection) runOwn(p *plan, answer *answer) error {
	portals := make(map[string]*prepared)
	for _, step := range p.steps {
		if refusal := c.runOwnStep(p, portals, step, answer); refusal != nil {
			return c.fail(p, answer, refusal)
		}
	}
	return nil
}

// runOwnStep answers one message.
func (c *connection) runOwnStep(p *plan, portals map[string]*prepared, step pgproto3.FrontendMessage, answer *answer) *executor.Refusal {
	switch m := step.(type) {
	case *pgproto3.Parse:
		c.statements.define(m.Name, newPrepared(m))
		answer.send(&pgproto3.ParseComplete{})
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			c.statements.close(m.Name)
		}
		answer.send(&pgproto3.CloseComplete{})
	case *pgproto3.Bind:
		statement, known := c.statements.byName[m.PreparedStatement]
		if !known {
			return executor.RefuseNotRun(executor.CodeUndefinedStatement, "prepared statement does not exist")
		}
		portals[m.DestinationPortal] = statement
		answer.send(&pgproto3.BindComplete{})
	case *pgproto3.Describe:
		return c.describeOwn(portals, m, answer)
	case *pgproto3.Execute:
		statement, known := portals[m.Portal]
		if !known {
			return executor.RefuseNotRun(codeUndefinedCursor, "portal does not exist")
		}
		return c.executeOwn(statement.statement, answer)
	case *pgproto3.Query:
		if p.query.Kind == classifier.KindShow {
			answer.send(rowDescription(p.query.Name))
		}
		return c.executeOwn(p.query, answer)
	}
	return nil
}

// codeUndefinedCursor is the SQLSTATE of a portal that does not exist.
const codeUndefinedCursor = "34000"

// describeOwn describes a statement or portal of the acceptor.
func (c *connection) describeOwn(portals map[string]*prepared, m *pgproto3.Describe, answer *answer) *executor.Refusal {
	statement, known := portals[m.Name]
	if m.ObjectType == 'S' {
		statement, known = c.statements.byName[m.Name]
		if known {
			answer.send(&pgproto3.ParameterDescription{ParameterOIDs: statement.executorStatement().ParameterOIDs})
		}
	}
	switch {
	case !known && m.ObjectType == 'S':
		return executor.RefuseNotRun(executor.CodeUndefinedStatement, "prepared statement does not exist")
	case !known:
		return executor.RefuseNotRun(codeUndefinedCursor, "portal does not exist")
	case statement.statement.Kind == classifier.KindShow:
		answer.send(rowDescription(statement.statement.Name))
	default:
		answer.send(&pgproto3.NoData{})
	}
	return nil
}

func rowDescription(name string) *pgproto3.RowDescription {
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{
		Name: []byte(name), DataTypeOID: oidText, DataTypeSize: -1, TypeModifier: -1,
	}}}
}

// executeOwn executes a statement that the acceptor answers.
func (c *connection) executeOwn(statement classifier.Statement, answer *answer) *executor.Refusal {
	tag := strings.ToUpper(string(statement.Kind))
	switch statement.Kind {
	case classifier.KindEmpty:
		answer.send(&pgproto3.EmptyQueryResponse{})
		return nil
	case classifier.KindCommit, classifier.KindRollback:
		tag = c.endTransaction(tag, answer)
	case classifier.KindSet, classifier.KindSetLocal, classifier.KindDefineTransaction:
		tag = "SET"
		if strings.HasPrefix(statement.Name, ownPrefix) {
			if refusal := c.settings.set(statement.Name, statement.Value, c.service); refusal != nil {
				return refusal
			}
		}
	case classifier.KindReset:
		if refusal := c.resetOwn(statement.Name); refusal != nil {
			return refusal
		}
	case classifier.KindDiscard:
		tag += " " + strings.ToUpper(statement.Name)
		if statement.Name == "all" {
			c.settings.reset()
			c.statements.closeAll()
		}
	case classifier.KindDeallocate:
		return c.deallocate(statement.Name, answer)
	case classifier.KindShow:
		value, known := c.settings.show(statement.Name)
		if !known {
			return executor.RefuseNotRun(executor.CodeUndefinedParameter, "unrecognized parameter")
		}
		answer.send(&pgproto3.DataRow{Values: [][]byte{[]byte(value)}})
	}
	answer.send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	return nil
}

// endTransaction ends a transaction that the proxy rolled back, or warns that
// there is none. It returns the command tag.
func (c *connection) endTransaction(tag string, answer *answer) string {
	if c.status == statusFailed {
		c.status = statusIdle
		return "ROLLBACK"
	}
	answer.send(&pgproto3.NoticeResponse{
		Severity: "WARNING", SeverityUnlocalized: "WARNING",
		Code: codeNoActiveTransaction, Message: "there is no transaction in progress",
	})
	return tag
}

// resetOwn resets one own setting or all. Other settings outside a transaction
// have their defaults anyway.
func (c *connection) resetOwn(name string) *executor.Refusal {
	switch {
	case name == "all":
		c.settings.reset()
	case strings.HasPrefix(name, ownPrefix):
		return c.settings.set(name, c.settings.initialValue(name), c.service)
	}
	return nil
}

// deallocate closes a prepared statement by its name, or all.
func (c *connection) deallocate(name string, answer *answer) *executor.Refusal {
	tag := "DEALLOCATE"
	_, known := c.statements.byName[name]
	switch {
	case name == "all":
		tag = "DEALLOCATE ALL"
		c.statements.closeAll()
	case !known:
		return executor.RefuseNotRun(executor.CodeUndefinedStatement, "prepared statement does not exist")
	default:
		c.statements.close(name)
	}
	answer.send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	return nil
}
