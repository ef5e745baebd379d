package hvcell

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"hibiscusvane.example/hibiscusvane/hvcrash"
	"hibiscusvane.example/hibiscusvane/hvjob"
	"hibiscusvane.example/hibiscusvane/hvorder"
)

const (
	// giveUpBelief is the probability that one of a job's tasks crashes the hosts that
	// start it, from which the job is given up.
	giveUpBelief = 0.999
	// minCrashes is the number of hosts that must have crashed under a task before its
	// job is given up.
	minCrashes = 2
	// maxUnexplained is the number of crashes soon after a start of one task, in each of
	// which it was suspected and none explained by another task, after which its job is
	// given up whatever the belief: callers and hosts bear no more. Of one host only the
	// first few count. maxLikely is that number if the task is more likely at fault than
	// not: while hosts also crash for other reasons, four may come together under one that
	// is not.
	maxUnexplained, maxLikely = 6, 4
	likelyBelief              = 0.5
	// soonAfterStart is the age of a run up to which a crash counts for maxUnexplained.
	soonAfterStart = time.Second
	// suspectShare is the share of a job in the responsibility of all tasks from which
	// its tasks are suspected.
	suspectShare = 0.2
	// explainedShare is the responsibility of another job from which a crash is explained
	// by it.
	explainedShare = 0.5
	// negligibleBelief is the belief below which the crash of a host says nothing of a
	// run that had been there for longer than soonAfterStart.
	negligibleBelief = 1e-4
	// blameWindow is how long a crash is remembered so that other tasks are cleared
	// once one is blamed for it.
	blameWindow = 30 * time.Second
)

// hostCrash is a recent crash and what it changed.
type hostCrash struct {
	id         int
	at         time.Time
	background float64
	// uncertainty is how long before it was noticed the host may have crashed.
	uncertainty time.Duration
	// suspects holds the tasks that were on the host, and inputs what was believed of
	// all runs, first those of the suspects.
	suspects []suspect
	inputs   []hvcrash.Run
}

// attribute returns what the crash says of each run on the host.
func (k hostCrash) attribute() []hvcrash.Result {
	return hvcrash.Attribute(k.background, k.uncertainty, k.inputs)
}

// suspect is a task that was on a host when it crashed.
type suspect struct {
	task  *task
	run   hvorder.CrashedRun
	input hvcrash.Run
	// before is the record of the task before the crash.
	before hvjob.CrashRecord
	// counted is true if the crash is already in the record.
	counted bool
}

// handleCrashes draws the conclusions from the crashes that a node reports.
func (c *Cell) handleCrashes(now time.Time, h *host, crashes []hvorder.Crash) {
	for _, k := range crashes {
		if k.Number <= h.processedCrash {
			continue
		}
		h.processedCrash = k.Number
		if k.Incarnation != h.crashedIncarnation {
			h.crashedIncarnation, h.crashedAt = k.Incarnation, now
			c.handleCrash(now, h, k)
		}
	}
}

// handleCrash updates what is believed of the tasks on a host that crashed, and gives
// up the jobs whose tasks crash their hosts.
func (c *Cell) handleCrash(now time.Time, h *host, k hvorder.Crash) {
	h.endTrial()
	suspects, inputs := c.suspects(now, h, k)
	if slices.ContainsFunc(suspects, func(s suspect) bool { return s.counted }) {
		// The owner before stored what this crash says and did not acknowledge it.
		return
	}
	c.counts.Crashes++
	crash := hostCrash{
		at: now, background: c.crashHistory.Background(now, h.name, h.info.Rack, len(c.hosts)),
		uncertainty: time.Duration(k.UncertaintyMillis) * time.Millisecond, suspects: suspects, inputs: inputs,
	}
	results := crash.attribute()
	byJob, total := responsibilities(suspects, results)
	crash.id = c.crashHistory.Add(now, h.name, h.info.Rack, 1-total)
	c.logCrash(h, k, crash, results)
	c.recentCrashes = slices.DeleteFunc(c.recentCrashes, func(old hostCrash) bool { return now.Sub(old.at) > blameWindow })
	c.recentCrashes = append(c.recentCrashes, crash)
	for i, s := range suspects {
		own := byJob[s.task.step.round.job]
		c.recordCrash(now, h, s, results[i], own >= suspectShare*total, isExplained(byJob, s.task.step.round.job))
	}
	for j := range byJob {
		if j != nil && crash.convicts(j, results) {
			c.giveUp(now, j)
		}
	}
	c.updateRisk(now)
}

// convicts reports whether a job is to be given up after a crash: one of its tasks under
// which hosts crashed before caused it, even if it is not known which one, or one did so
// once too often.
func (k hostCrash) convicts(j *job, results []hvcrash.Result) bool {
	responsibility, innocent := 0.0, 1.0
	for i, s := range k.suspects {
		if s.task.step.round.job != j {
			continue
		}
		record := s.task.crashRecord()
		if record.Unexplained >= maxUnexplained || record.Unexplained >= maxLikely && record.Belief >= likelyBelief {
			return true
		}
		if len(record.Runs) >= minCrashes {
			responsibility += results[i].Responsibility
			innocent *= 1 - hvcrash.Survived(k.inputs[i].Belief, k.inputs[i].Age)
		}
	}
	return 1-(1-responsibility)*innocent >= giveUpBelief
}

