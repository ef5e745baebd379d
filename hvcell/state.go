// Package hvcell schedules the tasks of one cell: a set of hosts and the jobs bound
// to it, which one gate owns at a time. It does no input or output; package hvowner
// sends its orders and stores its batches.
package hvcell

import (
	"slices"
	"time"

	"hibiscusvane.example/hibiscusvane/hvfair"
	"hibiscusvane.example/hibiscusvane/hvjob"
	"hibiscusvane.example/hibiscusvane/hvorder"
)

// job is a job that has not ended.
type job struct {
	hvjob.Job
	queue  hvjob.Queue
	offset int64
	// specChecksum is the checksum of Spec.
	specChecksum uint64
	// seq numbers jobs in the order in which they were added.
	seq       int64
	cancelled bool
	progress  hvjob.Progress
	rounds    map[int]*round
	// roundsStarted is the number from which on rounds are still to be set up, and
	// usefulStarted the same for those that can still be of use. maxOpenRounds is how many
	// may be set up and not complete.
	roundsStarted, usefulStarted, maxOpenRounds int
	// useTime is the time after its due time within which completing a round is of use.
	useTime time.Duration
	// inherited jobs may have runs on hosts that have not listed their runs to this
	// owner yet.
	inherited bool
	// changed is true while changes of the progress wait for a batch.
	changed bool
	// unstoredStates is true while saved states of its runs wait to be marked as
	// changed.
	unstoredStates bool
	// taskCount is the number of tasks of one round.
	taskCount int
	// crashVersion counts the changes of what is known of crashes under its tasks, and
	// storedCrashVersion those that are stored.
	crashVersion, storedCrashVersion int
	// size is the class of the job by its work.
	size hvfair.Size
}

type round struct {
	number int
	job    *job
	steps  []*step
	// due is when the round may start, goal when it should be complete, and cutoff
	// when completing it is of no more use, as Unix times in milliseconds.
	due, goal, cutoff int64
	// mayOvertake caches the result of Cell.mayOvertake for the plan overtakeIn.
	mayOvertake bool
	overtakeIn  int64
}

type step struct {
	spec  *hvjob.Step
	index int
	round *round
	// ready is true once all predecessors are complete.
	ready bool
	done  int
	tasks []*task
	// waiting counts the tasks that are not done and have no run.
	waiting int
	// runTimes is the mean run time of the runs that were done.
	runTimes mean
	// runsPerHost counts the runs of the step by host, for MaxPerHost.
	runsPerHost map[*host]int
	// nextRun is the number of the next run of a gang.
	nextRun int
	// waitLogged is true once the reason why tasks wait was logged, at waitingSince.
	waitLogged   bool
	waitingSince time.Time
	// starved is true from when a task started only because the step was starved until
	// one starts as usual.
	starved bool
	// risk is the probability that the waiting tasks crash the host that starts them.
	risk float64
	// suspectedSince is when tasks of the step were first to start apart from others, or
	// last did so.
	suspectedSince time.Time
	// advice is used if hosts need a ticket to run the step.
	advice  advice
	sharing stepSharing
	// reservation is used while tasks of the step wait for capacity.
	reservation stepReservation
}

type task struct {
	name    string
	step    *step
	index   int
	done    bool
	runs    []*run
	nextRun int
	// saved is the state that the next run resumes from.
	saved string
	// relocations counts how often the task was moved or copied.
	relocations int
	// avoidedHosts holds the hosts on which a run failed, stalled or could not start, last
	// at avoidedAt.
	avoidedHosts map[string]bool
	avoidedAt    time.Time
	// abandonedRuns counts the runs that were stopped as stalled or as stragglers.
	abandonedRuns int
	// notBefore is the earliest time of the next run.
	notBefore time.Time
	// unlocated is true while a run of the task may be on a host that has not listed its
	// runs to this owner.
	unlocated bool
	// reserved is the reservation of a long-running task that waits.
	reserved reservation
	// exempt is true once the task was preempted or has preempted: its runs are not
	// stopped by preemption any more. hold is the capacity kept for it, or nil.
	exempt bool
	hold   *hold
}

// canStart reports whether a task waits and only capacity is missing for its start.
func (t *task) canStart(now time.Time) bool {
	return !t.done && len(t.runs) == 0 && !t.unlocated && !now.Before(t.notBefore)
}

// hasLocated reports whether a task of the step waits that has no run anywhere.
func (s *step) hasLocated() bool {
	return slices.ContainsFunc(s.tasks, func(t *task) bool { return !t.done && len(t.runs) == 0 && !t.unlocated })
}

type runPhase int

const (
	// phaseActive is the phase of a run that was ordered and has not ended.
	phaseActive runPhase = iota
	// phaseStopping is the phase of a run whose stop was ordered.
	phaseStopping
)

type run struct {
	task    *task
	number  int
	host    *host
	phase   runPhase
	started time.Time
	// batch is the number of the orders with the start of the run on the present
	// connection, or 0 for an earlier run.
	batch      int64
	allocation hvjob.Resources
	// saved is the last saved state that the host has reported, with savedPercent, the
	// progress of the run at that time.
	saved        string
	savedPercent int
	// adopted is true if an earlier owner started the run.
	adopted bool
	// account is where the use of the run is counted, and savedAt when its saved state
	// last changed; both are kept for sharing only.
	account *account
	savedAt time.Time
	// resumed is true for a run that was started from a saved state.
	resumed bool
	// copied is true for a run that was started beside another one.
	copied bool
	// progress is what the host has reported of its progress.
	progress runProgress
	// lasts is for how long the run was expected to hold its resources when it started on
	// a host with promises, in the plan countedIn; promised is true if one of them was made
	// to its step.
	lasts     time.Duration
	countedIn int64
	promised  bool
}

