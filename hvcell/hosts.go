package hvcell

import (
	"time"

	"github.com/go-kit/log/level"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvjob"
	"hibiscusvane.example/hibiscusvane/hvorder"
)

const (
	// clockDrift is the greatest fraction by which an executor's clock may run slow.
	clockDrift = 0.03
	// leaseExpirySlack is the time that an executor may take to end runs after their
	// lease has expired.
	leaseExpirySlack = 300 * time.Millisecond
)

// AddHost adds the host of a node. Until the cell has recovered, a new host may
// still run tasks under leases of the previous owner.
func (c *Cell) AddHost(now time.Time, name string, info *hvorder.Host) {
	h := c.hosts[name]
	if h == nil {
		h = &host{name: name, runs: map[hvorder.Run]*run{}, unneeded: map[hvorder.Run]bool{}, cpuShare: fullShare}
		c.hosts[name] = h
		h.leaseExpiry = now
		if !c.recovered {
			h.leaseExpiry = c.options.ClaimedAt.Add(c.options.PreviousAuthority + c.maxLeaseDuration())
		}
	}
	if info != nil && !h.announced {
		h.setInfo(now, *info)
	}
}

// setInfo records an announcement of the host's executor.
func (h *host) setInfo(now time.Time, info hvorder.Host) {
	h.info, h.announced = info, true
	h.coldUntil = now.Add(time.Duration(info.ColdMillis) * time.Millisecond)
}

// DropHost removes a host that is not connected and has no runs.
func (c *Cell) DropHost(name string) {
	if h := c.hosts[name]; h != nil && !h.connected && len(h.runs) == 0 {
		delete(c.hosts, name)
	}
}

// maxLeaseDuration returns the time after a grant at which all runs under its lease
// have ended.
func (c *Cell) maxLeaseDuration() time.Duration {
	return c.options.LeaseDuration + time.Duration(float64(c.options.LeaseDuration)*clockDrift) + leaseExpirySlack
}

// NodeAttached processes the first report of a node on a new connection.
func (c *Cell) NodeAttached(now time.Time, name string, r hvorder.Report) hvorder.Grant {
	c.AddHost(now, name, nil)
	h := c.hosts[name]
	h.connected, h.dropped = true, false
	h.batch = 0
	h.forgetBatches()
	// A node that was restarted numbers its crashes anew.
	h.processedCrash, h.storedCrash = 0, 0
	h.attachments++
	if r.Host == nil {
		// The node has not heard its executor since its own start. What is known of
		// the host, from its registration or from before, may be out of date.
		h.announced = false
	}
	_ = level.Info(c.options.Logger).Log("msg", "node attached to this owner", "host", name, "life", r.Incarnation, "full", r.Full, "running", len(r.Running), "pending", len(r.Pending), "ended", len(r.Ended))
	return c.Report(now, name, r)
}

// NodeDetached records the end of the connection to a node. Its runs go on until
// their lease expires.
func (c *Cell) NodeDetached(now time.Time, name string) {
	h := c.hosts[name]
	if h == nil || !h.connected {
		return
	}
	h.connected = false
	h.reconciled = false
	// Pending orders are discarded; the full lists after the next attach show what the
	// host runs.
	h.orders = hvorder.Orders{}
	_ = level.Info(c.options.Logger).Log("msg", "connection to a node ended; its runs go on until their lease expires", "host", name, "runs", len(h.runs), "lapse", h.leaseExpiry.Sub(now))
}

// Report processes a report of an attached node.
func (c *Cell) Report(now time.Time, name string, r hvorder.Report) hvorder.Grant {
	h := c.hosts[name]
	if h == nil {
		return hvorder.Grant{}
	}
	if r.Host != nil {
		h.setInfo(now, *r.Host)
	}
	c.handleLastEnds(now, h, r.LastEnds)
	c.handleCrashes(now, h, r.Crashes)
	if r.ExecutorGone {
		c.loseRuns(now, h, "executor has ended")
		clear(h.unneeded)
		h.incarnation, h.reconciled, h.leaseExpiry = "", true, now
	}
	if r.Incarnation != "" && r.Incarnation != h.incarnation {
		h.resetIncarnation(now, r.Incarnation)
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
			c.releaseRun(run)
		}
	}
	for _, f := range r.Refused {
		c.handleRefusal(now, h, f)
	}
	c.observeTails(h, r)
	h.cpuShare = fullShare + r.ShareOffset
	h.updateThrottled(now)
	c.observeInterference(r)
	c.markJobsRunning(r)
	c.markSaved(now, h, r.Running)
	if r.Full && r.Clock >= h.clock {
		// Older lists may name runs that have ended since.
		c.reconcile(now, h, r)
	}
	// The lists may be the first with a stalled run.
	c.handleStalls(now, h, r.Stalled)
	h.recordProgress(now, r.Clock, r.Running)
	c.recordSavedStates(h, r.Running)
	g := c.grant(now, h, r)
	g.AckedCrash = h.storedCrash
	g.List = !r.Full && h.differsFrom(r)
	if g.List {
		_ = level.Info(c.options.Logger).Log("msg", "runs of a host are not those that the owner counts; asking for its lists", "host", name, "counted", len(h.runs), "life", h.incarnation)
	}
	return g
}

