package hventry

import (
	"fmt"

	"github.com/pkg/errors"

	hv "hibiscusvane.example/hibiscusvane"
)

// Error is the error type of the package.
type Error struct {
	Op   string
	Kind hv.ErrorKind
	Err  error
}

func (e *Error) Error() string { return fmt.Sprintf("entry %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// ErrorKind returns the kind of the error.
func (e *Error) ErrorKind() hv.ErrorKind { return e.Kind }

func failure(op string, kind hv.ErrorKind, format string, args ...any) error {
	return &Error{Op: op, Kind: kind, Err: errors.Errorf(format, args...)}
}
