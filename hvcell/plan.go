package hvcell

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"hibiscusvane.example/hibiscusvane/hvjob"
	"hibiscusvane.example/hibiscusvane/hvorder"
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
}

// Plan adds orders to start the waiting tasks for which a host has capacity.
func (c *Cell) Plan(now time.Time) {
	hosts := c.usable(now)
	if len(hosts) == 0 || c.suspended {
		return
	}
	for _, h := range c.hosts {
		h.reserved = hvjob.Resources{}
	}
	for _, cand := range c.candidates(now, hosts) {
		if cand.step.spec.Gang {
			c.placeGang(now, cand.step, hosts)
			continue
		}
		c.placeTasks(now, cand.step, hosts)
	}
}

// candidates returns the steps with waiting tasks in scheduling order.
func (c *Cell) candidates(now time.Time, hosts []*host) []candidate {
	var out []candidate
	deferred := c.deferredRounds(now, hosts)
	c.counts.Waiting = 0
	c.awaitingAdvice = nil
	for _, j := range c.jobs {
		if j.inherited && !c.recovered {
			continue
		}
		for _, r := range j.rounds {
			if j.Repetitions > 0 && now.Add(c.options.EarlyStart/2).UnixMilli() < r.due {
				continue
			}
			u := c.usefulness(now, r)
			if deferred[r] {
				u = usefulLate
			}
			for _, s := range r.steps {
				if s.ready && s.waiting > 0 {
					c.counts.Waiting += int64(s.waiting)
					out = append(out, candidate{step: s, usefulness: u, longRunning: s.spec.LongRunning})
				}
			}
		}
	}
	slices.SortFunc(out, compare)
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
	if a.longRunning != b.longRunning {
		if a.longRunning {
			return -1
		}
		return 1
	}
	ra, rb := a.step.round, b.step.round
	return cmp.Or(
		cmp.Compare(a.usefulness, b.usefulness),
		cmp.Compare(ra.job.queue.Priority, rb.job.queue.Priority),
		cmp.Compare(ra.goal, rb.goal),
		cmp.Compare(ra.job.seq, rb.job.seq),
		cmp.Compare(a.step.index, b.step.index),
	)
}

// usable returns the hosts that can start tasks, sorted by name. Those of evacuated
// zones cannot.
func (c *Cell) usable(now time.Time) []*host {
	var out []*host
	for _, h := range c.hosts {
		if h.connected && h.reconciled && h.announced && h.incarnation != "" && h.incarnation == h.info.Incarnation && !h.info.Draining && !c.isEvacuated(h) {
			h.cold = now.Before(h.coldUntil)
			out = append(out, h)
		}
	}
	slices.SortFunc(out, func(a, b *host) int { return cmp.Compare(a.name, b.name) })
	return out
}

