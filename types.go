package hibiscusvane

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Class is the urgency of a request.
type Class string

// The request classes, most urgent first.
const (
	Urgent   Class = "urgent"
	Standard Class = "standard"
	Batch    Class = "batch"
)

// Classes lists all request classes, most urgent first.
var Classes = []Class{Urgent, Standard, Batch}

// UnmarshalText accepts only a known class.
func (c *Class) UnmarshalText(b []byte) error {
	switch v := Class(b); v {
	case Urgent, Standard, Batch:
		*c = v
		return nil
	}
	return errorf("decode", Invalid, "class %q is not one of urgent, standard, batch", b)
}

// Outcome is the final result of a request. Every request ends in exactly one.
type Outcome string

const (
	// Done means that the complete response of the upstream is present.
	Done Outcome = "done"
	// NotRun guarantees that the request was not run and never will be.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
)

// UnmarshalText accepts only a known outcome.
func (o *Outcome) UnmarshalText(b []byte) error {
	switch v := Outcome(b); v {
	case Done, NotRun, Unknown:
		*o = v
		return nil
	}
	return errorf("decode", Invalid, "outcome %q is not one of done, not-run, unknown", b)
}

// Duration is a time.Duration that is written as a string such as "250ms".
type Duration time.Duration

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalText writes the duration in the notation of time.Duration.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText reads a non-negative duration with a unit.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return errorf("decode", Invalid, "duration %q: want a number with a unit, such as \"250ms\"", b)
	}
	if v < 0 {
		return errorf("decode", Invalid, "duration %q is negative", b)
	}
	*d = Duration(v)
	return nil
}

// Size is a number of bytes that is written as a string such as "60GB".
type Size int64

// Decimal units of Size.
const (
	KB Size = 1000
	MB      = 1000 * KB
	GB      = 1000 * MB
)

// MarshalText writes the size in its largest exact unit.
func (s Size) MarshalText() ([]byte, error) {
	for _, u := range []struct {
		unit Size
		name string
	}{{GB, "GB"}, {MB, "MB"}, {KB, "KB"}} {
		if s != 0 && s%u.unit == 0 {
			return fmt.Appendf(nil, "%d%s", s/u.unit, u.name), nil
		}
	}
	return fmt.Appendf(nil, "%dB", int64(s)), nil
}

// UnmarshalText reads a size with one of the units B, KB, MB and GB.
func (s *Size) UnmarshalText(b []byte) error {
	text := string(b)
	unit := Size(1)
	for _, u := range []struct {
		suffix string
		unit   Size
	}{{"KB", KB}, {"MB", MB}, {"GB", GB}, {"B", 1}} {
		if number, ok := strings.CutSuffix(text, u.suffix); ok {
			text, unit = number, u.unit
			break
		}
	}
	v, err := strconv.ParseInt(text, 10, 64)
	if err != nil || len(text) == len(b) || v < 0 || v > (1<<62)/int64(unit) {
		return errorf("decode", Invalid, "size %q: want a whole number with B, KB, MB or GB", b)
	}
	*s = Size(v) * unit
	return nil
}

// Resources is an amount of the resources that a host can commit.
type Resources struct {
	// Processors is in thousandths of a core.
	Processors int64 `json:"processors"`
	Memory     Size  `json:"memory"`
	// Accelerators is a number of whole devices.
	Accelerators int64 `json:"accelerators,omitempty"`
}

// Add returns r + q.
func (r Resources) Add(q Resources) Resources {
	return Resources{r.Processors + q.Processors, r.Memory + q.Memory, r.Accelerators + q.Accelerators}
}

// Sub returns r - q.
func (r Resources) Sub(q Resources) Resources {
	return Resources{r.Processors - q.Processors, r.Memory - q.Memory, r.Accelerators - q.Accelerators}
}

// Fits reports whether r is at most q in every dimension.
func (r Resources) Fits(q Resources) bool {
	return r.Processors <= q.Processors && r.Memory <= q.Memory && r.Accelerators <= q.Accelerators
}

// Check returns an error that names the first negative field.
func (r Resources) Check() error {
	switch {
	case r.Processors < 0:
		return errorf("check", Invalid, "processors: %d is negative", r.Processors)
	case r.Memory < 0:
		return errorf("check", Invalid, "memory: %d is negative", r.Memory)
	case r.Accelerators < 0:
		return errorf("check", Invalid, "accelerators: %d is negative", r.Accelerators)
	}
	return nil
}

