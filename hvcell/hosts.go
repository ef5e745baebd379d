package hvcell

import (
	"time"

	"github.com/go-kit/log/level"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvjob"
	"hibiscusvane.example/hibiscusvane/hvorder"
)

const (
	// clockDrift bounds how much slower an executor's clock may be.
	clockDrift = 0.03
	// lapseSlack covers the time in which an executor ends what has lapsed.
	lapseSlack = 300 * time.Millisecond
)

// AddHost makes a node known. Until it answers, it may run inherited tasks.
func (c *Cell) AddHost(now time.Time, name string, info *hvorder.Host) {
	h := c.hosts[name]
	if h == nil {
		h = &host{name: name, runs: map[hvorder.Run]*run{}, pace: fullPace}
		c.hosts[name] = h
		h.lapse = now
		if !c.settled {
			h.lapse = c.options.ClaimedAt.Add(c.options.PreviousAuthority + c.leaseBound())
		}
	}
	if info != nil && !h.announced {
		h.info, h.announced = *info, true
	}
}

// DropHost forgets a node that has nothing left to run.
func (c *Cell) DropHost(name string) {
	if h := c.hosts[name]; h != nil && !h.linked && len(h.runs) == 0 {
		delete(c.hosts, name)
	}
}

func (c *Cell) leaseBound() time.Duration {
	return c.options.Lease + time.Duration(float64(c.options.Lease)*clockDrift) + lapseSlack
}

// NodeAttached takes the first report of a node on a new connection.
func (c *Cell) NodeAttached(now time.Time, name string, r hvorder.Report) hvorder.Grant {
	c.AddHost(now, name, nil)
	h := c.hosts[name]
	h.linked, h.dropped = true, false
	_ = level.Info(c.options.Logger).Log("msg", "node is attached", "host", name, "life", r.Incarnation, "full", r.Full, "running", len(r.Running), "pending", len(r.Pending), "ended", len(r.Ended))
	return c.Report(now, name, r)
}

// NodeDetached notes that the connection to a node has ended. What runs there goes
// on until its lease passes.
func (c *Cell) NodeDetached(now time.Time, name string) {
	h := c.hosts[name]
	if h == nil || !h.linked {
		return
	}
	h.linked = false
	h.answered = false
	// Orders that were not taken are lost; the lists tell when it is back.
	h.orders = hvorder.Orders{}
	_ = level.Info(c.options.Logger).Log("msg", "node is detached", "host", name, "runs", len(h.runs), "lapse", h.lapse.Sub(now))
}

// Report takes a report of an attached node.
func (c *Cell) Report(now time.Time, name string, r hvorder.Report) hvorder.Grant {
	h := c.hosts[name]
	if h == nil {
		return hvorder.Grant{}
	}
	if r.Host != nil {
		h.info, h.announced = *r.Host, true
	}
	if r.ExecutorGone {
		c.lose(now, h, "the executor is gone")
		h.life, h.answered, h.lapse = "", true, now
	}
	if r.Incarnation != "" && r.Incarnation != h.life {
		h.begin(r.Incarnation)
	}
	for _, e := range r.Ended {
		if e.Number > h.got {
			h.got = e.Number
			c.end(now, h, e)
		}
	}
	for _, s := range r.Stopped {
		if run := h.runs[s]; run != nil {
			c.release(run)
		}
	}
	for _, f := range r.Refused {
		c.refused(now, h, f)
	}
	for _, s := range r.Stalled {
		if run := h.runs[s]; run != nil && run.phase == phaseActive && !run.task.step.spec.Gang {
			c.abandon(now, run)
		}
	}
	h.pace = fullPace + r.ShareOffset
	h.noteSlow(now)
	c.learn(r)
	c.noteSaved(h, r.Running)
	if r.Full {
		c.reconcile(now, h, r)
	}
	return c.grant(now, h, r)
}

// begin notes a new incarnation of the executor. A run that was ordered around
// the change may run in it, so the runs stay until the lists of the new
// incarnation tell.
func (h *host) begin(life string) {
	h.life, h.clock, h.until = life, 0, 0
	h.got, h.kept, h.told = 0, 0, 0
	h.answered = false
	h.orders = hvorder.Orders{}
}

// grant renews the lease of everything on the host.
func (c *Cell) grant(now time.Time, h *host, r hvorder.Report) hvorder.Grant {
	if r.Incarnation == "" {
		return hvorder.Grant{}
	}
	h.told = h.kept
	if c.suspended {
		return hvorder.Grant{Seen: h.kept}
	}
	h.clock = max(h.clock, r.Clock)
	h.until = max(h.until, r.Clock+c.options.Lease.Milliseconds())
	if lapse := now.Add(c.leaseBound()); lapse.After(h.lapse) || h.answered {
		h.lapse = lapse
	}
	return hvorder.Grant{Until: h.until, Seen: h.kept, Effects: c.effects(h)}
}

// noteSaved keeps the saved states of runs in case their host is lost.
func (c *Cell) noteSaved(h *host, rows []hv.RunState) {
	for _, row := range rows {
		r := h.runs[hvorder.Run{Task: row.Task, Run: row.Run}]
		if r == nil || row.Saved == "" || row.Saved == r.saved || !r.task.step.spec.Checkpoint {
			continue
		}
		r.saved = row.Saved
		// Runs of a job that has ended are listed until they have stopped.
		if p := r.task.progress(); p != nil {
			p.save(r.task.index, row.Saved)
			r.task.step.round.job.saved = true
		}
	}
}

