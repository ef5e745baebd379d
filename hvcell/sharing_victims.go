package hvcell

import (
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvfair"
	"hibiscusvane.example/hibiscusvane/hvjob"
	"hibiscusvane.example/hibiscusvane/hvorder"
)

const (
	// disruptionTime is how long a long-running task has to work again before it counts as
	// available.
	disruptionTime = 5500 * time.Millisecond
	// minVictimAge is the age from which a run may be preempted. The start of a younger one
	// may not have been carried out, and the stop would make the host refuse it.
	minVictimAge = 100 * time.Millisecond
)

// isVictim reports whether a task may stop a run.
func (c *Cell) isVictim(now time.Time, t *task, r *run) bool {
	s := r.task.step
	if r.phase != phaseActive || r.task.exempt || now.Sub(r.started) < minVictimAge {
		return false
	}
	if s.round.job.queue.Priority <= t.step.round.job.queue.Priority {
		return false
	}
	if a := r.account.parent.parent; a.position() < 1 {
		// Its queue waits too and does not use all of its floor.
		return false
	}
	if s.spec.LongRunning {
		return true
	}
	// A run that ends within the time of the stop is left to end.
	rest, _ := c.remaining(now, r)
	return rest > c.options.Policy.StopTime
}

// stoppedWith returns the runs that a stop of a run ends: of a gang, all members. It
// returns nil for a member of a gang if another one is not a victim or is on another host,
// and for all members but one.
func (c *Cell) stoppedWith(now time.Time, t *task, r *run) []*run {
	if !r.task.step.spec.Gang {
		return []*run{r}
	}
	var out []*run
	for _, member := range r.task.step.tasks {
		for _, other := range member.runs {
			if other.host != r.host || !c.isVictim(now, t, other) {
				return nil
			}
			out = append(out, other)
		}
	}
	if out[0] != r {
		return nil
	}
	return out
}

// withinBudget reports whether that many more tasks of a step may become unavailable.
// budgets holds what is left of the budgets of long-running steps.
func (c *Cell) withinBudget(now time.Time, s *step, tasks int, budgets map[*step]int) bool {
	if !s.spec.LongRunning {
		return true
	}
	if _, ok := budgets[s]; !ok {
		budgets[s] = s.spec.DisruptionBudget - c.unavailable(now, s)
	}
	if budgets[s] < tasks {
		return false
	}
	budgets[s] -= tasks
	return true
}

// unavailable returns the number of tasks of a long-running step that do not work, or
// have worked for less than disruptionTime.
func (c *Cell) unavailable(now time.Time, s *step) int {
	n := len(s.tasks)
	for _, t := range s.tasks {
		for _, r := range t.runs {
			if r.phase == phaseActive && now.Sub(r.started) >= disruptionTime+c.options.Policy.RestoreTime {
				n--
				break
			}
		}
	}
	return n
}

// loss returns the work that is lost if a run is stopped, in core-seconds: the time of the
// stop, and either the work since the last saved state and the time to resume from it, or
// all of its work.
func (c *Cell) loss(now time.Time, r *run) float64 {
	s, p := r.task.step.spec, c.options.Policy
	lost := p.StopTime
	switch {
	case s.Checkpoint:
		since := r.started
		if r.savedAt.After(since) {
			since = r.savedAt
		}
		lost += p.RestoreTime + min(now.Sub(since), p.CheckpointInterval)
	case r.adopted:
		// An earlier owner started it, at the earliest when the job was submitted.
		lost += now.Sub(time.UnixMilli(r.task.step.round.job.Submitted))
	default:
		lost += now.Sub(r.started)
	}
	if s.LongRunning {
		lost += disruptionTime
	}
	return lost.Seconds() * cores(s.Need)
}

// markSaved records when runs wrote new saved states.
func (c *Cell) markSaved(now time.Time, h *host, rows []hv.RunState) {
	if !c.options.Policy.Sharing {
		return
	}
	for _, row := range rows {
		if r := h.runs[hvorder.Run{Task: row.Task, Run: row.Run}]; r != nil && row.SavedState != "" && row.SavedState != r.saved {
			r.savedAt = now
		}
	}
}

// freeAmount returns what a step may use of a host now.
func (c *Cell) freeAmount(s *step, h *host) hvfair.Amount {
	free := s.available(h)
	return hvfair.Amount{free.CPU, free.Memory, free.GPU, h.unusedCPU() - h.bestEffortCPU}
}

// freedBy returns what the end of a run frees, and its start takes. Best-effort tasks use
// processors that are not allocated, and serving tasks leave a part of theirs to them.
func freedBy(s *hvjob.Step) hvfair.Amount {
	a := s.Allocation()
	unallocated := a.CPU
	switch {
	case s.BestEffort:
		unallocated = s.Need.CPU
	case s.LatencyTarget > 0:
		unallocated -= int64(float64(a.CPU) * (1 - servingUtilization))
	}
	return hvfair.Amount{a.CPU, a.Memory, a.GPU, unallocated}
}

// shortfall returns what is missing of the need of a task of a step.
func shortfall(s *step, free hvfair.Amount) hvfair.Amount {
	a := s.spec.Allocation()
	missing := hvfair.Amount{a.CPU, a.Memory, a.GPU}.Sub(free)
	missing[hvfair.Dimensions-1] = 0
	if s.spec.BestEffort {
		missing[hvfair.Dimensions-1] = s.spec.Need.CPU - free[hvfair.Dimensions-1]
	}
	for i := range missing {
		missing[i] = max(missing[i], 0)
	}
	return missing
}
