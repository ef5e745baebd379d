package hvplace

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

func (e *Error) Error() string { return fmt.Sprintf("place %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// ErrorKind returns the kind of the error.
func (e *Error) ErrorKind() hv.ErrorKind { return e.Kind }

// The errors of Place are preallocated because a full fleet returns one for
// each waiting task in every scheduling round.
var (
	errFull         error = &Error{Op: "place", Kind: hv.Full, Err: errors.New("no host has enough free resources now")}
	errNoneSuitable error = &Error{Op: "place", Kind: hv.Full, Err: errors.New("every host with enough free resources is suspect or would slow its services past their latency target")}
	errTooLarge     error = &Error{Op: "place", Kind: hv.NotFound, Err: errors.New("no host in the fleet is large enough")}
	errQueueFull    error = &Error{Op: "push", Kind: hv.Full, Err: errors.New("the queue is full")}
)
