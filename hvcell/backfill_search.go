package hvcell

import (
	"slices"
	"time"

	"hibiscusvane.example/hibiscusvane/hvbackfill"
)

// reservable returns a task of the step that can start once there is capacity, or nil.
func (s *step) reservable(now time.Time) *task {
	if s.spec.Gang && s.waiting < len(s.tasks) {
		return nil
	}
	for _, t := range s.tasks {
		if t.canStart(now) {
			return t
		}
	}
	return nil
}

// demand returns what the step needs at once: all tasks of a gang, else one.
func (s *step) demand() hvbackfill.Demand {
	d := hvbackfill.Demand{Need: neededAmount(s.spec), Takes: takenAmount(s.spec), Count: 1}
	if s.spec.Gang {
		d.Count = len(s.tasks)
	}
	return d
}

// revise returns the time after which the reserved hosts have room for the step. It
// reports false if one of them can no longer be used.
func (c *Cell) revise(now time.Time, t *task, d hvbackfill.Demand, hosts []*host) (time.Duration, bool) {
	after := time.Duration(0)
	preferred := c.preferred(now, t, hosts)
	for list := t.step.reservation.hosts; len(list) > 0; {
		h, n := list[0], countFirst(list)
		list = list[n:]
		if h.backfill.usableIn != c.backfill.plan || !slices.Contains(preferred, h) || c.reservableTasks(now, t, h) < n {
			return 0, false
		}
		line := c.timeline(now, h)
		start, _, ok := line.Earliest(d.On(line, n))
		if !ok {
			return 0, false
		}
		after = max(after, start)
	}
	return after, true
}

// countFirst returns how often the first host of a list occurs at its beginning.
func countFirst(list []*host) int {
	n := 1
	for n < len(list) && list[n] == list[0] {
		n++
	}
	return n
}

// search returns the slots in which a step can start first, and the time after which all
// of them are free. A step without a reservation gets none for a task that needs no more
// than one of the runs there holds: such room opens regularly, and its turn in the
// scheduling order suffices.
func (c *Cell) search(now time.Time, t *task, d hvbackfill.Demand, hosts []*host) ([]hvbackfill.Slot, time.Duration, bool) {
	if t.step.spec.BestEffort {
		t.step.reservation.impactLimit = c.impactLimit(t, hosts, c.impacts(t, hosts))
	}
	slots := c.backfill.slots[:0]
	for _, h := range c.preferred(now, t, hosts) {
		if n := c.reservableTasks(now, t, h); n > 0 {
			slots = hvbackfill.AppendSlots(slots, h.backfill.index, c.timeline(now, h), d, n)
		}
	}
	c.backfill.slots = slots
	chosen, after, ok := hvbackfill.Choose(slots, d.Count)
	if ok && d.Count == 1 && !chosen[0].Gathered && len(t.step.reservation.hosts) == 0 {
		return nil, 0, false
	}
	return chosen, after, ok
}

// lateStart returns the time after which all slots are free if the runs on their hosts end
// late. The slots are ordered by host.
func (c *Cell) lateStart(now time.Time, d hvbackfill.Demand, slots []hvbackfill.Slot, hosts []*host) time.Duration {
	start := time.Duration(0)
	for i, slot := range slots {
		if i+1 < len(slots) && slots[i+1].Host == slot.Host {
			continue
		}
		n := i + 1 - slices.IndexFunc(slots, func(o hvbackfill.Slot) bool { return o.Host == slot.Host })
		line := c.lateTimeline(now, hosts[slot.Host])
		after, _, _ := line.Earliest(d.On(line, n))
		start = max(start, after)
	}
	return start
}

// reservableTasks returns how many tasks of a step may start on a host as far as obstacles
// other than capacity are concerned. A missing ticket is no obstacle, as tickets are only
// requested for hosts with free capacity.
func (c *Cell) reservableTasks(now time.Time, t *task, h *host) int {
	s := t.step
	if !c.mayRun(s, h) || h.inTrial(now) && h.trialJob != s.round.job {
		return 0
	}
	if s.spec.BestEffort {
		impact := c.impact(t, h)
		if impact > s.reservation.impactLimit || h.tooThrottled(impact) || c.colocationObstacle(t, h, impact) != "" {
			return 0
		}
	}
	if s.spec.MaxPerHost > 0 {
		return max(s.spec.MaxPerHost-s.runsPerHost[h], 0)
	}
	return len(s.tasks)
}

// fitsNowhere reports whether more is needed than is known to be free on any host, so that
// a plan with many waiting steps does not look at each host for each of them.
func (c *Cell) fitsNowhere(need hvbackfill.Amount) bool {
	b := &c.backfill
	return b.plan > 0 && b.largestIn == b.plan && !need.Within(b.largest)
}

// freeAmount returns what is free on a host.
func (h *host) freeAmount() hvbackfill.Amount {
	free := amount(h.free())
	free.Unused = h.unusedCPU() - h.bestEffortCPU
	return free
}

// lateTimeline is like timeline for runs that end late. It is valid until the next call.
func (c *Cell) lateTimeline(now time.Time, h *host) *hvbackfill.Host {
	expected, line := c.timeline(now, h), &c.backfill.lateLine
	line.Free, line.Promised, line.Releases = expected.Free, expected.Promised, line.Releases[:0]
	for _, r := range h.runs {
		if after, ok := c.expectedRelease(now, r); ok {
			if r.phase != phaseStopping {
				after = c.lateRest(now, r)
			}
			line.Releases = append(line.Releases, hvbackfill.Release{After: after, Amount: takenAmount(r.task.step.spec)})
		}
	}
	hvbackfill.SortReleases(line.Releases)
	return line
}

// timeline returns what is free on a host and what becomes free as its runs end.
func (c *Cell) timeline(now time.Time, h *host) *hvbackfill.Host {
	line := &h.backfill.timeline
	if h.backfill.computedIn == c.backfill.plan {
		return line
	}
	h.backfill.computedIn = c.backfill.plan
	line.Free = h.freeAmount().Plus(amount(h.lastReserved), -1)
	line.Promised = hvbackfill.Amount{}
	line.Releases = line.Releases[:0]
	for _, r := range h.runs {
		if after, ok := c.expectedRelease(now, r); ok {
			line.Releases = append(line.Releases, hvbackfill.Release{After: after, Amount: takenAmount(r.task.step.spec)})
		}
	}
	hvbackfill.SortReleases(line.Releases)
	return line
}

// assumedStopTime is the time that a stop takes if the policy holds none.
const assumedStopTime = 400 * time.Millisecond

// expectedRelease returns the time after which a run is expected to release its resources,
// or false if it does not end by itself.
func (c *Cell) expectedRelease(now time.Time, r *run) (time.Duration, bool) {
	if r.phase == phaseStopping {
		if c.options.Policy.StopTime > 0 {
			return c.options.Policy.StopTime, true
		}
		return assumedStopTime, true
	}
	if r.task.step.spec.LongRunning {
		return 0, false
	}
	rest, _ := c.remaining(now, r)
	return rest, true
}

// promise adds the reservation of a step to the promises of its hosts.
func (c *Cell) promise(s *step, d hvbackfill.Demand, after time.Duration) {
	for list := s.reservation.hosts; len(list) > 0; {
		h, n := list[0], countFirst(list)
		list = list[n:]
		if len(h.backfill.promises) == 0 {
			c.backfill.hosts = append(c.backfill.hosts, h)
		}
		h.backfill.promises = append(h.backfill.promises, h.backfill.timeline.Promise(d, n, after))
		h.backfill.steps = append(h.backfill.steps, s)
	}
}
