package hvcell

import (
	"slices"
	"time"

	"github.com/go-kit/log/level"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvjob"
	"hibiscusvane.example/hibiscusvane/hvorder"
)

// retryDelay is the delay before a task whose start was refused is started again.
const retryDelay = 200 * time.Millisecond

// handleEnd applies the end of a run that a host reports.
func (c *Cell) handleEnd(now time.Time, h *host, e hv.RunEnd) {
	delete(h.unneeded, hvorder.Run{Task: e.Task, Run: e.Run})
	t := c.findTask(e.Task)
	r := h.runs[hvorder.Run{Task: e.Task, Run: e.Run}]
	if r != nil {
		c.releaseRun(r)
	}
	if t == nil || t.done {
		return
	}
	c.markJobRunning(t.step.round.job)
	if r != nil {
		c.survivedRun(t, now.Sub(r.started))
	}
	if e.SavedState != "" && t.step.spec.Checkpoint && !t.isBehind(r) {
		t.saved = e.SavedState
		t.progress().save(t.index, e.SavedState)
		c.markChanged(t.step.round.job)
	}
	c.exemptIfStopped(t, r, e)
	switch e.Reason {
	case hv.EndDone:
		c.handleDone(now, h, t, r)
	case hv.EndFailed:
		c.handleFailed(now, h, t, e)
	default:
		c.counts.Lost++
		c.logEnd(h, e)
	}
}

// handleLastEnds applies the ends of an executor that has ended. A node reports them again
// on the next connection until they are stored, so those that only release a run count
// while the run is known.
func (c *Cell) handleLastEnds(now time.Time, h *host, r hvorder.Report) {
	h.processedLastEnd = max(h.processedLastEnd, r.LastEndNumber)
	for _, e := range r.LastEnds {
		known := h.runs[hvorder.Run{Task: e.Task, Run: e.Run}] != nil
		if known || e.Reason == hv.EndDone || e.Reason == hv.EndFailed {
			c.handleEnd(now, h, e)
		}
	}
}

func (c *Cell) logEnd(h *host, e hv.RunEnd) {
	_ = level.Info(c.options.Logger).Log("msg", "run ended without completing its task", "task", e.Task, "run", e.Run, "host", h.name, "how", e.Reason, "number", e.Number)
}

// progress returns the stored progress of a task's step, or nil once its round has
// ended.
func (t *task) progress() *stepProgress {
	r := t.step.round
	stored, ok := r.job.progress.Rounds[r.number]
	if !ok {
		return nil
	}
	return (*stepProgress)(&stored.Steps[t.step.index])
}

type stepProgress hvjob.StepProgress

func (p *stepProgress) save(index int, saved string) {
	if p.SavedStates == nil {
		p.SavedStates = map[int]string{}
	}
	p.SavedStates[index] = saved
}

// maxUnlimitedFailures bounds the failed runs that are recorded of a task without a limit of
// attempts.
const maxUnlimitedFailures = 32

// fail records a failed run once and returns the number of failed runs. With a limit of 0
// only the newest are kept.
func (p *stepProgress) fail(index, run, limit int) int {
	if p.FailedRuns == nil {
		p.FailedRuns = map[int][]int{}
	}
	runs := p.FailedRuns[index]
	if !slices.Contains(runs, run) {
		runs = append(runs, run)
	}
	if limit <= 0 {
		runs = runs[max(len(runs)-maxUnlimitedFailures, 0):]
	}
	p.FailedRuns[index] = runs
	return len(runs)
}

// handleDone completes a task, or all tasks of its gang. A long-running task starts
// again.
func (c *Cell) handleDone(now time.Time, h *host, t *task, r *run) {
	c.counts.Done++
	c.options.Health.Record(now, h.name, h.info.Rack, t.name, true)
	if r != nil {
		if !r.resumed && !r.adopted {
			// The run did the whole task since this owner ordered it.
			took := now.Sub(r.started)
			c.estimate.observe(t.step, took)
			t.step.runTimes.add(took)
		}
		if r.copied && len(t.runs) > 0 {
			c.counts.CopiesFirst++
			_ = level.Info(c.options.Logger).Log("msg", "second run of a task is done before the first", "task", t.name, "run", r.number, "host", h.name)
		}
	}
	if t.step.spec.LongRunning {
		return
	}
	done := []*task{t}
	if t.step.spec.Gang {
		done = t.step.tasks
	}
	for _, d := range done {
		c.completeTask(d)
	}
	c.advanceRound(now, t.step.round)
}

func (c *Cell) completeTask(t *task) {
	if t.done {
		return
	}
	if len(t.runs) == 0 {
		t.step.waiting--
	}
	t.done = true
	t.step.done++
	p := t.progress()
	p.Done.Set(t.index)
	delete(p.SavedStates, t.index)
	delete(p.Crashes, t.index)
	c.markChanged(t.step.round.job)
	if t.step.spec.Gang {
		return
	}
	c.stopAll(t)
}

