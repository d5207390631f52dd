package hoster

import "strings"

// A Violation is one reason why a document, such as the settings, is invalid.
type Violation struct {
	// Object identifies the object that contains the field; it is empty for the
	// document itself.
	Object string
	// Field is the JSON name of the field; it is empty for a violation of the
	// object as a whole.
	Field  string
	Reason string
}

// String formats the violation as "object: field: reason", without the empty parts.
func (v Violation) String() string {
	text := v.Reason
	if v.Field != "" {
		text = v.Field + ": " + text
	}
	if v.Object != "" {
		text = v.Object + ": " + text
	}
	return text
}

// A ValidationError contains all violations of a document.
type ValidationError struct {
	// Err is the kind of the document's error, such as ErrInvalidSettings.
	Err error
	// Violations is never empty.
	Violations []Violation
}

// NewValidationError returns a ValidationError of the kind err, or nil if there are
// no violations.
func NewValidationError(err error, violations []Violation) error {
	if len(violations) == 0 {
		return nil
	}
	return &ValidationError{Err: err, Violations: violations}
}

// Error returns all violations, separated by semicolons.
func (e *ValidationError) Error() string {
	texts := make([]string, len(e.Violations))
	for i, v := range e.Violations {
		texts[i] = v.String()
	}
	return strings.Join(texts, "; ") + ": " + e.Err.Error()
}

// Unwrap returns the kind of the error.
func (e *ValidationError) Unwrap() error { return e.Err }
