package hibiscusvane

import (
	"context"
	"time"
)

// Clock is the time source of everything that decides by time. Now is
// monotonic within a process.
type Clock interface {
	Now() time.Time
}

// SystemClock is the clock of the machine.
type SystemClock struct{}

// Now returns the current time with its monotonic reading.
func (SystemClock) Now() time.Time { return time.Now() }

// Log is the platform's append-only log service.
type Log interface {
	// Append adds a record to a stream. An error of kind Uncertain means that
	// the record may have been added.
	Append(ctx context.Context, stream string, rec Record) (Offset, error)
	// Read returns up to limit records from an offset on and waits up to wait
	// for the first one. An error of kind Expired means that from lies before
	// the oldest record; the page then has First set.
	Read(ctx context.Context, stream string, from Offset, limit int, wait time.Duration) (Page, error)
}

// RunningAttempt is an attempt that the platform worker runs under a lease.
type RunningAttempt struct {
	Attempt Attempt `json:"attempt"`
	Task    Task    `json:"task"`
	Shard   int     `json:"shard"`
	Epoch   int64   `json:"epoch"`
	// Committed is what the host has committed for the attempt.
	Committed Resources `json:"commit"`
	// Lease is the time that remains until the worker stops the attempt.
	Lease Duration `json:"lease"`
	// State is running, done or failed.
	State string `json:"state"`
	// Checkpoint is the last checkpoint that the attempt wrote, or empty.
	Checkpoint string `json:"checkpoint,omitempty"`
	// Share is the share of its processors that a throttled attempt keeps, in
	// thousandths; 1000 is unthrottled.
	Share int `json:"share"`
	// Reason says in words why the attempt failed.
	Reason string `json:"reason,omitempty"`
}

// States of an attempt at the platform worker.
const (
	StateRunning = "running"
	StateDone    = "done"
	StateFailed  = "failed"
)

// Worker is the platform's agent on one host.
type Worker interface {
	Capacity(ctx context.Context) (Resources, error)
	Tasks(ctx context.Context) ([]RunningAttempt, error)
	// Start runs an attempt under a lease; from is a checkpoint or empty.
	// Starting an attempt that the worker already knows changes nothing.
	Start(ctx context.Context, r RunningAttempt, from string) error
	Renew(ctx context.Context, a Attempt, lease time.Duration) error
	Checkpoint(ctx context.Context, a Attempt) (string, error)
	Throttle(ctx context.Context, a Attempt, share int) error
	// Stop ends an attempt; it is idempotent and returns when the attempt no
	// longer runs.
	Stop(ctx context.Context, a Attempt) error
	Usage(ctx context.Context) ([]Usage, error)
}

// Target is an upstream as a Picker sees it.
type Target struct {
	// Host is the name of the upstream's host.
	Host string
	Zone string
	// Outstanding is the number of requests that this gate has in flight.
	Outstanding int
	// Load is the number of running and waiting requests by the last heartbeat.
	Load  int
	Slots int
}

// Picker chooses the upstream of a request.
type Picker interface {
	// Pick returns the index of the chosen target, or -1 if none is usable.
	Pick(service string, targets []Target) int
	// Observe records the result of one request.
	Observe(service, host string, took time.Duration, result DispatchResult)
}

// DispatchResult classifies the end of a dispatch for routing.
type DispatchResult int

const (
	// Succeeded is a whole answer of the upstream without a server error.
	Succeeded DispatchResult = iota
	// Failed is a server error, a cut or a wrong answer.
	Failed
	// Refused is a refusal by the side for want of slots.
	Refused
	// TimedOut is the end of the deadline.
	TimedOut
)

// Admitter decides when a request may be dispatched.
type Admitter interface {
	// Admit waits until the request may run and returns the function that
	// gives its place back. An error of kind Full, Expired or Unavailable (no
	// upstream is live) refuses it; retry is then the time after which the caller may try again.
	Admit(ctx context.Context, req Request) (release func(), retry time.Duration, err error)
}

// Placer chooses hosts for tasks.
type Placer interface {
	// SetHost adds a host or changes what is free on it.
	SetHost(h HostView)
	// RemoveHost forgets a host.
	RemoveHost(name string)
	// Place returns the host for a task and counts the task there, or an
	// error of kind Full (no host has room now) or NotFound (none ever fits).
	// The hosts to avoid, on which the task failed before, are used only if no
	// other host has room.
	Place(t Task, avoid ...string) (host string, err error)
	// Release takes a task off a host.
	Release(t Task, host string)
	// Observe records how a host's service latency responded to its tasks.
	Observe(s InterferenceSample)
}

// HostView is a host as a placer sees it.
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
	// Share is the share that the host's guard leaves to batch work, in
	// thousandths; 0 and 1000 mean that it is not throttled.
	Share int
	// Suspect hosts are used only when no other host has room.
	Suspect bool
	// Usable is false for a host that is draining or quarantined.
	Usable bool
}

// InterferenceSample is a lagging observation of interference on one host.
type InterferenceSample struct {
	Host    string `json:"host"`
	Service string `json:"service"`
	// Programs counts the batch tasks that ran at Time. When it is nil the
	// placer uses what it remembers of the host.
	Programs map[string]int `json:"programs,omitempty"`
	// Share is the share that the guard left to batch work at Time, in
	// thousandths; 0 means 1000.
	Share int `json:"share,omitempty"`
	// Slowdown is the service's tail latency divided by its target.
	Slowdown float64   `json:"slowdown"`
	Time     time.Time `json:"time"`
}

// GuardAction is a step of a guard on one host.
type GuardAction struct {
	Attempt Attempt
	// Share is the new share in thousandths; 0 means to evict.
	Share int
}

// Guard protects the latency of the services on one host.
type Guard interface {
	// Decide returns the steps for the current tasks of a host. Slowdown is
	// the measured tail latency divided by its target.
	Decide(now time.Time, slowdown float64, tasks []RunningAttempt) []GuardAction
}

// Health tells bad workers from bad jobs.
type Health interface {
	// Record adds the end of an attempt.
	Record(now time.Time, host, rack, task string, ok bool)
	// Usable reports whether tasks may be placed on a host.
	Usable(now time.Time, host string) bool
	// Faulty reports whether a task failed on enough healthy hosts to be at
	// fault itself.
	Faulty(task string) bool
}
