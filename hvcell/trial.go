package hvcell

import (
	"cmp"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"hibiscusvane.example/hibiscusvane/hvjob"
)

const (
	// riskyBelief is the probability, that one of the tasks of a step that are to start
	// crashes its host, from which hosts are chosen so that little else is lost.
	riskyBelief = 0.01
	// trialBelief is the probability from which tasks of which a crash is known start
	// apart from others, even if they are not suspected.
	trialBelief = 0.1
	// trialTime is how long nothing else starts on a host after suspected tasks were
	// started there. Tasks that crash their host mostly do so within it.
	trialTime = 250 * time.Millisecond
	// trialDivisor limits the hosts in trials at one time to 1/trialDivisor of them.
	trialDivisor = 3
	// acceptableLoss is the expected number of runs lost with the host for which nothing
	// waits, and lossPerSecond what a second of waiting adds to it.
	acceptableLoss = 1.0
	lossPerSecond  = 3.0
	// maxTrialWait is how long suspected tasks wait at most for a host on which little
	// is lost, and maxLongRunningWait how long those that serve users at all times do.
	maxTrialWait       = 8 * time.Second
	maxLongRunningWait = 3 * time.Second
	// riskyTime is how long a host is avoided by other tasks after risky ones were
	// started there.
	riskyTime = 2 * time.Second
)

// trial is a set of suspected tasks that are to start apart from others: those of a step, in
// one round or in several of a schedule.
type trial struct {
	step   *step
	tasks  []*task
	belief float64
	// since is when the first of them was to start apart from others, or last did so.
	since time.Time
}

// trialOf computes how probable it is that the waiting tasks of a step crash the host
// that starts them. It returns those of them of which a crash is known, and whether they
// are to start apart from others.
func (c *Cell) trialOf(now time.Time, s *step) (trial, bool) {
	s.risk = 0
	tr := trial{step: s}
	j := s.round.job
	if _, known := c.suspectJobs[j.ID]; !known && !c.riskyQueues[j.Queue] {
		return tr, false
	}
	records, prior, suspected := s.crashRecords(), c.prior(now, j), false
	for _, t := range s.tasks {
		if t.done || len(t.runs) > 0 || t.unlocated {
			continue
		}
		r, ok := records[t.index]
		if !ok {
			s.risk += prior
			continue
		}
		s.risk += r.Belief
		tr.tasks = append(tr.tasks, t)
		tr.belief += r.Belief
		suspected = suspected || r.Suspected
	}
	s.risk, tr.belief = min(s.risk, 1), min(tr.belief, 1)
	needed := suspected || tr.belief >= trialBelief
	if needed && s.suspectedSince.IsZero() {
		s.suspectedSince = now
	}
	tr.since = s.suspectedSince
	return tr, needed
}

// crashRecords returns what is known of the tasks of a step whose hosts crashed.
func (s *step) crashRecords() map[int]hvjob.CrashRecord {
	stored, ok := s.round.job.progress.Rounds[s.round.number]
	if !ok {
		return nil
	}
	return stored.Steps[s.index].Crashes
}

// isRisky reports whether a host is chosen for the waiting tasks of a step so that
// little else is lost.
func (s *step) isRisky() bool { return s.risk >= riskyBelief }

// startTrials starts suspected tasks before all others, so that they get hosts on which
// little is lost, and returns the tasks that only a trial may start. Long-running tasks go
// first, as they serve users at all times, and then those that probably do no harm.
func (c *Cell) startTrials(now time.Time, list []candidate, hosts []*host) map[*task]bool {
	held := map[*task]bool{}
	var trials []trial
	for _, cand := range list {
		tr, needed := c.trialOf(now, cand.step)
		if !needed {
			continue
		}
		for _, t := range tr.tasks {
			held[t] = true
		}
		if !tr.step.spec.Gang {
			trials = append(trials, tr)
		}
	}
	trials = joinRounds(trials)
	slices.SortStableFunc(trials, func(a, b trial) int {
		return cmp.Or(longRunningFirst(a.step.spec.LongRunning, b.step.spec.LongRunning), cmp.Compare(a.belief, b.belief))
	})
	for _, tr := range trials {
		c.startTrial(now, tr, hosts)
	}
	return held
}

