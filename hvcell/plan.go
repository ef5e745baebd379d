package hvcell

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"hibiscusvane.example/hibiscusvane/hvjob"
)

// usefulness classifies rounds by when they can still be complete.
type usefulness int

const (
	// usefulInTime is for rounds that can be complete by their goal.
	usefulInTime usefulness = iota
	// usefulLate is for rounds that can be complete by their cutoff, and for deferred
	// ones.
	usefulLate
	// notUseful is for rounds that can only be complete after their cutoff. They still
	// run, because they were accepted.
	notUseful
)

func (u usefulness) String() string {
	switch u {
	case usefulInTime:
		return "in time"
	case usefulLate:
		return "late"
	}
	return "none"
}

// candidate is a step with waiting tasks.
type candidate struct {
	step       *step
	usefulness usefulness
	// longRunning steps are placed first, as they serve users at all times.
	longRunning bool
	// position is the used part of the shares of its work under contention.
	position position
}

// Plan adds orders to start the waiting tasks for which a host has capacity.
func (c *Cell) Plan(now time.Time) {
	hosts := c.usable(now)
	if len(hosts) == 0 || c.suspended {
		return
	}
	for _, h := range c.hosts {
		h.lastReserved, h.reserved = h.reserved, hvjob.Resources{}
	}
	list := c.candidates(now, hosts)
	c.prepareReservations(now, list, hosts)
	held := c.startTrials(now, list, hosts)
	c.placeAll(now, list, hosts, held)
	c.preempt(now, list, hosts)
}

// candidates returns the steps with waiting tasks in scheduling order.
func (c *Cell) candidates(now time.Time, hosts []*host) []candidate {
	var out []candidate
	deferred := c.deferredRounds(now, hosts)
	c.counts.Waiting = 0
	c.awaitingAdvice = nil
	for _, j := range c.jobs {
		unlocated := j.inherited && !c.recovered
		for _, r := range j.rounds {
			if j.Repetitions > 0 && now.Add(c.options.EarlyStart/2).UnixMilli() < r.due {
				continue
			}
			u := c.usefulness(now, r)
			if deferred[r] {
				u = usefulLate
			}
			for _, s := range r.steps {
				if s.ready && s.waiting > 0 && (!unlocated || s.hasLocated()) {
					c.counts.Waiting += int64(s.waiting)
					out = append(out, candidate{step: s, usefulness: u, longRunning: s.spec.LongRunning})
				}
			}
		}
	}
	slices.SortFunc(out, compare)
	c.orderBySharing(now, out)
	for _, cand := range out {
		if cand.step.needsAdvice() {
			c.awaitingAdvice = append(c.awaitingAdvice, cand.step)
		}
	}
	return out
}

// usefulness classifies a round by the expected end of its critical path if its
// tasks start now.
func (c *Cell) usefulness(now time.Time, r *round) usefulness {
	end := now.Add(c.criticalPath(r)).UnixMilli()
	switch {
	case end <= r.goal:
		return usefulInTime
	case end <= r.cutoff:
		return usefulLate
	}
	return notUseful
}

// compare orders candidates: long-running steps first, then by usefulness, priority
// of the queue (the lowest number first), goal, and order of the jobs and steps.
func compare(a, b candidate) int {
	ra, rb := a.step.round, b.step.round
	return cmp.Or(
		longRunningFirst(a.longRunning, b.longRunning),
		cmp.Compare(a.usefulness, b.usefulness),
		comparePriority(a, b),
		cmp.Compare(ra.goal, rb.goal),
		cmp.Compare(ra.job.seq, rb.job.seq),
		cmp.Compare(a.step.index, b.step.index),
	)
}

// longRunningFirst orders long-running work before other work.
func longRunningFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// usable returns the hosts that can start tasks, sorted by name. Those of evacuated
// zones cannot, nor those that do not check their capacity while unneeded runs hold an
// unknown part of it.
func (c *Cell) usable(now time.Time) []*host {
	var out []*host
	c.quarantined = false
	for _, h := range c.hosts {
		if h.connected && h.reconciled && h.announced && h.incarnation != "" && h.incarnation == h.info.Incarnation && !h.info.Draining && !c.isEvacuated(h) && !now.Before(h.unreachableUntil) && !h.silent {
			if len(h.unneeded) > 0 && !c.checksCapacity(h) {
				continue
			}
			h.cold = now.Before(h.coldUntil)
			h.quarantined = !c.options.Health.Usable(now, h.name)
			c.quarantined = c.quarantined || h.quarantined
			out = append(out, h)
		}
	}
	slices.SortFunc(out, func(a, b *host) int { return cmp.Compare(a.name, b.name) })
	return out
}

// checksCapacity reports whether a host refuses tasks that exceed its capacity.
func (c *Cell) checksCapacity(h *host) bool {
	if c.catalog == nil {
		return false
	}
	s, ok := c.catalog.Service(h.info.Service)
	return ok && s.EnforcesCapacity
}

