package hvcell

import (
	"math"

	"hibiscusvane.example/hibiscusvane/hvcrash"
	"hibiscusvane.example/hibiscusvane/hvinterference"
	"hibiscusvane.example/hibiscusvane/hvorder"
)

// effectPrior is the assumed effect of a best-effort image that has not been
// measured: by how much each of its processors in use raises the logarithm of a
// tail latency.
var effectPrior = hvinterference.Estimate{Mean: 0.05, Variance: 0.12 * 0.12}

// tailVariance is the variance of the logarithm of the change of a tail latency
// between two measurements.
const tailVariance = 0.25 * 0.25

const (
	// harmlessEffect is the effect of one processor on the logarithm of a tail
	// latency below which an image counts as not interfering. Ten processors with
	// this effect raise the tail latency by about 30%.
	harmlessEffect = 0.03
	// harmlessDeviations is the number of standard deviations that are added to an
	// effect before it is compared with harmlessEffect.
	harmlessDeviations = 0.7
)

// LearnedState holds the learned models that an owner hands to the next one.
type LearnedState struct {
	Effects  hvinterference.Effects  `json:"effects,omitempty"`
	RunTimes map[string]RunTimeStats `json:"times,omitempty"`
	// HostCrashes holds the recent crashes of hosts, and CrashRates the numbers of jobs
	// that crash hosts, by queue.
	HostCrashes []hvcrash.HostCrash          `json:"crashes,omitempty"`
	CrashRates  map[string]hvcrash.QueueRate `json:"crashrates,omitempty"`
}

// WithoutEffects returns a copy without the effects, which grow with the square of the number
// of images.
func (l LearnedState) WithoutEffects() LearnedState {
	l.Effects = nil
	return l
}

// LearnedState returns a copy of the learned models.
func (c *Cell) LearnedState() LearnedState {
	l := LearnedState{Effects: c.interference.Effects(), RunTimes: map[string]RunTimeStats{}, HostCrashes: c.crashHistory.State(), CrashRates: c.crashRates.State()}
	for queue, h := range c.estimate.queues {
		l.RunTimes[queue] = *h
	}
	return l
}

// Restore starts from the models of the previous owner.
func (c *Cell) Restore(l LearnedState) {
	c.interference.Restore(l.Effects)
	c.crashHistory.Restore(l.HostCrashes)
	c.crashRates.Restore(l.CrashRates)
	for queue, h := range l.RunTimes {
		c.estimate.queues[queue] = &h
	}
}

// observeInterference adds the changes of the tail latencies of serving tasks, and
// of the best-effort load on their host, to the interference model.
func (c *Cell) observeInterference(r hvorder.Report) {
	loadChanges := make(map[string]float64, len(r.LoadChanges))
	for image, load := range r.LoadChanges {
		if load != 0 {
			loadChanges[image] = float64(load) / hvorder.CoreScale
		}
	}
	for _, t := range r.TailChanges {
		c.interference.Observe(t.Image, loadChanges, float64(t.LogChange)/hvorder.LogScale)
	}
}

// effects returns the effects of the best-effort images on a host that interfere
// with its serving tasks.
func (c *Cell) effects(h *host) map[string]int64 {
	if len(h.serving) == 0 {
		return nil
	}
	out := map[string]int64{}
	for _, b := range h.bestEffort {
		if e := c.worstEffect(h, b.image); e >= harmlessEffect {
			out[b.image] = int64(e * hvorder.LogScale)
		}
	}
	return out
}

// worstEffect returns the upper bound, by harmlessDeviations, of the effect of one
// processor of a best-effort image on the most affected serving image.
func (c *Cell) worstEffect(h *host, image string) float64 {
	worst := 0.0
	for _, b := range c.estimates(h, image) {
		worst = max(worst, b.Mean+harmlessDeviations*math.Sqrt(b.Variance))
	}
	return worst
}

// impacts predicts the impact of a task on each of the hosts.
func (c *Cell) impacts(t *task, hosts []*host) []float64 {
	out := make([]float64, len(hosts))
	for i, h := range hosts {
		out[i] = c.impact(t, h)
	}
	return out
}

// impact predicts by how much the logarithm of a tail latency rises if a task runs
// on a host. For a best-effort task this is the tail latency of the most affected
// image that serves there, for a serving task its own beside all best-effort tasks
// there.
func (c *Cell) impact(t *task, h *host) float64 {
	spec := t.step.spec
	sum := 0.0
	switch {
	case spec.BestEffort && h.servingCPU > 0:
		for _, b := range c.estimates(h, spec.Image) {
			sum = max(sum, effect(b, spec.Need.CPU))
		}
	case spec.LatencyTarget > 0 && h.bestEffortCPU > 0:
		for _, b := range h.bestEffort {
			sum += effect(c.interference.Effect(spec.Image, b.image), b.cpu)
		}
	}
	return sum
}

// effect returns the effect of unthrottled best-effort tasks that use these processors, by
// the estimate for one.
func effect(b hvinterference.Estimate, cpu int64) float64 {
	return max(b.Mean, 0) * float64(cpu) / hvorder.CoreScale
}

// acceptableImpact is the greatest impact with which a best-effort task may run on
// a host even if it has less impact on other hosts.
const acceptableImpact = 0.25

// impactLimit returns the greatest impact that a best-effort task may have on its
// host. If it exceeds acceptableImpact on every host that may run it, only those with the
// least impact are allowed.
func (c *Cell) impactLimit(t *task, hosts []*host, impacts []float64) float64 {
	least := math.Inf(1)
	for i, h := range hosts {
		if c.mayRun(t.step, h) {
			least = min(least, impacts[i])
		}
	}
	return max(acceptableImpact, least)
}
