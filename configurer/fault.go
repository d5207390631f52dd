package configurer

import (
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// ErrInvalid says that a set has faults.
var ErrInvalid = errors.New("invalid configuration")

// A Fault is one thing that is wrong with a configuration.
type Fault struct {
	// File is the file that holds the object; it is empty where the set was
	// not read from files.
	File string
	// Kind and Name name the object; they are empty where a file cannot be
	// read as objects.
	Kind string
	Name string
	// Field is the field of the object, in its JSON form; it may be empty.
	Field string
	// Message says what is wrong.
	Message string
}

// String returns the fault as file: kind name: field: message.
func (f Fault) String() string {
	object := f.Kind
	if f.Name != "" {
		object += " " + f.Name
	}
	parts := []string{f.File, object, f.Field, f.Message}
	return strings.Join(slices.DeleteFunc(parts, func(p string) bool { return p == "" }), ": ")
}

// An InvalidError carries the faults of a set. It matches ErrInvalid.
type InvalidError struct {
	// Faults is never empty.
	Faults []Fault
}

// Error returns all faults, separated by semicolons.
func (e *InvalidError) Error() string {
	texts := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		texts[i] = f.String()
	}
	return ErrInvalid.Error() + ": " + strings.Join(texts, "; ")
}

// Is makes the error match ErrInvalid.
func (e *InvalidError) Is(target error) bool { return target == ErrInvalid }

// invalid returns an InvalidError, or nil if there are no faults.
func invalid(faults []Fault) error {
	if len(faults) == 0 {
		return nil
	}
	return &InvalidError{Faults: faults}
}
