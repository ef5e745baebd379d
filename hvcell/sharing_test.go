package hvcell

import (
	"testing"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvjob"
	"hibiscusvane.example/hibiscusvane/hvorder"
)

const shareStep = 50 * time.Millisecond

// shareCluster is a cluster under contention in which each run takes as long as its job
// says, and on which no host may exceed its capacity.
type shareCluster struct {
	*crashCluster
	// runTimes holds the run times by job; others run for 600 ms. Services run on.
	runTimes map[string]time.Duration
	jobByID  map[string]hvjob.Job
	// deaf holds the hosts that do not receive stops.
	deaf map[string]bool
	// pending holds the stops that a host has not carried out: it takes one in each step.
	pending map[string][]hvorder.Run
	// stops counts the stops of the runs of each task.
	stops map[string]int
}

func newShareCluster(t *testing.T, hosts int) *shareCluster {
	t.Helper()
	c := &shareCluster{crashCluster: newCrashCluster(t, hosts), runTimes: map[string]time.Duration{}, jobByID: map[string]hvjob.Job{}, deaf: map[string]bool{}, pending: map[string][]hvorder.Run{}, stops: map[string]int{}}
	c.simCluster.intercept = c.intercept
	c.policy = Policy{Sharing: true, CheckpointInterval: 500 * time.Millisecond, RestoreTime: 600 * time.Millisecond, StopTime: 400 * time.Millisecond}
	c.replaceOwner()
	c.attachAll()
	return c
}

// add submits a job of one step to a queue from a zone.
func (c *shareCluster) add(queue, zone string, runTime time.Duration, s hvjob.Step) hvjob.Job {
	j := c.submit(hvjob.Job{Queue: queue, Zone: zone, Steps: []hvjob.Step{s}})
	c.runTimes[j.ID], c.jobByID[j.ID] = runTime, j
	return j
}

// play exchanges messages in steps of virtual time and calls each in every step, before runs end.
func (c *shareCluster) play(d time.Duration, each func()) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.exchangeUnlessLost()
		if each != nil {
			each()
		}
		for name, e := range c.hosts {
			used := int64(0)
			for task, run := range e.running {
				j := c.jobByID[hvjob.JobOf(task)]
				used += j.Steps[0].Allocation().CPU
				if !j.Steps[0].LongRunning && c.now.Sub(e.startTimes[task]) >= c.runTimes[j.ID] {
					e.end(task, run, hv.EndDone)
				}
			}
			if used > e.capacityCPU {
				c.t.Fatalf("%d on %s, its capacity is %d", used, name, e.capacityCPU)
			}
		}
		c.advance(shareStep)
	}
}

// intercept records the stops in orders and passes one stop in each step to a host, or none
// to a deaf one.
func (c *shareCluster) intercept(name string, o hvorder.Orders) hvorder.Orders {
	for _, s := range o.Stops {
		c.stops[s.Task]++
	}
	if c.deaf[name] {
		o.Stops = nil
	}
	o.Stops = append(c.pending[name], o.Stops...)
	n := min(len(o.Stops), 1)
	c.pending[name], o.Stops = o.Stops[n:], o.Stops[:n]
	o.Epoch, o.Incarnation = c.epoch, c.hosts[name].incarnationName()
	return o
}

// count returns the number of runs and of waiting tasks of the jobs that match.
func (c *shareCluster) count(match func(hvjob.Job) bool) (running, waiting int) {
	for _, e := range c.hosts {
		for task := range e.running {
			if match(c.jobByID[hvjob.JobOf(task)]) {
				running++
			}
		}
	}
	for _, j := range c.cell.jobs {
		if match(j.Job) {
			for _, r := range j.rounds {
				waiting += r.steps[0].waiting
			}
		}
	}
	return running, waiting
}

func inQueue(name string) func(hvjob.Job) bool {
	return func(j hvjob.Job) bool { return j.Queue == name }
}

// keep submits jobs until that many tasks of those that match wait.
func (c *shareCluster) keep(n int, match func(hvjob.Job) bool, submit func(*shareCluster)) {
	for _, waiting := c.count(match); waiting < n; _, waiting = c.count(match) {
		submit(c)
	}
}