// suspects returns the tasks that were on a host when it crashed, and the input for
// all runs, first those of these tasks. Runs of jobs that were given up explain a
// crash, but are no suspects any more.
func (c *Cell) suspects(now time.Time, h *host, k hvorder.Crash) ([]suspect, []hvcrash.Run) {
	var out []suspect
	var blamed []hvcrash.Run
	for _, r := range k.Runs {
		age := c.ageOf(now, h, r)
		if c.givenUp[hvjob.JobOf(r.Task)] {
			blamed = append(blamed, hvcrash.Run{Belief: giveUpBelief, Age: age})
			continue
		}
		t := c.findTask(r.Task)
		if t == nil || t.done {
			continue
		}
		record := t.crashRecord()
		if !r.Unconfirmed {
			c.markJobRunning(t.step.round.job)
		}
		out = append(out, suspect{task: t, run: r, input: hvcrash.Run{Belief: c.belief(now, t), Age: age}, before: record, counted: record.Has(r.Run.Run)})
	}
	inputs := make([]hvcrash.Run, 0, len(out)+len(blamed))
	for _, s := range out {
		inputs = append(inputs, s.input)
	}
	return out, append(inputs, blamed...)
}

// settledAge is the age of a run of which nobody knows when it was started.
const settledAge = time.Hour

// ageOf returns the age of a run when its host crashed.
func (c *Cell) ageOf(now time.Time, h *host, r hvorder.CrashedRun) time.Duration {
	if r.AgeMillis >= 0 {
		return time.Duration(r.AgeMillis) * time.Millisecond
	}
	if known := h.runs[r.Run]; known != nil && !known.adopted {
		return now.Sub(known.started)
	}
	return settledAge
}

// belief returns the probability that a task crashes the hosts that start it.
func (c *Cell) belief(now time.Time, t *task) float64 {
	if p := t.progress(); p != nil {
		if r, ok := p.Crashes[t.index]; ok {
			return r.Belief
		}
	}
	return c.prior(now, t.step.round.job)
}

// prior returns the probability that a task of a job crashes the hosts that start it if
// no host crashed under it.
func (c *Cell) prior(now time.Time, j *job) float64 {
	return c.crashRates.Prior(now, j.Queue) / float64(j.taskCount)
}

// crashRecord returns what is known of a task whose hosts crashed.
func (t *task) crashRecord() hvjob.CrashRecord {
	if p := t.progress(); p != nil {
		return p.Crashes[t.index]
	}
	return hvjob.CrashRecord{}
}

// responsibilities returns the probability that a task of each job caused a crash, with
// nil for jobs that were given up before, and that any task did.
func responsibilities(suspects []suspect, results []hvcrash.Result) (byJob map[*job]float64, total float64) {
	byJob = map[*job]float64{}
	for i, r := range results {
		var j *job
		if i < len(suspects) {
			j = suspects[i].task.step.round.job
		}
		byJob[j] += r.Responsibility
		total += r.Responsibility
	}
	return byJob, total
}

// isExplained reports whether a task of another job most probably caused a crash.
func isExplained(byJob map[*job]float64, j *job) bool {
	for other, responsibility := range byJob {
		if other != j && responsibility >= explainedShare {
			return true
		}
	}
	return false
}

// recordCrash records what a crash says of a task.
func (c *Cell) recordCrash(now time.Time, h *host, s suspect, r hvcrash.Result, suspected, explained bool) {
	young := s.input.Age <= soonAfterStart
	if r.Belief < negligibleBelief && !young && !suspected {
		return
	}
	record := s.before.WithRun(s.run.Run.Run, !s.run.Unconfirmed).WithBelief(r.Belief)
	record.Suspected = suspected
	if young && suspected && !explained {
		record = record.WithUnexplained(h.name)
	}
	c.setCrashRecord(s.task, record)
	if suspected {
		s.task.avoidHost(now, h)
	}
}

// setCrashRecord replaces the record of a task. Its job starts no suspected task until
// the record is stored.
func (c *Cell) setCrashRecord(t *task, r hvjob.CrashRecord) {
	p := t.progress()
	if p == nil {
		return
	}
	if p.Crashes == nil {
		p.Crashes = map[int]hvjob.CrashRecord{}
	}
	p.Crashes[t.index] = r
	j := t.step.round.job
	j.crashVersion++
	c.suspectJobs[j.ID] = j
	c.markChanged(j)
}

// updateRisk updates what is expected of new jobs: if some of a queue probably crash
// hosts, others of it are likely to do so too.
func (c *Cell) updateRisk(now time.Time) {
	suspected := map[string]float64{}
	for id, j := range c.suspectJobs {
		if c.jobs[id] != j {
			delete(c.suspectJobs, id)
			continue
		}
		if belief := j.belief(now); belief >= trialBelief {
			suspected[j.Queue] += belief
		}
	}
	c.crashRates.SetSuspected(suspected)
	c.riskyQueues = c.crashRates.Above(now, riskyBelief)
}

