package hvcell

import (
	"time"

	"github.com/go-kit/log/level"
)

const (
	// A run is a straggler once it has taken stragglerFactor times its expected run
	// time plus stragglerSlack. The limit doubles with each abandoned run of the task,
	// so that a task that is slow on every host still completes.
	stragglerFactor = 3
	stragglerSlack  = time.Second
	// unmeasuredFactor replaces stragglerFactor while no task of the step is done.
	unmeasuredFactor = 8
	// stallTimeout is the least time that a run makes no progress until it is abandoned, and
	// stalledPercents the number of percents in whose expected time it must make some. The
	// limit doubles like that of stragglers.
	stallTimeout    = 1500 * time.Millisecond
	stalledPercents = 3
	// maxDoublings bounds the doublings of the limit.
	maxDoublings = 10
)

// checkStragglers abandons runs that take much longer than expected, so that their
// tasks start on other hosts.
func (c *Cell) checkStragglers(now time.Time) {
	for _, h := range c.hosts {
		for _, r := range h.runs {
			if r.phase == phaseActive && c.isStraggler(r) {
				c.abandonRun(now, r)
			}
		}
	}
}

// isStraggler judges by the age of a run when its host last responded: it may have ended
// since.
func (c *Cell) isStraggler(r *run) bool {
	s := r.task.step
	if s.spec.LongRunning || s.spec.BestEffort || s.spec.Gang {
		// Best-effort tasks may be throttled, and the members of a gang wait for each
		// other.
		return false
	}
	if c.paces != nil && c.paces.isLong(r) {
		return false
	}
	expected := c.estimate.taskTime(s)
	factor := time.Duration(unmeasuredFactor)
	if s.runTimes.n > 0 {
		factor = stragglerFactor
	}
	allowed := (factor*expected + stragglerSlack) << min(r.task.abandonedRuns, maxDoublings)
	return r.host.respondedAt.Sub(r.started) > allowed
}

// maxUnmoved returns how long a run of a task may make no progress.
func (c *Cell) maxUnmoved(t *task) time.Duration {
	expected := c.estimate.taskTime(t.step) * stalledPercents / 100
	return max(stallTimeout, expected) << min(t.abandonedRuns, maxDoublings)
}

// abandonRun stops a run; its task starts again once the host reports the end.
func (c *Cell) abandonRun(now time.Time, r *run) {
	_ = level.Info(c.options.Logger).Log("msg", "run stalled or exceeds its expected time; stopping it to start the task elsewhere", "task", r.task.name, "run", r.number, "host", r.host.name, "age", now.Sub(r.started), "expected", c.estimate.taskTime(r.task.step))
	r.task.abandonedRuns++
	c.options.Health.Record(now, r.host.name, r.host.info.Rack, r.task.name, false)
	r.task.avoidHost(now, r.host)
	c.stopRun(r)
}