// differsFrom reports whether the runs on a host, as the digest in its report says, are not
// those that this owner counts.
func (h *host) differsFrom(r hvorder.Report) bool {
	if r.Digest == 0 || !h.reconciled || r.Incarnation != h.incarnation || r.Clock < h.clock {
		return false
	}
	counted := hvorder.EmptyDigest
	for ref, run := range h.runs {
		if run.batch <= r.Batch {
			counted = counted.With(ref)
		}
	}
	return counted != r.Digest
}

// handleStalls abandons the runs that make no progress.
func (c *Cell) handleStalls(now time.Time, h *host, stalled []hvorder.Run) {
	for _, s := range stalled {
		if r := h.runs[s]; r != nil && r.phase == phaseActive && !r.task.step.spec.Gang {
			c.abandonRun(now, r)
		}
	}
}

// resetIncarnation records a new incarnation of the executor. A run that was ordered
// around the restart may run in the new incarnation, so runs are kept until its full
// lists are reconciled.
func (h *host) resetIncarnation(now time.Time, incarnation string) {
	h.unreachableUntil = time.Time{}
	if h.crashedIncarnation != "" {
		h.recoveringUntil = now.Add(recoveryTime)
	}
	h.incarnation, h.clock, h.leaseEnd, h.respondedAt = incarnation, 0, 0, time.Time{}
	h.silent = false
	h.processedEnd, h.storedEnd, h.ackedEnd = 0, 0, 0
	h.reconciled = false
	h.orders = hvorder.Orders{}
	h.forgetBatches()
}

// forgetBatches makes the next full lists decide about all known runs: those that are not
// in them are not on their way either.
func (h *host) forgetBatches() {
	for _, r := range h.runs {
		r.batch = 0
	}
}

// grant renews the lease of all runs on the host.
func (c *Cell) grant(now time.Time, h *host, r hvorder.Report) hvorder.Grant {
	if r.Incarnation == "" {
		return hvorder.Grant{}
	}
	h.ackedEnd = h.storedEnd
	if c.suspended {
		return hvorder.Grant{AckedEnd: h.storedEnd}
	}
	h.leaseEnd = max(h.leaseEnd, r.Clock+c.options.LeaseDuration.Milliseconds())
	if r.Clock > h.clock || h.respondedAt.IsZero() {
		// A lease ends at a time of the executor's clock, so that a report without a new
		// response of the executor extends nothing.
		h.clock, h.respondedAt = r.Clock, now
		h.silent = false
		if expiry := now.Add(c.maxLeaseDuration()); expiry.After(h.leaseExpiry) || h.reconciled {
			h.leaseExpiry = expiry
		}
	} else {
		h.silent = now.Sub(h.respondedAt) > maxSilence
	}
	return hvorder.Grant{LeaseEnd: h.leaseEnd, AckedEnd: h.storedEnd, Effects: c.effects(h)}
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

// maxSilence is the time after the last response of an executor from which no task starts
// there. Executors respond at least every 0.8 s, and nodes report every 0.7 s.
const maxSilence = 3 * time.Second

// unreachableTime is how long no task starts on a host whose executor was not found.
const unreachableTime = 500 * time.Millisecond

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
	if f.Kind == hv.Expired {
		// The ticket may have been the reason, so a new one is requested.
		delete(r.task.step.advice.tickets, h.name)
	}
	if f.Kind == hv.Unavailable || f.Kind == hv.Invalid {
		r.task.avoidHost(h)
	}
	_ = level.Info(c.options.Logger).Log("msg", "start of a run was refused", "task", f.Task, "run", f.Run.Run, "host", h.name, "kind", f.Kind, "life", h.incarnation)
	c.releaseRun(r)
	if r.task.step.spec.Gang {
		c.stopGang(r)
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

// Tick releases runs whose leases have expired, sets up due rounds, marks saved
// states to be stored, stops stragglers and moves slow and throttled runs.
func (c *Cell) Tick(now time.Time) {
	for _, h := range c.hosts {
		if len(h.runs) > 0 && c.leasesExpired(now, h) {
			c.loseRuns(now, h, "leases have expired")
		}
	}
	c.checkRecovered(now)
	for _, j := range c.jobs {
		if j.roundsStarted < j.Rounds() {
			c.startDueRounds(now, j)
		}
	}
	c.markSavedStates(now)
	c.updateRisk(now)
	if c.options.Policy.Tail {
		c.paces = c.measurePaces(now)
	}
	c.checkStragglers(now)
	c.checkTails(now)
	if !c.options.Policy.Tail {
		c.migrateThrottled(now)
	}
	c.logColocation(now)
	c.updateBestEffortLoad(now)
}

// leasesExpired reports whether all runs on a host have ended for certain and no other
// owner can have learned of their ends. A host that this owner cannot reach may have
// reported them to a newer owner, so this gate must have been the owner after the expiry.
func (c *Cell) leasesExpired(now time.Time, h *host) bool {
	return now.After(h.leaseExpiry) && c.confirmedAt.After(h.leaseExpiry)
}

// saveInterval is the interval at which saved states are stored. A new owner that
// finds no run of a task starts it from the stored state.
const saveInterval = time.Second

func (c *Cell) markSavedStates(now time.Time) {
	if now.Sub(c.lastSaveMark) < saveInterval {
		return
	}
	c.lastSaveMark = now
	for _, j := range c.jobs {
		if j.unstoredStates {
			j.unstoredStates = false
			c.markChanged(j)
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
