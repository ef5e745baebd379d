package hvcell

import "time"

// remaining returns the expected rest of a run and its standard deviation.
func (c *Cell) remaining(now time.Time, r *run) (rest, deviation time.Duration) {
	expected := c.estimate.taskTime(r.task.step)
	age := now.Sub(r.started)
	// An overdue run is expected to need a quarter of its age more.
	rest = max(expected-age, age/4)
	return rest, rest / 2
}
