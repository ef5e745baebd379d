package hvcell

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"hibiscusvane.example/hibiscusvane/hvjob"
	"hibiscusvane.example/hibiscusvane/hvorder"
)

// Guards against a task that takes down one host after the other because runs that are
// lost with their host count for nothing: its job must be given up, and the jobs that
// were merely beside it must complete.
func TestTaskThatCrashesHostsIsGivenUp(t *testing.T) {
	c := newCrashCluster(t, 6)
	var others []hvjob.Job
	for range 8 {
		others = append(others, c.submit(urgentJob(testStep(4, 1000))))
	}
	deadly := c.submitDeadly(0, testStep(4, 1000))
	c.play(t, 30*time.Second)
	c.expect(t, deadly, hvjob.Failed)
	for _, j := range others {
		c.expect(t, j, hvjob.Complete)
	}
}

// Guards against the same for the kinds of tasks that are placed by rules of their own,
// on one host and on several.
func TestEveryKindOfTaskThatCrashesHostsIsGivenUp(t *testing.T) {
	kinds := map[string]func(s *hvjob.Step){
		"long-running": func(s *hvjob.Step) { s.LongRunning = true },
		"best-effort":  func(s *hvjob.Step) { s.BestEffort = true },
		"gang":         func(s *hvjob.Step) { s.Gang = true },
		"speculative":  func(s *hvjob.Step) { s.Speculative = true },
	}
	for name, change := range kinds {
		for _, hosts := range []int{1, 2, 6} {
			t.Run(fmt.Sprintf("%s on %d", name, hosts), func(t *testing.T) {
				c := newCrashCluster(t, hosts)
				step := testStep(3, 1000)
				change(&step)
				c.runTime = time.Hour
				deadly := c.submitDeadly(1, step)
				c.gangs[deadly.ID] = step.Gang
				c.play(t, 60*time.Second)
				c.expect(t, deadly, hvjob.Failed)
			})
		}
	}
}

// crashUnder crashes the host of a task each time that its run reaches the next of some
// ages, with all that runs there.
func (c *crashCluster) crashUnder(t *testing.T, task string, ages ...time.Duration) {
	t.Helper()
	for _, age := range ages {
		for c.stored[hvjob.JobOf(task)].State != hvjob.Failed {
			e := c.runningOn(task)
			if e != nil && c.now.Sub(e.startTimes[task]) >= age {
				c.crashHost(e)
				break
			}
			c.play(t, crashStep)
		}
	}
}

// runningOn returns the executor that runs a task, or nil.
func (c *crashCluster) runningOn(task string) *executor {
	for _, e := range c.hosts {
		if _, ok := e.running[task]; ok && e.alive {
			return e
		}
	}
	return nil
}

// Guards against a job that could be done and is shown as failed, because hosts that crash
// for other reasons did so four times while its task was new there.
func TestUnrelatedCrashesAreNotTheJobsFault(t *testing.T) {
	c := newCrashCluster(t, 4)
	c.submit(urgentJob(testStep(8, 500)))
	c.play(t, 300*time.Millisecond)
	for range 2 {
		for _, name := range c.names() {
			c.crashHost(c.hosts[name])
			c.play(t, restartTime)
		}
	}
	j := c.submit(urgentJob(testStep(1, 1000)))
	c.crashUnder(t, hvjob.Task{Job: j.ID}.String(), 220*time.Millisecond, 130*time.Millisecond, 590*time.Millisecond, 300*time.Millisecond)
	c.play(t, 20*time.Second)
	c.expect(t, j, hvjob.Complete)
}

// Guards against a job that is shown as failed although no run of it failed, because the only
// host that may run it goes down and up by turns.
func TestHostThatCrashesAgainAndAgainIsNotTheJobsFault(t *testing.T) {
	for _, lasting := range []bool{true, false} {
		c := newCrashCluster(t, 10)
		c.runTime = 5 * time.Second
		e := c.hosts["host-0"]
		e.labels = []string{only}
		c.attachAll()
		s := testStep(1, 500)
		s.RequiredLabel, s.LongRunning = only, lasting
		j := c.submit(urgentJob(s))
		c.lasting = map[string]bool{j.ID: lasting}
		for range 3 {
			c.play(t, 6*time.Second)
			for end := c.now.Add(7 * time.Second); c.now.Before(end); {
				c.crashHost(e)
				c.downUntil[e.name] = c.now.Add(700 * time.Millisecond)
				c.play(t, 1400*time.Millisecond)
			}
		}
		c.play(t, 15*time.Second)
		switch got := c.stored[j.ID].State; {
		case !lasting && got != hvjob.Complete:
			t.Errorf("job is %q, want it complete", got)
		case lasting && (got != hvjob.Running || len(e.running) != 1):
			t.Errorf("long-running job is %q with %d runs, want one", got, len(e.running))
		}
	}
}

