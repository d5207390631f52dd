package exchanger

import (
	"math"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protowire"
	"storj.io/drpc"
)

// Sentinel errors of the codec.
var (
	// errNotMessage is returned for a value that is not a *Message.
	errNotMessage = errors.New("not a message of the exchange")
	// errMalformedMessage is returned for bytes that can't be decoded.
	errMalformedMessage = errors.New("malformed message of the exchange")
)

// Field numbers of a message, encoded as in protocol buffers. Durations are encoded
// as milliseconds plus one, so that 0 stands for unknown.
const (
	fieldHost = iota + 1
	fieldIncarnation
	fieldAddress
	fieldDataCentre
	fieldRevision
	fieldAge
	fieldStopping
	fieldUsage
	fieldPrimary
	fieldReleased
	fieldRecord
	fieldDigest
	fieldUptime
	fieldHosts
	fieldSequence
	fieldEcho
	fieldListed
	fieldMajorityHeardAge
	fieldAcceptsCompression
	fieldVotersRevision
	fieldCounts
	// fieldStoppingHost and fieldUnreachable are repeated.
	fieldStoppingHost
	fieldUnreachable
	fieldCompleteAfter
)

// Field numbers of the nested messages.
const (
	fieldName = iota + 1
	fieldFirst
	fieldSecond
	fieldThird
	fieldFourth
	fieldFifth
)

// demandUnit is the resolution of an encoded demand in operations per second.
const demandUnit = 0.1

// encoding encodes messages for drpc.
type encoding struct{}

// Marshal implements drpc.Encoding.
func (encoding) Marshal(message drpc.Message) ([]byte, error) {
	m, ok := message.(*Message)
	if !ok {
		return nil, errors.Wrapf(errNotMessage, "%T", message)
	}
	return appendMessage(nil, m), nil
}

// Unmarshal implements drpc.Encoding.
func (encoding) Unmarshal(data []byte, message drpc.Message) error {
	m, ok := message.(*Message)
	if !ok {
		return errors.Wrapf(errNotMessage, "%T", message)
	}
	decoded, err := parseMessage(data)
	*m = decoded
	return err
}

