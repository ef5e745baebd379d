// Package hvmember keeps the membership of sides and gates.
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
	// HeartbeatTimeout is the time without heartbeats after which a side or gate is
	// out. It is the design's figure and three times the beat interval.
	HeartbeatTimeout = 3 * time.Second
	// maxFailedCalls calls in a row take a side out until its next heartbeat.
	maxFailedCalls = 3
	// maxSides bounds the table; the design's fleet has 790 workers.
	maxSides = 4096
	// maxReplaced bounds the replaced incarnations remembered per host.
	maxReplaced = 8
	// removeAfter is when a side that is out is dropped from the table.
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

// Side is a copy of what is known about one side.
type Side struct {
	hvwire.Announce
	// Heartbeat is the last heartbeat, empty before the first.
	Heartbeat hvwire.Heartbeat
	Conn      Conn
	// LastSeen is the time of the last announcement or heartbeat.
	LastSeen time.Time
	// LeavingSince is when the side said that it leaves, zero before that.
	LeavingSince time.Time
}

type entry struct {
	Side
	// cached is the snapshot of Side for requests, nil after a change.
	cached         *Side
	connectionLost bool
	failedCalls    int
	replaced       []string
}

// Table holds the members. Its methods may be called from any goroutine.
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

// Changed receives a value after announcements, departures and losses; several
// changes may share one. Silence is found by asking, not by an event.
func (t *Table) Changed() <-chan struct{} { return t.changed }

func (t *Table) notify() {
	select {
	case t.changed <- struct{}{}:
	default:
	}
}

// alive reports whether the process is there, leaving or not.
func (e *entry) alive(now time.Time) bool {
	return !e.connectionLost && now.Sub(e.LastSeen) < HeartbeatTimeout
}

// usable reports whether the side takes new work.
func (e *entry) usable(now time.Time) bool {
	return e.alive(now) && e.LeavingSince.IsZero() && e.failedCalls < maxFailedCalls
}

// Usable returns the sides of a service that take new work, sorted by host.
// The sides are shared and must not be changed.
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

// Alive returns all sides that are there, including leaving ones.
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

// FindIncarnation returns the live side of an incarnation.
func (t *Table) FindIncarnation(incarnation string) (Side, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.sides[t.hostByIncarnation[incarnation]]
	if e == nil || !e.alive(t.clock.Now()) {
		return Side{}, false
	}
	return e.Side, true
}

// Known reports whether any side of a service is in the table, usable or not.
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
