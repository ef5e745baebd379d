// Package hvshard runs one shard of tasks on a gate: it claims the shard when
// its owner is missing and, as the owner, places queued tasks, keeps their
// leases and records what becomes of them.
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

// Config names the process and the shard.
type Config struct {
	Gate          string
	Incarnation   string
	Shard         int
	LeaseDuration time.Duration
	ClockMargin   time.Duration
}

const (
	// flushEvery bounds the records of a shard to 10 a second; 16 shards then
	// need at most 160 of the several hundred appends a second of the log.
	flushEvery = 100 * time.Millisecond
	// sweepEvery is the period of the checks that look at all attempts. It is
	// the period of the heartbeats, which bring the facts for them.
	sweepEvery = time.Second
	// missingAfter is the silence after which a gate or a host counts as missing.
	missingAfter = 3 * time.Second
	// grace is how long a task that fits no host waits for a larger one.
	grace = 10 * time.Minute
	// firstPause and maxPause bound the growing pause after failures.
	firstPause = time.Second
	maxPause   = 30 * time.Second
	// placesPerFlush paces placements. The tasks of a shard on a lost
	// availability zone, a quarter of 412, are placed again within a second.
	placesPerFlush = 16
	// opsPerRecord bounds the size of a record.
	opsPerRecord = 512
	// maxWaiting bounds the operations that wait for a record.
	maxWaiting = 4096
	// jitter spreads the first placements of many owners after a takeover or
	// the return of the log; urgent tasks wait a tenth of it.
	jitter = time.Second
	// settingsEvery is the period of the comparison with the settings.
	settingsEvery = 10 * time.Second
	// faultyHosts is the number of different hosts after whose failures a job
	// ends as failed. maxFailures ends jobs that fail again and again on
	// fewer hosts, as every accepted job must end.
	faultyHosts = 3
	maxFailures = 10
	// maxLosses bounds the wait after lost shards to 48 s.
	maxLosses = 4
	// blindFor is how long an owner may hear no side before it gives its shard
	// to a gate that does. With the claim it is below the lease, so that the
	// new owner renews before the leases lapse.
	blindFor = 2 * time.Second
	// handBackAfter is how long another gate must have been the desired owner
	// before the shard goes to it, so that a gate that restarts again and again
	// does not move shards each time.
	handBackAfter = 30 * time.Second
	// evictFor is how long a request for an eviction is repeated.
	evictFor = 10 * time.Second
)

// Appender appends one record to the stream of the shard. It returns nil after
// the record was read back, and an error of kind Uncertain if the record may
// still appear. A record never appears after a later one of the same appender.
type Appender interface {
	Append(ctx context.Context, kind string, body any) error
}

// Hosts sends messages to the sides. The methods do not wait and do not call
// the owner; answers come as reports.
type Hosts interface {
	Start(host string, m hvwire.Start)
	Stop(host string, m hvwire.Stop)
	Throttle(host string, m hvwire.Throttle)
}

// Deps are the parts that an owner works with.
type Deps struct {
	Clock hv.Clock
	// States are the states of all shards of the region, by number. Those of
	// other shards are only read, for the quotas.
	States []*hvtask.Shard
	View   *hvquorum.Tracker
	Log    Appender
	// Placer must be safe for use by several owners at the same time.
	Placer hv.Placer
	Health hv.Health
	Hosts  Hosts
	Rand   *rand.Rand
}

// Settings are the parts of the configuration that owners use.
type Settings struct {
	// Teams holds the quotas; a team without one is not limited.
	Teams map[string]hv.Resources
	// Tasks are the jobs and watchers of the settings folder.
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
