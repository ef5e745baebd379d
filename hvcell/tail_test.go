package hvcell

import (
	"slices"
	"testing"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvjob"
	"hibiscusvane.example/hibiscusvane/hvorder"
)

var tailPolicy = Policy{Tail: true, CheckpointInterval: 500 * time.Millisecond, RestoreTime: 600 * time.Millisecond, StopTime: 400 * time.Millisecond}

// newTailCluster returns a cluster of 3 hosts that each serve with half of their
// processors, with a step of 12 small tasks of 2 s that has started. The tasks on
// host-0 have the given speed in percent per second.
func newTailCluster(t *testing.T, policy Policy, speed float64, edit func(s *hvjob.Step)) (*simCluster, hvjob.Job) {
	w := newSimCluster(t, 3)
	w.policy, w.savedStates = policy, true
	w.replaceOwner()
	for _, e := range w.hosts {
		e.speed = 50
	}
	w.hosts["host-0"].speed = speed
	w.attachAll()
	serving := testStep(3, 4000)
	serving.LongRunning, serving.MaxPerHost, serving.LatencyTarget, serving.Image = true, 1, 100, "serving"
	w.submit(urgentJob(serving))
	w.exchange()
	s := testStep(12, 500)
	s.Estimate, s.Image = 2000, "work"
	edit(&s)
	j := urgentJob(s)
	j.Queue = "batch"
	return w, w.submit(j)
}

// progressTime is the time between two reports.
const progressTime = 100 * time.Millisecond

// progress lets the runs make progress and ends those of a job that have no more to do.
func (w *simCluster) progress(j hvjob.Job) {
	w.advance(progressTime)
	for _, e := range w.hosts {
		for task, run := range e.running {
			if e.percents[task] >= 100 && hvjob.JobOf(task) == j.ID {
				e.end(task, run, hv.EndDone)
			}
		}
	}
}

// work lets the runs make progress until the job ends or the time is over, and returns
// the time that it took. check is called after each exchange.
func (w *simCluster) work(j hvjob.Job, limit time.Duration, check func()) time.Duration {
	for took := time.Duration(0); ; took += progressTime {
		w.exchange()
		if check(); took >= limit || w.stored[j.ID].State.Final() {
			return took
		}
		w.progress(j)
	}
}

func speculative(s *hvjob.Step) { s.Speculative = true }

func checkpointed(s *hvjob.Step) { s.Checkpoint = true }

func throttleable(s *hvjob.Step) { s.Checkpoint, s.BestEffort = true, true }

// checkRelocations fails the test if copies and moves exceed their budget.
func (w *simCluster) checkRelocations(t *testing.T) {
	if used, taken := w.cell.relocationCPU(w.now); 10*taken > used {
		t.Errorf("copies and moves take %d of %d processors in use", taken, used)
	}
	for _, j := range w.cell.jobs {
		for _, k := range j.rounds[0].steps[0].tasks {
			if k.relocations > 2 || len(k.runs) > 2 {
				t.Errorf("task %s was relocated %d times and has %d runs", k.name, k.relocations, len(k.runs))
			}
		}
	}
}

// Guards against a step that ends with the tasks on a slow host although the rest of the
// cluster has nothing to do, and against actions while the part is off.
func TestSlowHostDoesNotHoldUpStep(t *testing.T) {
	for name, edit := range map[string]func(s *hvjob.Step){"copies": speculative, "moves": checkpointed, "moves of throttled work": throttleable} {
		t.Run(name, func(t *testing.T) {
			took := map[bool]time.Duration{}
			for _, on := range []bool{false, true} {
				policy := tailPolicy
				policy.Tail = on
				w, j := newTailCluster(t, policy, 2.5, edit)
				if name == "moves of throttled work" {
					w.hosts["host-0"].shareOffset = -95
				}
				took[on] = w.work(j, time.Minute, func() { w.checkRelocations(t) })
				if n := w.cell.counts; (n.Copies+n.Moves > 0) != on {
					t.Errorf("%d copies, %d moves with the part on: %v", n.Copies, n.Moves, on)
				}
			}
			if took[true] >= took[false] {
				t.Errorf("took %v with moves and copies, %v without", took[true], took[false])
			}
		})
	}
}

// Guards against a task that is moved, copied or stopped because it is longer than the
// others of its step: it would be as long on any host.
func TestLongTaskIsLeftAlone(t *testing.T) {
	for name, edit := range map[string]func(s *hvjob.Step){"speculative": speculative, "checkpointed": checkpointed, "neither": func(*hvjob.Step) {}} {
		t.Run(name, func(t *testing.T) {
			w, j := newTailCluster(t, tailPolicy, 50, edit)
			long := hvjob.Task{Job: j.ID}.String()
			took := w.work(j, time.Minute, func() {
				for _, e := range w.hosts {
					if _, ok := e.running[long]; ok && e.percents[long] >= 5 {
						e.percents[long] -= 4
					}
				}
			})
			if n := w.cell.counts; n.Starts != 15 || n.Stopped != 0 || took < 9*time.Second {
				t.Fatalf("%d starts and %d stops in %v, want 15 starts and none", n.Starts, n.Stopped, took)
			}
		})
	}
}

