package hvcell

import (
	"time"

	"github.com/go-kit/log/level"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvjob"
	"hibiscusvane.example/hibiscusvane/hvorder"
)

// Report processes a report of an attached node.
func (c *Cell) Report(now time.Time, name string, r hvorder.Report) hvorder.Grant {
	h := c.hosts[name]
	if h == nil {
		return hvorder.Grant{}
	}
	if r.Host != nil {
		h.setInfo(now, *r.Host)
	}
	c.handleLastEnds(now, h, r)
	c.handleCrashes(now, h, r.Crashes)
	if r.ExecutorGone {
		c.loseRuns(now, h, "executor has ended")
		clear(h.unneeded)
		h.incarnation, h.reconciled, h.leaseExpiry = "", true, now
	}
	if r.Incarnation != "" && r.Incarnation != h.incarnation {
		h.resetIncarnation(now, r)
	}
	for _, e := range r.Ended {
		if e.Number > h.processedEnd {
			h.processedEnd = e.Number
			c.handleEnd(now, h, e)
		}
	}
	for _, s := range r.Stopped {
		delete(h.unneeded, s)
		if run := h.runs[s]; run != nil {
			c.releaseUnstarted(run)
		}
	}
	for _, f := range r.Refused {
		c.handleRefusal(now, h, f)
	}
	c.observeTails(h, r)
	h.cpuShare = fullShare + r.ShareOffset
	h.updateThrottled(now)
	c.observeInterference(r)
	if len(r.Began) > 0 {
		h.refusals = 0
	}
	c.markJobsRunning(r)
	c.markSaved(now, h, r.Running)
	current := c.isCurrent(now, h, r)
	if r.Full && current {
		c.reconcile(now, h, r)
	}
	// The lists may be the first with a stalled run.
	c.handleStalls(now, h, r.Stalled)
	h.recordProgress(now, r.Clock, r.Running)
	c.recordSavedStates(h, r.Running)
	g := c.grant(now, h, r)
	g.AckedCrash, g.AckedLastEnd = h.storedCrash, h.storedLastEnd
	g.List = current && !r.Full && h.differsFrom(r)
	if g.List {
		_ = level.Info(c.options.Logger).Log("msg", "runs of a host are not those that the owner counts; asking for its lists", "host", name, "counted", len(h.runs), "life", h.incarnation)
	}
	return g
}

// handleStalls abandons the runs that make no progress for longer than expected.
func (c *Cell) handleStalls(now time.Time, h *host, stalled []hvorder.StalledRun) {
	for _, s := range stalled {
		r := h.runs[s.Run]
		if r == nil || r.phase != phaseActive || r.task.step.spec.Gang {
			continue
		}
		unmoved := max(time.Duration(s.Millis)*time.Millisecond, stallTimeout)
		if unmoved >= c.maxUnmoved(r.task) {
			c.abandonRun(now, r)
		}
	}
}

// markJobsRunning changes the state of the jobs of which a host has begun a run.
func (c *Cell) markJobsRunning(r hvorder.Report) {
	for _, id := range r.Began {
		c.markBegun(id)
	}
	for _, row := range r.Running {
		c.markBegun(hvjob.JobOf(row.Task))
	}
}

// markBegun changes the state of a job, if it has not ended, to running.
func (c *Cell) markBegun(id string) {
	if j := c.jobs[id]; j != nil {
		c.markJobRunning(j)
	}
}

// recordSavedStates keeps the newest saved states of runs, from which their tasks
// resume if the host is lost.
func (c *Cell) recordSavedStates(h *host, rows []hv.RunState) {
	for _, row := range rows {
		r := h.runs[hvorder.Run{Task: row.Task, Run: row.Run}]
		if r == nil || row.SavedState == "" || row.SavedState == r.saved || !r.task.step.spec.Checkpoint {
			continue
		}
		r.saved, r.savedPercent = row.SavedState, row.Percent
		// The progress is nil for runs of an ended job, which hosts list until they have
		// stopped.
		if p := r.task.progress(); p != nil && !r.task.isBehind(r) {
			p.save(r.task.index, row.SavedState)
			r.task.step.round.job.unstoredStates = true
		}
	}
}

// unreachableTime is how long no task starts on a host whose executor was not found.
const unreachableTime = 500 * time.Millisecond

// maxRefusalPause is the longest time without starts on a host that refuses them.
const maxRefusalPause = time.Second

// pauseStarts keeps tasks from a host that has refused a start because of its own state, for
// twice as long each time. Refusals of starts from before a pause do not count again.
func (h *host) pauseStarts(now time.Time) {
	if now.Before(h.refusedUntil) {
		return
	}
	pause := min(retryDelay<<min(h.refusals, maxDoublings), maxRefusalPause)
	h.refusals++
	h.refusedUntil = now.Add(pause)
}

// handleRefusal releases a run whose start the executor refused.
func (c *Cell) handleRefusal(now time.Time, h *host, f hvorder.Refusal) {
	r := h.runs[f.Run]
	if r == nil {
		return
	}
	c.counts.Refused++
	if f.Kind == hv.NotFound {
		// The executor has ended; its node reports that shortly after.
		h.unreachableUntil = now.Add(unreachableTime)
	} else {
		r.task.notBefore = now.Add(retryDelay)
	}
	if f.Kind == hv.Full || f.Kind == hv.Unavailable {
		h.pauseStarts(now)
	}
	if f.Kind == hv.Expired {
		// The ticket may have been the reason, so a new one is requested.
		delete(r.task.step.advice.tickets, h.name)
	}
	if f.Kind == hv.Unavailable || f.Kind == hv.Invalid {
		r.task.avoidHost(now, h)
	}
	_ = level.Info(c.options.Logger).Log("msg", "start of a run was refused", "task", f.Task, "run", f.Run.Run, "host", h.name, "kind", f.Kind, "life", h.incarnation)
	c.releaseUnstarted(r)
}
