package hvcell

import (
	"cmp"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvfair"
	"hibiscusvane.example/hibiscusvane/hvjob"
)

const (
	// preemptionDelay is how long a task waits before it may stop runs.
	preemptionDelay = 300 * time.Millisecond
	// preemptionRetryDelay is how long a step for which no runs were found lets others
	// search.
	preemptionRetryDelay = 300 * time.Millisecond
	// searchInterval is the least time between two searches for runs to stop: one over 300
	// hosts takes about 0.4 ms.
	searchInterval = 20 * time.Millisecond
	// holdSlack is how much longer than a stop takes freed capacity is kept: the orders
	// and the list of ends have to be sent as well.
	holdSlack = time.Second
)

// hold keeps the capacity of a host for the task that stopped runs there.
type hold struct {
	task        *task
	host        *host
	incarnation string
	until       time.Time
}

// preempt stops runs of less urgent queues where that makes room for an urgent task.
func (c *Cell) preempt(now time.Time, list []candidate, hosts []*host) {
	if !c.options.Policy.Sharing {
		return
	}
	c.markWaiting(now, list)
	c.checkHolds(now)
	if !c.sharing.contended {
		return
	}
	if now.Sub(c.sharing.searchedAt) < searchInterval {
		return
	}
	for _, cand := range list {
		t := c.preemptor(now, cand)
		if t == nil {
			continue
		}
		allowed := c.sharing.limiter.Allowed(now, c.runCount())
		if allowed == 0 {
			return
		}
		c.sharing.searchedAt = now
		if !c.preemptFor(now, t, hosts, allowed) {
			cand.step.sharing.retryAt = now.Add(preemptionRetryDelay)
		}
		return
	}
}

// preemptor returns the first task of a candidate that may stop runs, or nil.
func (c *Cell) preemptor(now time.Time, cand candidate) *task {
	if !c.mayPreempt(now, cand) {
		return nil
	}
	for _, t := range cand.step.placementOrder() {
		if t.canStart(now) && t.hold == nil {
			return t
		}
	}
	return nil
}

// mayPreempt reports whether the tasks of a step may stop runs. Long-running tasks and
// gangs may not: capacity is reserved for the former, and the latter need several hosts.
func (c *Cell) mayPreempt(now time.Time, cand candidate) bool {
	s := cand.step
	if cand.longRunning || cand.usefulness != usefulInTime || s.spec.Gang || s.isRisky() {
		return false
	}
	if since := s.sharing.since; since.IsZero() || now.Sub(since) <= preemptionDelay || now.Before(s.sharing.retryAt) {
		return false
	}
	return c.usefulness(now.Add(c.options.Policy.StopTime), s.round) == usefulInTime
}

// runCount returns the number of runs on all hosts.
func (c *Cell) runCount() int {
	n := 0
	for _, h := range c.hosts {
		n += len(h.runs)
	}
	return n
}

// preemptFor stops up to limit runs on the host where least is lost with them, and reports
// whether a task fits there afterwards. Hosts that have not responded to a stop are passed
// over.
func (c *Cell) preemptFor(now time.Time, t *task, hosts []*host, limit int) bool {
	var best *host
	var victims []*run
	least := 0.0
	for _, h := range c.preferred(now, t, hosts) {
		if h.hold != nil || h.stoppingRuns() > 0 || c.obstacleBesideRoom(now, t, h) {
			continue
		}
		missing := shortfall(t.step, c.freeAmount(t.step, h))
		if missing == (hvfair.Amount{}) {
			continue
		}
		sets, units := c.victims(now, t, h)
		chosen, loss, ok := hvfair.Choose(missing, units, limit)
		if !ok || best != nil && loss >= least {
			continue
		}
		best, least, victims = h, loss, nil
		for _, i := range chosen {
			victims = append(victims, sets[i]...)
		}
	}
	if best == nil {
		return false
	}
	c.stopVictims(now, t, best, victims, least)
	return true
}

// obstacleBesideRoom reports whether anything other than the resources in use rules out a
// host that preferred returns for a task.
func (c *Cell) obstacleBesideRoom(now time.Time, t *task, h *host) bool {
	s := t.step
	if h.inTrial(now) || h.startsAreLimited(now) || c.constraintObstacle(now, s, h) != "" || c.reservationObstacle(now, t, h) != "" {
		return true
	}
	if !s.spec.BestEffort {
		return false
	}
	impact := c.impact(t, h)
	return impact > acceptableImpact || h.tooThrottled(impact) || c.colocationObstacle(t, h, impact) != ""
}