// Guards against a task that is moved again and again because each host becomes slow.
func TestTaskIsMovedTwiceAtMost(t *testing.T) {
	w, j := newTailCluster(t, tailPolicy, 2.5, checkpointed)
	unlucky := hvjob.Task{Job: j.ID}.String()
	w.work(j, 20*time.Second, func() {
		w.checkRelocations(t)
		// Three hosts stand for as many as it takes.
		w.cell.findTask(unlucky).avoidedHosts = nil
		for _, e := range w.hosts {
			if e.speed = 50; e.running[unlucky] > 0 {
				e.speed = 2.5
			}
		}
	})
	if k := w.cell.findTask(unlucky); k == nil || k.relocations != maxRelocations {
		t.Fatalf("task is %+v, want it moved twice and not done", k)
	}
}

// Guards against second runs, and moves of rounds that are late anyway, that take the
// processors for which others wait.
func TestWaitingTasksComeBeforeRelocations(t *testing.T) {
	late := func(s *hvjob.Step) { s.Checkpoint, s.Estimate = true, 200 }
	for name, edit := range map[string]func(s *hvjob.Step){"copies": speculative, "moves of a late round": late} {
		for _, waits := range []bool{true, false} {
			w, j := newTailCluster(t, tailPolicy, 2.5, edit)
			if waits {
				w.submit(urgentJob(testStep(1, 8000)))
			}
			w.work(j, 2500*time.Millisecond, func() {})
			if n := w.cell.counts; (n.Copies+n.Moves == 0) != waits {
				t.Errorf("%s: %d copies and %d moves while an urgent task waits: %v", name, n.Copies, n.Moves, waits)
			}
		}
	}
}

// Guards against a task that is lost, done twice or charged twice for one failure when a
// copy or a move is interrupted halfway.
func TestInterruptedRelocation(t *testing.T) {
	type state struct {
		*simCluster
		*testing.T
		task *task
		late hvorder.Orders
	}
	newOwner := func(s *state) {
		s.store()
		s.replaceOwner()
		s.attachAll()
	}
	// intercept takes the orders for the copy on their way.
	intercept := func(s *state) string {
		to := s.task.runs[1].host.name
		s.late, _ = s.cell.Orders(to)
		s.cell.NodeDetached(s.now, to)
		return to
	}
	endAll := func(s *state, reasons ...hv.EndReason) {
		s.exchange()
		for i, r := range slices.Clone(s.task.runs) {
			if reasons[i] != "" {
				s.hosts[r.host.name].end(s.task.name, r.number, reasons[i])
			}
		}
	}
	for name, c := range map[string]struct {
		edit      func(s *hvjob.Step)
		interrupt func(s *state)
		failed    int
	}{
		"owner lost before the stop": {checkpointed, newOwner, 0},
		"owner lost after the stop": {checkpointed, func(s *state) {
			s.deliver(s.task.runs[0].host.name)
			newOwner(s)
		}, 0},
		"owner lost before the copy": {speculative, newOwner, 0},
		"owner lost after the copy": {speculative, func(s *state) {
			s.exchange()
			newOwner(s)
			if n := len(s.cell.findTask(s.task.name).runs); n != 2 {
				s.Errorf("%d runs under the new owner, want 2", n)
			}
		}, 0},
		"start of the copy lost": {speculative, func(s *state) { s.attach(intercept(s)) }, 0},
		"start of the copy late": {speculative, func(s *state) {
			to := intercept(s)
			endAll(s, hv.EndDone, hv.EndDone)
			s.exchange()
			s.hosts[to].startDelayed(s.late)
			s.attach(to)
		}, 0},
		"both done":         {speculative, func(s *state) { endAll(s, hv.EndDone, hv.EndDone) }, 0},
		"first run failed":  {speculative, func(s *state) { endAll(s, hv.EndFailed, "") }, 1},
		"second run failed": {speculative, func(s *state) { endAll(s, "", hv.EndFailed) }, 1},
		"first host lost": {speculative, func(s *state) {
			s.exchange()
			s.hosts["host-0"].crash()
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			w, j := newTailCluster(t, tailPolicy, 2.5, c.edit)
			s := &state{simCluster: w, T: t}
			for s.task == nil {
				w.exchange()
				w.progress(j)
				for _, e := range w.hosts {
					e.applyGrant(w.cell.Report(w.now, e.name, e.report(false)))
				}
				w.cell.Tick(w.now)
				for _, k := range w.cell.jobs[j.ID].rounds[0].steps[0].tasks {
					if k.relocations > 0 {
						s.task = k
					}
				}
			}
			c.interrupt(s)
			failed := 0
			w.work(j, time.Minute, func() {
				if r, ok := w.stored[j.ID].Rounds[0]; ok {
					failed = len(r.Steps[0].FailedRuns[s.task.index])
				}
			})
			w.exchange()
			if got := w.stored[j.ID].State; got != hvjob.Complete || failed != c.failed {
				t.Errorf("job is %q with %d failed runs, want it complete with %d", got, failed, c.failed)
			}
			if w.runs() > 3 {
				t.Errorf("%d runs remain, want those of the service", w.runs())
			}
		})
	}
}
