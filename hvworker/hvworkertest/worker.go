// Package hvworkertest provides a fake platform worker. It runs fake tasks under
// leases and records when each attempt ran.
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
	// maxAttempts bounds the attempts that a worker holds.
	maxAttempts = 2048
	// maxIntervals bounds the history of ended attempts.
	maxIntervals = 1 << 16
	fullShare    = 1000
)

// Options describe a worker.
type Options struct {
	Capacity hv.Resources
	// UsageLag is the age of usage reports.
	UsageLag time.Duration
	// UsageFactor is the measured usage as a multiple of the simulated one; 0
	// means 1.
	UsageFactor float64
}

// Worker runs fake tasks. Each call first advances the state to the time of the
// clock, so that the worker needs no goroutine and works with any clock.
type Worker struct {
	clock   hv.Clock
	options Options

	mu      sync.Mutex
	faults  Faults
	tasks   map[string]*task
	history []Interval
}

// Interval is the time during which an attempt ran.
type Interval struct {
	Attempt    hv.Attempt `json:"attempt"`
	Host       string     `json:"host,omitempty"`
	Checkpoint string     `json:"from,omitempty"`
	Begin      time.Time  `json:"begin"`
	// End is zero while the attempt runs.
	End time.Time `json:"end,omitzero"`
	// Reason is why the attempt ended: done, failed, stopped or lapsed, which means
	// that its lease expired.
	Reason string `json:"why,omitempty"`
}

// task is one attempt. Its progress is the equivalent run time at full share.
type task struct {
	attempt         hv.RunningAttempt
	behavior        behavior
	progress        time.Duration
	startTime       time.Time
	advancedTo      time.Time
	leaseEnd        time.Time
	startCheckpoint string
	shareHistory    []shareChange
}

type shareChange struct {
	time  time.Time
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
		return errorf(hv.Expired, "lease: got %d ms, want more than 0", s.LeaseMillis)
	}
	if len(w.tasks) >= maxAttempts {
		return errorf(hv.Full, "worker already holds %d attempts", len(w.tasks))
	}
	p, err := parseProgram(s.Task)
	if err != nil {
		return err
	}
	now := w.clock.Now()
	t := &task{
		behavior: p, startTime: now, advancedTo: now, startCheckpoint: s.Checkpoint, progress: parseProgress(s.Checkpoint),
		leaseEnd: now.Add(time.Duration(s.LeaseMillis) * time.Millisecond),
		attempt: hv.RunningAttempt{
			Attempt: a, Task: s.Task, Shard: s.Shard, Epoch: s.Epoch, Committed: s.Committed,
			State: hv.StateRunning, Checkpoint: s.Checkpoint, Share: fullShare,
		},
		shareHistory: []shareChange{{now, fullShare}},
	}
	w.tasks[id] = t
	if w.faults.FailTasks {
		w.end(t, now, hv.StateFailed, "fault injected: every task fails")
	}
	return nil
}

// advance advances all running tasks to the current time.
func (w *Worker) advance() {
	now := w.clock.Now()
	for _, id := range slices.Sorted(maps.Keys(w.tasks)) {
		t := w.tasks[id]
		if t.attempt.State == hv.StateRunning {
			w.advanceTask(id, t, now)
		}
	}
}

// advanceTask advances a task until now, its end or the end of its lease, whichever
// comes first.
func (w *Worker) advanceTask(id string, t *task, now time.Time) {
	target := now
	if t.leaseEnd.Before(target) {
		target = t.leaseEnd
	}
	remaining := t.behavior.duration - t.progress
	untilEnd := time.Duration(float64(remaining) * fullShare / float64(max(t.attempt.Share, 1)))
	if t.behavior.duration > 0 && target.Sub(t.advancedTo) >= untilEnd {
		w.end(t, t.advancedTo.Add(max(untilEnd, 0)), t.behavior.endState, t.behavior.endReason)
		return
	}
	t.progress += target.Sub(t.advancedTo) * time.Duration(t.attempt.Share) / fullShare
	t.advancedTo = target
	if !now.Before(t.leaseEnd) {
		w.recordInterval(t, t.leaseEnd, "lapsed")
		delete(w.tasks, id)
	}
}

func (w *Worker) end(t *task, at time.Time, state, reason string) {
	t.attempt.State, t.attempt.Reason = state, reason
	w.recordInterval(t, at, state)
}

func (w *Worker) recordInterval(t *task, end time.Time, reason string) {
	if len(w.history) < maxIntervals {
		w.history = append(w.history, Interval{Attempt: t.attempt.Attempt, Checkpoint: t.startCheckpoint, Begin: t.startTime, End: end, Reason: reason})
	}
}

func (w *Worker) stop(id string) {
	if t := w.tasks[id]; t != nil && t.attempt.State == hv.StateRunning {
		w.recordInterval(t, w.clock.Now(), "stopped")
	}
	delete(w.tasks, id)
}

func (w *Worker) listAttempts() []hv.RunningAttempt {
	now := w.clock.Now()
	all := []hv.RunningAttempt{}
	for _, id := range slices.Sorted(maps.Keys(w.tasks)) {
		r := w.tasks[id].attempt
		r.Lease = hv.Duration(max(0, w.tasks[id].leaseEnd.Sub(now)))
		all = append(all, r)
	}
	return all
}

// History returns when each attempt ran, including those that are still running.
func (w *Worker) History() []Interval {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	all := slices.Clone(w.history)
	for _, id := range slices.Sorted(maps.Keys(w.tasks)) {
		if t := w.tasks[id]; t.attempt.State == hv.StateRunning {
			all = append(all, Interval{Attempt: t.attempt.Attempt, Checkpoint: t.startCheckpoint, Begin: t.startTime})
		}
	}
	return all
}

// Overlaps describes each attempt that began before the previous attempt of the
// same task had ended, given the histories of all workers.
func Overlaps(history ...[]Interval) []string {
	byTask := map[string][]Interval{}
	for _, i := range slices.Concat(history...) {
		byTask[i.Attempt.Task] = append(byTask[i.Attempt.Task], i)
	}
	var overlaps []string
	for _, name := range slices.Sorted(maps.Keys(byTask)) {
		all := byTask[name]
		slices.SortFunc(all, func(a, b Interval) int { return a.Begin.Compare(b.Begin) })
		for i := 1; i < len(all); i++ {
			if previous := all[i-1]; previous.End.IsZero() || previous.End.After(all[i].Begin) {
				overlaps = append(overlaps, fmt.Sprintf("%s and %s overlap at %s", previous.Attempt, all[i].Attempt, all[i].Begin))
			}
		}
	}
	return overlaps
}

// parseProgress returns the progress that a checkpoint records, or 0 if it is not
// valid.
func parseProgress(checkpoint string) time.Duration {
	text, _ := strings.CutPrefix(checkpoint, checkpointPrefix)
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 {
		return 0
	}
	return d
}

const checkpointPrefix = "progress="
