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
	// begun is the number of rounds that were set up so far.
	begun int
	// inherited jobs may run on hosts that have not answered this owner yet.
	inherited bool
	// changed is true while the progress is not stored.
	changed bool
	// saved is true while saved states of its runs are not stored.
	saved bool
}

type round struct {
	number int
	job    *job
	steps  []*step
	// due is when the round may start and goal when it should be complete, as
	// Unix times in milliseconds.
	due, goal, late int64
}

type step struct {
	spec  *hvjob.Step
	index int
	round *round
	open  bool
	done  int
	tasks []*task
	// waiting counts the tasks that have neither a run nor ended.
	waiting int
	// took holds the run times of the tasks that are done.
	took mean
	// perHost counts the runs of the step by host, for its spread limit.
	perHost map[*host]int
	// next is the number of the next run of a gang.
	next int
	// waited is true once it was logged why tasks wait, at waitSince.
	waited    bool
	waitSince time.Time
	// advice is used if only some hosts may run the step.
	advice advice
}

type task struct {
	name  string
	step  *step
	index int
	done  bool
	runs  []*run
	next  int
	saved string
	// avoid holds the hosts on which a run failed or stood still.
	avoid map[string]bool
	// abandoned counts the runs that were given up because they stood still.
	abandoned int
	// after is the earliest time of the next run.
	after time.Time
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
	task    *task
	number  int
	host    *host
	phase   runPhase
	started time.Time
	commit  hvjob.Resources
	saved   string
}

func (r *run) ref() hvorder.Run { return hvorder.Run{Task: r.task.name, Run: r.number} }

type host struct {
	name string
	info hvorder.Host
	// announced is true once info is known.
	announced bool
	// linked is true while the node is attached to this owner.
	linked bool
	// answered is true once the executor has listed what runs to this owner.
	answered bool
	life     string
	clock    int64
	until    int64
	// lapse is when everything on the host has surely ended if no further
	// lease is granted.
	lapse time.Time
	// dropped is true once the registration of the node is to be removed.
	dropped bool
	runs    map[hvorder.Run]*run
	used    hvjob.Resources
	// reserved is what is kept for lasting tasks that wait.
	reserved hvjob.Resources
	// filled is the processor demand of the fill work, serving what the tasks
	// with a latency target have reserved.
	filled, serving int64
	// pace is the share in percent that the node leaves to fill work that
	// disturbs.
	pace int
	// slowSince is since when the share is low, and moved when a run was last
	// moved away.
	slowSince, moved time.Time
	// got is the number of the last end that was processed, kept that of the
	// last one whose effect is stored, and told what the node knows of kept.
	got, kept, told int64
	orders          hvorder.Orders
}

func (h *host) free() hvjob.Resources { return h.info.Capacity.Sub(h.used) }

// servingUse is the part of its reserved processors that a serving task uses
// at its usual load.
const servingUse = 0.5

// unused returns the processors that fill work can use beside the rest.
func (h *host) unused() int64 {
	return h.info.Capacity.CPU - h.used.CPU + int64(float64(h.serving)*(1-servingUse))
}

const fullPace = 100

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
