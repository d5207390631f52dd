package groupemulator

import (
	"encoding/binary"
	"math"
	"strconv"
)

// OIDs of the supported types.
const (
	oidBool   = 16
	oidInt8   = 20
	oidInt2   = 21
	oidInt4   = 23
	oidText   = 25
	oidFloat4 = 700
	oidFloat8 = 701
	oidVoid   = 2278
)

const (
	formatText   = 0
	formatBinary = 1
)

// A value is an SQL value of any type in text form.
type value struct {
	null bool
	text string
}

func intValue(i int64) value { return value{text: strconv.FormatInt(i, 10)} }

func (v value) int() (int64, *sqlError) {
	i, err := strconv.ParseInt(v.text, 10, 64)
	if err != nil {
		return 0, sqlErrorf(codeInvalidText, "invalid input syntax for type bigint: %q", v.text)
	}
	return i, nil
}

// encode returns the value encoded as the type in the format; nil means null.
func (v value) encode(oid uint32, format int16) ([]byte, *sqlError) {
	if v.null {
		return nil, nil
	}
	if format == formatText {
		return []byte(v.text), nil
	}
	switch oid {
	case oidInt8, oidInt4, oidInt2:
		i, err := v.int()
		if err != nil {
			return nil, err
		}
		return appendInt(make([]byte, 0, 8), oid, i), nil
	case oidFloat8:
		f, err := strconv.ParseFloat(v.text, 64)
		if err != nil {
			return nil, sqlErrorf(codeInvalidText, "invalid input syntax for type double precision: %q", v.text)
		}
		return binary.BigEndian.AppendUint64(nil, math.Float64bits(f)), nil
	case oidBool:
		if v.text == "t" {
			return []byte{1}, nil
		}
		return []byte{0}, nil
	default:
		return []byte(v.text), nil
	}
}

func appendInt(b []byte, oid uint32, i int64) []byte {
	switch oid {
	case oidInt2:
		return binary.BigEndian.AppendUint16(b, uint16(i))
	case oidInt4:
		return binary.BigEndian.AppendUint32(b, uint32(i))
	default:
		return binary.BigEndian.AppendUint64(b, uint64(i))
	}
}

// decodeValue decodes a parameter of the type from the format; nil means null.
// It copies raw.
func decodeValue(raw []byte, oid uint32, format int16) (value, *sqlError) {
	if raw == nil {
		return value{null: true}, nil
	}
	if format == formatText {
		return value{text: string(raw)}, nil
	}
	switch {
	case oid == oidInt8 && len(raw) == 8:
		return intValue(int64(binary.BigEndian.Uint64(raw))), nil
	case oid == oidInt4 && len(raw) == 4:
		return intValue(int64(int32(binary.BigEndian.Uint32(raw)))), nil
	case oid == oidInt2 && len(raw) == 2:
		return intValue(int64(int16(binary.BigEndian.Uint16(raw)))), nil
	case oid == oidFloat8 && len(raw) == 8:
		f := math.Float64frombits(binary.BigEndian.Uint64(raw))
		return value{text: strconv.FormatFloat(f, 'g', -1, 64)}, nil
	case oid == oidFloat4 && len(raw) == 4:
		f := math.Float32frombits(binary.BigEndian.Uint32(raw))
		return value{text: strconv.FormatFloat(float64(f), 'g', -1, 32)}, nil
	case oid == oidBool && len(raw) == 1:
		if raw[0] != 0 {
			return value{text: "t"}, nil
		}
		return value{text: "f"}, nil
	case oid == oidText:
		return value{text: string(raw)}, nil
	default:
		return value{}, sqlErrorf(codeInvalidBinary, "incorrect binary data format for type %d", oid)
	}
}

// formatOf returns the format of the i-th value according to the rules of Bind:
// no code means text, and a single code applies to all values.
func formatOf(codes []int16, i int) int16 {
	switch {
	case len(codes) == 0:
		return formatText
	case len(codes) == 1:
		return codes[0]
	case i < len(codes):
		return codes[i]
	default:
		return formatText
	}
}
