package hvcell

import (
	"slices"
	"time"

	"hibiscusvane.example/hibiscusvane/hvorder"
)

// relocationCPU returns the processors in use, and those that copies and moves take.
func (c *Cell) relocationCPU(now time.Time) (used, taken int64) {
	for _, h := range c.hosts {
		for _, r := range h.runs {
			cpu := r.task.step.spec.Need.CPU
			used += cpu
			if i := slices.Index(r.task.runs, r); i > 0 {
				taken += cpu
			}
		}
	}
	c.moves = slices.DeleteFunc(c.moves, func(t *task) bool { return c.findTask(t.name) != t || !t.isMoving(now, c.options.Policy.RestoreTime) })
	for _, t := range c.moves {
		taken += t.step.spec.Need.CPU
	}
	return used, taken
}

// isMoving reports whether a task whose run was stopped has not resumed yet.
func (t *task) isMoving(now time.Time, restore time.Duration) bool {
	if t.done {
		return false
	}
	return !slices.ContainsFunc(t.runs, func(r *run) bool { return r.phase == phaseActive && now.Sub(r.started) >= restore })
}

// waitingPriorities holds the smallest priority number of the tasks that wait for
// capacity, by service.
type waitingPriorities map[string]int

// waitingPriorities returns which tasks wait for capacity.
func (c *Cell) waitingPriorities(now time.Time) waitingPriorities {
	out := waitingPriorities{}
	for _, j := range c.jobs {
		for _, r := range j.rounds {
			if j.Repetitions > 0 && now.Add(c.options.EarlyStart/2).UnixMilli() < r.due {
				continue
			}
			for _, s := range r.steps {
				if old, ok := out[j.queue.Service]; s.ready && s.waiting > 0 && (!ok || j.queue.Priority < old) {
					out[j.queue.Service] = j.queue.Priority
				}
			}
		}
	}
	return out
}

// has reports whether tasks of the queue of a step or of a more urgent one wait.
func (w waitingPriorities) has(s *step) bool {
	q := s.round.job.queue
	first, ok := w[q.Service]
	return ok && first <= q.Priority
}

// stopAll stops all runs of a task. A start that its node has not been sent is removed: a
// second run is not started once the end of the first was processed.
func (c *Cell) stopAll(t *task) {
	for _, r := range slices.Clone(t.runs) {
		starts := r.host.orders.Starts
		i := slices.IndexFunc(starts, func(s hvorder.Start) bool { return s.Run == r.ref() })
		if i < 0 || !c.options.Policy.Tail {
			c.stopRun(r)
			continue
		}
		r.host.orders.Starts = slices.Delete(starts, i, i+1)
		c.releaseRun(r)
	}
}