// refused gives back a start that the executor refused.
func (c *Cell) refused(now time.Time, h *host, f hvorder.Refusal) {
	r := h.runs[f.Run]
	if r == nil {
		return
	}
	c.counts.Refused++
	r.task.after = now.Add(retryPause)
	if f.Kind == hv.Expired {
		// The ticket may be the reason; a new one is asked for.
		delete(r.task.step.advice.tickets, h.name)
	}
	if f.Kind == hv.Unavailable || f.Kind == hv.Invalid {
		r.task.shun(h)
	}
	_ = level.Info(c.options.Logger).Log("msg", "start was refused", "task", f.Task, "run", f.Run.Run, "host", h.name, "kind", f.Kind, "life", h.life)
	c.release(r)
}

// reconcile compares what a host lists with what is known of it.
func (c *Cell) reconcile(now time.Time, h *host, r hvorder.Report) {
	listed := map[hvorder.Run]bool{}
	for _, row := range r.Running {
		ref := hvorder.Run{Task: row.Task, Run: row.Run}
		listed[ref] = true
		c.adopt(now, h, ref, row.Saved)
	}
	for _, ref := range r.Pending {
		listed[ref] = true
		c.adopt(now, h, ref, "")
	}
	for ref, known := range h.runs {
		if !listed[ref] {
			// The order may have been lost with its connection or with an earlier
			// incarnation, or may still be carried out: a stop bars the run
			// before its task starts elsewhere.
			known.phase = phaseActive
			c.stop(known)
		} else if known.phase == phaseStopping {
			h.orders.Stops = append(h.orders.Stops, ref)
		}
	}
	h.answered = true
}

// adopt takes over a run that a host lists, or stops it.
func (c *Cell) adopt(now time.Time, h *host, ref hvorder.Run, saved string) {
	if known := h.runs[ref]; known != nil {
		return
	}
	t := c.task(ref.Task)
	if t == nil || t.done || len(t.runs) > 0 && !t.step.spec.Speculative {
		h.orders.Stops = append(h.orders.Stops, ref)
		_ = level.Info(c.options.Logger).Log("msg", "run is not wanted", "task", ref.Task, "run", ref.Run, "host", h.name)
		return
	}
	r := c.commit(now, h, t, ref.Run)
	r.saved = saved
	t.next = max(t.next, ref.Run+1)
	t.step.next = max(t.step.next, ref.Run+1)
	h.orders.Profiles = append(h.orders.Profiles, profile(r))
	j := t.step.round.job
	c.started(j)
}

// commit counts a run on its host.
func (c *Cell) commit(now time.Time, h *host, t *task, number int) *run {
	r := &run{task: t, number: number, host: h, started: now, commit: t.step.spec.Allocation()}
	h.runs[r.ref()] = r
	h.used = h.used.Add(r.commit)
	h.count(t.step.spec, 1)
	t.step.perHost[h]++
	if len(t.runs) == 0 {
		t.step.waiting--
	}
	t.runs = append(t.runs, r)
	return r
}

// count adds or takes off a run that fills or serves.
func (h *host) count(s *hvjob.Step, sign int64) {
	if s.BestEffort {
		h.filled += sign * s.Need.CPU
	}
	if s.LatencyTarget > 0 {
		h.serving += sign * s.Allocation().CPU
	}
}

func profile(r *run) hvorder.Profile {
	s := r.task.step.spec
	return hvorder.Profile{Run: r.ref(), LatencyTarget: s.LatencyTarget, BestEffort: s.BestEffort, Image: s.Image}
}

// Tick gives up hosts whose leases have passed, sets up due rounds and looks
// for runs that stand still.
func (c *Cell) Tick(now time.Time) {
	for _, h := range c.hosts {
		if !h.linked && len(h.runs) > 0 && now.After(h.lapse) {
			c.lose(now, h, "the leases have passed")
		}
	}
	c.settle(now)
	for _, j := range c.jobs {
		if j.begun < j.Rounds() {
			c.begin(now, j)
		}
	}
	c.keepSaved(now)
	c.checkStragglers(now)
	c.moveSlowed(now)
}

// saveInterval is how often saved states are stored. A new owner that finds no
// run of a task starts it from the stored state.
const saveInterval = time.Second

func (c *Cell) keepSaved(now time.Time) {
	if now.Sub(c.kept) < saveInterval {
		return
	}
	c.kept = now
	for _, j := range c.jobs {
		if j.saved {
			j.saved = false
			c.touch(j)
		}
	}
}

// settle lets inherited tasks start once every host has listed what it runs
// or can run nothing of the owner before.
func (c *Cell) settle(now time.Time) {
	if c.settled {
		return
	}
	for _, h := range c.hosts {
		if !h.answered && now.Before(h.lapse) {
			return
		}
	}
	c.settled = true
	_ = level.Info(c.options.Logger).Log("msg", "cell is settled", "epoch", c.options.Epoch, "hosts", len(c.hosts), "after", now.Sub(c.options.ClaimedAt))
}
