package hvcell

import (
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"hibiscusvane.example/hibiscusvane/hvjob"
)

// reservationTimeout is how long a reservation stays on one host before another
// host is chosen. Short tasks end within this time.
const reservationTimeout = 3 * time.Second

// reservationRetryDelay is the interval between searches for a host on which a task
// fits eventually.
const reservationRetryDelay = 300 * time.Millisecond

// reservation reserves the resources that become free on a host for a long-running
// task.
type reservation struct {
	host  *host
	since time.Time
}

// reserveCapacity reserves resources for a long-running task that fits on no host
// now. Without it short tasks take every processor that becomes free, and a task that
// needs several of them at once never starts.
func (c *Cell) reserveCapacity(now time.Time, t *task, hosts []*host) {
	r := &t.reserved
	if r.host == nil && now.Sub(r.since) < reservationRetryDelay {
		return
	}
	if r.host == nil || now.Sub(r.since) > reservationTimeout || !slices.Contains(hosts, r.host) || !c.fitsEventually(now, t, r.host) {
		h := c.mostFreeHost(now, t, hosts)
		if h != r.host && h != nil {
			_ = level.Info(c.options.Logger).Log("msg", "resources of a host are reserved for a long-running task", "task", t.name, "host", h.name, "free", h.free().CPU, "need", t.step.spec.Allocation().CPU)
		}
		r.host, r.since = h, now
	}
	if r.host != nil {
		r.host.reserved = r.host.reserved.Add(t.step.spec.Allocation())
	}
}

// mostFreeHost returns the host with the most free processors of those on which a
// task fits eventually, or nil.
func (c *Cell) mostFreeHost(now time.Time, t *task, hosts []*host) *host {
	var best *host
	for _, h := range hosts {
		if !c.fitsEventually(now, t, h) {
			continue
		}
		if best == nil || h.hasMoreFree(best) {
			best = h
		}
	}
	return best
}

// hasMoreFree reports whether a host has more free processors than another one. Hosts with
// promises to waiting steps have less than those without.
func (h *host) hasMoreFree(other *host) bool {
	if promised := len(h.backfill.promises) > 0; promised != (len(other.backfill.promises) > 0) {
		return !promised
	}
	return h.free().CPU > other.free().CPU
}

// fitsEventually reports whether a task fits on a host once all runs that are not
// long-running have ended.
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

// available returns the free resources of a host that a step may use: reserved ones
// are left to long-running tasks.
func (s *step) available(h *host) hvjob.Resources {
	free := h.free()
	if s.spec.LongRunning {
		return free
	}
	rest := free.Sub(h.reserved)
	return hvjob.Resources{CPU: max(rest.CPU, min(free.CPU, 0)), Memory: max(rest.Memory, min(free.Memory, 0)), GPU: max(rest.GPU, min(free.GPU, 0))}
}
