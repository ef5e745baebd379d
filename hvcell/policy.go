package hvcell

import "time"

// Policy switches the parts of scheduling that a deployment may ask for, and holds the
// times that they calculate with. The zero value switches all of them off.
type Policy struct {
	// Backfill reserves capacity for steps that wait and lets smaller work use it until
	// then.
	Backfill bool
	// Tail moves or copies the last tasks of a step off slow hosts.
	Tail bool
	// Sharing divides contended capacity between queues, zones and sizes of jobs, and lets
	// urgent work preempt.
	Sharing bool
	// Colocation places best-effort work and services by their measured effects.
	Colocation bool
	// CheckpointInterval is the work after which a run writes a saved state.
	CheckpointInterval time.Duration
	// RestoreTime is the time that a run needs to resume from a saved state.
	RestoreTime time.Duration
	// StopTime is the longest time that a stop takes.
	StopTime time.Duration
}
