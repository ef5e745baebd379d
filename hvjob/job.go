// Package hvjob defines jobs and their steps, the queues that they are submitted to,
// and the progress of their tasks.
package hvjob

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	hv "hibiscusvane.example/hibiscusvane"
)

// Error is the error type of the package.
type Error struct {
	Op   string
	Kind hv.ErrorKind
	Err  error
}

func (e *Error) Error() string { return fmt.Sprintf("job %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// ErrorKind returns the kind of the error.
func (e *Error) ErrorKind() hv.ErrorKind { return e.Kind }

func invalid(op, format string, args ...any) error {
	return &Error{Op: op, Kind: hv.Invalid, Err: errors.Errorf(format, args...)}
}

const (
	// maxSteps and maxTasks bound the memory that the owner needs for one job.
	maxSteps = 64
	maxTasks = 10_000
	// maxSpecBytes is the maximum length of the work description of a job.
	maxSpecBytes = 4_000
)

// Resources is an amount of resources that a task needs or a host has.
type Resources struct {
	// CPU is in thousandths of a core.
	CPU int64 `json:"cpu,omitempty"`
	// Memory is in MiB.
	Memory int64 `json:"mem,omitempty"`
	GPU    int64 `json:"gpu,omitempty"`
}

// Add returns s + o.
func (s Resources) Add(o Resources) Resources {
	return Resources{CPU: s.CPU + o.CPU, Memory: s.Memory + o.Memory, GPU: s.GPU + o.GPU}
}

// Sub returns s - o.
func (s Resources) Sub(o Resources) Resources {
	return Resources{CPU: s.CPU - o.CPU, Memory: s.Memory - o.Memory, GPU: s.GPU - o.GPU}
}

// Fits reports whether s is at most capacity in every dimension.
func (s Resources) Fits(capacity Resources) bool {
	return s.CPU <= capacity.CPU && s.Memory <= capacity.Memory && s.GPU <= capacity.GPU
}

// Step is a set of identical tasks.
type Step struct {
	Count int       `json:"count"`
	Need  Resources `json:"need"`
	// Estimate is the caller's estimate of the run time of a task in milliseconds.
	Estimate int64 `json:"estimate,omitempty"`
	// After lists the indexes of earlier steps that must be complete first.
	After      []int `json:"after,omitempty"`
	Checkpoint bool  `json:"checkpoint,omitempty"`
	// Gang tasks make progress only while all of them run.
	Gang bool `json:"gang,omitempty"`
	// TightlyCoupled gangs are slower if they are spread over more than one rack.
	TightlyCoupled bool `json:"tight,omitempty"`
	// RequiredLabel is a label that the host must have, or empty.
	RequiredLabel string `json:"label,omitempty"`
	// DataRack is the rack that holds the data of the step, or empty.
	DataRack string `json:"rack,omitempty"`
	// MaxPerHost is the maximum number of tasks of the step on one host; 0 means no
	// limit.
	MaxPerHost  int  `json:"spread,omitempty"`
	Speculative bool `json:"speculative,omitempty"`
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool   `json:"lasting,omitempty"`
	Image       string `json:"image,omitempty"`
	// LatencyTarget is the maximum tail latency of a serving task in milliseconds; 0 is
	// for tasks that do not serve requests.
	LatencyTarget int64 `json:"target,omitempty"`
	// BestEffort tasks use processors that other tasks leave unused and may be
	// throttled.
	BestEffort bool `json:"fill,omitempty"`
	// DisruptionBudget is the number of tasks that may be down because of the system.
	DisruptionBudget int `json:"spare,omitempty"`
}

// Allocation returns the resources that are allocated to a task on its host.
// Best-effort tasks are allocated no processors.
func (s Step) Allocation() Resources {
	need := s.Need
	if s.BestEffort {
		need.CPU = 0
	}
	return need
}

// Job is a job as a caller submitted it.
type Job struct {
	ID    string `json:"id"`
	Queue string `json:"queue"`
	Spec  string `json:"spec"`
	Steps []Step `json:"steps"`
	// FirstDue is the Unix time in milliseconds at which the first round is due.
	FirstDue int64 `json:"first,omitempty"`
	// Interval is the time between the rounds in milliseconds.
	Interval int64 `json:"interval,omitempty"`
	// Repetitions is the number of rounds of a scheduled job. It is 0 for other jobs,
	// which have one round that is due at once.
	Repetitions int `json:"times,omitempty"`
	// Submitted is the Unix time in milliseconds at which a gate received the job.
	Submitted int64 `json:"submitted"`
	// QueueSettings are the settings of the queue when the job was accepted. They apply
	// if the queue is removed from the catalog, and while the catalog is not known.
	QueueSettings Queue `json:"terms"`
	// Gate is the address of the gate that accepted the job, which nodes ask for Spec;
	// it is empty if that is not known.
	Gate string `json:"gate,omitempty"`
	// Zone is the zone of that gate; it is empty if that is not known.
	Zone string `json:"zone,omitempty"`
}

// Rounds returns the number of times that the steps run.
func (j Job) Rounds() int { return max(j.Repetitions, 1) }

// TaskCount returns the number of tasks of one round.
func (j Job) TaskCount() int {
	total := 0
	for _, s := range j.Steps {
		total += s.Count
	}
	return total
}

// Due returns the Unix time in milliseconds at which a round may start.
func (j Job) Due(round int) int64 {
	if j.Repetitions == 0 {
		return j.Submitted
	}
	return j.FirstDue + int64(round)*j.Interval
}

// UnmarshalJSON decodes a job and returns an error if it is invalid.
func (j *Job) UnmarshalJSON(b []byte) error {
	type plain Job
	if err := json.Unmarshal(b, (*plain)(j)); err != nil {
		return err
	}
	return j.Check()
}

// Check returns an error that names the first invalid field.
func (j Job) Check() error {
	switch {
	case !IsID(j.ID):
		return invalid("check", "id: %q is not 16 hexadecimal digits", j.ID)
	case len(j.Spec) > maxSpecBytes:
		return invalid("check", "spec: %d bytes, the limit is %d", len(j.Spec), maxSpecBytes)
	case len(j.Steps) == 0 || len(j.Steps) > maxSteps:
		return invalid("check", "steps: %d, want 1 to %d", len(j.Steps), maxSteps)
	case j.Repetitions < 0 || j.Interval < 0:
		return invalid("check", "times: negative")
	}
	for i, s := range j.Steps {
		if err := s.check(i); err != nil {
			return err
		}
	}
	if total := j.TaskCount(); total > maxTasks {
		return invalid("check", "steps: %d tasks, the limit is %d", total, maxTasks)
	}
	return nil
}

func (s Step) check(i int) error {
	if s.Count < 1 {
		return invalid("check", "steps[%d].count: %d, want at least 1", i, s.Count)
	}
	if s.Need.CPU < 0 || s.Need.Memory < 0 || s.Need.GPU < 0 {
		return invalid("check", "steps[%d]: negative resources", i)
	}
	for _, a := range s.After {
		if a < 0 || a >= i {
			return invalid("check", "steps[%d].after: %d is not an earlier step", i, a)
		}
	}
	return nil
}

// IsID reports whether s can be the identifier of a job.
func IsID(s string) bool {
	return len(s) == 16 && strings.Trim(s, "0123456789abcdefABCDEF") == ""
}

// Task identifies one task of a round of a job.
type Task struct {
	Job                string
	Round, Step, Index int
}

// String returns the name by which executors know the task: JOB.ROUND.STEP.INDEX.
func (t Task) String() string {
	return t.Job + "." + strconv.Itoa(t.Round) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// JobOf returns the identifier of the job of a task, which its name begins with.
func JobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

// ParseTask is the inverse of Task.String.
func ParseTask(name string) (Task, error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return Task{}, invalid("parse", "task %q: want JOB.ROUND.STEP.INDEX", name)
	}
	var n [3]int
	for i := range n {
		v, err := strconv.Atoi(parts[i+1])
		if err != nil || v < 0 {
			return Task{}, invalid("parse", "task %q: %q is not a number", name, parts[i+1])
		}
		n[i] = v
	}
	return Task{Job: parts[0], Round: n[0], Step: n[1], Index: n[2]}, nil
}
