package hvcell

import (
	"maps"
	"slices"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvcrash"
	"hibiscusvane.example/hibiscusvane/hvfair"
	"hibiscusvane.example/hibiscusvane/hvinterference"
	"hibiscusvane.example/hibiscusvane/hvjob"
	"hibiscusvane.example/hibiscusvane/hvorder"
)

// runsPerEpoch is the size of the range of run numbers of each epoch; the epochs of owners
// are far apart (hvfence), so that an owner has many such ranges. With ranges of their own,
// a new owner never reuses a number of an earlier one, even if it has no record of that run.
const runsPerEpoch = 1000

// Options configures a Cell.
type Options struct {
	Epoch int64
	// ClaimOffset is the topic offset of the owner's claim; jobs before it are
	// inherited from an earlier owner.
	ClaimOffset int64
	// ClaimedAt is when the cell was claimed.
	ClaimedAt time.Time
	// LeaseDuration is the duration of the lease that each report of a host is granted.
	LeaseDuration time.Duration
	// PreviousAuthority is how long after the claim an earlier owner may still have
	// granted leases, and EarlierAuthority how long one before the previous may.
	PreviousAuthority, EarlierAuthority time.Duration
	// LeaseOverhang is how long leases last at most beyond the authority of the owner that
	// granted them.
	LeaseOverhang time.Duration
	// EarlyStart is how long before its due time a scheduled round may start.
	EarlyStart time.Duration
	// Retention is how long the state of an ended job stays readable.
	Retention time.Duration
	Health    hv.Health
	Policy    Policy
	// OnJobEnd is called with the time from the submission to the end of each job
	// that completes or fails; it may be nil.
	OnJobEnd func(queue string, s hvjob.State, took time.Duration)
	Logger   log.Logger
}

// Cell is the scheduling state of a cell during one ownership. It is not safe for
// concurrent use.
type Cell struct {
	options Options
	catalog *hvjob.Catalog
	jobs    map[string]*job
	hosts   map[string]*host
	// changed holds the jobs whose progress is to be stored.
	changed []*job
	// ended holds the ended jobs whose records are still stored, oldest first.
	ended    []endedJob
	estimate estimator
	// interference estimates how best-effort tasks slow serving tasks, by image.
	interference effectModel
	seq          int64
	// lastSaveMark is when jobs with new saved states were last marked as changed.
	lastSaveMark time.Time
	// recovered is true once inherited tasks may start.
	recovered bool
	// previousAuthorityEnd is until when earlier owners may have granted leases, and
	// previousLeasesEnd when all of these have expired for certain.
	previousAuthorityEnd, previousLeasesEnd time.Time
	// leaseLimit is when all leases that this owner grants end, or zero.
	leaseLimit time.Time
	// suspended is true while another gate may have become the owner.
	suspended bool
	// confirmedAt is a time at which this gate was the owner for certain.
	confirmedAt time.Time
	// evacuated holds the zones on whose hosts no task may start.
	evacuated map[string]bool
	counts    Counts
	// moves holds the tasks whose runs were stopped to go on at other hosts, until they do.
	moves []*task
	// paces holds the measured speeds of the runs, if Policy.Tail is set.
	paces *paces
	// crashHistory and crashRates say how often hosts crash and which queues have jobs
	// that crash them; recentCrashes holds the crashes within blameWindow.
	crashHistory  hvcrash.History
	crashRates    hvcrash.Rates
	recentCrashes []hostCrash
	// suspectJobs holds the jobs with tasks whose hosts crashed, and riskyQueues the
	// queues of which new jobs may crash hosts.
	suspectJobs map[string]*job
	riskyQueues map[string]bool
	// givenUp holds the jobs that were given up because they crash hosts.
	givenUp map[string]bool
	// awaitingAdvice holds the waiting steps that need tickets, in the scheduling
	// order of the last call of Plan.
	awaitingAdvice []*step
	sharing        sharing
	// loggedColocation is what was logged at colocationLogged.
	loggedColocation ColocationCounts
	colocationLogged time.Time
	// load is the load of best-effort work at loadMeasured.
	load         BestEffortLoad
	loadMeasured time.Time
	// hostBuffer is reused by withUnusedCPU, and preferredBuffer by fewestDrawbacks.
	hostBuffer, preferredBuffer []*host
	// quarantined is true if one of the hosts that usable returned last is in quarantine.
	quarantined bool
	// lackedRoom holds when an ordinary task last found no host with capacity, by service.
	lackedRoom map[string]time.Time
	// backfill holds the reservations of the steps that wait for capacity.
	backfill backfill
}

