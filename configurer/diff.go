package configurer

import (
	"encoding/json"
	"slices"
	"strings"
)

// A ChangeType is the way in which an object changed.
type ChangeType string

// The types of changes.
const (
	Added   ChangeType = "added"
	Removed ChangeType = "removed"
	Changed ChangeType = "changed"
)

// A Change is the difference of one object between two configurations.
type Change struct {
	Type ChangeType
	Kind string
	Name string
	// Fields lists the changed fields of an object that both configurations
	// contain.
	Fields []FieldChange
}

// A FieldChange is the difference of one field. Old and New are JSON; both are
// empty for a field whose values are secret.
type FieldChange struct {
	Field string
	Old   string
	New   string
}

// String formats the change as one line.
func (c Change) String() string {
	text := string(c.Type) + " " + c.Kind + " " + c.Name
	fields := make([]string, len(c.Fields))
	for i, f := range c.Fields {
		fields[i] = f.Field + " changed"
		if f.Old != "" || f.New != "" {
			fields[i] = f.Field + " " + f.Old + " -> " + f.New
		}
	}
	if len(fields) == 0 {
		return text
	}
	return text + ": " + strings.Join(fields, ", ")
}

// Diff returns the differences between two configurations, ordered by kind and
// name. It does not compare the revisions.
func Diff(from, to Config) []Change {
	var list []Change
	for _, k := range kinds {
		names := append(k.names(&from), k.names(&to)...)
		slices.Sort(names)
		for _, name := range slices.Compact(names) {
			if k.equal(&from, &to, name) {
				continue
			}
			if change, differs := diffObject(k, &from, &to, name); differs {
				list = append(list, change)
			}
		}
	}
	return list
}

func diffObject(k kind, from, to *Config, name string) (Change, bool) {
	oldFields, inFrom := k.get(from, name)
	newFields, inTo := k.get(to, name)
	change := Change{Kind: k.name, Name: name}
	switch {
	case !inFrom:
		change.Type = Added
		return change, true
	case !inTo:
		change.Type = Removed
		return change, true
	}
	change.Type = Changed
	for i, field := range oldFields {
		oldText, newText := fieldText(field), fieldText(newFields[i])
		if oldText == newText {
			continue
		}
		if field.secret {
			oldText, newText = "", ""
		}
		change.Fields = append(change.Fields, FieldChange{Field: field.name, Old: oldText, New: newText})
	}
	return change, len(change.Fields) > 0
}

// fieldText returns a value as JSON. For a number that cannot be represented in
// JSON it returns the text of the error; Check reports such numbers.
func fieldText(f wireField) string {
	value, err := json.Marshal(f.target)
	if err != nil {
		return err.Error()
	}
	return string(value)
}
