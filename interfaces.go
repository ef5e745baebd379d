package hibiscusvane

import (
	"context"
	"time"
)

// Clock is the time source of all decisions that depend on time. Now is monotonic
// within a process.
type Clock interface {
	Now() time.Time
}

// SystemClock is the Clock of the operating system.
type SystemClock struct{}

// Now returns the current time with its monotonic reading.
func (SystemClock) Now() time.Time { return time.Now() }

// Log is the platform's append-only log service.
type Log interface {
	// Append adds a record to a stream. An error of kind Uncertain means that
	// the record may have been added.
	Append(ctx context.Context, stream string, rec Record) (Offset, error)
	// Read returns up to limit records from an offset on and waits up to wait
	// for the first one. An error of kind Expired means that from is before the
	// oldest record; First of the page is then set.
	Read(ctx context.Context, stream string, from Offset, limit int, wait time.Duration) (Page, error)
}

// RunningAttempt is an attempt that the platform worker runs under a lease.
type RunningAttempt struct {
	Attempt Attempt `json:"attempt"`
	Task    Task    `json:"task"`
	Shard   int     `json:"shard"`
	Epoch   int64   `json:"epoch"`
	// Committed is the amount that the host has committed to the attempt.
	Committed Resources `json:"commit"`
	// Lease is the remaining time until the worker stops the attempt.
	Lease Duration `json:"lease"`
	// State is one of StateRunning, StateDone and StateFailed.
	State string `json:"state"`
	// Checkpoint is the last checkpoint that the attempt wrote, or empty.
	Checkpoint string `json:"checkpoint,omitempty"`
	// Share is the part of its processors that a throttled attempt keeps, in
	// thousandths; 1000 means not throttled.
	Share int `json:"share"`
	// Reason describes why the attempt failed.
	Reason string `json:"reason,omitempty"`
}

// States of an attempt in the platform worker.
const (
	StateRunning = "running"
	StateDone    = "done"
	StateFailed  = "failed"
)

// Worker is the platform's agent on one host.
type Worker interface {
	Capacity(ctx context.Context) (Resources, error)
	Tasks(ctx context.Context) ([]RunningAttempt, error)
	// Start starts an attempt under a lease, from a checkpoint unless that is empty.
	// Starting an attempt that the worker already has is a no-op.
	Start(ctx context.Context, r RunningAttempt, checkpoint string) error
	Renew(ctx context.Context, a Attempt, lease time.Duration) error
	Checkpoint(ctx context.Context, a Attempt) (string, error)
	Throttle(ctx context.Context, a Attempt, share int) error
	// Stop ends an attempt and returns once it no longer runs. It is idempotent.
	Stop(ctx context.Context, a Attempt) error
	Usage(ctx context.Context) ([]Usage, error)
}

// UpstreamView is an upstream as seen by a Picker.
type UpstreamView struct {
	// Host is the name of the upstream's host.
	Host string
	Zone string
	// Outstanding is the number of requests that this gate has in flight.
	Outstanding int
	// Load is the number of running and waiting requests in the last heartbeat.
	Load  int
	Slots int
}

// Picker chooses the upstream of a request.
type Picker interface {
	// Pick returns the index of the chosen upstream, or -1 if none is usable.
	Pick(service string, upstreams []UpstreamView) int
	// Observe records the result of one request.
	Observe(service, host string, took time.Duration, result DispatchResult)
}

// DispatchResult classifies the end of a dispatch for routing.
type DispatchResult int

const (
	// Succeeded means a complete response of the upstream without a server error.
	Succeeded DispatchResult = iota
	// Failed means a server error, or a truncated or wrong response.
	Failed
	// Refused means that the side had no free slot.
	Refused
	// TimedOut means that the deadline passed.
	TimedOut
)

// Admitter decides when a request may be dispatched.
type Admitter interface {
	// Admit waits until the request may run and returns a function that frees its
	// place. An error of kind Full, Expired or Unavailable (no upstream is live)
	// refuses the request; retry is then the time after which the caller may try
	// again.
	Admit(ctx context.Context, req Request) (release func(), retry time.Duration, err error)
}

// Placer chooses hosts for tasks.
type Placer interface {
	// SetHost adds a host or replaces its view.
	SetHost(h HostView)
	RemoveHost(name string)
	// Place chooses a host for a task and commits the task's resources on it. It
	// returns an error of kind Full if no host has room now, or NotFound if the
	// task fits on no host. Hosts in avoid, on which the task has failed before,
	// are used only if no other host has room.
	Place(t Task, avoid ...string) (host string, err error)
	// Release frees the resources of a task on a host.
	Release(t Task, host string)
	// Observe records how the tasks of a host affected the latency of its service.
	Observe(s InterferenceSample)
}

// HostView is a host as seen by a Placer.
type HostView struct {
	Host Host
	// Committed is the sum of the commitments on the host.
	Committed Resources
	// Programs counts the running tasks by program.
	Programs map[string]int
	// Groups counts the running tasks by the value of their label "group".
	Groups map[string]int
	// Services names the latency-critical programs of the host, upstreams
	// included.
	Services []string
	// Share is the part of their processors that the host's guard leaves to batch
	// tasks, in thousandths; 0 and 1000 mean that they are not throttled.
	Share int
	// Suspect is set for a host that is used only when no other host has room.
	Suspect bool
	// Usable is false for a host that is draining or quarantined.
	Usable bool
}

// InterferenceSample is a delayed observation of interference on one host.
type InterferenceSample struct {
	Host    string `json:"host"`
	Service string `json:"service"`
	// Programs counts the batch tasks that ran at Time, by program. When it is
	// nil the placer uses its own record of the host.
	Programs map[string]int `json:"programs,omitempty"`
	// Share is the part of their processors that the guard left to batch tasks at
	// Time, in thousandths; 0 means 1000.
	Share int `json:"share,omitempty"`
	// Slowdown is the service's tail latency divided by its target.
	Slowdown float64   `json:"slowdown"`
	Time     time.Time `json:"time"`
}

// GuardAction throttles or evicts one attempt.
type GuardAction struct {
	Attempt Attempt
	// Share is the new share in thousandths; 0 evicts the attempt.
	Share int
}

// Guard protects the latency of the services on one host.
type Guard interface {
	// Decide returns the actions for the current tasks of a host. Slowdown is the
	// measured tail latency divided by its target.
	Decide(now time.Time, slowdown float64, tasks []RunningAttempt) []GuardAction
}

// Health attributes failures either to a worker or to a job.
type Health interface {
	// Record adds the result of an attempt.
	Record(now time.Time, host, rack, task string, ok bool)
	// Usable reports whether tasks may be placed on a host.
	Usable(now time.Time, host string) bool
	// Faulty reports whether a task has failed on so many healthy hosts that the
	// task itself is taken to be at fault.
	Faulty(task string) bool
}
