package hvcell

import (
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"testing"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvjob"
)

// loadedCluster is a cluster with a stream of small tasks that keeps all hosts busy.
type loadedCluster struct {
	*simCluster
	seed int
	// small is the step of the stream; it has no tasks if there is none.
	small hvjob.Step
	// spread is by what fraction of its estimate a run time differs at most.
	spread float64
	// ended counts the small tasks that were done.
	ended int
	// endless is the job whose runs do not end, if any.
	endless string
}

const loadTick = 20 * time.Millisecond

func newLoadedCluster(t testing.TB, hosts, seed int, p Policy, small hvjob.Step) *loadedCluster {
	w := &loadedCluster{simCluster: newSimCluster(t, hosts), seed: seed, small: small, spread: 0.5}
	w.policy, w.authority = p, 0
	w.replaceOwner()
	w.attachAll()
	return w
}

// took returns the run time of a run of a task: its estimate with an error that is the
// same in each run with the same seed.
func (w *loadedCluster) took(task string, s *hvjob.Step) time.Duration {
	h := fnv.New32a()
	_, _ = fmt.Fprint(h, task, w.seed)
	deviation := w.spread * (float64(h.Sum32()%2001)/1000 - 1)
	return time.Duration(float64(s.Estimate)*(1+deviation)) * time.Millisecond
}

// tick lets virtual time pass and ends the runs whose time is over.
func (w *loadedCluster) tick() {
	w.advance(loadTick)
	for _, name := range slices.Sorted(maps.Keys(w.hosts)) {
		e := w.hosts[name]
		for _, task := range slices.Sorted(maps.Keys(e.running)) {
			id, _ := hvjob.ParseTask(task)
			j := w.jobs[slices.IndexFunc(w.jobs, func(j hvjob.Job) bool { return j.ID == id.Job })]
			if s := &j.Steps[id.Step]; !s.LongRunning && id.Job != w.endless && w.now.Sub(e.startTimes[task]) >= w.took(task, s) {
				e.end(task, e.running[task], hv.EndDone)
				if s.Need == w.small.Need {
					w.ended++
				}
			}
		}
	}
	for w.small.Count > 0 && w.cell.Counts().Waiting < 8 {
		w.submit(urgentJob(w.small))
		w.cell.Plan(w.now)
	}
	w.exchange()
}

func (w *loadedCluster) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.tick()
	}
}

// longestRest returns the longest expected time to the end of a run.
func (w *loadedCluster) longestRest() (longest time.Duration) {
	for _, h := range w.cell.hosts {
		for _, r := range h.runs {
			rest, _ := w.cell.remaining(w.now, r)
			longest = max(longest, rest)
		}
	}
	return longest
}

// startWithin fails the test unless that many tasks of a job run within a limit.
func (w *loadedCluster) startWithin(id string, tasks int, limit time.Duration) {
	for since := w.now; w.runsOf(id) < tasks; w.tick() {
		if w.now.Sub(since) > limit {
			w.t.Fatalf("seed %d: %d of %d tasks have started after %v", w.seed, w.runsOf(id), tasks, limit)
		}
	}
}

func smallStep(bestEffort bool) hvjob.Step {
	s := testStep(4, 1000)
	s.Estimate, s.BestEffort = 1000, bestEffort
	return s
}

// Guards against large tasks and gangs that never start because small tasks, which arrive
// all the time and have earlier goals, take whatever becomes free.
func TestLargeTaskStartsAmongSmallTasks(t *testing.T) {
	for name, change := range map[string]func(s *hvjob.Step){
		"whole host":              func(s *hvjob.Step) { s.Need.CPU = 8000 },
		"memory of a whole host":  func(s *hvjob.Step) { s.Need.Memory = 1 << 20 },
		"best effort":             func(s *hvjob.Step) { s.Need.CPU, s.BestEffort = 8000, true },
		"gang on half of a host":  func(s *hvjob.Step) { s.Need.CPU, s.Count, s.Gang = 2000, 2, true },
		"gang on several hosts":   func(s *hvjob.Step) { s.Need.CPU, s.Count, s.Gang = 4000, 4, true },
		"one of many large tasks": func(s *hvjob.Step) { s.Need.CPU, s.Count = 8000, 20 },
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range 10 {
				large := testStep(1, 1000)
				large.Estimate = 2000
				change(&large)
				w := newLoadedCluster(t, 4, seed, Policy{Backfill: true}, smallStep(large.BestEffort))
				w.run(5 * time.Second)
				limit := 2 * w.longestRest()
				j := w.submit(urgentJob(large))
				tasks := 1
				if large.Gang {
					tasks = large.Count
				}
				w.startWithin(j.ID, tasks, limit)
			}
		})
	}
}

