package hvcell

import (
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"hibiscusvane.example/hibiscusvane/hvjob"
)

// scarcityTime is how long a service counts as short of room after an ordinary task last
// found none.
const scarcityTime = time.Second

// isOrdinary reports whether tasks of a step are neither best-effort nor long-running.
func isOrdinary(s *hvjob.Step) bool { return !s.BestEffort && !s.LongRunning }

// isScarce reports whether ordinary tasks of a service lack room. They are packed then:
// spread out, small tasks leave a gap on each host that no large one fits in.
func (c *Cell) isScarce(now time.Time, service string) bool {
	at, ok := c.lackedRoom[service]
	return ok && now.Sub(at) < scarcityTime
}

// checkRoom records that a task waits because no host has capacity for it.
func (c *Cell) checkRoom(now time.Time, t *task, hosts []*host) {
	s := t.step
	if !isOrdinary(s.spec) || slices.ContainsFunc(hosts, func(h *host) bool { return c.permanentObstacle(s, h) == "" && s.capacityObstacle(h) == "" }) {
		return
	}
	service := s.round.job.queue.Service
	if !c.isScarce(now, service) {
		_ = level.Info(c.options.Logger).Log("msg", "no host has room for a task; small tasks are packed to keep room for large ones", "task", t.name, "service", service, "need", s.spec.Need.CPU, "memory", s.spec.Need.Memory)
	}
	c.lackedRoom[service] = now
}
