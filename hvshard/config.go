// Package hvshard manages one shard of tasks on a gate. It claims the shard
// when the owner is missing; as the owner, it places queued tasks, renews their
// leases and records the outcome of their attempts.
package hvshard

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvquorum"
	"hibiscusvane.example/hibiscusvane/hvtask"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

// Config identifies the process and the shard, and sets the lease timing.
type Config struct {
	Gate          string
	Incarnation   string
	Shard         int
	LeaseDuration time.Duration
	ClockMargin   time.Duration
}

const (
	// flushInterval limits a shard to 10 records a second, so 16 shards need at
	// most 160 of the several hundred appends a second that the log supports.
	flushInterval = 100 * time.Millisecond
	// checkInterval is the period of the checks of all attempts. It equals the
	// heartbeat interval, as heartbeats supply the data for the checks.
	checkInterval = time.Second
	// missingTimeout is the time without heartbeats after which a gate or a
	// host counts as missing.
	missingTimeout = 3 * time.Second
	// impossibleGracePeriod is how long a task that fits on no host stays
	// queued in case a larger host joins.
	impossibleGracePeriod = 10 * time.Minute
	// minFailureBackoff and maxFailureBackoff bound the exponential backoff
	// after failed attempts.
	minFailureBackoff = time.Second
	maxFailureBackoff = 30 * time.Second
	// maxPlacementsPerFlush limits the placement rate. It is high enough to
	// place the tasks of a shard that ran in a lost availability zone, a
	// quarter of 412, again within a second.
	maxPlacementsPerFlush = 16
	// maxOpsPerRecord limits the size of a record.
	maxOpsPerRecord = 512
	// maxQueuedOps limits the operations queued for the log.
	maxQueuedOps = 4096
	// maxPlacementJitter spreads the first placements of many owners after a
	// takeover or a log outage; the jitter of urgent tasks is a tenth of it.
	maxPlacementJitter = time.Second
	// settingsInterval is how often the shard's tasks are compared with the
	// settings.
	settingsInterval = 10 * time.Second
	// faultyJobHosts is the number of different hosts after whose failures a
	// job ends as failed. maxFailures ends jobs that fail repeatedly on fewer
	// hosts, as every accepted job must reach a terminal state.
	faultyJobHosts = 3
	maxFailures    = 10
	// maxLosses limits the exponential wait before claiming a shard again after
	// losing it to 48 s.
	maxLosses = 4
	// noSidesTimeout is how long an owner may receive no heartbeats from any
	// side before it hands its shard to a gate that does. Together with the
	// time to claim, it is below the lease duration, so that the new owner
	// renews the leases before they expire.
	noSidesTimeout = 2 * time.Second
	// handBackDelay is how long another gate must have been the desired owner
	// before the shard is handed to it, so that a gate that restarts repeatedly
	// does not move shards each time.
	handBackDelay = 30 * time.Second
	// evictionRetryPeriod is how long an eviction request is repeated.
	evictionRetryPeriod = 10 * time.Second
)

// Appender appends records to the stream of the shard. Append returns nil after
// the record has been read back, and an error of kind Uncertain if the record
// may still appear. A record never appears after a later one of the same
// appender.
type Appender interface {
	Append(ctx context.Context, kind string, body any) error
}

// Hosts sends messages to the sides. The methods do not block and do not call
// the owner; responses arrive as reports.
type Hosts interface {
	Start(host string, m hvwire.Start)
	Stop(host string, m hvwire.Stop)
	Throttle(host string, m hvwire.Throttle)
}

// Deps are the dependencies of an Owner.
type Deps struct {
	Clock hv.Clock
	// States holds the states of all shards of the region by number. Those of
	// other shards are only read, for the quotas.
	States []*hvtask.Shard
	Quorum *hvquorum.Tracker
	Log    Appender
	// Placer must be safe for concurrent use by several owners.
	Placer hv.Placer
	Health hv.Health
	Hosts  Hosts
	Rand   *rand.Rand
}

// Settings is the part of the settings that owners use.
type Settings struct {
	// Teams holds the quotas by team; a team without a quota is unlimited.
	Teams map[string]hv.Resources
	// Tasks are the jobs and watchers defined in the settings folder.
	Tasks []hv.Task
}

// Error is the error type of the package.
type Error struct {
	Op   string
	Kind hv.ErrorKind
	Err  error
}

func (e *Error) Error() string { return fmt.Sprintf("shard %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// ErrorKind returns the kind of the error.
func (e *Error) ErrorKind() hv.ErrorKind { return e.Kind }

func errorf(op string, kind hv.ErrorKind, format string, args ...any) error {
	return &Error{Op: op, Kind: kind, Err: errors.Errorf(format, args...)}
}

// StreamName returns the name of a shard's stream without the region.
func StreamName(shard int) string { return fmt.Sprintf("task-%02d", shard) }
