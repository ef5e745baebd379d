// Package hvconf reads, checks and compares the settings of a deployment and
// decides which publication becomes the current version.
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

func (e *Error) Unwrap() error { return e.Err }

func (e *Error) ErrorKind() hv.ErrorKind { return e.Kind }

func errorf(op string, kind hv.ErrorKind, format string, args ...any) error {
	return &Error{Op: op, Kind: kind, Err: errors.Errorf(format, args...)}
}

// Problem is one error in the settings.
type Problem struct {
	File  string
	Field string
	// Message describes the expected and the actual value.
	Message string
}

// String returns file, field and message on one line.
func (p Problem) String() string {
	if p.Field == "" {
		return fmt.Sprintf("%s: %s", p.File, p.Message)
	}
	return fmt.Sprintf("%s: %s: %s", p.File, p.Field, p.Message)
}

// maxProblems bounds the number of problems in an error text.
const maxProblems = 20

// Problems is an error that lists the problems in a fixed order, so that all
// readers of a publication give the same reason for refusing it.
type Problems []Problem

func (p Problems) Error() string {
	lines := make([]string, 0, min(len(p), maxProblems)+1)
	for i, problem := range p {
		if i == maxProblems {
			lines = append(lines, fmt.Sprintf("and %d more", len(p)-i))
			break
		}
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}

func (p Problems) sorted() Problems {
	slices.SortFunc(p, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Field, b.Field), cmp.Compare(a.Message, b.Message))
	})
	return p
}
