package hvcell

import (
	"time"

	"github.com/go-kit/log/level"

	"hibiscusvane.example/hibiscusvane/hvorder"
)

// isCurrent reports whether the runs in a report may still be on the host. Older ones may
// have ended since; those that the executor listed last have ended with their leases.
func (c *Cell) isCurrent(now time.Time, h *host, r hvorder.Report) bool {
	if r.Clock == h.clock && !h.respondedAt.IsZero() {
		return !c.leasesExpired(now, h)
	}
	return r.Clock >= h.clock
}

// differsFrom reports whether the runs on a host, as the digest in its report says, are not
// those that this owner counts. A node sends a digest once it has sent the lists; if none
// was current, they are needed again.
func (h *host) differsFrom(r hvorder.Report) bool {
	if r.Digest == 0 || r.Incarnation != h.incarnation {
		return false
	}
	if !h.reconciled {
		return true
	}
	counted := hvorder.EmptyDigest
	for ref, run := range h.runs {
		if run.batch <= r.Batch {
			counted = counted.With(ref)
		}
	}
	return counted != r.Digest
}

// forgetBatches makes the next full lists decide about all known runs: those that are not
// in them are not on their way either.
func (h *host) forgetBatches() {
	for _, r := range h.runs {
		r.batch = 0
	}
}

// reconcile compares the full lists of a host with its known runs: it adopts runs
// that are not known and stops those that are not listed. Nodes repeat the lists when
// their digest differs, so that a run that was lost without a report does not count for
// good.
func (c *Cell) reconcile(now time.Time, h *host, r hvorder.Report) {
	listed := map[hvorder.Run]bool{}
	clear(h.unneeded)
	for _, row := range r.Running {
		ref := hvorder.Run{Task: row.Task, Run: row.Run}
		listed[ref] = true
		c.adoptRun(now, h, ref, row.SavedState)
		h.locate(ref)
	}
	for _, ref := range r.Pending {
		listed[ref] = true
		c.adoptRun(now, h, ref, "")
	}
	if c.isEvacuated(h) && len(r.Pending) > 0 {
		h.orders.Withdraw = true
	}
	for ref, known := range h.runs {
		switch {
		case listed[ref] && known.phase == phaseStopping:
			h.orders.Stops = append(h.orders.Stops, ref)
		case listed[ref] || known.batch > r.Batch:
			// The lists are older than the order if they do not name its run.
		default:
			// The start may have been lost with its connection or with an earlier
			// incarnation, or may still be carried out. The stop prevents that before
			// the task starts elsewhere.
			_ = level.Info(c.options.Logger).Log("msg", "host does not list a run; stopping it", "task", ref.Task, "run", ref.Run, "host", h.name, "age", now.Sub(known.started), "repeated", h.reconciled)
			known.phase = phaseActive
			c.stopRun(known)
		}
	}
	h.reconciled = true
}

// adoptRun adds a run that a host lists, or stops it if its task is unknown, done or
// has another run.
func (c *Cell) adoptRun(now time.Time, h *host, ref hvorder.Run, saved string) {
	if known := h.runs[ref]; known != nil {
		if !h.reconciled {
			// The node may have been restarted since it received the start.
			h.orders.Profiles = append(h.orders.Profiles, profile(known))
		}
		return
	}
	t := c.findTask(ref.Task)
	if t == nil || t.done || len(t.runs) > 0 && !t.step.spec.Speculative {
		h.orders.Stops = append(h.orders.Stops, ref)
		h.unneeded[ref] = true
		_ = level.Info(c.options.Logger).Log("msg", "host lists a run that is not needed; stopping it", "task", ref.Task, "run", ref.Run, "host", h.name)
		return
	}
	r := c.allocate(now, h, t, ref.Run)
	r.saved, r.adopted = saved, true
	t.nextRun = max(t.nextRun, ref.Run+1)
	t.step.nextRun = max(t.step.nextRun, ref.Run+1)
	h.orders.Profiles = append(h.orders.Profiles, profile(r))
}

// locate records that the host lists a run as running. An owner starts a run only after the
// one before has ended for certain, so that the task has no other run, unless it is copied
// or starts with its gang.
func (h *host) locate(ref hvorder.Run) {
	if r := h.runs[ref]; r != nil && !r.task.step.spec.Speculative && !r.task.step.spec.Gang {
		r.task.unlocated = false
	}
}

// EndPreviousAuthority records that the previous owner grants no more leases. Leases on hosts
// that this owner cannot reach then end earlier than they would under its whole authority.
func (c *Cell) EndPreviousAuthority(now time.Time) {
	end := now
	if earlier := c.options.ClaimedAt.Add(c.options.EarlierAuthority); earlier.After(end) {
		end = earlier
	}
	if c.recovered || !end.Before(c.previousAuthorityEnd) {
		return
	}
	_ = level.Info(c.options.Logger).Log("msg", "previous owner has ended; its authority no longer counts", "epoch", c.options.Epoch, "left", c.previousAuthorityEnd.Sub(now), "earlier", end.Sub(now))
	c.previousAuthorityEnd = end
	expiry := now.Add(c.options.maxLeaseDuration())
	if earlier := end.Add(c.options.maxLeaseOverhang()); earlier.After(expiry) {
		expiry = earlier
	}
	if !expiry.Before(c.previousLeasesEnd) {
		return
	}
	c.previousLeasesEnd = expiry
	for _, h := range c.hosts {
		if h.leaseExpiry.After(expiry) {
			h.leaseExpiry = expiry
		}
	}
}

// checkRecovered lets all inherited tasks start once every host has listed its runs or
// all leases of the previous owner on it have expired.
func (c *Cell) checkRecovered(now time.Time) {
	if c.recovered {
		return
	}
	for _, h := range c.hosts {
		if !h.reconciled && !c.leasesExpired(now, h) {
			return
		}
	}
	c.recovered = true
	for _, j := range c.jobs {
		j.locateAll()
	}
	_ = level.Info(c.options.Logger).Log("msg", "recovery of the cell is complete; inherited tasks may start", "epoch", c.options.Epoch, "hosts", len(c.hosts), "after", now.Sub(c.options.ClaimedAt))
}

// locateAll lets all tasks of a job start.
func (j *job) locateAll() {
	for _, r := range j.rounds {
		for _, s := range r.steps {
			for _, t := range s.tasks {
				t.unlocated = false
			}
		}
	}
}