// submits returns a function that submits a job of short tasks.
func submits(queue, zone string, tasks int) func(*shareCluster) {
	return func(c *shareCluster) { c.add(queue, zone, 600*time.Millisecond, testStep(tasks, 1000)) }
}

// Guards against a flood of one queue, zone or size that takes the floor of another on 4
// hosts of 8 cores, and against a share that leaves capacity idle.
func TestFloodLeavesOthersTheirFloor(t *testing.T) {
	isSmall := func(j hvjob.Job) bool { return j.Steps[0].Count == 1 }
	mixed := func(c *shareCluster) {
		for range 12 {
			submits("first", "a", 1)(c)
		}
		submits("first", "a", 60)(c)
	}
	for _, k := range []struct {
		name       string
		flood, few func(*shareCluster)
		isFew      func(hvjob.Job) bool
		floor      float64
	}{
		{"urgent against batch", submits("first", "a", 5), submits("second", "a", 5), inQueue("second"), 1.0 / 3},
		{"batch against urgent", submits("second", "a", 5), submits("first", "a", 5), inQueue("first"), 2.0 / 3},
		{"zone against zone", submits("first", "a", 5), submits("first", "b", 5), func(j hvjob.Job) bool { return j.Zone == "b" }, 1.0 / 2},
		{"small against large", submits("first", "a", 1), submits("first", "a", 40), func(j hvjob.Job) bool { return !isSmall(j) }, 1.0 / 2},
		{"large against small", mixed, submits("first", "b", 1), isSmall, 1.0 / 2},
	} {
		t.Run(k.name, func(t *testing.T) {
			c := newShareCluster(t, 4)
			least, start := 32, c.now
			c.play(12*time.Second, func() {
				c.keep(150, func(j hvjob.Job) bool { return !k.isFew(j) }, k.flood)
				if c.now.Sub(start) > time.Second {
					c.keep(40, k.isFew, k.few)
					if c.runs() < 32 {
						t.Fatalf("%d of 32 cores are used while work waits", c.runs())
					}
				}
				if running, _ := c.count(k.isFew); c.now.Sub(start) > 3*time.Second {
					least = min(least, running)
				}
			})
			// A task cannot be divided.
			if float64(least) < k.floor*32-1 {
				t.Fatalf("%d of 32 cores at least, the floor is %.1f", least, k.floor*32)
			}
		})
	}
}

// Guards against a flood of short tasks that keeps services from starting.
func TestFloodLeavesServicesTheirRoom(t *testing.T) {
	c := newShareCluster(t, 4)
	service := testStep(6, 4000)
	service.LongRunning = true
	submitted := false
	c.play(4*time.Second, func() {
		c.keep(100, inQueue("first"), submits("first", "a", 5))
		if c.cell.counts.Done > 0 && !submitted {
			c.add("second", "a", 0, service)
			submitted = true
		}
	})
	if running, _ := c.count(inQueue("second")); running != 6 {
		t.Fatalf("%d of 6 tasks of a service run", running)
	}
	if running, _ := c.count(inQueue("first")); running != 8 {
		t.Fatalf("short tasks use %d of the other 8 cores", running)
	}
}

// Guards against late work that never starts while work in time arrives, and against late
// work that takes more than its turns.
func TestLateWorkGetsOneTurnInEight(t *testing.T) {
	c := newShareCluster(t, 2)
	late := testStep(40, 1000)
	late.Estimate = 1
	var j hvjob.Job
	start, before := c.now, 0
	starts := int64(0)
	c.play(30*time.Second, func() {
		c.keep(100, inQueue("first"), submits("first", "a", 5))
		if j.ID == "" {
			j = c.add("batch", "a", 600*time.Millisecond, late)
		}
		if running, waiting := c.count(inQueue("batch")); c.now.Sub(start) < 13*time.Second {
			// The first seconds are for the cutoff of the job and the wait of 10 s.
			before, starts = 40-waiting, c.cell.counts.Starts
		} else if waiting > 2 {
			turns := float64(c.cell.counts.Starts-starts) / 8
			if got := float64(40 - waiting - before); got < turns-3 || got > turns+3 {
				t.Fatalf("%.0f late tasks of %.0f turns, %d run", got, turns, running)
			}
		}
	})
	if _, waiting := c.count(inQueue("batch")); waiting > 30 {
		t.Fatalf("%d of 40 late tasks wait", waiting)
	}
}
