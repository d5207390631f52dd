package connector

import "testing"

// TestValues guards against values that are taken to be in force though they
// differ.
func TestValues(t *testing.T) {
	one := Values{}.With("a", "1")
	two := one.With("b", "2")
	tests := []struct {
		name               string
		wanted, inForce    Values
		equal, covers      bool
		missing, wantedLen int
	}{
		{name: "same", wanted: two, inForce: Values{}.With("b", "2").With("a", "1"), equal: true, covers: true, wantedLen: 2},
		{name: "one missing", wanted: two, inForce: one, covers: true, missing: 1, wantedLen: 2},
		{name: "one too many", wanted: one, inForce: two, wantedLen: 1},
		{name: "other data", wanted: one, inForce: Values{}.With("a", "2"), covers: true, missing: 1, wantedLen: 1},
		{name: "other name", wanted: one, inForce: Values{}.With("b", "1"), missing: 1, wantedLen: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := test.wanted.Equal(test.inForce); got != test.equal {
				t.Errorf("Equal: got %v, want %v", got, test.equal)
			}
			if got := test.wanted.Covers(test.inForce); got != test.covers {
				t.Errorf("Covers: got %v, want %v", got, test.covers)
			}
			if got := len(test.wanted.Missing(test.inForce)); got != test.missing {
				t.Errorf("Missing: got %d, want %d", got, test.missing)
			}
			if got := test.wanted.Len(); got != test.wantedLen {
				t.Errorf("Len: got %d, want %d", got, test.wantedLen)
			}
		})
	}
}
