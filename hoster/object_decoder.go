package hoster

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"
)

// An ObjectDecoder decodes a JSON object field by field, so that the violations of
// all fields are found and not only the first one. Fields that are not asked for
// are ignored. The decoder's own reasons never contain a string, which may be a key.
type ObjectDecoder struct {
	// Object identifies the object in violations.
	Object     string
	fields     map[string]json.RawMessage
	violations *[]Violation
}

// NewObjectDecoder returns the decoder of a document. It adds violations to the
// given list.
func NewObjectDecoder(data []byte, violations *[]Violation) *ObjectDecoder {
	d := &ObjectDecoder{violations: violations}
	d.split(data)
	return d
}

func (d *ObjectDecoder) split(data []byte) {
	if err := json.Unmarshal(data, &d.fields); err != nil {
		d.Reject("", "%s", describeDecodeError(data, err))
	} else if d.fields == nil {
		d.Reject("", "got null, want an object")
	}
}

// Reject adds a violation of a field, or of the whole object if field is empty.
func (d *ObjectDecoder) Reject(field, format string, args ...any) {
	*d.violations = append(*d.violations, Violation{Object: d.Object, Field: field, Reason: fmt.Sprintf(format, args...)})
}

// Optional decodes a field into target, which is left unchanged if the field is
// missing or null. It reports whether the target was set.
func (d *ObjectDecoder) Optional(field string, target any) bool {
	value, ok := d.fields[field]
	if !ok || string(value) == "null" {
		return false
	}
	if err := json.Unmarshal(value, target); err != nil {
		d.Reject(field, "%s", describeDecodeError(value, err))
		return false
	}
	return true
}

// Required decodes a field into target and rejects a field that is missing or null.
// It reports whether the target was set. If the object itself could not be decoded,
// its fields are not reported in addition.
func (d *ObjectDecoder) Required(field string, target any) bool {
	if value, ok := d.fields[field]; d.fields != nil && (!ok || string(value) == "null") {
		d.Reject(field, "missing")
		return false
	}
	return d.Optional(field, target)
}

// Text returns a required string that must not be empty.
func (d *ObjectDecoder) Text(field string) string {
	var text string
	if d.Required(field, &text) && text == "" {
		d.Reject(field, "empty")
	}
	return text
}

// NonNegative returns an optional number that must not be negative.
func NonNegative[T int | int64 | float64](d *ObjectDecoder, field string) T {
	var number T
	if d.Optional(field, &number) && number < 0 {
		d.Reject(field, "%v is negative", number)
	}
	return number
}

// Positive returns a required number that must be above 0.
func Positive[T int | int64 | float64](d *ObjectDecoder, field string) T {
	var number T
	if d.Required(field, &number) && number <= 0 {
		d.Reject(field, "%v is not positive", number)
	}
	return number
}

// Objects returns the decoders of the objects of an optional array. Until the caller
// sets another one, the identification of an object is its index in the array.
func (d *ObjectDecoder) Objects(field string) []*ObjectDecoder {
	var values []json.RawMessage
	d.Optional(field, &values)
	decoders := make([]*ObjectDecoder, len(values))
	for i, value := range values {
		decoders[i] = &ObjectDecoder{Object: fmt.Sprintf("%s[%d]", field, i), violations: d.violations}
		decoders[i].split(value)
	}
	return decoders
}

// SubObject returns the decoder of an optional object, which is identified by the name
// of its field, and reports whether the field is present.
func (d *ObjectDecoder) SubObject(field string) (*ObjectDecoder, bool) {
	var value json.RawMessage
	if !d.Optional(field, &value) {
		return nil, false
	}
	sub := &ObjectDecoder{Object: field, violations: d.violations}
	sub.split(value)
	return sub, true
}

// describeDecodeError describes a JSON error with the line of a syntax error and
// without the names of Go types.
func describeDecodeError(data []byte, err error) string {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		offset := min(int(syntax.Offset), len(data))
		return fmt.Sprintf("line %d: %v", 1+bytes.Count(data[:offset], []byte("\n")), syntax)
	}
	var wrongType *json.UnmarshalTypeError
	if !errors.As(err, &wrongType) {
		return err.Error()
	}
	wanted := map[string]string{
		"int": "a whole number", "int64": "a whole number", "uint64": "a whole number that is not negative", "float64": "a number",
		"bool": "true or false", "slice": "an array", "map": "an object", "struct": "an object", "string": "a string",
	}[wrongType.Type.Kind().String()]
	return "got " + wrongType.Value + ", want " + wanted
}
