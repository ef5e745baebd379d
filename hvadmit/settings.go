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

// errorf adds no stack trace: refusals are the hot path under overload, and a
// stack trace costs more than the rest of a refusal.
func errorf(op string, kind hv.ErrorKind, format string, args ...any) error {
	return &Error{Op: op, Kind: kind, Err: fmt.Errorf(format, args...)}
}

// ClassSettings holds the settings of one request class.
type ClassSettings struct {
	Weight int `json:"weight"`
	// Floor is the guaranteed share of a service's slots in thousandths.
	Floor int `json:"floor"`
	// QueueLimit bounds the requests of the class that wait for one service.
	QueueLimit int `json:"queue"`
	// DefaultDeadline applies to requests without a deadline.
	DefaultDeadline hv.Duration `json:"deadline"`
}

// CallerSettings holds the settings of one caller within each class.
type CallerSettings struct {
	Weight int `json:"weight"`
	// Floor is the guaranteed share of a service's slots in thousandths.
	Floor int `json:"floor"`
}

// Settings of an admitter. They must not be modified after they were passed to
// one.
type Settings struct {
	Classes map[hv.Class]ClassSettings
	Callers map[string]CallerSettings
	// DefaultCaller applies to callers that are not in Callers.
	DefaultCaller CallerSettings
	// MaxCallerQueues bounds the callers with a queue of their own per class
	// and service. Further callers share one queue.
	MaxCallerQueues int
}

// floorDenominator is the floor that covers all slots, as floors are in
// thousandths.
const floorDenominator = 1000

// DefaultSettings returns the settings that apply until the first ones are
// published.
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

// Check returns an error that names the first invalid field.
func (s Settings) Check() error {
	sum := 0
	for _, name := range hv.Classes {
		c := s.Classes[name]
		if c.Weight < 1 || c.Floor < 0 || c.QueueLimit < 1 || c.DefaultDeadline <= 0 {
			return errorf("check", hv.Invalid, "classes.%s: weight, queue and deadline must be positive, floor not negative", name)
		}
		sum += c.Floor
	}
	if sum > floorDenominator {
		return errorf("check", hv.Invalid, "classes: the floors add up to %d thousandths, want at most %d", sum, floorDenominator)
	}
	sum = 0
	for name, c := range s.Callers {
		if c.Weight < 1 || c.Floor < 0 {
			return errorf("check", hv.Invalid, "callers.%s: weight must be positive, floor not negative", name)
		}
		sum += c.Floor
	}
	switch {
	case sum > floorDenominator:
		return errorf("check", hv.Invalid, "callers: the floors add up to %d thousandths, want at most %d", sum, floorDenominator)
	case s.DefaultCaller.Weight < 1:
		return errorf("check", hv.Invalid, "default caller: weight must be positive")
	case s.MaxCallerQueues < 1:
		return errorf("check", hv.Invalid, "limit of caller queues must be positive")
	}
	return nil
}

func (s Settings) caller(name string) CallerSettings {
	if c, ok := s.Callers[name]; ok {
		return c
	}
	return s.DefaultCaller
}
