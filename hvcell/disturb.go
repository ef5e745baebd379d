package hvcell

import (
	"math"
	"slices"

	"hibiscusvane.example/hibiscusvane/hvinterference"
	"hibiscusvane.example/hibiscusvane/hvjob"
	"hibiscusvane.example/hibiscusvane/hvorder"
)

// Until it is measured, an image of fill work is assumed to raise the
// logarithm of a tail by this much for each processor in use.
var effectPrior = hvinterference.Estimate{Mean: 0.05, Variance: 0.12 * 0.12}

// tailVariance is the variance of the logarithm of a tail's change from one
// measurement to the next.
const tailVariance = 0.25 * 0.25

const (
	// harmlessEffect is the effect of a processor on the logarithm of a tail below
	// which an image does not disturb. Ten processors of it cost 30%.
	harmlessEffect = 0.03
	// harmlessDeviations is how sure this must be, in standard deviations.
	harmlessDeviations = 0.7
)

// LearnedState is what an owner hands to the next one.
type LearnedState struct {
	Effects  hvinterference.Effects  `json:"effects,omitempty"`
	RunTimes map[string]RunTimeStats `json:"times,omitempty"`
}

// LearnedState returns what the cell has learned.
func (c *Cell) LearnedState() LearnedState {
	l := LearnedState{Effects: c.interference.Effects(), RunTimes: map[string]RunTimeStats{}}
	for queue, h := range c.estimate.queues {
		l.RunTimes[queue] = *h
	}
	return l
}

// Restore starts from what the owner before has learned.
func (c *Cell) Restore(l LearnedState) {
	c.interference.Restore(l.Effects)
	for queue, h := range l.RunTimes {
		c.estimate.queues[queue] = &h
	}
}

// observeInterference takes the changes of the tails of serving tasks and of the load beside
// them.
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

// effects returns the images of fill work on a host that disturb what serves
// there.
func (c *Cell) effects(h *host) map[string]int64 {
	serving := h.images(isServing)
	if len(serving) == 0 {
		return nil
	}
	out := map[string]int64{}
	for _, image := range h.images(isBestEffort) {
		if e := c.worstEffect(serving, image); e >= harmlessEffect {
			out[image] = int64(e * hvorder.LogScale)
		}
	}
	return out
}

func isServing(s *step) bool { return s.spec.LatencyTarget > 0 }

func isBestEffort(s *step) bool { return s.spec.BestEffort }

// worstEffect is the greatest plausible effect of a processor of fill work on
// one of the images that serve.
func (c *Cell) worstEffect(serving []string, image string) float64 {
	worst := 0.0
	for _, s := range serving {
		b := c.interference.Effect(s, image)
		worst = max(worst, b.Mean+harmlessDeviations*math.Sqrt(b.Variance))
	}
	return worst
}

// images returns the distinct images of the host's runs whose steps match, in no
// order.
func (h *host) images(match func(*step) bool) []string {
	var out []string
	for _, r := range h.runs {
		if s := r.task.step; match(s) && !slices.Contains(out, s.spec.Image) {
			out = append(out, s.spec.Image)
		}
	}
	return out
}

// impacts predicts what a task does to each of the hosts.
func (c *Cell) impacts(t *task, hosts []*host) []float64 {
	out := make([]float64, len(hosts))
	for i, h := range hosts {
		out[i] = c.impact(t, h)
	}
	return out
}

// impact predicts what a task does to the tails of a host, as a logarithm: a
// fill task to those that serve there, a serving task by what fills there.
func (c *Cell) impact(t *task, h *host) float64 {
	spec := t.step.spec
	sum := 0.0
	switch {
	case spec.BestEffort && h.servingCPU > 0:
		for _, s := range h.images(isServing) {
			sum = max(sum, c.effect(s, spec))
		}
	case spec.LatencyTarget > 0 && h.bestEffortCPU > 0:
		for _, r := range h.runs {
			if f := r.task.step.spec; f.BestEffort {
				sum += c.effect(spec.Image, f)
			}
		}
	}
	return sum
}

// effect is what a fill task at its full pace does to a serving image.
func (c *Cell) effect(serving string, bestEffort *hvjob.Step) float64 {
	return max(c.interference.Effect(serving, bestEffort.Image).Mean, 0) * float64(bestEffort.Need.CPU) / hvorder.CoreScale
}

// acceptableImpact is the greatest effect of one fill task on a host that takes it
// although other hosts suffer less.
const acceptableImpact = 0.25

// impactLimit returns the greatest effect that a fill task may have on its
// host. Where it disturbs all hosts it goes to those that suffer least.
func impactLimit(t *task, hosts []*host, impacts []float64) float64 {
	least := math.Inf(1)
	for i, h := range hosts {
		if h.info.Service == t.step.round.job.queue.Service {
			least = min(least, impacts[i])
		}
	}
	return max(acceptableImpact, least)
}
