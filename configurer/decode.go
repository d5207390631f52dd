package configurer

import (
	"bytes"
	"encoding/json"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

// A rawField is a field of a JSON object whose value is not decoded yet.
type rawField struct {
	name  string
	value json.RawMessage
}

// splitFields returns the fields of a JSON object in their order. Unlike
// json.Unmarshal, it preserves the case of names and rejects duplicate ones.
func splitFields(data []byte) ([]rawField, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	token, err := decoder.Token()
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if token != json.Delim('{') {
		return nil, errors.New("not an object")
	}
	var fields []rawField
	seen := make(map[string]bool)
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return nil, errors.WithStack(err)
		}
		name, _ := token.(string)
		if seen[name] {
			return nil, errors.Errorf("field %q given twice", name)
		}
		seen[name] = true
		var value json.RawMessage
		if err := decoder.Decode(&value); err != nil {
			return nil, errors.WithStack(err)
		}
		fields = append(fields, rawField{name: name, value: value})
	}
	if _, err := decoder.Token(); err != nil {
		return nil, errors.WithStack(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("text after the object")
	}
	return fields, nil
}

// A decodedObject identifies a decoded object and lists its violations.
type decodedObject struct {
	kind       string
	name       string
	duplicate  bool
	violations []Violation
}

// addViolation records a violation of the object.
func (o *decodedObject) addViolation(field, message string) {
	o.violations = append(o.violations, Violation{Kind: o.kind, Field: field, Message: message})
}

// decodeObject decodes an object and adds it to a configuration whose tables
// must not be shared. An object with invalid fields is added too, so that
// references to it are not reported as violations as well.
func decodeObject(config *Config, raw json.RawMessage) decodedObject {
	var object decodedObject
	fields, err := splitFields(raw)
	if err != nil {
		object.addViolation("", err.Error())
		return object
	}
	for _, f := range fields {
		if f.name == "kind" {
			if err := json.Unmarshal(f.value, &object.kind); err != nil {
				object.addViolation("kind", "want a string")
				return object
			}
		}
	}
	k, ok := findKind(object.kind)
	if !ok {
		kind := object.kind
		object.kind = ""
		if kind == "" {
			object.addViolation("kind", "missing")
		} else {
			object.addViolation("kind", "unknown kind "+strconv.Quote(kind))
		}
		return object
	}
	object.name, object.duplicate = k.add(config, func(targets []wireField) {
		for _, f := range fields {
			if f.name != "kind" {
				object.decodeField(f, targets)
			}
		}
	})
	for i := range object.violations {
		object.violations[i].Name = object.name
	}
	return object
}

func (o *decodedObject) decodeField(f rawField, targets []wireField) {
	for _, target := range targets {
		if target.name != f.name {
			continue
		}
		if string(f.value) == "null" {
			o.addViolation(f.name, "null is not a value")
		} else if err := json.Unmarshal(f.value, target.target); err != nil {
			o.addViolation(f.name, describeTypeError(err))
		}
		return
	}
	o.addViolation(f.name, "unknown field")
}

// describeTypeError describes a JSON type mismatch without using the names of Go
// types.
func describeTypeError(err error) string {
	var wrongType *json.UnmarshalTypeError
	if !errors.As(err, &wrongType) {
		return err.Error()
	}
	wanted := map[string]string{"int": "a whole number", "float64": "a number", "bool": "true or false"}[wrongType.Type.Kind().String()]
	if wanted == "" {
		wanted = "a string"
	}
	return "got a " + wrongType.Value + ", want " + wanted
}
