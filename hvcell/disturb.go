package hvcell

import (
	"math"
	"slices"

	"hibiscusvane.example/hibiscusvane/hvinterference"
	"hibiscusvane.example/hibiscusvane/hvorder"
)

// Until it is measured, an image of fill work is assumed to raise the
// logarithm of a tail by this much for each processor in use.
var disturbance = hvinterference.Belief{Mean: 0.05, Variance: 0.12 * 0.12}

// tailNoise is the variance of the logarithm of a tail's change from one
// measurement to the next.
const tailNoise = 0.25 * 0.25

const (
	// calmEffect is the effect of a processor on the logarithm of a tail below
	// which an image does not disturb. Ten processors of it cost 30%.
	calmEffect = 0.03
	// calmDeviations is how sure this must be, in standard deviations.
	calmDeviations = 0.7
	// coreUnit is the number of units of load in a processor.
	coreUnit = 1000.0
)

// learn takes the changes of the tails of serving tasks and of the load beside
// them.
func (c *Cell) learn(r hvorder.Report) {
	moved := make(map[string]float64, len(r.Moved))
	for image, load := range r.Moved {
		if load != 0 {
			moved[image] = float64(load) / coreUnit
		}
	}
	for _, t := range r.Tails {
		c.disturb.Observe(t.Image, moved, float64(t.Change)/changeUnit)
	}
}

// changeUnit is the unit of a logarithm in reports.
const changeUnit = 1000

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
		b := c.disturb.Effect(s, image)
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
			sum = max(sum, max(c.disturb.Effect(s, spec.Image).Mean, 0)*float64(spec.Need.CPU)/coreUnit)
		}
	case spec.Target > 0 && h.filled > 0:
		for _, r := range h.runs {
			if f := r.task.step.spec; f.Fill {
				sum += max(c.disturb.Effect(spec.Image, f.Image).Mean, 0) * float64(f.Need.CPU) / coreUnit
			}
		}
	}
	return sum
}