// stopVictims stops runs and keeps what they free for a task.
func (c *Cell) stopVictims(now time.Time, t *task, h *host, victims []*run, loss float64) {
	for _, r := range victims {
		_ = level.Info(c.options.Logger).Log("msg", "run is stopped so that a more urgent task can start", "task", r.task.name, "run", r.number, "host", h.name, "age", now.Sub(r.started), "for", t.name, "waited", now.Sub(t.step.sharing.since), "runs", len(victims), "loss", loss)
		c.exempt(r.task)
		c.stopRun(r)
	}
	c.counts.Preempted += int64(len(victims))
	c.sharing.limiter.Stopped(now, len(victims))
	c.exempt(t)
	t.hold = &hold{task: t, host: h, incarnation: h.incarnation, until: now.Add(c.options.Policy.StopTime + holdSlack)}
	h.hold = t.hold
	c.sharing.holds = append(c.sharing.holds, t.hold)
}

// exempt excludes the runs of a task from preemption. This is stored with the progress,
// so that it also holds under the next owner.
func (c *Cell) exempt(t *task) {
	p := t.progress()
	if t.exempt || p == nil {
		return
	}
	t.exempt = true
	t.step.sharing.exempt = append(t.step.sharing.exempt, t)
	if len(p.Exempt) == 0 {
		p.Exempt = hvjob.NewBitset(len(t.step.tasks))
	}
	p.Exempt.Set(t.index)
	c.markChanged(t.step.round.job)
}

// exemptIfStopped excludes a task from preemption if an earlier owner stopped its run: it
// may have done so for an urgent task and been lost before that was stored.
func (c *Cell) exemptIfStopped(t *task, r *run, e hv.RunEnd) {
	if c.options.Policy.Sharing && e.Reason == hv.EndStopped && (r == nil || r.phase == phaseActive) {
		c.exempt(t)
	}
}

// checkHolds releases the capacity that is kept for tasks that have started or need it no
// more, and for those whose victims have not stopped in time.
func (c *Cell) checkHolds(now time.Time) {
	c.sharing.holds = slices.DeleteFunc(c.sharing.holds, func(k *hold) bool {
		t := k.task
		j := t.step.round.job
		needless := t.done || len(t.runs) > 0 || c.jobs[j.ID] != j
		if !needless && k.host.incarnation == k.incarnation && c.hosts[k.host.name] == k.host && now.Before(k.until) {
			return false
		}
		if !needless {
			c.counts.HoldsExpired++
			_ = level.Info(c.options.Logger).Log("msg", "task did not start on the capacity that was freed for it; the capacity is no longer kept", "task", t.name, "host", k.host.name, "stopping", k.host.stoppingRuns())
		}
		t.hold, k.host.hold = nil, nil
		return true
	})
}

// stoppingRuns returns the number of runs on the host whose end is awaited.
func (h *host) stoppingRuns() int {
	n := 0
	for _, r := range h.runs {
		if r.phase == phaseStopping {
			n++
		}
	}
	return n
}

// heldObstacle returns the name of the obstacle if a task would take capacity that is kept
// for another one, or an empty string.
func (c *Cell) heldObstacle(t *task, h *host) string {
	k := h.hold
	if k == nil || k.task == t || len(k.task.runs) > 0 {
		return ""
	}
	// The task for which it is kept starts after the end of the runs that are stopping.
	free := c.freeAmount(k.task.step, h).Sub(freedBy(t.step.spec))
	for _, r := range h.runs {
		if r.phase == phaseStopping {
			free = free.Add(freedBy(r.task.step.spec))
		}
	}
	if shortfall(k.task.step, free) != (hvfair.Amount{}) {
		return "held"
	}
	return ""
}

// victims returns the sets of runs on a host that a task may stop, each as a whole, in the
// order of their names.
func (c *Cell) victims(now time.Time, t *task, h *host) ([][]*run, []hvfair.Unit) {
	var runs []*run
	for _, r := range h.runs {
		if c.isVictim(now, t, r) {
			runs = append(runs, r)
		}
	}
	slices.SortFunc(runs, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.task.name, b.task.name), cmp.Compare(a.number, b.number))
	})
	var sets [][]*run
	var units []hvfair.Unit
	budgets := map[*step]int{}
	for _, r := range runs {
		set := c.stoppedWith(now, t, r)
		if set == nil || !c.withinBudget(now, r.task.step, len(set), budgets) {
			continue
		}
		unit := hvfair.Unit{Runs: len(set)}
		for _, other := range set {
			unit.Freed = unit.Freed.Add(freedBy(other.task.step.spec))
			unit.Loss += c.loss(now, other)
		}
		sets, units = append(sets, set), append(units, unit)
	}
	return sets, units
}
