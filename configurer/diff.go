package configurer

import (
	"encoding/json"
	"slices"
	"strings"
)

// ChangeType says what happened to an object.
type ChangeType string

// The types of changes.
const (
	Added   ChangeType = "added"
	Removed ChangeType = "removed"
	Changed ChangeType = "changed"
)

// A Change is the difference of one object between two sets.
type Change struct {
	Type ChangeType
	Kind string
	Name string
	// Fields lists the changed fields of an object that both sets have.
	Fields []FieldChange
}

// A FieldChange is the difference of one field. Old and New are JSON; both are
// empty for a field whose values are not to be shown.
type FieldChange struct {
	Field string
	Old   string
	New   string
}

// String returns the change in one line.
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

// Diff returns what changed from one set to another, sorted by the order of
// kinds and by name. Revisions are not compared.
func Diff(from, to Set) []Change {
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

func diffObject(k kind, from, to *Set, name string) (Change, bool) {
	before, had := k.get(from, name)
	after, has := k.get(to, name)
	change := Change{Kind: k.name, Name: name}
	switch {
	case !had:
		change.Type = Added
		return change, true
	case !has:
		change.Type = Removed
		return change, true
	}
	change.Type = Changed
	for i, field := range before {
		was, is := fieldText(field), fieldText(after[i])
		if was == is {
			continue
		}
		if field.secret {
			was, is = "", ""
		}
		change.Fields = append(change.Fields, FieldChange{Field: field.name, Old: was, New: is})
	}
	return change, len(change.Fields) > 0
}

// fieldText returns a value as JSON. A number without a JSON form has its error
// as text; Check finds such numbers.
func fieldText(f wireField) string {
	value, err := json.Marshal(f.target)
	if err != nil {
		return err.Error()
	}
	return string(value)
}
