package accountant

import (
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protowire"
)

// ErrMalformedChanges is returned for bytes that are not encoded changes.
var ErrMalformedChanges = errors.New("malformed counts of requests")

// A Count is the number of requests of a customer in a window, as far as it is known.
type Count struct {
	Customer string
	Window   int64
	Requests int64
}

// A SourceChanges holds the counts of a source that have changed.
type SourceChanges struct {
	// Source is zero for the sender itself.
	Source Source
	// Version is the version of the source's book as of which the counts are exact, if the
	// source is not the sender. The former release leaves it out.
	Version uint64
	Counts  []Count
}

// Changes is what one process sends to another one.
type Changes struct {
	// Acknowledged is the version up to which the sender has all counts of the receiver.
	Acknowledged uint64
	// WallClock is the time of day of the sender, FleetTime the fleet's time, in
	// milliseconds.
	WallClock, FleetTime time.Time
	// Version is that of the sender's counts, 0 if the changes contain none. They contain
	// what has changed since version Base.
	Base, Version uint64
	// Final is the last window whose counts no longer change on the sender.
	Final   int64
	Sources []SourceChanges
}

// Field numbers, encoded as in protocol buffers.
const (
	fieldAcknowledged = iota + 1
	fieldWallClock
	fieldFleetLead
	fieldBase
	fieldVersion
	fieldFinal
	fieldSource
	fieldCustomer
)

// Field numbers of a source.
const (
	fieldSourceHost = iota + 1
	fieldSourceIncarnation
	fieldSourceCustomer
	fieldSourceVersion
)

// Field numbers of a customer.
const (
	fieldName = iota + 1
	fieldCounts
)

func appendNumber(b []byte, field protowire.Number, value uint64) []byte {
	if value == 0 {
		return b
	}
	return protowire.AppendVarint(protowire.AppendTag(b, field, protowire.VarintType), value)
}

func appendBytes(b []byte, field protowire.Number, value []byte) []byte {
	return protowire.AppendBytes(protowire.AppendTag(b, field, protowire.BytesType), value)
}

// Encode returns the changes as bytes.
func Encode(c Changes) []byte {
	wall, fleet := c.WallClock.UnixMilli(), c.FleetTime.UnixMilli()
	b := appendNumber(nil, fieldAcknowledged, c.Acknowledged)
	b = appendNumber(b, fieldWallClock, uint64(wall))
	b = appendNumber(b, fieldFleetLead, protowire.EncodeZigZag(fleet-wall))
	b = appendNumber(b, fieldBase, c.Base)
	b = appendNumber(b, fieldVersion, c.Version)
	b = appendNumber(b, fieldFinal, uint64(c.Final))
	for _, source := range c.Sources {
		if source.Source == (Source{}) {
			b = appendCustomers(b, fieldCustomer, source.Counts, c.Final)
			continue
		}
		nested := appendBytes(nil, fieldSourceHost, []byte(source.Source.Host))
		nested = appendBytes(nested, fieldSourceIncarnation, []byte(source.Source.Incarnation))
		nested = appendNumber(nested, fieldSourceVersion, source.Version)
		nested = appendCustomers(nested, fieldSourceCustomer, source.Counts, c.Final)
		b = appendBytes(b, fieldSource, nested)
	}
	return b
}

// appendCustomers appends the counts, with the name of each customer once. Windows are
// numbered from final.
func appendCustomers(b []byte, field protowire.Number, counts []Count, final int64) []byte {
	packed := make(map[string][]byte)
	for _, c := range counts {
		pair := protowire.AppendVarint(packed[c.Customer], protowire.EncodeZigZag(c.Window-final))
		packed[c.Customer] = protowire.AppendVarint(pair, uint64(c.Requests))
	}
	var nested []byte
	for _, customer := range slices.Sorted(maps.Keys(packed)) {
		nested = appendBytes(nested[:0], fieldName, []byte(customer))
		nested = appendBytes(nested, fieldCounts, packed[customer])
		b = appendBytes(b, field, nested)
	}
	return b
}

// A field is one field of an encoded message.
type field struct {
	number protowire.Number
	value  uint64
	bytes  []byte
}

