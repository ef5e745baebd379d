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
var disturbance = hvinterference.Estimate{Mean: 0.05, Variance: 0.12 * 0.12}

// tailNoise is the variance of the logarithm of a tail's change from one
// measurement to the next.
const tailNoise = 0.25 * 0.25

const (
	// calmEffect is the effect of a processor on the logarithm of a tail below
	// which an image does not disturb. Ten processors of it cost 30%.
	calmEffect = 0.03
	// calmDeviations is how sure this must be, in standard deviations.
	calmDeviations = 0.7
)

// LearnedState is what an owner hands to the next one.
type LearnedState struct {
	Effects  hvinterference.Effects  `json:"effects,omitempty"`
	RunTimes map[string]RunTimeStats `json:"times,omitempty"`
}

// LearnedState returns what the cell has learned.
func (c *Cell) LearnedState() LearnedState {
	l := LearnedState{Effects: c.disturb.Effects(), RunTimes: map[string]RunTimeStats{}}
	for queue, h := range c.estimate.queues {
		l.RunTimes[queue] = *h
	}
	return l
}

// Restore starts from what the owner before has learned.
func (c *Cell) Restore(l LearnedState) {
	c.disturb.Restore(l.Effects)
	for queue, h := range l.RunTimes {
		c.estimate.queues[queue] = &h
	}
}

// learn takes the changes of the tails of serving tasks and of the load beside
// them.
func (c *Cell) learn(r hvorder.Report) {
	moved := make(map[string]float64, len(r.LoadChanges))
	for image, load := range r.LoadChanges {
		if load != 0 {
			moved[image] = float64(load) / hvorder.CoreScale
		}
	}
	for _, t := range r.TailChanges {
		c.disturb.Observe(t.Image, moved, float64(t.LogChange)/hvorder.LogScale)
	}
}

// effects returns the images of fill work on a host that disturb what serves
// there.
func (c *Cell) effects(h *host) map[string]int64 {
	serving := h.images(serves)
	if len(serving) == 0 {
		return nil
	}
	out := map[string]int64{}
	for _, image := range h.images(fills) {
		if e := c.worstEffect(serving, image); e >= calmEffect {
			out[image] = int64(e * hvorder.LogScale)
		}
	}
	return out
}

func serves(s *step) bool { return s.spec.LatencyTarget > 0 }

func fills(s *step) bool { return s.spec.BestEffort }

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

// hurts predicts what a task does to each of the hosts.
func (c *Cell) hurts(t *task, hosts []*host) []float64 {
	out := make([]float64, len(hosts))
	for i, h := range hosts {
		out[i] = c.hurt(t, h)
	}
	return out
}

// hurt predicts what a task does to the tails of a host, as a logarithm: a
// fill task to those that serve there, a serving task by what fills there.
func (c *Cell) hurt(t *task, h *host) float64 {
	spec := t.step.spec
	sum := 0.0
	switch {
	case spec.BestEffort && h.serving > 0:
		for _, s := range h.images(serves) {
			sum = max(sum, c.effect(s, spec))
		}
	case spec.LatencyTarget > 0 && h.filled > 0:
		for _, r := range h.runs {
			if f := r.task.step.spec; f.BestEffort {
				sum += c.effect(spec.Image, f)
			}
		}
	}
	return sum
}

// effect is what a fill task at its full pace does to a serving image.
func (c *Cell) effect(serving string, fill *hvjob.Step) float64 {
	return max(c.disturb.Effect(serving, fill.Image).Mean, 0) * float64(fill.Need.CPU) / hvorder.CoreScale
}

// bearable is the greatest effect of one fill task on a host that takes it
// although other hosts suffer less.
const bearable = 0.25

// bearableFor returns the greatest effect that a fill task may have on its
// host. Where it disturbs all hosts it goes to those that suffer least.
func bearableFor(t *task, hosts []*host, hurts []float64) float64 {
	least := math.Inf(1)
	for i, h := range hosts {
		if h.info.Service == t.step.round.job.queue.Service {
			least = min(least, hurts[i])
		}
	}
	return max(bearable, least)
}
