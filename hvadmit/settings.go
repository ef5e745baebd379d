package hvadmit

import (
	"fmt"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

// Error is the error type of the package.
type Error struct {
	Op   string
	Kind hv.ErrorKind
	Err  error
}

func (e *Error) Error() string { return fmt.Sprintf("admit %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// ErrorKind returns the kind of the error.
func (e *Error) ErrorKind() hv.ErrorKind { return e.Kind }

// errorf adds no stack trace: refusals are the hot path of a flood, and a trace
// costs more than the rest of a refusal.
func errorf(op string, kind hv.ErrorKind, format string, args ...any) error {
	return &Error{Op: op, Kind: kind, Err: fmt.Errorf(format, args...)}
}

// ClassSettings holds the settings of one request class.
type ClassSettings struct {
	Weight int `json:"weight"`
	// Floor is the guaranteed share of a service's slots in thousandths.
	Floor int `json:"floor"`
	// QueueLimit bounds the waiting requests of one service.
	QueueLimit int `json:"queue"`
	// DefaultDeadline holds for requests that name none.
	DefaultDeadline hv.Duration `json:"deadline"`
}

// CallerSettings holds the settings of one caller within each class.
type CallerSettings struct {
	Weight int `json:"weight"`
	// Floor is the guaranteed share of a service's slots in thousandths.
	Floor int `json:"floor"`
}

// Settings of an admitter. They must not change after use.
type Settings struct {
	Classes map[hv.Class]ClassSettings
	Callers map[string]CallerSettings
	// DefaultCaller holds for callers that are not listed.
	DefaultCaller CallerSettings
	// MaxCallerQueues bounds the callers with state per class and service. Further ones
	// share one queue.
	MaxCallerQueues int
}

// whole is a floor of all slots, in thousandths.
const whole = 1000

// DefaultSettings serve until the first publication.
func DefaultSettings() Settings {
	return Settings{
		Classes: map[hv.Class]ClassSettings{
			hv.Urgent:   {Weight: 16, Floor: 300, QueueLimit: 1024, DefaultDeadline: hv.Duration(2 * time.Second)},
			hv.Standard: {Weight: 4, Floor: 200, QueueLimit: 1024, DefaultDeadline: hv.Duration(5 * time.Second)},
			hv.Batch:    {Weight: 1, Floor: 100, QueueLimit: 4096, DefaultDeadline: hv.Duration(30 * time.Second)},
		},
		DefaultCaller:   CallerSettings{Weight: 1},
		MaxCallerQueues: 1024,
	}
}

// Check names the first field that can't be honoured.
func (s Settings) Check() error {
	sum := 0
	for _, name := range hv.Classes {
		c := s.Classes[name]
		if c.Weight < 1 || c.Floor < 0 || c.QueueLimit < 1 || c.DefaultDeadline <= 0 {
			return errorf("check", hv.Invalid, "classes.%s: weight, queue and deadline must be positive, floor not negative", name)
		}
		sum += c.Floor
	}
	if sum > whole {
		return errorf("check", hv.Invalid, "classes: the floors add up to %d thousandths, want at most %d", sum, whole)
	}
	sum = 0
	for name, c := range s.Callers {
		if c.Weight < 1 || c.Floor < 0 {
			return errorf("check", hv.Invalid, "callers.%s: weight must be positive, floor not negative", name)
		}
		sum += c.Floor
	}
	switch {
	case sum > whole:
		return errorf("check", hv.Invalid, "callers: the floors add up to %d thousandths, want at most %d", sum, whole)
	case s.DefaultCaller.Weight < 1:
		return errorf("check", hv.Invalid, "default.weight: must be positive")
	case s.MaxCallerQueues < 1:
		return errorf("check", hv.Invalid, "keep: must be positive")
	}
	return nil
}

func (s Settings) caller(name string) CallerSettings {
	if c, ok := s.Callers[name]; ok {
		return c
	}
	return s.DefaultCaller
}
