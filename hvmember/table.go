// Package hvmember tracks the sides and the other gates that a gate knows.
package hvmember

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/pkg/errors"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

const (
	// HeartbeatTimeout is the time without heartbeats after which a side or gate
	// counts as dead. The design sets it, at three heartbeat intervals.
	HeartbeatTimeout = 3 * time.Second
	// maxFailedCalls is the number of failed calls between two heartbeats after
	// which a side gets no new work until its next heartbeat.
	maxFailedCalls = 3
	// maxSides bounds the number of sides in the table. The design plans for 790
	// workers.
	maxSides = 4096
	// maxReplaced bounds the replaced incarnations that are stored per host.
	maxReplaced = 8
	// removeAfter is the time without messages after which a side or gate may be
	// removed from the table.
	removeAfter = 10 * time.Minute
)

// Error is the error type of the package.
type Error struct {
	Op   string
	Kind hv.ErrorKind
	Err  error
}

func (e *Error) Error() string { return fmt.Sprintf("member %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// ErrorKind returns the kind of the error.
func (e *Error) ErrorKind() hv.ErrorKind { return e.Kind }

func errorf(op string, kind hv.ErrorKind, format string, args ...any) error {
	return &Error{Op: op, Kind: kind, Err: errors.Errorf(format, args...)}
}

// Conn is a connection to a side; *hvwire.Conn implements it.
type Conn interface {
	Call(ctx context.Context, method string, req, resp any) error
	Done() <-chan struct{}
}

var _ Conn = (*hvwire.Conn)(nil)

// Side is what the gate knows about a side.
type Side struct {
	hvwire.Announce
	// Heartbeat is the last heartbeat. It is empty before the first.
	Heartbeat hvwire.Heartbeat
	Conn      Conn
	// LastSeen is the time of the last announcement or heartbeat.
	LastSeen time.Time
	// LeavingSince is when the side first reported that it is leaving. It is zero
	// before that.
	LeavingSince time.Time
}

type entry struct {
	Side
	// cached is the copy that snapshot returns. It is nil after a change.
	cached         *Side
	connectionLost bool
	// failedCalls counts the failed calls since the last announcement or
	// heartbeat.
	failedCalls int
	// replaced lists earlier incarnations of the side's process.
	replaced []string
}

// Table holds the sides and the other gates. It is safe for concurrent use.
type Table struct {
	clock hv.Clock

	mu                sync.Mutex
	sides             map[string]*entry
	index             index
	hostByIncarnation map[string]string
	gates             map[string]gate
	changed           chan struct{}
}

// New returns an empty table.
func New(clock hv.Clock) *Table {
	return &Table{
		clock: clock, sides: map[string]*entry{}, index: index{}, hostByIncarnation: map[string]string{},
		gates: map[string]gate{}, changed: make(chan struct{}, 1),
	}
}

// Changed returns a channel that receives a value after a side is announced, is
// leaving, loses its connection or reaches the limit of failed calls. Several
// changes may share a value. A heartbeat timeout sends none: it shows only in the
// results of the queries.
func (t *Table) Changed() <-chan struct{} { return t.changed }

func (t *Table) notify() {
	select {
	case t.changed <- struct{}{}:
	default:
	}
}

// alive reports whether the process is connected and sends heartbeats, leaving or
// not.
func (e *entry) alive(now time.Time) bool {
	return !e.connectionLost && now.Sub(e.LastSeen) < HeartbeatTimeout
}

// usable reports whether the side may get new work.
func (e *entry) usable(now time.Time) bool {
	return e.alive(now) && e.LeavingSince.IsZero() && e.failedCalls < maxFailedCalls
}

// Usable returns the sides of a service that may get new work, sorted by host.
// The sides are shared between callers and must not be changed.
func (t *Table) Usable(service string) []*Side {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	entries := t.index[service]
	list := make([]*Side, 0, len(entries))
	for _, e := range entries {
		if e.usable(now) {
			list = append(list, e.snapshot())
		}
	}
	return list
}

// Alive returns all sides that are alive, including those that are leaving, sorted
// by host.
func (t *Table) Alive() []Side { return t.filter((*entry).alive) }

// Get returns the side of a host, whether alive or not.
func (t *Table) Get(host string) (side Side, alive bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.sides[host]
	if e == nil {
		return Side{}, false
	}
	return e.Side, e.alive(t.clock.Now())
}

// FindIncarnation returns the side with an incarnation if it is alive.
func (t *Table) FindIncarnation(incarnation string) (Side, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.sides[t.hostByIncarnation[incarnation]]
	if e == nil || !e.alive(t.clock.Now()) {
		return Side{}, false
	}
	return e.Side, true
}

// Known reports whether the table holds any side of a service, usable or not.
func (t *Table) Known(service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.index[service]) > 0
}

func (t *Table) filter(keep func(*entry, time.Time) bool) []Side {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var list []Side
	for _, e := range t.sides {
		if keep(e, now) {
			list = append(list, e.Side)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Host.Name < list[j].Host.Name })
	return list
}