func (r *run) ref() hvorder.Run { return hvorder.Run{Task: r.task.name, Run: r.number} }

type host struct {
	name string
	info hvorder.Host
	// announced is true once info is known.
	announced bool
	// connected is true while the node is attached to this owner.
	connected bool
	// reconciled is true once the executor has listed all its runs to this owner.
	reconciled  bool
	incarnation string
	// clock is the last reported time of the executor's clock, and leaseEnd the end
	// of the granted lease on that clock, in milliseconds.
	clock    int64
	leaseEnd int64
	// respondedAt is when clock last increased; silent is true if the node has reported
	// since that it has not for long.
	respondedAt time.Time
	silent      bool
	// leaseBound is the latest time on the executor's clock until which late calls for an
	// earlier incarnation may have extended the leases.
	leaseBound int64
	// lastIncarnation is the last incarnation that was reported, also once it has ended.
	lastIncarnation string
	// inherited is true if the host was registered before this owner had recovered.
	inherited bool
	// leaseExpiry is when all runs on the host have ended for certain unless the
	// lease is renewed.
	leaseExpiry time.Time
	// coldUntil is the time until which the host is slow after its start or after it
	// was without work; cold caches the comparison for a plan.
	coldUntil time.Time
	cold      bool
	// quarantined is true if the host was in quarantine when usable was last called.
	quarantined bool
	// removal is the removal of the node's registration.
	removal   removal
	runs      map[hvorder.Run]*run
	allocated hvjob.Resources
	// unneeded holds the runs that this owner stops without knowing what they need, as
	// their jobs have ended. They hold resources until the host reports their end.
	unneeded map[hvorder.Run]bool
	// reserved is the sum of the reservations of long-running tasks that wait, and
	// lastReserved that of the last plan.
	reserved, lastReserved hvjob.Resources
	// backfill holds the promises to waiting steps of the present plan.
	backfill hostPromises
	// bestEffortCPU is the processor demand of the best-effort tasks, and servingCPU
	// the processors allocated to tasks with a latency target.
	bestEffortCPU, servingCPU int64
	// serving and bestEffort hold the same by image, sorted by image. pressures caches
	// what Cell.pressures returns for them.
	serving, bestEffort []imageLoad
	pressures           []float64
	pressuresValid      bool
	pressuresVersion    int64
	// estimates caches the effects of best-effort images on the images in serving.
	estimates map[string]*hostEstimates
	// cpuShare is the CPU share in percent that the node leaves to interfering
	// best-effort tasks.
	cpuShare int
	// throttledSince is when cpuShare fell to migrationShare, or zero, and
	// lastMigration when a run was last migrated off the host.
	throttledSince, lastMigration time.Time
	// slowness is the median ratio of the usual to the measured speed of the runs on the
	// host, when there was more than one at slownessAt.
	slowness   float64
	slownessAt time.Time
	// processedEnd is the number of the last end that was processed, storedEnd that of
	// the last one whose effect is stored, and ackedEnd that of the last one that was
	// acknowledged to the node.
	processedEnd, storedEnd, ackedEnd int64
	// processedCrash is the number of the last crash that was processed and storedCrash
	// that of the last one whose effect is stored, on the present connection, which
	// attachments counts.
	processedCrash, storedCrash int64
	// processedLastEnd and storedLastEnd are the same for the ends of executors that have
	// ended.
	processedLastEnd, storedLastEnd int64
	attachments                     int
	// crashedIncarnation is the incarnation of the last crash that was processed, at
	// crashedAt.
	crashedIncarnation string
	crashedAt          time.Time
	// trialJob is the job whose suspected tasks were started last, and nothing else
	// starts on the host until trialUntil.
	trialJob   *job
	trialUntil time.Time
	// unreachableUntil is until when no task starts because the executor was not found.
	unreachableUntil time.Time
	// refusals counts the times in a row that the executor refused starts for reasons of its
	// own, and nothing starts until refusedUntil.
	refusals     int
	refusedUntil time.Time
	// recoveringUntil is until when starts are limited after a crash; startWindow is the
	// begin of the present interval and startsInWindow the number of starts in it.
	recoveringUntil, startWindow time.Time
	startsInWindow               int
	// riskyUntil is until when other tasks avoid the host because of a risky one.
	riskyUntil time.Time
	// hold is the capacity that is kept for a task that stopped runs, or nil.
	hold   *hold
	orders hvorder.Orders
	// batch is the number of the last orders that were sent on the present connection.
	batch int64
}

func (h *host) free() hvjob.Resources { return h.info.Capacity.Sub(h.allocated) }

// servingUtilization is the fraction of its allocated processors that a serving task
// uses at its usual load.
const servingUtilization = 0.5

// unusedCPU returns the processors that other tasks leave to best-effort tasks.
func (h *host) unusedCPU() int64 {
	return h.info.Capacity.CPU - h.allocated.CPU + int64(float64(h.servingCPU)*(1-servingUtilization))
}

// fullShare is the CPU share of unthrottled best-effort tasks, in percent.
const fullShare = 100

// mean accumulates the mean of durations.
type mean struct {
	sum time.Duration
	n   int
}

func (m *mean) add(d time.Duration) { m.sum, m.n = m.sum+d, m.n+1 }

func (m mean) value() time.Duration {
	if m.n == 0 {
		return 0
	}
	return m.sum / time.Duration(m.n)
}
