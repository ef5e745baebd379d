package hibiscusvane

import (
	"context"
	"time"
)

// Executor runs tasks on one host under a lease. An error of kind Uncertain
// means that the call may have been carried out or may be carried out later.
type Executor interface {
	// Start runs a task. It succeeds if that run is already there. Errors of
	// kind Conflict (an owner with a higher epoch was seen), Expired (the run
	// number is used up or the lease has passed) and Full (no room) are final.
	Start(ctx context.Context, s StartRun) error
	// Stop ends a run or bars it from ever starting.
	Stop(ctx context.Context, task string, run int, epoch int64) error
	// RenewLeases extends the lease of everything that runs and lists it. It waits
	// for the next end for up to Wait.
	RenewLeases(ctx context.Context, h LeaseRenewal) (ExecutorState, error)
	// Throttle limits a run to a share of its work in percent.
	Throttle(ctx context.Context, task string, run, percent int, epoch int64) error
}

// Adviser knows which hosts may run a step of a queue with such a rule.
type Adviser interface {
	// Advise returns a ticket for each of the executors, by identifier, that may
	// run the step, and how long the tickets are valid. An error of kind Full
	// means that too many questions wait.
	Advise(ctx context.Context, step string, executors []string) (tickets map[string]string, valid time.Duration, err error)
}

// StartRun asks for one run of a task.
type StartRun struct {
	Task       string
	Run        int
	Spec       string
	SavedState string
	// Ticket proves that advice allowed the step on the host.
	Ticket string
	Epoch  int64
	// LeaseEnd is the end of the lease on the executor's clock in milliseconds.
	LeaseEnd int64
}

// LeaseRenewal extends leases and acknowledges ends.
type LeaseRenewal struct {
	Epoch int64
	// LeaseEnd is the end of the lease on the executor's clock in milliseconds;
	// 0 extends nothing.
	LeaseEnd int64
	// AckedEnd is the number of the last end that the owner has stored.
	AckedEnd int64
	// WaitMS is how long to wait for an end, in milliseconds.
	WaitMS int
}

// ExecutorState lists what runs on an executor and what has ended.
type ExecutorState struct {
	// Incarnation distinguishes the incarnations of an executor.
	Incarnation string
	// ClockMS is the executor's clock in milliseconds.
	ClockMS int64
	Running []RunState
	Ended   []RunEnd
}

// RunState is a run that has not ended.
type RunState struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	SavedState string `json:"saved,omitempty"`
	// Percent is how much of its work a run has done, and 100 for a lasting
	// run that is at work.
	Percent int `json:"percent"`
	// Load is the tail latency in milliseconds of a run that serves requests
	// and the processor use in thousandths of a core of every other run. It
	// covers the last half second.
	Load int `json:"load,omitempty"`
}

// RunEnd is the end of a run. Numbers rise by one within a life.
type RunEnd struct {
	Number     int64     `json:"number"`
	Task       string    `json:"task"`
	Run        int       `json:"run"`
	Reason     EndReason `json:"how"`
	SavedState string    `json:"saved,omitempty"`
}

// EndReason tells why a run ended.
type EndReason string

const (
	// EndDone is a run that completed its task.
	EndDone EndReason = "done"
	// EndFailed is a run that failed by its own fault or that of the host.
	EndFailed EndReason = "failed"
	// EndStopped is a run that was stopped by an order.
	EndStopped EndReason = "stopped"
	// EndLapsed is a run whose lease passed.
	EndLapsed EndReason = "lapsed"
	// EndGangBroken is a gang member that ended because another one did.
	EndGangBroken EndReason = "broken"
	// EndGangTimeout is a gang member that waited too long for the others.
	EndGangTimeout EndReason = "alone"
)