// joinRounds joins the trials of a step in the rounds of a schedule, which may be hundreds: a
// job has one trial at a time, and few hosts are in trials. Together they stay below
// trialBelief, as the more probable a crash is, the longer a trial waits.
func joinRounds(trials []trial) []trial {
	type key struct {
		job  *job
		step int
	}
	last := map[key]int{}
	out := trials[:0]
	for _, tr := range trials {
		k := key{tr.step.round.job, tr.step.index}
		i, ok := last[k]
		if !ok || out[i].belief+tr.belief >= trialBelief {
			last[k] = len(out)
			out = append(out, tr)
			continue
		}
		out[i].tasks = append(out[i].tasks, tr.tasks...)
		out[i].belief += tr.belief
		if tr.since.Before(out[i].since) {
			out[i].since = tr.since
		}
	}
	return out
}

// startTrial starts suspected tasks together on one host, on which nothing
// else starts for trialTime. If the host crashes, the cause is clear, and if there are
// few other runs on it, little is lost. The more probable that is, the longer the tasks
// wait for a host with few runs.
func (c *Cell) startTrial(now time.Time, tr trial, hosts []*host) {
	s := tr.step
	j := s.round.job
	if !j.crashesStored() || c.trials(now, hosts, j) > 0 || c.trials(now, hosts, nil) >= max(1, len(hosts)/trialDivisor) {
		return
	}
	waited := now.Sub(tr.since)
	h := c.trialHost(now, tr, hosts, waited)
	if h == nil && s.spec.LongRunning {
		c.reserveCapacity(now, tr.tasks[0], hosts)
	}
	if h == nil || !c.lossIsAcceptable(tr, h, hosts, waited) || c.tooManyHostsDown(now, tr, hosts) {
		return
	}
	beside, started := len(h.runs), 0
	for _, t := range tr.tasks {
		if t.canStart(now) && c.canTry(now, t, h, waited) {
			c.startRun(now, h, t, t.nextRun)
			t.nextRun++
			t.step.suspectedSince, t.step.waitLogged = now, false
			started++
		}
	}
	if started == 0 {
		return
	}
	h.trialJob, h.trialUntil = j, now.Add(trialTime)
	_ = level.Info(c.options.Logger).Log("msg", "suspected tasks start apart from others", "job", j.ID, "round", s.round.number, "step", s.index, "tasks", started, "of", len(tr.tasks), "host", h.name, "beside", beside, "belief", tr.belief, "waited", waited)
}

// lossIsAcceptable reports whether a trial may start on a host: the runs there, and the
// share of the waiting tasks that the host could run, are at risk.
func (c *Cell) lossIsAcceptable(tr trial, h *host, hosts []*host, waited time.Duration) bool {
	atRisk := float64(len(h.runs)) + float64(c.counts.Waiting)/float64(len(hosts))
	return waited >= tr.step.maxTrialWait() || tr.belief*atRisk <= acceptableLoss+lossPerSecond*waited.Seconds()
}

const (
	// probableBelief is the probability from which a trial most probably costs a host.
	probableBelief = 0.5
	// downTime is how long a host counts as down after a crash unless it is back.
	downTime = 10 * time.Second
	// downDivisor limits the hosts that are down, while the others are busy, to
	// 1/downDivisor of all before such a trial.
	downDivisor = 5
	// busyLoad is the share of the allocated processors from which hosts are busy.
	busyLoad = 0.5
)

// tooManyHostsDown reports whether a trial that most probably costs a host has to wait:
// the others are busy, and some hosts are down already.
func (c *Cell) tooManyHostsDown(now time.Time, tr trial, usable []*host) bool {
	if tr.belief < probableBelief || load(usable) < busyLoad {
		return false
	}
	down := c.trials(now, usable, nil)
	for _, h := range c.hosts {
		if h.incarnation == "" && now.Sub(h.crashedAt) < downTime {
			down++
		}
	}
	return down >= max(1, len(c.hosts)/downDivisor)
}

// load returns the share of the processors of hosts that is allocated.
func load(hosts []*host) float64 {
	used, all := int64(0), int64(1)
	for _, h := range hosts {
		used, all = used+h.allocated.CPU, all+h.info.Capacity.CPU
	}
	return float64(used) / float64(all)
}

// avoidTime is how long suspected tasks wait for a host that did not crash under them.
const avoidTime = time.Second