// Guards against a task that takes down one host after the other without limit, because it
// does so so long after its start that other reasons explain each crash as well.
func TestTaskThatCrashesHostsLateIsGivenUp(t *testing.T) {
	const most = 6
	for _, hosts := range []int{4, 11} {
		c := newCrashCluster(t, hosts)
		j := c.submit(urgentJob(testStep(1, 1000)))
		c.crashUnder(t, hvjob.Task{Job: j.ID}.String(), slices.Repeat([]time.Duration{500 * time.Millisecond}, most+1)...)
		c.expect(t, j, hvjob.Failed)
		if n := c.crashes(); n > most {
			t.Errorf("%d of %d hosts crashed, want at most %d", n, hosts, most)
		}
	}
}

// Guards against a job of which every task crashes its host: the tasks may not each take
// down as many hosts as a single one may.
func TestJobOfCrashingTasksIsGivenUpOnce(t *testing.T) {
	c := newCrashCluster(t, 6)
	j := c.submit(urgentJob(testStep(5, 3000)))
	for i := range 5 {
		c.deadly[hvjob.Task{Job: j.ID, Index: i}.String()] = true
	}
	c.play(t, 30*time.Second)
	c.expect(t, j, hvjob.Failed)
	crashes := 0
	for _, e := range c.hosts {
		crashes += e.incarnation - 1
	}
	if limit := len(c.hosts) + maxCrashingStarts; crashes > limit {
		t.Errorf("%d hosts crashed under one job, want at most %d", crashes, limit)
	}
}

// Guards against what is known of a task that is lost with the owner: each crash is
// followed by a new owner, before or after the crash was stored.
func TestCrashesAreKnownToTheNextOwner(t *testing.T) {
	for _, delay := range []time.Duration{0, 10 * time.Millisecond, 30 * time.Millisecond, 200 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			c := newCrashCluster(t, 6)
			other := c.submit(urgentJob(testStep(8, 1000)))
			deadly := c.submitDeadly(0, testStep(4, 1000))
			crashes := 0
			for range 40_000 {
				c.play(t, crashStep)
				if n := c.crashes(); n > crashes {
					crashes = n
					c.play(t, delay)
					c.loseOwner()
				}
				if c.stored[deadly.ID].State == hvjob.Failed && c.stored[other.ID].State == hvjob.Complete {
					break
				}
			}
			c.expect(t, deadly, hvjob.Failed)
			c.expect(t, other, hvjob.Complete)
		})
	}
}

// Guards against what is known of a task that is lost while the store is away: a
// suspected task may not start before its crash is stored, and the node keeps the crash
// for an owner that comes after the outage.
func TestCrashesAreKnownAfterOutage(t *testing.T) {
	c := newCrashCluster(t, 6)
	deadly := c.submitDeadly(0, testStep(4, 1000))
	c.storeDown = true
	c.play(t, 4*time.Second)
	task := hvjob.Task{Job: deadly.ID}.String()
	if c.starts[task] != 1 {
		t.Fatalf("%d starts while the store is away, want 1", c.starts[task])
	}
	c.loseOwner()
	c.storeDown = false
	c.play(t, 100*time.Millisecond)
	c.play(t, 40*time.Second)
	c.expect(t, deadly, hvjob.Failed)
	// An owner that knows of the first crash needs two more to be certain.
	if n := c.starts[task]; n > 3 {
		t.Errorf("%d starts, want 3: the crash during the outage is not known", n)
	}
}

// Guards against a loss of power of all processes that makes the system forget what it
// has stored of a task.
func TestCrashesAreKnownAfterPowerLoss(t *testing.T) {
	c := newCrashCluster(t, 6)
	deadly := c.submitDeadly(0, testStep(4, 1000))
	for range 30 {
		c.play(t, time.Second)
		if c.stored[deadly.ID].State == hvjob.Failed {
			break
		}
		for _, e := range c.hosts {
			// Nodes lose what they keep, and executors restart.
			e.crashes, e.lastCrash = nil, 0
			e.alive = false
			e.running, e.ended = map[string]int{}, nil
			e.start()
		}
		c.loseOwner()
	}
	c.expect(t, deadly, hvjob.Failed)
}

// Guards against a crash that is acknowledged before its effect is stored, or to a node
// that has numbered its crashes anew since.
func TestCrashIsAcknowledgedOnceStored(t *testing.T) {
	w := newRunningCluster(t, 1, testStep(1, 1000))
	e := w.hosts["host-0"]
	e.crash()
	if g := w.cell.Report(w.now, e.name, e.report(false)); g.AckedCrash != 0 {
		t.Fatalf("crash %d is acknowledged before it is stored", g.AckedCrash)
	}
	b, _ := w.cell.Batch(w.now)
	w.attach(e.name)
	w.cell.MarkStored(b)
	if g := w.cell.Report(w.now, e.name, hvorder.Report{ExecutorGone: true}); g.AckedCrash != 0 {
		t.Fatalf("crash %d of another connection is acknowledged", g.AckedCrash)
	}
	w.store()
	if g := w.cell.Report(w.now, e.name, hvorder.Report{ExecutorGone: true}); g.AckedCrash != 1 {
		t.Fatalf("acknowledged up to %d after the store, want 1", g.AckedCrash)
	}
}