// belief returns the probability that one of the tasks of a job whose hosts crashed is at
// fault. Those that have run for a while since are less suspect.
func (j *job) belief(now time.Time) float64 {
	innocent := 1.0
	for _, r := range j.rounds {
		for _, s := range r.steps {
			for i, record := range s.crashRecords() {
				belief := record.Belief
				if runs := s.tasks[i].runs; len(runs) > 0 {
					belief = hvcrash.Survived(belief, now.Sub(runs[0].started))
				}
				innocent *= 1 - belief
			}
		}
	}
	return 1 - innocent
}

// survivedRun lowers the belief in a task of which a run ended while its host went on.
func (c *Cell) survivedRun(t *task, age time.Duration) {
	p := t.progress()
	if p == nil {
		return
	}
	if r, ok := p.Crashes[t.index]; ok {
		r = r.WithBelief(hvcrash.Survived(r.Belief, age))
		r.Suspected = r.Suspected && age < trialTime
		p.Crashes[t.index] = r
	}
}

// giveUp fails a job whose tasks crash their hosts, and clears the tasks that were
// merely on these hosts.
func (c *Cell) giveUp(now time.Time, j *job) {
	worst, record := j.worstTask()
	_ = level.Warn(c.options.Logger).Log("msg", "job is given up because a task of it crashes the hosts that start it", "job", j.ID, "queue", j.Queue, "task", worst, "hosts", len(record.Runs), "unconfirmed", len(record.Unconfirmed), "unexplained", record.Unexplained, "belief", record.Belief)
	c.counts.GivenUp++
	c.givenUp[j.ID] = true
	c.crashRates.Observe(now, j.Queue, true)
	for _, k := range c.recentCrashes {
		c.clearOthers(k, j)
	}
	c.finishJob(now, j, hvjob.Failed)
}

// clearOthers judges a crash again once a job is blamed. If a task of that job caused
// it, it clears the tasks of other jobs that were on the host.
func (c *Cell) clearOthers(k hostCrash, blamed *job) {
	k.inputs = slices.Clone(k.inputs)
	for i, s := range k.suspects {
		if s.task.step.round.job == blamed {
			k.inputs[i].Belief = max(k.inputs[i].Belief, s.task.crashRecord().Belief)
		}
	}
	results := k.attribute()
	if byJob, _ := responsibilities(k.suspects, results); byJob[blamed] < explainedShare {
		return
	}
	c.crashHistory.Explain(k.id)
	for i, s := range k.suspects {
		j := s.task.step.round.job
		record := s.task.crashRecord()
		if j == blamed || c.jobs[j.ID] != j || !record.IsLast(s.run.Run.Run) {
			continue
		}
		cleared := record.WithBelief(min(record.Belief, results[i].Belief))
		if s.before.Unexplained < record.Unexplained {
			cleared.Unexplained, cleared.UnexplainedHosts = s.before.Unexplained, s.before.UnexplainedHosts
		}
		cleared.Suspected = false
		c.setCrashRecord(s.task, cleared)
	}
}

// worstTask returns the task of the job that most probably crashes its hosts.
func (j *job) worstTask() (name string, worst hvjob.CrashRecord) {
	for n, r := range j.progress.Rounds {
		for i, s := range r.Steps {
			for k, record := range s.Crashes {
				if name == "" || record.Belief > worst.Belief {
					name, worst = hvjob.Task{Job: j.ID, Round: n, Step: i, Index: k}.String(), record
				}
			}
		}
	}
	return name, worst
}

// describe names the task with its age and the conclusion in percent.
func (s suspect) describe(r hvcrash.Result) string {
	const percent = 100
	return fmt.Sprintf("%s:age=%s,caused=%.3g%%,belief=%.3g%%", s.task.name, s.input.Age, r.Responsibility*percent, r.Belief*percent)
}

// maxLoggedSuspects bounds the tasks that the line of a crash names.
const maxLoggedSuspects = 3

// logCrash logs a crash with the tasks that most probably caused it.
func (c *Cell) logCrash(h *host, k hvorder.Crash, crash hostCrash, results []hvcrash.Result) {
	order := make([]int, 0, len(crash.suspects))
	for i := range crash.suspects {
		order = append(order, i)
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Compare(results[b].Responsibility, results[a].Responsibility)
	})
	var names []string
	for _, i := range order[:min(len(order), maxLoggedSuspects)] {
		names = append(names, crash.suspects[i].describe(results[i]))
	}
	_ = level.Warn(c.options.Logger).Log("msg", "executor of a host crashed", "host", h.name, "life", k.Incarnation, "runs", len(k.Runs), "uncertain_ms", k.UncertaintyMillis, "background", crash.background, "suspects", strings.Join(names, " "))
}
