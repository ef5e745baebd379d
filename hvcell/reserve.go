package hvcell

import (
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"hibiscusvane.example/hibiscusvane/hvjob"
)

// reservePeriod is how long a lasting task waits for one host before another is
// chosen. Short tasks end in it.
const reservePeriod = 3 * time.Second

// reservePause separates searches for a host that could hold a task.
const reservePause = 300 * time.Millisecond

// reservation keeps the room that becomes free on a host for a lasting task.
type reservation struct {
	host  *host
	since time.Time
}

// reserve keeps room for a lasting task that no host has room for. Without it
// short tasks take every processor that becomes free, and a task that needs
// several of them at once never starts.
func (c *Cell) reserve(now time.Time, t *task, hosts []*host) {
	r := &t.reserved
	if r.host == nil && now.Sub(r.since) < reservePause {
		return
	}
	if r.host == nil || now.Sub(r.since) > reservePeriod || !slices.Contains(hosts, r.host) || !c.couldHold(now, t, r.host) {
		h := c.roomiest(now, t, hosts)
		if h != r.host && h != nil {
			_ = level.Info(c.options.Logger).Log("msg", "room is reserved", "task", t.name, "host", h.name, "free", h.free().CPU, "need", t.step.spec.Allocation().CPU)
		}
		r.host, r.since = h, now
	}
	if r.host != nil {
		r.host.reserved = r.host.reserved.Add(t.step.spec.Allocation())
	}
}

// roomiest returns the host with the most free processors of those that could
// hold a task.
func (c *Cell) roomiest(now time.Time, t *task, hosts []*host) *host {
	var best *host
	for _, h := range hosts {
		if !c.couldHold(now, t, h) {
			continue
		}
		if best == nil || h.free().CPU > best.free().CPU {
			best = h
		}
	}
	return best
}

// couldHold reports whether a host has room for a task once all runs that end by
// themselves have ended.
func (c *Cell) couldHold(now time.Time, t *task, h *host) bool {
	s := t.step
	lasting := h.info.Capacity.Sub(h.reserved)
	for _, r := range h.runs {
		if r.task.step.spec.LongRunning {
			lasting = lasting.Sub(r.commit)
		}
	}
	return s.spec.Allocation().Fits(lasting) && c.excluded(now, s, h) == ""
}

// openRoom is what a step can use of the free room of a host.
func (s *step) openRoom(h *host) hvjob.Resources {
	free := h.free()
	if s.spec.LongRunning {
		return free
	}
	open := free.Sub(h.reserved)
	return hvjob.Resources{CPU: max(open.CPU, min(free.CPU, 0)), Memory: max(open.Memory, min(free.Memory, 0)), GPU: max(open.GPU, min(free.GPU, 0))}
}
