package hvcell

import (
	"testing"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvjob"
)

// fill submits a job of the queue second that fills all hosts, and lets its tasks start.
func (c *shareCluster) fill(change func(*hvjob.Step)) hvjob.Job {
	s := testStep(8*len(c.hosts), 1000)
	s.Checkpoint = true
	change(&s)
	j := c.add("second", "a", time.Minute, s)
	c.play(time.Second, nil)
	return j
}

func none(*hvjob.Step) {}

// stoppedTasks returns the number of tasks whose runs were stopped, and fails if one was
// stopped more than once.
func (c *shareCluster) stoppedTasks() int {
	for task, n := range c.stops {
		if n > 1 {
			c.t.Fatalf("runs of %s were stopped %d times", task, n)
		}
	}
	return len(c.stops)
}

// Guards against an urgent task that waits for runs of a less urgent queue, against one
// that stops more than it needs, and against a stopped run that counts as failed or whose
// task does not go first in its queue.
func TestUrgentTaskPreempts(t *testing.T) {
	t.Run("ordinary", func(t *testing.T) { checkPreemption(t, none) })
	t.Run("best effort", func(t *testing.T) { checkPreemption(t, func(s *hvjob.Step) { s.BestEffort = true }) })
}

func checkPreemption(t *testing.T, change func(*hvjob.Step)) {
	t.Helper()
	c := newShareCluster(t, 4)
	j := c.fill(change)
	waiting, urgent := testStep(20, 1000), testStep(1, 1000)
	change(&waiting)
	change(&urgent)
	c.add("second", "a", time.Minute, waiting)
	c.play(shareStep, nil)
	c.add("first", "a", 500*time.Millisecond, urgent)
	c.play(350*time.Millisecond, nil)
	if n := c.stoppedTasks(); n > 0 {
		t.Fatalf("%d runs are stopped within 300 ms", n)
	}
	c.play(150*time.Millisecond, nil)
	if running, _ := c.count(inQueue("first")); running != 1 || c.stoppedTasks() != 1 || c.cell.counts.Preempted != 1 {
		t.Fatalf("%d runs of the urgent job after 0.5 s, %d runs stopped", running, len(c.stops))
	}
	// Less than the time after which a waiting best-effort step starts a task anywhere.
	c.play(700*time.Millisecond, nil)
	if running, _ := c.count(func(o hvjob.Job) bool { return o.ID == j.ID }); running != 32 {
		t.Fatalf("%d of 32 runs after the urgent job has ended, the stopped task goes first", running)
	}
	if failed := c.stored[j.ID].Rounds[0].Steps[0].FailedRuns; len(failed) > 0 {
		t.Fatalf("stopped runs count as failed: %v", failed)
	}
}

// Guards against two queues that stop each other's work in turn: over 1,000 steps no task
// is stopped twice, and at most 5% of the runs in a second.
func TestPreemptionDoesNotAlternate(t *testing.T) {
	c := newShareCluster(t, 8)
	var at []time.Time
	step, before := 0, int64(0)
	c.play(1000*shareStep, func() {
		if step++; step%10 == 0 {
			c.add("first", "a", time.Second, testStep(12, 2000))
		}
		c.keep(20, inQueue("second"), func(c *shareCluster) { c.add("second", "a", 3*time.Second, testStep(10, 1000)) })
		for ; before < c.cell.counts.Preempted; before++ {
			at = append(at, c.now)
		}
	})
	for i := 3; i < len(at); i++ {
		// At most 64 runs, so 3 in a second.
		if at[i].Sub(at[i-3]) < time.Second {
			t.Fatalf("more than 3 runs are stopped in the second from %v", at[i-3])
		}
	}
	if c.stoppedTasks() == 0 {
		t.Fatal("nothing was preempted")
	}
}

