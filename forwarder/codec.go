package forwarder

import (
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protowire"
	"storj.io/drpc"

	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/connector"
	"github.com/endiveturn/endiveturn/executor"
)

// Sentinel errors of the codec.
var (
	// errNotMessage is returned for a value that is not a message of the protocol.
	errNotMessage = errors.New("not a message of the forwarder")
	// errMalformedMessage is returned for bytes that can't be decoded.
	errMalformedMessage = errors.New("malformed message of the forwarder")
)

// Field numbers of a request, encoded as in protocol buffers. Numbers above 15 take a
// byte more.
const (
	fieldNumber = iota + 1
	fieldID
	fieldVerb
	fieldName
	fieldArguments
	fieldVariable
	fieldPreparedText
	fieldPreparedWrites
	fieldOperation
	fieldPreparedName
	fieldSentAt
	fieldValidFor
)

// Field numbers of an operation.
const (
	fieldCustomer = iota + 1
	fieldService
	fieldRoute
	fieldConsistency
	fieldStatementTimeout
	fieldTargetLatency
	fieldMaxStaleness
	fieldPriority
	fieldElapsed
	fieldBegin
	fieldFloorTerm
	fieldFloorOffset
	fieldTried
)

// encoding encodes requests and replies for drpc.
type encoding struct{}

// Marshal implements drpc.Encoding.
func (e encoding) Marshal(message drpc.Message) ([]byte, error) { return e.MarshalAppend(nil, message) }

// MarshalAppend appends the encoded message to b.
func (encoding) MarshalAppend(b []byte, message drpc.Message) ([]byte, error) {
	switch m := message.(type) {
	case *Request:
		return appendRequest(b, m), nil
	case *Reply:
		return appendReply(b, m), nil
	default:
		return b, errors.Wrapf(errNotMessage, "%T", message)
	}
}

// Unmarshal implements drpc.Encoding.
func (encoding) Unmarshal(data []byte, message drpc.Message) error {
	switch m := message.(type) {
	case *Request:
		return parseRequest(data, m)
	case *Reply:
		return parseReply(data, m)
	default:
		return errors.Wrapf(errNotMessage, "%T", message)
	}
}

func appendText(b []byte, field protowire.Number, value string) []byte {
	if value == "" {
		return b
	}
	return protowire.AppendString(protowire.AppendTag(b, field, protowire.BytesType), value)
}

func appendNumber(b []byte, field protowire.Number, value uint64) []byte {
	if value == 0 {
		return b
	}
	return protowire.AppendVarint(protowire.AppendTag(b, field, protowire.VarintType), value)
}

func appendBytes(b []byte, field protowire.Number, value []byte) []byte {
	return protowire.AppendBytes(protowire.AppendTag(b, field, protowire.BytesType), value)
}

// requestSize returns an upper bound of the size of the parts of a request that a client
// determines.
func requestSize(r *Request) int {
	size := len(r.Statement.Name) + len(r.Statement.Arguments) + len(r.Statement.ID)
	if r.Prepared != nil {
		size += len(r.Prepared.Text)
	}
	for _, v := range r.Variables.List() {
		size += len(v.Name) + len(v.Value)
	}
	return size
}

func appendRequest(b []byte, r *Request) []byte {
	b = appendNumber(b, fieldNumber, r.number)
	b = appendNumber(b, fieldSentAt, milliseconds(r.sentAt))
	b = appendNumber(b, fieldValidFor, milliseconds(r.validFor))
	b = appendText(b, fieldID, r.Statement.ID)
	b = appendNumber(b, fieldVerb, uint64(r.Statement.Verb))
	b = appendText(b, fieldName, r.Statement.Name)
	b = appendText(b, fieldArguments, r.Statement.Arguments)
	var nested []byte
	for _, v := range r.Variables.List() {
		nested = appendText(nested[:0], 1, v.Name)
		nested = appendText(nested, 2, v.Value)
		b = appendBytes(b, fieldVariable, nested)
	}
	if r.Prepared != nil {
		b = appendText(b, fieldPreparedName, r.Prepared.Name)
		b = appendText(b, fieldPreparedText, r.Prepared.Text)
		if r.Prepared.Writes {
			b = appendNumber(b, fieldPreparedWrites, 1)
		}
	}
	if r.Operation != nil {
		b = appendOperation(b, r.Operation)
	}
	return b
}

// maxOperationPrefix is the number of bytes of the tag and the length of an operation.
const maxOperationPrefix = 4

