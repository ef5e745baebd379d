package hvhttp

import (
	"fmt"

	"github.com/pkg/errors"

	hv "hibiscusvane.example/hibiscusvane"
)

// Error is the error type of the package.
type Error struct {
	Op   string
	Kind hv.ErrorKind
	// Field is the invalid header, parameter or member of the body, or empty.
	Field string
	Err   error
}

func (e *Error) Error() string {
	if e.Field != "" {
		return fmt.Sprintf("%s: %v", e.Field, e.Err)
	}
	return e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// ErrorKind returns the kind of the error.
func (e *Error) ErrorKind() hv.ErrorKind { return e.Kind }

// Invalid returns an error that names an invalid field. It is for implementations of
// JobStore and Admin, which check more than the syntax of a request.
func Invalid(field, format string, args ...any) error { return invalid(field, format, args...) }

func invalid(field, format string, args ...any) error {
	return &Error{Op: "check", Kind: hv.Invalid, Field: field, Err: errors.Errorf(format, args...)}
}
