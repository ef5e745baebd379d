// Package hvcell decides what runs where in one cell: a set of hosts and the
// jobs bound to it, which one gate owns at a time. It does no input or output;
// package hvowner carries its orders out.
package hvcell

import (
	"time"

	"hibiscusvane.example/hibiscusvane/hvjob"
	"hibiscusvane.example/hibiscusvane/hvorder"
)

// job is a job that has not ended.
type job struct {
	hvjob.Job
	queue  hvjob.Queue
	offset int64
	// seq is the order of acceptance.
	seq       int64
	cancelled bool
	progress  hvjob.Progress
	rounds    map[int]*round
	// roundsStarted is the number of rounds that were set up so far.
	roundsStarted int
	// inherited jobs may run on hosts that have not answered this owner yet.
	inherited bool
	// changed is true while the progress is not stored.
	changed bool
	// unstoredStates is true while saved states of its runs are not stored.
	unstoredStates bool
}

type round struct {
	number int
	job    *job
	steps  []*step
	// due is when the round may start and goal when it should be complete, as
	// Unix times in milliseconds.
	due, goal, cutoff int64
}

type step struct {
	spec  *hvjob.Step
	index int
	round *round
	ready bool
	done  int
	tasks []*task
	// waiting counts the tasks that have neither a run nor ended.
	waiting int
	// runTimes holds the run times of the tasks that are done.
	runTimes mean
	// runsPerHost counts the runs of the step by host, for its spread limit.
	runsPerHost map[*host]int
	// nextRun is the number of the next run of a gang.
	nextRun int
	// waitLogged is true once it was logged why tasks wait, at waitSince.
	waitLogged   bool
	waitingSince time.Time
	// advice is used if only some hosts may run the step.
	advice advice
}

type task struct {
	name    string
	step    *step
	index   int
	done    bool
	runs    []*run
	nextRun int
	saved   string
	// avoidedHosts holds the hosts on which a run failed or stood still.
	avoidedHosts map[string]bool
	// abandonedRuns counts the runs that were given up because they stood still.
	abandonedRuns int
	// notBefore is the earliest time of the next run.
	notBefore time.Time
	// reserved is where room is kept for the task while it waits.
	reserved reservation
}

type runPhase int

const (
	// phaseActive runs were ordered and have not ended.
	phaseActive runPhase = iota
	// phaseStopping runs were told to stop.
	phaseStopping
)

type run struct {
	task       *task
	number     int
	host       *host
	phase      runPhase
	started    time.Time
	allocation hvjob.Resources
	saved      string
}

func (r *run) ref() hvorder.Run { return hvorder.Run{Task: r.task.name, Run: r.number} }

type host struct {
	name string
	info hvorder.Host
	// announced is true once info is known.
	announced bool
	// connected is true while the node is attached to this owner.
	connected bool
	// reconciled is true once the executor has listed what runs to this owner.
	reconciled  bool
	incarnation string
	clock       int64
	leaseEnd    int64
	// leaseExpiry is when everything on the host has surely ended if no further
	// lease is granted.
	leaseExpiry time.Time
	// dropped is true once the registration of the node is to be removed.
	dropped   bool
	runs      map[hvorder.Run]*run
	allocated hvjob.Resources
	// reserved is what is kept for lasting tasks that wait.
	reserved hvjob.Resources
	// bestEffortCPU is the processor demand of the fill work, serving what the tasks
	// with a latency target have reserved.
	bestEffortCPU, servingCPU int64
	// cpuShare is the share in percent that the node leaves to fill work that
	// disturbs.
	cpuShare int
	// throttledSince is since when the share is low, and moved when a run was last
	// moved away.
	throttledSince, lastMigration time.Time
	// processedEnd is the number of the last end that was processed, kept that of the
	// last one whose effect is stored, and told what the node knows of kept.
	processedEnd, storedEnd, ackedEnd int64
	orders                            hvorder.Orders
}

func (h *host) free() hvjob.Resources { return h.info.Capacity.Sub(h.allocated) }

// servingUtilization is the part of its reserved processors that a serving task uses
// at its usual load.
const servingUtilization = 0.5

// unusedCPU returns the processors that fill work can use beside the rest.
func (h *host) unusedCPU() int64 {
	return h.info.Capacity.CPU - h.allocated.CPU + int64(float64(h.servingCPU)*(1-servingUtilization))
}

const fullShare = 100

// mean is a mean of durations.
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
