package hvcell

import (
	"time"

	"github.com/go-kit/log/level"

	"hibiscusvane.example/hibiscusvane/hvfair"
)

// lateDelay is how long work that cannot be complete by its cutoff waits until it gets
// turns before other work.
const lateDelay = 10 * time.Second

// giveLateTurn moves the late step whose turn it is before all others that are not
// long-running.
func (c *Cell) giveLateTurn(now time.Time, list []candidate) {
	first, chosen := -1, -1
	for i, cand := range list {
		if cand.longRunning {
			continue
		}
		if first < 0 {
			first = i
		}
		s := cand.step
		if cand.usefulness != notUseful || !s.hasWaitedLate(now) {
			continue
		}
		if chosen < 0 || s.sharing.lastTurn.Before(list[chosen].step.sharing.lastTurn) {
			chosen = i
		}
	}
	if chosen < 0 || list[first].usefulness == notUseful {
		c.sharing.turns = hvfair.LateTurns{}
		return
	}
	c.sharing.lateWaits = true
	if c.sharing.turns.Due() == 0 {
		return
	}
	cand := list[chosen]
	copy(list[first+1:chosen+1], list[first:chosen])
	list[first] = cand
	c.sharing.late = cand.step
}

// hasWaitedLate reports whether a step has waited long enough for turns of late work. One
// of which a task was preempted has waited before.
func (s *step) hasWaitedLate(now time.Time) bool {
	since := s.sharing.since
	return !since.IsZero() && (now.Sub(since) >= lateDelay || s.exemptWaiting() > 0)
}

// logLateTurn records a turn in which a late step has started tasks.
func (c *Cell) logLateTurn(now time.Time, s *step, started int) {
	if started == 0 {
		return
	}
	c.counts.LateTurns += int64(started)
	s.sharing.lastTurn = now
	_ = level.Info(c.options.Logger).Log("msg", "late work that has waited long gets a turn before other work", "job", s.round.job.ID, "step", s.index, "tasks", started, "waited", now.Sub(s.sharing.since))
}
