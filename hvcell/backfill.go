package hvcell

import (
	"time"

	"hibiscusvane.example/hibiscusvane/hvbackfill"
	"hibiscusvane.example/hibiscusvane/hvjob"
)

// hostPromises holds the promises that a host's capacity is needed for.
type hostPromises struct {
	// promises and steps hold the promises of the present plan and the steps that they
	// were made to.
	promises []hvbackfill.Promise
	steps    []*step
	// index is the position of the host among the usable ones of the plan usableIn.
	index    int
	usableIn int64
	// timeline is what becomes free on the host, computed in the plan computedIn.
	timeline   hvbackfill.Host
	computedIn int64
}

// reservationObstacle returns the name of the obstacle if a host is reserved for other
// work while the task would run, or an empty string. A promise to the step itself was made
// with regard to earlier ones only, and once it is due those do not need its room.
func (c *Cell) reservationObstacle(now time.Time, t *task, h *host) string {
	promises := h.backfill.promises
	if len(promises) == 0 || t.reserved.host == h {
		return ""
	}
	own := h.openPromise(t.step)
	takes, lasts := takenAmount(t.step.spec), c.occupancy(now, t)
	for i := range promises {
		if own >= 0 && (i >= own || promises[own].After == 0) {
			break
		}
		if promises[i].Delays(takes, lasts) && !c.mayOvertake(t.step, h.backfill.steps[i]) {
			return "reserved"
		}
	}
	return ""
}

// holdDivisor limits how long a reservation of a less urgent queue holds back a task: until
// 1/holdDivisor of the time between its due time and its goal that is not needed for the
// work has passed. The rest is left for what else delays it.
const holdDivisor = 2

// mayOvertake reports whether a reservation does not bind a step of a more urgent queue,
// as waiting any longer endangers its goal.
func (c *Cell) mayOvertake(s, holder *step) bool {
	r := s.round
	if r.job.queue.Priority >= holder.round.job.queue.Priority {
		return false
	}
	if r.overtakeIn != c.backfill.plan {
		path := time.Duration(float64(c.criticalPath(r)) * c.estimate.margin(r.job.Queue))
		rest := r.goal - c.backfill.plannedAt.Add(path).UnixMilli()
		used := c.backfill.plannedAt.UnixMilli() - r.due
		r.overtakeIn, r.mayOvertake = c.backfill.plan, rest < (rest+used)/holdDivisor
	}
	return r.mayOvertake
}

// openPromise returns the index of the open promise of the host to a step, or -1.
func (h *host) openPromise(s *step) int {
	for i := range h.backfill.promises {
		if h.backfill.steps[i] == s && h.backfill.promises[i].Open() {
			return i
		}
	}
	return -1
}

// isPromisedToOthers reports whether the host has an open promise to another step.
func (h *host) isPromisedToOthers(s *step) bool {
	for i := range h.backfill.promises {
		if h.backfill.steps[i] != s && h.backfill.promises[i].Open() {
			return true
		}
	}
	return false
}

// occupancy returns for how long a task that starts now is expected to hold its resources
// at most, from the time of the last plan.
func (c *Cell) occupancy(now time.Time, t *task) time.Duration {
	if t.step.spec.LongRunning {
		return hvbackfill.Endless
	}
	took := c.estimate.lateTime(t.step)
	if took <= 0 {
		return hvbackfill.Endless
	}
	if t.saved != "" && t.step.spec.Checkpoint {
		took += c.options.Policy.RestoreTime
	}
	return took + now.Sub(c.backfill.plannedAt)
}

// countPromises records in the promises of a host that a run was allocated there.
func (c *Cell) countPromises(now time.Time, r *run) {
	h, s := r.host, r.task.step
	if len(h.backfill.promises) == 0 {
		return
	}
	r.lasts, r.countedIn, r.promised = c.occupancy(now, r.task), c.backfill.plan, h.openPromise(s) >= 0
	s.reservation.used = s.reservation.used || r.promised
	h.usePromises(r, 1)
}

// uncountPromises undoes countPromises if the start of a run is undone in the same plan.
func (c *Cell) uncountPromises(r *run) {
	if r.countedIn == 0 || r.countedIn != c.backfill.plan {
		return
	}
	if r.promised {
		r.task.step.reservation.used = false
	}
	r.host.usePromises(r, -1)
	r.countedIn = 0
}

// usePromises takes what a run holds from the promise to its step and from what the other
// promises spare, or with n = -1 returns it. Promises that were made later than that to its
// step already spare less.
func (h *host) usePromises(r *run, n int64) {
	s := r.task.step
	takes := takenAmount(s.spec)
	for i := range h.backfill.promises {
		p := &h.backfill.promises[i]
		if r.promised && h.backfill.steps[i] == s {
			p.Fulfil(neededAmount(s.spec), takes, n)
			return
		}
		p.Use(takes, r.lasts, n)
	}
}

// takenAmount returns what a task of a step leaves less of for others.
func takenAmount(s *hvjob.Step) hvbackfill.Amount {
	a := s.Allocation()
	out := hvbackfill.Amount{CPU: a.CPU, Unused: a.CPU, Memory: a.Memory, GPU: a.GPU}
	if s.LatencyTarget > 0 {
		out.Unused -= int64(float64(a.CPU) * (1 - servingUtilization))
	}
	if s.BestEffort {
		out.Unused = s.Need.CPU
	}
	return out
}

// neededAmount returns what must be free for a task of a step to start.
func neededAmount(s *hvjob.Step) hvbackfill.Amount {
	out := takenAmount(s)
	if !s.BestEffort {
		out.Unused = 0
	}
	return out
}

// amount converts allocated resources.
func amount(r hvjob.Resources) hvbackfill.Amount {
	return hvbackfill.Amount{CPU: r.CPU, Memory: r.Memory, GPU: r.GPU}
}

const (
	// weightFit is added for a host on which a task leaves nothing unusable. It replaces
	// weightFree, which spreads tasks and so leaves a gap on each host.
	weightFit = 1.0
	// weightReserved is subtracted for a host that is reserved for other work: a task that
	// ends late delays that work.
	weightReserved = 0.5
)

// packingScore returns the part of a host's score that keeps whole hosts open for large
// tasks. It is 0 for serving tasks, and only keeps best-effort tasks off reserved hosts: the
// former need headroom for their peaks, the latter are throttled on a host that is full.
func (c *Cell) packingScore(now time.Time, t *task, h *host) float64 {
	s := t.step.spec
	if s.LatencyTarget > 0 || !c.options.Policy.Backfill && (!isOrdinary(s) || !c.isScarce(now, h.info.Service)) {
		return 0
	}
	score := 0.0
	if h.isPromisedToOthers(t.step) {
		score -= weightReserved
	}
	if s.BestEffort || h.info.Capacity.CPU <= 0 {
		return score
	}
	free := float64(h.unusedCPU()-h.bestEffortCPU) / float64(h.info.Capacity.CPU)
	return score + weightFit*hvbackfill.Fit(amount(s.Allocation()), amount(h.free()), amount(h.info.Capacity)) - weightFree*free
}