// trialHost returns the host with the fewest runs that can run a suspected task, or
// nil. In a rack that has just lost a host, a crash would prove nothing: such hosts come
// last, and tasks that probably crash their host wait for others.
func (c *Cell) trialHost(now time.Time, tr trial, hosts []*host, waited time.Duration) *host {
	t := tr.tasks[0]
	var best, unsteady *host
	for _, h := range c.trialHosts(now, t, hosts, waited) {
		if !c.canTry(now, t, h, waited) {
			continue
		}
		least := &best
		if c.crashHistory.RackUnsteady(now, h.info.Rack) {
			least = &unsteady
		}
		if *least == nil || len(h.runs) < len((*least).runs) {
			*least = h
		}
	}
	if best == nil && tr.belief < trialBelief {
		return unsteady
	}
	return best
}

// trialHosts returns the hosts to choose from for a suspected task: after avoidTime also those
// that crashed under it, and once it has waited long enough those in quarantine, too.
func (c *Cell) trialHosts(now time.Time, t *task, hosts []*host, waited time.Duration) []*host {
	switch {
	case waited < avoidTime:
		return c.preferred(now, t, hosts)
	case waited >= t.step.maxTrialWait():
		return hosts
	}
	return c.fewestDrawbacks(t.step, hosts, func(h *host) int {
		if h.quarantined {
			return 1
		}
		return 0
	})
}

// canTry reports whether a suspected task can start on a host. Once it has waited long enough
// it does so even if it interferes or is throttled there.
func (c *Cell) canTry(now time.Time, t *task, h *host, waited time.Duration) bool {
	if waited >= t.step.maxTrialWait() {
		return c.hardObstacle(now, t, h) == ""
	}
	return c.obstacle(now, t, h, c.impact(t, h)) == ""
}

// maxTrialWait returns how long suspected tasks of the step wait at most for a better host.
func (s *step) maxTrialWait() time.Duration {
	if s.spec.LongRunning {
		return maxLongRunningWait
	}
	return maxTrialWait
}

// trials counts the hosts in trials, of one job or, if it is nil, of all.
func (c *Cell) trials(now time.Time, hosts []*host, j *job) int {
	n := 0
	for _, h := range hosts {
		if h.inTrial(now) && (j == nil || h.trialJob == j) {
			n++
		}
	}
	return n
}

func (h *host) endTrial() { h.trialJob, h.trialUntil = nil, time.Time{} }

func (h *host) inTrial(now time.Time) bool { return now.Before(h.trialUntil) }

// crashesStored reports whether all that is known of crashes under the job's tasks is
// stored.
func (j *job) crashesStored() bool { return j.storedCrashVersion == j.crashVersion }

const (
	// weightRisk is subtracted from the score of a host where risky tasks were started
	// lately for all other tasks, and added for risky tasks.
	weightRisk = 1.0
	// weightLoss is subtracted from the score of a host for a risky task for each run
	// that would be lost with it, up to maxLoss runs.
	weightLoss = 0.05
	maxLoss    = 20
)

// riskScore keeps risky tasks and others on different hosts.
func (s *step) riskScore(now time.Time, h *host) float64 {
	used := now.Before(h.riskyUntil)
	switch {
	case s.isRisky() && used:
		return weightRisk - weightLoss*float64(min(len(h.runs), maxLoss))
	case s.isRisky():
		return -weightLoss * float64(min(len(h.runs), maxLoss))
	case used:
		return -weightRisk
	}
	return 0
}

const (
	// recoveryTime is how long the starts on a host are limited after its executor
	// crashed and is back: maxRecoveryStarts in each recoveryInterval. Otherwise all that
	// waits starts there at once, and if one of these tasks crashes the host again, many
	// runs are lost and nothing tells which one did.
	recoveryTime      = 2 * time.Second
	recoveryInterval  = 100 * time.Millisecond
	maxRecoveryStarts = 8
)

// startsAreLimited reports whether no more tasks may start on the host now: its executor
// crashed or has refused starts lately.
func (h *host) startsAreLimited(now time.Time) bool {
	return now.Before(h.refusedUntil) || now.Before(h.recoveringUntil) && now.Sub(h.startWindow) < recoveryInterval && h.startsInWindow >= maxRecoveryStarts
}

// countStart counts a start for startsAreLimited.
func (h *host) countStart(now time.Time) {
	if now.Sub(h.startWindow) >= recoveryInterval {
		h.startWindow, h.startsInWindow = now, 0
	}
	h.startsInWindow++
}