// Counts holds totals since the cell was claimed, and the current numbers of jobs,
// waiting tasks, runs and hosts.
type Counts struct {
	Starts, Done, Failed, Lost, Stopped, Refused, Crashes, GivenUp int64
	// Preempted counts the runs that were stopped for more urgent tasks, HoldsExpired the
	// tasks that did not start on the capacity freed for them, and LateTurns the starts of
	// late work before other work.
	Preempted, HoldsExpired, LateTurns int64
	// Copies and Moves count second runs and runs that were stopped to go on elsewhere;
	// CopiesFirst counts the tasks of which the second run was done first.
	Copies, Moves, CopiesFirst    int64
	Jobs, Waiting, Running, Hosts int64
	// Backfilled counts the starts on hosts that are reserved for other work, and
	// ReservationDelays the reservations that moved to a later time. Reservations is the
	// current number of steps with a reservation.
	Backfilled, ReservationDelays, Reservations int64
}

type endedJob struct {
	id string
	at time.Time
}

// New returns a Cell without jobs and hosts.
func New(o Options) *Cell {
	return &Cell{options: o, previousAuthorityEnd: o.ClaimedAt.Add(o.PreviousAuthority), previousLeasesEnd: o.previousLeasesEnd(), jobs: map[string]*job{}, hosts: map[string]*host{}, lackedRoom: map[string]time.Time{}, givenUp: map[string]bool{}, suspectJobs: map[string]*job{}, estimate: newEstimator(), interference: hvinterference.NewChangeModel(effectPrior, tailVariance), sharing: sharing{accounts: map[accountKey]*account{}, sizes: map[string]*hvfair.Sizes{}}}
}

// SetCatalog replaces the catalog of queues, unless the current one is newer. Runs go
// on; tasks that have not started follow the new settings.
func (c *Cell) SetCatalog(cat *hvjob.Catalog) {
	if c.catalog != nil && cat.Version < c.catalog.Version {
		return
	}
	c.catalog = cat
	for _, j := range c.jobs {
		if q, ok := cat.Queue(j.Queue); ok {
			j.queue = q
		}
	}
}

// ApplyJob adds a job with its stored progress, or cancels a known job. Jobs that
// have ended are only kept until their records expire.
func (c *Cell) ApplyJob(now time.Time, j hvjob.Job, offset int64, p hvjob.Progress, cancelled bool) {
	if old := c.jobs[j.ID]; old != nil {
		if cancelled && !old.cancelled {
			c.cancelJob(now, old)
		}
		return
	}
	if p.State.Final() || cancelled {
		c.ended = append(c.ended, endedJob{j.ID, now})
		return
	}
	c.seq++
	entry := &job{Job: j, offset: offset, seq: c.seq, progress: p.Clone(), rounds: map[int]*round{}, inherited: offset < c.options.ClaimOffset, queue: j.QueueSettings, specChecksum: hvorder.SpecChecksum(j.Spec), taskCount: j.TaskCount(), maxOpenRounds: maxOpenRounds(j), size: c.classifyJob(j)}
	if c.catalog != nil {
		if q, ok := c.catalog.Queue(j.Queue); ok {
			entry.queue = q
		}
	}
	c.jobs[j.ID] = entry
	for _, n := range slices.Sorted(maps.Keys(entry.progress.Rounds)) {
		c.addRound(entry, n)
	}
	c.startDueRounds(now, entry)
	_ = level.Info(c.options.Logger).Log("msg", "job was added to the schedule", "job", j.ID, "queue", j.Queue, "offset", offset, "inherited", entry.inherited, "steps", len(j.Steps), "goal", entry.goal(), "waiting", c.counts.Waiting)
}

// goal returns the earliest time at which a round of the job should be complete,
// as a Unix time in milliseconds.
func (j *job) goal() int64 {
	goal := int64(0)
	for _, r := range j.rounds {
		if goal == 0 || r.goal < goal {
			goal = r.goal
		}
	}
	return goal
}

func (c *Cell) newStep(r *round, i int, p hvjob.StepProgress) *step {
	spec := &r.job.Steps[i]
	s := &step{spec: spec, index: i, round: r, runsPerHost: map[*host]int{}, nextRun: c.firstRun()}
	for k := range spec.Count {
		t := &task{step: s, index: k, done: p.Done.Has(k), saved: p.SavedStates[k], nextRun: c.firstRun(), exempt: p.Exempt.Has(k), unlocated: r.job.inherited && !c.recovered}
		t.name = hvjob.Task{Job: r.job.ID, Round: r.number, Step: i, Index: k}.String()
		if t.done {
			s.done++
		} else {
			s.waiting++
		}
		if t.exempt {
			s.sharing.exempt = append(s.sharing.exempt, t)
		}
		s.tasks = append(s.tasks, t)
	}
	return s
}

