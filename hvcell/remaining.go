package hvcell

import "time"

const (
	// measuredError is the relative error of a remaining time that follows from measured
	// progress. A percentage is rounded and up to half a second old.
	measuredError = 0.25
	// maxRemaining bounds the remaining time of a run that makes no progress.
	maxRemaining = time.Hour
)

// remaining returns the expected rest of a run and its standard deviation.
func (c *Cell) remaining(now time.Time, r *run) (rest, deviation time.Duration) {
	if rest, ok := r.measuredRest(now); ok {
		return rest, time.Duration(float64(rest) * measuredError)
	}
	expected := c.estimate.taskTime(r.task.step)
	age := now.Sub(r.started)
	// An overdue run is expected to need a quarter of its age more.
	rest = max(expected-age, age/4)
	return rest, rest / 2
}

// lateRest returns the rest of a run that takes longer than expected by the usual error.
func (c *Cell) lateRest(now time.Time, r *run) time.Duration {
	rest, deviation := c.remaining(now, r)
	if _, measured := r.measuredRest(now); measured {
		return rest + deviation
	}
	return max(rest+deviation, c.estimate.lateTime(r.task.step)-now.Sub(r.started))
}

// measuredRest returns the time that a run needs at its present speed. It reports false
// if that is not known.
func (r *run) measuredRest(now time.Time) (time.Duration, bool) {
	speed, ok := r.progress.speed(now)
	if !ok || r.task.step.spec.LongRunning {
		return 0, false
	}
	since := now.Sub(r.progress.last.at)
	rest := atSpeed(fullPercent-r.progress.last.percent, speed)
	return max(rest-since, since/4), true
}

// atSpeed returns the time for a number of percent at a speed in percent per second.
func atSpeed(percent int, speed float64) time.Duration {
	if left := float64(max(percent, 0)); left < speed*maxRemaining.Seconds() {
		return time.Duration(left / speed * float64(time.Second))
	}
	return maxRemaining
}
