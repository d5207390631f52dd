package connector

// A Variable is one session variable.
type Variable struct {
	Name  string
	Value string
}

// Variables are the session variables of a session or connection, in the order
// in which they were first set. They are immutable.
type Variables struct {
	list []Variable
}

// With returns a copy of v in which one variable is set.
func (v Variables) With(name, value string) Variables {
	list := make([]Variable, 0, len(v.list)+1)
	found := false
	for _, variable := range v.list {
		if variable.Name == name {
			variable.Value = value
			found = true
		}
		list = append(list, variable)
	}
	if !found {
		list = append(list, Variable{Name: name, Value: value})
	}
	return Variables{list: list}
}

// Equal reports whether v and other hold the same names with the same values.
func (v Variables) Equal(other Variables) bool {
	if len(v.list) != len(other.list) {
		return false
	}
	return len(v.Diff(other)) == 0
}

// Diff returns the variables of v that other lacks or holds with a different
// value.
func (v Variables) Diff(other Variables) []Variable {
	var diff []Variable
	for _, variable := range v.list {
		if value, ok := other.get(variable.Name); !ok || value != variable.Value {
			diff = append(diff, variable)
		}
	}
	return diff
}

// HasAllNames reports whether v has every name of other, so that other can be
// turned into v by setting variables alone.
func (v Variables) HasAllNames(other Variables) bool {
	for _, variable := range other.list {
		if _, ok := v.get(variable.Name); !ok {
			return false
		}
	}
	return true
}

func (v Variables) get(name string) (string, bool) {
	for _, variable := range v.list {
		if variable.Name == name {
			return variable.Value, true
		}
	}
	return "", false
}

// variableOverhead is the memory in bytes that a variable takes besides its texts.
const variableOverhead = 128

// Size returns the memory in bytes that the variables take.
func (v Variables) Size() int {
	size := 0
	for _, variable := range v.list {
		size += len(variable.Name) + len(variable.Value) + variableOverhead
	}
	return size
}

// Len returns the number of variables.
func (v Variables) Len() int { return len(v.list) }

// NewVariables returns the variables of a list in which no name occurs twice.
func NewVariables(list []Variable) Variables { return Variables{list: list} }

// List returns the variables in the order in which they were first set. The result must
// not be changed.
func (v Variables) List() []Variable { return v.list }