// firstRun returns the first run number of this owner.
func (c *Cell) firstRun() int { return int(c.options.Epoch-1)*runsPerEpoch + 1 }

// cancelJob stops all runs of a job and removes it.
func (c *Cell) cancelJob(now time.Time, j *job) {
	j.cancelled = true
	_ = level.Info(c.options.Logger).Log("msg", "job was cancelled; stopping its runs", "job", j.ID, "state", j.progress.State)
	c.removeJob(now, j)
}

// removeJob stops the runs of a job that has ended and removes it.
func (c *Cell) removeJob(now time.Time, j *job) {
	for _, r := range j.rounds {
		for _, s := range r.steps {
			for _, t := range s.tasks {
				c.stopAll(t)
			}
		}
	}
	delete(c.jobs, j.ID)
	c.ended = append(c.ended, endedJob{j.ID, now})
}

// markChanged queues the progress of a job for the next batch.
func (c *Cell) markChanged(j *job) {
	if !j.changed {
		j.changed = true
		c.changed = append(c.changed, j)
	}
}

// findTask returns the task with a name, or nil if it is unknown or its round has
// ended. It sets up the round if an earlier owner may have started it.
func (c *Cell) findTask(name string) *task {
	id, err := hvjob.ParseTask(name)
	if err != nil {
		return nil
	}
	j := c.jobs[id.Job]
	if j == nil {
		return nil
	}
	r := j.rounds[id.Round]
	if r == nil && j.mayHaveStarted(id.Round) {
		r = c.addRound(j, id.Round)
	}
	if r == nil || id.Step >= len(r.steps) || id.Index >= len(r.steps[id.Step].tasks) {
		return nil
	}
	return r.steps[id.Step].tasks[id.Index]
}

// stopRun orders the host to stop a run. The run keeps its allocation until the
// host reports its end.
func (c *Cell) stopRun(r *run) {
	if r.phase == phaseStopping {
		return
	}
	r.phase = phaseStopping
	r.host.orders.Stops = append(r.host.orders.Stops, r.ref())
	c.counts.Stopped++
}

// Suspend sets whether starts and the renewal of leases are suspended.
func (c *Cell) Suspend(suspended bool) {
	if c.suspended != suspended {
		_ = level.Warn(c.options.Logger).Log("msg", "starts and lease renewals were suspended or resumed", "epoch", c.options.Epoch, "suspended", suspended)
	}
	c.suspended = suspended
}

// Confirm records that this gate was the owner at a time, that of its last append.
func (c *Cell) Confirm(at time.Time) {
	if at.After(c.confirmedAt) {
		c.confirmedAt = at
	}
}

// HostsWithOrders returns the names of the connected hosts with pending orders or
// acknowledgements.
func (c *Cell) HostsWithOrders() []string {
	var out []string
	for name, h := range c.hosts {
		if h.hasOrders() {
			out = append(out, name)
		}
	}
	return out
}

func (h *host) hasOrders() bool {
	if !h.connected || !h.reconciled {
		return false
	}
	return len(h.orders.Starts)+len(h.orders.Stops)+len(h.orders.Profiles) > 0 || h.orders.Withdraw || h.storedEnd != h.ackedEnd
}

// Orders removes and returns the pending orders of a host. It reports false if
// there are none.
func (c *Cell) Orders(name string) (hvorder.Orders, bool) {
	h := c.hosts[name]
	if h == nil || !h.hasOrders() {
		return hvorder.Orders{}, false
	}
	o := h.orders
	h.orders = hvorder.Orders{}
	h.ackedEnd = h.storedEnd
	h.batch++
	o.Epoch, o.Incarnation, o.Batch, o.LeaseEnd, o.AckedEnd = c.options.Epoch, h.incarnation, h.batch, h.leaseEnd, h.storedEnd
	return o, true
}

// Counts returns the current counters.
func (c *Cell) Counts() Counts {
	out := c.counts
	out.Jobs, out.Hosts = int64(len(c.jobs)), int64(len(c.hosts))
	for _, h := range c.hosts {
		out.Running += int64(len(h.runs))
	}
	return out
}
