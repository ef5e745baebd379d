package hvcell

import (
	"math"
	"slices"

	"hibiscusvane.example/hibiscusvane/hvinterference"
	"hibiscusvane.example/hibiscusvane/hvorder"
)

// disturbance is what is assumed of an image of fill work before any sample.
// The unit of load is one processor in use.
var disturbance = hvinterference.Prior{
	Pair: hvinterference.Belief{Mean: 0.05, Variance: 0.12 * 0.12},
	// A serving task without fill work beside it is at 40% of its target.
	Base: hvinterference.Belief{Mean: -0.9, Variance: 0.25},
	// The tail swings with the task's own load by about 40%.
	Noise:     0.16,
	PairDrift: 1e-6,
	BaseDrift: 1e-4,
}

const (
	// calmEffect is the effect of a processor on the logarithm of a tail below
	// which an image does not disturb. Ten processors of it cost 30%.
	calmEffect = 0.03
	// calmDeviations is how sure this must be, in standard deviations.
	calmDeviations = 0.7
	// coreUnit is the number of units of load in a processor.
	coreUnit = 1000.0
)

// learn takes the tails of serving tasks and the load beside them.
func (c *Cell) learn(r hvorder.Report) {
	if len(r.Tails) == 0 {
		return
	}
	loads := make(map[string]float64, len(r.Fill))
	for image, load := range r.Fill {
		loads[image] = float64(load) / coreUnit
	}
	for _, t := range r.Tails {
		c.disturb.Service(t.Image).Observe(nil, 0, loads, float64(t.Ratio)/ratioUnit)
	}
}

// ratioUnit is the unit of a ratio in reports.
const ratioUnit = 1000

// calm returns the images of fill work on a host that do not disturb what
// serves there.
func (c *Cell) calm(h *host) []string {
	serving := h.images(func(s *step) bool { return s.spec.Target > 0 })
	if len(serving) == 0 {
		return nil
	}
	var out []string
	for _, image := range h.images(func(s *step) bool { return s.spec.Fill }) {
		if c.worstEffect(serving, image) < calmEffect {
			out = append(out, image)
		}
	}
	return out
}

// worstEffect is the greatest plausible effect of a processor of fill work on
// one of the images that serve.
func (c *Cell) worstEffect(serving []string, image string) float64 {
	worst := 0.0
	for _, s := range serving {
		b := c.disturb.Service(s).Pair(image)
		worst = max(worst, b.Mean+calmDeviations*math.Sqrt(b.Variance))
	}
	return worst
}

// images returns the distinct images of the host's runs whose steps match.
func (h *host) images(match func(*step) bool) []string {
	var out []string
	for _, r := range h.runs {
		if s := r.task.step; match(s) && !slices.Contains(out, s.spec.Image) {
			out = append(out, s.spec.Image)
		}
	}
	slices.Sort(out)
	return out
}

// hurt predicts what a task does to the tails of a host, as a logarithm: a
// fill task to those that serve there, a serving task by what fills there.
func (c *Cell) hurt(t *task, h *host) float64 {
	spec := t.step.spec
	sum := 0.0
	switch {
	case spec.Fill && h.serving > 0:
		for _, s := range h.images(func(s *step) bool { return s.spec.Target > 0 }) {
			sum = max(sum, max(c.disturb.Service(s).Pair(spec.Image).Mean, 0)*float64(spec.Need.CPU)/coreUnit)
		}
	case spec.Target > 0 && h.filled > 0:
		for _, r := range h.runs {
			if f := r.task.step.spec; f.Fill {
				sum += max(c.disturb.Service(spec.Image).Pair(f.Image).Mean, 0) * float64(f.Need.CPU) / coreUnit
			}
		}
	}
	return sum
}
