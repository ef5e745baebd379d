// Package hvconf holds the settings: their files, checks, differences and the
// rule by which a publication becomes the current version.
package hvconf

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/pkg/errors"

	hv "hibiscusvane.example/hibiscusvane"
)

// Error is the error type of the package.
type Error struct {
	Op   string
	Kind hv.ErrorKind
	Err  error
	// Version is the version in force when a publication was refused.
	Version hv.Offset
}

func (e *Error) Error() string { return fmt.Sprintf("settings %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// ErrorKind returns the kind of the error.
func (e *Error) ErrorKind() hv.ErrorKind { return e.Kind }

func errorf(op string, kind hv.ErrorKind, format string, args ...any) error {
	return &Error{Op: op, Kind: kind, Err: errors.Errorf(format, args...)}
}

// Problem is one fault in the settings.
type Problem struct {
	File  string
	Field string
	// Message says what was expected and what was found.
	Message string
}

// String returns file, field and expectation on one line.
func (p Problem) String() string {
	if p.Field == "" {
		return fmt.Sprintf("%s: %s", p.File, p.Message)
	}
	return fmt.Sprintf("%s: %s: %s", p.File, p.Field, p.Message)
}

// maxProblems bounds the length of an error.
const maxProblems = 20

// Problems is an error that lists the faults in a fixed order, so that every
// reader of a publication gives the same reason.
type Problems []Problem

func (p Problems) Error() string {
	lines := make([]string, 0, min(len(p), maxProblems)+1)
	for i, one := range p {
		if i == maxProblems {
			lines = append(lines, fmt.Sprintf("and %d more", len(p)-i))
			break
		}
		lines = append(lines, one.String())
	}
	return strings.Join(lines, "\n")
}

func (p Problems) sorted() Problems {
	slices.SortFunc(p, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Field, b.Field), cmp.Compare(a.Message, b.Message))
	})
	return p
}
