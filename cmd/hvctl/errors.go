package main

import (
	"fmt"

	"github.com/pkg/errors"

	hv "hibiscusvane.example/hibiscusvane"
)

// Exit codes.
const (
	exitOK          = 0
	exitFailure     = 1
	exitUsage       = 2
	exitRefused     = 3
	exitUnreachable = 4
)

// Kinds of errors that occur only in a client.
const (
	// unreachable guarantees that no change was sent.
	unreachable hv.ErrorKind = "unreachable"
	// denied is a response with a client error status, such as 401, that carries no
	// kind.
	denied hv.ErrorKind = "denied"
)

// Error is the error type of the program.
type Error struct {
	Op   string
	Kind hv.ErrorKind
	Err  error
}

func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// ErrorKind returns the kind of the error.
func (e *Error) ErrorKind() hv.ErrorKind { return e.Kind }

func errorf(op string, kind hv.ErrorKind, format string, args ...any) error {
	return &Error{Op: op, Kind: kind, Err: errors.Errorf(format, args...)}
}

func exitCode(err error) int {
	if err == nil {
		return exitOK
	}
	switch hv.KindOf(err) {
	case hv.Invalid:
		return exitUsage
	case hv.Conflict:
		return exitRefused
	case unreachable:
		return exitUnreachable
	}
	return exitFailure
}
