package hvcell

import (
	"slices"

	"github.com/go-kit/log/level"
)

// SetEvacuated replaces the set of evacuated zones. No task starts on their hosts
// until they are no longer in the set; runs that have started go on. Starts that
// were ordered and have no response yet are withdrawn.
func (c *Cell) SetEvacuated(zones []string) {
	old := c.evacuated
	c.evacuated = make(map[string]bool, len(zones))
	for _, z := range zones {
		c.evacuated[z] = true
	}
	for _, h := range c.hosts {
		if c.isEvacuated(h) && !old[h.info.Zone] {
			c.withdrawStarts(h)
		}
	}
}

// isEvacuated reports whether the zone of a host is evacuated.
func (c *Cell) isEvacuated(h *host) bool { return c.evacuated[h.info.Zone] }

// withdrawStarts releases the runs whose start was not sent to the host yet and
// orders the node to withdraw the starts that the executor has not responded to.
func (c *Cell) withdrawStarts(h *host) {
	starts := h.orders.Starts
	h.orders.Starts, h.orders.Specs, h.orders.SpecRefs = nil, nil, nil
	h.orders.Withdraw = true
	for _, s := range starts {
		if r := h.runs[s.Run]; r != nil {
			c.releaseUnstarted(r)
		}
	}
	_ = level.Info(c.options.Logger).Log("msg", "zone of a host is evacuated; starts on it are withdrawn", "host", h.name, "zone", h.info.Zone, "unsent", len(starts), "runs", len(h.runs))
}

// releaseUnstarted releases a run that has not started and never will. The other members of
// its gang would wait for it in vain.
func (c *Cell) releaseUnstarted(r *run) {
	c.releaseRun(r)
	if r.task.step.spec.Gang {
		c.stopGang(r)
	}
}

// stopGang stops the other members of the gang of a run.
func (c *Cell) stopGang(missing *run) {
	for _, t := range missing.task.step.tasks {
		for _, r := range slices.Clone(t.runs) {
			if r.number == missing.number {
				c.stopRun(r)
			}
		}
	}
}
