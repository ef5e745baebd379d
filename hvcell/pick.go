package hvcell

import (
	"math"
	"slices"
	"time"
)

// pickHost returns the host for a task, or nil. A long-running task for which no other
// host has capacity may go to one that is usually passed over.
func (c *Cell) pickHost(now time.Time, t *task, hosts []*host) *host {
	h := c.pickAmong(now, t, c.preferred(now, t, hosts))
	if h == nil && t.step.spec.LongRunning && (len(t.avoidedHosts) > 0 || c.quarantined) {
		h = c.pickAmong(now, t, hosts)
	}
	if h == nil && t.step.spec.LongRunning && !t.step.spec.BestEffort {
		h = c.pickIgnoringImpact(now, t, hosts)
	}
	return h
}

// preferred returns the hosts to choose from for a task, valid until the next call. Those in
// quarantine and those that the task avoids are passed over as long as others remain that may
// run it. A task that only some of the hosts may run waits for a while before it returns to
// one of them: if the host fails for some seconds, more of its attempts are left afterwards.
func (c *Cell) preferred(now time.Time, t *task, hosts []*host) []*host {
	if len(t.avoidedHosts) == 0 && !c.quarantined {
		return hosts
	}
	drawbacks := func(h *host) int {
		n := 0
		if h.quarantined {
			n++
		}
		if t.avoidedHosts[h.name] {
			n++
		}
		return n
	}
	out := c.fewestDrawbacks(t.step, hosts, drawbacks)
	if len(out) > 0 && drawbacks(out[0]) > 0 && now.Sub(t.avoidedAt) < starvationDelay && !t.step.spec.LongRunning && !c.allMayRun(t.step, hosts) {
		return nil
	}
	return out
}

// fewestDrawbacks returns those of the hosts that may run a step that have the fewest
// drawbacks, valid until the next call.
func (c *Cell) fewestDrawbacks(s *step, hosts []*host, drawbacks func(h *host) int) []*host {
	out, least := c.preferredBuffer[:0], 0
	for _, h := range hosts {
		if !c.mayRun(s, h) {
			continue
		}
		n := drawbacks(h)
		if n < least || len(out) == 0 {
			out, least = out[:0], n
		}
		if n == least {
			out = append(out, h)
		}
	}
	c.preferredBuffer = out
	return out
}

// allMayRun reports whether all hosts may run a step.
func (c *Cell) allMayRun(s *step, hosts []*host) bool {
	return !slices.ContainsFunc(hosts, func(h *host) bool { return !c.mayRun(s, h) })
}

// mayRun reports whether a host may run tasks of a step at any time, however much of it is
// in use.
func (c *Cell) mayRun(s *step, h *host) bool {
	return c.permanentObstacle(s, h) == "" && s.spec.Allocation().Fits(h.info.Capacity) && (!s.needsAdvice() || s.adviceStatus(h) != hostDenied)
}

// pickAmong returns the host with the best score among those without obstacles, or
// nil. Best-effort tasks also keep to their impact limit, unless the tail latencies limit
// them.
func (c *Cell) pickAmong(now time.Time, t *task, hosts []*host) *host {
	if c.fitsNowhere(neededAmount(t.step.spec)) {
		return nil
	}
	if t.step.spec.BestEffort && c.options.Policy.Colocation {
		hosts = c.withUnusedCPU(t, hosts)
	}
	impacts := c.impacts(t, hosts)
	limit := math.Inf(1)
	if t.step.spec.BestEffort && !c.options.Policy.Colocation {
		limit = c.impactLimit(t, hosts, impacts)
	}
	return c.bestHost(now, t, hosts, impacts, func(h *host, impact float64) bool {
		return impact <= limit && c.obstacle(now, t, h, impact) == ""
	})
}