// Guards against the same if run times are off by up to 90%, as in the first deployment.
func TestLargeTaskStartsDespitePoorEstimates(t *testing.T) {
	for seed := range 10 {
		w := newLoadedCluster(t, 4, seed, Policy{Backfill: true}, smallStep(false))
		w.spread = 0.9
		w.run(5 * time.Second)
		limit := 2 * w.longestRest()
		w.startWithin(w.submit(urgentJob(testStep(1, 8000))).ID, 1, limit)
	}
}

// Guards against large tasks that wait for several generations of small ones: tasks of a
// step whose first run was short start on the reserved host and end late, or the reservation
// moves to a host whose many runs are expected to end earlier and end late as well.
func TestDelayedReservationIsNeitherRefilledNorMoved(t *testing.T) {
	longest := 1900*time.Millisecond + 2*loadTick
	for seed := range 10 {
		w := newLoadedCluster(t, 8, seed, Policy{Backfill: true}, smallStep(false))
		w.spread = 0.9
		w.run(3 * time.Second)
		for range 8 {
			large := testStep(1, 8000)
			large.Estimate = 1000
			j := w.submit(urgentJob(large))
			w.startWithin(j.ID, 1, longest)
			for w.stored[j.ID].State != hvjob.Complete {
				w.tick()
			}
		}
	}
}

// Guards against a large task that waits for good for a host on which a run does not end.
// Such a run is always expected to need a quarter of its age more, so after 10 s more than
// the late runs of the other host.
func TestReservationLeavesHostWhoseRunDoesNotEnd(t *testing.T) {
	for seed := range 10 {
		w := newLoadedCluster(t, 2, seed, Policy{Backfill: true}, smallStep(false))
		endless := testStep(1, 1000)
		endless.Estimate = 1000
		w.endless = w.submit(urgentJob(endless)).ID
		w.run(500 * time.Millisecond)
		large := w.submit(urgentJob(testStep(1, 8000)))
		w.startWithin(large.ID, 1, 10*time.Second)
		if w.runsOf(w.endless) != 1 {
			t.Fatalf("seed %d: the endless task does not run beside the large one", seed)
		}
	}
}

// Guards against hosts that stay idle for longer than a large task needs them: beside the
// reserved capacity the small tasks go on.
func TestReservationCostsOnlyReservedCapacity(t *testing.T) {
	const hosts, window = 4, 10 * time.Second
	without, with, reserved := 0, 0, time.Duration(0)
	for seed := range 10 {
		base := newLoadedCluster(t, hosts, seed, Policy{Backfill: true}, smallStep(false))
		base.run(window)
		without += base.ended
		w := newLoadedCluster(t, hosts, seed, Policy{Backfill: true}, smallStep(false))
		w.run(window / 4)
		large := testStep(1, 8000)
		large.Estimate = 2000
		j := w.submit(urgentJob(large))
		for since := w.now; w.stored[j.ID].State != hvjob.Complete; reserved += loadTick {
			if w.tick(); w.now.Sub(since) > window/2 {
				t.Fatalf("seed %d: the large task is not complete", seed)
			}
		}
		w.run(window - w.now.Sub(time.Unix(1_000_000, 0)))
		with += w.ended
	}
	share := float64(reserved) / float64(10*hosts*window)
	if limit := float64(without) * (1 - share); float64(with) < limit {
		t.Errorf("%d small tasks were done, %d without the large task; want at least %.0f, as %.1f%% of the capacity was reserved", with, without, limit, 100*share)
	}
}

// Guards against urgent tasks that miss their goal because of a reservation for a less
// urgent queue, and against a reservation that does not hold them back at all.
func TestUrgentTaskIsHeldOnlyWithinItsGoal(t *testing.T) {
	w := newLoadedCluster(t, 1, 0, Policy{Backfill: true}, hvjob.Step{})
	w.spread = 0
	w.cell.estimate.queues["urgent"] = &RunTimeStats{Count: minSamples, MeanError: 1, Variance: 0.01}
	first, large := testStep(1, 6000), testStep(1, 8000)
	first.Estimate = 30_000
	w.submit(hvjob.Job{Queue: "batch", Steps: []hvjob.Step{first}})
	w.run(time.Second)
	w.submit(hvjob.Job{Queue: "batch", Steps: []hvjob.Step{large}})
	w.run(time.Second)
	short, long := testStep(1, 1000), testStep(1, 1000)
	short.Estimate, long.Estimate = 1000, 40_000
	s, l := w.submit(urgentJob(short)), w.submit(urgentJob(long))
	w.startWithin(s.ID, 1, loadTick)
	w.run(time.Second)
	if w.runsOf(l.ID) > 0 {
		t.Error("the long urgent task delays the reserved work at once")
	}
	// Its goal is 1.5 times its run time and 250 ms after its submission.
	w.startWithin(l.ID, 1, 20*time.Second+250*time.Millisecond-time.Second)
}

