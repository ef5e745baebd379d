// Package hvlogger sets up the logging of a daemon: one logfmt line per event, a
// prefix for each component, and a level that a publication of settings can
// change.
package hvlogger

import (
	"fmt"
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	hv "hibiscusvane.example/hibiscusvane"
)

// Error is the error type of the package.
type Error struct {
	Op   string
	Kind hv.ErrorKind
	Err  error
}

func (e *Error) Error() string { return fmt.Sprintf("logger %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// ErrorKind returns the kind of the error.
func (e *Error) ErrorKind() hv.ErrorKind { return e.Kind }

// Root is the root logger of a process.
type Root struct {
	base log.Logger
	swap *log.SwapLogger
}

// New returns a root logger that writes lines of level info and above to w.
func New(w io.Writer) *Root {
	r := &Root{base: log.NewLogfmtLogger(log.NewSyncWriter(w)), swap: &log.SwapLogger{}}
	r.swap.Swap(level.NewFilter(r.base, level.AllowInfo()))
	return r
}

// SetLevel sets the minimum level that is written: debug, info, warn or error.
// Lines without a level are always written.
func (r *Root) SetLevel(name string) error {
	v, err := level.Parse(name)
	if err != nil {
		return &Error{Op: "level", Kind: hv.Invalid, Err: fmt.Errorf("%q is not one of debug, info, warn, error", name)}
	}
	r.swap.Swap(level.NewFilter(r.base, level.Allow(v)))
	return nil
}

// Component returns a logger for a component of the process. Its name is logged
// under the key "part".
func (r *Root) Component(name string) log.Logger {
	return log.WithPrefix(r.swap, "ts", log.DefaultTimestampUTC, "part", name)
}
