package hvcell

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/go-kit/log/level"
)

const (
	// maxRelocations is how often a task is moved or copied: a task that is slow on three
	// hosts is slow by itself.
	maxRelocations = 2
	// relocationShare is the divisor of the processors in use that copies and moves take
	// together at most.
	relocationShare = 10
	// restartFraction is the divisor of the remaining time up to which a run without
	// checkpoints may be old to be restarted.
	restartFraction = 4
)

// relocation is what is done about a slow run.
type relocation int

const (
	// leave leaves the run alone.
	leave relocation = iota
	// copyRun starts a second run beside it.
	copyRun
	// moveRun stops it; the next run resumes from the state saved at the stop.
	moveRun
	// restartRun stops it; the next run begins anew.
	restartRun
)

// checkTails moves or copies runs that hold up their step because their host is slow.
func (c *Cell) checkTails(now time.Time) {
	if !c.options.Policy.Tail || c.suspended || !c.recovered {
		return
	}
	list := c.slowRuns(now)
	if len(list) == 0 {
		return
	}
	used, taken := c.relocationCPU(now)
	waiting := c.waitingPriorities(now)
	hosts := slices.DeleteFunc(c.usable(now), c.paces.isSlow)
	for _, s := range list {
		cpu := s.task.step.spec.Need.CPU
		if relocationShare*(taken+cpu) > used {
			continue
		}
		action := c.relocationOf(now, s)
		if waiting.has(s.task.step) && (action == copyRun || s.usefulness != usefulInTime) {
			// The waiting tasks need the capacity. A move gives back what it takes, but work
			// that leaves throttled hosts takes more of the others.
			continue
		}
		if c.relocate(now, s, action, hosts) {
			taken += cpu
		}
	}
}

// slowRuns returns the runs that their host slows and that may be relocated: first those
// of rounds that can still be in time, and of these those of the steps with the fewest
// tasks to go.
func (c *Cell) slowRuns(now time.Time) []slowRun {
	var list []slowRun
	for _, h := range c.hosts {
		for _, r := range h.runs {
			if r.phase != phaseActive || !r.task.step.hasTail() {
				continue
			}
			if s, ok := c.paces.slowRun(r); ok && c.isRelocatable(now, r) {
				step := r.task.step
				s.usefulness, s.unfinished = c.usefulness(now, step.round), len(step.tasks)-step.done
				list = append(list, s)
			}
		}
	}
	slices.SortFunc(list, func(a, b slowRun) int {
		return cmp.Or(cmp.Compare(a.usefulness, b.usefulness), cmp.Compare(a.unfinished, b.unfinished), cmp.Compare(b.here, a.here), cmp.Compare(a.task.name, b.task.name))
	})
	return list
}

// isRelocatable reports whether a run may be moved or copied. Tasks that may crash
// their host go to no more hosts than they must.
func (c *Cell) isRelocatable(now time.Time, r *run) bool {
	t := r.task
	return r.phase == phaseActive && t.step.hasTail() && len(t.runs) == 1 && !t.done && t.relocations < maxRelocations &&
		!now.Before(t.notBefore) && !t.step.isRisky() && len(t.crashRecord().Runs)+len(t.crashRecord().Unconfirmed) == 0 && c.findTask(t.name) == t
}

// relocationOf returns what pays for a slow run: the time until the task would be done
// on another host must be shorter than that on its own by the error of the two. The age of
// an adopted run, whose work a restart would lose, is not known.
func (c *Cell) relocationOf(now time.Time, s slowRun) relocation {
	policy, spec := c.options.Policy, s.task.step.spec
	rest, whole := atSpeed(s.left, s.full), atSpeed(fullPercent, s.full)
	pays := func(cost, elsewhere time.Duration) bool {
		margin := math.Hypot(float64(s.deviation), measuredError*float64(elsewhere))
		return cost+elsewhere+time.Duration(margin) < s.here
	}
	switch {
	case spec.Speculative && s.task.maySpareAttempt():
		if spec.Checkpoint && s.saved != "" {
			if pays(policy.RestoreTime+policy.CheckpointInterval, rest) {
				return copyRun
			}
		} else if pays(0, whole) {
			return copyRun
		}
	case spec.Checkpoint:
		if pays(policy.StopTime+policy.RestoreTime, rest) {
			return moveRun
		}
	case !s.adopted && restartFraction*now.Sub(s.started) <= s.here && pays(policy.StopTime, whole):
		return restartRun
	}
	return leave
}

// maySpareAttempt reports whether one more failed run would not fail the job, which the
// first run may still complete.
func (t *task) maySpareAttempt() bool {
	limit := t.step.round.job.queue.MaxAttempts
	return limit <= 0 || len(t.progress().FailedRuns[t.index])+1 < limit
}

// relocate carries out an action if another host has capacity for the task, and reports
// whether it did.
func (c *Cell) relocate(now time.Time, s slowRun, action relocation, hosts []*host) bool {
	if action == leave || action != copyRun && now.Sub(s.host.lastMigration) < migrationInterval {
		return false
	}
	t, from := s.task, s.host
	to := c.pickHost(now, t, slices.DeleteFunc(slices.Clone(hosts), func(h *host) bool { return h == from || h.quarantined || t.avoidedHosts[h.name] }))
	if to == nil {
		return false
	}
	t.relocations++
	t.avoidHost(now, from)
	if action == copyRun {
		c.counts.Copies++
		_ = level.Info(c.options.Logger).Log("msg", "slow run gets a second run on another host", "task", t.name, "run", s.number, "host", from.name, "to", to.name, "percent", s.progress.last.percent, "here", s.here, "pace", from.cpuShare)
		c.startCopy(now, s.run, to)
		return true
	}
	from.lastMigration = now
	c.counts.Moves++
	c.moves = append(c.moves, t)
	_ = level.Info(c.options.Logger).Log("msg", "slow run is stopped to go on at another host", "task", t.name, "run", s.number, "host", from.name, "percent", s.progress.last.percent, "here", s.here, "restart", action == restartRun, "pace", from.cpuShare)
	c.stopRun(s.run)
	return true
}

// startCopy starts a second run of a task, from the newest state that the first one has
// saved.
func (c *Cell) startCopy(now time.Time, first *run, h *host) {
	t := first.task
	if first.saved != "" && t.step.spec.Checkpoint {
		t.saved = first.saved
	}
	c.startRun(now, h, t, t.nextRun)
	t.nextRun++
	t.runs[len(t.runs)-1].copied = true
}