// appendOperation appends an operation as a nested message. It encodes the message in
// place and moves it once its length is known, which saves an allocation.
func appendOperation(b []byte, o *Operation) []byte {
	start := len(b)
	b = append(b, make([]byte, maxOperationPrefix)...)
	b = appendText(b, fieldCustomer, o.Customer)
	b = appendText(b, fieldService, o.Route.Service)
	b = appendText(b, fieldRoute, o.Route.Name)
	b = appendNumber(b, fieldConsistency, uint64(o.Route.Consistency))
	b = appendNumber(b, fieldStatementTimeout, milliseconds(o.Route.StatementTimeout))
	b = appendNumber(b, fieldTargetLatency, milliseconds(o.Route.TargetLatency))
	b = appendNumber(b, fieldMaxStaleness, milliseconds(o.Route.MaxStaleness))
	b = appendNumber(b, fieldPriority, protowire.EncodeZigZag(int64(o.Route.Priority)))
	b = appendNumber(b, fieldElapsed, uint64(max(0, o.Elapsed.Microseconds())))
	b = appendNumber(b, fieldBegin, uint64(o.Begin))
	b = appendNumber(b, fieldFloorTerm, o.Floor.Term)
	b = appendNumber(b, fieldFloorOffset, o.Floor.Offset)
	for _, id := range o.Tried {
		b = appendText(b, fieldTried, id)
	}
	var prefix [16]byte
	encoded := protowire.AppendTag(prefix[:0], fieldOperation, protowire.BytesType)
	encoded = protowire.AppendVarint(encoded, uint64(len(b)-start-maxOperationPrefix))
	body := b[start+maxOperationPrefix:]
	if len(encoded) > maxOperationPrefix {
		return append(append(b[:start:start], encoded...), body...)
	}
	copy(b[start:], encoded)
	n := copy(b[start+len(encoded):], body)
	return b[:start+len(encoded)+n]
}

func milliseconds(d time.Duration) uint64 { return uint64(max(0, d.Milliseconds())) }

// A visitor receives the fields of a message. text is valid only during the call.
type visitor func(field protowire.Number, number uint64, text []byte) error

// visitFields calls visit for each field of a message.
func visitFields(data []byte, visit visitor) error {
	for len(data) > 0 {
		field, kind, n := protowire.ConsumeTag(data)
		if n < 0 {
			return errors.Wrap(errMalformedMessage, protowire.ParseError(n).Error())
		}
		data = data[n:]
		var number uint64
		var text []byte
		switch kind {
		case protowire.VarintType:
			number, n = protowire.ConsumeVarint(data)
		case protowire.BytesType:
			text, n = protowire.ConsumeBytes(data)
		default:
			n = protowire.ConsumeFieldValue(field, kind, data)
		}
		if n < 0 {
			return errors.Wrap(errMalformedMessage, protowire.ParseError(n).Error())
		}
		data = data[n:]
		if err := visit(field, number, text); err != nil {
			return err
		}
	}
	return nil
}

func parseRequest(data []byte, r *Request) error {
	*r = Request{}
	var variables []connector.Variable
	prepared := Prepared{}
	err := visitFields(data, func(field protowire.Number, number uint64, text []byte) error {
		switch field {
		case fieldNumber:
			r.number = number
		case fieldSentAt:
			r.sentAt = time.Duration(number) * time.Millisecond
		case fieldValidFor:
			r.validFor = time.Duration(number) * time.Millisecond
		case fieldID:
			r.Statement.ID = string(text)
		case fieldVerb:
			r.Statement.Verb = executor.Verb(number)
		case fieldName:
			r.Statement.Name = string(text)
		case fieldArguments:
			r.Statement.Arguments = string(text)
		case fieldVariable:
			variable, err := parseVariable(text)
			variables = append(variables, variable)
			return err
		case fieldPreparedName:
			prepared.Name = string(text)
		case fieldPreparedText:
			prepared.Text = string(text)
		case fieldPreparedWrites:
			prepared.Writes = number != 0
		case fieldOperation:
			r.Operation = new(Operation)
			return parseOperation(text, r.Operation)
		}
		return nil
	})
	r.Variables = connector.NewVariables(variables)
	if prepared.Name != "" {
		r.Prepared = &prepared
	}
	return err
}

func parseVariable(data []byte) (connector.Variable, error) {
	var v connector.Variable
	err := visitFields(data, func(field protowire.Number, _ uint64, text []byte) error {
		switch field {
		case 1:
			v.Name = string(text)
		case 2:
			v.Value = string(text)
		}
		return nil
	})
	return v, err
}

func parseOperation(data []byte, o *Operation) error {
	return visitFields(data, func(field protowire.Number, number uint64, text []byte) error {
		switch field {
		case fieldCustomer:
			o.Customer = string(text)
		case fieldService:
			o.Route.Service = string(text)
		case fieldRoute:
			o.Route.Name = string(text)
		case fieldConsistency:
			o.Route.Consistency = cataloger.Consistency(number)
		case fieldStatementTimeout:
			o.Route.StatementTimeout = time.Duration(number) * time.Millisecond
		case fieldTargetLatency:
			o.Route.TargetLatency = time.Duration(number) * time.Millisecond
		case fieldMaxStaleness:
			o.Route.MaxStaleness = time.Duration(number) * time.Millisecond
		case fieldPriority:
			o.Route.Priority = int(protowire.DecodeZigZag(number))
		case fieldElapsed:
			o.Elapsed = time.Duration(number) * time.Microsecond
		case fieldBegin:
			o.Begin = executor.Verb(number)
		case fieldFloorTerm:
			o.Floor.Term = number
		case fieldFloorOffset:
			o.Floor.Offset = number
		case fieldTried:
			o.Tried = append(o.Tried, string(text))
		}
		return nil
	})
}
