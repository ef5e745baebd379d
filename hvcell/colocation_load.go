package hvcell

import (
	"cmp"
	"math"
	"slices"

	"hibiscusvane.example/hibiscusvane/hvjob"
	"hibiscusvane.example/hibiscusvane/hvorder"
)

// imageLoad counts the runs of one image on a host, and the processors that they need.
type imageLoad struct {
	image string
	runs  int
	cpu   int64
	// tail is the logarithm of the ratio of the tail latency of a serving image to its
	// target that is expected without best-effort tasks.
	tail float64
}

// addImage adds a run to a list of loads that is sorted by image, or with sign -1
// removes it.
func addImage(list []imageLoad, s *hvjob.Step, sign int64) []imageLoad {
	i, found := slices.BinarySearchFunc(list, s.Image, func(l imageLoad, image string) int { return cmp.Compare(l.image, image) })
	if !found {
		list = slices.Insert(list, i, imageLoad{image: s.Image, tail: unmeasuredTail})
	}
	list[i].runs += int(sign)
	list[i].cpu += sign * s.Need.CPU
	if list[i].runs == 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// pressures returns by how much the best-effort tasks on a host raise the logarithm of
// the tail latency of each image that serves there, in the order of h.serving.
func (c *Cell) pressures(h *host) []float64 {
	if h.pressuresValid && h.pressuresVersion == c.interference.Version() {
		return h.pressures
	}
	h.pressures = h.pressures[:0]
	for range h.serving {
		h.pressures = append(h.pressures, 0)
	}
	for _, b := range h.bestEffort {
		for i, e := range c.estimates(h, b.image) {
			if e.Mean >= harmlessEffect {
				h.pressures[i] += e.Mean * float64(b.cpu) / hvorder.CoreScale
			}
		}
	}
	h.pressuresValid, h.pressuresVersion = true, c.interference.Version()
	return h.pressures
}

// tailWith returns the logarithm of the greatest ratio of a tail latency to its target
// that is expected on a host with one more best-effort task, among the images that the
// task interferes with.
func (c *Cell) tailWith(s *hvjob.Step, h *host) float64 {
	worst := math.Inf(-1)
	estimates := c.estimates(h, s.Image)
	for i, p := range c.pressures(h) {
		if e := effect(estimates[i], s.Need.CPU); e > lowImpact {
			worst = max(worst, h.serving[i].tail+p+e)
		}
	}
	return worst
}

// observeTails updates what is expected of the tail latencies of the images on a host. It
// is called before the new share of best-effort tasks is recorded, as the measurement was
// taken under the old one.
func (c *Cell) observeTails(h *host, r hvorder.Report) {
	if !c.options.Policy.Colocation || len(r.TailChanges) == 0 {
		return
	}
	for i, p := range c.pressures(h) {
		s := &h.serving[i]
		worst, measured := 0.0, false
		for _, t := range r.TailChanges {
			if ratio := float64(t.LogRatio) / hvorder.LogScale; t.Image == s.image && t.LogRatio != 0 && (!measured || ratio > worst) {
				worst, measured = ratio, true
			}
		}
		if measured {
			worst = min(max(worst, -maxLogTail), maxLogTail) - p*float64(h.cpuShare)/fullShare
			s.tail = max(worst, s.tail+tailDecay*(worst-s.tail))
		}
	}
}

// hasUnusedCPU reports whether other tasks leave a host the processors that a best-effort
// task needs.
func (h *host) hasUnusedCPU(s *hvjob.Step) bool {
	return h.bestEffortCPU+s.Need.CPU <= h.unusedCPU()
}

// withUnusedCPU returns the hosts that have the processors for a best-effort task, until
// the next call. Under load few hosts are left, so the effects of the task on all others
// need not be looked up.
func (c *Cell) withUnusedCPU(t *task, hosts []*host) []*host {
	c.hostBuffer = c.hostBuffer[:0]
	for _, h := range hosts {
		if h.hasUnusedCPU(t.step.spec) {
			c.hostBuffer = append(c.hostBuffer, h)
		}
	}
	return c.hostBuffer
}
