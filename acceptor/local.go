package acceptor

import (
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/endiveturn/endiveturn/classifier"
	"github.com/endiveturn/endiveturn/executor"
)

// oidText is the OID of the type text, in which settings are returned.
const oidText = 25

// codeNoActiveTransaction is the SQLSTATE of the warning after COMMIT or
// ROLLBACK outside a transaction.
const codeNoActiveTransaction = "25P01"

// executeLocally responds to a request without a statement for an endpoint.
// After an error, the remaining messages up to Sync are skipped.
func (c *connection) executeLocally(p *plan, response *responseWriter) error {
	portals := make(map[string]*preparedStatement)
	for _, message := range p.decoded {
		if refusal := c.executeLocalMessage(p, portals, message, response); refusal != nil {
			return c.refuseBatch(p, response, refusal)
		}
	}
	return nil
}

// executeLocalMessage responds to one message.
func (c *connection) executeLocalMessage(p *plan, portals map[string]*preparedStatement, message pgproto3.FrontendMessage, response *responseWriter) *executor.Refusal {
	switch m := message.(type) {
	case *pgproto3.Parse:
		c.statements.define(m.Name, newPreparedStatement(m))
		response.send(&pgproto3.ParseComplete{})
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			c.statements.close(m.Name)
		}
		response.send(&pgproto3.CloseComplete{})
	case *pgproto3.Bind:
		statement, known := c.statements.byName[m.PreparedStatement]
		if !known {
			return executor.RefuseNotRun(executor.CodeUndefinedStatement, "prepared statement does not exist")
		}
		portals[m.DestinationPortal] = statement
		response.send(&pgproto3.BindComplete{})
	case *pgproto3.Describe:
		return c.describeLocal(portals, m, response)
	case *pgproto3.Execute:
		statement, known := portals[m.Portal]
		if !known {
			return executor.RefuseNotRun(codeUndefinedCursor, "portal does not exist")
		}
		return c.executeLocalStatement(statement.classified, response)
	case *pgproto3.Query:
		if p.query.Kind == classifier.KindShow {
			response.send(rowDescription(p.query.Name))
		}
		return c.executeLocalStatement(p.query, response)
	}
	return nil
}

// codeUndefinedCursor is the SQLSTATE for a portal that does not exist.
const codeUndefinedCursor = "34000"

// describeLocal describes a statement or portal that the proxy executes.
func (c *connection) describeLocal(portals map[string]*preparedStatement, m *pgproto3.Describe, response *responseWriter) *executor.Refusal {
	statement, known := portals[m.Name]
	if m.ObjectType == 'S' {
		statement, known = c.statements.byName[m.Name]
		if known {
			response.send(&pgproto3.ParameterDescription{ParameterOIDs: statement.executorStatement().ParameterOIDs})
		}
	}
	switch {
	case !known && m.ObjectType == 'S':
		return executor.RefuseNotRun(executor.CodeUndefinedStatement, "prepared statement does not exist")
	case !known:
		return executor.RefuseNotRun(codeUndefinedCursor, "portal does not exist")
	case statement.classified.Kind == classifier.KindShow:
		response.send(rowDescription(statement.classified.Name))
	default:
		response.send(&pgproto3.NoData{})
	}
	return nil
}

func rowDescription(name string) *pgproto3.RowDescription {
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{
		Name: []byte(name), DataTypeOID: oidText, DataTypeSize: -1, TypeModifier: -1,
	}}}
}

// executeLocalStatement executes a statement in the proxy.
func (c *connection) executeLocalStatement(statement classifier.Statement, response *responseWriter) *executor.Refusal {
	tag := strings.ToUpper(string(statement.Kind))
	switch statement.Kind {
	case classifier.KindEmpty:
		response.send(&pgproto3.EmptyQueryResponse{})
		return nil
	case classifier.KindCommit, classifier.KindRollback:
		tag = c.endTransaction(tag, response)
	case classifier.KindSet, classifier.KindSetLocal, classifier.KindSetTransaction:
		tag = "SET"
		if strings.HasPrefix(statement.Name, settingPrefix) {
			if refusal := c.settings.set(statement.Name, statement.Value, c.service); refusal != nil {
				return refusal
			}
		}
	case classifier.KindReset:
		if refusal := c.resetSetting(statement.Name); refusal != nil {
			return refusal
		}
	case classifier.KindDiscard:
		tag += " " + strings.ToUpper(statement.Name)
		if statement.Name == "all" {
			c.settings.reset()
			c.statements.closeAll()
		}
	case classifier.KindDeallocate:
		return c.deallocate(statement.Name, response)
	case classifier.KindShow:
		value, known := c.settings.show(statement.Name)
		if !known {
			return executor.RefuseNotRun(executor.CodeUndefinedParameter, "unrecognized parameter")
		}
		response.send(&pgproto3.DataRow{Values: [][]byte{[]byte(value)}})
	}
	response.send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	return nil
}

// endTransaction ends a transaction that the proxy has rolled back, or warns
// that there is no transaction. It returns the command tag.
func (c *connection) endTransaction(tag string, response *responseWriter) string {
	if c.status == statusFailed {
		c.status = statusIdle
		return "ROLLBACK"
	}
	response.send(&pgproto3.NoticeResponse{
		Severity: "WARNING", SeverityUnlocalized: "WARNING",
		Code: codeNoActiveTransaction, Message: "there is no transaction in progress",
	})
	return tag
}

// resetSetting resets one or all proxy settings. Other settings have their
// defaults outside a transaction, so there is nothing to reset.
func (c *connection) resetSetting(name string) *executor.Refusal {
	switch {
	case name == "all":
		c.settings.reset()
	case strings.HasPrefix(name, settingPrefix):
		return c.settings.set(name, c.settings.initialValue(name), c.service)
	}
	return nil
}

// deallocate removes a prepared statement by its name, or all of them.
func (c *connection) deallocate(name string, response *responseWriter) *executor.Refusal {
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
	response.send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	return nil
}