// Guards against the loss of what runs beside a suspected task: nothing else may start
// on its host until it has run for some time.
func TestSuspectedTasksStartApart(t *testing.T) {
	c := newCrashCluster(t, 3)
	deadly := c.submitDeadly(0, testStep(2, 1000))
	c.play(t, 60*time.Millisecond)
	if c.crashes() == 0 {
		t.Fatal("no host crashed")
	}
	var others []hvjob.Job
	for range 20 {
		c.play(t, 500*time.Millisecond)
		if c.stored[deadly.ID].State == hvjob.Failed {
			break
		}
		others = append(others, c.submit(urgentJob(testStep(2, 1000))))
	}
	lost := c.innocentLosses
	c.play(t, 20*time.Second)
	c.expect(t, deadly, hvjob.Failed)
	// The other task of the deadly job is lost with each crash.
	if limit := maxCrashingStarts + 2; lost > limit {
		t.Errorf("%d runs of other tasks were lost with their hosts, want at most %d", lost, limit)
	}
	for _, j := range others {
		c.expect(t, j, hvjob.Complete)
	}
}

// Guards against a burst of all waiting tasks on a host that is back after a crash: if
// one of them crashes it again, nothing tells which one did.
func TestStartsAreSpacedAfterCrash(t *testing.T) {
	w := newSimCluster(t, 1)
	e := w.hosts["host-0"]
	e.capacityCPU = 100_000
	w.attachAll()
	w.submit(urgentJob(testStep(1, 1000)))
	w.exchange()
	w.advance(2 * time.Second)
	e.crash()
	w.exchange()
	w.submit(urgentJob(testStep(40, 1000)))
	e.start()
	w.exchange()
	w.exchange()
	if n := w.runs(); n == 0 || n > maxRecoveryStarts {
		t.Fatalf("%d tasks start at once on a host that is back after a crash, want 1 to %d", n, maxRecoveryStarts)
	}
	for range 30 {
		w.advance(recoveryInterval)
		w.exchange()
	}
	if n := w.runs(); n < 40 {
		t.Fatalf("%d tasks run 3 s after the host is back, want all", n)
	}
}

// crashLoad is a load of short jobs on a fleet of which some hosts crash without a task
// at fault, and some jobs hold a task that crashes its hosts.
type crashLoad struct {
	hosts int
	// deadlyShare is the share of deadly jobs, and crashesPerSecond the rate at which
	// hosts crash for other reasons.
	deadlyShare, crashesPerSecond float64
	// ownerLosses is true if the owner is replaced every few seconds.
	ownerLosses bool
}

// Guards against jobs that could be done and are shown as failed, and against tasks that
// crash hosts without limit, on fleets of which hosts also crash for other reasons.
func TestCrashingTasksAmongOtherCrashes(t *testing.T) {
	loads := map[string]crashLoad{
		"other reasons alone":        {hosts: 11, crashesPerSecond: 0.5},
		"many for other reasons":     {hosts: 11, crashesPerSecond: 1.5},
		"tasks alone":                {hosts: 11, deadlyShare: 0.1},
		"tasks and other reasons":    {hosts: 11, deadlyShare: 0.05, crashesPerSecond: 0.5},
		"and owners that are lost":   {hosts: 11, deadlyShare: 0.05, crashesPerSecond: 0.5, ownerLosses: true},
		"a small fleet":              {hosts: 4, deadlyShare: 0.05, crashesPerSecond: 0.2},
		"a larger fleet with little": {hosts: 40, deadlyShare: 0.02, crashesPerSecond: 0.5},
	}
	for name, load := range loads {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%s, seed %d", name, seed), func(t *testing.T) {
				t.Parallel()
				playCrashLoad(t, load, rand.New(rand.NewPCG(seed, 1)))
			})
		}
	}
}

func playCrashLoad(t *testing.T, load crashLoad, rnd *rand.Rand) {
	t.Helper()
	c := newCrashCluster(t, load.hosts)
	var deadly, others []hvjob.Job
	for i := range 200 {
		c.runTime = time.Duration(300+rnd.IntN(1200)) * time.Millisecond
		step := testStep(1+rnd.IntN(6), 500)
		if rnd.Float64() < load.deadlyShare {
			deadly = append(deadly, c.submitDeadly(rnd.IntN(step.Count), step))
		} else {
			others = append(others, c.submit(urgentJob(step)))
		}
		if rnd.Float64() < load.crashesPerSecond/10 {
			name := c.names()[rnd.IntN(load.hosts)]
			if e := c.hosts[name]; e.alive {
				c.crashHost(e)
			}
		}
		if load.ownerLosses && i%40 == 39 {
			c.loseOwner()
		}
		c.play(t, 100*time.Millisecond)
	}
	c.play(t, 90*time.Second)
	for _, j := range deadly {
		c.expect(t, j, hvjob.Failed)
	}
	for _, j := range others {
		c.expect(t, j, hvjob.Complete)
	}
	t.Logf("%d jobs with a task that crashes hosts, %d others, %d crashes, %d runs of others lost", len(deadly), len(others), c.crashes(), c.innocentLosses)
}
