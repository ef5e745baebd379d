package hibiscusvane

import (
	"fmt"

	"github.com/pkg/errors"
)

// ErrorKind classifies an error by how its receiver should react.
type ErrorKind string

const (
	// Invalid means that the input is malformed; the message names the field.
	Invalid ErrorKind = "invalid"
	// TooLarge means that a store can never hold the input.
	TooLarge ErrorKind = "too-large"
	// Unavailable means that a component can't serve the operation now; a later
	// attempt may succeed.
	Unavailable ErrorKind = "unavailable"
	// Uncertain means that the operation may have taken effect.
	Uncertain ErrorKind = "uncertain"
	// Conflict means that another operation took effect first.
	Conflict ErrorKind = "conflict"
	// Expired means that a record, lease or deadline has expired.
	Expired ErrorKind = "expired"
	// Full means that a queue, a set of slots or a host has no room.
	Full ErrorKind = "full"
	// NotFound means that the object does not exist.
	NotFound ErrorKind = "not-found"
	// Internal means a fault of the program, such as a violated invariant.
	Internal ErrorKind = "internal"
)

// Error is the error type of the root package. The packages below it have their
// own error types with the same kinds.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Op, e.Err) }

func (e *Error) Unwrap() error { return e.Err }

func (e *Error) ErrorKind() ErrorKind { return e.Kind }

// KindOf returns the kind of the first error in the chain that has one, and
// Internal for other errors.
func KindOf(err error) ErrorKind {
	var k interface{ ErrorKind() ErrorKind }
	if errors.As(err, &k) {
		return k.ErrorKind()
	}
	return Internal
}

func errorf(op string, kind ErrorKind, format string, args ...any) error {
	return &Error{Op: op, Kind: kind, Err: errors.Errorf(format, args...)}
}
