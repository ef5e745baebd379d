// Package hvworkertest is a stand-in for the platform worker. It runs fake
// tasks under leases and records when each attempt ran.
package hvworkertest

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvworker"
)

const (
	// maxTasks bounds the attempts that a worker lists.
	maxTasks = 2048
	// maxIntervals bounds the record of past runs.
	maxIntervals = 1 << 16
	fullShare    = 1000
)

// Options describe a worker.
type Options struct {
	Capacity hv.Resources
	// UsageLag is the age of usage reports.
	UsageLag time.Duration
	// UsageFactor is the measured use as a multiple of the declared size.
	UsageFactor float64
}

// Worker runs fake tasks. The state is brought up to the time of the clock
// with each call, so that it needs no goroutine and works with any clock.
type Worker struct {
	clock   hv.Clock
	options Options

	mu     sync.Mutex
	faults Faults
	tasks  map[string]*task
	past   []Interval
}

// Interval is the time during which an attempt ran.
type Interval struct {
	Attempt    hv.Attempt `json:"attempt"`
	Host       string     `json:"host,omitempty"`
	Checkpoint string     `json:"from,omitempty"`
	Begin      time.Time  `json:"begin"`
	// End is zero while the attempt runs.
	End time.Time `json:"end,omitzero"`
	// Reason is done, failed, stopped or lapsed.
	Reason string `json:"why,omitempty"`
}

// task is one attempt. Progress is the run time at full share.
type task struct {
	run      hv.RunningAttempt
	program  program
	progress time.Duration
	began    time.Time
	seen     time.Time
	lease    time.Time
	from     string
	shares   []shareAt
}

type shareAt struct {
	at    time.Time
	share int
}

// New returns a worker without tasks.
func New(o Options, clock hv.Clock) *Worker {
	if o.UsageFactor == 0 {
		o.UsageFactor = 1
	}
	return &Worker{clock: clock, options: o, tasks: map[string]*task{}}
}

func (w *Worker) start(id string, s hvworker.StartRequest) error {
	a, err := hv.ParseAttempt(id)
	if err != nil || a.Task != s.Task.ID {
		return errorf(hv.Invalid, "id: %q does not name an attempt of task %q", id, s.Task.ID)
	}
	if w.tasks[id] != nil {
		return nil
	}
	if s.LeaseMillis <= 0 {
		return errorf(hv.Expired, "lease: %d ms", s.LeaseMillis)
	}
	if len(w.tasks) >= maxTasks {
		return errorf(hv.Full, "%d attempts", len(w.tasks))
	}
	p, err := programOf(s.Task)
	if err != nil {
		return err
	}
	now := w.clock.Now()
	t := &task{
		program: p, began: now, seen: now, from: s.Checkpoint, progress: progressOf(s.Checkpoint),
		lease: now.Add(time.Duration(s.LeaseMillis) * time.Millisecond),
		run: hv.RunningAttempt{
			Attempt: a, Task: s.Task, Shard: s.Shard, Epoch: s.Epoch, Committed: s.Committed,
			State: hv.StateRunning, Checkpoint: s.Checkpoint, Share: fullShare,
		},
		shares: []shareAt{{now, fullShare}},
	}
	w.tasks[id] = t
	if w.faults.FailTasks {
		w.end(t, now, hv.StateFailed, "the worker fails everything")
	}
	return nil
}

// advance brings all tasks up to the present.
func (w *Worker) advance() {
	now := w.clock.Now()
	for _, id := range slices.Sorted(maps.Keys(w.tasks)) {
		t := w.tasks[id]
		if t.run.State == hv.StateRunning {
			w.step(id, t, now)
		}
	}
}

// step lets a task run until now, its end or the end of its lease.
func (w *Worker) step(id string, t *task, now time.Time) {
	until := now
	if t.lease.Before(until) {
		until = t.lease
	}
	left := t.program.length - t.progress
	need := time.Duration(float64(left) * fullShare / float64(max(t.run.Share, 1)))
	if t.program.length > 0 && until.Sub(t.seen) >= need {
		w.end(t, t.seen.Add(max(need, 0)), t.program.state, t.program.reason)
		return
	}
	t.progress += until.Sub(t.seen) * time.Duration(t.run.Share) / fullShare
	t.seen = until
	if !now.Before(t.lease) {
		w.record(t, t.lease, "lapsed")
		delete(w.tasks, id)
	}
}

func (w *Worker) end(t *task, at time.Time, state, reason string) {
	t.run.State, t.run.Reason = state, reason
	w.record(t, at, state)
}

func (w *Worker) record(t *task, end time.Time, why string) {
	if len(w.past) < maxIntervals {
		w.past = append(w.past, Interval{Attempt: t.run.Attempt, Checkpoint: t.from, Begin: t.began, End: end, Reason: why})
	}
}

func (w *Worker) stop(id string) {
	if t := w.tasks[id]; t != nil && t.run.State == hv.StateRunning {
		w.record(t, w.clock.Now(), "stopped")
	}
	delete(w.tasks, id)
}

func (w *Worker) list() []hv.RunningAttempt {
	now := w.clock.Now()
	all := []hv.RunningAttempt{}
	for _, id := range slices.Sorted(maps.Keys(w.tasks)) {
		r := w.tasks[id].run
		r.Lease = hv.Duration(max(0, w.tasks[id].lease.Sub(now)))
		all = append(all, r)
	}
	return all
}

// History returns when each attempt ran, running ones included.
func (w *Worker) History() []Interval {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	all := slices.Clone(w.past)
	for _, id := range slices.Sorted(maps.Keys(w.tasks)) {
		if t := w.tasks[id]; t.run.State == hv.StateRunning {
			all = append(all, Interval{Attempt: t.run.Attempt, Checkpoint: t.from, Begin: t.began})
		}
	}
	return all
}

// Overlaps describes each pair of attempts of one task that ran at the same
// time, on any of several workers.
func Overlaps(history ...[]Interval) []string {
	byTask := map[string][]Interval{}
	for _, i := range slices.Concat(history...) {
		byTask[i.Attempt.Task] = append(byTask[i.Attempt.Task], i)
	}
	var found []string
	for _, name := range slices.Sorted(maps.Keys(byTask)) {
		all := byTask[name]
		slices.SortFunc(all, func(a, b Interval) int { return a.Begin.Compare(b.Begin) })
		for i := 1; i < len(all); i++ {
			if before := all[i-1]; before.End.IsZero() || before.End.After(all[i].Begin) {
				found = append(found, fmt.Sprintf("%s and %s overlap at %s", before.Attempt, all[i].Attempt, all[i].Begin))
			}
		}
	}
	return found
}

// progressOf reads a checkpoint.
func progressOf(checkpoint string) time.Duration {
	text, _ := strings.CutPrefix(checkpoint, checkpointPrefix)
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 {
		return 0
	}
	return d
}

const checkpointPrefix = "progress="
