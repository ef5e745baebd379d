package hvtask

import (
	"fmt"
	"slices"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

// failureResetAfter is the run time of a service or watcher after which its
// earlier failures no longer count towards the backoff before its next attempt.
const failureResetAfter = 5 * time.Minute

func (s *Shard) submit(op Op) {
	if op.NewTask == nil || op.NewTask.Check() != nil || s.tasks[op.NewTask.ID] != nil {
		return
	}
	t := *op.NewTask
	if s.activeCount() >= s.limits.MaxActive || (op.FromSettings && t.Kind == hv.Job && !t.Deadline.After(s.recordTime)) {
		return
	}
	s.accepted++
	s.order++
	e := &Entry{Task: t, Checksum: Checksum(t), FromSettings: op.FromSettings, State: Queued, Submitted: s.recordTime, StateSince: s.recordTime, Order: s.order}
	s.tasks[t.ID] = e
	s.enqueue(e)
}

func (s *Shard) activeCount() int { return len(s.tasks) - len(s.terminal) }

func (s *Shard) cancel(op Op) {
	for _, id := range op.TaskIDs {
		if e := s.tasks[id]; e != nil && !e.State.Terminal() {
			s.setState(e, Canceled, op.Reason)
		}
	}
	if op.Label == "" {
		return
	}
	// The order of ends is part of the state, so tasks end in the order of
	// their identifiers.
	for _, id := range sortedKeys(s.tasks) {
		if e := s.tasks[id]; !e.State.Terminal() && e.hasLabel(op.Label) {
			s.setState(e, Canceled, op.Reason)
		}
	}
}

func (s *Shard) place(op Op) {
	e := s.tasks[op.TaskID]
	if e == nil || e.State != Queued || op.Number != e.Number+1 || op.Host == "" {
		return
	}
	e.Number = op.Number
	s.setPlacement(e, &Placement{Number: op.Number, Host: op.Host, SideIncarnation: op.SideIncarnation, Epoch: s.epoch, PlacedAt: s.recordTime})
	s.setState(e, Placed, "")
}

func (s *Shard) drop(op Op) {
	e := s.tasks[op.TaskID]
	if e == nil || e.State != Queued {
		return
	}
	if op.State == Impossible || (op.State == Failed && e.Task.Kind == hv.Job) {
		s.setState(e, op.State, op.Reason)
	}
}

// applyToAttempt applies an operation to the attempt that occupies a host.
func (s *Shard) applyToAttempt(e *Entry, op Op) {
	switch op.Op {
	case OpRun:
		s.recordStart(e)
	case OpRefuse:
		// An attempt that is known to have started cannot be refused.
		if e.Placement.StartedAt.IsZero() {
			s.endAttempt(e, Queued, op.Reason)
		}
	case OpEnd:
		s.recordEnd(e, op)
	case OpEvict:
		s.recordEviction(e, op)
	case OpLose:
		s.recordLoss(e, op)
	}
}

func (s *Shard) recordStart(e *Entry) {
	if !e.Placement.StartedAt.IsZero() {
		return
	}
	s.markStarted(e)
	if e.State == Placed {
		s.setState(e, Running, "")
	}
}

// markStarted records that the current attempt has started. The first attempt
// that starts after an eviction resumes the task.
func (s *Shard) markStarted(e *Entry) {
	if !e.Placement.StartedAt.IsZero() {
		return
	}
	started := *e.Placement
	started.StartedAt = s.recordTime
	e.Placement = &started
	if e.Evictions > e.Resumes {
		e.Resumes++
	}
	if e.Resumes != e.Evictions {
		s.violations(3, fmt.Sprintf("task %s has %d evictions but %d resumes", e.Task.ID, e.Evictions, e.Resumes))
	}
}

func (s *Shard) recordEnd(e *Entry, op Op) {
	if op.State != Done && op.State != Failed {
		return
	}
	s.markStarted(e)
	job := e.Task.Kind == hv.Job
	if op.State == Done && job {
		s.endAttempt(e, Done, op.Reason)
		return
	}
	// A service or watcher that ends by itself counts as failed.
	if !job && s.recordTime.Sub(e.Placement.StartedAt) >= failureResetAfter {
		e.Failures = 0
	}
	e.Failures++
	e.addFailedHost(e.Placement.Host)
	if e.Task.Once {
		s.endAttempt(e, Failed, op.Reason)
		return
	}
	s.endAttempt(e, Queued, fmt.Sprintf("attempt %d failed on host %s: %s", op.Number, e.Placement.Host, op.Reason))
}

func (s *Shard) recordEviction(e *Entry, op Op) {
	// Without a checkpoint, the next attempt of a task that may run only once
	// would be a second run.
	if e.Task.Once && op.Checkpoint == "" && !e.State.Terminal() {
		return
	}
	s.markStarted(e)
	if op.Checkpoint != "" {
		e.Checkpoint = op.Checkpoint
	}
	if !e.State.Terminal() {
		e.Evictions++
	}
	s.endAttempt(e, Queued, fmt.Sprintf("attempt %d was evicted from host %s: %s", op.Number, e.Placement.Host, op.Reason))
}

func (s *Shard) recordLoss(e *Entry, op Op) {
	if e.Task.Once && !(op.NeverStarted && e.Placement.StartedAt.IsZero()) {
		s.endAttempt(e, Unknown, fmt.Sprintf("attempt %d on host %s was lost after it may have started: %s", op.Number, e.Placement.Host, op.Reason))
		return
	}
	s.endAttempt(e, Queued, fmt.Sprintf("attempt %d on host %s was lost: %s", op.Number, e.Placement.Host, op.Reason))
}

// endAttempt frees the host of the current attempt and then sets the state of
// the task, unless the task is already terminal.
func (s *Shard) endAttempt(e *Entry, to State, reason string) {
	s.clearPlacement(e)
	if !e.State.Terminal() {
		s.setState(e, to, reason)
		return
	}
	s.startRetention(e)
}

// setState is the only place where the state of a task changes.
func (s *Shard) setState(e *Entry, to State, reason string) {
	if !slices.Contains(transitions[e.State], to) {
		s.violations(10, fmt.Sprintf("task %s moves from %s to %s", e.Task.ID, e.State, to))
		return
	}
	if e.State == Queued {
		s.dequeue(e)
	}
	e.State, e.StateSince = to, s.recordTime
	if reason != "" || to != Running {
		e.Reason = reason
	}
	switch {
	case to == Queued:
		s.enqueue(e)
	case to.Terminal() && e.Placement == nil:
		s.startRetention(e)
	}
	s.updateAwaitingStart(e)
}

// startRetention starts the retention period of a terminal task that occupies
// no host.
func (s *Shard) startRetention(e *Entry) {
	s.order++
	e.Order, e.StateSince = s.order, s.recordTime
	e.Task.Args = nil
	s.terminal = append(s.terminal, e)
}
