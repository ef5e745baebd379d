package hvcell

import (
	"slices"
	"testing"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvjob"
)

// maxCrashingStarts is the greatest number of starts of a task that crashes its hosts:
// three crashes and two starts more.
const maxCrashingStarts = 5

const (
	// crashDelay is the time from the start of a deadly task to the crash of its host.
	crashDelay = 10 * time.Millisecond
	// restartTime is how long a crashed host is away.
	restartTime = 3 * time.Second
	crashStep   = 10 * time.Millisecond
)

// crashCluster is a cluster in which some tasks crash the host that starts them.
type crashCluster struct {
	*simCluster
	// deadly holds the tasks that crash their host crashDelay after their start.
	deadly map[string]bool
	// starts counts the starts of each deadly task, and seen holds its last run.
	starts, seen map[string]int
	// gangs holds the jobs whose tasks end together, and lasting those whose tasks only end
	// with their host.
	gangs, lasting map[string]bool
	// downUntil is when a crashed host restarts.
	downUntil map[string]time.Time
	// runTime is how long all other tasks run.
	runTime time.Duration
	// storeDown is true while the store is unavailable, ownerLost while there is no owner.
	storeDown, ownerLost bool
	// innocentLosses counts the runs of other tasks that were lost with a host.
	innocentLosses int
}

func newCrashCluster(t *testing.T, hosts int) *crashCluster {
	t.Helper()
	c := &crashCluster{
		simCluster: newSimCluster(t, hosts), deadly: map[string]bool{}, starts: map[string]int{}, seen: map[string]int{},
		gangs: map[string]bool{}, downUntil: map[string]time.Time{}, runTime: 600 * time.Millisecond,
	}
	c.authority = 0
	c.attachAll()
	return c
}

// submitDeadly submits a job of which the task with an index crashes its hosts.
func (c *crashCluster) submitDeadly(index int, list ...hvjob.Step) hvjob.Job {
	j := c.submit(urgentJob(list...))
	c.deadly[hvjob.Task{Job: j.ID, Index: index}.String()] = true
	return j
}

// names returns the names of the hosts in order, so that a test repeats.
func (c *crashCluster) names() []string {
	var out []string
	for name := range c.hosts {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// play advances the time in steps, in which the owner and its hosts exchange messages,
// and runs end and hosts crash and restart.
func (c *crashCluster) play(t *testing.T, d time.Duration) {
	t.Helper()
	c.playAndObserve(t, d, func() {})
}

// playAndObserve is like play, and calls observe after each step.
func (c *crashCluster) playAndObserve(t *testing.T, d time.Duration, observe func()) {
	t.Helper()
	for end := c.now.Add(d); c.now.Before(end); {
		c.exchangeUnlessLost()
		c.advance(crashStep)
		for _, name := range c.names() {
			c.playHost(t, c.hosts[name])
		}
		observe()
	}
}

func (c *crashCluster) exchangeUnlessLost() {
	if c.ownerLost {
		return
	}
	for _, name := range c.names() {
		if e, h := c.hosts[name], c.cell.hosts[name]; h != nil && h.connected {
			e.applyGrant(c.cell.Report(c.now, name, e.report(false)))
		}
	}
	if !c.storeDown {
		c.store()
	}
	c.cell.Tick(c.now)
	c.cell.Plan(c.now)
	for _, name := range c.names() {
		c.deliver(name)
	}
}

func (c *crashCluster) playHost(t *testing.T, e *executor) {
	t.Helper()
	if !e.alive {
		if c.now.After(c.downUntil[e.name]) {
			e.start()
		}
		return
	}
	for task, run := range e.running {
		if !c.deadly[task] && !c.lasting[hvjob.JobOf(task)] && c.now.Sub(e.startTimes[task]) >= c.runTime {
			e.end(task, run, "done")
		}
	}
	crashed := false
	for task, run := range e.running {
		if c.deadly[task] {
			c.countStart(t, task, run)
			crashed = crashed || c.now.Sub(e.startTimes[task]) >= crashDelay
		}
	}
	if crashed {
		c.crashHost(e)
	}
}

// countStart fails the test if a task that crashes its hosts is started too often.
func (c *crashCluster) countStart(t *testing.T, task string, run int) {
	t.Helper()
	if c.seen[task] == run {
		return
	}
	c.seen[task] = run
	if c.starts[task]++; c.starts[task] > maxCrashingStarts {
		t.Fatalf("task %s, which crashes its hosts, is started for the %dth time", task, c.starts[task])
	}
}

func (c *crashCluster) crashHost(e *executor) {
	for task := range e.running {
		if !c.deadly[task] {
			c.innocentLosses++
		}
	}
	c.breakGangs(e.running)
	e.crash()
	c.downUntil[e.name] = c.now.Add(restartTime)
}

// breakGangs ends the other members of the gangs of lost runs, as executors do.
func (c *crashCluster) breakGangs(lost map[string]int) {
	for task := range lost {
		job := hvjob.JobOf(task)
		if !c.gangs[job] {
			continue
		}
		for _, e := range c.hosts {
			for other, run := range e.running {
				if _, ok := lost[other]; !ok && hvjob.JobOf(other) == job {
					e.end(other, run, hv.EndGangBroken)
				}
			}
		}
	}
}

// loseOwner replaces the owner with one that has only read the store.
func (c *crashCluster) loseOwner() {
	c.replaceOwner()
	c.attachAll()
}

func (c *crashCluster) expect(t *testing.T, j hvjob.Job, want hvjob.State) {
	t.Helper()
	if s := c.stored[j.ID].State; s != want {
		t.Errorf("job %s is %q, want %q", j.ID, s, want)
	}
}

// crashes returns the number of crashes so far.
func (c *crashCluster) crashes() int {
	n := 0
	for _, e := range c.hosts {
		n += e.incarnation - 1
		if !e.alive {
			n++
		}
	}
	return n
}