// Guards against a stop without a response that makes a host run more than its capacity,
// or makes the urgent task wait for that host alone.
func TestPreemptionWithoutResponse(t *testing.T) {
	c := newShareCluster(t, 4)
	c.fill(none)
	for name := range c.hosts {
		c.deaf[name] = true
	}
	c.add("first", "a", 5*time.Second, testStep(1, 1000))
	c.play(time.Second, nil)
	if running, _ := c.count(inQueue("first")); running != 0 || len(c.stops) != 1 {
		t.Fatalf("%d urgent runs, %d stops while the stop has no response", running, len(c.stops))
	}
	clear(c.deaf)
	for name, h := range c.cell.hosts {
		c.deaf[name] = h.stoppingRuns() > 0
	}
	c.play(2500*time.Millisecond, nil)
	if running, _ := c.count(inQueue("first")); running != 1 || c.cell.counts.HoldsExpired != 1 {
		t.Fatalf("%d urgent runs after the hold has expired", running)
	}
}

// Guards against a task that is lost or stopped again when the owner is replaced while a
// run is being stopped, at each point of the preemption.
func TestPreemptionSurvivesOwner(t *testing.T) {
	for _, delay := range []time.Duration{350, 400, 450, 600} {
		c := newShareCluster(t, 4)
		c.fill(none)
		c.add("first", "a", time.Second, testStep(1, 1000))
		c.play(delay*time.Millisecond, nil)
		c.replaceOwner()
		c.attachAll()
		c.play(700*time.Millisecond, nil)
		if running, _ := c.count(inQueue("first")); running != 1 {
			t.Fatalf("%d runs of the urgent job under the new owner", running)
		}
		for range 5 {
			c.add("first", "a", 300*time.Millisecond, testStep(1, 1000))
			c.play(1200*time.Millisecond, nil)
		}
		c.stoppedTasks()
		c.finishAll(hv.EndDone)
		c.play(2*time.Second, nil)
		c.finishAll(hv.EndDone)
		c.play(time.Second, nil)
		if len(c.cell.jobs) > 0 {
			t.Fatalf("%d jobs do not end", len(c.cell.jobs))
		}
	}
}

// Guards against a preemption that stops more tasks of a service than may be missing, and
// against one that stops a part of a gang.
func TestPreemptionSparesServicesAndGangs(t *testing.T) {
	for _, budget := range []int{0, 1, 2} {
		c := newShareCluster(t, 4)
		j := c.fill(func(s *hvjob.Step) { s.LongRunning, s.DisruptionBudget = true, budget })
		c.play(10*time.Second, nil)
		most := 0
		c.play(30*time.Second, func() {
			c.keep(4, inQueue("first"), func(c *shareCluster) { c.add("first", "a", time.Second, testStep(4, 1000)) })
			most = max(most, c.cell.unavailable(c.now, c.cell.jobs[j.ID].rounds[0].steps[0]))
		})
		if most != budget {
			t.Fatalf("%d tasks of a service miss, %d may", most, budget)
		}
	}
	for _, k := range []struct{ filler, cpu, stops int }{{62, 1000, 0}, {63, 500, 2}} {
		c := newShareCluster(t, 8)
		c.add("first", "a", time.Minute, testStep(k.filler, 1000))
		c.play(time.Second, nil)
		gang := testStep(2, int64(k.cpu))
		gang.Gang = true
		c.add("second", "a", time.Minute, gang)
		c.play(time.Second, nil)
		c.add("first", "a", time.Second, testStep(1, 1000))
		c.play(time.Second, nil)
		if len(c.stops) != k.stops {
			t.Fatalf("%d members of a gang beside %d others are stopped, want %d", len(c.stops), k.filler, k.stops)
		}
	}
}

// Guards against capacity that is freed by one of two stops and goes to other work before
// the second run has ended.
func TestPreemptionKeepsFreedCapacity(t *testing.T) {
	c := newShareCluster(t, 8)
	c.fill(none)
	c.add("second", "a", time.Minute, testStep(20, 1000))
	c.play(shareStep, nil)
	c.add("first", "a", time.Second, testStep(1, 2000))
	c.play(600*time.Millisecond, nil)
	if running, _ := c.count(inQueue("first")); running != 1 || c.stoppedTasks() != 2 {
		t.Fatalf("%d urgent runs, %d runs stopped, want 1 and 2", running, len(c.stops))
	}
}