// Request is a caller's request to an upstream.
type Request struct {
	// ID is unique for each request; a retry by the caller gets a new ID.
	ID          string `json:"id"`
	Caller      string `json:"caller"`
	Class       Class  `json:"class"`
	Service     string `json:"service"`
	Method      string `json:"method"`
	Path        string `json:"path"`
	ContentType string `json:"type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// IdempotencyKey is the key that the caller chose, or empty.
	IdempotencyKey string `json:"key,omitempty"`
	// Idempotent permits running the request more than once.
	Idempotent bool `json:"idempotent,omitempty"`
	// Remaining is the time until the deadline, as of sending the message.
	Remaining Duration `json:"left"`
	// Attempt is 1 for the first dispatch by the gate.
	Attempt int `json:"attempt"`
}

// Response is the outcome of a request with the response of its upstream.
type Response struct {
	ID      string  `json:"id"`
	Outcome Outcome `json:"outcome"`
	// Reason describes why the outcome is not Done.
	Reason string `json:"reason,omitempty"`
	// Kind is the reason why a request was not run, if it is known: Full or
	// Expired because of overload, Invalid because of an error by the caller.
	Kind ErrorKind `json:"kind,omitempty"`
	// RetryAfter is the time after which a request that was not run may be sent
	// again.
	RetryAfter  Duration `json:"retry,omitempty"`
	Status      int      `json:"status,omitempty"`
	ContentType string   `json:"type,omitempty"`
	Body        []byte   `json:"body,omitempty"`
	// Length and Checksum (xxhash64) are those of Body as the side sent it.
	Length   int    `json:"length,omitempty"`
	Checksum uint64 `json:"sum,omitempty,string"`
}

// Kind determines how a task is scheduled.
type Kind string

const (
	// Service is a latency-critical task that runs until it is canceled.
	Service Kind = "service"
	// Job is a batch task with a deadline.
	Job Kind = "job"
	// Watcher is a continuous monitoring task that must not be interrupted.
	Watcher Kind = "watcher"
)

// UnmarshalText accepts only a known kind.
func (k *Kind) UnmarshalText(b []byte) error {
	switch v := Kind(b); v {
	case Service, Job, Watcher:
		*k = v
		return nil
	}
	return errorf("decode", Invalid, "kind %q is not one of service, job, watcher", b)
}

// Task describes a unit of work that runs on at most one host at a time.
type Task struct {
	ID   string `json:"id"`
	Kind Kind   `json:"kind"`
	Team string `json:"team,omitempty"`
	// Program names what the platform worker runs. Tasks of one program are
	// expected to interfere with other work in the same way.
	Program string   `json:"program"`
	Args    []string `json:"args,omitempty"`
	// Labels select tasks for cancellation and listing.
	Labels map[string]string `json:"labels,omitempty"`
	// Need is the declared resource demand. It may be too high or too low.
	Need Resources `json:"need"`
	// Runtime is the declared run time of a job. It may be too high or too low.
	Runtime Duration `json:"runtime,omitempty"`
	// Deadline is the time by which a job must be complete.
	Deadline time.Time `json:"deadline,omitzero"`
	// Urgent requires that the task start within 5 s of its submission.
	Urgent bool `json:"urgent,omitempty"`
	// Once limits the task to one attempt that has started.
	Once bool `json:"once,omitempty"`
}

// Check returns an error that names the first invalid field.
func (t Task) Check() error {
	switch {
	case t.ID == "" || len(t.ID) > maxNameBytes:
		return errorf("check", Invalid, "id: want 1 to %d bytes", maxNameBytes)
	case strings.ContainsAny(t.ID, "@ \t\n?#%"):
		return errorf("check", Invalid, "id: %q contains a space or one of @?#%%", t.ID)
	case t.Kind != Service && t.Kind != Job && t.Kind != Watcher:
		return errorf("check", Invalid, "kind: %q is not one of service, job, watcher", t.Kind)
	case t.Program == "" || len(t.Program) > maxNameBytes:
		return errorf("check", Invalid, "program: want 1 to %d bytes", maxNameBytes)
	case t.Kind == Job && t.Deadline.IsZero():
		return errorf("check", Invalid, "deadline: a job needs one")
	case t.Kind != Job && t.Once:
		return errorf("check", Invalid, "once: only a job can have it")
	}
	if err := t.Need.Check(); err != nil {
		return errorf("check", Invalid, "need: %v", err)
	}
	return nil
}

// maxNameBytes bounds identifiers and names that callers choose.
const maxNameBytes = 128

// WithID returns a copy of t with another identifier.
func (t Task) WithID(id string) Task {
	t.ID = id
	return t
}

// Attempt identifies one execution of a task.
type Attempt struct {
	Task   string `json:"task"`
	Number int    `json:"number"`
}

// String returns the identifier of the attempt in the platform worker.
func (a Attempt) String() string { return a.Task + "@" + strconv.Itoa(a.Number) }

// ParseAttempt is the inverse of Attempt.String.
func ParseAttempt(s string) (Attempt, error) {
	i := strings.LastIndexByte(s, '@')
	if i <= 0 {
		return Attempt{}, errorf("parse", Invalid, "attempt %q: want TASK@NUMBER", s)
	}
	n, err := strconv.Atoi(s[i+1:])
	if err != nil || n < 1 {
		return Attempt{}, errorf("parse", Invalid, "attempt %q: want a positive number after @", s)
	}
	return Attempt{Task: s[:i], Number: n}, nil
}

// Host describes a worker host, as announced by its side.
type Host struct {
	Name     string    `json:"name"`
	Zone     string    `json:"zone"`
	Rack     string    `json:"rack,omitempty"`
	Capacity Resources `json:"capacity"`
}

// Usage is a delayed report of the resources that an attempt uses.
type Usage struct {
	Attempt Attempt   `json:"attempt"`
	Used    Resources `json:"used"`
	// Age is the age of the measurement when it was sent.
	Age Duration `json:"age"`
}

// Offset is the position of a record in a stream of the log service.
type Offset int64

// Record is one entry of a stream of the log service.
type Record struct {
	// Offset is set by the log service.
	Offset Offset `json:"offset"`
	// Time is when the log service accepted the record.
	Time time.Time `json:"time,omitzero"`
	// ID has the form writer/sequence and stays the same when an append is
	// repeated.
	ID   string          `json:"id"`
	Kind string          `json:"kind"`
	Body json.RawMessage `json:"body,omitempty"`
}

// Page is the result of a read from a stream.
type Page struct {
	// First is the oldest offset that has not expired.
	First Offset `json:"first"`
	// Next is the offset of the next record to be appended.
	Next    Offset   `json:"next"`
	Records []Record `json:"records"`
}
