package hvcell

import (
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"hibiscusvane.example/hibiscusvane/hvjob"
)

// reservationTimeout is how long a lasting task waits for one host before another is
// chosen. Short tasks end in it.
const reservationTimeout = 3 * time.Second

// reservationRetryDelay separates searches for a host that could hold a task.
const reservationRetryDelay = 300 * time.Millisecond

// reservation keeps the room that becomes free on a host for a lasting task.
type reservation struct {
	host  *host
	since time.Time
}

// reserveCapacity keeps room for a lasting task that no host has room for. Without it
// short tasks take every processor that becomes free, and a task that needs
// several of them at once never starts.
func (c *Cell) reserveCapacity(now time.Time, t *task, hosts []*host) {
	r := &t.reserved
	if r.host == nil && now.Sub(r.since) < reservationRetryDelay {
		return
	}
	if r.host == nil || now.Sub(r.since) > reservationTimeout || !slices.Contains(hosts, r.host) || !c.fitsEventually(now, t, r.host) {
		h := c.mostFreeHost(now, t, hosts)
		if h != r.host && h != nil {
			_ = level.Info(c.options.Logger).Log("msg", "room is reserved", "task", t.name, "host", h.name, "free", h.free().CPU, "need", t.step.spec.Allocation().CPU)
		}
		r.host, r.since = h, now
	}
	if r.host != nil {
		r.host.reserved = r.host.reserved.Add(t.step.spec.Allocation())
	}
}

// mostFreeHost returns the host with the most free processors of those that could
// hold a task.
func (c *Cell) mostFreeHost(now time.Time, t *task, hosts []*host) *host {
	var best *host
	for _, h := range hosts {
		if !c.fitsEventually(now, t, h) {
			continue
		}
		if best == nil || h.free().CPU > best.free().CPU {
			best = h
		}
	}
	return best
}

// fitsEventually reports whether a host has room for a task once all runs that end by
// themselves have ended.
func (c *Cell) fitsEventually(now time.Time, t *task, h *host) bool {
	s := t.step
	capacity := h.info.Capacity.Sub(h.reserved)
	for _, r := range h.runs {
		if r.task.step.spec.LongRunning {
			capacity = capacity.Sub(r.allocation)
		}
	}
	return s.spec.Allocation().Fits(capacity) && c.constraintObstacle(now, s, h) == ""
}

// available is what a step can use of the free room of a host.
func (s *step) available(h *host) hvjob.Resources {
	free := h.free()
	if s.spec.LongRunning {
		return free
	}
	open := free.Sub(h.reserved)
	return hvjob.Resources{CPU: max(open.CPU, min(free.CPU, 0)), Memory: max(open.Memory, min(free.Memory, 0)), GPU: max(open.GPU, min(free.GPU, 0))}
}