// bestHost returns the host with the best score among those that fit accepts, or nil.
func (c *Cell) bestHost(now time.Time, t *task, hosts []*host, impacts []float64, fit func(h *host, impact float64) bool) *host {
	var found *host
	top := 0.0
	for i, h := range hosts {
		if !fit(h, impacts[i]) {
			continue
		}
		if score := c.score(now, t, h, impacts[i]); found == nil || score > top {
			found, top = h, score
		}
	}
	return found
}

// starvationDelay is how long a step may wait without a run while hosts have capacity
// but its tasks would interfere or be throttled there.
const starvationDelay = 1500 * time.Millisecond

// isStarved reports whether the step has waited so long without a run that one of its
// tasks is to run wherever it fits, even throttled, until others can start as usual.
func (s *step) isStarved(now time.Time) bool {
	if s.waiting+s.done < len(s.tasks) {
		return false
	}
	return s.starved || s.waitLogged && now.Sub(s.waitingSince) > starvationDelay
}

// pickIgnoringImpact returns the host with the best score among those without a hard
// obstacle, or nil. Hosts that are usually passed over come last.
func (c *Cell) pickIgnoringImpact(now time.Time, t *task, hosts []*host) *host {
	if c.fitsNowhere(amount(t.step.spec.Allocation())) {
		return nil
	}
	fit := func(h *host, _ float64) bool { return c.hardObstacle(now, t, h) == "" }
	preferred := c.preferred(now, t, hosts)
	if h := c.bestHost(now, t, preferred, c.impacts(t, preferred), fit); h != nil {
		return h
	}
	return c.bestHost(now, t, hosts, c.impacts(t, hosts), fit)
}

// obstacle returns the name of what rules out a host that preferred returns for a task with
// this impact, or an empty string.
func (c *Cell) obstacle(now time.Time, t *task, h *host, impact float64) string {
	s := t.step.spec
	switch name := c.hardObstacle(now, t, h); {
	case name != "":
		return name
	case s.BestEffort && !h.hasUnusedCPU(s):
		return "busy"
	case s.BestEffort && h.tooThrottled(impact):
		return "slowed"
	case s.BestEffort:
		return c.colocationObstacle(t, h, impact)
	}
	return ""
}

// hardObstacle returns the name of an obstacle that holds even for a starved task, or
// an empty string.
func (c *Cell) hardObstacle(now time.Time, t *task, h *host) string {
	s := t.step
	if h.inTrial(now) && h.trialJob != s.round.job {
		return "trial"
	}
	if h.startsAreLimited(now) {
		return "recovering"
	}
	if name := s.capacityObstacle(h); name != "" {
		return name
	}
	if name := c.heldObstacle(t, h); name != "" {
		return name
	}
	if name := c.reservationObstacle(now, t, h); name != "" {
		return name
	}
	return c.constraintObstacle(now, s, h)
}

// capacityObstacle returns the name of the resource that a host lacks for a task of a step,
// "kept" if only what is reserved for long-running tasks is free, or an empty string.
func (s *step) capacityObstacle(h *host) string {
	need := s.spec.Allocation()
	if need.Fits(s.available(h)) {
		return ""
	}
	switch free := h.free(); {
	case need.CPU > free.CPU:
		return "cpu"
	case need.Memory > free.Memory:
		return "memory"
	case need.GPU > free.GPU:
		return "gpu"
	}
	return "kept"
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
func colocationScore(image string, serving []imageLoad) float64 {
	switch {
	case len(serving) == 0:
		return 0
	case !slices.ContainsFunc(serving, func(l imageLoad) bool { return l.image == image }):
		return -weightOtherImage
	case len(serving) == 1:
		return weightSameImage
	}
	return 0
}

func (c *Cell) score(now time.Time, t *task, h *host, impact float64) float64 {
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
		score += colocationScore(s.Image, h.serving)
	}
	score += c.packingScore(now, t, h) + c.servingScore(t, h)
	return score + t.step.riskScore(now, h) - weightImpact*impact
}