// placeTasks starts up to limit waiting tasks of a step for which a host has capacity,
// other than held ones, and reports whether the limit prevented more starts.
func (c *Cell) placeTasks(now time.Time, s *step, hosts []*host, held map[*task]bool, limit int) bool {
	placed, backfilled := 0, c.counts.Backfilled
	s.reservation.blocked = false
	starved := s.isStarved(now)
	// full is true once no host was found for a task without avoided hosts.
	full := false
	for _, t := range s.placementOrder() {
		if s.waiting == 0 || placed == limit {
			break
		}
		if !t.canStart(now) || held[t] {
			continue
		}
		if full && len(t.avoidedHosts) == 0 {
			c.reserveCapacity(now, t, hosts)
			continue
		}
		h := c.pickHost(now, t, hosts)
		if h != nil {
			s.starved = false
		} else if starved {
			h, starved, s.starved = c.pickIgnoringImpact(now, t, hosts), false, true
		}
		if h == nil {
			c.logWait(now, t, hosts)
			c.checkRoom(now, t, hosts)
			s.reservation.blocked = true
			full = full || len(t.avoidedHosts) == 0
			if s.spec.LongRunning {
				c.reserveCapacity(now, t, hosts)
			} else if full {
				break
			}
			continue
		}
		c.startRun(now, h, t, t.nextRun)
		t.nextRun++
		placed++
	}
	if placed > 0 {
		c.logPlaced(now, s, placed, c.counts.Backfilled-backfilled)
	}
	return placed == limit && s.waiting > 0
}

// logPlaced logs the number of starts of a step in one plan, and how many of them are on
// hosts that are reserved for other work.
func (c *Cell) logPlaced(now time.Time, s *step, placed int, backfilled int64) {
	r := s.round
	waited := time.Duration(0)
	if s.waitLogged {
		waited = now.Sub(s.waitingSince)
	}
	_ = level.Info(c.options.Logger).Log("msg", "starts of tasks were ordered", "job", r.job.ID, "round", r.number, "step", s.index, "tasks", placed, "backfilled", backfilled, "waiting", s.waiting, "waited", waited, "use", c.usefulness(now, r), "left_ms", r.goal-now.UnixMilli())
	s.waitLogged = false
}

// logWait logs once, until the step starts a task, how many hosts each obstacle
// rules out.
func (c *Cell) logWait(now time.Time, t *task, hosts []*host) {
	s := t.step
	if s.waitLogged {
		return
	}
	s.waitLogged, s.waitingSince = true, now
	obstacles := map[string]int{}
	preferred := c.preferred(now, t, hosts)
	free, most := int64(0), int64(0)
	for _, h := range hosts {
		cpu := max(h.free().CPU, 0)
		free, most = free+cpu, max(most, cpu)
		obstacle := c.obstacle(now, t, h, c.impact(t, h))
		switch {
		case obstacle != "":
		case slices.Contains(preferred, h):
			obstacle = "disturbs"
		case h.quarantined:
			obstacle = "quarantine"
		default:
			obstacle = "avoided"
		}
		obstacles[obstacle]++
	}
	_ = level.Info(c.options.Logger).Log("msg", "tasks of a step wait because no host can start them", "job", s.round.job.ID, "step", s.index, "waiting", s.waiting, "hosts", len(hosts), "why", fmt.Sprint(obstacles), "need", s.spec.Need.CPU, "free", free, "most_free", most, "queue", s.round.job.Queue, "use", c.usefulness(now, s.round))
}

// placeGang starts either all tasks of a gang or none. A tightly coupled gang is
// placed within one rack if possible. Like the tasks of other steps, a gang that has waited
// for long starts wherever it fits.
func (c *Cell) placeGang(now time.Time, s *step, hosts []*host) {
	waits := func(t *task) bool { return !t.canStart(now) }
	if s.waiting < len(s.tasks) || slices.ContainsFunc(s.tasks, waits) || s.isRisky() && !s.round.job.crashesStored() {
		return
	}
	s.reservation.blocked = false
	if s.spec.TightlyCoupled {
		for _, rack := range racks(hosts) {
			if c.tryGang(now, s, func(t *task) *host { return c.pickInRack(now, t, hosts, rack) }) {
				return
			}
		}
	}
	if c.tryGang(now, s, func(t *task) *host { return c.pickHost(now, t, hosts) }) {
		return
	}
	if s.isStarved(now) && c.tryGang(now, s, func(t *task) *host { return c.pickIgnoringImpact(now, t, hosts) }) {
		return
	}
	s.reservation.blocked = true
	c.logWait(now, s.tasks[0], hosts)
}

// pickInRack returns the host in a rack for a task, or nil. A host that is passed over while
// others remain is so in favour of other racks, too.
func (c *Cell) pickInRack(now time.Time, t *task, hosts, rack []*host) *host {
	if preferred := c.preferred(now, t, hosts); len(preferred) < len(hosts) {
		rack = slices.DeleteFunc(slices.Clone(rack), func(h *host) bool { return !slices.Contains(preferred, h) })
	}
	return c.pickAmong(now, t, rack)
}

// racks groups hosts by rack, in the order of the first host of each rack.
func racks(hosts []*host) [][]*host {
	byRack := map[string][]*host{}
	var order []string
	for _, h := range hosts {
		if byRack[h.info.Rack] == nil {
			order = append(order, h.info.Rack)
		}
		byRack[h.info.Rack] = append(byRack[h.info.Rack], h)
	}
	out := make([][]*host, 0, len(order))
	for _, rack := range order {
		out = append(out, byRack[rack])
	}
	return out
}

// tryGang starts a gang on the hosts that pick returns, and reports whether there is one for
// each task.
func (c *Cell) tryGang(now time.Time, s *step, pick func(t *task) *host) bool {
	var placed []*run
	for _, t := range s.tasks {
		h := pick(t)
		if h == nil {
			for _, r := range placed {
				c.releaseRun(r)
			}
			return false
		}
		placed = append(placed, c.allocate(now, h, t, s.nextRun))
	}
	for _, r := range placed {
		r.task.saved = s.tasks[0].saved
		c.orderStart(now, r)
	}
	s.nextRun++
	s.waitLogged = false
	return true
}
