package hibiscusvane

import (
	"fmt"

	"github.com/pkg/errors"
)

// ErrorKind tells callers how to react to an error.
type ErrorKind string

const (
	// Invalid input; the message names the field.
	Invalid ErrorKind = "invalid"
	// Unavailable parts may work again later.
	Unavailable ErrorKind = "unavailable"
	// Uncertain means that the operation may have taken effect.
	Uncertain ErrorKind = "uncertain"
	// Conflict with another operation that came first.
	Conflict ErrorKind = "conflict"
	// Expired records or leases.
	Expired ErrorKind = "expired"
	// Full queues, slots or hosts.
	Full ErrorKind = "full"
	// NotFound names something that does not exist.
	NotFound ErrorKind = "not-found"
	// Internal faults of the program, such as a violated invariant.
	Internal ErrorKind = "internal"
)

// Error is the error type of the root package. The packages below have types
// of their own with the same kinds.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// ErrorKind returns the kind of the error.
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
