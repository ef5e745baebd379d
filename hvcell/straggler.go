package hvcell

import (
	"time"

	"github.com/go-kit/log/level"
)

const (
	// stragglerFactor times its expected run time, and stragglerSlack more, is
	// when a run is taken to stand still. Both double with each run of the task
	// that was given up, so that a task that is just long completes.
	stragglerFactor = 3
	stragglerSlack  = time.Second
	// unmeasuredFactor applies instead while no task of the step is done.
	unmeasuredFactor = 8
	// maxDoublings bounds the growth.
	maxDoublings = 10
)

// checkStragglers starts tasks elsewhere whose runs take much longer than
// others of their kind.
func (c *Cell) checkStragglers(now time.Time) {
	for _, h := range c.hosts {
		for _, r := range h.runs {
			if r.phase == phaseActive && c.isStraggler(now, r) {
				c.abandonRun(now, r)
			}
		}
	}
}

func (c *Cell) isStraggler(now time.Time, r *run) bool {
	s := r.task.step
	if s.spec.LongRunning || s.spec.BestEffort || s.spec.Gang {
		// The pace of fill work is not its own, and a gang waits for its members.
		return false
	}
	expected := c.estimate.taskTime(s)
	factor := time.Duration(unmeasuredFactor)
	if s.runTimes.n > 0 {
		factor = stragglerFactor
	}
	allowed := (factor*expected + stragglerSlack) << min(r.task.abandonedRuns, maxDoublings)
	return now.Sub(r.started) > allowed
}

// abandonRun stops a run; its task starts again once the end is listed.
func (c *Cell) abandonRun(now time.Time, r *run) {
	_ = level.Info(c.options.Logger).Log("msg", "run stands still", "task", r.task.name, "run", r.number, "host", r.host.name, "age", now.Sub(r.started), "expected", c.estimate.taskTime(r.task.step))
	r.task.abandonedRuns++
	c.options.Health.Record(now, r.host.name, r.host.info.Rack, r.task.name, false)
	r.task.avoidHost(r.host)
	c.stopRun(r)
}
