package hibiscusvane

import (
	"context"
	"time"
)

// Executor runs tasks on one host under a lease. An error of kind Uncertain
// means that the call may have taken effect or may still take effect.
type Executor interface {
	// Start starts a run of a task. It succeeds if the executor already has that
	// run. Errors of kind Conflict (the executor has seen a higher token), Expired
	// (the run number has been used or the lease has ended) and Full (no room) are
	// final.
	Start(ctx context.Context, s StartRun) error
	// Stop ends a run. A run that has not started is blocked from ever starting.
	Stop(ctx context.Context, task string, run int, token int64) error
	// RenewLeases extends the leases of all current runs and lists them. It waits
	// up to WaitMS for the next run to end.
	RenewLeases(ctx context.Context, r LeaseRenewal) (ExecutorState, error)
	// Throttle limits a run to a percentage of its full rate.
	Throttle(ctx context.Context, task string, run, percent int, token int64) error
}

// Adviser is the external service that decides which hosts may run a step. Only
// queues that are configured for it ask it.
type Adviser interface {
	// Advise returns a ticket for each executor, by identifier, that may run the
	// step, and how long the tickets are valid. An error of kind Full means that
	// too many requests are waiting.
	Advise(ctx context.Context, step string, executors []string) (tickets map[string]string, valid time.Duration, err error)
}

// StartRun asks for one run of a task.
type StartRun struct {
	Task       string
	Run        int
	Spec       string
	SavedState string
	// Ticket proves that the Adviser allowed the step on the host.
	Ticket string
	// Token is the fencing token: the executor does nothing for one below the highest that
	// it has seen.
	Token int64
	// LeaseEnd is the end of the lease on the executor's clock in milliseconds.
	LeaseEnd int64
}

// LeaseRenewal extends leases and acknowledges ended runs.
type LeaseRenewal struct {
	// Token is the fencing token, as in StartRun.
	Token int64
	// LeaseEnd is the new end of the leases on the executor's clock in
	// milliseconds; 0 extends none.
	LeaseEnd int64
	// AckedEnd is the Number of the last RunEnd that the owner has stored.
	AckedEnd int64
	// WaitMS is how long to wait for a run to end, in milliseconds.
	WaitMS int
}

// ExecutorState lists the current and the ended runs of an executor.
type ExecutorState struct {
	// Incarnation changes with each start of the executor.
	Incarnation string
	// ClockMS is the executor's clock in milliseconds.
	ClockMS int64
	Running []RunState
	Ended   []RunEnd
	// MoreEnded is true if there may be later ends, which are listed once the listed
	// ones are acknowledged.
	MoreEnded bool
}

// RunState is a run that has not ended.
type RunState struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	SavedState string `json:"saved,omitempty"`
	// Percent is the progress of the run; a long-running run that is working has
	// 100.
	Percent int `json:"percent"`
	// Load is the tail latency in milliseconds for a run that serves requests and
	// the processor use in thousandths of a core for any other run, over the last
	// half second.
	Load int `json:"load,omitempty"`
}

// RunEnd is the end of a run. Number increases by one with each end within an
// incarnation of the executor.
type RunEnd struct {
	Number     int64     `json:"number"`
	Task       string    `json:"task"`
	Run        int       `json:"run"`
	Reason     EndReason `json:"how"`
	SavedState string    `json:"saved,omitempty"`
}

// EndReason is the reason why a run ended.
type EndReason string

const (
	// EndDone means that the run completed its task.
	EndDone EndReason = "done"
	// EndFailed means that the run failed, by its own fault or that of the host.
	EndFailed EndReason = "failed"
	// EndStopped means that the run was stopped on request.
	EndStopped EndReason = "stopped"
	// EndLapsed means that the lease of the run expired.
	EndLapsed EndReason = "lapsed"
	// EndGangBroken means that another member of the gang ended.
	EndGangBroken EndReason = "broken"
	// EndGangTimeout means that the run waited too long for the other members of
	// its gang.
	EndGangTimeout EndReason = "alone"
)
