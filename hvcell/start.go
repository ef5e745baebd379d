package hvcell

import (
	"time"

	"github.com/go-kit/log/level"

	"hibiscusvane.example/hibiscusvane/hvjob"
	"hibiscusvane.example/hibiscusvane/hvorder"
)

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
		start.SavedState, r.resumed = t.saved, t.saved != ""
	}
	if t.step.needsAdvice() {
		start.Ticket, _ = t.step.ticket(now, h)
	}
	h.orders.Starts = append(h.orders.Starts, start)
	r.batch = h.batch + 1
	h.countStart(now)
	if t.step.isRisky() {
		h.riskyUntil = now.Add(riskyTime)
	}
	h.addSpec(j)
	c.counts.Starts++
	if h.isPromisedToOthers(t.step) {
		c.counts.Backfilled++
	}
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

// markJobRunning changes the state of a job to running once a host has begun a run of
// it. An order alone may be refused or lost.
func (c *Cell) markJobRunning(j *job) {
	if j.progress.State == "" || j.progress.State == hvjob.Queued {
		j.progress.State = hvjob.Running
		c.markChanged(j)
	}
}
