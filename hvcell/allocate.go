package hvcell

import (
	"time"

	"hibiscusvane.example/hibiscusvane/hvjob"
	"hibiscusvane.example/hibiscusvane/hvorder"
)

// allocate adds a run and its resources to its host.
func (c *Cell) allocate(now time.Time, h *host, t *task, number int) *run {
	r := &run{task: t, number: number, host: h, started: now, allocation: t.step.spec.Allocation()}
	h.runs[r.ref()] = r
	h.allocated = h.allocated.Add(r.allocation)
	h.countCPU(t.step.spec, 1)
	c.countUse(r, 1)
	c.countPromises(now, r)
	t.step.runsPerHost[h]++
	if len(t.runs) == 0 {
		t.step.waiting--
	}
	t.runs = append(t.runs, r)
	return r
}

// countCPU adds a run to the processors of best-effort or serving tasks, or with
// sign -1 removes it.
func (h *host) countCPU(s *hvjob.Step, sign int64) {
	h.pressuresValid = false
	if s.BestEffort {
		h.bestEffort = addImage(h.bestEffort, s, sign)
		h.bestEffortCPU += sign * s.Need.CPU
	}
	if s.LatencyTarget > 0 {
		images := len(h.serving)
		h.serving = addImage(h.serving, s, sign)
		if len(h.serving) != images {
			clear(h.estimates)
		}
		h.servingCPU += sign * s.Allocation().CPU
	}
}

func profile(r *run) hvorder.Profile {
	s := r.task.step.spec
	p := hvorder.Profile{Run: r.ref(), LatencyTarget: s.LatencyTarget, BestEffort: s.BestEffort, Image: s.Image}
	if s.BestEffort {
		p.CPU = s.Need.CPU
	}
	return p
}