// placeTasks starts the waiting tasks of a step for which a host has capacity.
func (c *Cell) placeTasks(now time.Time, s *step, hosts []*host) {
	placed := 0
	starved := s.isStarved(now)
	// full is true once no host was found for a task without avoided hosts.
	full := false
	for _, t := range s.tasks {
		if s.waiting == 0 {
			break
		}
		if t.done || len(t.runs) > 0 || now.Before(t.notBefore) {
			continue
		}
		if full && len(t.avoidedHosts) == 0 {
			c.reserveCapacity(now, t, hosts)
			continue
		}
		h := c.pickHost(now, t, hosts)
		if h == nil && starved {
			h, starved = c.pickIgnoringImpact(now, t, hosts), false
		}
		if h == nil {
			c.logWait(now, t, hosts)
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
		c.logPlaced(now, s, placed)
	}
}

// logPlaced logs the number of starts of a step in one plan.
func (c *Cell) logPlaced(now time.Time, s *step, placed int) {
	r := s.round
	_ = level.Info(c.options.Logger).Log("msg", "starts of tasks were ordered", "job", r.job.ID, "round", r.number, "step", s.index, "tasks", placed, "waiting", s.waiting, "use", c.usefulness(now, r), "left_ms", r.goal-now.UnixMilli())
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
	for _, h := range hosts {
		obstacle := c.obstacle(now, t, h, c.impact(t, h))
		if obstacle == "" {
			obstacle = "disturbs"
		}
		obstacles[obstacle]++
	}
	_ = level.Info(c.options.Logger).Log("msg", "tasks of a step wait because no host can start them", "job", s.round.job.ID, "step", s.index, "waiting", s.waiting, "hosts", len(hosts), "why", fmt.Sprint(obstacles), "use", c.usefulness(now, s.round))
}

// placeGang starts either all tasks of a gang or none. A tightly coupled gang is
// placed within one rack if possible.
func (c *Cell) placeGang(now time.Time, s *step, hosts []*host) {
	if s.waiting < len(s.tasks) || now.Before(s.tasks[0].notBefore) {
		return
	}
	if s.spec.TightlyCoupled {
		for _, rack := range racks(hosts) {
			if c.tryGang(now, s, rack) {
				return
			}
		}
	}
	c.tryGang(now, s, hosts)
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

// tryGang starts a gang on the given hosts and reports whether all its tasks fit.
func (c *Cell) tryGang(now time.Time, s *step, hosts []*host) bool {
	var placed []*run
	for _, t := range s.tasks {
		h := c.pickHost(now, t, hosts)
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
	return true
}

// pickHost returns the host for a task, or nil. A long-running task for which no other
// host has capacity may go to a host in quarantine or to one on which it failed.
func (c *Cell) pickHost(now time.Time, t *task, hosts []*host) *host {
	h := c.pickAmong(now, t, t.preferred(hosts))
	if h == nil && t.step.spec.LongRunning && len(t.avoidedHosts) > 0 {
		h = c.pickAmong(now, t, hosts)
	}
	if h == nil && t.step.spec.LongRunning && !t.step.spec.BestEffort {
		h = c.pickIgnoringImpact(now, t, hosts)
	}
	return h
}

// pickAmong returns the host with the best score among those without obstacles, or
// nil. Best-effort tasks also keep to their impact limit.
func (c *Cell) pickAmong(now time.Time, t *task, hosts []*host) *host {
	impacts := c.impacts(t, hosts)
	limit := math.Inf(1)
	if t.step.spec.BestEffort {
		limit = impactLimit(t, hosts, impacts)
	}
	return bestHost(t, hosts, impacts, func(h *host, impact float64) bool {
		return impact <= limit && c.obstacle(now, t, h, impact) == ""
	})
}

// bestHost returns the host with the best score among those that fit accepts, or nil.
func bestHost(t *task, hosts []*host, impacts []float64, fit func(h *host, impact float64) bool) *host {
	var found *host
	top := 0.0
	for i, h := range hosts {
		if !fit(h, impacts[i]) {
			continue
		}
		if score := score(t, h, impacts[i]); found == nil || score > top {
			found, top = h, score
		}
	}
	return found
}

// starvationDelay is how long a step may wait without a run while hosts have capacity
// but its tasks would interfere or be throttled there.
const starvationDelay = 1500 * time.Millisecond

// isStarved reports whether the step has waited so long without a run that one of its
// tasks is to start wherever it fits, even throttled.
func (s *step) isStarved(now time.Time) bool {
	return s.waitLogged && now.Sub(s.waitingSince) > starvationDelay && s.waiting+s.done == len(s.tasks)
}

// pickIgnoringImpact returns the host with the best score among those without a hard
// obstacle, or nil.
func (c *Cell) pickIgnoringImpact(now time.Time, t *task, hosts []*host) *host {
	return bestHost(t, hosts, c.impacts(t, hosts), func(h *host, _ float64) bool {
		return c.hardObstacle(now, t, h) == ""
	})
}

// preferred returns the hosts that the task does not avoid, or all hosts if it avoids
// every one.
func (t *task) preferred(hosts []*host) []*host {
	if len(t.avoidedHosts) == 0 {
		return hosts
	}
	var out []*host
	for _, h := range hosts {
		if !t.avoidedHosts[h.name] {
			out = append(out, h)
		}
	}
	if len(out) == 0 {
		return hosts
	}
	return out
}

// obstacle returns the name of what rules out a host for a task with this impact, or
// an empty string.
func (c *Cell) obstacle(now time.Time, t *task, h *host, impact float64) string {
	s := t.step.spec
	switch name := c.hardObstacle(now, t, h); {
	case name != "":
		return name
	case s.BestEffort && h.bestEffortCPU+s.Need.CPU > h.unusedCPU():
		return "busy"
	case s.BestEffort && h.tooThrottled(impact):
		return "slowed"
	case !c.options.Health.Usable(now, h.name):
		return "quarantine"
	}
	return ""
}

// hardObstacle returns the name of an obstacle that holds even for a starved task, or
// an empty string.
func (c *Cell) hardObstacle(now time.Time, t *task, h *host) string {
	s := t.step
	if !s.spec.Allocation().Fits(s.available(h)) {
		return "room"
	}
	return c.constraintObstacle(now, s, h)
}

// constraintObstacle returns the name of an obstacle other than capacity that rules
// out a host for a step, or an empty string.
func (c *Cell) constraintObstacle(now time.Time, s *step, h *host) string {
	if name := c.permanentObstacle(s, h); name != "" {
		return name
	}
	if s.spec.MaxPerHost > 0 && s.runsPerHost[h] >= s.spec.MaxPerHost {
		return "spread"
	}
	if s.needsAdvice() {
		if _, ok := s.ticket(now, h); !ok {
			return "advice"
		}
	}
	return ""
}

// permanentObstacle returns the name of the property of a host that rules it out for
// a step for good, or an empty string.
func (c *Cell) permanentObstacle(s *step, h *host) string {
	switch {
	case h.info.Service != s.round.job.queue.Service:
		return "service"
	case s.spec.RequiredLabel != "" && !slices.Contains(h.info.Labels, s.spec.RequiredLabel):
		return "label"
	}
	return ""
}

// Weights of the terms of a score. The term for free processors is 0 for a full host
// and 1 for an empty one.
const (
	weightLocality = 2.0
	weightFree     = 1.0
	// weightImpact is subtracted for a task that multiplies a tail latency by e.
	weightImpact = 2.0
	// weightSameImage is added for a serving task beside tasks of only its own image,
	// and weightOtherImage subtracted if its image is new on a host that serves others:
	// the fewer images serve on a host, the more best-effort tasks can run there.
	weightSameImage  = 1.0
	weightOtherImage = 1.0
	// weightCold is subtracted for a host that is slow after its start.
	weightCold = 1.5
)

// colocationScore returns the score of a serving task on a host by the images that
// serve there.
func colocationScore(image string, serving []string) float64 {
	switch {
	case len(serving) == 0:
		return 0
	case !slices.Contains(serving, image):
		return -weightOtherImage
	case len(serving) == 1:
		return weightSameImage
	}
	return 0
}

func score(t *task, h *host, impact float64) float64 {
	s := t.step.spec
	score := 0.0
	if s.DataRack != "" && s.DataRack == h.info.Rack {
		score += weightLocality
	}
	if h.info.Capacity.CPU > 0 {
		score += weightFree * float64(h.unusedCPU()-h.bestEffortCPU) / float64(h.info.Capacity.CPU)
	}
	if h.cold {
		score -= weightCold
	}
	if s.LatencyTarget > 0 {
		score += colocationScore(s.Image, h.images(isServing))
	}
	return score - weightImpact*impact
}

// startRun allocates a run and orders its start.
func (c *Cell) startRun(now time.Time, h *host, t *task, number int) {
	c.orderStart(now, c.allocate(now, h, t, number))
}

// orderStart adds the start of an allocated run to the orders of its host.
func (c *Cell) orderStart(now time.Time, r *run) {
	h, t := r.host, r.task
	j := t.step.round.job
	start := hvorder.Start{Profile: profile(r)}
	if t.step.spec.Checkpoint {
		start.SavedState = t.saved
	}
	if t.step.needsAdvice() {
		start.Ticket, _ = t.step.ticket(now, h)
	}
	h.orders.Starts = append(h.orders.Starts, start)
	h.addSpec(j)
	c.counts.Starts++
	c.markJobRunning(j)
	_ = level.Debug(c.options.Logger).Log("msg", "start of a run was ordered", "task", t.name, "run", r.number, "host", h.name, "free", h.free().CPU)
}

// maxInlineSpec is the length in bytes up to which a work description is sent with
// the order; a reference to it takes about half of that.
const maxInlineSpec = 128

// addSpec adds the work description of a job to the orders of the host, or a
// reference to the gate that has it.
func (h *host) addSpec(j *job) {
	if j.Gate == "" || len(j.Spec) <= maxInlineSpec {
		if h.orders.Specs == nil {
			h.orders.Specs = map[string]string{}
		}
		h.orders.Specs[j.ID] = j.Spec
		return
	}
	if h.orders.SpecRefs == nil {
		h.orders.SpecRefs = map[string]hvorder.SpecRef{}
	}
	h.orders.SpecRefs[j.ID] = hvorder.SpecRef{Addr: j.Gate, Checksum: j.specChecksum}
}

// Spec returns the work description of a job that has not ended.
func (c *Cell) Spec(id string) (string, bool) {
	j := c.jobs[id]
	if j == nil {
		return "", false
	}
	return j.Spec, true
}

// markJobRunning changes the state of a job to running with its first run.
func (c *Cell) markJobRunning(j *job) {
	if j.progress.State == "" || j.progress.State == hvjob.Queued {
		j.progress.State = hvjob.Running
		c.markChanged(j)
	}
}
