package configurer

import (
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// ErrInvalid reports a configuration that failed validation.
var ErrInvalid = errors.New("invalid configuration")

// A Violation is one validation error of a configuration.
type Violation struct {
	// File is the file that contains the object; it is empty if the
	// configuration was not read from files.
	File string
	// Kind and Name identify the object; they are empty if the file could not
	// be parsed into objects.
	Kind string
	Name string
	// Field is the JSON name of the field; it is empty for a violation of the
	// object as a whole.
	Field string
	// Message describes the violation.
	Message string
}

// String formats the violation as "file: kind name: field: message", without the
// empty parts.
func (v Violation) String() string {
	object := v.Kind
	if v.Name != "" {
		object += " " + v.Name
	}
	parts := []string{v.File, object, v.Field, v.Message}
	return strings.Join(slices.DeleteFunc(parts, func(p string) bool { return p == "" }), ": ")
}

// A ValidationError contains the violations of a configuration. It matches
// ErrInvalid.
type ValidationError struct {
	// Violations is never empty.
	Violations []Violation
}

// Error returns all violations, separated by semicolons.
func (e *ValidationError) Error() string {
	texts := make([]string, len(e.Violations))
	for i, v := range e.Violations {
		texts[i] = v.String()
	}
	return ErrInvalid.Error() + ": " + strings.Join(texts, "; ")
}

// Is makes the error match ErrInvalid.
func (e *ValidationError) Is(target error) bool { return target == ErrInvalid }

// newValidationError returns a ValidationError with the violations, or nil if there are
// none.
func newValidationError(violations []Violation) error {
	if len(violations) == 0 {
		return nil
	}
	return &ValidationError{Violations: violations}
}