func appendString(b []byte, field protowire.Number, value string) []byte {
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

func appendNested(b []byte, field protowire.Number, nested []byte) []byte {
	return protowire.AppendBytes(protowire.AppendTag(b, field, protowire.BytesType), nested)
}

// encodeDuration encodes a duration. A negative one stands for unknown.
func encodeDuration(d time.Duration) uint64 {
	if d < 0 {
		return 0
	}
	return uint64(d.Milliseconds()) + 1
}

func decodeDuration(n uint64) time.Duration {
	if n == 0 {
		return -1
	}
	return time.Duration(n-1) * time.Millisecond
}

func appendMessage(b []byte, m *Message) []byte {
	r := m.Report
	b = appendString(b, fieldHost, r.Host)
	b = appendString(b, fieldIncarnation, r.Incarnation)
	b = appendString(b, fieldAddress, r.Address)
	b = appendString(b, fieldDataCentre, r.DataCentre)
	b = appendNumber(b, fieldRevision, uint64(r.Revision))
	b = appendNumber(b, fieldAge, encodeDuration(r.Age))
	b = appendNumber(b, fieldDigest, r.Digest)
	b = appendNumber(b, fieldSequence, m.Sequence)
	b = appendNumber(b, fieldEcho, m.Echo)
	b = appendNumber(b, fieldCompleteAfter, uint64(m.CompleteAfter))
	b = appendNumber(b, fieldHosts, uint64(max(0, r.Hosts)))
	b = appendNumber(b, fieldUptime, encodeDuration(r.Uptime))
	b = appendNumber(b, fieldMajorityHeardAge, encodeDuration(r.MajorityHeardAge))
	b = appendNumber(b, fieldVotersRevision, uint64(r.VotersRevision))
	if r.Listed {
		b = appendNumber(b, fieldListed, 1)
	}
	if r.Stopping {
		b = appendNumber(b, fieldStopping, 1)
	}
	if m.AcceptsCompression {
		b = appendNumber(b, fieldAcceptsCompression, 1)
	}
	if len(r.Counts) > 0 {
		b = appendNested(b, fieldCounts, r.Counts)
	}
	for _, name := range r.StoppingHosts {
		b = appendString(b, fieldStoppingHost, name)
	}
	var nested []byte
	for name, u := range r.Usages {
		nested = appendString(nested[:0], fieldName, name)
		nested = appendNumber(nested, fieldFirst, uint64(u.Used))
		nested = appendNumber(nested, fieldSecond, uint64(math.Round(u.Demand/demandUnit)))
		b = appendNested(b, fieldUsage, nested)
	}
	for service, p := range r.Primaries {
		nested = appendString(nested[:0], fieldName, service)
		nested = appendString(nested, fieldFirst, p.ID)
		nested = appendNumber(nested, fieldSecond, uint64(p.StartedAtMillis))
		nested = appendNumber(nested, fieldThird, encodeDuration(p.SinceSuccess))
		if p.SinceFailure > 0 {
			nested = appendNumber(nested, fieldFourth, encodeDuration(p.SinceFailure))
		}
		if p.RefusesWrites {
			nested = appendNumber(nested, fieldFifth, 1)
		}
		b = appendNested(b, fieldPrimary, nested)
	}
	for service, revision := range r.ReleasedRevisions {
		nested = appendString(nested[:0], fieldName, service)
		nested = appendNumber(nested, fieldFirst, uint64(revision))
		b = appendNested(b, fieldReleased, nested)
	}
	for service, ids := range r.Unreachable {
		for _, id := range ids {
			nested = appendString(nested[:0], fieldName, service)
			nested = appendString(nested, fieldFirst, id)
			b = appendNested(b, fieldUnreachable, nested)
		}
	}
	for _, record := range m.Records {
		nested = appendString(nested[:0], fieldName, record.Key)
		nested = appendNumber(nested, fieldFirst, uint64(record.Revision))
		if record.Deleted {
			nested = appendNumber(nested, fieldSecond, 1)
		}
		nested = m.appendValue(nested, record)
		b = appendNested(b, fieldRecord, nested)
	}
	return b
}

// appendValue appends the value of a record, compressed if the receiver accepts that.
func (m *Message) appendValue(b []byte, record Record) []byte {
	if m.compress != nil {
		if data := m.compress(record); data != nil {
			return appendNested(b, fieldFourth, data)
		}
	}
	return appendNested(b, fieldThird, record.Value)
}

// fieldLimit and nestedFieldLimit are greater than all field numbers in use, of a message and
// of a nested one. Fields from them on are ignored. A message has up to hundreds of nested
// ones; arrays of fieldLimit for each took 15 % longer (BenchmarkExchange).
const (
	fieldLimit       = fieldCompleteAfter + 1
	nestedFieldLimit = fieldFifth + 1
)

// fields holds the last value of each field of one message by field number. Both slices have
// the same length.
type fields struct {
	numbers []uint64
	bytes   [][]byte
}

func (f *fields) text(field protowire.Number) string { return string(f.bytes[field]) }

// parse parses a message. If nested is not nil, it is called for each
// length-delimited field.
func (f *fields) parse(data []byte, nested func(field protowire.Number, value []byte) error) error {
	for len(data) > 0 {
		field, kind, n := protowire.ConsumeTag(data)
		if n < 0 {
			return errors.Wrap(errMalformedMessage, protowire.ParseError(n).Error())
		}
		data = data[n:]
		var number uint64
		var value []byte
		switch kind {
		case protowire.VarintType:
			number, n = protowire.ConsumeVarint(data)
		case protowire.BytesType:
			value, n = protowire.ConsumeBytes(data)
		default:
			n = protowire.ConsumeFieldValue(field, kind, data)
		}
		if n < 0 {
			return errors.Wrap(errMalformedMessage, protowire.ParseError(n).Error())
		}
		data = data[n:]
		if int(field) >= len(f.numbers) {
			continue
		}
		f.numbers[field], f.bytes[field] = number, value
		if kind == protowire.BytesType && nested != nil {
			if err := nested(field, value); err != nil {
				return err
			}
		}
	}
	return nil
}

func parseMessage(data []byte) (Message, error) {
	m := Message{Report: Report{
		Usages: make(map[string]Usage), Primaries: make(map[string]PrimaryHealth), ReleasedRevisions: make(map[string]int64),
	}}
	var numbers [fieldLimit]uint64
	var values [fieldLimit][]byte
	f := fields{numbers: numbers[:], bytes: values[:]}
	if err := f.parse(data, m.parseNested); err != nil {
		return Message{}, err
	}
	m.Sequence, m.Echo = f.numbers[fieldSequence], f.numbers[fieldEcho]
	m.CompleteAfter = int64(f.numbers[fieldCompleteAfter])
	r := &m.Report
	r.Host, r.Incarnation = f.text(fieldHost), f.text(fieldIncarnation)
	r.Address, r.DataCentre = f.text(fieldAddress), f.text(fieldDataCentre)
	r.Revision, r.Age = int64(f.numbers[fieldRevision]), decodeDuration(f.numbers[fieldAge])
	r.Uptime = max(0, decodeDuration(f.numbers[fieldUptime]))
	r.Hosts = int(f.numbers[fieldHosts])
	r.Digest = f.numbers[fieldDigest]
	r.Listed = f.numbers[fieldListed] != 0
	r.MajorityHeardAge = decodeDuration(f.numbers[fieldMajorityHeardAge])
	r.VotersRevision = int64(f.numbers[fieldVotersRevision])
	r.Stopping = f.numbers[fieldStopping] != 0
	r.Counts = append([]byte(nil), f.bytes[fieldCounts]...)
	m.AcceptsCompression = f.numbers[fieldAcceptsCompression] != 0
	return m, nil
}

// parseNested parses one element of a repeated field; other fields are ignored.
func (m *Message) parseNested(field protowire.Number, value []byte) error {
	if field == fieldStoppingHost {
		m.Report.StoppingHosts = append(m.Report.StoppingHosts, string(value))
		return nil
	}
	if (field < fieldUsage || field > fieldRecord) && field != fieldUnreachable {
		return nil
	}
	var numbers [nestedFieldLimit]uint64
	var values [nestedFieldLimit][]byte
	f := fields{numbers: numbers[:], bytes: values[:]}
	if err := f.parse(value, nil); err != nil {
		return err
	}
	name := f.text(fieldName)
	switch field {
	case fieldUsage:
		m.Report.Usages[name] = Usage{
			Used: int64(f.numbers[fieldFirst]), Demand: float64(f.numbers[fieldSecond]) * demandUnit,
		}
	case fieldPrimary:
		m.Report.Primaries[name] = PrimaryHealth{
			ID: f.text(fieldFirst), StartedAtMillis: int64(f.numbers[fieldSecond]),
			SinceSuccess: decodeDuration(f.numbers[fieldThird]), SinceFailure: max(0, decodeDuration(f.numbers[fieldFourth])),
			RefusesWrites: f.numbers[fieldFifth] != 0,
		}
	case fieldReleased:
		m.Report.ReleasedRevisions[name] = int64(f.numbers[fieldFirst])
	case fieldUnreachable:
		if m.Report.Unreachable == nil {
			m.Report.Unreachable = make(map[string][]string)
		}
		m.Report.Unreachable[name] = append(m.Report.Unreachable[name], f.text(fieldFirst))
	case fieldRecord:
		value, err := recordValue(&f)
		if err != nil {
			return err
		}
		m.Records = append(m.Records, Record{
			Key: name, Value: value, Revision: int64(f.numbers[fieldFirst]), Deleted: f.numbers[fieldSecond] != 0,
		})
	}
	return nil
}

// recordValue returns the value in the fields of a record.
func recordValue(f *fields) ([]byte, error) {
	if compressed := f.bytes[fieldFourth]; compressed != nil {
		return inflate(compressed)
	}
	return append([]byte(nil), f.bytes[fieldThird]...), nil
}