// eachField calls f for each field of a message.
func eachField(data []byte, f func(field) error) error {
	for len(data) > 0 {
		number, kind, n := protowire.ConsumeTag(data)
		if n < 0 {
			return errors.Wrap(ErrMalformedChanges, protowire.ParseError(n).Error())
		}
		data = data[n:]
		next := field{number: number}
		switch kind {
		case protowire.VarintType:
			next.value, n = protowire.ConsumeVarint(data)
		case protowire.BytesType:
			next.bytes, n = protowire.ConsumeBytes(data)
		default:
			n = protowire.ConsumeFieldValue(number, kind, data)
		}
		if n < 0 {
			return errors.Wrap(ErrMalformedChanges, protowire.ParseError(n).Error())
		}
		data = data[n:]
		if err := f(next); err != nil {
			return err
		}
	}
	return nil
}

// Decode returns the changes in bytes. Errors wrap ErrMalformedChanges.
func Decode(data []byte) (Changes, error) {
	var c Changes
	var wall, lead int64
	var own [][]byte
	var others [][]byte
	err := eachField(data, func(f field) error {
		switch f.number {
		case fieldAcknowledged:
			c.Acknowledged = f.value
		case fieldWallClock:
			wall = int64(f.value)
		case fieldFleetLead:
			lead = protowire.DecodeZigZag(f.value)
		case fieldBase:
			c.Base = f.value
		case fieldVersion:
			c.Version = f.value
		case fieldFinal:
			c.Final = int64(f.value)
		case fieldSource:
			others = append(others, f.bytes)
		case fieldCustomer:
			own = append(own, f.bytes)
		}
		return nil
	})
	if err != nil {
		return Changes{}, err
	}
	c.WallClock, c.FleetTime = time.UnixMilli(wall), time.UnixMilli(wall+lead)
	if err := c.decodeSource(SourceChanges{}, own); err != nil {
		return Changes{}, err
	}
	for _, data := range others {
		if err := c.decodeOther(data); err != nil {
			return Changes{}, err
		}
	}
	return c, nil
}

// decodeOther adds the counts of a source other than the sender.
func (c *Changes) decodeOther(data []byte) error {
	var s SourceChanges
	var customers [][]byte
	err := eachField(data, func(f field) error {
		switch f.number {
		case fieldSourceHost:
			s.Source.Host = string(f.bytes)
		case fieldSourceIncarnation:
			s.Source.Incarnation = string(f.bytes)
		case fieldSourceVersion:
			s.Version = f.value
		case fieldSourceCustomer:
			customers = append(customers, f.bytes)
		}
		return nil
	})
	if err != nil {
		return err
	}
	return c.decodeSource(s, customers)
}

// decodeSource adds a source with the counts of the given customers.
func (c *Changes) decodeSource(s SourceChanges, customers [][]byte) error {
	for _, data := range customers {
		var name string
		var packed []byte
		err := eachField(data, func(f field) error {
			switch f.number {
			case fieldName:
				name = string(f.bytes)
			case fieldCounts:
				packed = f.bytes
			}
			return nil
		})
		if err != nil {
			return err
		}
		if s.Counts, err = appendPairs(s.Counts, name, packed, c.Final); err != nil {
			return err
		}
	}
	if len(s.Counts) > 0 {
		c.Sources = append(c.Sources, s)
	}
	return nil
}

// appendPairs decodes the pairs of window and count of a customer.
func appendPairs(counts []Count, customer string, packed []byte, final int64) ([]Count, error) {
	for len(packed) > 0 {
		window, n := protowire.ConsumeVarint(packed)
		if n < 0 {
			return nil, errors.Wrap(ErrMalformedChanges, protowire.ParseError(n).Error())
		}
		packed = packed[n:]
		requests, n := protowire.ConsumeVarint(packed)
		if n < 0 {
			return nil, errors.Wrap(ErrMalformedChanges, protowire.ParseError(n).Error())
		}
		packed = packed[n:]
		counts = append(counts, Count{Customer: customer, Window: final + protowire.DecodeZigZag(window), Requests: int64(requests)})
	}
	return counts, nil
}
