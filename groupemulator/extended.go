package groupemulator

import (
	"slices"

	"github.com/jackc/pgx/v5/pgproto3"
)

// handleExtended processes a message of the extended query protocol.
func (s *session) handleExtended(msg pgproto3.FrontendMessage) *sqlError {
	switch msg := msg.(type) {
	case *pgproto3.Parse:
		return s.handleParse(msg)
	case *pgproto3.Bind:
		return s.handleBind(msg)
	case *pgproto3.Describe:
		return s.handleDescribe(msg)
	case *pgproto3.Execute:
		return s.handleExecute(msg)
	case *pgproto3.Close:
		if msg.ObjectType == 'S' {
			delete(s.prepared, msg.Name)
		} else {
			delete(s.portals, msg.Name)
		}
		s.send(&pgproto3.CloseComplete{})
		return nil
	default:
		return sqlErrorf(codeProtocol, "unexpected message %T", msg)
	}
}

func (s *session) handleParse(msg *pgproto3.Parse) *sqlError {
	if _, ok := s.prepared[msg.Name]; ok && msg.Name != "" {
		return sqlErrorf(codeDuplicateStatement, "prepared statement %q already exists", msg.Name)
	}
	statements, err := parse(msg.Query)
	if err != nil {
		return err
	}
	if len(statements) > 1 {
		return sqlErrorf(codeSyntax, "cannot insert multiple commands into a prepared statement")
	}
	p := &preparedStatement{query: msg.Query}
	if len(statements) == 1 {
		p.statement = statements[0]
		if err := s.checkFailed(p.statement); err != nil {
			return err
		}
		p.parameterOIDs = slices.Clone(p.statement.parameters)
	}
	for i, oid := range msg.ParameterOIDs {
		if i < len(p.parameterOIDs) && oid != 0 {
			p.parameterOIDs[i] = oid
		}
	}
	s.prepared[msg.Name] = p
	s.send(&pgproto3.ParseComplete{})
	return nil
}

func (s *session) handleBind(msg *pgproto3.Bind) *sqlError {
	p, ok := s.prepared[msg.PreparedStatement]
	if !ok {
		return sqlErrorf(codeUnknownStatement, "prepared statement %q does not exist", msg.PreparedStatement)
	}
	if len(msg.Parameters) != len(p.parameterOIDs) {
		return sqlErrorf(codeProtocol, "bind message supplies %d parameters, but prepared statement %q requires %d",
			len(msg.Parameters), msg.PreparedStatement, len(p.parameterOIDs))
	}
	pt := &portal{prepared: p, resultFormats: slices.Clone(msg.ResultFormatCodes)}
	for i, raw := range msg.Parameters {
		v, err := decodeValue(raw, p.parameterOIDs[i], formatOf(msg.ParameterFormatCodes, i))
		if err != nil {
			return err
		}
		pt.parameters = append(pt.parameters, v)
	}
	s.portals[msg.DestinationPortal] = pt
	s.send(&pgproto3.BindComplete{})
	return nil
}

func (s *session) handleDescribe(msg *pgproto3.Describe) *sqlError {
	var p *preparedStatement
	var formats []int16
	if msg.ObjectType == 'S' {
		var ok bool
		if p, ok = s.prepared[msg.Name]; !ok {
			return sqlErrorf(codeUnknownStatement, "prepared statement %q does not exist", msg.Name)
		}
		s.send(&pgproto3.ParameterDescription{ParameterOIDs: p.parameterOIDs})
	} else {
		pt, ok := s.portals[msg.Name]
		if !ok {
			return sqlErrorf(codeUnknownPortal, "portal %q does not exist", msg.Name)
		}
		p, formats = pt.prepared, pt.resultFormats
	}
	if p.statement == nil || p.statement.fields() == nil {
		s.send(&pgproto3.NoData{})
		return nil
	}
	s.send(rowDescription(p.statement.fields(), formats))
	return nil
}

func (s *session) handleExecute(msg *pgproto3.Execute) *sqlError {
	pt, ok := s.portals[msg.Portal]
	if !ok {
		return sqlErrorf(codeUnknownPortal, "portal %q does not exist", msg.Portal)
	}
	if pt.prepared.statement == nil {
		s.send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	if pt.result == nil {
		r, err := s.run(pt.prepared.statement, pt.parameters, pt.prepared.query)
		if err != nil {
			return err
		}
		pt.result = r
	}
	more, err := s.sendRows(pt.result, pt.resultFormats, int(msg.MaxRows))
	if err != nil {
		return err
	}
	if more {
		s.send(&pgproto3.PortalSuspended{})
		return nil
	}
	s.sendCommandComplete(pt.result)
	return nil
}
