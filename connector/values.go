package connector

// A Value is one session value.
type Value struct {
	Name string
	Data string
}

// Values are the session values of a session or connection in the order in
// which they were first set. They are immutable.
type Values struct {
	list []Value
}

// With returns the values with one of them set.
func (v Values) With(name, data string) Values {
	list := make([]Value, 0, len(v.list)+1)
	found := false
	for _, value := range v.list {
		if value.Name == name {
			value.Data = data
			found = true
		}
		list = append(list, value)
	}
	if !found {
		list = append(list, Value{Name: name, Data: data})
	}
	return Values{list: list}
}

// Equal reports whether both hold the same names with the same data.
func (v Values) Equal(other Values) bool {
	if len(v.list) != len(other.list) {
		return false
	}
	return len(v.Missing(other)) == 0
}

// Missing returns the values of v that other lacks or holds with other data.
func (v Values) Missing(other Values) []Value {
	var missing []Value
	for _, value := range v.list {
		if data, ok := other.get(value.Name); !ok || data != value.Data {
			missing = append(missing, value)
		}
	}
	return missing
}

// Covers reports whether v has every name of other, so that setting values
// suffices to turn other into v.
func (v Values) Covers(other Values) bool {
	for _, value := range other.list {
		if _, ok := v.get(value.Name); !ok {
			return false
		}
	}
	return true
}

func (v Values) get(name string) (string, bool) {
	for _, value := range v.list {
		if value.Name == name {
			return value.Data, true
		}
	}
	return "", false
}

// Len returns the number of values.
func (v Values) Len() int { return len(v.list) }
