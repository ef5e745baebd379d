// Package hvhost keeps the ledger of one host: it admits task attempts and
// records their commitments and leases.
package hvhost

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

const (
	// defaultMaxAttempts bounds the attempts and unacknowledged reports of a host.
	// A host with 32 cores holds some tens of attempts; the rest is for reports
	// that wait for an owner during a long outage.
	defaultMaxAttempts = 4096
	// numberRetention is how long the number of an ended attempt is kept. It only
	// has to exceed the time for which a start message can be in flight; the lease
	// in that message is 10 s.
	numberRetention = 10 * time.Minute
)

// Config holds the limits of a ledger.
type Config struct {
	Capacity hv.Resources
	// MaxAttempts bounds the sum of held attempts and unacknowledged reports.
	MaxAttempts int
}

// Ledger records the attempts that one host holds, and the resources committed to
// them. It is safe for concurrent use.
type Ledger struct {
	clock      hv.Clock
	violations hv.ViolationReporter
	config     Config

	mu          sync.Mutex
	ready       bool
	draining    bool
	entries     map[string]*entry
	committed   hv.Resources
	epochs      map[int]int64
	lastNumbers map[string]admittedNumber
	// numberOrder lists the tasks in lastNumbers, roughly oldest first.
	numberOrder []string
	outbox      []Report
}

type phase int

const (
	starting phase = iota
	running
	stopping
)

// entry is an attempt that the host holds, at most one of each task.
type entry struct {
	run       hv.RunningAttempt
	phase     phase
	leaseEnd  time.Time
	startedAt time.Time
	// floor is the lower bound when the commitment shrinks with the measured use.
	floor      hv.Resources
	lastSample time.Time
	excess     hv.Resources
}

// admittedNumber is the highest number of an attempt of a task that was admitted,
// refused or reported as absent here.
type admittedNumber struct {
	number     int
	recordedAt time.Time
}

// New returns a ledger that admits no attempts before Recover has been called.
func New(config Config, clock hv.Clock, violations hv.ViolationReporter) *Ledger {
	if config.MaxAttempts <= 0 {
		config.MaxAttempts = defaultMaxAttempts
	}
	return &Ledger{
		clock:       clock,
		violations:  violations,
		config:      config,
		entries:     make(map[string]*entry),
		epochs:      make(map[int]int64),
		lastNumbers: make(map[string]admittedNumber),
	}
}

// Capacity returns the resources that the host can commit.
func (l *Ledger) Capacity() hv.Resources { return l.config.Capacity }

// Committed returns the sum of the commitments.
func (l *Ledger) Committed() hv.Resources {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.committed
}

// Held returns all attempts that the host holds, sorted by task, with the
// remaining time of their leases.
func (l *Ledger) Held() []hv.RunningAttempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	held := make([]hv.RunningAttempt, 0, len(l.entries))
	for _, e := range l.sorted() {
		r := e.run
		r.Lease = hv.Duration(max(0, e.leaseEnd.Sub(now)))
		held = append(held, r)
	}
	return held
}

func (l *Ledger) sorted() []*entry {
	all := slices.Collect(maps.Values(l.entries))
	slices.SortFunc(all, func(a, b *entry) int { return cmp.Compare(a.run.Task.ID, b.run.Task.ID) })
	return all
}

// Find returns a held attempt.
func (l *Ledger) Find(a hv.Attempt) (hv.RunningAttempt, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.find(a)
	if e == nil {
		return hv.RunningAttempt{}, false
	}
	return e.run, true
}

// SetShare records the share, in thousandths, to which an attempt was throttled.
func (l *Ledger) SetShare(a hv.Attempt, share int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.find(a); e != nil {
		e.run.Share = share
	}
}

func (l *Ledger) find(a hv.Attempt) *entry {
	e := l.entries[a.Task]
	if e == nil || e.run.Attempt != a {
		return nil
	}
	return e
}
