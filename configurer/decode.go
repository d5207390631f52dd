package configurer

import (
	"bytes"
	"encoding/json"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

// A rawField is a field of a JSON object that is not interpreted yet.
type rawField struct {
	name  string
	value json.RawMessage
}

// splitObject returns the fields of a JSON object in their order. Unlike
// json.Unmarshal it keeps to the case of names and refuses repeated ones.
func splitObject(data []byte) ([]rawField, error) {
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

// A decodedObject says which object was read and what is wrong with it.
type decodedObject struct {
	kind      string
	name      string
	duplicate bool
	faults    []Fault
}

// fault adds a fault of the object.
func (o *decodedObject) fault(field, message string) {
	o.faults = append(o.faults, Fault{Kind: o.kind, Field: field, Message: message})
}

// decodeObject adds an object to a set whose tables are not shared. An object
// with faults in some fields is added too, so that references to it are not
// reported as well.
func decodeObject(set *Set, raw json.RawMessage) decodedObject {
	var object decodedObject
	fields, err := splitObject(raw)
	if err != nil {
		object.fault("", err.Error())
		return object
	}
	for _, f := range fields {
		if f.name == "kind" {
			if err := json.Unmarshal(f.value, &object.kind); err != nil {
				object.fault("kind", "want a string")
				return object
			}
		}
	}
	k, ok := findKind(object.kind)
	if !ok {
		kind := object.kind
		object.kind = ""
		if kind == "" {
			object.fault("kind", "missing")
		} else {
			object.fault("kind", "unknown kind "+strconv.Quote(kind))
		}
		return object
	}
	object.name, object.duplicate = k.add(set, func(targets []wireField) {
		for _, f := range fields {
			if f.name != "kind" {
				object.decodeField(f, targets)
			}
		}
	})
	for i := range object.faults {
		object.faults[i].Name = object.name
	}
	return object
}

func (o *decodedObject) decodeField(f rawField, targets []wireField) {
	for _, target := range targets {
		if target.name != f.name {
			continue
		}
		if string(f.value) == "null" {
			o.fault(f.name, "null is not a value")
		} else if err := json.Unmarshal(f.value, target.target); err != nil {
			o.fault(f.name, describe(err))
		}
		return
	}
	o.fault(f.name, "unknown field")
}

// describe names the wanted type without the terms of Go.
func describe(err error) string {
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
