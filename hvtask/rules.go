package hvtask

import (
	"fmt"
	"slices"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

// longRun is the run after which earlier failures of a service or watcher no
// longer lengthen the pause before its next attempt.
const longRun = 5 * time.Minute

func (s *Shard) submit(op Op) {
	if op.Body == nil || op.Body.Check() != nil || s.tasks[op.Body.ID] != nil {
		return
	}
	t := *op.Body
	if s.active() >= s.limits.MaxActive || (op.FromSettings && t.Kind == hv.Job && !t.Deadline.After(s.now)) {
		return
	}
	s.accepted++
	s.order++
	e := &Entry{Task: t, Checksum: Checksum(t), FromSettings: op.FromSettings, State: Queued, Submitted: s.now, Since: s.now, Order: s.order}
	s.tasks[t.ID] = e
	s.enqueue(e)
}

func (s *Shard) active() int { return len(s.tasks) - len(s.ended) }

func (s *Shard) cancel(op Op) {
	for _, id := range op.Tasks {
		if e := s.tasks[id]; e != nil && !e.State.Terminal() {
			s.move(e, Canceled, op.Reason)
		}
	}
	if op.Label == "" {
		return
	}
	// In order of identifiers, as the order of ends is part of the state.
	for _, id := range sortedKeys(s.tasks) {
		if e := s.tasks[id]; !e.State.Terminal() && e.has(op.Label) {
			s.move(e, Canceled, op.Reason)
		}
	}
}

func (s *Shard) place(op Op) {
	e := s.tasks[op.Task]
	if e == nil || e.State != Queued || op.Number != e.Number+1 || op.Host == "" {
		return
	}
	e.Number = op.Number
	s.hold(e, &Placement{Number: op.Number, Host: op.Host, SideIncarnation: op.SideIncarnation, Epoch: s.epoch, PlacedAt: s.now})
	s.move(e, Placed, "")
}

func (s *Shard) drop(op Op) {
	e := s.tasks[op.Task]
	if e == nil || e.State != Queued {
		return
	}
	if op.State == Impossible || (op.State == Failed && e.Task.Kind == hv.Job) {
		s.move(e, op.State, op.Reason)
	}
}

// attempt applies an operation to the attempt that holds a host.
func (s *Shard) attempt(e *Entry, op Op) {
	switch op.Op {
	case OpRun:
		s.run(e)
	case OpRefuse:
		// An attempt that is known to have run cannot be refused.
		if e.Placement.StartedAt.IsZero() {
			s.vacate(e, Queued, op.Reason)
		}
	case OpEnd:
		s.end(e, op)
	case OpEvict:
		s.evict(e, op)
	case OpLose:
		s.lose(e, op)
	}
}

func (s *Shard) run(e *Entry) {
	if !e.Placement.StartedAt.IsZero() {
		return
	}
	s.started(e)
	if e.State == Placed {
		s.move(e, Running, "")
	}
}

// started notes that the current attempt has run. The first such attempt after
// an eviction resumes it.
func (s *Shard) started(e *Entry) {
	if !e.Placement.StartedAt.IsZero() {
		return
	}
	ran := *e.Placement
	ran.StartedAt = s.now
	e.Placement = &ran
	if e.Evictions > e.Resumes {
		e.Resumes++
	}
	if e.Resumes != e.Evictions {
		s.violations(3, fmt.Sprintf("task %s has %d evictions but %d resumes", e.Task.ID, e.Evictions, e.Resumes))
	}
}

func (s *Shard) end(e *Entry, op Op) {
	if op.State != Done && op.State != Failed {
		return
	}
	s.started(e)
	job := e.Task.Kind == hv.Job
	if op.State == Done && job {
		s.vacate(e, Done, op.Reason)
		return
	}
	// A service or watcher that ends by itself has failed.
	if !job && s.now.Sub(e.Placement.StartedAt) >= longRun {
		e.Failures = 0
	}
	e.Failures++
	e.failedOn(e.Placement.Host)
	if e.Task.Once {
		s.vacate(e, Failed, op.Reason)
		return
	}
	s.vacate(e, Queued, fmt.Sprintf("attempt %d failed on host %s: %s", op.Number, e.Placement.Host, op.Reason))
}

func (s *Shard) evict(e *Entry, op Op) {
	// Without a checkpoint another attempt of such a task would be a second run.
	if e.Task.Once && op.Checkpoint == "" && !e.State.Terminal() {
		return
	}
	s.started(e)
	if op.Checkpoint != "" {
		e.Checkpoint = op.Checkpoint
	}
	if !e.State.Terminal() {
		e.Evictions++
	}
	s.vacate(e, Queued, fmt.Sprintf("attempt %d was evicted from host %s: %s", op.Number, e.Placement.Host, op.Reason))
}

func (s *Shard) lose(e *Entry, op Op) {
	if e.Task.Once && !(op.NeverStarted && e.Placement.StartedAt.IsZero()) {
		s.vacate(e, Unknown, fmt.Sprintf("attempt %d on host %s was lost after it may have started: %s", op.Number, e.Placement.Host, op.Reason))
		return
	}
	s.vacate(e, Queued, fmt.Sprintf("attempt %d on host %s was lost: %s", op.Number, e.Placement.Host, op.Reason))
}

// vacate ends the hold of the current attempt and then moves the task, unless
// the task has ended before its attempt.
func (s *Shard) vacate(e *Entry, to State, reason string) {
	s.unhold(e)
	if !e.State.Terminal() {
		s.move(e, to, reason)
		return
	}
	s.retire(e)
}

// move is the only place where the state of a task changes.
func (s *Shard) move(e *Entry, to State, reason string) {
	if !slices.Contains(next[e.State], to) {
		s.violations(10, fmt.Sprintf("task %s moves from %s to %s", e.Task.ID, e.State, to))
		return
	}
	if e.State == Queued {
		s.dequeue(e)
	}
	e.State, e.Since = to, s.now
	if reason != "" || to != Running {
		e.Reason = reason
	}
	switch {
	case to == Queued:
		s.enqueue(e)
	case to.Terminal() && e.Placement == nil:
		s.retire(e)
	}
	s.reindexPlaced(e)
}

// retire begins the retention of a terminal task that holds no host.
func (s *Shard) retire(e *Entry) {
	s.order++
	e.Order, e.Since = s.order, s.now
	e.Task.Args = nil
	s.ended = append(s.ended, e)
}
