package hvcell

import (
	"testing"
	"time"

	"hibiscusvane.example/hibiscusvane/hvjob"
)

// maxCrashingStarts is the greatest number of starts of a task that crashes its hosts:
// three crashes and two starts more.
const maxCrashingStarts = 5

// crashCluster is a cluster in which some tasks crash the host that starts them.
type crashCluster struct {
	*simCluster
	// deadly holds the tasks that crash their host crashDelay after their start.
	deadly map[string]bool
	// starts counts the starts of each deadly task.
	starts map[string]int
	// seen holds the runs that were counted.
	seen map[string]int
	// downUntil is when a crashed host restarts.
	downUntil map[string]time.Time
}

const (
	// crashDelay is the time from the start of a deadly task to the crash of its host.
	crashDelay = 10 * time.Millisecond
	// restartTime is how long a crashed host is away.
	restartTime = 3 * time.Second
	crashStep   = 10 * time.Millisecond
)

func newCrashCluster(t *testing.T, hosts int) *crashCluster {
	t.Helper()
	c := &crashCluster{simCluster: newSimCluster(t, hosts), deadly: map[string]bool{}, starts: map[string]int{}, seen: map[string]int{}, downUntil: map[string]time.Time{}}
	c.attachAll()
	return c
}

// submitDeadly submits a job whose first task crashes its hosts.
func (c *crashCluster) submitDeadly(list ...hvjob.Step) hvjob.Job {
	j := c.submit(urgentJob(list...))
	c.deadly[hvjob.Task{Job: j.ID}.String()] = true
	return j
}

// step advances the time, and ends or crashes what is due. Tasks end after runTime.
func (c *crashCluster) step(t *testing.T, runTime time.Duration) {
	t.Helper()
	c.exchange()
	c.advance(crashStep)
	for name, e := range c.hosts {
		if !e.alive {
			if c.now.After(c.downUntil[name]) {
				e.start()
			}
			continue
		}
		c.endRuns(e, runTime)
		c.crashDue(t, e)
	}
}

func (c *crashCluster) endRuns(e *executor, runTime time.Duration) {
	for task, run := range e.running {
		if !c.deadly[task] && c.now.Sub(e.startTimes[task]) >= runTime {
			e.end(task, run, "done")
		}
	}
}

func (c *crashCluster) crashDue(t *testing.T, e *executor) {
	t.Helper()
	for task, run := range e.running {
		if !c.deadly[task] {
			continue
		}
		if c.seen[task] < run {
			c.seen[task] = run
			c.starts[task]++
			if c.starts[task] > maxCrashingStarts {
				t.Fatalf("task %s, which crashes its hosts, is started for the %dth time", task, c.starts[task])
			}
		}
		if c.now.Sub(e.startTimes[task]) >= crashDelay {
			c.crashHost(e)
			return
		}
	}
}

func (c *crashCluster) crashHost(e *executor) {
	e.crash()
	c.downUntil[e.name] = c.now.Add(restartTime)
}

// Guards against a task that takes down one host after the other because runs that are
// lost with their host count for nothing: its job must be given up, and the jobs that
// were merely beside it must complete.
func TestTaskThatCrashesHostsIsGivenUp(t *testing.T) {
	c := newCrashCluster(t, 6)
	var others []hvjob.Job
	for range 8 {
		others = append(others, c.submit(urgentJob(testStep(4, 1000))))
	}
	deadly := c.submitDeadly(testStep(4, 1000))
	for range 3000 {
		c.step(t, 600*time.Millisecond)
	}
	if s := c.stored[deadly.ID].State; s != hvjob.Failed {
		t.Errorf("job with the task that crashes hosts is %q, want it failed", s)
	}
	for _, j := range others {
		if s := c.stored[j.ID].State; s != hvjob.Complete {
			t.Errorf("job beside it is %q, want it complete", s)
		}
	}
}