// Guards against capacity that is reserved on hosts on which the task is not to start in
// any case, as it would disturb the services there.
func TestNothingIsReservedWhereTheTaskDisturbs(t *testing.T) {
	w := newLoadedCluster(t, 2, 0, Policy{Backfill: true}, hvjob.Step{})
	_, overload := submitServing(w.simCluster)
	reportInterference(w.simCluster, "host-0")
	overload.Steps[0].Count = 5
	w.submit(overload)
	w.run(200 * time.Millisecond)
	large := overload.Steps[0]
	large.Count, large.Need.CPU = 1, 3000
	w.submit(urgentJob(large))
	w.run(200 * time.Millisecond)
	reserved := 0
	for name, h := range w.cell.hosts {
		reserved += len(h.backfill.promises)
		if len(h.backfill.promises) > 0 && w.hosts[name].runsImage("sensitive") {
			t.Error("capacity is reserved beside the image that the task slows")
		}
	}
	if reserved != 1 {
		t.Errorf("%d promises, want one on the host without that image", reserved)
	}
}

// Guards against a step that loses its turn when the reserved host is lost or another gate
// becomes the owner.
func TestReservationMovesWhenHostOrOwnerIsLost(t *testing.T) {
	for name, lose := range map[string]func(w *loadedCluster, host string){
		"host": func(w *loadedCluster, host string) { w.hosts[host].crash() },
		"owner": func(w *loadedCluster, _ string) {
			w.replaceOwner()
			w.attachAll()
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newLoadedCluster(t, 3, 1, Policy{Backfill: true}, smallStep(false))
			w.run(3 * time.Second)
			j := w.submit(urgentJob(testStep(1, 8000)))
			w.run(200 * time.Millisecond)
			if n := w.cell.Counts().Reservations; n < 1 || w.runsOf(j.ID) > 0 {
				t.Fatalf("%d reservations and %d runs of the large task", n, w.runsOf(j.ID))
			}
			variance := w.cell.estimate.queues["urgent"].Variance
			w.store()
			lose(w, w.cell.backfill.steps[0].reservation.hosts[0].name)
			if got := w.cell.estimate.queues["urgent"].Variance; got <= 0 || variance <= 0 {
				t.Errorf("learned variance is %v, was %v", got, variance)
			}
			w.startWithin(j.ID, 1, 2*w.longestRest())
		})
	}
}

// Guards against small tasks that leave a gap on each host, so that a large one fits on
// none.
func TestSmallTasksLeaveWholeHostsFree(t *testing.T) {
	w := newLoadedCluster(t, 4, 0, Policy{Backfill: true}, hvjob.Step{})
	for range 4 {
		w.submit(urgentJob(testStep(1, 1000)))
		w.exchange()
	}
	large := w.submit(urgentJob(testStep(3, 8000)))
	w.exchange()
	if n := w.runsOf(large.ID); n != 3 {
		t.Errorf("%d of 3 tasks that need a whole host start beside 4 small ones on 4 hosts", n)
	}
}

// BenchmarkPlanWithReservations measures a plan with 300 hosts and 200 waiting steps; the
// target is 5 ms on an idle core.
func BenchmarkPlanWithReservations(b *testing.B) {
	for i := range 4 {
		on, bestEffort := i%2 == 1, i >= 2
		b.Run(fmt.Sprintf("backfill=%v/besteffort=%v", on, bestEffort), func(b *testing.B) {
			w := newLoadedCluster(b, 300, 0, Policy{Backfill: on}, hvjob.Step{})
			small, large := smallStep(bestEffort), smallStep(bestEffort)
			small.Count, large.Need.CPU = 300*7, 8000
			w.submit(urgentJob(small))
			w.exchange()
			for range 200 {
				w.submit(urgentJob(large))
			}
			for b.Loop() {
				w.now = w.now.Add(10 * time.Millisecond)
				w.cell.Plan(w.now)
			}
		})
	}
}