// advanceRound updates the ready steps of a round, and completes the round, and the
// job after its last round, once all steps are done.
func (c *Cell) advanceRound(now time.Time, r *round) {
	r.updateReadySteps()
	for _, s := range r.steps {
		if s.done < len(s.tasks) {
			return
		}
	}
	j := r.job
	delete(j.rounds, r.number)
	delete(j.progress.Rounds, r.number)
	j.progress.CompletedRounds = j.progress.CompletedRounds.With(r.number)
	if j.progress.CompletedRounds.Count() == j.Rounds() {
		c.finishJob(now, j, hvjob.Complete)
		return
	}
	c.startDueRounds(now, j)
}

// FailJob fails a job whose progress cannot be stored and returns the progress to store. If
// the job has ended since, that is its last one.
func (c *Cell) FailJob(now time.Time, id string) hvjob.Progress {
	if j := c.jobs[id]; j != nil {
		c.finishJob(now, j, hvjob.Failed)
		return j.progress
	}
	for _, j := range c.changed {
		if j.ID == id {
			return j.progress
		}
	}
	// It was cancelled, so that nothing of it runs again.
	return hvjob.Progress{State: hvjob.Running}
}

// finishJob ends a job in a final state, which is stored.
func (c *Cell) finishJob(now time.Time, j *job, s hvjob.State) {
	_ = level.Info(c.options.Logger).Log("msg", "job reached a final state", "job", j.ID, "queue", j.Queue, "state", s, "took_ms", now.UnixMilli()-j.Submitted)
	if c.options.OnJobEnd != nil {
		c.options.OnJobEnd(j.Queue, s, time.Duration(now.UnixMilli()-j.Submitted)*time.Millisecond)
	}
	if s == hvjob.Complete {
		c.crashRates.Observe(now, j.Queue, false)
	}
	c.removeJob(now, j)
	j.progress = hvjob.Progress{State: s, ChangedAt: now.UnixMilli()}
	c.markChanged(j)
}

// handleFailed counts a failed run, and fails the job once the attempts of its queue
// are used up. The runs of a gang count together; those of long-running tasks do not
// count.
func (c *Cell) handleFailed(now time.Time, h *host, t *task, e hv.RunEnd) {
	c.counts.Failed++
	c.options.Health.Record(now, h.name, h.info.Rack, t.name, false)
	t.avoidHost(now, h)
	if t.step.spec.LongRunning {
		c.logEnd(h, e)
		return
	}
	index := t.index
	if t.step.spec.Gang {
		index = 0
	}
	j := t.step.round.job
	n := t.progress().fail(index, e.Run, j.queue.MaxAttempts)
	c.markChanged(j)
	_ = level.Info(c.options.Logger).Log("msg", "run of a task failed", "task", t.name, "run", e.Run, "host", h.name, "failed", n, "attempts", j.queue.MaxAttempts)
	if j.queue.MaxAttempts > 0 && n >= j.queue.MaxAttempts {
		c.finishJob(now, j, hvjob.Failed)
	}
}

// avoidHost prevents further runs of the task on a host while others remain that may run it.
func (t *task) avoidHost(now time.Time, h *host) {
	if t.avoidedHosts == nil {
		t.avoidedHosts = map[string]bool{}
	}
	t.avoidedHosts[h.name], t.avoidedAt = true, now
}

// releaseRun frees the allocation of a run. A task that is not done and has no other
// run waits again.
func (c *Cell) releaseRun(r *run) {
	h, t := r.host, r.task
	if h.runs[r.ref()] != r {
		return
	}
	delete(h.runs, r.ref())
	h.allocated = h.allocated.Sub(r.allocation)
	h.countCPU(t.step.spec, -1)
	c.countUse(r, -1)
	c.uncountPromises(r)
	if t.step.runsPerHost[h]--; t.step.runsPerHost[h] <= 0 {
		delete(t.step.runsPerHost, h)
	}
	if i := slices.Index(t.runs, r); i >= 0 {
		t.runs = slices.Delete(t.runs, i, i+1)
	}
	if len(t.runs) == 0 && !t.done {
		t.step.waiting++
		if r.saved != "" && t.step.spec.Checkpoint {
			t.saved = r.saved
		}
	}
}

// loseRuns releases all runs of a host whose executor has ended or whose lease has
// expired.
func (c *Cell) loseRuns(now time.Time, h *host, reason string) {
	if len(h.runs) > 0 {
		_ = level.Warn(c.options.Logger).Log("msg", "all runs on a host are lost", "host", h.name, "why", reason, "runs", len(h.runs), "life", h.incarnation)
	}
	for _, r := range h.runs {
		c.counts.Lost++
		c.releaseRun(r)
	}
	h.orders = hvorder.Orders{}
}
